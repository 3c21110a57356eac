//! Random schedules in which two operators choose the same version of an item, while messages and responses
//! are lost, calls are repeated at other nodes, and nodes restart or receive snapshots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::{ConsensusMessage, Replica};
use caperworks::consensus::proposer::{
    ProposalOutcome, Proposer, ProposerOptions, ProposerOutcome,
};
use caperworks::consensus::voter::{Voter, VoterOutcome};
use caperworks::identifiers::{stable_hash_of, ChangeId, NodeId, RandomSource, Version, Zone};
use caperworks::map_items::{Service, Value, VoterEntry, VoterSet};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, Written};
use caperworks::version_history::REMEMBERED_VERSIONS;

const NODES: u64 = 3;
const ITEM_KEYS: [&str; 3] = ["pool/a", "pool/b", "pool/c"];
const CONFIGURATION: MapName = MapName::Configuration;

fn voters_change() -> Change {
    let entries = (1..=NODES)
        .map(|number| VoterEntry {
            node: NodeId(number),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
            zone: Zone::new(format!("zone-{number}")),
            controller: true,
        })
        .collect();
    Change {
        id: ChangeId::new("founding"),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(Version(0)),
            value: Some(Value::VoterSet {
                voters: VoterSet { entries },
            }),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// Creates a put of a service, or of its removal, under an operator version.
fn put(key: &str, version: u64, contents: Option<&str>) -> Put {
    let service = Service {
        instance_cap: 1,
        key_cap: 1,
        slow_start_rate_milli: 1000,
        ..Service::default()
    };
    Put {
        key: key.to_string(),
        expected: None,
        value: contents.map(|_| Value::Service { service }),
        written: Some(Written {
            version,
            text: contents.unwrap_or_default().to_string(),
        }),
    }
}

/// Creates a change whose id depends only on its puts, as the operators' platform does.
fn call(puts: Vec<Put>) -> Change {
    let bytes = minicbor::to_vec(&puts).expect("puts encode");
    Change {
        id: ChangeId::new(format!("call-{:x}", stable_hash_of(&bytes))),
        puts,
        guards: Vec::new(),
    }
}

/// Returns the same change under another id, as after the map has forgotten its id.
fn under_another_id(change: &Change, number: u64) -> Change {
    Change {
        id: ChangeId::new(format!("{}-repeat-{number}", change.id)),
        ..change.clone()
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ReportedOutcome {
    Confirmed,
    Rejected,
    Unknown,
}

fn reported(outcome: &ProposalOutcome) -> ReportedOutcome {
    match outcome {
        ProposalOutcome::Accepted(_) | ProposalOutcome::Repeat(_) => ReportedOutcome::Confirmed,
        ProposalOutcome::NoMajority
        | ProposalOutcome::TooFewAgents
        | ProposalOutcome::VersionsForgotten(_)
        | ProposalOutcome::Unknown => ReportedOutcome::Unknown,
        _ => ReportedOutcome::Rejected,
    }
}

/// Records every response of a node, including those that are lost in transit.
#[derive(Default)]
struct Observer {
    /// The contents confirmed under each version of each item.
    confirmed: BTreeMap<(String, u64), (Option<Value>, String)>,
    confirmed_calls: Vec<Change>,
    rejections: usize,
    /// The latest response.
    last: Option<(ChangeId, ReportedOutcome)>,
    violations: Vec<String>,
}

impl Observer {
    fn record_outcome(&mut self, change: &Change, outcome: &ProposalOutcome) {
        let reported = reported(outcome);
        self.last = Some((change.id.clone(), reported));
        match reported {
            ReportedOutcome::Confirmed => self.record_confirmed(change),
            ReportedOutcome::Rejected => {
                self.rejections += 1;
                if self.has_confirmed(change) {
                    let description =
                        format!("{} was confirmed and later got {outcome:?}", change.id);
                    self.violations.push(description);
                }
            }
            ReportedOutcome::Unknown => {}
        }
    }

    fn record_confirmed(&mut self, change: &Change) {
        for put in &change.puts {
            let written = put.written.clone().expect("put has an operator version");
            let item_key = (put.key.clone(), written.version);
            let contents = (put.value.clone(), written.text);
            let first = self
                .confirmed
                .entry(item_key.clone())
                .or_insert_with(|| contents.clone());
            if *first != contents {
                let description = format!("{item_key:?}: {} and {} confirmed", first.1, contents.1);
                self.violations.push(description);
            }
        }
        if !self.has_confirmed(change) {
            self.confirmed_calls.push(change.clone());
        }
    }

    fn has_confirmed(&self, change: &Change) -> bool {
        let mut confirmed = self.confirmed_calls.iter();
        confirmed.any(|known| known.puts == change.puts)
    }

    /// Checks that each item is at least at its highest confirmed version, with the confirmed contents.
    fn check_map(&mut self, map: &ReplicatedMap) {
        for key in ITEM_KEYS {
            let of_key = |item_key: &&(String, u64)| item_key.0 == key;
            let Some(newest) = self.confirmed.keys().filter(of_key).max() else {
                continue;
            };
            let current = map.items.get(key).and_then(|item| item.written.as_ref());
            let Some(current) = current else {
                self.violations.push(format!("{newest:?} is missing"));
                continue;
            };
            let contents = self.confirmed.get(&(key.to_string(), current.version));
            let differs = contents.is_some_and(|(_, text)| *text != current.text);
            if current.version < newest.1 || differs {
                let description = format!("the item is {current:?}, but {newest:?} was confirmed");
                self.violations.push(description);
            }
        }
    }
}

/// One controller: its state machines, and its synced state on disk.
struct Node {
    voter: Voter,
    proposer: Proposer,
    slot: Vec<u8>,
    log: Vec<Vec<u8>>,
}

impl Node {
    fn start(number: u64, voter: Voter, options: &ProposerOptions) -> Self {
        let slot = minicbor::to_vec(voter.replicas().to_vec()).expect("replicas encode");
        let proposer = Proposer::new(CONFIGURATION, NodeId(number), options.clone());
        Self {
            voter,
            proposer,
            slot,
            log: Vec::new(),
        }
    }

    /// Syncs the records of the voter, or its complete state.
    fn sync(&mut self, outcome: &VoterOutcome) {
        for record in &outcome.records {
            self.log
                .push(minicbor::to_vec(record).expect("a record encodes"));
        }
        if outcome.rewrite {
            self.slot = minicbor::to_vec(self.voter.replicas().to_vec()).expect("replicas encode");
            self.log.clear();
        }
    }

    fn recover_voter(&self) -> Voter {
        let replicas: Vec<Replica> = minicbor::decode(&self.slot).expect("a slot decodes");
        let mut voter = Voter::restored(replicas);
        for line in &self.log {
            voter.replay(minicbor::decode(line).expect("a line decodes"));
        }
        voter
    }
}

/// Three nodes and two operators, with lost, repeated and reordered messages, and restarts.
struct Simulation {
    random: RandomSource,
    now: Duration,
    options: ProposerOptions,
    nodes: BTreeMap<u64, Node>,
    in_flight: Vec<(u64, u64, ConsensusMessage)>,
    calls: Vec<Change>,
    pending_calls: BTreeMap<u64, Change>,
    next_ticket: u64,
    highest_version: u64,
    observer: Observer,
}

impl Simulation {
    fn new(seed: u64, highest_version: u64, options: ProposerOptions) -> Self {
        let mut nodes = BTreeMap::new();
        for number in 1..=NODES {
            let mut voter = Voter::default();
            voter.handle(ConsensusMessage::Commit {
                map: MapName::Membership,
                version: Version(1),
                change: voters_change(),
            });
            nodes.insert(number, Node::start(number, voter, &options));
        }
        Self {
            random: RandomSource::seeded(seed),
            now: Duration::ZERO,
            options,
            nodes,
            in_flight: Vec::new(),
            calls: Vec::new(),
            pending_calls: BTreeMap::new(),
            next_ticket: 0,
            highest_version,
            observer: Observer::default(),
        }
    }

    fn random_node(&mut self) -> u64 {
        1 + self.random.below(NODES)
    }

    fn send(&mut self, node: u64, change: Change) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.pending_calls.insert(ticket, change.clone());
        let proposer = &mut self.nodes.get_mut(&node).expect("node exists").proposer;
        proposer.propose(self.now, ticket, change);
    }

    /// Proposes a new change of one or two items; the operators write different contents.
    fn new_call(&mut self) {
        let operator = ["left", "right"][self.random.below(2) as usize];
        let count = 1 + self.random.below(2) as usize;
        let first = self.random.below(3) as usize;
        let puts = (first..first + count)
            .map(|index| {
                let version = 1 + self.random.below(self.highest_version);
                let contents = format!("{operator} {}", self.random.below(2));
                let is_removal = self.random.below(6) == 0;
                let contents = (!is_removal).then_some(contents.as_str());
                put(ITEM_KEYS[index % 3], version, contents)
            })
            .collect();
        let change = call(puts);
        self.calls.push(change.clone());
        let node = self.random_node();
        self.send(node, change);
    }

    /// Proposes an earlier change again, as after a lost response or a delay.
    fn repeat_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.random.below(self.calls.len() as u64) as usize;
        let change = match self.random.below(3) {
            0 => under_another_id(&self.calls[index], self.next_ticket),
            _ => self.calls[index].clone(),
        };
        let node = self.random_node();
        self.send(node, change);
    }

    fn apply_outcome(&mut self, from: u64, outcome: ProposerOutcome) {
        for (ticket, proposal_outcome) in outcome.proposal_outcomes {
            if let Some(change) = self.pending_calls.remove(&ticket) {
                self.observer.record_outcome(&change, &proposal_outcome);
            }
        }
        for message in outcome.to_voters {
            for to in 1..=NODES {
                self.in_flight.push((from, to, message.clone()));
            }
        }
        for (to, message) in outcome.to_voter {
            self.in_flight.push((from, to.0, message));
        }
    }

    fn tick(&mut self, number: u64) {
        self.now += Duration::from_millis(10 + self.random.below(90));
        let node = self.nodes.get_mut(&number).expect("node exists");
        if self.random.below(4) == 0 {
            node.proposer.request_recovery();
        }
        let outcome = node.proposer.tick(self.now, &node.voter, &mut self.random);
        self.apply_outcome(number, outcome);
    }

    fn deliver(&mut self, from: u64, to: u64, message: ConsensusMessage) {
        let now = self.now;
        let node = self.nodes.get_mut(&to).expect("node exists");
        let proposer_outcome = node
            .proposer
            .handle(now, NodeId(from), &message, &node.voter);
        let outcome = node.voter.handle(message);
        node.sync(&outcome);
        for reply in outcome.replies {
            self.in_flight.push((to, from, reply));
        }
        self.apply_outcome(to, proposer_outcome);
    }

    fn deliver_any(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.below(self.in_flight.len() as u64) as usize;
        let (from, to, message) = match self.random.below(20) {
            // A message may be delivered twice.
            0 => self.in_flight[index].clone(),
            _ => self.in_flight.swap_remove(index),
        };
        if self.random.below(12) > 0 {
            self.deliver(from, to, message);
        }
    }

    /// Restarts a node from its synced state; its pending calls get no response.
    fn restart(&mut self, number: u64) {
        let voter = self.nodes[&number].recover_voter();
        let node = Node::start(number, voter, &self.options);
        self.nodes.insert(number, node);
    }

    /// Sends a full snapshot from one node to another, as if the other was far behind.
    fn snapshot(&mut self) {
        let (from, to) = (self.random_node(), self.random_node());
        let bytes = minicbor::to_vec(self.nodes[&from].voter.map(CONFIGURATION));
        let full_map = minicbor::decode(&bytes.expect("a map encodes")).expect("it decodes");
        let message = ConsensusMessage::Snapshot {
            map: CONFIGURATION,
            full_map,
        };
        self.deliver(from, to, message);
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..=1 => self.new_call(),
            2..=3 => self.repeat_call(),
            4 if self.random.below(3) == 0 => {
                let node = self.random_node();
                self.restart(node);
            }
            5 => self.snapshot(),
            6..=30 => {
                let node = self.random_node();
                self.tick(node);
            }
            _ => self.deliver_any(),
        }
    }

    /// Sends one call and delivers all messages until its outcome is known.
    fn run_call(&mut self, number: u64, change: &Change) -> ReportedOutcome {
        self.send(number, change.clone());
        let ticket = self.next_ticket;
        for _ in 0..400 {
            self.tick(number);
            while let Some((from, to, message)) = self.in_flight.pop() {
                self.deliver(from, to, message);
            }
            if !self.pending_calls.contains_key(&ticket) {
                break;
            }
        }
        match self.observer.last.take() {
            Some((id, reported)) if id == change.id => reported,
            _ => ReportedOutcome::Unknown,
        }
    }

    /// Repeats a call, and checks that it is confirmed again if it was confirmed before.
    fn repeat_call_and_check(&mut self, number: u64, change: &Change) {
        let was_confirmed = self.observer.has_confirmed(change);
        let reported = self.run_call(number, change);
        let are_versions_remembered = self.highest_version <= REMEMBERED_VERSIONS as u64;
        if was_confirmed && are_versions_remembered && reported != ReportedOutcome::Confirmed {
            let description = format!("{} was confirmed and now got {reported:?}", change.id);
            self.observer.violations.push(description);
        }
    }

    /// Runs a random schedule, and then repeats every call at every node.
    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
        self.in_flight.clear();
        for (number, change) in self.calls.clone().into_iter().enumerate() {
            for node in 1..=NODES {
                let repeated = under_another_id(&change, number as u64);
                self.repeat_call_and_check(node, &repeated);
                self.repeat_call_and_check(node, &change);
            }
        }
        let maps = self
            .nodes
            .values()
            .map(|node| node.voter.map(CONFIGURATION));
        let newest = maps.max_by_key(|map| map.version).expect("a map").clone();
        self.observer.check_map(&newest);
    }
}

