//! Compatibility of the wire and disk formats: bytes written by earlier builds must decode to the same
//! values, and these values must encode to the same bytes. Fixtures are never regenerated; a field that
//! is added to a message gets a new fixture in addition to the old one.

use caperworks::catch_up::SnapshotChunk;
use caperworks::catch_up::TransferPosition;
use caperworks::consensus::messages::AcceptedProposal;
use caperworks::consensus::messages::CommittedChange;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::messages::ProposalNumber;
use caperworks::consensus::messages::Record;
use caperworks::deregistrations::DeregistrationDigest;
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::disk_frame::read_frame;
use caperworks::disk_frame::FrameKind;
use caperworks::disk_frame::Generation;
use caperworks::envelope_clock::Echo;
use caperworks::envelope_clock::Stamp;
use caperworks::facts::Demand;
use caperworks::facts::GroupZone;
use caperworks::facts::Heartbeat;
use caperworks::facts::InstanceState;
use caperworks::facts::Member;
use caperworks::facts::ReceivedHeartbeat;
use caperworks::facts::ReceivedMember;
use caperworks::facts::Role;
use caperworks::identifiers::ChangeId;
use caperworks::identifiers::Epoch;
use caperworks::identifiers::Incarnation;
use caperworks::identifiers::InstanceId;
use caperworks::identifiers::NodeId;
use caperworks::identifiers::Region;
use caperworks::identifiers::RouteName;
use caperworks::identifiers::ServiceName;
use caperworks::identifiers::Version;
use caperworks::identifiers::Zone;
use caperworks::map_items::CallerLimits;
use caperworks::map_items::GroupPlacement;
use caperworks::map_items::KeyRangeOwner;
use caperworks::map_items::KeyRangeTable;
use caperworks::map_items::KeySpace;
use caperworks::map_items::LeadershipTerm;
use caperworks::map_items::Mapping;
use caperworks::map_items::RequestKind;
use caperworks::map_items::Route;
use caperworks::map_items::Service;
use caperworks::map_items::Share;
use caperworks::map_items::SplitTarget;
use caperworks::map_items::Value;
use caperworks::map_items::VoterEntry;
use caperworks::map_items::VoterSet;
use caperworks::map_items::ZoneSettings;
use caperworks::messages::Envelope;
use caperworks::messages::Founding;
use caperworks::messages::Granted;
use caperworks::messages::Message;
use caperworks::messages::ProxyView;
use caperworks::messages::Pull;
use caperworks::messages::Renewal;
use caperworks::messages::ResponseExtent;
use caperworks::messages::UsageLine;
use caperworks::ownership::HeartbeatResponse;
use caperworks::ownership::KeyRangeLease;
use caperworks::ownership::ReleasedKeyRange;
use caperworks::partition_fallback::FallbackMembers;
use caperworks::partition_fallback::FallbackRequest;
use caperworks::partition_fallback::FallbackResponse;
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::Change;
use caperworks::replicated_map::Guard;
use caperworks::replicated_map::Item;
use caperworks::replicated_map::MapName;
use caperworks::replicated_map::Put;
use caperworks::replicated_map::RecentChange;
use caperworks::replicated_map::ReplicatedMap;
use caperworks::replicated_map::Written;
use caperworks::slots::DiskImage;
use caperworks::slots::DiskWrite;
use caperworks::slots::Recovery;
use caperworks::slots::SlotDisk;
use caperworks::version_history::ConfirmedVersion;
use caperworks::version_history::VersionHistory;
use minicbor::Decode;
use minicbor::Encode;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Messages of builds whose connections carried messages in one direction only.
const ONE_DIRECTION_MESSAGES: &str = include_str!("fixtures/messages.hex");
/// Messages with the fields that were added together with bidirectional connections.
const MESSAGES: &str = include_str!("fixtures/messages-2.hex");
const CONSENSUS_MESSAGES: &str = include_str!("fixtures/consensus_messages.hex");
const LOG_RECORDS: &str = include_str!("fixtures/log_records.hex");
/// Frames of disk formats 1 and 2.
const FRAMES: &str = include_str!("fixtures/frames.hex");
const FRAMES_3: &str = include_str!("fixtures/frames-3.hex");
/// Messages and records with the fields that were added when deregistrations came to disk.
const DEREGISTRATION_MESSAGES: &str = include_str!("fixtures/deregistration_messages.hex");
const DEREGISTRATION_RECORDS: &str = include_str!("fixtures/deregistration_records.hex");

