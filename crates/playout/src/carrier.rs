//! Carries orders from callers to instances along the order's state chart.

use crate::prelude::*;

/// Bodies and answers up to this size are held whole, so that a shot can be repeated and a
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
    pub area: Area,
    pub serving: SocketAddr,
    pub capacity: u32,
    held_body: u64,
    pub stopping: AtomicBool,
    /// Set when even new orders are refused, just before the end.
    pub closed: AtomicBool,
    pub under_way: AtomicU32,
    pub circuits: InstanceCircuits,
    pub usage: UsageBook,
    orders: AtomicU64,
    seed: u64,
    knowledge: RwLock<Arc<ProxyKnowledge>>,
    shards: RwLock<HashMap<PoolName, Arc<Mutex<PoolShard>>>>,
    meter: [Mutex<HashMap<(String, RuleName), Metered>>; METER_SHARDS],
}

/// The caller's body, in the form it can be sent in.
enum OrderBody {
    Held(Bytes),
    Streaming(Option<Body>),
}

/// How the library's sending ended, within the deadline or not.
type SendOutcome = Result<
    Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<Body>>>,
    tokio::time::error::Elapsed,
>;

/// What one shot brought back.
enum ShotAnswer {
    Ended(ShotEnd),
    Refused(Mishap),
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
            area: place.area.clone(),
            serving: place.serving,
            capacity: place.capacity,
            held_body: place.terms.held_body,
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            under_way: AtomicU32::new(0),
            circuits: InstanceCircuits::default(),
            usage: UsageBook::default(),
            orders: AtomicU64::new(0),
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

    pub fn shard(&self, pool: &PoolName) -> Arc<Mutex<PoolShard>> {
        let read = self
            .shards
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(shard) = read.get(pool) {
            return shard.clone();
        }
        drop(read);
        let mut write = self
            .shards
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let seed = self.seed ^ steady_hash(pool.as_str());
        write
            .entry(pool.clone())
            .or_insert_with(|| Arc::new(Mutex::new(PoolShard::new(seed))))
            .clone()
    }

    /// Takes what the agent told; circuits to lives that are over are closed.
    pub fn take(&self, asked_at: Duration, view: &ProxyView) {
        let mut next = (*self.knowledge()).clone();
        next.take(asked_at, view);
        self.circuits.keep_only(&next.instances);
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
            && (knowledge.policy.closed_zone_carries || !knowledge.closed.contains(&self.area))
    }

