//! Stories of agreement, disk, feed, permits, facts and duties.

use caperworks::prelude::*;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn area_put(name: &str, expected: Option<u64>) -> Put {
    Put {
        key: format!("area/{name}"),
        expected: expected.map(Edition),
        value: Some(Value::Area {
            area: AreaOrder {
                region: Region::new("east"),
                closed: false,
            },
        }),
        written: None,
    }
}

fn change(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

fn holder(number: u64, ledger: bool) -> SeatHolder {
    SeatHolder {
        node: NodeId(number),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16)),
        area: Area::new(format!("area-{number}")),
        ledger,
    }
}

fn founding(ledgers: u64, witnesses: u64) -> Change {
    let holders = (1..=ledgers + witnesses)
        .map(|number| holder(number, number <= ledgers))
        .collect();
    let value = Some(Value::Seats {
        seats: Seats { holders },
    });
    let key = "seats".to_string();
    change(
        "founding",
        vec![Put {
            key,
            expected: Some(Edition(0)),
            value,
            written: None,
        }],
    )
}

/// A council in memory: seats by number, one proposer each, and messages carried by hand.
struct Council {
    seats: BTreeMap<u64, Seat>,
    proposers: BTreeMap<u64, Proposer>,
    down: BTreeSet<u64>,
    chance: Chance,
    now: Duration,
    verdicts: Vec<(u64, Verdict)>,
}

impl Council {
    fn new(ledgers: u64, witnesses: u64) -> Self {
        let mut seats = BTreeMap::new();
        let mut proposers = BTreeMap::new();
        for number in 1..=ledgers + witnesses {
            let mut seat = Seat::default();
            seat.hear(Vote::Chosen {
                book: BookName::Cohort,
                edition: Edition(1),
                change: founding(ledgers, witnesses),
            });
            seats.insert(number, seat);
            let options = ProposerOptions::default();
            let proposer = Proposer::new(BookName::Standing, NodeId(number), options);
            proposers.insert(number, proposer);
        }
        Self {
            seats,
            proposers,
            down: BTreeSet::new(),
            chance: Chance::seeded(1),
            now: Duration::ZERO,
            verdicts: Vec::new(),
        }
    }

    /// Carries votes from one proposer to all living seats and their replies back, to the end.
    fn carry(&mut self, from: u64, outcome: ProposerOutcome) {
        self.verdicts.extend(outcome.verdicts);
        let mut to_seats: VecDeque<(Option<u64>, Vote)> = outcome
            .to_seats
            .into_iter()
            .map(|vote| (None, vote))
            .collect();
        to_seats.extend(
            outcome
                .to_one
                .into_iter()
                .map(|(node, vote)| (Some(node.0), vote)),
        );
        while let Some((only, vote)) = to_seats.pop_front() {
            let numbers: Vec<u64> = self.seats.keys().copied().collect();
            for number in numbers {
                if self.down.contains(&number) || only.is_some_and(|only| only != number) {
                    continue;
                }
                let replies = self
                    .seats
                    .get_mut(&number)
                    .expect("seat")
                    .hear(vote.clone())
                    .replies;
                for reply in replies {
                    if let Vote::CatchUp { .. } | Vote::News { .. } | Vote::Whole { .. } = reply {
                        let back = self.seats.get_mut(&from).expect("seat").hear(reply).replies;
                        for vote in back {
                            self.seats.get_mut(&number).expect("seat").hear(vote);
                        }
                        continue;
                    }
                    let proposer = self.proposers.get_mut(&from).expect("proposer");
                    let more = proposer.hear(self.now, NodeId(number), &reply, &self.seats[&from]);
                    self.verdicts.extend(more.verdicts);
                    to_seats.extend(more.to_seats.into_iter().map(|vote| (None, vote)));
                    to_seats.extend(
                        more.to_one
                            .into_iter()
                            .map(|(node, vote)| (Some(node.0), vote)),
                    );
                }
            }
        }
    }

    fn tick(&mut self, number: u64, later: u64) {
        self.now += millis(later);
        let seat = &self.seats[&number];
        let proposer = self.proposers.get_mut(&number).expect("proposer");
        let outcome = proposer.tick(self.now, seat, &mut self.chance);
        self.carry(number, outcome);
    }

