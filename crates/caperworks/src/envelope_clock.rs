//! Timestamps of messages: the maximum age of a message when it is received.
//!
//! A process that was frozen finds old input in its sockets when it resumes, and a socket does not record the
//! age of its contents. Each message therefore carries the receiver's own time back to it: the last stamp
//! that the sender received from there, and for how long it has held it. The message cannot have been sent
//! before the stamp was, and the receiver measures by its own clock alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::NodeId;
use crate::messages::{Envelope, Message};

messages! {
    /// The time of one incarnation of a node, as sent to another node.
    #[derive(Copy, Eq)]
    struct Stamp { 0 incarnation: NodeId, 1 at: Duration }

    /// A stamp that is returned, and for how long the sender had held it.
    #[derive(Copy, Eq)]
    struct Echo { 0 stamp: Stamp, 1 held: Duration }
}

impl Echo {
    /// Returns the maximum age of the message that carries this, or `None` if the stamp is of another
    /// incarnation.
    pub fn max_age(&self, now: Duration, incarnation: NodeId) -> Option<Duration> {
        (self.stamp.incarnation == incarnation)
            .then(|| now.saturating_sub(self.stamp.at + self.held))
    }
}

/// Stamps outgoing messages, and keeps the stamps that were received from other nodes.
#[derive(Debug, Clone)]
pub struct EnvelopeClock {
    node: NodeId,
    incarnation: NodeId,
    held_stamps: HashMap<SocketAddr, (Stamp, Duration)>,
}

impl EnvelopeClock {
    /// Returns the clock of a node that chooses a new node id for each incarnation.
    pub fn new(node: NodeId) -> Self {
        Self::of_incarnation(node, node)
    }

    /// Returns the clock of a node that keeps its node id over restarts.
    ///
    /// The incarnation is separate from the id because each process counts its time from its start, so that a
    /// stamp of a previous incarnation means nothing.
    pub fn of_incarnation(node: NodeId, incarnation: NodeId) -> Self {
        Self {
            node,
            incarnation,
            held_stamps: HashMap::new(),
        }
    }

    /// Returns the stamp for the current time.
    pub fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Returns the envelope in which a message is sent.
    pub fn seal(
        &self,
        now: Duration,
        reply_to: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) -> Envelope {
        let echo = self.held_stamps.get(&to).map(|(stamp, held_since)| Echo {
            stamp: *stamp,
            held: now.saturating_sub(*held_since),
        });
        Envelope {
            from: self.node,
            reply_to,
            message,
            stamp: Some(self.stamp(now)),
            echo,
            is_bidirectional: true,
        }
    }

    /// Records the stamp of a received message; returns its maximum age, or `None` if that is unknown.
    pub fn open(&mut self, now: Duration, envelope: &Envelope) -> Option<Duration> {
        if let Some(stamp) = envelope.stamp {
            // Only later stamps are kept: an earlier one would give a higher maximum age.
            let known = self.held_stamps.get(&envelope.reply_to);
            if known.is_none_or(|(known_stamp, _)| {
                known_stamp.incarnation != stamp.incarnation || known_stamp.at < stamp.at
            }) {
                self.held_stamps.insert(envelope.reply_to, (stamp, now));
            }
        }
        envelope.echo?.max_age(now, self.incarnation)
    }
}

impl Envelope {
    /// Returns the incarnation of the sender, to which the numbers belong that it assigns and keeps in memory
    /// only.
    pub fn sender_incarnation(&self) -> NodeId {
        self.stamp.map_or(self.from, |stamp| stamp.incarnation)
    }
}
