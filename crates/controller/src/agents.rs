//! Controllers for the agents: the roster, and whether enough of them hold what is accepted.

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

/// How long an operator's answer waits for the agents after the change was agreed on.
const AGENTS_SPAN: Duration = Duration::from_millis(1500);

/// With how many agents the first roster begins; a fleet of fewer has no islands.
const FIRST_FALLBACK_MEMBERS: usize = 3;

/// The agents that are in touch, with the versions that each says it holds.
fn in_touch(state: &ControllerState) -> BTreeMap<SocketAddr, &Member> {
    state
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy && member.versions.len() == ALL_MAPS.len())
        .map(|member| (member.control, member))
        .collect()
}

/// Says whether a change of the configuration could be told yes now.
///
/// Why before it is offered: what is refused here is surely not accepted, and can be sent again.
pub fn could_say_yes(state: &ControllerState) -> bool {
    // Why: proxies that serve on ask no agents what may have been accepted.
    if state.options.core.proxies_serve_stale {
        return true;
    }
    let agents = in_touch(state);
    state
        .map(MapName::Membership)
        .fallback_members()
        .is_none_or(|fallback_members| {
            fallback_members.enough(|address| agents.contains_key(address), confirmation_quorum)
        })
}

/// The highest version of the configuration that so many agents hold, by this roster, that every
/// majority of it has one of them.
fn held_by_agents(state: &ControllerState, fallback_members: &FallbackMembers) -> Version {
    let agents = in_touch(state);
    let fallback_members_version = state.map(MapName::Membership).present(FALLBACK_MEMBERS);
    let held = |address: &SocketAddr| {
        agents
            .get(address)
            // Why only those that know this roster: the others may count themselves in by another.
            .filter(|member| {
                member.versions[MapName::Membership.index()] >= fallback_members_version
            })
            .map_or(Version(0), |member| {
                member.versions[MapName::Configuration.index()]
            })
    };
    let by_set = |set: &Vec<SocketAddr>| {
        let mut versions: Vec<Version> = set.iter().map(held).collect();
        versions.sort_by_key(|version| Reverse(*version));
        versions.get(confirmation_quorum(set.len()) - 1).copied()
    };
    let own = state.map(MapName::Configuration).version;
    [&fallback_members.members, &fallback_members.before]
        .into_iter()
        .filter(|set| !set.is_empty())
        .filter_map(by_set)
        .fold(own, Version::min)
}

/// Brings up to date what is vouched for, and gives the answers that waited for it.
pub fn respond_to_waiting(state: &mut ControllerState) {
    if state.pending_confirmations.is_empty() && state.watchers.is_empty() {
        return;
    }
    let membership = state.map(MapName::Membership);
    let held = match membership.fallback_members() {
        _ if state.options.core.proxies_serve_stale => state.map(MapName::Configuration).version,
        _ if state.injects(FaultInjection::ConfirmsWithoutAgents) => {
            state.map(MapName::Configuration).version
        }
        None => state.map(MapName::Configuration).version,
        // Why only while current: a controller that was cut off may go by a roster that is over.
        Some(_) if !state.is_current(MapName::Membership) => state.vouched,
        Some(fallback_members) => held_by_agents(state, fallback_members),
    };
    state.vouched = state.vouched.max(held);
    let (now, vouched) = (state.now, state.vouched);
    let (done, waiting): (Vec<PendingConfirmation>, Vec<PendingConfirmation>) =
        std::mem::take(&mut state.pending_confirmations)
            .into_iter()
            .partition(|awaiting| awaiting.version <= vouched || now >= awaiting.until);
    state.pending_confirmations = waiting;
    for awaiting in done {
        let response = match awaiting.version <= vouched {
            true => awaiting.response,
            false => awaiting.otherwise,
        };
        let ticket = awaiting.ticket;
        state
            .outputs
            .push(ControllerOutput::Respond { ticket, response });
    }
}

