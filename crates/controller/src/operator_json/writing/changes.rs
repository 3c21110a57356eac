//! Writing of the response to a watch: the changes after a version, or a snapshot.

use jzon::JsonValue;

use crate::operator_json::writing::items::{item_json, map_json};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::identifiers::Version;

/// Writes the changes up to a version. Adds `may_be_old` if there is no recent contact to a majority.
pub fn changes_json(
    version: Version,
    update: Option<ConsensusMessage>,
    is_current: bool,
) -> JsonValue {
    let mut json = jzon::object! { edition: version.0 };
    if !is_current {
        json["may_be_old"] = true.into();
    }
    match update {
        Some(ConsensusMessage::Updates { changes, .. }) => {
            let list: Vec<JsonValue> = changes.iter().map(change_json).collect();
            json["changes"] = list.into();
        }
        Some(ConsensusMessage::Snapshot { full_map, .. }) => json["snapshot"] = map_json(&full_map),
        _ => json["changes"] = JsonValue::new_array(),
    }
    json
}

fn change_json(committed: &CommittedChange) -> JsonValue {
    let items: Vec<JsonValue> = committed
        .change
        .puts
        .iter()
        .map(|put| match &put.value {
            Some(value) => item_json(&put.key, committed.version, value),
            None => jzon::object! { dropped: put.key.as_str() },
        })
        .collect();
    jzon::object! {
        edition: committed.version.0,
        id: committed.change.id.as_str(),
        items: items,
    }
}
