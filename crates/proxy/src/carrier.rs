//! Carries orders from callers to instances along the order's state chart.

use crate::prelude::*;

/// Bodies and answers up to this size are held whole, so that an attempt can be repeated and a
/// truncated answer never reaches the caller.
const SMALL: u64 = 64 * 1024;
const METER_SHARDS: usize = 8;
/// How long the demand meter looks back.
const METER_SPAN: Duration = Duration::from_secs(4);

#[derive(Default)]
struct Metered {
    /// Orders by second.
    seconds: VecDeque<(u64, u32)>,
    nearest: Duration,
}

pub struct Carrier {
    pub clock: Clock,
    pub dialect: Dialect,
    pub zone: Zone,
    pub serving: SocketAddr,
    pub capacity: u32,
    held_body: u64,
    pub stopping: AtomicBool,
    /// Set when even new orders are refused, just before the end.
    pub closed: AtomicBool,
    pub under_way: AtomicU32,
    pub connections: InstanceConnections,
    pub usage: UsageAccounts,
    requests: AtomicU64,
    seed: u64,
    knowledge: RwLock<Arc<ProxyKnowledge>>,
    shards: RwLock<HashMap<ServiceName, Arc<Mutex<ServiceShard>>>>,
    meter: [Mutex<HashMap<(String, RouteName), Metered>>; METER_SHARDS],
}

/// The caller's body, in the form it can be sent in.
enum RequestBody {
    Held(Bytes),
    Streaming(Option<Body>),
}

/// How the library's sending ended, within the deadline or not.
type SendOutcome = Result<
    Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<Body>>>,
    tokio::time::error::Elapsed,
>;

/// What one attempt brought back.
enum AttemptAnswer {
    Ended(AttemptEnd),
    Refused(Failure),
    Answered(Response<Body>),
}

