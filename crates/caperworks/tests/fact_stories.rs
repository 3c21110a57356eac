//! Stories of facts: what followers are told anew, who counts as silent, and what a proxy merges.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::dispatch::ProxyState;
use caperworks::facts::{HeardHeartbeat, HeardMember, Heartbeat, InstanceState, Member, Role};
use caperworks::identifiers::{
    steady_hash, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
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
    let port = 7000 + (steady_hash(id) % 1000) as u16;
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
        up: Duration::MAX,
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

fn hears(instances: &mut Instances, now: Duration, heartbeat: Heartbeat) -> bool {
    let age = Duration::ZERO;
    instances.handle(now, &HeardHeartbeat { heartbeat, age })
}

/// The instances that a follower at this place is told of.
fn reported(instances: &Instances, now: Duration, offset: u64) -> Vec<String> {
    let after = instances.after(now, offset);
    let names = after.iter().map(|heard| heard.heartbeat.id.to_string());
    names.collect()
}

fn refreshing() -> Instances {
    let mut instances = Instances::default();
    instances.refresh = millis(2000);
    instances
}

#[test]
fn given_heartbeats_that_say_nothing_new_when_the_refresh_is_over_then_only_then_followers_hear_again(
) {
    let mut instances = refreshing();
    assert!(hears(&mut instances, millis(1000), heartbeat("one", 1)));
    let offset = instances.learned();
    assert_eq!(reported(&instances, millis(1000), 0), ["one"]);
    for step in 1..20 {
        let now = millis(1000 + 100 * step);
        let quiet = Heartbeat {
            load: step as u32,
            held_key_ranges: vec![step as u32],
            ..heartbeat("one", 1 + step)
        };
        assert!(
            hears(&mut instances, now, quiet),
            "it is heard all the same"
        );
        assert_eq!(instances.learned(), offset, "{now:?}");
        assert_eq!(reported(&instances, now, offset), Vec::<String>::new());
        // Whoever has not heard of it at all is told of the latest, and how old it is.
        let first = instances.after(now, 0);
        assert_eq!(
            (first[0].heartbeat.counter, first[0].age),
            (1 + step, Duration::ZERO)
        );
    }
    assert!(hears(&mut instances, millis(3000), heartbeat("one", 30)));
    assert_eq!(reported(&instances, millis(3000), offset), ["one"]);
    // The refresh counts anew from then.
    let offset = instances.learned();
    assert!(hears(&mut instances, millis(4999), heartbeat("one", 31)));
    assert_eq!(instances.learned(), offset);
    assert!(hears(&mut instances, millis(5000), heartbeat("one", 32)));
    assert_eq!(reported(&instances, millis(5000), offset), ["one"]);
}

#[test]
fn given_a_heartbeat_that_says_something_new_when_the_refresh_runs_then_followers_hear_at_once() {
    type Changes = fn(&mut Heartbeat);
    let changes: [(&str, Changes); 8] = [
        ("leaving", |heartbeat| {
            heartbeat.state = InstanceState::Draining
        }),
        ("warming", |heartbeat| {
            heartbeat.state = InstanceState::Warming
        }),
        ("address", |heartbeat| heartbeat.address.set_port(6999)),
        ("capacity", |heartbeat| heartbeat.capacity = 2),
        ("cold", |heartbeat| heartbeat.warm_up_left = millis(500)),
        ("incarnation", |heartbeat| {
            heartbeat.incarnation = Incarnation(1)
        }),
        ("pool", |heartbeat| {
            heartbeat.service = ServiceName::new("other")
        }),
        ("zone", |heartbeat| heartbeat.zone = Zone::new("e2")),
    ];
    for (name, change) in changes {
        let mut instances = refreshing();
        hears(&mut instances, millis(1000), heartbeat("one", 1));
        let offset = instances.learned();
        let mut changed = heartbeat("one", 2);
        change(&mut changed);
        assert!(
            hears(&mut instances, millis(1001), changed.clone()),
            "{name}"
        );
        assert!(instances.learned() > offset, "{name}");
        let after = instances.after(millis(1001), offset);
        assert_eq!(after.len(), 1, "{name}");
        assert_eq!(after[0].heartbeat, changed, "{name}");
        // And again at once when it changes back; but not when it says the same again.
        let offset = instances.learned();
        let same = Heartbeat {
            counter: 3,
            ..changed.clone()
        };
        hears(&mut instances, millis(1002), same);
        assert_eq!(instances.learned(), offset, "{name}");
        let back = Heartbeat {
            incarnation: changed.incarnation,
            ..heartbeat("one", 4)
        };
        hears(&mut instances, millis(1003), back);
        let expected = u64::from(name != "incarnation");
        assert_eq!(instances.learned() - offset, expected, "{name}");
    }
}

#[test]
fn given_a_cold_time_that_runs_down_when_it_is_over_then_only_its_end_is_news() {
    let mut instances = refreshing();
    let cold = |counter: u64, left: u64| Heartbeat {
        warm_up_left: millis(left),
        ..heartbeat("one", counter)
    };
    hears(&mut instances, millis(1000), cold(1, 900));
    let offset = instances.learned();
    hears(&mut instances, millis(1300), cold(2, 600));
    hears(&mut instances, millis(1600), cold(3, 300));
    assert_eq!(instances.learned(), offset);
    hears(&mut instances, millis(1900), cold(4, 0));
    assert_eq!(reported(&instances, millis(1900), offset), ["one"]);
}

#[test]
fn given_each_kind_of_removal_when_it_happens_then_the_place_of_the_last_removal_grows() {
    let mut instances = refreshing();
    hears(&mut instances, millis(1000), heartbeat("one", 1));
    hears(&mut instances, millis(1000), heartbeat("two", 1));
    hears(&mut instances, millis(1000), heartbeat("three", 1));
    assert_eq!(instances.removed(), 0, "nobody left yet");
    let mut places = vec![instances.learned()];
    let mut removes = |instances: &Instances, what: &str| {
        let last = places[places.len() - 1];
        assert!(instances.removed() > last, "{what}");
        assert_eq!(instances.removed(), instances.learned(), "{what}");
        places.push(instances.learned());
    };
    // It said so; one that nobody knew did as well; another took its address; it fell silent.
    assert!(instances.end(millis(1100), &InstanceId::new("one")));
    removes(&instances, "ended");
    assert!(instances.end(millis(1200), &InstanceId::new("nobody")));
    removes(&instances, "unknown");
    let newcomer = Heartbeat {
        address: heartbeat("two", 1).address,
        ..heartbeat("four", 1)
    };
    let offset = instances.learned();
    assert!(hears(&mut instances, millis(1300), newcomer));
    assert!(instances.removed() > offset, "its address was taken");
    assert_eq!(instances.get(&InstanceId::new("two")), None);
    let offset = instances.removed();
    assert_eq!(instances.expire(millis(3999)), []);
    assert!(!instances.end(millis(3999), &InstanceId::new("one")));
    assert_eq!(instances.removed(), offset, "nobody left");
    assert_eq!(instances.expire(millis(4000)), [InstanceId::new("three")]);
    assert!(instances.removed() > offset, "it fell silent");
    assert_eq!(instances.removed(), instances.learned());
    // What is only heard of is no removal.
    let offset = instances.removed();
    hears(&mut instances, millis(4100), heartbeat("five", 1));
    assert_eq!(instances.removed(), offset);
}

fn member(node: u64, counter: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 6500 + node as u16));
    Member {
        same_demand: false,
        silent: false,
        stands: Vec::new(),
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

fn renews(members: &mut Members, now: Duration, member: Member) -> bool {
    let age = Duration::ZERO;
    members.handle(now, &HeardMember { member, age })
}

fn ready(members: &Members) -> Vec<u64> {
    members.ready_proxies().map(|proxy| proxy.node.0).collect()
}

#[test]
fn given_a_member_that_fell_silent_when_it_renews_later_then_it_counts_as_ready_again() {
    let mut members = Members::default();
    members.refresh = millis(1500);
    for node in [1, 2] {
        renews(&mut members, millis(1000), member(node, 5));
    }
    let offset = members.learned();
    members.count_silent(millis(2000), NodeId(1));
    assert_eq!(ready(&members), [2]);
    // Followers hear of it at once, and only once.
    let after = members.after(millis(2000), offset);
    assert_eq!(after.len(), 1);
    assert_eq!(
        (after[0].member.node, after[0].member.ready),
        (NodeId(1), false)
    );
    let offset = members.learned();
    members.count_silent(millis(2100), NodeId(1));
    members.count_silent(millis(2100), NodeId(7));
    assert_eq!(members.learned(), offset);
    // A renewal from before the silence that comes late changes nothing.
    assert!(!renews(&mut members, millis(2200), member(1, 4)));
    assert!(!renews(&mut members, millis(2200), member(1, 5)));
    assert_eq!(ready(&members), [2]);
    assert!(renews(&mut members, millis(2300), member(1, 7)));
    assert_eq!(ready(&members), [1, 2]);
    assert_eq!(members.after(millis(2300), offset).len(), 1, "at once");
}

#[test]
fn given_a_member_silent_here_when_it_was_heard_later_elsewhere_then_that_wins_everywhere() {
    let (mut here, mut elsewhere) = (Members::default(), Members::default());
    renews(&mut here, millis(1000), member(1, 5));
    renews(&mut elsewhere, millis(1900), member(1, 8));
    here.count_silent(millis(2000), NodeId(1));
    assert_eq!(ready(&here), Vec::<u64>::new());
    let now = millis(2010);
    for heard in here.after(now, 0) {
        assert!(!elsewhere.handle(now, &heard), "it knows better");
    }
    for heard in elsewhere.after(now, 0) {
        assert!(here.handle(now, &heard));
    }
    assert_eq!((ready(&here), ready(&elsewhere)), (vec![1], vec![1]));
    // Who has not heard it later takes the silence over.
    let mut third = Members::default();
    renews(&mut third, millis(1000), member(1, 8));
    here.count_silent(millis(2020), NodeId(1));
    for heard in here.after(millis(2030), 0) {
        assert!(third.handle(millis(2030), &heard));
    }
    assert_eq!(ready(&third), Vec::<u64>::new());
}

#[test]
fn given_a_member_counted_as_silent_when_its_very_next_renewal_comes_then_it_is_ready() {
    let mut members = Members::default();
    renews(&mut members, millis(1000), member(1, 5));
    members.count_silent(millis(2000), NodeId(1));
    assert!(renews(&mut members, millis(2100), member(1, 6)));
    assert_eq!(ready(&members), [1]);
}

fn view(number: u64, all: bool, instances: Vec<Heartbeat>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: all,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
        number,
        left: millis(3000),
        updates: Vec::new(),
        instances,
        proxies: 1,
        configuration: Version(0),
        ownership: Version(0),
    }
}

