//! Placement: proposals, rejections, lost sites, and the directory's responses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::directory_responses::{resolve_host, resolve_route};
use caperworks::facts::{
    Demand, GroupZone, Heartbeat, InstanceState, Member, ReceivedHeartbeat, ReceivedMember, Role,
};
use caperworks::home_bounds::HomeBounds;
use caperworks::identifiers::{
    stable_hash, ChangeId, Epoch, Incarnation, InstanceId, NodeId, RandomSource, Region, RouteName,
    ServiceName, Zone,
};
use caperworks::instances::Instances;
use caperworks::map_items::{GroupPlacement, Mapping, Route, Share, Value, ZoneSettings};
use caperworks::members::Members;
use caperworks::placement::{
    rank_sites, solve, ClientGroup, ProblemView, Site, Solver, EPSILON, LIST_LENGTH,
    OVERFLOW_PERCENT,
};
use caperworks::replicated_map::{Change, Put, ReplicatedMap};

fn site(name: &str, capacity: u32) -> Site {
    Site {
        zone: Zone::new(name),
        capacity,
        proxy_capacity: capacity,
    }
}

fn group(name: &str, demand: u32, list: &[(usize, u32)]) -> ClientGroup {
    ClientGroup {
        group: name.to_string(),
        route: RouteName::new("progress"),
        demand,
        list: list.to_vec(),
        last: Vec::new(),
    }
}

/// Returns a random problem, with or without sufficient capacity.
fn problem(random: &mut RandomSource) -> (Vec<ClientGroup>, Vec<Site>) {
    let sites: Vec<Site> = (0..4)
        .map(|number| site(&format!("area-{number}"), random.below(120) as u32))
        .collect();
    let groups = (0..12)
        .map(|number| {
            let mut list: Vec<(usize, u32)> = (0..4)
                .map(|rank| (rank, random.below(60_000) as u32))
                .collect();
            list.sort_by_key(|(_, distance)| *distance);
            list.truncate(LIST_LENGTH);
            group(
                &format!("group-{number}"),
                1 + random.below(40) as u32,
                &list,
            )
        })
        .collect();
    (groups, sites)
}

/// Returns the cost of a rejection for a unit of the group at this position of its list.
fn loss(group: &ClientGroup, rank: usize) -> u32 {
    group
        .list
        .get(rank + 1)
        .map_or(u32::MAX, |(_, next)| next - group.list[rank].1)
}

#[test]
fn solved_random_problems_have_no_blocking_pair() {
    let mut checked = 0;
    for seed in 0..400 {
        let mut random = RandomSource::seeded(seed);
        let (groups, sites) = problem(&mut random);
        let solution = solve(&groups, &sites, 0.0);
        for (site_index, site) in sites.iter().enumerate() {
            let accepted: Vec<(usize, u32)> = solution
                .assignments
                .iter()
                .enumerate()
                .filter_map(|(index, placed)| Some((index, *placed.units.get(&site_index)?)))
                .filter(|(_, units)| *units > 0)
                .collect();
            let sum: u32 = accepted.iter().map(|(_, units)| units).sum();
            assert!(
                sum <= site.capacity * OVERFLOW_PERCENT / 100 + 1,
                "seed {seed}: over the overflow limit"
            );
            // A unit that is placed at a later choice, or not at all, must not lose more than a unit that
            // this site has accepted: that would be a blocking pair.
            let rank_of = |index: usize| {
                groups[index]
                    .list
                    .iter()
                    .position(|(listed, _)| *listed == site_index)
            };
            let overflowed = sum > site.capacity;
            if overflowed || sum < site.capacity {
                continue;
            }
            let least_accepted = accepted
                .iter()
                .filter_map(|(index, _)| Some(loss(&groups[*index], rank_of(*index)?)))
                .min()
                .unwrap_or(u32::MAX);
            for (index, placed) in solution.assignments.iter().enumerate() {
                let Some(rank) = rank_of(index) else {
                    continue;
                };
                let is_worse_off = placed.units.iter().any(|(other, units)| {
                    *units > 0
                        && groups[index]
                            .list
                            .iter()
                            .position(|(listed, _)| listed == other)
                            .is_some_and(|other_rank| other_rank > rank)
                });
                // The overflow pass may have moved units; it is not part of the matching.
                let has_overflow = sites.iter().enumerate().any(|(other, site)| {
                    let total: u32 = solution
                        .assignments
                        .iter()
                        .filter_map(|placed| placed.units.get(&other))
                        .sum();
                    total > site.capacity
                });
                if is_worse_off && !has_overflow {
                    checked += 1;
                    assert!(
                        loss(&groups[index], rank) <= least_accepted,
                        "seed {seed}: {} prefers {}",
                        groups[index].group,
                        site.zone
                    );
                }
            }
        }
    }
    assert!(checked > 50, "only {checked} pairs were checked");
}

