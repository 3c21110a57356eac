//! The names of the headers between proxies and instances.

/// Response header: whether a request that failed has run: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "caperworks-outcome";
/// Request header: the id of the instance that the request is for.
pub const INSTANCE_HEADER: &str = "caperworks-instance";
/// Request header: the incarnation of that instance.
pub const INCARNATION_HEADER: &str = "caperworks-incarnation";
/// Request header: the key range that the request's key falls into.
pub const KEY_RANGE_HEADER: &str = "caperworks-slice";
/// Request header: the epoch of the key range's owner, its fencing token.
pub const EPOCH_HEADER: &str = "caperworks-epoch";
/// Request header: the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "caperworks-deadline-ms";
/// Response header: the load of the instance, as in its heartbeats.
pub const LOAD_HEADER: &str = "caperworks-load";
/// Response header of a health check: how much longer the instance is warming up, in milliseconds.
pub const WARM_UP_LEFT_HEADER: &str = "caperworks-warm-up-left-ms";
/// Request and response header: the id of the request.
pub const REQUEST_HEADER: &str = "caperworks-order";
