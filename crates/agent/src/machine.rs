//! The agent's state machine: holds the link to the core, hears heartbeats, feeds its proxy.

use crate::prelude::*;

/// A proxy that has not asked for this long is down.
const PROXY_SILENCE: Duration = Duration::from_millis(1200);
/// The maps that an agent follows. A witness gets the placement when it is to vote on it.
const FOLLOWED: [MapName; 3] = [
    MapName::Configuration,
    MapName::Ownership,
    MapName::Membership,
];
/// How soon the proxy is told a whole map again.
///
/// Why sooner than other followers: it asks ten times a second on the same machine, and carries
/// nothing before it has the map.
const PROXY_MAP_PERIOD: Duration = Duration::from_millis(300);
/// For how many hours usage is remembered.
const USAGE_HOURS: u64 = 48;
/// How long a polite stop waits for the witness voter to be given to another.
const VOTER_PATIENCE: Duration = Duration::from_secs(5);
/// How long it waits for a proxy that stops as well.
const STOP_PATIENCE: Duration = Duration::from_secs(15);
/// How long a heartbeat waits for the owner manager's answer.
const HEARTBEAT_PATIENCE: Duration = Duration::from_millis(700);

#[derive(Debug, Clone)]
pub struct AgentOptions {
    pub control: SocketAddr,
    pub zone: Zone,
    pub seeds: Vec<SocketAddr>,
    /// The proxy goes on with what it last knew when the core is out of reach.
    pub proxy_serves_on: bool,
    /// An instance that has not beaten for so long is gone.
    pub instance_span: Duration,
    /// How long a lease lives at most.
    pub lease_span: Duration,
    /// How long a heartbeat that says nothing new need not be told to the proxy.
    pub heartbeat_refresh: Duration,
    /// How long demand need not be told again.
    pub demand_period: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum AgentInput {
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
    /// A heartbeat of an instance, with the last stamp that it had from us.
    Heartbeat {
        ticket: u64,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum AgentOutput {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// `None` when no controller heard the heartbeat: the instance must take it elsewhere.
    AnswerHeartbeat {
        ticket: u64,
        answer: Option<DatedAnswer>,
    },
    Note {
        event: AgentEvent,
    },
    AnswerUsage {
        ticket: u64,
        lines: Vec<UsageLine>,
    },
    /// The voter is handed on and nobody needs us: the process may end.
    Stopped,
}

#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    Fresh,
    Stale,
    /// The core is out of reach, and the other agents' word keeps this one fresh.
    OnIsland,
    OffIsland,
    MapMoved {
        map: MapName,
        version: Version,
    },
    InstanceGone {
        id: InstanceId,
    },
    /// A piece of a map was refused; nothing of it is kept.
    PieceRefused {
        refused: RefusedPiece,
        from: SocketAddr,
    },
}

#[derive(Debug, Clone)]
struct WaitingHeartbeat {
    ticket: u64,
    number: u64,
    until: Duration,
    /// The answer of a controller that is not the owner manager: it heard the heartbeat, no more.
    spread: Option<HeartbeatAnswer>,
}

pub struct AgentMachine {
    options: AgentOptions,
    node: NodeId,
    link: CoreLink,
    counter: u64,
    /// When the demand is told again, and whom it was told last.
    demand_at: Duration,
    demand_to: SocketAddr,
    proxy: Option<(Duration, Pull)>,
    /// What the proxies' lives beside us carried, by life, hour and route.
    usage: BTreeMap<(u64, u64, RouteName, ServiceName), UsageLine>,
    heartbeats: Vec<WaitingHeartbeat>,
    next_heartbeat: u64,
    stopping_since: Option<Duration>,
    was_fresh: bool,
    was_on_island: bool,
    islander: Islander,
    /// The instances that heartbeat here since we last told the other agents.
    beaten: BTreeSet<InstanceId>,
    /// Our voting part while the membership names us as a witness.
    voter: Option<Voter>,
    /// Maps of our voting part, encoded for controllers that are behind.
    snapshots: SnapshotSender,
    /// How often other agents and the proxy are sent whole maps.
    agents_limit: WholeMapLimit,
    proxy_limit: WholeMapLimit,
}

impl AgentMachine {
    pub fn start(options: AgentOptions, seed: u64) -> Self {
        let mut chance = Chance::seeded(seed);
        let node = NodeId(chance.draw() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), chance.draw());
        link.instances.span = options.instance_span;
        link.lease.span = options.lease_span;
        link.instances.refresh = options.heartbeat_refresh;
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
            heartbeats: Vec::new(),
            next_heartbeat: 0,
            stopping_since: None,
            was_fresh: false,
            was_on_island: false,
            islander,
            beaten: BTreeSet::new(),
            voter: None,
            snapshots: SnapshotSender::default(),
            agents_limit: WholeMapLimit::default(),
            proxy_limit: WholeMapLimit::once_in(PROXY_MAP_PERIOD),
        }
    }

    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Makes a message ready to leave for another process.
    pub fn seal(&self, now: Duration, to: SocketAddr, message: Message) -> Envelope {
        self.link
            .envelope_clock
            .seal(now, self.options.control, to, message)
    }

