//! Leadership roles, each led by one controller at a time: the first live one in the order of voters,
//! under an epoch that is its fencing token.

use std::time::Duration;

use crate::leases::LEASE_DURATION;

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

/// A controller that was not heard from for this long is suspected: it gets no role.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a controller must have been heard from before it takes a role from a live leader.
pub const STEADY: Duration = Duration::from_millis(4000);
/// How long a node must have been heard from at another's address before the other counts as replaced.
pub const SUCCESSOR_SPAN: Duration = Duration::from_millis(500);
/// A controller that reported older versions than ours for this long gets no role.
pub const BEHIND_LIMIT: Duration = SUSPICION_TIMEOUT;
/// How long a new leader waits before it acts, so that the lease of the one before has expired.
pub const TAKEOVER_WAIT: Duration = LEASE_DURATION;
