//! The proxy of the simulated fleet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::actors::request::{Carried, ClientRequest, InstanceResponse, ProxyWish, Stage};
use crate::observers::requests::CallerOutcome;
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

/// Deliberately broken proxies, each to be caught by an observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenProxy {
    #[default]
    Nothing,
    /// Sends writes again like reads.
    RepeatsWrites,
    /// Says "not run" of requests whose fate is not known.
    SaysNotRun,
    /// Takes answers without looking whose they are.
    TakesAnyResponse,
    /// Sends to leaving instances.
    IgnoresDraining,
    /// Goes on although its knowledge is stale.
    IgnoresStaleness,
    /// Goes on in closed zones.
    IgnoresClosed,
    /// Sends another attempt without a budget.
    NoBudget,
    /// Uses the whole gentle rate by itself.
    FullSlowStartRate,
    /// Sends beyond the home region.
    IgnoresHome,
    /// Takes an older map in place of a newer one.
    GoesBack,
    /// Lets one key have as much of its owner as it asks for.
    NoKeyCap,
    /// Keeps a refusal to itself until the deadline is near.
    DelaysRejections,
    /// Sends nothing to an instance whose heartbeats stay away, though it answers.
    BelievesSilence,
}

pub struct SimProxy {
    pub zone: Zone,
    pub serving: SocketAddr,
    pub capacity: u32,
    pub knowledge: ProxyState,
    pub shards: HashMap<ServiceName, ServiceShard>,
    pub carried: HashMap<u64, Carried>,
    pub broken: BrokenProxy,
    seed: u64,
    pull_number: u64,
    pulls: VecDeque<(u64, Duration)>,
    pace: PollPacer,
    next_pull: Duration,
    measured: HashMap<(String, RouteName), (u32, Duration)>,
    demand: Vec<Demand>,
    demand_at: Duration,
    /// Refusals that a broken variant keeps back, and until when.
    kept_back: VecDeque<(Duration, ProxyWish)>,
    /// Since when it is stopping politely.
    pub stopping_since: Option<Duration>,
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// As long as the daemon takes requests after a stop was asked for.
const LINGER: Duration = Duration::from_millis(2600);

impl SimProxy {
    pub fn new(
        zone: Zone,
        serving: SocketAddr,
        capacity: u32,
        seed: u64,
        broken: BrokenProxy,
    ) -> Self {
        Self {
            zone,
            serving,
            capacity,
            knowledge: ProxyState::default(),
            shards: HashMap::new(),
            carried: HashMap::new(),
            broken,
            seed,
            pull_number: 0,
            pulls: VecDeque::new(),
            pace: PollPacer::new(LOCAL_TIMEOUT),
            next_pull: Duration::ZERO,
            measured: HashMap::new(),
            demand: Vec::new(),
            demand_at: Duration::ZERO,
            kept_back: VecDeque::new(),
            stopping_since: None,
        }
    }

