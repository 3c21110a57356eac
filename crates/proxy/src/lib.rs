//! The proxy: carries requests from clients to instances, as its agent tells it.

pub mod carrier;
pub mod daemon;
pub mod dialect;
pub mod gate;
pub mod instance_connections;
pub mod passing;
pub mod prelude;
pub mod usage;