/// Runs one schedule for each seed. Returns all violations, and how many calls were confirmed and rejected.
fn run_schedules(
    seeds: u64,
    highest_version: u64,
    options: &ProposerOptions,
) -> (Vec<String>, usize, usize) {
    let (mut violations, mut confirmed, mut rejected) = (Vec::new(), 0, 0);
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed, highest_version, options.clone());
        simulation.run(1500);
        confirmed += simulation.observer.confirmed_calls.len();
        rejected += simulation.observer.rejections;
        let seed_violations = simulation.observer.violations.iter();
        violations.extend(seed_violations.map(|description| format!("seed {seed}: {description}")));
    }
    (violations, confirmed, rejected)
}

const SEEDS: u64 = 60;

#[test]
fn operator_version_is_confirmed_with_only_one_content() {
    let (violations, confirmed, rejected) = run_schedules(SEEDS, 12, &ProposerOptions::default());
    assert_eq!(violations, Vec::<String>::new());
    assert!(
        confirmed > 500 && rejected > 500,
        "{confirmed} confirmed, {rejected} rejected"
    );
}

#[test]
fn confirmed_call_is_never_rejected_after_its_version_is_forgotten() {
    let (violations, confirmed, rejected) = run_schedules(SEEDS, 200, &ProposerOptions::default());
    assert_eq!(violations, Vec::<String>::new());
    assert!(
        confirmed > 500 && rejected > 50,
        "{confirmed} confirmed, {rejected} rejected"
    );
}

#[test]
fn observer_detects_a_version_confirmed_with_two_contents() {
    let faulty_options = ProposerOptions {
        confirms_taken_versions: true,
        ..ProposerOptions::default()
    };
    let (violations, ..) = run_schedules(SEEDS, 12, &faulty_options);
    assert!(!violations.is_empty());
}