    fn measure(&self, now: Duration, far_end: &FarEnd, rule: &RuleName) {
        let group = group_of(far_end.address.ip());
        let shard = (steady_hash(&group) % METER_SHARDS as u64) as usize;
        let mut meter = locked(&self.meter[shard]);
        let metered = meter.entry((group, rule.clone())).or_default();
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
            meter.retain(|(group, rule), metered| {
                while metered
                    .seconds
                    .front()
                    .is_some_and(|first| first.0 < oldest)
                {
                    metered.seconds.pop_front();
                }
                let orders: u32 = metered.seconds.iter().map(|second| second.1).sum();
                if orders > 0 {
                    demand.push(Demand {
                        group: group.clone(),
                        rule: rule.clone(),
                        orders: orders.div_ceil(METER_SPAN.as_secs() as u32),
                        locality: metered.nearest,
                    });
                }
                orders > 0
            });
        }
        demand
    }

    /// Answers one order.
    pub async fn carry(
        self: Arc<Self>,
        far_end: FarEnd,
        order: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        if order.uri().path() == self.dialect.ready_path {
            return Ok(ready_answer(self.is_ready()));
        }
        let under_way = UnderWay::begin(&self);
        let read = matches!(*order.method(), Method::GET | Method::HEAD);
        let mut chart = OrderChart::received(read);
        let mut counted = None;
        let worked = self
            .work(far_end, order, &mut chart, under_way, &mut counted)
            .await;
        let (answer, end) = match worked {
            // Why by the chart: an answer of ours to a body that was too long is no success.
            Ok(answer) if chart.state() != OrderState::Done => (answer, CountedEnd::Unknown),
            Ok(answer) => (answer, CountedEnd::Served),
            Err(mishap) => {
                chart.refuse(mishap);
                let told = chart.told(mishap);
                let end = match told {
                    Told::NotRun => CountedEnd::NotRun,
                    Told::Unknown => CountedEnd::Unknown,
                };
                (self.mishap_answer(mishap, told), end)
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
        order: Request<Incoming>,
        chart: &mut OrderChart,
        under_way: UnderWay,
        counted: &mut Option<UsageKey>,
    ) -> Result<Response<Body>, Mishap> {
        if self.closed.load(Ordering::SeqCst) {
            return Err(Mishap::Leaving);
        }
        let (head, body) = order.into_parts();
        let host = checked_framing(&head)?;
        let knowledge = self.knowledge();
        let now = self.clock.now();
        let path = head.uri.path();
        let (name, rule) = knowledge.find(now, &host, path)?;
        chart.matched(now, &rule);
        if self.dialect.callers_tell_deadline {
            let told = header_text(&head.headers, self.dialect.deadline.as_str());
            if let Some(millis) = told.and_then(|told| told.parse().ok()) {
                chart.caller_waits(now + Duration::from_millis(millis));
            }
        }
        let pool = rule.pool_for(fresh_seed()).clone();
        let usage_key = UsageKey::of(&name, &pool);
        *counted = Some(usage_key.clone());
        self.measure(now, &far_end, &name);
        knowledge.admits(now, &self.area, &rule)?;
        // Why only for keyed pools: of a split rule's requests some may go where keys mean nothing.
        let keyed = knowledge.pool(&pool).is_some_and(|pool| pool.keyed);
        let key = match rule.key_header.as_ref().filter(|_| keyed) {
            None => None,
            Some(header) => {
                let mut values = head.headers.get_all(header.as_str()).iter();
                let key = values.next().and_then(|value| value.to_str().ok());
                match (key, values.next()) {
                    (Some(key), None) if !key.is_empty() => Some(key.to_string()),
                    _ => return Err(Mishap::MissingKey),
                }
            }
        };
        let over = Arc::new(AtomicBool::new(false));
        let mut body = self
            .hold_body(body, &rule, &over, chart, &usage_key)
            .await?;
        chart.admitted(matches!(body, OrderBody::Held(_)));
        drop(knowledge);
        let number = self.orders.fetch_add(1, Ordering::Relaxed);
        let named = header_text(&head.headers, self.dialect.request_id.as_str());
        let order_id = match named.filter(|_| self.dialect.callers_name_requests) {
            Some(named) => named.to_string(),
            None => format!("{:x}-{number:x}", mix(self.seed)),
        };
        let shard = self.shard(&pool);
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut under_way = Some(under_way);
        loop {
            let now = self.clock.now();
            if now >= chart.deadline() {
                return Err(Mishap::LateBeforeSending);
            }
            let knowledge = self.knowledge();
            knowledge.admits(now, &self.area, &rule)?;
            let target = {
                let mut shard = locked(&shard);
                let target = shard.choose_in(
                    now,
                    &knowledge,
                    &self.area,
                    &rule,
                    &pool,
                    key.as_deref(),
                    &tried,
                )?;
                shard.begin(now, &target);
                target
            };
            chart.chosen();
            let guard = ShotGuard {
                proxy: self.clone(),
                pool: pool.clone(),
                target: target.clone(),
                good: false,
                load: None,
                over: false,
                usage_key: usage_key.clone(),
            };
            let order = Outgoing {
                head: &head,
                far_end: &far_end,
                rule: &rule,
                order_id: &order_id,
                dialect: &self.dialect,
            };
            let shot = self
                .shoot(order, guard, &mut body, chart, &mut under_way)
                .await;
            let end = match shot {
                ShotAnswer::Answered(answer) => {
                    chart.shot_ended(self.clock.now(), ShotEnd::Answered, || false);
                    chart.done();
                    return Ok(answer);
                }
                ShotAnswer::Refused(mishap) => return Err(mishap),
                ShotAnswer::Ended(end) => end,
            };
            if over.load(Ordering::SeqCst) {
                // Why unknown: bytes have left, though the instance cannot have had all of them.
                chart.refuse(Mishap::LostAfterSending);
                return Ok(self.told_answer(413, "unknown", Mishap::BodyTooLarge.word(), None));
            }
            if target.is_used_up(end) {
                tried.push(target.instance);
            }
            let now = self.clock.now();
            match chart.shot_ended(now, end, || locked(&shard).take_retry(now)) {
                NextStep::ShootAgain => {}
                NextStep::Answer(mishap) => return Err(mishap),
                NextStep::PassOn => return Err(Mishap::Garbage),
            }
        }
    }

    /// Holds a small body whole; a large or open-ended one streams under the rule's limit.
    async fn hold_body(
        self: &Arc<Self>,
        body: Incoming,
        rule: &Rule,
        over: &Arc<AtomicBool>,
        chart: &OrderChart,
        usage_key: &UsageKey,
    ) -> Result<OrderBody, Mishap> {
        match body.size_hint().exact() {
            Some(length) if length > rule.body_limit => Err(Mishap::BodyTooLarge),
            Some(length) if length <= self.held_body => {
                let left = chart.deadline().saturating_sub(self.clock.now());
                match tokio::time::timeout(left, body.collect()).await {
                    Ok(Ok(collected)) => {
                        let bytes = collected.to_bytes();
                        self.usage.took_in(usage_key, bytes.len() as u64);
                        Ok(OrderBody::Held(bytes))
                    }
                    Ok(Err(_)) => Err(Mishap::BadFraming),
                    Err(_) => Err(Mishap::LateBeforeSending),
                }
            }
            _ => {
                let counted = Counted {
                    inner: body,
                    left: rule.body_limit,
                    over: over.clone(),
                    proxy: self.clone(),
                    usage_key: usage_key.clone(),
                };
                Ok(OrderBody::Streaming(Some(counted.boxed())))
            }
        }
    }

    async fn shoot(
        self: &Arc<Self>,
        outgoing: Outgoing<'_>,
        mut guard: ShotGuard,
        body: &mut OrderBody,
        chart: &mut OrderChart,
        under_way: &mut Option<UnderWay>,
    ) -> ShotAnswer {
        let target = guard.target.clone();
        let key = (target.instance.clone(), target.incarnation, target.address);
        let patience = chart.deadline().saturating_sub(self.clock.now());
        let Some(mut circuit) = self.circuits.open(&key, patience, chart.is_read()).await else {
            let now = self.clock.now();
            let knowledge = self.knowledge();
            if let Some(beat) = knowledge.instances.get(&target.instance) {
                let shard = self.shard(&target.pool);
                locked(&shard).not_opened(now, &target, beat.counter);
            }
            return ShotAnswer::Ended(ShotEnd::NotOpened);
        };
        let sending = match body {
            OrderBody::Held(bytes) => whole(bytes.clone()),
            OrderBody::Streaming(stream) => match stream.take() {
                Some(stream) => stream,
                None => return ShotAnswer::Ended(ShotEnd::Lost),
            },
        };
        // The last moment before the first byte: everything that may have changed is asked again.
        let now = self.clock.now();
        let good = self
            .knowledge()
            .still_good(now, &self.area, outgoing.rule, &target);
        if let Err(mishap) = good {
            self.circuits.give_back(key, circuit);
            guard.good = true;
            return ShotAnswer::Refused(mishap);
        }
        circuit
            .gate
            .arm(self.last_check(outgoing.rule, &target, chart.deadline()));
        let left = chart.deadline().saturating_sub(now);
        let request = match outgoing.request(&target, left, sending) {
            Ok(request) => request,
            Err(mishap) => return ShotAnswer::Refused(mishap),
        };
        chart.shooting();
        chart.sent();
        if chart.shots() == 1 {
            // Why only now: orders that were refused without a shot must not make room for retries.
            locked(&self.shard(&target.pool)).first_shot(now);
        }
        let sent = tokio::time::timeout(left, circuit.sender.try_send_request(request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            failed => {
                // Why shut first: only then is it settled for good whether a byte has left.
                let passage = circuit.gate.shut();
                return self.lost_shot(failed, passage, circuit.reused, body, &mut guard);
            }
        };
        let dialect = &self.dialect;
        // Why before anything else: an answer to another request says nothing of this one.
        let echoed = header_text(answer.headers(), dialect.request_id.as_str());
        let refused = (dialect.told_not_run)(answer.status(), answer.headers());
        let another = match echoed {
            Some(echoed) => echoed != outgoing.order_id,
            None => dialect.callers_name_requests,
        };
        if another {
            return ShotAnswer::Ended(ShotEnd::Garbage);
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
            return ShotAnswer::Ended(ShotEnd::RefusedByInstance);
        }
        let unsealed = answer.status().is_success()
            && dialect
                .seal
                .as_ref()
                .is_some_and(|seal| !answer.headers().contains_key(seal));
        // Why no promise of ours: the instance did not say that it ran nothing.
        let false_promise = dialect.promises.contains(&answer.status().as_u16());
        if unsealed || false_promise || !well_framed(&answer) {
            return ShotAnswer::Ended(ShotEnd::Garbage);
        }
        self.pass_on(answer, circuit, key, guard, chart, under_way)
            .await
    }

    /// The check that is made once more where the first byte of an order is written.
    fn last_check(
        self: &Arc<Self>,
        rule: &Arc<Rule>,
        target: &Target,
        deadline: Duration,
    ) -> LastCheck {
        let (proxy, rule, target) = (self.clone(), rule.clone(), target.clone());
        Box::new(move || {
            let now = proxy.clock.now();
            if now >= deadline {
                return Err(Mishap::LateBeforeSending);
            }
            proxy
                .knowledge()
                .still_good(now, &proxy.area, &rule, &target)
        })
    }

    /// What a shot that brought no answer was: nothing sent, or lost.
    fn lost_shot(
        &self,
        failed: SendOutcome,
        passage: Passage,
        reused: bool,
        body: &mut OrderBody,
        guard: &mut ShotGuard,
    ) -> ShotAnswer {
        let mut failed = failed;
        if let (Ok(Err(mishap)), OrderBody::Streaming(stream)) = (&mut failed, body) {
            *stream = mishap.take_message().map(Request::into_body);
        }
        match (passage, failed) {
            (Passage::Nothing(Some(mishap)), _) => {
                guard.good = true;
                ShotAnswer::Refused(mishap)
            }
            (Passage::Nothing(None), Err(_)) => ShotAnswer::Refused(Mishap::LateBeforeSending),
            (Passage::Nothing(None), Ok(_)) => {
                guard.good = true;
                ShotAnswer::Ended(ShotEnd::NotOpened)
            }
            (Passage::Begun, Err(_)) => ShotAnswer::Ended(ShotEnd::Late),
            (Passage::Begun, Ok(Err(mishap))) if mishap.error().is_parse() => {
                ShotAnswer::Ended(ShotEnd::Garbage)
            }
            (Passage::Begun, Ok(_)) => {
                if reused {
                    // Why noted: most likely the instance closed the circuit as it was taken up.
                    event(REUSED_LOST, &guard.target.instance);
                }
                ShotAnswer::Ended(ShotEnd::Lost)
            }
        }
    }

    async fn pass_on(
        self: &Arc<Self>,
        answer: Response<Incoming>,
        circuit: Circuit,
        key: InstanceKey,
        mut guard: ShotGuard,
        chart: &OrderChart,
        under_way: &mut Option<UnderWay>,
    ) -> ShotAnswer {
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
                    self.circuits.give_back(key, circuit);
                    let body = whole(collected.to_bytes());
                    ShotAnswer::Answered(Response::from_parts(head, body))
                }
                Ok(Err(_)) => ShotAnswer::Ended(ShotEnd::Garbage),
                Err(_) => ShotAnswer::Ended(ShotEnd::Late),
            };
        }
        let Some(under_way) = under_way.take() else {
            return ShotAnswer::Ended(ShotEnd::Lost);
        };
        let passing = Passing {
            inner: body,
            circuit: Some(circuit),
            key,
            guard,
            deadline: Box::pin(tokio::time::sleep(left)),
            under_way,
        };
        ShotAnswer::Answered(Response::from_parts(head, passing.boxed()))
    }
}

