//! Three seats agree on a change: the machines alone, with messages carried by a loop.

use caperworks::prelude::*;

fn main() {
    let holders = (1..=3)
        .map(|number| SeatHolder {
            node: NodeId(number),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
            area: Area::new(format!("area-{number}")),
            ledger: true,
        })
        .collect();
    let founding = Change {
        id: ChangeId::new("founding"),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(Edition(0)),
            value: Some(Value::Seats {
                seats: Seats { holders },
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    let mut seats: BTreeMap<NodeId, Seat> = (1..=3)
        .map(|number| (NodeId(number), Seat::default()))
        .collect();
    for seat in seats.values_mut() {
        seat.hear(Vote::Chosen {
            book: BookName::Cohort,
            edition: Edition(1),
            change: founding.clone(),
        });
    }

    // Node 1 proposes a change to the standing orders.
    let me = NodeId(1);
    let mut chance = Chance::seeded(1);
    let mut proposer = Proposer::new(BookName::Standing, me, ProposerOptions::default());
    let change = Change {
        id: ChangeId::new("open-e1"),
        puts: vec![Put {
            key: "area/e1".to_string(),
            expected: Some(Edition(0)),
            value: Some(Value::Area {
                area: AreaOrder {
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
    let mut outcome = proposer.tick(now, &seats[&me], &mut chance);
    let mut verdicts = Vec::new();
    while let Some(vote) = outcome.to_seats.pop() {
        let nodes: Vec<NodeId> = seats.keys().copied().collect();
        for node in nodes {
            // A real host syncs `records` before it sends `replies`.
            let heard = seats.get_mut(&node).expect("a seat").hear(vote.clone());
            for reply in heard.replies {
                let more = proposer.hear(now, node, &reply, &seats[&me]);
                outcome.to_seats.extend(more.to_seats);
                verdicts.extend(more.verdicts);
            }
        }
    }
    println!("{verdicts:?}");
    assert_eq!(verdicts, vec![(42, Verdict::Accepted(Edition(1)))]);
}
