//! Start, shutdown and loss of processes and machines.

use std::time::Duration;

use crate::disks::SimDisk;
use crate::observers::requests::ClientOutcome;
use crate::world::events::NodeEvent;
use crate::world::nodes::{NodeKind, Process};
use crate::world::World;
use agent::machine::AgentInput;
use caperworks::dispatch::AttemptEnd;
use caperworks::identifiers::ServiceName;
use controller::state_machine::input::ControllerInput;

impl World {
    /// Starts a node's process, unless it is running already.
    pub fn start(&mut self, index: usize) {
        if self.nodes[index].process.is_some() || self.nodes[index].permanently_lost {
            return;
        }
        let seed = self.random.next_u64();
        let (process, outputs) = self.create_process(index, seed);
        let now = self.now;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.process = Some(process);
        node.frozen = false;
        node.frozen_time = Duration::ZERO;
        node.powered_off = false;
        node.backlog.clear();
        node.started_at = now;
        if let NodeKind::Proxy { .. } = node.kind {
            self.observers.proxy_restarted(index);
        }
        let offset = Duration::from_micros(self.random.below(25_000));
        self.schedule_for_node(index, offset, NodeEvent::Tick);
        self.execute_outputs(index, outputs);
    }

    /// Ends a process. On a power loss, unsynced writes may be lost and no connection is reset.
    pub fn end_process(&mut self, index: usize, power_loss: bool) {
        let Some(process) = self.nodes[index].process.take() else {
            return;
        };
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.frozen = false;
        node.powered_off = power_loss;
        node.backlog.clear();
        if power_loss {
            node.disk.on_power_loss(&mut self.random);
        } else {
            node.disk.on_process_exit();
        }
        if power_loss {
            return;
        }
        self.close_connections(index);
        match process {
            // A process that exits resets its connections, so its peers notice.
            Process::Instance(instance) => {
                for (_, work) in &instance.work {
                    if self.nodes[work.proxy].incarnation == work.proxy_incarnation {
                        let (request, attempt) = (work.request, work.attempt);
                        let ended = NodeEvent::AttemptEnded {
                            request,
                            attempt,
                            end: AttemptEnd::ConnectionLost,
                            response: None,
                        };
                        self.send(index, work.proxy, ended);
                    }
                }
            }
            Process::Proxy(proxy) => {
                for in_flight in proxy.in_flight.into_values() {
                    let request = in_flight.request;
                    self.observers.outcome_reported(
                        self.now,
                        &request,
                        ClientOutcome::Unknown,
                        None,
                    );
                }
            }
            _ => {}
        }
    }

    /// Requests a graceful shutdown, as the platform does.
    pub(super) fn stop(&mut self, index: usize) {
        let local = self.local_time(index);
        let delay = match &mut self.nodes[index].process {
            Some(Process::Controller(machine)) => {
                let outputs = machine.input(local, ControllerInput::Shutdown);
                self.execute_outputs(index, outputs);
                return;
            }
            Some(Process::Agent(machine)) => {
                machine.input(local, AgentInput::Stop);
                return;
            }
            Some(Process::Proxy(proxy)) => {
                proxy.stopping_since.get_or_insert(local);
                return;
            }
            Some(Process::Directory(machine)) => {
                machine.shut_down_gracefully();
                Duration::from_millis(500)
            }
            Some(Process::Instance(instance)) => {
                instance.start_draining();
                Duration::from_millis(5000)
            }
            None => return,
        };
        self.schedule_for_node(index, delay, NodeEvent::ShutdownFinished);
    }

    /// Replaces a machine permanently by an empty one at a new address in the same zone.
    pub(super) fn move_to_new_address(&mut self, index: usize) {
        self.lose_permanently(index);
        self.add_empty_node(index);
    }

    /// Adds an empty node of the same kind in the same zone at a new address.
    pub(super) fn add_empty_node(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (name, zone, kind) = (node.name.clone(), node.zone.clone(), node.kind.clone());
        let next = self.add_node(format!("{name}-new"), zone.as_str(), kind);
        self.start(next);
    }

    /// Powers a machine off and erases its disk.
    pub(super) fn lose_disk(&mut self, index: usize) {
        self.end_process(index, true);
        self.nodes[index].disk = SimDisk::default();
    }

    /// Powers a machine off permanently.
    pub(super) fn lose_permanently(&mut self, index: usize) {
        self.end_process(index, true);
        self.nodes[index].permanently_lost = true;
    }

    /// Ends an instance and starts one of the given service at its address.
    pub(super) fn reuse_address(&mut self, index: usize, service: &str) {
        self.end_process(index, false);
        let node = &mut self.nodes[index];
        node.name = format!("{}-again", node.name);
        if let NodeKind::Instance {
            service: served, ..
        } = &mut node.kind
        {
            *served = ServiceName::new(service);
        }
        self.start(index);
    }
}
