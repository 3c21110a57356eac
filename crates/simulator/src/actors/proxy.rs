//! The proxies of the simulated fleet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::actors::request::{
    ClientRequest, HealthCheck, InFlightRequest, InstanceResponse, ProxyAction, Stage,
};
use crate::observers::requests::ClientOutcome;
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyState, ReportedOutcome, RequestLifecycle, ServiceShard,
};
use caperworks::facts::{Demand, InstanceState};
use caperworks::identifiers::{stable_hash, RouteName, ServiceName, Version, Zone};
use caperworks::map_items::Route;
use caperworks::messages::{Message, ProxyView, Pull};
use caperworks::poll_pacer::PollPacer;
use caperworks::replicated_map::MapName;
use caperworks::rtt_estimator::LOCAL_TIMEOUT;

/// Deliberate faults in proxies, each of which an observer has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyFault {
    #[default]
    NoFault,
    /// Retries writes like reads.
    RepeatsWrites,
    /// Reports "not run" for requests whose outcome is unknown.
    SaysNotRun,
    /// Accepts responses without checking which request they are for.
    TakesAnyResponse,
    /// Sends requests to draining instances.
    IgnoresDraining,
    /// Goes on although its state is stale.
    IgnoresStaleness,
    /// Goes on serving in closed zones.
    IgnoresClosed,
    /// Retries without a retry budget.
    NoBudget,
    /// Uses the full slow-start rate for itself.
    FullSlowStartRate,
    /// Takes the last report that an instance is warm as current for ever.
    TrustsOldReports,
    /// Sends requests outside their home region.
    IgnoresHome,
    /// Replaces a newer map by an older one.
    GoesBack,
    /// Does not limit the share that one key may take of its owner.
    NoKeyCap,
    /// Delays rejections.
    DelaysRejections,
    /// Stops sending to an instance without heartbeats, although it responds.
    BelievesSilence,
}

/// A simulated proxy, with the dispatch logic of the daemon.
pub struct SimProxy {
    pub zone: Zone,
    pub serving: SocketAddr,
    pub capacity: u32,
    pub knowledge: ProxyState,
    pub shards: HashMap<ServiceName, ServiceShard>,
    pub in_flight: HashMap<u64, InFlightRequest>,
    pub fault: ProxyFault,
    seed: u64,
    pull_number: u64,
    pulls: VecDeque<(u64, Duration)>,
    pace: PollPacer,
    next_pull: Duration,
    measured: HashMap<(String, RouteName), (u32, Duration)>,
    demand: Vec<Demand>,
    demand_at: Duration,
    /// Rejections delayed by a fault, and until when.
    delayed_rejections: VecDeque<(Duration, ProxyAction)>,
    /// The health checks in flight.
    health_checks: Vec<HealthCheck>,
    /// When its graceful shutdown began.
    pub stopping_since: Option<Duration>,
}

/// Time after which an attempt to connect to an instance has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a health check without a response has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the daemon still accepts requests after a shutdown request.
const SHUTDOWN_DRAIN: Duration = Duration::from_millis(2600);

impl SimProxy {
    pub fn new(
        zone: Zone,
        serving: SocketAddr,
        capacity: u32,
        seed: u64,
        fault: ProxyFault,
    ) -> Self {
        Self {
            zone,
            serving,
            capacity,
            knowledge: ProxyState::default(),
            shards: HashMap::new(),
            in_flight: HashMap::new(),
            fault,
            seed,
            pull_number: 0,
            pulls: VecDeque::new(),
            pace: PollPacer::new(LOCAL_TIMEOUT),
            next_pull: Duration::ZERO,
            measured: HashMap::new(),
            demand: Vec::new(),
            demand_at: Duration::ZERO,
            delayed_rejections: VecDeque::new(),
            health_checks: Vec::new(),
            stopping_since: None,
        }
    }

    pub fn tick(&mut self, now: Duration) -> Vec<ProxyAction> {
        let mut actions = self.poll_and_reject(now);
        actions.extend(self.start_health_checks(now));
        actions
    }

    /// Ends the health checks without a response, and starts those that are due.
    fn start_health_checks(&mut self, now: Duration) -> Vec<ProxyAction> {
        let (ended, in_flight): (Vec<HealthCheck>, Vec<HealthCheck>) =
            std::mem::take(&mut self.health_checks)
                .into_iter()
                .partition(|check| now.saturating_sub(check.sent_at) >= HEALTH_CHECK_TIMEOUT);
        self.health_checks = in_flight;
        for check in ended {
            self.health_checked(&check, None);
        }
        let mut actions = Vec::new();
        let mut shards: Vec<_> = self.shards.iter_mut().collect();
        shards.sort_unstable_by_key(|(service, _)| *service);
        for (_, shard) in shards {
            for target in shard.begin_health_checks(now, &self.knowledge) {
                let check = HealthCheck {
                    target,
                    sent_at: now,
                };
                self.health_checks.push(check.clone());
                actions.push(ProxyAction::CheckHealth { check });
            }
        }
        actions
    }

