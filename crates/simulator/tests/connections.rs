//! Connections for control messages, and the links that carry them.

use caperworks::identifiers::NodeId;
use caperworks::identifiers::RandomSource;
use caperworks::identifiers::Version;
use caperworks::messages::Envelope;
use caperworks::messages::Message;
use caperworks::messages::Pull;
use simulator::connections::Connections;
use simulator::connections::OpeningModel;
use simulator::connections::Segment;
use simulator::connections::SegmentKind;
use simulator::narrow_link::BackgroundLoad;
use simulator::narrow_link::LinkDirection;
use simulator::narrow_link::LinkFill;
use simulator::narrow_link::NarrowLink;
use simulator::narrow_link::LINK_STEP;
use std::net::SocketAddr;
use std::time::Duration;

const OPENER: (usize, u64) = (0, 1);
const ACCEPTOR: (usize, u64) = (1, 1);
/// The acceptor's process after a restart.
const ACCEPTOR_AGAIN: (usize, u64) = (1, 3);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A runtime that keeps trying to open, answers on the same connection and notices resets.
fn patient() -> OpeningModel {
    OpeningModel {
        timeout: ms(3000),
        attempt_period: Some(ms(500)),
        responds_on_same_connection: true,
        notices_resets: true,
        asks_again_after_reset: true,
    }
}

/// A runtime that gives up soon and finds resets when it writes.
fn hasty() -> OpeningModel {
    OpeningModel {
        timeout: ms(300),
        attempt_period: None,
        responds_on_same_connection: false,
        notices_resets: false,
        asks_again_after_reset: false,
    }
}

fn envelope(number: u64) -> Box<Envelope> {
    Box::new(Envelope {
        from: NodeId(number),
        reply_to: SocketAddr::from(([10, 0, 0, 1], 7000)),
        message: Message::Pull {
            pull: Pull {
                number,
                configuration: Version(0),
                ownership: Version(0),
                serving: SocketAddr::from(([10, 0, 0, 1], 7000)),
                ready: true,
                capacity: 1,
                demand: Vec::new(),
                incarnation: 1,
                usage: Vec::new(),
                agent: NodeId(1),
                instances_offset: 0,
            },
        },
        stamp: None,
        echo: None,
        is_bidirectional: true,
    })
}

/// The numbers of the messages among these segments.
fn messages(segments: impl IntoIterator<Item = Segment>) -> Vec<u64> {
    let number = |segment: Segment| match segment.kind {
        SegmentKind::Message { envelope } => Some(envelope.from.0),
        _ => None,
    };
    segments.into_iter().filter_map(number).collect()
}

/// What the acceptor answers to a request to open.
fn accepted(syn: &Segment, incarnation: u64) -> Segment {
    Segment {
        connection: syn.connection,
        from: syn.to,
        to: syn.from,
        receiver_incarnation: Some(OPENER.1),
        kind: SegmentKind::SynAck { incarnation },
    }
}

/// Connections of which one is established from the opener to the acceptor.
fn established(model: OpeningModel) -> Connections {
    let mut connections = Connections::new(model);
    connections.spoke(OPENER, ACCEPTOR);
    connections
}

#[test]
fn given_no_connection_when_messages_are_written_then_they_wait_until_it_is_open() {
    let mut connections = Connections::new(patient());
    let syn = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("the first message opens");
    assert!(matches!(syn.kind, SegmentKind::Syn));
    assert!(connections
        .write(ms(100), OPENER, ACCEPTOR, envelope(2))
        .is_none());
    let left = connections.established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(left), [1, 2]);
    let next = connections.write(ms(200), OPENER, ACCEPTOR, envelope(3));
    assert_eq!(messages(next), [3]);
}

#[test]
fn given_an_opening_that_takes_longer_than_its_patience_when_it_succeeds_then_the_messages_are_lost(
) {
    let mut connections = Connections::new(hasty());
    let syn = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("the first message opens");
    assert!(connections.tick(ms(299)).is_empty());
    assert!(connections.tick(ms(300)).is_empty());
    let left = connections.established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(left), [0; 0]);
    let next = connections.write(ms(400), OPENER, ACCEPTOR, envelope(2));
    assert!(matches!(next.expect("opens anew").kind, SegmentKind::Syn));
}

#[test]
fn given_a_patient_runtime_when_an_opening_takes_long_then_fresh_attempts_are_made_and_the_first_counts(
) {
    let mut connections = Connections::new(patient());
    let syn = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("the first message opens");
    assert!(connections.tick(ms(475)).is_empty());
    assert_eq!(connections.tick(ms(500)).len(), 1);
    assert!(connections.tick(ms(525)).is_empty());
    assert_eq!(connections.tick(ms(1000)).len(), 1);
    let left = connections.established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(left), [1]);
    assert!(connections.tick(ms(3500)).is_empty());
    let next = connections.write(ms(3500), OPENER, ACCEPTOR, envelope(2));
    assert_eq!(messages(next), [2]);
}

#[test]
fn given_an_established_connection_when_answers_may_use_it_then_they_need_no_opening() {
    let mut connections = established(patient());
    let response = connections.write(ms(0), ACCEPTOR, OPENER, envelope(1));
    assert_eq!(messages(response), [1]);
    let mut connections = established(hasty());
    let opening = connections.write(ms(0), ACCEPTOR, OPENER, envelope(1));
    assert!(matches!(opening.expect("opens").kind, SegmentKind::Syn));
}

