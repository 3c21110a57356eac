//! Operators' calls: changes, reads, watches and status.

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::proposals;
use crate::fault_injection::FaultInjection;
use crate::leadership::voter_management;
use crate::reads::ReadKind;
use crate::state::parts::{ProposalOrigin, Watcher};
use crate::state::ControllerState;
use crate::state_machine::operator_messages::{ControllerStatus, OperatorCall, OperatorResponse};
use crate::{agents, reads};
use caperworks::change_check::ChangeCheck;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::Version;
use caperworks::leadership::LEADERSHIPS;
use caperworks::map_items::Value;
use caperworks::replicated_map::{Change, Guard, MapName, Put};

/// Age from which a change without a version is rejected. Callers switch to another controller when there is
/// no response within one second, so a younger change still has a caller that waits for the response.
const MAX_UNVERSIONED_CHANGE_AGE: Duration = Duration::from_millis(700);

/// A change without a version of its own, such as the evacuation of a zone, while it is in flight.
#[derive(Debug, Clone)]
pub struct UnversionedChange {
    change: Change,
    received_at: Duration,
}

impl UnversionedChange {
    fn is_too_old(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) >= MAX_UNVERSIONED_CHANGE_AGE
    }
}

/// Handles an operator's call. `received_at` is when the head of the request was read.
///
/// The response is an output with the same ticket, returned with this input or a later one.
pub fn handle_call(
    state: &mut ControllerState,
    ticket: u64,
    call: OperatorCall,
    received_at: Duration,
) {
    match call {
        OperatorCall::Apply { change } => apply(state, ticket, change, received_at),
        OperatorCall::Check { change } => {
            reads::begin_read(state, ticket, ReadKind::Check { change });
        }
        OperatorCall::Read => reads::begin_read(state, ticket, ReadKind::Configuration),
        OperatorCall::Watch { after, wait } => {
            let until = state.now + wait;
            state.watchers.push(Watcher {
                ticket,
                after,
                until,
            });
        }
        OperatorCall::RemoveAgents { agents } => remove_agents(state, ticket, &agents),
        OperatorCall::Status => {
            let status = Box::new(status(state));
            state.respond(ticket, OperatorResponse::Status { status });
        }
    }
}

fn respond_with_outcome(
    state: &mut ControllerState,
    ticket: u64,
    proposal_outcome: ProposalOutcome,
) {
    state.respond(
        ticket,
        OperatorResponse::ProposalOutcome { proposal_outcome },
    );
}

/// Proposes a configuration change.
///
/// A new change is rejected immediately if it could not be confirmed, so that the caller can try another
/// controller. A change that was accepted before is acknowledged regardless.
fn apply(state: &mut ControllerState, ticket: u64, change: Change, received_at: Duration) {
    if state.stopping_since.is_some() {
        state.respond(ticket, OperatorResponse::ShuttingDown);
        return;
    }
    if is_new(state, &change) {
        if !agents::can_confirm_changes(state) {
            respond_with_outcome(state, ticket, ProposalOutcome::TooFewAgents);
            return;
        }
        if state.has_lost_quorum_contact() {
            respond_with_outcome(state, ticket, ProposalOutcome::NoMajority);
            return;
        }
    }
    if is_unversioned(&change) && !state.injects(FaultInjection::UnfencedChanges) {
        let unversioned = UnversionedChange {
            change,
            received_at,
        };
        propose_fenced(state, ticket, unversioned);
        return;
    }
    propose(state, ticket, change);
}

fn propose(state: &mut ControllerState, ticket: u64, change: Change) {
    let origin = ProposalOrigin::Operator(ticket);
    state.propose(MapName::Configuration, origin, change);
    proposals::tick(state);
}

/// Returns whether a late duplicate of this call could undo a later one.
pub fn is_unversioned_call(call: &OperatorCall) -> bool {
    matches!(call, OperatorCall::Apply { change } if is_unversioned(change))
}

/// Returns whether a late duplicate of this change could undo a later one, because some item has neither the
/// version that its writer had read nor a version number of the operators.
fn is_unversioned(change: &Change) -> bool {
    change.puts.iter().any(is_unversioned_put)
}

fn is_unversioned_put(put: &Put) -> bool {
    put.expected.is_none() && put.written.is_none()
}

