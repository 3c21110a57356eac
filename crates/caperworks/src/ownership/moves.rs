//! Moves: when a key range changes its owner, and what is handed over.
//!
//! Invariants kept here:
//!
//! - A key range gets a new owner only once the old one has released it with nothing in flight, has
//!   surely ended, or its lease, as the owner manager bounds it, has passed.
//! - Each change of an owner has a higher epoch than every one before it in the service, also where the
//!   key range had no owner in between.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::identifiers::{Epoch, ServiceName};
use crate::map_items::{KeyRangeOwner, KeyRangeTable, Service};
use crate::ownership::owner_manager::{OwnerManager, OwnershipView};
use crate::ownership::table::{candidates, highest_epoch, is_candidate, is_owner, targets};

/// How many key ranges may be on the move at once, per service, when no owner was lost.
pub const MOVES_AT_ONCE: usize = 4;
/// How long after an instance said that it ends it has surely ended.
const ENDED_SURELY: Duration = Duration::from_millis(500);

/// A key range with its present owner and the instance that should own it.
struct KeyRangeCase<'view> {
    service: &'view ServiceName,
    key_range: u32,
    owner: &'view KeyRangeOwner,
    target: Option<&'view Heartbeat>,
}

impl OwnerManager {
    /// Plans the next table of a service; nothing when no key range changes its owner now.
    ///
    /// `epoch` is the leader's term, the first epoch of a service without a table. A table with
    /// another number of key ranges than the service has is never changed: another number maps keys
    /// anew, on which two owners could not agree while leases live; the number is fixed when the
    /// service is created.
    pub fn plan(
        &mut self,
        now: Duration,
        epoch: Epoch,
        name: &ServiceName,
        service: &Service,
        view: &OwnershipView<'_>,
    ) -> Option<KeyRangeTable> {
        let wanted = service.key_ranges as usize;
        let present = view.ownership.key_ranges(name).cloned();
        let mut table = present.unwrap_or(KeyRangeTable {
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
        let mut is_changed = false;
        for (key_range, target) in targets.into_iter().enumerate() {
            let owner = table.owners[key_range].take();
            let handover = match &owner {
                None if target.is_none() => continue,
                None => None,
                Some(owner) => {
                    let case = KeyRangeCase {
                        service: name,
                        key_range: key_range as u32,
                        owner,
                        target,
                    };
                    let is_free = self.is_free(now, &case, view, &mut moves);
                    if !is_free || self.stays(&case) {
                        table.owners[key_range] = Some(owner.clone());
                        continue;
                    }
                    self.state(name, key_range as u32, owner.epoch)
                        .handover
                        .take()
                }
            };
            next_epoch = next_epoch.next();
            table.owners[key_range] = target.map(|target| KeyRangeOwner {
                instance: target.id.clone(),
                incarnation: target.incarnation,
                epoch: next_epoch,
                handover,
            });
            is_changed = true;
        }
        table.epoch = next_epoch;
        is_changed.then_some(table)
    }

    /// Whether a key range may get a new owner now; starts the release of one that should move, if
    /// not too many are on the move.
    fn is_free(
        &mut self,
        now: Duration,
        case: &KeyRangeCase<'_>,
        view: &OwnershipView<'_>,
        moves: &mut usize,
    ) -> bool {
        let owner = case.owner;
        let heartbeat = view.instances.get(&owner.instance);
        let is_alive = heartbeat.is_some_and(|heartbeat| {
            heartbeat.incarnation == owner.incarnation
                && is_candidate(case.service, view, heartbeat)
        });
        let should_move = case
            .target
            .is_some_and(|target| target.id != owner.instance);
        let is_hasty = self.hasty;
        let state = self.state(case.service, case.key_range, owner.epoch);
        if !state.is_releasing && should_move && (!is_alive || *moves < MOVES_AT_ONCE) {
            state.is_releasing = true;
            // A new owner manager may know of heartbeats that were sent to others.
            let counter = heartbeat.map_or(0, |heartbeat| heartbeat.counter);
            state.latest_heartbeat = state.latest_heartbeat.max(counter);
            *moves += usize::from(is_alive);
        }
        // An instance that said itself that it ends leases nothing once it has ended.
        let has_ended = view.instances.ended_for(now, &owner.instance) >= ENDED_SURELY;
        let is_lease_over = now >= state.leased_until || is_hasty || has_ended;
        let is_released = state.is_releasing && state.is_released;
        is_released || (is_lease_over && (state.is_given_up() || !is_alive))
    }

    /// Whether the present owner keeps the key range under its epoch.
    fn stays(&mut self, case: &KeyRangeCase<'_>) -> bool {
        case.target
            .is_some_and(|target| is_owner(case.owner, target))
            && !self
                .state(case.service, case.key_range, case.owner.epoch)
                .is_given_up()
    }
}
