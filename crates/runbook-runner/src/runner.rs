//! A state machine that runs a runbook. It does no I/O: it requests status reads and changes from its
//! caller and advances on their results.

use std::collections::BTreeMap;
use std::time::Duration;

use jzon::JsonValue;

use crate::runbook::{Action, Check, Runbook, Step};

/// What the caller has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Read status and configuration, and pass them to [`Runner::observe`].
    ReadStatus,
    /// Apply this change set, and pass the response to [`Runner::applied`].
    Apply { change: JsonValue },
    /// Apply the change set in this file, and pass the response to [`Runner::applied`].
    ApplyFile { file: String },
    /// All steps are complete.
    Done,
    /// A step failed: stop and show the remedy to the operator.
    Stopped {
        step: usize,
        why: String,
        remedy: String,
    },
}

/// Progress within the current step.
#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Starting,
    Applying,
    Checking {
        since: Duration,
        held_since: Option<Duration>,
    },
    Stopped {
        why: String,
    },
}

/// Runs one runbook.
pub struct Runner {
    runbook: Runbook,
    inputs: BTreeMap<String, String>,
    index: usize,
    phase: Phase,
    saved_items: BTreeMap<String, JsonValue>,
    seed: u64,
}

/// The last response of a controller to a status and configuration read.
pub struct Observation<'json> {
    pub status: &'json JsonValue,
    pub configuration: &'json JsonValue,
}

fn item<'json>(configuration: &'json JsonValue, key: &str) -> Option<&'json JsonValue> {
    let (kind, name) = key.split_once('/')?;
    configuration["items"]
        .members()
        .find(|item| item["kind"] == kind && item["name"] == name)
}

/// Evaluates a check; the error describes the observed state.
pub fn evaluate_check(check: &Check, observation: &Observation<'_>) -> Result<(), String> {
    let status = observation.status;
    let voters = |controllers_only: bool| {
        let count = status["seats"]
            .members()
            .filter(|voter| {
                voter["alive"] == true && (!controllers_only || voter["ledger"] == true)
            })
            .count();
        count as u64
    };
    let at_least = |what: &str, found: u64, required: u64| {
        if found >= required {
            Ok(())
        } else {
            Err(format!("{what}: {found}, expected at least {required}"))
        }
    };
    let at_most = |what: &str, found: u64, required: u64| {
        if found <= required {
            Ok(())
        } else {
            Err(format!("{what}: {found}, expected at most {required}"))
        }
    };
    let voter_at = |address: &str| {
        status["seats"]
            .members()
            .any(|voter| voter["address"] == address)
    };
    let closed = |zone: &str| {
        item(observation.configuration, &format!("area/{zone}"))
            .and_then(|item| item["area"]["closed"].as_bool())
    };
    let require = |holds: bool, why: &str| if holds { Ok(()) } else { Err(why.to_string()) };
    match check {
        Check::Current => require(
            status["current"] == true,
            "no controller is connected to a majority",
        ),
        Check::DiskRecovered => require(
            status["disk"] == "well",
            "the disk of a controller rejects writes",
        ),
        Check::LeadershipsHeld => {
            let live_voters: Vec<u64> = status["seats"]
                .members()
                .filter(|voter| voter["alive"] == true)
                .filter_map(|voter| voter["node"].as_u64())
                .collect();
            let held = !status["duties"].is_empty()
                && status["duties"].members().all(|leadership| {
                    leadership["holder"]
                        .as_u64()
                        .is_some_and(|node| live_voters.contains(&node))
                });
            require(held, "a leadership role is not held by a live voter")
        }
        Check::LivingVoters(required) => at_least("live voters", voters(false), *required),
        Check::LivingControllers(required) => {
            at_least("live controllers among the voters", voters(true), *required)
        }
        Check::ReadyProxies(required) => {
            let ready = status["members"]
                .members()
                .filter(|member| member["role"] == "proxy" && member["ready"] == true)
                .count();
            at_least("ready proxies", ready as u64, *required)
        }
        Check::FeedLag(required) => {
            let lag = status["members"]
                .members()
                .filter_map(|member| member["feed_lag"].as_u64())
                .max()
                .unwrap_or(0);
            at_most("feed lag", lag, *required)
        }
        Check::Unplaced(required) => {
            let unplaced = status["unplaced_demand"].as_u64().unwrap_or(u64::MAX);
            at_most("unplaced demand", unplaced, *required)
        }
        Check::Instances(required) => {
            at_least("instances", status["instances"].len() as u64, *required)
        }
        Check::ZoneClosed(zone) => require(closed(zone) == Some(true), "the zone is not closed"),
        Check::ZoneOpen(zone) => require(closed(zone) == Some(false), "the zone is not open"),
        Check::VoterAt(address) => require(voter_at(address), "no voter has this address"),
        Check::NoVoterAt(address) => require(!voter_at(address), "a voter still has this address"),
    }
}