    fn propose(&mut self, number: u64, ticket: u64, change: Change) {
        let now = self.now;
        self.proposers
            .get_mut(&number)
            .expect("proposer")
            .propose(now, ticket, change);
    }

    fn verdict(&self, ticket: u64) -> Option<&Verdict> {
        self.verdicts
            .iter()
            .find(|(known, _)| *known == ticket)
            .map(|(_, verdict)| verdict)
    }
}

#[test]
fn given_two_racing_changes_to_one_item_when_both_are_proposed_then_one_wins_and_one_learns_why() {
    let mut council = Council::new(3, 0);
    council.propose(1, 10, change("left", vec![area_put("e1", Some(0))]));
    council.propose(2, 20, change("right", vec![area_put("e1", Some(0))]));
    for _ in 0..20 {
        council.tick(1, 50);
        council.tick(2, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::Accepted(Edition(1))));
    match council.verdict(20) {
        Some(Verdict::Conflicts(conflicts)) => {
            assert_eq!(conflicts[0].present, Edition(1));
            assert_eq!(conflicts[0].key, "area/e1");
        }
        other => panic!("the loser was told {other:?}"),
    }
}

#[test]
fn given_racing_changes_to_different_items_when_proposed_then_both_are_accepted() {
    let mut council = Council::new(3, 2);
    council.propose(1, 10, change("left", vec![area_put("e1", Some(0))]));
    council.propose(2, 20, change("right", vec![area_put("e2", Some(0))]));
    for _ in 0..20 {
        council.tick(1, 50);
        council.tick(2, 50);
    }
    assert!(matches!(council.verdict(10), Some(Verdict::Accepted(_))));
    assert!(matches!(council.verdict(20), Some(Verdict::Accepted(_))));
    let editions: BTreeSet<Edition> = council
        .seats
        .values()
        .map(|seat| seat.book(BookName::Standing).edition)
        .collect();
    assert_eq!(editions, BTreeSet::from([Edition(2)]));
}

#[test]
fn given_a_change_taken_by_a_majority_when_its_proposer_dies_then_the_next_finishes_it_first() {
    let mut council = Council::new(3, 0);
    let orphan = change("orphan", vec![area_put("e1", Some(0))]);
    let ballot = Ballot {
        round: 5,
        node: NodeId(1),
    };
    for number in [1, 3] {
        let offer = Vote::Offer {
            book: BookName::Standing,
            cohort: Edition(1),
            edition: Edition(1),
            ballot,
            change: orphan.clone(),
        };
        council.seats.get_mut(&number).expect("seat").hear(offer);
    }
    council.down.insert(1);
    council.propose(2, 20, change("next", vec![area_put("e2", Some(0))]));
    for _ in 0..40 {
        council.tick(2, 50);
    }
    let book = council.seats[&2].book(BookName::Standing);
    assert_eq!(book.answered[0].id, orphan.id, "the orphan is edition 1");
    assert_eq!(council.verdict(20), Some(&Verdict::Accepted(Edition(2))));
}

#[test]
fn given_no_majority_when_time_runs_out_then_not_offered_is_refused_and_offered_is_unknown() {
    let mut council = Council::new(3, 0);
    council.down.extend([2, 3]);
    council.propose(1, 10, change("alone", vec![area_put("e1", None)]));
    for _ in 0..60 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::NoMajority));
    // A majority promises, then falls silent before it can take the offer.
    let mut council = Council::new(3, 0);
    council.propose(1, 11, change("cut-short", vec![area_put("e2", None)]));
    let proposer = council.proposers.get_mut(&1).expect("proposer");
    let asked = proposer.tick(millis(10), &council.seats[&1], &mut council.chance);
    let mut offered = false;
    for number in [2, 3] {
        let replies = council
            .seats
            .get_mut(&number)
            .expect("seat")
            .hear(asked.to_seats[0].clone());
        let outcome = proposer.hear(
            millis(20),
            NodeId(number),
            &replies.replies[0],
            &council.seats[&1],
        );
        offered |= outcome
            .to_seats
            .iter()
            .any(|vote| matches!(vote, Vote::Offer { .. }));
    }
    assert!(offered, "two promises are a majority");
    council.down.extend([1, 2, 3]);
    for _ in 0..60 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(11), Some(&Verdict::Unknown));
}