#[test]
fn epsilon_bounds_unplaced_units_and_proposals() {
    for seed in 0..200 {
        let mut random = RandomSource::seeded(seed);
        let (groups, mut sites) = problem(&mut random);
        for site in &mut sites {
            site.capacity += 200;
            site.proxy_capacity = site.capacity;
        }
        let solution = solve(&groups, &sites, EPSILON);
        let lists: usize = groups.iter().map(|group| group.list.len()).sum();
        let bound = (lists as f64 / EPSILON) as usize * LIST_LENGTH;
        assert!(
            solution.proposals <= bound,
            "seed {seed}: {} proposals",
            solution.proposals
        );
        for (group, placed) in groups.iter().zip(&solution.assignments) {
            let allowed = (f64::from(group.demand) * EPSILON).ceil() as u32;
            assert!(
                placed.unplaced <= allowed,
                "seed {seed}: {}",
                placed.unplaced
            );
        }
    }
}

#[test]
fn full_site_rejects_the_group_that_loses_least() {
    let sites = [site("near", 10), site("far", 100)];
    let groups = [
        group("flexible", 10, &[(0, 1_000), (1, 2_000)]),
        group("tied", 10, &[(0, 1_000), (1, 60_000)]),
    ];
    let solution = solve(&groups, &sites, EPSILON);
    assert_eq!(
        solution.assignments[0].units.get(&1),
        Some(&10),
        "the flexible group is rejected"
    );
    assert_eq!(
        solution.assignments[1].units.get(&0),
        Some(&10),
        "the tied group is accepted"
    );
}

#[test]
fn slightly_nearer_site_does_not_replace_the_one_in_use() {
    let sites = [site("one", 10), site("two", 10)];
    let distance = |zone: &Zone| Some(if zone.as_str() == "one" { 5_000 } else { 4_200 });
    let unused = rank_sites("group", &sites, &[], distance);
    assert_eq!(unused[0].0, 1);
    let in_use = rank_sites("group", &sites, &[0], distance);
    assert_eq!(in_use[0].0, 0, "a small gain must not move clients");
}

/// The input of the solver: two regions with two zones each.
struct Bench {
    configuration: ReplicatedMap,
    instances: Instances,
    members: Members,
    counter: u64,
}

impl Bench {
    fn new(home: Option<&str>) -> Self {
        let mut configuration = ReplicatedMap::empty();
        let zones = [
            ("e1", "east"),
            ("e2", "east"),
            ("w1", "west"),
            ("w2", "west"),
        ];
        let mut puts: Vec<Put> = zones
            .iter()
            .map(|(zone, region)| Put {
                key: format!("area/{zone}"),
                expected: None,
                value: Some(Value::Zone {
                    zone: ZoneSettings {
                        region: Region::new(*region),
                        closed: false,
                    },
                }),
                written: None,
            })
            .collect();
        puts.push(Put {
            key: "rule/progress".to_string(),
            expected: None,
            value: Some(Value::Route {
                route: Route {
                    host: "*".to_string(),
                    path: "/".to_string(),
                    service: ServiceName::new("records"),
                    homes: home.map(Region::new).into_iter().collect(),
                    deadline: Duration::from_secs(1),
                    body_limit: 1,
                    key_header: None,
                    ..Route::default()
                },
            }),
            written: None,
        });
        let id = ChangeId::new("first");
        configuration.apply(&Change {
            id,
            puts,
            guards: Vec::new(),
        });
        let mut bench = Self {
            configuration,
            instances: Instances::default(),
            members: Members::default(),
            counter: 0,
        };
        for (zone, _) in zones {
            bench.report_proxy(Duration::from_secs(1), zone, true, 0);
            bench.report_instance(zone, InstanceState::Serving);
        }
        bench
    }

