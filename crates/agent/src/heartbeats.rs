//! Heartbeats of instances: received here, forwarded to the controllers, and answered with their response.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, ReceivedHeartbeat};
use caperworks::messages::Message;
use caperworks::ownership::{HeartbeatResponse, TimestampedResponse};

/// How long a heartbeat waits for the owner manager's response.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// A heartbeat that waits for the response of a controller.
#[derive(Debug, Clone)]
pub(crate) struct PendingHeartbeat {
    pub(crate) ticket: u64,
    pub(crate) number: u64,
    pub(crate) expires_at: Duration,
    /// The response of a controller that is not the owner manager, which only confirms that it received the
    /// heartbeat.
    pub(crate) controller_response: Option<HeartbeatResponse>,
}

impl AgentMachine {
    /// Handles a heartbeat of an instance.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Duration,
        ticket: u64,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Rejected at once, so that the instance finds another agent before this one has stopped.
        if self.stopping_since.is_some() {
            let response = None;
            outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
            return;
        }
        // A heartbeat of unknown age may have waited in a socket while this process was frozen, and its
        // contents may be outdated. With the stamp of this response the instance sends another one at once.
        let Some(age) = echo.and_then(|echo| echo.max_age(now, self.node)) else {
            outputs.push(AgentOutput::RespondToHeartbeat {
                ticket,
                response: Some(TimestampedResponse {
                    response: HeartbeatResponse::default(),
                    stamp: self.link.envelope_clock.stamp(now),
                    resend: true,
                }),
            });
            return;
        };
        let received = ReceivedHeartbeat { heartbeat, age };
        self.link.instances.handle(now, &received);
        self.unforwarded_heartbeats
            .insert(received.heartbeat.id.clone());
        self.next_heartbeat += 1;
        self.pending_heartbeats.push(PendingHeartbeat {
            ticket,
            number: self.next_heartbeat,
            expires_at: now + HEARTBEAT_TIMEOUT,
            controller_response: None,
        });
        let owner_manager = self.link.owner_manager();
        let controller = self.link.controller();
        // Sent to both: only the owner manager renews key range leases, but the fact must reach the other
        // controllers while there is no owner manager.
        if let Some(to) = owner_manager {
            outputs.push(AgentOutput::Send {
                to,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    received: received.clone(),
                },
            });
        }
        if owner_manager != Some(controller) {
            outputs.push(AgentOutput::Send {
                to: controller,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    received,
                },
            });
        }
    }

    /// Handles a controller's response to a heartbeat that was forwarded.
    pub(crate) fn handle_heartbeat_reply(
        &mut self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        response: HeartbeatResponse,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(index) = self
            .pending_heartbeats
            .iter()
            .position(|heartbeat| heartbeat.number == number)
        else {
            return;
        };
        let owner_manager = self.link.owner_manager();
        // This controller received the heartbeat, but only the owner manager renews key range leases, so its
        // response is still awaited.
        if owner_manager.is_some_and(|owner_manager| owner_manager != from) {
            self.pending_heartbeats[index].controller_response = Some(response);
            return;
        }
        let waiting = self.pending_heartbeats.swap_remove(index);
        let response = Some(self.with_stamp(now, response));
        let ticket = waiting.ticket;
        outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
    }

    /// Responds to the heartbeats whose timeout has passed with what is known of them.
    pub(crate) fn respond_to_late_heartbeats(
        &mut self,
        now: Duration,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // During partition fallback the heartbeat was received here; only no key range lease can be renewed.
        let in_fallback = now < self.fallback_quorum.fresh_until();
        let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_heartbeats)
            .into_iter()
            .partition(|heartbeat| now >= heartbeat.expires_at);
        self.pending_heartbeats = waiting;
        for late in expired {
            let local_response = in_fallback.then(HeartbeatResponse::default);
            let response = late.controller_response.or(local_response);
            let response = response.map(|response| self.with_stamp(now, response));
            let ticket = late.ticket;
            outputs.push(AgentOutput::RespondToHeartbeat { ticket, response });
        }
    }

    /// Returns the response with the stamp of this agent.
    fn with_stamp(&self, now: Duration, response: HeartbeatResponse) -> TimestampedResponse {
        TimestampedResponse {
            response,
            stamp: self.link.envelope_clock.stamp(now),
            resend: false,
        }
    }
}
