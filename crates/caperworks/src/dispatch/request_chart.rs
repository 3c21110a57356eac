//! One request's state chart: when another attempt is allowed, and what may be said.

use std::time::Duration;

use crate::dispatch::{Failure, ReportedOutcome};
use crate::map_items::Route;

/// How often one request may be attempted at most.
const MOST_ATTEMPTS: u32 = 3;

/// The named states of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    Received,
    Matched,
    Admitted,
    Chosen,
    Shooting,
    Sent,
    Answering,
    Done,
    Refused,
    Unknown,
}

/// How one attempt at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte can have left.
    NotOpened,
    /// The instance said itself that it ran nothing.
    RefusedByInstance,
    Lost,
    Late,
    Garbage,
    Answered,
}

/// What the chart wants next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Choose an instance again and shoot.
    ShootAgain,
    PassOn,
    Respond(Failure),
}

/// One request's state chart.
#[derive(Debug, Clone)]
pub struct RequestChart {
    state: RequestState,
    /// Why it matters: a read may be attempt again, all else only when provably nothing ran.
    read: bool,
    /// Whether the body can be sent a second time.
    replayable: bool,
    attempts: u32,
    max_attempts: u32,
    deadline: Duration,
    /// An attempt of this request may have run and its answer is not known.
    doubt: bool,
}

impl RequestChart {
    pub fn received(read: bool) -> Self {
        Self {
            state: RequestState::Received,
            read,
            replayable: true,
            attempts: 0,
            max_attempts: MOST_ATTEMPTS,
            deadline: Duration::ZERO,
            doubt: false,
        }
    }

    /// What the client may be told: never "not run" once an attempt is in doubt.
    pub fn reported_outcome(&self, failure: Failure) -> ReportedOutcome {
        if self.doubt {
            ReportedOutcome::Unknown
        } else {
            failure.reported_outcome()
        }
    }

    pub fn is_read(&self) -> bool {
        self.read
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

    /// A route was found; the deadline counts from here.
    pub fn matched(&mut self, now: Duration, route: &Route) {
        self.state = RequestState::Matched;
        self.deadline = now + route.deadline;
        self.read = route.is_idempotent(self.read);
        if route.max_attempts > 0 {
            self.max_attempts = route.max_attempts;
        }
    }

    /// The client waits no longer than this.
    pub fn caller_waits(&mut self, until: Duration) {
        self.deadline = self.deadline.min(until);
    }

    pub fn admitted(&mut self, replayable: bool) {
        self.state = RequestState::Admitted;
        self.replayable = replayable;
    }

    /// Whether the whole body is still there to be sent after an attempt.
    pub fn body_left(&mut self, is_complete: bool) {
        self.replayable = is_complete;
    }

    pub fn chosen(&mut self) {
        self.state = RequestState::Chosen;
    }

    /// The last check before the first byte held; from here on bytes may leave.
    pub fn shooting(&mut self) {
        self.state = RequestState::Shooting;
        self.attempts += 1;
    }

    pub fn sent(&mut self) {
        self.state = RequestState::Sent;
    }

    pub fn done(&mut self) {
        self.state = RequestState::Done;
    }

    pub fn refuse(&mut self, failure: Failure) -> NextStep {
        self.state = match self.reported_outcome(failure) {
            ReportedOutcome::NotRun => RequestState::Refused,
            ReportedOutcome::Unknown => RequestState::Unknown,
        };
        NextStep::Respond(failure)
    }

    /// What follows the end of an attempt; `again` asks the budget and is asked only when it counts.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        end: AttemptEnd,
        again: impl FnOnce() -> bool,
    ) -> NextStep {
        let nothing_ran = match end {
            AttemptEnd::Answered => {
                self.state = RequestState::Answering;
                return NextStep::PassOn;
            }
            AttemptEnd::NotOpened | AttemptEnd::RefusedByInstance => true,
            AttemptEnd::Lost | AttemptEnd::Late | AttemptEnd::Garbage => false,
        };
        self.doubt |= !nothing_ran;
        let may = (nothing_ran || self.read)
            && self.replayable
            && self.attempts < self.max_attempts
            && end != AttemptEnd::Late
            && now < self.deadline;
        if may && again() {
            self.state = RequestState::Admitted;
            return NextStep::ShootAgain;
        }
        let failure = match end {
            AttemptEnd::NotOpened => Failure::NotOpened,
            AttemptEnd::RefusedByInstance => Failure::InstanceRefused,
            AttemptEnd::Late => Failure::LateAfterSending,
            AttemptEnd::Garbage => Failure::Garbage,
            AttemptEnd::Lost | AttemptEnd::Answered => Failure::LostAfterSending,
        };
        self.refuse(failure)
    }
}