    /// Reports requests on the route `progress` from the proxy of a zone.
    fn report_proxy(&mut self, now: Duration, zone: &str, ready: bool, requests: u32) {
        self.report_demand(now, zone, ready, "progress", requests);
    }

    /// Reports requests on a route, with measured distances, from the proxy of a zone.
    fn report_demand(
        &mut self,
        now: Duration,
        zone: &str,
        ready: bool,
        route: &str,
        requests: u32,
    ) {
        self.counter += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], 9000 + (stable_hash(zone) % 900) as u16));
        let demand = Demand {
            group: "10.1.2.0/24".to_string(),
            route: RouteName::new(route),
            requests,
            distance: Duration::from_millis(if zone.starts_with('e') { 2 } else { 50 }),
        };
        let member = Member {
            client_zones: Vec::new(),
            demand_unchanged: false,
            suspected: false,
            node: NodeId(stable_hash(zone)),
            counter: self.counter,
            role: Role::Proxy,
            zone: Zone::new(zone),
            control: address,
            serving: address,
            ready,
            capacity: 100,
            demand: if requests > 0 {
                vec![demand]
            } else {
                Vec::new()
            },
            versions: Vec::new(),
            draining: false,
        };
        self.members.handle(
            now,
            &ReceivedMember {
                member,
                age: Duration::ZERO,
            },
        );
    }

    /// Reports the state of the instance of a zone.
    fn report_instance(&mut self, zone: &str, state: InstanceState) {
        self.counter += 1;
        let heartbeat = Heartbeat {
            id: InstanceId::new(format!("records-{zone}")),
            incarnation: Incarnation(1),
            counter: self.counter,
            service: ServiceName::new("records"),
            zone: Zone::new(zone),
            address: SocketAddr::from(([127, 0, 0, 1], 8000 + (stable_hash(zone) % 900) as u16)),
            capacity: 100,
            state,
            load: 0,
            uptime: Duration::from_secs(60),
            key_ranges_in_use: Vec::new(),
            released: Vec::new(),
            warm_up_left: Duration::ZERO,
        };
        let now = Duration::from_secs(1);
        self.instances.handle(
            now,
            &ReceivedHeartbeat {
                heartbeat,
                age: Duration::ZERO,
            },
        );
    }

    fn close(&mut self, zone: &str) {
        let key = format!("area/{zone}");
        let region = Region::new(if zone.starts_with('e') {
            "east"
        } else {
            "west"
        });
        let value = Some(Value::Zone {
            zone: ZoneSettings {
                region,
                closed: true,
            },
        });
        let puts = vec![Put {
            key,
            expected: None,
            value,
            written: None,
        }];
        let id = ChangeId::new(format!("close-{zone}"));
        self.configuration.apply(&Change {
            id,
            puts,
            guards: Vec::new(),
        });
    }

    fn solve(&self, solver: &mut Solver, seconds: u64, last: Option<&Mapping>) -> Mapping {
        self.solve_for(solver, seconds, last, false)
    }

    /// Solves either per host, with proxies elsewhere forwarding requests home, or per route, with
    /// requests accepted at home only.
    fn solve_for(
        &self,
        solver: &mut Solver,
        seconds: u64,
        last: Option<&Mapping>,
        by_host_forwarded: bool,
    ) -> Mapping {
        let view = ProblemView {
            by_host: by_host_forwarded,
            forwards_to_home: by_host_forwarded,
            configuration: &self.configuration,
            instances: &self.instances,
            members: &self.members,
            last,
            requests_per_slot: 1,
        };
        solver
            .step(Duration::from_secs(seconds), Epoch(1), &view)
            .expect("a solve is due")
    }
}

