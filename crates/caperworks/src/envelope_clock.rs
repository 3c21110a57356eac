//! Postmarks: how long a message may have lain on its way.
//!
//! A process that was frozen finds old input in its sockets when it wakes, and nothing in a socket
//! tells its age. So each message carries the receiver's own time back to it: the last stamp that
//! the sender had from there, and for how long it has held it. The message cannot have left before
//! the stamp did, and the receiver measures by its own clock alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::NodeId;
use crate::messages::{Envelope, Message};

messages! {
    /// The time of one life of a node, as it told it to another.
    #[derive(Copy, Eq)]
    struct Stamp { 0 incarnation: NodeId, 1 at: Duration }

    /// A stamp on its way back, and for how long its holder had it before sending.
    #[derive(Copy, Eq)]
    struct Echo { 0 stamp: Stamp, 1 held: Duration }
}

impl Echo {
    /// How long what carries this may have lain, at most; none if the stamp is not of this life.
    pub fn max_age(&self, now: Duration, incarnation: NodeId) -> Option<Duration> {
        (self.stamp.incarnation == incarnation)
            .then(|| now.saturating_sub(self.stamp.at + self.held))
    }
}

/// The stamps that a node holds of the others.
#[derive(Debug, Clone)]
pub struct EnvelopeClock {
    node: NodeId,
    incarnation: NodeId,
    held: HashMap<SocketAddr, (Stamp, Duration)>,
}

impl EnvelopeClock {
    /// Of a node that draws its number anew for each life.
    pub fn new(node: NodeId) -> Self {
        Self::of_incarnation(node, node)
    }

    /// Of a node that keeps its number over restarts.
    ///
    /// Why a life of its own: each process counts its time from its start, and a stamp of the life before
    /// says nothing.
    pub fn of_incarnation(node: NodeId, incarnation: NodeId) -> Self {
        Self {
            node,
            incarnation,
            held: HashMap::new(),
        }
    }

    pub fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Makes a message ready to leave.
    pub fn seal(
        &self,
        now: Duration,
        reply_to: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) -> Envelope {
        let echo = self.held.get(&to).map(|(stamp, held_since)| Echo {
            stamp: *stamp,
            held: now.saturating_sub(*held_since),
        });
        Envelope {
            from: self.node,
            reply_to,
            message,
            stamp: Some(self.stamp(now)),
            echo,
            reads_here: true,
        }
    }

    /// Takes a message in; says how long it may have lain, or nothing if that cannot be told.
    pub fn open(&mut self, now: Duration, envelope: &Envelope) -> Option<Duration> {
        if let Some(stamp) = envelope.stamp {
            // Why only later ones: a stamp that was overtaken on its way tells less.
            let known = self.held.get(&envelope.reply_to);
            if known
                .is_none_or(|(held, _)| held.incarnation != stamp.incarnation || held.at < stamp.at)
            {
                self.held.insert(envelope.reply_to, (stamp, now));
            }
        }
        envelope.echo?.max_age(now, self.incarnation)
    }
}

impl Envelope {
    /// The life of the sender: what it numbers by itself, and keeps in memory only, is of this life.
    pub fn sender_incarnation(&self) -> NodeId {
        self.stamp.map_or(self.from, |stamp| stamp.incarnation)
    }
}
