//! Stories of catch-up: transfers in pieces, refused pieces, silent peers.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::catch_up::{
    BrokenCatchUp, CatchUpReceiver, CatchUpRequest, ChunkError, ChunkOutcome, SnapshotChunk,
    SnapshotRateLimiter, SnapshotSender, CHUNK_BYTES, MAX_UPDATE_WEIGHT, SNAPSHOT_IDLE_TIMEOUT,
};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{ChangeId, ServiceName, Version};
use caperworks::map_items::{Route, Value};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const MAP: MapName = MapName::Configuration;
const MOST_BYTES: u64 = 16 * 1024 * 1024;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number))
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn route_change(number: u64, routes: u64) -> Change {
    let name = number % routes;
    let route = Route {
        host: format!("host-{name}.example"),
        path: format!("/{number}"),
        service: ServiceName::new(format!("service-{name}")),
        ..Route::default()
    };
    Change {
        id: ChangeId::new(format!("change-{number}")),
        puts: vec![Put {
            key: format!("rule/{name}"),
            expected: None,
            value: Some(Value::Route { route }),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// A voter that has applied changes over some routes.
fn voter(changes: u64, routes: u64) -> Voter {
    let mut voter = Voter::default();
    advance(&mut voter, changes, routes);
    voter
}

fn advance(voter: &mut Voter, changes: u64, routes: u64) {
    let first = voter.map(MAP).version.next().0;
    for number in first..first + changes {
        voter.handle(ConsensusMessage::Commit {
            map: MAP,
            version: Version(number),
            change: route_change(number, routes),
        });
    }
}

fn receiver() -> CatchUpReceiver {
    CatchUpReceiver::new(99, MOST_BYTES)
}

fn begun(receiver: &mut CatchUpReceiver, goal: Version) -> CatchUpRequest {
    receiver
        .behind(millis(0), MAP, Version(0), peer(1), goal)
        .expect("a transfer begins")
}

fn respond(
    sender: &mut SnapshotSender,
    voter: &Voter,
    request: &CatchUpRequest,
) -> ConsensusMessage {
    let (after, position) = (request.after, request.position);
    sender.respond(millis(0), voter, request.map, after, position)
}

fn chunk(sender: &mut SnapshotSender, voter: &Voter, request: &CatchUpRequest) -> SnapshotChunk {
    match respond(sender, voter, request) {
        ConsensusMessage::Chunk { chunk } => chunk,
        other => panic!("{other:?} is no piece"),
    }
}

/// Fetches until the whole is there; tells it with the number of pieces.
fn fetch(
    receiver: &mut CatchUpReceiver,
    sender: &mut SnapshotSender,
    voter: &Voter,
    mut request: CatchUpRequest,
) -> (ReplicatedMap, u32) {
    for chunks in 1..1000 {
        let chunk = chunk(sender, voter, &request);
        assert!(chunk.bytes.len() <= CHUNK_BYTES);
        match receiver.handle_chunk(millis(0), request.to, Version(0), chunk) {
            ChunkOutcome::Next(next) => request = next,
            ChunkOutcome::Snapshot(full_map) => return (full_map, chunks),
            ChunkOutcome::Refused(why) => panic!("refused: {why}"),
        }
    }
    panic!("it never ends");
}

#[test]
fn given_a_large_map_when_fetched_then_it_comes_in_bounded_pieces_and_is_encoded_once() {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = begun(&mut receiver, Version(6000));
    let (full_map, chunks) = fetch(&mut receiver, &mut sender, &voter, request);
    assert_eq!(&full_map, voter.map(MAP));
    let expected = sender.buffered_bytes().div_ceil(CHUNK_BYTES) as u32;
    assert!(chunks > 3 && chunks == expected, "{chunks} pieces");
    assert_eq!(sender.encodings(), 1);
    sender.tick(SNAPSHOT_IDLE_TIMEOUT);
    assert_eq!(sender.buffered_bytes(), 0, "it is not kept for good");
}

#[test]
fn given_a_transfer_under_way_when_more_peers_are_ahead_then_none_of_them_is_asked() {
    let mut receiver = receiver();
    begun(&mut receiver, Version(9));
    for number in 2..50 {
        let more = receiver.behind(millis(10), MAP, Version(0), peer(number), Version(9));
        assert_eq!(more, None);
    }
    assert!(receiver.tick(millis(499), |_| Version(0)).is_empty());
}

#[test]
fn given_a_map_that_moves_on_all_the_time_when_fetched_then_each_transfer_ends() {
    let mut voter = voter(8000, 3000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let mut request = begun(&mut receiver, Version(8000));
    loop {
        let chunk = chunk(&mut sender, &voter, &request);
        // So much that its changes never reach back to the snapshot that is under way.
        advance(&mut voter, 3000, 3000);
        match receiver.handle_chunk(millis(0), request.to, Version(0), chunk) {
            ChunkOutcome::Next(next) => request = next,
            ChunkOutcome::Snapshot(full_map) => {
                assert_eq!(full_map.version, Version(8000));
                break;
            }
            ChunkOutcome::Refused(why) => panic!("refused: {why}"),
        }
    }
    assert_eq!(sender.encodings(), 1);
}

#[test]
fn given_a_silent_peer_when_its_span_is_over_then_another_goes_on_where_it_stopped() {
    let voter = voter(6000, 6000);
    let mut senders = [SnapshotSender::default(), SnapshotSender::default()];
    let mut receiver = receiver();
    let first = begun(&mut receiver, Version(6000));
    receiver.behind(millis(1), MAP, Version(0), peer(2), Version(6000));
    let chunk_one = chunk(&mut senders[0], &voter, &first);
    let ChunkOutcome::Next(second) =
        receiver.handle_chunk(millis(2), peer(1), Version(0), chunk_one)
    else {
        panic!("it goes on");
    };
    let late = chunk(&mut senders[0], &voter, &second);
    let requests = receiver.tick(millis(502), |_| Version(0));
    let [elsewhere] = requests.as_slice() else {
        panic!("{requests:?}");
    };
    assert_eq!(elsewhere.to, peer(2));
    assert_eq!(elsewhere.position.offset, CHUNK_BYTES as u64);
    // What the first one still sends belongs to an older transfer.
    assert_eq!(
        receiver.handle_chunk(millis(503), peer(1), Version(0), late),
        ChunkOutcome::Refused(ChunkError::OtherTransfer)
    );
    let (full_map, chunks) = fetch(&mut receiver, &mut senders[1], &voter, elsewhere.clone());
    assert_eq!(&full_map, voter.map(MAP));
    let all = senders[1].buffered_bytes().div_ceil(CHUNK_BYTES) as u32;
    assert_eq!(chunks, all - 1, "the first piece is not sent again");
}

#[test]
fn given_a_peer_of_an_older_version_when_it_goes_on_then_the_transfer_begins_anew_and_ends() {
    let (ahead, behind) = (voter(7000, 6000), voter(6500, 6000));
    let mut senders = [SnapshotSender::default(), SnapshotSender::default()];
    let mut receiver = receiver();
    let first = begun(&mut receiver, Version(7000));
    receiver.behind(millis(1), MAP, Version(0), peer(2), Version(6500));
    let chunk_one = chunk(&mut senders[0], &ahead, &first);
    receiver.handle_chunk(millis(2), peer(1), Version(0), chunk_one);
    let requests = receiver.tick(millis(502), |_| Version(0));
    let (full_map, _) = fetch(&mut receiver, &mut senders[1], &behind, requests[0].clone());
    assert_eq!(&full_map, behind.map(MAP));
}

#[test]
fn given_peers_that_stay_silent_when_time_goes_by_then_the_transfer_is_given_up() {
    let mut receiver = receiver();
    begun(&mut receiver, Version(5));
    let mut asked = 0;
    for tick in 0..1200 {
        asked += receiver.tick(millis(tick * 25), |_| Version(0)).len();
    }
    assert!((1..=8).contains(&asked), "{asked} questions");
    assert!(!receiver.is_receiving(MAP));
}

#[test]
fn given_a_way_that_is_slow_for_all_when_spans_go_by_then_each_is_longer_up_to_a_bound() {
    let mut receiver = receiver();
    begun(&mut receiver, Version(5));
    let mut asked = vec![0];
    for tick in 1..600 {
        let now = tick * 25;
        receiver.behind(millis(now), MAP, Version(0), peer(1), Version(5));
        if !receiver.tick(millis(now), |_| Version(0)).is_empty() {
            asked.push(now);
        }
    }
    assert_eq!(asked, [0, 500, 1500, 3500, 7500, 11500]);
}

#[test]
fn given_a_transfer_that_a_cut_silenced_when_a_peer_is_heard_again_then_it_goes_on_at_once() {
    let mut receiver = receiver();
    begun(&mut receiver, Version(5));
    for tick in 1..720 {
        receiver.tick(millis(tick * 25), |_| Version(0));
    }
    // Asked last at 15.5 s, with a patience of four seconds.
    receiver.behind(millis(18_000), MAP, Version(0), peer(2), Version(5));
    let requests = receiver.tick(millis(18_000), |_| Version(0));
    assert_eq!(requests.len(), 1);
}

#[test]
fn given_pieces_that_are_wrong_when_heard_then_each_is_refused_whole_and_the_transfer_still_ends() {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = begun(&mut receiver, Version(6000));
    let first = chunk(&mut sender, &voter, &request);
    let ChunkOutcome::Next(request) =
        receiver.handle_chunk(millis(1), peer(1), Version(0), first.clone())
    else {
        panic!("it goes on");
    };
    let good = chunk(&mut sender, &voter, &request);
    let held = receiver.buffered_bytes();
    let changed = |change: &dyn Fn(&mut SnapshotChunk)| {
        let mut chunk = good.clone();
        change(&mut chunk);
        chunk
    };
    let last = CHUNK_BYTES as u64;
    let wrong = [
        (first, ChunkError::Duplicate),
        (
            changed(&|chunk| chunk.bytes.truncate(100)),
            ChunkError::WrongLength,
        ),
        (
            changed(&|chunk| chunk.bytes.clear()),
            ChunkError::WrongLength,
        ),
        (
            changed(&|chunk| chunk.bytes.push(0)),
            ChunkError::WrongLength,
        ),
        (changed(&|chunk| chunk.offset += last), ChunkError::AfterGap),
        (
            changed(&|chunk| chunk.offset = u64::MAX),
            ChunkError::WrongLength,
        ),
        (
            changed(&|chunk| chunk.map = MapName::Placement),
            ChunkError::NotRequested,
        ),
        (
            changed(&|chunk| chunk.transfer -= 1),
            ChunkError::OtherTransfer,
        ),
        (
            changed(&|chunk| chunk.version = Version(5999)),
            ChunkError::OlderVersion,
        ),
        (
            changed(&|chunk| chunk.version = Version(6001)),
            ChunkError::OtherSnapshot,
        ),
        (
            changed(&|chunk| chunk.digest ^= 1),
            ChunkError::OtherSnapshot,
        ),
        (
            changed(&|chunk| chunk.total -= 1),
            ChunkError::OtherSnapshot,
        ),
    ];
    for (chunk, why) in wrong {
        let outcome = receiver.handle_chunk(millis(2), peer(1), Version(0), chunk);
        assert_eq!(outcome, ChunkOutcome::Refused(why));
        assert_eq!(receiver.buffered_bytes(), held, "nothing of it is kept");
    }
    let outcome = receiver.handle_chunk(millis(2), peer(2), Version(0), good.clone());
    assert_eq!(outcome, ChunkOutcome::Refused(ChunkError::OtherPeer));
    let outcome = receiver.handle_chunk(millis(2), peer(1), Version(6000), good);
    assert_eq!(outcome, ChunkOutcome::Refused(ChunkError::OlderVersion));
    let (full_map, _) = fetch(&mut receiver, &mut sender, &voter, request);
    assert_eq!(&full_map, voter.map(MAP));
}

#[test]
fn given_a_piece_of_another_map_under_its_own_transfer_when_heard_then_it_is_refused() {
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let voter = voter(6000, 6000);
    let request = begun(&mut receiver, Version(6000));
    receiver.behind(
        millis(0),
        MapName::Placement,
        Version(0),
        peer(1),
        Version(9),
    );
    let mut chunk = chunk(&mut sender, &voter, &request);
    chunk.map = MapName::Placement;
    let outcome = receiver.handle_chunk(millis(1), peer(1), Version(0), chunk);
    assert_eq!(outcome, ChunkOutcome::Refused(ChunkError::OtherTransfer));
}

#[test]
fn given_a_snapshot_larger_than_a_slot_when_it_comes_then_it_is_refused() {
    let voter = voter(6000, 6000);
    let mut receiver = CatchUpReceiver::new(1, 100 * 1024);
    let request = begun(&mut receiver, Version(6000));
    let chunk = chunk(&mut SnapshotSender::default(), &voter, &request);
    let outcome = receiver.handle_chunk(millis(1), peer(1), Version(0), chunk);
    assert_eq!(outcome, ChunkOutcome::Refused(ChunkError::TooLarge));
    assert_eq!(receiver.buffered_bytes(), 0);
}

/// Fetches while one bit of one piece is wrong; tells how it ended.
fn fetch_with_a_wrong_bit(broken: BrokenCatchUp) -> ChunkOutcome {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    receiver.broken = broken;
    let mut request = begun(&mut receiver, Version(6000));
    loop {
        let mut chunk = chunk(&mut sender, &voter, &request);
        if chunk.offset == CHUNK_BYTES as u64 {
            let index = chunk
                .bytes
                .windows(4)
                .position(|bytes| bytes == b"host")
                .expect("a route is there");
            chunk.bytes[index] ^= 0x02;
        }
        match receiver.handle_chunk(millis(0), peer(1), Version(0), chunk) {
            ChunkOutcome::Next(next) => request = next,
            ended => return ended,
        }
    }
}

#[test]
fn given_one_wrong_bit_when_the_whole_is_there_then_its_digest_refuses_it() {
    let ended = fetch_with_a_wrong_bit(BrokenCatchUp::Nothing);
    assert_eq!(ended, ChunkOutcome::Refused(ChunkError::WrongDigest));
    // The broken variant takes a map that nobody agreed on.
    let ended = fetch_with_a_wrong_bit(BrokenCatchUp::SkipsDigest);
    let ChunkOutcome::Snapshot(full_map) = ended else {
        panic!("{ended:?}");
    };
    assert_ne!(&full_map, voter(6000, 6000).map(MAP));
}

#[test]
fn given_a_little_that_is_missing_when_asked_for_then_bounded_changes_come_until_all_is_there() {
    let ahead = voter(1500, 6000);
    let mut behind = voter(200, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let mut request = receiver.behind(millis(0), MAP, Version(200), peer(1), Version(1500));
    let mut responses = 0;
    while let Some(asked) = request {
        let updates = respond(&mut sender, &ahead, &asked);
        let ConsensusMessage::Updates { changes, .. } = &updates else {
            panic!("{updates:?}");
        };
        let weight: usize = changes
            .iter()
            .map(|numbered| numbered.change.weight())
            .sum();
        assert!(weight <= MAX_UPDATE_WEIGHT);
        responses += 1;
        let moved = !behind.handle(updates).moved.is_empty();
        request = receiver.handle_changes(millis(1), MAP, behind.map(MAP).version, moved);
    }
    assert_eq!(behind.map(MAP), ahead.map(MAP));
    assert!((2..20).contains(&responses), "{responses} answers");
    assert!(!receiver.is_receiving(MAP));
    assert_eq!(sender.encodings(), 0);
}

#[test]
fn given_a_peer_with_nothing_newer_when_asked_then_it_says_so_and_the_transfer_ends() {
    let held = voter(5, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = receiver.behind(millis(0), MAP, Version(5), peer(1), Version(6));
    let updates = respond(&mut sender, &held, &request.expect("it asks"));
    let changes = Vec::new();
    assert_eq!(updates, ConsensusMessage::Updates { map: MAP, changes });
    let next = receiver.handle_changes(millis(1), MAP, Version(5), false);
    assert_eq!(next, None);
    assert!(!receiver.is_receiving(MAP));
}

#[test]
fn given_a_follower_that_asks_again_and_again_when_a_whole_map_is_due_then_it_is_sent_once_a_second(
) {
    let mut limit = SnapshotRateLimiter::default();
    let full_map = ConsensusMessage::Snapshot {
        map: MAP,
        full_map: ReplicatedMap::empty(),
    };
    let admitted = (0..100)
        .filter(|number| limit.admits(millis(number * 50), peer(1), &full_map))
        .count();
    assert_eq!(admitted, 5);
}

#[test]
fn given_a_question_of_an_older_program_when_read_then_it_has_no_position() {
    // What a program without pieces sends: the kind, and a list of the map and the version.
    let bytes = [0x82, 0x06, 0x82, 0x82, 0x00, 0x80, 0x05];
    let read = minicbor::decode::<ConsensusMessage>(&bytes).expect("it reads");
    let expected = ConsensusMessage::CatchUp {
        map: MAP,
        after: Version(5),
        position: None,
    };
    assert_eq!(read, expected);
}
