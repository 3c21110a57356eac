//! Stories of items under the operators' own versions, and of calls that are refused whole.

use caperworks::prelude::*;

fn pool_value(limit: u32) -> Option<Value> {
    let pool = Pool {
        instance_cap: limit,
        key_cap: 1,
        cold_rate_milli: 1000,
        ..Pool::default()
    };
    Some(Value::Pool { pool })
}

fn route(host: &str, path: &str, pool: &str) -> Rule {
    Rule {
        host: host.to_string(),
        path: path.to_string(),
        pool: PoolName::new(pool),
        deadline: Duration::from_secs(2),
        body_limit: 1000,
        ..Rule::default()
    }
}

/// A put under a version of the operators' own; nothing drops the item.
fn versioned(key: &str, version: u64, value: Option<Value>) -> Put {
    let text = format!("{key} {version}");
    Put {
        key: key.to_string(),
        expected: None,
        value,
        written: Some(Written { version, text }),
    }
}

fn call(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

/// The version of an item and its pool's limit; no limit for one that was dropped.
fn standing(book: &Book, key: &str) -> Option<(u64, Option<u32>)> {
    let item = book.items.get(key)?;
    let version = item.written.as_ref().map_or(0, |written| written.version);
    match &item.value {
        Value::Pool { pool } => Some((version, Some(pool.instance_cap))),
        _ => Some((version, None)),
    }
}

const KEY: &str = "pool/records";

/// The book after calls of one put each.
fn after(puts: &[(u64, Option<u32>)]) -> Book {
    let mut book = Book::empty();
    for (place, (version, limit)) in puts.iter().enumerate() {
        let put = versioned(KEY, *version, limit.and_then(pool_value));
        let change = call(&format!("call-{place}"), vec![put]);
        assert_eq!(check_standing(&book, &change), Vec::new());
        book.apply(&change);
    }
    book
}

#[test]
fn given_a_standing_version_when_a_lower_or_equal_one_comes_then_nothing_of_the_item_changes() {
    let first = after(&[(5, Some(50))]);
    for later in [1, 4, 5] {
        let book = after(&[(5, Some(50)), (later, Some(7))]);
        assert_eq!(standing(&book, KEY), Some((5, Some(50))), "{later}");
        assert_eq!(book.items, first.items, "not even its version of ours");
    }
    let book = after(&[(5, Some(50)), (6, Some(60))]);
    assert_eq!(standing(&book, KEY), Some((6, Some(60))));
}

#[test]
fn given_a_dropped_item_when_older_or_equal_puts_come_again_then_it_stays_dropped() {
    for older in [1, 4, 5] {
        let book = after(&[(4, Some(40)), (5, None), (older, Some(7))]);
        assert_eq!(standing(&book, KEY), Some((5, None)), "{older}");
        assert_eq!(book.pools().count(), 0);
    }
    let book = after(&[(4, Some(40)), (5, None), (6, Some(60))]);
    assert_eq!(standing(&book, KEY), Some((6, Some(60))), "a later one may");
}

#[test]
fn given_a_lower_drop_when_a_higher_version_stands_then_the_item_stays() {
    for drop in [1, 4, 5] {
        let book = after(&[(5, Some(50)), (drop, None)]);
        assert_eq!(standing(&book, KEY), Some((5, Some(50))), "{drop}");
    }
}

#[test]
fn given_a_drop_that_comes_before_the_put_it_overtakes_when_the_put_comes_then_nothing_stands() {
    let book = after(&[(9, None), (8, Some(80)), (3, Some(30))]);
    assert_eq!(standing(&book, KEY), Some((9, None)));
    assert_eq!(book.pools().count(), 0);
}

#[test]
fn given_puts_in_any_sequence_when_all_are_applied_then_the_highest_version_stands() {
    let puts = [(1, Some(10)), (2, None), (3, Some(30)), (4, None)];
    let mut chance = Chance::seeded(7);
    for highest in [3, 4] {
        for _ in 0..200 {
            let mut drawn = puts[..highest].to_vec();
            for place in (1..drawn.len()).rev() {
                drawn.swap(place, chance.below(place as u64 + 1) as usize);
            }
            let book = after(&drawn);
            let (version, limit) = puts[highest - 1];
            assert_eq!(standing(&book, KEY), Some((version, limit)), "{drawn:?}");
        }
    }
}

#[test]
fn given_one_call_that_names_an_item_twice_when_applied_then_its_highest_version_stands() {
    for versions in [[2, 7], [7, 2]] {
        let puts = versions
            .iter()
            .map(|version| versioned(KEY, *version, pool_value(*version as u32)))
            .collect();
        let change = call("twice", puts);
        let mut book = Book::empty();
        assert_eq!(check_standing(&book, &change), Vec::new(), "{versions:?}");
        book.apply(&change);
        assert_eq!(standing(&book, KEY), Some((7, Some(7))), "{versions:?}");
    }
    let puts = vec![versioned(KEY, 7, None), versioned(KEY, 2, pool_value(2))];
    let mut book = Book::empty();
    book.apply(&call("drop and put", puts));
    assert_eq!(standing(&book, KEY), Some((7, None)));
}

#[test]
fn given_version_zero_when_anything_stands_then_it_changes_nothing_and_else_it_stands() {
    let book = after(&[(0, Some(10))]);
    assert_eq!(standing(&book, KEY), Some((0, Some(10))));
    for stands in [(0, Some(10)), (1, Some(10)), (1, None)] {
        let book = after(&[stands, (0, Some(99))]);
        assert_eq!(standing(&book, KEY), Some(stands));
    }
    let book = after(&[(0, Some(10)), (1, Some(11))]);
    assert_eq!(standing(&book, KEY), Some((1, Some(11))));
}

#[test]
fn given_a_zone_closed_without_a_version_when_version_zero_comes_again_then_it_stays_closed() {
    let zone = |closed: bool| {
        let region = Region::new("east");
        let area = AreaOrder { region, closed };
        Some(Value::Area { area })
    };
    let mut book = Book::empty();
    book.apply(&call("first", vec![versioned("area/e1", 0, zone(false))]));
    let mut close = versioned("area/e1", 0, zone(true));
    close.written = None;
    book.apply(&call("close", vec![close]));
    book.apply(&call("again", vec![versioned("area/e1", 0, zone(false))]));
    assert!(book.areas().all(|(_, zone)| zone.closed));
}

#[test]
fn given_a_call_with_every_kind_of_fault_when_checked_then_each_is_named() {
    let mut late = route("late.example", "/", "records");
    late.deadline = Duration::from_secs(600) + Duration::from_millis(1);
    let mut endless = route("a.example", "/endless", "records");
    endless.split = vec![SplitPart {
        pool: PoolName::new("absent"),
        weight: 1,
    }];
    let value = |route: Rule| Some(Value::Rule { rule: route });
    let puts = vec![
        versioned(KEY, 1, pool_value(4)),
        versioned(
            "rule/dangling",
            1,
            value(route("b.example", "/", "nowhere")),
        ),
        versioned("rule/split", 1, value(endless)),
        versioned("rule/first", 1, value(route("c.example", "/x", "records"))),
        versioned("rule/second", 1, value(route("c.example", "/x", "records"))),
        versioned("rule/late", 1, value(late)),
        versioned(
            "rule/slashless",
            1,
            value(route("d.example", "x", "records")),
        ),
        versioned("rule/hostless", 1, value(route("", "/", "records"))),
    ];
    let faults = check_standing(&Book::empty(), &call("faulty", puts));
    let named: BTreeSet<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected = [
        "rule/dangling.pool",
        "rule/hostless.host",
        "rule/late.deadline_ms",
        "rule/second",
        "rule/slashless.path",
        "rule/split.pool",
    ];
    assert_eq!(named, BTreeSet::from(expected));
}

#[test]
fn given_a_pool_in_use_when_its_drop_comes_alone_then_the_call_is_refused() {
    let route = Some(Value::Rule {
        rule: route("a.example", "/", "records"),
    });
    let puts = vec![
        versioned(KEY, 1, pool_value(4)),
        versioned("rule/one", 1, route),
    ];
    let mut book = Book::empty();
    book.apply(&call("first", puts));
    let drop_pool = versioned(KEY, 2, None);
    let alone = call("drop", vec![drop_pool.clone()]);
    let faults = check_standing(&book, &alone);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].field, "rule/one.pool");
    let both = call("both", vec![drop_pool, versioned("rule/one", 2, None)]);
    assert_eq!(check_standing(&book, &both), Vec::new());
}