/// Proposes a change without a version, guarded by the current versions of its items.
///
/// If a caller timed out and sent the change to another controller, the original must not take effect after
/// the caller's later changes. It is rejected if it is too old, and the guards reject it if any of its items
/// has changed in the meantime.
fn propose_fenced(state: &mut ControllerState, ticket: u64, unversioned: UnversionedChange) {
    if unversioned.is_too_old(state.now) {
        respond_with_outcome(state, ticket, ProposalOutcome::NoMajority);
        return;
    }
    let mut change = unversioned.change.clone();
    let configuration = state.map(MapName::Configuration);
    let fences = unversioned
        .change
        .puts
        .iter()
        .filter(|put| is_unversioned_put(put))
        .map(|put| Guard {
            key: put.key.clone(),
            expected: configuration.item_version(&put.key),
        });
    change.guards.extend(fences);
    state.unversioned_changes.insert(ticket, unversioned);
    propose(state, ticket, change);
}

/// Proposes a change without a version again if it conflicted with another change of its items while its
/// caller still waits. Returns whether it did.
pub fn retry_conflicting_change(
    state: &mut ControllerState,
    ticket: u64,
    proposal_outcome: &ProposalOutcome,
) -> bool {
    let Some(unversioned) = state.unversioned_changes.remove(&ticket) else {
        return false;
    };
    let is_conflict = matches!(proposal_outcome, ProposalOutcome::Conflicts(_));
    if !is_conflict || unversioned.is_too_old(state.now) {
        return false;
    }
    propose_fenced(state, ticket, unversioned);
    true
}

/// Proposes to remove these agents from the fallback members.
fn remove_agents(state: &mut ControllerState, ticket: u64, removed: &[SocketAddr]) {
    if state.stopping_since.is_some() {
        state.respond(ticket, OperatorResponse::ShuttingDown);
        return;
    }
    match agents::fallback_members_without(state, removed) {
        Ok(fallback_members) => {
            let value = Value::FallbackMembers { fallback_members };
            let change = voter_management::fallback_members_change(state, value);
            let origin = ProposalOrigin::FallbackMembers(ticket);
            state.propose(MapName::Membership, origin, change);
            proposals::tick(state);
        }
        Err(faults) => respond_with_outcome(state, ticket, ProposalOutcome::Invalid(faults)),
    }
}

/// Returns whether a change has not been accepted before.
fn is_new(state: &ControllerState, change: &Change) -> bool {
    !matches!(
        state.map(MapName::Configuration).check_change(change),
        ChangeCheck::Repeat(_)
    )
}

fn status(state: &ControllerState) -> ControllerStatus {
    let membership = state.map(MapName::Membership);
    ControllerStatus {
        node: state.node,
        zone: state.options.zone.clone(),
        versions: state.versions(),
        is_current: state.is_current(MapName::Configuration),
        is_disk_failing: state.storage.is_failing(),
        voters: membership
            .voters()
            .iter()
            .flat_map(|voters| &voters.entries)
            .map(|voter| {
                let is_alive =
                    voter.node == state.node || state.liveness.is_alive(state.now, voter.node);
                (voter.clone(), is_alive)
            })
            .collect(),
        leaderships: LEADERSHIPS
            .map(|name| (name, membership.leadership(name).cloned()))
            .to_vec(),
        members: state.members.iter().cloned().collect(),
        instances: state.instances.iter().cloned().collect(),
        mapping: state.map(MapName::Placement).mapping().cloned(),
        fallback_members: agents::fallback_members_with_reachability(state),
        confirmed_version: state.confirmed_version,
    }
}

/// Returns an update restricted to changes up to a version, or `None` for a snapshot of a later version.
fn update_up_to(update: ConsensusMessage, version: Version) -> Option<ConsensusMessage> {
    match update {
        ConsensusMessage::Updates { map, mut changes } => {
            changes.retain(|committed| committed.version <= version);
            Some(ConsensusMessage::Updates { map, changes })
        }
        ConsensusMessage::Snapshot { map, full_map } if full_map.version <= version => {
            Some(ConsensusMessage::Snapshot { map, full_map })
        }
        _ => None,
    }
}

/// Responds to watches for which there are changes, and to those that have waited long enough.
///
/// The responses include no changes beyond the version that may be reported to operators as accepted.
pub fn respond_to_watchers(state: &mut ControllerState) {
    if state.watchers.is_empty() {
        return;
    }
    let now = state.now;
    let is_current = state.has_quorum_contact();
    let configuration = state.map(MapName::Configuration);
    let version = configuration.version.min(state.confirmed_version);
    let (ready, waiting): (Vec<Watcher>, Vec<Watcher>) = std::mem::take(&mut state.watchers)
        .into_iter()
        .partition(|watcher| watcher.after < version || now >= watcher.until);
    state.watchers = waiting;
    for watcher in ready {
        let update = state
            .voter
            .updates_after(MapName::Configuration, watcher.after)
            .and_then(|update| update_up_to(update, version));
        let response = OperatorResponse::Changes {
            version,
            update,
            is_current,
        };
        state.respond(watcher.ticket, response);
    }
}