impl Carrier {
    pub fn new(clock: Clock, place: &Place, dialect: Dialect) -> Self {
        let knowledge = ProxyKnowledge {
            policy: place.terms.proxy,
            ..ProxyKnowledge::default()
        };
        Self {
            clock,
            dialect,
            zone: place.zone.clone(),
            serving: place.serving,
            capacity: place.capacity,
            held_body: place.terms.held_body,
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            under_way: AtomicU32::new(0),
            connections: InstanceConnections::default(),
            usage: UsageAccounts::default(),
            requests: AtomicU64::new(0),
            seed: fresh_seed(),
            knowledge: RwLock::new(Arc::new(knowledge)),
            shards: RwLock::default(),
            meter: Default::default(),
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

    fn measure(&self, now: Duration, far_end: &FarEnd, route: &RouteName) {
        let group = group_of(far_end.address.ip());
        let shard = (steady_hash(&group) % METER_SHARDS as u64) as usize;
        let mut meter = locked(&self.meter[shard]);
        let metered = meter.entry((group, route.clone())).or_default();
        let second = now.as_secs();
        match metered.seconds.back_mut() {
            Some(last) if last.0 == second => last.1 += 1,
            _ => metered.seconds.push_back((second, 1)),
        }
        let round_trip = far_end.round_trip;
        if !round_trip.is_zero() && (metered.nearest.is_zero() || round_trip < metered.nearest) {
            metered.nearest = round_trip;
        }
    }

    /// What was measured of late: orders a second by group and rule, and how far the group is.
    pub fn demand(&self) -> Vec<Demand> {
        let oldest = self
            .clock
            .now()
            .as_secs()
            .saturating_sub(METER_SPAN.as_secs());
        let mut demand = Vec::new();
        for shard in &self.meter {
            let mut meter = locked(shard);
            meter.retain(|(group, route), metered| {
                while metered
                    .seconds
                    .front()
                    .is_some_and(|first| first.0 < oldest)
                {
                    metered.seconds.pop_front();
                }
                let requests: u32 = metered.seconds.iter().map(|second| second.1).sum();
                if requests > 0 {
                    demand.push(Demand {
                        group: group.clone(),
                        route: route.clone(),
                        requests: requests.div_ceil(METER_SPAN.as_secs() as u32),
                        locality: metered.nearest,
                    });
                }
                requests > 0
            });
        }
        demand
    }

    /// Answers one order.
    pub async fn carry(
        self: Arc<Self>,
        far_end: FarEnd,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        if request.uri().path() == self.dialect.ready_path {
            return Ok(ready_answer(self.is_ready()));
        }
        let under_way = UnderWay::begin(&self);
        let read = matches!(*request.method(), Method::GET | Method::HEAD);
        let mut chart = RequestChart::received(read);
        let mut counted = None;
        let worked = self
            .work(far_end, request, &mut chart, under_way, &mut counted)
            .await;
        let (answer, end) = match worked {
            // Why by the chart: an answer of ours to a body that was too long is no success.
            Ok(answer) if chart.state() != RequestState::Done => (answer, CountedEnd::Unknown),
            Ok(answer) => (answer, CountedEnd::Served),
            Err(failure) => {
                chart.refuse(failure);
                let told = chart.told(failure);
                let end = match told {
                    Told::NotRun => CountedEnd::NotRun,
                    Told::Unknown => CountedEnd::Unknown,
                };
                (self.failure_answer(failure, told), end)
            }
        };
        if let Some(key) = counted {
            self.usage.ended(&key, end);
            let length = answer.body().size_hint().exact();
            // Why only short ones: a long answer is counted as it passes.
            if let Some(length) = length.filter(|length| *length <= SMALL) {
                self.usage.gave_out(&key, length);
            }
        }
        Ok(answer)
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
            return Err(Failure::Leaving);
        }
        let (head, body) = request.into_parts();
        let host = checked_framing(&head)?;
        let knowledge = self.knowledge();
        let now = self.clock.now();
        let path = head.uri.path();
        let (name, route) = knowledge.find(now, &host, path)?;
        chart.matched(now, &route);
        if self.dialect.callers_tell_deadline {
            let told = header_text(&head.headers, self.dialect.deadline.as_str());
            if let Some(millis) = told.and_then(|told| told.parse().ok()) {
                chart.caller_waits(now + Duration::from_millis(millis));
            }
        }
        let service = route.service_for(fresh_seed()).clone();
        let usage_key = UsageKey::of(&name, &service);
        *counted = Some(usage_key.clone());
        self.measure(now, &far_end, &name);
        knowledge.admits(now, &self.zone, &route)?;
        // Why only for keyed services: of a split rule's requests some may go where keys mean nothing.
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
            .hold_body(body, &route, &over, chart, &usage_key)
            .await?;
        chart.admitted(matches!(body, RequestBody::Held(_)));
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
                good: false,
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
                .shoot(request, guard, &mut body, chart, &mut under_way)
                .await;
            let end = match attempt {
                AttemptAnswer::Answered(answer) => {
                    chart.attempt_ended(self.clock.now(), AttemptEnd::Answered, || false);
                    chart.done();
                    return Ok(answer);
                }
                AttemptAnswer::Refused(failure) => return Err(failure),
                AttemptAnswer::Ended(end) => end,
            };
            if over.load(Ordering::SeqCst) {
                // Why unknown: bytes have left, though the instance cannot have had all of them.
                chart.refuse(Failure::LostAfterSending);
                return Ok(self.told_answer(413, "unknown", Failure::BodyTooLarge.word(), None));
            }
            if target.is_used_up(end) {
                tried.push(target.instance);
            }
            let now = self.clock.now();
            match chart.attempt_ended(now, end, || locked(&shard).take_retry(now)) {
                NextStep::ShootAgain => {}
                NextStep::Answer(failure) => return Err(failure),
                NextStep::PassOn => return Err(Failure::Garbage),
            }
        }
    }

    /// Holds a small body whole; a large or open-ended one streams under the rule's limit.
    async fn hold_body(
        self: &Arc<Self>,
        body: Incoming,
        route: &Route,
        over: &Arc<AtomicBool>,
        chart: &RequestChart,
        usage_key: &UsageKey,
    ) -> Result<RequestBody, Failure> {
        match body.size_hint().exact() {
            Some(length) if length > route.body_limit => Err(Failure::BodyTooLarge),
            Some(length) if length <= self.held_body => {
                let left = chart.deadline().saturating_sub(self.clock.now());
                match tokio::time::timeout(left, body.collect()).await {
                    Ok(Ok(collected)) => {
                        let bytes = collected.to_bytes();
                        self.usage.took_in(usage_key, bytes.len() as u64);
                        Ok(RequestBody::Held(bytes))
                    }
                    Ok(Err(_)) => Err(Failure::BadFraming),
                    Err(_) => Err(Failure::LateBeforeSending),
                }
            }
            _ => {
                let counted = Counted {
                    inner: body,
                    left: route.body_limit,
                    over: over.clone(),
                    proxy: self.clone(),
                    usage_key: usage_key.clone(),
                };
                Ok(RequestBody::Streaming(Some(counted.boxed())))
            }
        }
    }

