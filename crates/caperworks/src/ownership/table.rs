//! The table of key ranges: which key belongs to which range, and which instance should own a range.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::{Heartbeat, InstanceState};
use crate::identifiers::{stable_hash, Epoch, InstanceId, ServiceName};
use crate::map_items::{KeyRangeOwner, KeyRangeTable};
use crate::ownership::owner_manager::OwnershipView;

/// Returns the key range that a key belongs to, by its hash.
pub fn key_range_of_hash(key: &str, key_ranges: u32) -> u32 {
    (stable_hash(key) % u64::from(key_ranges.max(1))) as u32
}

/// Returns the instances that may own key ranges of a service: those in open zones that do not drain.
pub(super) fn candidates<'view>(
    service: &ServiceName,
    view: &OwnershipView<'view>,
) -> Vec<&'view Heartbeat> {
    let instances = view.instances.iter();
    instances
        .filter(|heartbeat| is_candidate(service, view, heartbeat))
        .collect()
}

/// Returns whether the instance with this heartbeat may own key ranges of a service.
pub(super) fn is_candidate(
    service: &ServiceName,
    view: &OwnershipView<'_>,
    heartbeat: &Heartbeat,
) -> bool {
    heartbeat.service == *service
        && heartbeat.state != InstanceState::Draining
        && !view.closed.contains(&heartbeat.zone)
}

/// Returns the highest epoch that was ever assigned for a service.
pub(super) fn highest_epoch(table: &KeyRangeTable) -> Epoch {
    let owners = table.owners.iter().flatten();
    let highest = owners.map(|owner| owner.epoch).max().unwrap_or_default();
    highest.max(table.epoch)
}

/// Returns the instance that should own each key range, by rendezvous hashing with a bound on how many
/// key ranges one instance may own.
///
/// An instance that is warming up keeps what it owns, but gets nothing new while a warm one is below
/// the bound. The bound keeps the first instance that is warm after a restart of all instances from
/// getting every key range.
pub(super) fn targets<'view>(
    service: &ServiceName,
    owners: &[Option<KeyRangeOwner>],
    candidates: &[&'view Heartbeat],
    warm_up_period: Duration,
) -> Vec<Option<&'view Heartbeat>> {
    if candidates.is_empty() {
        return vec![None; owners.len()];
    }
    let limit = (owners.len() * 5).div_ceil(candidates.len() * 4).max(1);
    let mut assigned: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    owners
        .iter()
        .enumerate()
        .map(|(key_range, owner)| {
            let target = candidates
                .iter()
                .filter(|candidate| assigned.get(&candidate.id).copied().unwrap_or(0) < limit)
                .min_by_key(|candidate| {
                    let owns = owner
                        .as_ref()
                        .is_some_and(|owner| is_owner(owner, candidate));
                    let is_warming_up = candidate.is_warming_up(warm_up_period) && !owns;
                    let weight = stable_hash(&format!("{service} {key_range} {}", candidate.id));
                    (is_warming_up, Reverse(weight))
                })?;
            *assigned.entry(&target.id).or_default() += 1;
            Some(*target)
        })
        .collect()
}

/// Returns whether a heartbeat is from the owner, in the same incarnation.
pub(super) fn is_owner(owner: &KeyRangeOwner, heartbeat: &Heartbeat) -> bool {
    owner.instance == heartbeat.id && owner.incarnation == heartbeat.incarnation
}

impl KeyRangeTable {
    /// Returns whether a heartbeat is from the owner of a key range.
    pub fn has_owner(&self, heartbeat: &Heartbeat) -> bool {
        let mut owners = self.owners.iter().flatten();
        owners.any(|owner| is_owner(owner, heartbeat))
    }
}
