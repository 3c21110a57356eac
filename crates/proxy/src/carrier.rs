//! Carries requests from clients to instances along the request's state chart.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use hyper::body::{Body as HttpBody, Incoming};
use hyper::{Method, Request, Response};

use crate::attempt::AttemptResponse;
use crate::demand_meter::DemandMeter;
use crate::dialect::Dialect;
use crate::framing::{checked_framing, header_text};
use crate::instance_connections::InstanceConnections;
use crate::outgoing::Outgoing;
use crate::passing::{AttemptGuard, AttemptResult, UnderWay};
use crate::usage::{CountedEnd, UsageAccounts, UsageKey};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, Openings, ProxyKnowledge, ReportedOutcome, RequestChart,
    RequestState, ServiceShard,
};
use caperworks::facts::Demand;
use caperworks::identifiers::{mix, steady_hash, InstanceId, ServiceName, Zone};
use caperworks::messages::ProxyView;
use runtime::actor::random_seed;
use runtime::clock::Clock;
use runtime::http::{ready_response, Body, FarEnd};
use runtime::locks::locked;
use runtime::options::NodeSettings;

/// Bodies and answers up to this size are held whole, so that an attempt can be repeated and a
/// truncated answer never reaches the client.
pub(crate) const SMALL: u64 = 64 * 1024;

/// Mistakes that are built in on purpose. Only for proving the observers: no setting names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenCarrier {
    #[default]
    Nothing,
    /// The name that an answer bears is not looked at.
    TakesAnyResponse,
    /// A request that may run once is sent again after a reset.
    RepeatsOnce,
    /// A request in doubt is answered with a promise that it did not run.
    PromisesInDoubt,
    /// An answer that breaks off is ended as though it were whole.
    EndsCutResponses,
    /// Further attempts are not bounded by the budget.
    NoBudget,
    /// What the last check says where the first byte is written does not count.
    IgnoresLastCheck,
}

pub struct Carrier {
    pub clock: Clock,
    pub dialect: Dialect,
    pub zone: Zone,
    pub serving: SocketAddr,
    pub capacity: u32,
    pub(crate) max_buffered_body: u64,
    pub stopping: AtomicBool,
    /// Set when even new requests are refused, just before the end.
    pub closed: AtomicBool,
    pub under_way: AtomicU32,
    pub connections: InstanceConnections,
    pub(crate) openings: Mutex<Openings>,
    pub usage: UsageAccounts,
    pub broken: BrokenCarrier,
    requests: AtomicU64,
    seed: u64,
    knowledge: RwLock<Arc<ProxyKnowledge>>,
    shards: RwLock<HashMap<ServiceName, Arc<Mutex<ServiceShard>>>>,
    meter: DemandMeter,
}

impl Carrier {
    pub fn new(clock: Clock, node_settings: &NodeSettings, dialect: Dialect) -> Self {
        let knowledge = ProxyKnowledge {
            policy: node_settings.terms.proxy,
            ..ProxyKnowledge::default()
        };
        Self {
            clock,
            dialect,
            zone: node_settings.zone.clone(),
            serving: node_settings.serving,
            capacity: node_settings.capacity,
            max_buffered_body: node_settings.terms.max_buffered_body,
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            under_way: AtomicU32::new(0),
            connections: InstanceConnections::default(),
            openings: Mutex::default(),
            usage: UsageAccounts::default(),
            broken: BrokenCarrier::Nothing,
            requests: AtomicU64::new(0),
            seed: random_seed(),
            knowledge: RwLock::new(Arc::new(knowledge)),
            shards: RwLock::default(),
            meter: DemandMeter::default(),
        }
    }

