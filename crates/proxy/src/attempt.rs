//! One attempt at an instance: sending the request, and judging what comes back.

use crate::prelude::*;

/// How the library's sending ended, within the deadline or not.
type SendOutcome = Result<
    Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<Body>>>,
    tokio::time::error::Elapsed,
>;

/// What one attempt brought back.
pub(crate) enum AttemptAnswer {
    Ended(AttemptEnd),
    Refused(Failure),
    Answered(Response<Body>),
}

impl Carrier {
    pub(crate) async fn attempt(
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
