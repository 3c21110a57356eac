//! Runs the real proxy over sockets against a hostile server: each client gets its own response,
//! and a non-idempotent request runs at most once.

#[path = "answers/health_checks.rs"]
mod health_checks;
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::behaviour::Behaviour;
use crate::support::client::{send_alone, status_of};
use crate::support::fixture::{address_of, listen_for, Protocol, ProxyFixture};
use crate::support::journal::{Journal, ObservedResponse};
use crate::support::schedule::Schedules;
use crate::support::server::{HostileServer, Script};
use crate::support::wire::chunked_body;
use proxy::request_handler::InjectedBug;
use proxy::send_guard::{GuardedSocket, SendGuard, SendState};
use runtime::clock::Clock;

const SCHEDULES: u64 = 2000;
/// The number of schedules within which an injected fault must be detected.
const SCHEDULES_PER_FAULT: u64 = 300;
/// The limit for waiting on a condition, generous enough for slow machines.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until the condition is met.
async fn wait_until(condition: impl Fn() -> bool) {
    let clock = Clock::start();
    while !condition() {
        assert!(
            clock.now() < TIMEOUT,
            "the condition was not met within the timeout"
        );
        tokio::task::yield_now().await;
    }
}

/// A proxy in front of servers that follow these scripts.
struct ScriptedServers {
    proxy: ProxyFixture,
    servers: Vec<Arc<HostileServer>>,
    journals: Vec<Arc<Journal>>,
    /// The address of the last server.
    address: SocketAddr,
    _serving: JoinSet<()>,
}

