//! Agreement on the next edition of a book: no log and no leader.
//!
//! Each edition is decided by a two-phase ballot among the seats. A [`Seat`] votes on edition N+1
//! only if it holds N, and repairs first if it is behind. A [`Proposer`] that finds a change
//! already taken by some seat finishes that change before its own.

use crate::prelude::*;

messages! {
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    struct Ballot {
        0 round: u64,
        1 node: NodeId,
    }

    #[derive(Eq)]
    struct Taken {
        0 ballot: Ballot,
        1 change: Change,
    }

    /// What one seat holds of one book, as it lies on disk.
    #[derive(Eq)]
    struct Copy {
        0 book: Book,
        1 promised: Ballot,
        2 taken: Option<Taken>,
    }

    #[derive(Eq)]
    struct NumberedChange {
        0 edition: Edition,
        1 change: Change,
    }

    /// One line of the short log between two slots.
    #[derive(Eq)]
    enum Record {
        0 Promised { 0 book: BookName, 1 edition: Edition, 2 ballot: Ballot },
        1 Took { 0 book: BookName, 1 edition: Edition, 2 taken: Taken },
        2 Chose { 0 book: BookName, 1 edition: Edition, 2 change: Change },
    }

    #[derive(Eq)]
    enum Vote {
        0 Ask { 0 book: BookName, 1 cohort: Edition, 2 edition: Edition, 3 ballot: Ballot },
        1 Promise { 0 book: BookName, 1 edition: Edition, 2 ballot: Ballot, 3 taken: Option<Taken> },
        2 Offer { 0 book: BookName, 1 cohort: Edition, 2 edition: Edition, 3 ballot: Ballot, 4 change: Change },
        3 Took { 0 book: BookName, 1 edition: Edition, 2 ballot: Ballot },
        4 Deny { 0 book: BookName, 1 edition: Edition, 2 ballot: Ballot, 3 promised: Ballot, 4 holds: Edition },
        5 Chosen { 0 book: BookName, 1 edition: Edition, 2 change: Change },
        6 CatchUp { 0 book: BookName, 1 after: Edition },
        7 News { 0 book: BookName, 1 changes: Vec<NumberedChange> },
        8 Whole { 0 book: BookName, 1 whole: Book },
    }
}

impl Ballot {
    pub const NONE: Ballot = Ballot {
        round: 0,
        node: NodeId(0),
    };
}

impl Copy {
    pub fn empty() -> Self {
        Self {
            book: Book::empty(),
            promised: Ballot::NONE,
            taken: None,
        }
    }

    /// The highest edition that may have been accepted, as far as this copy can tell.
    ///
    /// Why it counts a taken change: a majority may have taken it and a yes may have been said,
    /// so whoever asks how fresh it is must not be told less.
    pub fn possible(&self) -> Edition {
        match self.taken {
            Some(_) => self.book.edition.next(),
            None => self.book.edition,
        }
    }
}

/// What a seat wants done after an input. The replies may leave only once the records are synced.
#[derive(Debug, Default, PartialEq)]
pub struct SeatOutcome {
    pub records: Vec<Record>,
    pub replies: Vec<Vote>,
    /// The books that moved on to a later edition.
    pub moved: Vec<BookName>,
    /// A whole book was taken over: the log cannot carry it, a slot must be written.
    pub rewrite: bool,
}

/// The voting part of a node: one copy of each book.
#[derive(Debug, Clone)]
pub struct Seat {
    copies: Vec<Copy>,
    histories: Vec<History>,
}

impl Default for Seat {
    fn default() -> Self {
        Self::restored(ALL_BOOKS.iter().map(|_| Copy::empty()).collect())
    }
}

impl Seat {
    pub fn restored(copies: Vec<Copy>) -> Self {
        let histories = copies.iter().map(|_| History::default()).collect();
        Self { copies, histories }
    }

    pub fn copies(&self) -> &[Copy] {
        &self.copies
    }

    pub fn copy(&self, name: BookName) -> &Copy {
        &self.copies[name.index()]
    }

