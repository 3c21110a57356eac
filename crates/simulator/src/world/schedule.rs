//! The schedule: what is due is taken up in the order of time, and handed to its node.

use std::cmp::Reverse;
use std::time::Duration;

use crate::world::events::{Due, Happening};
use crate::world::nodes::Body;
use crate::world::World;
use caperworks::dispatch::AttemptEnd;
use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::identifiers::NodeId;

impl World {
    /// Plans the traffic, the operators' calls, the faults and the observers' looks of the day.
    pub(super) fn plan(&mut self) {
        for kind in 0..self.scenario.traffic.len() {
            if self.scenario.traffic[kind].keys > 0 {
                self.observers.keyed_kinds.insert(kind);
            }
            self.push(self.day.traffic_from, Due::Caller { kind });
        }
        self.push(Duration::from_millis(1500), Due::Operator);
        // Why after the operator's first call: before it there is nothing to read.
        self.push(
            Duration::from_millis(1500) + super::READ_PERIOD,
            Due::Reader,
        );
        for index in 0..self.day.faults.len() {
            self.push(self.day.faults[index].at, Due::Fault { index });
        }
        self.push(super::OBSERVE_PERIOD, Due::Observe);
    }

    /// Makes something due.
    pub(super) fn push(&mut self, at: Duration, event: Due) {
        self.queued += 1;
        let slot = self.due.insert(event);
        self.queue.push(Reverse((at, self.queued, slot)));
    }

    /// Lets something happen to a node after a while, in its present life.
    pub(super) fn push_at(&mut self, node: usize, after: Duration, happening: Happening) {
        let incarnation = self.nodes[node].incarnation;
        self.push(
            self.now + after,
            Due::At {
                node,
                incarnation,
                happening,
            },
        );
    }

    /// Runs until the end of the day, then reads everything back.
    pub fn run(&mut self) {
        let end = self.day.length;
        self.run_until(end);
        self.read_back();
        self.observers.judge_recovery(end);
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let due = self.due.remove(slot);
            self.take_up(due);
        }
        self.now = end;
    }

    fn take_up(&mut self, due: Due) {
        match due {
            Due::At {
                node,
                incarnation,
                happening,
            } => self.happen(node, incarnation, happening),
            Due::Caller { kind } => self.caller(kind),
            Due::HotCaller => self.hot_caller(),
            Due::Operator => self.operator(),
            Due::Reader => self.reader(),
            Due::Fault { index } => {
                let fault = self.day.faults[index].clone();
                if fault.on_yes {
                    self.on_yes.push(fault);
                } else {
                    self.fault(&fault);
                }
            }
            Due::Observe => self.observe(),
            Due::NarrowLinks => self.carry_narrow_links(),
            Due::Segment { segment } => self.at_receivers_link(*segment),
        }
    }

    /// Hands a node what happens to it, if it still is what it was meant for.
    fn happen(&mut self, index: usize, incarnation: u64, happening: Happening) {
        let node = &mut self.nodes[index];
        // Why whatever its life: a connection is opened to an address, and so is a heartbeat's; whoever
        // lives there now takes it.
        let by_address = matches!(
            happening,
            Happening::Open { .. } | Happening::HeartbeatTarget { .. }
        );
        if node.body.is_none() || (node.incarnation != incarnation && !by_address) {
            // Why an answer: a live machine resets what comes in for a process that is gone.
            if !node.dark {
                self.reset(index, &happening);
            }
            return;
        }
        if matches!(happening, Happening::Ends) {
            self.end(index, false);
            return;
        }
        let frozen = node.frozen;
        // Why here and not when it is taken up: a request has reached an instance when it is at its
        // machine; a frozen process that finds it later has had it all the while.
        if let Happening::Arrive {
            request,
            proxy,
            route,
            configuration,
            ..
        } = &happening
        {
            self.record_reached(index, *request, *proxy, route, *configuration);
        }
        if let Happening::Open {
            request,
            attempt,
            proxy,
            proxy_incarnation,
            ..
        } = happening
        {
            // Why whether frozen or not: it is the machine that takes a connection, not the process.
            if self.nodes[proxy].incarnation == proxy_incarnation {
                self.send(index, proxy, Happening::Opened { request, attempt });
            }
            return;
        }
        let node = &mut self.nodes[index];
        if frozen {
            if matches!(happening, Happening::Tick) {
                self.push_at(index, super::TICK, Happening::Tick);
            } else {
                node.backlog.push(happening);
            }
            return;
        }
        self.act(index, happening);
    }

    /// Answers for a process that is gone: its machine resets the connection.
    fn reset(&mut self, index: usize, happening: &Happening) {
        let (request, attempt, proxy, proxy_incarnation, end) = match happening {
            Happening::Open {
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
            Happening::Arrive {
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
            let ended = Happening::Ended {
                request,
                attempt,
                end,
                response: None,
            };
            self.send(index, proxy, ended);
        }
    }

    /// Takes a happening for one that was sent just now; only for proving the observers.
    fn undate(&self, index: usize, happening: &mut Happening) {
        let at = self.local(index);
        let fresh = |incarnation: NodeId| {
            let stamp = Stamp { incarnation, at };
            let held = Duration::ZERO;
            Some(Echo { stamp, held })
        };
        match (happening, &self.nodes[index].body) {
            (Happening::Control { envelope }, Some(Body::Controller(machine))) => {
                envelope.echo = fresh(machine.state.incarnation);
            }
            (Happening::HeartbeatTarget { echo, .. }, Some(Body::Agent(machine))) => {
                *echo = fresh(machine.node());
            }
            _ => {}
        }
    }

    /// Lets a node's process take up what happened to it.
    pub(super) fn act(&mut self, index: usize, mut happening: Happening) {
        if self.day.undated {
            self.undate(index, &mut happening);
        }
        let local = self.local(index);
        let Some(body) = self.nodes[index].body.take() else {
            return;
        };
        if matches!(happening, Happening::Tick) {
            self.push_at(index, super::TICK, Happening::Tick);
        }
        match body {
            Body::Controller(machine) => self.act_controller(index, local, machine, happening),
            Body::Agent(machine) => self.act_agent(index, local, machine, happening),
            Body::Directory(machine) => self.act_directory(index, local, machine, happening),
            Body::Proxy(proxy) => self.act_proxy(index, local, proxy, happening),
            Body::Instance(instance) => self.act_instance(index, local, instance, happening),
        }
    }
}
