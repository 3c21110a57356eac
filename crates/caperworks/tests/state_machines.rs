//! Tests of the state machines for consensus, disk slots, feed, leases, heartbeats and leadership.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::{CommittedChange, ConsensusMessage, ProposalNumber};
use caperworks::consensus::proposer::{
    ProposalOutcome, Proposer, ProposerOptions, ProposerOutcome,
};
use caperworks::consensus::voter::Voter;
use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::feed::{FeedCache, Follower, MAX_HISTORY_WEIGHT};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, RandomSource, Region, ServiceName, Version, Zone,
};
use caperworks::instances::Instances;
use caperworks::leadership::{first_in_order, Liveness};
use caperworks::leases::{LeaseHolder, QuorumReads, DRIFT_MARGIN, LEASE_DURATION};
use caperworks::map_items::{Route, Service, Value, VoterEntry, VoterSet, ZoneSettings};
use caperworks::messages::{Envelope, Message};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, Written, ALL_MAPS};
use caperworks::slots::{DiskImage, DiskWrite, Recovery, SlotDisk};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn zone_put(name: &str, expected: Option<u64>) -> Put {
    Put {
        key: format!("area/{name}"),
        expected: expected.map(Version),
        value: Some(Value::Zone {
            zone: ZoneSettings {
                region: Region::new("east"),
                closed: false,
            },
        }),
        written: None,
    }
}