/// What goes to an instance with every shot.
struct Outgoing<'order> {
    head: &'order hyper::http::request::Parts,
    far_end: &'order FarEnd,
    rule: &'order Arc<Rule>,
    order_id: &'order str,
    dialect: &'order Dialect,
}

impl Outgoing<'_> {
    fn request(
        &self,
        target: &Target,
        left: Duration,
        body: Body,
    ) -> Result<Request<Body>, Mishap> {
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", hyper::http::uri::PathAndQuery::as_str);
        let mut request = Request::builder()
            .method(self.head.method.clone())
            .uri(path)
            .body(body)
            .map_err(|_| Mishap::BadFraming)?;
        let mut headers = self.head.headers.clone();
        strip_hop_by_hop(&mut headers);
        strip_own(&mut headers, self.dialect.own_prefix);
        headers.remove("expect");
        // Why removed: the framing towards the instance follows from the body, never from the
        // caller's word.
        headers.remove("content-length");
        let dialect = self.dialect;
        let mut set = |name: &HeaderName, text: String| -> Result<(), Mishap> {
            let value = HeaderValue::from_str(&text).map_err(|_| Mishap::BadFraming)?;
            headers.insert(name.clone(), value);
            Ok(())
        };
        set(&dialect.instance, target.instance.to_string())?;
        if let Some(name) = &dialect.incarnation {
            set(name, target.incarnation.to_string())?;
        }
        set(&dialect.request_id, self.order_id.to_string())?;
        set(&dialect.deadline, left.as_millis().to_string())?;
        if let Some(name) = &dialect.forwarded_for {
            set(name, self.far_end.address.ip().to_string())?;
        }
        if let Some((slice, epoch)) = target.slice {
            if let Some(name) = &dialect.slice {
                set(name, slice.to_string())?;
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
fn checked_framing(head: &hyper::http::request::Parts) -> Result<String, Mishap> {
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
        _ => Err(Mishap::BadFraming),
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
    fn mishap_answer(&self, mishap: Mishap, told: Told) -> Response<Body> {
        let told = match told {
            Told::NotRun => "not-run",
            Told::Unknown => "unknown",
        };
        // Why another status in doubt: one that promises would be a lie.
        let status = match (told, mishap.status()) {
            ("unknown", status) if self.dialect.promises.contains(&status) => 502,
            (_, status) => status,
        };
        self.told_answer(status, told, mishap.word(), mishap.retry_after())
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
