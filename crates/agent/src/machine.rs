//! The agent's state machine: maintains the link to the control plane, receives heartbeats, and supplies its
//! proxy with maps and instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::heartbeats::PendingHeartbeat;
use crate::proxy_calls::PROXY_MAP_INTERVAL;
use crate::witness::ConfirmationRequest;
use caperworks::catch_up::{CatchUpRequest, SnapshotRateLimiter, SnapshotSender};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::voter::Voter;
use caperworks::deregistrations::Deregistrations;
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, Member, Role};
use caperworks::identifiers::{
    InstanceId, NodeId, RandomSource, RouteName, ServiceName, Version, Zone,
};
use caperworks::link::Responder;
use caperworks::link::{CoreLink, RejectedChunk};
use caperworks::link_figures::LinkFigures;
use caperworks::messages::{Envelope, Granted, Message, Pull, UsageLine};
use caperworks::ownership::TimestampedResponse;
use caperworks::partition_fallback::{BrokenFallback, FallbackQuorum, FALLBACK_MAPS};
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::MapName;

/// A proxy that has not polled for this long is considered down.
const PROXY_TIMEOUT: Duration = Duration::from_millis(1200);
/// The maps that an agent follows. A witness receives the placement when it has to vote on it.
const FOLLOWED_MAPS: [MapName; 3] = [
    MapName::Configuration,
    MapName::Ownership,
    MapName::Membership,
];
/// How long a graceful shutdown waits for the witness voter to be moved to another node.
const VOTER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a graceful shutdown waits for a proxy that is stopping as well.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);

/// The settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    pub control: SocketAddr,
    pub zone: Zone,
    pub seeds: Vec<SocketAddr>,
    /// The form in which the maps are followed; an agent that may become a witness needs them complete.
    pub feed_form: FeedForm,
    /// Whether the proxy serves stale state while the control plane is unreachable.
    pub proxy_serves_stale: bool,
    /// An instance without a heartbeat for this long is suspected.
    pub instance_timeout: Duration,
    /// The maximum lifetime of a lease.
    pub lease_duration: Duration,
    /// The interval at which heartbeats that change nothing are still reported to the proxy.
    pub heartbeat_refresh: Duration,
    /// The interval between reports of demand.
    pub demand_report_interval: Duration,
}

/// The inputs of an agent's state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentInput {
    Tick,
    /// A message was received.
    Received {
        envelope: Envelope,
    },
    /// Bytes arrived of a message that is still incomplete some time after its first byte.
    PartialFrame,
    /// A connection to a peer was opened; `took` is how long that took.
    ConnectionOpened {
        peer: SocketAddr,
        took: Duration,
    },
    /// A connection to a peer was lost, or could not be opened.
    ConnectionLost {
        peer: SocketAddr,
    },
    /// The platform requests a graceful shutdown.
    Stop,
    /// The settings were reloaded, with these seeds.
    Seeds {
        seeds: Vec<SocketAddr>,
    },
    /// An operator requests the usage.
    Usage {
        ticket: u64,
    },
    /// A heartbeat of an instance, with the last stamp that it received from this agent.
    Heartbeat {
        ticket: u64,
        heartbeat: Heartbeat,
        echo: Option<Echo>,
    },
}

/// What the host of the state machine has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentOutput {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// `None` when no controller received the heartbeat: the instance must send it to another agent.
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
    /// The voter has been moved to another node and nothing else needs this agent: the process may end.
    Stopped,
}

/// The events that an agent logs.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    Fresh,
    Stale,
    /// The control plane is unreachable, and the responses of other agents keep this one fresh.
    PartitionFallbackEntered,
    PartitionFallbackLeft,
    MapUpdated {
        map: MapName,
        version: Version,
    },
    InstanceSuspected {
        id: InstanceId,
    },
    /// An instance was removed because it deregistered, as this controller reports.
    InstanceDeregistered {
        id: InstanceId,
        controller: SocketAddr,
    },
    /// There is no lease; the figures show what was requested and received recently.
    ControlLinkSlow {
        figures: LinkFigures,
    },
    /// A chunk of a map was rejected; nothing of it was kept.
    ChunkRejected {
        rejected: RejectedChunk,
        from: SocketAddr,
    },
}