fn change(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

fn voter_entry(number: u64, controller: bool) -> VoterEntry {
    VoterEntry {
        node: NodeId(number),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        zone: Zone::new(format!("zone-{number}")),
        controller,
    }
}

fn founding(controllers: u64, witnesses: u64) -> Change {
    let entries = (1..=controllers + witnesses)
        .map(|number| voter_entry(number, number <= controllers))
        .collect();
    let value = Some(Value::VoterSet {
        voters: VoterSet { entries },
    });
    let key = "seats".to_string();
    change(
        "founding",
        vec![Put {
            key,
            expected: Some(Version(0)),
            value,
            written: None,
        }],
    )
}

/// In-memory voters, each with a proposer; the test delivers the messages between them.
struct Consensus {
    voters: BTreeMap<u64, Voter>,
    proposers: BTreeMap<u64, Proposer>,
    down: BTreeSet<u64>,
    random: RandomSource,
    now: Duration,
    proposal_outcomes: Vec<(u64, ProposalOutcome)>,
}

impl Consensus {
    fn new(controllers: u64, witnesses: u64) -> Self {
        let mut voters = BTreeMap::new();
        let mut proposers = BTreeMap::new();
        for number in 1..=controllers + witnesses {
            let mut voter = Voter::default();
            voter.handle(ConsensusMessage::Commit {
                map: MapName::Membership,
                version: Version(1),
                change: founding(controllers, witnesses),
            });
            voters.insert(number, voter);
            let options = ProposerOptions::default();
            let proposer = Proposer::new(MapName::Configuration, NodeId(number), options);
            proposers.insert(number, proposer);
        }
        Self {
            voters,
            proposers,
            down: BTreeSet::new(),
            random: RandomSource::seeded(1),
            now: Duration::ZERO,
            proposal_outcomes: Vec::new(),
        }
    }

    /// Delivers the requests of one proposer to all running voters, and their replies to the proposer,
    /// until no messages are left.
    fn deliver(&mut self, from: u64, outcome: ProposerOutcome) {
        self.proposal_outcomes.extend(outcome.proposal_outcomes);
        let mut to_voters: VecDeque<(Option<u64>, ConsensusMessage)> = outcome
            .to_voters
            .into_iter()
            .map(|message| (None, message))
            .collect();
        to_voters.extend(
            outcome
                .to_voter
                .into_iter()
                .map(|(node, message)| (Some(node.0), message)),
        );
        while let Some((recipient, message)) = to_voters.pop_front() {
            let numbers: Vec<u64> = self.voters.keys().copied().collect();
            for number in numbers {
                if self.down.contains(&number)
                    || recipient.is_some_and(|recipient| recipient != number)
                {
                    continue;
                }
                let replies = self
                    .voters
                    .get_mut(&number)
                    .expect("voter exists")
                    .handle(message.clone())
                    .replies;
                for reply in replies {
                    if let ConsensusMessage::CatchUp { .. }
                    | ConsensusMessage::Updates { .. }
                    | ConsensusMessage::Snapshot { .. } = reply
                    {
                        let follow_ups = self
                            .voters
                            .get_mut(&from)
                            .expect("voter exists")
                            .handle(reply)
                            .replies;
                        for message in follow_ups {
                            self.voters
                                .get_mut(&number)
                                .expect("voter exists")
                                .handle(message);
                        }
                        continue;
                    }
                    let proposer = self.proposers.get_mut(&from).expect("proposer exists");
                    let next_outcome =
                        proposer.handle(self.now, NodeId(number), &reply, &self.voters[&from]);
                    self.proposal_outcomes
                        .extend(next_outcome.proposal_outcomes);
                    to_voters.extend(
                        next_outcome
                            .to_voters
                            .into_iter()
                            .map(|message| (None, message)),
                    );
                    to_voters.extend(
                        next_outcome
                            .to_voter
                            .into_iter()
                            .map(|(node, message)| (Some(node.0), message)),
                    );
                }
            }
        }
    }

    fn tick(&mut self, number: u64, elapsed_ms: u64) {
        self.now += millis(elapsed_ms);
        let voter = &self.voters[&number];
        let proposer = self.proposers.get_mut(&number).expect("proposer exists");
        let outcome = proposer.tick(self.now, voter, &mut self.random);
        self.deliver(number, outcome);
    }

    fn propose(&mut self, number: u64, ticket: u64, change: Change) {
        let now = self.now;
        self.proposers
            .get_mut(&number)
            .expect("proposer exists")
            .propose(now, ticket, change);
    }

    fn proposal_outcome(&self, ticket: u64) -> Option<&ProposalOutcome> {
        self.proposal_outcomes
            .iter()
            .find(|(known, _)| *known == ticket)
            .map(|(_, proposal_outcome)| proposal_outcome)
    }
}

#[test]
fn concurrent_changes_to_one_item_commit_one_and_report_a_conflict_for_the_other() {
    let mut consensus = Consensus::new(3, 0);
    consensus.propose(1, 10, change("left", vec![zone_put("e1", Some(0))]));
    consensus.propose(2, 20, change("right", vec![zone_put("e1", Some(0))]));
    for _ in 0..20 {
        consensus.tick(1, 50);
        consensus.tick(2, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Accepted(Version(1)))
    );
    match consensus.proposal_outcome(20) {
        Some(ProposalOutcome::Conflicts(conflicts)) => {
            assert_eq!(conflicts[0].current, Version(1));
            assert_eq!(conflicts[0].key, "area/e1");
        }
        other => panic!("expected a conflict, got {other:?}"),
    }
}

#[test]
fn concurrent_changes_to_different_items_are_both_accepted() {
    let mut consensus = Consensus::new(3, 2);
    consensus.propose(1, 10, change("left", vec![zone_put("e1", Some(0))]));
    consensus.propose(2, 20, change("right", vec![zone_put("e2", Some(0))]));
    for _ in 0..20 {
        consensus.tick(1, 50);
        consensus.tick(2, 50);
    }
    assert!(matches!(
        consensus.proposal_outcome(10),
        Some(ProposalOutcome::Accepted(_))
    ));
    assert!(matches!(
        consensus.proposal_outcome(20),
        Some(ProposalOutcome::Accepted(_))
    ));
    let versions: BTreeSet<Version> = consensus
        .voters
        .values()
        .map(|voter| voter.map(MapName::Configuration).version)
        .collect();
    assert_eq!(versions, BTreeSet::from([Version(2)]));
}

#[test]
fn change_accepted_by_a_majority_is_committed_first_by_the_next_proposer() {
    let mut consensus = Consensus::new(3, 0);
    let orphaned_change = change("orphan", vec![zone_put("e1", Some(0))]);
    let proposal_number = ProposalNumber {
        counter: 5,
        node: NodeId(1),
    };
    for number in [1, 3] {
        let request = ConsensusMessage::Accept {
            map: MapName::Configuration,
            membership: Version(1),
            version: Version(1),
            proposal_number,
            change: orphaned_change.clone(),
        };
        consensus
            .voters
            .get_mut(&number)
            .expect("voter exists")
            .handle(request);
    }
    consensus.down.insert(1);
    consensus.propose(2, 20, change("next", vec![zone_put("e2", Some(0))]));
    for _ in 0..40 {
        consensus.tick(2, 50);
    }
    let map = consensus.voters[&2].map(MapName::Configuration);
    assert_eq!(
        map.recent_changes[0].id, orphaned_change.id,
        "the orphaned change is version 1"
    );
    assert_eq!(
        consensus.proposal_outcome(20),
        Some(&ProposalOutcome::Accepted(Version(2)))
    );
}

#[test]
fn timed_out_change_is_rejected_if_never_proposed_and_unknown_if_proposed() {
    let mut consensus = Consensus::new(3, 0);
    consensus.down.extend([2, 3]);
    consensus.propose(1, 10, change("alone", vec![zone_put("e1", None)]));
    for _ in 0..60 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::NoMajority)
    );
    // A majority promises, and then becomes unreachable before it can accept the change.
    let mut consensus = Consensus::new(3, 0);
    consensus.propose(1, 11, change("interrupted", vec![zone_put("e2", None)]));
    let proposer = consensus.proposers.get_mut(&1).expect("proposer exists");
    let prepared = proposer.tick(millis(10), &consensus.voters[&1], &mut consensus.random);
    let mut is_proposed = false;
    for number in [2, 3] {
        let replies = consensus
            .voters
            .get_mut(&number)
            .expect("voter exists")
            .handle(prepared.to_voters[0].clone());
        let outcome = proposer.handle(
            millis(20),
            NodeId(number),
            &replies.replies[0],
            &consensus.voters[&1],
        );
        is_proposed |= outcome
            .to_voters
            .iter()
            .any(|message| matches!(message, ConsensusMessage::Accept { .. }));
    }
    assert!(is_proposed, "two promises are a majority");
    consensus.down.extend([1, 2, 3]);
    for _ in 0..60 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(11),
        Some(&ProposalOutcome::Unknown)
    );
}

