//! The agent's state machine: holds the link to the core, hears heartbeats, feeds its proxy.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::heartbeats::WaitingHeartbeat;
use crate::proxy_calls::PROXY_MAP_PERIOD;
use caperworks::catch_up::{CatchUpRequest, SnapshotRateLimiter, SnapshotSender};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::voter::Voter;
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, Member, Role};
use caperworks::identifiers::{Chance, InstanceId, NodeId, RouteName, ServiceName, Version, Zone};
use caperworks::link::Responder;
use caperworks::link::{CoreLink, RejectedChunk};
use caperworks::link_figures::LinkFigures;
use caperworks::messages::{Envelope, Granted, Message, Pull, UsageLine};
use caperworks::ownership::TimestampedResponse;
use caperworks::partition_fallback::{BrokenFallback, FallbackQuorum, FALLBACK_MAPS};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::MapName;

/// A proxy that has not asked for this long is down.
const PROXY_TIMEOUT: Duration = Duration::from_millis(1200);
/// The maps that an agent follows. A witness gets the placement when it is to vote on it.
const FOLLOWED: [MapName; 3] = [
    MapName::Configuration,
    MapName::Ownership,
    MapName::Membership,
];
/// How long a polite stop waits for the witness voter to be given to another.
const VOTER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long it waits for a proxy that stops as well.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
pub struct AgentOptions {
    pub control: SocketAddr,
    pub zone: Zone,
    pub seeds: Vec<SocketAddr>,
    /// In which form the maps are followed; an agent that may become a witness needs them complete.
    pub feed_form: FeedForm,
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
    /// Bytes of a message came that began to come a while ago and is not complete yet.
    PartialFrame,
    /// A connection to a peer was opened, which took so long.
    ConnectionOpened {
        peer: SocketAddr,
        took: Duration,
    },
    /// A connection to a peer was lost, or could not be opened.
    ConnectionLost {
        peer: SocketAddr,
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
    RespondToHeartbeat {
        ticket: u64,
        response: Option<TimestampedResponse>,
    },
    LogEvent {
        event: AgentEvent,
    },
    RespondToUsage {
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
    PartitionFallbackEntered,
    PartitionFallbackLeft,
    MapUpdated {
        map: MapName,
        version: Version,
    },
    InstanceGone {
        id: InstanceId,
    },
    /// There is no lease: what was asked and heard of late.
    ControlLinkSlow {
        figures: LinkFigures,
    },
    /// A piece of a map was refused; nothing of it is kept.
    ChunkRejected {
        refused: RejectedChunk,
        from: SocketAddr,
    },
}

pub struct AgentMachine {
    pub(crate) options: AgentOptions,
    pub(crate) node: NodeId,
    pub(crate) link: CoreLink,
    pub(crate) counter: u64,
    /// When the demand is told again, and whom it was told last.
    pub(crate) demand_at: Duration,
    pub(crate) demand_to: SocketAddr,
    pub(crate) proxy: Option<(Duration, Pull)>,
    /// What the proxies' lives beside us carried, by life, hour and route.
    pub(crate) usage: BTreeMap<(u64, u64, RouteName, ServiceName), UsageLine>,
    pub(crate) heartbeats: Vec<WaitingHeartbeat>,
    pub(crate) next_heartbeat: u64,
    pub(crate) stopping_since: Option<Duration>,
    pub(crate) was_fresh: bool,
    pub(crate) was_in_fallback: bool,
    pub(crate) fallback_quorum: FallbackQuorum,
    /// The instances that heartbeat here since we last told the other agents.
    pub(crate) beaten: BTreeSet<InstanceId>,
    /// Our voting part while the membership names us as a witness.
    pub(crate) voter: Option<Voter>,
    /// Maps of our voting part, encoded for controllers that are behind.
    pub(crate) snapshots: SnapshotSender,
    /// How often other agents and the proxy are sent whole maps.
    pub(crate) agents_limit: SnapshotRateLimiter,
    pub(crate) proxy_limit: SnapshotRateLimiter,
}

impl AgentMachine {
    pub fn start(options: AgentOptions, seed: u64) -> Self {
        let mut chance = Chance::seeded(seed);
        let node = NodeId(chance.draw() >> 1);
        let mut link = CoreLink::new(node, &FOLLOWED, options.seeds.clone(), chance.draw())
            .in_form(options.feed_form);
        link.instances.span = options.instance_span;
        link.lease.span = options.lease_span;
        link.instances.refresh = options.heartbeat_refresh;
        let fallback_quorum = FallbackQuorum::new(options.control);
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
            was_in_fallback: false,
            fallback_quorum,
            beaten: BTreeSet::new(),
            voter: None,
            snapshots: SnapshotSender::default(),
            agents_limit: SnapshotRateLimiter::default(),
            proxy_limit: SnapshotRateLimiter::with_interval(PROXY_MAP_PERIOD),
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
    pub fn break_fallback(&mut self, broken: BrokenFallback) {
        self.fallback_quorum.broken = broken;
    }

    /// Until when this agent may vouch for what it holds: by the core, or by the other agents.
    pub fn fresh_until(&self) -> Duration {
        self.link.fresh_until().max(self.fallback_quorum.until())
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
            .filter(|(asked, _)| now.saturating_sub(*asked) < PROXY_TIMEOUT)
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
            draining: self.stopping_since.is_some(),
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
                outputs.push(AgentOutput::RespondToUsage { ticket, lines });
            }
            AgentInput::Tick => self.tick(now, &mut outputs),
            AgentInput::PartialFrame => self.link.partial_frame_received(now),
            AgentInput::ConnectionOpened { peer, took } => {
                self.link.connection_opened(now, peer, took);
            }
            AgentInput::ConnectionLost { peer } => self.link.controller_lost(peer),
            AgentInput::Heard { envelope } => self.handle(now, envelope, &mut outputs),
            AgentInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            } => self.heartbeat(now, ticket, heartbeat, echo, &mut outputs),
        }
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        self.fallback_quorum.look(now, membership, lease_until);
        let fresh = now < self.fresh_until();
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            let event = if fresh {
                AgentEvent::Fresh
            } else {
                AgentEvent::Stale
            };
            outputs.push(AgentOutput::LogEvent { event });
        }
        let in_fallback = fresh && now >= lease_until;
        if in_fallback != self.was_in_fallback {
            self.was_in_fallback = in_fallback;
            let event = if in_fallback {
                AgentEvent::PartitionFallbackEntered
            } else {
                AgentEvent::PartitionFallbackLeft
            };
            outputs.push(AgentOutput::LogEvent { event });
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
        self.request_chunks(requests, outputs);
        self.ask_agents(now, outputs);
        self.link.members.expire(now);
        let gone = match self.options.proxy_serves_on {
            true => self.link.count_silent_instances(now),
            false => self.link.instances.count_silent(now),
        };
        for id in gone {
            let event = AgentEvent::InstanceGone { id };
            outputs.push(AgentOutput::LogEvent { event });
        }
        if let Some(figures) = self.link.report(now) {
            let event = AgentEvent::ControlLinkSlow { figures };
            outputs.push(AgentOutput::LogEvent { event });
        }
        self.respond_to_late_heartbeats(now, outputs);
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
            .is_some_and(|(asked, pull)| !pull.ready && now.saturating_sub(*asked) < PROXY_TIMEOUT);
        let busy = self.voter.is_some() || !self.heartbeats.is_empty();
        let done = !busy || waited >= VOTER_TIMEOUT;
        if (done && !proxy_ends) || waited >= STOP_TIMEOUT {
            outputs.push(AgentOutput::Stopped);
        }
    }

