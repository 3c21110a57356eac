//! Tests of the agent: when instances expire, when the link counts as slow, and which maps it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agent::machine::{AgentEvent, AgentInput, AgentMachine, AgentOptions, AgentOutput};
use caperworks::catch_up::{TransferPosition, CHUNK_BYTES};
use caperworks::consensus::messages::{ConsensusMessage, ProposalNumber};
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{
    stable_hash, ChangeId, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::leases::LEASE_DURATION;
use caperworks::link::SLOW_LINK_WINDOW;
use caperworks::map_items::{Route, Value, VoterEntry, VoterSet};
use caperworks::messages::{Envelope, Granted, Message, ProxyView, Pull};
use caperworks::partition_fallback::FallbackRequest;
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, ALL_MAPS};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn heartbeat(id: &str, counter: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(id),
        incarnation: Incarnation(0),
        counter,
        service: ServiceName::new("records"),
        zone: Zone::new("e1"),
        address: address(8000 + (stable_hash(id) % 1000) as u16),
        capacity: 4,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

/// How the controllers respond to the agent.
#[derive(Clone, Copy, PartialEq)]
enum Controllers {
    Responding,
    /// They respond, but without a quorum.
    WithoutQuorum,
    Unresponsive,
}

/// An agent, and a controller that the test simulates.
struct AgentFixture {
    machine: AgentMachine,
    last_heartbeats: BTreeMap<String, (Duration, u64)>,
    deregistered: Vec<InstanceId>,
    expired: Vec<(Duration, String)>,
}

const INSTANCE_TIMEOUT: Duration = Duration::from_millis(4000);

impl AgentFixture {
    fn new(proxy_serves_stale: bool) -> Self {
        let options = AgentOptions {
            heartbeat_refresh: Duration::ZERO,
            demand_report_interval: Duration::ZERO,
            control: address(6500),
            zone: Zone::new("e1"),
            seeds: vec![address(6000), address(6001)],
            feed_form: FeedForm::Complete,
            proxy_serves_stale,
            instance_timeout: INSTANCE_TIMEOUT,
            lease_duration: LEASE_DURATION,
        };
        Self {
            machine: AgentMachine::start(options, 1),
            last_heartbeats: BTreeMap::new(),
            deregistered: Vec::new(),
            expired: Vec::new(),
        }
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

    fn tick(&mut self, now: Duration, controllers: Controllers) {
        let mut outputs = self.machine.input(now, AgentInput::Tick);
        let renewals: Vec<u64> = outputs
            .iter()
            .filter_map(|output| match output {
                AgentOutput::Send {
                    message: Message::Renew { renewal },
                    ..
                } => Some(renewal.number),
                _ => None,
            })
            .collect();
        for number in renewals
            .into_iter()
            .filter(|_| controllers != Controllers::Unresponsive)
        {
            let instances =
                self.last_heartbeats
                    .iter()
                    .map(|(id, (at, counter))| ReceivedHeartbeat {
                        heartbeat: heartbeat(id, *counter),
                        age: now.saturating_sub(*at),
                    });
            let granted = Granted {
                proxies: 1,
                number,
                quorum_read_age: Duration::ZERO,
                versions: vec![Version(0); ALL_MAPS.len()],
                instances: instances.collect(),
                instances_offset: 0,
                members: Vec::new(),
                members_offset: 0,
                updates: Vec::new(),
                has_quorum: controllers == Controllers::Responding,
                deregistered: self.deregistered.clone(),
                in_chunks: Vec::new(),
                more: false,
                position: None,
                collecting_left: None,
            };
            outputs.extend(self.receive(now, Message::Grant { granted }));
        }
        for output in outputs {
            if let AgentOutput::LogEvent {
                event: AgentEvent::InstanceSuspected { id },
            } = output
            {
                self.expired.push((now, id.to_string()));
            }
        }
    }

    /// Lets time pass while the controllers receive heartbeats of these instances twice a second.
    fn run(&mut self, from: u64, to: u64, controllers: Controllers, heartbeating: &[&str]) {
        for at_ms in (from..to).step_by(25) {
            if at_ms % 500 == 0 {
                for name in heartbeating {
                    self.last_heartbeats
                        .insert((*name).to_string(), (millis(at_ms), at_ms));
                }
            }
            self.tick(millis(at_ms), controllers);
        }
    }

    fn known_instances(&mut self, now: Duration) -> Vec<String> {
        let view = self.view(now);
        let known_instances = view.instances.iter();
        known_instances
            .map(|heartbeat| heartbeat.id.to_string())
            .collect()
    }

    /// Returns the view that a polling proxy receives.
    fn view(&mut self, now: Duration) -> ProxyView {
        self.view_for_incarnation(now, 1)
    }

    /// Returns the view that an incarnation of a polling proxy receives.
    fn view_for_incarnation(&mut self, now: Duration, incarnation: u64) -> ProxyView {
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
            incarnation,
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
        view.expect("a polling proxy receives a view")
    }
}

#[test]
fn no_instance_expires_while_controllers_are_unreachable_and_the_proxy_serves_stale() {
    for controllers in [Controllers::Unresponsive, Controllers::WithoutQuorum] {
        let mut fixture = AgentFixture::new(true);
        fixture.run(0, 6000, Controllers::Responding, &["one", "two"]);
        assert_eq!(fixture.known_instances(millis(6000)), ["one", "two"]);
        fixture.run(6000, 120_000, controllers, &[]);
        assert_eq!(fixture.expired, []);
        assert_eq!(fixture.known_instances(millis(120_000)), ["one", "two"]);
    }
}

#[test]
fn instances_expire_while_controllers_are_unreachable_if_the_proxy_does_not_serve_stale() {
    let mut fixture = AgentFixture::new(false);
    fixture.run(0, 6000, Controllers::Responding, &["one"]);
    fixture.run(6000, 20_000, Controllers::Unresponsive, &[]);
    let (at, _) = fixture.expired[0];
    assert!(
        at >= millis(5500) + INSTANCE_TIMEOUT
            && at <= millis(5500) + INSTANCE_TIMEOUT + millis(100)
    );
}

#[test]
fn instances_expire_a_full_timeout_after_controllers_are_reachable_again() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one", "two"]);
    fixture.run(6000, 40_000, Controllers::Unresponsive, &[]);
    fixture.run(40_000, 60_000, Controllers::Responding, &["two"]);
    let names: Vec<&str> = fixture
        .expired
        .iter()
        .map(|(_, name)| name.as_str())
        .collect();
    assert_eq!(names, ["one"]);
    let (at, _) = fixture.expired[0];
    assert!(
        at >= millis(40_000) + INSTANCE_TIMEOUT,
        "it expired too early, at {at:?}"
    );
    assert!(
        at <= millis(40_000) + INSTANCE_TIMEOUT + millis(1000),
        "it expired at {at:?}"
    );
}

#[test]
fn no_instance_expires_while_controllers_are_reachable_only_briefly() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one"]);
    for cycle in 0..20 {
        let start = 6000 + cycle * 5000;
        fixture.run(start, start + 2000, Controllers::Unresponsive, &[]);
        fixture.run(start + 2000, start + 5000, Controllers::Responding, &[]);
    }
    assert_eq!(fixture.expired, []);
}