#[test]
fn controller_with_stale_maps_does_not_reject_a_change_as_invalid() {
    let mut consensus = Consensus::new(3, 0);
    consensus.down.extend([2, 3]);
    let removal_of_missing_service = Put {
        key: "pool/that-others-have".to_string(),
        expected: None,
        value: None,
        written: None,
    };
    consensus.propose(1, 10, change("drop", vec![removal_of_missing_service]));
    consensus.tick(1, 50);
    assert_eq!(
        consensus.proposal_outcome(10),
        None,
        "a stale replica cannot reject it"
    );
    for _ in 0..60 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn repeated_change_gets_the_result_of_the_first_attempt() {
    let mut consensus = Consensus::new(3, 0);
    let first = change("same", vec![zone_put("e1", Some(0))]);
    consensus.propose(1, 1, first.clone());
    consensus.tick(1, 50);
    consensus.propose(2, 2, first);
    consensus.propose(3, 3, change("same", vec![zone_put("other", None)]));
    for _ in 0..10 {
        consensus.tick(2, 50);
        consensus.tick(3, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(1),
        Some(&ProposalOutcome::Accepted(Version(1)))
    );
    assert_eq!(
        consensus.proposal_outcome(2),
        Some(&ProposalOutcome::Repeat(Version(1)))
    );
    assert_eq!(
        consensus.proposal_outcome(3),
        Some(&ProposalOutcome::IdTaken(Version(1)))
    );
}

#[test]
fn voter_with_another_membership_rejects_and_the_side_behind_is_updated() {
    let mut voter = Voter::default();
    voter.handle(ConsensusMessage::Commit {
        map: MapName::Membership,
        version: Version(1),
        change: founding(3, 0),
    });
    for membership in [Version(0), Version(2)] {
        let outcome = voter.handle(ConsensusMessage::Prepare {
            map: MapName::Configuration,
            membership,
            version: Version(1),
            proposal_number: ProposalNumber {
                counter: 1,
                node: NodeId(2),
            },
        });
        assert!(
            outcome.records.is_empty(),
            "voted under membership {membership}"
        );
        let has_catch_up = outcome.replies.iter().any(|reply| {
            matches!(
                reply,
                ConsensusMessage::Snapshot { .. }
                    | ConsensusMessage::Updates { .. }
                    | ConsensusMessage::CatchUp { .. }
            )
        });
        assert!(has_catch_up);
    }
}

#[test]
fn corrupted_byte_of_a_slot_or_log_never_recovers_a_wrong_state() {
    let mut disk = SlotDisk::new(4096, 4096);
    let mut image = DiskImage::default();
    let apply = |image: &mut DiskImage, write: &DiskWrite| match write {
        DiskWrite::Slot { second, bytes } => image.slots[usize::from(*second)] = bytes.clone(),
        DiskWrite::Log { offset, bytes } => {
            image.log.truncate(*offset as usize);
            image.log.extend(bytes);
        }
    };
    for write in disk.rewrite(b"first") {
        apply(&mut image, &write);
    }
    for write in disk.rewrite(b"second state") {
        apply(&mut image, &write);
    }
    disk.record_write(1);
    disk.record_sync(1);
    // Each line is synced before the next is written, because lines of one write may be torn in any
    // order.
    for (ticket, line) in [(2, b"line one"), (3, b"line two")] {
        let write = disk.append(&[line.to_vec()]).expect("the line fits");
        apply(&mut image, &write);
        disk.record_write(ticket);
        disk.record_sync(ticket);
    }
    let expected = Recovery::Found {
        state: b"second state".to_vec(),
        lines: vec![b"line one".to_vec(), b"line two".to_vec()],
    };
    assert_eq!(SlotDisk::new(4096, 4096).recover(&image), expected);
    let mut damaged_count = 0;
    for (part, length) in [
        (0, image.slots[0].len()),
        (1, image.slots[1].len()),
        (2, image.log.len()),
    ] {
        for index in 0..length {
            let mut corrupted = image.clone();
            match part {
                2 => corrupted.log[index] ^= 0x40,
                _ => corrupted.slots[part][index] ^= 0x40,
            }
            match SlotDisk::new(4096, 4096).recover(&corrupted) {
                Recovery::Damaged(_) => damaged_count += 1,
                Recovery::Found { state, lines } => {
                    assert_eq!(state, b"second state", "part {part} byte {index}");
                    // Only damage to the last line may be treated as a torn write.
                    assert!(
                        lines.len() >= usize::from(part == 2),
                        "part {part} byte {index}"
                    );
                    assert!(part != 2 || lines[0] == b"line one");
                }
                Recovery::Empty => panic!("part {part} byte {index}: recovered as empty"),
            }
        }
    }
    assert!(
        damaged_count > 0,
        "corruption of the newest slot is detected"
    );
}

#[test]
fn power_loss_at_any_byte_of_a_rewrite_keeps_synced_lines() {
    let mut disk = SlotDisk::new(4096, 4096);
    let mut image = DiskImage {
        slots: [vec![0; 4096], vec![0; 4096]],
        log: vec![0; 4096],
    };
    let write_prefix = |image: &mut DiskImage, write: &DiskWrite, length: usize| match write {
        DiskWrite::Slot { second, bytes } => {
            image.slots[usize::from(*second)][..length].copy_from_slice(&bytes[..length]);
        }
        DiskWrite::Log { offset, bytes } => {
            let start = *offset as usize;
            image.log[start..start + length].copy_from_slice(&bytes[..length]);
        }
    };
    for write in disk.rewrite(b"base") {
        write_prefix(&mut image, &write, write_length(&write));
    }
    let write = disk.append(&[b"synced".to_vec()]).expect("the line fits");
    write_prefix(&mut image, &write, write_length(&write));
    let writes = disk.rewrite(b"base and synced");
    for (index, torn) in writes.iter().enumerate() {
        for torn_at in 0..write_length(torn) {
            let mut image_after_loss = image.clone();
            for complete in &writes[..index] {
                write_prefix(&mut image_after_loss, complete, write_length(complete));
            }
            write_prefix(&mut image_after_loss, torn, torn_at);
            match SlotDisk::new(4096, 4096).recover(&image_after_loss) {
                Recovery::Found { state, lines } if state == b"base" => {
                    assert_eq!(
                        lines,
                        vec![b"synced".to_vec()],
                        "write {index} torn at byte {torn_at}"
                    );
                }
                Recovery::Found { state, .. } => assert_eq!(state, b"base and synced"),
                // The log header is overwritten only while the other slot is intact, so no data is
                // lost.
                other => panic!("write {index} torn at byte {torn_at}: {other:?}"),
            }
        }
    }
}

fn write_length(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Slot { bytes, .. } | DiskWrite::Log { bytes, .. } => bytes.len(),
    }
}

#[test]
fn follower_ignores_updates_after_a_gap_and_older_snapshots() {
    let mut feed_cache = FeedCache::default();
    let committed = |version: u64| CommittedChange {
        version: Version(version),
        change: change(&format!("change-{version}"), vec![zone_put("e1", None)]),
    };
    let updates = |from: u64, to: u64| ConsensusMessage::Updates {
        map: MapName::Configuration,
        changes: (from..=to).map(committed).collect(),
    };
    assert_eq!(
        feed_cache.apply_updates(&updates(1, 3)),
        Some(MapName::Configuration)
    );
    assert_eq!(
        feed_cache.apply_updates(&updates(5, 6)),
        None,
        "changes after a gap are ignored"
    );
    assert_eq!(
        feed_cache.apply_updates(&updates(2, 4)),
        Some(MapName::Configuration)
    );
    let empty_snapshot = ConsensusMessage::Snapshot {
        map: MapName::Configuration,
        full_map: ReplicatedMap::empty(),
    };
    assert_eq!(
        feed_cache.apply_updates(&empty_snapshot),
        None,
        "a snapshot of a lower version is ignored"
    );
    assert_eq!(
        feed_cache.follower().map(MapName::Configuration).version,
        Version(4)
    );
    // A downstream follower that is slightly behind gets changes; one that is far behind gets a snapshot.
    assert!(matches!(
        feed_cache.updates_after(MapName::Configuration, Version(3)),
        Some(ConsensusMessage::Updates { changes, .. }) if changes.len() == 1
    ));
    for version in 5..MAX_HISTORY_WEIGHT as u64 {
        feed_cache.apply_updates(&updates(version, version));
    }
    assert!(matches!(
        feed_cache.updates_after(MapName::Configuration, Version(3)),
        Some(ConsensusMessage::Snapshot { .. })
    ));
}

#[test]
fn quorum_read_needs_distinct_voters_and_expires() {
    let mut quorum_reads = QuorumReads::default();
    let versions = vec![Version(1); 4];
    for step in 0..20 {
        let number = quorum_reads.begin(millis(step * 200));
        quorum_reads.handle_response(NodeId(1), number, versions.clone(), 2);
        quorum_reads.handle_response(NodeId(1), number, versions.clone(), 2);
    }
    assert_eq!(
        quorum_reads.latest(millis(4000)),
        None,
        "two responses from one voter are not a majority"
    );
    let number = quorum_reads.begin(millis(5000));
    quorum_reads.handle_response(NodeId(1), number, versions.clone(), 2);
    quorum_reads.handle_response(NodeId(2), number, vec![Version(7); 4], 2);
    let quorum_read = quorum_reads
        .latest(millis(5100))
        .expect("a majority responded");
    assert_eq!(
        quorum_read.started,
        millis(5000),
        "the lifetime counts from the start of the quorum read"
    );
    assert_eq!(
        quorum_read.versions,
        vec![Version(7); 4],
        "the highest reported version counts"
    );
    assert_eq!(
        quorum_reads.latest(millis(6600)),
        None,
        "an expired quorum read does not permit a grant"
    );
}

#[test]
fn grant_is_valid_only_once_its_versions_are_present() {
    let mut lease = LeaseHolder::default();
    let mut follower = Follower::default();
    let number = lease.renew(millis(1000));
    lease.apply_grant(
        number,
        millis(300),
        vec![Version(1), Version(0), Version(0), Version(0)],
    );
    assert_eq!(lease.fresh_until(&follower, &ALL_MAPS), Duration::ZERO);
    follower.apply_updates(&ConsensusMessage::Updates {
        map: MapName::Configuration,
        changes: vec![CommittedChange {
            version: Version(1),
            change: change("one", vec![zone_put("e1", None)]),
        }],
    });
    let until = lease.fresh_until(&follower, &ALL_MAPS);
    assert_eq!(
        until,
        millis(1000) + LEASE_DURATION - DRIFT_MARGIN - millis(300)
    );
    lease.apply_grant(99, Duration::ZERO, Vec::new());
    assert_eq!(
        lease.fresh_until(&follower, &ALL_MAPS),
        until,
        "a response without a request is ignored"
    );
}

fn heartbeat(id: &str, incarnation: u64, counter: u64, port: u16) -> ReceivedHeartbeat {
    ReceivedHeartbeat {
        heartbeat: Heartbeat {
            id: InstanceId::new(id),
            incarnation: Incarnation(incarnation),
            counter,
            service: ServiceName::new("records"),
            zone: Zone::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            capacity: 1,
            state: InstanceState::Serving,
            load: 0,
            uptime: Duration::ZERO,
            key_ranges_in_use: Vec::new(),
            released: Vec::new(),
            warm_up_left: Duration::ZERO,
        },
        age: Duration::ZERO,
    }
}

#[test]
fn latest_incarnation_wins_and_an_address_has_only_one_instance() {
    let mut instances = Instances::default();
    assert!(instances.handle(millis(100), &heartbeat("one", 2, 5, 7001)));
    assert!(
        !instances.handle(millis(200), &heartbeat("one", 1, 99, 7001)),
        "a heartbeat of an earlier incarnation is ignored"
    );
    assert!(
        !instances.handle(millis(200), &heartbeat("one", 2, 4, 7001)),
        "an older heartbeat is ignored"
    );
    assert!(
        instances.handle(millis(300), &heartbeat("two", 1, 1, 7001)),
        "another instance now has the address"
    );
    assert!(instances.get(&InstanceId::new("one")).is_none());
    // A late, forwarded heartbeat of the previous instance must not evict the new one.
    let mut stale = heartbeat("one", 2, 6, 7001);
    stale.age = millis(500);
    assert!(!instances.handle(millis(400), &stale));
    assert!(instances.get(&InstanceId::new("two")).is_some());
    let mut late = heartbeat("one", 2, 6, 7002);
    late.age = millis(2900);
    assert!(instances.handle(millis(3000), &late));
    instances.expire(millis(3150));
    assert!(
        instances.get(&InstanceId::new("one")).is_none(),
        "the age of a forwarded heartbeat counts"
    );
    assert!(instances.get(&InstanceId::new("two")).is_some());
    instances.expire(millis(3301));
    assert!(
        instances.get(&InstanceId::new("two")).is_none(),
        "an instance expires after three seconds without a heartbeat"
    );
}

#[test]
fn leadership_skips_a_failed_node_until_it_is_stable_again() {
    let entries = (1..=3).map(|number| voter_entry(number, true)).collect();
    let voters = VoterSet { entries };
    let mut liveness = Liveness::default();
    for step in 0..30 {
        for node in 1..=3 {
            liveness.handle(millis(step * 200), NodeId(node));
        }
    }
    let now = millis(29 * 200);
    assert_eq!(
        first_in_order(now, &voters, &liveness, None),
        Some(NodeId(1))
    );
    for step in 30..45 {
        for node in 2..=3 {
            liveness.handle(millis(step * 200), NodeId(node));
        }
    }
    let now = millis(44 * 200);
    let leader = first_in_order(now, &voters, &liveness, Some(NodeId(1)));
    assert_eq!(
        leader,
        Some(NodeId(2)),
        "the leader that missed its heartbeats is skipped"
    );
    liveness.handle(now, NodeId(1));
    let leader = first_in_order(now, &voters, &liveness, Some(NodeId(2)));
    assert_eq!(
        leader,
        Some(NodeId(2)),
        "a node that has just recovered is not eligible yet"
    );
    for step in 45..70 {
        for node in 1..=3 {
            liveness.handle(millis(step * 200), NodeId(node));
        }
    }
    let leader = first_in_order(millis(69 * 200), &voters, &liveness, Some(NodeId(2)));
    assert_eq!(
        leader,
        Some(NodeId(1)),
        "once stable, the node becomes the leader again"
    );
}

#[test]
fn envelope_survives_a_round_trip_and_corrupted_bytes_never_panic() {
    let stamp = Stamp {
        incarnation: NodeId(3),
        at: millis(1500),
    };
    let held = millis(20);
    let envelope = Envelope {
        from: NodeId(7),
        reply_to: SocketAddr::from(([127, 0, 0, 1], 7000)),
        stamp: Some(stamp),
        echo: Some(Echo { stamp, held }),
        is_bidirectional: true,
        message: Message::ConsensusMessage {
            message: ConsensusMessage::Accept {
                map: MapName::Membership,
                membership: Version(3),
                version: Version(4),
                proposal_number: ProposalNumber {
                    counter: 9,
                    node: NodeId(7),
                },
                change: founding(3, 2),
            },
        },
    };
    let bytes = minicbor::to_vec(&envelope).expect("encodes");
    assert_eq!(
        minicbor::decode::<Envelope>(&bytes).expect("decodes"),
        envelope
    );
    // Corrupted bytes may give a decoding error but never a panic.
    let mut random = RandomSource::seeded(3);
    for _ in 0..20_000 {
        let mut garbled = bytes.clone();
        for _ in 0..=random.below(4) {
            let index = random.below(garbled.len() as u64) as usize;
            garbled[index] = random.next_u64() as u8;
        }
        let _ = minicbor::decode::<Envelope>(&garbled);
    }
}

/// Creates a put of a service under an operator version; without a `cap` it drops the item.
fn put_under_version(name: &str, version: u64, cap: Option<u32>) -> Put {
    let service = |instance_cap| Service {
        instance_cap,
        key_cap: 1,
        slow_start_rate_milli: 1000,
        ..Service::default()
    };
    let text = format!("{name} {version}");
    Put {
        key: format!("pool/{name}"),
        expected: None,
        value: cap.map(|cap| Value::Service {
            service: service(cap),
        }),
        written: Some(Written { version, text }),
    }
}

/// Creates a put of a service under an operator version, with the operator's text.
fn put_with_text(name: &str, version: u64, text: &str) -> Put {
    let mut put = put_under_version(name, version, Some(1));
    put.written = Some(Written {
        version,
        text: text.to_string(),
    });
    put
}

#[test]
fn concurrent_calls_of_two_operators_leave_each_item_at_its_highest_version() {
    for swapped in [false, true] {
        let mut consensus = Consensus::new(3, 0);
        let left = vec![
            put_under_version("a", 5, Some(5)),
            put_under_version("b", 1, Some(1)),
            put_under_version("c", 2, None),
        ];
        let right = vec![
            put_under_version("a", 4, Some(4)),
            put_under_version("b", 3, Some(3)),
            put_under_version("c", 1, Some(1)),
        ];
        let (first, second) = if swapped { (2, 1) } else { (1, 2) };
        consensus.propose(first, 10, change("left", left));
        consensus.propose(second, 20, change("right", right));
        for _ in 0..20 {
            consensus.tick(1, 50);
            consensus.tick(2, 50);
        }
        for ticket in [10, 20] {
            let proposal_outcome = consensus.proposal_outcome(ticket);
            assert!(
                matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
                "{proposal_outcome:?}"
            );
        }
        for voter in consensus.voters.values() {
            let map = voter.map(MapName::Configuration);
            let caps: Vec<(ServiceName, u32)> = map
                .services()
                .map(|(name, service)| (name, service.instance_cap))
                .collect();
            assert_eq!(
                caps,
                [(ServiceName::new("a"), 5), (ServiceName::new("b"), 3)]
            );
            assert_eq!(map.items["pool/c"].value, Value::Dropped);
        }
    }
}

#[test]
fn versioned_call_repeated_at_any_node_is_reported_as_accepted() {
    let mut consensus = Consensus::new(3, 0);
    let first = change("call-1", vec![put_under_version("a", 5, Some(5))]);
    consensus.propose(1, 1, first.clone());
    consensus.tick(1, 50);
    consensus.propose(
        1,
        2,
        change("call-2", vec![put_under_version("a", 6, None)]),
    );
    consensus.tick(1, 50);
    consensus.propose(2, 3, first.clone());
    for _ in 0..10 {
        consensus.tick(2, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(3),
        Some(&ProposalOutcome::Repeat(Version(1)))
    );
    let another_id = Change {
        id: ChangeId::new("call-3"),
        ..first
    };
    consensus.propose(3, 4, another_id);
    for _ in 0..10 {
        consensus.tick(3, 50);
    }
    let proposal_outcome = consensus.proposal_outcome(4);
    assert!(
        matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
        "{proposal_outcome:?}"
    );
    let map = consensus.voters[&1].map(MapName::Configuration);
    assert_eq!(
        map.items["pool/a"].value,
        Value::Dropped,
        "the repeated change does not restore the item"
    );
}

#[test]
fn call_with_two_faults_reports_both_and_applies_nothing() {
    let mut consensus = Consensus::new(3, 0);
    let route_to_missing_service = |name: &str, path: &str| Put {
        key: format!("rule/{name}"),
        value: Some(Value::Route {
            route: Route {
                host: "a.example".to_string(),
                path: path.to_string(),
                service: ServiceName::new("nowhere"),
                deadline: millis(1000),
                body_limit: 1,
                ..Route::default()
            },
        }),
        ..put_under_version("", 1, None)
    };
    let puts = vec![
        put_under_version("good", 1, Some(1)),
        route_to_missing_service("one", "/one"),
        route_to_missing_service("two", "two"),
    ];
    consensus.propose(1, 1, change("faulty", puts));
    for _ in 0..10 {
        consensus.tick(1, 50);
    }
    let Some(ProposalOutcome::Invalid(faults)) = consensus.proposal_outcome(1) else {
        panic!("expected faults, got {:?}", consensus.proposal_outcome(1));
    };
    let faulty_fields: BTreeSet<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected = ["rule/one.pool", "rule/two.path", "rule/two.pool"];
    assert_eq!(faulty_fields, BTreeSet::from(expected));
    for voter in consensus.voters.values() {
        assert_eq!(voter.map(MapName::Configuration), &ReplicatedMap::empty());
        assert_eq!(voter.replica(MapName::Configuration).accepted, None);
    }
}

/// Returns three controllers and two witnesses, whose proposers commit a change only once this many
/// controllers have synced it. With `None`, they wait for a second controller only for a limited time.
fn consensus_with_synced_controllers(synced_controllers: Option<usize>) -> Consensus {
    let mut consensus = Consensus::new(3, 2);
    for (number, proposer) in &mut consensus.proposers {
        let options = ProposerOptions {
            synced_controllers,
            ..ProposerOptions::default()
        };
        *proposer = Proposer::new(MapName::Configuration, NodeId(*number), options);
    }
    consensus
}

#[test]
fn change_synced_by_one_controller_is_never_accepted_when_two_are_required() {
    let ticks = 200;
    let mut consensus = consensus_with_synced_controllers(Some(2));
    consensus.down.extend([2, 3]);
    consensus.propose(
        1,
        10,
        change("one", vec![put_under_version("a", 1, Some(1))]),
    );
    for _ in 0..ticks {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Unknown)
    );
    for voter in consensus.voters.values() {
        assert_eq!(voter.map(MapName::Configuration).version, Version(0));
    }
    // Without a required number of synced controllers, the same majority commits the change.
    let mut consensus = consensus_with_synced_controllers(None);
    consensus.down.extend([2, 3]);
    consensus.propose(
        1,
        10,
        change("one", vec![put_under_version("a", 1, Some(1))]),
    );
    for _ in 0..ticks {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Accepted(Version(1)))
    );
}