    async fn shoot(
        self: &Arc<Self>,
        outgoing: Outgoing<'_>,
        mut guard: AttemptGuard,
        body: &mut RequestBody,
        chart: &mut RequestChart,
        under_way: &mut Option<UnderWay>,
    ) -> AttemptAnswer {
        let target = guard.target.clone();
        let key = (target.instance.clone(), target.incarnation, target.address);
        let patience = chart.deadline().saturating_sub(self.clock.now());
        let Some(mut connection) = self.connections.open(&key, patience, chart.is_read()).await
        else {
            let now = self.clock.now();
            let knowledge = self.knowledge();
            if let Some(heartbeat) = knowledge.instances.get(&target.instance) {
                let shard = self.shard(&target.service);
                locked(&shard).not_opened(now, &target, heartbeat.counter);
            }
            return AttemptAnswer::Ended(AttemptEnd::NotOpened);
        };
        let sending = match body {
            RequestBody::Held(bytes) => whole(bytes.clone()),
            RequestBody::Streaming(stream) => match stream.take() {
                Some(stream) => stream,
                None => return AttemptAnswer::Ended(AttemptEnd::Lost),
            },
        };
        // The last moment before the first byte: everything that may have changed is asked again.
        let now = self.clock.now();
        let good = self
            .knowledge()
            .still_good(now, &self.zone, outgoing.route, &target);
        if let Err(failure) = good {
            self.connections.give_back(key, connection);
            guard.good = true;
            return AttemptAnswer::Refused(failure);
        }
        connection
            .gate
            .arm(self.last_check(outgoing.route, &target, chart.deadline()));
        let left = chart.deadline().saturating_sub(now);
        let request = match outgoing.request(&target, left, sending) {
            Ok(request) => request,
            Err(failure) => return AttemptAnswer::Refused(failure),
        };
        chart.shooting();
        chart.sent();
        if chart.attempts() == 1 {
            // Why only now: orders that were refused without an attempt must not make room for retries.
            locked(&self.shard(&target.service)).first_attempt(now);
        }
        let sent = tokio::time::timeout(left, connection.sender.try_send_request(request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            failed => {
                // Why shut first: only then is it settled for good whether a byte has left.
                let passage = connection.gate.shut();
                return self.lost_attempt(failed, passage, connection.reused, body, &mut guard);
            }
        };
        let dialect = &self.dialect;
        // Why before anything else: an answer to another request says nothing of this one.
        let echoed = header_text(answer.headers(), dialect.request_id.as_str());
        let refused = (dialect.told_not_run)(answer.status(), answer.headers());
        let another = match echoed {
            Some(echoed) => echoed != outgoing.request_id,
            None => dialect.callers_name_requests,
        };
        if another {
            return AttemptAnswer::Ended(AttemptEnd::Garbage);
        }
        guard.load = (dialect.load)(answer.headers());
        if refused {
            guard.good = true;
            let incarnation = dialect.incarnation.as_ref();
            let life = incarnation.and_then(|name| header_text(answer.headers(), name.as_str()));
            let told = dialect.instance_told.as_ref();
            let told = told.and_then(|name| header_text(answer.headers(), name.as_str()));
            guard.over = life.is_some_and(|life| life != target.incarnation.to_string())
                || told.is_some_and(|told| told != target.instance.as_str());
            return AttemptAnswer::Ended(AttemptEnd::RefusedByInstance);
        }
        let unsealed = answer.status().is_success()
            && dialect
                .seal
                .as_ref()
                .is_some_and(|seal| !answer.headers().contains_key(seal));
        // Why no promise of ours: the instance did not say that it ran nothing.
        let false_promise = dialect.promises.contains(&answer.status().as_u16());
        if unsealed || false_promise || !well_framed(&answer) {
            return AttemptAnswer::Ended(AttemptEnd::Garbage);
        }
        self.pass_on(answer, connection, key, guard, chart, under_way)
            .await
    }

    /// The check that is made once more where the first byte of an order is written.
    fn last_check(
        self: &Arc<Self>,
        route: &Arc<Route>,
        target: &Target,
        deadline: Duration,
    ) -> LastCheck {
        let (proxy, route, target) = (self.clone(), route.clone(), target.clone());
        Box::new(move || {
            let now = proxy.clock.now();
            if now >= deadline {
                return Err(Failure::LateBeforeSending);
            }
            proxy
                .knowledge()
                .still_good(now, &proxy.zone, &route, &target)
        })
    }

    /// What an attempt that brought no answer was: nothing sent, or lost.
    fn lost_attempt(
        &self,
        failed: SendOutcome,
        passage: Passage,
        reused: bool,
        body: &mut RequestBody,
        guard: &mut AttemptGuard,
    ) -> AttemptAnswer {
        let mut failed = failed;
        if let (Ok(Err(failure)), RequestBody::Streaming(stream)) = (&mut failed, body) {
            *stream = failure.take_message().map(Request::into_body);
        }
        match (passage, failed) {
            (Passage::Nothing(Some(failure)), _) => {
                guard.good = true;
                AttemptAnswer::Refused(failure)
            }
            (Passage::Nothing(None), Err(_)) => AttemptAnswer::Refused(Failure::LateBeforeSending),
            (Passage::Nothing(None), Ok(_)) => {
                guard.good = true;
                AttemptAnswer::Ended(AttemptEnd::NotOpened)
            }
            (Passage::Begun, Err(_)) => AttemptAnswer::Ended(AttemptEnd::Late),
            (Passage::Begun, Ok(Err(failure))) if failure.error().is_parse() => {
                AttemptAnswer::Ended(AttemptEnd::Garbage)
            }
            (Passage::Begun, Ok(_)) => {
                if reused {
                    // Why noted: most likely the instance closed the connection as it was taken up.
                    event(REUSED_LOST, &guard.target.instance);
                }
                AttemptAnswer::Ended(AttemptEnd::Lost)
            }
        }
    }

    async fn pass_on(
        self: &Arc<Self>,
        answer: Response<Incoming>,
        connection: Connection,
        key: InstanceKey,
        mut guard: AttemptGuard,
        chart: &RequestChart,
        under_way: &mut Option<UnderWay>,
    ) -> AttemptAnswer {
        let (mut head, body) = answer.into_parts();
        strip_hop_by_hop(&mut head.headers);
        strip_own(&mut head.headers, self.dialect.own_prefix);
        let left = chart.deadline().saturating_sub(self.clock.now());
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|length| length <= SMALL);
        if small {
            return match tokio::time::timeout(left, body.collect()).await {
                Ok(Ok(collected)) => {
                    guard.good = true;
                    self.connections.give_back(key, connection);
                    let body = whole(collected.to_bytes());
                    AttemptAnswer::Answered(Response::from_parts(head, body))
                }
                Ok(Err(_)) => AttemptAnswer::Ended(AttemptEnd::Garbage),
                Err(_) => AttemptAnswer::Ended(AttemptEnd::Late),
            };
        }
        let Some(under_way) = under_way.take() else {
            return AttemptAnswer::Ended(AttemptEnd::Lost);
        };
        let passing = Passing {
            inner: body,
            connection: Some(connection),
            key,
            guard,
            deadline: Box::pin(tokio::time::sleep(left)),
            under_way,
        };
        AttemptAnswer::Answered(Response::from_parts(head, passing.boxed()))
    }
}

