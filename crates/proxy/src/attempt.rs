//! One attempt at an instance: sending the request, and judging what comes back.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response};

use crate::carrier::{BrokenCarrier, Carrier, SMALL};
use crate::framing::{
    header_text, keep_alive, named_request, strip_hop_by_hop, strip_own, well_framed, NamedRequest,
};
use crate::gate::{LastCheck, Passage};
use crate::instance_connections::{Connection, InstanceKey};
use crate::outgoing::Outgoing;
use crate::passing::{AttemptGuard, AttemptResult, Passing, UnderWay};
use crate::request_body::RequestBody;
use caperworks::dispatch::{AttemptEnd, Failure, RequestLifecycle, Target, SLOW_CONNECT};
use caperworks::map_items::Route;
use runtime::events::{event, REUSED_CONNECTION_LOST};
use runtime::http::{full_body, Body};
use runtime::locks::locked;

/// How the library's sending ended, within the deadline or not.
type SendOutcome = Result<
    Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<Body>>>,
    tokio::time::error::Elapsed,
>;

/// What one attempt brought back.
pub(crate) enum AttemptResponse {
    Ended(AttemptEnd),
    Refused(Failure),
    Answered(Response<Body>),
}

/// Everything that one attempt holds on to until it is over.
struct UnderWayAttempt {
    connection: Connection,
    key: InstanceKey,
    guard: AttemptGuard,
}

impl UnderWayAttempt {
    /// The answer is none that may be passed on, and the instance is to blame.
    fn garbage(mut self) -> AttemptResponse {
        self.guard.result = AttemptResult::Failed;
        AttemptResponse::Ended(AttemptEnd::Garbage)
    }
}

