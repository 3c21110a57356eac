//! Agreement on the next version of a map: no log and no leader.
//!
//! Each version is decided by a two-phase ballot among the voters. A [`Voter`] votes on version N+1
//! only if it holds N, and repairs first if it is behind. A [`Proposer`] that finds a change
//! already taken by some voter finishes that change before its own.

pub mod messages;
pub mod proposer;
pub mod voter;
