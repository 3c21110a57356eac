//! Proposals and rejections (sections 7.4.4 to 7.4.6 of the source): a variant of stable matching with
//! capacities.
//!
//! A group proposes blocks of units to the sites of its preference list, in order. A site over its
//! capacity rejects the units that lose least by it; those proceed to the group's next choice. A group
//! stops when less than the ε part of its demand is unassigned.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::placement::capacity::Site;
use crate::placement::groups::ClientGroup;
use crate::placement::overflow::assign_overflow;
use crate::placement::preference_list::rejection_loss;

/// A group proposes only while at least this fraction of its demand is unassigned.
pub const EPSILON: f64 = 0.02;

/// The assignment of one group's units.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GroupAssignment {
    /// Units by index of the site.
    pub units: BTreeMap<usize, u32>,
    /// Units that found no site.
    pub unplaced: u32,
}

/// The result of the solver for one route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Solution {
    /// The assignment of each group, in the order of the input.
    pub assignments: Vec<GroupAssignment>,
    /// Number of proposals that were made, to compare with the bound that the source gives.
    pub proposals: usize,
}

/// Solves the placement of one route: runs proposals and rejections until every group has stopped, then
/// assigns the units that are left over, see `overflow`.
pub fn solve(groups: &[ClientGroup], sites: &[Site], epsilon: f64) -> Solution {
    let mut matching = Matching::new(groups, sites);
    matching.run(epsilon);
    let proposals = matching.proposals;
    let (mut assigned, mut assignments) = matching.into_assignments();
    assign_overflow(groups, sites, &mut assigned, &mut assignments);
    Solution {
        assignments,
        proposals,
    }
}

/// A block of units that a site has accepted. The block that loses least by a rejection is on top of the
/// site's heap.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Block {
    loss: Reverse<u32>,
    group: usize,
    position: usize,
    units: u32,
}

/// The state of the algorithm.
struct Matching<'problem> {
    groups: &'problem [ClientGroup],
    sites: &'problem [Site],
    /// By group and position in its list, the units that are to be proposed there.
    unassigned: Vec<Vec<u32>>,
    /// By site, the accepted blocks.
    accepted: Vec<BinaryHeap<Block>>,
    /// By site, the accepted units.
    assigned: Vec<u32>,
    /// The groups that may have units to propose.
    queue: VecDeque<usize>,
    proposals: usize,
}

impl<'problem> Matching<'problem> {
    fn new(groups: &'problem [ClientGroup], sites: &'problem [Site]) -> Self {
        let all_at_first_choice = |group: &ClientGroup| {
            let mut units = vec![0; group.list.len()];
            if let Some(first) = units.first_mut() {
                *first = group.demand;
            }
            units
        };
        Self {
            groups,
            sites,
            unassigned: groups.iter().map(all_at_first_choice).collect(),
            accepted: sites.iter().map(|_| BinaryHeap::new()).collect(),
            assigned: vec![0; sites.len()],
            queue: (0..groups.len()).collect(),
            proposals: 0,
        }
    }

    fn run(&mut self, epsilon: f64) {
        while let Some(group) = self.queue.pop_front() {
            if self.has_stopped(group, epsilon) {
                continue;
            }
            if let Some(position) = self.largest_block(group) {
                self.propose(group, position);
            }
        }
    }

    /// Returns whether less than the ε part of the group's demand is unassigned.
    fn has_stopped(&self, group: usize, epsilon: f64) -> bool {
        let unassigned: u32 = self.unassigned[group].iter().sum();
        let threshold = (f64::from(self.groups[group].demand) * epsilon).ceil() as u32;
        unassigned < threshold.max(1)
    }

    /// Returns the position with most unassigned units. Proposing the largest block, which is at least the
    /// ε part divided by the list's length, keeps the number of proposals within the bound of the source.
    fn largest_block(&self, group: usize) -> Option<usize> {
        let blocks = &self.unassigned[group];
        (0..blocks.len())
            .filter(|position| blocks[*position] > 0)
            .max_by_key(|position| blocks[*position])
    }

    /// Proposes all unassigned units at a position of the group's list to that site, which accepts
    /// them and then rejects what is over its capacity.
    fn propose(&mut self, group: usize, position: usize) {
        let units = std::mem::take(&mut self.unassigned[group][position]);
        let site = self.groups[group].list[position].0;
        self.proposals += 1;
        self.accepted[site].push(Block {
            loss: Reverse(rejection_loss(&self.groups[group], position)),
            group,
            position,
            units,
        });
        self.assigned[site] += units;
        self.queue.push_back(group);
        self.reject_excess(site);
    }

    /// Rejects the units that lose least until the site is within its capacity. Rejected units proceed to
    /// the next position of their group's list, if there is one.
    fn reject_excess(&mut self, site: usize) {
        let capacity = self.sites[site].capacity;
        while self.assigned[site] > capacity {
            let Some(mut least) = self.accepted[site].pop() else {
                break;
            };
            let excess = self.assigned[site] - capacity;
            let rejected = excess.min(least.units);
            self.assigned[site] -= rejected;
            least.units -= rejected;
            if let Some(next) = self.unassigned[least.group].get_mut(least.position + 1) {
                *next += rejected;
                self.queue.push_back(least.group);
            }
            if least.units > 0 {
                self.accepted[site].push(least);
            }
        }
    }

    /// Returns the units by site, and the assignment of each group.
    fn into_assignments(self) -> (Vec<u32>, Vec<GroupAssignment>) {
        let mut assignments: Vec<GroupAssignment> = self
            .groups
            .iter()
            .map(|_| GroupAssignment::default())
            .collect();
        for (site, blocks) in self.accepted.into_iter().enumerate() {
            for block in blocks {
                *assignments[block.group].units.entry(site).or_default() += block.units;
            }
        }
        for (group, assignment) in self.groups.iter().zip(&mut assignments) {
            assignment.unplaced = group.demand - assignment.units.values().sum::<u32>();
        }
        (self.assigned, assignments)
    }
}
