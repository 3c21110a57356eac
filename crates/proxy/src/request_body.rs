//! The client's body: held whole, or streamed under the route's limit.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};

use crate::carrier::Carrier;
use crate::passing::Counted;
use crate::usage::UsageKey;
use caperworks::dispatch::{Failure, RequestChart};
use caperworks::map_items::Route;
use runtime::http::Body;

/// The client's body, in the form it can be sent in.
pub(crate) enum RequestBody {
    Held(Bytes),
    Streaming(Option<Body>),
}

impl RequestBody {
    /// Whether all of it can be sent: it is held, or no attempt has begun to take it.
    pub(crate) fn is_complete(&self) -> bool {
        match self {
            RequestBody::Held(_) => true,
            RequestBody::Streaming(stream) => stream.is_some(),
        }
    }
}

impl Carrier {
    /// Holds a small body whole; a large or open-ended one streams under the route's limit.
    pub(crate) async fn buffer_body(
        self: &Arc<Self>,
        body: Incoming,
        route: &Route,
        over: &Arc<AtomicBool>,
        chart: &RequestChart,
        usage_key: &UsageKey,
    ) -> Result<RequestBody, Failure> {
        match body.size_hint().exact() {
            Some(length) if length > route.body_limit => Err(Failure::BodyTooLarge),
            Some(length) if length <= self.max_buffered_body => {
                let left = chart.deadline().saturating_sub(self.clock.now());
                match tokio::time::timeout(left, body.collect()).await {
                    Ok(Ok(collected)) => {
                        let bytes = collected.to_bytes();
                        self.usage.took_in(usage_key, bytes.len() as u64);
                        Ok(RequestBody::Held(bytes))
                    }
                    Ok(Err(_)) => Err(Failure::BadFraming),
                    Err(_) => Err(Failure::LateBeforeSending),
                }
            }
            _ => {
                let counted = Counted {
                    inner: body,
                    left: route.body_limit,
                    over: over.clone(),
                    proxy: self.clone(),
                    usage_key: usage_key.clone(),
                };
                Ok(RequestBody::Streaming(Some(counted.boxed())))
            }
        }
    }
}
