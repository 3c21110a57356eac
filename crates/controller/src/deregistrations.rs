//! Deregistrations of instances: recorded in memory, written to disk, and merged among the controllers.
//!
//! An instance deregisters once. So that the acknowledgement outlasts a kill or a power loss of all controllers
//! and the loss of disks that the options allow for, enough controllers sync it first. Invariant: a quorum read
//! brings every deregistration that was acknowledged before it began, since a majority of the voters confirmed
//! that deregistration and a majority answers the quorum read. Leases are granted from quorum reads only, so no
//! follower gets one from a controller that lacks an acknowledged deregistration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use crate::state_machine::event::{DeregistrationSource, Event};
use crate::state_machine::output::ControllerOutput;
use caperworks::consensus::messages::Record;
use caperworks::deregistrations::{DeregistrationDigest, ReceivedDeregistration};
use caperworks::identifiers::{InstanceId, NodeId, Version};
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, VOTERS};

/// Part of a slot that deregistrations may take; beyond it no call is acknowledged. A state that is too large for
/// its slot would stop this controller from voting.
const MAX_SLOT_FRACTION: u64 = 16;
/// Maximum length of an instance ID that can deregister, in bytes.
const MAX_INSTANCE_ID_BYTES: usize = 128;
/// Number of forgotten deregistrations that are removed from disk by one write.
const FORGOTTEN_BATCH: usize = 64;
/// Time after which forgotten deregistrations are removed from disk even if they are few.
const FORGOTTEN_INTERVAL: Duration = Duration::from_secs(10);

/// What of the deregistrations is not in the shared set of instances.
#[derive(Debug, Clone, Default)]
pub struct DeregistrationStorage {
    /// Those on disk at the start, until the first input sets the time from which they are remembered.
    pub recovered: Vec<InstanceId>,
    /// Those that are forgotten in memory and still on disk.
    pub forgotten: Vec<InstanceId>,
    /// When those are next removed from disk.
    pub remove_forgotten_at: Duration,
    /// The version of the voters of whom a majority's were last merged.
    pub merged_under: Option<Version>,
    /// The same for each other controller, as it last reported once it had synced them.
    pub reported_merges: BTreeMap<NodeId, Version>,
}

/// Returns whether this controller may record and confirm the deregistration of an instance.
///
/// What others have acknowledged is recorded in any case: it is limited at them.
pub fn can_record(state: &ControllerState, id: &InstanceId) -> bool {
    let known = state.instances.deregistrations();
    let max_bytes = state.options.slot_capacity / MAX_SLOT_FRACTION;
    let has_space = (known.max_stored_bytes() as u64) < max_bytes || known.contains(id);
    has_space && id.as_str().len() <= MAX_INSTANCE_ID_BYTES
}

/// Records the deregistrations that were on disk at the start.
///
/// The time that passed since is unknown, so they are remembered anew from now on.
pub fn restore(state: &mut ControllerState) {
    for id in std::mem::take(&mut state.deregistration_storage.recovered) {
        let received = ReceivedDeregistration {
            id,
            age: Duration::ZERO,
        };
        record_in_memory(state, &received, DeregistrationSource::Disk);
    }
}

/// Records a deregistration, and writes it to disk. The outputs are released once it is synced.
pub fn record(
    state: &mut ControllerState,
    received: &ReceivedDeregistration,
    source: DeregistrationSource,
    outputs: Vec<ControllerOutput>,
) {
    record_in_memory(state, received, source);
    if state.injects(FaultInjection::UnsyncedDeregistrations) {
        state.outputs.extend(outputs);
    } else {
        state.write_deregistrations(vec![received.id.clone()], outputs);
    }
}

/// Records the deregistrations that another node reported, and writes those to disk that were not known.
pub fn merge(
    state: &mut ControllerState,
    from: SocketAddr,
    received: impl IntoIterator<Item = ReceivedDeregistration>,
) {
    let source = DeregistrationSource::Peer(from);
    let new: Vec<InstanceId> = received
        .into_iter()
        .filter(|received| record_in_memory(state, received, source))
        .map(|received| received.id)
        .collect();
    if !new.is_empty() && !state.injects(FaultInjection::UnsyncedDeregistrations) {
        state.write_deregistrations(new, Vec::new());
    }
}

