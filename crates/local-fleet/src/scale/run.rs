//! One scale run of one size: starts the fleet, applies the load, measures, and ends the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context as AnyhowContext};
use jzon::JsonValue;

use crate::fleet::{Fleet, RelayedTraffic};
use crate::flows::{relay_and_count, Addresses, Component, FlowCounts, Flows};
use crate::scale::load::{post_changes, propagation_delays, restart_nodes, Accepted};
use crate::scale::lost_zone::{lose_zone, ZoneTimings};
use crate::scale::options::{ScaleOptions, MIB};
use crate::scale::report::{Report, RoleFigures, Sample};
use crate::simulated_nodes::{
    start_agent, start_instance, ControllerAddresses, InstanceHandle, SimulatedFleet,
};
use runtime::actor::shutdown_signal;
use runtime::clock::Clock;
use runtime::http::Fetch;
use runtime::locks::locked;

/// Kills all processes of the fleet when dropped.
pub(crate) struct FleetGuard(Fleet);

impl Drop for FleetGuard {
    fn drop(&mut self) {
        for process in &self.0.processes {
            process.signal(libc::SIGKILL);
        }
    }
}

/// Fetches a path from the controllers in order until one responds with status 200.
pub(crate) async fn fetch_from_any(
    controllers: &[ControllerAddresses],
    path: &str,
) -> Option<JsonValue> {
    for controller in controllers {
        let fetched = Fetch::get(controller.serving, path).timeout(Duration::from_secs(5));
        if let Ok(fetched) = fetched.send().await {
            if fetched.status == 200 {
                return Some(fetched.json());
            }
        }
    }
    None
}

/// Polls a condition every 200 ms until it holds; fails after `timeout`.
pub(crate) async fn wait_until(
    what: &str,
    timeout: Duration,
    condition: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    bail!("{what}: timed out after {timeout:?}")
}

/// Applies the initial configuration, retrying each change set for up to 30 s.
pub(crate) async fn apply_initial_configuration(
    options: &ScaleOptions,
    zones: &[(String, String)],
    controllers: &[ControllerAddresses],
) -> anyhow::Result<()> {
    for change in options.initial_changes(zones) {
        let body = change.dump();
        let last_response = Mutex::new(String::new());
        let applied = wait_until(
            "applying the initial configuration",
            Duration::from_secs(30),
            async || {
                let fetched = Fetch::post(controllers[0].serving, "/v1/standing", body.clone())
                    .send()
                    .await;
                let accepted = fetched.as_ref().is_ok_and(|fetched| fetched.status == 200);
                *locked(&last_response) = fetched.map_or_else(
                    |failure| failure.to_string(),
                    |fetched| fetched.json().dump(),
                );
                accepted
            },
        );
        applied
            .await
            .with_context(|| locked(&last_response).clone())?;
    }
    Ok(())
}