    pub fn knowledge(&self) -> Arc<ProxyKnowledge> {
        self.knowledge
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    pub fn shard(&self, service: &ServiceName) -> Arc<Mutex<ServiceShard>> {
        let read = self
            .shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(shard) = read.get(service) {
            return shard.clone();
        }
        drop(read);
        let mut write = self
            .shards
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let seed = self.seed ^ steady_hash(service.as_str());
        write
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Mutex::new(ServiceShard::new(seed))))
            .clone()
    }

    /// Takes what the agent told; connections to lives that are over are closed.
    pub fn take(&self, asked_at: Duration, view: &ProxyView) {
        let mut next = (*self.knowledge()).clone();
        next.take(asked_at, view);
        self.connections.keep_only(&next.instances);
        let shards = self
            .shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        for shard in shards.values() {
            locked(shard).keep_only(asked_at, &next.instances);
        }
        drop(shards);
        *self
            .knowledge
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Arc::new(next);
    }

    pub fn is_ready(&self) -> bool {
        let knowledge = self.knowledge();
        !self.stopping.load(Ordering::SeqCst)
            && knowledge.is_usable(self.clock.now())
            && (knowledge.policy.closed_zone_carries || !knowledge.closed.contains(&self.zone))
    }

    /// What was measured of late: requests a second by group and route, and how far the group is.
    pub fn demand(&self) -> Vec<Demand> {
        self.meter.demand(self.clock.now())
    }

    /// Answers one request.
    pub async fn carry(
        self: Arc<Self>,
        far_end: FarEnd,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        if request.uri().path() == self.dialect.ready_path {
            return Ok(ready_response(self.is_ready()));
        }
        let under_way = UnderWay::begin(&self);
        let read = matches!(*request.method(), Method::GET | Method::HEAD);
        let repeats = read || self.broken == BrokenCarrier::RepeatsOnce;
        let mut chart = RequestChart::received(repeats);
        let mut counted = None;
        let worked = self
            .work(far_end, request, &mut chart, under_way, &mut counted)
            .await;
        let (response, end) = match worked {
            // Why by the chart: an answer of ours to a body that was too long is no success.
            Ok(response) if chart.state() != RequestState::Done => (response, CountedEnd::Unknown),
            Ok(response) => (response, CountedEnd::Served),
            Err(failure) => {
                chart.refuse(failure);
                let reported = chart.reported_outcome(failure);
                let end = match reported {
                    ReportedOutcome::NotRun => CountedEnd::NotRun,
                    ReportedOutcome::Unknown => CountedEnd::Unknown,
                };
                (self.error_response(failure, reported), end)
            }
        };
        if let Some(key) = counted {
            self.usage.ended(&key, end);
            let length = response.body().size_hint().exact();
            // Why only short ones: a long answer is counted as it passes.
            if let Some(length) = length.filter(|length| *length <= SMALL) {
                self.usage.gave_out(&key, length);
            }
        }
        Ok(response)
    }

    async fn work(
        self: &Arc<Self>,
        far_end: FarEnd,
        request: Request<Incoming>,
        chart: &mut RequestChart,
        under_way: UnderWay,
        counted: &mut Option<UsageKey>,
    ) -> Result<Response<Body>, Failure> {
        if self.closed.load(Ordering::SeqCst) {
            return Err(Failure::Draining);
        }
        let (head, body) = request.into_parts();
        let host = checked_framing(&head)?;
        let knowledge = self.knowledge();
        let now = self.clock.now();
        let path = head.uri.path();
        let (name, route) = knowledge.find(now, &host, path)?;
        chart.matched(now, &route);
        if self.dialect.callers_tell_deadline {
            let reported = header_text(&head.headers, self.dialect.deadline.as_str());
            if let Some(millis) = reported.and_then(|reported| reported.parse().ok()) {
                chart.caller_waits(now + Duration::from_millis(millis));
            }
        }
        let service = route.service_for(random_seed()).clone();
        let usage_key = UsageKey::of(&name, &service);
        *counted = Some(usage_key.clone());
        self.meter.measure(now, &far_end, &name);
        knowledge.admits(now, &self.zone, &route)?;
        // Why only for keyed services: of a split route's requests some may go where keys mean nothing.
        let keyed = knowledge
            .service(&service)
            .is_some_and(|service| service.keyed);
        let key = match route.key_header.as_ref().filter(|_| keyed) {
            None => None,
            Some(header) => {
                let mut values = head.headers.get_all(header.as_str()).iter();
                let key = values.next().and_then(|value| value.to_str().ok());
                match (key, values.next()) {
                    (Some(key), None) if !key.is_empty() => Some(key.to_string()),
                    _ => return Err(Failure::MissingKey),
                }
            }
        };
        let over = Arc::new(AtomicBool::new(false));
        let mut body = self
            .buffer_body(body, &route, &over, chart, &usage_key)
            .await?;
        chart.admitted(body.is_complete());
        drop(knowledge);
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let named = header_text(&head.headers, self.dialect.request_id.as_str());
        let request_id = match named.filter(|_| self.dialect.callers_name_requests) {
            Some(named) => named.to_string(),
            None => format!("{:x}-{number:x}", mix(self.seed)),
        };
        let shard = self.shard(&service);
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut under_way = Some(under_way);
        loop {
            let now = self.clock.now();
            if now >= chart.deadline() {
                return Err(Failure::LateBeforeSending);
            }
            let knowledge = self.knowledge();
            knowledge.admits(now, &self.zone, &route)?;
            let target = {
                let mut shard = locked(&shard);
                let target = shard.choose_in(
                    now,
                    &knowledge,
                    &self.zone,
                    &route,
                    &service,
                    key.as_deref(),
                    &tried,
                )?;
                shard.begin(now, &target);
                target
            };
            chart.chosen();
            let guard = AttemptGuard {
                proxy: self.clone(),
                service: service.clone(),
                target: target.clone(),
                result: AttemptResult::Unjudged,
                load: None,
                over: false,
                usage_key: usage_key.clone(),
            };
            let request = Outgoing {
                head: &head,
                far_end: &far_end,
                route: &route,
                request_id: &request_id,
                dialect: &self.dialect,
            };
            let attempt = self
                .attempt(request, guard, &mut body, chart, &mut under_way)
                .await;
            let end = match attempt {
                AttemptResponse::Answered(response) => {
                    chart.attempt_ended(self.clock.now(), AttemptEnd::Answered, || false);
                    chart.done();
                    return Ok(response);
                }
                AttemptResponse::Refused(failure) => return Err(failure),
                AttemptResponse::Ended(end) => end,
            };
            if over.load(Ordering::SeqCst) {
                // Why unknown: bytes have left, though the instance cannot have had all of them.
                chart.refuse(Failure::LostAfterSending);
                return Ok(self.outcome_response(
                    413,
                    "unknown",
                    Failure::BodyTooLarge.word(),
                    None,
                ));
            }
            if target.is_used_up(end) {
                tried.push(target.instance);
            }
            let now = self.clock.now();
            chart.body_left(body.is_complete());
            let may_retry = || {
                let in_budget = locked(&shard).take_retry(now);
                in_budget || self.broken == BrokenCarrier::NoBudget
            };
            match chart.attempt_ended(now, end, may_retry) {
                NextStep::ShootAgain => {}
                NextStep::Respond(failure) => return Err(failure),
                NextStep::PassOn => return Err(Failure::Garbage),
            }
        }
    }
}
