//! The solver: tracks the demand, and computes a new mapping when one is due.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::identifiers::{Epoch, Zone};
use crate::map_items::{GroupPlacement, Mapping};
use crate::placement::capacity::open_sites;
use crate::placement::demand::DemandTable;
use crate::placement::groups::ClientGroup;
use crate::placement::mapping::group_placement;
use crate::placement::problem::{Problem, ProblemView};
use crate::placement::proposals::{solve, EPSILON};

/// How often the solver runs when no site was lost or came back.
pub const SOLVE_PERIOD: Duration = Duration::from_millis(2000);

/// The solver of the placement leader: tracks the demand, and solves the problem periodically.
#[derive(Debug, Clone, Default)]
pub struct Solver {
    demand: DemandTable,
    solved_at: Option<Duration>,
    open_zones: BTreeSet<Zone>,
}

impl Solver {
    /// Solves the problem if [`SOLVE_PERIOD`] is over, or a site was lost or came back; returns the
    /// new mapping. Whether to propose it is decided by [`is_worth_writing`](super::is_worth_writing).
    pub fn step(&mut self, now: Duration, epoch: Epoch, view: &ProblemView<'_>) -> Option<Mapping> {
        let sites = open_sites(view);
        let open_zones: BTreeSet<Zone> = sites.keys().cloned().collect();
        let is_due = self
            .solved_at
            .is_none_or(|solved| now.saturating_sub(solved) >= SOLVE_PERIOD);
        if !is_due && open_zones == self.open_zones {
            return None;
        }
        self.solved_at = Some(now);
        self.open_zones = open_zones;
        self.demand.update(now, view);
        Some(Mapping {
            epoch,
            groups: place_groups(&Problem::new(view, &self.demand, &sites)),
            proxies: view.members.ready_proxies().count() as u32,
        })
    }
}

/// Places the groups of all routes, route by route.
fn place_groups(problem: &Problem<'_>) -> Vec<GroupPlacement> {
    let mut placements = Vec::new();
    for (name, route, groups) in problem.routes() {
        let sites = problem.sites(&name, route);
        let groups: Vec<ClientGroup> = groups
            .iter()
            .map(|(group, units)| problem.group(group, &name, *units, &sites))
            .collect();
        let solution = solve(&groups, &sites, EPSILON);
        for (group, assignment) in groups.into_iter().zip(solution.assignments) {
            placements.push(group_placement(group, &sites, assignment));
        }
    }
    placements
}
