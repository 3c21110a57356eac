//! Moves: when a key range changes its owner, and what is handed over.
//!
//! Invariants kept here:
//!
//! - A key range gets a new owner only once the old one has released it with nothing in flight, or its
//!   lease has expired by the owner manager's bound. That an instance announced its termination ends no
//!   lease: it may go on serving, and its own clock decides for how long.
//! - Once a new owner was proposed, the old one gets no lease under its epoch any more, whether or not the
//!   proposal is committed.
//! - Each change of an owner has a higher epoch than all earlier ones in the service, also where the
//!   key range had no owner in between.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::identifiers::{Epoch, ServiceName};
use crate::map_items::{KeyRangeOwner, KeyRangeTable, Service};
use crate::ownership::owner_changes::{FreeReason, OwnerChange, PlannedTable};
use crate::ownership::owner_manager::{OwnerManager, OwnershipView};
use crate::ownership::table::{candidates, highest_epoch, is_candidate, is_owner, targets};

/// Maximum number of key ranges, per service, that may move at the same time when no owner was lost.
pub const MAX_CONCURRENT_MOVES: usize = 4;

/// A key range with its current owner and the instance that should own it.
struct KeyRangeCase<'view> {
    service: &'view ServiceName,
    key_range: u32,
    owner: &'view KeyRangeOwner,
    target: Option<&'view Heartbeat>,
}

impl OwnerManager {
    /// Plans the next table of a service; returns `None` when no key range changes its owner now.
    ///
    /// `epoch` is the leader's term, which is the first epoch of a service without a table. A table whose
    /// number of key ranges differs from the service's is never changed: another number would map keys
    /// to other ranges, so that two owners could accept the same key while old leases are valid. The
    /// number is fixed when the service is created.
    pub fn plan(
        &mut self,
        now: Duration,
        epoch: Epoch,
        name: &ServiceName,
        service: &Service,
        view: &OwnershipView<'_>,
    ) -> Option<PlannedTable> {
        let wanted = service.key_ranges as usize;
        let current = view.ownership.key_ranges(name).cloned();
        let mut table = current.unwrap_or(KeyRangeTable {
            epoch,
            owners: vec![None; wanted],
        });
        if table.owners.len() != wanted {
            return None;
        }
        let candidates = candidates(name, view);
        let targets = targets(name, &table.owners, &candidates, service.warm_up_period);
        let mut moves = self.count_moves(name);
        let mut next_epoch = highest_epoch(&table);
        let mut changes = Vec::new();
        for (key_range, target) in targets.into_iter().enumerate() {
            let owner = table.owners[key_range].take();
            let (change, handover) = match &owner {
                None if target.is_none() => continue,
                None => (unowned_change(key_range as u32, target), None),
                Some(owner) => {
                    let case = KeyRangeCase {
                        service: name,
                        key_range: key_range as u32,
                        owner,
                        target,
                    };
                    let free = self.is_free(now, &case, view, &mut moves);
                    let Some(reason) = free.filter(|_| !self.is_kept(&case)) else {
                        table.owners[key_range] = Some(owner.clone());
                        continue;
                    };
                    let change = self.owner_change(now, &case, view, reason);
                    let state = self.state(name, key_range as u32, owner.epoch);
                    state.is_reassigned = true;
                    (change, state.handover.clone())
                }
            };
            next_epoch = next_epoch.next();
            table.owners[key_range] = target.map(|target| KeyRangeOwner {
                instance: target.id.clone(),
                incarnation: target.incarnation,
                epoch: next_epoch,
                handover,
            });
            changes.push(change);
        }
        table.epoch = next_epoch;
        (!changes.is_empty()).then_some(PlannedTable { table, changes })
    }

    /// Returns why a key range may get a new owner now, if it may. Starts its release if it should move
    /// and fewer than [`MAX_CONCURRENT_MOVES`] are moving, or its owner is lost.
    fn is_free(
        &mut self,
        now: Duration,
        case: &KeyRangeCase<'_>,
        view: &OwnershipView<'_>,
        moves: &mut usize,
    ) -> Option<FreeReason> {
        let owner = case.owner;
        let heartbeat = view.instances.get(&owner.instance);
        let is_alive = heartbeat.is_some_and(|heartbeat| {
            heartbeat.incarnation == owner.incarnation
                && is_candidate(case.service, view, heartbeat)
        });
        let should_move = case
            .target
            .is_some_and(|target| target.id != owner.instance);
        let has_deregistered = view.instances.has_deregistered(&owner.instance);
        let skips_lease_wait =
            self.skips_lease_wait || (self.ends_leases_on_termination && has_deregistered);
        let state = self.state(case.service, case.key_range, owner.epoch);
        if !state.is_releasing && should_move && (!is_alive || *moves < MAX_CONCURRENT_MOVES) {
            state.is_releasing = true;
            // A new owner manager also knows of heartbeats that were sent to other controllers, so the
            // counter may be higher than any that this owner manager has responded to.
            let counter = heartbeat.map_or(0, |heartbeat| heartbeat.counter);
            state.latest_heartbeat = state.latest_heartbeat.max(counter);
            *moves += usize::from(is_alive);
        }
        if state.is_releasing && state.is_released() {
            return Some(FreeReason::Released);
        }
        if is_alive && !state.is_retired() {
            return None;
        }
        let is_lease_over = now >= state.leased_until || skips_lease_wait;
        is_lease_over.then_some(FreeReason::LeaseExpired)
    }

    /// Returns the record of a change of owners.
    fn owner_change(
        &mut self,
        now: Duration,
        case: &KeyRangeCase<'_>,
        view: &OwnershipView<'_>,
        reason: FreeReason,
    ) -> OwnerChange {
        let owner = &case.owner.instance;
        let since_termination = view.instances.time_since_deregistration(now, owner);
        let state = self.state(case.service, case.key_range, case.owner.epoch);
        let since = |at: Option<Duration>| at.map(|at| now.saturating_sub(at));
        OwnerChange {
            key_range: case.key_range,
            previous: Some(owner.clone()),
            next: case.target.map(|target| target.id.clone()),
            reason,
            lease_left: state.leased_until.saturating_sub(now),
            since_renewal: since(state.renewed_at),
            since_release: since(state.released_at),
            since_termination,
        }
    }

    /// Returns whether the current owner keeps the key range under its epoch.
    fn is_kept(&mut self, case: &KeyRangeCase<'_>) -> bool {
        case.target
            .is_some_and(|target| is_owner(case.owner, target))
            && !self
                .state(case.service, case.key_range, case.owner.epoch)
                .is_retired()
    }
}

/// Returns the record of a key range without an owner that gets one.
fn unowned_change(key_range: u32, target: Option<&Heartbeat>) -> OwnerChange {
    OwnerChange {
        key_range,
        previous: None,
        next: target.map(|target| target.id.clone()),
        reason: FreeReason::NoOwner,
        lease_left: Duration::ZERO,
        since_renewal: None,
        since_release: None,
        since_termination: None,
    }
}
