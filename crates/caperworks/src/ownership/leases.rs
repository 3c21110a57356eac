//! Leases on key ranges: granted and renewed by the answers to heartbeats.
//!
//! Invariant kept here: the bound that the owner manager keeps of a lease is never before the end of
//! the lease by the instance's own clock, which counts from when the heartbeat was sent.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::map_items::KeyRangeOwner;
use crate::ownership::messages::{HeartbeatResponse, KeyRangeLease};
use crate::ownership::owner_manager::OwnerManager;
use crate::ownership::table::is_owner;
use crate::replicated_map::ReplicatedMap;

impl OwnerManager {
    /// Handles a heartbeat: renews the leases of the instance, and tells it what to release.
    ///
    /// The answer is empty for a service without key ranges.
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

    /// Renews the lease on one key range, or tells its owner to release it.
    fn respond_for_key_range(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        key_range: u32,
        owner: &KeyRangeOwner,
        response: &mut HeartbeatResponse,
    ) {
        let spans = self.spans;
        let lease = spans.lease * if self.grants_long_leases { 2 } else { 1 };
        let silence_is_release = self.infers_release;
        let is_taken_up = heartbeat.held_key_ranges.contains(&key_range);
        let state = self.state(&heartbeat.service, key_range, owner.epoch);
        state.latest_heartbeat = state.latest_heartbeat.max(heartbeat.counter);
        if state.is_given_up() {
            state.handle_release(key_range, heartbeat, silence_is_release);
            response.release.push(KeyRangeLease {
                key_range,
                epoch: owner.epoch,
                left: Duration::ZERO,
                handover: None,
            });
        } else if state.renew(now, is_taken_up, lease, &spans) {
            response.leases.push(KeyRangeLease {
                key_range,
                epoch: owner.epoch,
                left: lease,
                handover: owner.handover.clone().filter(|_| !is_taken_up),
            });
        }
    }
}
