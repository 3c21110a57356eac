//! Events that agents receive, and the outputs of their state machines.

use std::time::Duration;

use crate::world::events::{HeartbeatTicket, NodeEvent};
use crate::world::nodes::Process;
use crate::world::World;
use agent::machine::{AgentInput, AgentMachine, AgentOutput};
use caperworks::facts::InstanceState;
use caperworks::ownership::TimestampedResponse;

impl World {
    /// Passes an event to an agent's state machine.
    pub(super) fn handle_agent_event(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<AgentMachine>,
        event: NodeEvent,
    ) {
        let input = match event {
            NodeEvent::Tick => Some(AgentInput::Tick),
            NodeEvent::Control { envelope } => Some(AgentInput::Received {
                envelope: *envelope,
            }),
            NodeEvent::ControlProgress if !self.day.agents_ignore_progress => {
                Some(AgentInput::PartialFrame)
            }
            NodeEvent::HeartbeatArrived {
                heartbeat,
                echo,
                number,
                instance,
                instance_incarnation,
            } => {
                let pending = HeartbeatTicket {
                    instance,
                    instance_incarnation,
                    number,
                    is_draining: heartbeat.state == InstanceState::Draining,
                };
                let ticket = self.register_heartbeat(index, pending);
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
        self.nodes[index].process = Some(Process::Agent(machine));
        self.execute_agent_outputs(index, outputs);
    }

    /// Records that a heartbeat of an instance awaits a response; returns its ticket.
    pub(super) fn register_heartbeat(&mut self, index: usize, pending: HeartbeatTicket) -> u64 {
        self.next_ticket += 1;
        self.heartbeat_tickets
            .insert((index, self.next_ticket), pending);
        self.next_ticket
    }

    /// Returns whether a node's ticket belongs to a heartbeat.
    pub(super) fn is_heartbeat_ticket(&self, index: usize, ticket: u64) -> bool {
        self.heartbeat_tickets.contains_key(&(index, ticket))
    }

    /// Sends an instance the response to its heartbeat, unless it has restarted since.
    pub(super) fn respond_to_heartbeat(
        &mut self,
        index: usize,
        ticket: u64,
        response: Option<TimestampedResponse>,
    ) -> Option<HeartbeatTicket> {
        let pending = self.heartbeat_tickets.remove(&(index, ticket))?;
        if self.nodes[pending.instance].incarnation == pending.instance_incarnation {
            let number = pending.number;
            let response_event = NodeEvent::HeartbeatResponse { number, response };
            self.send(index, pending.instance, response_event);
        }
        Some(pending)
    }

    fn execute_agent_outputs(&mut self, index: usize, outputs: Vec<AgentOutput>) {
        for output in outputs {
            match output {
                AgentOutput::Send { to, message } => {
                    self.send_control(index, to, message);
                }
                AgentOutput::RespondToHeartbeat { ticket, response } => {
                    self.respond_to_heartbeat(index, ticket, response);
                }
                AgentOutput::Stopped => self.end_process(index, false),
                AgentOutput::LogEvent { .. } | AgentOutput::RespondToUsage { .. } => {}
            }
        }
    }
}
