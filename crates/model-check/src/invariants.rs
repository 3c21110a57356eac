//! The invariants that must hold in every state.

use std::collections::BTreeMap;

use crate::node::Node;
use crate::world::World;
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{ChangeId, NodeId, Version};
use caperworks::replicated_map::MapName;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two changes were chosen for one version of one map.
    Disagreement {
        map: MapName,
        version: Version,
        first: ChangeId,
        second: ChangeId,
    },
    /// A version was decided under an older membership than an earlier version.
    OlderMembershipDecided {
        map: MapName,
        version: Version,
        membership: Version,
    },
    /// A change was acknowledged to an operator while it was on too few disks.
    TooFewDisks { version: Version, disks: usize },
    /// A majority of the current voters does not have an acknowledged change, so it could be lost.
    AcceptedChangeCanBeLost {
        accepted: Version,
        membership: Version,
    },
    /// A voter voted on a version without having the version before it.
    VoteOnVersionNotHeld { node: NodeId, version: Version },
    /// A read did not return a change that was acknowledged before its call.
    StaleRead {
        node: NodeId,
        read: Version,
        accepted: Version,
    },
}

/// The number of disks on which a change must be synced before it is acknowledged.
pub const MIN_SYNCED_DISKS: usize = 2;

/// The change chosen for a version, and the membership under which it was decided, if observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    pub id: ChangeId,
    pub membership: Option<Version>,
}

/// All changes that the observer has seen chosen so far.
#[derive(Debug, Clone, Default)]
pub struct ChosenChanges {
    by_version: BTreeMap<(MapName, Version), Chosen>,
}

impl ChosenChanges {
    /// Records that a change was chosen for a version of a map.
    pub fn record(
        &mut self,
        map: MapName,
        version: Version,
        id: &ChangeId,
    ) -> Result<(), Violation> {
        let chosen = Chosen {
            id: id.clone(),
            membership: None,
        };
        let known = self.by_version.entry((map, version)).or_insert(chosen);
        if known.id == *id {
            return Ok(());
        }
        Err(Violation::Disagreement {
            map,
            version,
            first: known.id.clone(),
            second: id.clone(),
        })
    }

    /// Records that a proposer decided a version under a membership.
    pub fn decide(
        &mut self,
        map: MapName,
        version: Version,
        id: &ChangeId,
        membership: Version,
    ) -> Result<(), Violation> {
        self.record(map, version, id)?;
        let has_later_membership = self
            .by_version
            .iter()
            .filter(|((of, at), _)| *of == map && *at < version)
            .filter_map(|(_, chosen)| chosen.membership)
            .any(|earlier| earlier > membership);
        if has_later_membership {
            return Err(Violation::OlderMembershipDecided {
                map,
                version,
                membership,
            });
        }
        if let Some(chosen) = self.by_version.get_mut(&(map, version)) {
            // Keep the lowest membership, because a change may be committed again under a later one.
            let earliest = chosen.membership.unwrap_or(membership).min(membership);
            chosen.membership = Some(earliest);
        }
        Ok(())
    }

    /// Returns the change that was chosen for a version of a map, if any was observed.
    pub fn at(&self, map: MapName, version: Version) -> Option<&ChangeId> {
        self.by_version
            .get(&(map, version))
            .map(|chosen| &chosen.id)
    }

    /// Records the committed changes in a node's maps, and compares them with the chosen ones.
    pub fn record_replicas(&mut self, voter: &Voter) -> Result<(), Violation> {
        for map in [MapName::Configuration, MapName::Membership] {
            for recent in &voter.map(map).recent_changes {
                self.record(map, recent.version, &recent.id)?;
            }
        }
        Ok(())
    }
}

/// Checks that no majority of the current voters is without the last acknowledged change.
pub fn check_recoverable(world: &World) -> Result<(), Violation> {
    let accepted = world.accepted;
    let surviving = || world.nodes().filter(|node| node.is_running);
    let Some(latest) =
        surviving().max_by_key(|node| node.synced.get().map(MapName::Membership).version)
    else {
        return Ok(());
    };
    let membership = latest.synced.get().map(MapName::Membership);
    let Some(voters) = membership.voters() else {
        return Ok(());
    };
    let missing = surviving()
        .filter(|node| voters.entry(node.id).is_some())
        .filter(|node| !is_on_disk(world, node, accepted))
        .count();
    if missing >= voters.majority() {
        return Err(Violation::AcceptedChangeCanBeLost {
            accepted,
            membership: membership.version,
        });
    }
    Ok(())
}

/// Counts the disks, apart from lost ones, that have a version of the configuration.
pub fn disks_with(world: &World, version: Version) -> usize {
    world
        .nodes()
        .filter(|node| node.is_running)
        .filter(|node| is_on_disk(world, node, version))
        .count()
}

/// Returns whether a node's disk has the change that was chosen for a version of the configuration.
fn is_on_disk(world: &World, node: &Node, version: Version) -> bool {
    let replica = node.synced.get().replica(MapName::Configuration);
    let chosen = world.chosen_at(MapName::Configuration, version);
    let is_accepted = replica.map.version.next() == version
        && replica
            .accepted
            .as_ref()
            .is_some_and(|accepted| Some(&accepted.change.id) == chosen);
    replica.map.version >= version || is_accepted
}
