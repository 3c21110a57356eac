//! The core of caperworks as a state machine: books, rounds, facts, duties, operators' calls.

pub mod agents;
pub mod blackboard;
pub mod council;
pub mod daemon;
pub mod duties;
pub mod machine;
pub mod orders;
pub mod prelude;