    fn handle(&mut self, now: Duration, envelope: Envelope, outputs: &mut Vec<AgentOutput>) {
        let lain = self.link.envelope_clock.open(now, &envelope);
        let from = envelope.reply_to;
        let incarnation = envelope.sender_incarnation();
        match envelope.message {
            Message::Grant { granted } => {
                let responder = Responder {
                    address: from,
                    incarnation,
                };
                self.handle_grant(now, responder, &granted, outputs);
            }
            Message::FallbackRequest { ask } => {
                self.handle_fallback_request(now, from, &ask, lain, outputs)
            }
            Message::FallbackResponse { tell } => {
                self.handle_fallback_response(now, from, &tell, lain, outputs)
            }
            Message::HeartbeatReply { ticket, response } => {
                self.handle_heartbeat_reply(now, from, ticket, response, outputs);
            }
            Message::Pull { pull } => self.handle_pull(now, from, pull, outputs),
            Message::ConsensusMessage { vote } => {
                self.handle_chunks(now, from, &vote, outputs);
                self.handle_vote(now, from, vote, outputs);
            }
            Message::QuorumReadRequest { number } => {
                self.handle_quorum_read_request(from, number, outputs)
            }
            // Why nothing: all else is for controllers.
            _ => {}
        }
    }

    fn handle_grant(
        &mut self,
        now: Duration,
        responder: Responder,
        granted: &Granted,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let moved = self.link.granted(now, responder, granted);
        let requests = self.link.fetch_in_chunks(now, responder.address, granted);
        self.request_chunks(requests, outputs);
        if moved.iter().any(|map| FALLBACK_MAPS.contains(map)) {
            // Why at once: an operator waits for our word that we hold it.
            self.link.renew_now(now);
        }
        self.maps_moved(&moved, outputs);
    }

    /// Takes the answer to a question for pieces of a map.
    fn handle_chunks(
        &mut self,
        now: Duration,
        from: SocketAddr,
        vote: &ConsensusMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let step = self.link.handle_catch_up(now, from, vote);
        self.request_chunks(step.request, outputs);
        if let Some(refused) = step.refused {
            let event = AgentEvent::ChunkRejected { refused, from };
            outputs.push(AgentOutput::LogEvent { event });
        }
        self.maps_moved(step.moved.as_slice(), outputs);
    }

    pub(crate) fn request_chunks(
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

    pub(crate) fn maps_moved(&mut self, moved: &[MapName], outputs: &mut Vec<AgentOutput>) {
        if moved.contains(&MapName::Membership) {
            self.look_for_voter();
        }
        for map in moved {
            let map = *map;
            let version = self.link.feed_cache.follower().map(map).version;
            let event = AgentEvent::MapUpdated { map, version };
            outputs.push(AgentOutput::LogEvent { event });
        }
    }
}
