//! Tests of the JSON of heartbeats and of the responses to them.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{Epoch, Incarnation, InstanceId, NodeId, ServiceName, Zone};
use caperworks::ownership::{
    HeartbeatResponse, KeyRangeLease, ReleasedKeyRange, TimestampedResponse,
};
use runtime::http::heartbeats;

#[test]
fn heartbeats_and_responses_survive_a_json_round_trip() {
    let heartbeat = Heartbeat {
        id: InstanceId::new("evidence-1"),
        incarnation: Incarnation(1_800_000_000_123),
        counter: 17,
        service: ServiceName::new("evidence"),
        zone: Zone::new("east-1"),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        capacity: 30,
        state: InstanceState::Draining,
        load: 3,
        uptime: Duration::from_millis(8500),
        key_ranges_in_use: vec![4, 17],
        released: vec![ReleasedKeyRange {
            key_range: 5,
            epoch: Some(Epoch(12)),
            handover: Some("5c0e".to_string()),
        }],
        warm_up_left: Duration::ZERO,
    };
    let stamp = Stamp {
        incarnation: NodeId(u64::MAX >> 1),
        at: Duration::from_micros(8_123_456),
    };
    let held = Duration::from_micros(498_000);
    let mut json = heartbeats::write(&heartbeat);
    json["stamp"] = heartbeats::write_echo(&Echo { stamp, held });
    let read = heartbeats::read_with_echo(&json.dump()).expect("it reads");
    assert_eq!(read, (heartbeat, Some(Echo { stamp, held })));
    let lease = KeyRangeLease {
        key_range: 4,
        epoch: Epoch(9),
        duration: Duration::from_millis(6000),
        handover: None,
    };
    let dated = TimestampedResponse {
        response: HeartbeatResponse {
            leases: vec![lease],
            release: Vec::new(),
            ..HeartbeatResponse::default()
        },
        stamp,
        resend: true,
    };
    let json = jzon::parse(&heartbeats::write_with_stamp(&dated).dump()).expect("it is JSON");
    assert_eq!(heartbeats::read_timestamped_response(&json), Some(dated));
    for (field, invalid) in [("stamp", "\"none\""), ("let_go", "[7]"), ("state", "4")] {
        let mut json = heartbeats::write(&read.0);
        json[field] = jzon::parse(invalid).expect("it is JSON");
        assert!(
            heartbeats::read_with_echo(&json.dump()).is_err(),
            "{field} {invalid}"
        );
    }
}
