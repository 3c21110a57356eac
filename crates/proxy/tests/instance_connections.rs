//! Tests connections to instances on real sockets.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use caperworks::identifiers::{Incarnation, InstanceId};
use proxy::instance_connections::InstanceConnections;
use runtime::http::Body;

/// More than the socket buffers of both sides hold.
const LARGE_BODY: usize = 64 * 1024 * 1024;

/// A request with a body of which only a part can have been sent when the connection is dropped.
fn large_request() -> Request<Body> {
    let body = Full::new(Bytes::from(vec![b'x'; LARGE_BODY]))
        .map_err(|never| match never {})
        .boxed();
    Request::post("/upload")
        .body(body)
        .expect("the request is valid")
}

/// Reads until the peer ends the connection; returns how it ended.
async fn read_to_its_end(mut stream: TcpStream) -> std::io::Result<()> {
    let mut bytes = vec![0; 64 * 1024];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}

#[tokio::test]
async fn dropping_a_connection_discards_queued_data() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let key = (InstanceId::new("i-1"), Incarnation(0), address);
    let connections = InstanceConnections::default();
    let mut connection = connections
        .acquire(&key, Duration::from_secs(5), false)
        .await
        .expect("the instance accepts");
    let (stream, _) = listener.accept().await.expect("the connection is opened");
    let response = connection.sender.send_request(large_request());
    // Once a first byte has arrived the buffers fill up, since the instance reads nothing.
    stream.readable().await.expect("the first bytes arrive");

    drop(response);
    drop(connection);

    let ended = read_to_its_end(stream).await;
    let failure = ended.expect_err("the connection is reset, not closed in order");
    assert_eq!(failure.kind(), std::io::ErrorKind::ConnectionReset);
}
