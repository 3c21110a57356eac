//! Changes: what was accepted is kept, whole, and what was refused has no effect.

use std::time::Duration;

use crate::observers::lines::Line;
use crate::observers::Observers;
use caperworks::change_check::ChangeCheck;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::{ChangeId, Version, Zone};
use caperworks::map_items::Value;
use caperworks::replicated_map::{Change, ReplicatedMap, REMEMBERED_CHANGES};

#[derive(Debug, Clone)]
pub(crate) struct AcceptedChange {
    pub at: Duration,
    pub version: Version,
    pub id: ChangeId,
}

impl Observers {
    /// An operator proposes a change set.
    pub fn proposed(&mut self, change: &Change) {
        let known = self.proposed.entry(change.id.clone()).or_default();
        if !known.contains(change) {
            known.push(change.clone());
            for put in &change.puts {
                if let Some(value) = &put.value {
                    let wanted = self.wanted.entry(put.key.clone()).or_default();
                    wanted.push((value.clone(), change.id.clone()));
                }
            }
        }
        self.calls.entry(change.id.clone()).or_default().0 += 1;
    }

    /// An operator was told what became of a change set.
    pub fn proposal_outcome(
        &mut self,
        at: Duration,
        change: &Change,
        proposal_outcome: &ProposalOutcome,
    ) {
        match proposal_outcome {
            ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version) => {
                self.accept(at, change, *version);
            }
            ProposalOutcome::Unknown => self.tally.unknown_changes += 1,
            ProposalOutcome::NoMajority => {
                self.tally.no_majority += 1;
                self.calls.entry(change.id.clone()).or_default().1 += 1;
            }
            ProposalOutcome::Conflicts(_)
            | ProposalOutcome::VersionsTaken(_)
            | ProposalOutcome::VersionsForgotten(_)
            | ProposalOutcome::IdForgotten(_)
            | ProposalOutcome::Invalid(_)
            | ProposalOutcome::IdTaken(_)
            | ProposalOutcome::TooFewAgents => {
                self.tally.refused_changes += 1;
                self.calls.entry(change.id.clone()).or_default().1 += 1;
            }
        }
    }

    fn accept(&mut self, at: Duration, change: &Change, version: Version) {
        self.tally.accepted += 1;
        let clash = self
            .accepted
            .iter()
            .find(|known| (known.version == version) != (known.id == change.id))
            .cloned();
        if let Some(known) = clash {
            let what = format!(
                "{} at {version}, but {} at {}",
                change.id, known.id, known.version
            );
            self.breach(Line::ForkedMap, at, what);
        }
        if self.accepted.iter().any(|known| known.id == change.id) {
            return;
        }
        for put in &change.puts {
            if let (Some(zone), Some(Value::Zone { zone: request })) =
                (put.key.strip_prefix("area/"), &put.value)
            {
                if request.closed {
                    self.closed.insert(Zone::new(zone), at);
                } else {
                    self.closed.remove(&Zone::new(zone));
                }
            }
        }
        self.due_versions.push_back((at, version));
        self.accepted_at.insert(version, at);
        self.accepted.push(AcceptedChange {
            at,
            version,
            id: change.id.clone(),
        });
    }

    /// The highest version that was told yes.
    pub fn last_accepted(&self) -> Version {
        let versions = self.accepted.iter().map(|accepted| accepted.version);
        versions.max().unwrap_or_default()
    }

    /// Looks through what is new in a controller's configuration: nothing of a change set that was
    /// refused may be there.
    pub fn held_map(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        let known = self.looked_through.get(name).copied().unwrap_or_default();
        if map.version <= known {
            return;
        }
        self.looked_through.insert(name.to_string(), map.version);
        let strays: Vec<String> = map
            .items
            .iter()
            .filter(|(_, item)| item.version > known)
            .filter(|(key, item)| {
                let wanted = self.wanted.get(*key);
                !wanted.into_iter().flatten().any(|(value, id)| {
                    let (calls, refused) = self.calls.get(id).copied().unwrap_or_default();
                    *value == item.value && calls > refused
                })
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in strays {
            let what = format!("{name} holds {key} of a change set that was refused");
            self.breach(Line::PartiallyApplied, at, what);
        }
    }

    /// At day's end: every accepted change must be in the map, whole, and nothing refused.
    pub fn read_back(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        self.check_accepted(at, name, map);
        self.replay(at, name, map);
    }

    fn check_accepted(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        for accepted in self.accepted.clone() {
            let found = map
                .recent_changes
                .iter()
                .find(|answered| answered.id == accepted.id);
            // Why the count: a map forgets the oldest change ids.
            let forgotten = map.version.0 > accepted.version.0 + REMEMBERED_CHANGES as u64 - 1;
            let good = found.is_some_and(|answered| answered.version == accepted.version);
            if !good && !forgotten {
                let what = format!(
                    "{name} lacks {} of version {}",
                    accepted.id, accepted.version
                );
                self.breach(Line::LostChange, at, what);
            }
        }
    }

    /// Applies all changes that a map remembers anew; the same must come of it.
    fn replay(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        let mut replayed = ReplicatedMap::empty();
        for answered in &map.recent_changes {
            let known = self.proposed.get(&answered.id);
            let change = known
                .into_iter()
                .flatten()
                .find(|change| change.digest() == answered.digest);
            let Some(change) = change.cloned() else {
                return;
            };
            // Why all calls: one that was refused says nothing of another that was accepted.
            let calls = self.calls.get(&answered.id).copied().unwrap_or_default();
            if calls.0 == calls.1 {
                self.breach(
                    Line::PartiallyApplied,
                    at,
                    format!("{name} holds refused {}", answered.id),
                );
            }
            if replayed.check_change(&change) != ChangeCheck::Fits {
                let what = format!("{name}: {} does not fit where it stands", answered.id);
                self.breach(Line::ForkedMap, at, what);
            }
            replayed.apply(&change);
        }
        if map.recent_changes.len() < REMEMBERED_CHANGES && replayed.items != map.items {
            self.breach(
                Line::LostChange,
                at,
                format!("{name} does not read back intact"),
            );
        }
    }
}
