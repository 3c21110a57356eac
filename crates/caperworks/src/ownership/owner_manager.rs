//! The owner manager: the state of the controller that leads the owner manager role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::{Epoch, ServiceName, Zone};
use crate::instances::Instances;
use crate::ownership::key_range_state::KeyRangeState;
use crate::ownership::periods::OwnerManagerTimings;
use crate::replicated_map::ReplicatedMap;

/// The owner manager. At most one controller acts as it, under a term of the leadership role.
///
/// Its state is rebuilt in each term; owners and epochs, which must survive, are in the ownership map.
#[derive(Debug, Clone, Default)]
pub struct OwnerManager {
    states: BTreeMap<(ServiceName, u32), KeyRangeState>,
    /// Until when leases that were granted in earlier terms may be valid.
    earlier_leases_until: Duration,
    /// The time bounds.
    pub timings: OwnerManagerTimings,
    /// Fault injection, to prove the invariant checkers: moves key ranges before a lease has expired.
    pub skips_lease_wait: bool,
    /// Fault injection, to prove the invariant checkers: takes an announced termination for the end of
    /// the instance's leases.
    pub ends_leases_on_termination: bool,
    /// Fault injection, to prove the invariant checkers: treats a heartbeat that does not list a key
    /// range as a report of its release.
    pub infers_release: bool,
    /// Fault injection, to prove the invariant checkers: grants leases that are too long.
    pub grants_long_leases: bool,
}

/// The input from which the owner manager plans.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipView<'view> {
    /// The known instances.
    pub instances: &'view Instances,
    /// The zones that operators have closed.
    pub closed: &'view BTreeSet<Zone>,
    /// The ownership map.
    pub ownership: &'view ReplicatedMap,
}

impl OwnerManager {
    /// Starts a term, or continues one after a restart. Leases that were granted before, by this node or
    /// another, may be valid until the wait is over.
    pub fn start_term(&mut self, now: Duration) {
        self.states.clear();
        self.earlier_leases_until = now + self.timings.wait;
    }

    /// Returns the state of a key range under an epoch. A key range that is seen for the first time in
    /// this term may have been leased out in an earlier one; a new epoch was assigned in this term and
    /// is not leased out yet.
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

    /// Counts the key ranges of a service that wait for their owner to release them.
    pub(super) fn count_moves(&self, service: &ServiceName) -> usize {
        self.states
            .iter()
            .filter(|((name, _), state)| {
                name == service && state.is_releasing && !state.is_released()
            })
            .count()
    }
}
