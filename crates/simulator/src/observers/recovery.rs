//! Checks of service under load and after major faults.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::Observers;

/// Maximum time from a major fault until most traffic is served again.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Number of seconds after the limit in which service is checked.
const RECOVERY_CHECK_SECONDS: u64 = 5;

/// A change that is accepted sooner after a fault may have been decided before it.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// A fault after which recovery is checked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MajorFault {
    at: Duration,
    blocks_keyed_traffic: bool,
    /// When the next fault occurs: requests unserved after it are not due to this one.
    next: Duration,
}

impl Observers {
    /// Checks at the end of a day that a change was accepted within the limit after a fault.
    pub fn check_accepts_again(&mut self, fault_at: Duration) {
        let in_time = fault_at + MAX_RESPONSE_TIME..fault_at + RECOVERY_LIMIT;
        if !self.accepted_at.values().any(|at| in_time.contains(at)) {
            let details = format!("no change was accepted within {RECOVERY_LIMIT:?}");
            self.record_violation(Invariant::ChangesNotAccepted, fault_at, details);
        }
    }

    /// Records that a hot key, a surge or a slowdown starts.
    pub fn load_started(&mut self, at: Duration) {
        self.load_since.get_or_insert(at);
    }

    /// Checks at its end that each kind of ordinary traffic was served throughout.
    pub fn load_ended(&mut self, at: Duration, min_kept_percent: u64) {
        let Some(since) = self.load_since.take() else {
            return;
        };
        // The first two seconds are left out: the effect may take that long to be detected.
        let window = since.as_secs() + 2..at.as_secs().saturating_sub(1);
        for (kind, seconds) in std::mem::take(&mut self.kind_seconds) {
            let (sent, served) = seconds
                .range(window.clone())
                .fold((0, 0), |sum, (_, second)| {
                    (sum.0 + second.0, sum.1 + second.1)
                });
            if served * 100 < sent * min_kept_percent {
                let details = format!("traffic kind {kind}: {served} of {sent} requests served");
                self.record_violation(Invariant::Sunk, at, details);
            }
            self.kind_seconds.insert(kind, seconds);
        }
    }

    /// Records a major fault; `blocks_keyed_traffic` if keyed traffic cannot be served until it is
    /// over.
    pub fn major_fault(&mut self, at: Duration, blocks_keyed_traffic: bool, next: Duration) {
        self.major_faults.push(MajorFault {
            at,
            blocks_keyed_traffic,
            next,
        });
    }

    /// Checks after each major fault that most traffic is served again within the limit and stays
    /// so.
    ///
    /// Both are required because leases outlast a partition for some seconds, and service that
    /// lasts only until they expire is no recovery.
    pub fn check_recovery(&mut self, end: Duration) {
        for fault in self.major_faults.clone() {
            let begin = fault.at.as_secs() + 1;
            let last = end.as_secs().saturating_sub(4);
            let limit_second = begin + RECOVERY_LIMIT.as_secs();
            let checked_seconds = limit_second
                ..(limit_second + RECOVERY_CHECK_SECONDS)
                    .min(last)
                    .min(fault.next.as_secs());
            let time_to_recover = |seconds: &BTreeMap<u64, (u64, u64)>| {
                let is_served = |second: u64| {
                    let (sent, served) = seconds.get(&second).copied().unwrap_or_default();
                    served * 2 > sent
                };
                let last_bad = checked_seconds
                    .clone()
                    .rev()
                    .find(|second| !is_served(*second));
                // Three seconds in a row are required: a single good second between bad ones is no
                // recovery.
                let first = (begin..last).find(|second| (*second..*second + 3).all(is_served));
                match (last_bad, first) {
                    (Some(second), _) => Duration::from_secs(second + 1 - begin),
                    (None, Some(second)) => Duration::from_secs(second + 1 - begin),
                    (None, None) if last < limit_second + 3 => Duration::ZERO,
                    (None, None) => Duration::from_secs(last - begin),
                }
            };
            let mut kinds: Vec<(String, Duration)> = self
                .kind_seconds
                .iter()
                .filter(|(kind, _)| {
                    !(fault.blocks_keyed_traffic && self.keyed_kinds.contains(kind))
                })
                .map(|(kind, seconds)| (format!("traffic kind {kind}"), time_to_recover(seconds)))
                .collect();
            let slowest = kinds.iter().map(|(_, recovery_time)| *recovery_time).max();
            self.tally.slowest_recoveries.extend(slowest);
            let recovery_time = time_to_recover(&self.seconds);
            self.tally.recoveries.push(recovery_time);
            kinds.push(("most traffic".to_string(), recovery_time));
            for (traffic, recovery_time) in kinds {
                if recovery_time > RECOVERY_LIMIT {
                    let details = format!("{traffic} recovered only after {recovery_time:?}");
                    self.record_violation(Invariant::NotRecovered, fault.at, details);
                }
            }
        }
    }
}
