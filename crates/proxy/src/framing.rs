//! Validation of HTTP framing, and filtering of headers.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Response, StatusCode};

use caperworks::dispatch::Failure;
use runtime::http::AmbiguousFraming;

/// Returns the host of a request, or an error if its framing is ambiguous or malformed.
pub(crate) fn validated_host(head: &hyper::http::request::Parts) -> Result<String, Failure> {
    let count = |name: &str| head.headers.get_all(name).iter().count();
    let has_duplicates = head.extensions.get::<AmbiguousFraming>().is_some();
    let is_ambiguous = has_duplicates
        || count("content-length") > 1
        || count("transfer-encoding") > 1
        || count("host") != 1
        || head.method == Method::CONNECT
        || head.version != hyper::Version::HTTP_11
        || count("upgrade") > 0;
    let host = header_text(&head.headers, "host");
    match host {
        Some(host) if !is_ambiguous => Ok(host.to_string()),
        _ => Err(Failure::BadFraming),
    }
}

pub(crate) fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// Returns whether the end of the response can be distinguished from a truncation.
pub(crate) fn is_unambiguously_framed(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    let has_no_body = status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || method == Method::HEAD;
    let is_chunked = response
        .headers()
        .get("transfer-encoding")
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let length_headers = response.headers().get_all("content-length").iter().count();
    let is_ambiguous = length_headers > 1 || (is_chunked && length_headers > 0);
    !status.is_informational()
        && !is_ambiguous
        && (has_no_body || is_chunked || length_headers == 1)
}

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in connection_headers {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

/// Removes headers with the reserved prefix, in both directions: clients must not send internal
/// headers to instances, nor instances to clients.
pub(crate) fn strip_internal(headers: &mut HeaderMap, internal_header_prefix: Option<&str>) {
    let Some(internal_header_prefix) = internal_header_prefix else {
        return;
    };
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(internal_header_prefix))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

/// How the request id of a response compares with that of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestIdMatch {
    Same,
    Different,
    Missing,
}

/// Compares the request id in the head of a response with the expected one.
pub(crate) fn match_request_id(
    headers: &HeaderMap,
    name: &HeaderName,
    request_id: &str,
) -> RequestIdMatch {
    let mut ids = headers.get_all(name).iter().peekable();
    if ids.peek().is_none() {
        return RequestIdMatch::Missing;
    }
    // All values are compared: a response with two ids cannot be attributed to either request.
    match ids.all(|id| id == request_id) {
        true => RequestIdMatch::Same,
        false => RequestIdMatch::Different,
    }
}

/// Returns the keep-alive timeout that an instance announced.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = header_text(headers, "keep-alive")?;
    let timeout = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .next()?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
