//! Founding of the membership: the first seed proposes all seeds as voters once each of them has reported
//! that it knows no membership. The founding takes effect once every seed has synced it to disk.
//!
//! Invariant: there is at most one founding. If some seeds founded a membership while others remember an
//! older one, the cluster would be forked. So all seeds must take part, and only controllers whose settings
//! allowed it when they were started with an empty disk: a disk that is found empty later has lost its data, and
//! the membership still exists elsewhere. That a controller may take part is on its disk before it sends or
//! answers anything about the founding, so that it goes on with it after a restart, whose settings no longer
//! allow it.
//!
//! A seed without that on its disk, because it was killed too early or lost its disk, may take part as well once the
//! other seeds show that no founding took effect: one that has accepted none shows it, as all have to; and so do
//! all others together if none knows a membership, as they are a majority of the voters of any founding. What
//! they report counts only in messages to this process, so that its own earlier incarnation sent nothing later. A
//! commit of the founding counts only if it is the one that was accepted here last, as it may have waited in a
//! socket of a frozen process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::snapshot_transfer;
use crate::fault_injection::FaultInjection;
use crate::state::parts::KnownController;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::identifiers::{ChangeId, NodeId, Version, Zone};
use caperworks::map_items::{Value, VoterEntry, VoterSet};
use caperworks::messages::{Founding, FoundingEvidence, Message};
use caperworks::replicated_map::{Change, MapName, Put, ALL_MAPS, VOTERS};

/// Interval between requests to the other controllers while this one knows no membership or is not a voter.
const SEED_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Sends seed requests to the other controllers until this one is a voter, and proposes the founding once
/// all seeds have reported that they know no membership.
pub fn tick(state: &mut ControllerState) {
    if state.now < state.founding.next_request_at {
        return;
    }
    if is_permission_unsynced(state) {
        return;
    }
    state.founding.next_request_at = state.now + SEED_REQUEST_INTERVAL;
    if !state.is_founded() || !state.is_voter() {
        send_seed_requests(state);
    }
    request_permission_from_evidence(state);
    if let Some(voters) = founding_voters(state) {
        propose_founding(state, voters);
    }
}

/// Returns whether this controller may take part in the founding, and a restart would not know it yet.
fn is_permission_unsynced(state: &ControllerState) -> bool {
    state.founding.may_found && !state.is_founded() && !state.storage.has_synced_slot()
}

/// Sends a seed request to every known controller, because the voter manager need not be one of the seeds.
fn send_seed_requests(state: &mut ControllerState) {
    let founded = state.is_founded();
    let evidence = own_evidence(state);
    for controller in state.other_controllers() {
        let zone = state.options.zone.clone();
        let request = Message::SeedRequest {
            zone,
            founded,
            evidence,
        };
        state.send(controller, request);
    }
}

/// Returns what this controller's disk shows of the founding, if it may take part and knows no membership.
fn own_evidence(state: &ControllerState) -> Option<FoundingEvidence> {
    let may_found = state.founding.may_found && !state.is_founded();
    may_found.then_some(match &state.founding.proposed {
        None => FoundingEvidence::NothingAccepted,
        Some(Founding { attempt, voters }) => match voters.entries.is_empty() {
            true => FoundingEvidence::Admitted { attempt: *attempt },
            false => FoundingEvidence::Accepted { attempt: *attempt },
        },
    })
}

/// Takes part in the founding from now on if this controller is a seed without permission, and the other seeds show
/// that no founding took effect.
fn request_permission_from_evidence(state: &mut ControllerState) {
    if state.is_founded() || state.founding.may_found {
        return;
    }
    if !others_exclude_a_founding(state) && !state.injects(FaultInjection::FoundsWithoutEvidence) {
        return;
    }
    state.founding.may_found = true;
    // An attempt without voters: it takes no effect, but stands on disk for the admission.
    state.founding.proposed = Some(Founding {
        attempt: latest_attempt(state),
        voters: VoterSet {
            entries: Vec::new(),
        },
    });
    state.write_slot(Vec::new());
}

/// Returns whether this controller is a seed, and the other seeds show that no founding took effect.
fn others_exclude_a_founding(state: &ControllerState) -> bool {
    let own = state.options.control;
    let seeds = &state.options.seeds;
    if !seeds.contains(&own) {
        return false;
    }
    let others: Vec<Option<FoundingEvidence>> = seeds
        .iter()
        .filter(|seed| **seed != own)
        .map(|seed| state.known_controllers.get(seed)?.evidence)
        .collect();
    let is_majority = others.len() * 2 > seeds.len();
    let is_unfounded = |evidence: &Option<FoundingEvidence>| {
        matches!(
            evidence,
            Some(FoundingEvidence::NothingAccepted | FoundingEvidence::Accepted { .. })
        )
    };
    let is_any_unaccepted = others.contains(&Some(FoundingEvidence::NothingAccepted));
    is_any_unaccepted || (is_majority && others.iter().all(is_unfounded))
}

/// Returns whether a message commits another founding than the one that was accepted here last.
pub fn is_commit_of_another(state: &ControllerState, message: &ConsensusMessage) -> bool {
    let ConsensusMessage::Commit {
        map: MapName::Membership,
        version: Version(1),
        change,
    } = message
    else {
        return false;
    };
    if state.injects(FaultInjection::AnyFoundingCommit) {
        return false;
    }
    let proposed = state.founding.proposed.as_ref();
    !state.is_founded() && proposed.is_none_or(|founding| change.id != change_id(founding))
}

fn change_id(founding: &Founding) -> ChangeId {
    ChangeId::new(format!("founding-{:x}", founding.attempt))
}

