//! HTTP/1.1 for clients, instances and operators.
//!
//! The modules are: `server` and `client`; `body` and `response`; `headers`, the names of our own headers;
//! `heartbeats`, the JSON of heartbeats; `ambiguous_framing`, which marks requests to reject; and
//! `round_trip`, the kernel's round-trip time of a connection.

mod ambiguous_framing;
mod body;
mod client;
mod headers;
pub mod heartbeats;
mod response;
mod round_trip;
mod server;

pub use self::ambiguous_framing::AmbiguousFraming;
pub use self::body::{full_body, read_limited_body, Body, BodyError};
pub use self::client::{Fetch, FetchError, Fetched};
pub use self::headers::{
    DEADLINE_HEADER, EPOCH_HEADER, INCARNATION_HEADER, INSTANCE_HEADER, KEY_RANGE_HEADER,
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, WARM_UP_LEFT_HEADER,
};
pub use self::response::{json_response, ready_response, usage_json, BoxedResponse};
pub use self::server::{serve_http, Peer};
