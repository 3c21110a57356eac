//! Plays every day file with its fixed seeds; a failing run prints its seed.

use rehearsal::prelude::*;

fn play(path: &Path) -> datatest_stable::Result<()> {
    let day = Day::read(path).map_err(|faults| format!("{faults:?}"))?;
    let scenario = deployment(&day.deployment)?;
    let mut failures = Vec::new();
    for seed in &day.seeds {
        let observers = day.play(&scenario, *seed);
        let tally = &observers.tally;
        println!("seed {seed}: {tally:?}");
        if tally.served * 100 < tally.sent * day.served_at_least {
            failures.push(format!(
                "seed {seed}: only {} of {} served",
                tally.served, tally.sent
            ));
        }
        if tally.accepted == 0 {
            failures.push(format!("seed {seed}: no change was accepted"));
        }
        for breach in observers.breaches.iter().take(5) {
            failures.push(format!(
                "seed {seed}: {:?} at {:?}: {}",
                breach.line, breach.at, breach.what
            ));
        }
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