/// The state machine of an agent.
pub struct AgentMachine {
    pub(crate) options: AgentOptions,
    pub(crate) node: NodeId,
    pub(crate) link: CoreLink,
    pub(crate) counter: u64,
    /// When the demand is reported again, and to whom it was last reported.
    pub(crate) next_demand_report_at: Duration,
    pub(crate) last_demand_controller: SocketAddr,
    /// The last poll of the proxy, and when it was received.
    pub(crate) proxy: Option<(Duration, Pull)>,
    /// The usage reported by the proxy's incarnations, by incarnation, hour, route and service.
    pub(crate) usage: BTreeMap<(u64, u64, RouteName, ServiceName), UsageLine>,
    pub(crate) pending_heartbeats: Vec<PendingHeartbeat>,
    pub(crate) next_heartbeat: u64,
    pub(crate) stopping_since: Option<Duration>,
    pub(crate) was_fresh: bool,
    pub(crate) was_in_fallback: bool,
    pub(crate) fallback_quorum: FallbackQuorum,
    /// The instances whose heartbeats were received here since they were last forwarded to other agents.
    pub(crate) unforwarded_heartbeats: BTreeSet<InstanceId>,
    /// The voter of this agent while the membership names it as a witness.
    pub(crate) voter: Option<Voter>,
    /// The deregistrations that this agent has confirmed as a witness.
    pub(crate) confirmed_deregistrations: Deregistrations,
    /// Encoded snapshots of the voter's maps, for controllers that are behind.
    pub(crate) snapshots: SnapshotSender,
    /// How often other agents and the proxy are sent full maps.
    pub(crate) agent_map_limit: SnapshotRateLimiter,
    pub(crate) proxy_map_limit: SnapshotRateLimiter,
}

impl AgentMachine {
    /// Starts an agent; `seed` is for its random choices.
    pub fn start(options: AgentOptions, seed: u64) -> Self {
        let mut random = RandomSource::seeded(seed);
        let node = NodeId(random.next_u64() >> 1);
        let mut link = CoreLink::new(
            node,
            &FOLLOWED_MAPS,
            options.seeds.clone(),
            random.next_u64(),
        )
        .with_form(options.feed_form);
        link.instances.timeout = options.instance_timeout;
        link.lease.duration = options.lease_duration;
        link.instances.refresh_interval = options.heartbeat_refresh;
        let fallback_quorum = FallbackQuorum::new(options.control);
        let first = options.control;
        Self {
            options,
            node,
            link,
            counter: 0,
            next_demand_report_at: Duration::ZERO,
            last_demand_controller: first,
            proxy: None,
            usage: BTreeMap::new(),
            pending_heartbeats: Vec::new(),
            next_heartbeat: 0,
            stopping_since: None,
            was_fresh: false,
            was_in_fallback: false,
            fallback_quorum,
            unforwarded_heartbeats: BTreeSet::new(),
            voter: None,
            confirmed_deregistrations: Deregistrations::default(),
            snapshots: SnapshotSender::default(),
            agent_map_limit: SnapshotRateLimiter::default(),
            proxy_map_limit: SnapshotRateLimiter::with_interval(PROXY_MAP_INTERVAL),
        }
    }

    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the envelope in which a message is sent to another process.
    pub fn seal(&self, now: Duration, to: SocketAddr, message: Message) -> Envelope {
        self.link
            .envelope_clock
            .seal(now, self.options.control, to, message)
    }

    pub fn link(&self) -> &CoreLink {
        &self.link
    }

    /// Fault injection for testing the invariant checkers: accepts grants whose updates have not arrived.
    pub fn ignore_missing_versions(&mut self) {
        self.link.lease.skips_checks = true;
    }

    /// Fault injection for testing the invariant checkers: breaks the fallback quorum.
    pub fn break_fallback(&mut self, fault: BrokenFallback) {
        self.fallback_quorum.fault = fault;
    }

    /// Returns until when the maps of this agent are known to be fresh: by a lease of the control plane, or by
    /// the fallback quorum.
    pub fn fresh_until(&self) -> Duration {
        self.link
            .fresh_until()
            .max(self.fallback_quorum.fresh_until())
    }

