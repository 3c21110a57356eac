//! Key ownership: which instance owns which key range of keyed data, and for how long it may act on
//! it.
//!
//! The owner manager, a leadership role of the controllers, grants leases on key ranges in its responses
//! to heartbeats, and writes the table of owners into the ownership map. The submodules are:
//!
//! - `table`: which key range a key belongs to, and which instance should own it;
//! - `owner_manager` and `key_range_state`: the leader's state of each key range;
//! - `leases`: granted and renewed by the responses to heartbeats;
//! - `moves`: when a key range changes its owner, and what is handed over;
//! - `owner_changes`: the reasons for these changes, for the log;
//! - `instance_leases`: the leases as the instance keeps them;
//! - `periods`: the time bounds.

mod instance_leases;
mod key_range_state;
mod leases;
mod messages;
mod moves;
mod owner_changes;
mod owner_manager;
mod periods;
mod table;

pub use self::instance_leases::HeldLeases;
pub use self::messages::{HeartbeatResponse, KeyRangeLease, ReleasedKeyRange, TimestampedResponse};
pub use self::moves::MAX_CONCURRENT_MOVES;
pub use self::owner_changes::{FreeReason, OwnerChange, OwnerChangeSummary, PlannedTable};
pub use self::owner_manager::{OwnerManager, OwnershipView};
pub use self::periods::{
    OwnerManagerTimings, KEY_RANGE_LEASE_DURATION, OWNER_MANAGER_TAKEOVER_WAIT,
};
pub use self::table::key_range_of_hash;
