//! What proxies want done: attempts at instances, and answers to clients.

use std::time::Duration;

use crate::actors::proxy::SimProxy;
use crate::actors::request::ProxyWish;
use crate::observers::requests::CallerOutcome;
use crate::world::events::Happening;
use crate::world::nodes::{Body, Kind};
use crate::world::World;
use caperworks::dispatch::Target;
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;

impl World {
    /// Lets a proxy take up what happened to it.
    pub(super) fn act_proxy(
        &mut self,
        index: usize,
        local: Duration,
        mut proxy: Box<SimProxy>,
        happening: Happening,
    ) {
        let wishes = match happening {
            Happening::Tick => proxy.tick(local),
            Happening::Control { envelope } => {
                if let Message::View { view } = &envelope.message {
                    proxy.take_view(local, view);
                    let version = proxy.knowledge.maps.map(MapName::Configuration).version;
                    self.observers.proxy_holds(self.now, index, version);
                }
                Vec::new()
            }
            Happening::PlannedRequest {
                mut request,
                group,
                locality,
            } => {
                request.received_at = self.now;
                proxy.receive(local, request, group, locality)
            }
            Happening::Opened { request, attempt } => proxy.opened(local, request, attempt),
            Happening::Ended {
                request,
                attempt,
                end,
                response,
            } => proxy.ended(local, request, attempt, end, response),
            Happening::RequestWake { request, at } => proxy.woken(local, request, at),
            _ => Vec::new(),
        };
        self.nodes[index].body = Some(Body::Proxy(proxy));
        self.grant_wishes(index, wishes);
    }

    /// Does what a proxy wants done.
    fn grant_wishes(&mut self, index: usize, wishes: Vec<ProxyWish>) {
        let node_incarnation = self.nodes[index].incarnation;
        for wish in wishes {
            match wish {
                ProxyWish::Pull { message } => {
                    if let Kind::Proxy { agent, .. } = self.nodes[index].kind {
                        let to = self.nodes[agent].address;
                        self.send_control(index, to, message);
                    }
                }
                ProxyWish::End => self.end(index, false),
                ProxyWish::WakeAt { request, at } => {
                    let after = self.after_local(index, at);
                    self.push_at(index, after, Happening::RequestWake { request, at });
                }
                ProxyWish::Respond {
                    request,
                    reported,
                    answered,
                    failure,
                    unsent,
                } => {
                    if unsent && reported == CallerOutcome::NotRun {
                        self.observers.refused(self.now, &request);
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
                        .reported(self.now, &request, reported, answered);
                }
                ProxyWish::Open {
                    request,
                    attempt,
                    target,
                } => self.open(index, node_incarnation, request, attempt, &target),
                ProxyWish::Shoot {
                    request,
                    attempt,
                    target,
                    further,
                } => self.send_attempt(index, node_incarnation, request, attempt, target, further),
            }
        }
    }

    /// Opens a connection to an instance.
    fn open(
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
        let open = Happening::Open {
            request,
            attempt,
            proxy: index,
            proxy_incarnation: node_incarnation,
            incarnation: target.incarnation,
        };
        self.send(index, to, open);
    }

    /// Sends a request to an instance over a connection that is open.
    fn send_attempt(
        &mut self,
        index: usize,
        node_incarnation: u64,
        request: u64,
        attempt: u32,
        target: Target,
        further: bool,
    ) {
        let local = self.local(index);
        let Some(Body::Proxy(proxy)) = &self.nodes[index].body else {
            return;
        };
        let Some(carried) = proxy.carried.get(&request) else {
            return;
        };
        let (route, configuration) = (carried.route.clone(), carried.configuration);
        let need = carried.chart.deadline().saturating_sub(local);
        self.observers.attempt(self.now, &route.service, further);
        let Some(to) = self.by_address.get(&target.address).copied() else {
            return;
        };
        let arrive = Happening::Arrive {
            request,
            attempt,
            proxy: index,
            proxy_incarnation: node_incarnation,
            target: Box::new(target),
            route: Box::new(route),
            configuration,
            need,
        };
        self.send(index, to, arrive);
    }
}
