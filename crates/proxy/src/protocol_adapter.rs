//! What a proxy and its neighbours call things on the wire: header names, and how answers are read.

use hyper::header::{HeaderMap, HeaderName};
use hyper::StatusCode;

use runtime::http::{
    DEADLINE_HEADER, EPOCH_HEADER, INCARNATION_HEADER, INSTANCE_HEADER, KEY_RANGE_HEADER,
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER,
};

/// The names and forms that requests and answers carry. It decides nothing.
#[derive(Clone)]
pub struct ProtocolAdapter {
    /// Names a request, at clients if they name theirs, at instances always.
    pub request_id: HeaderName,
    /// Whether clients name their requests, and instances must name them back.
    pub clients_send_request_id: bool,
    /// Milliseconds that the sender waits; at instances always.
    pub deadline: HeaderName,
    /// Whether clients tell how long they wait, under the same name.
    pub clients_send_deadline: bool,
    /// The instance that a request is for.
    pub instance: HeaderName,
    /// By which an instance that is another than was meant tells who it is.
    pub instance_header: Option<HeaderName>,
    pub incarnation: Option<HeaderName>,
    pub key_range: Option<HeaderName>,
    pub epoch: Option<HeaderName>,
    /// Without it an instance's success is none.
    pub seal: Option<HeaderName>,
    /// Says in answers of ours whether the request ran.
    pub outcome: Option<HeaderName>,
    /// Names the client's address to instances.
    pub forwarded_for: Option<HeaderName>,
    /// Headers that begin so are ours and pass in neither direction.
    pub internal_header_prefix: Option<&'static str>,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractions: bool,
    /// The path that tells readiness to whoever reaches the proxy.
    pub ready_path: &'static str,
    /// Answers that promise clients that nothing ran: an instance's own are no such word.
    pub promises: &'static [u16],
    /// Whether an instance says that it ran nothing.
    pub reports_not_run: fn(StatusCode, &HeaderMap) -> bool,
    /// The load that an instance tells with its answer.
    pub load: fn(&HeaderMap) -> Option<u32>,
}

fn own_reported_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let reported = headers.get(OUTCOME_HEADER);
    status == StatusCode::MISDIRECTED_REQUEST
        || reported.is_some_and(|reported| reported == "not-run")
}

fn own_load(headers: &HeaderMap) -> Option<u32> {
    headers.get(LOAD_HEADER)?.to_str().ok()?.parse().ok()
}

impl ProtocolAdapter {
    /// The product's own.
    pub fn own() -> Self {
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
            seal: None,
            outcome: Some(name(OUTCOME_HEADER)),
            forwarded_for: Some(name("x-forwarded-for")),
            internal_header_prefix: Some("caperworks-"),
            fractions: false,
            ready_path: "/caperworks/ready",
            promises: &[],
            reports_not_run: own_reported_not_run,
            load: own_load,
        }
    }
}
