//! Callers that wait for a response of an actor.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::locks::locked;

/// The last ticket that was issued, and the channels of the callers.
struct Waiting<Respond> {
    last_ticket: u64,
    senders: HashMap<u64, oneshot::Sender<Respond>>,
}

/// The callers that wait for a response of a state machine, by ticket.
pub struct Tickets<Respond> {
    waiting: Mutex<Waiting<Respond>>,
}

impl<Respond> Default for Tickets<Respond> {
    fn default() -> Self {
        Self {
            waiting: Mutex::new(Waiting {
                last_ticket: 0,
                senders: HashMap::new(),
            }),
        }
    }
}

impl<Respond> Tickets<Respond> {
    /// Issues a ticket; returns it with the receiver of its response.
    pub fn issue(&self) -> (u64, oneshot::Receiver<Respond>) {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = locked(&self.waiting);
        waiting.last_ticket += 1;
        let ticket = waiting.last_ticket;
        waiting.senders.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Removes a ticket whose caller no longer waits, or to which there will be no response.
    pub fn discard(&self, ticket: u64) {
        locked(&self.waiting).senders.remove(&ticket);
    }

    /// Sends the response to the caller with this ticket. An unknown ticket, and a caller that no longer waits,
    /// are ignored.
    pub fn respond(&self, ticket: u64, response: Respond) {
        if let Some(sender) = locked(&self.waiting).senders.remove(&ticket) {
            let _ = sender.send(response);
        }
    }
}
