//! Records what the clients sent and received and what the server did, and checks the rules for
//! both.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::support::behaviour::Behaviour;
use crate::support::fixture::Protocol;
use crate::support::wire::{is_complete_body_of, WireHead};
use caperworks::dispatch::{MIN_RETRIES_PER_WINDOW, RETRY_PERCENT};
use caperworks::identifiers::RandomSource;
use runtime::locks::locked;

/// A request as its client sent it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its body is streamed.
    pub streams: bool,
}

/// What a client received for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObservedResponse {
    Complete {
        status: u16,
        named: Option<String>,
        sealed: bool,
        /// The outcome that the header of the proxy reports.
        outcome: Option<String>,
        body: Vec<u8>,
    },
    /// The head was received, and the connection broke within the body.
    TruncatedBody,
    /// The connection ended without a head.
    Nothing,
    /// The client disconnected.
    Disconnected,
}

/// What the server did with one request.
#[derive(Debug, Clone, Default)]
pub struct ServedRequest {
    pub arrivals: u32,
    pub runs: u32,
    /// Complete responses to this request that the server wrote.
    pub complete_responses: u32,
    pub own_failures: u32,
    pub behaviours: Vec<Behaviour>,
}

#[derive(Debug, Default)]
struct JournalEntries {
    sent: BTreeMap<String, SentRequest>,
    served: BTreeMap<String, ServedRequest>,
    seen: BTreeMap<String, ObservedResponse>,
    violations: Vec<String>,
}

/// Everything that happened in one schedule.
#[derive(Debug)]
pub struct Journal {
    protocol: Protocol,
    entries: Mutex<JournalEntries>,
}

/// Counts of what happened in a schedule, to check that the schedules exercise the proxy.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub requests: u64,
    pub successes: u64,
    pub not_run: u64,
    pub unknowns: u64,
    pub truncated_bodies: u64,
    pub disconnected: u64,
    /// Uploads whose connection ended without a response.
    pub unanswered: u64,
    pub uploads: u64,
    pub retry_arrivals: u64,
    pub behaviours: BTreeMap<Behaviour, u64>,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.successes += other.successes;
        self.not_run += other.not_run;
        self.unknowns += other.unknowns;
        self.truncated_bodies += other.truncated_bodies;
        self.disconnected += other.disconnected;
        self.unanswered += other.unanswered;
        self.uploads += other.uploads;
        self.retry_arrivals += other.retry_arrivals;
        for (behaviour, count) in &other.behaviours {
            *self.behaviours.entry(*behaviour).or_default() += count;
        }
    }
}

/// Statuses that state that the request did not run and never will.
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Statuses of the proxy that do not say whether the request ran.
const UNKNOWN_STATUSES: [u16; 3] = [413, 502, 504];
/// The maximum number of instances that one request may be sent to.
const MAX_ARRIVALS: u32 = 3;

impl Journal {
    pub fn new(protocol: Protocol) -> Self {
        Self {
            protocol,
            entries: Mutex::default(),
        }
    }

    pub fn send(&self, id: &str, request: SentRequest) {
        locked(&self.entries).sent.insert(id.to_string(), request);
    }

    pub fn see(&self, id: &str, response: ObservedResponse) {
        locked(&self.entries).seen.insert(id.to_string(), response);
    }

    pub fn record_violation(&self, violation: String) {
        locked(&self.entries).violations.push(violation);
    }

    /// Records that the head of a request arrived; returns how many arrived for this request so
    /// far.
    pub fn arrive(&self, id: &str) -> u32 {
        let mut entries = locked(&self.entries);
        if !entries.sent.contains_key(id) {
            let violation = format!("{id}: a request arrived that no client sent");
            entries.violations.push(violation);
        }
        let served = entries.served.entry(id.to_string()).or_default();
        served.arrivals += 1;
        served.arrivals
    }

    pub fn behave(&self, id: &str, behaviour: Behaviour) {
        let mut entries = locked(&self.entries);
        let served = entries.served.entry(id.to_string()).or_default();
        served.behaviours.push(behaviour);
    }