#[test]
fn given_a_ledger_whose_books_are_behind_when_a_change_comes_then_it_is_not_called_faulty() {
    let mut council = Council::new(3, 0);
    council.down.extend([2, 3]);
    let needs_what_is_not_here = Put {
        key: "pool/that-others-have".to_string(),
        expected: None,
        value: None,
        written: None,
    };
    council.propose(1, 10, change("drop", vec![needs_what_is_not_here]));
    council.tick(1, 50);
    assert_eq!(council.verdict(10), None, "alone it cannot know");
    for _ in 0..60 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::NoMajority));
}

#[test]
fn given_an_accepted_change_when_it_is_sent_again_then_it_gets_the_first_answer() {
    let mut council = Council::new(3, 0);
    let first = change("same", vec![area_put("e1", Some(0))]);
    council.propose(1, 1, first.clone());
    council.tick(1, 50);
    council.propose(2, 2, first);
    council.propose(3, 3, change("same", vec![area_put("other", None)]));
    for _ in 0..10 {
        council.tick(2, 50);
        council.tick(3, 50);
    }
    assert_eq!(council.verdict(1), Some(&Verdict::Accepted(Edition(1))));
    assert_eq!(council.verdict(2), Some(&Verdict::Repeat(Edition(1))));
    assert_eq!(council.verdict(3), Some(&Verdict::IdTaken(Edition(1))));
}

#[test]
fn given_a_seat_of_another_cohort_when_asked_then_it_gives_no_vote_and_the_lagging_side_learns() {
    let mut seat = Seat::default();
    seat.hear(Vote::Chosen {
        book: BookName::Cohort,
        edition: Edition(1),
        change: founding(3, 0),
    });
    for cohort in [Edition(0), Edition(2)] {
        let outcome = seat.hear(Vote::Ask {
            book: BookName::Standing,
            cohort,
            edition: Edition(1),
            ballot: Ballot {
                round: 1,
                node: NodeId(2),
            },
        });
        assert!(outcome.records.is_empty(), "no vote under cohort {cohort}");
        let learns = outcome.replies.iter().any(|reply| {
            matches!(
                reply,
                Vote::Whole { .. } | Vote::News { .. } | Vote::CatchUp { .. }
            )
        });
        assert!(learns);
    }
}

#[test]
fn given_a_full_disk_day_when_every_byte_of_a_slot_may_rot_then_no_state_is_ever_guessed() {
    let mut disk = SlotDisk::new(4096, 4096);
    let mut image = DiskImage::default();
    let apply = |image: &mut DiskImage, write: &DiskWrite| match write {
        DiskWrite::Slot { second, bytes } => image.slots[usize::from(*second)] = bytes.clone(),
        DiskWrite::Log { offset, bytes } => {
            image.log.truncate(*offset as usize);
            image.log.extend(bytes);
        }
    };
    for write in disk.rewrite(b"first") {
        apply(&mut image, &write);
    }
    for write in disk.rewrite(b"second state") {
        apply(&mut image, &write);
    }
    let write = disk
        .append(&[b"line one".to_vec(), b"line two".to_vec()])
        .expect("room");
    apply(&mut image, &write);
    let truth = Recovery::Found {
        state: b"second state".to_vec(),
        lines: vec![b"line one".to_vec(), b"line two".to_vec()],
    };
    assert_eq!(SlotDisk::new(4096, 4096).recover(&image), truth);
    let mut damaged = 0;
    for (part, length) in [
        (0, image.slots[0].len()),
        (1, image.slots[1].len()),
        (2, image.log.len()),
    ] {
        for place in 0..length {
            let mut rotten = image.clone();
            match part {
                2 => rotten.log[place] ^= 0x40,
                _ => rotten.slots[part][place] ^= 0x40,
            }
            match SlotDisk::new(4096, 4096).recover(&rotten) {
                Recovery::Damaged(_) => damaged += 1,
                Recovery::Found { state, lines } => {
                    assert_eq!(state, b"second state", "part {part} byte {place}");
                    // Only the very last line may pass for a torn tail.
                    assert!(
                        lines.len() >= usize::from(part == 2),
                        "part {part} byte {place}"
                    );
                    assert!(part != 2 || lines[0] == b"line one");
                }
                Recovery::Empty => panic!("part {part} byte {place} reads as new"),
            }
        }
    }
    assert!(damaged > 0, "rot in the newest slot must be noticed");
}

