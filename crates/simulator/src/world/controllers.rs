//! Events that controllers receive, and their outputs: messages, disk writes, responses and log
//! events.

use std::time::Duration;

use crate::day::{FaultStep, FaultTrigger};
use crate::world::events::{DeregistrationTicket, HeartbeatTicket, NodeEvent};
use crate::world::nodes::Process;
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
    /// Passes an event to a controller's state machine.
    pub(super) fn handle_controller_event(
        &mut self,
        index: usize,
        local: Duration,
        mut machine: Box<ControllerMachine>,
        event: NodeEvent,
    ) {
        let input = match event {
            NodeEvent::Tick => Some(ControllerInput::Tick),
            NodeEvent::Control { envelope } => {
                if let Message::HeartbeatForward {
                    received: heard, ..
                } = &envelope.message
                {
                    if heard.heartbeat.state == InstanceState::Draining {
                        self.observers.draining_received(self.now, &heard.heartbeat);
                    }
                }
                Some(ControllerInput::MessageReceived {
                    envelope: *envelope,
                })
            }
            NodeEvent::WriteDone {
                ticket,
                succeeded: true,
            } => {
                self.nodes[index].disk.sync(ticket);
                Some(ControllerInput::WriteSynced { ticket })
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
                Some(ControllerInput::Heartbeat {
                    ticket,
                    heartbeat: *heartbeat,
                    echo,
                })
            }
            NodeEvent::DeregistrationArrived {
                id,
                instance,
                instance_incarnation,
            } => {
                let pending = DeregistrationTicket {
                    instance,
                    instance_incarnation,
                };
                let ticket = self.register_deregistration(index, pending);
                Some(ControllerInput::DeregistrationReceived { ticket, id })
            }
            NodeEvent::WriteDone {
                ticket,
                succeeded: false,
            } => Some(ControllerInput::WriteFailed { ticket }),
            _ => None,
        };
        let outputs = input
            .map(|input| machine.input(local, input))
            .unwrap_or_default();
        self.nodes[index].process = Some(Process::Controller(machine));
        self.execute_outputs(index, outputs);
    }

    /// Executes the outputs of a controller's state machine.
    pub(super) fn execute_outputs(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut change_accepted = false;
        let mut deregistration_acknowledged = false;
        for output in outputs {
            match output {
                ControllerOutput::ShutdownComplete => self.end_process(index, false),
                ControllerOutput::Send { to, message } => self.send_control(index, to, message),
                ControllerOutput::Write { ticket, writes } => {
                    self.start_write(index, ticket, writes)
                }
                ControllerOutput::Respond { ticket, response } => {
                    match self.deregistration_tickets.remove(&(index, ticket)) {
                        Some(pending) => {
                            deregistration_acknowledged |=
                                self.take_deregistration_response(index, &pending, &response);
                        }
                        None => change_accepted |= self.take_response(index, ticket, response),
                    }
                }
                ControllerOutput::LogEvent { event } => self.record_event(index, event),
            }
        }
        if change_accepted {
            self.apply_waiting_faults(FaultTrigger::OnAcceptance);
        }
        if deregistration_acknowledged {
            self.apply_waiting_faults(FaultTrigger::OnDeregistration);
        }
    }

    /// Applies the faults that wait for this event.
    fn apply_waiting_faults(&mut self, trigger: FaultTrigger) {
        let waiting = std::mem::take(&mut self.waiting_faults);
        let (due, waiting) = waiting
            .into_iter()
            .partition(|fault: &FaultStep| fault.trigger == trigger);
        self.waiting_faults = waiting;
        let due: Vec<FaultStep> = due;
        for fault_step in due {
            self.apply_fault(&fault_step);
        }
    }

    /// Starts a disk write; its success or failure is reported later by an event.
    fn start_write(&mut self, index: usize, ticket: u64, writes: Vec<DiskWrite>) {
        let succeeded = !self.nodes[index].disk.fails_writes;
        if succeeded {
            self.nodes[index].disk.unsynced.push_back((ticket, writes));
        }
        let slow = self.random.below(50) == 0;
        let usual_us = self.day.max_sync_time.as_micros() as u64;
        let max_us = if slow { 60_000.max(usual_us) } else { usual_us };
        let after = Duration::from_micros(300 + self.random.below(max_us));
        self.schedule_for_node(index, after, NodeEvent::WriteDone { ticket, succeeded });
    }

    /// Takes a response to an operator; returns whether a change was accepted.
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
                self.last_accepting_controller = Some(index);
            }
            return accepted;
        }
        if let Some(requested_at) = self.pending_reads.remove(&ticket) {
            if let OperatorResponse::Configuration { map } = response {
                let name = &self.nodes[index].name;
                self.observers
                    .read_returned(self.now, requested_at, name, map.version);
            }
        }
        false
    }

    /// Forwards a controller's response to the instance that sent it a heartbeat.
    fn take_heartbeat_response(&mut self, index: usize, ticket: u64, response: OperatorResponse) {
        let response = match response {
            OperatorResponse::Heartbeat { response } => Some(response),
            _ => None,
        };
        let is_acknowledged = response.is_some();
        let pending = self.respond_to_heartbeat(index, ticket, response);
        let Some(pending) = pending.filter(|pending| is_acknowledged && pending.is_draining) else {
            return;
        };
        if let Some(Process::Instance(instance)) = &self.nodes[pending.instance].process {
            let heartbeat = instance.current_heartbeat(self.now);
            self.observers.draining_received(self.now, &heartbeat);
        }
    }

    /// Passes a logged event to the observers, and for an updated map its content.
    fn record_event(&mut self, index: usize, event: Event) {
        let node = &self.nodes[index];
        if let (Event::MapUpdated { map, version }, Some(Process::Controller(machine))) =
            (&event, &node.process)
        {
            match map {
                MapName::Placement => {
                    if let Some(mapping) = machine.state.map(*map).mapping() {
                        self.observers.mapping_changed(*version, mapping);
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
        self.observers.log_event(self.now, name, event);
    }

    fn proposal_outcome(&mut self, change: &Change, proposal_outcome: &ProposalOutcome) {
        self.proposal_outcomes
            .insert(change.id.clone(), proposal_outcome.clone());
        if self.completed_changes.len() < 100 && change.puts.len() < 10 {
            self.completed_changes.push(change.clone());
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
        let local = self.local_time(index);
        let outputs = match &mut self.nodes[index].process {
            Some(Process::Controller(machine)) => {
                machine.input(local, super::operators::operator_input(ticket, call, local))
            }
            _ => Vec::new(),
        };
        self.execute_outputs(index, outputs);
    }
}
