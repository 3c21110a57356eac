//! Every runbook in `runbooks/` is valid and starts when all of its inputs are given.

use std::path::Path;

use runbook_runner::runbook::Runbook;
use runbook_runner::runner::Runner;

fn is_valid_and_starts(path: &Path) -> datatest_stable::Result<()> {
    let runbook = Runbook::read(path).map_err(|faults| format!("{faults:?}"))?;
    let inputs = runbook
        .inputs
        .iter()
        .map(|(name, _)| (name.clone(), "x".to_string()))
        .collect();
    let runner = Runner::start(runbook, inputs, 1).map_err(|faults| format!("{faults:?}"))?;
    if runner
        .steps()
        .iter()
        .any(|step| runner.substitute(&step.say).contains("${"))
    {
        return Err("a placeholder is left after substitution".into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = is_valid_and_starts, root = "../../runbooks", pattern = r"\.json$" },
}
