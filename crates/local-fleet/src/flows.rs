//! Counters for the messages and bytes exchanged between the components of a fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::bail;

use caperworks::identifiers::NodeId;
use caperworks::messages::Envelope;
use runtime::connections::ControlPort;
use runtime::locks::locked;

/// The components whose traffic is counted separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Component {
    Controller,
    Agent,
    Directory,
    SimulatedAgent,
    SimulatedInstance,
    Operator,
}

pub const COMPONENTS: [Component; 6] = [
    Component::Controller,
    Component::Agent,
    Component::Directory,
    Component::SimulatedAgent,
    Component::SimulatedInstance,
    Component::Operator,
];

impl Component {
    /// Returns the component of a program; none if the traffic of its control port is not counted.
    pub fn of_program(program: &str) -> Option<Self> {
        match program {
            "controller" => Some(Self::Controller),
            "agent" => Some(Self::Agent),
            "directory" => Some(Self::Directory),
            _ => None,
        }
    }
}

/// A number of messages and their total size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    pub messages: u64,
    pub bytes: u64,
}

impl Amount {
    fn plus(self, other: Self) -> Self {
        Self {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
        }
    }
}

/// Traffic from each component to each other, up to one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowCounts {
    cells: [[Amount; COMPONENTS.len()]; COMPONENTS.len()],
}

impl FlowCounts {
    /// Returns the traffic counted since an earlier snapshot.
    pub fn since(&self, before: &Self) -> Self {
        let mut difference = *self;
        for (row, earlier) in difference.cells.iter_mut().zip(&before.cells) {
            for (cell, earlier) in row.iter_mut().zip(earlier) {
                cell.messages -= earlier.messages;
                cell.bytes -= earlier.bytes;
            }
        }
        difference
    }

    /// Returns the traffic that a component received from all others.
    pub fn received_by(&self, component: Component) -> Amount {
        let column = self.cells.iter().map(|row| row[component as usize]);
        column.fold(Amount::default(), Amount::plus)
    }

    /// Returns the traffic that a component sent to all others.
    pub fn sent_by(&self, component: Component) -> Amount {
        let row = self.cells[component as usize].iter().copied();
        row.fold(Amount::default(), Amount::plus)
    }
}

/// The running counters, shared between tasks.
#[derive(Default)]
pub struct Flows {
    counts: Mutex<FlowCounts>,
}

impl Flows {
    /// Counts one message.
    pub fn count(&self, from: Component, to: Component, bytes: usize) {
        let cell = &mut locked(&self.counts).cells[from as usize][to as usize];
        cell.messages += 1;
        cell.bytes += bytes as u64;
    }

    /// Returns a snapshot of the counters.
    pub fn snapshot(&self) -> FlowCounts {
        *locked(&self.counts)
    }
}

/// Returns the size of an envelope on a control port, including its length prefix.
pub fn frame_bytes(envelope: &Envelope) -> usize {
    minicbor::to_vec(envelope).map_or(0, |bytes| bytes.len() + 4)
}

/// The component behind each control address of a fleet.
pub type Addresses = Arc<HashMap<SocketAddr, Component>>;

/// Relays the traffic to the control ports of the real processes and counts it.
///
/// A relay is used because the processes themselves have no such counters.
pub async fn relay_and_count(
    pairs: &[(SocketAddr, SocketAddr)],
    addresses: &Addresses,
    flows: &Arc<Flows>,
) -> anyhow::Result<()> {
    for (advertised, listened) in pairs.iter().copied() {
        let Some(to) = addresses.get(&advertised).copied() else {
            bail!("no component is known for the control address {advertised}");
        };
        let (addresses, flows) = (addresses.clone(), flows.clone());
        let outgoing: Arc<Mutex<Option<ControlPort>>> = Arc::default();
        let forwarding = outgoing.clone();
        let port = ControlPort::open(NodeId(0), advertised, advertised, move |envelope| {
            if let Some(from) = addresses.get(&envelope.reply_to) {
                flows.count(*from, to, frame_bytes(&envelope));
            }
            if let Some(port) = &*locked(&forwarding) {
                // The response cannot come back on this connection, because the relay is in between.
                let envelope = Envelope {
                    is_bidirectional: false,
                    ..envelope
                };
                port.forward(listened, &envelope);
            }
        })
        .await?;
        *locked(&outgoing) = Some(port);
    }
    Ok(())
}
