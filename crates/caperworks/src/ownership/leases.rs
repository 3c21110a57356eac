//! Leases on key ranges: granted and renewed by the responses to heartbeats.
//!
//! Invariant kept here: the expiry that the owner manager records for a lease is never earlier than the
//! expiry by the instance's own clock, which counts from when the heartbeat was sent.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::map_items::KeyRangeOwner;
use crate::ownership::messages::{HeartbeatResponse, KeyRangeLease};
use crate::ownership::owner_manager::OwnerManager;
use crate::ownership::table::is_owner;
use crate::replicated_map::ReplicatedMap;

impl OwnerManager {
    /// Handles a heartbeat: renews the leases of the instance, and lists the key ranges that it has
    /// to release.
    ///
    /// The response has no leases for a service without key ranges.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ownership: &ReplicatedMap,
    ) -> HeartbeatResponse {
        let mut response = HeartbeatResponse {
            by_owner_manager: true,
            ..HeartbeatResponse::default()
        };
        let Some(table) = ownership.key_ranges(&heartbeat.service) else {
            return response;
        };
        response.fence = table.epoch;
        for (key_range, owner) in table.owners.iter().enumerate() {
            if let Some(owner) = owner.as_ref().filter(|owner| is_owner(owner, heartbeat)) {
                self.respond_for_key_range(now, heartbeat, key_range as u32, owner, &mut response);
            }
        }
        response
    }

    /// Renews the lease on one key range, or requests its release.
    fn respond_for_key_range(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        key_range: u32,
        owner: &KeyRangeOwner,
        response: &mut HeartbeatResponse,
    ) {
        let timings = self.timings;
        let lease = timings.lease * if self.grants_long_leases { 2 } else { 1 };
        let absence_is_release = self.infers_release;
        let is_accepted = heartbeat.key_ranges_in_use.contains(&key_range);
        let state = self.state(&heartbeat.service, key_range, owner.epoch);
        state.latest_heartbeat = state.latest_heartbeat.max(heartbeat.counter);
        if state.is_retired() {
            state.handle_release(now, key_range, heartbeat, absence_is_release);
            response.release.push(KeyRangeLease {
                key_range,
                epoch: owner.epoch,
                duration: Duration::ZERO,
                handover: None,
            });
        } else if state.renew(now, is_accepted, lease, &timings) {
            response.leases.push(KeyRangeLease {
                key_range,
                epoch: owner.epoch,
                duration: lease,
                handover: owner.handover.clone().filter(|_| !is_accepted),
            });
        }
    }
}
