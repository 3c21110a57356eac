//! Checks of changes: accepted ones are kept completely, and rejected ones have no effect.

use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::Observers;
use caperworks::change_check::ChangeCheck;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::{ChangeId, Version, Zone};
use caperworks::map_items::Value;
use caperworks::replicated_map::{Change, ReplicatedMap, REMEMBERED_CHANGES};

/// An accepted change, and when and at which version it was accepted.
#[derive(Debug, Clone)]
pub(crate) struct AcceptedChange {
    pub at: Duration,
    pub version: Version,
    pub id: ChangeId,
}

impl Observers {
    /// Records a change set that an operator proposes.
    pub fn proposed(&mut self, change: &Change) {
        let known = self.proposed.entry(change.id.clone()).or_default();
        if !known.contains(change) {
            known.push(change.clone());
            for put in &change.puts {
                if let Some(value) = &put.value {
                    let proposed_values = self.proposed_values.entry(put.key.clone()).or_default();
                    proposed_values.push((value.clone(), change.id.clone()));
                }
            }
        }
        self.calls.entry(change.id.clone()).or_default().0 += 1;
    }

    /// Records the outcome that an operator received for a change set.
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
        let conflict = self
            .accepted
            .iter()
            .find(|known| (known.version == version) != (known.id == change.id))
            .cloned();
        if let Some(known) = conflict {
            let details = format!(
                "{} was accepted at {version}, but {} at {}",
                change.id, known.id, known.version
            );
            self.record_violation(Invariant::ForkedMap, at, details);
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

    /// Returns the highest accepted version.
    pub fn last_accepted(&self) -> Version {
        let versions = self.accepted.iter().map(|accepted| accepted.version);
        versions.max().unwrap_or_default()
    }

    /// Checks the new items of a controller's configuration: none may come from a change set that
    /// was rejected.
    pub fn check_map(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        let known = self.checked_versions.get(name).copied().unwrap_or_default();
        if map.version <= known {
            return;
        }
        self.checked_versions.insert(name.to_string(), map.version);
        let unexpected_keys: Vec<String> = map
            .items
            .iter()
            .filter(|(_, item)| item.version > known)
            .filter(|(key, item)| {
                let proposed_values = self.proposed_values.get(*key);
                !proposed_values.into_iter().flatten().any(|(value, id)| {
                    let (calls, rejected) = self.calls.get(id).copied().unwrap_or_default();
                    *value == item.value && calls > rejected
                })
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in unexpected_keys {
            let details = format!("{name} contains {key} of a rejected change set");
            self.record_violation(Invariant::PartiallyApplied, at, details);
        }
    }

    /// Checks a map at the end of the day: it contains every accepted change completely, and no
    /// rejected one.
    pub fn check_final_state(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        self.check_accepted(at, name, map);
        self.replay(at, name, map);
    }

    fn check_accepted(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        for accepted in self.accepted.clone() {
            let found = map
                .recent_changes
                .iter()
                .find(|answered| answered.id == accepted.id);
            // A map keeps only the most recent change ids.
            let forgotten = map.version.0 > accepted.version.0 + REMEMBERED_CHANGES as u64 - 1;
            let is_kept = found.is_some_and(|answered| answered.version == accepted.version);
            if !is_kept && !forgotten {
                let details = format!(
                    "{name} is missing {} of version {}",
                    accepted.id, accepted.version
                );
                self.record_violation(Invariant::LostChange, at, details);
            }
        }
    }

    /// Replays all changes that a map remembers; the result must equal the map.
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
            // All calls are counted, since a rejected call does not mean that another call of the
            // same change was not accepted.
            let calls = self.calls.get(&answered.id).copied().unwrap_or_default();
            if calls.0 == calls.1 {
                self.record_violation(
                    Invariant::PartiallyApplied,
                    at,
                    format!("{name} contains the rejected change {}", answered.id),
                );
            }
            if replayed.check_change(&change) != ChangeCheck::Fits {
                let details = format!("{name}: {} does not apply at its position", answered.id);
                self.record_violation(Invariant::ForkedMap, at, details);
            }
            replayed.apply(&change);
        }
        if map.recent_changes.len() < REMEMBERED_CHANGES && replayed.items != map.items {
            self.record_violation(
                Invariant::LostChange,
                at,
                format!("{name} differs from the replay of its changes"),
            );
        }
    }
}
