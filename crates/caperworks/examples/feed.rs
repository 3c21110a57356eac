//! A follower that receives the changes after its version, or a snapshot if it is too far behind.

use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::feed::{FeedCache, Follower, MAX_HISTORY_WEIGHT};
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
    let last = MAX_HISTORY_WEIGHT as u64 + 100;
    for version in 1..=last {
        feed_cache.apply_updates(&updates(version, version));
    }
    let mut near = Follower::default();
    near.apply_updates(&updates(1, last - 2));
    let (map, present) = (
        MapName::Configuration,
        near.map(MapName::Configuration).version,
    );
    let response = feed_cache
        .updates_after(map, present)
        .expect("it is behind");
    assert!(matches!(response, ConsensusMessage::Updates { .. }));
    near.apply_updates(&response);

    let mut far = Follower::default();
    let response = feed_cache
        .updates_after(map, Version(0))
        .expect("it is behind");
    assert!(matches!(response, ConsensusMessage::Snapshot { .. }));
    far.apply_updates(&response);
    println!("both hold {}", far.map(map).version);
    assert_eq!(near.map(map).version, far.map(map).version);
}
