//! Messages between nodes, subject to delay, loss and partitions.

use std::net::SocketAddr;
use std::time::Duration;

use crate::world::events::NodeEvent;
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::identifiers::NodeId;
use caperworks::messages::{Envelope, Message};

impl World {
    /// Returns the delay of a message between two nodes.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (one, other) = (&self.nodes[from].zone, &self.nodes[to].zone);
        let base = if one == other {
            self.network.same_zone
        } else if self.regions.get(one) == self.regions.get(other) {
            self.network.same_region
        } else {
            self.network.other_region
        };
        base + Duration::from_micros(self.random.below(base.as_micros() as u64 / 2 + 100))
    }

    /// Sends an event from node to node; returns whether it is on its way.
    pub(super) fn send(&mut self, from: usize, to: usize, event: NodeEvent) -> bool {
        let lost = self.random.below(1000) < self.network.loss_per_thousand;
        if let NodeEvent::Control { envelope } = &event {
            if self.network.drops_message(from, to, &envelope.message) {
                return false;
            }
        }
        let control = matches!(event, NodeEvent::Control { .. });
        if lost && control {
            return false;
        }
        let event = match self.send_on_connection(from, to, event) {
            Some(event) => event,
            None => return true,
        };
        if self.network.is_blocked(from, to) {
            return false;
        }
        let mut delay = self.delay(from, to);
        let message_fault = self.network.message_fault(from, to);
        if let Some((max_delay, duplicated_per_thousand)) =
            message_fault.map(|fault| (fault.max_delay, fault.duplicated_per_thousand))
        {
            // Only control messages are duplicated: HTTP messages cannot be duplicated in transit.
            if control && self.random.below(1000) < duplicated_per_thousand {
                let duplicate_delay = delay + self.random.between(Duration::ZERO, max_delay);
                self.schedule_for_node(to, duplicate_delay, event.clone());
            }
            delay += self.random.between(Duration::ZERO, max_delay);
        }
        self.schedule_for_node(to, delay, event);
        true
    }

    /// Sends a control message to an address.
    pub(super) fn send_control(&mut self, index: usize, to: SocketAddr, message: Message) {
        let Some(target) = self.by_address.get(&to).copied() else {
            return;
        };
        let local = self.local_time(index);
        let envelope = match &self.nodes[index].process {
            Some(Process::Controller(machine)) => machine.seal(to, message),
            Some(Process::Agent(machine)) => machine.seal(local, to, message),
            Some(Process::Directory(machine)) => machine.seal(local, to, message),
            _ => Envelope {
                from: NodeId(index as u64 + 1),
                reply_to: self.nodes[index].address,
                message,
                stamp: None,
                echo: None,
                is_bidirectional: true,
            },
        };
        let envelope = Box::new(envelope);
        self.send(index, target, NodeEvent::Control { envelope });
    }
}