    pub fn tick(&mut self, now: Duration) -> Vec<ProxyWish> {
        let due = self.kept_back.iter().take_while(|(at, _)| *at <= now);
        let due = due.count();
        let kept_back: Vec<ProxyWish> = self.kept_back.drain(..due).map(|kept| kept.1).collect();
        let lingered = self
            .stopping_since
            .is_some_and(|since| now.saturating_sub(since) >= LINGER);
        if lingered && self.carried.is_empty() {
            return vec![ProxyWish::End];
        }
        if now < self.next_pull || !self.pace.may_poll(now) {
            return kept_back;
        }
        self.next_pull = now + Duration::from_millis(150);
        if now.saturating_sub(self.demand_at) >= Duration::from_secs(1) {
            let span = now.saturating_sub(self.demand_at).as_secs_f64().max(1.0);
            self.demand_at = now;
            self.demand = self
                .measured
                .drain()
                .map(|((group, route), (requests, locality))| Demand {
                    group,
                    route,
                    requests: (f64::from(requests) / span).ceil() as u32,
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
        kept_back
            .into_iter()
            .chain([ProxyWish::Pull { message }])
            .collect()
    }

    pub fn take_view(&mut self, now: Duration, view: &ProxyView) {
        let Some((_, asked_at)) = self.pulls.iter().find(|(number, _)| *number == view.number)
        else {
            return;
        };
        let asked_at = *asked_at;
        let took = now.saturating_sub(asked_at);
        self.pace.record_response(view.number, Some(took));
        if self.broken == BrokenProxy::GoesBack && view.number.is_multiple_of(40) {
            self.knowledge.maps = Arc::default();
        }
        let mut view = view.clone();
        if self.broken == BrokenProxy::IgnoresDraining {
            for heartbeat in &mut view.instances {
                heartbeat.state = InstanceState::Serving;
            }
        }
        if self.broken == BrokenProxy::FullSlowStartRate {
            view.proxies = 1;
        }
        self.knowledge.apply_view(asked_at, &view);
        if self.broken == BrokenProxy::IgnoresStaleness {
            self.knowledge.fresh_until = asked_at + Duration::from_secs(600);
        }
        if self.broken == BrokenProxy::IgnoresClosed {
            self.knowledge.closed.clear();
        }
        for shard in self.shards.values_mut() {
            shard.keep_only(asked_at, &self.knowledge.instances);
        }
    }

    /// The route as this proxy goes by it.
    fn route_of(&self, route: &Route) -> Route {
        let mut route = route.clone();
        if self.broken == BrokenProxy::IgnoresHome {
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
    ) -> Vec<ProxyWish> {
        let wishes = self.take_in(now, request, group, locality);
        if self.broken != BrokenProxy::DelaysRejections {
            return wishes;
        }
        let refusal = |wish: &ProxyWish| matches!(wish, ProxyWish::Respond { unsent: true, .. });
        let (refusals, wishes): (Vec<ProxyWish>, Vec<ProxyWish>) =
            wishes.into_iter().partition(refusal);
        let until = now + Duration::from_millis(800);
        let refusals = refusals.into_iter().map(|refusal| (until, refusal));
        self.kept_back.extend(refusals);
        wishes
    }

    fn take_in(
        &mut self,
        now: Duration,
        request: ClientRequest,
        group: String,
        locality: Duration,
    ) -> Vec<ProxyWish> {
        let mut chart =
            RequestLifecycle::received(!request.write || self.broken == BrokenProxy::RepeatsWrites);
        let (name, route) = match self.knowledge.find(now, &request.host, &request.path) {
            Ok(found) => found,
            Err(failure) => return vec![self.answered(request, &mut chart, failure, true)],
        };
        let route = self.route_of(&route);
        chart.matched(now, &route);
        let metered = self.measured.entry((group, name)).or_insert((0, locality));
        metered.0 += 1;
        metered.1 = metered.1.min(locality);
        if let Err(failure) = self.knowledge.admits(now, &self.zone, &route) {
            return vec![self.answered(request, &mut chart, failure, true)];
        }
        chart.admitted(true);
        let seed = self.seed;
        self.shards.entry(route.service.clone()).or_insert_with(|| {
            let mut shard = ServiceShard::new(seed ^ stable_hash(route.service.as_str()));
            shard.ignore_key_cap = self.broken == BrokenProxy::NoKeyCap;
            shard.ignore_response_evidence = self.broken == BrokenProxy::BelievesSilence;
            shard
        });
        let number = request.number;
        let deadline = chart.deadline();
        self.carried.insert(
            number,
            Carried {
                request,
                chart,
                route,
                target: None,
                stage: Stage::Opening,
                attempt: 0,
                tried: Vec::new(),
                configuration: Version(0),
            },
        );
        let mut wishes = vec![ProxyWish::WakeAt {
            request: number,
            at: deadline,
        }];
        wishes.extend(self.choose(now, number));
        wishes
    }

    fn answered(
        &self,
        request: ClientRequest,
        chart: &mut RequestLifecycle,
        failure: Failure,
        unsent: bool,
    ) -> ProxyWish {
        chart.refuse(failure);
        let reported = match chart.reported_outcome(failure) {
            ReportedOutcome::NotRun => CallerOutcome::NotRun,
            ReportedOutcome::Unknown if self.broken == BrokenProxy::SaysNotRun => {
                CallerOutcome::NotRun
            }
            ReportedOutcome::Unknown => CallerOutcome::Unknown,
        };
        ProxyWish::Respond {
            request,
            reported,
            answered: None,
            failure: Some(failure),
            unsent,
        }
    }

    fn finish(&mut self, number: u64, failure: Failure) -> Vec<ProxyWish> {
        match self.carried.remove(&number) {
            Some(mut carried) => {
                let unsent = carried.attempt == 0;
                vec![self.answered(carried.request, &mut carried.chart, failure, unsent)]
            }
            None => Vec::new(),
        }
    }

    fn choose(&mut self, now: Duration, number: u64) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        if now >= carried.chart.deadline() {
            return self.finish(number, Failure::DeadlineBeforeSending);
        }
        let Some(shard) = self.shards.get_mut(&carried.route.service) else {
            return Vec::new();
        };
        let chosen = self
            .knowledge
            .admits(now, &self.zone, &carried.route)
            .and_then(|()| {
                let key = carried.request.key.as_deref();
                shard.choose(
                    now,
                    &self.knowledge,
                    &self.zone,
                    &carried.route,
                    key,
                    &carried.tried,
                )
            });
        match chosen {
            Ok(target) => {
                shard.begin(now, &target);
                carried.chart.chosen();
                carried.attempt += 1;
                carried.stage = Stage::Opening;
                carried.target = Some(target.clone());
                let attempt = carried.attempt;
                vec![
                    ProxyWish::WakeAt {
                        request: number,
                        at: now + CONNECT_TIMEOUT,
                    },
                    ProxyWish::Open {
                        request: number,
                        attempt,
                        target,
                    },
                ]
            }
            Err(failure) => self.finish(number, failure),
        }
    }

    /// The connection is open: the last check, then the request leaves.
    pub fn opened(&mut self, now: Duration, number: u64, attempt: u32) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        let (Some(target), Stage::Opening) = (carried.target.clone(), carried.stage) else {
            return Vec::new();
        };
        if carried.attempt != attempt {
            return Vec::new();
        }
        let good = self
            .knowledge
            .check_before_send(now, &self.zone, &carried.route, &target);
        if let Err(failure) = good {
            if let Some(shard) = self.shards.get_mut(&carried.route.service) {
                shard.end(now, &target, true, None);
            }
            return self.finish(number, failure);
        }
        carried.chart.begin_attempt();
        carried.chart.sent();
        if carried.chart.attempts() == 1 {
            if let Some(shard) = self.shards.get_mut(&carried.route.service) {
                shard.first_attempt(now);
            }
        }
        carried.stage = Stage::Sent;
        carried.configuration = self.knowledge.maps.map(MapName::Configuration).version;
        vec![ProxyWish::Shoot {
            request: number,
            attempt,
            target,
            further: carried.chart.attempts() > 1,
        }]
    }

    pub fn ended(
        &mut self,
        now: Duration,
        number: u64,
        attempt: u32,
        end: AttemptEnd,
        response: Option<InstanceResponse>,
    ) -> Vec<ProxyWish> {
        let (end, load, answered) = match response {
            Some(InstanceResponse::Ran { request, load }) => (end, Some(load), Some(request)),
            Some(InstanceResponse::NotRun | InstanceResponse::Misdirected) => {
                (AttemptEnd::RejectedByInstance, None, None)
            }
            Some(InstanceResponse::MalformedResponse) => (end, None, Some(number + 1_000_000_000)),
            None => (end, None, None),
        };
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        if carried.attempt != attempt {
            return Vec::new();
        }
        let Some(target) = carried.target.take() else {
            return Vec::new();
        };
        let mut end = end;
        if end == AttemptEnd::Answered
            && answered != Some(number)
            && self.broken != BrokenProxy::TakesAnyResponse
        {
            end = AttemptEnd::MalformedResponse;
        }
        let good = matches!(end, AttemptEnd::Answered | AttemptEnd::RejectedByInstance);
        let no_budget = self.broken == BrokenProxy::NoBudget;
        let Some(shard) = self.shards.get_mut(&carried.route.service) else {
            return Vec::new();
        };
        shard.end(now, &target, good, load);
        if response == Some(InstanceResponse::Misdirected) {
            shard.mark_incarnation_ended(&target);
        }
        if target.is_used_up(end) {
            carried.tried.push(target.instance);
        }
        let step = carried
            .chart
            .attempt_ended(now, end, || no_budget || shard.take_retry(now));
        match step {
            NextStep::ForwardResponse => match self.carried.remove(&number) {
                Some(carried) => vec![ProxyWish::Respond {
                    request: carried.request,
                    reported: CallerOutcome::Served,
                    answered,
                    failure: None,
                    unsent: false,
                }],
                None => Vec::new(),
            },
            NextStep::Retry => self.choose(now, number),
            NextStep::Respond(failure) => self.finish(number, failure),
        }
    }

    /// A moment that the request waits for has come: its deadline, or the end of patience.
    pub fn woken(&mut self, now: Duration, number: u64, at: Duration) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get(&number) else {
            return Vec::new();
        };
        let late = now >= carried.chart.deadline();
        let (stage, attempt) = (carried.stage, carried.attempt);
        match stage {
            Stage::Sent if late => {
                self.ended(now, number, attempt, AttemptEnd::DeadlineExceeded, None)
            }
            Stage::Opening if late => {
                if let Some(target) = carried.target.clone() {
                    if let Some(shard) = self.shards.get_mut(&carried.route.service.clone()) {
                        shard.end(now, &target, false, None);
                    }
                }
                self.finish(number, Failure::DeadlineBeforeSending)
            }
            // Why compare: only the wake-up that belongs to this opening ends it.
            Stage::Opening if now >= at && carried.target.is_some() => {
                self.ended(now, number, attempt, AttemptEnd::NotOpened, None)
            }
            _ => Vec::new(),
        }
    }
}
