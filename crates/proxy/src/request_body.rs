//! The body of a client request: buffered if small, otherwise streamed up to the body limit of the
//! route.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};

use crate::forwarding::LimitedBody;
use crate::request_handler::RequestHandler;
use crate::usage::UsageKey;
use caperworks::dispatch::{Failure, RequestLifecycle};
use caperworks::map_items::Route;
use runtime::http::Body;

/// The body of a client request, ready to be sent.
pub(crate) enum RequestBody {
    Buffered(Bytes),
    Streaming(Option<Body>),
}

impl RequestBody {
    /// Returns whether the complete body can still be sent: it is buffered, or no attempt has
    /// started to consume it.
    pub(crate) fn is_complete(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => true,
            RequestBody::Streaming(stream) => stream.is_some(),
        }
    }
}

impl RequestHandler {
    /// Buffers a small body; a large one or one of unknown length is streamed up to the body limit
    /// of the route.
    pub(crate) async fn buffer_body(
        self: &Arc<Self>,
        body: Incoming,
        route: &Route,
        limit_exceeded: &Arc<AtomicBool>,
        lifecycle: &RequestLifecycle,
        usage_key: &UsageKey,
    ) -> Result<RequestBody, Failure> {
        match body.size_hint().exact() {
            Some(length) if length > route.body_limit => Err(Failure::BodyTooLarge),
            Some(length) if length <= self.max_buffered_body => {
                let remaining = lifecycle.deadline().saturating_sub(self.clock.now());
                match tokio::time::timeout(remaining, body.collect()).await {
                    Ok(Ok(collected)) => {
                        let bytes = collected.to_bytes();
                        self.usage.add_bytes_in(usage_key, bytes.len() as u64);
                        Ok(RequestBody::Buffered(bytes))
                    }
                    Ok(Err(_)) => Err(Failure::BadFraming),
                    Err(_) => Err(Failure::DeadlineBeforeSending),
                }
            }
            _ => {
                let limited = LimitedBody {
                    inner: body,
                    remaining: route.body_limit,
                    limit_exceeded: limit_exceeded.clone(),
                    proxy: self.clone(),
                    usage_key: usage_key.clone(),
                };
                Ok(RequestBody::Streaming(Some(limited.boxed())))
            }
        }
    }
}
