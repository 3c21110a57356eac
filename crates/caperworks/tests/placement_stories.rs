//! Stories of the placement design: proposals, rejections, removal, and the directory's answers.

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

/// A random problem with room for all or not.
fn problem(chance: &mut RandomSource) -> (Vec<ClientGroup>, Vec<Site>) {
    let sites: Vec<Site> = (0..4)
        .map(|number| site(&format!("area-{number}"), chance.below(120) as u32))
        .collect();
    let groups = (0..12)
        .map(|number| {
            let mut list: Vec<(usize, u32)> = (0..4)
                .map(|rank| (rank, chance.below(60_000) as u32))
                .collect();
            list.sort_by_key(|(_, far)| *far);
            list.truncate(LIST_LENGTH);
            group(
                &format!("group-{number}"),
                1 + chance.below(40) as u32,
                &list,
            )
        })
        .collect();
    (groups, sites)
}

/// What a unit of the group loses by a rejection at this place of its list.
fn loss(group: &ClientGroup, rank: usize) -> u32 {
    group
        .list
        .get(rank + 1)
        .map_or(u32::MAX, |(_, next)| next - group.list[rank].1)
}

#[test]
fn given_random_problems_when_solved_to_the_last_unit_then_no_pair_would_rather_be_together() {
    let mut judged = 0;
    for seed in 0..400 {
        let mut chance = RandomSource::seeded(seed);
        let (groups, sites) = problem(&mut chance);
        let solution = solve(&groups, &sites, 0.0);
        for (site_index, site) in sites.iter().enumerate() {
            let taken: Vec<(usize, u32)> = solution
                .placed
                .iter()
                .enumerate()
                .filter_map(|(index, placed)| Some((index, *placed.units.get(&site_index)?)))
                .filter(|(_, units)| *units > 0)
                .collect();
            let sum: u32 = taken.iter().map(|(_, units)| units).sum();
            assert!(
                sum <= site.capacity * OVERFLOW_PERCENT / 100 + 1,
                "seed {seed}: overfull"
            );
            // A unit that sits at a later choice, or nowhere, must not be wanted more here than
            // one that is held: that would be a rogue pair.
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
            let least_held = taken
                .iter()
                .filter_map(|(index, _)| Some(loss(&groups[*index], rank_of(*index)?)))
                .min()
                .unwrap_or(u32::MAX);
            for (index, placed) in solution.placed.iter().enumerate() {
                let Some(rank) = rank_of(index) else {
                    continue;
                };
                let worse_off = placed.units.iter().any(|(other, units)| {
                    *units > 0
                        && groups[index]
                            .list
                            .iter()
                            .position(|(listed, _)| listed == other)
                            .is_some_and(|other_rank| other_rank > rank)
                });
                // The overflow pass may have moved units on; it is not part of the matching.
                let spilled = sites.iter().enumerate().any(|(other, site)| {
                    let total: u32 = solution
                        .placed
                        .iter()
                        .filter_map(|placed| placed.units.get(&other))
                        .sum();
                    total > site.capacity
                });
                if worse_off && !spilled {
                    judged += 1;
                    assert!(
                        loss(&groups[index], rank) <= least_held,
                        "seed {seed}: {} would rather be at {}",
                        groups[index].group,
                        site.zone
                    );
                }
            }
        }
    }
    assert!(judged > 50, "only {judged} pairs were judged");
}

