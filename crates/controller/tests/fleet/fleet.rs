//! A simulated fleet of complete controllers, with calls of instances and operators.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::controllers::{address, apply_write, policy, STEP};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{ChangeId, Incarnation, InstanceId, ServiceName, Zone};
use caperworks::map_items::{KeySpace, Service, Value};
use caperworks::messages::Envelope;
use caperworks::ownership::HeartbeatResponse;
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::{Change, Put, Written};
use caperworks::slots::DiskImage;
use controller::fault_injection::FaultInjection;
use controller::leadership::ownership;
use controller::state::options::ControllerOptions;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use controller::state_machine::output::ControllerOutput;
use controller::state_machine::ControllerMachine;

pub struct SimulatedNode {
    pub machine: Option<ControllerMachine>,
    pub image: DiskImage,
    /// Whether the disk hangs: writes are accepted and never carried out.
    pub disk_hangs: bool,
    /// The ticket of the last write since the last start, which also is the number of these writes.
    pub last_write: u64,
    pub core: CorePolicy,
}

/// Controllers in one process. The test delivers the messages, and writes are synced immediately.
pub struct Fleet {
    pub nodes: Vec<SimulatedNode>,
    pub now: Duration,
    pub wire: VecDeque<(SocketAddr, Envelope)>,
    /// Messages of distant controllers on their way, each with the time of its arrival.
    pub delayed: VecDeque<(Duration, SocketAddr, Envelope)>,
    /// Controllers in another region: messages between them and all others take this long.
    pub distant: BTreeMap<usize, Duration>,
    /// Messages to addresses that do not belong to a controller.
    pub to_followers: Vec<(SocketAddr, Envelope)>,
    /// Controllers that are partitioned from all others.
    pub partitioned: BTreeSet<usize>,
    pub responses: BTreeMap<u64, OperatorResponse>,
    pub founded: u32,
    pub events: Vec<(usize, Event)>,
    /// Controllers whose graceful shutdown is complete.
    pub stopped: BTreeSet<usize>,
    pub last_seed: u64,
    pub last_ticket: u64,
    pub fault: FaultInjection,
}