    pub fn book(&self, name: BookName) -> &Book {
        &self.copies[name.index()].book
    }

    pub fn possible(&self) -> Vec<Edition> {
        self.copies.iter().map(Copy::possible).collect()
    }

    /// Plays a record of the log again after a restart.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Promised {
                book,
                edition,
                ballot,
            } => {
                let copy = &mut self.copies[book.index()];
                if copy.book.edition.next() == edition {
                    copy.promised = copy.promised.max(ballot);
                }
            }
            Record::Took {
                book,
                edition,
                taken,
            } => {
                let copy = &mut self.copies[book.index()];
                if copy.book.edition.next() == edition {
                    copy.promised = copy.promised.max(taken.ballot);
                    copy.taken = Some(taken);
                }
            }
            Record::Chose {
                book,
                edition,
                change,
            } => {
                if self.book(book).edition.next() == edition {
                    self.advance(book, change);
                }
            }
        }
    }

    fn advance(&mut self, name: BookName, change: Change) {
        let copy = &mut self.copies[name.index()];
        copy.book.apply(&change);
        copy.promised = Ballot::NONE;
        copy.taken = None;
        let edition = copy.book.edition;
        self.histories[name.index()].push(NumberedChange { edition, change });
    }

    /// What a copy that holds `after` needs to come up to ours: changes, or the whole book.
    pub fn news_after(&self, name: BookName, after: Edition) -> Option<Vote> {
        self.histories[name.index()].news_after(name, self.book(name), after)
    }

    /// Whether a vote under this cohort edition may be given.
    ///
    /// Why exactly ours: a seat that still held an older cohort could give the same edition to a
    /// proposer of the old seats after it had helped to settle things among the new ones.
    fn cohort_fits(&self, cohort: Edition) -> bool {
        cohort == self.book(BookName::Cohort).edition
    }

    pub fn hear(&mut self, vote: Vote) -> SeatOutcome {
        let mut outcome = SeatOutcome::default();
        match vote {
            Vote::Ask {
                book,
                cohort,
                edition,
                ballot,
            } => {
                let fits = self.cohort_fits(cohort);
                let copy = &mut self.copies[book.index()];
                if fits && edition == copy.book.edition.next() && ballot >= copy.promised {
                    copy.promised = ballot;
                    outcome.records.push(Record::Promised {
                        book,
                        edition,
                        ballot,
                    });
                    outcome.replies.push(Vote::Promise {
                        book,
                        edition,
                        ballot,
                        taken: copy.taken.clone(),
                    });
                } else {
                    self.deny(&mut outcome, book, edition, ballot, cohort);
                }
            }
            Vote::Offer {
                book,
                cohort,
                edition,
                ballot,
                change,
            } => {
                let fits = self.cohort_fits(cohort);
                let copy = &mut self.copies[book.index()];
                if fits && edition == copy.book.edition.next() && ballot >= copy.promised {
                    copy.promised = ballot;
                    let taken = Taken { ballot, change };
                    copy.taken = Some(taken.clone());
                    outcome.records.push(Record::Took {
                        book,
                        edition,
                        taken,
                    });
                    outcome.replies.push(Vote::Took {
                        book,
                        edition,
                        ballot,
                    });
                } else {
                    self.deny(&mut outcome, book, edition, ballot, cohort);
                }
            }
            Vote::Chosen {
                book,
                edition,
                change,
            } => {
                if self.book(book).edition.next() == edition {
                    outcome.records.push(Record::Chose {
                        book,
                        edition,
                        change: change.clone(),
                    });
                    self.advance(book, change);
                    outcome.moved.push(book);
                } else if self.book(book).edition.next() < edition {
                    let after = self.book(book).edition;
                    outcome.replies.push(Vote::CatchUp { book, after });
                }
            }
            Vote::CatchUp { book, after } => outcome.replies.extend(self.news_after(book, after)),
            Vote::News { book, changes } => {
                for numbered in changes {
                    if self.book(book).edition.next() == numbered.edition {
                        outcome.records.push(Record::Chose {
                            book,
                            edition: numbered.edition,
                            change: numbered.change.clone(),
                        });
                        self.advance(book, numbered.change);
                        outcome.moved = vec![book];
                    }
                }
            }
            Vote::Whole { book, whole } => {
                // Why only upwards: a copy never goes back to a lower edition.
                if whole.edition > self.book(book).edition {
                    self.copies[book.index()] = Copy {
                        book: whole,
                        promised: Ballot::NONE,
                        taken: None,
                    };
                    self.histories[book.index()].clear();
                    outcome.moved.push(book);
                    outcome.rewrite = true;
                }
            }
            Vote::Promise { .. } | Vote::Took { .. } | Vote::Deny { .. } => {}
        }
        outcome
    }

    fn deny(
        &self,
        outcome: &mut SeatOutcome,
        book: BookName,
        edition: Edition,
        ballot: Ballot,
        cohort: Edition,
    ) {
        let copy = self.copy(book);
        outcome.replies.push(Vote::Deny {
            book,
            edition,
            ballot,
            promised: copy.promised,
            holds: copy.book.edition,
        });
        if edition <= copy.book.edition {
            let after = Edition(edition.0.saturating_sub(1));
            outcome.replies.extend(self.news_after(book, after));
        }
        let own = self.book(BookName::Cohort).edition;
        if cohort < own {
            outcome
                .replies
                .extend(self.news_after(BookName::Cohort, cohort));
        } else if cohort > own {
            outcome.replies.push(Vote::CatchUp {
                book: BookName::Cohort,
                after: own,
            });
        }
    }
}

