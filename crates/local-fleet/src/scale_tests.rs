//! Tests of the estimates, limits and fits of `local-fleet scale`.

use std::time::Duration;

use crate::fit::{percentile, Fit};
use crate::flows::{Amount, Component, Flows};
use crate::scale::growth_check::growth_is_bounded;
use crate::scale::options::ScaleOptions;
use runtime::options::OptionsFault;

const GIB: u64 = 1024 * 1024 * 1024;

fn sized(nodes: u32, instances: u32, agents: u32) -> ScaleOptions {
    ScaleOptions {
        nodes,
        instances,
        routes: 100,
        services: 10,
        changes: 1.0,
        restarts: 0.0,
        seconds: 1,
        zones: 4,
        agents,
        directories: 2,
        threads: 1,
        base: 25000,
        json: None,
        sweep: false,
        check: false,
        lose_zone: 0,
    }
}

/// Returns the number after a flag in the error message.
fn suggested_size(faults: &[OptionsFault], flag: &str) -> Option<u32> {
    let text = &faults.first()?.remedy;
    let rest = text.split_once(&format!("{flag} "))?.1;
    let end = rest
        .find(|sign: char| !sign.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

#[test]
fn fit_of_collinear_points_has_their_slope_and_no_residual() {
    let points = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)];
    let fit = Fit::through(&points).expect("a line");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9 && fit.is_straight());
}

#[test]
fn quadratic_points_are_not_straight() {
    let points = [1.0, 2.0, 4.0, 8.0].map(|index: f64| (index, index * index));
    assert!(!Fit::through(&points).expect("a line").is_straight());
}

#[test]
fn points_with_one_x_value_have_no_fit() {
    assert_eq!(Fit::through(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(Fit::through(&[(3.0, 1.0)]), None);
}

#[test]
fn percentiles_are_nearest_ranks() {
    let delays: Vec<Duration> = (1..=100).rev().map(Duration::from_millis).collect();
    assert_eq!(percentile(&delays, 50), Some(Duration::from_millis(50)));
    assert_eq!(percentile(&delays, 99), Some(Duration::from_millis(99)));
    assert_eq!(percentile(&delays, 100), Some(Duration::from_millis(100)));
    assert_eq!(percentile(&[], 50), None);
}

#[test]
fn suggested_nodes_are_the_most_that_fit_in_memory() {
    let options = sized(4000, 1000, 3);
    let faults = options.faults(8 * GIB, 1_000_000);
    let max_size = suggested_size(&faults, "--nodes").expect("a number");
    assert!(sized(max_size, 1000, 3)
        .faults(8 * GIB, 1_000_000)
        .is_empty());
    assert!(!sized(max_size + 1, 1000, 3)
        .faults(8 * GIB, 1_000_000)
        .is_empty());
}

#[test]
fn suggested_agents_are_the_most_within_the_process_limit() {
    let faults = sized(8, 10, 500).faults(64 * GIB, 20_000);
    let max_size = suggested_size(&faults, "--agents").expect("a number");
    assert!(sized(8, 10, max_size).faults(64 * GIB, 20_000).is_empty());
    assert!(!sized(8, 10, max_size + 1)
        .faults(64 * GIB, 20_000)
        .is_empty());
}

#[test]
fn suggested_nodes_are_the_most_within_the_open_file_limit() {
    let faults = sized(1000, 10, 3).faults(64 * GIB, 4096);
    let max_size = suggested_size(&faults, "--nodes").expect("a number");
    assert!(sized(max_size, 10, 3).faults(64 * GIB, 4096).is_empty());
    assert!(!sized(max_size + 1, 10, 3).faults(64 * GIB, 4096).is_empty());
}

#[test]
fn flow_counts_since_a_snapshot_hold_only_later_traffic() {
    let flows = Flows::default();
    flows.count(Component::Controller, Component::Agent, 10);
    let before = flows.snapshot();
    flows.count(Component::Controller, Component::Agent, 30);
    flows.count(Component::Agent, Component::Controller, 5);
    let traffic = flows.snapshot().since(&before);
    let amount = |messages, bytes| Amount { messages, bytes };
    assert_eq!(traffic.received_by(Component::Agent), amount(1, 30));
    assert_eq!(traffic.sent_by(Component::Agent), amount(1, 5));
    assert_eq!(traffic.received_by(Component::Directory), amount(0, 0));
}

#[test]
fn messages_to_all_other_nodes_exceed_the_growth_bound() {
    assert!(growth_is_bounded(400.0, 400.0));
    assert!(
        growth_is_bounded(400.0, 380.0),
        "fewer messages are within the bound"
    );
    assert!(!growth_is_bounded(8.0 * 50.0, 24.0 * 50.0));
    assert!(
        !growth_is_bounded(0.0, 0.0),
        "a fleet without messages must not pass"
    );
}
