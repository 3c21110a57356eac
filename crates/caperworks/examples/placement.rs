//! Solves a placement problem: client groups propose units to sites, and a full site rejects the units that
//! lose least by it.

use caperworks::identifiers::{RouteName, Zone};
use caperworks::placement::{solve, ClientGroup, Site, EPSILON};

fn main() {
    let sites = ["e1", "e2", "w1"].map(|name| Site {
        zone: Zone::new(name),
        capacity: 100,
        proxy_capacity: 120,
    });
    let group = |name: &str, demand: u32, list: &[(usize, u32)]| ClientGroup {
        group: name.to_string(),
        route: RouteName::new("progress"),
        demand,
        list: list.to_vec(),
        last: Vec::new(),
    };
    let groups = [
        group("10.0.1.0/24", 80, &[(0, 1_000), (1, 2_000)]),
        group("10.0.2.0/24", 70, &[(0, 1_000), (2, 56_000)]),
    ];
    let solution = solve(&groups, &sites, EPSILON);
    for (group, placed) in groups.iter().zip(&solution.assignments) {
        println!(
            "{}: {:?}, unplaced {}",
            group.group, placed.units, placed.unplaced
        );
    }
    assert_eq!(
        solution.assignments[1].units.get(&0),
        Some(&70),
        "a group whose next choice is far away keeps the site"
    );
    assert_eq!(
        solution.assignments[0].units.get(&1),
        Some(&50),
        "a group whose next choice is near is moved there"
    );
}
