//! Exchange of facts about instances and members among controllers. Of these facts only deregistrations
//! are stored on disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations;
use crate::state::ControllerState;
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::facts::{ReceivedHeartbeat, ReceivedMember};
use caperworks::identifiers::NodeId;
use caperworks::leadership::SUSPICION_TIMEOUT;
use caperworks::messages::Message;

/// Interval at which new facts are sent to the other controllers.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Offsets in this controller's fact sequences up to which facts were sent to a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentOffsets {
    instances: u64,
    members: u64,
}

/// When a message was last received from a peer, and the peer's incarnation at that time.
#[derive(Debug, Clone, Copy)]
struct LastSeen {
    at: Duration,
    incarnation: NodeId,
}

/// The state of the exchange with each other controller.
#[derive(Debug, Clone, Default)]
pub struct FactExchange {
    next_exchange_at: Duration,
    last_seen: BTreeMap<SocketAddr, LastSeen>,
    sent: BTreeMap<SocketAddr, SentOffsets>,
}

impl FactExchange {
    /// Records that a message from a peer was received.
    ///
    /// All facts are sent again to a peer that was unreachable or has restarted: facts sent in the
    /// meantime may be lost, and a new incarnation has none of the earlier ones.
    pub fn record_contact(&mut self, now: Duration, peer: SocketAddr, incarnation: NodeId) {
        let previous = self.last_seen.insert(
            peer,
            LastSeen {
                at: now,
                incarnation,
            },
        );
        let has_received_facts = previous.is_some_and(|previous| {
            previous.incarnation == incarnation
                && now.saturating_sub(previous.at) < SUSPICION_TIMEOUT
        });
        if !has_received_facts {
            self.sent.remove(&peer);
        }
    }

    /// Returns whether a peer has sent a message recently, so that it can receive facts.
    fn is_reachable(&self, now: Duration, peer: &SocketAddr) -> bool {
        self.last_seen
            .get(peer)
            .is_some_and(|seen| now.saturating_sub(seen.at) < SUSPICION_TIMEOUT)
    }
}

/// Sends each other controller the facts that have not been sent to it yet.
pub fn share_facts(state: &mut ControllerState) {
    if state.now < state.fact_exchange.next_exchange_at {
        return;
    }
    state.fact_exchange.next_exchange_at = state.now + EXCHANGE_INTERVAL;
    let latest = SentOffsets {
        instances: state.instances.latest_offset(),
        members: state.members.latest_offset(),
    };
    for to in state.other_controllers() {
        if !state.fact_exchange.is_reachable(state.now, &to) {
            continue;
        }
        let previous = state.fact_exchange.sent.insert(to, latest);
        let previous = previous.unwrap_or_default();
        if previous != latest {
            send_facts_after(state, to, previous);
        }
    }
}

fn send_facts_after(state: &mut ControllerState, to: SocketAddr, offset: SentOffsets) {
    let instances = state.instances.after(state.now, offset.instances);
    let deregistrations = state.instances.deregistrations();
    let deregistrations = deregistrations.after(state.now, offset.instances);
    let members = state.members.after(state.now, offset.members);
    if instances.is_empty() && members.is_empty() && deregistrations.is_empty() {
        return;
    }
    let message = Message::Facts {
        instances,
        members,
        deregistered: deregistrations
            .iter()
            .map(|received| received.id.clone())
            .collect(),
        deregistrations: Some(deregistrations),
    };
    state.send(to, message);
}

/// Records the facts that another controller sent.
///
/// Facts of unknown age are ignored, since every fact is soon sent again.
pub fn handle_facts(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    instances: Vec<ReceivedHeartbeat>,
    members: Vec<ReceivedMember>,
    deregistrations: Vec<ReceivedDeregistration>,
    age: Option<Duration>,
) {
    let Some(age) = age else {
        return;
    };
    for received in instances {
        state.instances.handle(state.now, &received.aged(age));
    }
    let deregistrations = deregistrations.into_iter();
    deregistrations::merge(
        state,
        reply_to,
        deregistrations.map(|received| received.aged(age)),
    );
    for received in members {
        state.members.handle(state.now, &received.aged(age));
    }
}