impl Runner {
    /// Creates a runner at the first step; the error lists missing and unknown inputs.
    pub fn start(
        runbook: Runbook,
        inputs: BTreeMap<String, String>,
        seed: u64,
    ) -> Result<Self, Vec<String>> {
        let mut faults: Vec<String> = runbook
            .inputs
            .iter()
            .filter(|(name, _)| !inputs.contains_key(name))
            .map(|(name, about)| format!("{name} is missing: give --set {name}=… ({about})"))
            .collect();
        for name in inputs.keys() {
            if !runbook.inputs.iter().any(|(known, _)| known == name) {
                faults.push(format!("{name} is not an input of this runbook: remove it"));
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            runbook,
            inputs,
            index: 0,
            phase: Phase::Starting,
            saved_items: BTreeMap::new(),
            seed,
        })
    }

    /// Replaces the `${name}` placeholders in a text with the values of the inputs.
    pub fn substitute(&self, text: &str) -> String {
        self.inputs
            .iter()
            .fold(text.to_string(), |text, (name, value)| {
                text.replace(&format!("${{{name}}}"), value)
            })
    }

    fn substitute_check(&self, check: &Check) -> Check {
        match check {
            Check::ZoneClosed(zone) => Check::ZoneClosed(self.substitute(zone)),
            Check::ZoneOpen(zone) => Check::ZoneOpen(self.substitute(zone)),
            Check::VoterAt(address) => Check::VoterAt(self.substitute(address)),
            Check::NoVoterAt(address) => Check::NoVoterAt(self.substitute(address)),
            other => other.clone(),
        }
    }

    pub fn steps(&self) -> &[Step] {
        &self.runbook.steps
    }

    /// Returns the current step and its number, counted from one; none after the last step.
    pub fn step(&self) -> Option<(usize, &Step)> {
        Some((self.index + 1, self.runbook.steps.get(self.index)?))
    }

    /// Returns what the caller has to do next.
    pub fn next(&self) -> NextAction {
        let Some(step) = self.runbook.steps.get(self.index) else {
            return NextAction::Done;
        };
        match (&self.phase, &step.action) {
            (Phase::Stopped { why }, _) => NextAction::Stopped {
                step: self.index + 1,
                why: why.clone(),
                remedy: self.substitute(&step.on_failure),
            },
            (Phase::Applying, Action::Apply(file)) => NextAction::ApplyFile {
                file: self.substitute(file),
            },
            (Phase::Applying, _) => match self.saved_items.get("") {
                Some(change) => NextAction::Apply {
                    change: change.clone(),
                },
                None => NextAction::ReadStatus,
            },
            _ => NextAction::ReadStatus,
        }
    }

