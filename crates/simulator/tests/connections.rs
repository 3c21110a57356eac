//! Connections for control messages, and the links that carry them.

use caperworks::identifiers::NodeId;
use caperworks::identifiers::RandomSource;
use caperworks::identifiers::Version;
use caperworks::messages::Envelope;
use caperworks::messages::Message;
use caperworks::messages::Pull;
use simulator::connections::ConnectionModel;
use simulator::connections::Connections;
use simulator::connections::Segment;
use simulator::connections::SegmentKind;
use simulator::limited_link::BackgroundLoad;
use simulator::limited_link::LimitedLink;
use simulator::limited_link::LinkDirection;
use simulator::limited_link::LinkLoad;
use simulator::limited_link::LINK_STEP;
use std::net::SocketAddr;
use std::time::Duration;

const OPENER: (usize, u64) = (0, 1);
const ACCEPTOR: (usize, u64) = (1, 1);
/// The acceptor's process after a restart.
const ACCEPTOR_AGAIN: (usize, u64) = (1, 3);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A runtime that retries opening, responds on the same connection and detects resets.
fn persistent_model() -> ConnectionModel {
    ConnectionModel {
        timeout: ms(3000),
        retry_interval: Some(ms(500)),
        responds_on_same_connection: true,
        detects_resets: true,
        resends_after_reset: true,
    }
}

