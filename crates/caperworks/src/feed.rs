//! The feed of committed changes: followers advance from the version that they have, by changes or by
//! a snapshot, and never move to an earlier version.

mod cache;
mod follower;
mod history;

pub use self::cache::FeedCache;
pub use self::follower::Follower;
pub use self::history::{FirstChanges, History, MAX_HISTORY_WEIGHT};
