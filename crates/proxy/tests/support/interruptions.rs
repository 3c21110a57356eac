//! Freezes and news between any two steps of a request, through the whole proxy.
//!
//! The proxy looks at its clock before whatever depends on time or on what it knows. So an
//! interruption is brought about at each of these looks in turn: the process sleeps until its lease is
//! over, or it hears that the instance leaves or has ended. Whatever strikes before
//! the first byte has left must keep the request from leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::support::behaviour::Behaviour;
use crate::support::client::ask_alone;
use crate::support::fixture::{
    address_of, instance, listen_for, view, Manner, ProxyFixture, LEASE,
};
use crate::support::journal::{Journal, ObservedResponse, PROMISES};
use crate::support::server::HostileServer;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::messages::ProxyView;
use proxy::carrier::{BrokenCarrier, Carrier};
use runtime::clock::{Clock, Interruption};

/// More looks than one request takes.
const MOST_LOOKS: u32 = 30;

/// What strikes between two steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strike {
    /// The process is frozen until long after its lease.
    Freeze,
    /// The instance says that it leaves.
    InstanceLeaves,
    /// The instance is told to have ended.
    InstanceEnds,
}

const STRIKES: [Strike; 3] = [Strike::Freeze, Strike::InstanceLeaves, Strike::InstanceEnds];

impl Strike {
    fn nap(self) -> Duration {
        match self {
            Strike::Freeze => LEASE * 2,
            _ => Duration::ZERO,
        }
    }

    /// What the agent tells of the instance at this address from then on.
    fn updates(self, address: SocketAddr) -> Option<ProxyView> {
        let reported = match self {
            Strike::Freeze => return None,
            Strike::InstanceLeaves => vec![Heartbeat {
                state: InstanceState::Draining,
                counter: 2,
                ..instance(0, address)
            }],
            Strike::InstanceEnds => Vec::new(),
        };
        Some(view(2, reported))
    }
}

/// What came of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    status: Option<u16>,
    arrivals: usize,
    /// Whether the request took fewer looks than were waited for.
    undisturbed: bool,
}

impl Outcome {
    /// Whether nothing reached the instance, and the client was promised so.
    fn is_kept_back(self) -> bool {
        self.arrivals == 0 && self.status == Some(503)
    }

    /// Whether it reached the instance once, and the client was not told otherwise.
    fn is_sent(self) -> bool {
        self.arrivals == 1
            && self
                .status
                .is_some_and(|status| !PROMISES.contains(&status))
    }
}

/// Sends one request, with a strike at this look at the clock.
async fn outcome_of(strike: Strike, look: u32, broken: BrokenCarrier, upload: bool) -> Outcome {
    let seed = 300_000 + u64::from(look);
    let manner = Manner::Strict;
    let listener = listen_for(seed).await;
    let address = address_of(&listener);
    let journal = Arc::new(Journal::new(manner));
    let server = HostileServer::new(seed, manner, journal.clone(), Some(|_| Behaviour::Good));
    let mut serving = JoinSet::new();
    serving.spawn(server.serve(listener));
    let carrier: Arc<std::sync::OnceLock<Arc<Carrier>>> = Arc::default();
    let struck = carrier.clone();
    let interruption = Interruption::new(strike.nap(), move || {
        if let (Some(carrier), Some(updates)) = (struck.get(), strike.updates(address)) {
            carrier.take(Duration::ZERO, &updates);
        }
    });
    // Why leaked: a clock is copied everywhere, and a few bytes for each request do no harm here.
    let interruption: &'static Interruption = Box::leak(Box::new(interruption));
    let clock = Clock::start().interrupted_by(interruption);
    let proxy = ProxyFixture::start_by(clock, seed, manner.dialect(), broken, &[address]).await;
    carrier
        .set(proxy.carrier.clone())
        .unwrap_or_else(|_| panic!("it is set once"));
    interruption.trigger_at_read(look);
    let body = if upload { 900_000 } else { 5 };
    let head = format!(
        "POST /one HTTP/1.1\r\nHost: a.example\r\nRequest-Name: one\r\nContent-Length: {body}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b'a'; body]].concat();
    let seen = ask_alone(proxy.address, "POST", &bytes).await;
    let status = match seen {
        ObservedResponse::Complete { status, .. } => Some(status),
        _ => None,
    };
    Outcome {
        status,
        arrivals: journal.arrivals_with(Behaviour::Good),
        undisturbed: interruption.is_pending(),
    }
}

/// At how many looks, from the first on, a strike keeps the request back; from then on it is sent.
async fn looks_that_keep_back(strike: Strike, broken: BrokenCarrier, upload: bool) -> u32 {
    let mut kept_back = 0;
    for look in 1..=MOST_LOOKS {
        let outcome = outcome_of(strike, look, broken, upload).await;
        let all_so_far = kept_back == look - 1;
        if outcome.is_kept_back() && all_so_far {
            kept_back = look;
            continue;
        }
        let case = format!("{strike:?} at look {look}, upload {upload}");
        assert!(outcome.is_sent(), "{case}: {outcome:?}");
        if outcome.undisturbed {
            assert_eq!(outcome.status, Some(200), "{case}");
            return kept_back;
        }
    }
    panic!("a request takes more than {MOST_LOOKS} looks");
}

#[tokio::test]
async fn given_a_freeze_or_news_at_any_step_when_no_byte_has_left_then_none_leaves() {
    for strike in STRIKES {
        for upload in [false, true] {
            let kept_back = looks_that_keep_back(strike, BrokenCarrier::Nothing, upload).await;
            // When it is matched, chosen, about to be sent, and where its first byte is written.
            assert!(kept_back >= 4, "{strike:?}, upload {upload}: {kept_back}");
        }
    }
}

#[tokio::test]
async fn given_a_proxy_that_ignores_the_last_check_when_interrupted_before_the_byte_then_it_is_seen(
) {
    for strike in STRIKES {
        for upload in [false, true] {
            let sound = looks_that_keep_back(strike, BrokenCarrier::Nothing, upload).await;
            let broken =
                looks_that_keep_back(strike, BrokenCarrier::IgnoresLastCheck, upload).await;
            assert!(
                broken < sound,
                "{strike:?}, upload {upload}: kept back at {broken} and {sound} looks"
            );
        }
    }
}
