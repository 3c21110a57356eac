//! Counts of the messages and bytes that go between the parts of a fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::bail;

use caperworks::identifiers::NodeId;
use caperworks::messages::Envelope;
use runtime::connections::ControlPort;
use runtime::locks::locked;

/// The parts whose traffic is told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    Controller,
    Agent,
    Directory,
    HollowAgent,
    HollowInstance,
    Operator,
}

pub const PARTS: [Part; 6] = [
    Part::Controller,
    Part::Agent,
    Part::Directory,
    Part::HollowAgent,
    Part::HollowInstance,
    Part::Operator,
];

impl Part {
    /// The part that a program's control port belongs to; none for programs without counted ones.
    pub fn of_program(program: &str) -> Option<Self> {
        match program {
            "controller" => Some(Self::Controller),
            "agent" => Some(Self::Agent),
            "directory" => Some(Self::Directory),
            _ => None,
        }
    }
}

/// Messages and the bytes that they took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    pub messages: u64,
    pub bytes: u64,
}

impl Amount {
    fn and(self, other: Self) -> Self {
        Self {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
        }
    }
}

/// What went from each part to each part, up to one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowCounts {
    cells: [[Amount; PARTS.len()]; PARTS.len()],
}

impl FlowCounts {
    /// What was counted since an earlier moment.
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

    pub fn received_by(&self, part: Part) -> Amount {
        let column = self.cells.iter().map(|row| row[part as usize]);
        column.fold(Amount::default(), Amount::and)
    }

    pub fn sent_by(&self, part: Part) -> Amount {
        let row = self.cells[part as usize].iter().copied();
        row.fold(Amount::default(), Amount::and)
    }
}

/// The running counts, from any task.
#[derive(Default)]
pub struct Flows {
    counts: Mutex<FlowCounts>,
}

impl Flows {
    pub fn count(&self, from: Part, to: Part, bytes: usize) {
        let cell = &mut locked(&self.counts).cells[from as usize][to as usize];
        cell.messages += 1;
        cell.bytes += bytes as u64;
    }

    pub fn so_far(&self) -> FlowCounts {
        *locked(&self.counts)
    }
}

/// How many bytes an envelope takes on a control port, with the length before it.
pub fn frame_bytes(envelope: &Envelope) -> usize {
    minicbor::to_vec(envelope).map_or(0, |bytes| bytes.len() + 4)
}

/// Who is behind each control address of a fleet.
pub type Addresses = Arc<HashMap<SocketAddr, Part>>;

/// Stands before the real processes' control ports and counts what they say to each other.
///
/// Why a relay: the processes themselves keep no such counts, and none is added for a trial.
pub async fn count_between(
    pairs: &[(SocketAddr, SocketAddr)],
    addresses: &Addresses,
    flows: &Arc<Flows>,
) -> anyhow::Result<()> {
    for (advertised, listened) in pairs.iter().copied() {
        let Some(to) = addresses.get(&advertised).copied() else {
            bail!("nobody is known behind {advertised}");
        };
        let (addresses, flows) = (addresses.clone(), flows.clone());
        let way: Arc<Mutex<Option<ControlPort>>> = Arc::default();
        let forwarding = way.clone();
        let port = ControlPort::open(NodeId(0), advertised, advertised, move |envelope| {
            if let Some(from) = addresses.get(&envelope.reply_to) {
                flows.count(*from, to, frame_bytes(&envelope));
            }
            if let Some(port) = &*locked(&forwarding) {
                // The relay stands between, so the answer cannot come back on this connection.
                let envelope = Envelope {
                    is_bidirectional: false,
                    ..envelope
                };
                port.forward(listened, &envelope);
            }
        })
        .await?;
        *locked(&way) = Some(port);
    }
    Ok(())
}
