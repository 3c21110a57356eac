//! Logging of the controller's events, each under its number in the event catalogue.

use crate::state_machine::event::Event;
use caperworks::identifiers::NodeId;
use runtime::events::{
    event, CANDIDATE_WAITING, DISK_DAMAGED, DISK_RECOVERED, DISK_REFUSED, FENCED, FOUNDED,
    INSTANCE_DEREGISTERED, INSTANCE_GONE, INSTANCE_WARMING_UP, KEY_RANGES_REASSIGNED,
    LATE_HEARTBEAT_IGNORED, LEADERSHIP_REQUESTED, MAJORITY_LOST, MAP_UPDATED, MEMBER_GONE,
    OWNERSHIP_LEADER_ELECTED, PIECE_REFUSED, SHUTDOWN_INCOMPLETE, STATE_TOO_LARGE, VOTERS_CHANGED,
    VOTER_MANAGEMENT_STARTED, VOTER_REFUSED, VOTER_UNREACHABLE, VOTER_WANTED,
};

/// Writes an event to the log.
pub(super) fn log_event(what: &Event) {
    match what {
        Event::Founded => event(FOUNDED, ""),
        Event::MapUpdated { map, version } => event(MAP_UPDATED, format!("{map} at {version}")),
        Event::LeadershipRequested { leadership, epoch } => {
            event(LEADERSHIP_REQUESTED, format!("{leadership} under {epoch}"))
        }
        Event::OwnershipLeaderElected { epoch } => {
            event(OWNERSHIP_LEADER_ELECTED, format!("epoch {epoch}"))
        }
        Event::KeyRangesReassigned { service, summary } => {
            event(KEY_RANGES_REASSIGNED, format!("{service}: {summary}"))
        }
        Event::StateTooLarge { bytes } => event(STATE_TOO_LARGE, format!("{bytes} bytes")),
        Event::DiskWriteFailed => event(DISK_REFUSED, ""),
        Event::DiskRecovered => event(DISK_RECOVERED, ""),
        Event::DiskDamaged { why } => event(DISK_DAMAGED, why),
        Event::InstanceExpired { id } => event(INSTANCE_GONE, id),
        Event::InstanceWarmingUp { id, left, counter } => event(
            INSTANCE_WARMING_UP,
            format!("{id} for {} ms, heartbeat {counter}", left.as_millis()),
        ),
        Event::InstanceDeregistered { id, source } => {
            event(INSTANCE_DEREGISTERED, format!("{id} {source}"));
        }
        Event::LateHeartbeatIgnored { id, counter } => {
            event(LATE_HEARTBEAT_IGNORED, format!("{id}, heartbeat {counter}"));
        }
        Event::MemberExpired { node } => event(MEMBER_GONE, node),
        Event::VoterChangeProposed { why } => event(VOTER_WANTED, why),
        Event::VoterChangeRejected { why } => event(VOTER_REFUSED, why),
        Event::VoterUnreachable { why } => event(VOTER_UNREACHABLE, why),
        Event::VoterManagementStarted { epoch, leading_for } => event(
            VOTER_MANAGEMENT_STARTED,
            format!("epoch {epoch}, leader for {} ms", leading_for.as_millis()),
        ),
        Event::CandidateWaiting { why } => event(CANDIDATE_WAITING, why),
        Event::VotersChanged { voters } => {
            let voters: Vec<String> = voters.iter().map(NodeId::to_string).collect();
            event(VOTERS_CHANGED, voters.join(", "));
        }
        Event::Fenced { what } => event(FENCED, what),
        Event::ChunkRejected { map, from, why } => {
            event(PIECE_REFUSED, format!("{map} from {from}: {why}"))
        }
        Event::MajorityLost { why } => event(MAJORITY_LOST, why),
        Event::ShutdownIncomplete { why } => event(SHUTDOWN_INCOMPLETE, why),
    }
}
