//! One seeded schedule: clients, a real proxy, hostile servers, and the check of the results.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::support::client::Client;
use crate::support::fixture::{address_of, listen_for, Protocol, ProxyFixture};
use crate::support::journal::{Journal, Tally};
use crate::support::server::HostileServer;
use caperworks::identifiers::{mix, RandomSource};
use proxy::request_handler::InjectedBug;
use runtime::clock::Clock;

const SERVERS: usize = 3;
const CLIENTS: u64 = 5;
const REQUESTS_PER_CLIENT: u32 = 4;
/// The number of schedules that run at the same time.
const MAX_CONCURRENT: usize = 48;

/// Runs one schedule; returns the violations and the counts of what happened.
pub async fn run_schedule(
    seed: u64,
    protocol: Protocol,
    injected_bug: InjectedBug,
) -> (Vec<String>, Tally) {
    let journal = Arc::new(Journal::new(protocol));
    let mut servers = JoinSet::new();
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        let listener = listen_for(seed).await;
        addresses.push(address_of(&listener));
        let server = HostileServer::new(seed, protocol, journal.clone(), None);
        servers.spawn(server.serve(listener));
    }
    let proxy =
        ProxyFixture::start(seed, protocol.protocol_adapter(), injected_bug, &addresses).await;
    let clock = Clock::start();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let random_source = RandomSource::seeded(mix(seed ^ number << 40));
        let name = format!("s{seed}-c{number}");
        let client = Client::new(name, proxy.address, journal.clone(), random_source);
        clients.spawn(client.run(REQUESTS_PER_CLIENT));
    }
    while let Some(ended) = clients.join_next().await {
        ended.expect("a client does not panic");
    }
    proxy.stop();
    servers.shutdown().await;
    (journal.find_violations(clock.now()), journal.tally())
}

/// The counts and violations of many schedules.
#[derive(Debug, Default)]
pub struct Schedules {
    pub violations: Vec<String>,
    pub tally: Tally,
}

impl Schedules {
    /// Runs schedules with these seeds concurrently.
    pub async fn run(
        seeds: std::ops::Range<u64>,
        protocol: Protocol,
        injected_bug: InjectedBug,
    ) -> Self {
        let mut schedules = Self::default();
        let mut in_flight = JoinSet::new();
        for seed in seeds {
            if in_flight.len() >= MAX_CONCURRENT {
                schedules.collect_one(&mut in_flight).await;
            }
            in_flight
                .spawn(async move { (seed, run_schedule(seed, protocol, injected_bug).await) });
        }
        while !in_flight.is_empty() {
            schedules.collect_one(&mut in_flight).await;
        }
        schedules
    }

    async fn collect_one(&mut self, in_flight: &mut JoinSet<(u64, (Vec<String>, Tally))>) {
        let Some(ended) = in_flight.join_next().await else {
            return;
        };
        let (seed, (violations, tally)) = ended.expect("a schedule does not panic");
        self.tally.add(&tally);
        let reported = violations
            .iter()
            .map(|violation| format!("seed {seed}: {violation}"));
        self.violations.extend(reported);
    }

    /// Returns whether a violation of this kind was found.
    pub fn reported(&self, kind: &str) -> bool {
        self.violations
            .iter()
            .any(|violation| violation.contains(kind))
    }
}
