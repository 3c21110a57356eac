//! Stories of slices and their owners.

use caperworks::prelude::*;

const POOL: &str = "evidence";

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn beat(name: &str, up: Duration, holding: Vec<u32>) -> Beat {
    let port = 7000 + (steady_hash(name) % 1000) as u16;
    Beat {
        id: InstanceId::new(name),
        incarnation: Incarnation(1),
        counter: up.as_millis() as u64,
        pool: PoolName::new(POOL),
        area: Area::new("east-1"),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        up,
        holding,
        let_go: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

/// A keeper, the book it plans for, and the instances' own idea of what they hold.
struct Bench {
    keeper: Keeper,
    instances: Instances,
    tenure: Book,
    pool: Pool,
    changes: u32,
    holdings: BTreeMap<String, Holdings>,
}

impl Bench {
    fn new(slices: u32) -> Self {
        let pool = Pool {
            keyed: true,
            slices,
            instance_cap: 10,
            key_cap: 4,
            cold_rate_milli: 10000,
            warm_span: seconds(3),
            ..Pool::default()
        };
        Self {
            keeper: Keeper::default(),
            instances: Instances::default(),
            tenure: Book::empty(),
            pool,
            changes: 0,
            holdings: BTreeMap::new(),
        }
    }

    /// The instance beats and takes the answer in.
    fn beats(&mut self, now: Duration, name: &str, up: Duration) {
        let holdings = self.holdings.entry(name.to_string()).or_default();
        let mut beat = beat(name, up, holdings.holding(now));
        beat.let_go = holdings.let_go();
        let age = Duration::ZERO;
        self.instances.hear(
            now,
            &HeardBeat {
                beat: beat.clone(),
                age,
            },
        );
        let answer = self.keeper.beat(now, &beat, &self.tenure);
        holdings.answered(now, &answer);
    }

    /// The keeper plans; says how many slices changed hands.
    fn plans(&mut self, now: Duration) -> usize {
        self.instances.expire(now);
        let name = PoolName::new(POOL);
        let view = TenureView {
            instances: &self.instances,
            closed: &BTreeSet::new(),
            tenure: &self.tenure,
        };
        let planned = self.keeper.plan(now, Epoch(1), &name, &self.pool, &view);
        let Some(table) = planned else {
            return 0;
        };
        let before = self.tenure.slices(&name).cloned();
        let owner_before = |slice: usize| {
            before
                .as_ref()
                .and_then(|table| table.owners[slice].clone())
        };
        let moved = (0..table.owners.len())
            .filter(|slice| owner_before(*slice) != table.owners[*slice])
            .count();
        self.changes += 1;
        let put = Put {
            key: format!("slices/{name}"),
            expected: None,
            value: Some(Value::Slices { table }),
            written: None,
        };
        self.tenure.apply(&Change {
            id: ChangeId::new(format!("plan-{}", self.changes)),
            puts: vec![put],
            guards: Vec::new(),
        });
        moved
    }

    fn may_start(&self, now: Duration, name: &str, slice: usize) -> bool {
        self.tenure
            .slices(&PoolName::new(POOL))
            .and_then(|table| table.owners[slice].clone())
            .is_some_and(|owner| {
                self.holdings[name].may_start(now, slice as u32, owner.epoch, Duration::ZERO)
            })
    }
}

#[test]
fn given_cold_owners_when_one_is_warm_first_then_no_slice_moves_to_it() {
    let mut bench = Bench::new(64);
    let names: Vec<String> = (1..=8).map(|number| format!("evidence-{number}")).collect();
    bench.keeper.take_up(seconds(0), false);
    for name in &names {
        bench.beats(seconds(1), name, seconds(1));
    }
    assert_eq!(
        bench.plans(seconds(1)),
        64,
        "all slices get an owner at first"
    );
    for step in 4..40 {
        let now = Duration::from_millis(step * 500);
        for (place, name) in names.iter().enumerate() {
            // The first one started a second before the others.
            let up = if place == 0 { now + seconds(1) } else { now };
            bench.beats(now, name, up);
        }
        assert_eq!(bench.plans(now), 0, "something moved at {now:?}");
    }
    for slice in 0..64 {
        let held = names
            .iter()
            .any(|name| bench.may_start(seconds(20), name, slice));
        assert!(held, "nobody may work on slice {slice}");
    }
}

#[test]
fn given_a_slice_let_go_when_its_target_is_the_old_owner_again_then_it_comes_back_to_work() {
    let mut bench = Bench::new(1);
    bench.keeper.take_up(seconds(0), false);
    bench.beats(seconds(1), "evidence-1", seconds(10));
    bench.plans(seconds(1));
    bench.beats(seconds(2), "evidence-1", seconds(11));
    let rank = |name: &str| steady_hash(&format!("{POOL} 0 {name}"));
    let newcomer = (2..200)
        .map(|number| format!("evidence-{number}"))
        .find(|name| rank(name) > rank("evidence-1"))
        .expect("some name ranks higher");
    // The newcomer is there just long enough for the owner to be asked to let go.
    bench.beats(seconds(3), &newcomer, seconds(30));
    bench.plans(seconds(3));
    for step in 0..30 {
        let now = Duration::from_millis(3500 + step * 500);
        bench.beats(now, "evidence-1", seconds(12) + now);
        bench.plans(now);
    }
    let end = seconds(18);
    let held = [&newcomer, "evidence-1"]
        .iter()
        .any(|name| bench.may_start(end, name, 0));
    assert!(held, "nobody may work on the slice");
}

#[test]
fn given_an_owner_that_fell_silent_when_its_hold_may_live_then_its_slices_stay() {
    let mut bench = Bench::new(4);
    bench.keeper.take_up(seconds(0), false);
    bench.beats(seconds(1), "evidence-1", seconds(10));
    bench.plans(seconds(1));
    bench.beats(seconds(20), "evidence-1", seconds(30));
    assert!(bench.may_start(seconds(20), "evidence-1", 0));
    for tenth in 0..200 {
        let now = seconds(20) + Duration::from_millis(100 * tenth);
        bench.beats(now, "evidence-2", seconds(40) + now);
        if bench.plans(now) > 0 {
            assert!(now >= seconds(20) + HOLD_SPAN, "moved already at {now:?}");
            assert!(
                !bench.may_start(now, "evidence-1", 0),
                "the old owner must have stopped"
            );
            return;
        }
    }
    panic!("the slices of the dead owner never moved");
}

#[test]
fn given_an_owner_asked_to_let_go_when_work_is_under_way_then_the_slice_waits_for_it() {
    let mut bench = Bench::new(1);
    bench.keeper.take_up(seconds(0), false);
    bench.beats(seconds(1), "evidence-1", seconds(10));
    bench.plans(seconds(1));
    bench.beats(seconds(2), "evidence-1", seconds(11));
    bench
        .holdings
        .get_mut("evidence-1")
        .expect("known")
        .started(0);
    let rank = |name: &str| steady_hash(&format!("{POOL} 0 {name}"));
    let newcomer = (2..200)
        .map(|number| format!("evidence-{number}"))
        .find(|name| rank(name) > rank("evidence-1"))
        .expect("some name ranks higher");
    let mut moved_at = None;
    for step in 0..40 {
        let now = seconds(3) + Duration::from_millis(step * 500);
        bench.beats(now, "evidence-1", seconds(12) + now);
        bench.beats(now, &newcomer, seconds(12) + now);
        if step == 8 {
            bench
                .holdings
                .get_mut("evidence-1")
                .expect("known")
                .ended(0);
        }
        if bench.plans(now) > 0 {
            moved_at = Some(step);
            break;
        }
        assert!(!bench.may_start(now, &newcomer, 0));
    }
    let moved_at = moved_at.expect("the slice moves in the end");
    assert!(
        moved_at >= 8,
        "moved at step {moved_at} although work was under way"
    );
}

#[test]
fn given_a_new_keeper_when_the_one_before_may_have_granted_then_nothing_moves_for_its_span() {
    let mut bench = Bench::new(4);
    bench.keeper.take_up(seconds(0), false);
    bench.beats(seconds(1), "evidence-1", seconds(10));
    bench.plans(seconds(1));
    bench.keeper = Keeper::default();
    bench.keeper.take_up(seconds(30), false);
    for tenth in 0..88 {
        let now = seconds(30) + Duration::from_millis(100 * tenth);
        bench.beats(now, "evidence-2", seconds(40) + now);
        assert_eq!(bench.plans(now), 0, "moved already at {now:?}");
    }
    let now = seconds(30) + KEEPER_WAIT;
    bench.beats(now, "evidence-2", seconds(40) + now);
    assert!(
        bench.plans(now) > 0,
        "the slices move once the longest hold has passed"
    );
}

#[test]
fn given_a_slice_let_go_when_an_old_grant_comes_late_then_it_is_refused_for_good() {
    let mut holdings = Holdings::default();
    let hold = |left| HoldAnswer {
        slice: 3,
        epoch: Epoch(7),
        left,
        handover: None,
    };
    let grant = BeatAnswer {
        holds: vec![hold(HOLD_SPAN)],
        release: Vec::new(),
        ..BeatAnswer::default()
    };
    let release = BeatAnswer {
        holds: Vec::new(),
        release: vec![hold(Duration::ZERO)],
        ..BeatAnswer::default()
    };
    holdings.answered(seconds(1), &grant);
    assert!(holdings.may_start(seconds(2), 3, Epoch(7), Duration::ZERO));
    holdings.answered(seconds(2), &release);
    holdings.answered(seconds(3), &grant);
    assert!(!holdings.may_start(seconds(3), 3, Epoch(7), Duration::ZERO));
    assert!(holdings.holding(seconds(3)).is_empty());
}

#[test]
fn given_a_hold_when_an_order_needs_longer_than_is_left_then_it_is_refused() {
    let mut holdings = Holdings::default();
    let holds = vec![HoldAnswer {
        slice: 0,
        epoch: Epoch(1),
        left: seconds(6),
        handover: None,
    }];
    holdings.answered(
        seconds(0),
        &BeatAnswer {
            holds,
            release: Vec::new(),
            ..BeatAnswer::default()
        },
    );
    assert!(holdings.may_start(seconds(3), 0, Epoch(1), seconds(2)));
    assert!(!holdings.may_start(seconds(5), 0, Epoch(1), seconds(2)));
    assert!(!holdings.may_start(seconds(3), 0, Epoch(2), seconds(1)));
}