    /// Records what a health check showed.
    pub fn health_checked(&mut self, check: &HealthCheck, warm_up_left: Option<Duration>) {
        self.health_checks.retain(|other| {
            other.sent_at != check.sent_at || other.target.instance != check.target.instance
        });
        if let Some(shard) = self.shards.get_mut(&check.target.service) {
            shard.end_health_check(check.sent_at, &check.target, warm_up_left);
        }
    }

    fn poll_and_reject(&mut self, now: Duration) -> Vec<ProxyAction> {
        let due = self
            .delayed_rejections
            .iter()
            .take_while(|(at, _)| *at <= now);
        let due = due.count();
        let delayed_rejections: Vec<ProxyAction> = self
            .delayed_rejections
            .drain(..due)
            .map(|rejection| rejection.1)
            .collect();
        let is_drained = self
            .stopping_since
            .is_some_and(|since| now.saturating_sub(since) >= SHUTDOWN_DRAIN);
        if is_drained && self.in_flight.is_empty() {
            return vec![ProxyAction::Stopped];
        }
        if now < self.next_pull || !self.pace.may_poll(now) {
            return delayed_rejections;
        }
        self.next_pull = now + Duration::from_millis(150);
        if now.saturating_sub(self.demand_at) >= Duration::from_secs(1) {
            let elapsed_s = now.saturating_sub(self.demand_at).as_secs_f64().max(1.0);
            self.demand_at = now;
            self.demand = self
                .measured
                .drain()
                .map(|((group, route), (requests, locality))| Demand {
                    group,
                    route,
                    requests: (f64::from(requests) / elapsed_s).ceil() as u32,
                    distance: locality,
                })
                .collect();
            self.demand
                .sort_by(|one, other| (&one.group, &one.route).cmp(&(&other.group, &other.route)));
        }
        self.pull_number += 1;
        self.pace.record_request(now, self.pull_number);
        self.pulls.push_back((self.pull_number, now));
        if self.pulls.len() > 16 {
            self.pulls.pop_front();
        }
        let pull = Pull {
            number: self.pull_number,
            configuration: self.knowledge.maps.map(MapName::Configuration).version,
            ownership: self.knowledge.maps.map(MapName::Ownership).version,
            serving: self.serving,
            ready: self.stopping_since.is_none(),
            capacity: self.capacity,
            demand: self.demand.clone(),
            incarnation: self.seed,
            usage: Vec::new(),
            agent: self.knowledge.agent,
            instances_offset: self.knowledge.instances_offset,
        };
        let message = Message::Pull { pull };
        delayed_rejections
            .into_iter()
            .chain([ProxyAction::Pull { message }])
            .collect()
    }

    pub fn apply_view(&mut self, now: Duration, view: &ProxyView) {
        let Some((_, requested_at)) = self.pulls.iter().find(|(number, _)| *number == view.number)
        else {
            return;
        };
        let requested_at = *requested_at;
        let elapsed = now.saturating_sub(requested_at);
        self.pace.record_response(view.number, Some(elapsed));
        if self.fault == ProxyFault::GoesBack && view.number.is_multiple_of(40) {
            self.knowledge.maps = Arc::default();
        }
        let mut view = view.clone();
        if self.fault == ProxyFault::IgnoresDraining {
            for heartbeat in &mut view.instances {
                heartbeat.state = InstanceState::Serving;
            }
        }
        if self.fault == ProxyFault::FullSlowStartRate {
            view.proxies = 1;
            view.position = None;
        }
        self.knowledge.apply_view(requested_at, &view);
        if self.fault == ProxyFault::IgnoresStaleness {
            self.knowledge.fresh_until = requested_at + Duration::from_secs(600);
        }
        if self.fault == ProxyFault::TrustsOldReports {
            self.knowledge.reports_current_until = Duration::MAX;
        }
        if self.fault == ProxyFault::IgnoresClosed {
            self.knowledge.closed_zones.clear();
        }
        for shard in self.shards.values_mut() {
            shard.keep_only(requested_at, &self.knowledge.instances);
        }
    }

    /// Returns the route as this proxy applies it.
    fn route_of(&self, route: &Route) -> Route {
        let mut route = route.clone();
        if self.fault == ProxyFault::IgnoresHome {
            route.homes.clear();
        }
        route
    }