/// Parses a fixture file: each line is a name and the bytes in hexadecimal digits.
fn fixtures(file: &str) -> BTreeMap<&str, Vec<u8>> {
    file.lines()
        .map(|line| line.split_once(' ').expect("a name and its bytes"))
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let pair = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16);
    (0..digits.len())
        .step_by(2)
        .map(|start| pair(start).expect("hexadecimal digits"))
        .collect()
}

/// Checks that each fixture of an earlier build decodes to the value of its name, in which fields that
/// were added later have their defaults.
fn check_decodes<T>(file: &str, values: Vec<(&str, T)>)
where
    T: for<'bytes> Decode<'bytes, ()> + PartialEq + fmt::Debug,
{
    let mut stored = fixtures(file);
    for (name, value) in values {
        let bytes = stored
            .remove(name)
            .unwrap_or_else(|| panic!("no fixture of {name}"));
        let decoded: T = minicbor::decode(&bytes).expect("a stored value decodes");
        assert_eq!(decoded, value, "{name}");
    }
    assert!(stored.is_empty(), "fixtures without a value: {stored:?}");
}

/// Checks that each fixture decodes to the value of its name and the value encodes to the fixture, and
/// that every fixture has a value.
fn check<T>(file: &str, values: Vec<(&str, T)>)
where
    T: Encode<()> + for<'bytes> Decode<'bytes, ()> + PartialEq + fmt::Debug,
{
    let mut stored = fixtures(file);
    for (name, value) in values {
        let bytes = stored
            .remove(name)
            .unwrap_or_else(|| panic!("no fixture of {name}"));
        let decoded: T = minicbor::decode(&bytes).expect("a stored value decodes");
        assert_eq!(decoded, value, "{name}");
        let encoded = minicbor::to_vec(&value).expect("a value encodes");
        assert_eq!(encoded, bytes, "{name}");
    }
    assert!(stored.is_empty(), "fixtures without a value: {stored:?}");
}

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn proposal_number(round: u64) -> ProposalNumber {
    ProposalNumber {
        counter: round,
        node: NodeId(77),
    }
}

fn route() -> Route {
    Route {
        host: "shop.example".to_string(),
        path: "/cart".to_string(),
        service: ServiceName::from("cart"),
        homes: vec![Region::from("north")],
        deadline: millis(2500),
        body_limit: 65_536,
        key_header: Some("x-key".to_string()),
        kind: RequestKind::Repeatable,
        split: vec![SplitTarget {
            service: ServiceName::from("cart-next"),
            weight: 3,
        }],
        target_latency: millis(90),
        priority: 2,
        max_attempts: 4,
    }
}

fn service() -> Service {
    Service {
        keyed: true,
        key_ranges: 64,
        instance_cap: 100,
        key_cap: 10,
        slow_start_rate_milli: 1500,
        warm_up_period: millis(30_000),
        key_space: KeySpace::Ranges,
        connection_limit: 40,
        health_path: "/health".to_string(),
    }
}

fn mapping() -> Mapping {
    Mapping {
        epoch: Epoch(9),
        groups: vec![GroupPlacement {
            group: "mobile".to_string(),
            route: RouteName::from("cart"),
            shares: vec![Share {
                zone: Zone::from("north-a"),
                units: 700,
            }],
            unplaced: 5,
        }],
        proxies: 12,
    }
}

fn key_ranges() -> KeyRangeTable {
    KeyRangeTable {
        epoch: Epoch(4),
        owners: vec![
            None,
            Some(KeyRangeOwner {
                instance: InstanceId::from("cart-1"),
                incarnation: Incarnation(3),
                epoch: Epoch(2),
                handover: Some("offset 12".to_string()),
            }),
        ],
    }
}

