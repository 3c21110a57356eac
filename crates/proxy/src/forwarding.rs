//! Streaming of request and response bodies. A truncated response is ended by breaking the
//! connection to the client, never as though it were complete.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming};

use crate::instance_connections::{Connection, InstanceKey};
use crate::request_handler::{InjectedBug, RequestHandler};
use crate::usage::UsageKey;
use caperworks::dispatch::Target;
use caperworks::identifiers::ServiceName;
use runtime::events::{event, RESPONSE_TRUNCATED};
use runtime::locks::locked;

/// What an attempt showed about the health of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    Succeeded,
    Failed,
    /// The attempt was abandoned before it showed whether the instance is healthy.
    Inconclusive,
}

/// One attempt in flight. When dropped, it reports the result to the shard of the service.
pub struct AttemptGuard {
    pub proxy: Arc<RequestHandler>,
    pub service: ServiceName,
    pub target: Target,
    pub result: AttemptResult,
    pub load: Option<u32>,
    /// Set when an incarnation responded other than the one that the request was sent to.
    pub incarnation_ended: bool,
    pub usage_key: UsageKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.proxy.clock.now();
        let shard = self.proxy.shard(&self.service);
        let mut shard = locked(&shard);
        match self.result {
            AttemptResult::Succeeded => shard.end_attempt(now, &self.target, true, self.load),
            AttemptResult::Failed => shard.end_attempt(now, &self.target, false, self.load),
            AttemptResult::Inconclusive => shard.abandon_attempt(now, &self.target),
        }
        if self.incarnation_ended {
            shard.mark_incarnation_ended(&self.target);
        }
    }
}

/// Counts a request as in flight until dropped; a graceful shutdown waits for these.
pub struct InFlightGuard(pub Arc<RequestHandler>);

impl InFlightGuard {
    /// Counts a request as in flight.
    pub fn begin(proxy: &Arc<RequestHandler>) -> Self {
        proxy.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(proxy.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The body of a response from an instance, streamed to the client.
pub struct ResponseStream {
    pub inner: Incoming,
    pub connection: Option<Connection>,
    pub key: InstanceKey,
    pub guard: AttemptGuard,
    pub deadline: Pin<Box<tokio::time::Sleep>>,
    pub in_flight: InFlightGuard,
}

impl ResponseStream {
    /// Marks the response as complete and returns the connection to the pool.
    fn complete(&mut self) {
        self.guard.result = AttemptResult::Succeeded;
        if let Some(connection) = self.connection.take() {
            let key = self.key.clone();
            self.in_flight.0.connections.release(key, connection);
        }
    }

    /// Aborts a truncated response, and with it the connection to the client.
    fn abort(&mut self, reason: &str) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        event(RESPONSE_TRUNCATED, reason);
        self.guard.result = AttemptResult::Failed;
        self.connection = None;
        if self.guard.proxy.injected_bug == InjectedBug::EndsTruncatedResponses {
            return Poll::Ready(None);
        }
        // An error instead of the end of the body makes the client see a broken connection and not
        // a success.
        Poll::Ready(Some(Err(std::io::Error::other(reason.to_string()))))
    }
}

impl HttpBody for ResponseStream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    let usage = &self.in_flight.0.usage;
                    usage.add_bytes_out(&self.guard.usage_key, bytes.len() as u64);
                }
                // The HTTP library does not poll for the end of a body whose length it knows.
                if self.inner.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(failure))) => self.abort(&format!(
                "response from the instance was truncated: {failure}"
            )),
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    return self.abort("deadline exceeded while the response was streamed");
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // Always false: the connection is returned to the pool only when the end has been polled.
        false
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.inner.size_hint()
    }
}

/// The body of a client request, streamed to an instance and limited to the body limit of the
/// route.
pub struct LimitedBody {
    pub inner: Incoming,
    pub remaining: u64,
    pub limit_exceeded: Arc<AtomicBool>,
    pub proxy: Arc<RequestHandler>,
    pub usage_key: UsageKey,
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > self.remaining {
                    self.limit_exceeded.store(true, Ordering::SeqCst);
                    // The error breaks the connection, so that the instance never receives a
                    // complete request.
                    return Poll::Ready(Some(Err(std::io::Error::other(
                        "request body exceeds the limit of the route",
                    ))));
                }
                self.remaining -= length;
                self.proxy.usage.add_bytes_in(&self.usage_key, length);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(failure))) => {
                Poll::Ready(Some(Err(std::io::Error::other(failure))))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.inner.size_hint()
    }
}