/// How a proposed change ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    Accepted(Edition),
    Repeat(Edition),
    IdTaken(Edition),
    Conflicts(Vec<Conflict>),
    Faulty(Vec<Fault>),
    /// Provably not accepted: it was never offered to any seat.
    NoMajority,
    /// Not accepted, and never offered: too few agents are in touch to hold it.
    TooFewAgents,
    /// It was offered and may yet be accepted: read it back.
    Unknown,
}

#[derive(Debug, Clone)]
struct Proposal {
    ticket: u64,
    change: Change,
    since: Duration,
    offered: bool,
}

#[derive(Debug, Clone)]
enum Phase {
    Resting,
    Asking {
        edition: Edition,
        ballot: Ballot,
        promises: BTreeMap<NodeId, Option<Taken>>,
        since: Duration,
    },
    Offering {
        edition: Edition,
        ballot: Ballot,
        change: Change,
        took: BTreeSet<NodeId>,
        since: Duration,
        majority_since: Option<Duration>,
    },
}

/// Spans that shape a proposer; the defaults suit machines about a millisecond apart.
#[derive(Debug, Clone)]
pub struct ProposerOptions {
    pub phase_span: Duration,
    pub second_ledger_span: Duration,
    pub give_up: Duration,
    /// On how many ledgers' disks a change of the standing orders must be synced before it counts
    /// as accepted, however long that takes; none takes a second one if it can be had soon.
    pub synced_ledgers: Option<usize>,
    /// Only for proving the observers: how many votes count as a majority, when not the truth.
    pub majority_override: Option<usize>,
    /// Only for proving the observers: of a faulty change set, the sound part is applied.
    pub applies_parts: bool,
}

impl Default for ProposerOptions {
    fn default() -> Self {
        Self {
            phase_span: Duration::from_millis(300),
            second_ledger_span: Duration::from_millis(250),
            give_up: Duration::from_millis(2500),
            synced_ledgers: None,
            majority_override: None,
            applies_parts: false,
        }
    }
}

/// What a proposer wants done after an input.
#[derive(Debug, Default, PartialEq)]
pub struct ProposerOutcome {
    /// To every seat.
    pub to_seats: Vec<Vote>,
    /// To one seat that is behind.
    pub to_one: Vec<(NodeId, Vote)>,
    pub verdicts: Vec<(u64, Verdict)>,
}