fn voters() -> VoterSet {
    VoterSet {
        entries: vec![VoterEntry {
            node: NodeId(5),
            address: address(5, 7000),
            zone: Zone::from("north-a"),
            controller: true,
        }],
    }
}

/// Returns one value of each variant.
fn item_values() -> Vec<Value> {
    vec![
        Value::Route { route: route() },
        Value::Service { service: service() },
        Value::Zone {
            zone: ZoneSettings {
                region: Region::from("north"),
                closed: true,
            },
        },
        Value::Mapping { mapping: mapping() },
        Value::KeyRanges {
            table: key_ranges(),
        },
        Value::VoterSet { voters: voters() },
        Value::Leadership {
            term: LeadershipTerm {
                leader: NodeId(5),
                epoch: Epoch(8),
            },
        },
        Value::FallbackMembers {
            fallback_members: FallbackMembers {
                members: vec![address(11, 7100)],
                previous: vec![address(12, 7100)],
            },
        },
        Value::Limits {
            limits: CallerLimits {
                header_bytes: 8192,
                body_bytes: 1_000_000,
                header_timeout: millis(5000),
                idle_timeout: millis(60_000),
            },
        },
        Value::Dropped,
    ]
}

fn written() -> Written {
    Written {
        version: 31,
        text: "{\"rule\":\"cart\"}".to_string(),
    }
}

fn change() -> Change {
    let puts = item_values().into_iter().enumerate();
    Change {
        id: ChangeId::from("change-1"),
        puts: puts
            .map(|(index, value)| Put {
                key: format!("key-{index}"),
                expected: Some(Version(index as u64)),
                value: (index != 9).then_some(value),
                written: (index == 0).then(written),
            })
            .collect(),
        guards: vec![Guard {
            key: "key-20".to_string(),
            expected: Version(6),
        }],
    }
}

fn accepted_proposal() -> AcceptedProposal {
    AcceptedProposal {
        proposal_number: proposal_number(6),
        change: change(),
    }
}

fn numbered_change() -> CommittedChange {
    CommittedChange {
        version: Version(18),
        change: change(),
    }
}

fn replicated_map() -> ReplicatedMap {
    let values = item_values().into_iter().enumerate();
    ReplicatedMap {
        version: Version(17),
        items: values
            .map(|(index, value)| {
                let item = Item {
                    version: Version(index as u64 + 1),
                    value,
                    written: (index == 0).then(written),
                };
                (format!("key-{index}"), item)
            })
            .collect(),
        recent_changes: vec![RecentChange {
            id: ChangeId::from("change-0"),
            version: Version(16),
            digest: 0x0102_0304_0506_0708,
        }],
        histories: BTreeMap::from([(
            "key-0".to_string(),
            VersionHistory {
                confirmed: vec![ConfirmedVersion {
                    version: 31,
                    digest: 99,
                }],
                forgotten: 30,
            },
        )]),
        form: FeedForm::Reduced,
    }
}

fn snapshot_chunk() -> SnapshotChunk {
    SnapshotChunk {
        map: MapName::Placement,
        version: Version(40),
        transfer: 123,
        offset: 65_536,
        total: 65_541,
        digest: 0x1122_3344_5566_7788,
        bytes: vec![1, 2, 3, 4, 5],
    }
}

