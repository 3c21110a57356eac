//! Runs a runbook as a state machine: says what to look at or apply, and takes what came of it.

use std::collections::BTreeMap;
use std::time::Duration;

use jzon::JsonValue;

use crate::runbook::{Action, Check, Runbook, Step};

/// What the runner wants done next.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Read status and configuration, and hand them in.
    ReadStatus,
    /// Apply this change set, and hand the answer in.
    Apply { change: JsonValue },
    /// Apply the change set in this file, and hand the answer in.
    ApplyFile { file: String },
    /// The runbook is done.
    Done,
    /// A check failed: stop, and tell the operator what to do.
    Stopped {
        step: usize,
        why: String,
        remedy: String,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Entering,
    Applying,
    Checking {
        since: Duration,
        held_since: Option<Duration>,
    },
    Stopped {
        why: String,
    },
}

pub struct Runner {
    runbook: Runbook,
    inputs: BTreeMap<String, String>,
    index: usize,
    phase: Phase,
    remembered: BTreeMap<String, JsonValue>,
    seed: u64,
}

/// What a controller last told.
pub struct Observation<'seen> {
    pub status: &'seen JsonValue,
    pub configuration: &'seen JsonValue,
}

fn item<'json>(configuration: &'json JsonValue, key: &str) -> Option<&'json JsonValue> {
    let (kind, name) = key.split_once('/')?;
    configuration["items"]
        .members()
        .find(|item| item["kind"] == kind && item["name"] == name)
}

/// Whether a check holds; if not, what was seen instead.
pub fn holds(check: &Check, seen: &Observation<'_>) -> Result<(), String> {
    let status = seen.status;
    let voters = |controllers_only: bool| {
        let count = status["seats"]
            .members()
            .filter(|voter| {
                voter["alive"] == true && (!controllers_only || voter["ledger"] == true)
            })
            .count();
        count as u64
    };
    let at_least = |what: &str, found: u64, wanted: u64| {
        if found >= wanted {
            Ok(())
        } else {
            Err(format!("{what}: {found}, wanted at least {wanted}"))
        }
    };
    let at_most = |what: &str, found: u64, wanted: u64| {
        if found <= wanted {
            Ok(())
        } else {
            Err(format!("{what}: {found}, wanted at most {wanted}"))
        }
    };
    let voter_at = |address: &str| {
        status["seats"]
            .members()
            .any(|voter| voter["address"] == address)
    };
    let closed = |zone: &str| {
        item(seen.configuration, &format!("area/{zone}"))
            .and_then(|item| item["area"]["closed"].as_bool())
    };
    let truth = |holds: bool, why: &str| if holds { Ok(()) } else { Err(why.to_string()) };
    match check {
        Check::Current => truth(status["current"] == true, "no controller hears a majority"),
        Check::DiskRecovered => truth(
            status["disk"] == "well",
            "a controller's disk refuses writes",
        ),
        Check::LeadershipsHeld => {
            let living: Vec<u64> = status["seats"]
                .members()
                .filter(|voter| voter["alive"] == true)
                .filter_map(|voter| voter["node"].as_u64())
                .collect();
            let held = !status["duties"].is_empty()
                && status["duties"].members().all(|leadership| {
                    leadership["holder"]
                        .as_u64()
                        .is_some_and(|node| living.contains(&node))
                });
            truth(held, "a leadership role has no living holder")
        }
        Check::LivingVoters(wanted) => at_least("living voters", voters(false), *wanted),
        Check::LivingControllers(wanted) => {
            at_least("living controllers with a voter", voters(true), *wanted)
        }
        Check::ReadyProxies(wanted) => {
            let ready = status["members"]
                .members()
                .filter(|member| member["role"] == "proxy" && member["ready"] == true)
                .count();
            at_least("ready proxies", ready as u64, *wanted)
        }
        Check::FeedLag(wanted) => {
            let lag = status["members"]
                .members()
                .filter_map(|member| member["feed_lag"].as_u64())
                .max()
                .unwrap_or(0);
            at_most("feed lag", lag, *wanted)
        }
        Check::Unplaced(wanted) => {
            let unplaced = status["unplaced_demand"].as_u64().unwrap_or(u64::MAX);
            at_most("unplaced demand", unplaced, *wanted)
        }
        Check::Instances(wanted) => {
            at_least("instances", status["instances"].len() as u64, *wanted)
        }
        Check::ZoneClosed(zone) => truth(closed(zone) == Some(true), "the zone is not closed"),
        Check::ZoneOpen(zone) => truth(closed(zone) == Some(false), "the zone is not open"),
        Check::VoterAt(address) => truth(voter_at(address), "no voter has this address"),
        Check::NoVoterAt(address) => truth(!voter_at(address), "a voter still has this address"),
    }
}

impl Runner {
    /// Takes a runbook and its inputs; lists the inputs that are missing or unknown.
    pub fn start(
        runbook: Runbook,
        inputs: BTreeMap<String, String>,
        seed: u64,
    ) -> Result<Self, Vec<String>> {
        let mut wrong: Vec<String> = runbook
            .inputs
            .iter()
            .filter(|(name, _)| !inputs.contains_key(name))
            .map(|(name, meaning)| format!("{name} is missing: give --set {name}=… ({meaning})"))
            .collect();
        for name in inputs.keys() {
            if !runbook.inputs.iter().any(|(known, _)| known == name) {
                wrong.push(format!("{name} is no input of this runbook: remove it"));
            }
        }
        if !wrong.is_empty() {
            return Err(wrong);
        }
        Ok(Self {
            runbook,
            inputs,
            index: 0,
            phase: Phase::Entering,
            remembered: BTreeMap::new(),
            seed,
        })
    }