#[test]
fn given_an_epsilon_when_solved_then_little_is_left_over_and_proposals_stay_few() {
    for seed in 0..200 {
        let mut chance = RandomSource::seeded(seed);
        let (groups, mut sites) = problem(&mut chance);
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
        for (group, placed) in groups.iter().zip(&solution.placed) {
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
fn given_a_full_site_when_two_groups_want_it_then_it_rejects_the_one_that_loses_least() {
    let sites = [site("near", 10), site("far", 100)];
    let groups = [
        group("flexible", 10, &[(0, 1_000), (1, 2_000)]),
        group("tied", 10, &[(0, 1_000), (1, 60_000)]),
    ];
    let solution = solve(&groups, &sites, EPSILON);
    assert_eq!(
        solution.placed[0].units.get(&1),
        Some(&10),
        "the flexible one spills"
    );
    assert_eq!(
        solution.placed[1].units.get(&0),
        Some(&10),
        "the tied one stays"
    );
}

#[test]
fn given_a_site_in_use_when_another_is_a_little_nearer_then_the_list_keeps_it_first() {
    let sites = [site("one", 10), site("two", 10)];
    let distance = |zone: &Zone| Some(if zone.as_str() == "one" { 5_000 } else { 4_200 });
    let fresh = rank_sites("group", &sites, &[], distance);
    assert_eq!(fresh[0].0, 1);
    let used = rank_sites("group", &sites, &[0], distance);
    assert_eq!(used[0].0, 0, "a small gain must not move clients");
}

/// A small world for the solver: two regions of two zones each.
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
            bench.proxy_says(Duration::from_secs(1), zone, true, 0);
            bench.instance_says(zone, InstanceState::Serving);
        }
        bench
    }

    fn proxy_says(&mut self, now: Duration, zone: &str, ready: bool, requests: u32) {
        self.proxy_measures(now, zone, ready, "progress", requests);
    }

    fn proxy_measures(
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
            locality: Duration::from_millis(if zone.starts_with('e') { 2 } else { 50 }),
        };
        let member = Member {
            stands: Vec::new(),
            demand_unchanged: false,
            silent: false,
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

    fn instance_says(&mut self, zone: &str, state: InstanceState) {
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
            up: Duration::from_secs(60),
            held_key_ranges: Vec::new(),
            let_go: Vec::new(),
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

    fn solves(&self, solver: &mut Solver, seconds: u64, last: Option<&Mapping>) -> Mapping {
        self.solves_for(solver, seconds, last, false)
    }

    /// Solves for hosts whose requests proxies elsewhere send home, or for routes that stay home.
    fn solves_for(
        &self,
        solver: &mut Solver,
        seconds: u64,
        last: Option<&Mapping>,
        hosts_carried_home: bool,
    ) -> Mapping {
        let view = ProblemView {
            by_host: hosts_carried_home,
            forwards_to_home: hosts_carried_home,
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

/// The zones that carry units of a group.
fn carrying(mapping: &Mapping, group: &str) -> BTreeSet<String> {
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
fn given_closed_crashed_and_draining_sites_when_solved_then_none_of_them_carries_anything() {
    let mut bench = Bench::new(None);
    bench.proxy_says(Duration::from_secs(2), "e1", true, 60);
    let mapping = bench.solves(&mut Solver::default(), 2, None);
    assert!(carrying(&mapping, "10.1.2.0/24").is_subset(&["e1".into(), "e2".into()].into()));
    bench.close("e1");
    bench.proxy_says(Duration::from_secs(2), "e2", false, 0);
    bench.instance_says("w1", InstanceState::Draining);
    let mapping = bench.solves(&mut Solver::default(), 2, Some(&mapping));
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(
        carriers,
        ["w2".to_string()].into(),
        "only w2 is open, ready and serving"
    );
}

#[test]
fn given_a_home_region_when_its_sites_are_full_then_units_stay_at_home_or_unplaced() {
    let mut bench = Bench::new(Some("east"));
    bench.proxy_says(Duration::from_secs(2), "e1", true, 900);
    let mapping = bench.solves(&mut Solver::default(), 2, None);
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(carriers, ["e1".to_string(), "e2".to_string()].into());
    let unplaced: u32 = mapping
        .groups
        .iter()
        .map(|placement| placement.unplaced)
        .sum();
    assert!(unplaced > 500, "{unplaced} must be owned up to");
}

#[test]
fn given_a_lost_site_when_the_directory_still_has_the_old_mapping_then_it_names_the_next() {
    let mut bench = Bench::new(Some("east"));
    bench.proxy_says(Duration::from_secs(2), "e1", true, 20);
    let mapping = bench.solves(&mut Solver::default(), 2, None);
    let used = carrying(&mapping, "10.1.2.0/24");
    let other = if used.contains("e1") { "e2" } else { "e1" };
    assert_eq!(used.len(), 1, "twenty orders fit one site");
    let alive = [(Zone::new(other), SocketAddr::from(([127, 0, 0, 1], 1)))];
    let route = RouteName::new("progress");
    let own = Zone::new("w1");
    let found = resolve_route(&mapping, &route, "10.1.2.0/24", &own, &alive, 7);
    assert_eq!(
        found.expect("the next of its list").addresses,
        vec![alive[0].1]
    );
}

#[test]
fn given_a_route_bound_to_one_region_when_others_use_all_sites_then_it_gets_its_part_of_the_two() {
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
    bench.proxy_measures(now, "e1", true, "progress", 60);
    bench.proxy_measures(now, "w1", true, "other", 150);
    let mapping = bench.solves(&mut Solver::default(), 2, None);
    let bound: Vec<&GroupPlacement> = mapping
        .groups
        .iter()
        .filter(|placement| placement.route.as_str() == "progress" && placement.group != "*")
        .collect();
    let most = bound[0].shares.iter().map(|share| share.units).max();
    // Half of all sites' proxies are in its reach, and what the others bring there is a quarter.
    assert!(most >= Some(40), "its first site takes only {most:?} of 60");
    assert_eq!(bound[0].unplaced, 0);
}

/// A directory tells where a group's clients say that they stand.
fn directory_says(bench: &mut Bench, zone: &str) {
    bench.counter += 1;
    let address = SocketAddr::from(([127, 0, 0, 1], 8999));
    let member = Member {
        demand_unchanged: false,
        silent: false,
        stands: vec![GroupZone {
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
    let heard = ReceivedMember { member, age };
    bench.members.handle(Duration::from_secs(2), &heard);
}

/// A proxy that sees requests of the group and cannot tell how far its clients are.
fn proxy_cannot_measure(bench: &mut Bench, zone: &str, requests: u32) {
    let now = Duration::from_secs(2);
    bench.proxy_says(now, zone, true, requests);
    let mut member = bench
        .members
        .iter()
        .find(|member| member.zone.as_str() == zone)
        .expect("it is a member")
        .clone();
    bench.counter += 1;
    member.counter = bench.counter;
    member.demand[0].locality = Duration::ZERO;
    let age = Duration::ZERO;
    bench.members.handle(now, &ReceivedMember { member, age });
}

#[test]
fn given_a_group_that_says_where_it_stands_when_solved_then_it_is_sent_there_or_to_its_region() {
    for (zone, near) in [("e1", "e2"), ("e2", "e1"), ("w1", "w2"), ("w2", "w1")] {
        // Its requests are seen somewhere else, where the round trip cannot be told.
        for seen in ["e1", "w2"] {
            let mut bench = Bench::new(None);
            proxy_cannot_measure(&mut bench, seen, 20);
            directory_says(&mut bench, zone);
            let mapping = bench.solves(&mut Solver::default(), 2, None);
            let carriers = carrying(&mapping, "10.1.2.0/24");
            assert_eq!(carriers, [zone.to_string()].into(), "seen at {seen}");
            bench.close(zone);
            let mapping = bench.solves(&mut Solver::default(), 2, None);
            let carriers = carrying(&mapping, "10.1.2.0/24");
            assert_eq!(carriers, [near.to_string()].into(), "seen at {seen}");
        }
    }
}

#[test]
fn given_a_group_whose_distance_was_measured_when_it_says_where_it_stands_then_the_measure_counts()
{
    let mut bench = Bench::new(None);
    bench.proxy_says(Duration::from_secs(2), "e1", true, 20);
    directory_says(&mut bench, "w1");
    let mapping = bench.solves(&mut Solver::default(), 2, None);
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(carriers, ["e1".to_string()].into());
}

#[test]
fn given_a_group_that_moves_when_it_says_so_then_it_is_sent_where_it_stands_now() {
    let mut bench = Bench::new(None);
    proxy_cannot_measure(&mut bench, "e1", 20);
    directory_says(&mut bench, "e2");
    let mut solver = Solver::default();
    let mapping = bench.solves(&mut solver, 2, None);
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(carriers, ["e2".to_string()].into());
    directory_says(&mut bench, "w2");
    let mapping = bench.solves(&mut solver, 4, Some(&mapping));
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(carriers, ["w2".to_string()].into());
}

/// Adds a route to the host of the first one, by a name that comes before it and without a home.
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
fn given_a_host_with_a_home_when_its_home_is_full_then_clients_there_are_sent_to_no_other_region() {
    let mut bench = Bench::new(Some("east"));
    add_route_without_home(&mut bench);
    bench.proxy_says(Duration::from_secs(2), "e1", true, 900);
    directory_says(&mut bench, "e1");
    let mapping = bench.solves_for(&mut Solver::default(), 2, None, true);
    let carriers = carrying(&mapping, "10.1.2.0/24");
    let home: BTreeSet<String> = ["e1".to_string(), "e2".to_string()].into();
    assert!(
        !carriers.is_empty() && carriers.is_subset(&home),
        "{carriers:?}"
    );
}

#[test]
fn given_a_host_with_a_home_when_clients_stand_elsewhere_then_their_own_region_carries_them() {
    let mut bench = Bench::new(Some("east"));
    add_route_without_home(&mut bench);
    proxy_cannot_measure(&mut bench, "w1", 20);
    directory_says(&mut bench, "w1");
    let mapping = bench.solves_for(&mut Solver::default(), 2, None, true);
    let carriers = carrying(&mapping, "10.1.2.0/24");
    assert_eq!(carriers, ["w1".to_string()].into());
}

#[test]
fn given_a_mapping_that_names_another_region_when_a_host_has_a_home_then_it_is_not_followed() {
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
    let named = |client: &str, alive: &[(Zone, SocketAddr)]| {
        let client = Zone::new(client);
        let route = RouteName::new("progress");
        let may_carry = |zone: &Zone| bounds.allow(Some(&region(zone)), Some(&region(&client)));
        let found = resolve_host(
            Some(&mapping),
            &[&route],
            group,
            &client,
            alive,
            may_carry,
            5,
        );
        found.map(|found| found.addresses).unwrap_or_default()
    };
    assert_eq!(named("e1", &proxies), [address(1)], "its own zone");
    assert_eq!(
        named("e1", &proxies[1..]),
        [address(2)],
        "its own zone is down"
    );
    assert_eq!(
        named("e1", &proxies[2..]),
        [],
        "only a third region is left"
    );
    assert_eq!(named("w1", &proxies), [address(3)], "its own region");
    assert_eq!(named("w1", &proxies[..2]), [address(1), address(2)], "home");
}

#[test]
fn given_routes_with_homes_of_their_own_when_a_host_is_asked_for_then_all_of_them_bind() {
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
    assert!(bounds.allow(Some(&east), Some(&north)), "home of all");
    assert!(!bounds.allow(Some(&west), Some(&north)), "home of one only");
    assert!(bounds.allow(Some(&north), Some(&north)), "the client's");
    assert!(!bounds.allow(None, None), "nothing is known of either");
    let free = HomeBounds::of([bound(&[])].iter());
    assert!(
        free.allow(Some(&west), None) && free.allow(None, None),
        "no bound"
    );
}
