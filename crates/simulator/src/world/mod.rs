//! The simulated world: virtual time, the nodes, and all messages between them.

use crate::connections::Connections;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use crate::day::{Day, FaultStep};
use crate::network::Network;
use crate::observers::Observers;
use crate::world::events::{DeregistrationTicket, HeartbeatTicket, ScheduledEvent};
use crate::world::nodes::Node;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::{ChangeId, RandomSource, Region, Version, Zone};
use caperworks::replicated_map::Change;
use runtime::scenario::Scenario;

mod agents;
mod clients;
mod clocks;
mod controllers;
mod deregistrations;
mod directories;
pub mod events;
mod faults;
mod instances;
mod lifecycle;
mod messages;
pub mod nodes;
mod observation;
mod operators;
mod processes;
mod proxies;
mod reachability;
mod schedule;
mod segments;
mod targets;

/// Interval of the tick event that each state machine receives.
const TICK: Duration = Duration::from_millis(25);
/// How often an operator reads the configuration.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// How often the observers inspect the nodes' state.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// A fleet with its clients, operators and observers.
pub struct World {
    pub now: Duration,
    pub random: RandomSource,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub observers: Observers,
    pub day: Day,
    pub scenario: Scenario,
    pub regions: BTreeMap<Zone, Region>,
    pub by_address: HashMap<SocketAddr, usize>,
    /// Scheduled events by time and sequence number, with the index of the event in the slab.
    ///
    /// The events are kept apart because the heap moves its entries often; these are small.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    scheduled: Slab<ScheduledEvent>,
    scheduled_count: u64,
    next_request: u64,
    heartbeat_tickets: HashMap<(usize, u64), HeartbeatTicket>,
    deregistration_tickets: HashMap<(usize, u64), DeregistrationTicket>,
    /// When each proxy was last disconnected from the controllers.
    disconnected_at: HashMap<usize, Duration>,
    /// When each follower's connection to the controllers was last down.
    path_lost_at: HashMap<usize, Duration>,
    next_ticket: u64,
    operator_calls: HashMap<u64, Change>,
    proposal_outcomes: HashMap<ChangeId, ProposalOutcome>,
    next_call: u64,
    known_versions: HashMap<String, Version>,
    /// Change sets that were completed, so that operators can send old ones again.
    completed_changes: Vec<Change>,
    /// Pending reads, and when they were requested.
    pending_reads: HashMap<u64, Duration>,
    /// Faults that wait for the next accepted change or acknowledged deregistration.
    waiting_faults: Vec<FaultStep>,
    /// The controller that reported the last accepted change.
    last_accepting_controller: Option<usize>,
    /// The kind of traffic with a hot key, and its additional requests per second.
    hot_key: Option<(usize, u32)>,
    surge_percent: u64,
    seeds: Vec<SocketAddr>,
}

/// First ticket number of heartbeats.
///
/// It is high because operators' calls to controllers use tickets of their own, which count up from
/// 1.
const FIRST_HEARTBEAT_TICKET: u64 = 1 << 32;

impl World {
    /// Creates the world of a scenario at the beginning of a day.
    pub fn new(scenario: Scenario, day: Day, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            random: RandomSource::seeded(seed),
            nodes: Vec::new(),
            network: Network {
                same_zone: Duration::from_micros(200),
                same_region: Duration::from_millis(1),
                other_region: scenario.region_distance / 2,
                loss_per_thousand: day.loss_per_thousand,
                partitions: Vec::new(),
                inbound_consensus_blocked: BTreeSet::new(),
                isolated_voters: BTreeSet::new(),
                message_faults: Vec::new(),
                limited_links: BTreeMap::new(),
                connections: Connections::new(day.connection_model),
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
            scheduled: Slab::new(),
            scheduled_count: 0,
            next_request: 0,
            heartbeat_tickets: HashMap::new(),
            deregistration_tickets: HashMap::new(),
            disconnected_at: HashMap::new(),
            path_lost_at: HashMap::new(),
            next_ticket: FIRST_HEARTBEAT_TICKET,
            operator_calls: HashMap::new(),
            proposal_outcomes: HashMap::new(),
            next_call: 0,
            known_versions: HashMap::new(),
            completed_changes: Vec::new(),
            pending_reads: HashMap::new(),
            waiting_faults: Vec::new(),
            last_accepting_controller: None,
            hot_key: None,
            surge_percent: 100,
            seeds: Vec::new(),
        };
        world.create_nodes();
        world.schedule_day();
        world
    }
}
