//! Whole controllers in one process, with what instances and operators ask of them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::controllers::{address, lay, policy, STEP};
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
    /// Writes are taken in and never carried out.
    pub disk_hangs: bool,
    pub core: CorePolicy,
}

/// Controllers in one process: messages are carried by hand, writes are synced at once.
pub struct Fleet {
    pub nodes: Vec<SimulatedNode>,
    pub now: Duration,
    pub wire: VecDeque<(SocketAddr, Envelope)>,
    /// What was sent to addresses that are no controller's.
    pub to_followers: Vec<(SocketAddr, Envelope)>,
    /// Places that nothing comes to and nothing leaves.
    pub cut: BTreeSet<usize>,
    pub responses: BTreeMap<u64, OperatorResponse>,
    pub founded: u32,
    pub events: Vec<(usize, Event)>,
    /// Places whose polite stop is done.
    pub stopped: BTreeSet<usize>,
    pub seeds_drawn: u64,
    pub tickets: u64,
    pub broken: FaultInjection,
}

impl Fleet {
    pub fn new(policies: [CorePolicy; 3], seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: Duration::ZERO,
            wire: VecDeque::new(),
            to_followers: Vec::new(),
            cut: BTreeSet::new(),
            responses: BTreeMap::new(),
            founded: 0,
            events: Vec::new(),
            stopped: BTreeSet::new(),
            seeds_drawn: seed * 1000,
            tickets: 0,
            broken: FaultInjection::None,
        };
        for (index, core) in policies.into_iter().enumerate() {
            fleet.nodes.push(SimulatedNode {
                machine: None,
                image: DiskImage::default(),
                disk_hangs: false,
                core,
            });
            fleet.starts(index);
        }
        fleet
    }

    /// A fleet that founded itself and vouches for what it knows.
    pub fn founded(seed: u64) -> Self {
        Self::founded_without(seed, FaultInjection::None)
    }

    /// The same, with a safeguard left out.
    pub fn founded_without(seed: u64, broken: FaultInjection) -> Self {
        let mut fleet = Self::new([policy(), policy(), policy()], seed);
        fleet.broken = broken;
        for index in 0..3 {
            fleet.starts(index);
        }
        fleet.runs(Duration::from_secs(8));
        assert_eq!(fleet.founded, 1);
        fleet
    }

    /// Starts from what lies on the place's disk.
    pub fn starts(&mut self, index: usize) {
        self.seeds_drawn += 1;
        let seeds = (0..3).map(address).collect();
        let zone = Zone::new(format!("zone-{index}"));
        let options = ControllerOptions::new(address(index), zone, seeds)
            .disk_capacity(1 << 20, 1 << 16)
            .core(self.nodes[index].core.clone())
            .inject(self.broken);
        let image = self.nodes[index].image.clone();
        let (machine, outputs) = ControllerMachine::start(options, &image, self.seeds_drawn);
        self.nodes[index].machine = Some(machine);
        self.acts(index, outputs);
    }

    /// Starts a controller with an empty disk at an address of its own.
    pub fn adds(&mut self, core: CorePolicy) -> usize {
        self.nodes.push(SimulatedNode {
            machine: None,
            image: DiskImage::default(),
            disk_hangs: false,
            core: CorePolicy {
                may_bootstrap: false,
                ..core
            },
        });
        let index = self.nodes.len() - 1;
        self.starts(index);
        index
    }

    /// Power is lost; with the disk or without it.
    pub fn stops(&mut self, index: usize, wiped: bool) {
        self.nodes[index].machine = None;
        if wiped {
            self.nodes[index].image = DiskImage::default();
            // Why: only the very first start may found.
            self.nodes[index].core.may_bootstrap = false;
        }
    }

    pub fn acts(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                ControllerOutput::Send { to, message } => {
                    let machine = self.nodes[index].machine.as_ref().expect("it runs");
                    self.wire.push_back((to, machine.seal(to, message)));
                }
                ControllerOutput::Write { ticket, writes } => {
                    if self.nodes[index].disk_hangs {
                        continue;
                    }
                    for write in &writes {
                        lay(&mut self.nodes[index].image, write);
                    }
                    outputs.extend(self.takes(index, ControllerInput::WriteSynced { ticket }));
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

    pub fn takes(&mut self, index: usize, input: ControllerInput) -> Vec<ControllerOutput> {
        let now = self.now;
        let machine = self.nodes[index].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.input(now, input))
    }

    pub fn inputs(&mut self, index: usize, input: ControllerInput) {
        let outputs = self.takes(index, input);
        self.acts(index, outputs);
        self.carries();
    }

    pub fn carries(&mut self) {
        while let Some((to, envelope)) = self.wire.pop_front() {
            let nodes = self.nodes.len();
            let index = (0..nodes).find(|index| address(*index) == to);
            let from = (0..nodes).find(|index| address(*index) == envelope.reply_to);
            let Some(index) = index else {
                self.to_followers.push((to, envelope));
                continue;
            };
            let own = from == Some(index);
            let is_cut =
                self.cut.contains(&index) || from.is_some_and(|from| self.cut.contains(&from));
            if is_cut && !own {
                continue;
            }
            let outputs = self.takes(index, ControllerInput::MessageReceived { envelope });
            self.acts(index, outputs);
        }
    }

    pub fn runs(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                self.inputs(index, ControllerInput::Tick);
            }
        }
    }

    pub fn calls(&mut self, index: usize, call: OperatorCall) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let received_at = self.now;
        self.inputs(
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
            other => panic!("{other:?} is no verdict"),
        }
    }

    pub fn reads(&mut self, index: usize) -> OperatorResponse {
        let ticket = self.calls(index, OperatorCall::Read);
        self.responses[&ticket].clone()
    }

    pub fn instances(&mut self, index: usize) -> Vec<String> {
        let ticket = self.calls(index, OperatorCall::Status);
        match &self.responses[&ticket] {
            OperatorResponse::Status { status } => status
                .instances
                .iter()
                .map(|heartbeat| heartbeat.id.to_string())
                .collect(),
            other => panic!("{other:?} is no status"),
        }
    }

    pub fn heartbeats(&mut self, index: usize, heartbeat: Heartbeat) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let echo = None;
        self.inputs(
            index,
            ControllerInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            },
        );
        ticket
    }

    /// An instance tells a controller that its life is over.
    pub fn ends(&mut self, index: usize, id: &InstanceId) {
        self.tickets += 1;
        let (ticket, id) = (self.tickets, id.clone());
        self.inputs(index, ControllerInput::InstanceEnded { ticket, id });
    }

    pub fn heartbeat_response(&self, ticket: u64) -> Option<&HeartbeatResponse> {
        match self.responses.get(&ticket)? {
            OperatorResponse::Heartbeat { response } => Some(&response.response),
            other => panic!("{other:?} is no answer to a beat"),
        }
    }

    pub fn owner_manager(&self) -> usize {
        let state = &self.nodes[0].machine.as_ref().expect("it runs").state;
        let owner_manager =
            ownership::owner_manager_address(state).expect("someone has the leadership role");
        (0..3)
            .find(|index| address(*index) == owner_manager)
            .expect("it is one of us")
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
        up: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}