#[test]
fn given_power_lost_at_any_byte_of_a_rewrite_when_recovered_then_synced_lines_are_there() {
    let mut disk = SlotDisk::new(4096, 4096);
    let mut image = DiskImage {
        slots: [vec![0; 4096], vec![0; 4096]],
        log: vec![0; 4096],
    };
    let lay = |image: &mut DiskImage, write: &DiskWrite, length: usize| match write {
        DiskWrite::Slot { second, bytes } => {
            image.slots[usize::from(*second)][..length].copy_from_slice(&bytes[..length]);
        }
        DiskWrite::Log { offset, bytes } => {
            let start = *offset as usize;
            image.log[start..start + length].copy_from_slice(&bytes[..length]);
        }
    };
    for write in disk.rewrite(b"base") {
        lay(&mut image, &write, write_length(&write));
    }
    let write = disk.append(&[b"synced".to_vec()]).expect("room");
    lay(&mut image, &write, write_length(&write));
    let writes = disk.rewrite(b"base and synced");
    for (place, torn) in writes.iter().enumerate() {
        for cut in 0..write_length(torn) {
            let mut found = image.clone();
            for whole in &writes[..place] {
                lay(&mut found, whole, write_length(whole));
            }
            lay(&mut found, torn, cut);
            match SlotDisk::new(4096, 4096).recover(&found) {
                Recovery::Found { state, lines } if state == b"base" => {
                    assert_eq!(
                        lines,
                        vec![b"synced".to_vec()],
                        "write {place} cut at {cut}"
                    );
                }
                Recovery::Found { state, .. } => assert_eq!(state, b"base and synced"),
                // The log's head is written over while the other slot is whole: nothing is lost.
                other => panic!("write {place} cut at {cut}: {other:?}"),
            }
        }
    }
}

fn write_length(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Slot { bytes, .. } | DiskWrite::Log { bytes, .. } => bytes.len(),
    }
}

#[test]
fn given_a_follower_when_news_has_gaps_or_is_old_then_it_never_skips_and_never_goes_back() {
    let mut shelf = Shelf::default();
    let numbered = |edition: u64| NumberedChange {
        edition: Edition(edition),
        change: change(&format!("change-{edition}"), vec![area_put("e1", None)]),
    };
    let news = |from: u64, to: u64| Vote::News {
        book: BookName::Standing,
        changes: (from..=to).map(numbered).collect(),
    };
    assert_eq!(shelf.take(&news(1, 3)), Some(BookName::Standing));
    assert_eq!(shelf.take(&news(5, 6)), None, "a gap is not jumped");
    assert_eq!(shelf.take(&news(2, 4)), Some(BookName::Standing));
    let old = Vote::Whole {
        book: BookName::Standing,
        whole: Book::empty(),
    };
    assert_eq!(shelf.take(&old), None, "a lower edition is not taken over");
    assert_eq!(
        shelf.follower().book(BookName::Standing).edition,
        Edition(4)
    );
    // A follower of this follower that is a little behind gets changes, a far one the whole book.
    assert!(matches!(
        shelf.news_after(BookName::Standing, Edition(3)),
        Some(Vote::News { changes, .. }) if changes.len() == 1
    ));
    for edition in 5..HISTORY_WEIGHT as u64 {
        shelf.take(&news(edition, edition));
    }
    assert!(matches!(
        shelf.news_after(BookName::Standing, Edition(3)),
        Some(Vote::Whole { .. })
    ));
}

#[test]
fn given_a_ledger_without_a_majority_when_it_asks_round_after_round_then_it_grants_nothing() {
    let mut rounds = Rounds::default();
    let editions = vec![Edition(1); 4];
    for step in 0..20 {
        let number = rounds.begin(millis(step * 200));
        rounds.answer(NodeId(1), number, editions.clone(), 2);
        rounds.answer(NodeId(1), number, editions.clone(), 2);
    }
    assert_eq!(
        rounds.latest(millis(4000)),
        None,
        "one seat heard twice is not two seats"
    );
    let number = rounds.begin(millis(5000));
    rounds.answer(NodeId(1), number, editions.clone(), 2);
    rounds.answer(NodeId(2), number, vec![Edition(7); 4], 2);
    let round = rounds.latest(millis(5100)).expect("a majority answered");
    assert_eq!(
        round.started,
        millis(5000),
        "the span counts from the start of the round"
    );
    assert_eq!(
        round.editions,
        vec![Edition(7); 4],
        "the highest edition heard counts"
    );
    assert_eq!(
        rounds.latest(millis(6600)),
        None,
        "an old round is no ground for a grant"
    );
}