/// Returns whether the deregistration was not known yet.
fn record_in_memory(
    state: &mut ControllerState,
    received: &ReceivedDeregistration,
    source: DeregistrationSource,
) -> bool {
    let is_new = state.instances.handle_deregistration(state.now, received);
    if is_new {
        let id = received.id.clone();
        state.log_event(Event::InstanceDeregistered { id, source });
    }
    is_new
}

/// Forgets old deregistrations, and removes them from disk in batches.
pub fn forget_old(state: &mut ControllerState) {
    let forgotten = state.instances.forget_old_deregistrations(state.now);
    let storage = &mut state.deregistration_storage;
    storage.forgotten.extend(forgotten);
    let is_due = state.now >= storage.remove_forgotten_at;
    let is_full = storage.forgotten.len() >= FORGOTTEN_BATCH;
    if storage.forgotten.is_empty() || !(is_due || is_full) {
        return;
    }
    storage.remove_forgotten_at = state.now + FORGOTTEN_INTERVAL;
    // An instance may have deregistered again since.
    let mut ids = std::mem::take(&mut storage.forgotten);
    ids.retain(|id| !state.instances.has_deregistered(id));
    state.write_records(&[Record::DeregistrationsForgotten { ids }], Vec::new());
}

/// Returns the digest that a quorum read carries, if any deregistration is known.
pub fn digest(state: &ControllerState) -> Option<DeregistrationDigest> {
    let known = state.instances.deregistrations();
    (!known.is_empty()).then(|| known.digest())
}

/// Returns the deregistrations to report to a node that knows the ones with this digest, if it lacks any.
pub fn report_to(
    state: &ControllerState,
    known: Option<DeregistrationDigest>,
) -> Option<Vec<ReceivedDeregistration>> {
    let deregistrations = state.instances.deregistrations();
    let differs = known.unwrap_or_default() != deregistrations.digest();
    (differs && !deregistrations.is_empty()).then(|| deregistrations.after(state.now, 0))
}

/// Records that the deregistrations of a majority of the voters are merged.
pub fn record_merged_majority(state: &mut ControllerState) {
    state.deregistration_storage.merged_under = Some(voters_version(state));
}

/// Returns the version of the membership in which the voters last changed.
fn voters_version(state: &ControllerState) -> Version {
    state.map(MapName::Membership).item_version(VOTERS)
}

/// Returns the version of the voters of whom a majority's deregistrations were last merged, once they are synced as
/// well.
pub fn merged_and_synced_under(state: &ControllerState) -> Option<Version> {
    let merged_under = state.deregistration_storage.merged_under;
    merged_under.filter(|_| !state.storage.has_unsynced_deregistration())
}

/// Records what another node reported as merged and synced.
pub fn record_reported_merge(state: &mut ControllerState, from: NodeId, under: Option<Version>) {
    let reported = &mut state.deregistration_storage.reported_merges;
    match under {
        Some(version) => reported.insert(from, version),
        None => reported.remove(&from),
    };
}

/// Returns whether a node may become a voter: it has merged and synced the deregistrations of a majority of the
/// present voters, or there is none.
///
/// Otherwise a majority with it might lack a deregistration that a replaced voter had confirmed.
pub fn has_merged(state: &ControllerState, node: NodeId) -> bool {
    let present = voters_version(state);
    let storage = &state.deregistration_storage;
    let has_merged_here = storage.merged_under.is_some_and(|under| under >= present);
    let none_exists = has_merged_here && state.instances.deregistrations().is_empty();
    let reported = storage.reported_merges.get(&node);
    none_exists || reported.is_some_and(|under| *under >= present)
}

/// Creates the message by which a controller confirms that a deregistration is on its disk.
pub fn synced_confirmation(to: SocketAddr, number: u64) -> ControllerOutput {
    let message = Message::FactConfirmed {
        number,
        synced: Some(true),
    };
    ControllerOutput::Send { to, message }
}