    pub fn filled(&self, text: &str) -> String {
        self.inputs
            .iter()
            .fold(text.to_string(), |text, (name, value)| {
                text.replace(&format!("${{{name}}}"), value)
            })
    }

    fn filled_check(&self, check: &Check) -> Check {
        match check {
            Check::ZoneClosed(zone) => Check::ZoneClosed(self.filled(zone)),
            Check::ZoneOpen(zone) => Check::ZoneOpen(self.filled(zone)),
            Check::VoterAt(address) => Check::VoterAt(self.filled(address)),
            Check::NoVoterAt(address) => Check::NoVoterAt(self.filled(address)),
            other => other.clone(),
        }
    }

    pub fn steps(&self) -> &[Step] {
        &self.runbook.steps
    }

    /// The step under way, counted from one, if there is one left.
    pub fn step(&self) -> Option<(usize, &Step)> {
        Some((self.index + 1, self.runbook.steps.get(self.index)?))
    }

    /// What is to be done next.
    pub fn next(&self) -> NextAction {
        let Some(step) = self.runbook.steps.get(self.index) else {
            return NextAction::Done;
        };
        match (&self.phase, &step.action) {
            (Phase::Stopped { why }, _) => NextAction::Stopped {
                step: self.index + 1,
                why: why.clone(),
                remedy: self.filled(&step.otherwise),
            },
            (Phase::Applying, Action::Apply(file)) => NextAction::ApplyFile {
                file: self.filled(file),
            },
            (Phase::Applying, _) => match self.remembered.get("") {
                Some(change) => NextAction::Apply {
                    change: change.clone(),
                },
                None => NextAction::ReadStatus,
            },
            _ => NextAction::ReadStatus,
        }
    }

    /// Takes what a controller told; the machine may move on.
    pub fn saw(&mut self, now: Duration, seen: &Observation<'_>) {
        let Some(step) = self.runbook.steps.get(self.index).cloned() else {
            return;
        };
        match self.phase.clone() {
            Phase::Entering => self.enter(now, &step, seen),
            Phase::Checking { since, held_since } => {
                let failed = step
                    .checks
                    .iter()
                    .map(|check| holds(&self.filled_check(check), seen))
                    .find_map(Result::err);
                match failed {
                    None => {
                        let held = held_since.unwrap_or(now);
                        if now.saturating_sub(held) >= step.steady {
                            self.index += 1;
                            self.phase = Phase::Entering;
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

    fn enter(&mut self, now: Duration, step: &Step, seen: &Observation<'_>) {
        let checking = Phase::Checking {
            since: now,
            held_since: None,
        };
        let turn = |runner: &mut Self, zone: &str, closed: bool| {
            let zone = runner.filled(zone);
            match item(seen.configuration, &format!("area/{zone}")).cloned() {
                None => Phase::Stopped {
                    why: format!("there is no zone {zone}"),
                },
                Some(mut found) => {
                    found["area"]["closed"] = closed.into();
                    let word = if closed { "close" } else { "open" };
                    let read = seen.configuration["edition"].as_u64();
                    runner.prepare(&format!("{word}-{zone}"), found, read);
                    Phase::Applying
                }
            }
        };
        self.phase = match &step.action {
            Action::Nothing | Action::ByHand(_) => checking,
            Action::CloseZone(zone) => turn(self, zone, true),
            Action::OpenZone(zone) => turn(self, zone, false),
            Action::Apply(_) => Phase::Applying,
            Action::Remember(key) => {
                let key = self.filled(key);
                match item(seen.configuration, &key).cloned() {
                    None => Phase::Stopped {
                        why: format!("there is no {key}"),
                    },
                    Some(found) => {
                        self.remembered.insert(key, found);
                        checking
                    }
                }
            }
            Action::Restore(key) => {
                let key = self.filled(key);
                match (
                    self.remembered.get(&key).cloned(),
                    item(seen.configuration, &key),
                ) {
                    (None, _) => Phase::Stopped {
                        why: format!("{key} was not remembered before"),
                    },
                    (Some(mut before), present) => {
                        // Why the present version: whoever changed it since we looked must win.
                        let version = present.and_then(|item| item["edition"].as_u64());
                        before["edition"] = version.unwrap_or(0).into();
                        let read = seen.configuration["edition"].as_u64();
                        self.prepare(&format!("restore-{}", key.replace('/', "-")), before, read);
                        Phase::Applying
                    }
                }
            }
        };
    }

    fn prepare(&mut self, word: &str, put: JsonValue, read: Option<u64>) {
        let id = format!("{word}-{:x}-{}", self.seed, self.index);
        let change = jzon::object! { id: id, edition: read, put: [put] };
        self.remembered.insert(String::new(), change);
    }

    /// Takes the answer to an apply.
    pub fn applied(&mut self, now: Duration, status: u16, response: &JsonValue) {
        self.remembered.remove("");
        self.phase = if status == 200 {
            Phase::Checking {
                since: now,
                held_since: None,
            }
        } else {
            Phase::Stopped {
                why: format!("the change was answered {status}: {}", response.dump()),
            }
        };
    }
}