#[test]
fn given_a_grant_when_its_editions_are_not_held_then_it_makes_nobody_fresh() {
    let mut permit = PermitHolder::default();
    let mut follower = Follower::default();
    let number = permit.renew(millis(1000));
    permit.granted(
        number,
        millis(300),
        vec![Edition(1), Edition(0), Edition(0), Edition(0)],
    );
    assert_eq!(permit.fresh_until(&follower, &ALL_BOOKS), Duration::ZERO);
    follower.take(&Vote::News {
        book: BookName::Standing,
        changes: vec![NumberedChange {
            edition: Edition(1),
            change: change("one", vec![area_put("e1", None)]),
        }],
    });
    let until = permit.fresh_until(&follower, &ALL_BOOKS);
    assert_eq!(
        until,
        millis(1000) + PERMIT_SPAN - DRIFT_MARGIN - millis(300)
    );
    permit.granted(99, Duration::ZERO, Vec::new());
    assert_eq!(
        permit.fresh_until(&follower, &ALL_BOOKS),
        until,
        "an answer to no question counts for nothing"
    );
}

fn beat(id: &str, incarnation: u64, counter: u64, port: u16) -> HeardBeat {
    HeardBeat {
        beat: Beat {
            id: InstanceId::new(id),
            incarnation: Incarnation(incarnation),
            counter,
            pool: PoolName::new("records"),
            area: Area::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            capacity: 1,
            state: InstanceState::Serving,
            load: 0,
            up: Duration::ZERO,
            holding: Vec::new(),
            let_go: Vec::new(),
            cold_left: Duration::ZERO,
        },
        age: Duration::ZERO,
    }
}

#[test]
fn given_beats_in_any_order_when_heard_then_the_newest_life_wins_and_an_address_has_one_instance() {
    let mut instances = Instances::default();
    assert!(instances.hear(millis(100), &beat("one", 2, 5, 7001)));
    assert!(
        !instances.hear(millis(200), &beat("one", 1, 99, 7001)),
        "an older life is no news"
    );
    assert!(
        !instances.hear(millis(200), &beat("one", 2, 4, 7001)),
        "an older beat is no news"
    );
    assert!(
        instances.hear(millis(300), &beat("two", 1, 1, 7001)),
        "another took the address"
    );
    assert!(instances.get(&InstanceId::new("one")).is_none());
    // A beat of the one before comes late, passed on by a third: it must not push out the newcomer.
    let mut stale = beat("one", 2, 6, 7001);
    stale.age = millis(500);
    assert!(!instances.hear(millis(400), &stale));
    assert!(instances.get(&InstanceId::new("two")).is_some());
    let mut late = beat("one", 2, 6, 7002);
    late.age = millis(2900);
    assert!(instances.hear(millis(3000), &late));
    instances.expire(millis(3150));
    assert!(
        instances.get(&InstanceId::new("one")).is_none(),
        "the age it came with counts"
    );
    assert!(instances.get(&InstanceId::new("two")).is_some());
    instances.expire(millis(3301));
    assert!(
        instances.get(&InstanceId::new("two")).is_none(),
        "three seconds of silence are gone"
    );
}

#[test]
fn given_a_duty_when_its_holder_falls_silent_then_the_next_takes_it_and_a_flapping_one_does_not() {
    let holders = (1..=3).map(|number| holder(number, true)).collect();
    let seats = Seats { holders };
    let mut liveness = Liveness::default();
    for step in 0..30 {
        for node in 1..=3 {
            liveness.hear(millis(step * 200), NodeId(node));
        }
    }
    let now = millis(29 * 200);
    assert_eq!(
        first_in_order(now, &seats, &liveness, None),
        Some(NodeId(1))
    );
    for step in 30..45 {
        for node in 2..=3 {
            liveness.hear(millis(step * 200), NodeId(node));
        }
    }
    let now = millis(44 * 200);
    let taker = first_in_order(now, &seats, &liveness, Some(NodeId(1)));
    assert_eq!(taker, Some(NodeId(2)), "the silent holder is passed over");
    liveness.hear(now, NodeId(1));
    let taker = first_in_order(now, &seats, &liveness, Some(NodeId(2)));
    assert_eq!(
        taker,
        Some(NodeId(2)),
        "one that was just heard again waits"
    );
    for step in 45..70 {
        for node in 1..=3 {
            liveness.hear(millis(step * 200), NodeId(node));
        }
    }
    let taker = first_in_order(millis(69 * 200), &seats, &liveness, Some(NodeId(2)));
    assert_eq!(
        taker,
        Some(NodeId(1)),
        "once it is steady it is first in order again"
    );
}

