//! Runs a day file with many seeds and prints the outcome of each.
//!
//! With a COUNT of one, a failing seed also prints the events that the controllers logged.
//!
//! `cargo run --release -p simulator --example play -- DAY.json FIRST_SEED COUNT [CHANGE...]`
//!
//! A CHANGE is one of `patient`, `same-connection`, `notices-resets`, `asks-again` and `no-queue`.
//! The first four change how the runtime handles connections over bandwidth-limited links; the last
//! removes the queues of background traffic.

use std::path::Path;
use std::time::Duration;

use simulator::day::FaultAction;
use simulator::day::{read_deployment, Day};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [file, first, count, changes @ ..] = arguments.as_slice() else {
        eprintln!("usage: play DAY.json FIRST_SEED COUNT [CHANGE...]");
        std::process::exit(2);
    };
    let (Ok(first), Ok(count)) = (first.parse::<u64>(), count.parse::<u64>()) else {
        eprintln!("FIRST_SEED and COUNT must be unsigned integers");
        std::process::exit(2);
    };
    let mut day = Day::read(Path::new(file)).unwrap_or_else(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        std::process::exit(2);
    });
    for change in changes {
        if !apply_change(&mut day, change) {
            eprintln!("unknown change: {change}");
            std::process::exit(2);
        }
    }
    let scenario =
        read_deployment(&day.deployment).expect("the scenario was read when the day was checked");
    let next = std::sync::atomic::AtomicU64::new(first);
    let failed = std::sync::atomic::AtomicU64::new(0);
    let ordering = std::sync::atomic::Ordering::SeqCst;
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, ordering);
                if seed >= first + count {
                    return;
                }
                let observers = day.play(&scenario, seed);
                println!("seed {seed}: {:?}", observers.tally);
                let problems = day.check_run(&observers);
                if !problems.is_empty() {
                    if count == 1 {
                        println!("{}", observers.event_log.join("\n"));
                    }
                    failed.fetch_add(1, ordering);
                    println!("seed {seed} violated {:?}", observers.violated());
                }
                for details in problems.iter().take(4) {
                    println!("seed {seed} VIOLATION {details}");
                }
            });
        }
    });
    let failed = failed.load(ordering);
    println!("{count} seeds, {failed} with violations");
    std::process::exit(i32::from(failed > 0));
}

/// Applies a change to the day; returns whether the change is known.
fn apply_change(day: &mut Day, change: &str) -> bool {
    let model = &mut day.connection_model;
    match change {
        "patient" => {
            model.timeout = Duration::from_secs(3);
            model.retry_interval = Some(Duration::from_millis(500));
        }
        "same-connection" => model.responds_on_same_connection = true,
        "notices-resets" => model.detects_resets = true,
        "asks-again" => model.resends_after_reset = true,
        "no-queue" => {
            for fault in &mut day.faults {
                if let FaultAction::LoadLink(link_load) = &mut fault.action {
                    link_load.inward.queue_delay = Default::default();
                    link_load.outward.queue_delay = Default::default();
                }
            }
        }
        _ => return false,
    }
    true
}