/// Returns the zones that have units of a group.
fn zones_with_units(mapping: &Mapping, group: &str) -> BTreeSet<String> {
    mapping
        .groups
        .iter()
        .filter(|placement| placement.group == group)
        .flat_map(|placement| &placement.shares)
        .filter(|share| share.units > 0)
        .map(|share| share.zone.to_string())
        .collect()
}

#[test]
fn closed_crashed_and_draining_sites_get_no_units() {
    let mut bench = Bench::new(None);
    bench.report_proxy(Duration::from_secs(2), "e1", true, 60);
    let mapping = bench.solve(&mut Solver::default(), 2, None);
    assert!(zones_with_units(&mapping, "10.1.2.0/24").is_subset(&["e1".into(), "e2".into()].into()));
    bench.close("e1");
    bench.report_proxy(Duration::from_secs(2), "e2", false, 0);
    bench.report_instance("w1", InstanceState::Draining);
    let mapping = bench.solve(&mut Solver::default(), 2, Some(&mapping));
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(
        used_zones,
        ["w2".to_string()].into(),
        "only w2 is open, ready and serving"
    );
}

#[test]
fn units_beyond_the_home_region_capacity_stay_unplaced() {
    let mut bench = Bench::new(Some("east"));
    bench.report_proxy(Duration::from_secs(2), "e1", true, 900);
    let mapping = bench.solve(&mut Solver::default(), 2, None);
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(used_zones, ["e1".to_string(), "e2".to_string()].into());
    let unplaced: u32 = mapping
        .groups
        .iter()
        .map(|placement| placement.unplaced)
        .sum();
    assert!(
        unplaced > 500,
        "only {unplaced} units are reported as unplaced"
    );
}

#[test]
fn directory_falls_back_to_the_next_site_of_an_old_mapping() {
    let mut bench = Bench::new(Some("east"));
    bench.report_proxy(Duration::from_secs(2), "e1", true, 20);
    let mapping = bench.solve(&mut Solver::default(), 2, None);
    let used = zones_with_units(&mapping, "10.1.2.0/24");
    let other = if used.contains("e1") { "e2" } else { "e1" };
    assert_eq!(used.len(), 1, "twenty requests a second fit one site");
    let alive = [(Zone::new(other), SocketAddr::from(([127, 0, 0, 1], 1)))];
    let route = RouteName::new("progress");
    let own = Zone::new("w1");
    let found = resolve_route(&mapping, &route, "10.1.2.0/24", &own, &alive, 7);
    assert_eq!(
        found.expect("the next site of its list").addresses,
        vec![alive[0].1]
    );
}

#[test]
fn region_bound_route_gets_its_share_of_its_sites() {
    let mut bench = Bench::new(Some("east"));
    let mut other = bench.configuration.items["rule/progress"].value.clone();
    if let Value::Route { route } = &mut other {
        route.homes.clear();
        route.host = "other.example".to_string();
    }
    let put = Put {
        key: "rule/other".to_string(),
        expected: None,
        value: Some(other),
        written: None,
    };
    let id = ChangeId::new("other");
    bench.configuration.apply(&Change {
        id,
        puts: vec![put],
        guards: Vec::new(),
    });
    let now = Duration::from_secs(2);
    bench.report_demand(now, "e1", true, "progress", 60);
    bench.report_demand(now, "w1", true, "other", 150);
    let mapping = bench.solve(&mut Solver::default(), 2, None);
    let bound: Vec<&GroupPlacement> = mapping
        .groups
        .iter()
        .filter(|placement| placement.route.as_str() == "progress" && placement.group != "*")
        .collect();
    let largest_share = bound[0].shares.iter().map(|share| share.units).max();
    // The route may use half of all proxies, and the other route brings a quarter of their load.
    assert!(
        largest_share >= Some(40),
        "its first site gets only {largest_share:?} of 60"
    );
    assert_eq!(bound[0].unplaced, 0);
}

