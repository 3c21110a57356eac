//! Tests of agents whose proxies serve on, and of instances that said they are gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agent::machine::{AgentEvent, AgentInput, AgentMachine, AgentOptions, AgentOutput};
use caperworks::catch_up::{TransferPosition, CHUNK_BYTES};
use caperworks::consensus::messages::{ConsensusMessage, ProposalNumber};
use caperworks::envelope_clock::Echo;
use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState};
use caperworks::identifiers::{
    steady_hash, ChangeId, Incarnation, InstanceId, NodeId, ServiceName, Version, Zone,
};
use caperworks::leases::LEASE_SPAN;
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
        address: address(8000 + (steady_hash(id) % 1000) as u16),
        capacity: 4,
        state: InstanceState::Serving,
        load: 0,
        up: Duration::MAX,
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

/// What the controllers do that the agent asks.
#[derive(Clone, Copy, PartialEq)]
enum Core {
    Responds,
    /// It answers, and no majority is behind it.
    Alone,
    Silent,
}

/// An agent, and a controller that is played by hand.
struct Bench {
    machine: AgentMachine,
    heard: BTreeMap<String, (Duration, u64)>,
    ended: Vec<InstanceId>,
    gone: Vec<(Duration, String)>,
}

const SPAN: Duration = Duration::from_millis(4000);

impl Bench {
    fn new(proxy_serves_stale: bool) -> Self {
        let options = AgentOptions {
            heartbeat_refresh: Duration::ZERO,
            demand_report_interval: Duration::ZERO,
            control: address(6500),
            zone: Zone::new("e1"),
            seeds: vec![address(6000), address(6001)],
            feed_form: FeedForm::Complete,
            proxy_serves_stale,
            instance_timeout: SPAN,
            lease_span: LEASE_SPAN,
        };
        Self {
            machine: AgentMachine::start(options, 1),
            heard: BTreeMap::new(),
            ended: Vec::new(),
            gone: Vec::new(),
        }
    }

    fn says(&mut self, now: Duration, message: Message) -> Vec<AgentOutput> {
        let envelope = Envelope {
            from: NodeId(1),
            reply_to: address(6000),
            message,
            stamp: None,
            echo: None,
            reads_here: true,
        };
        self.machine.input(now, AgentInput::Heard { envelope })
    }

    fn ticks(&mut self, now: Duration, core: Core) {
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
        for number in renewals.into_iter().filter(|_| core != Core::Silent) {
            let instances = self.heard.iter().map(|(id, (at, counter))| HeardHeartbeat {
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
                assured: core == Core::Responds,
                gone: self.ended.clone(),
                in_chunks: Vec::new(),
                more: false,
            };
            outputs.extend(self.says(now, Message::Grant { granted }));
        }
        for output in outputs {
            if let AgentOutput::LogEvent {
                event: AgentEvent::InstanceGone { id },
            } = output
            {
                self.gone.push((now, id.to_string()));
            }
        }
    }

    /// The core hears these heartbeat twice a second while time passes.
    fn runs(&mut self, from: u64, to: u64, core: Core, beating: &[&str]) {
        for step in (from..to).step_by(25) {
            if step % 500 == 0 {
                for name in beating {
                    self.heard.insert((*name).to_string(), (millis(step), step));
                }
            }
            self.ticks(millis(step), core);
        }
    }

    fn known(&mut self, now: Duration) -> Vec<String> {
        let view = self.view(now);
        let known = view.instances.iter();
        known.map(|heartbeat| heartbeat.id.to_string()).collect()
    }

    /// What a proxy that asks is told.
    fn view(&mut self, now: Duration) -> ProxyView {
        self.view_for_incarnation(now, 1)
    }

    /// What a proxy that asks is told in one of its lives.
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
        let outputs = self.says(now, Message::Pull { pull });
        let view = outputs.into_iter().find_map(|output| match output {
            AgentOutput::Send {
                message: Message::View { view },
                ..
            } => Some(view),
            _ => None,
        });
        view.expect("a proxy that asks is told")
    }
}

