//! A model checker for consensus together with membership changes, disk loss, restarts and reads.
//!
//! The explored states consist of the production [`Voter`](caperworks::consensus::voter::Voter),
//! [`Proposer`](caperworks::consensus::proposer::Proposer) and
//! [`QuorumReads`](caperworks::leases::QuorumReads); only the network, the disks and the order of
//! events are modelled. A breadth-first search visits every state within a [`Bound`](bound::Bound).

pub mod bound;
pub mod digest;
pub mod invariants;
pub mod node;
pub mod scenarios;
pub mod search;
pub mod world;
