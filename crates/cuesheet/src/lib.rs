//! The directory as a state machine.

pub mod machine;
pub mod prelude;
