//! The owner manager: the state of the controller that leads the owner manager role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::{Epoch, ServiceName, Zone};
use crate::instances::Instances;
use crate::ownership::key_range_state::KeyRangeState;
use crate::ownership::spans::OwnerManagerTimings;
use crate::replicated_map::ReplicatedMap;

/// The owner manager. At most one controller acts as it, under a term of the leadership role.
///
/// Its state is rebuilt in each term; what must survive, owners and epochs, is in the ownership map.
#[derive(Debug, Clone, Default)]
pub struct OwnerManager {
    states: BTreeMap<(ServiceName, u32), KeyRangeState>,
    /// Until when leases that were granted in earlier terms may live.
    earlier_leases_until: Duration,
    /// The time bounds.
    pub spans: OwnerManagerTimings,
    /// Fault injection, to prove the invariant checkers: moves key ranges before a lease has ended.
    pub hasty: bool,
    /// Fault injection, to prove the invariant checkers: takes a heartbeat that does not list a key
    /// range for its release.
    pub infers_release: bool,
    /// Fault injection, to prove the invariant checkers: grants leases that are too long.
    pub grants_long_leases: bool,
}

/// What the owner manager plans by.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipView<'view> {
    /// The instances that are known.
    pub instances: &'view Instances,
    /// The zones that operators have closed.
    pub closed: &'view BTreeSet<Zone>,
    /// The ownership map.
    pub ownership: &'view ReplicatedMap,
}

impl OwnerManager {
    /// Starts a term. Leases of earlier terms may live until the wait is over; a shorter wait is
    /// enough after our own former incarnation.
    pub fn take_up(&mut self, now: Duration, after_own: bool) {
        self.states.clear();
        let wait = match after_own {
            true => self.spans.wait_after_restart,
            false => self.spans.wait,
        };
        self.earlier_leases_until = now + wait;
    }

    /// The state of a key range under an epoch. One that is seen for the first time in this term may
    /// have been leased out in an earlier one; a new epoch was given out in this term and is not
    /// leased out yet.
    pub(super) fn state(
        &mut self,
        service: &ServiceName,
        key_range: u32,
        epoch: Epoch,
    ) -> &mut KeyRangeState {
        let bound = self.earlier_leases_until;
        let state = self
            .states
            .entry((service.clone(), key_range))
            .or_insert_with(|| KeyRangeState::new(epoch, bound));
        if state.epoch != epoch {
            *state = KeyRangeState::new(epoch, Duration::ZERO);
        }
        state
    }

    /// How many key ranges of a service wait for their owner's release.
    pub(super) fn count_moves(&self, service: &ServiceName) -> usize {
        self.states
            .iter()
            .filter(|((name, _), state)| {
                name == service && state.is_releasing && !state.is_released
            })
            .count()
    }
}