fn consensus_messages() -> Vec<(&'static str, ConsensusMessage)> {
    let map = MapName::Configuration;
    let (membership, version) = (Version(3), Version(17));
    vec![
        (
            "0",
            ConsensusMessage::Prepare {
                map,
                membership,
                version,
                proposal_number: proposal_number(4),
            },
        ),
        (
            "1",
            ConsensusMessage::Promise {
                map: MapName::Placement,
                version,
                proposal_number: proposal_number(4),
                accepted: Some(accepted_proposal()),
            },
        ),
        (
            "1-without-accepted",
            ConsensusMessage::Promise {
                map: MapName::Ownership,
                version,
                proposal_number: proposal_number(4),
                accepted: None,
            },
        ),
        (
            "2",
            ConsensusMessage::Accept {
                map: MapName::Membership,
                membership,
                version,
                proposal_number: proposal_number(4),
                change: change(),
            },
        ),
        (
            "3",
            ConsensusMessage::Accepted {
                map,
                version,
                proposal_number: proposal_number(4),
            },
        ),
        (
            "4",
            ConsensusMessage::Reject {
                map,
                version,
                proposal_number: proposal_number(4),
                promised: proposal_number(5),
                voter_version: Version(19),
            },
        ),
        (
            "5",
            ConsensusMessage::Commit {
                map,
                version,
                change: change(),
            },
        ),
        (
            "6",
            ConsensusMessage::CatchUp {
                map,
                after: Version(12),
                position: Some(TransferPosition {
                    transfer: 123,
                    version: Version(40),
                    offset: 65_536,
                    form: FeedForm::Reduced,
                    max_bytes: 4096,
                }),
            },
        ),
        (
            "6-without-position",
            ConsensusMessage::CatchUp {
                map,
                after: Version(12),
                position: None,
            },
        ),
        (
            "7",
            ConsensusMessage::Updates {
                map,
                changes: vec![numbered_change()],
            },
        ),
        (
            "8",
            ConsensusMessage::Snapshot {
                map,
                full_map: replicated_map(),
            },
        ),
        (
            "9",
            ConsensusMessage::Chunk {
                chunk: snapshot_chunk(),
            },
        ),
        (
            "10",
            ConsensusMessage::ReducedUpdates {
                map,
                changes: vec![numbered_change()],
            },
        ),
    ]
}

fn heartbeat(state: InstanceState) -> Heartbeat {
    Heartbeat {
        id: InstanceId::from("cart-1"),
        incarnation: Incarnation(3),
        counter: 55,
        service: ServiceName::from("cart"),
        zone: Zone::from("north-a"),
        address: address(21, 8080),
        capacity: 16,
        state,
        load: 7,
        uptime: millis(123_456),
        key_ranges_in_use: vec![1, 5],
        released: vec![ReleasedKeyRange {
            key_range: 9,
            epoch: Some(Epoch(2)),
            handover: Some("offset 12".to_string()),
        }],
        warm_up_left: millis(1200),
    }
}

fn received_heartbeats() -> Vec<ReceivedHeartbeat> {
    [
        InstanceState::Warming,
        InstanceState::Serving,
        InstanceState::Draining,
    ]
    .into_iter()
    .map(|state| ReceivedHeartbeat {
        heartbeat: heartbeat(state),
        age: millis(321),
    })
    .collect()
}

fn demand() -> Demand {
    Demand {
        group: "mobile".to_string(),
        route: RouteName::from("cart"),
        requests: 450,
        distance: millis(12),
    }
}

fn member(role: Role) -> Member {
    Member {
        node: NodeId(31),
        counter: 8,
        role,
        zone: Zone::from("north-b"),
        control: address(31, 7100),
        serving: address(31, 8000),
        ready: true,
        capacity: 32,
        demand: vec![demand()],
        versions: vec![Version(1), Version(2), Version(3), Version(4)],
        draining: true,
        client_zones: vec![GroupZone {
            group: "mobile".to_string(),
            zone: Zone::from("north-a"),
        }],
        demand_unchanged: true,
        suspected: true,
    }
}

fn received_members() -> Vec<ReceivedMember> {
    [Role::Proxy, Role::Directory]
        .into_iter()
        .map(|role| ReceivedMember {
            member: member(role),
            age: millis(654),
        })
        .collect()
}

fn usage_line() -> UsageLine {
    UsageLine {
        hour: 480_000,
        route: RouteName::from("cart"),
        service: ServiceName::from("cart"),
        requests: 100,
        served: 90,
        not_run: 6,
        unknown: 4,
        bytes_in: 12_345,
        bytes_out: 678_901,
    }
}