    pub fn link(&self) -> &CoreLink {
        &self.link
    }

    /// Only for proving the observers: takes grants whose news has not arrived.
    pub fn be_careless(&mut self) {
        self.link.lease.careless = true;
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
        let tells_demand = now >= self.demand_at || self.link.controller() != self.demand_to;
        if tells_demand {
            self.demand_at = now + self.options.demand_period;
            self.demand_to = self.link.controller();
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
            zone: self.options.zone.clone(),
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
            versions: self.link.versions(),
            leaving: self.stopping_since.is_some(),
            stands: Vec::new(),
        }
    }

    pub fn input(&mut self, now: Duration, input: AgentInput) -> Vec<AgentOutput> {
        let mut outputs = Vec::new();
        match input {
            AgentInput::Stop => {
                self.stopping_since.get_or_insert(now);
                self.link.renew_now(now);
            }
            AgentInput::Seeds { seeds } => self.link.seeds = seeds,
            AgentInput::Usage { ticket } => {
                let lines = self.usage();
                outputs.push(AgentOutput::AnswerUsage { ticket, lines });
            }
            AgentInput::Tick => self.tick(now, &mut outputs),
            AgentInput::Heard { envelope } => self.hear(now, envelope, &mut outputs),
            AgentInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            } => self.heartbeat(now, ticket, heartbeat, echo, &mut outputs),
        }
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        self.islander.look(now, membership, lease_until);
        let fresh = now < self.fresh_until();
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            let event = if fresh {
                AgentEvent::Fresh
            } else {
                AgentEvent::Stale
            };
            outputs.push(AgentOutput::Note { event });
        }
        let on_island = fresh && now >= lease_until;
        if on_island != self.was_on_island {
            self.was_on_island = on_island;
            let event = if on_island {
                AgentEvent::OnIsland
            } else {
                AgentEvent::OffIsland
            };
            outputs.push(AgentOutput::Note { event });
        }
        outputs
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        self.snapshots.tick(now);
        if self.link.due(now) {
            let member = self.member(now);
            let (to, message) = self.link.renew(now, member);
            outputs.push(AgentOutput::Send { to, message });
        }
        let requests = self.link.tick_catch_up(now);
        self.ask_for_pieces(requests, outputs);
        self.ask_agents(now, outputs);
        self.link.members.expire(now);
        let gone = match self.options.proxy_serves_on {
            true => self.link.count_silent_instances(now),
            false => self.link.instances.count_silent(now),
        };
        for id in gone {
            let event = AgentEvent::InstanceGone { id };
            outputs.push(AgentOutput::Note { event });
        }
        let stamp = self.link.envelope_clock.stamp(now);
        // Why an answer all the same on an island: the heartbeat was heard, only no hold can be renewed.
        let on_island = now < self.islander.until();
        self.heartbeats.retain_mut(|waiting| {
            let over = now >= waiting.until;
            let heard_here = on_island.then(HeartbeatAnswer::default);
            if over {
                outputs.push(AgentOutput::AnswerHeartbeat {
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

    /// Ends a polite stop once the witness voter is another's, no heartbeat waits for its answer, and the
    /// proxy does not stop at the same time and need its news until it has.
    fn stop_when_done(&self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let waited = now.saturating_sub(since);
        let proxy_ends = self
            .proxy
            .as_ref()
            .is_some_and(|(asked, pull)| !pull.ready && now.saturating_sub(*asked) < PROXY_SILENCE);
        let busy = self.voter.is_some() || !self.heartbeats.is_empty();
        let done = !busy || waited >= VOTER_PATIENCE;
        if (done && !proxy_ends) || waited >= STOP_PATIENCE {
            outputs.push(AgentOutput::Stopped);
        }
    }

    fn hear(&mut self, now: Duration, envelope: Envelope, outputs: &mut Vec<AgentOutput>) {
        let lain = self.link.envelope_clock.open(now, &envelope);
        match envelope.message {
            Message::Grant { granted } => {
                let moved = self.link.granted(now, envelope.from, &granted);
                let requests = self.link.fetch_in_pieces(now, envelope.reply_to, &granted);
                self.ask_for_pieces(requests, outputs);
                if moved.iter().any(|map| ISLAND_MAPS.contains(map)) {
                    // Why at once: an operator waits for our word that we hold it.
                    self.link.renew_now(now);
                }
                self.maps_moved(&moved, outputs);
            }
            Message::IslandAsk { ask } => {
                // Why only with a known age: as for all facts.
                if let Some(lain) = lain {
                    for heard in &ask.heartbeats {
                        self.link.instances.hear(now, &heard.clone().aged(lain));
                    }
                }
                let (feed_cache, limit) = (&self.link.feed_cache, &mut self.agents_limit);
                let news = ISLAND_MAPS.iter().filter_map(|name| {
                    let held = ask.versions.get(name.index()).copied();
                    feed_cache
                        .news_after(*name, held.unwrap_or_default())
                        .filter(|news| limit.admits(now, envelope.reply_to, news))
                });
                let tell = IslandTell {
                    number: ask.number,
                    versions: self.link.versions(),
                    news: news.collect(),
                    fit_under: self.islander.fit_under(),
                };
                outputs.push(AgentOutput::Send {
                    to: envelope.reply_to,
                    message: Message::IslandTell { tell },
                });
                self.fetch_from(now, envelope.reply_to, &ask, outputs);
            }
            Message::IslandTell { tell } => {
                let services = self.islander.broken != BrokenIsland::NoPooling;
                let moved: Vec<MapName> = tell
                    .news
                    .iter()
                    .filter(|_| services)
                    .filter_map(|news| self.link.feed_cache.take(news))
                    .collect();
                self.maps_moved(&moved, outputs);
                // Why looked at first: news of another roster makes what was asked under this void.
                let membership = self.link.feed_cache.follower().map(MapName::Membership);
                self.islander.look(now, membership, self.link.fresh_until());
                let follower = self.link.feed_cache.follower();
                self.islander.told(envelope.reply_to, &tell, follower);
            }
            Message::HeartbeatReply { ticket, answer } => {
                let Some(place) = self
                    .heartbeats
                    .iter()
                    .position(|heartbeat| heartbeat.number == ticket)
                else {
                    return;
                };
                let owner_manager = self.link.owner_manager();
                // Why wait on: this controller heard the heartbeat, but only the owner manager renews holds.
                if owner_manager.is_some_and(|owner_manager| owner_manager != envelope.reply_to) {
                    self.heartbeats[place].spread = Some(answer);
                    return;
                }
                let waiting = self.heartbeats.swap_remove(place);
                outputs.push(AgentOutput::AnswerHeartbeat {
                    ticket: waiting.ticket,
                    answer: Some(DatedAnswer {
                        answer,
                        stamp: self.link.envelope_clock.stamp(now),
                        again: false,
                    }),
                });
            }
            Message::Pull { pull } => {
                let view = self.view(now, envelope.reply_to, &pull);
                self.count_usage(&pull);
                self.proxy = Some((now, pull));
                outputs.push(AgentOutput::Send {
                    to: envelope.reply_to,
                    message: Message::View { view },
                });
            }
            Message::ConsensusMessage { vote } => {
                let step = self.link.hear_catch_up(now, envelope.reply_to, &vote);
                self.ask_for_pieces(step.request, outputs);
                if let Some(refused) = step.refused {
                    let from = envelope.reply_to;
                    let event = AgentEvent::PieceRefused { refused, from };
                    outputs.push(AgentOutput::Note { event });
                }
                self.maps_moved(step.moved.as_slice(), outputs);
                let Some(voter) = &mut self.voter else {
                    return;
                };
                if let ConsensusMessage::CatchUp {
                    map,
                    after,
                    position: Some(position),
                } = vote
                {
                    let vote = self.snapshots.answer(now, voter, map, after, position);
                    outputs.push(AgentOutput::Send {
                        to: envelope.reply_to,
                        message: Message::ConsensusMessage { vote },
                    });
                    return;
                }
                let asked = matches!(vote, ConsensusMessage::CatchUp { .. });
                let outcome = voter.hear(vote);
                let membership_moved = outcome.moved.contains(&MapName::Membership);
                let mut replies = outcome.replies;
                // Why not unasked: a controller that is behind asks for pieces by itself.
                replies.retain(|vote| asked || !matches!(vote, ConsensusMessage::Whole { .. }));
                outputs.extend(replies.into_iter().map(|vote| AgentOutput::Send {
                    to: envelope.reply_to,
                    message: Message::ConsensusMessage { vote },
                }));
                if membership_moved {
                    self.look_for_voter();
                }
            }
            Message::RoundAsk { number } => {
                if let Some(voter) = &self.voter {
                    let versions = voter.possible();
                    outputs.push(AgentOutput::Send {
                        to: envelope.reply_to,
                        message: Message::RoundAnswer {
                            number,
                            versions,
                            // Why nothing: a witness has no disk.
                            synced: None,
                        },
                    });
                }
            }
            // Why nothing: all else is for controllers.
            _ => {}
        }
    }

    fn ask_for_pieces(
        &self,
        requests: impl IntoIterator<Item = CatchUpRequest>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        outputs.extend(requests.into_iter().map(|request| AgentOutput::Send {
            to: request.to,
            message: Message::ConsensusMessage {
                vote: request.message(),
            },
        }));
    }

    /// Remembers what the proxy says it carried.
    ///
    /// Why here: a proxy may die at any time, and its counts need not die with it.
    fn count_usage(&mut self, pull: &Pull) {
        for line in &pull.usage {
            let place = (
                pull.life,
                line.hour,
                line.route.clone(),
                line.service.clone(),
            );
            self.usage.insert(place, line.clone());
        }
        let latest = self.usage.keys().map(|place| place.1).max().unwrap_or(0);
        self.usage
            .retain(|place, _| place.1 + USAGE_HOURS >= latest);
    }

    /// What was carried beside this agent, by hour, route and service.
    pub fn usage(&self) -> Vec<UsageLine> {
        let mut sums: BTreeMap<(u64, &RouteName, &ServiceName), UsageLine> = BTreeMap::new();
        for line in self.usage.values() {
            let sum = sums
                .entry((line.hour, &line.route, &line.service))
                .or_insert_with(|| UsageLine {
                    hour: line.hour,
                    route: line.route.clone(),
                    service: line.service.clone(),
                    ..UsageLine::default()
                });
            sum.requests += line.requests;
            sum.served += line.served;
            sum.not_run += line.not_run;
            sum.unknown += line.unknown;
            sum.bytes_in += line.bytes_in;
            sum.bytes_out += line.bytes_out;
        }
        sums.into_values().collect()
    }

    fn maps_moved(&mut self, moved: &[MapName], outputs: &mut Vec<AgentOutput>) {
        if moved.contains(&MapName::Membership) {
            self.look_for_voter();
        }
        for map in moved {
            let map = *map;
            let version = self.link.feed_cache.follower().map(map).version;
            let event = AgentEvent::MapMoved { map, version };
            outputs.push(AgentOutput::Note { event });
        }
    }

    /// Asks an agent for the maps it has beyond ours, when the core cannot bring them.
    fn fetch_from(
        &mut self,
        now: Duration,
        to: SocketAddr,
        ask: &IslandAsk,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let versions = self.link.versions();
        let behind = versions[MapName::Membership.index()] == Version(0)
            && ask.versions.get(MapName::Membership.index()) > Some(&Version(0));
        if behind && self.islander.fetches(now, self.link.fresh_until()) {
            let ask = IslandAsk {
                number: 0,
                versions,
                heartbeats: Vec::new(),
            };
            let message = Message::IslandAsk { ask };
            outputs.push(AgentOutput::Send { to, message });
        }
    }

    /// Asks the other agents what they hold when the core has been silent for a while.
    fn ask_agents(&mut self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        let Some((number, others)) = self.islander.ask(now, membership, lease_until) else {
            return;
        };
        let heartbeats: Vec<HeardHeartbeat> = std::mem::take(&mut self.beaten)
            .iter()
            .filter_map(|id| self.link.instances.heard(now, id))
            .collect();
        for to in others {
            let ask = IslandAsk {
                number,
                versions: self.link.versions(),
                heartbeats: heartbeats.clone(),
            };
            let message = Message::IslandAsk { ask };
            outputs.push(AgentOutput::Send { to, message });
        }
    }

    /// Takes a witness's voter up or lays it down, as the membership says.
    ///
    /// Why from the copies at hand: whoever made us a voter had settled every map before, and
    /// what we lack of them we refuse to vote on until we have it.
    fn look_for_voter(&mut self) {
        let follower = self.link.feed_cache.follower();
        let mut membership = follower.map(MapName::Membership);
        if let Some(voter) = &self.voter {
            let voted = voter.map(MapName::Membership);
            if voted.version > membership.version {
                membership = voted;
            }
        }
        let named = membership
            .voters()
            .is_some_and(|voters| voters.holder(self.node).is_some());
        if !named {
            self.voter = None;
        } else if self.voter.is_none() {
            let copies = ALL_MAPS
                .iter()
                .map(|name| Copy {
                    map: follower.map(*name).clone(),
                    ..Copy::empty()
                })
                .collect();
            self.voter = Some(Voter::restored(copies));
        }
    }

    fn view(&mut self, now: Duration, proxy: SocketAddr, pull: &Pull) -> ProxyView {
        let lives_on = matches!(&self.proxy, Some((_, last)) if last.life == pull.life);
        if !lives_on {
            self.proxy_limit.begin_anew(proxy);
        }
        let (feed_cache, limit) = (&self.link.feed_cache, &mut self.proxy_limit);
        let news = [
            (MapName::Configuration, pull.configuration),
            (MapName::Ownership, pull.ownership),
        ]
        .into_iter()
        .filter_map(|(name, after)| feed_cache.news_after(name, after))
        .filter(|news| limit.admits(now, proxy, news))
        .collect();
        let follower = feed_cache.follower();
        let all = pull.agent != self.node || pull.instances_place < self.link.instances.removed();
        let instances: Vec<Heartbeat> = match all {
            true => self.link.instances.iter().cloned().collect(),
            false => {
                let changed = self.link.instances.after(now, pull.instances_place);
                changed.into_iter().map(|heard| heard.heartbeat).collect()
            }
        };
        let silent = instances
            .iter()
            .map(|heartbeat| &heartbeat.id)
            .filter(|id| self.link.instances.is_silent(id))
            .cloned()
            .collect();
        let heard = self.link.proxies() as usize;
        // Why the whole roster out of the core's reach: who of it still serves cannot be told, and
        // what is shared among the proxies must not be shared among fewer than there are.
        let roster = follower.map(MapName::Membership).roster();
        let alone = now >= self.link.fresh_until();
        let listed = roster
            .filter(|_| alone)
            .map_or(0, |roster| roster.members.len());
        let proxies = heard.max(listed) as u32;
        ProxyView {
            number: pull.number,
            left: self.fresh_until().saturating_sub(now),
            news,
            instances,
            silent,
            agent: self.node,
            instances_place: self.link.instances.learned(),
            all_instances: all,
            proxies: proxies.max(1),
            configuration: follower.map(MapName::Configuration).version,
            ownership: follower.map(MapName::Ownership).version,
            link_slow_for: self.link.slow_for(now),
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        ticket: u64,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        // Why at once: the instance is to find another agent before this one is gone.
        if self.stopping_since.is_some() {
            let answer = None;
            outputs.push(AgentOutput::AnswerHeartbeat { ticket, answer });
            return;
        }
        // Why not taken at its word: a heartbeat may have lain in a socket while we were frozen, and
        // what it says may be long over. With our stamp in hand the instance heartbeats again at once.
        let Some(age) = echo.and_then(|echo| echo.lain(now, self.node)) else {
            outputs.push(AgentOutput::AnswerHeartbeat {
                ticket,
                answer: Some(DatedAnswer {
                    answer: HeartbeatAnswer::default(),
                    stamp: self.link.envelope_clock.stamp(now),
                    again: true,
                }),
            });
            return;
        };
        let heard = HeardHeartbeat { heartbeat, age };
        self.link.instances.hear(now, &heard);
        self.beaten.insert(heard.heartbeat.id.clone());
        self.next_heartbeat += 1;
        self.heartbeats.push(WaitingHeartbeat {
            ticket,
            number: self.next_heartbeat,
            until: now + HEARTBEAT_PATIENCE,
            spread: None,
        });
        let owner_manager = self.link.owner_manager();
        let controller = self.link.controller();
        // Why both: only the owner manager renews holds, but the fact must spread while there is none.
        if let Some(to) = owner_manager {
            outputs.push(AgentOutput::Send {
                to,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    heard: heard.clone(),
                },
            });
        }
        if owner_manager != Some(controller) {
            outputs.push(AgentOutput::Send {
                to: controller,
                message: Message::HeartbeatForward {
                    ticket: self.next_heartbeat,
                    heard,
                },
            });
        }
    }
}
