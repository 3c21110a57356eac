//! The queue of inputs to an actor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::events::{event, INBOX_DRAINED, INBOX_FULL};

/// The bounded queue of inputs to an actor, for any task or thread.
///
/// An actor that cannot keep up must shed load while it can still say so, and not fill the memory of a
/// small machine.
pub struct Inbox<Input: Send + 'static> {
    pub(super) sender: mpsc::Sender<Input>,
    full: Arc<AtomicBool>,
}

/// The most inputs that are queued.
const MOST_QUEUED: usize = 8192;

impl<Input: Send + 'static> Clone for Inbox<Input> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            full: self.full.clone(),
        }
    }
}

impl<Input: Send + 'static> Inbox<Input> {
    /// An inbox, and the receiver for [`open_actor`](super::open_actor).
    pub fn open() -> (Self, mpsc::Receiver<Input>) {
        Self::with_capacity(MOST_QUEUED)
    }

    /// The same with another bound than the usual one.
    pub fn with_capacity(capacity: usize) -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(capacity);
        let full = Arc::default();
        (Self { sender, full }, receiver)
    }

    /// Queues an input unless the queue is full; returns whether it was queued.
    ///
    /// An event is logged when the queue becomes full, and when it has room again, not for each input.
    pub fn give(&self, input: Input) -> bool {
        let is_queued = self.sender.try_send(input).is_ok();
        if self.full.swap(!is_queued, Ordering::Relaxed) == is_queued {
            let kind = if is_queued { INBOX_DRAINED } else { INBOX_FULL };
            event(kind, "");
        }
        is_queued
    }

    /// Queues an input that must not be lost, from a thread that may block. Once the actor has ended
    /// the process is about to end, and the input is dropped.
    pub fn push_blocking(&self, input: Input) {
        let _ = self.sender.blocking_send(input);
    }
}
