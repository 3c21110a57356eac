//! Renewals of followers' leases, and the updates that a grant sends to an agent or a directory.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use caperworks::catch_up::{FollowerUpdate, MAX_GRANT_UPDATE_BYTES};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::facts::{FactBatch, ReceivedHeartbeat, ReceivedMember, Role};
use caperworks::leases::LEASE_DURATION;
use caperworks::messages::{Granted, Message, ProxyPosition, Renewal, ResponseExtent};
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// Responds to a follower's renewal with a grant: its lease, and the map, instance and member updates that it
/// is missing.
///
/// `age` is the time since the follower sent the renewal, or `None` if that cannot be determined.
pub fn handle_renewal(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    renewal: Renewal,
    age: Option<Duration>,
) {
    let now = state.now;
    let member = &renewal.member;
    // A renewal of unknown age is granted too, because the lease counts from when the follower sent the
    // request. Only the member's liveness depends on the age.
    if let Some(age) = age {
        let received = ReceivedMember {
            member: member.clone(),
            age,
        };
        state.members.handle(now, &received);
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
    let max_facts = match renewal.extent {
        ResponseExtent::Full => MAX_GRANTED_FACTS,
        ResponseExtent::Brief => MAX_BRIEF_FACTS,
    };
    let role = member.role;
    let instances = instances_for_follower(state, role, &offsets, max_facts);
    let members = members_for_follower(state, role, offsets.members, max_facts);
    let mapping = state.map(MapName::Placement).mapping();
    let placed_proxies = mapping.map_or(0, |mapping| mapping.proxies);
    let proxies = placed_proxies.max(state.members.ready_proxies().count() as u32);
    let position = (role == Role::Proxy).then(|| {
        let known = state.members.position_of(member);
        ProxyPosition {
            proxies: known.proxies.max(proxies),
            ..known
        }
    });
    let collected_at = state.running_since + state.options.core.collection_period;
    let collecting_left = collected_at.saturating_sub(now);
    let has_quorum = quorum_read.is_some();
    let (quorum_read_age, versions) = quorum_read.unwrap_or((LEASE_DURATION, Vec::new()));
    let granted = Granted {
        number: renewal.number,
        quorum_read_age,
        versions,
        instances: instances.received,
        instances_offset: instances.offset,
        deregistered: state
            .instances
            .deregistered_after(now, offsets.deregistered_instances),
        proxies,
        members: members.received,
        members_offset: members.offset,
        updates,
        has_quorum,
        in_chunks,
        more: more || instances.more || members.more,
        position,
        collecting_left: (!collecting_left.is_zero()).then_some(collecting_left),
    };
    state.send(reply_to, Message::Grant { granted });
}

/// Maximum number of instances, and of members, in a grant. A follower that is missing more requests the rest
/// immediately.
const MAX_GRANTED_FACTS: usize = 128;

/// Maximum number of instances, and of members, in a brief grant, which is for a follower that sends its
/// request to several controllers at once.
const MAX_BRIEF_FACTS: usize = 16;
/// Maximum size of the changes of one map in a brief grant.
const MAX_BRIEF_UPDATE_BYTES: usize = 2 * 1024;
/// Time within which facts reach all reachable controllers: twice the interval at which controllers exchange
/// facts.
const FACT_PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// The offsets in this controller's fact sequence after which a follower receives facts.
struct FactOffsets {
    instances: u64,
    members: u64,
    /// The offset for instances that are draining or have ended, which must not receive requests.
    deregistered_instances: u64,
}

impl FactOffsets {
    /// Returns the offsets from which a follower needs facts.
    ///
    /// Offsets are only valid for the controller incarnation that assigned them. A follower that comes from
    /// another controller, or from this one before a restart, reports how long ago it had received all facts.
    /// It is missing the facts learned here since then, and before that only those that had not reached the
    /// other controller yet. It receives all instances that are draining or have ended, whether or not they
    /// had reached the other controller.
    fn of(state: &ControllerState, renewal: &Renewal) -> Self {
        if renewal.controller_incarnation == state.incarnation {
            return Self {
                instances: renewal.instances_after,
                members: renewal.members_after,
                deregistered_instances: renewal.instances_after,
            };
        }
        let Some(age) = renewal.facts_age else {
            return Self {
                instances: 0,
                members: 0,
                deregistered_instances: 0,
            };
        };
        let since = state.now.saturating_sub(age + FACT_PROPAGATION_TIME);
        Self {
            instances: state.instances.offset_before(since),
            members: state.members.offset_before(since),
            deregistered_instances: 0,
        }
    }
}

/// Returns the instances to include in a grant. Only agents receive them, because directories resolve names
/// to proxies.
fn instances_for_follower(
    state: &ControllerState,
    role: Role,
    offsets: &FactOffsets,
    max_facts: usize,
) -> FactBatch<ReceivedHeartbeat> {
    if role == Role::Directory {
        return FactBatch::none(state.instances.latest_offset());
    }
    let first = state
        .instances
        .first_after(state.now, offsets.instances, max_facts);
    let draining = state.instances.draining_between(
        state.now,
        offsets.deregistered_instances,
        offsets.instances,
    );
    FactBatch {
        received: draining.into_iter().chain(first.received).collect(),
        ..first
    }
}

/// Returns the members to include in a grant.
///
/// Only directories receive them. Agents need only the number of members, and with many nodes the list would
/// be most of a node's incoming control traffic.
fn members_for_follower(
    state: &ControllerState,
    role: Role,
    members_after: u64,
    max_facts: usize,
) -> FactBatch<ReceivedMember> {
    if role == Role::Proxy {
        return FactBatch::none(state.members.latest_offset());
    }
    let mut members = state
        .members
        .first_after(state.now, members_after, max_facts);
    for received in &mut members.received {
        received.member.demand.clear();
    }
    members
}

/// The updates in a grant for the maps that a follower wants.
#[derive(Default)]
struct FollowerMaps {
    updates: Vec<ConsensusMessage>,
    /// Maps that the follower has to fetch in chunks.
    in_chunks: Vec<MapName>,
    /// Whether the follower is missing more changes than `updates` contains.
    more: bool,
}

/// Returns the changes that a follower is missing, as far as they fit into the grant.
fn updates_for_follower(
    state: &mut ControllerState,
    follower: SocketAddr,
    renewal: &Renewal,
) -> FollowerMaps {
    let now = state.now;
    let max_bytes = match renewal.extent {
        ResponseExtent::Full => MAX_GRANT_UPDATE_BYTES,
        ResponseExtent::Brief => MAX_BRIEF_UPDATE_BYTES,
    };
    let mut maps = FollowerMaps::default();
    for map in renewal.followed_maps.iter().copied() {
        let versions = &renewal.member.versions;
        let version = versions.get(map.index()).copied().unwrap_or_default();
        let voter = &state.voter;
        match state.snapshots.updates_for_follower(
            now,
            voter,
            map,
            version,
            renewal.form,
            max_bytes,
        ) {
            FollowerUpdate::UpToDate => {}
            FollowerUpdate::InChunks => maps.in_chunks.push(map),
            FollowerUpdate::Partial(changes) => {
                maps.updates.push(changes);
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