/// Reports from a directory the zone that the clients of the group name.
fn report_client_zone(bench: &mut Bench, zone: &str) {
    bench.counter += 1;
    let address = SocketAddr::from(([127, 0, 0, 1], 8999));
    let member = Member {
        demand_unchanged: false,
        suspected: false,
        client_zones: vec![GroupZone {
            group: "10.1.2.0/24".to_string(),
            zone: Zone::new(zone),
        }],
        node: NodeId(7),
        counter: bench.counter,
        role: Role::Directory,
        zone: Zone::new("e1"),
        control: address,
        serving: address,
        ready: true,
        capacity: 0,
        demand: Vec::new(),
        versions: Vec::new(),
        draining: false,
    };
    let age = Duration::ZERO;
    let received = ReceivedMember { member, age };
    bench.members.handle(Duration::from_secs(2), &received);
}

/// Reports requests of the group from a proxy that could not measure the distance to its clients.
fn report_unmeasured(bench: &mut Bench, zone: &str, requests: u32) {
    let now = Duration::from_secs(2);
    bench.report_proxy(now, zone, true, requests);
    let mut member = bench
        .members
        .iter()
        .find(|member| member.zone.as_str() == zone)
        .expect("it is a member")
        .clone();
    bench.counter += 1;
    member.counter = bench.counter;
    member.demand[0].distance = Duration::ZERO;
    let age = Duration::ZERO;
    bench.members.handle(now, &ReceivedMember { member, age });
}

#[test]
fn reported_zone_places_a_group_in_its_zone_or_region() {
    for (zone, near) in [("e1", "e2"), ("e2", "e1"), ("w1", "w2"), ("w2", "w1")] {
        // Its requests arrive in another zone, where the round trip time is not measured.
        for seen in ["e1", "w2"] {
            let mut bench = Bench::new(None);
            report_unmeasured(&mut bench, seen, 20);
            report_client_zone(&mut bench, zone);
            let mapping = bench.solve(&mut Solver::default(), 2, None);
            let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
            assert_eq!(used_zones, [zone.to_string()].into(), "requests in {seen}");
            bench.close(zone);
            let mapping = bench.solve(&mut Solver::default(), 2, None);
            let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
            assert_eq!(used_zones, [near.to_string()].into(), "requests in {seen}");
        }
    }
}

#[test]
fn measured_distance_overrides_the_reported_zone() {
    let mut bench = Bench::new(None);
    bench.report_proxy(Duration::from_secs(2), "e1", true, 20);
    report_client_zone(&mut bench, "w1");
    let mapping = bench.solve(&mut Solver::default(), 2, None);
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(used_zones, ["e1".to_string()].into());
}

#[test]
fn group_follows_a_change_of_its_reported_zone() {
    let mut bench = Bench::new(None);
    report_unmeasured(&mut bench, "e1", 20);
    report_client_zone(&mut bench, "e2");
    let mut solver = Solver::default();
    let mapping = bench.solve(&mut solver, 2, None);
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(used_zones, ["e2".to_string()].into());
    report_client_zone(&mut bench, "w2");
    let mapping = bench.solve(&mut solver, 4, Some(&mapping));
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(used_zones, ["w2".to_string()].into());
}

/// Adds a route without a home region to the host of the first one; its name sorts before the first.
fn add_route_without_home(bench: &mut Bench) {
    let mut other = bench.configuration.items["rule/progress"].value.clone();
    if let Value::Route { route } = &mut other {
        route.homes.clear();
        route.path = "/free".to_string();
    }
    let put = Put {
        key: "rule/free".to_string(),
        expected: None,
        value: Some(other),
        written: None,
    };
    bench.configuration.apply(&Change {
        id: ChangeId::new("free"),
        puts: vec![put],
        guards: Vec::new(),
    });
}

