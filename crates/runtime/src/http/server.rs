//! The HTTP server of every process.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::events::{event, PORT_FAILURE};
use crate::http::ambiguous_framing::{HeadRecord, RecordingStream};
use crate::http::body::Body;
use crate::http::round_trip::round_trip;
use crate::locks::locked;

/// How long to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum length of a head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The peer of a connection, and the round-trip time to it.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// The address that the connection came from.
    pub address: SocketAddr,
    /// The round-trip time as measured by the kernel; zero if it has none.
    pub round_trip: Duration,
}

/// Serves HTTP on a listener until the process ends.
///
/// `handler` is called for each request, with the peer. While `stop` is set, each response closes its
/// connection: a process that is shutting down accepts no further requests on it. An error of the handler
/// aborts the connection.
pub async fn serve_http<Handler, ResponseFuture>(
    listener: TcpListener,
    stop: Arc<AtomicBool>,
    handler: Handler,
) where
    Handler: Fn(Peer, Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
    ResponseFuture: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_connection(
                    stream,
                    address,
                    stop.clone(),
                    handler.clone(),
                ));
            }
            Err(failure) => {
                event(PORT_FAILURE, failure);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection until it is closed.
async fn serve_connection<Handler, ResponseFuture>(
    stream: TcpStream,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    handler: Handler,
) where
    Handler: Fn(Peer, Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
    ResponseFuture: Future<Output = Result<Response<Body>, std::io::Error>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let peer = Peer {
        address,
        round_trip: round_trip(&stream),
    };
    let record = HeadRecord::shared();
    let stream = RecordingStream {
        inner: stream,
        record: record.clone(),
    };
    let service = hyper::service::service_fn(move |mut request: Request<Incoming>| {
        locked(&record).check(&mut request);
        let record = record.clone();
        let response_future = handler(peer, request);
        let stop = stop.clone();
        async move {
            let mut response = response_future.await?;
            locked(&record).expect_next();
            if stop.load(Ordering::Relaxed) {
                response
                    .headers_mut()
                    .insert("connection", HeaderValue::from_static("close"));
            }
            Ok::<_, std::io::Error>(response)
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
