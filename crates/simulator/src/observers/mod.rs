//! Observers: they see the whole fleet from outside and check its invariants throughout a run.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use crate::observers::attempts::ServiceAttempts;
use crate::observers::changes::AcceptedChange;
use crate::observers::invariants::{Invariant, Violation};
use crate::observers::ownership::WorkInterval;
use crate::observers::recovery::MajorFault;
use crate::observers::requests::ClientOutcome;
use crate::observers::tally::Tally;
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::map_items::{Mapping, Value};
use caperworks::replicated_map::{Change, MapName};
use controller::state_machine::event::Event;

pub mod attempts;
pub mod changes;
pub mod invariants;
pub mod lag;
pub mod ownership;
pub mod placement;
pub mod reads;
pub mod recovery;
pub mod requests;
pub mod tally;

/// Everything the observers know about a run.
#[derive(Default)]
pub struct Observers {
    pub violations: Vec<Violation>,
    pub tally: Tally,
    /// Events of membership and leadership that controllers logged, to diagnose a failing seed.
    pub event_log: Vec<String>,
    runs: HashMap<u64, u32>,
    reported: HashMap<u64, ClientOutcome>,
    writes: HashSet<u64>,
    draining: HashMap<(InstanceId, Incarnation), Duration>,
    accepted: Vec<AcceptedChange>,
    /// Changes proposed under each id; an id may be used again for a different change.
    proposed: HashMap<ChangeId, Vec<Change>>,
    /// By item: the values that proposed change sets would give it.
    proposed_values: HashMap<String, Vec<(Value, ChangeId)>>,
    /// Up to which version each controller's map was checked.
    checked_versions: HashMap<String, Version>,
    /// Versions that were accepted or read, and that proxies must have applied once the limit has
    /// passed.
    due_versions: VecDeque<(Duration, Version)>,
    due_version: Version,
    /// When each version was accepted.
    accepted_at: BTreeMap<Version, Duration>,
    /// The version for which each follower was last found late.
    reported_late_versions: HashMap<usize, Version>,
    /// How many calls carried a change, and how many of them were rejected.
    calls: HashMap<ChangeId, (u32, u32)>,
    closed: HashMap<Zone, Duration>,
    service_attempts: HashMap<ServiceName, ServiceAttempts>,
    slow_start_attempts: HashMap<(InstanceId, Incarnation), VecDeque<(Duration, bool)>>,
    work_intervals: HashMap<(ServiceName, u32), Vec<WorkInterval>>,
    proxy_versions: HashMap<usize, Version>,
    /// Requests sent and served by second, for the recovery check; also by kind of traffic.
    seconds: BTreeMap<u64, (u64, u64)>,
    kind_seconds: BTreeMap<usize, BTreeMap<u64, (u64, u64)>>,
    load_since: Option<Duration>,
    major_faults: Vec<MajorFault>,
    /// The kinds of traffic that go to keyed services.
    pub keyed_kinds: BTreeSet<usize>,
    last_mapping: Option<(Version, Mapping)>,
    owner_manager: Option<NodeId>,
    owner_manager_lost_at: Option<Duration>,
}

impl Observers {
    pub(super) fn record_violation(
        &mut self,
        invariant: Invariant,
        at: Duration,
        details: impl Into<String>,
    ) {
        if self.violations.len() < 200 {
            self.violations.push(Violation {
                invariant,
                at,
                details: details.into(),
            });
        }
    }

    /// Returns the invariants that were violated.
    pub fn violated(&self) -> BTreeSet<Invariant> {
        self.violations
            .iter()
            .map(|violation| violation.invariant)
            .collect()
    }

    /// Records a logged event of a controller, if it concerns membership or leadership.
    pub fn log_event(&mut self, at: Duration, name: String, event: Event) {
        let is_relevant = match &event {
            Event::MapUpdated { map, .. } => *map == MapName::Membership,
            _ => true,
        };
        if is_relevant && self.event_log.len() < 5000 {
            self.event_log.push(format!("{at:?} {name} {event:?}"));
        }
    }
}
