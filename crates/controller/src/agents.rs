//! Tracking of the agents: the fallback members, and whether enough agents have the accepted configuration.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::parts::PendingConfirmation;
use crate::state::ControllerState;
use crate::state_machine::operator_messages::OperatorResponse;
use crate::state_machine::output::ControllerOutput;
use caperworks::configuration::Fault;
use caperworks::facts::{Member, Role};
use caperworks::identifiers::Version;
use caperworks::partition_fallback::{confirmation_quorum, majority_of, FallbackMembers};
use caperworks::replicated_map::{MapName, ALL_MAPS, FALLBACK_MEMBERS};

/// Time that a response to an operator waits for the agents after the change was accepted.
const AGENT_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Minimum number of agents for the first set of fallback members. A fleet with fewer agents has no partition
/// fallback.
const MIN_FALLBACK_MEMBERS: usize = 3;

/// Returns the reachable agents, each with the versions that it last reported.
fn reachable_agents(state: &ControllerState) -> BTreeMap<SocketAddr, &Member> {
    state
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy && member.versions.len() == ALL_MAPS.len())
        .map(|member| (member.control, member))
        .collect()
}

/// Returns whether enough agents are reachable to confirm a configuration change now.
///
/// This is checked before the change is proposed: a change that is rejected here has certainly not been
/// accepted, so the caller can safely send it again.
pub fn can_confirm_changes(state: &ControllerState) -> bool {
    // Proxies that serve stale do not query agents for changes that may have been accepted.
    if state.options.core.proxies_serve_stale {
        return true;
    }
    let agents = reachable_agents(state);
    state
        .map(MapName::Membership)
        .fallback_members()
        .is_none_or(|fallback_members| {
            fallback_members.has_enough(|address| agents.contains_key(address), confirmation_quorum)
        })
}

/// Returns the highest configuration version for which every majority of the fallback members includes an agent
/// that has it.
fn version_confirmed_by_agents(
    state: &ControllerState,
    fallback_members: &FallbackMembers,
) -> Version {
    let agents = reachable_agents(state);
    let fallback_members_version = state
        .map(MapName::Membership)
        .item_version(FALLBACK_MEMBERS);
    let version_of = |address: &SocketAddr| {
        agents
            .get(address)
            // Only agents that know these fallback members count, since the others may form a majority of
            // different ones.
            .filter(|member| {
                member.versions[MapName::Membership.index()] >= fallback_members_version
            })
            .map_or(Version(0), |member| {
                member.versions[MapName::Configuration.index()]
            })
    };
    let quorum_version = |set: &Vec<SocketAddr>| {
        let mut versions: Vec<Version> = set.iter().map(version_of).collect();
        versions.sort_by_key(|version| Reverse(*version));
        versions.get(confirmation_quorum(set.len()) - 1).copied()
    };
    let own = state.map(MapName::Configuration).version;
    [&fallback_members.members, &fallback_members.previous]
        .into_iter()
        .filter(|set| !set.is_empty())
        .filter_map(quorum_version)
        .fold(own, Version::min)
}

/// Updates the version that may be reported to operators as accepted, and sends the responses that waited for
/// it or timed out.
pub fn respond_to_pending_confirmations(state: &mut ControllerState) {
    if state.pending_confirmations.is_empty() && state.watchers.is_empty() {
        return;
    }
    let membership = state.map(MapName::Membership);
    let confirmed = match membership.fallback_members() {
        _ if state.options.core.proxies_serve_stale => state.map(MapName::Configuration).version,
        _ if state.injects(FaultInjection::ConfirmsWithoutAgents) => {
            state.map(MapName::Configuration).version
        }
        None => state.map(MapName::Configuration).version,
        // A controller that is not current may have been partitioned and know outdated fallback members.
        Some(_) if !state.is_current(MapName::Membership) => state.confirmed_version,
        Some(fallback_members) => version_confirmed_by_agents(state, fallback_members),
    };
    state.confirmed_version = state.confirmed_version.max(confirmed);
    let (now, confirmed_version) = (state.now, state.confirmed_version);
    let (done, waiting): (Vec<PendingConfirmation>, Vec<PendingConfirmation>) =
        std::mem::take(&mut state.pending_confirmations)
            .into_iter()
            .partition(|pending| pending.version <= confirmed_version || now >= pending.until);
    state.pending_confirmations = waiting;
    for pending in done {
        let response = match pending.version <= confirmed_version {
            true => pending.response,
            false => pending.response_on_timeout,
        };
        let ticket = pending.ticket;
        state
            .outputs
            .push(ControllerOutput::Respond { ticket, response });
    }
}

