//! The encoding of stored maps must stay compatible with earlier releases. The bytes were written by
//! the commit before the types were renamed and split.

use caperworks::identifiers::{ChangeId, Region};
use caperworks::map_items::{Value, ZoneSettings};
use caperworks::replicated_map::{Change, Put, ReplicatedMap, Written};

fn bytes_of(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).expect("two hex digits"))
        .collect()
}

fn sample_map() -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    map.apply(&Change {
        id: ChangeId::new("first"),
        puts: vec![Put {
            key: "area/east-1".to_string(),
            expected: None,
            value: Some(Value::Zone {
                zone: ZoneSettings {
                    region: Region::new("east"),
                    closed: false,
                },
            }),
            written: Some(Written {
                version: 7,
                text: "{}".to_string(),
            }),
        }],
        guards: Vec::new(),
    });
    map
}

/// Returns stored bytes, each with the map that they must decode to.
fn samples() -> Vec<(&'static str, ReplicatedMap)> {
    vec![
        ("8501a16b617265612f656173742d318301820281826465617374f48207627b7d8183656669727374011b6c0ab699f0a925b5a16b617265612f656173742d31828182071b37ef2ddb6c950ef300f4", sample_map()),
        ("8501a16b617265612f656173742d318301820281826465617374f482076080a0f5", sample_map().reduced()),
        ("8500a080a0f4", ReplicatedMap::empty()),
    ]
}

#[test]
fn maps_encode_to_the_bytes_of_the_release_before_and_decode_from_them() {
    for (expected, map) in samples() {
        let bytes = minicbor::to_vec(&map).expect("a map encodes");
        assert_eq!(bytes, bytes_of(expected), "{bytes:02x?}");
        let decoded: ReplicatedMap = minicbor::decode(&bytes).expect("a map decodes");
        assert_eq!(decoded, map);
    }
}

#[test]
fn a_map_stored_before_the_form_was_recorded_decodes_as_a_complete_one() {
    let decoded: ReplicatedMap = minicbor::decode(&bytes_of("8300a080")).expect("a map decodes");
    assert_eq!(decoded, ReplicatedMap::empty());
}