#[test]
fn given_a_core_out_of_reach_when_the_proxy_serves_on_then_no_instance_expires_however_long() {
    for core in [Core::Silent, Core::Alone] {
        let mut bench = Bench::new(true);
        bench.runs(0, 6000, Core::Responds, &["one", "two"]);
        assert_eq!(bench.known(millis(6000)), ["one", "two"]);
        bench.runs(6000, 120_000, core, &[]);
        assert_eq!(bench.gone, []);
        assert_eq!(bench.known(millis(120_000)), ["one", "two"]);
    }
}

#[test]
fn given_a_core_out_of_reach_when_the_proxy_falls_silent_then_instances_expire_after_their_span() {
    let mut bench = Bench::new(false);
    bench.runs(0, 6000, Core::Responds, &["one"]);
    bench.runs(6000, 20_000, Core::Silent, &[]);
    let (at, _) = bench.gone[0];
    assert!(at >= millis(5500) + SPAN && at <= millis(5500) + SPAN + millis(100));
}

#[test]
fn given_a_core_that_is_back_when_a_whole_span_has_passed_then_the_silent_expire_and_no_sooner() {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one", "two"]);
    bench.runs(6000, 40_000, Core::Silent, &[]);
    bench.runs(40_000, 60_000, Core::Responds, &["two"]);
    let names: Vec<&str> = bench.gone.iter().map(|(_, name)| name.as_str()).collect();
    assert_eq!(names, ["one"]);
    let (at, _) = bench.gone[0];
    assert!(at >= millis(40_000) + SPAN, "gone already at {at:?}");
    assert!(at <= millis(40_000) + SPAN + millis(1000), "gone at {at:?}");
}

#[test]
fn given_a_core_that_comes_and_goes_when_it_never_answers_for_a_whole_span_then_nobody_expires() {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one"]);
    for round in 0..20 {
        let start = 6000 + round * 5000;
        bench.runs(start, start + 2000, Core::Silent, &[]);
        bench.runs(start + 2000, start + 5000, Core::Responds, &[]);
    }
    assert_eq!(bench.gone, []);
}

#[test]
fn given_prompt_answers_when_the_core_falls_silent_then_the_link_does_not_count_as_slow() {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one"]);
    assert_eq!(bench.view(millis(6000)).link_slow_for, Duration::ZERO);
    bench.runs(6000, 9000, Core::Silent, &[]);
    let stale = bench.view(millis(9000));
    assert_eq!(stale.left, Duration::ZERO);
    assert_eq!(stale.link_slow_for, Duration::ZERO);
}

/// An answer of a controller with a majority to a renewal of long ago.
fn late_grant() -> Granted {
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
        assured: true,
        gone: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
    }
}

#[test]
fn given_an_answer_that_comes_too_late_for_its_lease_when_a_proxy_asks_then_the_link_counts_as_slow(
) {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one"]);
    bench.runs(6000, 9500, Core::Silent, &[]);
    bench.says(
        millis(9500),
        Message::Grant {
            granted: late_grant(),
        },
    );
    let view = bench.view(millis(9500));
    assert_eq!(view.left, Duration::ZERO);
    assert_eq!(view.link_slow_for, SLOW_LINK_WINDOW);
    let cut_off = millis(9500) + SLOW_LINK_WINDOW;
    assert_eq!(bench.view(cut_off).link_slow_for, Duration::ZERO);
}

#[test]
fn given_a_slow_answer_when_the_next_one_is_prompt_then_the_link_is_no_longer_slow() {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one"]);
    bench.says(
        millis(6000),
        Message::Grant {
            granted: late_grant(),
        },
    );
    assert_eq!(bench.view(millis(6000)).link_slow_for, SLOW_LINK_WINDOW);
    bench.runs(6000, 6500, Core::Responds, &[]);
    assert_eq!(bench.view(millis(6500)).link_slow_for, Duration::ZERO);
}

#[test]
fn given_a_core_in_touch_when_an_instance_is_silent_then_it_expires_after_its_span() {
    let mut bench = Bench::new(true);
    bench.runs(0, 6000, Core::Responds, &["one", "two"]);
    bench.runs(6000, 12_000, Core::Responds, &["two"]);
    let (at, name) = bench.gone[0].clone();
    assert_eq!((name.as_str(), bench.gone.len()), ("one", 1));
    assert!(at >= millis(5500) + SPAN && at <= millis(5500) + SPAN + millis(500));
}

