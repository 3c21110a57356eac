//! Partition fallback: agents that keep each other fresh while the control plane is unreachable.
//!
//! The control plane confirms a change of the configuration to operators only once so many of the fallback
//! members have it that every majority of the members includes one of them ([`confirmation_quorum`]). An agent
//! that polls the others, receives responses from a majority, and has the highest version among theirs
//! therefore has every change that was confirmed before its request. That is equivalent to a lease of the
//! control plane, and is valid for as long.

use std::time::Duration;

use crate::replicated_map::MapName;

mod fallback_quorum;
mod messages;

pub use self::fallback_quorum::{BrokenFallback, FallbackQuorum};
pub use self::messages::{FallbackMembers, FallbackRequest, FallbackResponse};

/// For how long the responses of a majority keep an agent fresh, counted from its request.
pub const FALLBACK_LIFETIME: Duration = Duration::from_millis(2000);
/// An agent polls the others once its lease expires within this time.
pub const FALLBACK_REQUEST_LEAD: Duration = Duration::from_millis(1200);
/// An agent's response counts only once its lease was renewed this long after it learned the members.
///
/// Before that it may have lost in a restart what its previous incarnation confirmed, and a controller may
/// still count by the previous members. Neither is possible any more once a member's entry and a lease have
/// expired.
pub const MEMBERS_SETTLE_TIME: Duration = Duration::from_millis(5000);
/// The maps that are kept fresh without the control plane; all others wait for it.
pub const FALLBACK_MAPS: [MapName; 2] = [MapName::Configuration, MapName::Membership];

/// Returns how many of this number of agents are a majority, which freshness without the control plane
/// requires.
pub fn majority_of(agents: usize) -> usize {
    agents / 2 + 1
}

/// Returns how many of this number of agents must have a change so that every majority includes one of them.
pub fn confirmation_quorum(agents: usize) -> usize {
    agents + 1 - majority_of(agents)
}
