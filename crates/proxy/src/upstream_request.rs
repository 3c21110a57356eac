//! Builds the request that is sent to an instance.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;

use crate::framing::{strip_hop_by_hop, strip_internal};
use crate::protocol_adapter::ProtocolAdapter;
use caperworks::dispatch::{Failure, Target};
use caperworks::map_items::Route;
use runtime::http::{Body, Peer};

/// The parts of a request that are the same for each attempt.
pub(crate) struct UpstreamRequest<'request> {
    pub(crate) head: &'request hyper::http::request::Parts,
    pub(crate) peer: &'request Peer,
    pub(crate) route: &'request Arc<Route>,
    pub(crate) request_id: &'request str,
    pub(crate) protocol_adapter: &'request ProtocolAdapter,
}

impl UpstreamRequest<'_> {
    /// Returns the request for one attempt at `target`, with `remaining` as its deadline.
    pub(crate) fn request(
        &self,
        target: &Target,
        remaining: Duration,
        body: Body,
    ) -> Result<Request<Body>, Failure> {
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", hyper::http::uri::PathAndQuery::as_str);
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(path)
            .body(body)
            .map_err(|_| Failure::BadFraming)?;
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        strip_internal(&mut headers, self.protocol_adapter.internal_header_prefix);
        headers.remove("expect");
        // The framing towards the instance follows from the body and never from the header of the
        // client.
        headers.remove("content-length");
        let protocol_adapter = self.protocol_adapter;
        let mut set = |name: &HeaderName, text: String| -> Result<(), Failure> {
            let value = HeaderValue::from_str(&text).map_err(|_| Failure::BadFraming)?;
            headers.insert(name.clone(), value);
            Ok(())
        };
        set(&protocol_adapter.instance, target.instance.to_string())?;
        if let Some(name) = &protocol_adapter.incarnation {
            set(name, target.incarnation.to_string())?;
        }
        set(&protocol_adapter.request_id, self.request_id.to_string())?;
        set(
            &protocol_adapter.deadline,
            remaining.as_millis().to_string(),
        )?;
        if let Some(name) = &protocol_adapter.forwarded_for {
            set(name, self.peer.address.ip().to_string())?;
        }
        if let Some((key_range, epoch)) = target.key_range {
            if let Some(name) = &protocol_adapter.key_range {
                set(name, key_range.to_string())?;
            }
            if let Some(name) = &protocol_adapter.epoch {
                set(name, epoch.to_string())?;
            }
        }
        *request.headers_mut() = headers;
        Ok(request)
    }
}
