//! Tests of catch-up: transfers in chunks, rejected chunks, and peers that do not respond.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::catch_up::{
    CatchUpFault, CatchUpReceiver, CatchUpRequest, ChunkError, ChunkOutcome, SnapshotChunk,
    SnapshotRateLimiter, SnapshotSender, CHUNK_BYTES, MAX_UPDATE_WEIGHT, SNAPSHOT_IDLE_TIMEOUT,
};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{ChangeId, ServiceName, Version};
use caperworks::map_items::{Route, Value};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const MAP: MapName = MapName::Configuration;
const MAX_BYTES: u64 = 16 * 1024 * 1024;

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
    CatchUpReceiver::new(99, MAX_BYTES)
}

fn begin(receiver: &mut CatchUpReceiver, target_version: Version) -> CatchUpRequest {
    receiver
        .handle_announcement(millis(0), MAP, Version(0), peer(1), target_version)
        .expect("a transfer starts")
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
        other => panic!("expected a chunk, got {other:?}"),
    }
}

/// Fetches chunks until the snapshot is complete; returns it with the number of chunks.
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
            ChunkOutcome::Rejected(error) => panic!("rejected: {error}"),
        }
    }
    panic!("the transfer does not end");
}

#[test]
fn large_map_is_fetched_in_bounded_chunks_and_encoded_once() {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = begin(&mut receiver, Version(6000));
    let (full_map, chunks) = fetch(&mut receiver, &mut sender, &voter, request);
    assert_eq!(&full_map, voter.map(MAP));
    let expected = sender.buffered_bytes().div_ceil(CHUNK_BYTES) as u32;
    assert!(chunks > 3 && chunks == expected, "{chunks} chunks");
    assert_eq!(sender.encodings(), 1);
    sender.tick(SNAPSHOT_IDLE_TIMEOUT);
    assert_eq!(sender.buffered_bytes(), 0, "an idle snapshot is dropped");
}

#[test]
fn transfer_in_progress_sends_no_requests_to_further_peers() {
    let mut receiver = receiver();
    begin(&mut receiver, Version(9));
    for number in 2..50 {
        let more =
            receiver.handle_announcement(millis(10), MAP, Version(0), peer(number), Version(9));
        assert_eq!(more, None);
    }
    assert!(receiver.tick(millis(499), |_| Version(0)).is_empty());
}

