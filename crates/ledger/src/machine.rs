//! The ledger's state machine: takes inputs, returns what to send, write and answer.

use crate::prelude::*;

const SHARE_PERIOD: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, PartialEq)]
pub enum LedgerInput {
    Tick,
    Heard {
        envelope: Envelope,
    },
    Synced {
        ticket: u64,
    },
    WriteFailed {
        ticket: u64,
    },
    Operator {
        ticket: u64,
        call: OperatorCall,
    },
    /// The platform asks for a stop.
    Stop,
    /// A beat that an instance sent straight to us, with the last stamp that it had from us.
    Beat {
        ticket: u64,
        beat: Beat,
        echo: Option<Echo>,
    },
    /// An instance says that this life of it is over.
    Gone {
        ticket: u64,
        id: InstanceId,
    },
    /// The seeds that the settings name now.
    Seeds {
        seeds: Vec<SocketAddr>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum LedgerOutput {
    Send {
        to: SocketAddr,
        message: Message,
    },
    Write {
        ticket: u64,
        writes: Vec<DiskWrite>,
    },
    Answer {
        ticket: u64,
        answer: OperatorAnswer,
    },
    Note {
        event: Event,
    },
    /// Everything is handed on: the process may end.
    Stopped,
}

#[derive(Debug, Clone, PartialEq)]
pub enum OperatorCall {
    Apply {
        change: Change,
    },
    /// Only says what is wrong with the change, and applies nothing.
    Check {
        change: Change,
    },
    Read,
    Watch {
        after: Edition,
        wait: Duration,
    },
    /// Takes agents that are gone for good off the roster.
    Retire {
        dropped: Vec<SocketAddr>,
    },
    Status,
}

#[derive(Debug, Clone, PartialEq)]
pub enum OperatorAnswer {
    Verdict {
        verdict: Verdict,
    },
    Standing {
        book: Book,
    },
    Changes {
        edition: Edition,
        news: Option<Vote>,
    },
    Status {
        status: Box<LedgerStatus>,
    },
    Beat {
        answer: DatedAnswer,
    },
    /// This ledger cannot vouch for what it knows.
    NotCurrent,
    /// This ledger is about to stop: another will answer.
    Leaving,
}

#[derive(Debug, Clone, PartialEq)]
pub struct LedgerStatus {
    pub node: NodeId,
    pub area: Area,
    pub editions: Vec<Edition>,
    pub current: bool,
    pub ailing: bool,
    pub seats: Vec<(SeatHolder, bool)>,
    pub duties: Vec<(&'static str, Option<DutyTerm>)>,
    pub members: Vec<Member>,
    pub instances: Vec<Beat>,
    pub mapping: Option<Mapping>,
    /// Agents on the roster, and whether each is in touch.
    pub roster: Vec<(SocketAddr, bool)>,
    /// Up to which edition operators were or could be told yes.
    pub vouched: Edition,
}

/// What is worth a line in the log; the daemon numbers them after the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Founded,
    BookMoved { book: BookName, edition: Edition },
    DutyWanted { duty: &'static str, epoch: Epoch },
    KeeperTookUp { epoch: Epoch },
    StateTooLarge { bytes: u64 },
    DiskRefused,
    DiskWell,
    Damaged { why: String },
    InstanceGone { id: InstanceId },
    MemberGone { node: NodeId },
    SeatWanted { why: String },
    SeatRefused { why: String },
    FencedOff { what: String },
}

pub struct LedgerMachine {
    pub board: Blackboard,
}

impl LedgerMachine {
    /// Starts from what lay on disk.
    pub fn start(
        options: LedgerOptions,
        image: &DiskImage,
        seed: u64,
    ) -> (Self, Vec<LedgerOutput>) {
        let mut chance = Chance::seeded(seed);
        let mut disk = SlotDisk::new(options.slot_room, options.log_room);
        let mut events = Vec::new();
        let mut founding = None;
        let mut node = NodeId(chance.draw() >> 1);
        let mut seat = Seat::default();
        let mut fresh = true;
        match disk.recover(image) {
            Recovery::Empty => {}
            Recovery::Found { state, lines } => match minicbor::decode::<LedgerState>(&state) {
                Ok(state) if state.copies.len() == ALL_BOOKS.len() => {
                    fresh = false;
                    node = state.node;
                    founding = state.founding;
                    seat = Seat::restored(state.copies);
                    for line in lines {
                        match minicbor::decode::<Record>(&line) {
                            Ok(record) => seat.replay(record),
                            Err(_) => events.push(Event::Damaged {
                                why: "a log line cannot be read".to_string(),
                            }),
                        }
                    }
                }
                _ => events.push(Event::Damaged {
                    why: "the slot's contents cannot be read".to_string(),
                }),
            },
            // Why as empty: half of what was promised is worse than nothing; under a new name it
            // holds no seat and copies the books from the others.
            Recovery::Damaged(why) => events.push(Event::Damaged { why }),
        }
        if !events.is_empty() {
            fresh = true;
            node = NodeId(chance.draw() >> 1);
            seat = Seat::default();
            founding = None;
            disk = SlotDisk::new(options.slot_room, options.log_room);
            disk.skip_generations(image);
        }
        let proposers = ALL_BOOKS
            .iter()
            .map(|name| Proposer::new(*name, node, options.proposer.clone()))
            .collect();
        let mut machine = Self {
            board: Blackboard {
                options,
                now: Duration::ZERO,
                node,
                chance,
                post: Post::new(node),
                seat,
                proposers,
                askers: Slab::new(),
                behind_since: [None; 4],
                disk,
                next_write: 0,
                held: VecDeque::new(),
                ailing: false,
                retry_write_at: Duration::ZERO,
                unsynced_slot: None,
                founding,
                found_took: BTreeSet::new(),
                seeds: BTreeMap::new(),
                ask_seeds_at: Duration::ZERO,
                rounds: Rounds::default(),
                liveness: Liveness::default(),
                next_round_at: Duration::ZERO,
                instances: Instances::default(),
                beats: Vec::new(),
                next_beat: 0,
                ticked_at: Duration::ZERO,
                members: Members::default(),
                renewed: BTreeMap::new(),
                shared_instances: 0,
                shared_members: 0,
                share_at: Duration::ZERO,
                duties: DUTIES.iter().map(|name| DutyWatch::new(name)).collect(),
                solver: Solver::default(),
                keeper: Keeper::default(),
                keeper_epoch: None,
                keeper_since: Duration::ZERO,
                former_term: None,
                plan_at: Duration::ZERO,
                heard_editions: BTreeMap::new(),
                lost_since: BTreeMap::new(),
                refused_seat_at: Duration::ZERO,
                stopping_since: None,
                watchers: Vec::new(),
                vouched: Edition(0),
                awaiting: Vec::new(),
                outputs: Vec::new(),
            },
        };
        machine.board.instances.span = machine.board.options.core.instance_span;
        machine.board.members.refresh = machine.board.options.core.member_refresh;
        machine.board.instances.refresh = machine.board.options.core.beat_refresh;
        let former = machine.board.book(BookName::Cohort).duty(TENURE).cloned();
        let former = former.filter(|term| term.holder == machine.board.node);
        machine.board.former_term = former.map(|term| term.epoch);
        for event in events {
            machine.board.note(event);
        }
        if fresh {
            machine.board.write_slot(Vec::new());
        }
        let outputs = std::mem::take(&mut machine.board.outputs);
        (machine, outputs)
    }

    pub fn node(&self) -> NodeId {
        self.board.node
    }

    /// Makes a message ready to leave for another process.
    pub fn seal(&self, to: SocketAddr, message: Message) -> Envelope {
        let board = &self.board;
        board
            .post
            .seal(board.now, board.options.control, to, message)
    }

    pub fn input(&mut self, now: Duration, input: LedgerInput) -> Vec<LedgerOutput> {
        let board = &mut self.board;
        board.now = now;
        match input {
            LedgerInput::Tick => tick(board),
            LedgerInput::Heard { envelope } => hear(board, envelope),
            LedgerInput::Synced { ticket } => synced(board, ticket),
            LedgerInput::WriteFailed { ticket } => write_failed(board, ticket),
            LedgerInput::Stop => {
                board.stopping_since.get_or_insert(now);
            }
            LedgerInput::Operator { ticket, call } => operator(board, ticket, call),
            LedgerInput::Beat { ticket, beat, echo } => hear_instance(board, ticket, beat, echo),
            LedgerInput::Gone { ticket, id } => {
                board.instances.end(now, &id);
                answer_instance(board, ticket, BeatAnswer::default(), false);
            }
            LedgerInput::Seeds { seeds } => board.options.seeds = seeds,
        }
        agents::answer_awaiting(board);
        answer_watchers(board);
        std::mem::take(&mut board.outputs)
    }
}

fn tick(board: &mut Blackboard) {
    if board.ailing && board.now >= board.retry_write_at {
        board.retry_write_at = board.now + Duration::from_secs(1);
        board.write_slot(Vec::new());
    }
    council::tick_founding(board);
    council::tick_rounds(board);
    for id in board.instances.expire(board.now) {
        board.note(Event::InstanceGone { id });
    }
    for node in board.members.expire(board.now) {
        board.note(Event::MemberGone { node });
    }
    count_silent_members(board);
    answer_late_beats(board);
    share_facts(board);
    duties::tick_duties(board);
    council::tick_proposers(board);
    stop_when_done(board);
}

/// How long a polite stop waits for duties and operators' calls to be settled.
const STOP_PATIENCE: Duration = Duration::from_secs(5);

/// Ends a polite stop once nobody waits for us and no duty is ours.
fn stop_when_done(board: &mut Blackboard) {
    let Some(since) = board.stopping_since else {
        return;
    };
    let cohort = board.book(BookName::Cohort);
    let on_duty = DUTIES
        .iter()
        .filter_map(|name| cohort.duty(name))
        .any(|term| term.holder == board.node);
    let asked = board
        .askers
        .iter()
        .any(|(_, asker)| matches!(asker, Asker::Operator(_) | Asker::Roster(_)));
    let busy = on_duty || asked || !board.awaiting.is_empty();
    if !busy || board.now.saturating_sub(since) >= STOP_PATIENCE {
        board.outputs.push(LedgerOutput::Stopped);
    }
}

fn share_facts(board: &mut Blackboard) {
    if board.now < board.share_at {
        return;
    }
    board.share_at = board.now + SHARE_PERIOD;
    let instances = board.instances.after(board.now, board.shared_instances);
    let gone = board
        .instances
        .ended_after(board.now, board.shared_instances);
    let members = board.members.after(board.now, board.shared_members);
    board.shared_instances = board.instances.learned();
    board.shared_members = board.members.learned();
    if instances.is_empty() && members.is_empty() && gone.is_empty() {
        return;
    }
    for to in board.other_ledgers() {
        let message = Message::Facts {
            instances: instances.clone(),
            members: members.clone(),
            gone: gone.clone(),
        };
        board.send(to, message);
    }
}

/// How long a beat waits for the keeper's answer.
const BEAT_PATIENCE: Duration = Duration::from_millis(500);

/// Takes a beat in that an instance sent here, and sees to its answer.
fn hear_instance(board: &mut Blackboard, ticket: u64, beat: Beat, echo: Option<Echo>) {
    let now = board.now;
    let lain = match board.options.core.stamped_beats {
        true => echo.and_then(|echo| echo.lain(now, board.node)),
        // Why as if it had just left: nothing dates it, and its counter keeps it in its place.
        false => Some(Duration::ZERO),
    };
    let heard = HeardBeat {
        beat,
        age: Duration::ZERO,
    };
    let answer = hear_beat(board, heard.clone(), lain);
    let keyed = board
        .book(BookName::Standing)
        .pools()
        .any(|(name, pool)| pool.keyed && name == heard.beat.pool);
    let keeper = answer.keeper.filter(|keeper| {
        keyed && !answer.by_keeper && lain.is_some() && *keeper != board.options.control
    });
    // Why passed on: only the keeper renews holds, and the instance need not know who that is.
    if let Some(to) = keeper.filter(|_| !board.options.core.stamped_beats) {
        board.next_beat += 1;
        board.beats.push(WaitingBeat {
            ticket,
            number: board.next_beat,
            until: now + BEAT_PATIENCE,
        });
        let ticket = board.next_beat;
        board.send(to, Message::BeatNote { ticket, heard });
        return;
    }
    answer_instance(board, ticket, answer, lain.is_none());
}

fn answer_instance(board: &mut Blackboard, ticket: u64, answer: BeatAnswer, again: bool) {
    let answer = OperatorAnswer::Beat {
        answer: DatedAnswer {
            answer,
            stamp: board.post.stamp(board.now),
            again,
        },
    };
    board.outputs.push(LedgerOutput::Answer { ticket, answer });
}

/// Counts members that fell silent here as not ready.
fn count_silent_members(board: &mut Blackboard) {
    let (now, silence) = (board.now, board.options.core.member_silence);
    let silent: Vec<NodeId> = board
        .renewed
        .iter()
        .filter(|(_, renewed)| now.saturating_sub(**renewed) >= silence)
        .map(|(node, _)| *node)
        .collect();
    // Why not after a gap of our own: then it was we who did not listen.
    let listened = now.saturating_sub(board.ticked_at) < silence / 2;
    board.ticked_at = now;
    for node in silent {
        board.renewed.remove(&node);
        if listened {
            board.members.count_silent(now, node);
        }
    }
}

/// Answers the beats whose keeper was silent: they were heard, only no hold is renewed.
fn answer_late_beats(board: &mut Blackboard) {
    let now = board.now;
    let (over, waiting): (Vec<WaitingBeat>, Vec<WaitingBeat>) = std::mem::take(&mut board.beats)
        .into_iter()
        .partition(|beat| now >= beat.until);
    board.beats = waiting;
    for beat in over {
        answer_instance(board, beat.ticket, BeatAnswer::default(), false);
    }
}

/// Takes a beat in and answers it.
///
/// Why nothing of one whose age cannot be told: it may be of an instance that is long gone.
fn hear_beat(board: &mut Blackboard, heard: HeardBeat, lain: Option<Duration>) -> BeatAnswer {
    let heard = lain.map(|lain| heard.aged(lain));
    let span = board.instances.span;
    let young = heard.filter(|heard| heard.age < span);
    let Some(heard) = young else {
        return BeatAnswer::default();
    };
    board.instances.hear(board.now, &heard);
    // Why no answer of ours: it said that it ended, and a late beat must not prolong its holds.
    if board.instances.has_ended(&heard.beat.id) {
        return BeatAnswer::default();
    }
    duties::answer_beat(board, &heard.beat)
}

fn hear(board: &mut Blackboard, envelope: Envelope) {
    let lain = board.post.open(board.now, &envelope);
    let Envelope {
        from,
        reply_to,
        message,
        ..
    } = envelope;
    match message {
        Message::Vote { vote } => council::hear_vote(board, from, reply_to, vote),
        Message::RoundAsk { number } => council::hear_round_ask(board, reply_to, number),
        Message::RoundAnswer { number, editions } => {
            council::hear_round_answer(board, from, reply_to, number, editions);
        }
        Message::SeedAsk { area, founded } => {
            let seen = SeedSeen {
                node: from,
                area,
                founded,
            };
            council::hear_seed_ask(board, reply_to, seen);
        }
        Message::SeedAnswer { area, founded } => {
            let seen = SeedSeen {
                node: from,
                area,
                founded,
            };
            council::hear_seed_answer(board, reply_to, seen);
        }
        Message::FoundAsk { founding } => council::hear_found_ask(board, reply_to, founding),
        Message::FoundTook { attempt } => council::hear_found_took(board, from, attempt),
        Message::Facts {
            instances,
            members,
            gone,
        } => {
            // Why nothing when its age cannot be told: every fact is soon told again.
            let Some(lain) = lain else {
                return;
            };
            for heard in instances {
                board.instances.hear(board.now, &heard.aged(lain));
            }
            for id in gone {
                board.instances.end(board.now, &id);
            }
            for heard in members {
                board.members.hear(board.now, &heard.aged(lain));
            }
        }
        Message::Renew { renewal } => hear_renewal(board, reply_to, renewal, lain),
        Message::BeatNote { ticket, heard } => {
            let answer = hear_beat(board, heard, lain);
            board.send(reply_to, Message::BeatReply { ticket, answer });
        }
        Message::BeatReply { ticket, answer } => {
            let place = board.beats.iter().position(|beat| beat.number == ticket);
            if let Some(place) = place {
                let waiting = board.beats.swap_remove(place);
                answer_instance(board, waiting.ticket, answer, false);
            }
        }
        // Why nothing: these are for followers, and a ledger is none.
        Message::Grant { .. }
        | Message::Pull { .. }
        | Message::View { .. }
        | Message::IslandAsk { .. }
        | Message::IslandTell { .. } => {}
    }
}

fn hear_renewal(
    board: &mut Blackboard,
    reply_to: SocketAddr,
    renewal: Renewal,
    lain: Option<Duration>,
) {
    let now = board.now;
    let member = renewal.member;
    // Why answered all the same: the grant counts from when the member asked, and only whether it
    // is alive now hangs on the age of its question.
    if let Some(age) = lain {
        let heard = HeardMember {
            member: member.clone(),
            age,
        };
        board.members.hear(now, &heard);
        board.renewed.insert(member.node, now.saturating_sub(age));
    }
    // Why the place only counts under our own name: another ledger numbers its facts otherwise.
    let (instances_after, members_after) = if renewal.ledger == board.node {
        (renewal.instances_after, renewal.members_after)
    } else {
        (0, 0)
    };
    let news: Vec<Vote> = renewal
        .wants
        .iter()
        .filter_map(|name| {
            let held = member
                .editions
                .get(name.index())
                .copied()
                .unwrap_or_default();
            board.seat.news_after(*name, held)
        })
        .collect();
    let round = match board.options.broken {
        Broken::LoneGrants => Some((
            Duration::ZERO,
            ALL_BOOKS.map(|name| board.book(name).edition).to_vec(),
        )),
        _ => board
            .rounds
            .latest(now)
            .map(|round| (now.saturating_sub(round.started), round.editions.clone())),
    };
    // Why members only for directories: agents need no more than their number, and with many nodes
    // the list would be most of what a node hears.
    let members = match member.role {
        Role::Directory => board.members.after(now, members_after),
        Role::Proxy => Vec::new(),
    };
    let members = members
        .into_iter()
        .map(|mut heard| {
            heard.member.demand.clear();
            heard
        })
        .collect();
    let written = board.book(BookName::Placement).mapping();
    let written = written.map_or(0, |mapping| mapping.proxies);
    let proxies = written.max(board.members.ready_proxies().count() as u32);
    let assured = round.is_some();
    let (round_age, editions) = round.unwrap_or((PERMIT_SPAN, Vec::new()));
    let granted = Granted {
        number: renewal.number,
        round_age,
        editions,
        // Why none for directories: they name proxies only.
        instances: match member.role {
            Role::Proxy => board.instances.after(now, instances_after),
            Role::Directory => Vec::new(),
        },
        instances_place: board.instances.learned(),
        gone: board.instances.ended_after(now, instances_after),
        proxies,
        members,
        members_place: board.members.learned(),
        news,
        assured,
    };
    board.send(reply_to, Message::Grant { granted });
}

fn synced(board: &mut Blackboard, ticket: u64) {
    while board.held.front().is_some_and(|(held, _)| *held <= ticket) {
        if let Some((_, outputs)) = board.held.pop_front() {
            board.outputs.extend(outputs);
        }
    }
    board.unsynced_slot.take_if(|slot| *slot <= ticket);
    if board.ailing && ticket == board.next_write {
        board.ailing = false;
        board.note(Event::DiskWell);
    }
}

fn write_failed(board: &mut Blackboard, ticket: u64) {
    if board
        .unsynced_slot
        .take_if(|slot| *slot >= ticket)
        .is_some()
    {
        board.disk.same_slot_again();
    }
    // Why all of them: what was to be written after a lost line has a gap before it.
    board.held.clear();
    board.next_write += 1;
    board.retry_write_at = board.now + Duration::from_secs(1);
    if !board.ailing {
        board.ailing = true;
        board.note(Event::DiskRefused);
    }
}

fn operator(board: &mut Blackboard, ticket: u64, call: OperatorCall) {
    let answer = match call {
        OperatorCall::Apply { .. } | OperatorCall::Retire { .. }
            if board.stopping_since.is_some() =>
        {
            OperatorAnswer::Leaving
        }
        // Why first: a repeat of what was accepted long ago is answered all the same.
        OperatorCall::Apply { change }
            if !agents::could_say_yes(board) && is_news(board, &change) =>
        {
            OperatorAnswer::Verdict {
                verdict: Verdict::TooFewAgents,
            }
        }
        OperatorCall::Apply { change } => {
            board.propose(BookName::Standing, Asker::Operator(ticket), change);
            council::tick_proposers(board);
            return;
        }
        OperatorCall::Check { change } => OperatorAnswer::Verdict {
            verdict: Verdict::Faulty(check_standing(board.book(BookName::Standing), &change)),
        },
        OperatorCall::Read => {
            let careless = board.options.broken == Broken::LoneReads;
            if board.is_current(BookName::Standing) || careless {
                let book = board.book(BookName::Standing).clone();
                let edition = book.edition;
                let answer = OperatorAnswer::Standing { book };
                // Why it waits: a read must not show as accepted what was not told yes.
                let otherwise = OperatorAnswer::NotCurrent;
                agents::answer_when_held(board, ticket, edition, answer, otherwise);
                return;
            } else {
                OperatorAnswer::NotCurrent
            }
        }
        OperatorCall::Watch { after, wait } => {
            let until = board.now + wait;
            board.watchers.push(Watcher {
                ticket,
                after,
                until,
            });
            return;
        }
        OperatorCall::Retire { dropped } => match agents::roster_without(board, &dropped) {
            Ok(roster) => {
                let value = Value::Roster { roster };
                let change = duties::roster_change(board, value);
                board.propose(BookName::Cohort, Asker::Roster(ticket), change);
                council::tick_proposers(board);
                return;
            }
            Err(faults) => OperatorAnswer::Verdict {
                verdict: Verdict::Faulty(faults),
            },
        },
        OperatorCall::Status => OperatorAnswer::Status {
            status: Box::new(status(board)),
        },
    };
    board.outputs.push(LedgerOutput::Answer { ticket, answer });
}

fn is_news(board: &Blackboard, change: &Change) -> bool {
    !matches!(
        board.book(BookName::Standing).weigh(change),
        Standpoint::Repeat(_)
    )
}

fn status(board: &Blackboard) -> LedgerStatus {
    let cohort = board.book(BookName::Cohort);
    LedgerStatus {
        node: board.node,
        area: board.options.area.clone(),
        editions: ALL_BOOKS.map(|name| board.book(name).edition).to_vec(),
        current: board.is_current(BookName::Standing),
        ailing: board.ailing,
        seats: cohort
            .seats()
            .iter()
            .flat_map(|seats| &seats.holders)
            .map(|holder| {
                let alive =
                    holder.node == board.node || board.liveness.alive(board.now, holder.node);
                (holder.clone(), alive)
            })
            .collect(),
        duties: DUTIES
            .map(|name| (name, cohort.duty(name).cloned()))
            .to_vec(),
        members: board.members.iter().cloned().collect(),
        instances: board.instances.iter().cloned().collect(),
        mapping: board.book(BookName::Placement).mapping().cloned(),
        roster: agents::roster_in_touch(board),
        vouched: board.vouched,
    }
}

/// News without what is beyond an edition; a whole book that is ahead of it waits.
fn news_up_to(news: Vote, edition: Edition) -> Option<Vote> {
    match news {
        Vote::News { book, mut changes } => {
            changes.retain(|numbered| numbered.edition <= edition);
            Some(Vote::News { book, changes })
        }
        Vote::Whole { book, whole } if whole.edition <= edition => {
            Some(Vote::Whole { book, whole })
        }
        _ => None,
    }
}

fn answer_watchers(board: &mut Blackboard) {
    if board.watchers.is_empty() {
        return;
    }
    let now = board.now;
    let vouched = board.vouched;
    // Why no further: what is ahead of it may not have been told yes.
    let edition = board.book(BookName::Standing).edition.min(vouched);
    let (ready, waiting): (Vec<Watcher>, Vec<Watcher>) = std::mem::take(&mut board.watchers)
        .into_iter()
        .partition(|watcher| watcher.after < edition || now >= watcher.until);
    board.watchers = waiting;
    for watcher in ready {
        let news = board
            .seat
            .news_after(BookName::Standing, watcher.after)
            .and_then(|news| news_up_to(news, edition));
        let answer = OperatorAnswer::Changes { edition, news };
        board.outputs.push(LedgerOutput::Answer {
            ticket: watcher.ticket,
            answer,
        });
    }
}
