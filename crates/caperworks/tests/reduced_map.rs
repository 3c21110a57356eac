//! Tests of maps and changes in the reduced form, which followers receive that only read them.

use caperworks::change_check::ChangeCheck;
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::consensus::voter::{Voter, VoterOutcome};
use caperworks::feed::Follower;
use caperworks::identifiers::{ChangeId, RandomSource};
use caperworks::map_items::{Route, Value};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, Written};

const MAP: MapName = MapName::Configuration;
const KEYS_PUT: u64 = 6;

/// Returns a random put of a route: with an operator's version or without one, set or dropped.
fn random_put(chance: &mut RandomSource) -> Put {
    let key = chance.below(KEYS_PUT);
    let version = chance.below(12);
    let is_set = chance.below(4) > 0;
    let is_versioned = chance.below(8) > 0;
    let path = format!("/{}", chance.below(100));
    let route = Route {
        path: path.clone(),
        ..Route::default()
    };
    Put {
        key: format!("rule/{key}"),
        expected: None,
        value: is_set.then_some(Value::Route { route }),
        written: is_versioned.then_some(Written {
            version,
            text: format!("as an operator wrote it: {path}"),
        }),
    }
}

fn random_change(chance: &mut RandomSource, number: u64) -> Change {
    let puts = 1 + chance.below(3);
    Change {
        id: ChangeId::new(format!("change-{number}")),
        puts: (0..puts).map(|_| random_put(chance)).collect(),
        guards: Vec::new(),
    }
}

/// Applies a random change and returns it, unless voters would reject it.
fn commit_random_change(
    map: &mut ReplicatedMap,
    chance: &mut RandomSource,
    number: u64,
) -> Option<CommittedChange> {
    let change = random_change(chance, number);
    if map.check_change(&change) != ChangeCheck::Fits {
        return None;
    }
    map.apply(&change);
    let version = map.version;
    Some(CommittedChange { version, change })
}

fn reduced_updates(changes: &[CommittedChange]) -> ConsensusMessage {
    let reduced = changes
        .iter()
        .map(|change| change.with_form(FeedForm::Reduced));
    ConsensusMessage::updates(FeedForm::Reduced, MAP, reduced.collect())
}

#[test]
fn reduced_follower_has_the_same_items_as_the_voters() {
    let mut committed_count = 0;
    for seed in 0..400 {
        let mut chance = RandomSource::seeded(seed);
        let mut held = ReplicatedMap::empty();
        let mut follower = Follower::default();
        // A follower that starts from a snapshot ends with the same items as one that starts without state.
        let mut late_follower = Follower::default();
        let starts_at = chance.below(30);
        for number in 0..60 {
            if number == starts_at {
                let full_map = held.reduced();
                late_follower.apply_updates(&ConsensusMessage::Snapshot { map: MAP, full_map });
            }
            let Some(change) = commit_random_change(&mut held, &mut chance, number) else {
                continue;
            };
            committed_count += 1;
            let updates = reduced_updates(&[change]);
            follower.apply_updates(&updates);
            if number >= starts_at {
                late_follower.apply_updates(&updates);
            }
            assert_eq!(follower.map(MAP), &held.reduced(), "seed {seed}, {number}");
        }
        assert_eq!(
            late_follower.map(MAP).items,
            follower.map(MAP).items,
            "seed {seed}"
        );
    }
    assert!(
        committed_count > 8000,
        "only {committed_count} changes were committed"
    );
}

#[test]
fn reduced_maps_and_changes_are_much_smaller() {
    let text = "x".repeat(400);
    let put = |number: u64| Put {
        key: format!("rule/{number}"),
        expected: None,
        value: Some(Value::Route {
            route: Route::default(),
        }),
        written: Some(Written {
            version: 1,
            text: text.clone(),
        }),
    };
    let change = Change {
        id: ChangeId::new("first"),
        puts: (0..100).map(put).collect(),
        guards: Vec::new(),
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&change);
    let bytes = |map: &ReplicatedMap| minicbor::to_vec(map).expect("it encodes").len();
    assert!(bytes(&map.reduced()) * 5 < bytes(&map));
    let bytes = |change: &Change| minicbor::to_vec(change).expect("it encodes").len();
    assert!(bytes(&change.reduced()) * 5 < bytes(&change));
}

#[test]
fn voter_ignores_reduced_updates_and_maps() {
    let mut chance = RandomSource::seeded(1);
    let mut held = ReplicatedMap::empty();
    let changes: Vec<CommittedChange> = (0..20)
        .filter_map(|number| commit_random_change(&mut held, &mut chance, number))
        .collect();
    let full_map = held.reduced();
    for updates in [
        reduced_updates(&changes),
        ConsensusMessage::Snapshot { map: MAP, full_map },
    ] {
        let mut voter = Voter::default();
        assert_eq!(voter.handle(updates), VoterOutcome::default());
        assert_eq!(voter.map(MAP), &ReplicatedMap::empty());
    }
}