#[test]
fn transfer_of_a_constantly_advancing_map_completes() {
    let mut voter = voter(8000, 3000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let mut request = begin(&mut receiver, Version(8000));
    loop {
        let chunk = chunk(&mut sender, &voter, &request);
        // Enough changes that the history never reaches back to the snapshot being transferred.
        advance(&mut voter, 3000, 3000);
        match receiver.handle_chunk(millis(0), request.to, Version(0), chunk) {
            ChunkOutcome::Next(next) => request = next,
            ChunkOutcome::Snapshot(full_map) => {
                assert_eq!(full_map.version, Version(8000));
                break;
            }
            ChunkOutcome::Rejected(error) => panic!("rejected: {error}"),
        }
    }
    assert_eq!(sender.encodings(), 1);
}

#[test]
fn transfer_continues_with_another_peer_after_a_timeout() {
    let voter = voter(6000, 6000);
    let mut senders = [SnapshotSender::default(), SnapshotSender::default()];
    let mut receiver = receiver();
    let first = begin(&mut receiver, Version(6000));
    receiver.handle_announcement(millis(1), MAP, Version(0), peer(2), Version(6000));
    let chunk_one = chunk(&mut senders[0], &voter, &first);
    let ChunkOutcome::Next(second) =
        receiver.handle_chunk(millis(2), peer(1), Version(0), chunk_one)
    else {
        panic!("expected a request for the next chunk");
    };
    let late = chunk(&mut senders[0], &voter, &second);
    let requests = receiver.tick(millis(502), |_| Version(0));
    let [next_request] = requests.as_slice() else {
        panic!("{requests:?}");
    };
    assert_eq!(next_request.to, peer(2));
    assert_eq!(next_request.position.offset, CHUNK_BYTES as u64);
    // A late chunk from the first peer belongs to an older transfer.
    assert_eq!(
        receiver.handle_chunk(millis(503), peer(1), Version(0), late),
        ChunkOutcome::Rejected(ChunkError::OtherTransfer)
    );
    let (full_map, chunks) = fetch(&mut receiver, &mut senders[1], &voter, next_request.clone());
    assert_eq!(&full_map, voter.map(MAP));
    let all = senders[1].buffered_bytes().div_ceil(CHUNK_BYTES) as u32;
    assert_eq!(chunks, all - 1, "the first chunk is not sent again");
}

#[test]
fn transfer_restarts_with_a_peer_of_an_older_version_and_completes() {
    let (ahead, behind) = (voter(7000, 6000), voter(6500, 6000));
    let mut senders = [SnapshotSender::default(), SnapshotSender::default()];
    let mut receiver = receiver();
    let first = begin(&mut receiver, Version(7000));
    receiver.handle_announcement(millis(1), MAP, Version(0), peer(2), Version(6500));
    let chunk_one = chunk(&mut senders[0], &ahead, &first);
    receiver.handle_chunk(millis(2), peer(1), Version(0), chunk_one);
    let requests = receiver.tick(millis(502), |_| Version(0));
    let (full_map, _) = fetch(&mut receiver, &mut senders[1], &behind, requests[0].clone());
    assert_eq!(&full_map, behind.map(MAP));
}

#[test]
fn transfer_is_abandoned_when_no_peer_responds() {
    let mut receiver = receiver();
    begin(&mut receiver, Version(5));
    let mut request_count = 0;
    for tick in 0..1200 {
        request_count += receiver.tick(millis(tick * 25), |_| Version(0)).len();
    }
    assert!((1..=8).contains(&request_count), "{request_count} requests");
    assert!(!receiver.is_receiving(MAP));
}

#[test]
fn chunk_timeout_doubles_up_to_its_maximum() {
    let mut receiver = receiver();
    begin(&mut receiver, Version(5));
    let mut request_times = vec![0];
    for tick in 1..600 {
        let now = tick * 25;
        receiver.handle_announcement(millis(now), MAP, Version(0), peer(1), Version(5));
        if !receiver.tick(millis(now), |_| Version(0)).is_empty() {
            request_times.push(now);
        }
    }
    assert_eq!(request_times, [0, 500, 1500, 3500, 7500, 11500]);
}

#[test]
fn transfer_resumes_immediately_after_a_network_partition() {
    let mut receiver = receiver();
    begin(&mut receiver, Version(5));
    for tick in 1..720 {
        receiver.tick(millis(tick * 25), |_| Version(0));
    }
    // The last request was sent at 15.5 s, with a timeout of four seconds.
    receiver.handle_announcement(millis(18_000), MAP, Version(0), peer(2), Version(5));
    let requests = receiver.tick(millis(18_000), |_| Version(0));
    assert_eq!(requests.len(), 1);
}

#[test]
fn invalid_chunks_are_rejected_and_the_transfer_still_completes() {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = begin(&mut receiver, Version(6000));
    let first = chunk(&mut sender, &voter, &request);
    let ChunkOutcome::Next(request) =
        receiver.handle_chunk(millis(1), peer(1), Version(0), first.clone())
    else {
        panic!("expected a request for the next chunk");
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
    for (chunk, error) in wrong {
        let outcome = receiver.handle_chunk(millis(2), peer(1), Version(0), chunk);
        assert_eq!(outcome, ChunkOutcome::Rejected(error));
        assert_eq!(receiver.buffered_bytes(), held, "the chunk is discarded");
    }
    let outcome = receiver.handle_chunk(millis(2), peer(2), Version(0), good.clone());
    assert_eq!(outcome, ChunkOutcome::Rejected(ChunkError::OtherPeer));
    let outcome = receiver.handle_chunk(millis(2), peer(1), Version(6000), good);
    assert_eq!(outcome, ChunkOutcome::Rejected(ChunkError::OlderVersion));
    let (full_map, _) = fetch(&mut receiver, &mut sender, &voter, request);
    assert_eq!(&full_map, voter.map(MAP));
}

#[test]
fn chunk_of_another_map_is_rejected() {
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let voter = voter(6000, 6000);
    let request = begin(&mut receiver, Version(6000));
    receiver.handle_announcement(
        millis(0),
        MapName::Placement,
        Version(0),
        peer(1),
        Version(9),
    );
    let mut chunk = chunk(&mut sender, &voter, &request);
    chunk.map = MapName::Placement;
    let outcome = receiver.handle_chunk(millis(1), peer(1), Version(0), chunk);
    assert_eq!(outcome, ChunkOutcome::Rejected(ChunkError::OtherTransfer));
}

#[test]
fn snapshot_above_the_maximum_size_is_rejected() {
    let voter = voter(6000, 6000);
    let mut receiver = CatchUpReceiver::new(1, 100 * 1024);
    let request = begin(&mut receiver, Version(6000));
    let chunk = chunk(&mut SnapshotSender::default(), &voter, &request);
    let outcome = receiver.handle_chunk(millis(1), peer(1), Version(0), chunk);
    assert_eq!(outcome, ChunkOutcome::Rejected(ChunkError::TooLarge));
    assert_eq!(receiver.buffered_bytes(), 0);
}

/// Fetches a snapshot with one wrong bit in one chunk; returns the last outcome.
fn fetch_with_a_wrong_bit(fault: CatchUpFault) -> ChunkOutcome {
    let voter = voter(6000, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    receiver.fault = fault;
    let mut request = begin(&mut receiver, Version(6000));
    loop {
        let mut chunk = chunk(&mut sender, &voter, &request);
        if chunk.offset == CHUNK_BYTES as u64 {
            let index = chunk
                .bytes
                .windows(4)
                .position(|bytes| bytes == b"host")
                .expect("the chunk contains a route");
            chunk.bytes[index] ^= 0x02;
        }
        match receiver.handle_chunk(millis(0), peer(1), Version(0), chunk) {
            ChunkOutcome::Next(next) => request = next,
            outcome => return outcome,
        }
    }
}

#[test]
fn snapshot_with_one_wrong_bit_fails_its_digest_check() {
    let ended = fetch_with_a_wrong_bit(CatchUpFault::None);
    assert_eq!(ended, ChunkOutcome::Rejected(ChunkError::WrongDigest));
    // With the fault injected, the receiver accepts a map that was never committed.
    let ended = fetch_with_a_wrong_bit(CatchUpFault::SkipsDigest);
    let ChunkOutcome::Snapshot(full_map) = ended else {
        panic!("{ended:?}");
    };
    assert_ne!(&full_map, voter(6000, 6000).map(MAP));
}

#[test]
fn missing_changes_are_sent_in_bounded_responses_until_complete() {
    let ahead = voter(1500, 6000);
    let mut behind = voter(200, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let mut request =
        receiver.handle_announcement(millis(0), MAP, Version(200), peer(1), Version(1500));
    let mut responses = 0;
    while let Some(current) = request {
        let updates = respond(&mut sender, &ahead, &current);
        let ConsensusMessage::Updates { changes, .. } = &updates else {
            panic!("{updates:?}");
        };
        let weight: usize = changes
            .iter()
            .map(|committed| committed.change.weight())
            .sum();
        assert!(weight <= MAX_UPDATE_WEIGHT);
        responses += 1;
        let advanced = !behind.handle(updates).advanced.is_empty();
        request = receiver.handle_changes(millis(1), MAP, behind.map(MAP).version, advanced);
    }
    assert_eq!(behind.map(MAP), ahead.map(MAP));
    assert!((2..20).contains(&responses), "{responses} responses");
    assert!(!receiver.is_receiving(MAP));
    assert_eq!(sender.encodings(), 0);
}

#[test]
fn transfer_ends_when_the_peer_has_nothing_newer() {
    let held = voter(5, 6000);
    let (mut receiver, mut sender) = (receiver(), SnapshotSender::default());
    let request = receiver.handle_announcement(millis(0), MAP, Version(5), peer(1), Version(6));
    let updates = respond(&mut sender, &held, &request.expect("a transfer starts"));
    let changes = Vec::new();
    assert_eq!(updates, ConsensusMessage::Updates { map: MAP, changes });
    let next = receiver.handle_changes(millis(1), MAP, Version(5), false);
    assert_eq!(next, None);
    assert!(!receiver.is_receiving(MAP));
}

#[test]
fn full_snapshot_is_sent_at_most_once_a_second_to_a_follower() {
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
fn catch_up_request_of_an_older_release_has_no_position() {
    // The request of a release without chunks: the kind, and a list of the map and the version.
    let bytes = [0x82, 0x06, 0x82, 0x82, 0x00, 0x80, 0x05];
    let read = minicbor::decode::<ConsensusMessage>(&bytes).expect("the request decodes");
    let expected = ConsensusMessage::CatchUp {
        map: MAP,
        after: Version(5),
        position: None,
    };
    assert_eq!(read, expected);
}