async fn scripted(seed: u64, protocol: Protocol, scripts: &[Script]) -> ScriptedServers {
    let mut serving = JoinSet::new();
    let (mut servers, mut journals, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for script in scripts {
        let listener = listen_for(seed).await;
        addresses.push(address_of(&listener));
        let journal = Arc::new(Journal::new(protocol));
        let server = HostileServer::new(seed, protocol, journal.clone(), Some(*script));
        serving.spawn(server.clone().serve(listener));
        servers.push(server);
        journals.push(journal);
    }
    let proxy = ProxyFixture::start(
        seed,
        protocol.protocol_adapter(),
        InjectedBug::Off,
        &addresses,
    )
    .await;
    ScriptedServers {
        servers,
        journals,
        address: addresses.last().copied().unwrap_or(proxy.address),
        proxy,
        _serving: serving,
    }
}

impl ScriptedServers {
    async fn get(&self, id: &str) -> ObservedResponse {
        let bytes = plain("GET", id);
        send_alone(self.proxy.address, "GET", &bytes).await
    }

    /// Sends the same request from a task that can be aborted.
    fn get_task(&self, id: &str) -> tokio::task::JoinHandle<ObservedResponse> {
        let (address, bytes) = (self.proxy.address, plain("GET", id));
        tokio::spawn(async move { send_alone(address, "GET", &bytes).await })
    }

    /// Sends these bytes; returns the response status, and how many requests have run successfully
    /// by then.
    async fn post(&self, bytes: &[u8]) -> (Option<u16>, usize) {
        let seen = send_alone(self.proxy.address, "POST", bytes).await;
        let arrivals = self.journals[0].arrivals_with(Behaviour::Good);
        (status_of(&seen), arrivals)
    }

    /// Returns how many connections the first server has accepted.
    fn connections(&self) -> u32 {
        self.servers[0].connections.load(Ordering::SeqCst)
    }
}

fn plain(method: &str, id: &str) -> Vec<u8> {
    format!("{method} /{id} HTTP/1.1\r\nHost: a.example\r\nRequest-Name: {id}\r\n\r\n").into_bytes()
}

/// Runs schedules that must show no violation, and checks that enough happened in them.
async fn assert_no_violations(seeds: std::ops::Range<u64>, protocol: Protocol) {
    let schedules = Schedules::run(seeds, protocol, InjectedBug::Off).await;
    let violations = &schedules.violations;
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    let tally = schedules.tally;
    eprintln!("{protocol:?}: {tally:?}");
    // Schedules in which little happens would show no violation either.
    for behaviour in Behaviour::all() {
        let occurrences = tally.behaviours.get(&behaviour).copied().unwrap_or(0);
        assert!(
            occurrences > 50,
            "{behaviour:?} occurred {occurrences} times in {tally:?}"
        );
    }
    assert!(tally.successes * 3 > tally.requests, "{tally:?}");
    for count in [
        tally.not_run,
        tally.unknowns,
        tally.truncated_bodies,
        tally.disconnected,
        tally.retry_arrivals,
    ] {
        assert!(count > 100, "{tally:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_client_gets_its_own_response_from_hostile_servers() {
    assert_no_violations(0..SCHEDULES, Protocol::Strict).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_client_gets_its_own_response_without_client_request_ids() {
    assert_no_violations(10_000..10_000 + SCHEDULES, Protocol::Native).await;
}

/// Runs a proxy with an injected fault; violations of each of these kinds must be found.
async fn assert_detected(first_seed: u64, injected_bug: InjectedBug, kinds: &[&str]) {
    let seeds = first_seed..first_seed + SCHEDULES_PER_FAULT;
    let schedules = Schedules::run(seeds, Protocol::Strict, injected_bug).await;
    for kind in kinds {
        let violations = &schedules.violations;
        assert!(
            schedules.reported(kind),
            "{injected_bug:?}: no {kind:?} in {violations:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_detect_unchecked_response_ids() {
    let kinds = ["got a response that names", "without its own complete body"];
    assert_detected(100_000, InjectedBug::AcceptsAnyResponse, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_detect_retries_of_non_idempotent_requests() {
    assert_detected(
        110_000,
        InjectedBug::RetriesNonIdempotent,
        &["may run once"],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_detect_unknown_outcomes_reported_as_not_run() {
    let kinds = ["promises that it never ran"];
    assert_detected(120_000, InjectedBug::ReportsUnknownAsNotRun, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_detect_truncated_responses_ended_as_complete() {
    let kinds = ["without its own complete body"];
    assert_detected(130_000, InjectedBug::EndsTruncatedResponses, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_detect_a_missing_retry_budget() {
    let kinds = ["though the budget allows"];
    assert_detected(140_000, InjectedBug::IgnoresRetryBudget, &kinds).await;
}

#[tokio::test]
async fn connection_is_reused_after_a_large_response() {
    let scripted = scripted(200_000, Protocol::Strict, &[|_| Behaviour::GoodLarge]).await;
    for number in 0..8 {
        let seen = scripted.get(&format!("large-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 1);
}

#[tokio::test]
async fn disconnecting_clients_do_not_eject_an_instance() {
    let silent_for_some: Script = |head| match head.second_word().contains("gone") {
        true => Behaviour::NoResponse,
        false => Behaviour::Good,
    };
    let scripts = [silent_for_some, |_| Behaviour::Good];
    let scripted = scripted(200_001, Protocol::Strict, &scripts).await;
    let [failing, _] = &scripted.journals[..] else {
        panic!("two servers");
    };
    // More than the number of consecutive failures that ejects an instance.
    for number in 0..200 {
        let before = failing.arrivals_with(Behaviour::NoResponse);
        if before == 8 {
            break;
        }
        let asking = scripted.get_task(&format!("gone-{number}"));
        wait_until(|| {
            asking.is_finished() || failing.arrivals_with(Behaviour::NoResponse) > before
        })
        .await;
        asking.abort();
        wait_until(|| {
            scripted
                .proxy
                .request_handler
                .in_flight
                .load(Ordering::SeqCst)
                == 0
        })
        .await;
    }
    assert_eq!(failing.arrivals_with(Behaviour::NoResponse), 8);
    for number in 0..60 {
        let seen = scripted.get(&format!("stay-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert!(failing.arrivals_with(Behaviour::Good) > 0);
}

#[tokio::test]
async fn connection_with_zero_keep_alive_is_not_reused() {
    let script: Script = |_| Behaviour::GoodZeroKeepAlive;
    let scripted = scripted(200_002, Protocol::Strict, &[script]).await;
    for number in 0..3 {
        let seen = scripted.get(&format!("short-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 3);
}

#[tokio::test]
async fn connection_is_not_reused_after_a_response_without_id() {
    let scripted = scripted(200_003, Protocol::Native, &[|_| Behaviour::NoRequestId]).await;
    for number in 0..3 {
        let seen = scripted.get(&format!("unnamed-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 3);
}

#[tokio::test]
async fn head_response_without_length_is_forwarded() {
    let scripted = scripted(200_004, Protocol::Strict, &[|_| Behaviour::NoLength]).await;
    let bytes = plain("HEAD", "head-1");
    let seen = send_alone(scripted.proxy.address, "HEAD", &bytes).await;
    assert_eq!(status_of(&seen), Some(200));
    let seen = scripted.get("get-1").await;
    assert_eq!(status_of(&seen), Some(502));
}

/// A chunked request whose body contains a request line and headers.
fn body_with_embedded_head(length_outside: bool, length_inside: bool) -> Vec<u8> {
    let line = "POST /within HTTP/1.1\r\nHost: a.example\r\n";
    let length = |reported: bool| {
        if reported {
            "Content-Length: 5\r\n"
        } else {
            ""
        }
    };
    let body = format!("{line}{}\r\n", length(length_inside));
    let mut bytes = line.as_bytes().to_vec();
    bytes.extend(b"Request-Name: within\r\nTransfer-Encoding: chunked\r\n");
    bytes.extend(length(length_outside).as_bytes());
    bytes.extend(b"\r\n");
    bytes.extend(chunked_body(body.as_bytes(), 1000));
    bytes
}

#[tokio::test]
async fn framing_check_ignores_header_lines_in_the_body() {
    let scripted = scripted(200_005, Protocol::Strict, &[|_| Behaviour::Good]).await;
    let hidden = scripted.post(&body_with_embedded_head(true, false)).await;
    assert_eq!(
        hidden,
        (Some(400), 0),
        "the headers contain both Content-Length and Transfer-Encoding"
    );
    let proper = scripted.post(&body_with_embedded_head(false, true)).await;
    assert_eq!(
        proper,
        (Some(200), 1),
        "the Content-Length line is in the body only"
    );
}

/// A connection whose local end is behind an armed send guard.
async fn guarded_pair() -> (GuardedSocket<TcpStream>, TcpStream) {
    let listener = listen_for(200_006).await;
    let near = TcpStream::connect(address_of(&listener)).await;
    let near = near.expect("the listener accepts connections");
    let (far, _) = listener.accept().await.expect("the connection is accepted");
    let send_guard = Arc::new(SendGuard::of(&near));
    send_guard.arm(Box::new(|| Ok(())));
    (
        GuardedSocket {
            socket: near,
            send_guard,
        },
        far,
    )
}

#[tokio::test]
async fn request_is_not_written_after_unsolicited_bytes() {
    for hangs_up in [false, true] {
        let (mut guarded, mut far) = guarded_pair().await;
        match hangs_up {
            true => drop(far),
            false => far
                .write_all(b"HTTP/1.1 200 OK\r\n")
                .await
                .expect("the response is written"),
        }
        let send_guard = guarded.send_guard.clone();
        wait_until(|| !send_guard.has_no_unread_data()).await;
        assert!(guarded.write_all(b"POST / HTTP/1.1\r\n").await.is_err());
        assert_eq!(send_guard.shut_down(), SendState::NotSent(None));
    }
}

#[tokio::test]
async fn request_is_written_on_a_clean_connection() {
    let (mut guarded, _far) = guarded_pair().await;
    assert!(guarded.send_guard.has_no_unread_data());
    guarded
        .write_all(b"POST / HTTP/1.1\r\n")
        .await
        .expect("the request is written");
    assert_eq!(guarded.send_guard.shut_down(), SendState::Started);
    let send_guard = guarded.send_guard.clone();
    drop(guarded);
    assert!(
        !send_guard.has_no_unread_data(),
        "a closed socket is not a clean connection"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn client_receives_an_early_rejection_of_a_long_upload() {
    let scripted = scripted(200_007, Protocol::Strict, &[]).await;
    for number in 0..50 {
        let bytes = upload(&format!("long-{number}"));
        let seen = send_alone(scripted.proxy.address, "POST", &bytes).await;
        assert_eq!(status_of(&seen), Some(503), "there is no instance");
    }
}

/// An upload that is larger than what the proxy buffers.
fn upload(id: &str) -> Vec<u8> {
    let length = 900_000;
    let head = format!(
        "POST /{id} HTTP/1.1\r\nHost: a.example\r\nRequest-Name: {id}\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'a'; length]].concat()
}

#[tokio::test]
async fn upload_goes_to_another_instance_when_one_is_unreachable() {
    // Repeated because the first instance is chosen at random each time.
    for number in 0..10 {
        let seed = 200_100 + number;
        let live = scripted(seed, Protocol::Strict, &[|_| Behaviour::Good]).await;
        let gone = address_of(&listen_for(seed).await);
        let addresses = [gone, live.address];
        let proxy = ProxyFixture::start(
            seed,
            Protocol::Strict.protocol_adapter(),
            InjectedBug::Off,
            &addresses,
        );
        let proxy = proxy.await;
        let seen = send_alone(proxy.address, "POST", &upload("upload-1")).await;
        assert_eq!(status_of(&seen), Some(200));
        assert_eq!(live.journals[0].arrivals_with(Behaviour::Good), 1);
    }
}
