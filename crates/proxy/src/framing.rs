//! How requests and answers are framed, and which headers pass.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Response, StatusCode};

use caperworks::dispatch::Failure;
use runtime::http::AmbiguousFraming;

/// Refuses what could be read in two ways; says the host.
pub(crate) fn checked_framing(head: &hyper::http::request::Parts) -> Result<String, Failure> {
    let count = |name: &str| head.headers.get_all(name).iter().count();
    let twice = head.extensions.get::<AmbiguousFraming>().is_some();
    let bad = twice
        || count("content-length") > 1
        || count("transfer-encoding") > 1
        || count("host") != 1
        || head.method == Method::CONNECT
        || head.version != hyper::Version::HTTP_11
        || count("upgrade") > 0;
    let host = header_text(&head.headers, "host");
    match host {
        Some(host) if !bad => Ok(host.to_string()),
        _ => Err(Failure::BadFraming),
    }
}

pub(crate) fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// Whether the end of the answer can be told from its being cut off.
pub(crate) fn well_framed(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    let bodiless = status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || method == Method::HEAD;
    let chunked = response
        .headers()
        .get("transfer-encoding")
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let lengths = response.headers().get_all("content-length").iter().count();
    let is_ambiguous = lengths > 1 || (chunked && lengths > 0);
    !status.is_informational() && !is_ambiguous && (bodiless || chunked || lengths == 1)
}

pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
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

/// Why both ways: a client must not speak in our name to an instance, nor an instance to a client.
pub(crate) fn strip_own(headers: &mut HeaderMap, internal_header_prefix: Option<&str>) {
    let Some(internal_header_prefix) = internal_header_prefix else {
        return;
    };
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(internal_header_prefix))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Which request an answer says that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NamedRequest {
    This,
    Another,
    Nothing,
}

/// Reads the name of a request from an answer's head.
pub(crate) fn named_request(
    headers: &HeaderMap,
    name: &HeaderName,
    request_id: &str,
) -> NamedRequest {
    let mut named = headers.get_all(name).iter().peekable();
    if named.peek().is_none() {
        return NamedRequest::Nothing;
    }
    // Why all of them: an answer with two names belongs to nobody for certain.
    match named.all(|named| named == request_id) {
        true => NamedRequest::This,
        false => NamedRequest::Another,
    }
}

/// For how long an instance says that it keeps an idle connection.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = header_text(headers, "keep-alive")?;
    let timeout = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .next()?;
    Some(Duration::from_secs(timeout.trim().parse().ok()?))
}
