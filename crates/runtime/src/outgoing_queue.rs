//! The queue of messages to be written to one peer.
//!
//! Of messages that contain everything that their receiver is missing, only the latest is useful. Over a slow
//! link the earlier ones would be written first, each with data that the next one repeats.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use caperworks::messages::Message;
use tokio::sync::Notify;

use crate::locks::locked;

/// The maximum number of messages that wait for one peer.
const MAX_WAITING_FRAMES: usize = 512;
/// A message that has waited for longer is dropped, since its sender no longer waits for a response. The latest
/// of a superseding kind is written in any case.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A kind of message of which the latest supersedes those that were not written yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Superseding {
    Renewal,
    Grant,
    Pull,
    View,
}

fn superseding(message: &Message) -> Option<Superseding> {
    match message {
        Message::Renew { .. } => Some(Superseding::Renewal),
        Message::Grant { .. } => Some(Superseding::Grant),
        Message::Pull { .. } => Some(Superseding::Pull),
        Message::View { .. } => Some(Superseding::View),
        _ => None,
    }
}

impl Superseding {
    /// Returns whether the message is a request, which may be repeated.
    fn is_request(self) -> bool {
        matches!(self, Superseding::Renewal | Superseding::Pull)
    }
}

/// An encoded message.
#[derive(Debug, Clone)]
pub(crate) struct Frame {
    superseding: Option<Superseding>,
    queued_at: Instant,
    bytes: Vec<u8>,
}

impl Frame {
    fn is_request(&self) -> bool {
        self.superseding.is_some_and(Superseding::is_request)
    }

    fn is_useful(&self, now: Instant) -> bool {
        self.superseding.is_some() || now.duration_since(self.queued_at) < MAX_WAIT
    }
}

/// The queue between the senders and the task that writes to one connection.
#[derive(Default)]
pub struct OutgoingQueue {
    frames: Mutex<VecDeque<Frame>>,
    /// The request that was written last, until something is received on the connection.
    unanswered: Mutex<Option<Frame>>,
    filled: Notify,
    closing: Notify,
    closed: AtomicBool,
}

impl OutgoingQueue {
    /// Adds an encoded message, in the place of an earlier one that it supersedes. It is dropped if the
    /// queue is full, and returned as the error if the queue is closed.
    pub fn push(&self, message: &Message, bytes: Vec<u8>) -> Result<(), Vec<u8>> {
        let frame = Frame {
            superseding: superseding(message),
            queued_at: Instant::now(),
            bytes,
        };
        self.add(frame).map_err(|frame| frame.bytes)
    }

    /// Adds a message that was taken from another queue; returns it as the error if this queue is closed.
    pub(crate) fn add(&self, frame: Frame) -> Result<(), Frame> {
        let mut frames = locked(&self.frames);
        // Checked under the lock, so that closing the queue returns every frame that was added.
        if self.is_closed() {
            return Err(frame);
        }
        let is_superseded = |waiting: &Frame| {
            waiting.superseding.is_some() && waiting.superseding == frame.superseding
        };
        match frames.iter().position(is_superseded) {
            Some(position) => frames[position] = frame,
            None if frames.len() < MAX_WAITING_FRAMES => frames.push_back(frame),
            None => {}
        }
        drop(frames);
        self.filled.notify_one();
        Ok(())
    }

    /// Waits for the next message to write.
    pub async fn next(&self) -> Vec<u8> {
        loop {
            if let Some(bytes) = self.take_next() {
                return bytes;
            }
            self.filled.notified().await;
        }
    }

    fn take_next(&self) -> Option<Vec<u8>> {
        let now = Instant::now();
        let mut frames = locked(&self.frames);
        while let Some(frame) = frames.pop_front() {
            if frame.is_useful(now) {
                if frame.is_request() {
                    *locked(&self.unanswered) = Some(frame.clone());
                }
                return Some(frame.bytes);
            }
        }
        None
    }

    /// Moves the messages of a queue whose connection was replaced to this one, and closes that queue.
    pub fn drain(&self, replaced: &OutgoingQueue) {
        for frame in replaced.close_and_drain() {
            // If this queue has been closed meanwhile, the messages are dropped.
            let _ = self.add(frame);
        }
    }

    /// Like [`drain`](Self::drain), for a connection that seems dead: the request on it that got no response is
    /// repeated.
    pub fn drain_unresponsive(&self, replaced: &OutgoingQueue) {
        let unanswered = locked(&replaced.unanswered).take();
        if let Some(request) = unanswered {
            let _ = self.add(request);
        }
        self.drain(replaced);
    }

    /// Closes the queue and stops its writer; returns the messages that were not written.
    fn close_and_drain(&self) -> VecDeque<Frame> {
        let mut frames = locked(&self.frames);
        self.closed.store(true, Ordering::SeqCst);
        self.closing.notify_one();
        std::mem::take(&mut *frames)
    }

    /// Records that something was received: the connection works, and its requests are or will be answered.
    pub fn received(&self) {
        *locked(&self.unanswered) = None;
    }

    /// Closes the queue; the messages in it are dropped.
    pub fn close(&self) {
        self.close_and_drain();
    }

    /// Closes the queue when its connection is lost. Returns the request that got no response, if there is one.
    pub(crate) fn abandon(&self) -> Option<Frame> {
        let waiting = self.close_and_drain();
        let newer = waiting.into_iter().find(Frame::is_request);
        newer.or_else(|| locked(&self.unanswered).take())
    }

    /// Returns whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Waits until the queue is closed; for the single task that writes.
    pub async fn closed(&self) {
        while !self.is_closed() {
            self.closing.notified().await;
        }
    }
}
