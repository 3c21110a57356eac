//! An order's way: matched, admitted, an instance chosen, shot at, and answered.
//!
//! Given a number it takes that many orders, for counting instructions per order.

use caperworks::prelude::*;

fn put(key: &str, value: Value) -> Put {
    Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    }
}

fn main() {
    let orders: u64 = std::env::args()
        .nth(1)
        .and_then(|number| number.parse().ok())
        .unwrap_or(1000);
    let mut standing = Book::empty();
    let area = Value::Area {
        area: AreaOrder {
            region: Region::new("east"),
            closed: false,
        },
    };
    let pool = Value::Pool {
        pool: Pool {
            keyed: false,
            slices: 1,
            instance_cap: 32,
            key_cap: 1,
            cold_rate_milli: 10000,
            warm_span: Duration::from_secs(5),
            ..Pool::default()
        },
    };
    let rule = Value::Rule {
        rule: Rule {
            host: "tallowgum.example".to_string(),
            path: "/progress".to_string(),
            pool: PoolName::new("records"),
            homes: Vec::new(),
            deadline: Duration::from_secs(1),
            body_limit: 1000,
            key_header: None,
            ..Rule::default()
        },
    };
    standing.apply(&Change {
        id: ChangeId::new("first"),
        puts: vec![
            put("area/e1", area),
            put("pool/records", pool),
            put("rule/progress", rule),
        ],
        guards: Vec::new(),
    });
    let instances = (0..30)
        .map(|number| Beat {
            id: InstanceId::new(format!("records-{number}")),
            incarnation: Incarnation(1),
            counter: 1,
            pool: PoolName::new("records"),
            area: Area::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number)),
            capacity: 10,
            state: InstanceState::Serving,
            load: 0,
            up: Duration::from_secs(60),
            holding: Vec::new(),
            let_go: Vec::new(),
            cold_left: Duration::ZERO,
        })
        .collect();
    let view = ProxyView {
        agent: NodeId(1),
        instances_place: 1,
        all_instances: true,
        number: 1,
        left: Duration::from_secs(3600),
        news: vec![Vote::Whole {
            book: BookName::Standing,
            whole: standing,
        }],
        instances,
        proxies: 12,
        standing: Edition(1),
        tenure: Edition(0),
    };
    let mut knowledge = ProxyKnowledge::default();
    knowledge.take(Duration::ZERO, &view);
    let own = Area::new("e1");
    let mut shard = PoolShard::new(1);
    let mut done = 0;
    for number in 0..orders {
        let now = Duration::from_millis(number);
        let mut chart = OrderChart::received(true);
        let found = knowledge.table.find("tallowgum.example", "/progress/7");
        let (_, rule) = found.expect("the rule");
        chart.matched(now, rule);
        knowledge.admits(now, &own, rule).expect("fresh and open");
        chart.admitted(true);
        shard.first_shot(now);
        let target = shard
            .choose(now, &knowledge, &own, rule, None, &[])
            .expect("an instance");
        shard.begin(now, &target);
        chart.chosen();
        knowledge
            .still_good(now, &own, rule, &target)
            .expect("nothing has changed");
        chart.shooting();
        chart.sent();
        shard.end(now, &target, true, Some(0));
        let step = chart.shot_ended(now, ShotEnd::Answered, || false);
        done += u64::from(step == NextStep::PassOn);
    }
    println!("{done} orders passed on");
    assert_eq!(done, orders);
}
