//! Linearizable reads of the configuration with a read index: a read is served from the local replica once
//! that has all versions that a majority of the voters reported in a quorum read begun after the read arrived.
//!
//! Every change that was accepted before the read arrived is known to at least one voter of each majority, so
//! the quorum read reports it, whatever happened to this controller before. A lease is not sufficient: a
//! controller that was partitioned a moment ago still has one.

use std::time::Duration;

use crate::agents;
use crate::consensus::quorum_reads;
use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::configuration::check_configuration;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::replicated_map::{Change, MapName};

/// Time that a read waits for its quorum read and for the versions that it reports.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum interval between quorum reads for reads. Reads that arrive within it share a quorum read.
const MIN_QUORUM_READ_INTERVAL: Duration = Duration::from_millis(25);

/// What a read returns once the local replica is known to be up to date.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadKind {
    /// The complete configuration.
    Configuration,
    /// The faults of a change, which is not applied.
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
    /// When the read times out.
    until: Duration,
}

/// The reads that wait for their quorum reads.
#[derive(Debug, Clone, Default)]
pub struct Reads {
    pending: Vec<PendingRead>,
    /// When the last quorum read on behalf of a read began.
    last_begun: Option<Duration>,
    /// Whether a read waits for a quorum read that has not begun yet.
    is_quorum_read_wanted: bool,
}

/// Begins a read, which is served as soon as its quorum read has completed.
///
/// It is rejected immediately if no majority is reachable, or if this controller knows no membership.
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
    if state.has_lost_quorum_contact() || state.voters().is_none() {
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

/// Begins the quorum read that reads wait for, unless the last one began too recently.
fn begin_wanted_quorum_read(state: &mut ControllerState) {
    if !state.reads.is_quorum_read_wanted {
        return;
    }
    let is_due = state
        .reads
        .last_begun
        .is_none_or(|begun| state.now.saturating_sub(begun) >= MIN_QUORUM_READ_INTERVAL);
    if is_due {
        state.reads.is_quorum_read_wanted = false;
        quorum_reads::begin(state);
        state.reads.last_begun = Some(state.now);
    }
}

/// Responds to the reads whose quorum read has completed, and rejects those that timed out.
pub fn respond_to_reads(state: &mut ControllerState) {
    if state.reads.pending.is_empty() {
        return;
    }
    begin_wanted_quorum_read(state);
    for read in std::mem::take(&mut state.reads.pending) {
        if is_satisfied_by(state, read.quorum_read) {
            respond(state, read.ticket, read.kind);
        } else if state.now >= read.until {
            reject(state, read.ticket);
        } else {
            state.reads.pending.push(read);
        }
    }
}

/// Returns whether a majority responded to this quorum read or a later one, and this controller has the
/// versions that it reported.
///
/// The membership must be up to date too: voters that were replaced do not know what the current voters have
/// accepted, but at least one of a majority of them knows that they were replaced.
fn is_satisfied_by(state: &ControllerState, number: u64) -> bool {
    let Some(quorum_read) = state.quorum_reads.completed_since(number) else {
        return false;
    };
    [MapName::Configuration, MapName::Membership]
        .iter()
        .all(|name| quorum_read.versions[name.index()] <= state.map(*name).version)
}

/// Responds to a read from the local replica. The configuration is returned only once enough agents have it:
/// a read must not show a change that has not been confirmed to operators.
fn respond(state: &mut ControllerState, ticket: u64, kind: ReadKind) {
    match kind {
        ReadKind::Configuration => {
            let map = state.map(MapName::Configuration).clone();
            let version = map.version;
            let response = OperatorResponse::Configuration { map };
            let response_on_timeout = OperatorResponse::NotCurrent;
            agents::respond_when_confirmed(state, ticket, version, response, response_on_timeout);
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

/// Rejects a read, so that the caller tries another controller.
fn reject(state: &mut ControllerState, ticket: u64) {
    state.respond(ticket, OperatorResponse::NotCurrent);
}
