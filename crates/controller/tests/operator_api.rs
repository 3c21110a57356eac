//! The native API: how old a change set may be, and which response its caller gets.

use caperworks::change_check::ChangeCheck;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::identifiers::{ChangeId, Version};
use caperworks::replicated_map::{
    ReplicatedMap, TakenVersion, MAP_VERSION_GUARD, REMEMBERED_CHANGES,
};
use caperworks::version_history::ConfirmedVersion;
use controller::operator_json::{proposal_outcome_json, read_form};

/// Returns the version in the guard that a change set gets when it is read.
fn guarded_version(text: &str) -> Option<u64> {
    let (change, faults) = read_form(text);
    assert_eq!(faults, Vec::new(), "{text}");
    change
        .guards
        .iter()
        .find(|guard| guard.key == MAP_VERSION_GUARD)
        .map(|guard| guard.expected.0)
}

fn change_set(read: &str, items: &[&str]) -> String {
    let puts: Vec<String> = items
        .iter()
        .map(|item| {
            format!(r#"{{"kind": "area", "name": "e1", {item} "area": {{"region": "east"}}}}"#)
        })
        .collect();
    format!(r#"{{"id": "one", {read} "put": [{}]}}"#, puts.join(", "))
}

#[test]
fn change_set_is_guarded_by_version_that_its_writer_had_read() {
    let versioned = r#""edition": 7,"#;
    let absent = r#""edition": 0,"#;
    let reported = r#""edition": 40,"#;
    for (read, items, expected) in [
        ("", vec![""], Some(0)),
        ("", vec![absent], Some(0)),
        ("", vec![versioned], None),
        ("", vec![versioned, ""], Some(7)),
        ("", vec![versioned, absent], Some(7)),
        (reported, vec![""], Some(40)),
        (reported, vec![versioned], Some(40)),
        (r#""edition": 3,"#, vec![versioned], Some(7)),
    ] {
        let text = change_set(read, &items);
        assert_eq!(guarded_version(&text), expected, "{text}");
    }
    let (_, faults) = read_form(&change_set(r#""edition": "new","#, &[""]));
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].field, "edition");
}

#[test]
fn change_set_older_than_remembered_ids_is_not_applied() {
    let mut map = ReplicatedMap::empty();
    let (first, _) = read_form(&change_set("", &[""]));
    map.apply(&first);
    for number in 0..REMEMBERED_CHANGES {
        let (mut later, _) = read_form(&change_set(r#""edition": 1,"#, &[""]));
        later.id = ChangeId::new(format!("later-{number}"));
        assert_eq!(map.check_change(&later), ChangeCheck::Fits, "{number}");
        map.apply(&later);
    }
    let standpoint = map.check_change(&first);
    assert_eq!(standpoint, ChangeCheck::IdForgotten(map.version));
    let read = format!(r#""edition": {},"#, map.version);
    let (mut new, _) = read_form(&change_set(&read, &[""]));
    new.id = ChangeId::new("new");
    assert_eq!(map.check_change(&new), ChangeCheck::Fits);
}

#[test]
fn unconfirmed_outcomes_report_reason_and_current_state() {
    let confirmed = ConfirmedVersion {
        version: 5,
        digest: 0xab,
    };
    let taken = TakenVersion {
        key: "pool/records".to_string(),
        confirmed,
        newest: confirmed,
    };
    let (status, json) = proposal_outcome_json(&ProposalOutcome::VersionsTaken(vec![taken]));
    assert_eq!((status, json["outcome"].as_str()), (409, Some("refused")));
    assert_eq!(json["taken"][0]["item"], "pool/records");
    assert_eq!(json["taken"][0]["version"], 5);
    assert_eq!(json["taken"][0]["digest"], "00000000000000ab");
    let forgotten = ProposalOutcome::VersionsForgotten(vec!["pool/records".to_string()]);
    let (status, json) = proposal_outcome_json(&forgotten);
    assert_eq!((status, json["outcome"].as_str()), (503, Some("unknown")));
    assert_eq!(json["items"][0], "pool/records");
    let (status, json) = proposal_outcome_json(&ProposalOutcome::IdForgotten(Version(900)));
    assert_eq!((status, json["outcome"].as_str()), (409, Some("unknown")));
    assert_eq!(json["edition"], 900);
}
