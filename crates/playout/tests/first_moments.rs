//! Stories of a proxy's first moments.

use playout::prelude::*;

fn knows(instances: bool, orders: bool) -> ProxyKnowledge {
    let mut knowledge = ProxyKnowledge::default();
    if orders {
        let whole = Book {
            edition: Edition(1),
            ..Book::empty()
        };
        let news = Vote::Whole {
            book: BookName::Standing,
            whole,
        };
        Arc::make_mut(&mut knowledge.books).take(&news);
    }
    if instances {
        let beat = Beat {
            id: InstanceId::new("records-1"),
            incarnation: Incarnation(1),
            counter: 1,
            pool: PoolName::new("records"),
            area: Area::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
            capacity: 4,
            state: InstanceState::Serving,
            load: 0,
            up: Duration::from_secs(60),
            holding: Vec::new(),
            let_go: Vec::new(),
            cold_left: Duration::ZERO,
        };
        knowledge.instances.insert(beat.id.clone(), beat);
    }
    knowledge
}

#[test]
fn given_a_proxy_that_cannot_carry_yet_when_it_waits_then_it_asks_again_soon() {
    let period = Duration::from_millis(200);
    let soon = Duration::from_millis(50);
    for (instances, orders, expected) in [
        (false, false, soon),
        (true, false, soon),
        (false, true, soon),
        (true, true, period),
    ] {
        let pause = playout::daemon::pull_pause(&knows(instances, orders), period);
        assert_eq!(pause, expected, "instances {instances}, orders {orders}");
    }
    let short = Duration::from_millis(20);
    assert_eq!(
        playout::daemon::pull_pause(&knows(false, false), short),
        short
    );
}
