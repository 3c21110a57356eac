//! A hostile server, clients, and checks of what they observed.

pub mod behaviour;
pub mod client;
pub mod fixture;
mod interruptions;
pub mod journal;
pub mod schedule;
pub mod server;
pub mod wire;
