//! Writing of a controller's status, which is its view of the fleet.

use jzon::JsonValue;

use crate::state_machine::operator_messages::ControllerStatus;
use caperworks::facts::{InstanceState, Role};
use caperworks::replicated_map::ALL_MAPS;

/// Writes the status of a controller.
pub fn status_json(status: &ControllerStatus) -> JsonValue {
    let groups = status.mapping.iter().flat_map(|mapping| &mapping.groups);
    let unplaced: u64 = groups.clone().map(|group| u64::from(group.unplaced)).sum();
    jzon::object! {
        node: status.node.0,
        area: status.zone.as_str(),
        current: status.is_current,
        disk: if status.is_disk_failing { "refusing" } else { "well" },
        editions: versions_json(status),
        seats: voters_json(status),
        duties: leaderships_json(status),
        members: members_json(status),
        instances: instances_json(status),
        placed_groups: groups.count(),
        unplaced_demand: unplaced,
        vouched: status.confirmed_version.0,
        roster: fallback_members_json(status),
    }
}

fn versions_json(status: &ControllerStatus) -> Vec<JsonValue> {
    ALL_MAPS
        .iter()
        .zip(&status.versions)
        .map(|(name, version)| jzon::object! { book: name.to_string(), edition: version.0 })
        .collect()
}

fn voters_json(status: &ControllerStatus) -> Vec<JsonValue> {
    status
        .voters
        .iter()
        .map(|(voter, is_alive)| {
            jzon::object! {
                node: voter.node.0,
                address: voter.address.to_string(),
                area: voter.zone.as_str(),
                ledger: voter.controller,
                alive: *is_alive,
            }
        })
        .collect()
}

fn leaderships_json(status: &ControllerStatus) -> Vec<JsonValue> {
    status
        .leaderships
        .iter()
        .map(|(name, term)| {
            let mut json = jzon::object! { duty: *name };
            if let Some(term) = term {
                json["holder"] = term.leader.0.into();
                json["epoch"] = term.epoch.0.into();
            }
            json
        })
        .collect()
}

fn members_json(status: &ControllerStatus) -> Vec<JsonValue> {
    status
        .members
        .iter()
        .map(|member| {
            let lag = status.versions[0]
                .0
                .saturating_sub(member.versions.first().copied().unwrap_or_default().0);
            jzon::object! {
                node: member.node.0,
                role: if member.role == Role::Proxy { "proxy" } else { "directory" },
                area: member.zone.as_str(),
                serving: member.serving.to_string(),
                ready: member.ready,
                feed_lag: lag,
            }
        })
        .collect()
}

fn instances_json(status: &ControllerStatus) -> Vec<JsonValue> {
    status
        .instances
        .iter()
        .map(|heartbeat| {
            jzon::object! {
                id: heartbeat.id.as_str(),
                incarnation: heartbeat.incarnation.0,
                pool: heartbeat.service.as_str(),
                area: heartbeat.zone.as_str(),
                address: heartbeat.address.to_string(),
                state: match heartbeat.state {
                    InstanceState::Warming => "warming",
                    InstanceState::Serving => "serving",
                    InstanceState::Draining => "leaving",
                },
            }
        })
        .collect()
}

fn fallback_members_json(status: &ControllerStatus) -> Vec<JsonValue> {
    status
        .fallback_members
        .iter()
        .map(|(address, is_reachable)| {
            jzon::object! { agent: address.to_string(), in_touch: *is_reachable }
        })
        .collect()
}