/// The proposing part of a node, for one book.
#[derive(Debug, Clone)]
pub struct Proposer {
    name: BookName,
    node: NodeId,
    options: ProposerOptions,
    pending: VecDeque<Proposal>,
    phase: Phase,
    highest_round: u64,
    rest_until: Duration,
    finish_wanted: bool,
    /// The cohort that the ballot under way was begun under.
    phase_cohort: Edition,
    /// The cohort under which a majority last showed that nothing is left half agreed.
    settled_under: Option<Edition>,
}

impl Proposer {
    pub fn new(name: BookName, node: NodeId, options: ProposerOptions) -> Self {
        Self {
            name,
            node,
            options,
            pending: VecDeque::new(),
            phase: Phase::Resting,
            highest_round: 0,
            rest_until: Duration::ZERO,
            finish_wanted: false,
            phase_cohort: Edition(0),
            settled_under: None,
        }
    }

    pub fn propose(&mut self, now: Duration, ticket: u64, change: Change) {
        self.pending.push_back(Proposal {
            ticket,
            change,
            since: now,
            offered: false,
        });
    }

    pub fn has_work(&self) -> bool {
        !self.pending.is_empty() || self.finish_wanted
    }

    /// Asks for a ballot that finishes whatever a seat may have taken without it being chosen.
    pub fn finish(&mut self) {
        self.finish_wanted = true;
    }

    /// Whether a majority of the present cohort has shown that nothing is left half agreed from
    /// the cohort before.
    pub fn is_settled(&self, cohort: Edition) -> bool {
        self.settled_under == Some(cohort)
    }

