//! Detects connections that seem dead: messages are sent on them, but no responses are received.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::locks::locked;

/// A connection without a response for this long after a message may be dead: its peer may have restarted after
/// a power loss, which only a further message of ours reveals.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct WatchState {
    /// Whether the peer responds on this connection at all; earlier releases do not.
    has_responded: bool,
    unanswered_since: Option<Instant>,
    is_replacing: bool,
}

/// Watches one connection that this process opened.
#[derive(Debug, Default)]
pub struct ResponseWatch {
    state: Mutex<WatchState>,
}

impl ResponseWatch {
    /// Records that something was received on the connection.
    pub fn received(&self) {
        let mut state = locked(&self.state);
        state.has_responded = true;
        state.unanswered_since = None;
    }

    /// Returns whether the peer has responded on this connection.
    pub fn has_responded(&self) -> bool {
        locked(&self.state).has_responded
    }

    /// Records that a message was sent; returns whether to open a new connection to replace this one. That is
    /// returned once, until [`ResponseWatch::replacement_failed`].
    pub fn sent(&self, now: Instant) -> bool {
        let mut state = locked(&self.state);
        let since = *state.unanswered_since.get_or_insert(now);
        let seems_dead = state.has_responded && now.duration_since(since) >= RESPONSE_TIMEOUT;
        let starts_replacing = seems_dead && !state.is_replacing;
        state.is_replacing |= starts_replacing;
        starts_replacing
    }

    /// Records that the new connection could not be opened.
    pub fn replacement_failed(&self) {
        locked(&self.state).is_replacing = false;
    }
}
