//! How requests and answers are framed, and which headers pass.

use crate::prelude::*;

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
pub(crate) fn well_framed(answer: &Response<Incoming>) -> bool {
    let status = answer.status();
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let chunked = answer
        .headers()
        .get("transfer-encoding")
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let measured = answer.headers().get_all("content-length").iter().count() == 1;
    !status.is_informational() && (bodiless || chunked != measured)
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

/// Why both ways: a caller must not speak in our name to an instance, nor an instance to a caller.
pub(crate) fn strip_own(headers: &mut HeaderMap, own_prefix: Option<&str>) {
    let Some(own_prefix) = own_prefix else {
        return;
    };
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(own_prefix))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