/// Gives an answer as soon as enough agents hold the version that it shows as accepted.
pub fn respond_when_acknowledged(
    state: &mut ControllerState,
    ticket: u64,
    version: Version,
    response: OperatorResponse,
    otherwise: OperatorResponse,
) {
    let until = state.now + AGENTS_SPAN;
    state.pending_confirmations.push(PendingConfirmation {
        ticket,
        version,
        until,
        response,
        otherwise,
    });
}

/// Whether every majority of the roster has an agent that knows it.
fn is_settled(state: &ControllerState, fallback_members: &FallbackMembers) -> bool {
    let version = state.map(MapName::Membership).present(FALLBACK_MEMBERS);
    let agents = in_touch(state);
    let knows = |address: &SocketAddr| {
        agents
            .get(address)
            .is_some_and(|member| member.versions[MapName::Membership.index()] >= version)
    };
    fallback_members.enough(knows, confirmation_quorum)
}

/// The next roster, if it is due: agents join by themselves, one step after the other.
pub fn next_fallback_members(state: &ControllerState) -> Option<FallbackMembers> {
    // Why none: islands are for proxies that fall silent, and nobody else asks for the roster.
    if state.options.core.proxies_serve_stale {
        return None;
    }
    let agents = in_touch(state);
    let Some(fallback_members) = state.map(MapName::Membership).fallback_members() else {
        let members: Vec<SocketAddr> = agents.into_keys().collect();
        // Why not fewer: on the word of one or two agents alone every change would wait.
        return (members.len() >= FIRST_FALLBACK_MEMBERS).then_some(FallbackMembers {
            members,
            before: Vec::new(),
        });
    };
    // Why settled first: two rosters a step apart always meet, those further apart need not.
    if !is_settled(state, fallback_members) {
        return None;
    }
    if !fallback_members.before.is_empty() {
        return Some(FallbackMembers {
            members: fallback_members.members.clone(),
            before: Vec::new(),
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
        before: fallback_members.members.clone(),
    })
}

/// The roster without these agents, or why that may not be.
pub fn fallback_members_without(
    state: &ControllerState,
    dropped: &[SocketAddr],
) -> Result<FallbackMembers, Vec<Fault>> {
    let refuse = |field: &str, why: String| Err(vec![Fault::new(field, why)]);
    let Some(fallback_members) = state.map(MapName::Membership).fallback_members() else {
        return refuse("drop", "there is no roster yet".to_string());
    };
    let agents = in_touch(state);
    for (index, address) in dropped.iter().enumerate() {
        let field = format!("drop[{index}]");
        if !fallback_members.members.contains(address) {
            return refuse(&field, format!("{address} is not on the roster"));
        }
        if agents.contains_key(address) {
            let why = format!("{address} is in touch and would join again: stop it first");
            return refuse(&field, why);
        }
    }
    if !fallback_members.before.is_empty() || !is_settled(state, fallback_members) {
        let why = "the roster changed a moment ago or too few agents know it: try again";
        return refuse("drop", why.to_string());
    }
    let kept = |address: &&SocketAddr| !dropped.contains(address);
    let next = FallbackMembers {
        members: fallback_members
            .members
            .iter()
            .filter(kept)
            .copied()
            .collect(),
        before: fallback_members.members.clone(),
    };
    if !next.enough(|address| agents.contains_key(address), majority_of) {
        let why = "fewer than a majority of the old or of the new roster are in touch";
        return refuse("drop", why.to_string());
    }
    Ok(next)
}

/// The agents on the roster, and whether each is in touch.
pub fn fallback_members_in_touch(state: &ControllerState) -> Vec<(SocketAddr, bool)> {
    let agents = in_touch(state);
    let fallback_members = state.map(MapName::Membership).fallback_members();
    let listed = fallback_members
        .into_iter()
        .flat_map(FallbackMembers::all_members);
    listed
        .map(|address| (address, agents.contains_key(&address)))
        .collect()
}
