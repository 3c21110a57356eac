//! Leases key ranges to instances; an instance counts its leases from when it sent the heartbeat.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{ChangeId, Epoch, Incarnation, InstanceId, ServiceName, Zone};
use caperworks::instances::Instances;
use caperworks::map_items::{Service, Value};
use caperworks::ownership::{HeldLeases, OwnerManager, OwnershipView, KEY_RANGE_LEASE_DURATION};
use caperworks::replicated_map::{Change, Put, ReplicatedMap};

fn heartbeat(name: &str, port: u16, counter: u64, key_ranges_in_use: Vec<u32>) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(name),
        incarnation: Incarnation(1),
        counter,
        service: ServiceName::new("evidence"),
        zone: Zone::new("e1"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::from_secs(60),
        key_ranges_in_use,
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

fn main() {
    let service = Service {
        keyed: true,
        key_ranges: 8,
        instance_cap: 10,
        key_cap: 2,
        slow_start_rate_milli: 5000,
        warm_up_period: Duration::from_secs(3),
        ..Service::default()
    };
    let name = ServiceName::new("evidence");
    let now = Duration::from_secs(1);
    let mut instances = Instances::default();
    for (index, id) in ["one", "two"].iter().enumerate() {
        let heartbeat = heartbeat(id, 7000 + index as u16, 1, Vec::new());
        instances.handle(
            now,
            &ReceivedHeartbeat {
                heartbeat,
                age: Duration::ZERO,
            },
        );
    }
    let mut owner_manager = OwnerManager::default();
    owner_manager.start_term(Duration::ZERO);
    let mut ownership = ReplicatedMap::empty();
    let view = OwnershipView {
        instances: &instances,
        closed: &BTreeSet::new(),
        ownership: &ownership,
    };
    let planned = owner_manager
        .plan(now, Epoch(1), &name, &service, &view)
        .expect("key ranges without owners");

    // In a deployment the table is first committed by consensus; heartbeats are then answered from it.
    let value = Value::KeyRanges {
        table: planned.table,
    };
    let put = Put {
        key: "slices/evidence".to_string(),
        expected: None,
        value: Some(value),
        written: None,
    };
    ownership.apply(&Change {
        id: ChangeId::new("plan"),
        puts: vec![put],
        guards: Vec::new(),
    });
    let response = owner_manager.heartbeat(now, &heartbeat("one", 7000, 2, Vec::new()), &ownership);
    let mut held_leases = HeldLeases::default();
    held_leases.apply_response(now, &response);
    println!(
        "instance one leases {:?}",
        held_leases.key_ranges_in_use(now)
    );
    let lease = &response.leases[0];
    let need = Duration::from_secs(2);
    assert!(held_leases.may_start(now, lease.key_range, lease.epoch, need));
    assert!(!held_leases.may_start(
        now + KEY_RANGE_LEASE_DURATION,
        lease.key_range,
        lease.epoch,
        need
    ));
}