    pub fn receive(
        &mut self,
        now: Duration,
        request: ClientRequest,
        group: String,
        locality: Duration,
    ) -> Vec<ProxyAction> {
        let actions = self.route_request(now, request, group, locality);
        if self.fault != ProxyFault::DelaysRejections {
            return actions;
        }
        let rejection =
            |action: &ProxyAction| matches!(action, ProxyAction::Respond { unsent: true, .. });
        let (rejections, actions): (Vec<ProxyAction>, Vec<ProxyAction>) =
            actions.into_iter().partition(rejection);
        let until = now + Duration::from_millis(800);
        let rejections = rejections.into_iter().map(|rejection| (until, rejection));
        self.delayed_rejections.extend(rejections);
        actions
    }

    fn route_request(
        &mut self,
        now: Duration,
        request: ClientRequest,
        group: String,
        locality: Duration,
    ) -> Vec<ProxyAction> {
        let mut lifecycle =
            RequestLifecycle::received(!request.write || self.fault == ProxyFault::RepeatsWrites);
        let (name, route) = match self.knowledge.find(now, &request.host, &request.path) {
            Ok(found) => found,
            Err(failure) => return vec![self.reject(request, &mut lifecycle, failure, true)],
        };
        let route = self.route_of(&route);
        lifecycle.matched(now, &route);
        let measurement = self.measured.entry((group, name)).or_insert((0, locality));
        measurement.0 += 1;
        measurement.1 = measurement.1.min(locality);
        if let Err(failure) = self.knowledge.check_admission(now, &self.zone, &route) {
            return vec![self.reject(request, &mut lifecycle, failure, true)];
        }
        lifecycle.admitted(true);
        let seed = self.seed;
        self.shards.entry(route.service.clone()).or_insert_with(|| {
            let mut shard = ServiceShard::new(seed ^ stable_hash(route.service.as_str()));
            shard.ignore_key_cap = self.fault == ProxyFault::NoKeyCap;
            shard.ignore_response_evidence = self.fault == ProxyFault::BelievesSilence;
            shard
        });
        let number = request.number;
        let deadline = lifecycle.deadline();
        self.in_flight.insert(
            number,
            InFlightRequest {
                request,
                lifecycle,
                route,
                target: None,
                stage: Stage::Connecting,
                attempt: 0,
                tried: Vec::new(),
                configuration: Version(0),
            },
        );
        let mut actions = vec![ProxyAction::SetTimer {
            request: number,
            at: deadline,
        }];
        actions.extend(self.choose(now, number));
        actions
    }

    fn reject(
        &self,
        request: ClientRequest,
        lifecycle: &mut RequestLifecycle,
        failure: Failure,
        unsent: bool,
    ) -> ProxyAction {
        lifecycle.fail(failure);
        let reported = match lifecycle.reported_outcome(failure) {
            ReportedOutcome::NotRun => ClientOutcome::NotRun,
            ReportedOutcome::Unknown if self.fault == ProxyFault::SaysNotRun => {
                ClientOutcome::NotRun
            }
            ReportedOutcome::Unknown => ClientOutcome::Unknown,
        };
        ProxyAction::Respond {
            request,
            reported,
            response_for: None,
            failure: Some(failure),
            unsent,
        }
    }

    fn finish(&mut self, number: u64, failure: Failure) -> Vec<ProxyAction> {
        match self.in_flight.remove(&number) {
            Some(mut in_flight) => {
                let unsent = in_flight.attempt == 0;
                vec![self.reject(in_flight.request, &mut in_flight.lifecycle, failure, unsent)]
            }
            None => Vec::new(),
        }
    }

    fn choose(&mut self, now: Duration, number: u64) -> Vec<ProxyAction> {
        let Some(in_flight) = self.in_flight.get_mut(&number) else {
            return Vec::new();
        };
        if now >= in_flight.lifecycle.deadline() {
            return self.finish(number, Failure::DeadlineBeforeSending);
        }
        let Some(shard) = self.shards.get_mut(&in_flight.route.service) else {
            return Vec::new();
        };
        let chosen = self
            .knowledge
            .check_admission(now, &self.zone, &in_flight.route)
            .and_then(|()| {
                let key = in_flight.request.key.as_deref();
                shard.choose(
                    now,
                    &self.knowledge,
                    &self.zone,
                    &in_flight.route,
                    key,
                    &in_flight.tried,
                )
            });
        match chosen {
            Ok(target) => {
                shard.begin_attempt(now, &target);
                in_flight.lifecycle.chosen();
                in_flight.attempt += 1;
                in_flight.stage = Stage::Connecting;
                in_flight.target = Some(target.clone());
                let attempt = in_flight.attempt;
                vec![
                    ProxyAction::SetTimer {
                        request: number,
                        at: now + CONNECT_TIMEOUT,
                    },
                    ProxyAction::Connect {
                        request: number,
                        attempt,
                        target,
                    },
                ]
            }
            Err(failure) => self.finish(number, failure),
        }
    }

