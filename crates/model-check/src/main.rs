//! Explores the bounds and prints the number of states of each: `model-check [NAME [MAX_STATES]]`.

use model_check::bound::Bound;
use model_check::scenarios::large_bounds;
use model_check::search::{explore, Report};

const THREADS: usize = 4;

/// Prints the report of a search, and returns whether all invariants hold.
fn print_report(bound: &Bound, report: &Report) -> bool {
    let Report {
        states,
        transitions,
        depth,
        is_complete,
        ..
    } = report;
    println!(
        "{}: {states} states, {transitions} transitions, depth {depth}, complete: {is_complete}",
        bound.name
    );
    if let Some((violation, path)) = &report.violation {
        println!("{violation:?} by {path:#?}");
    }
    report.violation.is_none()
}

fn main() -> std::process::ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let max_states = arguments.next().and_then(|number| number.parse().ok());
    let mut all_hold = true;
    for bound in large_bounds() {
        if bound.name.contains(&name) {
            let report = explore(&bound, max_states.unwrap_or(usize::MAX), THREADS);
            all_hold &= print_report(&bound, &report);
        }
    }
    std::process::ExitCode::from(u8::from(!all_hold))
}
