//! The world: virtual time, the nodes, and everything that travels between them.

use crate::connections::Connections;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use crate::day::{Day, FaultStep};
use crate::network::Network;
use crate::observers::Observers;
use crate::world::events::{Due, HeartbeatTicket};
use crate::world::nodes::Node;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::{ChangeId, RandomSource, Region, Version, Zone};
use caperworks::replicated_map::Change;
use runtime::scenario::Scenario;

mod agents;
mod bodies;
mod clients;
mod clocks;
mod controllers;
mod directories;
pub mod events;
mod faults;
mod instances;
mod lifecycle;
mod messages;
pub mod nodes;
mod observation;
mod operators;
mod proxies;
mod schedule;
mod segments;
mod targets;
mod touch;

/// How often each node's state machine is told the time.
const TICK: Duration = Duration::from_millis(25);
/// How often an operator reads the configuration.
const READ_PERIOD: Duration = Duration::from_millis(700);
/// How often the observers are shown what nodes hold.
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);

/// A fleet, its clients and operators, and the observers.
pub struct World {
    pub now: Duration,
    pub chance: RandomSource,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub observers: Observers,
    pub day: Day,
    pub scenario: Scenario,
    pub regions: BTreeMap<Zone, Region>,
    pub by_address: HashMap<SocketAddr, usize>,
    /// What is due, by time and turn; the slab holds what it is.
    ///
    /// Why apart: the heap moves its entries about all the time, and these are small.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    due: Slab<Due>,
    queued: u64,
    next_request: u64,
    tickets: HashMap<(usize, u64), HeartbeatTicket>,
    /// When each proxy was last out of touch with the core.
    out_of_touch_at: HashMap<usize, Duration>,
    /// When each follower's path to the core was last closed.
    path_closed_at: HashMap<usize, Duration>,
    next_ticket: u64,
    operator_calls: HashMap<u64, Change>,
    proposal_outcomes: HashMap<ChangeId, ProposalOutcome>,
    next_call: u64,
    known_versions: HashMap<String, Version>,
    /// Change sets that were answered, so that operators can send old ones again.
    answered_calls: Vec<Change>,
    /// Reads under way, and when they were asked for.
    reads: HashMap<u64, Duration>,
    /// Faults that wait for the next yes.
    on_yes: Vec<FaultStep>,
    /// The controller that said the last yes.
    answering: Option<usize>,
    /// The kind of traffic with a hot key, and how many requests a second want it.
    hot: Option<(usize, u32)>,
    surge_percent: u64,
    seeds: Vec<SocketAddr>,
}

/// The tickets of heartbeats begin here.
///
/// Why so high: controllers are called by operators as well, under tickets of their own.
const FIRST_HEARTBEAT_TICKET: u64 = 1 << 32;

impl World {
    /// The world of a scenario at the beginning of a day.
    pub fn new(scenario: Scenario, day: Day, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            chance: RandomSource::seeded(seed),
            nodes: Vec::new(),
            network: Network {
                same_zone: Duration::from_micros(200),
                same_region: Duration::from_millis(1),
                other_region: scenario.region_distance / 2,
                loss_per_thousand: day.loss_per_thousand,
                cuts: Vec::new(),
                deaf: BTreeSet::new(),
                parted: BTreeSet::new(),
                http_faults: Vec::new(),
                narrow_links: BTreeMap::new(),
                connections: Connections::new(day.opening),
            },
            observers: Observers::default(),
            regions: scenario
                .zones
                .iter()
                .map(|(zone, region)| (Zone::new(zone), Region::new(region)))
                .collect(),
            day,
            scenario,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            due: Slab::new(),
            queued: 0,
            next_request: 0,
            tickets: HashMap::new(),
            out_of_touch_at: HashMap::new(),
            path_closed_at: HashMap::new(),
            next_ticket: FIRST_HEARTBEAT_TICKET,
            operator_calls: HashMap::new(),
            proposal_outcomes: HashMap::new(),
            next_call: 0,
            known_versions: HashMap::new(),
            answered_calls: Vec::new(),
            reads: HashMap::new(),
            on_yes: Vec::new(),
            answering: None,
            hot: None,
            surge_percent: 100,
            seeds: Vec::new(),
        };
        world.lay_out();
        world.plan();
        world
    }
}
