//! The directory service: its state machine and the process around it.

pub mod daemon;
pub mod machine;
