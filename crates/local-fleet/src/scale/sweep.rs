//! A sweep: runs several sizes of each dimension and fits lines to the figures.

use std::path::Path;

use jzon::JsonValue;

use crate::fit::Fit;
use crate::scale::options::ScaleOptions;
use crate::scale::report::Report;
use crate::scale::run::run_in_new_runtime;
use caperworks::link::RENEW_INTERVAL;

/// Returns the dimensions of a sweep, each with its sizes; all other dimensions keep the value of the options.
pub(crate) fn dimensions(options: &ScaleOptions) -> Vec<(&'static str, Vec<(f64, ScaleOptions)>)> {
    let with = |size: f64, resize: fn(&mut ScaleOptions, f64)| {
        let mut sized = options.clone();
        resize(&mut sized, size);
        (size, sized)
    };
    let sized = |sizes: [f64; 4], resize: fn(&mut ScaleOptions, f64)| {
        sizes.map(|size| with(size, resize)).to_vec()
    };
    vec![
        (
            "nodes",
            sized([16.0, 32.0, 64.0, 128.0], |options, size| {
                options.nodes = size as u32
            }),
        ),
        (
            "instances",
            sized([50.0, 100.0, 200.0, 400.0], |options, size| {
                options.instances = size as u32
            }),
        ),
        (
            "routes",
            sized([250.0, 1000.0, 2000.0, 4000.0], |options, size| {
                options.routes = size as u32
            }),
        ),
        (
            "changes",
            sized([0.5, 1.0, 2.0, 4.0], |options, size| options.changes = size),
        ),
    ]
}

/// Returns all figures of a run with their names.
pub(crate) fn figures(report: &Report) -> Vec<(String, f64)> {
    let mut figures = Vec::new();
    for role in &report.roles {
        for (name, value) in role.named() {
            figures.push((format!("{}.{name}", role.role), value));
        }
    }
    figures.push(("operator.bytes_in".to_string(), report.operator_bytes));
    figures.push((
        "operator.status_bytes".to_string(),
        report.status_bytes as f64,
    ));
    figures.push(("node.messages_per_minute".to_string(), report.node_messages));
    figures.push(("node.bytes_per_second".to_string(), report.node_bytes));
    figures
}

/// Figures that are fitted to the rate of facts over the runs of all dimensions.
pub(crate) const FITTED_TO_FACT_RATE: [&str; 2] = ["controller.processor", "controller.bytes_out"];

/// Fits a line to each selected figure, prints it, and returns the fits as JSON.
pub(crate) fn fits_json(points: &[(f64, Report)], is_selected: impl Fn(&str) -> bool) -> JsonValue {
    let mut json = JsonValue::new_object();
    let Some((_, first)) = points.first() else {
        return json;
    };
    for (index, (name, _)) in figures(first).iter().enumerate() {
        if !is_selected(name) {
            continue;
        }
        let line: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, report)| (*size, figures(report)[index].1))
            .collect();
        if let Some(fit) = Fit::through(&line) {
            json[name.as_str()] = fit.json();
            let note = if fit.is_straight() {
                ""
            } else {
                "  NOT A STRAIGHT LINE"
            };
            println!(
                "  {name:<28} {:>14.5} each + {:>14.4}  residual {:>5.1} %{note}",
                fit.slope,
                fit.intercept,
                fit.residual * 100.0
            );
        }
    }
    json
}

/// Returns the number of facts that the controllers send and receive per second, computed from the sizes.
///
/// Each node repeatedly receives the facts of every node and instance, so the load is not linear in the
/// number of nodes or instances alone.
pub(crate) fn facts_per_second(options: &ScaleOptions) -> f64 {
    let members = f64::from(options.nodes + options.agents + options.directories);
    let renewals = 1.0 / RENEW_INTERVAL.as_secs_f64();
    members * (renewals * members + 2.0 * f64::from(options.instances))
}

/// Runs all sizes of all dimensions and returns the runs and fits as JSON.
pub(crate) fn sweep(options: &ScaleOptions, folder: &Path) -> anyhow::Result<JsonValue> {
    let mut json = jzon::object! { dimensions: {}, };
    let mut all: Vec<(f64, Report)> = Vec::new();
    for (dimension, sizes) in dimensions(options) {
        let mut points = Vec::new();
        for (size, sized) in sizes {
            let report = run_in_new_runtime(&sized, folder)?;
            report.print();
            points.push((size, report));
        }
        println!("{dimension}:");
        let fits = fits_json(&points, |_| true);
        let runs: Vec<JsonValue> = points.iter().map(|(_, report)| report.json()).collect();
        json["dimensions"][dimension] = jzon::object! { runs: runs, fits: fits };
        all.extend(
            points
                .into_iter()
                .map(|(_, report)| (facts_per_second(&report.options), report)),
        );
    }
    println!("facts per second, over all runs:");
    json["by_facts_told"] = fits_json(&all, |name| FITTED_TO_FACT_RATE.contains(&name));
    Ok(json)
}
