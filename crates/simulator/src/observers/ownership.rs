//! Checks of key range ownership: one owner at a time, and one owner manager.

use std::collections::HashMap;
use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::Observers;
use caperworks::identifiers::{InstanceId, NodeId, ServiceName};

/// When work on a key range started and ended, and at which instance.
pub(crate) type WorkInterval = (Duration, Duration, InstanceId);

impl Observers {
    /// Records that the owner manager's controller was killed, frozen or partitioned.
    pub fn owner_manager_lost(&mut self, at: Duration) {
        self.owner_manager_lost_at.get_or_insert(at);
    }

    /// Records that a controller restarted; if it still has the role, no takeover is pending.
    pub fn controller_restarted(&mut self, node: NodeId) {
        if self.owner_manager == Some(node) {
            self.owner_manager_lost_at = None;
        }
    }

    /// Records that a controller knows the owner manager.
    pub fn owner_manager_known(&mut self, at: Duration, holder: NodeId) {
        if self.owner_manager != Some(holder) {
            if let Some(lost) = self.owner_manager_lost_at.take() {
                self.tally.takeovers.push(at.saturating_sub(lost));
            }
            self.owner_manager = Some(holder);
        }
    }

    /// Checks finished work on a key range for an overlap with work at another instance.
    pub fn work_finished(
        &mut self,
        service: &ServiceName,
        key_range: u32,
        from: Duration,
        to: Duration,
        instance: &InstanceId,
    ) {
        let work_intervals = self
            .work_intervals
            .entry((service.clone(), key_range))
            .or_default();
        let conflict = work_intervals
            .iter()
            .rev()
            .take(64)
            .find(|(start, end, other)| other != instance && *start < to && from < *end)
            .map(|(_, _, other)| other.clone());
        work_intervals.push((from, to, instance.clone()));
        if let Some(other) = conflict {
            let details =
                format!("key range {key_range} of {service} served by {instance} and {other}");
            self.record_violation(Invariant::TwoOwners, to, details);
        }
    }

    /// Checks the leases that all live instances believe to hold.
    pub fn check_leases(
        &mut self,
        at: Duration,
        live: &[(&ServiceName, &InstanceId, Vec<u32>, Duration)],
    ) {
        let mut holders: HashMap<(&ServiceName, u32), &InstanceId> = HashMap::new();
        let mut conflicts = Vec::new();
        for (service, instance, key_ranges, longest) in live {
            if *longest > Duration::from_secs(10) {
                conflicts.push((
                    Invariant::LeaseTooLong,
                    format!("{instance} has a lease for another {longest:?}"),
                ));
            }
            for key_range in key_ranges {
                if let Some(other) = holders.insert((service, *key_range), instance) {
                    let details = format!(
                        "key range {key_range} of {service} leased to {instance} and {other}"
                    );
                    conflicts.push((Invariant::TwoOwners, details));
                }
            }
        }
        for (invariant, details) in conflicts {
            self.record_violation(invariant, at, details);
        }
    }
}