impl Carrier {
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        outgoing: Outgoing<'_>,
        mut guard: AttemptGuard,
        body: &mut RequestBody,
        chart: &mut RequestLifecycle,
        under_way: &mut Option<UnderWay>,
    ) -> AttemptResponse {
        let target = guard.target.clone();
        let key = (target.instance.clone(), target.incarnation, target.address);
        let asked_at = self.clock.now();
        let timeout = chart.deadline().saturating_sub(asked_at);
        let opened = self.connections.open(&key, timeout, chart.is_read()).await;
        self.record_opening(asked_at, opened.as_ref());
        let Some(mut connection) = opened else {
            return self.not_opened(guard);
        };
        let sending = match body {
            RequestBody::Held(bytes) => full_body(bytes.clone()),
            RequestBody::Streaming(stream) => match stream.take() {
                Some(stream) => stream,
                None => return AttemptResponse::Ended(AttemptEnd::Lost),
            },
        };
        // The last moment before the first byte: everything that may have changed is asked again.
        let now = self.clock.now();
        let good = self
            .knowledge()
            .check_before_send(now, &self.zone, outgoing.route, &target);
        if let Err(failure) = good {
            self.connections.give_back(key, connection);
            guard.result = AttemptResult::Good;
            return AttemptResponse::Refused(failure);
        }
        connection
            .gate
            .arm(self.last_check(outgoing.route, &target, chart.deadline()));
        let left = chart.deadline().saturating_sub(now);
        let request = match outgoing.request(&target, left, sending) {
            Ok(request) => request,
            Err(failure) => return AttemptResponse::Refused(failure),
        };
        chart.begin_attempt();
        chart.sent();
        if chart.attempts() == 1 {
            // Why only now: requests that were refused without an attempt must not make room for retries.
            locked(&self.shard(&target.service)).first_attempt(now);
        }
        let sent = tokio::time::timeout(left, connection.sender.try_send_request(request)).await;
        let attempt = UnderWayAttempt {
            connection,
            key,
            guard,
        };
        match sent {
            Ok(Ok(response)) => {
                self.judge(response, outgoing, attempt, chart, under_way)
                    .await
            }
            failed => self.lost_attempt(failed, attempt, body),
        }
    }

    /// Notes what the opening of a connection tells of this machine's link.
    fn record_opening(&self, asked_at: Duration, opened: Option<&Connection>) {
        let now = self.clock.now();
        let took = now.saturating_sub(asked_at);
        // Why not one that failed at once: the instance is gone, or there was no time left for it.
        let tells = match opened {
            Some(connection) => !connection.reused,
            None => took >= SLOW_CONNECT,
        };
        if tells && locked(&self.openings).record(now, took) {
            self.knowledge().link_watch.record_full(now);
        }
    }

    /// No connection came about: nothing can have left.
    fn not_opened(&self, mut guard: AttemptGuard) -> AttemptResponse {
        let now = self.clock.now();
        let target = &guard.target;
        if let Some(heartbeat) = self.knowledge().instances.get(&target.instance) {
            let shard = self.shard(&target.service);
            locked(&shard).not_opened(now, target, heartbeat.counter);
        }
        guard.result = AttemptResult::Failed;
        AttemptResponse::Ended(AttemptEnd::NotOpened)
    }

    /// Decides by an answer's head what becomes of it.
    async fn judge(
        self: &Arc<Self>,
        response: Response<Incoming>,
        outgoing: Outgoing<'_>,
        mut attempt: UnderWayAttempt,
        chart: &RequestLifecycle,
        under_way: &mut Option<UnderWay>,
    ) -> AttemptResponse {
        let protocol_adapter = &self.protocol_adapter;
        // Why before anything else: an answer to another request says nothing of this one.
        let named = named_request(
            response.headers(),
            &protocol_adapter.request_id,
            outgoing.request_id,
        );
        let is_own = match named {
            NamedRequest::This => true,
            NamedRequest::Another => false,
            // Why not behind another request: without a name it may be a surplus answer to that one.
            NamedRequest::Nothing => {
                !protocol_adapter.clients_send_request_id && !attempt.connection.reused
            }
        };
        if !is_own && self.broken != BrokenCarrier::TakesAnyResponse {
            return attempt.garbage();
        }
        attempt.connection.may_carry_more = named == NamedRequest::This;
        attempt.connection.keep_to(keep_alive(response.headers()));
        attempt.guard.load = (protocol_adapter.load)(response.headers());
        if (protocol_adapter.reports_not_run)(response.status(), response.headers()) {
            attempt.guard.result = AttemptResult::Good;
            attempt.guard.over =
                self.is_another_incarnation(response.headers(), &attempt.guard.target);
            return AttemptResponse::Ended(AttemptEnd::RefusedByInstance);
        }
        if !self.may_pass(&response, outgoing.head) {
            return attempt.garbage();
        }
        self.pass_on(response, attempt, chart, under_way).await
    }

    /// Whether an instance that refused is another one than was meant, or lives another life.
    fn is_another_incarnation(&self, headers: &HeaderMap, target: &Target) -> bool {
        let incarnation = self.protocol_adapter.incarnation.as_ref();
        let incarnation = incarnation.and_then(|name| header_text(headers, name.as_str()));
        let reported = self.protocol_adapter.instance_header.as_ref();
        let reported = reported.and_then(|name| header_text(headers, name.as_str()));
        incarnation.is_some_and(|incarnation| incarnation != target.incarnation.to_string())
            || reported.is_some_and(|reported| reported != target.instance.as_str())
    }

    /// Whether an answer to this request may reach the client at all.
    fn may_pass(&self, response: &Response<Incoming>, asked: &hyper::http::request::Parts) -> bool {
        let seal = self.protocol_adapter.seal.as_ref();
        let unsealed = response.status().is_success()
            && seal.is_some_and(|seal| !response.headers().contains_key(seal));
        // Why no promise of ours: the instance did not say that it ran nothing.
        let false_promise = self
            .protocol_adapter
            .promises
            .contains(&response.status().as_u16());
        !unsealed && !false_promise && well_framed(response, &asked.method)
    }

    /// The check that is made once more where the first byte of a request is written.
    fn last_check(
        self: &Arc<Self>,
        route: &Arc<Route>,
        target: &Target,
        deadline: Duration,
    ) -> LastCheck {
        let (proxy, route, target) = (self.clone(), route.clone(), target.clone());
        Box::new(move || {
            let now = proxy.clock.now();
            if proxy.broken == BrokenCarrier::IgnoresLastCheck {
                return Ok(());
            }
            if now >= deadline {
                return Err(Failure::LateBeforeSending);
            }
            proxy
                .knowledge()
                .check_before_send(now, &proxy.zone, &route, &target)
        })
    }

    /// What an attempt that brought no answer was: nothing sent, or lost.
    fn lost_attempt(
        &self,
        mut failed: SendOutcome,
        attempt: UnderWayAttempt,
        body: &mut RequestBody,
    ) -> AttemptResponse {
        // Why shut first: only then is it settled for good whether a byte has left.
        let passage = attempt.connection.gate.shut();
        let mut guard = attempt.guard;
        if let (Ok(Err(failure)), RequestBody::Streaming(stream)) = (&mut failed, body) {
            *stream = failure.take_message().map(Request::into_body);
        }
        match (passage, failed) {
            (Passage::Nothing(Some(failure)), _) => {
                guard.result = AttemptResult::Good;
                AttemptResponse::Refused(failure)
            }
            (Passage::Nothing(None), Err(_)) => {
                AttemptResponse::Refused(Failure::LateBeforeSending)
            }
            (Passage::Nothing(None), Ok(_)) => {
                guard.result = AttemptResult::Good;
                AttemptResponse::Ended(AttemptEnd::NotOpened)
            }
            (Passage::Begun, Err(_)) => {
                guard.result = AttemptResult::Failed;
                AttemptResponse::Ended(AttemptEnd::Late)
            }
            // Why no result: it was the client that broke off its body.
            (Passage::Begun, Ok(Err(failure))) if failure.error().is_user() => {
                AttemptResponse::Ended(AttemptEnd::Lost)
            }
            (Passage::Begun, Ok(Err(failure))) if failure.error().is_parse() => {
                guard.result = AttemptResult::Failed;
                AttemptResponse::Ended(AttemptEnd::Garbage)
            }
            (Passage::Begun, Ok(_)) => {
                guard.result = AttemptResult::Failed;
                if attempt.connection.reused {
                    // Why noted: most likely the instance closed the connection as it was taken up.
                    event(REUSED_CONNECTION_LOST, &guard.target.instance);
                }
                AttemptResponse::Ended(AttemptEnd::Lost)
            }
        }
    }

    async fn pass_on(
        self: &Arc<Self>,
        response: Response<Incoming>,
        mut attempt: UnderWayAttempt,
        chart: &RequestLifecycle,
        under_way: &mut Option<UnderWay>,
    ) -> AttemptResponse {
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        strip_own(
            &mut head.headers,
            self.protocol_adapter.internal_header_prefix,
        );
        let left = chart.deadline().saturating_sub(self.clock.now());
        let small = body
            .size_hint()
            .exact()
            .is_some_and(|length| length <= SMALL);
        if small {
            return match tokio::time::timeout(left, body.collect()).await {
                Ok(Ok(collected)) => {
                    attempt.guard.result = AttemptResult::Good;
                    self.connections.give_back(attempt.key, attempt.connection);
                    let body = full_body(collected.to_bytes());
                    AttemptResponse::Answered(Response::from_parts(head, body))
                }
                Ok(Err(_)) => attempt.garbage(),
                Err(_) => {
                    attempt.guard.result = AttemptResult::Failed;
                    AttemptResponse::Ended(AttemptEnd::Late)
                }
            };
        }
        let Some(under_way) = under_way.take() else {
            return AttemptResponse::Ended(AttemptEnd::Lost);
        };
        let passing = Passing {
            inner: body,
            connection: Some(attempt.connection),
            key: attempt.key,
            guard: attempt.guard,
            deadline: Box::pin(tokio::time::sleep(left)),
            under_way,
        };
        AttemptResponse::Answered(Response::from_parts(head, passing.boxed()))
    }
}