fn key_range_lease(key_range: u32) -> KeyRangeLease {
    KeyRangeLease {
        key_range,
        epoch: Epoch(4),
        duration: millis(2750),
        handover: Some("offset 12".to_string()),
    }
}

fn heartbeat_response() -> HeartbeatResponse {
    HeartbeatResponse {
        leases: vec![key_range_lease(1)],
        release: vec![key_range_lease(5)],
        by_owner_manager: true,
        owner_manager: Some(address(5, 7000)),
        fence: Epoch(6),
    }
}

fn consensus_message() -> ConsensusMessage {
    ConsensusMessage::Updates {
        map: MapName::Configuration,
        changes: vec![numbered_change()],
    }
}

fn lease_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "8",
            Message::Renew {
                renewal: Renewal {
                    number: 71,
                    member: member(Role::Proxy),
                    controller_incarnation: NodeId(5),
                    instances_after: 300,
                    members_after: 200,
                    followed_maps: vec![MapName::Configuration, MapName::Ownership],
                    form: FeedForm::Reduced,
                    facts_age: None,
                    extent: ResponseExtent::Full,
                },
            },
        ),
        (
            "9",
            Message::Grant {
                granted: Granted {
                    number: 71,
                    quorum_read_age: millis(41),
                    versions: vec![Version(17), Version(18)],
                    instances: received_heartbeats(),
                    instances_offset: 301,
                    members: received_members(),
                    members_offset: 201,
                    updates: vec![consensus_message()],
                    has_quorum: true,
                    deregistered: vec![InstanceId::from("cart-2")],
                    proxies: 12,
                    in_chunks: vec![MapName::Placement],
                    more: true,
                    position: None,
                    collecting_left: None,
                },
            },
        ),
        (
            "12",
            Message::Pull {
                pull: Pull {
                    number: 72,
                    configuration: Version(17),
                    ownership: Version(18),
                    serving: address(31, 8000),
                    ready: true,
                    capacity: 32,
                    demand: vec![demand()],
                    incarnation: 0xfeed,
                    usage: vec![usage_line()],
                    agent: NodeId(32),
                    instances_offset: 302,
                },
            },
        ),
        (
            "13",
            Message::View {
                view: ProxyView {
                    number: 72,
                    left: millis(2900),
                    updates: vec![consensus_message()],
                    instances: vec![heartbeat(InstanceState::Serving)],
                    proxies: 12,
                    configuration: Version(17),
                    ownership: Version(18),
                    agent: NodeId(32),
                    instances_offset: 303,
                    all_instances: true,
                    slow_link_remaining: millis(1100),
                    suspected: vec![InstanceId::from("cart-3")],
                    position: None,
                    reports_left: None,
                },
            },
        ),
    ]
}

fn other_messages() -> Vec<(&'static str, Message)> {
    let zone = Zone::from("north-a");
    vec![
        (
            "0",
            Message::ConsensusMessage {
                message: consensus_message(),
            },
        ),
        (
            "1",
            Message::QuorumReadRequest {
                number: 61,
                deregistrations: None,
            },
        ),
        (
            "2",
            Message::QuorumReadResponse {
                number: 61,
                versions: vec![Version(17)],
                synced: Some(vec![Version(16)]),
                shutting_down: None,
                deregistrations: None,
                merged_under: None,
            },
        ),
        (
            "3",
            Message::SeedRequest {
                zone: zone.clone(),
                founded: true,
                evidence: None,
            },
        ),
        (
            "4",
            Message::SeedResponse {
                zone,
                founded: true,
                evidence: None,
            },
        ),
        (
            "5",
            Message::FoundingRequest {
                founding: Founding {
                    attempt: 2,
                    voters: voters(),
                },
            },
        ),
        ("6", Message::FoundingResponse { attempt: 2 }),
        (
            "7",
            Message::Facts {
                instances: received_heartbeats(),
                members: received_members(),
                deregistered: vec![InstanceId::from("cart-2")],
                deregistrations: None,
            },
        ),
        (
            "10",
            Message::HeartbeatForward {
                ticket: 81,
                received: received_heartbeats().remove(1),
            },
        ),
        (
            "11",
            Message::HeartbeatReply {
                ticket: 81,
                response: heartbeat_response(),
            },
        ),
        (
            "14",
            Message::FallbackRequest {
                request: FallbackRequest {
                    number: 91,
                    versions: vec![Version(17)],
                    heartbeats: received_heartbeats(),
                },
            },
        ),
        (
            "15",
            Message::FallbackResponse {
                response: FallbackResponse {
                    number: 91,
                    versions: vec![Version(17)],
                    updates: vec![consensus_message()],
                    qualified_under: Some(Version(3)),
                    draining: Vec::new(),
                },
            },
        ),
        (
            "16",
            Message::ConfirmFact {
                number: 92,
                heartbeat: Some(received_heartbeats().remove(2)),
                ended: Some(InstanceId::from("cart-2")),
            },
        ),
        (
            "17",
            Message::FactConfirmed {
                number: 92,
                synced: None,
            },
        ),
    ]
}

