//! The real proxy over sockets against a hostile stand-in server: each client's answer is its own,
//! and a request that may run once does so at most once.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::behaviour::Behaviour;
use crate::support::client::{ask_alone, status_of};
use crate::support::fixture::{address_of, listen_for, Manner, ProxyFixture};
use crate::support::journal::{Journal, ObservedResponse};
use crate::support::schedule::Schedules;
use crate::support::server::{HostileServer, Script};
use crate::support::wire::in_chunks;
use proxy::request_handler::InjectedBug;
use proxy::send_guard::{GuardedSocket, SendGuard, SendState};
use runtime::clock::Clock;

const SCHEDULES: u64 = 2000;
/// How many schedules a broken proxy gets to be caught in.
const SCHEDULES_TO_CATCH: u64 = 300;
/// No condition that is waited for may take longer, however slow the machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until something holds.
async fn until(holds: impl Fn() -> bool) {
    let clock = Clock::start();
    while !holds() {
        assert!(clock.now() < TIMEOUT, "it never came to hold");
        tokio::task::yield_now().await;
    }
}

/// A proxy with servers that follow these scripts.
struct Scripted {
    proxy: ProxyFixture,
    servers: Vec<Arc<HostileServer>>,
    journals: Vec<Arc<Journal>>,
    /// Where the last of the servers listens.
    address: SocketAddr,
    _serving: JoinSet<()>,
}

