//! The agent that runs beside each proxy, as a state machine and as a process.

pub mod daemon;
mod fallback_calls;
mod heartbeats;
pub mod machine;
mod proxy_calls;
mod witness;