#[test]
fn given_messages_of_every_kind_when_encoded_and_decoded_then_nothing_changes() {
    let stamp = Stamp {
        node: NodeId(3),
        at: millis(1500),
    };
    let held = millis(20);
    let envelope = Envelope {
        from: NodeId(7),
        reply_to: SocketAddr::from(([127, 0, 0, 1], 7000)),
        stamp: Some(stamp),
        echo: Some(Echo { stamp, held }),
        message: Message::Vote {
            vote: Vote::Offer {
                book: BookName::Cohort,
                cohort: Edition(3),
                edition: Edition(4),
                ballot: Ballot {
                    round: 9,
                    node: NodeId(7),
                },
                change: founding(3, 2),
            },
        },
    };
    let bytes = minicbor::to_vec(&envelope).expect("encodes");
    assert_eq!(
        minicbor::decode::<Envelope>(&bytes).expect("decodes"),
        envelope
    );
    // Garbage of any kind is an error and never a panic.
    let mut chance = Chance::seeded(3);
    for _ in 0..20_000 {
        let mut garbled = bytes.clone();
        for _ in 0..=chance.below(4) {
            let place = chance.below(garbled.len() as u64) as usize;
            garbled[place] = chance.draw() as u8;
        }
        let _ = minicbor::decode::<Envelope>(&garbled);
    }
}

/// A put under a version of the operators' own; nothing drops the item.
fn versioned(name: &str, version: u64, cap: Option<u32>) -> Put {
    let pool = |instance_cap| Pool {
        instance_cap,
        key_cap: 1,
        cold_rate_milli: 1000,
        ..Pool::default()
    };
    let text = format!("{name} {version}");
    Put {
        key: format!("pool/{name}"),
        expected: None,
        value: cap.map(|cap| Value::Pool { pool: pool(cap) }),
        written: Some(Written { version, text }),
    }
}

#[test]
fn given_racing_calls_of_two_operators_when_both_are_accepted_then_each_item_is_at_its_highest() {
    for swapped in [false, true] {
        let mut council = Council::new(3, 0);
        let left = vec![
            versioned("a", 5, Some(5)),
            versioned("b", 1, Some(1)),
            versioned("c", 2, None),
        ];
        let right = vec![
            versioned("a", 4, Some(4)),
            versioned("b", 3, Some(3)),
            versioned("c", 1, Some(1)),
        ];
        let (first, second) = if swapped { (2, 1) } else { (1, 2) };
        council.propose(first, 10, change("left", left));
        council.propose(second, 20, change("right", right));
        for _ in 0..20 {
            council.tick(1, 50);
            council.tick(2, 50);
        }
        for ticket in [10, 20] {
            let verdict = council.verdict(ticket);
            assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
        }
        for seat in council.seats.values() {
            let book = seat.book(BookName::Standing);
            let caps: Vec<(PoolName, u32)> = book
                .pools()
                .map(|(name, pool)| (name, pool.instance_cap))
                .collect();
            assert_eq!(caps, [(PoolName::new("a"), 5), (PoolName::new("b"), 3)]);
            assert_eq!(book.items["pool/c"].value, Value::Dropped);
        }
    }
}

