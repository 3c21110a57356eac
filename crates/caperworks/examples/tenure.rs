//! Slices given to instances, and a hold that the instance counts from when it asked.

use caperworks::prelude::*;

fn beat(name: &str, port: u16, counter: u64, holding: Vec<u32>) -> Beat {
    Beat {
        id: InstanceId::new(name),
        incarnation: Incarnation(1),
        counter,
        pool: PoolName::new("evidence"),
        area: Area::new("e1"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        up: Duration::from_secs(60),
        holding,
        let_go: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

fn main() {
    let pool = Pool {
        keyed: true,
        slices: 8,
        instance_cap: 10,
        key_cap: 2,
        cold_rate_milli: 5000,
        warm_span: Duration::from_secs(3),
        ..Pool::default()
    };
    let name = PoolName::new("evidence");
    let now = Duration::from_secs(1);
    let mut instances = Instances::default();
    for (place, id) in ["one", "two"].iter().enumerate() {
        let beat = beat(id, 7000 + place as u16, 1, Vec::new());
        instances.hear(
            now,
            &HeardBeat {
                beat,
                age: Duration::ZERO,
            },
        );
    }
    let mut keeper = Keeper::default();
    keeper.take_up(Duration::ZERO, false);
    let mut tenure = Book::empty();
    let view = TenureView {
        instances: &instances,
        closed: &BTreeSet::new(),
        tenure: &tenure,
    };
    let table = keeper
        .plan(now, Epoch(1), &name, &pool, &view)
        .expect("slices without owners");

    // A real host has the table agreed on first; then beats are answered from it.
    let value = Value::Slices { table };
    let put = Put {
        key: "slices/evidence".to_string(),
        expected: None,
        value: Some(value),
        written: None,
    };
    tenure.apply(&Change {
        id: ChangeId::new("plan"),
        puts: vec![put],
        guards: Vec::new(),
    });
    let answer = keeper.beat(now, &beat("one", 7000, 2, Vec::new()), &tenure);
    let mut holdings = Holdings::default();
    holdings.answered(now, &answer);
    println!("instance one holds {:?}", holdings.holding(now));
    let hold = &answer.holds[0];
    let need = Duration::from_secs(2);
    assert!(holdings.may_start(now, hold.slice, hold.epoch, need));
    assert!(!holdings.may_start(now + HOLD_SPAN, hold.slice, hold.epoch, need));
}
