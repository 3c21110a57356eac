//! The reasons why a request is rejected or lost, and what is reported to its client.

use std::time::Duration;

/// The reason why a request was rejected or lost; it determines the response status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    NoRoute,
    Stale,
    ZoneClosed,
    OutsideHomeRegion,
    NoInstance,
    NoOwner,
    BodyTooLarge,
    BadFraming,
    MissingKey,
    BadKey,
    DeadlineBeforeSending,
    NotOpened,
    InstanceRejected,
    Draining,
    LostAfterSending,
    DeadlineAfterSending,
    MalformedResponse,
}

/// What is reported to the client: that the request did not run, or that this is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    NotRun,
    Unknown,
}

impl Failure {
    /// Returns the outcome that the failure alone implies.
    pub fn reported_outcome(self) -> ReportedOutcome {
        match self {
            Failure::LostAfterSending
            | Failure::DeadlineAfterSending
            | Failure::MalformedResponse => ReportedOutcome::Unknown,
            _ => ReportedOutcome::NotRun,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Failure::NoRoute => 404,
            Failure::BodyTooLarge => 413,
            Failure::BadFraming | Failure::MissingKey | Failure::BadKey => 400,
            Failure::DeadlineAfterSending => 504,
            Failure::LostAfterSending | Failure::MalformedResponse => 502,
            _ => 503,
        }
    }

    /// Returns the retry delay for failures that may be temporary.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Failure::NoRoute
            | Failure::BodyTooLarge
            | Failure::BadFraming
            | Failure::MissingKey
            | Failure::BadKey => None,
            Failure::ZoneClosed | Failure::Stale | Failure::Draining => {
                Some(Duration::from_secs(2))
            }
            _ => Some(Duration::from_secs(1)),
        }
    }

    /// Returns the reason in the body of the response.
    pub fn reason(self) -> &'static str {
        match self {
            Failure::NoRoute => "no rule matches",
            Failure::Stale => "this proxy has lost touch with the core",
            Failure::ZoneClosed => "this zone is closed",
            Failure::OutsideHomeRegion => "the rule is bound to another region",
            Failure::NoInstance => "no instance is free",
            Failure::NoOwner => "no instance owns the key just now",
            Failure::BodyTooLarge => "the body is over the rule's limit",
            Failure::BadFraming => "the framing is malformed or ambiguous",
            Failure::MissingKey => "the header with the key is missing",
            Failure::BadKey => "the key is none of this service's",
            Failure::DeadlineBeforeSending => "the deadline passed before anything was sent",
            Failure::NotOpened => "no connection to an instance could be opened",
            Failure::InstanceRejected => "the instance refused and ran nothing",
            Failure::Draining => "this proxy is about to stop",
            Failure::LostAfterSending => "the connection was lost after sending",
            Failure::DeadlineAfterSending => "the deadline passed after sending",
            Failure::MalformedResponse => "the instance's answer was malformed",
        }
    }
}