/// A runtime that gives up opening soon and detects resets only when it writes.
fn impatient_model() -> ConnectionModel {
    ConnectionModel {
        timeout: ms(300),
        retry_interval: None,
        responds_on_same_connection: false,
        detects_resets: false,
        resends_after_reset: false,
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

/// Returns the numbers of the messages among these segments.
fn messages(segments: impl IntoIterator<Item = Segment>) -> Vec<u64> {
    let number = |segment: Segment| match segment.kind {
        SegmentKind::Message { envelope } => Some(envelope.from.0),
        _ => None,
    };
    segments.into_iter().filter_map(number).collect()
}

/// Returns the acceptor's response to a `Syn`.
fn accepted(syn: &Segment, incarnation: u64) -> Segment {
    Segment {
        connection: syn.connection,
        from: syn.to,
        to: syn.from,
        receiver_incarnation: Some(OPENER.1),
        kind: SegmentKind::SynAck { incarnation },
    }
}

/// Returns connections with an established one from the opener to the acceptor.
fn established(model: ConnectionModel) -> Connections {
    let mut connections = Connections::new(model);
    connections.record_exchange(OPENER, ACCEPTOR);
    connections
}

#[test]
fn messages_are_queued_until_connection_opens() {
    let mut connections = Connections::new(persistent_model());
    let syn = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("first message opens a connection");
    assert!(matches!(syn.kind, SegmentKind::Syn));
    assert!(connections
        .send(ms(100), OPENER, ACCEPTOR, envelope(2))
        .is_none());
    let sent = connections.on_established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(sent), [1, 2]);
    let next = connections.send(ms(200), OPENER, ACCEPTOR, envelope(3));
    assert_eq!(messages(next), [3]);
}

#[test]
fn messages_are_lost_after_connect_timeout() {
    let mut connections = Connections::new(impatient_model());
    let syn = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("first message opens a connection");
    assert!(connections.tick(ms(299)).is_empty());
    assert!(connections.tick(ms(300)).is_empty());
    let sent = connections.on_established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(sent), [0; 0]);
    let next = connections.send(ms(400), OPENER, ACCEPTOR, envelope(2));
    assert!(matches!(
        next.expect("opens a new connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn connecting_is_retried_and_first_success_is_used() {
    let mut connections = Connections::new(persistent_model());
    let syn = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("first message opens a connection");
    assert!(connections.tick(ms(475)).is_empty());
    assert_eq!(connections.tick(ms(500)).len(), 1);
    assert!(connections.tick(ms(525)).is_empty());
    assert_eq!(connections.tick(ms(1000)).len(), 1);
    let sent = connections.on_established(&accepted(&syn, ACCEPTOR.1), ACCEPTOR.1);
    assert_eq!(messages(sent), [1]);
    assert!(connections.tick(ms(3500)).is_empty());
    let next = connections.send(ms(3500), OPENER, ACCEPTOR, envelope(2));
    assert_eq!(messages(next), [2]);
}

#[test]
fn responses_use_established_connection() {
    let mut connections = established(persistent_model());
    let response = connections.send(ms(0), ACCEPTOR, OPENER, envelope(1));
    assert_eq!(messages(response), [1]);
    let mut connections = established(impatient_model());
    let syn = connections.send(ms(0), ACCEPTOR, OPENER, envelope(1));
    assert!(matches!(
        syn.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn restarted_acceptor_opens_its_own_connection() {
    let mut connections = established(persistent_model());
    let syn = connections.send(ms(0), ACCEPTOR_AGAIN, OPENER, envelope(1));
    assert!(matches!(
        syn.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn message_after_power_loss_targets_previous_incarnation() {
    let mut connections = established(impatient_model());
    let written = connections.send(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let written = written.expect("connection is still established");
    assert_eq!(written.receiver_incarnation, Some(ACCEPTOR.1));
}

#[test]
fn reset_detected_on_write_loses_that_message() {
    let mut connections = established(impatient_model());
    let written = connections.send(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let reset = written.expect("message is written").reset(Some(OPENER.1));
    assert!(connections.handle_reset(&reset).is_none());
    let second = connections.send(ms(300), OPENER, ACCEPTOR_AGAIN, envelope(2));
    assert!(second.is_none());
    let third = connections.send(ms(600), OPENER, ACCEPTOR_AGAIN, envelope(3));
    assert!(matches!(
        third.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn message_is_resent_after_detected_reset() {
    let mut connections = established(persistent_model());
    let written = connections.send(ms(0), OPENER, ACCEPTOR_AGAIN, envelope(1));
    let reset = written.expect("message is written").reset(Some(OPENER.1));
    let again = connections.handle_reset(&reset).expect("message is resent");
    assert_eq!(again.from, NodeId(1));
    let syn = connections.send(ms(300), OPENER, ACCEPTOR_AGAIN, again);
    assert!(matches!(
        syn.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn connection_is_dead_after_partition_drops_message() {
    let mut connections = established(impatient_model());
    let written = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    connections.on_message_dropped(&written.expect("message is written"));
    assert!(connections
        .send(ms(300), OPENER, ACCEPTOR, envelope(2))
        .is_none());
    let third = connections.send(ms(600), OPENER, ACCEPTOR, envelope(3));
    assert!(matches!(
        third.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

#[test]
fn restarted_opener_reconnects() {
    let mut connections = established(impatient_model());
    let syn = connections.send(ms(0), (OPENER.0, 3), ACCEPTOR, envelope(1));
    assert!(matches!(
        syn.expect("opens a connection").kind,
        SegmentKind::Syn
    ));
}

/// Returns when a segment queued on a loaded link at time 0 is through, inbound and outbound.
fn transmitted_at(link_load: &LinkLoad) -> (Duration, Duration) {
    let mut link = LimitedLink::default();
    link.apply_load(link_load);
    link.redraw_queues(ms(0), &mut RandomSource::seeded(1));
    let mut connections = Connections::new(impatient_model());
    let syn = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    let syn = syn.expect("first message opens a connection");
    let transmit = |direction: &mut LinkDirection| {
        direction.add(ms(0), syn.clone());
        let mut now = ms(0);
        while direction.advance(now).is_empty() {
            now += LINK_STEP;
        }
        now
    };
    (transmit(&mut link.inward), transmit(&mut link.outward))
}

#[test]
fn segment_waits_behind_queue_in_each_direction() {
    let load = |queue_delay: u64| BackgroundLoad {
        bytes_per_second: 300_000,
        queue_delay: (ms(queue_delay), ms(queue_delay)),
    };
    let link_load = LinkLoad {
        bytes_per_second: 375_000,
        inward: load(800),
        outward: load(200),
    };
    assert_eq!(transmitted_at(&link_load), (ms(800), ms(200)));
}

#[test]
fn queue_delay_stays_within_range() {
    let load = BackgroundLoad {
        bytes_per_second: 300_000,
        queue_delay: (ms(450), ms(800)),
    };
    let link_load = LinkLoad {
        bytes_per_second: 375_000,
        inward: load,
        outward: load,
    };
    let (inward, outward) = transmitted_at(&link_load);
    for waited in [inward, outward] {
        assert!(
            waited >= ms(450) && waited <= ms(800) + LINK_STEP,
            "{waited:?}"
        );
    }
}

#[test]
fn background_traffic_at_link_bandwidth_blocks_segments() {
    let mut link = LimitedLink::default();
    let load = BackgroundLoad {
        bytes_per_second: 1000,
        ..BackgroundLoad::default()
    };
    link.apply_load(&LinkLoad {
        bytes_per_second: 1000,
        inward: load,
        outward: load,
    });
    let mut connections = Connections::new(impatient_model());
    let syn = connections.send(ms(0), OPENER, ACCEPTOR, envelope(1));
    link.inward
        .add(ms(0), syn.expect("first message opens a connection"));
    for step in 0..100 {
        assert!(link.inward.advance(LINK_STEP * step).is_empty());
    }
}
