//! Leader election: which controller should lead a role.

use std::time::Duration;

use crate::identifiers::NodeId;
use crate::leadership::liveness::Liveness;
use crate::map_items::VoterSet;

/// Returns the controller that should lead a role, as this node sees it: the current leader, or a live
/// controller that precedes it in the order of voters.
///
/// A live leader is replaced only by a controller that has been reachable for [`MIN_STABLE_PERIOD`], so
/// that a flapping controller does not make the leadership oscillate.
///
/// [`MIN_STABLE_PERIOD`]: crate::leadership::MIN_STABLE_PERIOD
pub fn first_in_order(
    now: Duration,
    voters: &VoterSet,
    liveness: &Liveness,
    leader: Option<NodeId>,
) -> Option<NodeId> {
    let leader_is_alive = leader.is_some_and(|leader| {
        liveness.is_alive(now, leader) && voters.entry(leader).is_some_and(|voter| voter.controller)
    });
    voters
        .entries
        .iter()
        .filter(|voter| voter.controller)
        .map(|voter| voter.node)
        .find(|node| {
            Some(*node) == leader && leader_is_alive
                || !liveness.is_behind(*node)
                    && if leader_is_alive {
                        liveness.is_stable(now, *node)
                    } else {
                        liveness.is_alive(now, *node)
                    }
        })
}