#[test]
fn link_with_prompt_responses_is_not_slow_when_controllers_stop_responding() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one"]);
    assert_eq!(
        fixture.view(millis(6000)).slow_link_remaining,
        Duration::ZERO
    );
    fixture.run(6000, 9000, Controllers::Unresponsive, &[]);
    let stale = fixture.view(millis(9000));
    assert_eq!(stale.left, Duration::ZERO);
    assert_eq!(stale.slow_link_remaining, Duration::ZERO);
}

/// Returns the response of a controller with a quorum to a renewal that was sent long ago.
fn grant_for_an_old_renewal() -> Granted {
    Granted {
        proxies: 1,
        number: 1,
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

#[test]
fn response_too_late_for_its_lease_marks_the_link_as_slow() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one"]);
    fixture.run(6000, 9500, Controllers::Unresponsive, &[]);
    fixture.receive(
        millis(9500),
        Message::Grant {
            granted: grant_for_an_old_renewal(),
        },
    );
    let view = fixture.view(millis(9500));
    assert_eq!(view.left, Duration::ZERO);
    assert_eq!(view.slow_link_remaining, SLOW_LINK_WINDOW);
    let partitioned_at = millis(9500) + SLOW_LINK_WINDOW;
    assert_eq!(
        fixture.view(partitioned_at).slow_link_remaining,
        Duration::ZERO
    );
}

#[test]
fn prompt_response_marks_the_link_as_no_longer_slow() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one"]);
    fixture.receive(
        millis(6000),
        Message::Grant {
            granted: grant_for_an_old_renewal(),
        },
    );
    assert_eq!(
        fixture.view(millis(6000)).slow_link_remaining,
        SLOW_LINK_WINDOW
    );
    fixture.run(6000, 6500, Controllers::Responding, &[]);
    assert_eq!(
        fixture.view(millis(6500)).slow_link_remaining,
        Duration::ZERO
    );
}

#[test]
fn instance_without_heartbeats_expires_while_controllers_are_reachable() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 6000, Controllers::Responding, &["one", "two"]);
    fixture.run(6000, 12_000, Controllers::Responding, &["two"]);
    let (at, name) = fixture.expired[0].clone();
    assert_eq!((name.as_str(), fixture.expired.len()), ("one", 1));
    assert!(
        at >= millis(5500) + INSTANCE_TIMEOUT
            && at <= millis(5500) + INSTANCE_TIMEOUT + millis(500)
    );
}

