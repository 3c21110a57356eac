//! Header names and conventions of the protocol between clients, the proxy and instances.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use hyper::StatusCode;

use runtime::http::{
    DEADLINE_HEADER, EPOCH_HEADER, INCARNATION_HEADER, INSTANCE_HEADER, KEY_RANGE_HEADER,
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, WARM_UP_LEFT_HEADER,
};

/// The names and formats that requests and responses use. It makes no decisions.
#[derive(Clone)]
pub struct ProtocolAdapter {
    /// Header with the request id; always sent to instances, and accepted from clients if they send
    /// one.
    pub request_id: HeaderName,
    /// Whether clients send a request id, and instances must return it.
    pub clients_send_request_id: bool,
    /// Header with the milliseconds for which the sender waits; always sent to instances.
    pub deadline: HeaderName,
    /// Whether clients send their deadline in the same header.
    pub clients_send_deadline: bool,
    /// Header with the instance that a request is sent to.
    pub instance: HeaderName,
    /// Header with the actual identity of an instance that received a request for another one.
    pub instance_header: Option<HeaderName>,
    pub incarnation: Option<HeaderName>,
    pub key_range: Option<HeaderName>,
    pub epoch: Option<HeaderName>,
    /// Header without which a success from an instance is not accepted.
    pub required_success_header: Option<HeaderName>,
    /// Header in error responses of the proxy that says whether the request ran.
    pub outcome: Option<HeaderName>,
    /// Header with the client address, sent to instances.
    pub forwarded_for: Option<HeaderName>,
    /// Prefix of internal headers, which are forwarded in neither direction.
    pub internal_header_prefix: Option<&'static str>,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// Path that reports readiness to anyone who can reach the proxy.
    pub ready_path: &'static str,
    /// Statuses that tell clients that nothing ran; never forwarded from an instance.
    pub not_run_statuses: &'static [u16],
    /// Returns whether a response states that the instance did not run the request.
    pub reports_not_run: fn(StatusCode, &HeaderMap) -> bool,
    /// Returns the load that an instance reports with its response.
    pub load: fn(&HeaderMap) -> Option<u32>,
    /// Header of a response to a health check with the identity of the instance.
    pub health_identity: HeaderName,
    /// Returns how much longer an instance says in a response to a health check that it is warming up; `None` if
    /// that cannot be read.
    pub warm_up_left: fn(&HeaderMap) -> Option<Duration>,
}

fn default_reports_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let reported = headers.get(OUTCOME_HEADER);
    status == StatusCode::MISDIRECTED_REQUEST
        || reported.is_some_and(|reported| reported == "not-run")
}

fn default_load(headers: &HeaderMap) -> Option<u32> {
    headers.get(LOAD_HEADER)?.to_str().ok()?.parse().ok()
}

fn default_warm_up_left(headers: &HeaderMap) -> Option<Duration> {
    let Some(millis) = headers.get(WARM_UP_LEFT_HEADER) else {
        return Some(Duration::ZERO);
    };
    millis
        .to_str()
        .ok()?
        .parse()
        .ok()
        .map(Duration::from_millis)
}

impl ProtocolAdapter {
    /// Returns the default protocol.
    pub fn native() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name(REQUEST_HEADER),
            clients_send_request_id: false,
            deadline: name(DEADLINE_HEADER),
            clients_send_deadline: false,
            instance: name(INSTANCE_HEADER),
            instance_header: None,
            incarnation: Some(name(INCARNATION_HEADER)),
            key_range: Some(name(KEY_RANGE_HEADER)),
            epoch: Some(name(EPOCH_HEADER)),
            required_success_header: None,
            outcome: Some(name(OUTCOME_HEADER)),
            forwarded_for: Some(name("x-forwarded-for")),
            internal_header_prefix: Some("caperworks-"),
            fractional_retry_after: false,
            ready_path: "/caperworks/ready",
            not_run_statuses: &[],
            reports_not_run: default_reports_not_run,
            load: default_load,
            health_identity: name(INSTANCE_HEADER),
            warm_up_left: default_warm_up_left,
        }
    }
}
