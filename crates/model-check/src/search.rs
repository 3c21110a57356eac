//! Breadth-first search over all states within a bound.

use std::collections::HashSet;

use crate::bound::Bound;
use crate::digest::Digest;
use crate::invariants::Violation;
use crate::world::{Action, World};

/// The number of states that are expanded before duplicate successors are removed; bounds memory use.
const BLOCK_STATES: usize = 2_000;

/// The result of a search.
#[derive(Debug, Clone)]
pub struct Report {
    pub states: usize,
    pub transitions: usize,
    /// The greatest distance of a visited state from the initial state, in events.
    pub depth: usize,
    /// Whether every state within the bound was visited.
    pub is_complete: bool,
    /// A violated invariant, and a shortest sequence of events that violates it.
    pub violation: Option<(Violation, Vec<Action>)>,
}

/// How a state was first reached.
#[derive(Debug, Clone, Copy)]
struct Origin {
    parent: u32,
    action: Option<Action>,
}

struct Successor {
    origin: Origin,
    /// `None` if the state was visited before.
    result: Result<Option<(Digest, World)>, Violation>,
}

/// Explores every state within the bound, up to `max_states` states.
pub fn explore(bound: &Bound, max_states: usize, threads: usize) -> Report {
    Search::new(bound, max_states, threads).run()
}

struct Search<'a> {
    bound: &'a Bound,
    max_states: usize,
    threads: usize,
    visited: HashSet<Digest>,
    origins: Vec<Origin>,
    report: Report,
}

impl<'a> Search<'a> {
    fn new(bound: &'a Bound, max_states: usize, threads: usize) -> Self {
        Self {
            bound,
            max_states,
            threads,
            visited: HashSet::new(),
            origins: Vec::new(),
            report: Report {
                states: 0,
                transitions: 0,
                depth: 0,
                is_complete: false,
                violation: None,
            },
        }
    }

    fn run(mut self) -> Report {
        let mut first = World::new(self.bound);
        let origin = Origin {
            parent: 0,
            action: None,
        };
        let mut frontier = Vec::new();
        let digest = first.digest();
        self.visit(origin, digest, first, &mut frontier);
        while !frontier.is_empty() {
            let mut next = Vec::new();
            for block in frontier.chunks(BLOCK_STATES) {
                let is_finished = self.expand_block(block, &mut next);
                if is_finished {
                    return self.report;
                }
            }
            self.report.depth += usize::from(!next.is_empty());
            frontier = next;
        }
        self.report.is_complete = true;
        self.report
    }

    /// Visits the successors of a block, and returns whether the search is finished.
    fn expand_block(&mut self, block: &[(u32, World)], next: &mut Vec<(u32, World)>) -> bool {
        for successor in self.successors(block) {
            self.report.transitions += 1;
            match successor.result {
                Ok(Some((digest, world))) => self.visit(successor.origin, digest, world, next),
                Ok(None) => {}
                Err(violation) => {
                    let path = self.path_to(successor.origin);
                    self.report.violation = Some((violation, path));
                    return true;
                }
            }
        }
        self.report.states >= self.max_states
    }

    fn visit(
        &mut self,
        origin: Origin,
        digest: Digest,
        world: World,
        next: &mut Vec<(u32, World)>,
    ) {
        if self.visited.insert(digest) {
            next.push((self.origins.len() as u32, world));
            self.origins.push(origin);
            self.report.states += 1;
        }
    }

    /// Returns the successors of a block, in a fixed order.
    fn successors(&self, block: &[(u32, World)]) -> Vec<Successor> {
        let part_length = block.len().div_ceil(self.threads.max(1)).max(1);
        std::thread::scope(|scope| {
            let workers: Vec<_> = block
                .chunks(part_length)
                .map(|part| scope.spawn(|| self.expand(part)))
                .collect();
            workers
                .into_iter()
                .flat_map(|worker| worker.join().expect("a worker does not panic"))
                .collect()
        })
    }

    fn expand(&self, part: &[(u32, World)]) -> Vec<Successor> {
        let mut successors = Vec::new();
        for (parent, world) in part {
            for action in world.actions(self.bound) {
                let origin = Origin {
                    parent: *parent,
                    action: Some(action),
                };
                let result = world.after(self.bound, action).map(|mut after| {
                    let digest = after.digest();
                    let is_new = !self.visited.contains(&digest);
                    is_new.then_some((digest, after))
                });
                successors.push(Successor { origin, result });
            }
        }
        successors
    }

    fn path_to(&self, mut origin: Origin) -> Vec<Action> {
        let mut path = Vec::new();
        while let Some(action) = origin.action {
            path.push(action);
            origin = self.origins[origin.parent as usize];
        }
        path.reverse();
        path
    }
}
