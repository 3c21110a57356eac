//! Tests that the event catalogue and its documentation agree.

use std::collections::BTreeSet;

use runtime::events::CATALOGUE;

#[test]
fn event_numbers_are_unique_and_documented() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    let page = std::fs::read_to_string(path).expect("docs/events.md exists");
    let mut numbers = BTreeSet::new();
    for kind in CATALOGUE {
        assert!(numbers.insert(kind.number), "number {} twice", kind.number);
        let row = format!("| {} | {} | {} |", kind.number, kind.name, kind.level);
        assert!(
            page.contains(&row),
            "docs/events.md is missing the row {row}"
        );
    }
    let rows = page.lines().filter(|line| {
        line.trim_start_matches("| ")
            .starts_with(|character: char| character.is_ascii_digit())
    });
    assert_eq!(
        rows.count(),
        CATALOGUE.len(),
        "docs/events.md has rows of unknown events"
    );
}