    /// Processes an observation: starts the current step, or evaluates its checks.
    pub fn observe(&mut self, now: Duration, observation: &Observation<'_>) {
        let Some(step) = self.runbook.steps.get(self.index).cloned() else {
            return;
        };
        match self.phase.clone() {
            Phase::Starting => self.start_step(now, &step, observation),
            Phase::Checking { since, held_since } => {
                let failed = step
                    .checks
                    .iter()
                    .map(|check| evaluate_check(&self.substitute_check(check), observation))
                    .find_map(Result::err);
                match failed {
                    None => {
                        let held = held_since.unwrap_or(now);
                        if now.saturating_sub(held) >= step.steady {
                            self.index += 1;
                            self.phase = Phase::Starting;
                        } else {
                            self.phase = Phase::Checking {
                                since,
                                held_since: Some(held),
                            };
                        }
                    }
                    Some(why) if now.saturating_sub(since) >= step.within => {
                        self.phase = Phase::Stopped { why };
                    }
                    Some(_) => {
                        self.phase = Phase::Checking {
                            since,
                            held_since: None,
                        };
                    }
                }
            }
            Phase::Applying | Phase::Stopped { .. } => {}
        }
    }

    fn start_step(&mut self, now: Duration, step: &Step, observation: &Observation<'_>) {
        let checking = Phase::Checking {
            since: now,
            held_since: None,
        };
        let set_zone_closed = |runner: &mut Self, zone: &str, closed: bool| {
            let zone = runner.substitute(zone);
            match item(observation.configuration, &format!("area/{zone}")).cloned() {
                None => Phase::Stopped {
                    why: format!("the configuration has no zone {zone}"),
                },
                Some(mut found) => {
                    found["area"]["closed"] = closed.into();
                    let prefix = if closed { "close" } else { "open" };
                    let read_version = observation.configuration["edition"].as_u64();
                    runner.prepare_change(&format!("{prefix}-{zone}"), found, read_version);
                    Phase::Applying
                }
            }
        };
        self.phase = match &step.action {
            Action::Nothing | Action::ByHand(_) => checking,
            Action::CloseZone(zone) => set_zone_closed(self, zone, true),
            Action::OpenZone(zone) => set_zone_closed(self, zone, false),
            Action::Apply(_) => Phase::Applying,
            Action::Remember(key) => {
                let key = self.substitute(key);
                match item(observation.configuration, &key).cloned() {
                    None => Phase::Stopped {
                        why: format!("the configuration has no item {key}"),
                    },
                    Some(found) => {
                        self.saved_items.insert(key, found);
                        checking
                    }
                }
            }
            Action::Restore(key) => {
                let key = self.substitute(key);
                match (
                    self.saved_items.get(&key).cloned(),
                    item(observation.configuration, &key),
                ) {
                    (None, _) => Phase::Stopped {
                        why: format!("no earlier step saved {key}"),
                    },
                    (Some(mut before), present) => {
                        // The change set carries the current version, so that a concurrent change made
                        // after this read wins.
                        let version = present.and_then(|item| item["edition"].as_u64());
                        before["edition"] = version.unwrap_or(0).into();
                        let read_version = observation.configuration["edition"].as_u64();
                        self.prepare_change(
                            &format!("restore-{}", key.replace('/', "-")),
                            before,
                            read_version,
                        );
                        Phase::Applying
                    }
                }
            }
        };
    }

    fn prepare_change(&mut self, prefix: &str, put: JsonValue, read_version: Option<u64>) {
        let id = format!("{prefix}-{:x}-{}", self.seed, self.index);
        let change = jzon::object! { id: id, edition: read_version, put: [put] };
        self.saved_items.insert(String::new(), change);
    }

    /// Processes the response to an apply request.
    pub fn applied(&mut self, now: Duration, status: u16, response: &JsonValue) {
        self.saved_items.remove("");
        self.phase = if status == 200 {
            Phase::Checking {
                since: now,
                held_since: None,
            }
        } else {
            Phase::Stopped {
                why: format!(
                    "the change was rejected with status {status}: {}",
                    response.dump()
                ),
            }
        };
    }
}