#[test]
fn late_heartbeats_do_not_revive_a_deregistered_instance() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 2000, Controllers::Responding, &["one", "two"]);
    fixture.deregistered.push(InstanceId::new("one"));
    fixture.run(2000, 3000, Controllers::Responding, &["two"]);
    assert_eq!(fixture.known_instances(millis(3000)), ["two"]);
    // A heartbeat that is sent directly to the agent, with a valid stamp, does not revive it either.
    let send = |fixture: &mut AgentFixture, now: u64, echo: Option<Echo>| {
        let input = AgentInput::Heartbeat {
            ticket: now,
            heartbeat: heartbeat("one", 90_000 + now),
            echo,
        };
        fixture.machine.input(millis(now), input)
    };
    let outputs = send(&mut fixture, 3000, None);
    let stamp = outputs.iter().find_map(|output| match output {
        AgentOutput::RespondToHeartbeat {
            response: Some(dated),
            ..
        } => Some(dated.stamp),
        _ => None,
    });
    let held = Duration::ZERO;
    let echo = stamp.map(|stamp| Echo { stamp, held });
    assert!(echo.is_some(), "another heartbeat is requested");
    send(&mut fixture, 3010, echo);
    assert_eq!(fixture.known_instances(millis(3020)), ["two"]);
    fixture.deregistered.clear();
    fixture.run(3025, 9000, Controllers::Responding, &["one", "two"]);
    assert_eq!(
        fixture.known_instances(millis(9000)),
        ["two"],
        "a heartbeat reported by a controller does not revive it"
    );
}

/// Returns a map of routes that takes many chunks.
fn large_map() -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    let puts = (0..3000).map(|number| Put {
        key: format!("rule/{number}"),
        expected: None,
        value: Some(Value::Route {
            route: Route {
                host: format!("host-{number}.example"),
                path: format!("/{number}"),
                ..Route::default()
            },
        }),
        written: None,
    });
    map.apply(&Change {
        id: ChangeId::new("many"),
        puts: puts.collect(),
        guards: Vec::new(),
    });
    map
}

/// Returns a membership in which this agent is a voter.
fn membership_with(agent: NodeId) -> ReplicatedMap {
    let holder = VoterEntry {
        node: agent,
        address: address(6500),
        zone: Zone::new("e1"),
        controller: false,
    };
    let entries = vec![holder];
    let mut map = ReplicatedMap::empty();
    map.apply(&Change {
        id: ChangeId::new("seats"),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: None,
            value: Some(Value::VoterSet {
                voters: VoterSet { entries },
            }),
            written: None,
        }],
        guards: Vec::new(),
    });
    map
}

/// Returns the agent's responses to a consensus message.
fn voter_responses(fixture: &mut AgentFixture, message: ConsensusMessage) -> Vec<ConsensusMessage> {
    let outputs = fixture.receive(millis(100), Message::ConsensusMessage { message });
    let votes = outputs.into_iter().filter_map(|output| match output {
        AgentOutput::Send {
            message: Message::ConsensusMessage { message },
            ..
        } => Some(message),
        _ => None,
    });
    votes.collect()
}

/// Sends the agent a grant with these updates.
fn apply_updates(fixture: &mut AgentFixture, updates: Vec<ConsensusMessage>) {
    let granted = Granted {
        proxies: 1,
        number: 0,
        quorum_read_age: Duration::ZERO,
        versions: vec![Version(0); ALL_MAPS.len()],
        instances: Vec::new(),
        instances_offset: 0,
        members: Vec::new(),
        members_offset: 0,
        updates,
        has_quorum: true,
        deregistered: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
        position: None,
        collecting_left: None,
    };
    fixture.receive(millis(50), Message::Grant { granted });
}

fn full_map(map: MapName, full_map: ReplicatedMap) -> ConsensusMessage {
    ConsensusMessage::Snapshot { map, full_map }
}

/// Returns the number of full maps in these updates.
fn full_maps(updates: &[ConsensusMessage]) -> usize {
    let is_complete =
        |updates: &&ConsensusMessage| matches!(updates, ConsensusMessage::Snapshot { .. });
    updates.iter().filter(is_complete).count()
}

#[test]
fn polling_proxy_gets_a_full_map_at_limited_intervals() {
    let mut fixture = AgentFixture::new(true);
    apply_updates(
        &mut fixture,
        vec![full_map(MapName::Configuration, large_map())],
    );
    let reported = |fixture: &mut AgentFixture, step: u64| {
        let view = fixture.view(millis(1000 + step * 50));
        full_maps(&view.updates)
    };
    let sent: usize = (0..60).map(|step| reported(&mut fixture, step)).sum();
    assert_eq!(sent, 10, "once in 300 ms over three seconds");
    let view = fixture.view_for_incarnation(millis(3960), 2);
    assert_eq!(full_maps(&view.updates), 1, "a new incarnation at once");
}

