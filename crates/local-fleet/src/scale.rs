//! How a fleet's cost grows: real core processes beside hollow agents and instances, measured.

use crate::prelude::*;

mod growth_check;
mod load;
mod lost_zone;
mod options;
mod report;
mod run;
mod sweep;

pub(crate) use self::growth_check::*;
pub(crate) use self::load::*;
pub(crate) use self::lost_zone::*;
pub(crate) use self::options::*;
pub(crate) use self::report::*;
pub(crate) use self::run::*;
pub(crate) use self::sweep::*;

/// Does what the options ask for; says whether all was well.
pub fn scale(options: &ScaleOptions, folder: &Path) -> anyhow::Result<bool> {
    let (memory, files) = machine_limits()?;
    let faults = options.faults(memory, files);
    if !faults.is_empty() {
        end_over(&faults);
    }
    if options.check {
        return check(options, folder);
    }
    let json = if options.sweep {
        sweep(options, folder)?
    } else {
        let report = run_apart(options, folder)?;
        report.print();
        report.json()
    };
    if let Some(path) = &options.json {
        std::fs::write(path, json.pretty(1))?;
    }
    Ok(true)
}
