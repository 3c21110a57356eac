//! Tests of a follower whose controller does not respond in time: which other controllers it polls,
//! which one it follows, and which facts it receives again.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{Heartbeat, InstanceState, Member, ReceivedHeartbeat, Role};
use caperworks::identifiers::{Incarnation, InstanceId, NodeId, ServiceName, Version, Zone};
use caperworks::instances::Instances;
use caperworks::link::{CoreLink, Responder, SLOW_LINK_WINDOW, SLOW_RESPONSE_THRESHOLD};
use caperworks::messages::{Granted, Message, ProxyPosition, Renewal, ResponseExtent};
use caperworks::replicated_map::{MapName, ALL_MAPS};
use caperworks::rtt_estimator::CORE_TIMEOUT;

const STEP: Duration = Duration::from_millis(20);
const CONTROLLERS: u16 = 5;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 6000 + number))
}

fn responder(address: SocketAddr) -> Responder {
    let incarnation = NodeId(u64::from(address.port()));
    Responder {
        address,
        incarnation,
    }
}

fn new_link() -> CoreLink {
    let seeds = (0..CONTROLLERS).map(address).collect();
    CoreLink::new(NodeId(9), &[MapName::Configuration], seeds, 0)
}

fn member() -> Member {
    Member {
        node: NodeId(9),
        counter: 1,
        role: Role::Proxy,
        zone: Zone::new("east-1"),
        control: address(100),
        serving: address(101),
        ready: true,
        capacity: 1,
        demand: Vec::new(),
        versions: vec![Version(0); ALL_MAPS.len()],
        draining: false,
        client_zones: Vec::new(),
        demand_unchanged: false,
        suspected: false,
    }
}

fn received_heartbeat(id: &str, counter: u64) -> ReceivedHeartbeat {
    let heartbeat = Heartbeat {
        id: InstanceId::new(id),
        incarnation: Incarnation(0),
        counter,
        service: ServiceName::new("records"),
        zone: Zone::new("east-1"),
        address: address(200 + counter as u16),
        capacity: 4,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    };
    let age = Duration::ZERO;
    ReceivedHeartbeat { heartbeat, age }
}

/// Returns the response of a controller with a quorum whose maps have the follower's versions.
fn grant(number: u64, offset: u64) -> Granted {
    Granted {
        number,
        quorum_read_age: Duration::ZERO,
        versions: vec![Version(0); ALL_MAPS.len()],
        instances: Vec::new(),
        instances_offset: offset,
        members: Vec::new(),
        members_offset: offset,
        updates: Vec::new(),
        has_quorum: true,
        deregistered: Vec::new(),
        proxies: 1,
        in_chunks: Vec::new(),
        more: false,
        position: None,
        collecting_left: None,
    }
}

/// Returns the next renewal that is due after a time, with its time and its controller.
fn next_renewal(link: &mut CoreLink, after: Duration) -> (Duration, SocketAddr, Renewal) {
    let mut now = after;
    loop {
        now += STEP;
        assert!(now < after + millis(5000), "no renewal is due any more");
        if link.check_renewal_due(now) {
            let (to, message) = link.renew(now, member());
            let Message::Renew { renewal } = message else {
                panic!("{message:?} is not a renewal");
            };
            return (now, to, renewal);
        }
    }
}

/// Lets the link follow a controller that responds fast; returns the time and that controller.
fn follow_controller(link: &mut CoreLink) -> (Duration, SocketAddr) {
    let mut now = Duration::ZERO;
    for offset in 1..10 {
        let (polled_at, to, renewal) = next_renewal(link, now);
        now = polled_at + STEP;
        link.handle_grant(now, responder(to), &grant(renewal.number, offset));
    }
    (now, link.controller())
}

#[test]
fn every_controller_is_polled_soon_with_a_brief_extent_while_none_responds() {
    let mut link = new_link();
    let (started_at, unresponsive) = follow_controller(&mut link);
    let mut now = started_at;
    let mut polled = Vec::new();
    for _ in 0..CONTROLLERS + 1 {
        let (polled_at, to, renewal) = next_renewal(&mut link, now);
        now = polled_at;
        polled.push((to, renewal.extent));
    }
    assert_eq!(polled[0], (unresponsive, ResponseExtent::Full));
    for (number, (to, extent)) in polled.iter().enumerate().skip(1) {
        assert_eq!(*extent, ResponseExtent::Brief, "request {number}");
        assert!(
            polled[..number].iter().all(|(earlier, _)| earlier != to)
                || number == usize::from(CONTROLLERS),
            "request {number} goes to {to} again before all controllers were polled"
        );
    }
    assert!(
        now - started_at <= millis(2500),
        "it took {:?}",
        now - started_at
    );
}

