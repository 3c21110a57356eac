//! Postmarks: how long a message may have lain on its way.
//!
//! A process that was frozen finds old input in its sockets when it wakes, and nothing in a socket
//! tells its age. So each message carries the receiver's own time back to it: the last stamp that
//! the sender had from there, and for how long it has held it. The message cannot have left before
//! the stamp did, and the receiver measures by its own clock alone.

use crate::prelude::*;

messages! {
    /// A node's own time, as it told it to another.
    #[derive(Copy, Eq)]
    struct Stamp { 0 node: NodeId, 1 at: Duration }

    /// A stamp on its way back, and for how long its holder had it before sending.
    #[derive(Copy, Eq)]
    struct Echo { 0 stamp: Stamp, 1 held: Duration }
}

impl Echo {
    /// How long what carries this may have lain, at most; none if the stamp is not of this life.
    pub fn lain(&self, now: Duration, node: NodeId) -> Option<Duration> {
        (self.stamp.node == node).then(|| now.saturating_sub(self.stamp.at + self.held))
    }
}

/// The stamps that a node holds of the others.
#[derive(Debug, Clone)]
pub struct EnvelopeClock {
    node: NodeId,
    held: HashMap<SocketAddr, (Stamp, Duration)>,
}

impl EnvelopeClock {
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            held: HashMap::new(),
        }
    }

    pub fn stamp(&self, now: Duration) -> Stamp {
        Stamp {
            node: self.node,
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
        }
    }

    /// Takes a message in; says how long it may have lain, or nothing if that cannot be told.
    pub fn open(&mut self, now: Duration, envelope: &Envelope) -> Option<Duration> {
        if let Some(stamp) = envelope.stamp {
            // Why only later ones: a stamp that was overtaken on its way tells less.
            let known = self.held.get(&envelope.reply_to);
            if known.is_none_or(|(held, _)| held.node != stamp.node || held.at < stamp.at) {
                self.held.insert(envelope.reply_to, (stamp, now));
            }
        }
        envelope.echo?.lain(now, self.node)
    }
}