/// Runs one size and returns its results.
pub(crate) async fn run_size(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let folder = folder.join("scale");
    // Removes the data of an earlier run: controllers that find old maps would not start empty.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let scenario = options.scenario();
    let mut fleet = Fleet::plan(&scenario, &folder, options.base);
    fleet.add_relay(options.base, RelayedTraffic::Messages);
    // The relay process is not started: this process relays the traffic itself to count it.
    fleet.processes.remove(0);
    let mut addresses = HashMap::new();
    let mut pairs = Vec::new();
    let mut controllers = Vec::new();
    for process in &fleet.processes {
        let (Some(component), Some(advertised)) =
            (Component::of_program(&process.program), process.advertise)
        else {
            continue;
        };
        let listened: SocketAddr = process.arguments[1].parse()?;
        addresses.insert(advertised, component);
        pairs.push((advertised, listened));
        if component == Component::Controller {
            controllers.push(ControllerAddresses {
                advertised,
                listened,
                serving: process.serving,
            });
        }
    }
    let addresses: Addresses = Arc::new(addresses);
    let flows: Arc<Flows> = Arc::default();
    relay_and_count(&pairs, &addresses, &flows).await?;
    let mut fleet = FleetGuard(fleet);
    for index in 0..fleet.0.processes.len() {
        fleet.0.start(index)?;
    }
    let timeout = Duration::from_secs(60);
    // Simulated agents start only after the voters are chosen, so that the witness voters are real agents.
    wait_until("waiting for five voters", timeout, async || {
        if fleet.0.check_none_ended().is_err() {
            return true;
        }
        let status = fetch_from_any(&controllers, "/v1/status").await;
        status.is_some_and(|status| {
            status["seats"].len() == 5
                && status["members"].len() >= (options.agents + options.directories) as usize
        })
    })
    .await?;
    fleet.0.check_none_ended()?;
    apply_initial_configuration(options, &scenario.zones, &controllers).await?;
    let clock = Clock::start();
    let simulated = Arc::new(SimulatedFleet {
        clock,
        controllers: controllers.clone(),
        zones: options.zones(),
        services: options.services,
        routes: options.routes,
        spread: Duration::from_millis(300 + u64::from(options.nodes)),
        first_zone_partitioned: AtomicBool::new(false),
        addresses,
        flows: flows.clone(),
    });
    let mut agents = Vec::new();
    for number in 0..options.nodes {
        agents.push(start_agent(&simulated, number, options.base).await?);
    }
    let instances: Vec<InstanceHandle> = (0..options.instances)
        .map(|number| start_instance(&simulated, number))
        .collect();
    let members = (options.nodes + options.agents + options.directories) as usize;
    let counted = async || {
        let status = fetch_from_any(&controllers, "/v1/status")
            .await
            .unwrap_or(JsonValue::Null);
        (status["members"].len(), status["instances"].len())
    };
    // The run continues after a timeout: controllers that cannot register so many are a result too.
    let settled = wait_until(
        "waiting until all members and instances are registered",
        Duration::from_secs(30),
        async || counted().await == (members, instances.len()),
    );
    let settled = settled.await;
    if let Err(why) = &settled {
        println!("{why}");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let samples = |fleet: &Fleet| -> Vec<Option<Sample>> {
        fleet
            .processes
            .iter()
            .map(|process| Sample::of(process.pid))
            .collect()
    };
    let (accepted, offered) = (Accepted::default(), Arc::new(AtomicU64::new(0)));
    let restarted = AtomicU64::new(0);
    let timings = ZoneTimings::default();
    let before = (Instant::now(), samples(&fleet.0), flows.snapshot());
    tokio::select! {
        () = tokio::time::sleep(Duration::from_secs(options.seconds)) => {}
        () = post_changes(
            options.clone(), controllers.clone(), clock, flows.clone(), accepted.clone(), offered.clone(),
        ) => {}
        () = restart_nodes(options.restarts, &agents, &instances, &restarted) => {}
        () = lose_zone(options, &simulated, &counted, &timings) => {}
    }
    let elapsed = before.0.elapsed().as_secs_f64();
    let (after, traffic) = (samples(&fleet.0), flows.snapshot().since(&before.2));
    let status = fetch_from_any(&controllers, "/v1/status")
        .await
        .unwrap_or(JsonValue::Null);
    let (zone_out, zone_back) = *locked(&timings);
    // The last changes are still being distributed.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let accepted = locked(&accepted).clone();
    let (delays, unheld) = propagation_delays(&accepted, &agents);
    let roles = ["controller", "agent", "proxy", "directory"]
        .map(|role| role_figures(role, &fleet.0, &before.1, &after, &traffic, elapsed));
    let nodes = f64::from(options.nodes.max(1));
    let (sent, received) = (
        traffic.sent_by(Component::SimulatedAgent),
        traffic.received_by(Component::SimulatedAgent),
    );
    Ok(Report {
        options: options.clone(),
        roles: roles.to_vec(),
        node_messages: (sent.messages + received.messages) as f64 / nodes / elapsed * 60.0,
        node_bytes: (sent.bytes + received.bytes) as f64 / nodes / elapsed,
        members_counted: status["members"].len(),
        instances_counted: status["instances"].len(),
        simulated_voters: simulated_voters(&status, &pairs),
        settled: settled.is_ok(),
        operator_bytes: traffic.received_by(Component::Operator).bytes as f64 / elapsed,
        status_bytes: status.dump().len(),
        zone_out,
        zone_back,
        restarted: restarted.load(Ordering::SeqCst),
        offered: offered.load(Ordering::SeqCst),
        accepted: accepted.len() as u64,
        unheld,
        delays,
    })
}

/// Returns the number of voters that are not real processes. A run with such voters does not measure the
/// real control plane.
pub(crate) fn simulated_voters(status: &JsonValue, pairs: &[(SocketAddr, SocketAddr)]) -> usize {
    status["seats"]
        .members()
        .filter_map(|voter| voter["address"].as_str()?.parse::<SocketAddr>().ok())
        .filter(|address| !pairs.iter().any(|(advertised, _)| advertised == address))
        .count()
}

/// Computes the figures of one role from the samples before and after the measurement.
pub(crate) fn role_figures(
    role: &str,
    fleet: &Fleet,
    before: &[Option<Sample>],
    after: &[Option<Sample>],
    traffic: &FlowCounts,
    elapsed: f64,
) -> RoleFigures {
    let pairs: Vec<(Sample, Sample)> = fleet
        .processes
        .iter()
        .zip(before.iter().zip(after))
        .filter(|(process, _)| process.program == role)
        .filter_map(|(_, (before, after))| Some(((*before)?, (*after)?)))
        .collect();
    let count = pairs.len().max(1) as f64;
    let sum = |figure: fn(&(Sample, Sample)) -> f64| pairs.iter().map(figure).sum::<f64>();
    let (amount_in, amount_out) = match Component::of_program(role) {
        Some(component) => (traffic.received_by(component), traffic.sent_by(component)),
        None => Default::default(),
    };
    RoleFigures {
        role: role.to_string(),
        processes: pairs.len(),
        processor: sum(|(before, after)| after.seconds - before.seconds) / elapsed,
        memory: sum(|(_, after)| after.memory as f64) / count / MIB as f64,
        peak: sum(|(_, after)| after.peak as f64) / count / MIB as f64,
        written: sum(|(before, after)| (after.written - before.written) as f64) / elapsed,
        messages_in: amount_in.messages as f64 / elapsed,
        messages_out: amount_out.messages as f64 / elapsed,
        bytes_in: amount_in.bytes as f64 / elapsed,
        bytes_out: amount_out.bytes as f64 / elapsed,
    }
}

/// Runs one size in its own runtime, so that all of its ports are free again afterwards.
pub(crate) fn run_in_new_runtime(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            report = run_size(options, folder) => report,
            () = shutdown_signal() => Err(anyhow!("interrupted: all processes of the run were ended")),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(3));
    outcome
}
