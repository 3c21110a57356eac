//! Records of planned changes of owners: why a key range may get a new owner, and what was left of its
//! last lease.

use std::fmt;
use std::time::Duration;

use crate::identifiers::InstanceId;
use crate::map_items::KeyRangeTable;

/// Why a key range may get a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FreeReason {
    /// It had no owner.
    NoOwner,
    /// Its owner has released it.
    Released,
    /// Its owner's lease has expired, by the owner manager's clock.
    LeaseExpired,
}

impl fmt::Display for FreeReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FreeReason::NoOwner => "without an owner",
            FreeReason::Released => "released",
            FreeReason::LeaseExpired => "lease expired",
        })
    }
}

/// A planned change of the owner of one key range.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerChange {
    /// The key range.
    pub key_range: u32,
    /// The owner until now.
    pub previous: Option<InstanceId>,
    /// The next owner.
    pub next: Option<InstanceId>,
    /// Why the key range may get a new owner.
    pub reason: FreeReason,
    /// For how much longer the last lease may be valid, by the owner manager's clock.
    pub lease_left: Duration,
    /// Time since the lease was last renewed; `None` if it was not in this term.
    pub since_renewal: Option<Duration>,
    /// Time since the owner's report of the release was handled.
    pub since_release: Option<Duration>,
    /// Time since the owner announced its termination.
    pub since_termination: Option<Duration>,
}

/// The planned next table of a service, and how it differs from the current one.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedTable {
    /// The next table.
    pub table: KeyRangeTable,
    /// The key ranges with a new owner, in order.
    pub changes: Vec<OwnerChange>,
}

/// The changes of a planned table that have the previous owner and the reason in common.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerChangeSummary {
    /// The owner until now.
    pub previous: Option<InstanceId>,
    /// Why the key ranges may get new owners.
    pub reason: FreeReason,
    /// The number of key ranges.
    pub key_ranges: usize,
    /// For how much longer the longest of the last leases may be valid.
    pub lease_left: Duration,
    /// Time since the first of the last renewals.
    pub since_renewal: Option<Duration>,
    /// Time since the first release.
    pub since_release: Option<Duration>,
    /// Time since the previous owner announced its termination.
    pub since_termination: Option<Duration>,
}

impl OwnerChangeSummary {
    fn of(change: &OwnerChange) -> Self {
        Self {
            previous: change.previous.clone(),
            reason: change.reason,
            key_ranges: 0,
            lease_left: Duration::ZERO,
            since_renewal: None,
            since_release: None,
            since_termination: change.since_termination,
        }
    }

    fn add(&mut self, change: &OwnerChange) {
        self.key_ranges += 1;
        self.lease_left = self.lease_left.max(change.lease_left);
        self.since_renewal = self.since_renewal.max(change.since_renewal);
        self.since_release = self.since_release.max(change.since_release);
    }
}

impl PlannedTable {
    /// Returns the changes, summarized by previous owner and reason.
    pub fn summaries(&self) -> Vec<OwnerChangeSummary> {
        let mut summaries: Vec<OwnerChangeSummary> = Vec::new();
        for change in &self.changes {
            let index = summaries.iter().position(|summary| {
                summary.previous == change.previous && summary.reason == change.reason
            });
            let index = index.unwrap_or_else(|| {
                summaries.push(OwnerChangeSummary::of(change));
                summaries.len() - 1
            });
            summaries[index].add(change);
        }
        summaries
    }
}

impl fmt::Display for OwnerChangeSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} key ranges", self.key_ranges)?;
        if let Some(previous) = &self.previous {
            write!(formatter, " of {previous}")?;
        }
        write!(formatter, ": {}", self.reason)?;
        if self.reason != FreeReason::NoOwner {
            let left = self.lease_left.as_millis();
            write!(formatter, ", at most {left} ms of the lease left")?;
        }
        let times = [
            ("last renewed", self.since_renewal),
            ("released", self.since_release),
            ("termination announced", self.since_termination),
        ];
        for (what, since) in times {
            if let Some(since) = since {
                write!(formatter, ", {what} {} ms ago", since.as_millis())?;
            }
        }
        Ok(())
    }
}
