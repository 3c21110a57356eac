//! Health checks over sockets: what an instance says in its response limits the requests that it gets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::support::client::{send_alone, status_of};
use crate::support::fixture::{
    address_of, instance, view_with_health_checks, Protocol, ProxyFixture, SERVICE,
};
use caperworks::identifiers::{ServiceName, Zone};
use caperworks::policy::SlowStartPolicy;
use proxy::request_handler::{InjectedBug, RequestHandler};
use runtime::http::REQUEST_HEADER;
use runtime::locks::locked;

/// Requests that are tried at once.
const ATTEMPTS: usize = 40;

/// An instance that gives the same response to each health check, and echoes the id of each other request.
struct CheckedInstance {
    address: SocketAddr,
    checks: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl CheckedInstance {
    async fn start(response: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let checks = Arc::new(AtomicU32::new(0));
        let counter = checks.clone();
        let address = address_of(&listener);
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (response, counter) = (response.clone(), counter.clone());
                tokio::spawn(async move {
                    let mut bytes = vec![0; 4096];
                    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                        let head = String::from_utf8_lossy(&bytes[..count]).to_string();
                        let response = match head.starts_with("GET /health HTTP/1.1\r\n") {
                            true => {
                                counter.fetch_add(1, Ordering::SeqCst);
                                response.clone()
                            }
                            false => echo(&head),
                        };
                        if stream.write_all(response.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self {
            address,
            checks,
            task,
        }
    }
}

/// Returns a response that echoes the id of the request.
fn echo(head: &str) -> String {
    let mut lines = head.lines();
    let id = lines.find(|line| line.starts_with(REQUEST_HEADER));
    let id = id.expect("a request has an id");
    format!("HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 2\r\n\r\nok")
}

impl Drop for CheckedInstance {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns how many requests may go to the only instance at this moment.
fn admitted(request_handler: &RequestHandler) -> usize {
    let state = request_handler.proxy_state();
    let now = request_handler.clock.now();
    let (_, route) = state
        .find(now, "any.example", "/")
        .expect("there is a route");
    let shard = request_handler.shard(&ServiceName::new(SERVICE));
    let mut shard = locked(&shard);
    let zone = Zone::new("e1");
    let may_send = |_: &usize| {
        let chosen = shard.choose(now, &state, &zone, &route, None, &[]);
        let target = chosen.inspect(|target| shard.begin_attempt(now, target));
        target
            .inspect(|target| shard.end_attempt(now, target, true, None))
            .is_ok()
    };
    (0..ATTEMPTS).filter(may_send).count()
}

/// Returns how many requests may go to an instance with this response to health checks, before and after a
/// health check, and how many checks it got. Its reports are not current.
async fn admitted_before_and_after(seed: u64, headers: &str, status: &str) -> (usize, usize, u32) {
    let response = format!("HTTP/1.1 {status}\r\n{headers}content-length: 2\r\n\r\nok");
    let checked = CheckedInstance::start(response).await;
    let adapter = Protocol::Native.protocol_adapter();
    let fixture = ProxyFixture::start(seed, adapter, InjectedBug::Off, &[]).await;
    let request_handler = fixture.request_handler.clone();
    let view = view_with_health_checks(2, vec![instance(0, checked.address)]);
    request_handler.apply_view(request_handler.clock.now(), &view);
    let before = admitted(&request_handler);
    let now = request_handler.clock.now();
    let targets = {
        let shard = request_handler.shard(&ServiceName::new(SERVICE));
        let mut shard = locked(&shard);
        shard.begin_health_checks(now, &request_handler.proxy_state())
    };
    for target in targets {
        request_handler.clone().check_health(now, target).await;
    }
    let after = admitted(&request_handler);
    fixture.stop();
    (before, after, checked.checks.load(Ordering::SeqCst))
}

const IDENTITY: &str = "caperworks-instance: instance-0\r\n";

#[tokio::test]
async fn instance_that_a_health_check_finds_warm_gets_requests() {
    let (before, after, checks) = admitted_before_and_after(911, IDENTITY, "200 OK").await;
    assert!(before <= 1, "{before} requests before the check");
    let expected = SlowStartPolicy::default().requests_per_check(0.25, 1) as usize;
    assert_eq!(after, expected);
    assert_eq!(checks, 1);
}

#[tokio::test]
async fn instance_that_a_health_check_finds_warming_up_stays_limited() {
    let headers = format!("{IDENTITY}caperworks-warm-up-left-ms: 3000\r\n");
    let (before, after, checks) = admitted_before_and_after(912, &headers, "200 OK").await;
    assert!(before <= 1 && after <= 1, "{before} and {after} requests");
    assert_eq!(checks, 1);
}

#[tokio::test]
async fn health_check_that_shows_nothing_admits_nothing() {
    let invalid = format!("{IDENTITY}caperworks-warm-up-left-ms: soon\r\n");
    let cases = [
        (913, "caperworks-instance: instance-7\r\n", "200 OK"),
        (914, "", "200 OK"),
        (915, IDENTITY, "503 Service Unavailable"),
        (916, invalid.as_str(), "200 OK"),
    ];
    for (seed, headers, status) in cases {
        let (before, after, checks) = admitted_before_and_after(seed, headers, status).await;
        assert!(
            before <= 1 && after <= 1,
            "{before} and {after} with {headers:?}"
        );
        assert_eq!(checks, 1, "{headers:?}");
    }
}

#[tokio::test]
async fn request_waits_for_the_health_check_of_the_only_instance() {
    let response = format!("HTTP/1.1 200 OK\r\n{IDENTITY}content-length: 2\r\n\r\nok");
    let checked = CheckedInstance::start(response).await;
    let adapter = Protocol::Native.protocol_adapter();
    let fixture = ProxyFixture::start(917, adapter, InjectedBug::Off, &[]).await;
    let request_handler = fixture.request_handler.clone();
    let view = view_with_health_checks(2, vec![instance(0, checked.address)]);
    request_handler.apply_view(request_handler.clock.now(), &view);
    // The first one may spend what the slow start allows; the others need the check.
    let request = b"GET / HTTP/1.1\r\nhost: any.example\r\nconnection: close\r\n\r\n";
    for number in 0..4 {
        let seen = send_alone(fixture.address, "GET", request).await;
        assert_eq!(status_of(&seen), Some(200), "request {number}: {seen:?}");
    }
    assert!(checked.checks.load(Ordering::SeqCst) > 0);
    fixture.stop();
}