/// What goes to an instance with every attempt.
struct Outgoing<'order> {
    head: &'order hyper::http::request::Parts,
    far_end: &'order FarEnd,
    route: &'order Arc<Route>,
    request_id: &'order str,
    dialect: &'order Dialect,
}

impl Outgoing<'_> {
    fn request(
        &self,
        target: &Target,
        left: Duration,
        body: Body,
    ) -> Result<Request<Body>, Failure> {
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", hyper::http::uri::PathAndQuery::as_str);
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(path)
            .body(body)
            .map_err(|_| Failure::BadFraming)?;
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        strip_own(&mut headers, self.dialect.own_prefix);
        headers.remove("expect");
        // Why removed: the framing towards the instance follows from the body, never from the
        // caller's word.
        headers.remove("content-length");
        let dialect = self.dialect;
        let mut set = |name: &HeaderName, text: String| -> Result<(), Failure> {
            let value = HeaderValue::from_str(&text).map_err(|_| Failure::BadFraming)?;
            headers.insert(name.clone(), value);
            Ok(())
        };
        set(&dialect.instance, target.instance.to_string())?;
        if let Some(name) = &dialect.incarnation {
            set(name, target.incarnation.to_string())?;
        }
        set(&dialect.request_id, self.request_id.to_string())?;
        set(&dialect.deadline, left.as_millis().to_string())?;
        if let Some(name) = &dialect.forwarded_for {
            set(name, self.far_end.address.ip().to_string())?;
        }
        if let Some((key_range, epoch)) = target.key_range {
            if let Some(name) = &dialect.key_range {
                set(name, key_range.to_string())?;
            }
            if let Some(name) = &dialect.epoch {
                set(name, epoch.to_string())?;
            }
        }
        *request.headers_mut() = headers;
        Ok(request)
    }
}

