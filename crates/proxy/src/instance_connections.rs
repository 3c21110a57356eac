//! Connections to instances: each carries one request at a time, and none is used twice in doubt.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::gate::{Gate, Gated};
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Incarnation, InstanceId};
use runtime::http::Body;
use runtime::locks::locked;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_SPAN: Duration = Duration::from_secs(10);
/// A write takes no connection that has been idle for longer.
///
/// Why: an instance may be closing an idle connection just as it is taken up again, and a request
/// lost that way cannot be told from one that ran. A read may be sent again; a write may not.
const IDLE_SPAN_FOR_WRITES: Duration = Duration::from_secs(1);
/// The part of the time that an instance keeps an idle connection in which it is taken up again.
///
/// Why not all of it: the request must arrive before the instance closes.
const KEPT_SHARE: f64 = 0.75;
const MOST_IDLE: usize = 32;

pub type InstanceKey = (InstanceId, Incarnation, SocketAddr);

/// One open connection. Dropping it breaks it at once, whatever is under way.
pub struct Connection {
    pub sender: hyper::client::conn::http1::SendRequest<Body>,
    pub gate: Arc<Gate>,
    /// It has carried a request before.
    pub reused: bool,
    /// Whether answers on it can be told apart, so that it may carry another request.
    pub may_carry_more: bool,
    /// For how long the instance said that it keeps the connection when idle.
    kept_for: Option<Duration>,
    driver: tokio::task::JoinHandle<()>,
    idle_since: Instant,
}

impl Connection {
    /// The instance said for how long it keeps the connection when idle.
    pub fn keep_to(&mut self, kept_for: Option<Duration>) {
        self.kept_for = kept_for.or(self.kept_for);
    }

    /// Whether it may be taken up again after having been idle for as long as it has been.
    fn is_fresh(&self, idle_timeout: Duration) -> bool {
        let kept_for = self
            .kept_for
            .map_or(idle_timeout, |kept| kept.mul_f64(KEPT_SHARE));
        self.idle_since.elapsed() < idle_timeout.min(kept_for)
    }

    /// Whether it can carry a request: open, free, and without a byte that nobody asked for.
    fn is_clean(&self) -> bool {
        self.sender.is_ready() && self.gate.is_quiet()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Why abort: a half-sent request must end as a broken connection and never as a whole request.
        self.driver.abort();
    }
}

#[derive(Default)]
pub struct InstanceConnections {
    idle: Mutex<HashMap<InstanceKey, Vec<Connection>>>,
}

impl InstanceConnections {
    /// An idle connection that is still whole, or a new one.
    pub async fn open(
        &self,
        key: &InstanceKey,
        timeout: Duration,
        read: bool,
    ) -> Option<Connection> {
        let idle_timeout = if read {
            IDLE_SPAN
        } else {
            IDLE_SPAN_FOR_WRITES
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
        let opening = async {
            let stream = TcpStream::connect(key.2).await.ok()?;
            let _ = stream.set_nodelay(true);
            // Why: dropping the connection must also drop what still waits to be sent. On a full
            // link that would reach the instance seconds later, as a request that nobody awaits.
            let _ = stream.set_zero_linger();
            let gate = Arc::new(Gate::of(&stream));
            let gated = Gated {
                socket: stream,
                gate: gate.clone(),
            };
            let (sender, connection) = hyper::client::conn::http1::Builder::new()
                .max_buf_size(64 * 1024)
                .handshake(TokioIo::new(gated))
                .await
                .ok()?;
            let driver = tokio::spawn(async move {
                // Why ignored: whoever holds the sender learns of it there.
                let _ = connection.await;
            });
            Some(Connection {
                sender,
                gate,
                reused: false,
                may_carry_more: true,
                kept_for: None,
                driver,
                idle_since: Instant::now(),
            })
        };
        tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), opening)
            .await
            .ok()
            .flatten()
    }

    /// Takes back a connection whose request and answer are both complete.
    pub fn give_back(&self, key: InstanceKey, mut connection: Connection) {
        if connection.sender.is_closed() || !connection.may_carry_more {
            return;
        }
        connection.idle_since = Instant::now();
        connection.reused = true;
        let mut idle = locked(&self.idle);
        let connections = idle.entry(key).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to every life of an instance but the present ones.
    pub fn keep_only(&self, instances: &BTreeMap<InstanceId, Heartbeat>) {
        locked(&self.idle).retain(|(id, incarnation, address), connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.is_fresh(IDLE_SPAN)
            });
            instances.get(id).is_some_and(|heartbeat| {
                heartbeat.incarnation == *incarnation && heartbeat.address == *address
            }) && !connections.is_empty()
        });
    }
}