/// Returns the wire number of a message. A new variant must be added here and needs a fixture.
fn number_of(message: &Message) -> u32 {
    match message {
        Message::ConsensusMessage { .. } => 0,
        Message::QuorumReadRequest { .. } => 1,
        Message::QuorumReadResponse { .. } => 2,
        Message::SeedRequest { .. } => 3,
        Message::SeedResponse { .. } => 4,
        Message::FoundingRequest { .. } => 5,
        Message::FoundingResponse { .. } => 6,
        Message::Facts { .. } => 7,
        Message::Renew { .. } => 8,
        Message::Grant { .. } => 9,
        Message::HeartbeatForward { .. } => 10,
        Message::HeartbeatReply { .. } => 11,
        Message::Pull { .. } => 12,
        Message::View { .. } => 13,
        Message::FallbackRequest { .. } => 14,
        Message::FallbackResponse { .. } => 15,
        Message::ConfirmFact { .. } => 16,
        Message::FactConfirmed { .. } => 17,
    }
}

fn envelope(message: Message) -> Envelope {
    let stamp = Stamp {
        incarnation: NodeId(31),
        at: millis(77_777),
    };
    Envelope {
        from: NodeId(31),
        reply_to: address(31, 7100),
        message,
        stamp: Some(stamp),
        echo: Some(Echo {
            stamp,
            held: millis(15),
        }),
        is_bidirectional: false,
    }
}

#[test]
fn consensus_messages_keep_their_bytes() {
    check(CONSENSUS_MESSAGES, consensus_messages());
}

#[test]
fn messages_in_envelopes_keep_their_bytes() {
    let messages = || lease_messages().into_iter().chain(other_messages());
    let numbers: BTreeSet<u32> = messages().map(|(_, message)| number_of(&message)).collect();
    assert_eq!(numbers, (0..18).collect());
    for (name, message) in messages() {
        assert_eq!(name, number_of(&message).to_string());
    }
    let envelopes = || messages().map(|(name, message)| (name, envelope(message)));
    check_decodes(ONE_DIRECTION_MESSAGES, envelopes().collect());
    check(MESSAGES, envelopes().collect());
}

#[test]
fn log_records_keep_their_bytes() {
    let map = MapName::Ownership;
    let version = Version(18);
    check(
        LOG_RECORDS,
        vec![
            (
                "record-0",
                Record::Promised {
                    map,
                    version,
                    proposal_number: proposal_number(4),
                },
            ),
            (
                "record-1",
                Record::Accepted {
                    map,
                    version,
                    accepted: accepted_proposal(),
                },
            ),
            (
                "record-2",
                Record::Committed {
                    map,
                    version,
                    change: change(),
                },
            ),
        ],
    );
}

fn received_deregistrations() -> Vec<ReceivedDeregistration> {
    vec![ReceivedDeregistration {
        id: InstanceId::from("cart-2"),
        age: millis(1500),
    }]
}

