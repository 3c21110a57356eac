//! Connections for control messages: opened on the first message, and not known to be dead at once.
//!
//! A connection has a direction: the node that opened it is its opener, the other one its acceptor.
//! A node without a connection to another node opens one; its messages are queued meanwhile.

use caperworks::messages::Envelope;
use caperworks::messages::Message;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// How the runtime handles connections; mirrors `connections.rs` of the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionModel {
    /// How long opening is tried; queued messages are dropped after that.
    pub timeout: Duration,
    /// Interval of further attempts at opening, if any; the first attempt that succeeds is used.
    pub retry_interval: Option<Duration>,
    /// Responses go over the connection on which the request came, while it is established.
    pub responds_on_same_connection: bool,
    /// A reset closes the connection on arrival; otherwise the next write detects it and is lost.
    pub detects_resets: bool,
    /// The last message written to a connection that was reset is resent at once.
    pub resends_after_reset: bool,
}

impl Default for ConnectionModel {
    /// The behaviour of the current runtime.
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(5),
            retry_interval: Some(Duration::from_millis(500)),
            responds_on_same_connection: true,
            detects_resets: true,
            resends_after_reset: true,
        }
    }
}

/// A unit that a connection carries from node to node.
#[derive(Debug, Clone)]
pub struct Segment {
    pub connection: u64,
    pub from: usize,
    pub to: usize,
    /// The receiver's incarnation that it is for; a `Syn` is for any incarnation.
    pub receiver_incarnation: Option<u64>,
    pub kind: SegmentKind,
}

#[derive(Debug, Clone)]
pub enum SegmentKind {
    /// Opens the connection.
    Syn,
    /// Accepts the connection, by this incarnation of the acceptor.
    SynAck {
        incarnation: u64,
    },
    Message {
        envelope: Box<Envelope>,
    },
    /// The receiver does not know the connection.
    Reset,
}

/// Size of a segment without a message.
const CONTROL_SEGMENT_BYTES: f64 = 60.0;

impl Segment {
    /// Returns the size of the segment on a link.
    pub fn bytes(&self) -> f64 {
        match &self.kind {
            SegmentKind::Message { envelope } => {
                minicbor::to_vec(envelope).map_or(0, |bytes| bytes.len()) as f64
            }
            _ => CONTROL_SEGMENT_BYTES,
        }
    }

    /// Returns the segment that resets this segment's connection.
    pub fn reset(&self, opener_incarnation: Option<u64>) -> Segment {
        Segment {
            connection: self.connection,
            from: self.to,
            to: self.from,
            receiver_incarnation: opener_incarnation,
            kind: SegmentKind::Reset,
        }
    }
}

/// Returns whether only the latest message of this kind is of use.
pub fn is_superseding(envelope: &Envelope) -> bool {
    superseding_kind(envelope).is_some()
}

/// Returns the kind of a message that supersedes earlier ones of the same kind.
fn superseding_kind(envelope: &Envelope) -> Option<u8> {
    match envelope.message {
        Message::Grant { .. } => Some(0),
        Message::Renew { .. } => Some(1),
        _ => None,
    }
}

#[derive(Debug, Clone)]
enum ConnectionState {
    Connecting {
        began_at: Duration,
        attempted_at: Duration,
        queued: VecDeque<Box<Envelope>>,
    },
    Established {
        acceptor_incarnation: u64,
    },
    /// The connection is dead, which the opener detects on its next write.
    Dead,
}

#[derive(Debug, Clone)]
struct Connection {
    number: u64,
    opener_incarnation: u64,
    state: ConnectionState,
    /// The last message written, if it is to be resent after a reset.
    last_written: Option<Box<Envelope>>,
}

/// All connections by opener and acceptor.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    pub model: ConnectionModel,
    last_number: u64,
    connections: BTreeMap<(usize, usize), Connection>,
}

impl Connections {
    /// Returns an empty set of connections that behave like this model.
    pub fn new(model: ConnectionModel) -> Self {
        Self {
            model,
            ..Self::default()
        }
    }