#[test]
fn given_an_acceptor_that_restarted_when_it_writes_then_it_opens_a_connection_of_its_own() {
    let mut connections = established(patient());
    let opening = connections.write(ms(0), ACCEPTOR_AGAIN, OPENER, envelope(1));
    assert!(matches!(opening.expect("opens").kind, SegmentKind::Syn));
}

#[test]
fn given_a_peer_that_lost_power_when_a_message_is_written_then_it_is_meant_for_the_life_before() {
    let mut connections = established(hasty());
    let written = connections.write(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let written = written.expect("the connection still stands");
    assert_eq!(written.receiver_incarnation, Some(ACCEPTOR.1));
}

#[test]
fn given_a_reset_when_it_is_found_by_the_next_write_then_that_one_is_lost_and_the_one_after_opens()
{
    let mut connections = established(hasty());
    let written = connections.write(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let reset = written.expect("it is written").reset(Some(OPENER.1));
    assert!(connections.reset_came(&reset).is_none());
    let second = connections.write(ms(300), OPENER, ACCEPTOR_AGAIN, envelope(2));
    assert!(second.is_none());
    let third = connections.write(ms(600), OPENER, ACCEPTOR_AGAIN, envelope(3));
    assert!(matches!(third.expect("opens").kind, SegmentKind::Syn));
}

#[test]
fn given_a_runtime_that_notices_resets_when_one_comes_then_the_message_is_sent_again() {
    let mut connections = established(patient());
    let written = connections.write(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let reset = written.expect("it is written").reset(Some(OPENER.1));
    let again = connections.reset_came(&reset).expect("it is sent again");
    assert_eq!(again.from, NodeId(1));
    let opening = connections.write(ms(300), OPENER, ACCEPTOR_AGAIN, again);
    assert!(matches!(opening.expect("opens").kind, SegmentKind::Syn));
}

#[test]
fn given_a_message_that_a_cut_dropped_when_the_next_is_written_then_it_is_lost_and_the_one_after_opens(
) {
    let mut connections = established(hasty());
    let written = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    connections.dropped(&written.expect("it is written"));
    assert!(connections
        .write(ms(300), OPENER, ACCEPTOR, envelope(2))
        .is_none());
    let third = connections.write(ms(600), OPENER, ACCEPTOR, envelope(3));
    assert!(matches!(third.expect("opens").kind, SegmentKind::Syn));
}

#[test]
fn given_an_opener_that_restarted_when_it_writes_then_it_opens_anew() {
    let mut connections = established(hasty());
    let opening = connections.write(ms(0), (OPENER.0, 3), ACCEPTOR, envelope(1));
    assert!(matches!(opening.expect("opens").kind, SegmentKind::Syn));
}

/// When a segment that comes to a full link at the beginning is through, one way and the other.
fn through_at(fill: &LinkFill) -> (Duration, Duration) {
    let mut link = NarrowLink::default();
    link.fill(fill);
    link.draw_queues(ms(0), &mut RandomSource::seeded(1));
    let mut connections = Connections::new(hasty());
    let syn = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("the first message opens");
    let through = |direction: &mut LinkDirection| {
        direction.add(ms(0), syn.clone());
        let mut now = ms(0);
        while direction.carry(now).is_empty() {
            now += LINK_STEP;
        }
        now
    };
    (through(&mut link.inward), through(&mut link.outward))
}

#[test]
fn given_a_full_link_when_a_segment_comes_then_it_waits_behind_the_queue_each_way() {
    let load = |queue: u64| BackgroundLoad {
        bytes_per_second: 300_000,
        queue: (ms(queue), ms(queue)),
    };
    let fill = LinkFill {
        bytes_per_second: 375_000,
        inward: load(800),
        outward: load(200),
    };
    assert_eq!(through_at(&fill), (ms(800), ms(200)));
}

#[test]
fn given_a_full_link_when_queues_have_a_span_then_they_stay_within_it() {
    let load = BackgroundLoad {
        bytes_per_second: 300_000,
        queue: (ms(450), ms(800)),
    };
    let fill = LinkFill {
        bytes_per_second: 375_000,
        inward: load,
        outward: load,
    };
    let (inward, outward) = through_at(&fill);
    for waited in [inward, outward] {
        assert!(
            waited >= ms(450) && waited <= ms(800) + LINK_STEP,
            "{waited:?}"
        );
    }
}

#[test]
fn given_other_traffic_that_takes_the_whole_link_when_a_segment_comes_then_nothing_is_carried() {
    let mut link = NarrowLink::default();
    let load = BackgroundLoad {
        bytes_per_second: 1000,
        ..BackgroundLoad::default()
    };
    link.fill(&LinkFill {
        bytes_per_second: 1000,
        inward: load,
        outward: load,
    });
    let mut connections = Connections::new(hasty());
    let syn = connections.write(ms(0), OPENER, ACCEPTOR, envelope(1));
    link.inward
        .add(ms(0), syn.expect("the first message opens"));
    for step in 0..100 {
        assert!(link.inward.carry(LINK_STEP * step).is_empty());
    }
}
