//! The state machine of one request: when a retry is allowed, and which outcome may be reported to
//! the client.

use std::time::Duration;

use crate::dispatch::{Failure, ReportedOutcome};
use crate::map_items::Route;

/// The default maximum number of attempts per request.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The states of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// The request was received, and no route has been looked up yet.
    Received,
    /// A route matches the host and path.
    Matched,
    /// The proxy may handle the request, and no instance is chosen for the next attempt.
    Admitted,
    /// An instance is chosen, and nothing has been sent to it.
    Chosen,
    /// Bytes of the request may have been sent.
    Sending,
    Sent,
    Responding,
    Done,
    /// The request was rejected, and nothing ran.
    Rejected,
    /// The request failed, and may have run.
    Unknown,
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection could be opened, so nothing was sent.
    NotOpened,
    /// The instance stated that it ran nothing.
    RejectedByInstance,
    /// The connection broke after bytes were sent.
    ConnectionLost,
    /// The deadline passed after bytes were sent.
    DeadlineExceeded,
    /// The response was malformed or belonged to another request.
    MalformedResponse,
    /// The instance responded.
    Responded,
}

/// The next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Choose an instance again and make another attempt.
    Retry,
    ForwardResponse,
    Respond(Failure),
}

/// The state machine of one request.
#[derive(Debug, Clone)]
pub struct RequestLifecycle {
    state: RequestState,
    /// Whether the request is idempotent: such a request may be retried after any failure, others
    /// only when it is certain that nothing ran.
    idempotent: bool,
    /// Whether the body can be sent again.
    replayable: bool,
    attempts: u32,
    max_attempts: u32,
    deadline: Duration,
    /// Whether an earlier attempt may have run without its response being known.
    is_outcome_unknown: bool,
}

impl RequestLifecycle {
    /// Creates the state of a new request.
    pub fn received(idempotent: bool) -> Self {
        Self {
            state: RequestState::Received,
            idempotent,
            replayable: true,
            attempts: 0,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            deadline: Duration::ZERO,
            is_outcome_unknown: false,
        }
    }

    /// Returns the outcome to report: never "not run" once the outcome of an attempt is unknown.
    pub fn reported_outcome(&self, failure: Failure) -> ReportedOutcome {
        if self.is_outcome_unknown {
            ReportedOutcome::Unknown
        } else {
            failure.reported_outcome()
        }
    }

    /// Returns whether the request is idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    pub fn state(&self) -> RequestState {
        self.state
    }

    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Records the route that matched; the deadline counts from here.
    pub fn matched(&mut self, now: Duration, route: &Route) {
        self.state = RequestState::Matched;
        self.deadline = now + route.deadline;
        self.idempotent = route.is_idempotent(self.idempotent);
        if route.max_attempts > 0 {
            self.max_attempts = route.max_attempts;
        }
    }

    /// Shortens the deadline to the time until which the client waits.
    pub fn limit_deadline(&mut self, client_deadline: Duration) {
        self.deadline = self.deadline.min(client_deadline);
    }

    /// Records that the proxy admitted the request; `replayable` says whether the body can be sent
    /// again.
    pub fn admitted(&mut self, replayable: bool) {
        self.state = RequestState::Admitted;
        self.replayable = replayable;
    }

    /// Sets whether the complete body can still be sent after an attempt.
    pub fn set_replayable(&mut self, is_complete: bool) {
        self.replayable = is_complete;
    }

    pub fn chosen(&mut self) {
        self.state = RequestState::Chosen;
    }

    /// Starts an attempt, after the check before the first byte has passed; from here on bytes may
    /// be sent.
    pub fn begin_attempt(&mut self) {
        self.state = RequestState::Sending;
        self.attempts += 1;
    }

    pub fn sent(&mut self) {
        self.state = RequestState::Sent;
    }

    pub fn done(&mut self) {
        self.state = RequestState::Done;
    }

    /// Ends the request with a failure.
    pub fn fail(&mut self, failure: Failure) -> NextStep {
        self.state = match self.reported_outcome(failure) {
            ReportedOutcome::NotRun => RequestState::Rejected,
            ReportedOutcome::Unknown => RequestState::Unknown,
        };
        NextStep::Respond(failure)
    }

    /// Returns the next step after an attempt. `take_retry` takes a retry from the budget and is
    /// called only if a retry is allowed otherwise.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        end: AttemptEnd,
        take_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        let has_not_run = match end {
            AttemptEnd::Responded => {
                self.state = RequestState::Responding;
                return NextStep::ForwardResponse;
            }
            AttemptEnd::NotOpened | AttemptEnd::RejectedByInstance => true,
            AttemptEnd::ConnectionLost
            | AttemptEnd::DeadlineExceeded
            | AttemptEnd::MalformedResponse => false,
        };
        self.is_outcome_unknown |= !has_not_run;
        let may_retry = (has_not_run || self.idempotent)
            && self.replayable
            && self.attempts < self.max_attempts
            && end != AttemptEnd::DeadlineExceeded
            && now < self.deadline;
        if may_retry && take_retry() {
            self.state = RequestState::Admitted;
            return NextStep::Retry;
        }
        let failure = match end {
            AttemptEnd::NotOpened => Failure::NotOpened,
            AttemptEnd::RejectedByInstance => Failure::InstanceRejected,
            AttemptEnd::DeadlineExceeded => Failure::DeadlineAfterSending,
            AttemptEnd::MalformedResponse => Failure::MalformedResponse,
            AttemptEnd::ConnectionLost | AttemptEnd::Responded => Failure::LostAfterSending,
        };
        self.fail(failure)
    }
}
