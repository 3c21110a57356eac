//! Reads of the configuration by read index: a read is answered from a replica that holds what a
//! majority of the voters held in a quorum read that began after the read arrived.
//!
//! Every change that was accepted before the read arrived is held by one voter of each majority, so
//! the quorum read tells of it, whatever happened to this controller before. A lease is no substitute: a
//! controller that was cut off a moment ago still has one.

use std::time::Duration;

use crate::agents;
use crate::consensus::quorum_reads;
use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::configuration::check_configuration;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::replicated_map::{Change, MapName};

/// How long a read waits for its quorum read and for what that tells of.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Reads that come closer together than this share a quorum read.
const QUORUM_READ_SPACING: Duration = Duration::from_millis(25);

/// What is answered once the replica is known to be the latest.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadKind {
    /// The complete configuration.
    Configuration,
    /// What is wrong with a change, which is not applied.
    Check {
        /// The change.
        change: Change,
    },
}

/// A read that waits for its quorum read.
#[derive(Debug, Clone)]
struct PendingRead {
    ticket: u64,
    kind: ReadKind,
    /// The number of the first quorum read that began after the read arrived.
    quorum_read: u64,
    /// When the read is rejected.
    until: Duration,
}

/// The reads that wait for their quorum read.
#[derive(Debug, Clone, Default)]
pub struct Reads {
    pending: Vec<PendingRead>,
    /// When the last quorum read for reads began.
    last_begun: Option<Duration>,
    /// Whether a read waits for a quorum read that has not begun yet.
    is_quorum_read_wanted: bool,
}

/// Takes a read in; it is answered as soon as its quorum read has ended.
///
/// It is rejected at once while no majority is heard, and without a membership: whoever knows no voters
/// has nothing to read.
pub fn begin_read(state: &mut ControllerState, ticket: u64, kind: ReadKind) {
    match state.options.fault_injection {
        FaultInjection::ReadsWithoutQuorum => {
            respond(state, ticket, kind);
            return;
        }
        FaultInjection::EarlyQuorumReads if state.is_current(MapName::Configuration) => {
            respond(state, ticket, kind);
            return;
        }
        _ => {}
    }
    if state.lacks_quorum_contact() || state.voters().is_none() {
        reject(state, ticket);
        return;
    }
    let quorum_read = state.quorum_reads.next_number();
    state.reads.pending.push(PendingRead {
        ticket,
        kind,
        quorum_read,
        until: state.now + READ_TIMEOUT,
    });
    state.reads.is_quorum_read_wanted = true;
    begin_wanted_quorum_read(state);
}

/// Begins the quorum read that reads wait for, unless one was begun for others a moment ago.
fn begin_wanted_quorum_read(state: &mut ControllerState) {
    if !state.reads.is_quorum_read_wanted {
        return;
    }
    let is_due = state
        .reads
        .last_begun
        .is_none_or(|begun| state.now.saturating_sub(begun) >= QUORUM_READ_SPACING);
    if is_due {
        state.reads.is_quorum_read_wanted = false;
        quorum_reads::begin(state);
        state.reads.last_begun = Some(state.now);
    }
}

/// Answers the reads whose quorum read has ended, and rejects those that have waited too long.
pub fn respond_to_reads(state: &mut ControllerState) {
    if state.reads.pending.is_empty() {
        return;
    }
    begin_wanted_quorum_read(state);
    for read in std::mem::take(&mut state.reads.pending) {
        if is_answered_by(state, read.quorum_read) {
            respond(state, read.ticket, read.kind);
        } else if state.now >= read.until {
            reject(state, read.ticket);
        } else {
            state.reads.pending.push(read);
        }
    }
}

/// Whether a majority responded to this quorum read or a later one, and this controller holds what it told.
///
/// The membership counts too: a majority of voters that were replaced says nothing of what the present
/// ones accepted; one of them at least knows that it was replaced.
fn is_answered_by(state: &ControllerState, number: u64) -> bool {
    let Some(quorum_read) = state.quorum_reads.answered_since(number) else {
        return false;
    };
    [MapName::Configuration, MapName::Membership]
        .iter()
        .all(|name| quorum_read.versions[name.index()] <= state.map(*name).version)
}

/// Answers a read from the local replica. The configuration is shown only once enough agents hold it: a
/// read must not show as accepted what operators could not be told of as accepted.
fn respond(state: &mut ControllerState, ticket: u64, kind: ReadKind) {
    match kind {
        ReadKind::Configuration => {
            let map = state.map(MapName::Configuration).clone();
            let version = map.version;
            let response = OperatorResponse::Configuration { map };
            let otherwise = OperatorResponse::NotCurrent;
            agents::respond_when_acknowledged(state, ticket, version, response, otherwise);
        }
        ReadKind::Check { change } => {
            let faults = check_configuration(state.map(MapName::Configuration), &change);
            let response = OperatorResponse::ProposalOutcome {
                proposal_outcome: ProposalOutcome::Invalid(faults),
            };
            state.respond(ticket, response);
        }
    }
}

/// Sends the caller to another controller.
fn reject(state: &mut ControllerState, ticket: u64) {
    state.respond(ticket, OperatorResponse::NotCurrent);
}
