//! Owners of key ranges that announce their termination and serve on: for how long a proxy sees them.

use std::net::SocketAddr;
use std::time::Duration;

use agent::machine::{AgentInput, AgentMachine, AgentOptions, AgentOutput};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{
    stable_hash, ChangeId, Epoch, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::leases::LEASE_DURATION;
use caperworks::map_items::{KeyRangeOwner, KeyRangeTable, Value};
use caperworks::messages::{Envelope, Granted, Message, Pull};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, ALL_MAPS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn heartbeat(id: &str, counter: u64, state: InstanceState) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(id),
        incarnation: Incarnation(0),
        counter,
        service: ServiceName::new("records"),
        zone: Zone::new("e1"),
        address: address(8000 + (stable_hash(id) % 1000) as u16),
        capacity: 4,
        state,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

/// Returns an ownership map in which these instances own a key range each.
fn ownership(owners: &[&str]) -> ReplicatedMap {
    let owner = |id: &&str| {
        Some(KeyRangeOwner {
            instance: InstanceId::new(*id),
            incarnation: Incarnation(0),
            epoch: Epoch(1),
            handover: None,
        })
    };
    let table = KeyRangeTable {
        epoch: Epoch(1),
        owners: owners.iter().map(owner).collect(),
    };
    let put = Put {
        key: "slices/records".to_string(),
        expected: None,
        value: Some(Value::KeyRanges { table }),
        written: None,
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&Change {
        id: ChangeId::new("owners"),
        puts: vec![put],
        guards: Vec::new(),
    });
    map
}

/// An agent that follows a controller, which the test simulates.
struct Fixture {
    machine: AgentMachine,
}

impl Fixture {
    fn new(owners: &[&str]) -> Self {
        let options = AgentOptions {
            heartbeat_refresh: Duration::ZERO,
            demand_report_interval: Duration::ZERO,
            control: address(6500),
            zone: Zone::new("e1"),
            seeds: vec![address(6000)],
            feed_form: FeedForm::Complete,
            proxy_serves_stale: true,
            instance_timeout: millis(4000),
            lease_duration: LEASE_DURATION,
        };
        let mut fixture = Self {
            machine: AgentMachine::start(options, 1),
        };
        let updates = vec![ConsensusMessage::Snapshot {
            map: MapName::Ownership,
            full_map: ownership(owners),
        }];
        fixture.grant(Duration::ZERO, updates, Vec::new(), Vec::new());
        fixture
    }

    fn receive(&mut self, now: Duration, message: Message) -> Vec<AgentOutput> {
        let envelope = Envelope {
            from: NodeId(1),
            reply_to: address(6000),
            message,
            stamp: None,
            echo: None,
            is_bidirectional: true,
        };
        self.machine.input(now, AgentInput::Received { envelope })
    }

    /// The controller responds to a renewal that the agent sends now.
    fn grant(
        &mut self,
        now: Duration,
        updates: Vec<ConsensusMessage>,
        heartbeats: Vec<Heartbeat>,
        deregistered: Vec<InstanceId>,
    ) {
        let outputs = self.machine.input(now, AgentInput::Tick);
        let number = outputs.iter().find_map(|output| match output {
            AgentOutput::Send {
                message: Message::Renew { renewal },
                ..
            } => Some(renewal.number),
            _ => None,
        });
        let received = |heartbeat| ReceivedHeartbeat {
            heartbeat,
            age: Duration::ZERO,
        };
        let granted = Granted {
            number: number.expect("a renewal is due"),
            quorum_read_age: Duration::ZERO,
            versions: vec![Version(0); ALL_MAPS.len()],
            instances: heartbeats.into_iter().map(received).collect(),
            instances_offset: 0,
            members: Vec::new(),
            members_offset: 0,
            updates,
            has_quorum: true,
            deregistered,
            proxies: 1,
            in_chunks: Vec::new(),
            more: false,
            position: None,
            collecting_left: None,
        };
        self.receive(now, Message::Grant { granted });
    }

    /// Returns the state of an instance in the view that a polling proxy receives, if it is listed.
    fn listed_state(&mut self, now: Duration, id: &str) -> Option<InstanceState> {
        let pull = Pull {
            agent: NodeId(0),
            instances_offset: 0,
            number: now.as_millis() as u64,
            configuration: Version(0),
            ownership: Version(0),
            serving: address(6600),
            ready: true,
            capacity: 1,
            demand: Vec::new(),
            incarnation: 1,
            usage: Vec::new(),
        };
        let outputs = self.receive(now, Message::Pull { pull });
        let view = outputs.into_iter().find_map(|output| match output {
            AgentOutput::Send {
                message: Message::View { view },
                ..
            } => Some(view),
            _ => None,
        });
        let view = view.expect("a polling proxy receives a view");
        let mut listed = view.instances.iter();
        let found = listed.find(|heartbeat| heartbeat.id.as_str() == id);
        found.map(|heartbeat| heartbeat.state)
    }

    /// The instance sends a heartbeat in this state, and announces its termination a second later.
    fn terminate(&mut self, id: &str, state: InstanceState) {
        let last = heartbeat(id, 1, state);
        self.grant(millis(1000), Vec::new(), vec![last], Vec::new());
        assert_eq!(self.listed_state(millis(1000), id), Some(state));
        let deregistered = vec![InstanceId::new(id)];
        self.grant(millis(2000), Vec::new(), Vec::new(), deregistered);
    }
}

/// Guards against refused requests for the keys of an owner that announced its termination and serves on.
#[test]
fn owner_that_terminates_without_draining_is_listed_as_draining_for_five_seconds() {
    let mut fixture = Fixture::new(&["one", "two"]);
    fixture.terminate("one", InstanceState::Serving);
    let draining = Some(InstanceState::Draining);
    assert_eq!(fixture.listed_state(millis(2000), "one"), draining);
    assert_eq!(fixture.listed_state(millis(6900), "one"), draining);
    assert_eq!(fixture.listed_state(millis(7000), "one"), None);
}

#[test]
fn owner_that_drained_is_not_listed_after_its_termination() {
    let mut fixture = Fixture::new(&["one", "two"]);
    fixture.terminate("one", InstanceState::Draining);
    assert_eq!(fixture.listed_state(millis(2000), "one"), None);
}

#[test]
fn instance_without_key_ranges_is_not_listed_after_its_termination() {
    let mut fixture = Fixture::new(&["two"]);
    fixture.terminate("one", InstanceState::Serving);
    assert_eq!(fixture.listed_state(millis(2000), "one"), None);
}

#[test]
fn owner_is_not_listed_once_another_instance_has_its_address() {
    let mut fixture = Fixture::new(&["one", "two"]);
    fixture.terminate("one", InstanceState::Serving);
    let mut next = heartbeat("three", 1, InstanceState::Serving);
    next.address = heartbeat("one", 1, InstanceState::Serving).address;
    fixture.grant(millis(3000), Vec::new(), vec![next], Vec::new());
    assert_eq!(fixture.listed_state(millis(3000), "one"), None);
}
