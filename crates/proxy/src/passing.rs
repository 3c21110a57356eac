//! An answer on its way through: passed on piece by piece, and broken off rather than cut short.

use crate::prelude::*;

/// One attempt under way; tells the service's shard when it is over, however that comes about.
pub struct AttemptGuard {
    pub proxy: Arc<Carrier>,
    pub service: ServiceName,
    pub target: Target,
    pub good: bool,
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
        shard.end(now, &self.target, self.good, self.load);
        if self.over {
            shard.life_is_over(&self.target);
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

impl HttpBody for Passing {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let broken = |why: &str| Poll::Ready(Some(Err(std::io::Error::other(why.to_string()))));
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    let usage = &self.under_way.0.usage;
                    usage.gave_out(&self.guard.usage_key, bytes.len() as u64);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(failure))) => {
                // Why an error and not an end: the client must see a broken connection, not a success.
                event(BODY_BROKEN, &failure);
                self.connection = None;
                broken("the instance's answer broke off")
            }
            Poll::Ready(None) => {
                self.guard.good = true;
                if let Some(connection) = self.connection.take() {
                    let key = self.key.clone();
                    self.under_way.0.connections.give_back(key, connection);
                }
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    event(BODY_BROKEN, "the deadline passed");
                    self.connection = None;
                    return broken("the deadline passed");
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
