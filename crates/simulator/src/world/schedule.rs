//! The scheduler: processes events in the order of their time and delivers them to the nodes.

use std::cmp::Reverse;
use std::time::Duration;

use crate::day::FaultTrigger;
use crate::world::events::{NodeEvent, ScheduledEvent};
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::dispatch::AttemptEnd;
use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::identifiers::NodeId;

impl World {
    /// Schedules the day's traffic, operators' calls and faults, and the observers' inspections.
    pub(super) fn schedule_day(&mut self) {
        for kind in 0..self.scenario.traffic.len() {
            if self.scenario.traffic[kind].keys > 0 {
                self.observers.keyed_kinds.insert(kind);
            }
            self.schedule(
                self.day.traffic_from,
                ScheduledEvent::ClientTraffic { kind },
            );
        }
        self.schedule(Duration::from_millis(1500), ScheduledEvent::Operator);
        // There is nothing to read before the operator's first change.
        self.schedule(
            Duration::from_millis(1500) + super::READ_INTERVAL,
            ScheduledEvent::Reader,
        );
        for index in 0..self.day.faults.len() {
            self.schedule(self.day.faults[index].at, ScheduledEvent::Fault { index });
        }
        self.schedule(super::OBSERVATION_INTERVAL, ScheduledEvent::Observe);
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Duration, event: ScheduledEvent) {
        self.scheduled_count += 1;
        let slot = self.scheduled.insert(event);
        self.queue.push(Reverse((at, self.scheduled_count, slot)));
    }

    /// Schedules an event for a node's current incarnation after a delay.
    pub(super) fn schedule_for_node(&mut self, node: usize, after: Duration, event: NodeEvent) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(
            self.now + after,
            ScheduledEvent::ForNode {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Runs until the end of the day, then checks the final state.
    pub fn run(&mut self) {
        let end = self.day.length;
        self.run_until(end);
        self.check_final_state();
        self.observers.check_recovery(end);
    }

    /// Runs until the given time.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let scheduled = self.scheduled.remove(slot);
            self.dispatch(scheduled);
        }
        self.now = end;
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::ForNode {
                node,
                incarnation,
                event,
            } => self.deliver(node, incarnation, event),
            ScheduledEvent::ClientTraffic { kind } => self.generate_traffic(kind),
            ScheduledEvent::HotKeyTraffic => self.generate_hot_key_traffic(),
            ScheduledEvent::Operator => self.run_operator(),
            ScheduledEvent::Reader => self.run_reader(),
            ScheduledEvent::Fault { index } => {
                let fault = self.day.faults[index].clone();
                match fault.trigger {
                    FaultTrigger::AtTime => self.apply_fault(&fault),
                    FaultTrigger::OnAcceptance | FaultTrigger::OnDeregistration => {
                        self.waiting_faults.push(fault);
                    }
                }
            }
            ScheduledEvent::Observe => self.observe(),
            ScheduledEvent::AdvanceLinks => self.advance_limited_links(),
            ScheduledEvent::Segment { segment } => self.enter_receiver_link(*segment),
        }
    }

    /// Delivers an event to a node, if it is still the incarnation that the event is for.
    fn deliver(&mut self, index: usize, incarnation: u64, event: NodeEvent) {
        let node = &mut self.nodes[index];
        // Connections and heartbeats go to an address, so any incarnation at that address receives
        // them.
        let by_address = matches!(
            event,
            NodeEvent::Connect { .. } | NodeEvent::HeartbeatArrived { .. }
        );
        if node.process.is_none() || (node.incarnation != incarnation && !by_address) {
            // A running machine resets connections to a process that has ended.
            if !node.powered_off {
                self.reset(index, &event);
            }
            return;
        }
        if matches!(event, NodeEvent::ShutdownFinished) {
            self.end_process(index, false);
            return;
        }
        let frozen = node.frozen;
        // Recorded on arrival: a request has reached an instance once it is at its machine, even if
        // the process is frozen and reads it later.
        if let NodeEvent::AttemptArrived {
            request,
            proxy,
            target,
            route,
            configuration,
            ..
        } = &event
        {
            self.record_received_attempt(index, *request, *proxy, route, target, *configuration);
        }
        if let NodeEvent::Connect {
            request,
            attempt,
            proxy,
            proxy_incarnation,
            ..
        } = event
        {
            // The machine's kernel accepts connections, also while the process is frozen.
            if self.nodes[proxy].incarnation == proxy_incarnation {
                self.send(index, proxy, NodeEvent::Connected { request, attempt });
            }
            return;
        }
        let node = &mut self.nodes[index];
        if frozen {
            if matches!(event, NodeEvent::Tick) {
                self.schedule_for_node(index, super::TICK, NodeEvent::Tick);
            } else {
                node.backlog.push(event);
            }
            return;
        }
        self.handle_event(index, event);
    }

    /// Responds in place of a process that has ended: its machine resets the connection.
    fn reset(&mut self, index: usize, event: &NodeEvent) {
        let (request, attempt, proxy, proxy_incarnation, end) = match event {
            NodeEvent::Connect {
                request,
                attempt,
                proxy,
                proxy_incarnation,
                ..
            } => (
                *request,
                *attempt,
                *proxy,
                *proxy_incarnation,
                AttemptEnd::NotOpened,
            ),
            NodeEvent::AttemptArrived {
                request,
                attempt,
                proxy,
                proxy_incarnation,
                ..
            } => (
                *request,
                *attempt,
                *proxy,
                *proxy_incarnation,
                AttemptEnd::ConnectionLost,
            ),
            _ => return,
        };
        if self.nodes[proxy].incarnation == proxy_incarnation {
            let ended = NodeEvent::AttemptEnded {
                request,
                attempt,
                end,
                response: None,
            };
            self.send(index, proxy, ended);
        }
    }

    /// Treats an event as sent just now; used only to test the observers.
    fn mark_as_fresh(&self, index: usize, event: &mut NodeEvent) {
        let at = self.local_time(index);
        let fresh = |incarnation: NodeId| {
            let stamp = Stamp { incarnation, at };
            let held = Duration::ZERO;
            Some(Echo { stamp, held })
        };
        match (event, &self.nodes[index].process) {
            (NodeEvent::Control { envelope }, Some(Process::Controller(machine))) => {
                envelope.echo = fresh(machine.state.incarnation);
            }
            (NodeEvent::HeartbeatArrived { echo, .. }, Some(Process::Agent(machine))) => {
                *echo = fresh(machine.node());
            }
            _ => {}
        }
    }

    /// Passes an event to the state machine of a node's process.
    pub(super) fn handle_event(&mut self, index: usize, mut event: NodeEvent) {
        if self.day.input_counts_as_fresh {
            self.mark_as_fresh(index, &mut event);
        }
        let local = self.local_time(index);
        let Some(process) = self.nodes[index].process.take() else {
            return;
        };
        if matches!(event, NodeEvent::Tick) {
            self.schedule_for_node(index, super::TICK, NodeEvent::Tick);
        }
        match process {
            Process::Controller(machine) => {
                self.handle_controller_event(index, local, machine, event)
            }
            Process::Agent(machine) => self.handle_agent_event(index, local, machine, event),
            Process::Directory(machine) => {
                self.handle_directory_event(index, local, machine, event)
            }
            Process::Proxy(proxy) => self.handle_proxy_event(index, local, proxy, event),
            Process::Instance(instance) => {
                self.handle_instance_event(index, local, instance, event)
            }
        }
    }
}
