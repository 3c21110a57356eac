//! The work and heartbeats of instances.

use std::time::Duration;

use crate::actors::instance::{SimInstance, Work};
use crate::actors::request::InstanceResponse;
use crate::world::events::Happening;
use crate::world::nodes::Body;
use crate::world::World;
use caperworks::dispatch::AttemptEnd;
use caperworks::envelope_clock::Echo;
use caperworks::ownership::TimestampedResponse;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

impl World {
    /// Lets an instance take up what happened to it.
    pub(super) fn act_instance(
        &mut self,
        index: usize,
        local: Duration,
        mut instance: Box<SimInstance>,
        happening: Happening,
    ) {
        let send = match happening {
            Happening::Tick if local >= instance.next_heartbeat => {
                Some(self.next_heartbeat(index, local, &mut instance))
            }
            Happening::HeartbeatResponded { number, response } => {
                let named = response
                    .as_ref()
                    .and_then(|dated| dated.response.owner_manager);
                let owner_manager = named.and_then(|named| self.by_address.get(&named));
                if let Some(owner_manager) = owner_manager {
                    instance.turn_to(*owner_manager);
                }
                take_heartbeat_response(local, &mut instance, number, response);
                None
            }
            Happening::Arrive { .. } => self.take_request(index, local, &mut instance, happening),
            Happening::WorkDone { work } => self.finish_work(local, &mut instance, work),
            _ => None,
        };
        self.nodes[index].body = Some(Body::Instance(instance));
        if let Some((to, happening)) = send {
            self.send(index, to, happening);
        }
    }

    /// The next heartbeat, and the place that it goes to.
    fn next_heartbeat(
        &self,
        index: usize,
        local: Duration,
        instance: &mut SimInstance,
    ) -> (usize, Happening) {
        instance.next_heartbeat = local + HEARTBEAT_PERIOD;
        let oldest = local.saturating_sub(HEARTBEAT_TIMEOUT);
        let before = instance.heartbeat_sent.len();
        instance
            .heartbeat_sent
            .retain(|_, (sent, _)| *sent >= oldest);
        if instance.heartbeat_sent.len() < before {
            // Why turn: a heartbeat that nobody answered is taken to another.
            instance.turn_to_next();
        }
        let heartbeat = Box::new(instance.heartbeat(local));
        let number = heartbeat.counter;
        let to = instance.heard_by[instance.turn];
        instance.heartbeat_sent.insert(number, (local, to));
        let echo = instance.stamps.get(&to).map(|(stamp, since)| Echo {
            stamp: *stamp,
            held: local.saturating_sub(*since),
        });
        let happening = Happening::HeartbeatTarget {
            heartbeat,
            echo,
            number,
            instance: index,
            instance_incarnation: self.nodes[index].incarnation,
        };
        (to, happening)
    }

    /// A request that arrived: it is worked on, or refused at once.
    fn take_request(
        &mut self,
        index: usize,
        local: Duration,
        instance: &mut SimInstance,
        happening: Happening,
    ) -> Option<(usize, Happening)> {
        let Happening::Arrive {
            request,
            attempt,
            proxy,
            proxy_incarnation,
            target,
            route,
            need,
            ..
        } = happening
        else {
            return None;
        };
        let ours = target.instance == instance.id && target.incarnation == instance.incarnation;
        let held = target.key_range.is_none_or(|(key_range, epoch)| {
            instance
                .held_leases
                .may_start(local, key_range, epoch, need)
        });
        let refuses = instance.refuses > 0;
        instance.refuses = instance.refuses.saturating_sub(1);
        let fits = instance.skips_checks || (ours && held);
        if refuses || !fits {
            let response = match ours {
                true => InstanceResponse::NotRun,
                false => InstanceResponse::Misdirected,
            };
            let ended = Happening::Ended {
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
        let span = self.work_span(instance);
        self.push_at(index, span, Happening::WorkDone { work });
        None
    }

    /// How long the work that an instance has just begun takes it.
    fn work_span(&mut self, instance: &SimInstance) -> Duration {
        // Why far more beyond its capacity: an instance that is asked for too much at once
        // buckles, and everything that it has in hand suffers.
        let under_way = instance.work.len() as u32;
        let over = under_way / instance.capacity.max(1);
        let busy = (1 + under_way / 8 + 40 * over) * instance.slowness;
        instance.work_span * busy + Duration::from_micros(self.chance.below(2000))
    }

    /// Ends a piece of work, whose effect shows now, and answers the proxy.
    fn finish_work(
        &mut self,
        local: Duration,
        instance: &mut SimInstance,
        work: usize,
    ) -> Option<(usize, Happening)> {
        let done = instance.work.try_remove(work)?;
        let still = done.key_range.is_none_or(|(key_range, epoch)| {
            instance
                .held_leases
                .may_start(local, key_range, epoch, Duration::ZERO)
        });
        if let Some((key_range, _)) = done.key_range {
            instance.held_leases.end_request(key_range);
        }
        let mut response = Some(InstanceResponse::NotRun);
        if still || instance.skips_checks {
            self.record_work(instance, &done);
            response = response_of(instance, done.request);
        }
        let end = if response.is_some() {
            AttemptEnd::Answered
        } else {
            AttemptEnd::Lost
        };
        let ended = Happening::Ended {
            request: done.request,
            attempt: done.attempt,
            end,
            response,
        };
        (self.nodes[done.proxy].incarnation == done.proxy_incarnation)
            .then_some((done.proxy, ended))
    }

    /// Shows the observers work that took effect.
    fn record_work(&mut self, instance: &SimInstance, done: &Work) {
        self.observers.ran(self.now, done.request, &instance.id);
        if done.service != instance.service {
            self.observers
                .ran_for_another(self.now, done.request, &instance.id);
        }
        if let Some((key_range, _)) = done.key_range {
            self.observers
                .worked_on(&done.service, key_range, done.from, self.now, &instance.id);
        }
    }
}

fn take_heartbeat_response(
    local: Duration,
    instance: &mut SimInstance,
    number: u64,
    response: Option<TimestampedResponse>,
) {
    let Some((sent, hearer)) = instance.heartbeat_sent.remove(&number) else {
        return;
    };
    match response {
        Some(dated) => {
            instance.held_leases.apply_response(sent, &dated.response);
            instance.stamps.insert(hearer, (dated.stamp, local));
            if dated.resend {
                instance.next_heartbeat = local;
            }
        }
        None => instance.turn_to_next(),
    }
}

/// The answer to a request that was run; none where the instance loses it.
fn response_of(instance: &mut SimInstance, request: u64) -> Option<InstanceResponse> {
    if instance.loses_responses > 0 {
        instance.loses_responses -= 1;
        return None;
    }
    if instance.sends_garbage > 0 {
        instance.sends_garbage -= 1;
        return Some(InstanceResponse::MalformedResponse);
    }
    Some(InstanceResponse::Ran {
        request,
        load: instance.work.len() as u32,
    })
}