    fn member(&mut self, now: Duration) -> Member {
        self.counter += 1;
        let reports_demand = now >= self.next_demand_report_at
            || self.link.controller() != self.last_demand_controller;
        if reports_demand {
            self.next_demand_report_at = now + self.options.demand_report_interval;
            self.last_demand_controller = self.link.controller();
        }
        let proxy = self
            .proxy
            .as_ref()
            .filter(|(polled_at, _)| now.saturating_sub(*polled_at) < PROXY_TIMEOUT)
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
                .filter(|_| reports_demand)
                .map(|pull| pull.demand.clone())
                .unwrap_or_default(),
            demand_unchanged: !reports_demand,
            suspected: false,
            versions: self.link.versions(),
            draining: self.stopping_since.is_some(),
            client_zones: Vec::new(),
        }
    }

    /// Handles an input; returns what has to be carried out.
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
            AgentInput::Received { envelope } => self.handle(now, envelope, &mut outputs),
            AgentInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            } => self.handle_heartbeat(now, ticket, heartbeat, echo, &mut outputs),
        }
        let lease_until = self.link.fresh_until();
        let membership = self.link.feed_cache.follower().map(MapName::Membership);
        self.fallback_quorum
            .update_membership(now, membership, lease_until);
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
        self.forget_confirmed_deregistrations(now);
        if self.link.check_renewal_due(now) {
            let member = self.member(now);
            let (to, message) = self.link.renew(now, member);
            outputs.push(AgentOutput::Send { to, message });
        }
        let requests = self.link.tick_catch_up(now);
        self.request_chunks(requests, outputs);
        self.poll_agents(now, outputs);
        self.link.members.expire(now);
        let suspected = match self.options.proxy_serves_stale {
            true => self.link.update_suspected_instances(now),
            false => self.link.instances.mark_suspected(now),
        };
        for id in suspected {
            let event = AgentEvent::InstanceSuspected { id };
            outputs.push(AgentOutput::LogEvent { event });
        }
        if let Some(figures) = self.link.report(now) {
            let event = AgentEvent::ControlLinkSlow { figures };
            outputs.push(AgentOutput::LogEvent { event });
        }
        self.respond_to_late_heartbeats(now, outputs);
        self.stop_when_done(now, outputs);
    }

    /// Completes a graceful shutdown once the witness voter has moved to another node and no heartbeat waits
    /// for its response. A proxy that is stopping at the same time needs updates until it has stopped, and
    /// is waited for.
    fn stop_when_done(&self, now: Duration, outputs: &mut Vec<AgentOutput>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let waited = now.saturating_sub(since);
        let is_proxy_stopping = self.proxy.as_ref().is_some_and(|(polled_at, pull)| {
            !pull.ready && now.saturating_sub(*polled_at) < PROXY_TIMEOUT
        });
        let is_busy = self.voter.is_some() || !self.pending_heartbeats.is_empty();
        let is_done = !is_busy || waited >= VOTER_HANDOVER_TIMEOUT;
        if (is_done && !is_proxy_stopping) || waited >= SHUTDOWN_TIMEOUT {
            outputs.push(AgentOutput::Stopped);
        }
    }

    fn handle(&mut self, now: Duration, envelope: Envelope, outputs: &mut Vec<AgentOutput>) {
        let max_age = self.link.envelope_clock.open(now, &envelope);
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
            Message::FallbackRequest { request } => {
                self.handle_fallback_request(now, from, &request, max_age, outputs)
            }
            Message::FallbackResponse { response } => {
                self.handle_fallback_response(now, from, &response, max_age, outputs)
            }
            Message::HeartbeatReply { ticket, response } => {
                self.handle_heartbeat_reply(now, from, ticket, response, outputs);
            }
            Message::Pull { pull } => self.handle_pull(now, from, pull, outputs),
            Message::ConsensusMessage { message } => {
                self.handle_chunks(now, from, &message, outputs);
                self.handle_vote(now, from, message, outputs);
            }
            Message::QuorumReadRequest {
                number,
                deregistrations,
            } => self.handle_quorum_read_request(now, from, number, deregistrations, outputs),
            Message::ConfirmFact {
                number,
                heartbeat,
                ended,
            } => {
                let request = ConfirmationRequest {
                    from,
                    number,
                    heartbeat,
                    ended,
                };
                self.handle_confirmation_request(now, request, max_age, outputs);
            }
            // All other messages are for controllers.
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
        self.log_deregistrations(responder.address, granted, outputs);
        let advanced = self.link.handle_grant(now, responder, granted);
        let requests = self.link.fetch_in_chunks(now, responder.address, granted);
        self.request_chunks(requests, outputs);
        if advanced.iter().any(|map| FALLBACK_MAPS.contains(map)) {
            // An operator waits for the confirmation that this agent has the change.
            self.link.renew_now(now);
        }
        self.handle_map_updates(&advanced, outputs);
    }

    /// Logs the instances known here that a controller reports as deregistered.
    fn log_deregistrations(
        &self,
        controller: SocketAddr,
        granted: &Granted,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let deregistered = granted.deregistered.iter();
        let known = deregistered.filter(|id| self.link.instances.get(id).is_some());
        outputs.extend(known.map(|id| AgentOutput::LogEvent {
            event: AgentEvent::InstanceDeregistered {
                id: id.clone(),
                controller,
            },
        }));
    }

    /// Handles the response to a request for chunks of a map.
    fn handle_chunks(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: &ConsensusMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let step = self.link.handle_catch_up(now, from, message);
        self.request_chunks(step.request, outputs);
        if let Some(rejected) = step.rejected {
            let event = AgentEvent::ChunkRejected { rejected, from };
            outputs.push(AgentOutput::LogEvent { event });
        }
        self.handle_map_updates(step.advanced.as_slice(), outputs);
    }

    pub(crate) fn request_chunks(
        &self,
        requests: impl IntoIterator<Item = CatchUpRequest>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        outputs.extend(requests.into_iter().map(|request| AgentOutput::Send {
            to: request.to,
            message: Message::ConsensusMessage {
                message: request.message(),
            },
        }));
    }

    pub(crate) fn handle_map_updates(
        &mut self,
        advanced: &[MapName],
        outputs: &mut Vec<AgentOutput>,
    ) {
        if advanced.contains(&MapName::Membership) {
            self.update_voter();
        }
        for map in advanced {
            let map = *map;
            let version = self.link.feed_cache.follower().map(map).version;
            let event = AgentEvent::MapUpdated { map, version };
            outputs.push(AgentOutput::LogEvent { event });
        }
    }
}