impl Fleet {
    pub fn new(policies: [CorePolicy; 3], seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Duration::ZERO,
            wire: VecDeque::new(),
            delayed: VecDeque::new(),
            distant: BTreeMap::new(),
            to_followers: Vec::new(),
            partitioned: BTreeSet::new(),
            responses: BTreeMap::new(),
            founded: 0,
            events: Vec::new(),
            stopped: BTreeSet::new(),
            last_seed: seed * 1000,
            last_ticket: 0,
            fault: FaultInjection::None,
        };
        for (index, core) in policies.into_iter().enumerate() {
            fleet.nodes.push(SimulatedNode {
                machine: None,
                image: DiskImage::default(),
                disk_hangs: false,
                last_write: 0,
                core,
            });
            fleet.start(index);
        }
        fleet
    }

    /// Returns a fleet that has founded its membership and is current.
    pub fn founded(seed: u64) -> Self {
        Self::founded_with_fault(seed, FaultInjection::None)
    }

    /// Returns a founded fleet in which a fault is injected.
    pub fn founded_with_fault(seed: u64, fault: FaultInjection) -> Self {
        let mut fleet = Self::new([policy(), policy(), policy()], seed);
        fleet.fault = fault;
        for index in 0..3 {
            fleet.start(index);
        }
        fleet.run(Duration::from_secs(8));
        assert_eq!(fleet.founded, 1);
        fleet
    }

    /// Starts a controller from the contents of its disk.
    pub fn start(&mut self, index: usize) {
        self.last_seed += 1;
        let seeds = (0..3).map(address).collect();
        let zone = Zone::new(format!("zone-{index}"));
        let options = ControllerOptions::new(address(index), zone, seeds)
            .disk_capacity(1 << 20, 1 << 16)
            .core(self.nodes[index].core.clone())
            .inject(self.fault);
        let image = self.nodes[index].image.clone();
        let (machine, outputs) = ControllerMachine::start(options, &image, self.last_seed);
        self.nodes[index].machine = Some(machine);
        self.carry_out(index, outputs);
    }

    /// Starts a controller with an empty disk at a new address, and returns its index.
    pub fn add_controller(&mut self, core: CorePolicy) -> usize {
        self.nodes.push(SimulatedNode {
            machine: None,
            image: DiskImage::default(),
            disk_hangs: false,
            last_write: 0,
            core: CorePolicy {
                may_bootstrap: false,
                ..core
            },
        });
        let index = self.nodes.len() - 1;
        self.start(index);
        index
    }

    /// Stops a controller by power loss, and wipes its disk if requested.
    pub fn stop(&mut self, index: usize, wiped: bool) {
        self.nodes[index].machine = None;
        if wiped {
            self.nodes[index].image = DiskImage::default();
            // Only the very first start may found a membership.
            self.nodes[index].core.may_bootstrap = false;
        }
    }

    pub fn carry_out(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                ControllerOutput::Send { to, message } => {
                    let machine = self.nodes[index]
                        .machine
                        .as_ref()
                        .expect("the controller is running");
                    self.wire.push_back((to, machine.seal(to, message)));
                }
                ControllerOutput::Write { ticket, writes } => {
                    self.nodes[index].last_write = ticket;
                    if self.nodes[index].disk_hangs {
                        continue;
                    }
                    for write in &writes {
                        apply_write(&mut self.nodes[index].image, write);
                    }
                    outputs.extend(self.input(index, ControllerInput::WriteSynced { ticket }));
                }
                ControllerOutput::Respond { ticket, response } => {
                    self.responses.insert(ticket, response);
                }
                ControllerOutput::LogEvent { event } => {
                    self.founded += u32::from(event == Event::Founded);
                    self.events.push((index, event));
                }
                ControllerOutput::ShutdownComplete => {
                    self.stopped.insert(index);
                }
            }
        }
    }

    /// Returns the ticket of a controller's last write, which also is the number of its writes.
    pub fn last_write_ticket(&self, index: usize) -> u64 {
        self.nodes[index].last_write
    }

    pub fn input(&mut self, index: usize, input: ControllerInput) -> Vec<ControllerOutput> {
        let now = self.now;
        let machine = self.nodes[index].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.input(now, input))
    }

    pub fn handle_input(&mut self, index: usize, input: ControllerInput) {
        let outputs = self.input(index, input);
        self.carry_out(index, outputs);
        self.deliver();
    }

    /// Returns the index of the controller at an address.
    fn index_at(&self, at: SocketAddr) -> Option<usize> {
        (0..self.nodes.len()).find(|index| address(*index) == at)
    }

    pub fn deliver(&mut self) {
        while let Some((to, envelope)) = self.wire.pop_front() {
            let from = self.index_at(envelope.reply_to);
            let Some(index) = self.index_at(to) else {
                self.to_followers.push((to, envelope));
                continue;
            };
            let is_own = from == Some(index);
            let delay_of = |index: usize| self.distant.get(&index).copied();
            let delay = delay_of(index).max(from.and_then(delay_of));
            match delay.filter(|_| !is_own) {
                Some(delay) => self.delayed.push_back((self.now + delay, to, envelope)),
                None => self.receive(index, envelope),
            }
        }
    }

    /// Delivers the messages of distant controllers that have arrived.
    fn deliver_delayed(&mut self) {
        let now = self.now;
        while let Some((_, to, envelope)) = self.delayed.pop_front_if(|(at, _, _)| *at <= now) {
            if let Some(index) = self.index_at(to) {
                self.receive(index, envelope);
            }
        }
        self.deliver();
    }

    /// Passes a message to a controller unless it or the sender is partitioned.
    fn receive(&mut self, index: usize, envelope: Envelope) {
        let from = self.index_at(envelope.reply_to);
        let is_own = from == Some(index);
        let is_partitioned = self.partitioned.contains(&index)
            || from.is_some_and(|from| self.partitioned.contains(&from));
        if is_partitioned && !is_own {
            return;
        }
        let outputs = self.input(index, ControllerInput::MessageReceived { envelope });
        self.carry_out(index, outputs);
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.deliver_delayed();
            for index in 0..self.nodes.len() {
                self.handle_input(index, ControllerInput::Tick);
            }
        }
    }

    pub fn call(&mut self, index: usize, call: OperatorCall) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let received_at = self.now;
        self.handle_input(
            index,
            ControllerInput::OperatorCall {
                ticket,
                call,
                received_at,
            },
        );
        ticket
    }

    pub fn proposal_outcome(&self, ticket: u64) -> Option<&ProposalOutcome> {
        match self.responses.get(&ticket)? {
            OperatorResponse::ProposalOutcome { proposal_outcome } => Some(proposal_outcome),
            other => panic!("{other:?} is not a proposal outcome"),
        }
    }

    pub fn read(&mut self, index: usize) -> OperatorResponse {
        let ticket = self.call(index, OperatorCall::Read);
        self.responses[&ticket].clone()
    }

    pub fn instance_ids(&mut self, index: usize) -> Vec<String> {
        let ticket = self.call(index, OperatorCall::Status);
        match &self.responses[&ticket] {
            OperatorResponse::Status { status } => status
                .instances
                .iter()
                .map(|heartbeat| heartbeat.id.to_string())
                .collect(),
            other => panic!("{other:?} is not a status"),
        }
    }

    pub fn send_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let echo = None;
        self.handle_input(
            index,
            ControllerInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            },
        );
        ticket
    }

    /// Deregisters an instance at a controller.
    pub fn deregister(&mut self, index: usize, id: &InstanceId) {
        self.last_ticket += 1;
        let (ticket, id) = (self.last_ticket, id.clone());
        self.handle_input(
            index,
            ControllerInput::DeregistrationReceived { ticket, id },
        );
    }

    pub fn heartbeat_response(&self, ticket: u64) -> Option<&HeartbeatResponse> {
        match self.responses.get(&ticket)? {
            OperatorResponse::Heartbeat { response } => Some(&response.response),
            other => panic!("{other:?} is not a response to a heartbeat"),
        }
    }

    pub fn owner_manager(&self) -> usize {
        let state = &self.nodes[0]
            .machine
            .as_ref()
            .expect("the controller is running")
            .state;
        let owner_manager =
            ownership::owner_manager_address(state).expect("the ownership role has a leader");
        (0..3)
            .find(|index| address(*index) == owner_manager)
            .expect("the leader is one of the controllers")
    }
}

pub fn service_put(name: &str, version: u64, value: Option<Service>) -> Put {
    Put {
        key: format!("pool/{name}"),
        expected: None,
        value: value.map(|service| Value::Service { service }),
        written: Some(Written {
            version,
            text: String::new(),
        }),
    }
}

pub fn service() -> Service {
    Service {
        keyed: true,
        key_ranges: 8,
        instance_cap: 4,
        key_cap: 4,
        slow_start_rate_milli: u32::MAX,
        key_space: KeySpace::Ranges,
        ..Service::default()
    }
}

pub fn apply(id: &str, puts: Vec<Put>) -> OperatorCall {
    let change = Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    };
    OperatorCall::Apply { change }
}

pub fn heartbeat(id: &str, counter: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(id),
        incarnation: Incarnation(0),
        counter,
        service: ServiceName::new("records"),
        zone: Zone::new("zone-0"),
        address: SocketAddr::from(([127, 0, 0, 2], 8000)),
        capacity: 4,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}