#[test]
fn polling_agent_gets_a_full_map_once_a_second() {
    let mut fixture = AgentFixture::new(true);
    apply_updates(
        &mut fixture,
        vec![full_map(MapName::Configuration, large_map())],
    );
    let mut sent = 0;
    for step in 0..50 {
        let request = FallbackRequest {
            number: step,
            versions: vec![Version(0); ALL_MAPS.len()],
            heartbeats: Vec::new(),
        };
        let outputs = fixture.receive(
            millis(1000 + step * 100),
            Message::FallbackRequest { request },
        );
        for output in outputs {
            if let AgentOutput::Send {
                message: Message::FallbackResponse { response },
                ..
            } = output
            {
                sent += full_maps(&response.updates);
            }
        }
    }
    assert_eq!(sent, 5);
}

#[test]
fn witness_sends_chunks_and_no_snapshot_to_a_controller_that_is_behind() {
    let mut fixture = AgentFixture::new(true);
    let node = fixture.machine.node();
    let updates = vec![
        full_map(MapName::Membership, membership_with(node)),
        full_map(MapName::Configuration, large_map()),
    ];
    apply_updates(&mut fixture, updates);
    let map = MapName::Configuration;
    let mut offset = 0;
    let mut total = u64::MAX;
    while offset < total {
        let position = TransferPosition {
            transfer: 7,
            version: Version(u64::from(offset > 0)),
            offset,
            ..TransferPosition::default()
        };
        let poll = ConsensusMessage::CatchUp {
            map,
            after: Version(0),
            position: Some(position),
        };
        let responses = voter_responses(&mut fixture, poll);
        let [ConsensusMessage::Chunk { chunk }] = responses.as_slice() else {
            panic!("{responses:?}");
        };
        assert_eq!((chunk.offset, chunk.transfer), (offset, 7));
        offset += chunk.bytes.len() as u64;
        total = chunk.total;
    }
    assert!(total > 2 * CHUNK_BYTES as u64, "{total} bytes");
    // It responds to a rejected proposal with the rejection, and with no snapshot that was not requested.
    let rejected = ConsensusMessage::Prepare {
        map,
        membership: Version(1),
        version: Version(1),
        proposal_number: ProposalNumber { counter: 1, node },
    };
    let responses = voter_responses(&mut fixture, rejected);
    assert!(
        matches!(responses.as_slice(), [ConsensusMessage::Reject { .. }]),
        "{responses:?}"
    );
}

#[test]
fn witness_with_reduced_maps_counts_them_as_missing() {
    let mut fixture = AgentFixture::new(true);
    let node = fixture.machine.node();
    let updates = vec![
        full_map(MapName::Membership, membership_with(node)),
        full_map(MapName::Configuration, large_map().reduced()),
    ];
    apply_updates(&mut fixture, updates);
    let map = MapName::Configuration;
    let poll = ConsensusMessage::CatchUp {
        map,
        after: Version(0),
        position: Some(TransferPosition::default()),
    };
    let responses = voter_responses(&mut fixture, poll);
    let nothing = ConsensusMessage::updates(FeedForm::Complete, map, Vec::new());
    assert_eq!(responses, [nothing]);
}

#[test]
fn partial_response_marks_the_link_as_slow_until_the_parts_stop() {
    let mut fixture = AgentFixture::new(true);
    fixture.run(0, 3000, Controllers::Responding, &["one"]);
    // A response starts to arrive, and the rest of it takes longer than the lifetime of a lease.
    let mut renewals = 0;
    for at_ms in (3000..12_000).step_by(200) {
        fixture
            .machine
            .input(millis(at_ms), AgentInput::PartialFrame);
        let outputs = fixture.machine.input(millis(at_ms), AgentInput::Tick);
        renewals += outputs.iter().filter(|output| is_renewal(output)).count();
    }
    let last_part = millis(11_800);
    let slow_link_remaining = fixture.view(millis(12_000)).slow_link_remaining;
    assert_eq!(
        slow_link_remaining,
        last_part + SLOW_LINK_WINDOW - millis(12_000)
    );
    assert!(
        renewals <= 1,
        "it sent {renewals} renewals while a response was arriving"
    );
    // Then nothing more arrives, which is a partition.
    assert_eq!(
        fixture.view(millis(18_000)).slow_link_remaining,
        Duration::ZERO
    );
}

fn is_renewal(output: &AgentOutput) -> bool {
    matches!(
        output,
        AgentOutput::Send {
            message: Message::Renew { .. },
            ..
        }
    )
}
