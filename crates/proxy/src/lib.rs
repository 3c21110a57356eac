//! The proxy: forwards client requests to instances, with configuration and instance lists from the
//! local agent.

pub mod attempt;
pub mod daemon;
pub mod demand_meter;
pub mod error_response;
pub mod forwarding;
pub mod framing;
pub mod health_checks;
pub mod instance_connections;
pub mod protocol_adapter;
pub mod request_body;
pub mod request_handler;
pub mod send_guard;
pub mod shutdown;
pub mod target_choice;
pub mod upstream_request;
pub mod usage;
