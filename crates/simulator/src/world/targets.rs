//! The targets of faults: which nodes a name selects.

use crate::world::nodes::{NodeKind, Process};
use crate::world::World;
use caperworks::identifiers::Version;
use caperworks::leadership::OWNERSHIP;
use caperworks::replicated_map::MapName;

impl World {
    /// Returns the nodes that a fault's target selects: a node, a program, a zone, a region, a
    /// program in one of these, or `any-PROGRAM`.
    pub fn targets(&mut self, name: &str) -> Vec<usize> {
        if let Some(program) = name.strip_prefix("any-") {
            let all: Vec<usize> = self.targets(program);
            let live: Vec<usize> = all
                .into_iter()
                .filter(|index| self.nodes[*index].process.is_some())
                .collect();
            return match live.len() {
                0 => Vec::new(),
                count => vec![live[self.random.below(count as u64) as usize]],
            };
        }
        (0..self.nodes.len())
            .filter(|index| {
                let node = &self.nodes[*index];
                let program = node.name.split('-').next().unwrap_or_default();
                let region = self.regions.get(&node.zone);
                node.name == name
                    || program == name
                    || name == format!("{program}-{}", node.zone)
                    || region.is_some_and(|region| name == format!("{program}-{region}"))
                    || node.zone.as_str() == name
                    || region.is_some_and(|region| region.as_str() == name)
                    || (name == "instance" && matches!(node.kind, NodeKind::Instance { .. }))
                    || (name == "holder" && self.is_owner_manager(*index))
                    || (name == "answering" && self.last_accepting_controller == Some(*index))
                    || (name == "knowing" && self.knows_last_accepted(*index) == Some(true))
                    || (name == "unknowing" && self.knows_last_accepted(*index) == Some(false))
            })
            .collect()
    }

    /// Returns whether an agent has the last accepted version; `None` for other nodes.
    fn knows_last_accepted(&self, index: usize) -> Option<bool> {
        let version = match (&self.nodes[index].process, &self.nodes[index].kind) {
            (Some(Process::Agent(machine)), _) => machine.link().versions()[0],
            (None, NodeKind::Agent) => Version(0),
            _ => return None,
        };
        Some(version >= self.observers.last_accepted())
    }

    pub(super) fn is_owner_manager(&self, index: usize) -> bool {
        match &self.nodes[index].process {
            Some(Process::Controller(machine)) => {
                let membership = machine.state.map(MapName::Membership);
                membership
                    .leadership(OWNERSHIP)
                    .is_some_and(|term| term.leader == machine.node())
            }
            _ => false,
        }
    }
}
