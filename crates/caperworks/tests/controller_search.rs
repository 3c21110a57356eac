//! Tests of a follower whose controller does not answer in time: which others it asks, which one it follows,
//! and what it is told again.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState, Member, Role};
use caperworks::identifiers::{Incarnation, InstanceId, NodeId, ServiceName, Version, Zone};
use caperworks::instances::Instances;
use caperworks::link::{CoreLink, Responder, SLOW_LINK_WINDOW, SLOW_RESPONSE};
use caperworks::messages::{Granted, Message, Renewal, ResponseExtent};
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

fn link() -> CoreLink {
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
        stands: Vec::new(),
        same_demand: false,
        silent: false,
    }
}

fn heard(id: &str, counter: u64) -> HeardHeartbeat {
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
        up: Duration::MAX,
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    };
    let age = Duration::ZERO;
    HeardHeartbeat { heartbeat, age }
}

/// An answer of a controller that has a majority behind it and holds what the follower holds.
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
        assured: true,
        gone: Vec::new(),
        proxies: 1,
        in_chunks: Vec::new(),
        more: false,
    }
}

/// The next renewal that is due after a moment, when and to whom.
fn next_renewal(link: &mut CoreLink, after: Duration) -> (Duration, SocketAddr, Renewal) {
    let mut now = after;
    loop {
        now += STEP;
        assert!(now < after + millis(5000), "nothing is asked any more");
        if link.due(now) {
            let (to, message) = link.renew(now, member());
            let Message::Renew { renewal } = message else {
                panic!("{message:?} is no renewal");
            };
            return (now, to, renewal);
        }
    }
}

/// A link that follows a controller which answers fast; gives the moment and that controller.
fn following(link: &mut CoreLink) -> (Duration, SocketAddr) {
    let mut now = Duration::ZERO;
    for offset in 1..10 {
        let (asked_at, to, renewal) = next_renewal(link, now);
        now = asked_at + STEP;
        link.granted(now, responder(to), &grant(renewal.number, offset));
    }
    (now, link.controller())
}

#[test]
fn every_controller_is_asked_soon_and_briefly_while_none_responds() {
    let mut link = link();
    let (began_at, silent) = following(&mut link);
    let mut now = began_at;
    let mut asked = Vec::new();
    for _ in 0..CONTROLLERS + 1 {
        let (asked_at, to, renewal) = next_renewal(&mut link, now);
        now = asked_at;
        asked.push((to, renewal.extent));
    }
    assert_eq!(asked[0], (silent, ResponseExtent::Full));
    for (number, (to, extent)) in asked.iter().enumerate().skip(1) {
        assert_eq!(*extent, ResponseExtent::Brief, "request {number}");
        assert!(
            asked[..number].iter().all(|(earlier, _)| earlier != to)
                || number == usize::from(CONTROLLERS),
            "request {number} goes to {to} again before all were asked"
        );
    }
    assert!(
        now - began_at <= millis(2500),
        "it took {:?}",
        now - began_at
    );
}

#[test]
fn the_first_controller_that_responds_is_followed_however_late_it_was_asked() {
    let mut link = link();
    let (began_at, silent) = following(&mut link);
    let (_, _, _) = next_renewal(&mut link, began_at);
    let (second_at, second, second_renewal) = next_renewal(&mut link, began_at);
    let (third_at, third, _) = next_renewal(&mut link, second_at);
    let (fourth_at, fourth, _) = next_renewal(&mut link, third_at);
    assert!(![second, third, fourth].contains(&silent));
    // The link is full: the answer to the second request comes after two others were asked.
    let now = fourth_at + millis(100);
    link.granted(now, responder(second), &grant(second_renewal.number, 70));
    assert_eq!(link.controller(), second);
    let (_, to, renewal) = next_renewal(&mut link, now);
    assert_eq!(to, second);
    assert_eq!(renewal.extent, ResponseExtent::Full);
    assert_eq!(renewal.controller, responder(second).incarnation);
    assert_eq!(renewal.instances_after, 70);
}

#[test]
fn a_late_response_of_a_controller_that_was_left_does_not_move_offsets_at_the_one_followed() {
    let mut link = link();
    let (began_at, left) = following(&mut link);
    let (_, _, late) = next_renewal(&mut link, began_at);
    let (asked_at, other, renewal) = next_renewal(&mut link, began_at);
    assert_ne!(other, left);
    let now = asked_at + STEP;
    link.granted(now, responder(other), &grant(renewal.number, 55));
    let reported = Granted {
        instances: vec![heard("one", 1)],
        ..grant(late.number, 1234)
    };
    link.granted(now + STEP, responder(left), &reported);
    assert_eq!(link.controller(), other);
    let known: Vec<&Heartbeat> = link.instances.iter().collect();
    assert_eq!(known.len(), 1, "what it tells is taken all the same");
    let (_, to, renewal) = next_renewal(&mut link, now);
    assert_eq!(to, other);
    assert_eq!(renewal.controller, responder(other).incarnation);
    assert_eq!(renewal.instances_after, 55);
}