#[test]
fn given_a_deadline_of_ten_minutes_when_checked_then_it_is_the_longest_that_passes() {
    let mut longest = route("a.example", "/", "records");
    longest.deadline = Duration::from_secs(600);
    let puts = vec![
        versioned(KEY, 1, pool_value(4)),
        versioned("rule/longest", 1, Some(Value::Rule { rule: longest })),
    ];
    let faults = check_standing(&Book::empty(), &call("longest", puts));
    assert_eq!(faults, Vec::new());
}

#[test]
fn given_two_routes_whose_hosts_differ_in_case_alone_when_checked_then_the_second_is_a_fault() {
    let value = |host: &str| {
        let route = route(host, "/", "records");
        Some(Value::Rule { rule: route })
    };
    let puts = vec![
        versioned(KEY, 1, pool_value(4)),
        versioned("rule/lower", 1, value("a.example")),
        versioned("rule/upper", 1, value("A.Example")),
    ];
    let faults = check_standing(&Book::empty(), &call("case", puts));
    let named: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(named, ["rule/upper"]);
}

#[test]
fn given_an_item_in_its_writers_form_when_encoded_and_decoded_then_nothing_is_lost() {
    let book = after(&[(1, Some(10)), (2, None)]);
    let bytes = minicbor::to_vec(&book).expect("a book encodes");
    let read: Book = minicbor::decode(&bytes).expect("it decodes");
    assert_eq!(read, book);
}

