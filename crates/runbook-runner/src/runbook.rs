//! Parsing and validation of runbook files. Validation reports all faults of a file at once.

use std::path::Path;
use std::time::Duration;

use jzon::JsonValue;

use runtime::options::{read_json_file, OptionsFault};

/// The action of a step, performed before its checks.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// No action; the step only runs its checks.
    Nothing,
    /// A manual action by the operator; the checks detect when it is complete.
    ByHand(String),
    CloseZone(String),
    OpenZone(String),
    /// Applies the change set in this file.
    Apply(String),
    /// Saves the current value of a configuration item for a later `Restore`.
    Remember(String),
    /// Writes the value saved by `Remember` back to the configuration.
    Restore(String),
}

/// A condition on the fleet that must hold before the next step.
#[derive(Debug, Clone, PartialEq)]
pub enum Check {
    Current,
    DiskRecovered,
    LeadershipsHeld,
    LivingVoters(u64),
    LivingControllers(u64),
    ReadyProxies(u64),
    FeedLag(u64),
    Unplaced(u64),
    Instances(u64),
    ZoneClosed(String),
    ZoneOpen(String),
    VoterAt(String),
    NoVoterAt(String),
}

/// One step of a runbook.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Description shown to the operator.
    pub say: String,
    pub action: Action,
    pub checks: Vec<Check>,
    /// How long the checks may take to hold.
    pub within: Duration,
    /// How long the checks must hold without interruption.
    pub steady: Duration,
    /// Instructions for the operator if the checks do not hold within `within`.
    pub on_failure: String,
}

/// A validated runbook.
#[derive(Debug, Clone, PartialEq)]
pub struct Runbook {
    pub name: String,
    pub about: String,
    /// Input names with their descriptions.
    pub inputs: Vec<(String, String)>,
    pub steps: Vec<Step>,
}

const ACTIONS: &str = "by-hand, close-area, open-area, apply, remember or restore";

fn read_action(value: &JsonValue) -> Option<Action> {
    if value.is_null() {
        return Some(Action::Nothing);
    }
    let (name, argument) = value.entries().next()?;
    let argument = argument.as_str()?.to_string();
    if value.len() != 1 {
        return None;
    }
    Some(match name {
        "by-hand" => Action::ByHand(argument),
        "close-area" => Action::CloseZone(argument),
        "open-area" => Action::OpenZone(argument),
        "apply" => Action::Apply(argument),
        "remember" => Action::Remember(argument),
        "restore" => Action::Restore(argument),
        _ => return None,
    })
}

fn read_check(name: &str, value: &JsonValue) -> Option<Check> {
    let is_true = || value.as_bool().filter(|value| *value);
    let text = || value.as_str().map(str::to_string);
    Some(match name {
        "current" => is_true().map(|_| Check::Current)?,
        "disk-well" => is_true().map(|_| Check::DiskRecovered)?,
        "duties-held" => is_true().map(|_| Check::LeadershipsHeld)?,
        "living-seats-at-least" => Check::LivingVoters(value.as_u64()?),
        "living-ledgers-at-least" => Check::LivingControllers(value.as_u64()?),
        "ready-proxies-at-least" => Check::ReadyProxies(value.as_u64()?),
        "feed-lag-at-most" => Check::FeedLag(value.as_u64()?),
        "unplaced-at-most" => Check::Unplaced(value.as_u64()?),
        "instances-at-least" => Check::Instances(value.as_u64()?),
        "area-closed" => Check::ZoneClosed(text()?),
        "area-open" => Check::ZoneOpen(text()?),
        "seat-at" => Check::VoterAt(text()?),
        "no-seat-at" => Check::NoVoterAt(text()?),
        _ => return None,
    })
}

/// Returns the names of all `${name}` placeholders in a text.
fn placeholders_in(text: &str) -> Vec<String> {
    text.split("${")
        .skip(1)
        .filter_map(|rest| rest.split_once('}'))
        .map(|(name, _)| name.to_string())
        .collect()
}

impl Runbook {
    /// Reads and validates a runbook file.
    pub fn read(path: &Path) -> Result<Self, Vec<OptionsFault>> {
        let value = read_json_file(path).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        let mut fault = |field: String, remedy: &str| {
            faults.push(OptionsFault {
                file: path.display().to_string(),
                field,
                remedy: remedy.to_string(),
            });
        };
        for (name, _) in value.entries() {
            if !["name", "about", "inputs", "steps"].contains(&name) {
                fault(name.to_string(), "is an unknown field: remove it");
            }
        }
        let inputs: Vec<(String, String)> = value["inputs"]
            .entries()
            .map(|(name, description)| {
                (
                    name.to_string(),
                    description.as_str().unwrap_or_default().to_string(),
                )
            })
            .collect();
        let mut steps = Vec::new();
        for (index, item) in value["steps"].members().enumerate() {
            let path_of = |field: &str| format!("steps[{index}].{field}");
            for (name, _) in item.entries() {
                let known = ["say", "do", "check", "within_ms", "steady_ms", "else"];
                if !known.contains(&name) {
                    fault(path_of(name), "is an unknown field: remove it");
                }
            }
            let say = item["say"].as_str().unwrap_or_default().to_string();
            if say.is_empty() {
                fault(
                    path_of("say"),
                    "is missing: describe the purpose of the step",
                );
            }
            let action = read_action(&item["do"]).unwrap_or_else(|| {
                fault(
                    path_of("do"),
                    &format!("must be one of {ACTIONS}, with a string argument"),
                );
                Action::Nothing
            });
            let mut checks = Vec::new();
            for (name, argument) in item["check"].entries() {
                match read_check(name, argument) {
                    Some(check) => checks.push(check),
                    None => fault(
                        path_of(&format!("check.{name}")),
                        "is an unknown check, or its argument has the wrong type",
                    ),
                }
            }
            if checks.is_empty() && action == Action::Nothing {
                fault(
                    path_of("check"),
                    "is missing: a step without an action needs at least one check",
                );
            }
            if matches!(action, Action::ByHand(_)) && checks.is_empty() {
                fault(
                    path_of("check"),
                    "is missing: a check must detect when the manual action is complete",
                );
            }
            let on_failure = item["else"].as_str().unwrap_or_default().to_string();
            if !checks.is_empty() && on_failure.is_empty() {
                fault(
                    path_of("else"),
                    "is missing: tell the operator what to do when the checks fail",
                );
            }
            for name in placeholders_in(&item.dump()) {
                if !inputs.iter().any(|(known, _)| *known == name) {
                    fault(
                        path_of("say"),
                        &format!("${{{name}}} is not declared in inputs"),
                    );
                }
            }
            steps.push(Step {
                say,
                action,
                checks,
                within: Duration::from_millis(item["within_ms"].as_u64().unwrap_or(10_000)),
                steady: Duration::from_millis(item["steady_ms"].as_u64().unwrap_or(0)),
                on_failure,
            });
        }
        if steps.is_empty() {
            fault(
                "steps".to_string(),
                "is missing or empty: give at least one step",
            );
        }
        if faults.is_empty() {
            Ok(Self {
                name: value["name"].as_str().unwrap_or("runbook").to_string(),
                about: value["about"].as_str().unwrap_or_default().to_string(),
                inputs,
                steps,
            })
        } else {
            Err(faults)
        }
    }
}
