//! The core of caperworks as a state machine: maps, rounds, facts, leadership roles, operators' calls.

pub mod agents;
pub mod consensus;
pub mod controller_state;
pub mod daemon;
pub mod leadership_roles;
pub mod machine;
pub mod operator_json;
pub mod prelude;
