//! Runs every day file with its fixed seeds; a failing run prints its seed.

use std::path::Path;

use simulator::day::{read_deployment, Day};

fn play(path: &Path) -> datatest_stable::Result<()> {
    let day = Day::read(path).map_err(|faults| format!("{faults:?}"))?;
    let scenario = read_deployment(&day.deployment)?;
    let mut failures = Vec::new();
    for seed in &day.seeds {
        let observers = day.play(&scenario, *seed);
        // Printed to standard error: on standard output it could split a result line that scripts
        // read.
        eprintln!("seed {seed}: {:?}", observers.tally);
        let problems = day.check_run(&observers);
        failures.extend(
            problems
                .iter()
                .take(5)
                .map(|details| format!("seed {seed}: {details}")),
        );
    }
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures.join("\n").into())
    }
}

datatest_stable::harness! {
    { test = play, root = "days", pattern = r"\.json$" },
}
