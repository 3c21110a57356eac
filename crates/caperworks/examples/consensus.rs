//! Three voters agree on a change: only the state machines, with a loop that delivers the messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::{ProposalOutcome, Proposer, ProposerOptions};
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{ChangeId, NodeId, RandomSource, Region, Version, Zone};
use caperworks::map_items::{Value, VoterEntry, VoterSet, ZoneSettings};
use caperworks::replicated_map::{Change, MapName, Put};

fn main() {
    let entries = (1..=3)
        .map(|number| VoterEntry {
            node: NodeId(number),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
            zone: Zone::new(format!("area-{number}")),
            controller: true,
        })
        .collect();
    let founding = Change {
        id: ChangeId::new("founding"),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(Version(0)),
            value: Some(Value::VoterSet {
                voters: VoterSet { entries },
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    let mut voters: BTreeMap<NodeId, Voter> = (1..=3)
        .map(|number| (NodeId(number), Voter::default()))
        .collect();
    for voter in voters.values_mut() {
        voter.handle(ConsensusMessage::Commit {
            map: MapName::Membership,
            version: Version(1),
            change: founding.clone(),
        });
    }

    // Node 1 proposes a change to the configuration.
    let me = NodeId(1);
    let mut random = RandomSource::seeded(1);
    let mut proposer = Proposer::new(MapName::Configuration, me, ProposerOptions::default());
    let change = Change {
        id: ChangeId::new("open-e1"),
        puts: vec![Put {
            key: "area/e1".to_string(),
            expected: Some(Version(0)),
            value: Some(Value::Zone {
                zone: ZoneSettings {
                    region: Region::new("east"),
                    closed: false,
                },
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    let now = Duration::from_millis(1);
    proposer.propose(now, 42, change);
    let mut outcome = proposer.tick(now, &voters[&me], &mut random);
    let mut proposal_outcomes = Vec::new();
    while let Some(request) = outcome.to_voters.pop() {
        let nodes: Vec<NodeId> = voters.keys().copied().collect();
        for node in nodes {
            // A real host must sync `records` before it sends `replies`.
            let voted = voters
                .get_mut(&node)
                .expect("the node is a voter")
                .handle(request.clone());
            for reply in voted.replies {
                let more = proposer.handle(now, node, &reply, &voters[&me]);
                outcome.to_voters.extend(more.to_voters);
                proposal_outcomes.extend(more.proposal_outcomes);
            }
        }
    }
    println!("{proposal_outcomes:?}");
    assert_eq!(
        proposal_outcomes,
        vec![(42, ProposalOutcome::Accepted(Version(1)))]
    );
}
