//! Facts about instances that a witness confirms to a controller, and reports in quorum reads. A witness counts for
//! the majority that an acknowledgement needs, so that it does not wait for one controller that is away.

use std::net::SocketAddr;
use std::time::Duration;

use agent::machine::{AgentInput, AgentMachine, AgentOptions, AgentOutput};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::deregistrations::{DeregistrationDigest, DEREGISTRATION_RETENTION};
use caperworks::envelope_clock::EnvelopeClock;
use caperworks::identifiers::{ChangeId, InstanceId, NodeId, Version, Zone};
use caperworks::leases::LEASE_DURATION;
use caperworks::map_items::{Value, VoterEntry, VoterSet};
use caperworks::messages::{Granted, Message};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, ALL_MAPS, VOTERS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// An agent, and the controller that it exchanges messages with.
struct Fixture {
    agent: AgentMachine,
    controller: EnvelopeClock,
    now: Duration,
}

impl Fixture {
    fn new() -> Self {
        let options = AgentOptions {
            heartbeat_refresh: Duration::ZERO,
            demand_report_interval: Duration::ZERO,
            control: address(6500),
            zone: Zone::new("e1"),
            seeds: vec![address(6000)],
            feed_form: FeedForm::Complete,
            proxy_serves_stale: false,
            instance_timeout: millis(4000),
            lease_duration: LEASE_DURATION,
        };
        Self {
            agent: AgentMachine::start(options, 1),
            controller: EnvelopeClock::new(NodeId(1)),
            now: millis(100),
        }
    }

    /// Lets the controller receive the agent's next message, so that each knows the other's clock.
    fn exchange_stamps(&mut self) {
        let outputs = self.agent.input(self.now, AgentInput::Tick);
        for output in outputs {
            if let AgentOutput::Send { to, message } = output {
                let envelope = self.agent.seal(self.now, to, message);
                self.controller.open(self.now, &envelope);
            }
        }
    }

    /// Sends the agent a message, and returns its responses.
    fn send(&mut self, message: Message) -> Vec<Message> {
        let envelope = self
            .controller
            .seal(self.now, address(6000), address(6500), message);
        let outputs = self
            .agent
            .input(self.now, AgentInput::Received { envelope });
        let sent = outputs.into_iter().filter_map(|output| match output {
            AgentOutput::Send { message, .. } => Some(message),
            _ => None,
        });
        sent.collect()
    }

    /// Makes the agent a witness by a membership that lists it.
    fn make_witness(&mut self) {
        let granted = Granted {
            updates: vec![ConsensusMessage::Snapshot {
                map: MapName::Membership,
                full_map: membership_with(self.agent.node()),
            }],
            ..empty_grant(0)
        };
        self.send(Message::Grant { granted });
    }

    fn confirm_deregistration(&mut self) -> Vec<Message> {
        self.send(Message::ConfirmFact {
            number: 7,
            heartbeat: None,
            ended: Some(InstanceId::new("one")),
        })
    }

    /// Returns the deregistrations that the agent reports in a quorum read.
    fn reported(&mut self, known: Option<DeregistrationDigest>) -> Option<Vec<String>> {
        let responses = self.send(Message::QuorumReadRequest {
            number: 8,
            deregistrations: known,
        });
        match responses.as_slice() {
            [Message::QuorumReadResponse {
                deregistrations, ..
            }] => {
                let reports = deregistrations.as_ref()?;
                Some(reports.iter().map(|report| report.id.to_string()).collect())
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Returns the response to a renewal of a controller that reports nothing.
fn empty_grant(number: u64) -> Granted {
    Granted {
        proxies: 1,
        number,
        quorum_read_age: Duration::ZERO,
        versions: vec![Version(0); ALL_MAPS.len()],
        instances: Vec::new(),
        instances_offset: 0,
        members: Vec::new(),
        members_offset: 0,
        updates: Vec::new(),
        has_quorum: true,
        deregistered: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
        position: None,
        collecting_left: None,
    }
}

fn membership_with(node: NodeId) -> ReplicatedMap {
    let voters = VoterSet {
        entries: vec![VoterEntry {
            node,
            address: address(6500),
            zone: Zone::new("e1"),
            controller: false,
        }],
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&Change {
        id: ChangeId::new("founding"),
        puts: vec![Put {
            key: VOTERS.to_string(),
            expected: None,
            value: Some(Value::VoterSet { voters }),
            written: None,
        }],
        guards: Vec::new(),
    });
    map
}

#[test]
fn witness_confirms_a_deregistration_in_memory_and_reports_it_in_quorum_reads() {
    let mut fixture = Fixture::new();
    fixture.exchange_stamps();
    fixture.make_witness();
    assert_eq!(fixture.reported(None), None);
    let confirmation = Message::FactConfirmed {
        number: 7,
        synced: None,
    };
    assert_eq!(fixture.confirm_deregistration(), [confirmation]);
    let id = InstanceId::new("one");
    assert!(fixture.agent.link().instances.has_deregistered(&id));
    assert_eq!(fixture.reported(None), Some(vec!["one".to_string()]));
    let digest = fixture.agent.link().instances.deregistrations().digest();
    assert_eq!(fixture.reported(Some(digest)), None, "it is known there");
    // It has an end.
    fixture.now += DEREGISTRATION_RETENTION;
    fixture.agent.input(fixture.now, AgentInput::Tick);
    assert_eq!(fixture.reported(None), None);
}

#[test]
fn agent_without_a_vote_confirms_nothing() {
    let mut fixture = Fixture::new();
    fixture.exchange_stamps();
    assert_eq!(fixture.confirm_deregistration(), []);
}

/// A request of unknown age may have waited in a socket for long.
#[test]
fn witness_confirms_no_request_of_unknown_age() {
    let mut fixture = Fixture::new();
    fixture.make_witness();
    assert_eq!(fixture.confirm_deregistration(), []);
}

/// What a witness learns by grants has no age, so it must not report it: the controllers would never forget it.
#[test]
fn witness_does_not_report_what_it_learned_by_grants() {
    let mut fixture = Fixture::new();
    fixture.exchange_stamps();
    fixture.make_witness();
    let outputs = fixture.agent.input(millis(500), AgentInput::Tick);
    let number = outputs.iter().find_map(|output| match output {
        AgentOutput::Send {
            message: Message::Renew { renewal },
            ..
        } => Some(renewal.number),
        _ => None,
    });
    fixture.now = millis(520);
    let granted = Granted {
        deregistered: vec![InstanceId::new("two")],
        ..empty_grant(number.expect("a renewal"))
    };
    fixture.send(Message::Grant { granted });
    let id = InstanceId::new("two");
    assert!(fixture.agent.link().instances.has_deregistered(&id));
    assert_eq!(fixture.reported(None), None);
}
