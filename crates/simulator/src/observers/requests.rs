//! Checks of requests: what ran, and which outcome clients received.

use std::time::Duration;

use crate::actors::request::ClientRequest;
use crate::observers::invariants::Invariant;
use crate::observers::Observers;
use caperworks::identifiers::InstanceId;

/// Maximum time until a proxy rejects a request that it sends to no instance.
const REJECTION_LIMIT: Duration = Duration::from_millis(100);

/// The outcome of a request as its client received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    Served,
    NotRun,
    Unknown,
}

impl Observers {
    /// Records a request; requests of a hot key have no kind and are counted separately.
    pub fn request_sent(&mut self, at: Duration, request: u64, write: bool, kind: Option<usize>) {
        match kind {
            Some(kind) => {
                self.tally.sent += 1;
                self.seconds.entry(at.as_secs()).or_default().0 += 1;
                let seconds = self.kind_seconds.entry(kind).or_default();
                seconds.entry(at.as_secs()).or_default().0 += 1;
            }
            None => self.tally.hot_sent += 1,
        }
        if write {
            self.writes.insert(request);
        }
    }

    /// Records that the work of a request took effect.
    pub fn request_ran(&mut self, at: Duration, request: u64, instance: &InstanceId) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        let write = self.writes.contains(&request);
        if write && *runs > 1 {
            self.record_violation(
                Invariant::RanTwice,
                at,
                format!("request {request} ran at {instance}"),
            );
        }
        if self.reported.get(&request) == Some(&ClientOutcome::NotRun) {
            self.record_violation(
                Invariant::RanAfterNotRun,
                at,
                format!("request {request} ran at {instance}"),
            );
        }
    }

    /// Records that an instance ran a request meant for another service.
    pub fn request_ran_for_another_service(
        &mut self,
        at: Duration,
        request: u64,
        instance: &InstanceId,
    ) {
        self.record_violation(
            Invariant::RanForAnother,
            at,
            format!("request {request} ran at {instance}"),
        );
    }

    /// Checks the outcome that a client received.
    pub fn outcome_reported(
        &mut self,
        at: Duration,
        request: &ClientRequest,
        reported: ClientOutcome,
        response_for: Option<u64>,
    ) {
        let number = request.number;
        self.reported.insert(number, reported);
        match reported {
            ClientOutcome::Served => {
                match request.kind {
                    Some(kind) => {
                        let second = request.sent_at.as_secs();
                        self.tally.served += 1;
                        self.seconds.entry(second).or_default().1 += 1;
                        let seconds = self.kind_seconds.entry(kind).or_default();
                        seconds.entry(second).or_default().1 += 1;
                    }
                    None => self.tally.hot_served += 1,
                }
                if response_for != Some(number) || !self.runs.contains_key(&number) {
                    let details = format!("request {number} got the response to {response_for:?}");
                    self.record_violation(Invariant::WrongResponse, at, details);
                }
            }
            ClientOutcome::NotRun => {
                self.tally.not_run += 1;
                if self.runs.contains_key(&number) {
                    let details = format!("request {number} was reported as not run, but it ran");
                    self.record_violation(Invariant::RanAfterNotRun, at, details);
                }
            }
            ClientOutcome::Unknown => self.tally.unknown += 1,
        }
    }

    /// Checks how soon a proxy rejected a request that it sent to no instance.
    pub fn request_rejected(&mut self, at: Duration, request: &ClientRequest) {
        let delay = at.saturating_sub(request.received_at);
        if delay > REJECTION_LIMIT {
            let details = format!(
                "request {} was rejected only after {delay:?}",
                request.number
            );
            self.record_violation(Invariant::LateRefusal, at, details);
        }
    }
}
