//! Messages between nodes, with the delay, loss and cuts of the network.

use std::net::SocketAddr;
use std::time::Duration;

use crate::world::events::Happening;
use crate::world::nodes::Body;
use crate::world::World;
use caperworks::identifiers::NodeId;
use caperworks::messages::{Envelope, Message};

impl World {
    /// How long something takes from node to node.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (one, other) = (&self.nodes[from].zone, &self.nodes[to].zone);
        let base = if one == other {
            self.network.same_zone
        } else if self.regions.get(one) == self.regions.get(other) {
            self.network.same_region
        } else {
            self.network.other_region
        };
        base + Duration::from_micros(self.chance.below(base.as_micros() as u64 / 2 + 100))
    }

    /// Sends something from node to node; says whether it is on its way.
    pub(super) fn send(&mut self, from: usize, to: usize, happening: Happening) -> bool {
        let lost = self.chance.below(1000) < self.network.loss_per_thousand;
        if let Happening::Control { envelope } = &happening {
            if self.network.delays(from, to, &envelope.message) {
                return false;
            }
        }
        let control = matches!(happening, Happening::Control { .. });
        if lost && control {
            return false;
        }
        let happening = match self.onto_connection(from, to, happening) {
            Some(happening) => happening,
            None => return true,
        };
        if self.network.is_cut(from, to) {
            return false;
        }
        let mut delay = self.delay(from, to);
        let http_fault = self.network.http_fault(from, to);
        if let Some((most, doubled)) = http_fault.map(|way| (way.most, way.doubled_per_thousand)) {
            // Why only our own messages twice: what goes over HTTP cannot be doubled on the way.
            if control && self.chance.below(1000) < doubled {
                let again = delay + self.chance.between(Duration::ZERO, most);
                self.push_at(to, again, happening.clone());
            }
            delay += self.chance.between(Duration::ZERO, most);
        }
        self.push_at(to, delay, happening);
        true
    }

    /// Sends a control message to an address.
    pub(super) fn send_control(&mut self, index: usize, to: SocketAddr, message: Message) {
        let Some(target) = self.by_address.get(&to).copied() else {
            return;
        };
        let local = self.local(index);
        let envelope = match &self.nodes[index].body {
            Some(Body::Controller(machine)) => machine.seal(to, message),
            Some(Body::Agent(machine)) => machine.seal(local, to, message),
            Some(Body::Directory(machine)) => machine.seal(local, to, message),
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
        self.send(index, target, Happening::Control { envelope });
    }
}
