//! Writing of the outcome of a proposed change.

use jzon::JsonValue;

use caperworks::configuration::Fault;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::Version;
use caperworks::replicated_map::{Conflict, TakenVersion};

/// The HTTP status and body of a response.
type StatusAndBody = (u16, JsonValue);

/// Writes the faults of a change set.
pub fn faults_json(faults: &[Fault]) -> JsonValue {
    faults
        .iter()
        .map(|fault| jzon::object! { field: fault.field.as_str(), why: fault.reason.as_str() })
        .collect::<Vec<JsonValue>>()
        .into()
}

/// Returns the HTTP status and body of the response to a proposed change.
///
/// The outcome `refused` means that nothing was applied. With the outcome `unknown`, the change may have been
/// applied, or may still be.
pub fn proposal_outcome_json(proposal_outcome: &ProposalOutcome) -> (u16, JsonValue) {
    match proposal_outcome {
        ProposalOutcome::Accepted(version) => (
            200,
            jzon::object! { outcome: "accepted", edition: version.0 },
        ),
        ProposalOutcome::Repeat(version) => (
            200,
            jzon::object! { outcome: "accepted", edition: version.0, repeat: true },
        ),
        ProposalOutcome::IdTaken(version) => id_taken(*version),
        ProposalOutcome::Conflicts(conflicts) => conflicting(conflicts),
        ProposalOutcome::VersionsTaken(taken) => versions_taken(taken),
        ProposalOutcome::VersionsForgotten(keys) => versions_forgotten(keys),
        ProposalOutcome::IdForgotten(version) => id_forgotten(*version),
        ProposalOutcome::Invalid(faults) => (
            400,
            jzon::object! { outcome: "refused", faults: faults_json(faults) },
        ),
        ProposalOutcome::NoMajority => (
            503,
            jzon::object! {
                outcome: "refused",
                why: "no majority of the voters is reachable; nothing was applied",
            },
        ),
        ProposalOutcome::TooFewAgents => (
            503,
            jzon::object! {
                outcome: "refused",
                why: "too few agents on the roster are reachable; nothing was applied",
            },
        ),
        ProposalOutcome::Unknown => undecided(),
    }
}

fn id_taken(version: Version) -> StatusAndBody {
    let body = jzon::object! {
        outcome: "refused",
        why: "this id was already used for another change set",
        edition: version.0,
    };
    (409, body)
}

fn conflicting(conflicts: &[Conflict]) -> StatusAndBody {
    let list: Vec<JsonValue> = conflicts
        .iter()
        .map(|conflict| {
            jzon::object! {
                item: conflict.key.as_str(),
                expected: conflict.expected.0,
                present: conflict.current.0,
            }
        })
        .collect();
    (409, jzon::object! { outcome: "refused", conflicts: list })
}

fn versions_taken(taken: &[TakenVersion]) -> StatusAndBody {
    let list: Vec<JsonValue> = taken
        .iter()
        .map(|item| {
            jzon::object! {
                item: item.key.as_str(),
                version: item.confirmed.version,
                digest: format!("{:016x}", item.confirmed.digest),
                newest: item.newest.version,
                newest_digest: format!("{:016x}", item.newest.digest),
            }
        })
        .collect();
    (409, jzon::object! { outcome: "refused", taken: list })
}

fn versions_forgotten(keys: &[String]) -> StatusAndBody {
    let body = jzon::object! {
        outcome: "unknown",
        why: "the change is too old to tell whether it was accepted: read the items back",
        items: keys.to_vec(),
    };
    (503, body)
}

fn id_forgotten(version: Version) -> StatusAndBody {
    let body = jzon::object! {
        outcome: "unknown",
        why: "the change is too old to tell whether this id was accepted before; nothing was applied now: \
              read the configuration back, and send what is still missing under a new id \
              with the edition that was read",
        edition: version.0,
    };
    (409, body)
}

fn undecided() -> StatusAndBody {
    let body = jzon::object! {
        outcome: "unknown",
        why: "the change was proposed and may still be accepted: \
              send it again under the same id, or read it back",
    };
    (503, body)
}