#[test]
fn change_waiting_for_a_second_controller_is_accepted_when_it_comes_back() {
    let mut consensus = consensus_with_synced_controllers(Some(2));
    consensus.down.extend([2, 3]);
    consensus.propose(
        1,
        10,
        change("one", vec![put_under_version("a", 1, Some(1))]),
    );
    for _ in 0..20 {
        consensus.tick(1, 50);
    }
    assert_eq!(consensus.proposal_outcome(10), None, "it is still pending");
    consensus.down.remove(&3);
    for _ in 0..20 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Accepted(Version(1)))
    );
    let version_of = |number: u64| {
        consensus.voters[&number]
            .map(MapName::Configuration)
            .version
    };
    assert_eq!((version_of(1), version_of(3)), (Version(1), Version(1)));
}

#[test]
fn change_synced_by_two_controllers_is_not_accepted_when_three_are_required() {
    let mut consensus = consensus_with_synced_controllers(Some(3));
    consensus.down.insert(3);
    consensus.propose(
        1,
        10,
        change("one", vec![put_under_version("a", 1, Some(1))]),
    );
    for _ in 0..200 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Unknown)
    );
}

#[test]
fn concurrent_calls_with_the_same_operator_version_confirm_exactly_one() {
    for first in [1, 2] {
        let mut consensus = Consensus::new(3, 0);
        let second = 3 - first;
        consensus.propose(1, 10, change("left", vec![put_with_text("a", 5, "left")]));
        consensus.propose(2, 20, change("right", vec![put_with_text("a", 5, "right")]));
        for _ in 0..40 {
            consensus.tick(first, 50);
            consensus.tick(second, 50);
        }
        let reported: Vec<&ProposalOutcome> = [10, 20]
            .iter()
            .filter_map(|ticket| consensus.proposal_outcome(*ticket))
            .collect();
        let confirmed =
            |outcome: &&&ProposalOutcome| matches!(outcome, ProposalOutcome::Accepted(_));
        let taken =
            |outcome: &&&ProposalOutcome| matches!(outcome, ProposalOutcome::VersionsTaken(_));
        assert_eq!(reported.iter().filter(confirmed).count(), 1, "{reported:?}");
        assert_eq!(reported.iter().filter(taken).count(), 1, "{reported:?}");
    }
}