async fn scripted(seed: u64, manner: Manner, scripts: &[Script]) -> Scripted {
    let mut serving = JoinSet::new();
    let (mut servers, mut journals, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for script in scripts {
        let listener = listen_for(seed).await;
        addresses.push(address_of(&listener));
        let journal = Arc::new(Journal::new(manner));
        let server = HostileServer::new(seed, manner, journal.clone(), Some(*script));
        serving.spawn(server.clone().serve(listener));
        servers.push(server);
        journals.push(journal);
    }
    let proxy = ProxyFixture::start(
        seed,
        manner.protocol_adapter(),
        InjectedBug::Off,
        &addresses,
    )
    .await;
    Scripted {
        servers,
        journals,
        address: addresses.last().copied().unwrap_or(proxy.address),
        proxy,
        _serving: serving,
    }
}

impl Scripted {
    async fn get(&self, id: &str) -> ObservedResponse {
        let bytes = plain("GET", id);
        ask_alone(self.proxy.address, "GET", &bytes).await
    }

    /// The same from a client that can be made to go away.
    fn get_task(&self, id: &str) -> tokio::task::JoinHandle<ObservedResponse> {
        let (address, bytes) = (self.proxy.address, plain("GET", id));
        tokio::spawn(async move { ask_alone(address, "GET", &bytes).await })
    }

    /// Sends these bytes; says the answer's status, and how many requests ran well by then.
    async fn post(&self, bytes: &[u8]) -> (Option<u16>, usize) {
        let seen = ask_alone(self.proxy.address, "POST", bytes).await;
        let arrivals = self.journals[0].arrivals_with(Behaviour::Good);
        (status_of(&seen), arrivals)
    }

    /// How many connections the first server has taken.
    fn connections(&self) -> u32 {
        self.servers[0].connections.load(Ordering::SeqCst)
    }
}

fn plain(method: &str, id: &str) -> Vec<u8> {
    format!("{method} /{id} HTTP/1.1\r\nHost: a.example\r\nRequest-Name: {id}\r\n\r\n").into_bytes()
}

/// Runs schedules that must break nothing, and must not be empty.
async fn assert_kept(seeds: std::ops::Range<u64>, manner: Manner) {
    let schedules = Schedules::run(seeds, manner, InjectedBug::Off).await;
    let breaches = &schedules.breaches;
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
    let tally = schedules.tally;
    eprintln!("{manner:?}: {tally:?}");
    // Why looked at: schedules in which little happens would keep every rule.
    for behaviour in Behaviour::all() {
        let drawn = tally.behaviours.get(&behaviour).copied().unwrap_or(0);
        assert!(drawn > 50, "{behaviour:?} came {drawn} times in {tally:?}");
    }
    assert!(tally.successes * 3 > tally.requests, "{tally:?}");
    for count in [
        tally.promises,
        tally.unknowns,
        tally.cut_bodies,
        tally.gave_up,
        tally.further_arrivals,
    ] {
        assert!(count > 100, "{tally:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_hostile_servers_when_thousands_of_schedules_run_then_each_answer_is_its_own() {
    assert_kept(0..SCHEDULES, Manner::Strict).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_hostile_servers_when_clients_name_no_requests_then_each_answer_is_its_own() {
    assert_kept(10_000..10_000 + SCHEDULES, Manner::Own).await;
}

/// Runs a proxy with a mistake built in; each of these kinds of breach must be told of it.
async fn assert_caught(first_seed: u64, injected_bug: InjectedBug, kinds: &[&str]) {
    let seeds = first_seed..first_seed + SCHEDULES_TO_CATCH;
    let schedules = Schedules::run(seeds, Manner::Strict, injected_bug).await;
    for kind in kinds {
        let breaches = &schedules.breaches;
        assert!(
            schedules.reported(kind),
            "{injected_bug:?}: no {kind:?} in {breaches:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_a_proxy_that_ignores_names_of_answers_when_schedules_run_then_it_is_caught() {
    let kinds = ["got an answer that names", "without its own whole body"];
    assert_caught(100_000, InjectedBug::AcceptsAnyResponse, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_a_proxy_that_repeats_after_a_reset_when_schedules_run_then_it_is_caught() {
    assert_caught(
        110_000,
        InjectedBug::RetriesNonIdempotent,
        &["may run once"],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_a_proxy_that_promises_in_doubt_when_schedules_run_then_it_is_caught() {
    let kinds = ["promises that it never ran"];
    assert_caught(120_000, InjectedBug::ReportsUnknownAsNotRun, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_a_proxy_that_ends_cut_answers_as_whole_when_schedules_run_then_it_is_caught() {
    let kinds = ["without its own whole body"];
    assert_caught(130_000, InjectedBug::EndsTruncatedResponses, &kinds).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_a_proxy_without_a_budget_when_schedules_run_then_it_is_caught() {
    let kinds = ["though the budget allows"];
    assert_caught(140_000, InjectedBug::IgnoresRetryBudget, &kinds).await;
}

#[tokio::test]
async fn given_large_answers_when_each_has_ended_then_its_connection_carries_the_next_request() {
    let scripted = scripted(200_000, Manner::Strict, &[|_| Behaviour::GoodLarge]).await;
    for number in 0..8 {
        let seen = scripted.get(&format!("large-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 1);
}

#[tokio::test]
async fn given_clients_that_go_away_when_an_instance_works_on_then_it_is_not_put_aside() {
    let silent_for_some: Script = |head| match head.second_word().contains("gone") {
        true => Behaviour::Silence,
        false => Behaviour::Good,
    };
    let scripts = [silent_for_some, |_| Behaviour::Good];
    let scripted = scripted(200_001, Manner::Strict, &scripts).await;
    let [shunned, _] = &scripted.journals[..] else {
        panic!("two servers");
    };
    // Why eight: more failures in a row than put an instance aside.
    for number in 0..200 {
        let before = shunned.arrivals_with(Behaviour::Silence);
        if before == 8 {
            break;
        }
        let asking = scripted.get_task(&format!("gone-{number}"));
        until(|| asking.is_finished() || shunned.arrivals_with(Behaviour::Silence) > before).await;
        asking.abort();
        until(|| {
            scripted
                .proxy
                .request_handler
                .in_flight
                .load(Ordering::SeqCst)
                == 0
        })
        .await;
    }
    assert_eq!(shunned.arrivals_with(Behaviour::Silence), 8);
    for number in 0..60 {
        let seen = scripted.get(&format!("stay-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert!(shunned.arrivals_with(Behaviour::Good) > 0);
}

#[tokio::test]
async fn given_an_instance_that_keeps_no_idle_connection_when_asked_again_then_a_new_one_is_opened()
{
    let script: Script = |_| Behaviour::GoodShortKeepAlive;
    let scripted = scripted(200_002, Manner::Strict, &[script]).await;
    for number in 0..3 {
        let seen = scripted.get(&format!("short-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 3);
}

#[tokio::test]
async fn given_answers_without_a_name_when_they_are_allowed_then_each_has_a_connection_of_its_own()
{
    let scripted = scripted(200_003, Manner::Own, &[|_| Behaviour::NoName]).await;
    for number in 0..3 {
        let seen = scripted.get(&format!("unnamed-{number}")).await;
        assert_eq!(status_of(&seen), Some(200));
    }
    assert_eq!(scripted.connections(), 3);
}

#[tokio::test]
async fn given_an_answer_to_head_without_a_length_when_it_comes_then_it_is_passed_on() {
    let scripted = scripted(200_004, Manner::Strict, &[|_| Behaviour::NoLength]).await;
    let bytes = plain("HEAD", "head-1");
    let seen = ask_alone(scripted.proxy.address, "HEAD", &bytes).await;
    assert_eq!(status_of(&seen), Some(200));
    let seen = scripted.get("get-1").await;
    assert_eq!(status_of(&seen), Some(502));
}

/// A chunked request whose body holds its own first line with another head.
fn with_a_head_within(length_outside: bool, length_inside: bool) -> Vec<u8> {
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
    bytes.extend(in_chunks(body.as_bytes(), 1000));
    bytes
}

#[tokio::test]
async fn given_a_body_that_holds_a_head_when_framing_is_judged_then_only_the_real_head_counts() {
    let scripted = scripted(200_005, Manner::Strict, &[|_| Behaviour::Good]).await;
    let hidden = scripted.post(&with_a_head_within(true, false)).await;
    assert_eq!(
        hidden,
        (Some(400), 0),
        "two lengths, one hidden by the body"
    );
    let proper = scripted.post(&with_a_head_within(false, true)).await;
    assert_eq!(proper, (Some(200), 1), "one length, another in the body");
}

/// A connection whose near end stands behind an armed gate.
async fn gated_pair() -> (GuardedSocket<TcpStream>, TcpStream) {
    let listener = listen_for(200_006).await;
    let near = TcpStream::connect(address_of(&listener)).await;
    let near = near.expect("it listens");
    let (far, _) = listener.accept().await.expect("it came");
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
async fn given_bytes_that_nobody_asked_for_when_a_request_is_to_be_written_then_no_byte_leaves() {
    for hangs_up in [false, true] {
        let (mut gated, mut far) = gated_pair().await;
        match hangs_up {
            true => drop(far),
            false => far
                .write_all(b"HTTP/1.1 200 OK\r\n")
                .await
                .expect("it takes it"),
        }
        let send_guard = gated.send_guard.clone();
        until(|| !send_guard.has_no_unread_data()).await;
        assert!(gated.write_all(b"POST / HTTP/1.1\r\n").await.is_err());
        assert_eq!(send_guard.shut_down(), SendState::NotSent(None));
    }
}

#[tokio::test]
async fn given_a_quiet_connection_when_a_request_is_written_then_it_leaves() {
    let (mut gated, _far) = gated_pair().await;
    assert!(gated.send_guard.has_no_unread_data());
    gated
        .write_all(b"POST / HTTP/1.1\r\n")
        .await
        .expect("it leaves");
    assert_eq!(gated.send_guard.shut_down(), SendState::Started);
    let send_guard = gated.send_guard.clone();
    drop(gated);
    assert!(
        !send_guard.has_no_unread_data(),
        "a closed socket is no clean connection"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_long_uploads_when_they_are_refused_at_once_then_their_clients_still_get_the_answer()
{
    let scripted = scripted(200_007, Manner::Strict, &[]).await;
    for number in 0..50 {
        let bytes = upload(&format!("long-{number}"));
        let seen = ask_alone(scripted.proxy.address, "POST", &bytes).await;
        assert_eq!(status_of(&seen), Some(503), "no instance is there");
    }
}

/// An upload that is longer than what the proxy holds.
fn upload(id: &str) -> Vec<u8> {
    let length = 900_000;
    let head = format!(
        "POST /{id} HTTP/1.1\r\nHost: a.example\r\nRequest-Name: {id}\r\nContent-Length: {length}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'a'; length]].concat()
}

#[tokio::test]
async fn given_an_instance_that_is_gone_when_an_upload_finds_it_then_it_goes_to_another() {
    // Why ten: which instance comes first is drawn anew for each.
    for number in 0..10 {
        let seed = 200_100 + number;
        let live = scripted(seed, Manner::Strict, &[|_| Behaviour::Good]).await;
        let gone = address_of(&listen_for(seed).await);
        let addresses = [gone, live.address];
        let proxy = ProxyFixture::start(
            seed,
            Manner::Strict.protocol_adapter(),
            InjectedBug::Off,
            &addresses,
        );
        let proxy = proxy.await;
        let seen = ask_alone(proxy.address, "POST", &upload("upload-1")).await;
        assert_eq!(status_of(&seen), Some(200));
        assert_eq!(live.journals[0].arrivals_with(Behaviour::Good), 1);
    }
}
