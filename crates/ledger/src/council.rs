//! Controllers for votes, rounds and founding.

use crate::prelude::*;

const ROUND_PERIOD: Duration = Duration::from_millis(200);
const SEED_PERIOD: Duration = Duration::from_millis(400);
const BEHIND_SPAN: Duration = Duration::from_millis(500);

/// Hands a vote to our seat and to our proposers.
pub fn hear_vote(board: &mut Blackboard, from: NodeId, reply_to: SocketAddr, vote: Vote) {
    let needs_disk = matches!(vote, Vote::Ask { .. } | Vote::Offer { .. });
    // Why: only a seat votes, and a seat that cannot write cannot keep its word.
    if needs_disk && (!board.is_seat() || board.ailing) {
        return;
    }
    let now = board.now;
    if let Vote::Promise { book, .. } | Vote::Took { book, .. } | Vote::Deny { book, .. } = &vote {
        let index = book.index();
        let outcome = board.proposers[index].hear(now, from, &vote, &board.seat);
        act_on_proposer(board, outcome);
        return;
    }
    let outcome = board.seat.hear(vote);
    let mut replies: Vec<LedgerOutput> = outcome
        .replies
        .into_iter()
        .map(|vote| LedgerOutput::Send {
            to: reply_to,
            message: Message::Vote { vote },
        })
        .collect();
    if outcome.rewrite {
        board.write_slot(std::mem::take(&mut replies));
    } else if !outcome.records.is_empty() {
        board.write_records(&outcome.records, std::mem::take(&mut replies));
    }
    board.outputs.append(&mut replies);
    for book in outcome.moved {
        let edition = board.book(book).edition;
        board.note(Event::BookMoved { book, edition });
        if book == BookName::Cohort {
            board.rounds.begin_anew();
        }
    }
}

pub fn act_on_proposer(board: &mut Blackboard, outcome: ProposerOutcome) {
    let seats = board.book(BookName::Cohort).seat_addresses(false);
    for (node, vote) in outcome.to_one {
        if let Some(to) = board.address_of(node) {
            board.send(to, Message::Vote { vote });
        }
    }
    for vote in outcome.to_seats {
        for to in &seats {
            board.send(*to, Message::Vote { vote: vote.clone() });
        }
        // Why also to ourselves when we hold no seat: the chosen change is ours to know.
        if matches!(vote, Vote::Chosen { .. }) && !seats.contains(&board.options.control) {
            let to = board.options.control;
            board.send(to, Message::Vote { vote });
        }
    }
    for (ticket, verdict) in outcome.verdicts {
        let Some(asker) = board.askers.try_remove(ticket as usize) else {
            continue;
        };
        match (asker, verdict) {
            (
                Asker::Operator(ticket),
                verdict @ (Verdict::Accepted(edition) | Verdict::Repeat(edition)),
            ) => {
                let otherwise = OperatorAnswer::Verdict {
                    verdict: Verdict::Unknown,
                };
                let answer = OperatorAnswer::Verdict { verdict };
                agents::answer_when_held(board, ticket, edition, answer, otherwise);
            }
            (Asker::Operator(ticket) | Asker::Roster(ticket), verdict) => {
                let answer = OperatorAnswer::Verdict { verdict };
                board.outputs.push(LedgerOutput::Answer { ticket, answer });
            }
            // Why noted: a duty's write that comes late is refused, and operators may wonder.
            (asker, Verdict::Conflicts(conflicts)) => {
                let items: Vec<&str> = conflicts
                    .iter()
                    .map(|conflict| conflict.key.as_str())
                    .collect();
                let what = format!("{asker:?}: {}", items.join(", "));
                board.note(Event::FencedOff { what });
            }
            _ => {}
        }
    }
}

/// Moves ballots on, and finishes what someone took and nobody chose.
pub fn tick_proposers(board: &mut Blackboard) {
    let now = board.now;
    for name in ALL_BOOKS {
        let index = name.index();
        let edition = board.book(name).edition;
        let ahead = board
            .rounds
            .latest(now)
            .is_some_and(|round| round.editions[index] > edition)
            || board.seat.copy(name).taken.is_some();
        if ahead {
            let since = *board.behind_since[index].get_or_insert(now);
            // Why by node: not all ledgers should finish the same change at the same moment.
            let patience = BEHIND_SPAN + Duration::from_millis(mix(board.node.0) % 200);
            if now.saturating_sub(since) >= patience {
                board.proposers[index].finish();
                board.behind_since[index] = None;
            }
        } else {
            board.behind_since[index] = None;
        }
        let outcome = board.proposers[index].tick(now, &board.seat, &mut board.chance);
        act_on_proposer(board, outcome);
    }
}

pub fn tick_rounds(board: &mut Blackboard) {
    if board.now < board.next_round_at {
        return;
    }
    board.next_round_at = board.now + ROUND_PERIOD;
    let number = board.rounds.begin(board.now);
    let seats = board.book(BookName::Cohort).seat_addresses(false);
    // Why the others too: a ledger without a seat still takes part in what is heard of late.
    let mut asked: BTreeSet<SocketAddr> = seats.into_iter().collect();
    asked.extend(board.other_ledgers());
    for to in asked {
        board.send(to, Message::RoundAsk { number });
    }
}

