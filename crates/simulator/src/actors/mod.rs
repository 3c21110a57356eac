//! The proxies and instances of the simulated fleet. They use the same logic as the daemons, and
//! the world simulates the network between them.

pub mod instance;
pub mod proxy;
pub mod request;
