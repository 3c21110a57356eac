//! A sweep: each dimension through several sizes, with a line through its figures.

use std::path::Path;

use jzon::JsonValue;

use crate::fit::Fit;
use crate::scale::options::ScaleOptions;
use crate::scale::report::Report;
use crate::scale::run::run_apart;
use caperworks::link::RENEW_INTERVAL;

/// One dimension of a sweep, and the sizes that it takes while all others are held.
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

/// Every figure of a run by name, for a line through several runs.
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

/// The figures that only the number of facts told explains, through runs of all dimensions.
pub(crate) const BY_FACTS_REPORTED: [&str; 2] = ["controller.processor", "controller.bytes_out"];

pub(crate) fn fits_json(points: &[(f64, Report)], wanted: impl Fn(&str) -> bool) -> JsonValue {
    let mut json = JsonValue::new_object();
    let Some((_, first)) = points.first() else {
        return json;
    };
    for (index, (name, _)) in figures(first).iter().enumerate() {
        if !wanted(name) {
            continue;
        }
        let line: Vec<(f64, f64)> = points
            .iter()
            .map(|(size, report)| (*size, figures(report)[index].1))
            .collect();
        if let Some(fit) = Fit::through(&line) {
            json[name.as_str()] = fit.json();
            let word = if fit.is_straight() {
                ""
            } else {
                "  NOT A STRAIGHT LINE"
            };
            println!(
                "  {name:<28} {:>14.5} each + {:>14.4}  residual {:>5.1} %{word}",
                fit.slope,
                fit.intercept,
                fit.residual * 100.0
            );
        }
    }
    json
}

/// How many facts the core tells and is told in a second, by the sizes alone.
///
/// Why: each node is told of every node and instance again and again, so neither nodes nor
/// instances alone make a straight line.
pub(crate) fn facts_reported(options: &ScaleOptions) -> f64 {
    let members = f64::from(options.nodes + options.agents + options.directories);
    let renewals = 1.0 / RENEW_INTERVAL.as_secs_f64();
    members * (renewals * members + 2.0 * f64::from(options.instances))
}

pub(crate) fn sweep(options: &ScaleOptions, folder: &Path) -> anyhow::Result<JsonValue> {
    let mut json = jzon::object! { dimensions: {}, };
    let mut all: Vec<(f64, Report)> = Vec::new();
    for (dimension, sizes) in dimensions(options) {
        let mut points = Vec::new();
        for (size, sized) in sizes {
            let report = run_apart(&sized, folder)?;
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
                .map(|(_, report)| (facts_reported(&report.options), report)),
        );
    }
    println!("facts told in a second, through all runs:");
    json["by_facts_told"] = fits_json(&all, |name| BY_FACTS_REPORTED.contains(&name));
    Ok(json)
}