/// Returns the voters to propose if this controller is the first seed and no seed knows a membership.
fn founding_voters(state: &ControllerState) -> Option<VoterSet> {
    let seeds = &state.options.seeds;
    let is_first = seeds.first() == Some(&state.options.control);
    if state.is_founded() || !state.founding.may_found || !is_first {
        return None;
    }
    let entry = |node: NodeId, address: SocketAddr, zone: &Zone| VoterEntry {
        node,
        address,
        zone: zone.clone(),
        controller: true,
    };
    let own = entry(state.node, state.options.control, &state.options.zone);
    let others = seeds
        .iter()
        .filter_map(|seed| Some((seed, state.known_controllers.get(seed)?)))
        .filter(|(_, seen)| !seen.founded)
        .map(|(address, seen)| entry(seen.node, *address, &seen.zone));
    let entries: Vec<VoterEntry> = std::iter::once(own).chain(others).collect();
    (entries.len() == seeds.len()).then_some(VoterSet { entries })
}

/// Proposes the founding with these voters: the last attempt again if it had the same, so that slow disks have time
/// to accept it, or else a new one.
fn propose_founding(state: &mut ControllerState, voters: VoterSet) {
    let latest = latest_attempt(state);
    let accepted = state.founding.proposed.clone();
    let accepted = accepted.filter(|last| last.voters == voters && last.attempt == latest);
    let founding = accepted.unwrap_or_else(|| Founding {
        attempt: next_attempt(state, latest),
        voters,
    });
    for seed in state.options.seeds.clone() {
        let founding = founding.clone();
        state.send(seed, Message::FoundingRequest { founding });
    }
}

/// Returns the latest attempt that any seed is known to have accepted; zero if there is none.
fn latest_attempt(state: &ControllerState) -> u64 {
    let own = state.founding.proposed.as_ref();
    let own = own.map(|founding| founding.attempt);
    let others = state.known_controllers.values();
    let others = others.filter_map(|seen| match seen.evidence {
        Some(FoundingEvidence::Accepted { attempt } | FoundingEvidence::Admitted { attempt }) => {
            Some(attempt)
        }
        _ => None,
    });
    others.chain(own).max().unwrap_or(0)
}

/// Returns the number of a new attempt. Its lower half is random, as an attempt that no seed is known to have accepted
/// may have the same upper half.
fn next_attempt(state: &mut ControllerState, latest: u64) -> u64 {
    let upper = (latest >> 32) + 1;
    (upper << 32) | (state.random.next_u64() >> 32)
}

/// Responds to another controller's seed request, and records that controller.
///
/// This is how a controller at a new address is discovered, and how a controller that lost its disk is
/// recognized as a different node at an old address. It waits to become a voter under its new node ID.
pub fn handle_seed_request(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    seen: KnownController,
) {
    state.known_controllers.insert(reply_to, seen);
    if is_permission_unsynced(state) {
        return;
    }
    let message = Message::SeedResponse {
        zone: state.options.zone.clone(),
        founded: state.is_founded(),
        evidence: own_evidence(state),
    };
    state.send(reply_to, message);
}

/// Records a controller, and starts catching up from it if it knows a membership and this one does not.
pub fn handle_seed_response(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    seen: KnownController,
) {
    let knows_membership = seen.founded;
    state.known_controllers.insert(reply_to, seen);
    if knows_membership && !state.is_founded() {
        for name in ALL_MAPS {
            snapshot_transfer::begin_catch_up(state, reply_to, name, Version(1));
        }
    }
}

/// Accepts a founding that names this node, and responds once it is synced to disk.
///
/// A node that already knows a membership, is not allowed to found one, or has accepted a later attempt does not
/// respond: the proposer of the later one may have its response already.
pub fn handle_proposal(state: &mut ControllerState, reply_to: SocketAddr, founding: Founding) {
    let names_this_node = founding.voters.entry(state.node).is_some();
    if state.is_founded() || !names_this_node || !state.founding.may_found {
        return;
    }
    let accepted = state.founding.proposed.as_ref();
    let is_outdated = accepted.is_some_and(|accepted| founding.attempt < accepted.attempt);
    if is_outdated && !state.injects(FaultInjection::AcceptsEarlierFounding) {
        return;
    }
    let attempt = founding.attempt;
    state.founding.proposed = Some(founding);
    let reply = ControllerOutput::Send {
        to: reply_to,
        message: Message::FoundingResponse { attempt },
    };
    state.write_slot(vec![reply]);
}

/// Records that a node accepted the founding, and commits it to all voters once every one of them has.
pub fn handle_acceptance(state: &mut ControllerState, from: NodeId, attempt: u64) {
    if state.is_founded() {
        return;
    }
    let proposed = state.founding.proposed.clone();
    let Some(founding) = proposed.filter(|founding| founding.attempt == attempt) else {
        return;
    };
    let accepted_attempts = &mut state.founding.accepted_attempts;
    accepted_attempts.insert(from, attempt);
    let has_accepted =
        |voter: &VoterEntry| accepted_attempts.get(&voter.node) == Some(&founding.attempt);
    if founding.voters.entries.iter().all(has_accepted) {
        // A repeated response does not commit it again.
        state.founding.accepted_attempts.clear();
        commit_founding(state, &founding);
    }
}

fn commit_founding(state: &mut ControllerState, founding: &Founding) {
    let change = Change {
        id: change_id(founding),
        puts: vec![Put {
            key: VOTERS.to_string(),
            expected: Some(Version(0)),
            value: Some(Value::VoterSet {
                voters: founding.voters.clone(),
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    for voter in &founding.voters.entries {
        let message = ConsensusMessage::Commit {
            map: MapName::Membership,
            version: Version(1),
            change: change.clone(),
        };
        state.send(voter.address, Message::ConsensusMessage { message });
    }
    state.log_event(Event::Founded);
}
