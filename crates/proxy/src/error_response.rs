//! The proxy's own answers to requests that were refused or lost.

use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::Response;

use crate::carrier::{BrokenCarrier, Carrier};
use caperworks::dispatch::{Failure, ReportedOutcome};
use runtime::http::{json_response, Body};

impl Carrier {
    /// The final answer for a request that was refused or lost, given at once.
    pub(crate) fn error_response(
        &self,
        failure: Failure,
        reported: ReportedOutcome,
    ) -> Response<Body> {
        if self.broken == BrokenCarrier::PromisesInDoubt {
            return self.outcome_response(503, "not-run", failure.word(), failure.retry_after());
        }
        let reported = match reported {
            ReportedOutcome::NotRun => "not-run",
            ReportedOutcome::Unknown => "unknown",
        };
        // Why another status in doubt: one that promises would be a lie.
        let status = match (reported, failure.status()) {
            ("unknown", status) if self.protocol_adapter.promises.contains(&status) => 502,
            (_, status) => status,
        };
        self.outcome_response(status, reported, failure.word(), failure.retry_after())
    }

    pub(crate) fn outcome_response(
        &self,
        status: u16,
        reported: &'static str,
        why: &str,
        retry_after: Option<Duration>,
    ) -> Response<Body> {
        let mut response = json_response(status, &jzon::object! { outcome: reported, why: why });
        let headers = response.headers_mut();
        if let Some(name) = &self.protocol_adapter.outcome {
            headers.insert(name.clone(), HeaderValue::from_static(reported));
        }
        headers.remove("retry-after");
        let Some(after) = retry_after else {
            return response;
        };
        let value = match self.protocol_adapter.fractions {
            // Why so soon: clients there count in tenths, and what is short now is seldom so long.
            true => HeaderValue::from_str(&format!("{}", after.as_secs_f64() / 5.0)).ok(),
            false => Some(HeaderValue::from(after.as_secs())),
        };
        if let Some(value) = value {
            headers.insert("retry-after", value);
        }
        response
    }
}
