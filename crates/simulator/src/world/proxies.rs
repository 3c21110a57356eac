//! Events that proxies receive, and their actions: attempts at instances and responses to clients.

use std::time::Duration;

use crate::actors::proxy::SimProxy;
use crate::actors::request::{HealthCheck, ProxyAction};
use crate::observers::requests::ClientOutcome;
use crate::world::events::NodeEvent;
use crate::world::nodes::{NodeKind, Process};
use crate::world::World;
use caperworks::dispatch::Target;
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;

impl World {
    /// Passes an event to a proxy.
    pub(super) fn handle_proxy_event(
        &mut self,
        index: usize,
        local: Duration,
        mut proxy: Box<SimProxy>,
        event: NodeEvent,
    ) {
        let actions = match event {
            NodeEvent::Tick => proxy.tick(local),
            NodeEvent::Control { envelope } => {
                if let Message::View { view } = &envelope.message {
                    proxy.apply_view(local, view);
                    let version = proxy.knowledge.maps.map(MapName::Configuration).version;
                    self.observers.proxy_version_seen(self.now, index, version);
                }
                Vec::new()
            }
            NodeEvent::RequestArrived {
                mut request,
                group,
                locality,
            } => {
                request.received_at = self.now;
                proxy.receive(local, request, group, locality)
            }
            NodeEvent::Connected { request, attempt } => proxy.connected(local, request, attempt),
            NodeEvent::AttemptEnded {
                request,
                attempt,
                end,
                response,
            } => proxy.attempt_ended(local, request, attempt, end, response),
            NodeEvent::HealthChecked {
                check,
                warm_up_left,
            } => {
                proxy.health_checked(&check, Some(warm_up_left));
                Vec::new()
            }
            NodeEvent::RequestTimer { request, at } => proxy.timer_fired(local, request, at),
            _ => Vec::new(),
        };
        self.nodes[index].process = Some(Process::Proxy(proxy));
        self.execute_actions(index, actions);
    }

    /// Executes the actions of a proxy.
    fn execute_actions(&mut self, index: usize, actions: Vec<ProxyAction>) {
        let node_incarnation = self.nodes[index].incarnation;
        for action in actions {
            match action {
                ProxyAction::Pull { message } => {
                    if let NodeKind::Proxy { agent, .. } = self.nodes[index].kind {
                        let to = self.nodes[agent].address;
                        self.send_control(index, to, message);
                    }
                }
                ProxyAction::CheckHealth { check } => {
                    self.send_health_check(index, node_incarnation, check);
                }
                ProxyAction::Stopped => self.end_process(index, false),
                ProxyAction::SetTimer { request, at } => {
                    let after = self.delay_until_local(index, at);
                    self.schedule_for_node(index, after, NodeEvent::RequestTimer { request, at });
                }
                ProxyAction::Respond {
                    request,
                    reported,
                    response_for,
                    failure,
                    unsent,
                } => {
                    if unsent && reported == ClientOutcome::NotRun {
                        self.observers.request_rejected(self.now, &request);
                    }
                    if let Some(failure) = failure {
                        *self
                            .observers
                            .tally
                            .failures
                            .entry(failure.reason())
                            .or_default() += 1;
                    }
                    self.observers
                        .outcome_reported(self.now, &request, reported, response_for);
                }
                ProxyAction::Connect {
                    request,
                    attempt,
                    target,
                } => self.connect(index, node_incarnation, request, attempt, &target),
                ProxyAction::SendAttempt {
                    request,
                    attempt,
                    target,
                    is_retry,
                } => self.send_attempt(index, node_incarnation, request, attempt, target, is_retry),
            }
        }
    }

    fn send_health_check(&mut self, index: usize, proxy_incarnation: u64, check: HealthCheck) {
        let Some(to) = self.by_address.get(&check.target.address).copied() else {
            return;
        };
        let arrived = NodeEvent::HealthCheckArrived {
            check: Box::new(check),
            proxy: index,
            proxy_incarnation,
        };
        self.send(index, to, arrived);
    }

    /// Opens a connection to an instance.
    fn connect(
        &mut self,
        index: usize,
        node_incarnation: u64,
        request: u64,
        attempt: u32,
        target: &Target,
    ) {
        let Some(to) = self.by_address.get(&target.address).copied() else {
            return;
        };
        let connect = NodeEvent::Connect {
            request,
            attempt,
            proxy: index,
            proxy_incarnation: node_incarnation,
            incarnation: target.incarnation,
        };
        self.send(index, to, connect);
    }

    /// Sends a request to an instance over an open connection.
    fn send_attempt(
        &mut self,
        index: usize,
        node_incarnation: u64,
        request: u64,
        attempt: u32,
        target: Target,
        is_retry: bool,
    ) {
        let local = self.local_time(index);
        let Some(Process::Proxy(proxy)) = &self.nodes[index].process else {
            return;
        };
        let Some(in_flight) = proxy.in_flight.get(&request) else {
            return;
        };
        let (route, configuration) = (in_flight.route.clone(), in_flight.configuration);
        let remaining = in_flight.lifecycle.deadline().saturating_sub(local);
        self.observers
            .attempt_sent(self.now, &route.service, is_retry);
        let Some(to) = self.by_address.get(&target.address).copied() else {
            return;
        };
        let arrive = NodeEvent::AttemptArrived {
            request,
            attempt,
            proxy: index,
            proxy_incarnation: node_incarnation,
            target: Box::new(target),
            route: Box::new(route),
            configuration,
            remaining,
        };
        self.send(index, to, arrive);
    }
}