fn table_of(routes: &[(&str, &str, &str)]) -> RuleTable {
    let puts = routes
        .iter()
        .map(|(name, host, path)| {
            let route = route(host, path, "records");
            let value = Some(Value::Rule { rule: route });
            versioned(&format!("rule/{name}"), 1, value)
        })
        .collect();
    let mut book = Book::empty();
    book.apply(&call("routes", puts));
    RuleTable::of(&book)
}

fn found(table: &RuleTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|(name, _)| name.to_string())
}

#[test]
fn given_thousands_of_routes_when_a_path_is_matched_then_the_longest_whole_segments_are_found() {
    let mut routes = Vec::new();
    for host in 0..20 {
        for path in 0..250 {
            routes.push((host, format!("/team-{path}")));
            routes.push((host, format!("/team-{path}/deep/er")));
        }
    }
    let names: Vec<(String, String, String)> = routes
        .iter()
        .enumerate()
        .map(|(place, (host, path))| {
            let host = format!("h{host}.example");
            (format!("route-{place}"), host, path.clone())
        })
        .collect();
    let listed: Vec<(&str, &str, &str)> = names
        .iter()
        .map(|(name, host, path)| (name.as_str(), host.as_str(), path.as_str()))
        .collect();
    let table = table_of(&listed);
    for (name, host, path) in &names {
        let name = Some(name.clone());
        for tail in ["", "/", "/x", "/x/y?q=/team-0", "?q=1", "//"] {
            assert_eq!(found(&table, host, &format!("{path}{tail}")), name);
        }
        assert_ne!(found(&table, host, &format!("{path}x")), name, "{path}");
    }
    assert_eq!(found(&table, "h1.example", "/team-999/deep/er"), None);
    let shorter = found(&table, "h1.example", "/team-7/deep");
    assert_eq!(shorter, found(&table, "h1.example", "/team-7"));
    assert_eq!(shorter, found(&table, "h1.example", "/team-7/deep/erx"));
}

#[test]
fn given_an_exact_host_and_any_host_when_matched_then_the_exact_goes_first_if_its_path_fits() {
    let table = table_of(&[
        ("any", "*", "/"),
        ("any-long", "*", "/a/b/c"),
        ("exact", "Exact.example", "/a"),
    ]);
    let name = |host: &str, path: &str| found(&table, host, path).unwrap_or_default();
    assert_eq!(name("exact.example", "/a/b/c"), "exact");
    assert_eq!(name("EXACT.EXAMPLE:8080", "/a"), "exact");
    assert_eq!(name("exact.example:80", "/a?b=c/d"), "exact");
    assert_eq!(name("exact.example", "/other"), "any");
    assert_eq!(name("other.example", "/a/b/c/d"), "any-long");
    assert_eq!(name("other.example", "/a/b/cd"), "any");
}
