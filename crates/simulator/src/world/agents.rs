//! What agents hear, and what they want done.

use std::time::Duration;

use crate::world::events::{Happening, HeartbeatTicket};
use crate::world::nodes::Body;
use crate::world::World;
use agent::machine::{AgentInput, AgentMachine, AgentOutput};
use caperworks::facts::InstanceState;
use caperworks::ownership::TimestampedResponse;

impl World {
    /// Lets an agent take up what happened to it.
    pub(super) fn act_agent(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<AgentMachine>,
        happening: Happening,
    ) {
        let input = match happening {
            Happening::Tick => Some(AgentInput::Tick),
            Happening::Control { envelope } => Some(AgentInput::Received {
                envelope: *envelope,
            }),
            Happening::ControlPart if !self.day.unreported_progress => {
                Some(AgentInput::PartialFrame)
            }
            Happening::HeartbeatTarget {
                heartbeat,
                echo,
                number,
                instance,
                instance_incarnation,
            } => {
                let owed = HeartbeatTicket {
                    instance,
                    instance_incarnation,
                    number,
                    leaves: heartbeat.state == InstanceState::Draining,
                };
                let ticket = self.owe_heartbeat_response(index, owed);
                Some(AgentInput::Heartbeat {
                    ticket,
                    heartbeat: *heartbeat,
                    echo,
                })
            }
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[index].body = Some(Body::Agent(machine));
        self.carry_out_agent(index, outputs);
    }

    /// Notes which instance an answer to its heartbeat is owed to; gives the ticket for it.
    pub(super) fn owe_heartbeat_response(&mut self, index: usize, owed: HeartbeatTicket) -> u64 {
        self.next_ticket += 1;
        self.tickets.insert((index, self.next_ticket), owed);
        self.next_ticket
    }

    /// Whether this ticket of a node is for an answer to a heartbeat.
    pub(super) fn is_heartbeat_ticket(&self, index: usize, ticket: u64) -> bool {
        self.tickets.contains_key(&(index, ticket))
    }

    /// Sends an instance the answer to its heartbeat, unless it lives another life by now.
    pub(super) fn respond_to_heartbeat(
        &mut self,
        index: usize,
        ticket: u64,
        response: Option<TimestampedResponse>,
    ) -> Option<HeartbeatTicket> {
        let owed = self.tickets.remove(&(index, ticket))?;
        if self.nodes[owed.instance].incarnation == owed.instance_incarnation {
            let number = owed.number;
            let answered = Happening::HeartbeatResponded { number, response };
            self.send(index, owed.instance, answered);
        }
        Some(owed)
    }

    fn carry_out_agent(&mut self, index: usize, outputs: Vec<AgentOutput>) {
        for output in outputs {
            match output {
                AgentOutput::Send { to, message } => {
                    self.send_control(index, to, message);
                }
                AgentOutput::RespondToHeartbeat { ticket, response } => {
                    self.respond_to_heartbeat(index, ticket, response);
                }
                AgentOutput::Stopped => self.end(index, false),
                AgentOutput::LogEvent { .. } | AgentOutput::RespondToUsage { .. } => {}
            }
        }
    }
}
