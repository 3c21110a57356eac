//! Opens a connection to a peer that may be behind a slow link, or temporarily without power.
//!
//! The kernel repeats a lost SYN packet only after seconds. With a new attempt every half a second the
//! connection is established soon after the peer is up, and the first attempt still succeeds over a link whose
//! queuing delay exceeds that interval.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// How long a peer may take to respond to a SYN packet: longer than the queuing delay of a saturated link.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which further attempts are started beside those in progress.
pub const ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);

/// A connection, and how long the successful attempt took: a round trip including the queuing delay.
#[derive(Debug)]
pub struct OpenedConnection {
    pub stream: TcpStream,
    pub took: Duration,
}

async fn attempt(to: SocketAddr) -> io::Result<OpenedConnection> {
    let started_at = Instant::now();
    let stream = TcpStream::connect(to).await?;
    let took = started_at.elapsed();
    Ok(OpenedConnection { stream, took })
}

/// Opens a connection; the first of several attempts that succeeds is used.
///
/// Fails with the error of an attempt that the peer rejected (its process is down), or with
/// [`io::ErrorKind::TimedOut`] if the peer did not respond within [`CONNECT_TIMEOUT`].
pub async fn open_connection(to: SocketAddr) -> io::Result<OpenedConnection> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let mut next_attempt_at = Instant::now();
    let mut attempts = JoinSet::new();
    loop {
        let now = Instant::now();
        if now >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if now >= next_attempt_at {
            next_attempt_at = now + ATTEMPT_INTERVAL;
            attempts.spawn(attempt(to));
        }
        tokio::select! {
            Some(Ok(opened)) = attempts.join_next() => return opened,
            () = sleep_until(next_attempt_at.min(deadline)) => {}
        }
    }
}