    /// Sends the request over its open connection, after a last check.
    pub fn connected(&mut self, now: Duration, number: u64, attempt: u32) -> Vec<ProxyAction> {
        let Some(in_flight) = self.in_flight.get_mut(&number) else {
            return Vec::new();
        };
        let (Some(target), Stage::Connecting) = (in_flight.target.clone(), in_flight.stage) else {
            return Vec::new();
        };
        if in_flight.attempt != attempt {
            return Vec::new();
        }
        let checked = self
            .knowledge
            .check_before_send(now, &self.zone, &in_flight.route, &target);
        if let Err(failure) = checked {
            if let Some(shard) = self.shards.get_mut(&in_flight.route.service) {
                shard.end_attempt(now, &target, true, None);
            }
            return self.finish(number, failure);
        }
        in_flight.lifecycle.begin_attempt();
        in_flight.lifecycle.sent();
        if in_flight.lifecycle.attempts() == 1 {
            if let Some(shard) = self.shards.get_mut(&in_flight.route.service) {
                shard.record_first_attempt(now);
            }
        }
        in_flight.stage = Stage::Sent;
        in_flight.configuration = self.knowledge.maps.map(MapName::Configuration).version;
        vec![ProxyAction::SendAttempt {
            request: number,
            attempt,
            target,
            is_retry: in_flight.lifecycle.attempts() > 1,
        }]
    }

    pub fn attempt_ended(
        &mut self,
        now: Duration,
        number: u64,
        attempt: u32,
        end: AttemptEnd,
        response: Option<InstanceResponse>,
    ) -> Vec<ProxyAction> {
        let (end, load, response_for) = match response {
            Some(InstanceResponse::Ran { request, load }) => (end, Some(load), Some(request)),
            Some(InstanceResponse::NotRun | InstanceResponse::Misdirected) => {
                (AttemptEnd::RejectedByInstance, None, None)
            }
            Some(InstanceResponse::MalformedResponse) => (end, None, Some(number + 1_000_000_000)),
            None => (end, None, None),
        };
        let Some(in_flight) = self.in_flight.get_mut(&number) else {
            return Vec::new();
        };
        if in_flight.attempt != attempt {
            return Vec::new();
        }
        let Some(target) = in_flight.target.take() else {
            return Vec::new();
        };
        let mut end = end;
        if end == AttemptEnd::Responded
            && response_for != Some(number)
            && self.fault != ProxyFault::TakesAnyResponse
        {
            end = AttemptEnd::MalformedResponse;
        }
        let responded = matches!(end, AttemptEnd::Responded | AttemptEnd::RejectedByInstance);
        let no_budget = self.fault == ProxyFault::NoBudget;
        let Some(shard) = self.shards.get_mut(&in_flight.route.service) else {
            return Vec::new();
        };
        shard.end_attempt(now, &target, responded, load);
        if response == Some(InstanceResponse::Misdirected) {
            shard.mark_incarnation_ended(&target);
        }
        if target.is_used_up(end) {
            in_flight.tried.push(target.instance);
        }
        let step = in_flight
            .lifecycle
            .attempt_ended(now, end, || no_budget || shard.take_retry(now));
        match step {
            NextStep::ForwardResponse => match self.in_flight.remove(&number) {
                Some(in_flight) => vec![ProxyAction::Respond {
                    request: in_flight.request,
                    reported: ClientOutcome::Served,
                    response_for,
                    failure: None,
                    unsent: false,
                }],
                None => Vec::new(),
            },
            NextStep::Retry => self.choose(now, number),
            NextStep::Respond(failure) => self.finish(number, failure),
        }
    }

    /// Handles a request's timer: its deadline or its connect timeout has passed.
    pub fn timer_fired(&mut self, now: Duration, number: u64, at: Duration) -> Vec<ProxyAction> {
        let Some(in_flight) = self.in_flight.get(&number) else {
            return Vec::new();
        };
        let late = now >= in_flight.lifecycle.deadline();
        let (stage, attempt) = (in_flight.stage, in_flight.attempt);
        match stage {
            Stage::Sent if late => {
                self.attempt_ended(now, number, attempt, AttemptEnd::DeadlineExceeded, None)
            }
            Stage::Connecting if late => {
                if let Some(target) = in_flight.target.clone() {
                    if let Some(shard) = self.shards.get_mut(&in_flight.route.service.clone()) {
                        shard.end_attempt(now, &target, false, None);
                    }
                }
                self.finish(number, Failure::DeadlineBeforeSending)
            }
            // Only the timer that belongs to this connection attempt may end it.
            Stage::Connecting if now >= at && in_flight.target.is_some() => {
                self.attempt_ended(now, number, attempt, AttemptEnd::NotOpened, None)
            }
            _ => Vec::new(),
        }
    }
}
