//! Instances' heartbeats: heard here, passed on to the core, and answered by what it says.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::envelope_clock::Echo;
use caperworks::facts::{HeardHeartbeat, Heartbeat};
use caperworks::messages::Message;
use caperworks::ownership::{HeartbeatResponse, TimestampedResponse};

/// How long a heartbeat waits for the owner manager's answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// A heartbeat that waits for the core's answer.
#[derive(Debug, Clone)]
pub(crate) struct WaitingHeartbeat {
    pub(crate) ticket: u64,
    pub(crate) number: u64,
    pub(crate) until: Duration,
    /// The answer of a controller that is not the owner manager: it heard the heartbeat, no more.
    pub(crate) spread: Option<HeartbeatResponse>,
}

impl AgentMachine {
    pub(crate) fn heartbeat(
        &mut self,
        now: Duration,
        ticket: u64,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Why at once: the instance is to find another agent before this one is gone.
        if self.stopping_since.is_some() {
            let response = None;
            outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
            return;
        }
        // Why not taken at its word: a heartbeat may have lain in a socket while we were frozen, and
        // what it says may be long over. With our stamp in hand the instance heartbeats again at once.
        let Some(age) = echo.and_then(|echo| echo.max_age(now, self.node)) else {
            outputs.push(AgentOutput::RespondToHeartbeat {
                ticket,
                response: Some(TimestampedResponse {
                    response: HeartbeatResponse::default(),
                    stamp: self.link.envelope_clock.stamp(now),
                    again: true,
                }),
            });
            return;
        };
        let heard = HeardHeartbeat { heartbeat, age };
        self.link.instances.handle(now, &heard);
        self.beaten.insert(heard.heartbeat.id.clone());
        self.next_heartbeat += 1;
        self.heartbeats.push(WaitingHeartbeat {
            ticket,
            number: self.next_heartbeat,
            until: now + HEARTBEAT_TIMEOUT,
            spread: None,
        });
        let owner_manager = self.link.owner_manager();
        let controller = self.link.controller();
        // Why both: only the owner manager renews holds, but the fact must spread while there is none.
        if let Some(to) = owner_manager {
            outputs.push(AgentOutput::Send {
                to,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    heard: heard.clone(),
                },
            });
        }
        if owner_manager != Some(controller) {
            outputs.push(AgentOutput::Send {
                to: controller,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    heard,
                },
            });
        }
    }

    /// Takes a controller's answer to a heartbeat that was passed on.
    pub(crate) fn handle_heartbeat_reply(
        &mut self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        response: HeartbeatResponse,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(index) = self
            .heartbeats
            .iter()
            .position(|heartbeat| heartbeat.number == number)
        else {
            return;
        };
        let owner_manager = self.link.owner_manager();
        // Why wait on: this controller heard the heartbeat, but only the owner manager renews holds.
        if owner_manager.is_some_and(|owner_manager| owner_manager != from) {
            self.heartbeats[index].spread = Some(response);
            return;
        }
        let waiting = self.heartbeats.swap_remove(index);
        let response = Some(self.dated(now, response));
        let ticket = waiting.ticket;
        outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
    }

    /// Answers the heartbeats whose time is over by what is known of them.
    pub(crate) fn respond_to_late_heartbeats(
        &mut self,
        now: Duration,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Why an answer all the same on an island: the heartbeat was heard, only no hold can be renewed.
        let in_fallback = now < self.fallback_quorum.until();
        let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.heartbeats)
            .into_iter()
            .partition(|heartbeat| now >= heartbeat.until);
        self.heartbeats = waiting;
        for late in over {
            let heard_here = in_fallback.then(HeartbeatResponse::default);
            let response = late.spread.or(heard_here);
            let response = response.map(|response| self.dated(now, response));
            let ticket = late.ticket;
            outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
        }
    }

    /// An answer with our stamp on it.
    fn dated(&self, now: Duration, response: HeartbeatResponse) -> TimestampedResponse {
        TimestampedResponse {
            response,
            stamp: self.link.envelope_clock.stamp(now),
            again: false,
        }
    }
}
