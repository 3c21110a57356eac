//! One attempt at an instance: sends the request and evaluates the response.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response};

use crate::forwarding::{AttemptGuard, AttemptResult, InFlightGuard, ResponseStream};
use crate::framing::{
    header_text, is_unambiguously_framed, keep_alive_timeout, match_request_id, strip_hop_by_hop,
    strip_internal, RequestIdMatch,
};
use crate::instance_connections::{Connection, InstanceKey};
use crate::request_body::RequestBody;
use crate::request_handler::{InjectedBug, RequestHandler, MAX_BUFFERED_RESPONSE};
use crate::send_guard::{PreSendCheck, SendState};
use crate::upstream_request::UpstreamRequest;
use caperworks::dispatch::{AttemptEnd, Failure, RequestLifecycle, Target, SLOW_CONNECT};
use caperworks::map_items::Route;
use runtime::events::{event, REUSED_CONNECTION_LOST};
use runtime::http::{full_body, Body};
use runtime::locks::locked;

/// The result of sending a request with the HTTP library, or a timeout.
type SendOutcome = Result<
    Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<Body>>>,
    tokio::time::error::Elapsed,
>;

/// The result of one attempt.
pub(crate) enum AttemptResponse {
    Ended(AttemptEnd),
    Rejected(Failure),
    Responded(Response<Body>),
}

/// The resources of one attempt in flight.
struct InFlightAttempt {
    connection: Connection,
    key: InstanceKey,
    guard: AttemptGuard,
}

impl InFlightAttempt {
    /// Ends the attempt because of a response that must not be forwarded; counts as a failure of
    /// the instance.
    fn malformed(mut self) -> AttemptResponse {
        self.guard.result = AttemptResult::Failed;
        AttemptResponse::Ended(AttemptEnd::MalformedResponse)
    }
}