/// Refuses what could be read in two ways; says the host.
fn checked_framing(head: &hyper::http::request::Parts) -> Result<String, Failure> {
    let count = |name: &str| head.headers.get_all(name).iter().count();
    let twice = head.extensions.get::<AmbiguousFraming>().is_some();
    let bad = twice
        || count("content-length") > 1
        || count("transfer-encoding") > 1
        || count("host") != 1
        || head.method == Method::CONNECT
        || head.version != hyper::Version::HTTP_11
        || count("upgrade") > 0;
    let host = header_text(&head.headers, "host");
    match host {
        Some(host) if !bad => Ok(host.to_string()),
        _ => Err(Failure::BadFraming),
    }
}

fn header_text<'headers>(headers: &'headers HeaderMap, name: &str) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// Whether the end of the answer can be told from its being cut off.
fn well_framed(answer: &Response<Incoming>) -> bool {
    let status = answer.status();
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let chunked = answer
        .headers()
        .get("transfer-encoding")
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let measured = answer.headers().get_all("content-length").iter().count() == 1;
    !status.is_informational() && (bodiless || chunked != measured)
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

/// Why both ways: a caller must not speak in our name to an instance, nor an instance to a caller.
fn strip_own(headers: &mut HeaderMap, own_prefix: Option<&str>) {
    let Some(own_prefix) = own_prefix else {
        return;
    };
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(own_prefix))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

impl Carrier {
    /// The final answer for an order that was refused or lost, given at once.
    fn failure_answer(&self, failure: Failure, told: Told) -> Response<Body> {
        let told = match told {
            Told::NotRun => "not-run",
            Told::Unknown => "unknown",
        };
        // Why another status in doubt: one that promises would be a lie.
        let status = match (told, failure.status()) {
            ("unknown", status) if self.dialect.promises.contains(&status) => 502,
            (_, status) => status,
        };
        self.told_answer(status, told, failure.word(), failure.retry_after())
    }

    fn told_answer(
        &self,
        status: u16,
        told: &'static str,
        why: &str,
        retry_after: Option<Duration>,
    ) -> Response<Body> {
        let mut answer = json_answer(status, &jzon::object! { outcome: told, why: why });
        let headers = answer.headers_mut();
        if let Some(name) = &self.dialect.outcome {
            headers.insert(name.clone(), HeaderValue::from_static(told));
        }
        headers.remove("retry-after");
        let Some(after) = retry_after else {
            return answer;
        };
        let value = match self.dialect.fractions {
            // Why so soon: callers there count in tenths, and what is short now is seldom so long.
            true => HeaderValue::from_str(&format!("{}", after.as_secs_f64() / 5.0)).ok(),
            false => Some(HeaderValue::from(after.as_secs())),
        };
        if let Some(value) = value {
            headers.insert("retry-after", value);
        }
        answer
    }
}
