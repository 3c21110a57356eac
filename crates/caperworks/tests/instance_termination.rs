//! Instances that announce their termination, and expiry of instances while controllers do not respond.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{Heartbeat, InstanceState, Member, ReceivedHeartbeat, Role};
use caperworks::identifiers::{
    stable_hash, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::instances::{Instances, INSTANCE_TIMEOUT};
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::messages::{Granted, Message};
use caperworks::replicated_map::{MapName, ALL_MAPS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(id: &str, counter: u64) -> ReceivedHeartbeat {
    let port = 7000 + (stable_hash(id) % 1000) as u16;
    ReceivedHeartbeat {
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
            uptime: Duration::MAX,
            key_ranges_in_use: Vec::new(),
            released: Vec::new(),
            warm_up_left: Duration::ZERO,
        },
        age: Duration::ZERO,
    }
}

#[test]
fn late_heartbeat_does_not_restore_a_terminated_instance() {
    let mut instances = Instances::default();
    let one = InstanceId::new("one");
    assert!(instances.handle(millis(100), &heartbeat("one", 1)));
    assert!(
        instances.record_deregistration(millis(200), &one),
        "it was not known yet"
    );
    assert!(
        !instances.record_deregistration(millis(300), &one),
        "it is known already"
    );
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
        "others are accepted"
    );
}

#[test]
fn termination_of_an_unknown_instance_rejects_its_late_heartbeat() {
    let mut instances = Instances::default();
    instances.record_deregistration(millis(100), &InstanceId::new("one"));
    assert!(!instances.handle(millis(200), &heartbeat("one", 1)));
}

#[test]
fn terminations_are_listed_after_an_offset() {
    let mut instances = Instances::default();
    let (one, two) = (InstanceId::new("one"), InstanceId::new("two"));
    instances.handle(millis(100), &heartbeat("one", 1));
    instances.record_deregistration(millis(200), &one);
    let offset = instances.latest_offset();
    instances.record_deregistration(millis(300), &two);
    let now = millis(400);
    assert_eq!(instances.deregistered_after(now, 0), [one, two.clone()]);
    assert_eq!(instances.deregistered_after(now, offset), [two]);
    let updates = instances.latest_offset();
    assert_eq!(instances.deregistered_after(now, updates), []);
    assert_eq!(instances.after(now, 0), []);
}

fn link() -> CoreLink {
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 6000))];
    CoreLink::new(NodeId(9), &[MapName::Configuration], seeds, 0)
}

/// Returns the only controller that the link knows, in one of its incarnations.
fn responder(incarnation: u64) -> Responder {
    Responder {
        address: SocketAddr::from(([127, 0, 0, 1], 6000)),
        incarnation: NodeId(incarnation),
    }
}

fn member() -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 6500));
    Member {
        client_zones: Vec::new(),
        demand_unchanged: false,
        suspected: false,
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

/// Sends a renewal over the link and returns its number.
fn renewal_number(link: &mut CoreLink, now: Duration) -> u64 {
    match link.renew(now, member()).1 {
        Message::Renew { renewal } => renewal.number,
        other => panic!("{other:?} is no renewal"),
    }
}

fn grant(number: u64, has_quorum: bool) -> Granted {
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
        has_quorum,
        deregistered: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
        position: None,
        collecting_left: None,
    }
}

#[test]
fn termination_received_in_a_grant_rejects_late_heartbeats() {
    let mut link = link();
    link.instances.handle(millis(50), &heartbeat("one", 1));
    let number = renewal_number(&mut link, millis(100));
    let reported = Granted {
        instances: vec![heartbeat("one", 5), heartbeat("two", 1)],
        deregistered: vec![InstanceId::new("one")],
        ..grant(number, true)
    };
    link.handle_grant(millis(120), responder(1), &reported);
    let names = |link: &CoreLink| -> Vec<String> {
        let known = link.instances.iter();
        known.map(|heartbeat| heartbeat.id.to_string()).collect()
    };
    assert_eq!(names(&link), ["two"]);
    link.instances.handle(millis(130), &heartbeat("one", 6));
    let number = renewal_number(&mut link, millis(400));
    let reported = Granted {
        instances: vec![heartbeat("one", 7)],
        ..grant(number, true)
    };
    link.handle_grant(millis(420), responder(2), &reported);
    assert_eq!(
        names(&link),
        ["two"],
        "also when a controller that does not know of the termination forwards it"
    );
}

/// Ticks as a daemon does: renews the lease if that is due, then marks overdue instances as suspected.
fn tick(link: &mut CoreLink, now: Duration, responses: Option<bool>) -> Vec<InstanceId> {
    if link.check_renewal_due(now) {
        let number = renewal_number(link, now);
        if let Some(has_quorum) = responses {
            link.handle_grant(now, responder(1), &grant(number, has_quorum));
        }
    }
    link.update_suspected_instances(now)
}

#[test]
fn instances_do_not_expire_without_a_quorum() {
    for responses in [None, Some(false)] {
        let mut link = link();
        for step in 0..40 {
            let now = millis(100 * step);
            link.instances.handle(now, &heartbeat("one", step));
            assert_eq!(tick(&mut link, now, Some(true)), []);
        }
        for step in 40..400 {
            let suspected = tick(&mut link, millis(100 * step), responses);
            assert_eq!(suspected, [], "{responses:?} at step {step}");
        }
        assert!(link.instances.get(&InstanceId::new("one")).is_some());
    }
}

#[test]
fn suspected_instances_expire_one_timeout_after_controllers_return() {
    let mut link = link();
    for step in 0..40 {
        link.instances
            .handle(millis(100 * step), &heartbeat("one", step));
        link.instances
            .handle(millis(100 * step), &heartbeat("two", step));
        tick(&mut link, millis(100 * step), Some(true));
    }
    for step in 40..200 {
        assert_eq!(tick(&mut link, millis(100 * step), None), []);
    }
    let back = millis(100 * 200);
    let mut suspected_at = None;
    for step in 200..260 {
        let now = millis(100 * step);
        link.instances.handle(now, &heartbeat("two", step));
        let suspected = tick(&mut link, now, Some(true));
        if !suspected.is_empty() {
            assert_eq!(suspected, [InstanceId::new("one")]);
            suspected_at.get_or_insert(now);
        }
    }
    let suspected_at = suspected_at.expect("the overdue instance is suspected eventually");
    assert!(
        suspected_at >= back + INSTANCE_TIMEOUT,
        "suspected at {suspected_at:?}"
    );
    assert!(suspected_at <= back + INSTANCE_TIMEOUT + millis(1500));
}