    /// Records that two nodes exchanged a message over unlimited links, which establishes a
    /// connection if there is none.
    pub fn record_exchange(&mut self, from: (usize, u64), to: (usize, u64)) {
        let number = self.last_number + 1;
        let (opener_incarnation, acceptor_incarnation) = (from.1, to.1);
        let known = self.connections.get(&(from.0, to.0));
        let is_current = known.is_some_and(|connection| {
            connection.opener_incarnation == opener_incarnation
                && matches!(connection.state, ConnectionState::Established { acceptor_incarnation: incarnation } if incarnation == acceptor_incarnation)
        });
        if !is_current {
            self.last_number = number;
            let connection = Connection {
                number,
                opener_incarnation,
                state: ConnectionState::Established {
                    acceptor_incarnation,
                },
                last_written: None,
            };
            self.connections.insert((from.0, to.0), connection);
        }
    }

    /// Sends a message between two nodes; returns the segment to transmit now, if any.
    pub fn send(
        &mut self,
        now: Duration,
        from: (usize, u64),
        to: (usize, u64),
        envelope: Box<Envelope>,
    ) -> Option<Segment> {
        if self.model.responds_on_same_connection {
            if let Some(response) = self.respond(from, to.0, &envelope) {
                return Some(response);
            }
        }
        let key = (from.0, to.0);
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| connection.opener_incarnation != from.1)
        {
            self.connections.remove(&key);
        }
        let keeps_last = self.model.resends_after_reset;
        let Some(connection) = self.connections.get_mut(&key) else {
            return Some(self.open(now, from, to.0, envelope));
        };
        match &mut connection.state {
            ConnectionState::Connecting { queued, .. } => {
                enqueue(queued, envelope);
                None
            }
            ConnectionState::Established {
                acceptor_incarnation,
            } => {
                let receiver_incarnation = Some(*acceptor_incarnation);
                connection.last_written = keeps_last.then(|| envelope.clone());
                Some(Segment {
                    connection: connection.number,
                    from: from.0,
                    to: to.0,
                    receiver_incarnation,
                    kind: SegmentKind::Message { envelope },
                })
            }
            ConnectionState::Dead => {
                self.connections.remove(&key);
                None
            }
        }
    }

    /// Returns the response's segment, if the connection of the request is established.
    fn respond(&self, from: (usize, u64), to: usize, envelope: &Envelope) -> Option<Segment> {
        let connection = self.connections.get(&(to, from.0))?;
        let ConnectionState::Established {
            acceptor_incarnation,
        } = connection.state
        else {
            return None;
        };
        (acceptor_incarnation == from.1).then(|| Segment {
            connection: connection.number,
            from: from.0,
            to,
            receiver_incarnation: Some(connection.opener_incarnation),
            kind: SegmentKind::Message {
                envelope: Box::new(envelope.clone()),
            },
        })
    }

    fn open(
        &mut self,
        now: Duration,
        from: (usize, u64),
        to: usize,
        envelope: Box<Envelope>,
    ) -> Segment {
        self.last_number += 1;
        let connection = Connection {
            number: self.last_number,
            opener_incarnation: from.1,
            state: ConnectionState::Connecting {
                began_at: now,
                attempted_at: now,
                queued: VecDeque::from([envelope]),
            },
            last_written: None,
        };
        self.connections.insert((from.0, to), connection);
        syn(self.last_number, from.0, to)
    }

    /// Drops connections that took too long to open; returns the further attempts that are due for
    /// the others.
    pub fn tick(&mut self, now: Duration) -> Vec<Segment> {
        let ConnectionModel {
            timeout,
            retry_interval,
            ..
        } = self.model;
        self.connections.retain(|_, connection| {
            !matches!(connection.state, ConnectionState::Connecting { began_at, .. }
                if now.saturating_sub(began_at) >= timeout)
        });
        let mut attempts = Vec::new();
        for ((from, to), connection) in &mut self.connections {
            let ConnectionState::Connecting { attempted_at, .. } = &mut connection.state else {
                continue;
            };
            let waited = now.saturating_sub(*attempted_at);
            if retry_interval.is_some_and(|period| waited >= period) {
                *attempted_at = now;
                attempts.push(syn(connection.number, *from, *to));
            }
        }
        attempts
    }

    /// Handles a `SynAck`: the connection is established; returns the segments queued until then.
    pub fn on_established(
        &mut self,
        response: &Segment,
        acceptor_incarnation: u64,
    ) -> Vec<Segment> {
        let (from, to) = (response.to, response.from);
        let keeps_last = self.model.resends_after_reset;
        let Some(connection) = self.connections.get_mut(&(from, to)) else {
            return Vec::new();
        };
        if connection.number != response.connection {
            return Vec::new();
        }
        let ConnectionState::Connecting { queued, .. } = &mut connection.state else {
            return Vec::new();
        };
        let queued = std::mem::take(queued);
        connection.state = ConnectionState::Established {
            acceptor_incarnation,
        };
        connection.last_written = queued.back().filter(|_| keeps_last).cloned();
        let number = connection.number;
        let segments = queued.into_iter().map(|envelope| Segment {
            connection: number,
            from,
            to,
            receiver_incarnation: Some(acceptor_incarnation),
            kind: SegmentKind::Message { envelope },
        });
        segments.collect()
    }

    /// Handles a reset; returns the message to resend.
    pub fn handle_reset(&mut self, reset: &Segment) -> Option<Box<Envelope>> {
        let model = self.model;
        // A reset of an accepted connection: the opener's process has ended after the acceptor
        // responded on it.
        let accepted = (reset.from, reset.to);
        if self.has_number(accepted, reset.connection) {
            self.connections.remove(&accepted);
            return None;
        }
        let opened = (reset.to, reset.from);
        if !self.has_number(opened, reset.connection) {
            return None;
        }
        let connection = self.connections.get_mut(&opened)?;
        match &connection.state {
            // A further attempt may find the process running.
            ConnectionState::Connecting { .. } if model.retry_interval.is_some() => None,
            ConnectionState::Established { .. } if !model.detects_resets => {
                connection.state = ConnectionState::Dead;
                None
            }
            _ => self.connections.remove(&opened)?.last_written,
        }
    }

    /// A partition dropped a message: its connection is dead from now on.
    pub fn on_message_dropped(&mut self, segment: &Segment) {
        for key in [(segment.from, segment.to), (segment.to, segment.from)] {
            if self.has_number(key, segment.connection) {
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.state = ConnectionState::Dead;
                }
            }
        }
    }

    /// Returns the resets that the machine of an ending process sends.
    pub fn resets_on_exit(&self, index: usize) -> Vec<Segment> {
        let accepted = self.connections.iter().filter(|((_, to), connection)| {
            *to == index && matches!(connection.state, ConnectionState::Established { .. })
        });
        let resets = accepted.map(|((from, _), connection)| Segment {
            connection: connection.number,
            from: index,
            to: *from,
            receiver_incarnation: Some(connection.opener_incarnation),
            kind: SegmentKind::Reset,
        });
        resets.collect()
    }

    fn has_number(&self, key: (usize, usize), number: u64) -> bool {
        let connection = self.connections.get(&key);
        connection.is_some_and(|connection| connection.number == number)
    }
}

fn syn(connection: u64, from: usize, to: usize) -> Segment {
    Segment {
        connection,
        from,
        to,
        receiver_incarnation: None,
        kind: SegmentKind::Syn,
    }
}

/// Queues a message until the connection is open, replacing an earlier one that it supersedes.
fn enqueue(queued: &mut VecDeque<Box<Envelope>>, envelope: Box<Envelope>) {
    let kind = superseding_kind(&envelope);
    let earlier = queued
        .iter()
        .position(|earlier| kind.is_some() && superseding_kind(earlier) == kind);
    match earlier {
        Some(index) => queued[index] = envelope,
        None => queued.push_back(envelope),
    }
}