/// Sends `response` as soon as enough agents have the version that it reports as accepted, or
/// `response_on_timeout` if they do not have it in time.
pub fn respond_when_confirmed(
    state: &mut ControllerState,
    ticket: u64,
    version: Version,
    response: OperatorResponse,
    response_on_timeout: OperatorResponse,
) {
    let until = state.now + AGENT_CONFIRMATION_TIMEOUT;
    state.pending_confirmations.push(PendingConfirmation {
        ticket,
        version,
        until,
        response,
        response_on_timeout,
    });
}

/// Returns whether every majority of the fallback members includes an agent that
/// knows the current ones.
fn has_reached_agents(state: &ControllerState, fallback_members: &FallbackMembers) -> bool {
    let version = state
        .map(MapName::Membership)
        .item_version(FALLBACK_MEMBERS);
    let agents = reachable_agents(state);
    let has_current_members = |address: &SocketAddr| {
        agents
            .get(address)
            .is_some_and(|member| member.versions[MapName::Membership.index()] >= version)
    };
    fallback_members.has_enough(has_current_members, confirmation_quorum)
}

/// Returns the next set of fallback members if a change is due. Agents join automatically, one step at a
/// time.
pub fn next_fallback_members(state: &ControllerState) -> Option<FallbackMembers> {
    // If proxies serve stale there is no partition fallback, and nothing else uses the fallback members.
    if state.options.core.proxies_serve_stale {
        return None;
    }
    let agents = reachable_agents(state);
    let Some(fallback_members) = state.map(MapName::Membership).fallback_members() else {
        let members: Vec<SocketAddr> = agents.into_keys().collect();
        // With fewer members, every change would have to wait for one or two particular agents.
        return (members.len() >= MIN_FALLBACK_MEMBERS).then_some(FallbackMembers {
            members,
            previous: Vec::new(),
        });
    };
    // Majorities of two sets that are one step apart always intersect; those further apart might not.
    if !has_reached_agents(state, fallback_members) {
        return None;
    }
    if !fallback_members.previous.is_empty() {
        return Some(FallbackMembers {
            members: fallback_members.members.clone(),
            previous: Vec::new(),
        });
    }
    let joining = agents
        .into_keys()
        .filter(|address| !fallback_members.members.contains(address));
    let members: Vec<SocketAddr> = fallback_members
        .members
        .iter()
        .copied()
        .chain(joining)
        .collect();
    (members.len() > fallback_members.members.len()).then(|| FallbackMembers {
        members,
        previous: fallback_members.members.clone(),
    })
}

/// Returns the fallback members without these agents, or the reason why they cannot be removed.
pub fn fallback_members_without(
    state: &ControllerState,
    removed: &[SocketAddr],
) -> Result<FallbackMembers, Vec<Fault>> {
    let reject = |field: &str, why: String| Err(vec![Fault::new(field, why)]);
    let Some(fallback_members) = state.map(MapName::Membership).fallback_members() else {
        return reject("drop", "the roster does not exist yet".to_string());
    };
    let agents = reachable_agents(state);
    for (index, address) in removed.iter().enumerate() {
        let field = format!("drop[{index}]");
        if !fallback_members.members.contains(address) {
            return reject(&field, format!("{address} is not on the roster"));
        }
        if agents.contains_key(address) {
            let why = format!("{address} is reachable and would join again: stop the agent first");
            return reject(&field, why);
        }
    }
    if !fallback_members.previous.is_empty() || !has_reached_agents(state, fallback_members) {
        let why = "the last roster change has not reached enough agents yet: try again";
        return reject("drop", why.to_string());
    }
    let is_kept = |address: &&SocketAddr| !removed.contains(address);
    let next = FallbackMembers {
        members: fallback_members
            .members
            .iter()
            .filter(is_kept)
            .copied()
            .collect(),
        previous: fallback_members.members.clone(),
    };
    if !next.has_enough(|address| agents.contains_key(address), majority_of) {
        let why = "fewer than a majority of the old or of the new roster are reachable";
        return reject("drop", why.to_string());
    }
    Ok(next)
}

/// Returns the fallback members, each with whether it is reachable.
pub fn fallback_members_with_reachability(state: &ControllerState) -> Vec<(SocketAddr, bool)> {
    let agents = reachable_agents(state);
    let fallback_members = state.map(MapName::Membership).fallback_members();
    let listed = fallback_members
        .into_iter()
        .flat_map(FallbackMembers::all_members);
    listed
        .map(|address| (address, agents.contains_key(&address)))
        .collect()
}
