//! The queue of inputs to an actor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::events::{event, INBOX_DRAINED, INBOX_FULL};

/// The bounded queue of inputs to an actor, usable from any task or thread.
///
/// An actor that cannot keep up must shed load while it can still reject inputs, and not exhaust the memory of
/// a small machine.
pub struct Inbox<Input: Send + 'static> {
    pub(super) sender: mpsc::Sender<Input>,
    is_full: Arc<AtomicBool>,
}

/// The maximum number of queued inputs.
const MAX_QUEUED_INPUTS: usize = 8192;

impl<Input: Send + 'static> Clone for Inbox<Input> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            is_full: self.is_full.clone(),
        }
    }
}

impl<Input: Send + 'static> Inbox<Input> {
    /// Returns an inbox, and the receiver for [`spawn_actor`](super::spawn_actor).
    pub fn open() -> (Self, mpsc::Receiver<Input>) {
        Self::with_capacity(MAX_QUEUED_INPUTS)
    }

    /// Like [`open`](Self::open), with another capacity.
    pub fn with_capacity(capacity: usize) -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(capacity);
        let is_full = Arc::default();
        (Self { sender, is_full }, receiver)
    }

    /// Queues an input unless the queue is full; returns whether it was queued.
    ///
    /// An event is logged when the queue becomes full, and when it accepts inputs again, not for each input.
    pub fn push(&self, input: Input) -> bool {
        let is_queued = self.sender.try_send(input).is_ok();
        if self.is_full.swap(!is_queued, Ordering::Relaxed) == is_queued {
            let kind = if is_queued { INBOX_DRAINED } else { INBOX_FULL };
            event(kind, "");
        }
        is_queued
    }

    /// Queues an input that must not be lost, from a thread that may block. Once the actor has ended,
    /// the process is about to end as well, and the input is dropped.
    pub fn push_blocking(&self, input: Input) {
        let _ = self.sender.blocking_send(input);
    }
}
