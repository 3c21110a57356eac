//! Error responses that the proxy returns itself for requests that were rejected or lost.

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::Response;

use crate::request_handler::{InjectedBug, RequestHandler};
use caperworks::dispatch::{Failure, ReportedOutcome};
use runtime::http::{json_response, Body};

impl RequestHandler {
    /// Returns the final response for a request that was rejected or lost.
    pub(crate) fn error_response(
        &self,
        failure: Failure,
        reported: ReportedOutcome,
    ) -> Response<Body> {
        if self.injected_bug == InjectedBug::ReportsUnknownAsNotRun {
            return self.outcome_response(503, "not-run", failure.reason(), failure.retry_after());
        }
        let reported = match reported {
            ReportedOutcome::NotRun => "not-run",
            ReportedOutcome::Unknown => "unknown",
        };
        // When the outcome is unknown the status must not be one that tells the client that nothing
        // ran.
        let status = match (reported, failure.status()) {
            ("unknown", status) if self.protocol_adapter.not_run_statuses.contains(&status) => 502,
            (_, status) => status,
        };
        self.outcome_response(status, reported, failure.reason(), failure.retry_after())
    }

    /// Returns a JSON response with this status, the outcome of the request and the reason.
    pub(crate) fn outcome_response(
        &self,
        status: u16,
        reported: &'static str,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Response<Body> {
        let mut response = json_response(status, &jzon::object! { outcome: reported, why: reason });
        let headers = response.headers_mut();
        if let Some(name) = &self.protocol_adapter.outcome {
            headers.insert(name.clone(), HeaderValue::from_static(reported));
        }
        headers.remove("retry-after");
        let Some(delay) = retry_after else {
            return response;
        };
        let value = match self.protocol_adapter.fractional_retry_after {
            // A fifth of the delay, in fractions of a second: these clients accept tenths of a
            // second, and a shortage of capacity seldom lasts longer.
            true => HeaderValue::from_str(&format!("{}", delay.as_secs_f64() / 5.0)).ok(),
            false => Some(HeaderValue::from(delay.as_secs())),
        };
        if let Some(value) = value {
            headers.insert("retry-after", value);
        }
        response
    }
}
