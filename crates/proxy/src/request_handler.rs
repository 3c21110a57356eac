//! Handles client requests: matches a route, chooses an instance, forwards the request, retries
//! when that is safe, and returns the response.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::Duration;

use hyper::body::{Body as HttpBody, Incoming};
use hyper::{Method, Request, Response};
use tokio::sync::Notify;

use crate::attempt::AttemptResponse;
use crate::demand_meter::DemandMeter;
use crate::forwarding::{AttemptGuard, AttemptResult, InFlightGuard};
use crate::framing::{header_text, validated_host};
use crate::instance_connections::InstanceConnections;
use crate::protocol_adapter::ProtocolAdapter;
use crate::shutdown::ShutdownSchedule;
use crate::target_choice::Choice;
use crate::upstream_request::UpstreamRequest;
use crate::usage::{UsageAccounts, UsageKey, UsageOutcome};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyState, RecentConnects, ReportedOutcome, RequestLifecycle,
    RequestState, ServiceShard,
};
use caperworks::facts::Demand;
use caperworks::identifiers::{mix, stable_hash, InstanceId, ServiceName, Zone};
use caperworks::messages::ProxyView;
use runtime::actor::random_seed;
use runtime::clock::Clock;
use runtime::http::{ready_response, Body, Peer};
use runtime::locks::locked;
use runtime::options::{NodeSettings, TuningOptions};

/// Responses up to this size are buffered completely, so that a truncated one never reaches the
/// client and the attempt can be repeated.
pub(crate) const MAX_BUFFERED_RESPONSE: u64 = 64 * 1024;

/// Faults that tests inject to prove that their checks detect them. No setting selects them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedBug {
    #[default]
    Off,
    /// The request id of a response is not checked.
    AcceptsAnyResponse,
    /// A non-idempotent request is retried after a connection reset.
    RetriesNonIdempotent,
    /// A request whose outcome is unknown is reported as not run.
    ReportsUnknownAsNotRun,
    /// A truncated response is ended as though it were complete.
    EndsTruncatedResponses,
    /// Retries are not bounded by the retry budget.
    IgnoresRetryBudget,
    /// The result of the check before the first byte is ignored.
    SkipsPreSendCheck,
}

/// State shared by all requests of one proxy.
pub struct RequestHandler {
    pub clock: Clock,
    pub protocol_adapter: ProtocolAdapter,
    pub zone: Zone,
    pub serving: SocketAddr,
    pub capacity: u32,
    pub(crate) max_buffered_body: u64,
    pub stopping: AtomicBool,
    shutdown: OnceLock<ShutdownSchedule>,
    pub in_flight: AtomicU32,
    pub connections: InstanceConnections,
    pub(crate) recent_connects: Mutex<RecentConnects>,
    pub usage: UsageAccounts,
    pub injected_bug: InjectedBug,
    requests: AtomicU64,
    seed: u64,
    proxy_state: RwLock<Arc<ProxyState>>,
    shards: RwLock<HashMap<ServiceName, Arc<Mutex<ServiceShard>>>>,
    meter: DemandMeter,
    /// Notified at the end of each health check.
    pub(crate) health_checked: Notify,
}

impl RequestHandler {
    pub fn new(
        clock: Clock,
        node_settings: &NodeSettings,
        protocol_adapter: ProtocolAdapter,
    ) -> Self {
        let proxy_state = ProxyState {
            policy: node_settings.tuning.proxy,
            ..ProxyState::default()
        };
        Self {
            clock,
            protocol_adapter,
            zone: node_settings.zone.clone(),
            serving: node_settings.serving,
            capacity: node_settings.capacity,
            max_buffered_body: node_settings.tuning.max_buffered_body,
            stopping: AtomicBool::new(false),
            shutdown: OnceLock::new(),
            in_flight: AtomicU32::new(0),
            connections: InstanceConnections::default(),
            recent_connects: Mutex::default(),
            usage: UsageAccounts::default(),
            injected_bug: InjectedBug::Off,
            requests: AtomicU64::new(0),
            seed: random_seed(),
            proxy_state: RwLock::new(Arc::new(proxy_state)),
            shards: RwLock::default(),
            meter: DemandMeter::default(),
            health_checked: Notify::new(),
        }
    }