    /// Records that the server starts to run a complete request.
    pub fn run(&self, id: &str, head: &WireHead, body: &[u8]) {
        let mut entries = locked(&self.entries);
        entries.served.entry(id.to_string()).or_default().runs += 1;
        let Some(sent) = entries.sent.get(id) else {
            return;
        };
        let first_line = format!("{} {} HTTP/1.1", sent.method, sent.path);
        if head.first_line != first_line || sent.body != body {
            let violation = format!("{id}: a request ran with another head or body than was sent");
            entries.violations.push(violation);
        }
    }

    pub fn respond_completely(&self, id: &str) {
        let mut entries = locked(&self.entries);
        let served = entries.served.entry(id.to_string()).or_default();
        served.complete_responses += 1;
    }

    pub fn respond_with_failure(&self, id: &str) {
        let mut entries = locked(&self.entries);
        let served = entries.served.entry(id.to_string()).or_default();
        served.own_failures += 1;
    }

    /// Returns the id of any other request whose client has its response.
    ///
    /// Only such requests are used: a forged response with the id of a request still in flight
    /// elsewhere could not be distinguished from its real one.
    pub fn other_request(&self, id: &str, random_source: &mut RandomSource) -> String {
        let entries = locked(&self.entries);
        let others: Vec<&String> = entries.seen.keys().filter(|known| *known != id).collect();
        let index = random_source.below(others.len() as u64) as usize;
        others
            .get(index)
            .map_or_else(|| "nobody".to_string(), |other| other.to_string())
    }

    /// Returns how many requests arrived that were treated with this behaviour.
    pub fn arrivals_with(&self, behaviour: Behaviour) -> usize {
        let entries = locked(&self.entries);
        let behaviours = entries
            .served
            .values()
            .flat_map(|served| &served.behaviours);
        behaviours.filter(|known| **known == behaviour).count()
    }

    /// Returns all violations in a schedule that took this long.
    pub fn find_violations(&self, took: Duration) -> Vec<String> {
        let entries = locked(&self.entries);
        let mut violations = entries.violations.clone();
        for (id, sent) in &entries.sent {
            let served = entries.served.get(id).cloned().unwrap_or_default();
            let seen = entries.seen.get(id);
            let reported = request_violations(self.protocol, id, sent, &served, seen);
            let behaviours_text = format!("{:?}", served.behaviours);
            violations.extend(
                reported
                    .into_iter()
                    .map(|violation| format!("{violation} ({behaviours_text})")),
            );
        }
        violations.extend(entries.budget_violation(took));
        violations
    }

    pub fn tally(&self) -> Tally {
        let entries = locked(&self.entries);
        let mut tally = Tally {
            requests: entries.sent.len() as u64,
            retry_arrivals: entries.retry_arrivals(),
            uploads: entries.sent.values().filter(|sent| sent.streams).count() as u64,
            ..Tally::default()
        };
        for seen in entries.seen.values() {
            match seen {
                ObservedResponse::Complete { status, .. } if *status < 300 => tally.successes += 1,
                ObservedResponse::Complete {
                    status, outcome, ..
                } if self.protocol.states_not_run(*status, outcome.as_deref()) => {
                    tally.not_run += 1
                }
                ObservedResponse::Complete { .. } => tally.unknowns += 1,
                ObservedResponse::TruncatedBody => tally.truncated_bodies += 1,
                ObservedResponse::Nothing => tally.unanswered += 1,
                ObservedResponse::Disconnected => tally.disconnected += 1,
            }
        }
        for behaviour in entries
            .served
            .values()
            .flat_map(|served| &served.behaviours)
        {
            *tally.behaviours.entry(*behaviour).or_default() += 1;
        }
        tally
    }
}

impl JournalEntries {
    fn retry_arrivals(&self) -> u64 {
        let served = self.served.values();
        served
            .map(|served| u64::from(served.arrivals.saturating_sub(1)))
            .sum()
    }