    /// Gives up on proposals that are over their time, and moves a stuck ballot on.
    pub fn tick(&mut self, now: Duration, seat: &Seat, chance: &mut Chance) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        let give_up = self.options.give_up;
        self.pending.retain(|proposal| {
            let over = now.saturating_sub(proposal.since) >= give_up;
            if over {
                // Why two answers: once a seat may have taken it, it can still be accepted by
                // whoever finishes that ballot, so saying "not accepted" would be a lie.
                let verdict = if proposal.offered {
                    Verdict::Unknown
                } else {
                    Verdict::NoMajority
                };
                outcome.verdicts.push((proposal.ticket, verdict));
            }
            !over
        });
        self.drop_ballot_of_old_cohort(seat);
        let stuck = match &self.phase {
            Phase::Resting => false,
            Phase::Asking { since, edition, .. } => {
                now.saturating_sub(*since) >= self.options.phase_span
                    || *edition != seat.book(self.name).edition.next()
            }
            Phase::Offering { since, edition, .. } => {
                now.saturating_sub(*since) >= 2 * self.options.phase_span
                    || *edition != seat.book(self.name).edition.next()
            }
        };
        if stuck {
            self.phase = Phase::Resting;
            // Why by chance: two proposers that keep in step would outbid each other for ever.
            self.rest_until =
                now + chance.between(Duration::from_millis(1), Duration::from_millis(80));
        }
        self.settle_offer(now, seat, &mut outcome);
        self.begin(now, seat, &mut outcome);
        outcome
    }

    /// Why: votes gathered under one cohort say nothing of a majority of another.
    fn drop_ballot_of_old_cohort(&mut self, seat: &Seat) {
        if self.phase_cohort != seat.book(BookName::Cohort).edition {
            self.phase = Phase::Resting;
        }
    }

    /// Starts a ballot if there is something to decide and none is under way.
    fn begin(&mut self, now: Duration, seat: &Seat, outcome: &mut ProposerOutcome) {
        if !matches!(self.phase, Phase::Resting) || now < self.rest_until {
            return;
        }
        let copy = seat.copy(self.name);
        if copy.taken.is_none() {
            self.answer_repeats(&copy.book, outcome);
        }
        if !self.has_work() || seat.book(BookName::Cohort).seats().is_none() {
            return;
        }
        self.highest_round = self.highest_round.max(copy.promised.round) + 1;
        let ballot = Ballot {
            round: self.highest_round,
            node: self.node,
        };
        let edition = copy.book.edition.next();
        self.phase_cohort = seat.book(BookName::Cohort).edition;
        self.phase = Phase::Asking {
            edition,
            ballot,
            promises: BTreeMap::new(),
            since: now,
        };
        outcome.to_seats.push(Vote::Ask {
            book: self.name,
            cohort: seat.book(BookName::Cohort).edition,
            edition,
            ballot,
        });
    }

    /// Answers the proposals at the head that the book is known to have accepted.
    ///
    /// Why nothing else before a ballot: our copy may be behind, and a change that it cannot take may
    /// fit the book as it is; a ledger without its disk would call every change faulty.
    fn answer_repeats(&mut self, book: &Book, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let Standpoint::Repeat(edition) = book.weigh(&proposal.change) else {
                return;
            };
            let verdict = match proposal.offered {
                true => Verdict::Accepted(edition),
                false => Verdict::Repeat(edition),
            };
            outcome.verdicts.push((proposal.ticket, verdict));
            self.pending.pop_front();
        }
    }

    /// Answers the proposals at the head that the book has already settled.
    ///
    /// Only after a majority has promised: then the book is known to be the latest.
    fn answer_settled(&mut self, book: &Book, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let verdict = match book.weigh(&proposal.change) {
                Standpoint::Repeat(edition) if proposal.offered => Verdict::Accepted(edition),
                Standpoint::Repeat(edition) => Verdict::Repeat(edition),
                Standpoint::IdTaken(edition) => Verdict::IdTaken(edition),
                // Why not yet: an offered change that no longer fits lost its edition to another,
                // but only the decided book may say so; it does, since this book is decided.
                Standpoint::Conflicts(conflicts) => Verdict::Conflicts(conflicts),
                Standpoint::Fits => {
                    let faults = match self.name {
                        BookName::Standing => check_standing(book, &proposal.change),
                        _ => Vec::new(),
                    };
                    if faults.is_empty() {
                        return;
                    }
                    if self.options.applies_parts {
                        self.keep_sound_part(book, &faults, outcome);
                        return;
                    }
                    Verdict::Faulty(faults)
                }
            };
            outcome.verdicts.push((proposal.ticket, verdict));
            self.pending.pop_front();
        }
    }

    /// Only for proving the observers: refuses a change set and proposes what is sound of it.
    fn keep_sound_part(&mut self, book: &Book, faults: &[Fault], outcome: &mut ProposerOutcome) {
        if let Some(proposal) = self.pending.front_mut() {
            let verdict = Verdict::Faulty(faults.to_vec());
            outcome.verdicts.push((proposal.ticket, verdict));
            proposal.ticket = u64::MAX;
            let id = proposal.change.id.clone();
            proposal.change.puts.retain(|put| {
                let alone = Change {
                    id: id.clone(),
                    puts: vec![put.clone()],
                    guards: Vec::new(),
                };
                check_standing(book, &alone).is_empty()
            });
        }
    }

    pub fn hear(
        &mut self,
        now: Duration,
        from: NodeId,
        vote: &Vote,
        seat: &Seat,
    ) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        let Some(seats) = seat.book(BookName::Cohort).seats() else {
            return outcome;
        };
        if seats.holder(from).is_none() {
            return outcome;
        }
        self.drop_ballot_of_old_cohort(seat);
        match (vote, &mut self.phase) {
            (
                Vote::Promise {
                    edition,
                    ballot,
                    taken,
                    ..
                },
                Phase::Asking {
                    edition: asked,
                    ballot: own,
                    promises,
                    ..
                },
            ) if edition == asked && ballot == own => {
                promises.insert(from, taken.clone());
                let enough = self.options.majority_override.unwrap_or(seats.majority());
                if promises.len() >= enough {
                    self.offer(now, seat, &mut outcome);
                }
            }
            (
                Vote::Took {
                    edition, ballot, ..
                },
                Phase::Offering {
                    edition: offered,
                    ballot: own,
                    took,
                    ..
                },
            ) if edition == offered && ballot == own => {
                took.insert(from);
                self.settle_offer(now, seat, &mut outcome);
            }
            (
                Vote::Deny {
                    ballot,
                    promised,
                    holds,
                    edition,
                    ..
                },
                phase,
            ) => {
                let own = match phase {
                    Phase::Asking { ballot, .. } | Phase::Offering { ballot, .. } => Some(*ballot),
                    Phase::Resting => None,
                };
                if own == Some(*ballot) {
                    self.highest_round = self.highest_round.max(promised.round);
                    if *holds < Edition(edition.0 - 1) {
                        let news = seat.news_after(self.name, *holds);
                        outcome.to_one.extend(news.map(|news| (from, news)));
                    }
                }
            }
            _ => {}
        }
        outcome
    }

    fn offer(&mut self, now: Duration, seat: &Seat, outcome: &mut ProposerOutcome) {
        let Phase::Asking {
            edition,
            ballot,
            promises,
            ..
        } = &self.phase
        else {
            return;
        };
        let (edition, ballot) = (*edition, *ballot);
        let found = promises
            .values()
            .flatten()
            .max_by_key(|taken| taken.ballot)
            .map(|taken| taken.change.clone());
        let change = match found {
            // Why another's first: it may already have a majority and its writer a yes.
            Some(change) => change,
            None => {
                self.finish_wanted = false;
                self.settled_under = Some(self.phase_cohort);
                self.answer_settled(seat.book(self.name), outcome);
                match self.pending.front() {
                    Some(proposal) => proposal.change.clone(),
                    None => {
                        self.phase = Phase::Resting;
                        return;
                    }
                }
            }
        };
        if let Some(proposal) = self.pending.front_mut() {
            proposal.offered |= proposal.change.id == change.id;
        }
        self.phase = Phase::Offering {
            edition,
            ballot,
            change: change.clone(),
            took: BTreeSet::new(),
            since: now,
            majority_since: None,
        };
        outcome.to_seats.push(Vote::Offer {
            book: self.name,
            cohort: seat.book(BookName::Cohort).edition,
            edition,
            ballot,
            change,
        });
    }

    fn settle_offer(&mut self, now: Duration, seat: &Seat, outcome: &mut ProposerOutcome) {
        let Phase::Offering {
            edition,
            change,
            took,
            majority_since,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let Some(seats) = seat.book(BookName::Cohort).seats() else {
            return;
        };
        let enough = self.options.majority_override.unwrap_or(seats.majority());
        if took.len() < enough || *edition != seat.book(self.name).edition.next() {
            return;
        }
        let ledgers = took
            .iter()
            .filter(|node| seats.holder(**node).is_some_and(|holder| holder.ledger))
            .count();
        let since = *majority_since.get_or_insert(now);
        let waited = now.saturating_sub(since) >= self.options.second_ledger_span;
        // Why a second ledger: one machine that says yes and then loses its disk must not take
        // the only synced copy with it; but one that cannot be reached must not stop the core.
        let synced = self
            .options
            .synced_ledgers
            .filter(|_| self.name == BookName::Standing);
        let enough = match synced {
            // Why never fewer: so many disks may be wiped right after the yes while all others lose
            // power, and one more must still hold it.
            Some(needed) => ledgers >= needed,
            None => ledgers >= 2 || waited || self.options.majority_override.is_some(),
        };
        if ledgers == 0 || !enough {
            return;
        }
        let (edition, change) = (*edition, change.clone());
        self.phase = Phase::Resting;
        self.rest_until = Duration::ZERO;
        if self
            .pending
            .front()
            .is_some_and(|first| first.change.id == change.id)
        {
            if let Some(proposal) = self.pending.pop_front() {
                outcome
                    .verdicts
                    .push((proposal.ticket, Verdict::Accepted(edition)));
            }
        }
        outcome.to_seats.push(Vote::Chosen {
            book: self.name,
            edition,
            change,
        });
    }
}
