//! What controllers tell each other of instances and members, which none of them writes down.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::state::ControllerState;
use caperworks::facts::{HeardHeartbeat, HeardMember};
use caperworks::identifiers::{InstanceId, NodeId};
use caperworks::leadership::SILENCE;
use caperworks::messages::Message;

const SHARE_PERIOD: Duration = Duration::from_millis(150);

/// Up to which place of this controller's own numbering a peer was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedOffsets {
    instances: u64,
    members: u64,
}

/// When a peer was last heard, and in which life.
#[derive(Debug, Clone, Copy)]
struct HeardPeer {
    at: Duration,
    incarnation: NodeId,
}

/// The other controllers as far as sharing goes: when each was heard, and what it was told.
#[derive(Debug, Clone, Default)]
pub struct FactExchange {
    share_at: Duration,
    heard: BTreeMap<SocketAddr, HeardPeer>,
    notified: BTreeMap<SocketAddr, SharedOffsets>,
}

impl FactExchange {
    /// Notes that a peer was heard. After a silence, and in another life, it is told everything anew: what was
    /// sent to it meanwhile may be lost, and what it was told before is forgotten.
    pub fn handle(&mut self, now: Duration, peer: SocketAddr, incarnation: NodeId) {
        let before = self.heard.insert(
            peer,
            HeardPeer {
                at: now,
                incarnation,
            },
        );
        let knows_what_was_sent = before.is_some_and(|before| {
            before.incarnation == incarnation && now.saturating_sub(before.at) < SILENCE
        });
        if !knows_what_was_sent {
            self.notified.remove(&peer);
        }
    }

    /// Whether a peer can be told anything at all.
    fn is_heard(&self, now: Duration, peer: &SocketAddr) -> bool {
        self.heard
            .get(peer)
            .is_some_and(|heard| now.saturating_sub(heard.at) < SILENCE)
    }
}

/// Tells each other controller what it has not been told yet.
pub fn share_facts(state: &mut ControllerState) {
    if state.now < state.fact_exchange.share_at {
        return;
    }
    state.fact_exchange.share_at = state.now + SHARE_PERIOD;
    let present = SharedOffsets {
        instances: state.instances.learned(),
        members: state.members.learned(),
    };
    for to in state.other_controllers() {
        if !state.fact_exchange.is_heard(state.now, &to) {
            continue;
        }
        let before = state.fact_exchange.notified.insert(to, present);
        let before = before.unwrap_or_default();
        if before != present {
            tell_after(state, to, before);
        }
    }
}

fn tell_after(state: &mut ControllerState, to: SocketAddr, offset: SharedOffsets) {
    let instances = state.instances.after(state.now, offset.instances);
    let gone = state.instances.ended_after(state.now, offset.instances);
    let members = state.members.after(state.now, offset.members);
    if instances.is_empty() && members.is_empty() && gone.is_empty() {
        return;
    }
    let message = Message::Facts {
        instances,
        members,
        gone,
    };
    state.send(to, message);
}

/// Takes in what another controller tells.
pub fn handle_facts(
    state: &mut ControllerState,
    instances: Vec<HeardHeartbeat>,
    members: Vec<HeardMember>,
    gone: Vec<InstanceId>,
    max_age: Option<Duration>,
) {
    // Why nothing when its age cannot be told: every fact is soon told again.
    let Some(max_age) = max_age else {
        return;
    };
    for heard in instances {
        state.instances.handle(state.now, &heard.aged(max_age));
    }
    for id in gone {
        state.instances.end(state.now, &id);
    }
    for heard in members {
        state.members.handle(state.now, &heard.aged(max_age));
    }
}
