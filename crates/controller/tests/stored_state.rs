//! A slot's state that an earlier build has written decodes to the same value and encodes to the same bytes.

use caperworks::consensus::messages::AcceptedProposal;
use caperworks::consensus::messages::ProposalNumber;
use caperworks::consensus::messages::Replica;
use caperworks::identifiers::ChangeId;
use caperworks::identifiers::NodeId;
use caperworks::identifiers::Region;
use caperworks::identifiers::Version;
use caperworks::identifiers::Zone;
use caperworks::map_items::Value;
use caperworks::map_items::VoterEntry;
use caperworks::map_items::VoterSet;
use caperworks::map_items::ZoneSettings;
use caperworks::messages::Founding;
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::Change;
use caperworks::replicated_map::Guard;
use caperworks::replicated_map::Item;
use caperworks::replicated_map::Put;
use caperworks::replicated_map::RecentChange;
use caperworks::replicated_map::ReplicatedMap;
use caperworks::replicated_map::Written;
use controller::state::StoredState;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes as hexadecimal digits, one value per line. The fixture must never be regenerated.
const STORED_STATES: &str = include_str!("fixtures/stored_states.hex");

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let pair = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16);
    (0..digits.len())
        .step_by(2)
        .map(|start| pair(start).expect("hexadecimal digits"))
        .collect()
}

fn proposal_number(round: u64) -> ProposalNumber {
    ProposalNumber {
        counter: round,
        node: NodeId(77),
    }
}

fn change() -> Change {
    Change {
        id: ChangeId::from("change-1"),
        puts: vec![Put {
            key: "zone/north-a".to_string(),
            expected: Some(Version(3)),
            value: Some(Value::Zone {
                zone: ZoneSettings {
                    region: Region::from("north"),
                    closed: true,
                },
            }),
            written: Some(Written {
                version: 31,
                text: "{}".to_string(),
            }),
        }],
        guards: vec![Guard {
            key: "zone/north-b".to_string(),
            expected: Version(2),
        }],
    }
}

fn replicated_map(version: u64) -> ReplicatedMap {
    let item = Item {
        version: Version(version),
        value: Value::Dropped,
        written: None,
    };
    ReplicatedMap {
        version: Version(version),
        items: [("zone/north-a".to_string(), item)].into_iter().collect(),
        recent_changes: vec![RecentChange {
            id: ChangeId::from("change-0"),
            version: Version(version),
            digest: 99,
        }],
        histories: BTreeMap::new(),
        form: FeedForm::Complete,
    }
}

/// Returns the state of a controller with a promise and an accepted proposal, and of one that has just started.
fn states() -> [StoredState; 2] {
    let founding = Founding {
        attempt: 2,
        voters: VoterSet {
            entries: vec![VoterEntry {
                node: NodeId(5),
                address: SocketAddr::from(([10, 1, 2, 5], 7000)),
                zone: Zone::from("north-a"),
                controller: true,
            }],
        },
    };
    let replicas = (1..=4).map(|version| Replica {
        map: replicated_map(version),
        promised: proposal_number(version + 1),
        accepted: (version == 2).then(|| AcceptedProposal {
            proposal_number: proposal_number(3),
            change: change(),
        }),
    });
    [
        StoredState {
            node: NodeId(77),
            replicas: replicas.collect(),
            founding: Some(founding),
            may_found: None,
            deregistered: None,
        },
        StoredState {
            node: NodeId(78),
            replicas: vec![
                Replica::empty(),
                Replica::empty(),
                Replica::empty(),
                Replica::empty(),
            ],
            founding: None,
            may_found: None,
            deregistered: None,
        },
    ]
}

#[test]
fn stored_states_keep_their_bytes() {
    let states = states();
    let stored: Vec<&str> = STORED_STATES.lines().collect();
    let encoded: Vec<String> = states
        .iter()
        .map(|state| hexadecimal(&minicbor::to_vec(state).expect("a state encodes")))
        .collect();
    assert_eq!(encoded, stored);
    for (state, digits) in states.iter().zip(stored) {
        let decoded: StoredState = minicbor::decode(&bytes_of(digits)).expect("a state decodes");
        assert_eq!(decoded, *state);
    }
}
