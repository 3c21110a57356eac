//! Followers' renewals: what a grant tells an agent or a directory.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use caperworks::catch_up::{FollowerUpdate, MAX_GRANT_UPDATE_BYTES};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::facts::{FirstFacts, HeardHeartbeat, HeardMember, Role};
use caperworks::leases::LEASE_SPAN;
use caperworks::messages::{Granted, Message, Renewal, ResponseExtent};
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// Grants a follower's renewal: its lease, and what it lacks of the maps, instances and members.
pub fn handle_renewal(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    renewal: Renewal,
    lain: Option<Duration>,
) {
    let now = state.now;
    let member = &renewal.member;
    // Why answered all the same: the grant counts from when the member asked, and only whether it
    // is alive now hangs on the age of its question.
    if let Some(age) = lain {
        let heard = HeardMember {
            member: member.clone(),
            age,
        };
        state.members.handle(now, &heard);
        state
            .last_renewals
            .insert(member.node, now.saturating_sub(age));
    }
    let offsets = FactOffsets::of(state, &renewal);
    let FollowerMaps {
        updates,
        in_chunks,
        more,
    } = updates_for_follower(state, reply_to, &renewal);
    let quorum_read = match state.options.fault_injection {
        FaultInjection::GrantsWithoutQuorum => Some((
            Duration::ZERO,
            ALL_MAPS.map(|name| state.map(name).version).to_vec(),
        )),
        _ => state
            .quorum_reads
            .latest(now)
            .filter(|quorum_read| quorum_read.is_under(state.map(MapName::Membership).version))
            .map(|quorum_read| {
                (
                    now.saturating_sub(quorum_read.started),
                    quorum_read.versions.clone(),
                )
            }),
    };
    let most_facts = match renewal.extent {
        ResponseExtent::Full => MOST_GRANTED_FACTS,
        ResponseExtent::Brief => MOST_BRIEF_FACTS,
    };
    let role = member.role;
    let instances = instances_for_follower(state, role, &offsets, most_facts);
    let members = members_for_follower(state, role, offsets.members, most_facts);
    let written = state.map(MapName::Placement).mapping();
    let written = written.map_or(0, |mapping| mapping.proxies);
    let proxies = written.max(state.members.ready_proxies().count() as u32);
    let assured = quorum_read.is_some();
    let (quorum_read_age, versions) = quorum_read.unwrap_or((LEASE_SPAN, Vec::new()));
    let granted = Granted {
        number: renewal.number,
        quorum_read_age,
        versions,
        instances: instances.heard,
        instances_offset: instances.offset,
        gone: state.instances.ended_after(now, offsets.safety),
        proxies,
        members: members.heard,
        members_offset: members.offset,
        updates,
        assured,
        in_chunks,
        more: more || instances.more || members.more,
    };
    state.send(reply_to, Message::Grant { granted });
}

/// How many instances, and how many members, a grant tells at most; a follower that lacks more asks again
/// at once.
const MOST_GRANTED_FACTS: usize = 128;

/// The same for a member that asks several controllers at once.
const MOST_BRIEF_FACTS: usize = 16;
/// How many bytes of changes of one map such a member gets.
const BRIEF_CHANGES_BYTES: usize = 2 * 1024;
/// Within which time a controller learns what another one that it is in contact with has learned: twice the period
/// in which controllers tell each other facts.
const FACT_SPREAD_SPAN: Duration = Duration::from_millis(300);

/// After which offsets of our own numbering a follower is told facts.
struct FactOffsets {
    instances: u64,
    members: u64,
    /// The same for instances that drain or ended, to which nothing may be sent.
    safety: u64,
}

impl FactOffsets {
    /// Another controller numbers its facts otherwise, and so did this one before a restart. A follower that
    /// comes from there says how long ago it had been told all facts; it lacks what was learned here since, and
    /// before that only what had not reached the other controller yet. Of instances that drain or ended it is
    /// told all, whatever reached the other controller.
    fn of(state: &ControllerState, renewal: &Renewal) -> Self {
        if renewal.controller == state.incarnation {
            return Self {
                instances: renewal.instances_after,
                members: renewal.members_after,
                safety: renewal.instances_after,
            };
        }
        let Some(age) = renewal.facts_age else {
            return Self {
                instances: 0,
                members: 0,
                safety: 0,
            };
        };
        let moment = state.now.saturating_sub(age + FACT_SPREAD_SPAN);
        Self {
            instances: state.instances.offset_before(moment),
            members: state.members.offset_before(moment),
            safety: 0,
        }
    }
}

/// What a grant tells of instances; only agents are told of them, as directories name proxies.
fn instances_for_follower(
    state: &ControllerState,
    role: Role,
    offsets: &FactOffsets,
    most_facts: usize,
) -> FirstFacts<HeardHeartbeat> {
    if role == Role::Directory {
        return FirstFacts::none(state.instances.learned());
    }
    let first = state
        .instances
        .first_after(state.now, offsets.instances, most_facts);
    let draining = state
        .instances
        .draining_between(state.now, offsets.safety, offsets.instances);
    FirstFacts {
        heard: draining.into_iter().chain(first.heard).collect(),
        ..first
    }
}

/// What a grant tells of members.
///
/// Only directories are told of them: agents need no more than their number, and with many nodes the list would
/// be most of what a node hears. Directories name proxies only, and need no instances.
fn members_for_follower(
    state: &ControllerState,
    role: Role,
    members_after: u64,
    most_facts: usize,
) -> FirstFacts<HeardMember> {
    if role == Role::Proxy {
        return FirstFacts::none(state.members.learned());
    }
    let mut members = state
        .members
        .first_after(state.now, members_after, most_facts);
    for heard in &mut members.heard {
        heard.member.demand.clear();
    }
    members
}

/// What a grant holds of the maps that a follower wants.
#[derive(Default)]
struct FollowerMaps {
    updates: Vec<ConsensusMessage>,
    /// Maps that it has to fetch in pieces.
    in_chunks: Vec<MapName>,
    /// Whether it lacks more than the news.
    more: bool,
}

fn updates_for_follower(
    state: &mut ControllerState,
    follower: SocketAddr,
    renewal: &Renewal,
) -> FollowerMaps {
    let now = state.now;
    let max_bytes = match renewal.extent {
        ResponseExtent::Full => MAX_GRANT_UPDATE_BYTES,
        ResponseExtent::Brief => BRIEF_CHANGES_BYTES,
    };
    let mut maps = FollowerMaps::default();
    for map in renewal.wants.iter().copied() {
        let held = &renewal.member.versions;
        let held = held.get(map.index()).copied().unwrap_or_default();
        let voter = &state.voter;
        match state
            .snapshots
            .updates_for_follower(now, voter, map, held, renewal.form, max_bytes)
        {
            FollowerUpdate::Nothing => {}
            FollowerUpdate::InChunks => maps.in_chunks.push(map),
            FollowerUpdate::Partial(part) => {
                maps.updates.push(part);
                maps.more = true;
            }
            FollowerUpdate::Inline(inline) => {
                if state.full_map_limit.admits(now, follower, &inline) {
                    maps.updates.push(inline);
                }
            }
        }
    }
    maps
}
