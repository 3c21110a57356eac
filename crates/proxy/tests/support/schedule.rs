//! One seeded schedule: clients, a real proxy, hostile servers, and the judgement.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::support::client::Client;
use crate::support::fixture::{address_of, listen_for, Manner, ProxyFixture};
use crate::support::journal::{Journal, Tally};
use crate::support::server::HostileServer;
use caperworks::identifiers::{mix, Chance};
use proxy::request_handler::InjectedBug;
use runtime::clock::Clock;

const SERVERS: usize = 3;
const CLIENTS: u64 = 5;
const REQUESTS_OF_EACH: u32 = 4;
/// How many schedules run at the same time.
const AT_ONCE: usize = 48;

/// Runs one schedule; says what broke a rule, and what came about.
pub async fn run_schedule(
    seed: u64,
    manner: Manner,
    injected_bug: InjectedBug,
) -> (Vec<String>, Tally) {
    let journal = Arc::new(Journal::new(manner));
    let mut servers = JoinSet::new();
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        let listener = listen_for(seed).await;
        addresses.push(address_of(&listener));
        let server = HostileServer::new(seed, manner, journal.clone(), None);
        servers.spawn(server.serve(listener));
    }
    let proxy =
        ProxyFixture::start(seed, manner.protocol_adapter(), injected_bug, &addresses).await;
    let clock = Clock::start();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let chance = Chance::seeded(mix(seed ^ number << 40));
        let name = format!("s{seed}-c{number}");
        let client = Client::new(name, proxy.address, journal.clone(), chance);
        clients.spawn(client.run(REQUESTS_OF_EACH));
    }
    while let Some(ended) = clients.join_next().await {
        ended.expect("a client does not panic");
    }
    proxy.stop();
    servers.shutdown().await;
    (journal.judge(clock.now()), journal.tally())
}

/// What many schedules brought about, and what broke a rule in them.
#[derive(Debug, Default)]
pub struct Schedules {
    pub breaches: Vec<String>,
    pub tally: Tally,
}

impl Schedules {
    /// Runs schedules with these seeds, many at once.
    pub async fn run(
        seeds: std::ops::Range<u64>,
        manner: Manner,
        injected_bug: InjectedBug,
    ) -> Self {
        let mut schedules = Self::default();
        let mut in_flight = JoinSet::new();
        for seed in seeds {
            if in_flight.len() >= AT_ONCE {
                schedules.take_in(&mut in_flight).await;
            }
            in_flight.spawn(async move { (seed, run_schedule(seed, manner, injected_bug).await) });
        }
        while !in_flight.is_empty() {
            schedules.take_in(&mut in_flight).await;
        }
        schedules
    }

    async fn take_in(&mut self, in_flight: &mut JoinSet<(u64, (Vec<String>, Tally))>) {
        let Some(ended) = in_flight.join_next().await else {
            return;
        };
        let (seed, (breaches, tally)) = ended.expect("a schedule does not panic");
        self.tally.add(&tally);
        let reported = breaches
            .iter()
            .map(|breach| format!("seed {seed}: {breach}"));
        self.breaches.extend(reported);
    }

    /// Whether a breach of this kind was found.
    pub fn reported(&self, kind: &str) -> bool {
        self.breaches.iter().any(|breach| breach.contains(kind))
    }
}