impl RequestHandler {
    /// Sends the request to the target of `guard` once.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        upstream_request: UpstreamRequest<'_>,
        mut guard: AttemptGuard,
        body: &mut RequestBody,
        lifecycle: &mut RequestLifecycle,
        in_flight: &mut Option<InFlightGuard>,
    ) -> AttemptResponse {
        let target = guard.target.clone();
        let key = (target.instance.clone(), target.incarnation, target.address);
        let started_at = self.clock.now();
        let timeout = lifecycle.deadline().saturating_sub(started_at);
        let connection = self
            .connections
            .acquire(&key, timeout, lifecycle.is_idempotent())
            .await;
        self.record_connect(started_at, connection.as_ref());
        let Some(mut connection) = connection else {
            return self.connect_failed(guard);
        };
        let payload = match body {
            RequestBody::Buffered(bytes) => full_body(bytes.clone()),
            RequestBody::Streaming(stream) => match stream.take() {
                Some(stream) => stream,
                None => return AttemptResponse::Ended(AttemptEnd::ConnectionLost),
            },
        };
        // Check again, right before the first byte is sent, everything that may have changed since
        // the instance was chosen.
        let now = self.clock.now();
        let checked =
            self.proxy_state()
                .check_before_send(now, &self.zone, upstream_request.route, &target);
        if let Err(failure) = checked {
            self.connections.release(key, connection);
            guard.result = AttemptResult::Succeeded;
            return AttemptResponse::Rejected(failure);
        }
        connection.send_guard.arm(self.pre_send_check(
            upstream_request.route,
            &target,
            lifecycle.deadline(),
        ));
        let remaining = lifecycle.deadline().saturating_sub(now);
        let request = match upstream_request.request(&target, remaining, payload) {
            Ok(request) => request,
            Err(failure) => return AttemptResponse::Rejected(failure),
        };
        lifecycle.begin_attempt();
        lifecycle.sent();
        if lifecycle.attempts() == 1 {
            // Counted only here: requests that were rejected without an attempt must not add to the
            // retry budget.
            locked(&self.shard(&target.service)).record_first_attempt(now);
        }
        let sent =
            tokio::time::timeout(remaining, connection.sender.try_send_request(request)).await;
        let attempt = InFlightAttempt {
            connection,
            key,
            guard,
        };
        match sent {
            Ok(Ok(response)) => {
                self.handle_response(response, upstream_request, attempt, lifecycle, in_flight)
                    .await
            }
            failed => self.handle_send_failure(failed, attempt, body),
        }
    }

    /// Records how long it took to open a connection, as evidence about the link of this machine.
    fn record_connect(&self, started_at: Duration, connection: Option<&Connection>) {
        let now = self.clock.now();
        let took = now.saturating_sub(started_at);
        // A connection that failed at once is not evidence: the instance is down, or the deadline
        // left no time to connect.
        let is_relevant = match connection {
            Some(connection) => !connection.reused,
            None => took >= SLOW_CONNECT,
        };
        if is_relevant && locked(&self.recent_connects).record(now, took) {
            self.proxy_state().link_monitor.record_congestion(now);
        }
    }

    /// Ends the attempt because no connection could be opened: nothing can have been sent.
    fn connect_failed(&self, mut guard: AttemptGuard) -> AttemptResponse {
        let now = self.clock.now();
        let target = &guard.target;
        if let Some(heartbeat) = self.proxy_state().instances.get(&target.instance) {
            let shard = self.shard(&target.service);
            locked(&shard).record_connect_failure(now, target, heartbeat.counter);
        }
        guard.result = AttemptResult::Failed;
        AttemptResponse::Ended(AttemptEnd::NotOpened)
    }

    /// Decides from the head of a response whether to forward it, retry or fail.
    async fn handle_response(
        self: &Arc<Self>,
        response: Response<Incoming>,
        upstream_request: UpstreamRequest<'_>,
        mut attempt: InFlightAttempt,
        lifecycle: &RequestLifecycle,
        in_flight: &mut Option<InFlightGuard>,
    ) -> AttemptResponse {
        let protocol_adapter = &self.protocol_adapter;
        // Checked first: the response to another request shows nothing about this one.
        let id_match = match_request_id(
            response.headers(),
            &protocol_adapter.request_id,
            upstream_request.request_id,
        );
        let is_for_this_request = match id_match {
            RequestIdMatch::Same => true,
            RequestIdMatch::Different => false,
            // Not on a reused connection: a response without an id may be a surplus response to the
            // previous request.
            RequestIdMatch::Missing => {
                !protocol_adapter.clients_send_request_id && !attempt.connection.reused
            }
        };
        if !is_for_this_request && self.injected_bug != InjectedBug::AcceptsAnyResponse {
            return attempt.malformed();
        }
        attempt.connection.is_reusable = id_match == RequestIdMatch::Same;
        attempt
            .connection
            .set_keep_alive_timeout(keep_alive_timeout(response.headers()));
        attempt.guard.load = (protocol_adapter.load)(response.headers());
        if (protocol_adapter.reports_not_run)(response.status(), response.headers()) {
            attempt.guard.result = AttemptResult::Succeeded;
            attempt.guard.incarnation_ended =
                self.is_another_incarnation(response.headers(), &attempt.guard.target);
            return AttemptResponse::Ended(AttemptEnd::RejectedByInstance);
        }
        if !self.is_forwardable(&response, upstream_request.head) {
            return attempt.malformed();
        }
        self.forward_response(response, attempt, lifecycle, in_flight)
            .await
    }

    /// Returns whether the instance that rejected the request is another instance or incarnation
    /// than the target.
    pub(crate) fn is_another_incarnation(&self, headers: &HeaderMap, target: &Target) -> bool {
        let incarnation = self.protocol_adapter.incarnation.as_ref();
        let incarnation = incarnation.and_then(|name| header_text(headers, name.as_str()));
        let reported = self.protocol_adapter.instance_header.as_ref();
        let reported = reported.and_then(|name| header_text(headers, name.as_str()));
        incarnation.is_some_and(|incarnation| incarnation != target.incarnation.to_string())
            || reported.is_some_and(|reported| reported != target.instance.as_str())
    }

    /// Returns whether the response may be forwarded to the client.
    fn is_forwardable(
        &self,
        response: &Response<Incoming>,
        request: &hyper::http::request::Parts,
    ) -> bool {
        let required_header = self.protocol_adapter.required_success_header.as_ref();
        let lacks_required_header = response.status().is_success()
            && required_header.is_some_and(|name| !response.headers().contains_key(name));
        // These statuses tell clients that the request did not run, which the instance has not
        // stated.
        let claims_not_run = self
            .protocol_adapter
            .not_run_statuses
            .contains(&response.status().as_u16());
        !lacks_required_header
            && !claims_not_run
            && is_unambiguously_framed(response, &request.method)
    }

    /// Returns the check that is made right before the first byte of a request is written.
    fn pre_send_check(
        self: &Arc<Self>,
        route: &Arc<Route>,
        target: &Target,
        deadline: Duration,
    ) -> PreSendCheck {
        let (proxy, route, target) = (self.clone(), route.clone(), target.clone());
        Box::new(move || {
            let now = proxy.clock.now();
            if proxy.injected_bug == InjectedBug::SkipsPreSendCheck {
                return Ok(());
            }
            if now >= deadline {
                return Err(Failure::DeadlineBeforeSending);
            }
            proxy
                .proxy_state()
                .check_before_send(now, &proxy.zone, &route, &target)
        })
    }

    /// Ends an attempt without a response: either nothing was sent, or the outcome is unknown.
    fn handle_send_failure(
        &self,
        mut failed: SendOutcome,
        attempt: InFlightAttempt,
        body: &mut RequestBody,
    ) -> AttemptResponse {
        // The guard is shut down first: only then is it certain that no further byte leaves.
        let send_state = attempt.connection.send_guard.shut_down();
        let mut guard = attempt.guard;
        if let (Ok(Err(failure)), RequestBody::Streaming(stream)) = (&mut failed, body) {
            *stream = failure.take_message().map(Request::into_body);
        }
        match (send_state, failed) {
            (SendState::NotSent(Some(failure)), _) => {
                guard.result = AttemptResult::Succeeded;
                AttemptResponse::Rejected(failure)
            }
            (SendState::NotSent(None), Err(_)) => {
                AttemptResponse::Rejected(Failure::DeadlineBeforeSending)
            }
            (SendState::NotSent(None), Ok(_)) => {
                guard.result = AttemptResult::Succeeded;
                AttemptResponse::Ended(AttemptEnd::NotOpened)
            }
            (SendState::Started, Err(_)) => {
                guard.result = AttemptResult::Failed;
                AttemptResponse::Ended(AttemptEnd::DeadlineExceeded)
            }
            // Says nothing about the instance: the client aborted its body.
            (SendState::Started, Ok(Err(failure))) if failure.error().is_user() => {
                AttemptResponse::Ended(AttemptEnd::ConnectionLost)
            }
            (SendState::Started, Ok(Err(failure))) if failure.error().is_parse() => {
                guard.result = AttemptResult::Failed;
                AttemptResponse::Ended(AttemptEnd::MalformedResponse)
            }
            (SendState::Started, Ok(_)) => {
                guard.result = AttemptResult::Failed;
                if attempt.connection.reused {
                    // Most likely the instance closed the idle connection just as it was reused.
                    event(REUSED_CONNECTION_LOST, &guard.target.instance);
                }
                AttemptResponse::Ended(AttemptEnd::ConnectionLost)
            }
        }
    }

    /// Forwards a response to the client, buffered if it is small and streamed otherwise.
    async fn forward_response(
        self: &Arc<Self>,
        response: Response<Incoming>,
        mut attempt: InFlightAttempt,
        lifecycle: &RequestLifecycle,
        in_flight: &mut Option<InFlightGuard>,
    ) -> AttemptResponse {
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        strip_internal(
            &mut head.headers,
            self.protocol_adapter.internal_header_prefix,
        );
        let remaining = lifecycle.deadline().saturating_sub(self.clock.now());
        let is_small = body
            .size_hint()
            .exact()
            .is_some_and(|length| length <= MAX_BUFFERED_RESPONSE);
        if is_small {
            return match tokio::time::timeout(remaining, body.collect()).await {
                Ok(Ok(collected)) => {
                    attempt.guard.result = AttemptResult::Succeeded;
                    self.connections.release(attempt.key, attempt.connection);
                    let body = full_body(collected.to_bytes());
                    AttemptResponse::Responded(Response::from_parts(head, body))
                }
                Ok(Err(_)) => attempt.malformed(),
                Err(_) => {
                    attempt.guard.result = AttemptResult::Failed;
                    AttemptResponse::Ended(AttemptEnd::DeadlineExceeded)
                }
            };
        }
        let Some(in_flight) = in_flight.take() else {
            return AttemptResponse::Ended(AttemptEnd::ConnectionLost);
        };
        let stream = ResponseStream {
            inner: body,
            connection: Some(attempt.connection),
            key: attempt.key,
            guard: attempt.guard,
            deadline: Box::pin(tokio::time::sleep(remaining)),
            in_flight,
        };
        AttemptResponse::Responded(Response::from_parts(head, stream.boxed()))
    }
}