#[test]
fn another_controller_learns_how_long_ago_the_follower_had_all_facts() {
    let mut link = link();
    let (_, _, first) = next_renewal(&mut link, Duration::ZERO);
    assert_eq!(first.facts_age, None, "nobody has told it anything");
    let mut link = self::link();
    let (began_at, _) = following(&mut link);
    let (_, _, _) = next_renewal(&mut link, began_at);
    let (asked_at, _, renewal) = next_renewal(&mut link, began_at);
    let age = renewal.facts_age.expect("it was told everything once");
    // The last answer came one step after its request, and tells what was known when it was asked.
    assert_eq!(age, asked_at - began_at + STEP);
}

#[test]
fn a_response_without_all_facts_does_not_count_as_complete() {
    let mut link = link();
    let (began_at, followed) = following(&mut link);
    let (asked_at, _, renewal) = next_renewal(&mut link, began_at);
    let part = Granted {
        more: true,
        ..grant(renewal.number, 40)
    };
    link.granted(asked_at + STEP, responder(followed), &part);
    let (next_at, _, renewal) = next_renewal(&mut link, asked_at + STEP);
    assert_eq!(renewal.facts_age, Some(next_at - began_at + STEP));
}

#[test]
fn a_controller_that_cannot_be_reached_is_left_before_its_response_is_overdue() {
    let mut link = link();
    let (began_at, unreachable) = following(&mut link);
    let (asked_at, to, _) = next_renewal(&mut link, began_at);
    assert_eq!(to, unreachable);
    link.controller_lost(to);
    let (next_at, next, _) = next_renewal(&mut link, asked_at);
    assert_ne!(next, unreachable);
    assert!(next_at - asked_at < CORE_TIMEOUT.min_timeout);
}

#[test]
fn a_connection_to_a_controller_that_opens_late_tells_a_full_link_from_a_partition() {
    let mut link = link();
    let (now, followed) = following(&mut link);
    assert_eq!(link.slow_for(now), Duration::ZERO);
    link.connection_opened(now, followed, SLOW_RESPONSE - millis(1));
    assert_eq!(link.slow_for(now), Duration::ZERO, "it opened fast");
    link.connection_opened(now, address(300), SLOW_RESPONSE);
    assert_eq!(link.slow_for(now), Duration::ZERO, "that is no controller");
    link.connection_opened(now, followed, SLOW_RESPONSE);
    assert_eq!(link.slow_for(now), SLOW_LINK_WINDOW);
}

#[test]
fn a_link_that_has_not_been_answered_yet_counts_as_slow_until_it_is() {
    let mut link = link();
    let (now, to, renewal) = next_renewal(&mut link, Duration::ZERO);
    assert_eq!(link.slow_for(now), SLOW_LINK_WINDOW);
    link.granted(now + STEP, responder(to), &grant(renewal.number, 1));
    assert_eq!(link.slow_for(now + STEP), Duration::ZERO);
}

#[test]
fn the_offset_before_a_moment_covers_instances_that_said_they_ended() {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &heard("one", 1));
    instances.handle(millis(2000), &heard("two", 2));
    instances.end(millis(3000), &InstanceId::new("one"));
    let notified_after = |moment: u64| {
        let offset = instances.offset_before(millis(moment));
        (
            instances.after(millis(4000), offset).len(),
            instances.ended_after(millis(4000), offset).len(),
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
        instances.handle(millis(1000), &heard(&format!("instance-{number}"), number));
    }
    let mut draining = heard("draining", 50);
    draining.heartbeat.state = InstanceState::Draining;
    instances.handle(millis(1000), &draining);
    let reported = |offset: u64| {
        let first = instances.first_after(millis(1100), offset, 16);
        let drains = |heard: &&HeardHeartbeat| heard.heartbeat.state == InstanceState::Draining;
        let draining = first.heard.iter().filter(drains).count();
        (first.heard.len(), draining, first.offset, first.more)
    };
    assert_eq!(reported(0), (17, 1, 16, true));
    assert_eq!(reported(16), (17, 1, 32, true));
    assert_eq!(reported(32), (8, 1, 40, false));
}