#[test]
fn first_controller_to_respond_is_followed_after_others_were_polled() {
    let mut link = new_link();
    let (started_at, unresponsive) = follow_controller(&mut link);
    let (_, _, _) = next_renewal(&mut link, started_at);
    let (second_at, second, second_renewal) = next_renewal(&mut link, started_at);
    let (third_at, third, _) = next_renewal(&mut link, second_at);
    let (fourth_at, fourth, _) = next_renewal(&mut link, third_at);
    assert!(![second, third, fourth].contains(&unresponsive));
    // The link is saturated: the response to the second request arrives after two others were polled.
    let now = fourth_at + millis(100);
    link.handle_grant(now, responder(second), &grant(second_renewal.number, 70));
    assert_eq!(link.controller(), second);
    let (_, to, renewal) = next_renewal(&mut link, now);
    assert_eq!(to, second);
    assert_eq!(renewal.extent, ResponseExtent::Full);
    assert_eq!(
        renewal.controller_incarnation,
        responder(second).incarnation
    );
    assert_eq!(renewal.instances_after, 70);
}

#[test]
fn a_late_response_of_a_controller_that_was_left_does_not_move_offsets_at_the_one_followed() {
    let mut link = new_link();
    let (started_at, left) = follow_controller(&mut link);
    let (_, _, late) = next_renewal(&mut link, started_at);
    let (polled_at, other, renewal) = next_renewal(&mut link, started_at);
    assert_ne!(other, left);
    let now = polled_at + STEP;
    link.handle_grant(now, responder(other), &grant(renewal.number, 55));
    let reported = Granted {
        instances: vec![received_heartbeat("one", 1)],
        ..grant(late.number, 1234)
    };
    link.handle_grant(now + STEP, responder(left), &reported);
    assert_eq!(link.controller(), other);
    let known: Vec<&Heartbeat> = link.instances.iter().collect();
    assert_eq!(known.len(), 1, "the facts in it are applied nevertheless");
    let (_, to, renewal) = next_renewal(&mut link, now);
    assert_eq!(to, other);
    assert_eq!(renewal.controller_incarnation, responder(other).incarnation);
    assert_eq!(renewal.instances_after, 55);
}

#[test]
fn another_controller_learns_how_long_ago_the_follower_had_all_facts() {
    let mut link = new_link();
    let (_, _, first) = next_renewal(&mut link, Duration::ZERO);
    assert_eq!(first.facts_age, None, "it has received no facts yet");
    let mut link = self::new_link();
    let (started_at, _) = follow_controller(&mut link);
    let (_, _, _) = next_renewal(&mut link, started_at);
    let (polled_at, _, renewal) = next_renewal(&mut link, started_at);
    let age = renewal.facts_age.expect("it has received all facts once");
    // The last response came one step after its request, and contains what was known at the time of the
    // request.
    assert_eq!(age, polled_at - started_at + STEP);
}

#[test]
fn a_response_without_all_facts_does_not_count_as_complete() {
    let mut link = new_link();
    let (started_at, followed) = follow_controller(&mut link);
    let (polled_at, _, renewal) = next_renewal(&mut link, started_at);
    let part = Granted {
        more: true,
        ..grant(renewal.number, 40)
    };
    link.handle_grant(polled_at + STEP, responder(followed), &part);
    let (next_at, _, renewal) = next_renewal(&mut link, polled_at + STEP);
    assert_eq!(renewal.facts_age, Some(next_at - started_at + STEP));
}

#[test]
fn reports_are_current_only_after_all_facts_of_a_controller_that_has_collected_them() {
    let mut link = new_link();
    let (mut now, followed) = follow_controller(&mut link);
    assert!(!link.reports_left(now).is_zero());
    for offset in 10..20 {
        let (polled_at, _, renewal) = next_renewal(&mut link, now);
        now = polled_at + STEP;
        let incomplete = match offset % 2 {
            0 => Granted {
                more: true,
                ..grant(renewal.number, offset)
            },
            _ => Granted {
                collecting_left: Some(millis(100)),
                ..grant(renewal.number, offset)
            },
        };
        link.handle_grant(now, responder(followed), &incomplete);
    }
    assert!(now < link.fresh_until(), "the lease is renewed");
    assert_eq!(link.reports_left(now), Duration::ZERO);
    let (polled_at, _, renewal) = next_renewal(&mut link, now);
    link.handle_grant(
        polled_at + STEP,
        responder(followed),
        &grant(renewal.number, 20),
    );
    assert_eq!(link.reports_left(polled_at), millis(1200));
}