pub fn hear_round_ask(board: &mut Blackboard, reply_to: SocketAddr, number: u64) {
    if board.book(BookName::Cohort).edition == Edition(0) {
        return;
    }
    let editions = board.seat.possible();
    board.send(reply_to, Message::RoundAnswer { number, editions });
}

pub fn hear_round_answer(
    board: &mut Blackboard,
    from: NodeId,
    reply_to: SocketAddr,
    number: u64,
    editions: Vec<Edition>,
) {
    if editions.len() != ALL_BOOKS.len() {
        return;
    }
    board.liveness.hear(board.now, from);
    board.heard_editions.insert(from, editions.clone());
    for name in ALL_BOOKS {
        let own = board.seat.copy(name).possible();
        if editions[name.index()] > own {
            let after = board.book(name).edition;
            let vote = Vote::CatchUp { book: name, after };
            board.send(reply_to, Message::Vote { vote });
        }
    }
    let Some(majority) = board
        .seats()
        .filter(|seats| seats.holder(from).is_some())
        .map(Seats::majority)
    else {
        return;
    };
    board.rounds.answer(from, number, editions, majority);
}

/// Asks the seeds who they are until the cohort is known, and founds it when all are new.
pub fn tick_founding(board: &mut Blackboard) {
    if board.now < board.ask_seeds_at {
        return;
    }
    board.ask_seeds_at = board.now + SEED_PERIOD;
    let unknown = board.book(BookName::Cohort).edition == Edition(0);
    let seeds = board.options.seeds.clone();
    if unknown || !board.is_seat() {
        // Why all ledgers that are known: whoever has the seating duty may be none of our seeds.
        for ledger in board.other_ledgers() {
            let area = board.options.area.clone();
            let founded = !unknown;
            board.send(ledger, Message::SeedAsk { area, founded });
        }
    }
    // Why only if told so: a disk that is empty later was lost, and what it held is elsewhere.
    let may_found = board.options.core.may_found;
    if !unknown || !may_found || seeds.first() != Some(&board.options.control) {
        return;
    }
    let others: Vec<(SocketAddr, SeedSeen)> = seeds
        .iter()
        .filter_map(|seed| Some((*seed, board.seeds.get(seed)?.clone())))
        .filter(|(_, seen)| !seen.founded)
        .collect();
    // Why all of them: a cohort founded by some while others remember an older one is a fork.
    if others.len() + 1 != seeds.len() {
        return;
    }
    let mut holders = vec![SeatHolder {
        node: board.node,
        address: board.options.control,
        area: board.options.area.clone(),
        ledger: true,
    }];
    holders.extend(others.iter().map(|(address, seen)| SeatHolder {
        node: seen.node,
        address: *address,
        area: seen.area.clone(),
        ledger: true,
    }));
    let founding = Founding {
        attempt: board.chance.draw(),
        seats: Seats { holders },
    };
    board.found_took.clear();
    for seed in seeds {
        let founding = founding.clone();
        board.send(seed, Message::FoundAsk { founding });
    }
}

pub fn hear_seed_ask(board: &mut Blackboard, reply_to: SocketAddr, seen: SeedSeen) {
    // Why remembered: this is how a ledger at a new address is found, and how one that lost its
    // disk at an old address is known for another; it waits for a seat under its new number.
    board.seeds.insert(reply_to, seen);
    let message = Message::SeedAnswer {
        area: board.options.area.clone(),
        founded: board.book(BookName::Cohort).edition > Edition(0),
    };
    board.send(reply_to, message);
}

pub fn hear_seed_answer(board: &mut Blackboard, reply_to: SocketAddr, seen: SeedSeen) {
    let founded = seen.founded;
    board.seeds.insert(reply_to, seen);
    if founded && board.book(BookName::Cohort).edition == Edition(0) {
        for name in ALL_BOOKS {
            let vote = Vote::CatchUp {
                book: name,
                after: Edition(0),
            };
            board.send(reply_to, Message::Vote { vote });
        }
    }
}

pub fn hear_found_ask(board: &mut Blackboard, reply_to: SocketAddr, founding: Founding) {
    let ours = founding.seats.holder(board.node).is_some();
    let may_found = board.options.core.may_found;
    if board.book(BookName::Cohort).edition > Edition(0) || !ours || !may_found {
        return;
    }
    let attempt = founding.attempt;
    board.founding = Some(founding);
    let reply = LedgerOutput::Send {
        to: reply_to,
        message: Message::FoundTook { attempt },
    };
    board.write_slot(vec![reply]);
}

pub fn hear_found_took(board: &mut Blackboard, from: NodeId, attempt: u64) {
    let Some(founding) = board.founding.clone().filter(|founding| {
        founding.attempt == attempt && board.book(BookName::Cohort).edition == Edition(0)
    }) else {
        return;
    };
    board.found_took.insert(from);
    let all = founding
        .seats
        .holders
        .iter()
        .all(|holder| board.found_took.contains(&holder.node));
    if !all {
        return;
    }
    let change = Change {
        id: ChangeId::new(format!("founding-{attempt:x}")),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(Edition(0)),
            value: Some(Value::Seats {
                seats: founding.seats.clone(),
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    for holder in &founding.seats.holders {
        let vote = Vote::Chosen {
            book: BookName::Cohort,
            edition: Edition(1),
            change: change.clone(),
        };
        board.send(holder.address, Message::Vote { vote });
    }
    board.note(Event::Founded);
}
