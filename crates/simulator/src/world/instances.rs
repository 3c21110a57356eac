//! The work and heartbeats of instances.

use std::time::Duration;

use crate::actors::instance::{SimInstance, Work};
use crate::actors::request::{HealthCheck, InstanceResponse};
use crate::world::events::NodeEvent;
use crate::world::nodes::Process;
use crate::world::World;
use caperworks::dispatch::AttemptEnd;
use caperworks::envelope_clock::Echo;
use caperworks::ownership::TimestampedResponse;

/// Interval of the heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a heartbeat without a response counts as lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

impl World {
    /// Passes an event to an instance.
    pub(super) fn handle_instance_event(
        &mut self,
        index: usize,
        local: Duration,
        mut instance: Box<SimInstance>,
        event: NodeEvent,
    ) {
        let send = match event {
            NodeEvent::Tick if instance.deregistration.is_some() => {
                self.next_deregistration(index, local, &mut instance)
            }
            NodeEvent::DeregistrationAcknowledged => {
                self.finish_deregistration(index, &mut instance);
                None
            }
            NodeEvent::Tick if local >= instance.next_heartbeat => {
                Some(self.next_heartbeat(index, local, &mut instance))
            }
            NodeEvent::HeartbeatResponse { number, response } => {
                let address = response
                    .as_ref()
                    .and_then(|stamped| stamped.response.owner_manager);
                let owner_manager = address.and_then(|address| self.by_address.get(&address));
                if let Some(owner_manager) = owner_manager {
                    instance.use_target(*owner_manager);
                }
                take_heartbeat_response(local, &mut instance, number, response);
                None
            }
            NodeEvent::AttemptArrived { .. } => {
                self.take_request(index, local, &mut instance, event)
            }
            NodeEvent::HealthCheckArrived {
                check,
                proxy,
                proxy_incarnation,
            } => {
                let is_current = self.nodes[proxy].incarnation == proxy_incarnation;
                respond_to_health_check(local, &instance, check)
                    .filter(|_| is_current)
                    .map(|response| (proxy, response))
            }
            NodeEvent::WorkDone { work } => self.finish_work(local, &mut instance, work),
            _ => None,
        };
        self.nodes[index].process = Some(Process::Instance(instance));
        if let Some((to, event)) = send {
            self.send(index, to, event);
        }
    }

    /// Returns the next heartbeat and the node that it goes to.
    fn next_heartbeat(
        &self,
        index: usize,
        local: Duration,
        instance: &mut SimInstance,
    ) -> (usize, NodeEvent) {
        instance.next_heartbeat = local + HEARTBEAT_INTERVAL;
        let oldest = local.saturating_sub(HEARTBEAT_TIMEOUT);
        let before = instance.heartbeat_sent.len();
        instance
            .heartbeat_sent
            .retain(|_, (sent, _)| *sent >= oldest);
        if instance.heartbeat_sent.len() < before {
            // A heartbeat was not answered within the timeout: the next one goes to another node.
            instance.use_next_target();
        }
        let heartbeat = Box::new(instance.heartbeat(local));
        let number = heartbeat.counter;
        let to = instance.heartbeat_targets[instance.current_target];
        instance.heartbeat_sent.insert(number, (local, to));
        let echo = instance.stamps.get(&to).map(|(stamp, since)| Echo {
            stamp: *stamp,
            held: local.saturating_sub(*since),
        });
        let event = NodeEvent::HeartbeatArrived {
            heartbeat,
            echo,
            number,
            instance: index,
            instance_incarnation: self.nodes[index].incarnation,
        };
        (to, event)
    }

    /// Starts work on a received request, or rejects it.
    fn take_request(
        &mut self,
        index: usize,
        local: Duration,
        instance: &mut SimInstance,
        event: NodeEvent,
    ) -> Option<(usize, NodeEvent)> {
        let NodeEvent::AttemptArrived {
            request,
            attempt,
            proxy,
            proxy_incarnation,
            target,
            route,
            remaining,
            ..
        } = event
        else {
            return None;
        };
        let is_addressee =
            target.instance == instance.id && target.incarnation == instance.incarnation;
        let has_lease = target.key_range.is_none_or(|(key_range, epoch)| {
            instance
                .held_leases
                .may_start(local, key_range, epoch, remaining)
        });
        let rejects = instance.requests_to_reject > 0;
        instance.requests_to_reject = instance.requests_to_reject.saturating_sub(1);
        let may_run = instance.skips_checks || (is_addressee && has_lease);
        if rejects || !may_run {
            let response = match is_addressee {
                true => InstanceResponse::NotRun,
                false => InstanceResponse::Misdirected,
            };
            let ended = NodeEvent::AttemptEnded {
                request,
                attempt,
                end: AttemptEnd::RejectedByInstance,
                response: Some(response),
            };
            return (self.nodes[proxy].incarnation == proxy_incarnation).then_some((proxy, ended));
        }
        if let Some((key_range, _)) = target.key_range {
            instance.held_leases.start_request(key_range);
        }
        let work = instance.work.insert(Work {
            request,
            attempt,
            proxy,
            proxy_incarnation,
            key_range: target.key_range,
            service: route.service.clone(),
            from: self.now,
        });
        let work_time = self.sample_work_time(instance);
        self.schedule_for_node(index, work_time, NodeEvent::WorkDone { work });
        None
    }

