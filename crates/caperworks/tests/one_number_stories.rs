//! Stories of two operators who pick the same version: random schedules over real voters and
//! proposers, with lost messages and answers, repeats elsewhere, restarts and snapshots.

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
const KEYS: [&str; 3] = ["pool/a", "pool/b", "pool/c"];
const CONFIGURATION: MapName = MapName::Configuration;

fn voters_change() -> Change {
    let holders = (1..=NODES)
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
                voters: VoterSet { holders },
            }),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// A put of one operator: a service, or its removal.
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

/// The same puts are the same change wherever they are sent, as on the operators' platform.
fn call(puts: Vec<Put>) -> Change {
    let bytes = minicbor::to_vec(&puts).expect("puts encode");
    Change {
        id: ChangeId::new(format!("call-{:x}", stable_hash_of(&bytes))),
        puts,
        guards: Vec::new(),
    }
}

/// The same call after the map has forgotten its id.
fn under_another_id(change: &Change, number: u64) -> Change {
    Change {
        id: ChangeId::new(format!("{}-late-{number}", change.id)),
        ..change.clone()
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ReportedOutcome {
    Confirmed,
    Refused,
    Unclear,
}

fn reported(outcome: &ProposalOutcome) -> ReportedOutcome {
    match outcome {
        ProposalOutcome::Accepted(_) | ProposalOutcome::Repeat(_) => ReportedOutcome::Confirmed,
        ProposalOutcome::NoMajority
        | ProposalOutcome::TooFewAgents
        | ProposalOutcome::VersionsForgotten(_)
        | ProposalOutcome::Unknown => ReportedOutcome::Unclear,
        _ => ReportedOutcome::Refused,
    }
}

/// Sees every answer that a node gives, also those that are lost on their way.
#[derive(Default)]
struct Observer {
    /// The contents confirmed under each version of each item.
    confirmed: BTreeMap<(String, u64), (Option<Value>, String)>,
    confirmed_calls: Vec<Change>,
    refusals: usize,
    /// The newest answer.
    last: Option<(ChangeId, ReportedOutcome)>,
    breaches: Vec<String>,
}

impl Observer {
    fn answered(&mut self, change: &Change, outcome: &ProposalOutcome) {
        let reported = reported(outcome);
        self.last = Some((change.id.clone(), reported));
        match reported {
            ReportedOutcome::Confirmed => self.confirmed(change),
            ReportedOutcome::Refused => {
                self.refusals += 1;
                if self.has_confirmed(change) {
                    let what = format!("{} was confirmed and then told {outcome:?}", change.id);
                    self.breaches.push(what);
                }
            }
            ReportedOutcome::Unclear => {}
        }
    }

    fn confirmed(&mut self, change: &Change) {
        for put in &change.puts {
            let written = put.written.clone().expect("a version");
            let item_key = (put.key.clone(), written.version);
            let contents = (put.value.clone(), written.text);
            let first = self
                .confirmed
                .entry(item_key.clone())
                .or_insert_with(|| contents.clone());
            if *first != contents {
                let what = format!("{item_key:?}: {} and {} confirmed", first.1, contents.1);
                self.breaches.push(what);
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

    /// What stands is at least the newest that was confirmed, and has its contents.
    fn read_back(&mut self, map: &ReplicatedMap) {
        for key in KEYS {
            let of_key = |item_key: &&(String, u64)| item_key.0 == key;
            let Some(newest) = self.confirmed.keys().filter(of_key).max() else {
                continue;
            };
            let standing = map.items.get(key).and_then(|item| item.written.as_ref());
            let Some(standing) = standing else {
                self.breaches.push(format!("{newest:?} is missing"));
                continue;
            };
            let contents = self.confirmed.get(&(key.to_string(), standing.version));
            let other = contents.is_some_and(|(_, text)| *text != standing.text);
            if standing.version < newest.1 || other {
                let what = format!("{standing:?} stands, {newest:?} was confirmed");
                self.breaches.push(what);
            }
        }
    }
}

/// One controller: its machines, and what it has synced to its disk.
struct Node {
    voter: Voter,
    proposer: Proposer,
    slot: Vec<u8>,
    log: Vec<Vec<u8>>,
}

impl Node {
    fn started(number: u64, voter: Voter, options: &ProposerOptions) -> Self {
        let slot = minicbor::to_vec(voter.replicas().to_vec()).expect("copies encode");
        let proposer = Proposer::new(CONFIGURATION, NodeId(number), options.clone());
        Self {
            voter,
            proposer,
            slot,
            log: Vec::new(),
        }
    }

    /// Syncs what the voter wants kept.
    fn keep(&mut self, outcome: &VoterOutcome) {
        for record in &outcome.records {
            self.log
                .push(minicbor::to_vec(record).expect("a record encodes"));
        }
        if outcome.rewrite {
            self.slot = minicbor::to_vec(self.voter.replicas().to_vec()).expect("copies encode");
            self.log.clear();
        }
    }

    fn recovered(&self) -> Voter {
        let replicas: Vec<Replica> = minicbor::decode(&self.slot).expect("a slot decodes");
        let mut voter = Voter::restored(replicas);
        for line in &self.log {
            voter.replay(minicbor::decode(line).expect("a line decodes"));
        }
        voter
    }
}

/// Three nodes, two operators, and everything that may go wrong between them.
struct World {
    chance: RandomSource,
    now: Duration,
    options: ProposerOptions,
    nodes: BTreeMap<u64, Node>,
    on_the_way: Vec<(u64, u64, ConsensusMessage)>,
    calls: Vec<Change>,
    waiting: BTreeMap<u64, Change>,
    next_ticket: u64,
    highest_version: u64,
    observer: Observer,
}

impl World {
    fn new(seed: u64, highest_version: u64, options: ProposerOptions) -> Self {
        let mut nodes = BTreeMap::new();
        for number in 1..=NODES {
            let mut voter = Voter::default();
            voter.handle(ConsensusMessage::Commit {
                map: MapName::Membership,
                version: Version(1),
                change: voters_change(),
            });
            nodes.insert(number, Node::started(number, voter, &options));
        }
        Self {
            chance: RandomSource::seeded(seed),
            now: Duration::ZERO,
            options,
            nodes,
            on_the_way: Vec::new(),
            calls: Vec::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            highest_version,
            observer: Observer::default(),
        }
    }

    fn any_node(&mut self) -> u64 {
        1 + self.chance.below(NODES)
    }

    fn send(&mut self, node: u64, change: Change) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.waiting.insert(ticket, change.clone());
        let proposer = &mut self.nodes.get_mut(&node).expect("a node").proposer;
        proposer.propose(self.now, ticket, change);
    }

    /// A new call of one or two items; the operators write different contents.
    fn new_call(&mut self) {
        let operator = ["left", "right"][self.chance.below(2) as usize];
        let count = 1 + self.chance.below(2) as usize;
        let first = self.chance.below(3) as usize;
        let puts = (first..first + count)
            .map(|item_key| {
                let version = 1 + self.chance.below(self.highest_version);
                let contents = format!("{operator} {}", self.chance.below(2));
                let drops = self.chance.below(6) == 0;
                let contents = (!drops).then_some(contents.as_str());
                put(KEYS[item_key % 3], version, contents)
            })
            .collect();
        let change = call(puts);
        self.calls.push(change.clone());
        let node = self.any_node();
        self.send(node, change);
    }

    /// An old call comes again: its answer was lost, or it lay somewhere for long.
    fn repeat_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let item_key = self.chance.below(self.calls.len() as u64) as usize;
        let change = match self.chance.below(3) {
            0 => under_another_id(&self.calls[item_key], self.next_ticket),
            _ => self.calls[item_key].clone(),
        };
        let node = self.any_node();
        self.send(node, change);
    }

    fn act(&mut self, from: u64, outcome: ProposerOutcome) {
        for (ticket, proposal_outcome) in outcome.proposal_outcomes {
            if let Some(change) = self.waiting.remove(&ticket) {
                self.observer.answered(&change, &proposal_outcome);
            }
        }
        for vote in outcome.to_voters {
            for to in 1..=NODES {
                self.on_the_way.push((from, to, vote.clone()));
            }
        }
        for (to, vote) in outcome.to_one {
            self.on_the_way.push((from, to.0, vote));
        }
    }

    fn tick(&mut self, number: u64) {
        self.now += Duration::from_millis(10 + self.chance.below(90));
        let node = self.nodes.get_mut(&number).expect("a node");
        if self.chance.below(4) == 0 {
            node.proposer.finish();
        }
        let outcome = node.proposer.tick(self.now, &node.voter, &mut self.chance);
        self.act(number, outcome);
    }

    fn deliver(&mut self, from: u64, to: u64, message: ConsensusMessage) {
        let now = self.now;
        let node = self.nodes.get_mut(&to).expect("a node");
        let more = node
            .proposer
            .handle(now, NodeId(from), &message, &node.voter);
        let outcome = node.voter.handle(message);
        node.keep(&outcome);
        for reply in outcome.replies {
            self.on_the_way.push((to, from, reply));
        }
        self.act(to, more);
    }

    fn deliver_any(&mut self) {
        if self.on_the_way.is_empty() {
            return;
        }
        let item_key = self.chance.below(self.on_the_way.len() as u64) as usize;
        let (from, to, message) = match self.chance.below(20) {
            // A message may come twice.
            0 => self.on_the_way[item_key].clone(),
            _ => self.on_the_way.swap_remove(item_key),
        };
        if self.chance.below(12) > 0 {
            self.deliver(from, to, message);
        }
    }

    /// The process starts again from what was synced; whoever waited for it gets no answer.
    fn restart(&mut self, number: u64) {
        let voter = self.nodes[&number].recovered();
        let node = Node::started(number, voter, &self.options);
        self.nodes.insert(number, node);
    }

    /// One node hands its whole map to another, as to one that is far behind.
    fn snapshot(&mut self) {
        let (from, to) = (self.any_node(), self.any_node());
        let bytes = minicbor::to_vec(self.nodes[&from].voter.map(CONFIGURATION));
        let full_map = minicbor::decode(&bytes.expect("a map encodes")).expect("it decodes");
        let message = ConsensusMessage::Snapshot {
            map: CONFIGURATION,
            full_map,
        };
        self.deliver(from, to, message);
    }

    fn step(&mut self) {
        match self.chance.below(100) {
            0..=1 => self.new_call(),
            2..=3 => self.repeat_call(),
            4 if self.chance.below(3) == 0 => {
                let node = self.any_node();
                self.restart(node);
            }
            5 => self.snapshot(),
            6..=30 => {
                let node = self.any_node();
                self.tick(node);
            }
            _ => self.deliver_any(),
        }
    }

    /// Nothing is lost any more: one call is carried to its end.
    fn settled(&mut self, number: u64, change: &Change) -> ReportedOutcome {
        self.send(number, change.clone());
        let ticket = self.next_ticket;
        for _ in 0..400 {
            self.tick(number);
            while let Some((from, to, message)) = self.on_the_way.pop() {
                self.deliver(from, to, message);
            }
            if !self.waiting.contains_key(&ticket) {
                break;
            }
        }
        match self.observer.last.take() {
            Some((id, reported)) if id == change.id => reported,
            _ => ReportedOutcome::Unclear,
        }
    }

    /// A call comes once more: if it was confirmed before, it must be again.
    fn comes_again(&mut self, number: u64, change: &Change) {
        let before = self.observer.has_confirmed(change);
        let reported = self.settled(number, change);
        let remembered = self.highest_version <= REMEMBERED_VERSIONS as u64;
        if before && remembered && reported != ReportedOutcome::Confirmed {
            let what = format!("{} was confirmed and is told {reported:?}", change.id);
            self.observer.breaches.push(what);
        }
    }

    /// Plays a schedule, and then lets every call come once more at every node.
    fn play(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
        self.on_the_way.clear();
        for (number, change) in self.calls.clone().into_iter().enumerate() {
            for node in 1..=NODES {
                let late = under_another_id(&change, number as u64);
                self.comes_again(node, &late);
                self.comes_again(node, &change);
            }
        }
        let maps = self
            .nodes
            .values()
            .map(|node| node.voter.map(CONFIGURATION));
        let newest = maps.max_by_key(|map| map.version).expect("a map").clone();
        self.observer.read_back(&newest);
    }
}

/// All breaches over some seeds, and how many calls were confirmed and refused.
fn played(seeds: u64, highest: u64, options: &ProposerOptions) -> (Vec<String>, usize, usize) {
    let (mut breaches, mut confirmed, mut refused) = (Vec::new(), 0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed, highest, options.clone());
        world.play(1500);
        confirmed += world.observer.confirmed_calls.len();
        refused += world.observer.refusals;
        let of_seed = world.observer.breaches.iter();
        breaches.extend(of_seed.map(|what| format!("seed {seed}: {what}")));
    }
    (breaches, confirmed, refused)
}

const SEEDS: u64 = 60;

#[test]
fn given_two_operators_with_one_number_when_anything_is_lost_then_one_content_is_ever_confirmed() {
    let (breaches, confirmed, refused) = played(SEEDS, 12, &ProposerOptions::default());
    assert_eq!(breaches, Vec::<String>::new());
    assert!(confirmed > 500 && refused > 500, "{confirmed}, {refused}");
}

#[test]
fn given_more_versions_than_are_remembered_when_anything_is_lost_then_nothing_confirmed_is_refused()
{
    let (breaches, confirmed, refused) = played(SEEDS, 200, &ProposerOptions::default());
    assert_eq!(breaches, Vec::<String>::new());
    assert!(confirmed > 500 && refused > 50, "{confirmed}, {refused}");
}

#[test]
fn given_taken_versions_that_are_confirmed_when_two_operators_race_then_the_observer_sees_it() {
    let broken = ProposerOptions {
        confirms_taken_versions: true,
        ..ProposerOptions::default()
    };
    let (breaches, ..) = played(SEEDS, 12, &broken);
    assert!(!breaches.is_empty());
}