#[test]
fn repeated_call_with_unknown_outcome_is_confirmed_after_another_proposer_committed_it() {
    let mut consensus = consensus_with_synced_controllers(Some(2));
    consensus.down.extend([2, 3]);
    let left = change("left", vec![put_with_text("a", 5, "left")]);
    consensus.propose(1, 10, left.clone());
    for _ in 0..200 {
        consensus.tick(1, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(10),
        Some(&ProposalOutcome::Unknown)
    );
    consensus.down = BTreeSet::from([1]);
    consensus.propose(2, 20, change("right", vec![put_with_text("a", 5, "right")]));
    for _ in 0..40 {
        consensus.tick(2, 50);
    }
    let outcome = consensus.proposal_outcome(20);
    assert!(
        matches!(outcome, Some(ProposalOutcome::VersionsTaken(_))),
        "the first change is already decided: {outcome:?}"
    );
    consensus.propose(3, 30, left.clone());
    let under_new_id = Change {
        id: ChangeId::new("left under a new id"),
        ..left
    };
    consensus.propose(3, 31, under_new_id);
    for _ in 0..40 {
        consensus.tick(3, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(30),
        Some(&ProposalOutcome::Repeat(Version(1)))
    );
    let outcome = consensus.proposal_outcome(31);
    assert!(
        matches!(outcome, Some(ProposalOutcome::Accepted(_))),
        "{outcome:?}"
    );
}

#[test]
fn controller_that_is_behind_and_has_no_majority_neither_confirms_nor_rejects() {
    let mut consensus = Consensus::new(3, 0);
    consensus.propose(1, 10, change("left", vec![put_with_text("a", 5, "left")]));
    consensus.tick(1, 50);
    consensus.down.extend([1, 2]);
    consensus.propose(3, 30, change("right", vec![put_with_text("a", 5, "right")]));
    for _ in 0..60 {
        consensus.tick(3, 50);
    }
    assert_eq!(
        consensus.proposal_outcome(30),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn shorter_lease_duration_applies_and_a_longer_one_has_no_effect() {
    let required_maps = [MapName::Configuration];
    for (duration, lifetime) in [
        (Duration::from_millis(2250), Duration::from_millis(2150)),
        (LEASE_DURATION, LEASE_DURATION - DRIFT_MARGIN),
        // A longer lease would still be valid after the time for which a new owner manager waits.
        (LEASE_DURATION * 2, LEASE_DURATION - DRIFT_MARGIN),
    ] {
        let mut lease_holder = LeaseHolder::default();
        lease_holder.duration = duration;
        let number = lease_holder.renew(millis(1000));
        lease_holder.apply_grant(number, millis(50), vec![Version(0); 4]);
        let until = lease_holder.fresh_until(&Follower::default(), &required_maps);
        assert_eq!(until, millis(1000) + lifetime - millis(50), "{duration:?}");
    }
}