#[test]
fn given_a_call_under_versions_when_it_is_sent_again_anywhere_then_it_is_answered_as_accepted() {
    let mut council = Council::new(3, 0);
    let first = change("call-1", vec![versioned("a", 5, Some(5))]);
    council.propose(1, 1, first.clone());
    council.tick(1, 50);
    council.propose(1, 2, change("call-2", vec![versioned("a", 6, None)]));
    council.tick(1, 50);
    council.propose(2, 3, first.clone());
    for _ in 0..10 {
        council.tick(2, 50);
    }
    assert_eq!(council.verdict(3), Some(&Verdict::Repeat(Edition(1))));
    let another_id = Change {
        id: ChangeId::new("call-3"),
        ..first
    };
    council.propose(3, 4, another_id);
    for _ in 0..10 {
        council.tick(3, 50);
    }
    let verdict = council.verdict(4);
    assert!(matches!(verdict, Some(Verdict::Accepted(_))), "{verdict:?}");
    let book = council.seats[&1].book(BookName::Standing);
    assert_eq!(book.items["pool/a"].value, Value::Dropped, "still dropped");
}

#[test]
fn given_a_call_with_two_faults_when_it_is_proposed_then_both_are_told_and_nothing_is_in_force() {
    let mut council = Council::new(3, 0);
    let dangling = |name: &str, path: &str| Put {
        key: format!("rule/{name}"),
        value: Some(Value::Rule {
            rule: Rule {
                host: "a.example".to_string(),
                path: path.to_string(),
                pool: PoolName::new("nowhere"),
                deadline: millis(1000),
                body_limit: 1,
                ..Rule::default()
            },
        }),
        ..versioned("", 1, None)
    };
    let puts = vec![
        versioned("good", 1, Some(1)),
        dangling("one", "/one"),
        dangling("two", "two"),
    ];
    council.propose(1, 1, change("faulty", puts));
    for _ in 0..10 {
        council.tick(1, 50);
    }
    let Some(Verdict::Faulty(faults)) = council.verdict(1) else {
        panic!("it was told {:?}", council.verdict(1));
    };
    let named: BTreeSet<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected = ["rule/one.pool", "rule/two.path", "rule/two.pool"];
    assert_eq!(named, BTreeSet::from(expected));
    for seat in council.seats.values() {
        assert_eq!(seat.book(BookName::Standing), &Book::empty());
        assert_eq!(seat.copy(BookName::Standing).taken, None);
    }
}

/// A council of three ledgers and two witnesses that asks for so many synced disks.
fn council_of_disks(synced_ledgers: Option<usize>) -> Council {
    let mut council = Council::new(3, 2);
    for (number, proposer) in &mut council.proposers {
        let options = ProposerOptions {
            synced_ledgers,
            ..ProposerOptions::default()
        };
        *proposer = Proposer::new(BookName::Standing, NodeId(*number), options);
    }
    council
}

#[test]
fn given_one_synced_ledger_when_two_are_asked_for_then_no_wait_makes_it_a_yes() {
    let ticks = 200;
    let mut council = council_of_disks(Some(2));
    council.down.extend([2, 3]);
    council.propose(1, 10, change("one", vec![versioned("a", 1, Some(1))]));
    for _ in 0..ticks {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::Unknown));
    for seat in council.seats.values() {
        assert_eq!(seat.book(BookName::Standing).edition, Edition(0));
    }
    // Where one will do in the end, the same majority of seats is a yes.
    let mut council = council_of_disks(None);
    council.down.extend([2, 3]);
    council.propose(1, 10, change("one", vec![versioned("a", 1, Some(1))]));
    for _ in 0..ticks {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::Accepted(Edition(1))));
}

#[test]
fn given_a_change_that_waits_for_a_second_disk_when_it_comes_back_then_the_change_is_accepted() {
    let mut council = council_of_disks(Some(2));
    council.down.extend([2, 3]);
    council.propose(1, 10, change("one", vec![versioned("a", 1, Some(1))]));
    for _ in 0..20 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), None, "it waits");
    council.down.remove(&3);
    for _ in 0..20 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::Accepted(Edition(1))));
    let holds = |number: u64| council.seats[&number].book(BookName::Standing).edition;
    assert_eq!((holds(1), holds(3)), (Edition(1), Edition(1)));
}

#[test]
fn given_all_disks_are_asked_for_when_one_is_missing_then_two_are_no_yes() {
    let mut council = council_of_disks(Some(3));
    council.down.insert(3);
    council.propose(1, 10, change("one", vec![versioned("a", 1, Some(1))]));
    for _ in 0..200 {
        council.tick(1, 50);
    }
    assert_eq!(council.verdict(10), Some(&Verdict::Unknown));
}
