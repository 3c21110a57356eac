//! The nodes of the world, and how the scenario creates them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::actors::instance::SimInstance;
use crate::actors::proxy::SimProxy;
use crate::disks::SimDisk;
use crate::world::events::NodeEvent;
use crate::world::World;
use agent::machine::AgentMachine;
use caperworks::identifiers::{ServiceName, Zone};
use controller::state_machine::ControllerMachine;
use directory::machine::DirectoryMachine;
use runtime::scenario::Scenario;

/// The state machine of a node's process.
pub enum Process {
    Controller(Box<ControllerMachine>),
    Agent(Box<AgentMachine>),
    Proxy(Box<SimProxy>),
    Directory(Box<DirectoryMachine>),
    Instance(Box<SimInstance>),
}

/// The kind of a node, with the settings its process starts with.
#[derive(Debug, Clone)]
pub enum NodeKind {
    Controller,
    Agent,
    Proxy {
        agent: usize,
        capacity: u32,
    },
    Directory,
    Instance {
        service: ServiceName,
        capacity: u32,
        work_time: Duration,
        heartbeat_targets: Vec<usize>,
    },
}

/// A machine with one process of the fleet.
pub struct Node {
    pub name: String,
    pub zone: Zone,
    pub address: SocketAddr,
    pub kind: NodeKind,
    pub process: Option<Process>,
    /// Incremented with every start and end, so that events for an earlier incarnation are dropped.
    pub incarnation: u64,
    pub started_at: Duration,
    pub frozen: bool,
    /// The machine has no power, so it resets no connections.
    pub powered_off: bool,
    pub backlog: Vec<NodeEvent>,
    /// Clock drift in parts per million.
    pub clock_rate: i64,
    pub disk: SimDisk,
    pub permanently_lost: bool,
    /// When it froze, and how long this incarnation has been frozen in total.
    pub frozen_at: Duration,
    pub frozen_time: Duration,
    /// Offset of the wall clock in milliseconds.
    pub wall_offset: i64,
    pub slowdown: u32,
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}

/// Maximum number of nodes to which one instance sends heartbeats in turn.
const MAX_HEARTBEAT_TARGETS: usize = 4;
/// Distance between these nodes in the list of all candidates.
const HEARTBEAT_TARGET_STEP: usize = 3;

/// Returns the nodes to which an instance sends heartbeats: a subset of many, or all of a few.
fn heartbeat_targets_of(number: usize, candidates: &[usize]) -> Vec<usize> {
    let step = match candidates.len() > MAX_HEARTBEAT_TARGETS {
        true => HEARTBEAT_TARGET_STEP,
        false => 1,
    };
    (0..candidates.len().min(MAX_HEARTBEAT_TARGETS))
        .map(|offset| candidates[(number + offset * step) % candidates.len()])
        .collect()
}

impl World {
    /// Adds a node whose process is not running yet.
    pub(super) fn add_node(&mut self, name: String, zone: &str, kind: NodeKind) -> usize {
        let index = self.nodes.len();
        let address = address_of(index);
        self.by_address.insert(address, index);
        let clock_rate = self.random.below(8001) as i64 - 4000;
        self.nodes.push(Node {
            name,
            zone: Zone::new(zone),
            address,
            kind,
            process: None,
            incarnation: 0,
            started_at: Duration::ZERO,
            frozen: false,
            powered_off: false,
            backlog: Vec::new(),
            clock_rate,
            disk: SimDisk::default(),
            permanently_lost: false,
            frozen_at: Duration::ZERO,
            frozen_time: Duration::ZERO,
            wall_offset: 0,
            slowdown: 1,
        });
        index
    }

    /// Creates all nodes of the scenario and starts them.
    pub(super) fn create_nodes(&mut self) {
        let scenario = self.scenario.clone();
        let controllers = self.add_controllers(&scenario);
        let agents = self.add_agents_and_proxies(&scenario);
        for (number, zone) in scenario.directories.iter().enumerate() {
            self.add_node(
                format!("directory-{}", number + 1),
                zone,
                NodeKind::Directory,
            );
        }
        let candidates = match self.day.heartbeats_to_controllers {
            true => controllers,
            false => agents,
        };
        self.add_instances(&scenario, &candidates);
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    fn add_controllers(&mut self, scenario: &Scenario) -> Vec<usize> {
        let mut controllers = Vec::new();
        for (number, zone) in scenario.controllers.iter().enumerate() {
            let index = self.add_node(
                format!("controller-{}", number + 1),
                zone,
                NodeKind::Controller,
            );
            controllers.push(index);
            if number < 3 {
                self.seeds.push(address_of(index));
            }
        }
        controllers
    }

    fn add_agents_and_proxies(&mut self, scenario: &Scenario) -> Vec<usize> {
        let mut agents = Vec::new();
        for (zone, _) in &scenario.zones {
            for number in 1..=scenario.proxies_per_zone {
                let agent = self.add_node(format!("agent-{zone}-{number}"), zone, NodeKind::Agent);
                agents.push(agent);
                let kind = NodeKind::Proxy {
                    agent,
                    capacity: scenario.proxy_capacity,
                };
                self.add_node(format!("proxy-{zone}-{number}"), zone, kind);
            }
        }
        agents
    }

    fn add_instances(&mut self, scenario: &Scenario, candidates: &[usize]) {
        for service in &scenario.services {
            for number in 0..service.instances as usize {
                let zone = &scenario.zones[number % scenario.zones.len()].0;
                let kind = NodeKind::Instance {
                    service: ServiceName::new(&service.name),
                    capacity: service.capacity,
                    work_time: Duration::from_millis(service.work_ms),
                    heartbeat_targets: heartbeat_targets_of(number, candidates),
                };
                self.add_node(format!("{}-{}", service.name, number + 1), zone, kind);
            }
        }
    }

    /// Returns the controllers that are running and not frozen.
    pub(super) fn live_controllers(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| matches!(self.nodes[*index].process, Some(Process::Controller(_))))
            .filter(|index| !self.nodes[*index].frozen)
            .collect()
    }
}