#[test]
fn position_among_proxies_is_the_latest_one_among_the_most() {
    let mut link = new_link();
    let (mut now, followed) = follow_controller(&mut link);
    assert_eq!(link.proxy_position(), None);
    for (index, proxies, expected) in [(3, 12, (3, 12)), (4, 12, (4, 12)), (0, 2, (4, 12))] {
        let (polled_at, _, renewal) = next_renewal(&mut link, now);
        now = polled_at + STEP;
        let reported = Granted {
            position: Some(ProxyPosition { index, proxies }),
            ..grant(renewal.number, 30)
        };
        link.handle_grant(now, responder(followed), &reported);
        let position = link.proxy_position().expect("it was reported");
        assert_eq!((position.index, position.proxies), expected);
    }
}

#[test]
fn a_controller_that_cannot_be_reached_is_left_before_its_response_is_overdue() {
    let mut link = new_link();
    let (started_at, unreachable) = follow_controller(&mut link);
    let (polled_at, to, _) = next_renewal(&mut link, started_at);
    assert_eq!(to, unreachable);
    link.controller_lost(to);
    let (next_at, next, _) = next_renewal(&mut link, polled_at);
    assert_ne!(next, unreachable);
    assert!(next_at - polled_at < CORE_TIMEOUT.min_timeout);
}

#[test]
fn a_slowly_opened_connection_distinguishes_a_saturated_link_from_a_partition() {
    let mut link = new_link();
    let (now, followed) = follow_controller(&mut link);
    assert_eq!(link.slow_link_remaining(now), Duration::ZERO);
    link.connection_opened(now, followed, SLOW_RESPONSE_THRESHOLD - millis(1));
    assert_eq!(
        link.slow_link_remaining(now),
        Duration::ZERO,
        "it opened fast"
    );
    link.connection_opened(now, address(300), SLOW_RESPONSE_THRESHOLD);
    assert_eq!(
        link.slow_link_remaining(now),
        Duration::ZERO,
        "it is not a controller"
    );
    link.connection_opened(now, followed, SLOW_RESPONSE_THRESHOLD);
    assert_eq!(link.slow_link_remaining(now), SLOW_LINK_WINDOW);
}

#[test]
fn a_link_that_has_not_been_answered_yet_counts_as_slow_until_it_is() {
    let mut link = new_link();
    let (now, to, renewal) = next_renewal(&mut link, Duration::ZERO);
    assert_eq!(link.slow_link_remaining(now), SLOW_LINK_WINDOW);
    link.handle_grant(now + STEP, responder(to), &grant(renewal.number, 1));
    assert_eq!(link.slow_link_remaining(now + STEP), Duration::ZERO);
}

#[test]
fn the_offset_before_a_moment_covers_instances_that_said_they_ended() {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &received_heartbeat("one", 1));
    instances.handle(millis(2000), &received_heartbeat("two", 2));
    instances.record_deregistration(millis(3000), &InstanceId::new("one"));
    let notified_after = |moment: u64| {
        let offset = instances.offset_before(millis(moment));
        (
            instances.after(millis(4000), offset).len(),
            instances.deregistered_after(millis(4000), offset).len(),
        )
    };
    assert_eq!(notified_after(500), (1, 1));
    assert_eq!(notified_after(2500), (0, 1));
    assert_eq!(notified_after(3500), (0, 0));
}

#[test]
fn every_draining_instance_comes_with_the_first_facts_however_few_these_are() {
    let mut instances = Instances::default();
    for number in 1..40 {
        instances.handle(
            millis(1000),
            &received_heartbeat(&format!("instance-{number}"), number),
        );
    }
    let mut draining = received_heartbeat("draining", 50);
    draining.heartbeat.state = InstanceState::Draining;
    instances.handle(millis(1000), &draining);
    let reported = |offset: u64| {
        let first = instances.first_after(millis(1100), offset, 16);
        let drains = |fact: &&ReceivedHeartbeat| fact.heartbeat.state == InstanceState::Draining;
        let draining = first.received.iter().filter(drains).count();
        (first.received.len(), draining, first.offset, first.more)
    };
    assert_eq!(reported(0), (17, 1, 16, true));
    assert_eq!(reported(16), (17, 1, 32, true));
    assert_eq!(reported(32), (8, 1, 40, false));
}
