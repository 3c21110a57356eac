//! An answer on its way through: passed on piece by piece, and broken off rather than cut short.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming};

use crate::carrier::{BrokenCarrier, Carrier};
use crate::instance_connections::{Connection, InstanceKey};
use crate::usage::UsageKey;
use caperworks::dispatch::Target;
use caperworks::identifiers::ServiceName;
use runtime::events::{event, RESPONSE_TRUNCATED};
use runtime::locks::locked;

/// What an attempt said of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    Good,
    Failed,
    /// The attempt was given up before it said anything of the instance.
    Unjudged,
}

/// One attempt under way; tells the service's shard when it is over, however that comes about.
pub struct AttemptGuard {
    pub proxy: Arc<Carrier>,
    pub service: ServiceName,
    pub target: Target,
    pub result: AttemptResult,
    pub load: Option<u32>,
    /// Another life answered than the one that the request was for.
    pub over: bool,
    pub usage_key: UsageKey,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.proxy.clock.now();
        let shard = self.proxy.shard(&self.service);
        let mut shard = locked(&shard);
        match self.result {
            AttemptResult::Good => shard.end(now, &self.target, true, self.load),
            AttemptResult::Failed => shard.end(now, &self.target, false, self.load),
            AttemptResult::Unjudged => shard.abandon(now, &self.target),
        }
        if self.over {
            shard.mark_incarnation_ended(&self.target);
        }
    }
}

/// Counts a request that is under way, for the polite stop.
pub struct UnderWay(pub Arc<Carrier>);

impl UnderWay {
    pub fn begin(proxy: &Arc<Carrier>) -> Self {
        proxy.under_way.fetch_add(1, Ordering::SeqCst);
        Self(proxy.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The body of an instance's answer, streamed to the client.
pub struct Passing {
    pub inner: Incoming,
    pub connection: Option<Connection>,
    pub key: InstanceKey,
    pub guard: AttemptGuard,
    pub deadline: Pin<Box<tokio::time::Sleep>>,
    pub under_way: UnderWay,
}

impl Passing {
    /// The whole answer has come: the connection may carry another request.
    fn complete(&mut self) {
        self.guard.result = AttemptResult::Good;
        if let Some(connection) = self.connection.take() {
            let key = self.key.clone();
            self.under_way.0.connections.give_back(key, connection);
        }
    }

    /// The answer broke off, and so must the client's connection.
    fn break_off(&mut self, why: &str) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        event(RESPONSE_TRUNCATED, why);
        self.guard.result = AttemptResult::Failed;
        self.connection = None;
        if self.guard.proxy.broken == BrokenCarrier::EndsCutResponses {
            return Poll::Ready(None);
        }
        // Why an error and not an end: the client must see a broken connection, not a success.
        Poll::Ready(Some(Err(std::io::Error::other(why.to_string()))))
    }
}

impl HttpBody for Passing {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    let usage = &self.under_way.0.usage;
                    usage.gave_out(&self.guard.usage_key, bytes.len() as u64);
                }
                // Why here too: the library does not ask for the end of a body whose length it knows.
                if self.inner.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(failure))) => {
                self.break_off(&format!("the instance's answer broke off: {failure}"))
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    return self.break_off("the deadline passed");
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // Why not the inner's word: the connection is only given back when the end was polled.
        false
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.inner.size_hint()
    }
}

/// The client's body on its way to an instance: counted against the route's limit.
pub struct Counted {
    pub inner: Incoming,
    pub left: u64,
    pub over: Arc<AtomicBool>,
    pub proxy: Arc<Carrier>,
    pub usage_key: UsageKey,
}

impl HttpBody for Counted {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                if length > self.left {
                    self.over.store(true, Ordering::SeqCst);
                    // Why an error: it breaks the connection, so the instance never has a whole request.
                    return Poll::Ready(Some(Err(std::io::Error::other("over the body limit"))));
                }
                self.left -= length;
                self.proxy.usage.took_in(&self.usage_key, length);
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
