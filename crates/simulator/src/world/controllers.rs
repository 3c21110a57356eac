//! What controllers want done: messages, disk writes, answers and events.

use std::time::Duration;

use crate::world::events::{Happening, HeartbeatTicket};
use crate::world::nodes::Body;
use crate::world::World;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::InstanceState;
use caperworks::leadership::OWNERSHIP;
use caperworks::messages::Message;
use caperworks::replicated_map::{Change, MapName};
use caperworks::slots::DiskWrite;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use controller::state_machine::output::ControllerOutput;
use controller::state_machine::ControllerMachine;

impl World {
    /// Lets a controller take up what happened to it.
    pub(super) fn act_controller(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<ControllerMachine>,
        happening: Happening,
    ) {
        let input = match happening {
            Happening::Tick => Some(ControllerInput::Tick),
            Happening::Control { envelope } => {
                if let Message::HeartbeatForward {
                    received: heard, ..
                } = &envelope.message
                {
                    if heard.heartbeat.state == InstanceState::Draining {
                        self.observers.heard_draining(self.now, &heard.heartbeat);
                    }
                }
                Some(ControllerInput::MessageReceived {
                    envelope: *envelope,
                })
            }
            Happening::Synced { ticket, well: true } => {
                self.nodes[index].disk.sync(ticket);
                Some(ControllerInput::WriteSynced { ticket })
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
                Some(ControllerInput::Heartbeat {
                    ticket,
                    heartbeat: *heartbeat,
                    echo,
                })
            }
            Happening::Synced {
                ticket,
                well: false,
            } => Some(ControllerInput::WriteFailed { ticket }),
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[index].body = Some(Body::Controller(machine));
        self.carry_out(index, outputs);
    }

    /// Carries out what a controller wants done.
    pub(super) fn carry_out(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut struck = false;
        for output in outputs {
            match output {
                ControllerOutput::ShutdownComplete => self.end(index, false),
                ControllerOutput::Send { to, message } => self.send_control(index, to, message),
                ControllerOutput::Write { ticket, writes } => self.write(index, ticket, writes),
                ControllerOutput::Respond { ticket, response } => {
                    struck |= self.take_response(index, ticket, response);
                }
                ControllerOutput::LogEvent { event } => self.record_event(index, event),
            }
        }
        if struck {
            for fault_step in std::mem::take(&mut self.on_yes) {
                self.fault(&fault_step);
            }
        }
    }

    /// Begins to write; the disk tells later whether that went well.
    fn write(&mut self, index: usize, ticket: u64, writes: Vec<DiskWrite>) {
        let well = !self.nodes[index].disk.refuses;
        if well {
            self.nodes[index].disk.unsynced.push_back((ticket, writes));
        }
        let slow = self.chance.below(50) == 0;
        let usual = self.day.disk_span.as_micros() as u64;
        let most = if slow { 60_000.max(usual) } else { usual };
        let after = Duration::from_micros(300 + self.chance.below(most));
        self.push_at(index, after, Happening::Synced { ticket, well });
    }

    /// Takes the answer to an operator; says whether a change was accepted.
    fn take_response(&mut self, index: usize, ticket: u64, response: OperatorResponse) -> bool {
        if self.is_heartbeat_ticket(index, ticket) {
            self.take_heartbeat_response(index, ticket, response);
            return false;
        }
        if let OperatorResponse::ProposalOutcome { proposal_outcome } = response {
            let Some(change) = self.operator_calls.remove(&ticket) else {
                return false;
            };
            self.proposal_outcome(&change, &proposal_outcome);
            let accepted = matches!(proposal_outcome, ProposalOutcome::Accepted(_));
            if accepted {
                self.answering = Some(index);
            }
            return accepted;
        }
        if let Some(asked_at) = self.reads.remove(&ticket) {
            if let OperatorResponse::Configuration { map } = response {
                let name = &self.nodes[index].name;
                self.observers
                    .read_shown(self.now, asked_at, name, map.version);
            }
        }
        false
    }

    /// Passes on a controller's answer to an instance that sent its heartbeat there.
    fn take_heartbeat_response(&mut self, index: usize, ticket: u64, response: OperatorResponse) {
        let response = match response {
            OperatorResponse::Heartbeat { response } => Some(response),
            _ => None,
        };
        let is_acknowledged = response.is_some();
        let owed = self.respond_to_heartbeat(index, ticket, response);
        let Some(owed) = owed.filter(|owed| is_acknowledged && owed.leaves) else {
            return;
        };
        if let Some(Body::Instance(instance)) = &self.nodes[owed.instance].body {
            let heartbeat = instance.says(self.now);
            self.observers.heard_draining(self.now, &heartbeat);
        }
    }

    /// Shows the observers an event, and what a controller holds since a map moved.
    fn record_event(&mut self, index: usize, event: Event) {
        let node = &self.nodes[index];
        if let (Event::MapUpdated { map, version }, Some(Body::Controller(machine))) =
            (&event, &node.body)
        {
            match map {
                MapName::Placement => {
                    if let Some(mapping) = machine.state.map(*map).mapping() {
                        self.observers.mapped(*version, mapping);
                    }
                }
                MapName::Membership => {
                    if let Some(term) = machine.state.map(*map).leadership(OWNERSHIP) {
                        self.observers.owner_manager_known(self.now, term.leader);
                    }
                }
                _ => {}
            }
        }
        let name = node.name.clone();
        self.observers.noted(self.now, name, event);
    }

    fn proposal_outcome(&mut self, change: &Change, proposal_outcome: &ProposalOutcome) {
        self.proposal_outcomes
            .insert(change.id.clone(), proposal_outcome.clone());
        if self.answered_calls.len() < 100 && change.puts.len() < 10 {
            self.answered_calls.push(change.clone());
        }
        self.observers
            .proposal_outcome(self.now, change, proposal_outcome);
        match proposal_outcome {
            ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version) => {
                for put in &change.puts {
                    self.known_versions.insert(put.key.clone(), *version);
                }
            }
            ProposalOutcome::Conflicts(conflicts) => {
                for conflict in conflicts {
                    self.known_versions
                        .insert(conflict.key.clone(), conflict.current);
                }
            }
            _ => {}
        }
    }

    pub(super) fn call(&mut self, index: usize, ticket: u64, call: OperatorCall) {
        let local = self.local(index);
        let outputs = match &mut self.nodes[index].body {
            Some(Body::Controller(machine)) => {
                machine.input(local, super::operators::operator_input(ticket, call, local))
            }
            _ => Vec::new(),
        };
        self.carry_out(index, outputs);
    }
}
