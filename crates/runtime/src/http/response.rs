//! Responses of our own processes, and their JSON.

use std::future::Future;

use caperworks::identifiers::Zone;
use caperworks::messages::UsageLine;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use jzon::JsonValue;

use crate::http::body::{full_body, Body};

/// A response that is still being produced.
pub type BoxedResponse = std::pin::Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Returns a response with a JSON body. A 503 response tells the caller to retry after a second.
pub fn json_response(status: u16, value: &JsonValue) -> Response<Body> {
    let mut response = Response::new(full_body(value.dump()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    if status == 503 {
        response
            .headers_mut()
            .insert("retry-after", HeaderValue::from_static("1"));
    }
    response
}

/// Returns the usage that one agent recorded, as JSON for operators.
pub fn usage_json(zone: &Zone, lines: &[UsageLine]) -> JsonValue {
    let lines: Vec<JsonValue> = lines
        .iter()
        .map(|line| {
            jzon::object! {
                hour: line.hour,
                rule: line.route.as_str(),
                pool: line.service.as_str(),
                orders: line.requests,
                served: line.served,
                not_run: line.not_run,
                unknown: line.unknown,
                bytes_in: line.bytes_in,
                bytes_out: line.bytes_out,
            }
        })
        .collect();
    jzon::object! { area: zone.as_str(), lines: lines }
}

/// Returns the response to a readiness check.
pub fn ready_response(ready: bool) -> Response<Body> {
    let status = if ready { 200 } else { 503 };
    json_response(status, &jzon::object! { ready: ready })
}
