//! Leadership roles. Each has one leader at a time: the first live controller in the order of voters.
//! The epoch of its term is the fencing token.

use std::time::Duration;

mod election;
mod liveness;
mod watch;

pub use self::election::first_in_order;
pub use self::liveness::Liveness;
pub use self::watch::{LeadershipStep, LeadershipWatch};

/// The role that computes the placement of client groups.
pub const SOLVER: &str = "solver";
/// The role of the owner manager, which leases key ranges.
pub const OWNERSHIP: &str = "tenure";
/// The role that changes the voters.
pub const VOTER_MANAGEMENT: &str = "seating";
/// All leadership roles.
pub const LEADERSHIPS: [&str; 3] = [SOLVER, OWNERSHIP, VOTER_MANAGEMENT];
/// The roles as a controller requests them, the most urgent first: until a lost voter is replaced, the next loss may
/// leave no majority.
pub const LEADERSHIPS_BY_URGENCY: [&str; 3] = [VOTER_MANAGEMENT, OWNERSHIP, SOLVER];

/// A controller is suspected, and must not become leader, when no message from it has arrived for this
/// long.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a controller must have been reachable without a gap before it may replace a live leader.
pub const MIN_STABLE_PERIOD: Duration = Duration::from_millis(4000);
/// How long a node must have been reachable at the address of an earlier node before the earlier one
/// counts as replaced.
pub const SUCCESSOR_CONFIRMATION_PERIOD: Duration = Duration::from_millis(500);
/// A controller that lacks changes that we had this long ago must not become leader.
pub const MAX_LAG_PERIOD: Duration = SUSPICION_TIMEOUT;
