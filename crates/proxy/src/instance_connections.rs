//! A pool of connections to instances. Each carries one request at a time; a connection whose state
//! is uncertain is not reused.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::send_guard::{GuardedSocket, SendGuard};
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Incarnation, InstanceId};
use runtime::http::Body;
use runtime::locks::locked;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Requests that are not idempotent do not reuse a connection that has been idle for longer.
///
/// An instance may close an idle connection just as it is reused, and a request lost that way
/// cannot be distinguished from one that ran. An idempotent request can be retried in either case.
const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// The fraction of the keep-alive timeout of an instance within which an idle connection is reused.
/// It is less than one because the request must arrive before the instance closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.75;
const MAX_IDLE_PER_INSTANCE: usize = 32;

/// Identifies an instance incarnation at an address.
pub type InstanceKey = (InstanceId, Incarnation, SocketAddr);

/// One open connection. Dropping it resets the connection at once, even with a request in flight.
pub struct Connection {
    pub sender: hyper::client::conn::http1::SendRequest<Body>,
    pub send_guard: Arc<SendGuard>,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// Whether its responses are identified by a request id, so that it may carry another request.
    pub is_reusable: bool,
    /// The keep-alive timeout that the instance announced.
    keep_alive_timeout: Option<Duration>,
    driver: tokio::task::JoinHandle<()>,
    idle_since: Instant,
}

impl Connection {
    /// Sets the keep-alive timeout, if the instance announced one.
    pub fn set_keep_alive_timeout(&mut self, keep_alive_timeout: Option<Duration>) {
        self.keep_alive_timeout = keep_alive_timeout.or(self.keep_alive_timeout);
    }

    /// Returns whether the idle time is short enough for the connection to be reused.
    fn is_fresh(&self, idle_timeout: Duration) -> bool {
        let idle_limit = self
            .keep_alive_timeout
            .map_or(idle_timeout, |timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION));
        self.idle_since.elapsed() < idle_timeout.min(idle_limit)
    }

    /// Returns whether the connection can carry a request: open, free, and without unsolicited
    /// bytes.
    fn is_clean(&self) -> bool {
        self.sender.is_ready() && self.send_guard.has_no_unread_data()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Aborting makes a partly sent request end as a broken connection and never as a complete
        // request.
        self.driver.abort();
    }
}

/// The idle connections by instance.
#[derive(Default)]
pub struct InstanceConnections {
    idle: Mutex<HashMap<InstanceKey, Vec<Connection>>>,
}

impl InstanceConnections {
    /// Returns an idle connection that can be reused, or opens a new one.
    pub async fn acquire(
        &self,
        key: &InstanceKey,
        timeout: Duration,
        is_idempotent: bool,
    ) -> Option<Connection> {
        let idle_timeout = if is_idempotent {
            MAX_IDLE_TIME
        } else {
            MAX_IDLE_TIME_NON_IDEMPOTENT
        };
        let pooled = locked(&self.idle).get_mut(key).and_then(|idle| {
            while let Some(connection) = idle.pop() {
                if connection.is_fresh(idle_timeout) && connection.is_clean() {
                    return Some(connection);
                }
            }
            None
        });
        if pooled.is_some() {
            return pooled;
        }
        let connecting = async {
            let stream = TcpStream::connect(key.2).await.ok()?;
            let _ = stream.set_nodelay(true);
            // Dropping the connection must also drop the data that is still queued. On a congested
            // link that data would otherwise reach the instance seconds later, as a request whose
            // response is no longer awaited.
            let _ = stream.set_zero_linger();
            let send_guard = Arc::new(SendGuard::of(&stream));
            let guarded = GuardedSocket {
                socket: stream,
                send_guard: send_guard.clone(),
            };
            let (sender, connection) = hyper::client::conn::http1::Builder::new()
                .max_buf_size(64 * 1024)
                .handshake(TokioIo::new(guarded))
                .await
                .ok()?;
            let driver = tokio::spawn(async move {
                // Ignored: whoever uses the sender gets the same error.
                let _ = connection.await;
            });
            Some(Connection {
                sender,
                send_guard,
                reused: false,
                is_reusable: true,
                keep_alive_timeout: None,
                driver,
                idle_since: Instant::now(),
            })
        };
        tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), connecting)
            .await
            .ok()
            .flatten()
    }

    /// Returns a connection to the pool after its request and response are both complete.
    pub fn release(&self, key: InstanceKey, mut connection: Connection) {
        if connection.sender.is_closed() || !connection.is_reusable {
            return;
        }
        connection.idle_since = Instant::now();
        connection.reused = true;
        let mut idle = locked(&self.idle);
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_INSTANCE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to all incarnations of an instance other than the current one.
    pub fn retain_current(&self, instances: &BTreeMap<InstanceId, Heartbeat>) {
        locked(&self.idle).retain(|(id, incarnation, address), connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.is_fresh(MAX_IDLE_TIME)
            });
            instances.get(id).is_some_and(|heartbeat| {
                heartbeat.incarnation == *incarnation && heartbeat.address == *address
            }) && !connections.is_empty()
        });
    }
}
