//! Starts and ends of processes and machines.

use std::time::Duration;

use crate::disks::SimDisk;
use crate::observers::requests::CallerOutcome;
use crate::world::events::Happening;
use crate::world::nodes::{Body, Kind};
use crate::world::World;
use agent::machine::AgentInput;
use caperworks::dispatch::AttemptEnd;
use caperworks::identifiers::ServiceName;
use controller::state_machine::input::ControllerInput;

impl World {
    /// Starts a node's process, unless it runs already.
    pub fn start(&mut self, index: usize) {
        if self.nodes[index].body.is_some() || self.nodes[index].left_for_good {
            return;
        }
        let seed = self.chance.next_u64();
        let (body, outputs) = self.body_of(index, seed);
        let now = self.now;
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.body = Some(body);
        node.frozen = false;
        node.slept = Duration::ZERO;
        node.dark = false;
        node.backlog.clear();
        node.started_at = now;
        if let Kind::Proxy { .. } = node.kind {
            self.observers.proxy_restarted(index);
        }
        let offset = Duration::from_micros(self.chance.below(25_000));
        self.push_at(index, offset, Happening::Tick);
        self.carry_out(index, outputs);
    }

    /// Ends a process. With the power, what was not synced may be lost and nothing is reset.
    pub fn end(&mut self, index: usize, power: bool) {
        let Some(body) = self.nodes[index].body.take() else {
            return;
        };
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.frozen = false;
        node.dark = power;
        node.backlog.clear();
        if power {
            node.disk.power_lost(&mut self.chance);
        } else {
            node.disk.process_ended();
        }
        if power {
            return;
        }
        self.close_connections(index);
        match body {
            // A process that ends resets its connections: the other side learns of it.
            Body::Instance(instance) => {
                for (_, work) in &instance.work {
                    if self.nodes[work.proxy].incarnation == work.proxy_incarnation {
                        let (request, attempt) = (work.request, work.attempt);
                        let ended = Happening::Ended {
                            request,
                            attempt,
                            end: AttemptEnd::ConnectionLost,
                            response: None,
                        };
                        self.send(index, work.proxy, ended);
                    }
                }
            }
            Body::Proxy(proxy) => {
                for carried in proxy.carried.into_values() {
                    let request = carried.request;
                    self.observers
                        .reported(self.now, &request, CallerOutcome::Unknown, None);
                }
            }
            _ => {}
        }
    }

    /// Asks a process to stop, as the platform does.
    pub(super) fn stop(&mut self, index: usize) {
        let local = self.local(index);
        let after = match &mut self.nodes[index].body {
            Some(Body::Controller(machine)) => {
                let outputs = machine.input(local, ControllerInput::Shutdown);
                self.carry_out(index, outputs);
                return;
            }
            Some(Body::Agent(machine)) => {
                machine.input(local, AgentInput::Stop);
                return;
            }
            Some(Body::Proxy(proxy)) => {
                proxy.stopping_since.get_or_insert(local);
                return;
            }
            Some(Body::Directory(machine)) => {
                machine.shut_down_gracefully();
                Duration::from_millis(500)
            }
            Some(Body::Instance(instance)) => {
                instance.leave();
                Duration::from_millis(5000)
            }
            None => return,
        };
        self.push_at(index, after, Happening::Ends);
    }

    /// Replaces a machine for good by an empty one at a new address, in the same zone.
    pub(super) fn move_away(&mut self, index: usize) {
        self.vanish(index);
        self.add_another(index);
    }

    /// Adds an empty node of the same kind, in the same zone, at a new address.
    pub(super) fn add_another(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (name, zone, kind) = (node.name.clone(), node.zone.clone(), node.kind.clone());
        let next = self.add(format!("{name}-new"), zone.as_str(), kind);
        self.start(next);
    }

    /// Ends a machine with its power, and leaves its disk empty.
    pub(super) fn wipe(&mut self, index: usize) {
        self.end(index, true);
        self.nodes[index].disk = SimDisk::default();
    }

    /// Ends a machine that never comes back.
    pub(super) fn vanish(&mut self, index: usize) {
        self.end(index, true);
        self.nodes[index].left_for_good = true;
    }

    /// Ends an instance; another of the given service starts at its address.
    pub(super) fn take_over(&mut self, index: usize, service: &str) {
        self.end(index, false);
        let node = &mut self.nodes[index];
        node.name = format!("{}-again", node.name);
        if let Kind::Instance {
            service: served, ..
        } = &mut node.kind
        {
            *served = ServiceName::new(service);
        }
        self.start(index);
    }
}
