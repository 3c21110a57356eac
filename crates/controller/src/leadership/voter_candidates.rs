//! Candidates for voters: controllers that are not voters, and agents that could become witnesses.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations;
use crate::fault_injection::FaultInjection;
use crate::state::parts::KnownController;
use crate::state::replicas::MAX_REPLICA_LAG;
use crate::state::ControllerState;
use caperworks::facts::{Member, Role};
use caperworks::identifiers::{Version, Zone};
use caperworks::map_items::{VoterEntry, VoterSet};
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// How old the versions may be that an agent must nearly have when it becomes a witness.
///
/// They cover the time until its next renewal, and until another controller passes that on.
const MAX_WITNESS_LAG: Duration = Duration::from_secs(2);

/// Number of those versions that an agent may lack when it becomes a witness.
///
/// It need not be fully up to date, since it catches up before it votes. Its zone must matter more than
/// which agent happens to be up to date first.
const MAX_WITNESS_MISSING_VERSIONS: u64 = 20;

/// Returns the known controllers that are not voters and are not shutting down.
pub(super) fn non_voters<'state>(
    state: &'state ControllerState,
    voters: &'state VoterSet,
) -> impl Iterator<Item = (&'state SocketAddr, &'state KnownController)> {
    state
        .known_controllers
        .iter()
        .filter(|(_, seen)| voters.entry(seen.node).is_none())
        .filter(|(_, seen)| !state.shutting_down.contains(&seen.node))
}

/// Returns the live controllers that are not voters and keep up with the changes: they have synced all maps to disk
/// as this controller had them [`MAX_REPLICA_LAG`] ago.
///
/// What they lack is not at risk: under the voters before, each accepted change is on the disks of a majority,
/// and a new voter votes only on the change after the last one that it has.
fn synced_non_voters<'state>(
    state: &'state ControllerState,
    voters: &'state VoterSet,
) -> impl Iterator<Item = (&'state SocketAddr, &'state KnownController)> {
    let max_lag = match state.injects(FaultInjection::CandidatesNeedPresentVersions) {
        true => Duration::ZERO,
        false => MAX_REPLICA_LAG,
    };
    let required = state.versions_before(max_lag);
    non_voters(state, voters).filter(move |(_, seen)| state.has_synced(seen.node, &required))
}

/// Returns whether a controller that is not a voter can soon become one.
pub(super) fn has_successor(state: &ControllerState, voters: &VoterSet) -> bool {
    synced_non_voters(state, voters).next().is_some()
}

/// Returns a controller that can become a voter now: it also has the deregistrations of the present voters.
pub(super) fn controller_candidate(
    state: &ControllerState,
    voters: &VoterSet,
) -> Option<VoterEntry> {
    synced_non_voters(state, voters)
        .find(|(_, seen)| deregistrations::has_merged(state, seen.node))
        .map(|(address, seen)| VoterEntry {
            node: seen.node,
            address: *address,
            zone: seen.zone.clone(),
            controller: true,
        })
}

/// Returns a live agent that could become a witness. Zones without a voting controller come first, then zones
/// without any voter, so that the loss of a zone costs as few voters as possible.
pub(super) fn witness_candidate(state: &ControllerState, voters: &VoterSet) -> Option<VoterEntry> {
    let required = state.versions_before(MAX_WITNESS_LAG);
    let has_vote_of = |zone: &Zone, is_controller: bool| {
        voters
            .entries
            .iter()
            .any(|voter| voter.zone == *zone && voter.controller == is_controller)
    };
    state
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy && !member.draining)
        .filter(|member| voters.entry(member.node).is_none())
        .filter(|member| is_nearly_up_to_date(member, &required))
        .min_by_key(|member| {
            (
                has_vote_of(&member.zone, true),
                has_vote_of(&member.zone, false),
                member.zone.clone(),
                member.node,
            )
        })
        .map(|member| VoterEntry {
            node: member.node,
            address: member.control,
            zone: member.zone.clone(),
            controller: false,
        })
}

/// Returns whether an agent lacks at most [`MAX_WITNESS_MISSING_VERSIONS`] of the required versions of each map.
///
/// The placement map does not count, since agents do not follow it. A new witness fetches it with its first
/// vote, and the change that adds the witness is proposed only when a majority has it already.
fn is_nearly_up_to_date(member: &Member, required: &[Version]) -> bool {
    member.versions.len() == required.len()
        && member
            .versions
            .iter()
            .zip(required)
            .zip(ALL_MAPS)
            .filter(|(_, name)| *name != MapName::Placement)
            .all(|((theirs, required), _)| theirs.0 + MAX_WITNESS_MISSING_VERSIONS >= required.0)
}

/// Returns whether a zone has a voter.
pub(super) fn has_voter_in(voters: &VoterSet, zone: &Zone) -> bool {
    voters.entries.iter().any(|voter| voter.zone == *zone)
}
