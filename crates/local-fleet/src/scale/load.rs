//! The load of a scale run: configuration changes and restarts at constant rates.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::flows::{Component, Flows};
use crate::scale::options::ScaleOptions;
use crate::simulated_nodes::{
    request_bytes, response_bytes, AgentHandle, ControllerAddresses, InstanceHandle,
};
use caperworks::identifiers::Version;
use runtime::clock::Clock;
use runtime::http::Fetch;
use runtime::locks::locked;

/// The version of each accepted change, and when its response arrived.
pub(crate) type Accepted = Arc<Mutex<Vec<(Version, Duration)>>>;

/// Posts changes at a constant rate without waiting for the responses to earlier ones.
pub(crate) async fn post_changes(
    options: ScaleOptions,
    controllers: Vec<ControllerAddresses>,
    clock: Clock,
    flows: Arc<Flows>,
    accepted: Accepted,
    offered: Arc<AtomicU64>,
) {
    if options.changes <= 0.0 {
        return std::future::pending().await;
    }
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / options.changes));
    loop {
        ticks.tick().await;
        let number = offered.fetch_add(1, Ordering::SeqCst);
        let put = options.route_put(
            (number % u64::from(options.routes)) as u32,
            2001 + number % 5000,
        );
        let read = locked(&accepted).last().map_or(0, |last| last.0 .0);
        let id = format!("change-{number}");
        let body = jzon::object! { id: id, edition: read, put: [put] }.dump();
        let to = controllers[(number % controllers.len() as u64) as usize].serving;
        let (accepted, flows) = (accepted.clone(), flows.clone());
        tokio::spawn(async move {
            flows.count(
                Component::Operator,
                Component::Controller,
                request_bytes("/v1/standing", to, body.len()),
            );
            let Ok(fetched) = Fetch::post(to, "/v1/standing", body).send().await else {
                return;
            };
            let now = clock.now();
            flows.count(
                Component::Controller,
                Component::Operator,
                response_bytes(&fetched),
            );
            if fetched.status == 200 {
                let version = Version(fetched.json()["edition"].as_u64().unwrap_or(0));
                locked(&accepted).push((version, now));
            }
        });
    }
}

/// Restarts simulated agents and instances alternately at a constant rate.
pub(crate) async fn restart_nodes(
    rate: f64,
    agents: &[AgentHandle],
    instances: &[InstanceHandle],
    restarted: &AtomicU64,
) {
    if rate <= 0.0 {
        return std::future::pending().await;
    }
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(60.0 / rate));
    loop {
        ticks.tick().await;
        let number = restarted.fetch_add(1, Ordering::SeqCst) as usize;
        if number.is_multiple_of(2) && !agents.is_empty() {
            agents[number / 2 % agents.len()].restart();
        } else if !instances.is_empty() {
            instances[number / 2 % instances.len()].restart();
        }
    }
}

/// Returns the time from acceptance until the last simulated node held the change, for each change that
/// all of them hold, and the number of changes that some of them do not hold.
pub(crate) fn propagation_delays(
    accepted: &[(Version, Duration)],
    agents: &[AgentHandle],
) -> (Vec<Duration>, u64) {
    let versions_by_agent: Vec<Vec<(Version, Duration)>> = agents
        .iter()
        .map(|agent| locked(&agent.version_history).clone())
        .collect();
    let mut unheld = 0;
    let mut delays = Vec::new();
    for (version, accepted_at) in accepted {
        let last = versions_by_agent
            .iter()
            .map(|versions| {
                versions
                    .iter()
                    .find(|(held, _)| held >= version)
                    .map(|(_, at)| *at)
            })
            .collect::<Option<Vec<Duration>>>();
        match last {
            Some(last) => {
                let last = last.into_iter().max().unwrap_or_default();
                delays.push(last.saturating_sub(*accepted_at));
            }
            None => unheld += 1,
        }
    }
    (delays, unheld)
}