#[test]
fn given_an_end_heard_by_a_grant_when_late_heartbeats_come_to_the_agent_then_it_is_not_revived() {
    let mut bench = Bench::new(true);
    bench.runs(0, 2000, Core::Responds, &["one", "two"]);
    bench.ended.push(InstanceId::new("one"));
    bench.runs(2000, 3000, Core::Responds, &["two"]);
    assert_eq!(bench.known(millis(3000)), ["two"]);
    // Straight to the agent, with a stamp of its own: still not.
    let send = |bench: &mut Bench, now: u64, echo: Option<Echo>| {
        let input = AgentInput::Heartbeat {
            ticket: now,
            heartbeat: heartbeat("one", 90_000 + now),
            echo,
        };
        bench.machine.input(millis(now), input)
    };
    let outputs = send(&mut bench, 3000, None);
    let stamp = outputs.iter().find_map(|output| match output {
        AgentOutput::RespondToHeartbeat {
            response: Some(dated),
            ..
        } => Some(dated.stamp),
        _ => None,
    });
    let held = Duration::ZERO;
    let echo = stamp.map(|stamp| Echo { stamp, held });
    assert!(echo.is_some(), "it is asked to heartbeat again");
    send(&mut bench, 3010, echo);
    assert_eq!(bench.known(millis(3020)), ["two"]);
    bench.ended.clear();
    bench.runs(3025, 9000, Core::Responds, &["one", "two"]);
    assert_eq!(
        bench.known(millis(9000)),
        ["two"],
        "nor by a controller's word"
    );
}

/// A map of routes that takes many pieces.
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

/// A membership in which an agent votes.
fn membership_with(agent: NodeId) -> ReplicatedMap {
    let holder = VoterEntry {
        node: agent,
        address: address(6500),
        zone: Zone::new("e1"),
        controller: false,
    };
    let holders = vec![holder];
    let mut map = ReplicatedMap::empty();
    map.apply(&Change {
        id: ChangeId::new("seats"),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: None,
            value: Some(Value::VoterSet {
                voters: VoterSet { holders },
            }),
            written: None,
        }],
        guards: Vec::new(),
    });
    map
}

/// What the agent answers to a vote.
fn votes_back(bench: &mut Bench, vote: ConsensusMessage) -> Vec<ConsensusMessage> {
    let outputs = bench.says(millis(100), Message::ConsensusMessage { vote });
    let votes = outputs.into_iter().filter_map(|output| match output {
        AgentOutput::Send {
            message: Message::ConsensusMessage { vote },
            ..
        } => Some(vote),
        _ => None,
    });
    votes.collect()
}

/// Lets the core bring the agent these maps.
fn bring(bench: &mut Bench, updates: Vec<ConsensusMessage>) {
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
        assured: true,
        gone: Vec::new(),
        in_chunks: Vec::new(),
        more: false,
    };
    bench.says(millis(50), Message::Grant { granted });
}

fn full_map(map: MapName, full_map: ReplicatedMap) -> ConsensusMessage {
    ConsensusMessage::Snapshot { map, full_map }
}

/// How many maps there are in these news.
fn full_maps(updates: &[ConsensusMessage]) -> usize {
    let is_complete =
        |updates: &&ConsensusMessage| matches!(updates, ConsensusMessage::Snapshot { .. });
    updates.iter().filter(is_complete).count()
}

#[test]
fn given_a_proxy_that_asks_all_the_time_when_a_map_is_due_then_it_is_told_whole_now_and_then() {
    let mut bench = Bench::new(true);
    bring(
        &mut bench,
        vec![full_map(MapName::Configuration, large_map())],
    );
    let reported = |bench: &mut Bench, step: u64| {
        let view = bench.view(millis(1000 + step * 50));
        full_maps(&view.updates)
    };
    let sent: usize = (0..60).map(|step| reported(&mut bench, step)).sum();
    assert_eq!(sent, 10, "once in 300 ms over three seconds");
    let view = bench.view_for_incarnation(millis(3960), 2);
    assert_eq!(full_maps(&view.updates), 1, "a new life at once");
}

