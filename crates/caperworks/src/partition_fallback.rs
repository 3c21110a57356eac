//! Partitioned mode: agents that stay fresh together while the core cannot be reached.
//!
//! The core confirms a change of the configuration to operators only once so many agents of the
//! fallback members have it that every majority of the members has one of them ([`yes_quorum`]). So an
//! agent that asks the others, gets answers of a majority, and has the highest version among theirs, has
//! every change that was confirmed before its request. That is as good as a lease of the core, and lives
//! as long.

use std::time::Duration;

use crate::replicated_map::MapName;

mod fallback_quorum;
mod messages;

pub use self::fallback_quorum::{BrokenFallback, FallbackQuorum};
pub use self::messages::{FallbackMembers, FallbackRequest, FallbackResponse};

/// How long the answers of a majority keep an agent fresh, counted from its request.
pub const FALLBACK_SPAN: Duration = Duration::from_millis(2000);
/// An agent asks the others once its freshness has less than this left.
pub const FALLBACK_LEAD: Duration = Duration::from_millis(1200);
/// An agent's answer counts only once the core renewed its lease so long after it learned the members.
///
/// Before that it may have lost in a restart what its former incarnation confirmed, and a controller may
/// still count by the members before. Both are over when a member's entry and a lease have expired.
pub const SETTLE_SPAN: Duration = Duration::from_millis(5000);
/// The maps that are kept fresh without the core: all else waits for it.
pub const FALLBACK_MAPS: [MapName; 2] = [MapName::Configuration, MapName::Membership];

/// How many of so many agents make a majority, which freshness without the core needs.
pub fn majority_of(agents: usize) -> usize {
    agents / 2 + 1
}

/// How many of so many agents must have a change so that every majority has one of them.
pub fn confirmation_quorum(agents: usize) -> usize {
    agents + 1 - majority_of(agents)
}
