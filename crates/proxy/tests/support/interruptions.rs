//! Pauses the process or updates the state of the proxy between any two steps of a request.
//!
//! The proxy reads its clock before everything that depends on time or on its state. A disruption
//! is therefore caused at each clock read in turn: the process is paused until its lease has
//! expired, or an update says that the instance is draining or has ended. A disruption before the
//! first byte was sent must keep the request from being sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::support::behaviour::Behaviour;
use crate::support::client::send_alone;
use crate::support::fixture::{
    address_of, instance, listen_for, view, Protocol, ProxyFixture, LEASE,
};
use crate::support::journal::{Journal, ObservedResponse, NOT_RUN_STATUSES};
use crate::support::server::HostileServer;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::messages::ProxyView;
use proxy::request_handler::{InjectedBug, RequestHandler};
use runtime::clock::{Clock, Interruption};

/// More clock reads than one request needs.
const MAX_CLOCK_READS: u32 = 30;

/// What happens between two steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    /// The process is paused until long after its lease has expired.
    Freeze,
    /// The instance starts draining.
    InstanceDrains,
    /// The instance has ended.
    InstanceEnds,
}

const DISRUPTIONS: [Disruption; 3] = [
    Disruption::Freeze,
    Disruption::InstanceDrains,
    Disruption::InstanceEnds,
];

impl Disruption {
    fn pause(self) -> Duration {
        match self {
            Disruption::Freeze => LEASE * 2,
            _ => Duration::ZERO,
        }
    }

    /// Returns the view that the agent sends about the instance at this address after the
    /// disruption.
    fn updates(self, address: SocketAddr) -> Option<ProxyView> {
        let reported = match self {
            Disruption::Freeze => return None,
            Disruption::InstanceDrains => vec![Heartbeat {
                state: InstanceState::Draining,
                counter: 2,
                ..instance(0, address)
            }],
            Disruption::InstanceEnds => Vec::new(),
        };
        Some(view(2, reported))
    }
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    status: Option<u16>,
    arrivals: usize,
    /// Whether the request ended before the clock read that was to be disrupted.
    is_undisturbed: bool,
}

impl Outcome {
    /// Returns whether nothing reached the instance and the request was reported as not run.
    fn is_blocked(self) -> bool {
        self.arrivals == 0 && self.status == Some(503)
    }

    /// Returns whether the request reached the instance once and was not reported as not run.
    fn is_sent(self) -> bool {
        self.arrivals == 1
            && self
                .status
                .is_some_and(|status| !NOT_RUN_STATUSES.contains(&status))
    }
}

/// Sends one request, with a disruption at this clock read.
async fn outcome_of(
    disruption: Disruption,
    clock_read: u32,
    injected_bug: InjectedBug,
    upload: bool,
) -> Outcome {
    let seed = 300_000 + u64::from(clock_read);
    let protocol = Protocol::Strict;
    let listener = listen_for(seed).await;
    let address = address_of(&listener);
    let journal = Arc::new(Journal::new(protocol));
    let server = HostileServer::new(seed, protocol, journal.clone(), Some(|_| Behaviour::Good));
    let mut serving = JoinSet::new();
    serving.spawn(server.serve(listener));
    let request_handler: Arc<std::sync::OnceLock<Arc<RequestHandler>>> = Arc::default();
    let handler_slot = request_handler.clone();
    let interruption = Interruption::new(disruption.pause(), move || {
        if let (Some(request_handler), Some(updates)) =
            (handler_slot.get(), disruption.updates(address))
        {
            request_handler.apply_view(Duration::ZERO, &updates);
        }
    });
    // Leaked because clocks are copied everywhere; it costs a few bytes per request of the test.
    let interruption: &'static Interruption = Box::leak(Box::new(interruption));
    let clock = Clock::start().interrupted_by(interruption);
    let proxy = ProxyFixture::start_by(
        clock,
        seed,
        protocol.protocol_adapter(),
        injected_bug,
        &[address],
    )
    .await;
    request_handler
        .set(proxy.request_handler.clone())
        .unwrap_or_else(|_| panic!("it is set once"));
    interruption.trigger_at_read(clock_read);
    let body = if upload { 900_000 } else { 5 };
    let head = format!(
        "POST /one HTTP/1.1\r\nHost: a.example\r\nRequest-Name: one\r\nContent-Length: {body}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b'a'; body]].concat();
    let seen = send_alone(proxy.address, "POST", &bytes).await;
    let status = match seen {
        ObservedResponse::Complete { status, .. } => Some(status),
        _ => None,
    };
    Outcome {
        status,
        arrivals: journal.arrivals_with(Behaviour::Good),
        is_undisturbed: interruption.is_pending(),
    }
}

/// Returns at how many clock reads, from the first on, a disruption keeps the request from being
/// sent. At all later ones it must be sent.
async fn clock_reads_that_block(
    disruption: Disruption,
    injected_bug: InjectedBug,
    upload: bool,
) -> u32 {
    let mut blocked = 0;
    for clock_read in 1..=MAX_CLOCK_READS {
        let outcome = outcome_of(disruption, clock_read, injected_bug, upload).await;
        let all_so_far = blocked == clock_read - 1;
        if outcome.is_blocked() && all_so_far {
            blocked = clock_read;
            continue;
        }
        let case = format!("{disruption:?} at clock read {clock_read}, upload {upload}");
        assert!(outcome.is_sent(), "{case}: {outcome:?}");
        if outcome.is_undisturbed {
            assert_eq!(outcome.status, Some(200), "{case}");
            return blocked;
        }
    }
    panic!("a request takes more than {MAX_CLOCK_READS} clock reads");
}

#[tokio::test]
async fn nothing_is_sent_after_a_pause_or_update_before_the_first_byte() {
    for disruption in DISRUPTIONS {
        for upload in [false, true] {
            let blocked = clock_reads_that_block(disruption, InjectedBug::Off, upload).await;
            // When it is matched, when an instance is chosen, before it is sent, and when its first
            // byte is written.
            assert!(blocked >= 4, "{disruption:?}, upload {upload}: {blocked}");
        }
    }
}

#[tokio::test]
async fn interruptions_detect_a_skipped_pre_send_check() {
    for disruption in DISRUPTIONS {
        for upload in [false, true] {
            let without_bug = clock_reads_that_block(disruption, InjectedBug::Off, upload).await;
            let with_bug =
                clock_reads_that_block(disruption, InjectedBug::SkipsPreSendCheck, upload).await;
            assert!(
                with_bug < without_bug,
                "{disruption:?}, upload {upload}: blocked at {with_bug} and {without_bug} clock reads"
            );
        }
    }
}
