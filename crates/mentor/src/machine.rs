//! The mentor's state machine: holds the link to the core, hears beats, feeds its proxy.

use crate::prelude::*;

/// A proxy that has not asked for this long is down.
const PROXY_SILENCE: Duration = Duration::from_millis(1200);
/// The books that an agent follows. A witness gets the placement when it is to vote on it.
const FOLLOWED: [BookName; 3] = [BookName::Standing, BookName::Tenure, BookName::Cohort];
/// For how many hours usage is remembered.
const USAGE_HOURS: u64 = 48;
/// How long a polite stop waits for the witness seat to be given to another.
const SEAT_PATIENCE: Duration = Duration::from_secs(5);
/// How long it waits for a proxy that stops as well.
const STOP_PATIENCE: Duration = Duration::from_secs(15);
/// How long a beat waits for the keeper's answer.
const BEAT_PATIENCE: Duration = Duration::from_millis(700);

#[derive(Debug, Clone)]
pub struct MentorOptions {
    pub control: SocketAddr,
    pub area: Area,
    pub seeds: Vec<SocketAddr>,
    /// The proxy goes on with what it last knew when the core is out of reach.
    pub proxy_serves_on: bool,
    /// An instance that has not beaten for so long is gone.
    pub instance_span: Duration,
    /// How long a beat that says nothing new need not be told to the proxy.
    pub beat_refresh: Duration,
    /// How long demand need not be told again.
    pub demand_period: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum MentorInput {
    Tick,
    Heard {
        envelope: Envelope,
    },
    /// The platform asks for a stop.
    Stop,
    /// The seeds that the settings name now.
    Seeds {
        seeds: Vec<SocketAddr>,
    },
    /// An operator asks what was carried.
    Usage {
        ticket: u64,
    },
    /// A beat of an instance, with the last stamp that it had from us.
    Beat {
        ticket: u64,
        beat: Beat,
        echo: Option<Echo>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum MentorOutput {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// `None` when no ledger heard the beat: the instance must take it elsewhere.
    AnswerBeat {
        ticket: u64,
        answer: Option<DatedAnswer>,
    },
    Note {
        event: MentorEvent,
    },
    AnswerUsage {
        ticket: u64,
        lines: Vec<UsageLine>,
    },
    /// The seat is handed on and nobody needs us: the process may end.
    Stopped,
}

#[derive(Debug, Clone, PartialEq)]
pub enum MentorEvent {
    Fresh,
    Stale,
    /// The core is out of reach, and the other agents' word keeps this one fresh.
    OnIsland,
    OffIsland,
    BookMoved {
        book: BookName,
        edition: Edition,
    },
    InstanceGone {
        id: InstanceId,
    },
}

#[derive(Debug, Clone)]
struct WaitingBeat {
    ticket: u64,
    number: u64,
    until: Duration,
    /// The answer of a ledger that is not the keeper: it heard the beat, no more.
    spread: Option<BeatAnswer>,
}

pub struct MentorMachine {
    options: MentorOptions,
    node: NodeId,
    link: CoreLink,
    counter: u64,
    /// When the demand is told again, and whom it was told last.
    demand_at: Duration,
    demand_to: SocketAddr,
    proxy: Option<(Duration, Pull)>,
    /// What the proxies' lives beside us carried, by life, hour and rule.
    usage: BTreeMap<(u64, u64, RuleName, PoolName), UsageLine>,
    beats: Vec<WaitingBeat>,
    next_beat: u64,
    stopping_since: Option<Duration>,
    was_fresh: bool,
    was_on_island: bool,
    islander: Islander,
    /// The instances that beat here since we last told the other agents.
    beaten: BTreeSet<InstanceId>,
    /// Our voting part while the cohort names us as a witness.
    seat: Option<Seat>,
}

impl MentorMachine {
    pub fn start(options: MentorOptions, seed: u64) -> Self {
        let mut chance = Chance::seeded(seed);
        let node = NodeId(chance.draw() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), chance.draw());
        link.instances.span = options.instance_span;
        link.instances.refresh = options.beat_refresh;
        let islander = Islander::new(options.control);
        let first = options.control;
        Self {
            options,
            node,
            link,
            counter: 0,
            demand_at: Duration::ZERO,
            demand_to: first,
            proxy: None,
            usage: BTreeMap::new(),
            beats: Vec::new(),
            next_beat: 0,
            stopping_since: None,
            was_fresh: false,
            was_on_island: false,
            islander,
            beaten: BTreeSet::new(),
            seat: None,
        }
    }

    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Makes a message ready to leave for another process.
    pub fn seal(&self, now: Duration, to: SocketAddr, message: Message) -> Envelope {
        self.link.post.seal(now, self.options.control, to, message)
    }

    pub fn link(&self) -> &CoreLink {
        &self.link
    }

    /// Only for proving the observers: takes grants whose news has not arrived.
    pub fn be_careless(&mut self) {
        self.link.permit.careless = true;
    }

    /// Only for proving the observers.
    pub fn break_island(&mut self, broken: BrokenIsland) {
        self.islander.broken = broken;
    }

    /// Until when this agent may vouch for what it holds: by the core, or by the other agents.
    pub fn fresh_until(&self) -> Duration {
        self.link.fresh_until().max(self.islander.until())
    }

    fn member(&mut self, now: Duration) -> Member {
        self.counter += 1;
        let tells_demand = now >= self.demand_at || self.link.ledger() != self.demand_to;
        if tells_demand {
            self.demand_at = now + self.options.demand_period;
            self.demand_to = self.link.ledger();
        }
        let proxy = self
            .proxy
            .as_ref()
            .filter(|(asked, _)| now.saturating_sub(*asked) < PROXY_SILENCE)
            .map(|(_, pull)| pull);
        Member {
            node: self.node,
            counter: self.counter,
            role: Role::Proxy,
            area: self.options.area.clone(),
            control: self.options.control,
            serving: proxy.map_or(self.options.control, |pull| pull.serving),
            ready: proxy.is_some_and(|pull| pull.ready),
            capacity: proxy.map_or(0, |pull| pull.capacity),
            demand: proxy
                .filter(|_| tells_demand)
                .map(|pull| pull.demand.clone())
                .unwrap_or_default(),
            same_demand: !tells_demand,
            silent: false,
            editions: self.link.editions(),
            leaving: self.stopping_since.is_some(),
            stands: Vec::new(),
        }
    }

    pub fn input(&mut self, now: Duration, input: MentorInput) -> Vec<MentorOutput> {
        let mut outputs = Vec::new();
        match input {
            MentorInput::Stop => {
                self.stopping_since.get_or_insert(now);
                self.link.renew_now(now);
            }
            MentorInput::Seeds { seeds } => self.link.seeds = seeds,
            MentorInput::Usage { ticket } => {
                let lines = self.usage();
                outputs.push(MentorOutput::AnswerUsage { ticket, lines });
            }
            MentorInput::Tick => self.tick(now, &mut outputs),
            MentorInput::Heard { envelope } => self.hear(now, envelope, &mut outputs),
            MentorInput::Beat { ticket, beat, echo } => {
                self.beat(now, ticket, beat, echo, &mut outputs)
            }
        }
        let permit_until = self.link.fresh_until();
        let cohort = self.link.shelf.follower().book(BookName::Cohort);
        self.islander.look(now, cohort, permit_until);
        let fresh = now < self.fresh_until();
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            let event = if fresh {
                MentorEvent::Fresh
            } else {
                MentorEvent::Stale
            };
            outputs.push(MentorOutput::Note { event });
        }
        let on_island = fresh && now >= permit_until;
        if on_island != self.was_on_island {
            self.was_on_island = on_island;
            let event = if on_island {
                MentorEvent::OnIsland
            } else {
                MentorEvent::OffIsland
            };
            outputs.push(MentorOutput::Note { event });
        }
        outputs
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<MentorOutput>) {
        if self.link.due(now) {
            let member = self.member(now);
            let (to, message) = self.link.renew(now, member);
            outputs.push(MentorOutput::Send { to, message });
        }
        self.ask_agents(now, outputs);
        self.link.members.expire(now);
        let gone = match self.options.proxy_serves_on {
            true => self.link.expire_instances(now),
            false => self.link.instances.expire(now),
        };
        for id in gone {
            let event = MentorEvent::InstanceGone { id };
            outputs.push(MentorOutput::Note { event });
        }
        let stamp = self.link.post.stamp(now);
        // Why an answer all the same on an island: the beat was heard, only no hold can be renewed.
        let on_island = now < self.islander.until();
        self.beats.retain_mut(|waiting| {
            let over = now >= waiting.until;
            let heard_here = on_island.then(BeatAnswer::default);
            if over {
                outputs.push(MentorOutput::AnswerBeat {
                    ticket: waiting.ticket,
                    answer: waiting
                        .spread
                        .take()
                        .or(heard_here)
                        .map(|answer| DatedAnswer {
                            answer,
                            stamp,
                            again: false,
                        }),
                });
            }
            !over
        });
        self.stop_when_done(now, outputs);
    }

    /// Ends a polite stop once the witness seat is another's, no beat waits for its answer, and the
    /// proxy does not stop at the same time and need its news until it has.
    fn stop_when_done(&self, now: Duration, outputs: &mut Vec<MentorOutput>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let waited = now.saturating_sub(since);
        let proxy_ends = self
            .proxy
            .as_ref()
            .is_some_and(|(asked, pull)| !pull.ready && now.saturating_sub(*asked) < PROXY_SILENCE);
        let busy = self.seat.is_some() || !self.beats.is_empty();
        let done = !busy || waited >= SEAT_PATIENCE;
        if (done && !proxy_ends) || waited >= STOP_PATIENCE {
            outputs.push(MentorOutput::Stopped);
        }
    }

    fn hear(&mut self, now: Duration, envelope: Envelope, outputs: &mut Vec<MentorOutput>) {
        let lain = self.link.post.open(now, &envelope);
        match envelope.message {
            Message::Grant { granted } => {
                let moved = self.link.granted(now, envelope.from, &granted);
                if moved.iter().any(|book| ISLAND_BOOKS.contains(book)) {
                    // Why at once: an operator waits for our word that we hold it.
                    self.link.renew_now(now);
                }
                self.books_moved(&moved, outputs);
            }
            Message::IslandAsk { ask } => {
                // Why only with a known age: as for all facts.
                if let Some(lain) = lain {
                    for heard in &ask.beats {
                        self.link.instances.hear(now, &heard.clone().aged(lain));
                    }
                }
                let shelf = &self.link.shelf;
                let news = ISLAND_BOOKS.iter().filter_map(|name| {
                    let held = ask.editions.get(name.index()).copied();
                    shelf.news_after(*name, held.unwrap_or_default())
                });
                let tell = IslandTell {
                    number: ask.number,
                    editions: self.link.editions(),
                    news: news.collect(),
                    fit_under: self.islander.fit_under(),
                };
                outputs.push(MentorOutput::Send {
                    to: envelope.reply_to,
                    message: Message::IslandTell { tell },
                });
                self.fetch_from(now, envelope.reply_to, &ask, outputs);
            }
            Message::IslandTell { tell } => {
                let pools = self.islander.broken != BrokenIsland::NoPooling;
                let moved: Vec<BookName> = tell
                    .news
                    .iter()
                    .filter(|_| pools)
                    .filter_map(|news| self.link.shelf.take(news))
                    .collect();
                self.books_moved(&moved, outputs);
                // Why looked at first: news of another roster makes what was asked under this void.
                let cohort = self.link.shelf.follower().book(BookName::Cohort);
                self.islander.look(now, cohort, self.link.fresh_until());
                let follower = self.link.shelf.follower();
                self.islander.told(envelope.reply_to, &tell, follower);
            }
            Message::BeatReply { ticket, answer } => {
                let Some(place) = self.beats.iter().position(|beat| beat.number == ticket) else {
                    return;
                };
                let keeper = self.link.keeper();
                // Why wait on: this ledger heard the beat, but only the keeper renews holds.
                if keeper.is_some_and(|keeper| keeper != envelope.reply_to) {
                    self.beats[place].spread = Some(answer);
                    return;
                }
                let waiting = self.beats.swap_remove(place);
                outputs.push(MentorOutput::AnswerBeat {
                    ticket: waiting.ticket,
                    answer: Some(DatedAnswer {
                        answer,
                        stamp: self.link.post.stamp(now),
                        again: false,
                    }),
                });
            }
            Message::Pull { pull } => {
                let view = self.view(now, &pull);
                self.count_usage(&pull);
                self.proxy = Some((now, pull));
                outputs.push(MentorOutput::Send {
                    to: envelope.reply_to,
                    message: Message::View { view },
                });
            }
            Message::Vote { vote } => {
                let Some(seat) = &mut self.seat else {
                    return;
                };
                let outcome = seat.hear(vote);
                let cohort_moved = outcome.moved.contains(&BookName::Cohort);
                outputs.extend(outcome.replies.into_iter().map(|vote| MentorOutput::Send {
                    to: envelope.reply_to,
                    message: Message::Vote { vote },
                }));
                if cohort_moved {
                    self.look_for_seat();
                }
            }
            Message::RoundAsk { number } => {
                if let Some(seat) = &self.seat {
                    let editions = seat.possible();
                    outputs.push(MentorOutput::Send {
                        to: envelope.reply_to,
                        message: Message::RoundAnswer { number, editions },
                    });
                }
            }
            // Why nothing: all else is for ledgers.
            _ => {}
        }
    }

    /// Remembers what the proxy says it carried.
    ///
    /// Why here: a proxy may die at any time, and its counts need not die with it.
    fn count_usage(&mut self, pull: &Pull) {
        for line in &pull.usage {
            let place = (pull.life, line.hour, line.rule.clone(), line.pool.clone());
            self.usage.insert(place, line.clone());
        }
        let latest = self.usage.keys().map(|place| place.1).max().unwrap_or(0);
        self.usage
            .retain(|place, _| place.1 + USAGE_HOURS >= latest);
    }

    /// What was carried beside this agent, by hour, rule and pool.
    pub fn usage(&self) -> Vec<UsageLine> {
        let mut sums: BTreeMap<(u64, &RuleName, &PoolName), UsageLine> = BTreeMap::new();
        for line in self.usage.values() {
            let sum = sums
                .entry((line.hour, &line.rule, &line.pool))
                .or_insert_with(|| UsageLine {
                    hour: line.hour,
                    rule: line.rule.clone(),
                    pool: line.pool.clone(),
                    ..UsageLine::default()
                });
            sum.orders += line.orders;
            sum.served += line.served;
            sum.not_run += line.not_run;
            sum.unknown += line.unknown;
            sum.bytes_in += line.bytes_in;
            sum.bytes_out += line.bytes_out;
        }
        sums.into_values().collect()
    }

    fn books_moved(&mut self, moved: &[BookName], outputs: &mut Vec<MentorOutput>) {
        if moved.contains(&BookName::Cohort) {
            self.look_for_seat();
        }
        for book in moved {
            let book = *book;
            let edition = self.link.shelf.follower().book(book).edition;
            let event = MentorEvent::BookMoved { book, edition };
            outputs.push(MentorOutput::Note { event });
        }
    }

    /// Asks an agent for the books it has beyond ours, when the core cannot bring them.
    fn fetch_from(
        &mut self,
        now: Duration,
        to: SocketAddr,
        ask: &IslandAsk,
        outputs: &mut Vec<MentorOutput>,
    ) {
        let editions = self.link.editions();
        let behind = editions[BookName::Cohort.index()] == Edition(0)
            && ask.editions.get(BookName::Cohort.index()) > Some(&Edition(0));
        if behind && self.islander.fetches(now, self.link.fresh_until()) {
            let ask = IslandAsk {
                number: 0,
                editions,
                beats: Vec::new(),
            };
            let message = Message::IslandAsk { ask };
            outputs.push(MentorOutput::Send { to, message });
        }
    }

    /// Asks the other agents what they hold when the core has been silent for a while.
    fn ask_agents(&mut self, now: Duration, outputs: &mut Vec<MentorOutput>) {
        let permit_until = self.link.fresh_until();
        let cohort = self.link.shelf.follower().book(BookName::Cohort);
        let Some((number, others)) = self.islander.ask(now, cohort, permit_until) else {
            return;
        };
        let beats: Vec<HeardBeat> = std::mem::take(&mut self.beaten)
            .iter()
            .filter_map(|id| self.link.instances.heard(now, id))
            .collect();
        for to in others {
            let ask = IslandAsk {
                number,
                editions: self.link.editions(),
                beats: beats.clone(),
            };
            let message = Message::IslandAsk { ask };
            outputs.push(MentorOutput::Send { to, message });
        }
    }

    /// Takes a witness's seat up or lays it down, as the cohort says.
    ///
    /// Why from the copies at hand: whoever gave us the seat had settled every book before, and
    /// what we lack of them we refuse to vote on until we have it.
    fn look_for_seat(&mut self) {
        let follower = self.link.shelf.follower();
        let mut cohort = follower.book(BookName::Cohort);
        if let Some(seat) = &self.seat {
            let voted = seat.book(BookName::Cohort);
            if voted.edition > cohort.edition {
                cohort = voted;
            }
        }
        let named = cohort
            .seats()
            .is_some_and(|seats| seats.holder(self.node).is_some());
        if !named {
            self.seat = None;
        } else if self.seat.is_none() {
            let copies = ALL_BOOKS
                .iter()
                .map(|name| Copy {
                    book: follower.book(*name).clone(),
                    ..Copy::empty()
                })
                .collect();
            self.seat = Some(Seat::restored(copies));
        }
    }

    fn view(&self, now: Duration, pull: &Pull) -> ProxyView {
        let follower = self.link.shelf.follower();
        let news = [
            (BookName::Standing, pull.standing),
            (BookName::Tenure, pull.tenure),
        ]
        .into_iter()
        .filter_map(|(name, after)| self.link.shelf.news_after(name, after))
        .collect();
        let all = pull.agent != self.node || pull.instances_place < self.link.instances.removed();
        let heard = self.link.proxies() as usize;
        // Why the whole roster out of the core's reach: who of it still serves cannot be told, and
        // what is shared among the proxies must not be shared among fewer than there are.
        let roster = follower.book(BookName::Cohort).roster();
        let alone = now >= self.link.fresh_until();
        let listed = roster
            .filter(|_| alone)
            .map_or(0, |roster| roster.members.len());
        let proxies = heard.max(listed) as u32;
        ProxyView {
            number: pull.number,
            left: self.fresh_until().saturating_sub(now),
            news,
            instances: match all {
                true => self.link.instances.iter().cloned().collect(),
                false => {
                    let changed = self.link.instances.after(now, pull.instances_place);
                    changed.into_iter().map(|heard| heard.beat).collect()
                }
            },
            agent: self.node,
            instances_place: self.link.instances.learned(),
            all_instances: all,
            proxies: proxies.max(1),
            standing: follower.book(BookName::Standing).edition,
            tenure: follower.book(BookName::Tenure).edition,
        }
    }

    fn beat(
        &mut self,
        now: Duration,
        ticket: u64,
        beat: Beat,
        echo: Option<Echo>,
        outputs: &mut Vec<MentorOutput>,
    ) {
        // Why at once: the instance is to find another agent before this one is gone.
        if self.stopping_since.is_some() {
            let answer = None;
            outputs.push(MentorOutput::AnswerBeat { ticket, answer });
            return;
        }
        // Why not taken at its word: a beat may have lain in a socket while we were frozen, and
        // what it says may be long over. With our stamp in hand the instance beats again at once.
        let Some(age) = echo.and_then(|echo| echo.lain(now, self.node)) else {
            outputs.push(MentorOutput::AnswerBeat {
                ticket,
                answer: Some(DatedAnswer {
                    answer: BeatAnswer::default(),
                    stamp: self.link.post.stamp(now),
                    again: true,
                }),
            });
            return;
        };
        let heard = HeardBeat { beat, age };
        self.link.instances.hear(now, &heard);
        self.beaten.insert(heard.beat.id.clone());
        self.next_beat += 1;
        self.beats.push(WaitingBeat {
            ticket,
            number: self.next_beat,
            until: now + BEAT_PATIENCE,
            spread: None,
        });
        let keeper = self.link.keeper();
        let ledger = self.link.ledger();
        // Why both: only the keeper renews holds, but the fact must spread while there is none.
        if let Some(to) = keeper {
            outputs.push(MentorOutput::Send {
                to,
                message: Message::BeatNote {
                    ticket: self.next_beat,
                    heard: heard.clone(),
                },
            });
        }
        if keeper != Some(ledger) {
            outputs.push(MentorOutput::Send {
                to: ledger,
                message: Message::BeatNote {
                    ticket: self.next_beat,
                    heard,
                },
            });
        }
    }
}
