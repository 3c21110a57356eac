//! A follower that takes changes after a place, and a snapshot when it is too far behind.

use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::feed::{FeedCache, Follower, HISTORY_WEIGHT};
use caperworks::identifiers::{ChangeId, Version};
use caperworks::replicated_map::{Change, MapName};

fn updates(from: u64, to: u64) -> ConsensusMessage {
    let changes = (from..=to)
        .map(|version| CommittedChange {
            version: Version(version),
            change: Change {
                id: ChangeId::new(format!("change-{version}")),
                puts: Vec::new(),
                guards: Vec::new(),
            },
        })
        .collect();
    ConsensusMessage::Updates {
        map: MapName::Configuration,
        changes,
    }
}

fn main() {
    let mut feed_cache = FeedCache::default();
    let last = HISTORY_WEIGHT as u64 + 100;
    for version in 1..=last {
        feed_cache.take(&updates(version, version));
    }
    let mut near = Follower::default();
    near.take(&updates(1, last - 2));
    let (map, held) = (
        MapName::Configuration,
        near.map(MapName::Configuration).version,
    );
    let response = feed_cache.updates_after(map, held).expect("it is behind");
    assert!(matches!(response, ConsensusMessage::Updates { .. }));
    near.take(&response);

    let mut far = Follower::default();
    let response = feed_cache
        .updates_after(map, Version(0))
        .expect("it is behind");
    assert!(matches!(response, ConsensusMessage::Snapshot { .. }));
    far.take(&response);
    println!("both hold {}", far.map(map).version);
    assert_eq!(near.map(map).version, far.map(map).version);
}
