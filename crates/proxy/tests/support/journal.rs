//! What clients sent and got and what the server did, and the rules that both together must keep.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::support::behaviour::Behaviour;
use crate::support::fixture::Manner;
use crate::support::wire::{is_complete_body_of, WireHead};
use caperworks::dispatch::{RETRY_FLOOR, RETRY_PERCENT};
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
    /// Whether its body is passed on as it comes.
    pub streams: bool,
}

/// What a client saw of the answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObservedResponse {
    Complete {
        status: u16,
        named: Option<String>,
        sealed: bool,
        /// What the proxy's own header says of whether it ran.
        outcome: Option<String>,
        body: Vec<u8>,
    },
    /// The head came, and the connection broke within the body.
    CutBody,
    /// The connection ended without a head.
    Nothing,
    /// The client went away by itself.
    GaveUp,
}

/// What the server did with one request.
#[derive(Debug, Clone, Default)]
pub struct ServedRequest {
    pub arrivals: u32,
    pub runs: u32,
    /// Whole answers of the request's own that the server wrote.
    pub complete_responses: u32,
    pub own_failures: u32,
    pub behaviours: Vec<Behaviour>,
}

#[derive(Debug, Default)]
struct JournalEntries {
    sent: BTreeMap<String, SentRequest>,
    served: BTreeMap<String, ServedRequest>,
    seen: BTreeMap<String, ObservedResponse>,
    breaches: Vec<String>,
}

/// Everything that happened in one schedule.
#[derive(Debug)]
pub struct Journal {
    manner: Manner,
    entries: Mutex<JournalEntries>,
}

/// What one schedule brought about, for telling that the schedules together are not empty.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub requests: u64,
    pub successes: u64,
    pub promises: u64,
    pub unknowns: u64,
    pub cut_bodies: u64,
    pub gave_up: u64,
    /// Uploads whose connection ended without an answer.
    pub unanswered: u64,
    pub uploads: u64,
    pub further_arrivals: u64,
    pub behaviours: BTreeMap<Behaviour, u64>,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.successes += other.successes;
        self.promises += other.promises;
        self.unknowns += other.unknowns;
        self.cut_bodies += other.cut_bodies;
        self.gave_up += other.gave_up;
        self.unanswered += other.unanswered;
        self.uploads += other.uploads;
        self.further_arrivals += other.further_arrivals;
        for (behaviour, count) in &other.behaviours {
            *self.behaviours.entry(*behaviour).or_default() += count;
        }
    }
}

/// Statuses that promise that the request did not run and never will.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Statuses of the proxy's own that promise nothing.
const UNKNOWNS: [u16; 3] = [413, 502, 504];
/// To how many instances one request may be sent.
const MOST_ARRIVALS: u32 = 3;

impl Journal {
    pub fn new(manner: Manner) -> Self {
        Self {
            manner,
            entries: Mutex::default(),
        }
    }

    pub fn send(&self, id: &str, request: SentRequest) {
        locked(&self.entries).sent.insert(id.to_string(), request);
    }

    pub fn see(&self, id: &str, response: ObservedResponse) {
        locked(&self.entries).seen.insert(id.to_string(), response);
    }

    pub fn breach(&self, breach: String) {
        locked(&self.entries).breaches.push(breach);
    }