#[test]
fn given_an_agent_that_asks_all_the_time_when_a_map_is_due_then_it_is_told_whole_once_a_second() {
    let mut bench = Bench::new(true);
    bring(
        &mut bench,
        vec![full_map(MapName::Configuration, large_map())],
    );
    let mut sent = 0;
    for step in 0..50 {
        let ask = FallbackRequest {
            number: step,
            versions: vec![Version(0); ALL_MAPS.len()],
            heartbeats: Vec::new(),
        };
        let outputs = bench.says(millis(1000 + step * 100), Message::FallbackRequest { ask });
        for output in outputs {
            if let AgentOutput::Send {
                message: Message::FallbackResponse { tell },
                ..
            } = output
            {
                sent += full_maps(&tell.updates);
            }
        }
    }
    assert_eq!(sent, 5);
}

#[test]
fn given_an_agent_that_votes_when_a_controller_is_behind_then_it_sends_pieces_and_no_whole_map() {
    let mut bench = Bench::new(true);
    let node = bench.machine.node();
    let updates = vec![
        full_map(MapName::Membership, membership_with(node)),
        full_map(MapName::Configuration, large_map()),
    ];
    bring(&mut bench, updates);
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
        let responses = votes_back(&mut bench, poll);
        let [ConsensusMessage::Chunk { chunk }] = responses.as_slice() else {
            panic!("{responses:?}");
        };
        assert_eq!((chunk.offset, chunk.transfer), (offset, 7));
        offset += chunk.bytes.len() as u64;
        total = chunk.total;
    }
    assert!(total > 2 * CHUNK_BYTES as u64, "{total} bytes");
    // A vote that it refuses brings its refusal, and no map that nobody asked for.
    let refused = ConsensusMessage::Prepare {
        map,
        membership: Version(1),
        version: Version(1),
        proposal_number: ProposalNumber { round: 1, node },
    };
    let responses = votes_back(&mut bench, refused);
    assert!(
        matches!(responses.as_slice(), [ConsensusMessage::Reject { .. }]),
        "{responses:?}"
    );
}

#[test]
fn given_an_agent_with_reduced_maps_when_it_is_named_a_voter_then_it_counts_them_as_lacking() {
    let mut bench = Bench::new(true);
    let node = bench.machine.node();
    let updates = vec![
        full_map(MapName::Membership, membership_with(node)),
        full_map(MapName::Configuration, large_map().reduced()),
    ];
    bring(&mut bench, updates);
    let map = MapName::Configuration;
    let poll = ConsensusMessage::CatchUp {
        map,
        after: Version(0),
        position: Some(TransferPosition::default()),
    };
    let responses = votes_back(&mut bench, poll);
    let nothing = ConsensusMessage::updates(FeedForm::Complete, map, Vec::new());
    assert_eq!(responses, [nothing]);
}

#[test]
fn given_parts_of_a_slow_answer_when_the_lease_is_over_then_the_link_counts_as_slow_until_they_end()
{
    let mut bench = Bench::new(true);
    bench.runs(0, 3000, Core::Responds, &["one"]);
    // An answer begins to come, and its rest trickles in for longer than a lease lives.
    let mut renewals = 0;
    for step in (3000..12_000).step_by(200) {
        bench.machine.input(millis(step), AgentInput::PartialFrame);
        let outputs = bench.machine.input(millis(step), AgentInput::Tick);
        renewals += outputs.iter().filter(|output| is_renewal(output)).count();
    }
    let last_part = millis(11_800);
    let slow_for = bench.view(millis(12_000)).link_slow_for;
    assert_eq!(slow_for, last_part + SLOW_LINK_WINDOW - millis(12_000));
    assert!(
        renewals <= 1,
        "it asked {renewals} times while an answer came"
    );
    // Then nothing comes any more: that is a cut.
    assert_eq!(bench.view(millis(18_000)).link_slow_for, Duration::ZERO);
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