    /// Returns how long the work that an instance has just started takes.
    fn sample_work_time(&mut self, instance: &SimInstance) -> Duration {
        // Beyond its capacity an overloaded instance becomes disproportionately slow for all its
        // requests.
        let running_count = instance.work.len() as u32;
        let overload = running_count / instance.capacity.max(1);
        let slowdown_factor = (1 + running_count / 8 + 40 * overload) * instance.slowdown;
        instance.work_time * slowdown_factor + Duration::from_micros(self.random.below(2000))
    }

    /// Completes a piece of work, which takes effect now, and responds to the proxy.
    fn finish_work(
        &mut self,
        local: Duration,
        instance: &mut SimInstance,
        work: usize,
    ) -> Option<(usize, NodeEvent)> {
        let done = instance.work.try_remove(work)?;
        let still_has_lease = done.key_range.is_none_or(|(key_range, epoch)| {
            instance
                .held_leases
                .may_start(local, key_range, epoch, Duration::ZERO)
        });
        if let Some((key_range, _)) = done.key_range {
            instance.held_leases.end_request(key_range);
        }
        let mut response = Some(InstanceResponse::NotRun);
        if still_has_lease || instance.skips_checks {
            self.record_work(instance, &done);
            response = response_of(instance, done.request);
        }
        let end = if response.is_some() {
            AttemptEnd::Responded
        } else {
            AttemptEnd::ConnectionLost
        };
        let ended = NodeEvent::AttemptEnded {
            request: done.request,
            attempt: done.attempt,
            end,
            response,
        };
        (self.nodes[done.proxy].incarnation == done.proxy_incarnation)
            .then_some((done.proxy, ended))
    }

    /// Reports work that took effect to the observers.
    fn record_work(&mut self, instance: &SimInstance, done: &Work) {
        self.observers
            .request_ran(self.now, done.request, &instance.id);
        if done.service != instance.service {
            self.observers
                .request_ran_for_another_service(self.now, done.request, &instance.id);
        }
        if let Some((key_range, _)) = done.key_range {
            self.observers.work_finished(
                &done.service,
                key_range,
                done.from,
                self.now,
                &instance.id,
            );
        }
    }
}

/// Returns the response to a health check; `None` if it is for another instance or incarnation.
fn respond_to_health_check(
    local: Duration,
    instance: &SimInstance,
    check: Box<HealthCheck>,
) -> Option<NodeEvent> {
    let target = &check.target;
    let is_addressee = target.instance == instance.id && target.incarnation == instance.incarnation;
    is_addressee.then_some(NodeEvent::HealthChecked {
        check,
        warm_up_left: instance.warm_up.until.saturating_sub(local),
    })
}

fn take_heartbeat_response(
    local: Duration,
    instance: &mut SimInstance,
    number: u64,
    response: Option<TimestampedResponse>,
) {
    let Some((sent, target)) = instance.heartbeat_sent.remove(&number) else {
        return;
    };
    match response {
        Some(stamped) => {
            instance.held_leases.apply_response(sent, &stamped.response);
            instance.stamps.insert(target, (stamped.stamp, local));
            if stamped.resend {
                instance.next_heartbeat = local;
            }
        }
        None => instance.use_next_target(),
    }
}

/// Returns the response to a request that ran, or `None` if the instance loses it.
fn response_of(instance: &mut SimInstance, request: u64) -> Option<InstanceResponse> {
    if instance.responses_to_lose > 0 {
        instance.responses_to_lose -= 1;
        return None;
    }
    if instance.malformed_responses_to_send > 0 {
        instance.malformed_responses_to_send -= 1;
        return Some(InstanceResponse::MalformedResponse);
    }
    Some(InstanceResponse::Ran {
        request,
        load: instance.work.len() as u32,
    })
}