#[test]
fn full_home_region_does_not_send_its_clients_elsewhere() {
    let mut bench = Bench::new(Some("east"));
    add_route_without_home(&mut bench);
    bench.report_proxy(Duration::from_secs(2), "e1", true, 900);
    report_client_zone(&mut bench, "e1");
    let mapping = bench.solve_for(&mut Solver::default(), 2, None, true);
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    let home: BTreeSet<String> = ["e1".to_string(), "e2".to_string()].into();
    assert!(
        !used_zones.is_empty() && used_zones.is_subset(&home),
        "{used_zones:?}"
    );
}

#[test]
fn clients_outside_the_home_region_use_their_own_region() {
    let mut bench = Bench::new(Some("east"));
    add_route_without_home(&mut bench);
    report_unmeasured(&mut bench, "w1", 20);
    report_client_zone(&mut bench, "w1");
    let mapping = bench.solve_for(&mut Solver::default(), 2, None, true);
    let used_zones = zones_with_units(&mapping, "10.1.2.0/24");
    assert_eq!(used_zones, ["w1".to_string()].into());
}

#[test]
fn mapping_outside_the_home_bounds_is_ignored() {
    let group = "10.1.2.0/24";
    let mapping = Mapping {
        epoch: Epoch(1),
        groups: vec![GroupPlacement {
            group: group.to_string(),
            route: RouteName::new("progress"),
            shares: vec![Share {
                zone: Zone::new("w1"),
                units: 10,
            }],
            unplaced: 0,
        }],
        proxies: 3,
    };
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let proxies = [
        (Zone::new("e1"), address(1)),
        (Zone::new("e2"), address(2)),
        (Zone::new("w1"), address(3)),
    ];
    let region = |zone: &Zone| {
        Region::new(if zone.as_str().starts_with('e') {
            "east"
        } else {
            "west"
        })
    };
    let home = Route {
        homes: vec![Region::new("east")],
        ..Route::default()
    };
    let bounds = HomeBounds::of([home].iter());
    let listed = |client: &str, alive: &[(Zone, SocketAddr)]| {
        let client = Zone::new(client);
        let route = RouteName::new("progress");
        let may_handle = |zone: &Zone| bounds.allows(Some(&region(zone)), Some(&region(&client)));
        let found = resolve_host(
            Some(&mapping),
            &[&route],
            group,
            &client,
            alive,
            may_handle,
            5,
        );
        found.map(|found| found.addresses).unwrap_or_default()
    };
    assert_eq!(listed("e1", &proxies), [address(1)], "its own zone");
    assert_eq!(
        listed("e1", &proxies[1..]),
        [address(2)],
        "its own zone is down"
    );
    assert_eq!(
        listed("e1", &proxies[2..]),
        [],
        "only a third region is left"
    );
    assert_eq!(listed("w1", &proxies), [address(3)], "its own region");
    assert_eq!(
        listed("w1", &proxies[..2]),
        [address(1), address(2)],
        "home"
    );
}

#[test]
fn host_is_bound_by_the_homes_of_all_its_routes() {
    let bound = |homes: &[&str]| Route {
        homes: homes.iter().map(|home| Region::new(*home)).collect(),
        ..Route::default()
    };
    let (east, west, north) = (
        Region::new("east"),
        Region::new("west"),
        Region::new("north"),
    );
    let routes = [bound(&["east", "west"]), bound(&[]), bound(&["east"])];
    let bounds = HomeBounds::of(routes.iter());
    assert!(bounds.allows(Some(&east), Some(&north)), "home of all");
    assert!(
        !bounds.allows(Some(&west), Some(&north)),
        "home of one only"
    );
    assert!(bounds.allows(Some(&north), Some(&north)), "the client's");
    assert!(!bounds.allows(None, None), "both regions are unknown");
    let unbound = HomeBounds::of([bound(&[])].iter());
    assert!(
        unbound.allows(Some(&west), None) && unbound.allows(None, None),
        "no bound"
    );
}