    fn budget_violation(&self, took: Duration) -> Option<String> {
        // Longer schedules may have more retries: the budget grants its floor again in each window
        // of ten seconds.
        let windows = 1 + took.as_secs() / 10;
        let share = self.sent.len() as u64 * u64::from(RETRY_PERCENT) / 100;
        let allowed = share + u64::from(MIN_RETRIES_PER_WINDOW) * windows;
        let retries = self.retry_arrivals();
        (retries > allowed)
            .then(|| format!("{retries} retries arrived, though the budget allows {allowed}"))
    }
}

/// Returns the violations of one request.
fn request_violations(
    protocol: Protocol,
    id: &str,
    sent: &SentRequest,
    served: &ServedRequest,
    seen: Option<&ObservedResponse>,
) -> Vec<String> {
    let mut violations = Vec::new();
    if !sent.repeatable && served.runs > 1 {
        violations.push(format!("{id}: ran {} times, may run once", served.runs));
    }
    if served.arrivals > MAX_ARRIVALS {
        violations.push(format!("{id}: arrived {} times", served.arrivals));
    }
    match seen {
        None => violations.push(format!("{id}: its client never finished")),
        Some(ObservedResponse::Nothing) if !sent.streams => {
            violations.push(format!("{id}: its connection ended without a response"));
        }
        Some(ObservedResponse::Complete {
            status,
            named,
            sealed,
            outcome,
            body,
        }) => {
            // Only successes must carry the id: error responses of the proxy do not.
            let is_success = (200..300).contains(status);
            let is_own = match named {
                Some(named) => named == id,
                None => !is_success || protocol == Protocol::Native,
            };
            if !is_own {
                violations.push(format!("{id}: got a response that names {named:?}"));
            }
            let has_own_body = match sent.method {
                // Empty, since the server sends a body even for HEAD, and that must not be
                // forwarded.
                "HEAD" => body.is_empty(),
                _ => is_complete_body_of(id, body),
            };
            // A response to HEAD is complete with its head.
            let is_complete_by_head = sent.method == "HEAD"
                && served
                    .behaviours
                    .iter()
                    .any(|behaviour| behaviour.sends_own_head());
            let was_sent_by_server = served.complete_responses > 0 || is_complete_by_head;
            let response = CheckedResponse {
                status: *status,
                sealed: *sealed || protocol == Protocol::Native,
                reports_unknown: outcome.as_deref() == Some("unknown"),
                states_not_run: protocol.states_not_run(*status, outcome.as_deref()),
                has_own_body,
                was_sent_by_server,
            };
            violations.extend(response.violation(id, served));
        }
        Some(
            ObservedResponse::Nothing
            | ObservedResponse::TruncatedBody
            | ObservedResponse::Disconnected,
        ) => {}
    }
    violations
}

/// The properties of a complete response that are checked.
struct CheckedResponse {
    status: u16,
    sealed: bool,
    states_not_run: bool,
    reports_unknown: bool,
    has_own_body: bool,
    /// Whether the server sent such a successful response to the request.
    was_sent_by_server: bool,
}

impl CheckedResponse {
    /// Returns the violation in the response to this request.
    fn violation(&self, id: &str, served: &ServedRequest) -> Option<String> {
        let status = self.status;
        match status {
            200..=299 if !self.sealed => Some(format!("{id}: a success without a seal")),
            200..=299 if !self.has_own_body => {
                Some(format!("{id}: a success without its own complete body"))
            }
            200..=299 if !self.was_sent_by_server => {
                Some(format!("{id}: a success that the server never gave"))
            }
            200..=299 => None,
            _ if self.states_not_run && served.runs > 0 => Some(format!(
                "{id}: {status} promises that it never ran, but it ran"
            )),
            _ if self.states_not_run || UNKNOWN_STATUSES.contains(&status) => None,
            _ if served.own_failures > 0 && self.has_own_body => None,
            // Allowed, since the proxy also reports that the outcome is unknown.
            503 if self.reports_unknown => None,
            _ => Some(format!("{id}: {status} is not an allowed response")),
        }
    }
}
