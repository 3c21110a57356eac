//! Creates the state machines of the nodes' processes.

use std::collections::HashMap;
use std::time::Duration;

use slab::Slab;

use crate::actors::instance::{SimInstance, WarmUp};
use crate::actors::proxy::SimProxy;
use crate::world::nodes::{Node, NodeKind, Process};
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

/// Wall clock of instances at the beginning of the simulation, in Unix milliseconds.
const WALL_START: u64 = 1_800_000_000_000;

impl World {
    /// Creates the state machine of a node's process; returns it with its first outputs.
    pub(super) fn create_process(
        &mut self,
        index: usize,
        seed: u64,
    ) -> (Process, Vec<ControllerOutput>) {
        let node = &self.nodes[index];
        let process = match &node.kind {
            NodeKind::Controller => return self.create_controller(index, seed),
            NodeKind::Agent => Process::Agent(Box::new(self.create_agent(node, seed))),
            NodeKind::Proxy { capacity, .. } => {
                let fault = self.day.proxy_fault;
                let zone = node.zone.clone();
                let mut proxy = SimProxy::new(zone, node.address, *capacity, seed, fault);
                proxy.knowledge.policy.serves_stale = self.day.policy.serves_stale;
                Process::Proxy(Box::new(proxy))
            }
            NodeKind::Directory => Process::Directory(Box::new(self.create_directory(node, seed))),
            NodeKind::Instance {
                service,
                capacity,
                work_time,
                heartbeat_targets,
            } => Process::Instance(Box::new(SimInstance {
                id: InstanceId::new(&node.name),
                service: service.clone(),
                zone: node.zone.clone(),
                address: node.address,
                capacity: *capacity,
                work_time: *work_time,
                slowdown: node.slowdown,
                incarnation: self.new_incarnation(node),
                counter: 0,
                draining: false,
                warm_up: WarmUp::default(),
                deregistration: None,
                held_leases: HeldLeases::default(),
                heartbeat_targets: heartbeat_targets.clone(),
                current_target: 0,
                next_heartbeat: Duration::ZERO,
                heartbeat_sent: HashMap::new(),
                stamps: HashMap::new(),
                work: Slab::new(),
                responses_to_lose: 0,
                malformed_responses_to_send: 0,
                requests_to_reject: 0,
                skips_checks: self.day.instances_skip_checks,
            })),
        };
        (process, Vec::new())
    }

    fn create_controller(&mut self, index: usize, seed: u64) -> (Process, Vec<ControllerOutput>) {
        let node = &self.nodes[index];
        let mut options =
            ControllerOptions::new(node.address, node.zone.clone(), self.seeds.clone())
                .disk_capacity(8 * 1024 * 1024, 64 * 1024)
                .inject(self.day.controller_fault);
        options.core = CorePolicy {
            stamped_heartbeats: !self.day.heartbeats_to_controllers,
            ..self.day.policy.core()
        };
        let (machine, first) = ControllerMachine::start(options, &node.disk.synced, seed);
        self.observers.controller_restarted(machine.node());
        (Process::Controller(Box::new(machine)), first)
    }

    fn create_agent(&self, node: &Node, seed: u64) -> AgentMachine {
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
        machine.break_fallback(self.day.fallback_fault);
        if self.day.agents_ignore_missing_versions {
            machine.ignore_missing_versions();
        }
        machine
    }

    fn create_directory(&self, node: &Node, seed: u64) -> DirectoryMachine {
        let options = DirectoryOptions {
            member_refresh: Duration::ZERO,
            control: node.address,
            serving: node.address,
            zone: node.zone.clone(),
            seeds: self.seeds.clone(),
        };
        DirectoryMachine::start(options, seed)
    }

    /// Returns the incarnation number of a starting instance, which is the wall clock as for real
    /// instances.
    fn new_incarnation(&self, node: &Node) -> Incarnation {
        let usual = WALL_START + self.now.as_millis() as u64;
        Incarnation(usual.saturating_add_signed(node.wall_offset))
    }
}
