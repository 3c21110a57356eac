//! Stories of instances that say that they are gone, and of agents that wait for the core.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState, Member, Role};
use caperworks::identifiers::{
    steady_hash, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::instances::{Instances, INSTANCE_SPAN};
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::messages::{Granted, Message};
use caperworks::replicated_map::{MapName, ALL_MAPS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(id: &str, counter: u64) -> HeardHeartbeat {
    let port = 7000 + (steady_hash(id) % 1000) as u16;
    HeardHeartbeat {
        heartbeat: Heartbeat {
            id: InstanceId::new(id),
            incarnation: Incarnation(0),
            counter,
            service: ServiceName::new("records"),
            zone: Zone::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            capacity: 1,
            state: InstanceState::Serving,
            load: 0,
            up: Duration::MAX,
            held_key_ranges: Vec::new(),
            let_go: Vec::new(),
            warm_up_left: Duration::ZERO,
        },
        age: Duration::ZERO,
    }
}

#[test]
fn given_an_instance_that_said_it_is_gone_when_a_late_heartbeat_comes_then_it_stays_gone() {
    let mut instances = Instances::default();
    let one = InstanceId::new("one");
    assert!(instances.handle(millis(100), &heartbeat("one", 1)));
    assert!(instances.end(millis(200), &one), "it is news");
    assert!(!instances.end(millis(300), &one), "and only once");
    for (at, counter) in [(300, 2), (1000, 99), (10_000, 100), (29_000, 101)] {
        assert!(
            !instances.handle(millis(at), &heartbeat("one", counter)),
            "{at}"
        );
        instances.expire(millis(at));
        assert_eq!(instances.get(&one), None, "{at}");
    }
    assert!(
        instances.handle(millis(1000), &heartbeat("two", 1)),
        "others live"
    );
}

#[test]
fn given_an_instance_nobody_knew_when_it_says_it_is_gone_then_its_late_heartbeat_is_not_taken() {
    let mut instances = Instances::default();
    instances.end(millis(100), &InstanceId::new("one"));
    assert!(!instances.handle(millis(200), &heartbeat("one", 1)));
}

#[test]
fn given_a_place_in_the_news_when_instances_ended_after_it_then_those_are_told() {
    let mut instances = Instances::default();
    let (one, two) = (InstanceId::new("one"), InstanceId::new("two"));
    instances.handle(millis(100), &heartbeat("one", 1));
    instances.end(millis(200), &one);
    let offset = instances.learned();
    instances.end(millis(300), &two);
    let now = millis(400);
    assert_eq!(instances.ended_after(now, 0), [one, two.clone()]);
    assert_eq!(instances.ended_after(now, offset), [two]);
    let updates = instances.learned();
    assert_eq!(instances.ended_after(now, updates), []);
    assert_eq!(instances.after(now, 0), []);
}

fn link() -> CoreLink {
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 6000))];
    CoreLink::new(NodeId(9), &[MapName::Configuration], seeds, 0)
}

/// The one controller that the link knows, in one of its incarnations.
fn responder(incarnation: u64) -> Responder {
    Responder {
        address: SocketAddr::from(([127, 0, 0, 1], 6000)),
        incarnation: NodeId(incarnation),
    }
}

fn member() -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 6500));
    Member {
        stands: Vec::new(),
        same_demand: false,
        silent: false,
        node: NodeId(9),
        counter: 1,
        role: Role::Proxy,
        zone: Zone::new("e1"),
        control: address,
        serving: address,
        ready: true,
        capacity: 1,
        demand: Vec::new(),
        versions: vec![Version(0); ALL_MAPS.len()],
        draining: false,
    }
}

/// The number of a renewal that the link sends now.
fn renewed(link: &mut CoreLink, now: Duration) -> u64 {
    match link.renew(now, member()).1 {
        Message::Renew { renewal } => renewal.number,
        other => panic!("{other:?} is no renewal"),
    }
}

fn grant(number: u64, assured: bool) -> Granted {
    Granted {
        proxies: 1,
        number,
        quorum_read_age: Duration::ZERO,
        versions: vec![Version(0); ALL_MAPS.len()],
        instances: Vec::new(),
        instances_offset: 0,
        members: Vec::new(),
        members_offset: 0,
        updates: Vec::new(),
        assured,
        gone: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
    }
}

#[test]
fn given_an_agent_that_hears_of_an_end_by_a_grant_when_a_late_heartbeat_comes_then_it_stays_gone() {
    let mut link = link();
    link.instances.handle(millis(50), &heartbeat("one", 1));
    let number = renewed(&mut link, millis(100));
    let reported = Granted {
        instances: vec![heartbeat("one", 5), heartbeat("two", 1)],
        gone: vec![InstanceId::new("one")],
        ..grant(number, true)
    };
    link.granted(millis(120), responder(1), &reported);
    let names = |link: &CoreLink| -> Vec<String> {
        let known = link.instances.iter();
        known.map(|heartbeat| heartbeat.id.to_string()).collect()
    };
    assert_eq!(names(&link), ["two"]);
    link.instances.handle(millis(130), &heartbeat("one", 6));
    let number = renewed(&mut link, millis(400));
    let reported = Granted {
        instances: vec![heartbeat("one", 7)],
        ..grant(number, true)
    };
    link.granted(millis(420), responder(2), &reported);
    assert_eq!(
        names(&link),
        ["two"],
        "nor by a controller that has not heard"
    );
}

/// Renews as a daemon does: whether it is due is asked first, then the silent are taken out.
fn ticks(link: &mut CoreLink, now: Duration, responses: Option<bool>) -> Vec<InstanceId> {
    if link.due(now) {
        let number = renewed(link, now);
        if let Some(assured) = responses {
            link.granted(now, responder(1), &grant(number, assured));
        }
    }
    link.update_suspected_instances(now)
}

#[test]
fn given_controllers_that_answer_without_a_majority_when_time_passes_then_nobody_expires() {
    for responses in [None, Some(false)] {
        let mut link = link();
        for step in 0..40 {
            let now = millis(100 * step);
            link.instances.handle(now, &heartbeat("one", step));
            assert_eq!(ticks(&mut link, now, Some(true)), []);
        }
        for step in 40..400 {
            let gone = ticks(&mut link, millis(100 * step), responses);
            assert_eq!(gone, [], "{responses:?} at step {step}");
        }
        assert!(link.instances.get(&InstanceId::new("one")).is_some());
    }
}

#[test]
fn given_a_core_that_answers_again_when_a_full_span_has_passed_then_only_then_the_silent_expire() {
    let mut link = link();
    for step in 0..40 {
        link.instances
            .handle(millis(100 * step), &heartbeat("one", step));
        link.instances
            .handle(millis(100 * step), &heartbeat("two", step));
        ticks(&mut link, millis(100 * step), Some(true));
    }
    for step in 40..200 {
        assert_eq!(ticks(&mut link, millis(100 * step), None), []);
    }
    let back = millis(100 * 200);
    let mut gone_at = None;
    for step in 200..260 {
        let now = millis(100 * step);
        link.instances.handle(now, &heartbeat("two", step));
        let gone = ticks(&mut link, now, Some(true));
        if !gone.is_empty() {
            assert_eq!(gone, [InstanceId::new("one")]);
            gone_at.get_or_insert(now);
        }
    }
    let gone_at = gone_at.expect("the one that is silent goes in the end");
    assert!(gone_at >= back + INSTANCE_SPAN, "gone at {gone_at:?}");
    assert!(gone_at <= back + INSTANCE_SPAN + millis(1500));
}
