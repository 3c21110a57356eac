//! The state machines that the nodes' processes start with.

use std::collections::HashMap;
use std::time::Duration;

use slab::Slab;

use crate::actors::instance::SimInstance;
use crate::actors::proxy::SimProxy;
use crate::world::nodes::{Body, Kind, Node};
use crate::world::World;
use agent::machine::{AgentMachine, AgentOptions};
use caperworks::identifiers::{Incarnation, InstanceId};
use caperworks::instances::INSTANCE_TIMEOUT;
use caperworks::leases::LEASE_DURATION;
use caperworks::ownership::HeldLeases;
use caperworks::policy::CorePolicy;
use controller::state::options::ControllerOptions;
use controller::state_machine::output::ControllerOutput;
use controller::state_machine::ControllerMachine;
use directory::machine::{DirectoryMachine, DirectoryOptions};

/// What instances' wall clocks showed when the world began, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;

impl World {
    /// The state machine that a node's process starts with, and what it wants done first.
    pub(super) fn body_of(&mut self, index: usize, seed: u64) -> (Body, Vec<ControllerOutput>) {
        let node = &self.nodes[index];
        let body = match &node.kind {
            Kind::Controller => return self.controller_of(index, seed),
            Kind::Agent => Body::Agent(Box::new(self.agent_of(node, seed))),
            Kind::Proxy { capacity, .. } => {
                let broken = self.day.broken_proxy;
                let zone = node.zone.clone();
                let mut proxy = SimProxy::new(zone, node.address, *capacity, seed, broken);
                proxy.knowledge.policy.serves_stale = self.day.policy.serves_stale;
                Body::Proxy(Box::new(proxy))
            }
            Kind::Directory => Body::Directory(Box::new(self.directory_of(node, seed))),
            Kind::Instance {
                service,
                capacity,
                work_span,
                heard_by,
            } => Body::Instance(Box::new(SimInstance {
                id: InstanceId::new(&node.name),
                service: service.clone(),
                zone: node.zone.clone(),
                address: node.address,
                capacity: *capacity,
                work_span: *work_span,
                slowness: node.slowness,
                incarnation: self.incarnation_of(node),
                counter: 0,
                draining: false,
                held_leases: HeldLeases::default(),
                heard_by: heard_by.clone(),
                turn: 0,
                next_heartbeat: Duration::ZERO,
                heartbeat_sent: HashMap::new(),
                stamps: HashMap::new(),
                unheard: 0,
                work: Slab::new(),
                loses_responses: 0,
                sends_garbage: 0,
                refuses: 0,
                skips_checks: self.day.careless_instances,
            })),
        };
        (body, Vec::new())
    }

    fn controller_of(&mut self, index: usize, seed: u64) -> (Body, Vec<ControllerOutput>) {
        let node = &self.nodes[index];
        let mut options =
            ControllerOptions::new(node.address, node.zone.clone(), self.seeds.clone())
                .disk_capacity(8 * 1024 * 1024, 64 * 1024)
                .inject(self.day.broken_controller);
        options.core = CorePolicy {
            stamped_heartbeats: !self.day.heartbeats_to_controllers,
            ..self.day.policy.core()
        };
        let (machine, first) = ControllerMachine::start(options, &node.disk.synced, seed);
        self.observers.controller_back(machine.node());
        (Body::Controller(Box::new(machine)), first)
    }

    fn agent_of(&self, node: &Node, seed: u64) -> AgentMachine {
        let options = AgentOptions {
            feed_form: self.day.policy.core().agents_feed_form(),
            proxy_serves_stale: self.day.policy.serves_stale,
            instance_timeout: INSTANCE_TIMEOUT,
            lease_duration: LEASE_DURATION,
            heartbeat_refresh: Duration::ZERO,
            demand_report_interval: Duration::ZERO,
            control: node.address,
            zone: node.zone.clone(),
            seeds: self.seeds.clone(),
        };
        let mut machine = AgentMachine::start(options, seed);
        machine.break_fallback(self.day.broken_fallback);
        if self.day.careless_agents {
            machine.ignore_missing_versions();
        }
        machine
    }

    fn directory_of(&self, node: &Node, seed: u64) -> DirectoryMachine {
        let options = DirectoryOptions {
            member_refresh: Duration::ZERO,
            control: node.address,
            serving: node.address,
            zone: node.zone.clone(),
            seeds: self.seeds.clone(),
        };
        DirectoryMachine::start(options, seed)
    }

    /// The number of an instance's new life.
    ///
    /// Why by the wall clock: that is what real instances number their lives by.
    fn incarnation_of(&self, node: &Node) -> Incarnation {
        let usual = WALL_START + self.now.as_millis() as u64;
        Incarnation(usual.saturating_add_signed(node.wall_offset))
    }
}
