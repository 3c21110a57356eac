//! The agent beside each proxy as a state machine.

pub mod daemon;
pub mod machine;
pub mod prelude;
