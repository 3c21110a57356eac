//! Stories of maps and changes in the reduced form, which followers get that only read them.

use caperworks::change_check::ChangeCheck;
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::consensus::voter::{Voter, VoterOutcome};
use caperworks::feed::Follower;
use caperworks::identifiers::{Chance, ChangeId};
use caperworks::map_items::{Route, Value};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, Written};

const MAP: MapName = MapName::Configuration;
const KEYS_PUT: u64 = 6;

/// A put of a route: under a version of the operators' own or without one, set or dropped.
fn drawn_put(chance: &mut Chance) -> Put {
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

fn drawn_change(chance: &mut Chance, number: u64) -> Change {
    let puts = 1 + chance.below(3);
    Change {
        id: ChangeId::new(format!("change-{number}")),
        puts: (0..puts).map(|_| drawn_put(chance)).collect(),
        guards: Vec::new(),
    }
}

/// The changes that voters agree on: they refuse what does not fit.
fn agreed(map: &mut ReplicatedMap, chance: &mut Chance, number: u64) -> Option<CommittedChange> {
    let change = drawn_change(chance, number);
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
        .map(|change| change.in_form(FeedForm::Reduced));
    ConsensusMessage::updates(FeedForm::Reduced, MAP, reduced.collect())
}

#[test]
fn given_any_changes_when_followed_in_the_reduced_form_then_the_items_are_those_of_the_voters() {
    let mut agreed_on = 0;
    for seed in 0..400 {
        let mut chance = Chance::seeded(seed);
        let mut held = ReplicatedMap::empty();
        let mut follower = Follower::default();
        // One that begins with a map and one that begins with nothing see the same.
        let mut late = Follower::default();
        let begins = chance.below(30);
        for number in 0..60 {
            if number == begins {
                let full_map = held.reduced();
                late.take(&ConsensusMessage::Snapshot { map: MAP, full_map });
            }
            let Some(change) = agreed(&mut held, &mut chance, number) else {
                continue;
            };
            agreed_on += 1;
            let updates = reduced_updates(&[change]);
            follower.take(&updates);
            if number >= begins {
                late.take(&updates);
            }
            assert_eq!(follower.map(MAP), &held.reduced(), "seed {seed}, {number}");
        }
        assert_eq!(late.map(MAP).items, follower.map(MAP).items, "seed {seed}");
    }
    assert!(agreed_on > 8000, "only {agreed_on} changes were agreed on");
}

#[test]
fn given_operators_text_when_reduced_then_a_map_and_its_changes_are_much_smaller() {
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
fn given_a_voter_when_reduced_news_or_a_reduced_map_comes_then_it_takes_nothing_of_it() {
    let mut chance = Chance::seeded(1);
    let mut held = ReplicatedMap::empty();
    let changes: Vec<CommittedChange> = (0..20)
        .filter_map(|number| agreed(&mut held, &mut chance, number))
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
