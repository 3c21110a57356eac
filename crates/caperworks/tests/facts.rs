//! Facts: which updates followers get, who counts as suspected, and what a proxy merges.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::dispatch::ProxyState;
use caperworks::facts::{
    Heartbeat, InstanceState, Member, ReceivedHeartbeat, ReceivedMember, Role,
};
use caperworks::identifiers::{
    stable_hash, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::instances::Instances;
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::members::Members;
use caperworks::messages::{Granted, Message, ProxyView};
use caperworks::replicated_map::{MapName, ALL_MAPS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(id: &str, counter: u64) -> Heartbeat {
    let port = 7000 + (stable_hash(id) % 1000) as u16;
    Heartbeat {
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
    }
}

/// Handles a heartbeat that is received without delay.
fn receive(instances: &mut Instances, now: Duration, heartbeat: Heartbeat) -> bool {
    let age = Duration::ZERO;
    instances.handle(now, &ReceivedHeartbeat { heartbeat, age })
}

/// Returns the instances that a follower at this offset is sent.
fn reported(instances: &Instances, now: Duration, offset: u64) -> Vec<String> {
    let after = instances.after(now, offset);
    let names = after.iter().map(|entry| entry.heartbeat.id.to_string());
    names.collect()
}

/// Returns instances of which unchanged heartbeats are forwarded every two seconds.
fn instances_with_refresh() -> Instances {
    let mut instances = Instances::default();
    instances.refresh_interval = millis(2000);
    instances
}

#[test]
fn unchanged_heartbeats_are_forwarded_once_per_refresh_interval() {
    let mut instances = instances_with_refresh();
    assert!(receive(&mut instances, millis(1000), heartbeat("one", 1)));
    let offset = instances.latest_offset();
    assert_eq!(reported(&instances, millis(1000), 0), ["one"]);
    for step in 1..20 {
        let now = millis(1000 + 100 * step);
        let unchanged = Heartbeat {
            load: step as u32,
            key_ranges_in_use: vec![step as u32],
            ..heartbeat("one", 1 + step)
        };
        assert!(
            receive(&mut instances, now, unchanged),
            "it is merged nevertheless"
        );
        assert_eq!(instances.latest_offset(), offset, "{now:?}");
        assert_eq!(reported(&instances, now, offset), Vec::<String>::new());
        // A follower that does not know the instance gets the latest heartbeat with its age.
        let first = instances.after(now, 0);
        assert_eq!(
            (first[0].heartbeat.counter, first[0].age),
            (1 + step, Duration::ZERO)
        );
    }
    assert!(receive(&mut instances, millis(3000), heartbeat("one", 30)));
    assert_eq!(reported(&instances, millis(3000), offset), ["one"]);
    // The refresh interval starts again then.
    let offset = instances.latest_offset();
    assert!(receive(&mut instances, millis(4999), heartbeat("one", 31)));
    assert_eq!(instances.latest_offset(), offset);
    assert!(receive(&mut instances, millis(5000), heartbeat("one", 32)));
    assert_eq!(reported(&instances, millis(5000), offset), ["one"]);
}

#[test]
fn changed_heartbeat_is_forwarded_within_the_refresh_interval() {
    type Changes = fn(&mut Heartbeat);
    let changes: [(&str, Changes); 8] = [
        ("draining", |heartbeat| {
            heartbeat.state = InstanceState::Draining
        }),
        ("warming", |heartbeat| {
            heartbeat.state = InstanceState::Warming
        }),
        ("address", |heartbeat| heartbeat.address.set_port(6999)),
        ("capacity", |heartbeat| heartbeat.capacity = 2),
        ("warm-up", |heartbeat| heartbeat.warm_up_left = millis(500)),
        ("incarnation", |heartbeat| {
            heartbeat.incarnation = Incarnation(1)
        }),
        ("service", |heartbeat| {
            heartbeat.service = ServiceName::new("other")
        }),
        ("zone", |heartbeat| heartbeat.zone = Zone::new("e2")),
    ];
    for (name, change) in changes {
        let mut instances = instances_with_refresh();
        receive(&mut instances, millis(1000), heartbeat("one", 1));
        let offset = instances.latest_offset();
        let mut changed = heartbeat("one", 2);
        change(&mut changed);
        assert!(
            receive(&mut instances, millis(1001), changed.clone()),
            "{name}"
        );
        assert!(instances.latest_offset() > offset, "{name}");
        let after = instances.after(millis(1001), offset);
        assert_eq!(after.len(), 1, "{name}");
        assert_eq!(after[0].heartbeat, changed, "{name}");
        // It is forwarded at once when it changes back, but not when it is repeated without a change.
        let offset = instances.latest_offset();
        let same = Heartbeat {
            counter: 3,
            ..changed.clone()
        };
        receive(&mut instances, millis(1002), same);
        assert_eq!(instances.latest_offset(), offset, "{name}");
        let back = Heartbeat {
            incarnation: changed.incarnation,
            ..heartbeat("one", 4)
        };
        receive(&mut instances, millis(1003), back);
        let expected = u64::from(name != "incarnation");
        assert_eq!(instances.latest_offset() - offset, expected, "{name}");
    }
}

#[test]
fn warm_up_countdown_is_forwarded_only_when_it_ends() {
    let mut instances = instances_with_refresh();
    let warming = |counter: u64, left: u64| Heartbeat {
        warm_up_left: millis(left),
        ..heartbeat("one", counter)
    };
    receive(&mut instances, millis(1000), warming(1, 900));
    let offset = instances.latest_offset();
    receive(&mut instances, millis(1300), warming(2, 600));
    receive(&mut instances, millis(1600), warming(3, 300));
    assert_eq!(instances.latest_offset(), offset);
    receive(&mut instances, millis(1900), warming(4, 0));
    assert_eq!(reported(&instances, millis(1900), offset), ["one"]);
}

#[test]
fn each_kind_of_removal_advances_the_removal_offset() {
    let mut instances = instances_with_refresh();
    receive(&mut instances, millis(1000), heartbeat("one", 1));
    receive(&mut instances, millis(1000), heartbeat("two", 1));
    receive(&mut instances, millis(1000), heartbeat("three", 1));
    assert_eq!(
        instances.latest_removal_offset(),
        0,
        "nothing was removed yet"
    );
    let mut offsets = vec![instances.latest_offset()];
    let mut assert_removal = |instances: &Instances, what: &str| {
        let last = offsets[offsets.len() - 1];
        assert!(instances.latest_removal_offset() > last, "{what}");
        assert_eq!(
            instances.latest_removal_offset(),
            instances.latest_offset(),
            "{what}"
        );
        offsets.push(instances.latest_offset());
    };
    // The kinds: a known instance terminates, an unknown one does, an address gets another instance, and
    // heartbeats are overdue.
    assert!(instances.record_deregistration(millis(1100), &InstanceId::new("one")));
    assert_removal(&instances, "ended");
    assert!(instances.record_deregistration(millis(1200), &InstanceId::new("nobody")));
    assert_removal(&instances, "unknown");
    let successor = Heartbeat {
        address: heartbeat("two", 1).address,
        ..heartbeat("four", 1)
    };
    let offset = instances.latest_offset();
    assert!(receive(&mut instances, millis(1300), successor));
    assert!(
        instances.latest_removal_offset() > offset,
        "another has its address"
    );
    assert_eq!(instances.get(&InstanceId::new("two")), None);
    let offset = instances.latest_removal_offset();
    assert_eq!(instances.expire(millis(3999)), []);
    assert!(!instances.record_deregistration(millis(3999), &InstanceId::new("one")));
    assert_eq!(
        instances.latest_removal_offset(),
        offset,
        "nothing was removed"
    );
    assert_eq!(instances.expire(millis(4000)), [InstanceId::new("three")]);
    assert!(
        instances.latest_removal_offset() > offset,
        "its heartbeats are overdue"
    );
    assert_eq!(instances.latest_removal_offset(), instances.latest_offset());
    // A new heartbeat is no removal.
    let offset = instances.latest_removal_offset();
    receive(&mut instances, millis(4100), heartbeat("five", 1));
    assert_eq!(instances.latest_removal_offset(), offset);
}

fn member(node: u64, counter: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 6500 + node as u16));
    Member {
        demand_unchanged: false,
        suspected: false,
        client_zones: Vec::new(),
        node: NodeId(node),
        counter,
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

/// Handles a renewal that is received without delay.
fn renew(members: &mut Members, now: Duration, member: Member) -> bool {
    let age = Duration::ZERO;
    members.handle(now, &ReceivedMember { member, age })
}

fn ready(members: &Members) -> Vec<u64> {
    members.ready_proxies().map(|proxy| proxy.node.0).collect()
}

#[test]
fn suspected_member_is_ready_again_after_renewal() {
    let mut members = Members::default();
    members.refresh_interval = millis(1500);
    for node in [1, 2] {
        renew(&mut members, millis(1000), member(node, 5));
    }
    let offset = members.latest_offset();
    members.mark_suspected(millis(2000), NodeId(1));
    assert_eq!(ready(&members), [2]);
    // Followers are notified at once, and only once.
    let after = members.after(millis(2000), offset);
    assert_eq!(after.len(), 1);
    assert_eq!(
        (after[0].member.node, after[0].member.ready),
        (NodeId(1), false)
    );
    let offset = members.latest_offset();
    members.mark_suspected(millis(2100), NodeId(1));
    members.mark_suspected(millis(2100), NodeId(7));
    assert_eq!(members.latest_offset(), offset);
    // A late renewal from before the suspicion changes nothing.
    assert!(!renew(&mut members, millis(2200), member(1, 4)));
    assert!(!renew(&mut members, millis(2200), member(1, 5)));
    assert_eq!(ready(&members), [2]);
    assert!(renew(&mut members, millis(2300), member(1, 7)));
    assert_eq!(ready(&members), [1, 2]);
    assert_eq!(members.after(millis(2300), offset).len(), 1, "at once");
}

#[test]
fn later_report_overrides_suspicion_on_all_nodes() {
    let (mut here, mut elsewhere) = (Members::default(), Members::default());
    renew(&mut here, millis(1000), member(1, 5));
    renew(&mut elsewhere, millis(1900), member(1, 8));
    here.mark_suspected(millis(2000), NodeId(1));
    assert_eq!(ready(&here), Vec::<u64>::new());
    let now = millis(2010);
    for member in here.after(now, 0) {
        assert!(!elsewhere.handle(now, &member), "it has a later report");
    }
    for member in elsewhere.after(now, 0) {
        assert!(here.handle(now, &member));
    }
    assert_eq!((ready(&here), ready(&elsewhere)), (vec![1], vec![1]));
    // A node without a later report takes over the suspicion.
    let mut third = Members::default();
    renew(&mut third, millis(1000), member(1, 8));
    here.mark_suspected(millis(2020), NodeId(1));
    for member in here.after(millis(2030), 0) {
        assert!(third.handle(millis(2030), &member));
    }
    assert_eq!(ready(&third), Vec::<u64>::new());
}

#[test]
fn next_renewal_clears_suspicion() {
    let mut members = Members::default();
    renew(&mut members, millis(1000), member(1, 5));
    members.mark_suspected(millis(2000), NodeId(1));
    assert!(renew(&mut members, millis(2100), member(1, 6)));
    assert_eq!(ready(&members), [1]);
}

fn view(number: u64, all: bool, instances: Vec<Heartbeat>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: all,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        number,
        left: millis(3000),
        updates: Vec::new(),
        instances,
        proxies: 1,
        configuration: Version(0),
        ownership: Version(0),
        position: None,
        reports_left: None,
    }
}

/// Returns the names and counters of the instances that a proxy knows; checks that both of its indexes
/// agree.
fn known(proxy_state: &ProxyState) -> Vec<(String, u64)> {
    let pair = |heartbeat: &Heartbeat| (heartbeat.id.to_string(), heartbeat.counter);
    let by_name: Vec<(String, u64)> = proxy_state.instances.values().map(pair).collect();
    let by_service = proxy_state.by_service.values().flatten().map(pair);
    let mut by_service: Vec<(String, u64)> = by_service.collect();
    by_service.sort();
    assert_eq!(by_name, by_service);
    by_name
}

#[test]
fn partial_proxy_view_keeps_unchanged_instances() {
    let mut proxy_state = ProxyState::default();
    let named = |pairs: &[(&str, u64)]| -> Vec<(String, u64)> {
        let pairs = pairs.iter();
        pairs
            .map(|(name, counter)| ((*name).to_string(), *counter))
            .collect()
    };
    let all = vec![heartbeat("a", 1), heartbeat("b", 1), heartbeat("c", 1)];
    proxy_state.apply_view(millis(100), &view(1, true, all));
    assert_eq!(known(&proxy_state), named(&[("a", 1), ("b", 1), ("c", 1)]));
    let moved = Heartbeat {
        service: ServiceName::new("other"),
        ..heartbeat("b", 2)
    };
    proxy_state.apply_view(millis(200), &view(2, false, vec![moved, heartbeat("d", 1)]));
    let expected = named(&[("a", 1), ("b", 2), ("c", 1), ("d", 1)]);
    assert_eq!(known(&proxy_state), expected);
    assert_eq!(proxy_state.by_service[&ServiceName::new("other")].len(), 1);
    assert_eq!(proxy_state.instances_offset, 2);
    // Nothing has changed, but the lease is extended.
    proxy_state.apply_view(millis(300), &view(3, false, Vec::new()));
    assert_eq!(known(&proxy_state), expected);
    assert_eq!(proxy_state.instances_offset, 3);
    assert_eq!(proxy_state.fresh_until, millis(3300));
    // A full list removes the instances that it does not contain.
    proxy_state.apply_view(millis(400), &view(4, true, vec![heartbeat("a", 2)]));
    assert_eq!(known(&proxy_state), named(&[("a", 2)]));
    proxy_state.apply_view(millis(500), &view(5, true, Vec::new()));
    assert_eq!(known(&proxy_state), []);
}

#[test]
fn proxy_count_is_the_maximum_of_the_last_ten_seconds() {
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 6000))];
    let mut link = CoreLink::new(NodeId(9), &[MapName::Configuration], seeds, 0);
    assert_eq!(
        link.proxy_count(),
        1,
        "no count was received yet; there is at least one proxy"
    );
    let mut count_after_grant = |now: u64, proxies: u32| {
        let number = match link.renew(millis(now), member(9, now)).1 {
            Message::Renew { renewal } => renewal.number,
            other => panic!("{other:?} is no renewal"),
        };
        let granted = Granted {
            proxies,
            number,
            quorum_read_age: Duration::ZERO,
            versions: vec![Version(0); ALL_MAPS.len()],
            instances: Vec::new(),
            instances_offset: 0,
            members: Vec::new(),
            members_offset: 0,
            updates: Vec::new(),
            has_quorum: true,
            deregistered: Vec::new(),
            in_chunks: Vec::new(),
            more: false,
            position: None,
            collecting_left: None,
        };
        let responder = Responder {
            address: SocketAddr::from(([127, 0, 0, 1], 6000)),
            incarnation: NodeId(1),
        };
        link.handle_grant(millis(now), responder, &granted);
        link.proxy_count()
    };
    for (now, proxies, expected) in [
        (1000, 4, 4),
        (2000, 12, 12),
        (3000, 3, 12),
        (8000, 9, 12),
        (11_999, 2, 12),
        (12_000, 2, 9),
        (17_999, 0, 9),
        (18_000, 0, 2),
        (18_100, 20, 20),
        (28_099, 0, 20),
        (28_100, 0, 1),
    ] {
        assert_eq!(count_after_grant(now, proxies), expected, "at {now}");
    }
}