    /// A head came to the server; says how many came for this request so far.
    pub fn arrive(&self, id: &str) -> u32 {
        let mut entries = locked(&self.entries);
        if !entries.sent.contains_key(id) {
            let breach = format!("{id}: a request arrived that no client sent");
            entries.breaches.push(breach);
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

    /// The server begins to work on a whole request.
    pub fn run(&self, id: &str, head: &WireHead, body: &[u8]) {
        let mut entries = locked(&self.entries);
        entries.served.entry(id.to_string()).or_default().runs += 1;
        let Some(sent) = entries.sent.get(id) else {
            return;
        };
        let first_line = format!("{} {} HTTP/1.1", sent.method, sent.path);
        if head.first_line != first_line || sent.body != body {
            let breach = format!("{id}: a request ran with another head or body than was sent");
            entries.breaches.push(breach);
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

    /// Any request other than this one whose client has its answer.
    ///
    /// Why only those: an answer made up in the name of a request that is under way elsewhere
    /// could be told from its own by nobody.
    pub fn another_than(&self, id: &str, chance: &mut RandomSource) -> String {
        let entries = locked(&self.entries);
        let others: Vec<&String> = entries.seen.keys().filter(|known| *known != id).collect();
        let drawn = chance.below(others.len() as u64) as usize;
        others
            .get(drawn)
            .map_or_else(|| "nobody".to_string(), |other| other.to_string())
    }

    /// How many requests arrived, by what was done with them.
    pub fn arrivals_with(&self, behaviour: Behaviour) -> usize {
        let entries = locked(&self.entries);
        let behaviours = entries
            .served
            .values()
            .flat_map(|served| &served.behaviours);
        behaviours.filter(|known| **known == behaviour).count()
    }

    /// Everything that broke a rule, in a schedule that took this long.
    pub fn judge(&self, took: Duration) -> Vec<String> {
        let entries = locked(&self.entries);
        let mut breaches = entries.breaches.clone();
        for (id, sent) in &entries.sent {
            let served = entries.served.get(id).cloned().unwrap_or_default();
            let seen = entries.seen.get(id);
            let reported = reported_breaches(self.manner, id, sent, &served, seen);
            let story = format!("{:?}", served.behaviours);
            breaches.extend(
                reported
                    .into_iter()
                    .map(|breach| format!("{breach} ({story})")),
            );
        }
        breaches.extend(entries.budget_breach(took));
        breaches
    }

    pub fn tally(&self) -> Tally {
        let entries = locked(&self.entries);
        let mut tally = Tally {
            requests: entries.sent.len() as u64,
            further_arrivals: entries.further_arrivals(),
            uploads: entries.sent.values().filter(|sent| sent.streams).count() as u64,
            ..Tally::default()
        };
        for seen in entries.seen.values() {
            match seen {
                ObservedResponse::Complete { status, .. } if *status < 300 => tally.successes += 1,
                ObservedResponse::Complete {
                    status, outcome, ..
                } if self.manner.promises(*status, outcome.as_deref()) => tally.promises += 1,
                ObservedResponse::Complete { .. } => tally.unknowns += 1,
                ObservedResponse::CutBody => tally.cut_bodies += 1,
                ObservedResponse::Nothing => tally.unanswered += 1,
                ObservedResponse::GaveUp => tally.gave_up += 1,
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
    fn further_arrivals(&self) -> u64 {
        let served = self.served.values();
        served
            .map(|served| u64::from(served.arrivals.saturating_sub(1)))
            .sum()
    }

    fn budget_breach(&self, took: Duration) -> Option<String> {
        // Why more for longer ones: the budget's floor is granted anew in each window of ten seconds.
        let windows = 1 + took.as_secs() / 10;
        let share = self.sent.len() as u64 * u64::from(RETRY_PERCENT) / 100;
        let allowed = share + u64::from(RETRY_FLOOR) * windows;
        let further = self.further_arrivals();
        (further > allowed)
            .then(|| format!("{further} further arrivals, though the budget allows {allowed}"))
    }
}

/// What is wrong with one request's end.
fn reported_breaches(
    manner: Manner,
    id: &str,
    sent: &SentRequest,
    served: &ServedRequest,
    seen: Option<&ObservedResponse>,
) -> Vec<String> {
    let mut breaches = Vec::new();
    if !sent.repeatable && served.runs > 1 {
        breaches.push(format!("{id}: ran {} times, may run once", served.runs));
    }
    if served.arrivals > MOST_ARRIVALS {
        breaches.push(format!("{id}: arrived {} times", served.arrivals));
    }
    match seen {
        None => breaches.push(format!("{id}: its client never came to an end")),
        Some(ObservedResponse::Nothing) if !sent.streams => {
            breaches.push(format!("{id}: its connection ended without any answer"));
        }
        Some(ObservedResponse::Complete {
            status,
            named,
            sealed,
            outcome,
            body,
        }) => {
            // Why a name only on success: the proxy's own failures bear none.
            let is_success = (200..300).contains(status);
            let is_own = match named {
                Some(named) => named == id,
                None => !is_success || manner == Manner::Own,
            };
            if !is_own {
                breaches.push(format!("{id}: got an answer that names {named:?}"));
            }
            let has_own_body = match sent.method {
                // Why empty: the server writes its body all the same, and it belongs to nobody.
                "HEAD" => body.is_empty(),
                _ => is_complete_body_of(id, body),
            };
            // Why another measure: an answer to HEAD is whole with its head.
            let is_complete_by_head = sent.method == "HEAD"
                && served.behaviours.iter().any(|drawn| drawn.gives_own_head());
            let was_given = served.complete_responses > 0 || is_complete_by_head;
            let response = JudgedResponse {
                status: *status,
                sealed: *sealed || manner == Manner::Own,
                says_unknown: outcome.as_deref() == Some("unknown"),
                promises: manner.promises(*status, outcome.as_deref()),
                has_own_body,
                was_given,
            };
            breaches.extend(response.breach(id, served));
        }
        Some(ObservedResponse::Nothing | ObservedResponse::CutBody | ObservedResponse::GaveUp) => {}
    }
    breaches
}

/// A whole answer, as far as its judgement needs it.
struct JudgedResponse {
    status: u16,
    sealed: bool,
    promises: bool,
    says_unknown: bool,
    has_own_body: bool,
    /// Whether the server wrote such a success for the request.
    was_given: bool,
}

impl JudgedResponse {
    /// What is wrong with the answer to this request.
    fn breach(&self, id: &str, served: &ServedRequest) -> Option<String> {
        let status = self.status;
        match status {
            200..=299 if !self.sealed => Some(format!("{id}: a success without a seal")),
            200..=299 if !self.has_own_body => {
                Some(format!("{id}: a success without its own whole body"))
            }
            200..=299 if !self.was_given => {
                Some(format!("{id}: a success that the server never gave"))
            }
            200..=299 => None,
            _ if self.promises && served.runs > 0 => Some(format!(
                "{id}: {status} promises that it never ran, but it ran"
            )),
            _ if self.promises || UNKNOWNS.contains(&status) => None,
            _ if served.own_failures > 0 && self.has_own_body => None,
            // Why allowed: the proxy says beside it that the outcome is unknown.
            503 if self.says_unknown => None,
            _ => Some(format!("{id}: {status} is no answer that it may get")),
        }
    }
}