    /// Returns the current state received from the agent.
    pub fn proxy_state(&self) -> Arc<ProxyState> {
        self.proxy_state
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Returns the shard of a service, and creates it on first use.
    pub fn shard(&self, service: &ServiceName) -> Arc<Mutex<ServiceShard>> {
        let shards = self
            .shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(shard) = shards.get(service) {
            return shard.clone();
        }
        drop(shards);
        let mut shards = self
            .shards
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let seed = self.seed ^ stable_hash(service.as_str());
        shards
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Mutex::new(ServiceShard::new(seed))))
            .clone()
    }

    /// Returns the shards of all services that were used.
    pub(crate) fn all_shards(&self) -> Vec<Arc<Mutex<ServiceShard>>> {
        let shards = self
            .shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        shards.values().cloned().collect()
    }

    /// Applies an update from the agent, and closes connections to instance incarnations that have
    /// ended.
    pub fn apply_view(&self, polled_at: Duration, view: &ProxyView) {
        let mut next = (*self.proxy_state()).clone();
        next.apply_view(polled_at, view);
        self.connections.retain_current(&next.instances);
        for shard in self.all_shards() {
            locked(&shard).keep_only(polled_at, &next.instances);
        }
        *self
            .proxy_state
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = Arc::new(next);
    }

    /// Returns whether new clients may be sent to this proxy.
    pub fn is_ready(&self) -> bool {
        let proxy_state = self.proxy_state();
        !self.stopping.load(Ordering::SeqCst)
            && proxy_state.is_usable(self.clock.now())
            && (proxy_state.policy.closed_zone_forwards
                || !proxy_state.closed_zones.contains(&self.zone))
    }

    /// Returns the recently measured demand: requests per second by client group and route, and the
    /// round-trip time to the group.
    pub fn demand(&self) -> Vec<Demand> {
        self.meter.demand(self.clock.now())
    }

    /// Handles one client request and returns its response.
    pub async fn handle(
        self: Arc<Self>,
        peer: Peer,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        if request.uri().path() == self.protocol_adapter.ready_path {
            return Ok(ready_response(self.is_ready()));
        }
        let in_flight = InFlightGuard::begin(&self);
        let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
        let is_idempotent = is_read || self.injected_bug == InjectedBug::RetriesNonIdempotent;
        let mut lifecycle = RequestLifecycle::received(is_idempotent);
        let mut usage_key_slot = None;
        let processed = self
            .process(
                peer,
                request,
                &mut lifecycle,
                in_flight,
                &mut usage_key_slot,
            )
            .await;
        let (response, end) = match processed {
            // The lifecycle decides: the proxy also returns `Ok` with its own 413 response to a
            // body that exceeds the limit, which is not a success.
            Ok(response) if lifecycle.state() != RequestState::Done => {
                (response, UsageOutcome::Unknown)
            }
            Ok(response) => (response, UsageOutcome::Served),
            Err(failure) => {
                lifecycle.fail(failure);
                let reported = lifecycle.reported_outcome(failure);
                let end = match reported {
                    ReportedOutcome::NotRun => UsageOutcome::NotRun,
                    ReportedOutcome::Unknown => UsageOutcome::Unknown,
                };
                (self.error_response(failure, reported), end)
            }
        };
        if let Some(key) = usage_key_slot {
            self.usage.record_end(&key, end);
            let length = response.body().size_hint().exact();
            // Only buffered responses are counted here; the bytes of a streamed one are counted as
            // they are forwarded.
            if let Some(length) = length.filter(|length| *length <= MAX_BUFFERED_RESPONSE) {
                self.usage.add_bytes_out(&key, length);
            }
        }
        Ok(response)
    }

    /// Begins the graceful shutdown, in which requests are still taken for a while.
    pub fn begin_shutdown(&self, tuning: &TuningOptions) {
        let schedule = ShutdownSchedule::begin(self.clock.now(), tuning);
        // Only the first call counts.
        let _ = self.shutdown.set(schedule);
    }

    /// Returns an error if the proxy is shutting down and takes no more requests with this deadline.
    fn check_shutdown(&self, deadline: Duration) -> Result<(), Failure> {
        let now = self.clock.now();
        match self.shutdown.get() {
            Some(schedule) if !schedule.admits(now, deadline) => Err(Failure::Draining),
            _ => Ok(()),
        }
    }

    /// Routes the request and attempts it until it succeeds or must not be retried.
    async fn process(
        self: &Arc<Self>,
        peer: Peer,
        request: Request<Incoming>,
        lifecycle: &mut RequestLifecycle,
        in_flight: InFlightGuard,
        usage_key_slot: &mut Option<UsageKey>,
    ) -> Result<Response<Body>, Failure> {
        self.check_shutdown(self.clock.now())?;
        let (head, body) = request.into_parts();
        let host = validated_host(&head)?;
        let proxy_state = self.proxy_state();
        let now = self.clock.now();
        let path = head.uri.path();
        let (name, route) = proxy_state.find(now, &host, path)?;
        lifecycle.matched(now, &route);
        if self.protocol_adapter.clients_send_deadline {
            let reported = header_text(&head.headers, self.protocol_adapter.deadline.as_str());
            if let Some(millis) = reported.and_then(|reported| reported.parse().ok()) {
                lifecycle.limit_deadline(now + Duration::from_millis(millis));
            }
        }
        self.check_shutdown(lifecycle.deadline())?;
        let service = route.service_for(random_seed()).clone();
        let usage_key = UsageKey::of(&name, &service);
        *usage_key_slot = Some(usage_key.clone());
        self.meter.record_request(now, &peer, &name);
        proxy_state.check_admission(now, &self.zone, &route)?;
        // Keys apply to keyed services only: a route can split its requests between keyed services
        // and others.
        let keyed = proxy_state
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
        let limit_exceeded = Arc::new(AtomicBool::new(false));
        let mut body = self
            .buffer_body(body, &route, &limit_exceeded, lifecycle, &usage_key)
            .await?;
        lifecycle.admitted(body.is_complete());
        drop(proxy_state);
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let client_request_id =
            header_text(&head.headers, self.protocol_adapter.request_id.as_str());
        let request_id =
            match client_request_id.filter(|_| self.protocol_adapter.clients_send_request_id) {
                Some(id) => id.to_string(),
                None => format!("{:x}-{number:x}", mix(self.seed)),
            };
        let shard = self.shard(&service);
        let mut excluded: Vec<InstanceId> = Vec::new();
        let mut in_flight = Some(in_flight);
        loop {
            let now = self.clock.now();
            if now >= lifecycle.deadline() {
                return Err(Failure::DeadlineBeforeSending);
            }
            let choice = Choice {
                shard: &shard,
                route: &route,
                service: &service,
                key: key.as_deref(),
                excluded: &excluded,
            };
            let target = self.begin_attempt(&choice, lifecycle.deadline()).await?;
            lifecycle.chosen();
            let guard = AttemptGuard {
                proxy: self.clone(),
                service: service.clone(),
                target: target.clone(),
                result: AttemptResult::Inconclusive,
                load: None,
                incarnation_ended: false,
                usage_key: usage_key.clone(),
            };
            let request = UpstreamRequest {
                head: &head,
                peer: &peer,
                route: &route,
                request_id: &request_id,
                protocol_adapter: &self.protocol_adapter,
            };
            let attempt = self
                .attempt(request, guard, &mut body, lifecycle, &mut in_flight)
                .await;
            let end = match attempt {
                AttemptResponse::Responded(response) => {
                    lifecycle.attempt_ended(self.clock.now(), AttemptEnd::Responded, || false);
                    lifecycle.done();
                    return Ok(response);
                }
                AttemptResponse::Rejected(failure) => return Err(failure),
                AttemptResponse::Ended(end) => end,
            };
            if limit_exceeded.load(Ordering::SeqCst) {
                // Unknown, since some bytes were sent, although the instance cannot have received
                // the complete request.
                lifecycle.fail(Failure::LostAfterSending);
                return Ok(self.outcome_response(
                    413,
                    "unknown",
                    Failure::BodyTooLarge.reason(),
                    None,
                ));
            }
            if target.is_used_up(end) {
                excluded.push(target.instance);
            }
            let now = self.clock.now();
            lifecycle.set_replayable(body.is_complete());
            let may_retry = || {
                let in_budget = locked(&shard).take_retry(now);
                in_budget || self.injected_bug == InjectedBug::IgnoresRetryBudget
            };
            match lifecycle.attempt_ended(now, end, may_retry) {
                NextStep::Retry => {}
                NextStep::Respond(failure) => return Err(failure),
                NextStep::ForwardResponse => return Err(Failure::MalformedResponse),
            }
        }
    }
}
