//! Leaderless consensus on the next version of a replicated map, without a replicated log.
//!
//! This is single-decree Paxos per map version: [`Voter`](voter::Voter) is the acceptor and
//! [`Proposer`](proposer::Proposer) the proposer; proposals are ordered by
//! [`ProposalNumber`](messages::ProposalNumber). Version N+1 is decided only among voters that already
//! have version N; a voter that is behind first catches up (see [`catch_up`](crate::catch_up)).
//!
//! Safety rests on three invariants, each maintained in the module named with it:
//!
//! - A voter never promises or accepts a proposal number lower than one that it has promised for the
//!   same version (`voter::votes`).
//! - A proposer that learns of a change that some voter has accepted proposes that change, and its
//!   own change only for a later version (`proposer::accept_phase`).
//! - Votes are counted only among voters that agree on the version of the membership
//!   (`voter::votes`, and `Proposer::abandon_phase_of_old_membership`).

pub mod messages;
pub mod proposer;
pub mod settlement;
pub mod voter;