#[test]
fn messages_with_deregistrations_keep_their_bytes() {
    let messages = vec![
        (
            "read-request",
            Message::QuorumReadRequest {
                number: 61,
                deregistrations: Some(DeregistrationDigest { count: 1, ids: 7 }),
            },
        ),
        (
            "read-response",
            Message::QuorumReadResponse {
                number: 61,
                versions: vec![Version(17)],
                synced: Some(vec![Version(16)]),
                shutting_down: None,
                deregistrations: Some(received_deregistrations()),
                merged_under: Some(Version(3)),
            },
        ),
        (
            "facts",
            Message::Facts {
                instances: Vec::new(),
                members: Vec::new(),
                deregistered: vec![InstanceId::from("cart-2")],
                deregistrations: Some(received_deregistrations()),
            },
        ),
        (
            "confirmed",
            Message::FactConfirmed {
                number: 92,
                synced: Some(true),
            },
        ),
    ];
    check(DEREGISTRATION_MESSAGES, messages);
}

#[test]
fn log_records_of_deregistrations_keep_their_bytes() {
    let ids = vec![InstanceId::from("cart-2"), InstanceId::from("cart-7")];
    let deregistered = Record::Deregistered { ids: ids.clone() };
    let forgotten = Record::DeregistrationsForgotten { ids };
    check(
        DEREGISTRATION_RECORDS,
        vec![("record-3", deregistered), ("record-4", forgotten)],
    );
}

#[test]
fn frames_of_slots_and_log_keep_their_bytes() {
    let stored = fixtures(FRAMES_3);
    let payload = b"the state of a controller".to_vec();
    let line = b"one record".to_vec();
    let mut disk = SlotDisk::new(4096, 4096);
    let [slot, head] = disk.rewrite(&payload);
    let appended = disk.append(std::slice::from_ref(&line));
    let expected = |name: &str| stored.get(name).expect("a frame").clone();
    assert_eq!(
        slot,
        DiskWrite::Slot {
            second: false,
            bytes: expected("slot")
        }
    );
    assert_eq!(
        head,
        DiskWrite::Log {
            offset: 0,
            bytes: expected("log-head")
        }
    );
    assert_eq!(
        appended,
        Some(DiskWrite::Log {
            offset: expected("log-head").len() as u64,
            bytes: expected("log-line")
        })
    );
    let image = DiskImage {
        slots: [expected("slot"), vec![0; 64]],
        log: [expected("log-head"), expected("log-line")].concat(),
    };
    let found = Recovery::Found {
        state: payload,
        lines: vec![line],
    };
    assert_eq!(SlotDisk::new(4096, 4096).recover(&image), found);
}

/// Format 2 has no records of deregistrations. A log must not mix formats, so a complete slot is written next.
#[test]
fn frames_of_the_second_disk_format_are_read_and_continued_with_a_slot() {
    let stored = fixtures(FRAMES);
    let frame = |name: &str| stored.get(name).expect("a frame").clone();
    let image = DiskImage {
        slots: [frame("slot"), vec![0; 64]],
        log: [frame("log-head"), frame("log-line")].concat(),
    };
    let mut disk = SlotDisk::new(4096, 4096);
    let found = Recovery::Found {
        state: b"the state of a controller".to_vec(),
        lines: vec![b"one record".to_vec()],
    };
    assert_eq!(disk.recover(&image), found);
    assert_eq!(disk.append(&[b"another record".to_vec()]), None);
}

#[test]
fn frames_of_the_first_disk_format_are_read() {
    let stored = fixtures(FRAMES);
    let old_frame = |name: &str, kind| {
        let bytes = stored.get(name).expect("a frame");
        let frame = read_frame(kind, bytes).expect("the old frame is intact");
        assert_eq!(
            (frame.generation, frame.synced_before),
            (Generation(3), None)
        );
        assert_eq!(frame.length, bytes.len());
        frame.payload.to_vec()
    };
    assert_eq!(old_frame("old-slot", FrameKind::Slot), b"an old state");
    assert_eq!(
        old_frame("old-log-line", FrameKind::LogLine),
        b"an old record"
    );
}
