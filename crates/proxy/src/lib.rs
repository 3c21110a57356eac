//! The proxy: carries requests from clients to instances, as its agent tells it.

pub mod attempt;
pub mod carrier;
pub mod daemon;
pub mod demand_meter;
pub mod error_response;
pub mod framing;
pub mod gate;
pub mod instance_connections;
pub mod outgoing;
pub mod passing;
pub mod protocol_adapter;
pub mod request_body;
pub mod usage;
