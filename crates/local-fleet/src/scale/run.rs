//! One size of a scale run, from the first process to the last.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context as AnyhowContext};
use jzon::JsonValue;

use crate::fleet::{Fleet, RelayedTraffic};
use crate::flows::{count_between, Addresses, FlowCounts, Flows, Part};
use crate::hollow::{
    start_agent, start_instance, ControllerAddresses, HollowFleet, HollowInstance,
};
use crate::scale::load::{held_delays, keep_changing, keep_restarting, Accepted};
use crate::scale::lost_zone::{lose_zone, ZoneSpans};
use crate::scale::options::{ScaleOptions, MIB};
use crate::scale::report::{Report, RoleFigures, Sample};
use runtime::actor::asked_to_stop;
use runtime::clock::Clock;
use runtime::http::Fetch;
use runtime::locks::locked;

/// Ends the fleet's processes however the run ends.
pub(crate) struct EndsFleet(Fleet);

impl Drop for EndsFleet {
    fn drop(&mut self) {
        for process in &self.0.processes {
            process.signal(libc::SIGKILL);
        }
    }
}

/// Asks controllers in turn until one answers well.
pub(crate) async fn ask_any(controllers: &[ControllerAddresses], path: &str) -> Option<JsonValue> {
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

pub(crate) async fn wait_until(
    what: &str,
    span: Duration,
    test: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < span {
        if test().await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    bail!("{what}: not within {span:?}")
}

/// Tells the fleet everything that it is told at first.
pub(crate) async fn tell_first(
    options: &ScaleOptions,
    zones: &[(String, String)],
    controllers: &[ControllerAddresses],
) -> anyhow::Result<()> {
    for change in options.first_changes(zones) {
        let body = change.dump();
        let said = Mutex::new(String::new());
        let reported = wait_until(
            "the first configuration",
            Duration::from_secs(30),
            async || {
                let fetched = Fetch::post(controllers[0].serving, "/v1/standing", body.clone())
                    .send()
                    .await;
                let good = fetched.as_ref().is_ok_and(|fetched| fetched.status == 200);
                *locked(&said) = fetched.map_or_else(
                    |failure| failure.to_string(),
                    |fetched| fetched.json().dump(),
                );
                good
            },
        );
        reported.await.with_context(|| locked(&said).clone())?;
    }
    Ok(())
}

/// Runs one size, from the first process to the last.
pub(crate) async fn run_size(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let folder = folder.join("scale");
    // Why anew: a fleet that finds the maps of an earlier run is not the one that was asked for.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let scenario = options.scenario();
    let mut fleet = Fleet::plan(&scenario, &folder, options.base);
    fleet.add_relay(options.base, RelayedTraffic::Messages);
    // Why out of the fleet: this process is the relay itself, for it counts what passes.
    fleet.processes.remove(0);
    let mut addresses = HashMap::new();
    let mut pairs = Vec::new();
    let mut controllers = Vec::new();
    for process in &fleet.processes {
        let (Some(part), Some(advertised)) =
            (Part::of_program(&process.program), process.advertise)
        else {
            continue;
        };
        let listened: SocketAddr = process.arguments[1].parse()?;
        addresses.insert(advertised, part);
        pairs.push((advertised, listened));
        if part == Part::Controller {
            controllers.push(ControllerAddresses {
                advertised,
                listened,
                serving: process.serving,
            });
        }
    }
    let addresses: Addresses = Arc::new(addresses);
    let flows: Arc<Flows> = Arc::default();
    count_between(&pairs, &addresses, &flows).await?;
    let mut fleet = EndsFleet(fleet);
    for index in 0..fleet.0.processes.len() {
        fleet.0.start(index)?;
    }
    let span = Duration::from_secs(60);
    // Why before any hollow agent comes: the witness voters are the real ones.
    wait_until("five voters", span, async || {
        let status = ask_any(&controllers, "/v1/status").await;
        status.is_some_and(|status| {
            status["seats"].len() == 5
                && status["members"].len() >= (options.agents + options.directories) as usize
        })
    })
    .await?;
    tell_first(options, &scenario.zones, &controllers).await?;
    let clock = Clock::start();
    let hollow = Arc::new(HollowFleet {
        clock,
        controllers: controllers.clone(),
        zones: options.zones(),
        services: options.services,
        routes: options.routes,
        spread: Duration::from_millis(300 + u64::from(options.nodes)),
        first_zone_silent: AtomicBool::new(false),
        addresses,
        flows: flows.clone(),
    });
    let mut agents = Vec::new();
    for number in 0..options.nodes {
        agents.push(start_agent(&hollow, number, options.base).await?);
    }
    let instances: Vec<HollowInstance> = (0..options.instances)
        .map(|number| start_instance(&hollow, number))
        .collect();
    let members = (options.nodes + options.agents + options.directories) as usize;
    let counted = async || {
        let status = ask_any(&controllers, "/v1/status")
            .await
            .unwrap_or(JsonValue::Null);
        (status["members"].len(), status["instances"].len())
    };
    // Why gone on all the same: a core that cannot count so many is a result too.
    let settled = wait_until(
        "the core counts everyone",
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
    let spans = ZoneSpans::default();
    let before = (Instant::now(), samples(&fleet.0), flows.so_far());
    tokio::select! {
        () = tokio::time::sleep(Duration::from_secs(options.seconds)) => {}
        () = keep_changing(
            options.clone(), controllers.clone(), clock, flows.clone(), accepted.clone(), offered.clone(),
        ) => {}
        () = keep_restarting(options.restarts, &agents, &instances, &restarted) => {}
        () = lose_zone(options, &hollow, &counted, &spans) => {}
    }
    let took = before.0.elapsed().as_secs_f64();
    let (after, went) = (samples(&fleet.0), flows.so_far().since(&before.2));
    let status = ask_any(&controllers, "/v1/status")
        .await
        .unwrap_or(JsonValue::Null);
    let (zone_out, zone_back) = *locked(&spans);
    // Why wait: the last changes are still on their way.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let accepted = locked(&accepted).clone();
    let (delays, unheld) = held_delays(&accepted, &agents);
    let roles = ["controller", "agent", "proxy", "directory"]
        .map(|role| role_figures(role, &fleet.0, &before.1, &after, &went, took));
    let nodes = f64::from(options.nodes.max(1));
    let (sent, got) = (
        went.sent_by(Part::HollowAgent),
        went.received_by(Part::HollowAgent),
    );
    Ok(Report {
        options: options.clone(),
        roles: roles.to_vec(),
        node_messages: (sent.messages + got.messages) as f64 / nodes / took * 60.0,
        node_bytes: (sent.bytes + got.bytes) as f64 / nodes / took,
        members_counted: status["members"].len(),
        instances_counted: status["instances"].len(),
        hollow_voters: hollow_voters(&status, &pairs),
        settled: settled.is_ok(),
        operator_bytes: went.received_by(Part::Operator).bytes as f64 / took,
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

/// How many voters are held by others than real processes: such a run measures something else.
pub(crate) fn hollow_voters(status: &JsonValue, pairs: &[(SocketAddr, SocketAddr)]) -> usize {
    status["seats"]
        .members()
        .filter_map(|voter| voter["address"].as_str()?.parse::<SocketAddr>().ok())
        .filter(|address| !pairs.iter().any(|(advertised, _)| advertised == address))
        .count()
}

pub(crate) fn role_figures(
    role: &str,
    fleet: &Fleet,
    before: &[Option<Sample>],
    after: &[Option<Sample>],
    went: &FlowCounts,
    took: f64,
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
    let (amount_in, amount_out) = match Part::of_program(role) {
        Some(part) => (went.received_by(part), went.sent_by(part)),
        None => Default::default(),
    };
    RoleFigures {
        role: role.to_string(),
        processes: pairs.len(),
        processor: sum(|(before, after)| after.seconds - before.seconds) / took,
        memory: sum(|(_, after)| after.memory as f64) / count / MIB as f64,
        peak: sum(|(_, after)| after.peak as f64) / count / MIB as f64,
        written: sum(|(before, after)| (after.written - before.written) as f64) / took,
        messages_in: amount_in.messages as f64 / took,
        messages_out: amount_out.messages as f64 / took,
        bytes_in: amount_in.bytes as f64 / took,
        bytes_out: amount_out.bytes as f64 / took,
    }
}

/// Runs one size in a runtime of its own, so that all of its ports are free again afterwards.
pub(crate) fn run_apart(options: &ScaleOptions, folder: &Path) -> anyhow::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            report = run_size(options, folder) => report,
            () = asked_to_stop() => Err(anyhow!("interrupted: every process of the run was ended")),
        }
    });
    runtime.shutdown_timeout(Duration::from_secs(3));
    outcome
}
