//! Scale measurements: the load that simulated agents and instances put on real control plane processes.

use std::path::Path;

use crate::scale::growth_check::check;
use crate::scale::options::{machine_limits, ScaleOptions};
use crate::scale::run::run_in_new_runtime;
use crate::scale::sweep::sweep;
use runtime::options::exit_with_faults;

pub(crate) mod growth_check;
pub(crate) mod load;
pub(crate) mod lost_zone;
pub(crate) mod options;
pub(crate) mod report;
pub(crate) mod run;
pub(crate) mod sweep;

/// Runs the measurement that the options select; returns false if the growth check failed.
pub fn scale(options: &ScaleOptions, folder: &Path) -> anyhow::Result<bool> {
    let (memory, files) = machine_limits()?;
    let faults = options.faults(memory, files);
    if !faults.is_empty() {
        exit_with_faults(&faults);
    }
    if options.check {
        return check(options, folder);
    }
    let json = if options.sweep {
        sweep(options, folder)?
    } else {
        let report = run_in_new_runtime(options, folder)?;
        report.print();
        report.json()
    };
    if let Some(path) = &options.json {
        std::fs::write(path, json.pretty(1))?;
    }
    Ok(true)
}