/// The instances that a proxy knows, by name and count, alike in both ways that it keeps them.
fn known(knowledge: &ProxyState) -> Vec<(String, u64)> {
    let pair = |heartbeat: &Heartbeat| (heartbeat.id.to_string(), heartbeat.counter);
    let by_name: Vec<(String, u64)> = knowledge.instances.values().map(pair).collect();
    let by_service = knowledge.by_service.values().flatten().map(pair);
    let mut by_service: Vec<(String, u64)> = by_service.collect();
    by_service.sort();
    assert_eq!(by_name, by_service);
    by_name
}

#[test]
fn given_a_proxy_that_is_told_of_changes_when_it_takes_them_then_the_rest_is_kept() {
    let mut knowledge = ProxyState::default();
    let named = |pairs: &[(&str, u64)]| -> Vec<(String, u64)> {
        let pairs = pairs.iter();
        pairs
            .map(|(name, counter)| ((*name).to_string(), *counter))
            .collect()
    };
    let all = vec![heartbeat("a", 1), heartbeat("b", 1), heartbeat("c", 1)];
    knowledge.take(millis(100), &view(1, true, all));
    assert_eq!(known(&knowledge), named(&[("a", 1), ("b", 1), ("c", 1)]));
    let moved = Heartbeat {
        service: ServiceName::new("other"),
        ..heartbeat("b", 2)
    };
    knowledge.take(millis(200), &view(2, false, vec![moved, heartbeat("d", 1)]));
    let expected = named(&[("a", 1), ("b", 2), ("c", 1), ("d", 1)]);
    assert_eq!(known(&knowledge), expected);
    assert_eq!(knowledge.by_service[&ServiceName::new("other")].len(), 1);
    assert_eq!(knowledge.instances_offset, 2);
    // Nothing changed, and it is fresh all the same.
    knowledge.take(millis(300), &view(3, false, Vec::new()));
    assert_eq!(known(&knowledge), expected);
    assert_eq!(knowledge.instances_offset, 3);
    assert_eq!(knowledge.fresh_until, millis(3300));
    // All there are: who is not named is gone.
    knowledge.take(millis(400), &view(4, true, vec![heartbeat("a", 2)]));
    assert_eq!(known(&knowledge), named(&[("a", 2)]));
    knowledge.take(millis(500), &view(5, true, Vec::new()));
    assert_eq!(known(&knowledge), []);
}

#[test]
fn given_numbers_of_proxies_when_told_then_the_most_of_the_last_ten_seconds_counts() {
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 6000))];
    let mut link = CoreLink::new(NodeId(9), &[MapName::Configuration], seeds, 0);
    assert_eq!(
        link.proxies(),
        1,
        "nobody told yet, and there is one at least"
    );
    let mut tells = |now: u64, proxies: u32| {
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
            assured: true,
            gone: Vec::new(),
            in_chunks: Vec::new(),
            more: false,
        };
        let responder = Responder {
            address: SocketAddr::from(([127, 0, 0, 1], 6000)),
            incarnation: NodeId(1),
        };
        link.granted(millis(now), responder, &granted);
        link.proxies()
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
        assert_eq!(tells(now, proxies), expected, "at {now}");
    }
}
