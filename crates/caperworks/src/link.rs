//! A member's link to the control plane: finds a controller from the seeds, renews the lease and follows the
//! feed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::{
    CatchUpReceiver, CatchUpRequest, ChunkError, ChunkOutcome, SnapshotChunk,
    MAX_FOLLOWER_SNAPSHOT_BYTES,
};
use crate::consensus::messages::ConsensusMessage;
use crate::envelope_clock::EnvelopeClock;
use crate::facts::Member;
use crate::feed::FeedCache;
use crate::identifiers::{InstanceId, NodeId, Version};
use crate::instances::Instances;
use crate::leadership::OWNERSHIP;
use crate::leases::LeaseHolder;
use crate::link_figures::{LinkFigures, LinkReporter};
use crate::members::Members;
use crate::messages::ResponseExtent;
use crate::messages::{Granted, Message, ProxyPosition, Renewal};
use crate::poll_pacer::PollPacer;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;
use crate::rtt_estimator::CORE_TIMEOUT;

/// The interval between lease renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// How soon a follower renews again when it is missing a version that the grant named.
const MISSING_VERSION_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// For how long a reported number of proxies is taken into account.
const PROXY_COUNT_WINDOW: Duration = Duration::from_secs(10);
/// How long the instances' reports count as current after a controller with a quorum had sent all that it knew:
/// a few renewals.
const REPORT_VALIDITY: Duration = Duration::from_millis(1200);
/// Switch to another controller when the current one has sent no useful response for this long, or for the
/// measured timeout of the link if that is longer.
const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(800);
/// How soon after a request the next controller is polled if the current one cannot be reached.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A response that took at least this long came over a slow link.
///
/// Regions are about 0.1 s apart, and a link that is not saturated adds little to that.
pub const SLOW_RESPONSE_THRESHOLD: Duration = Duration::from_millis(400);
/// For how long after the last slow response missing responses are taken for a slow link and not for a
/// partition.
///
/// It is twice the lease lifetime: over a saturated link responses first become slow, and then none arrives
/// for some time.
pub const SLOW_LINK_WINDOW: Duration = Duration::from_millis(6000);

/// The outcome of a response to a request for chunks.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CatchUpStep {
    /// The map that advanced.
    pub advanced: Option<MapName>,
    /// The next request to send.
    pub request: Option<CatchUpRequest>,
    /// The chunk, if it was rejected.
    pub rejected: Option<RejectedChunk>,
}

/// A chunk that was rejected; nothing of it was kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedChunk {
    pub map: MapName,
    pub error: ChunkError,
}

/// The controller that sent a response, and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Responder {
    pub address: SocketAddr,
    pub incarnation: NodeId,
}

/// Whether one controller is followed, or several are polled at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Following,
    /// The controller did not respond in time. The others are polled one after the other while the earlier
    /// requests are still in flight, and the first one to send a useful response is followed.
    Searching,
}

/// Up to which offset the follower has received instances and members, in the numbering of one controller
/// incarnation.
#[derive(Debug, Clone, Copy)]
struct FactOffsets {
    incarnation: NodeId,
    instances: u64,
    members: u64,
}

/// What a controller reported of the proxies.
#[derive(Debug, Clone, Copy)]
struct ReportedProxies {
    received_at: Duration,
    count: u32,
    position: Option<ProxyPosition>,
}

/// A member's link to the control plane.
#[derive(Debug, Clone)]
pub struct CoreLink {
    /// The maps that this node follows.
    followed_maps: Vec<MapName>,
    form: FeedForm,
    pub seeds: Vec<SocketAddr>,
    /// Since when controllers with a quorum have responded without a gap.
    quorum_since: Option<Duration>,
    controller: SocketAddr,
    state: LinkState,
    /// Whether [`check_renewal_due`](Self::check_renewal_due) has been called.
    has_started: bool,
    /// When the controller was last polled, and whether it has been unreachable since.
    polled_at: Duration,
    is_unreachable: bool,
    last_useful_response_at: Duration,
    /// When the last response of a controller with a quorum, or a part of it, was received, if it was slow.
    slow_response_at: Option<Duration>,
    renew_at: Duration,
    pacer: PollPacer,
    fact_offsets: FactOffsets,
    /// The time as of which a controller with a quorum had sent all facts that it knew.
    facts_complete_at: Option<Duration>,
    pub envelope_clock: EnvelopeClock,
    pub feed_cache: FeedCache,
    pub lease: LeaseHolder,
    pub instances: Instances,
    pub members: Members,
    /// Maps that are fetched in chunks because they are too large for a grant.
    catch_up: CatchUpReceiver,
    /// The numbers of proxies that were reported within `PROXY_COUNT_WINDOW`.
    proxy_counts: VecDeque<ReportedProxies>,
    reporter: LinkReporter,
}

impl CoreLink {
    /// Creates a link that begins with a random one of the seeds.
    pub fn new(
        node: NodeId,
        followed_maps: &[MapName],
        seeds: Vec<SocketAddr>,
        random: u64,
    ) -> Self {
        // A random seed, so that the members of a fleet do not all use the first one.
        let first = seeds[(random % seeds.len().max(1) as u64) as usize];
        Self {
            followed_maps: followed_maps.to_vec(),
            form: FeedForm::Complete,
            seeds,
            quorum_since: None,
            controller: first,
            state: LinkState::Following,
            has_started: false,
            polled_at: Duration::ZERO,
            is_unreachable: false,
            last_useful_response_at: Duration::ZERO,
            slow_response_at: None,
            renew_at: Duration::ZERO,
            pacer: PollPacer::new(CORE_TIMEOUT),
            fact_offsets: FactOffsets {
                incarnation: NodeId(0),
                instances: 0,
                members: 0,
            },
            facts_complete_at: None,
            envelope_clock: EnvelopeClock::new(node),
            feed_cache: FeedCache::default(),
            lease: LeaseHolder::default(),
            instances: Instances::default(),
            members: Members::default(),
            catch_up: CatchUpReceiver::new(random, MAX_FOLLOWER_SNAPSHOT_BYTES),
            proxy_counts: VecDeque::new(),
            reporter: LinkReporter::default(),
        }
    }

    /// Returns the link with the form in which it follows maps: reduced for a node that only reads them,
    /// complete for one that may become a voter.
    pub fn with_form(mut self, form: FeedForm) -> Self {
        self.form = form;
        self.catch_up = self.catch_up.with_form(form);
        self
    }

    /// Returns the controller that is polled next.
    pub fn controller(&self) -> SocketAddr {
        self.controller
    }

    /// Returns until when the lease keeps the followed maps fresh.
    pub fn fresh_until(&self) -> Duration {
        let follower = self.feed_cache.follower();
        self.lease.fresh_until(follower, &self.followed_maps)
    }

    /// Returns for how much longer missing responses are taken for a slow link and not for a partition.
    pub fn slow_link_remaining(&self, now: Duration) -> Duration {
        self.slow_response_at.map_or(Duration::ZERO, |slow_at| {
            (slow_at + SLOW_LINK_WINDOW).saturating_sub(now)
        })
    }

    /// Returns the figures of the link to be logged, if they are due: only while there is no lease.
    pub fn report(&mut self, now: Duration) -> Option<LinkFigures> {
        let has_lease = now < self.fresh_until();
        self.reporter.report(now, has_lease)
    }

    /// Records that bytes arrived of a message that is still incomplete some time after its first byte.
    ///
    /// Until it is complete nothing else distinguishes a slow link from a partition, and responses of another
    /// controller would come over the same link.
    pub fn partial_frame_received(&mut self, now: Duration) {
        self.slow_response_at = Some(now);
        self.last_useful_response_at = now;
        self.pacer.partial_response_received(now);
        // Until the rest is here, missing heartbeats of instances are no evidence.
        self.quorum_since = None;
    }

    /// Records that a connection to a controller was opened, and how long that took.
    ///
    /// Over a saturated link nothing else may arrive for some time, and a connection that opens slowly
    /// distinguishes it from a partition. One that opens fast is no evidence: the controller may itself be
    /// partitioned from the others.
    pub fn connection_opened(&mut self, now: Duration, peer: SocketAddr, took: Duration) {
        if !self.candidates().contains(&peer) {
            return;
        }
        self.reporter.figures.record_opened_connection(took);
        if took >= SLOW_RESPONSE_THRESHOLD {
            self.slow_response_at = Some(now);
        }
    }

    /// Records that a controller could not be reached or closed the connection: the next one is polled soon.
    pub fn controller_lost(&mut self, peer: SocketAddr) {
        self.reporter.figures.lost_connections += 1;
        self.is_unreachable |= peer == self.controller && self.pacer.is_awaiting();
    }

    /// Returns the versions of all maps that are present here.
    pub fn versions(&self) -> Vec<Version> {
        self.feed_cache.follower().versions()
    }

    /// Returns every controller that may respond: those of the membership, and the seeds.
    fn candidates(&self) -> Vec<SocketAddr> {
        let membership = self.feed_cache.follower().map(MapName::Membership);
        let mut candidates = membership.voter_addresses(true);
        for seed in &self.seeds {
            if !candidates.contains(seed) {
                candidates.push(*seed);
            }
        }
        candidates
    }

    /// Polls the next controller at once.
    fn switch_controller(&mut self, now: Duration) {
        let candidates = self.candidates();
        let index = candidates
            .iter()
            .position(|known| *known == self.controller);
        let next = index.map_or(0, |index| (index + 1) % candidates.len());
        self.controller = candidates[next];
        self.reporter.figures.controller_switches += 1;
        self.state = LinkState::Searching;
        self.is_unreachable = false;
        self.last_useful_response_at = now;
        self.renew_at = now;
        self.pacer.reset();
        // The timeout starts again for the next controller, which would hide that there was a gap.
        self.quorum_since = None;
    }

    /// Marks the instances whose heartbeats are missing as suspected, and returns those that just became so.
    ///
    /// None is marked while no controller could have reported them: while the control plane is unreachable,
    /// missing heartbeats are no evidence.
    pub fn update_suspected_instances(&mut self, now: Duration) -> Vec<InstanceId> {
        let timeout = self.instances.timeout;
        if now.saturating_sub(self.last_useful_response_at) >= CONTROLLER_TIMEOUT {
            self.quorum_since = None;
        }
        let is_evidence_complete = self
            .quorum_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout);
        if is_evidence_complete {
            self.instances.mark_suspected(now)
        } else {
            Vec::new()
        }
    }

    /// Returns whether a renewal is due. Switches to another controller if the current one does not respond in
    /// time, cannot be reached or does not bring the follower up to date.
    pub fn check_renewal_due(&mut self, now: Duration) -> bool {
        if !self.has_started {
            self.has_started = true;
            // Nothing is known of the link yet. It counts as slow until the first response, so that a proxy
            // that kept running while its agent restarted does not take the wait for a partition.
            self.slow_response_at = Some(now);
        }
        let without_progress_for = now.saturating_sub(self.last_useful_response_at);
        let has_no_progress = without_progress_for >= CONTROLLER_TIMEOUT.max(self.pacer.timeout());
        let is_unreachable =
            self.is_unreachable && now.saturating_sub(self.polled_at) >= UNREACHABLE_RETRY_DELAY;
        if has_no_progress || is_unreachable || self.pacer.is_overdue(now) {
            self.switch_controller(now);
        }
        now >= self.renew_at && self.pacer.may_poll(now)
    }

    /// Returns the next renewal and the controller to send it to.
    pub fn renew(&mut self, now: Duration, member: Member) -> (SocketAddr, Message) {
        self.renew_at = now + RENEW_INTERVAL;
        self.polled_at = now;
        self.is_unreachable = false;
        self.reporter.figures.polls += 1;
        let number = self.lease.renew(now);
        self.pacer.record_request(now, number);
        let facts_age = |complete_at| now.saturating_sub(complete_at);
        let renewal = Renewal {
            number,
            member,
            controller_incarnation: self.fact_offsets.incarnation,
            instances_after: self.fact_offsets.instances,
            members_after: self.fact_offsets.members,
            followed_maps: self.followed_maps.clone(),
            form: self.form,
            facts_age: self.facts_complete_at.map(facts_age),
            extent: match self.state {
                LinkState::Following => ResponseExtent::Full,
                LinkState::Searching => ResponseExtent::Brief,
            },
        };
        (self.controller, Message::Renew { renewal })
    }

    /// Makes the next renewal due at once, so that the control plane soon receives the new state.
    pub fn renew_now(&mut self, now: Duration) {
        self.renew_at = now;
    }

    /// Returns the number of proxies among which shared limits are divided: the highest one reported within
    /// `PROXY_COUNT_WINDOW`.
    ///
    /// A limit may be divided among more proxies at once, but among fewer only later: a controller that has
    /// just started has not received heartbeats of all of them yet.
    pub fn proxy_count(&self) -> u32 {
        let counts = self.proxy_counts.iter().map(|reported| reported.count);
        counts.max().unwrap_or(0).max(1)
    }

    /// Returns the position of this node's proxy among all proxies: the latest one among the most proxies that
    /// were reported within `PROXY_COUNT_WINDOW`.
    pub fn proxy_position(&self) -> Option<ProxyPosition> {
        let positions = self.proxy_counts.iter();
        positions
            .filter_map(|reported| reported.position)
            .max_by_key(|position| position.proxies)
    }

    /// Returns for how much longer the instances' reports count as current.
    ///
    /// A lease is no evidence of that: it is longer, and is granted with the first part of what is missing.
    pub fn reports_left(&self, now: Duration) -> Duration {
        self.facts_complete_at
            .map_or(Duration::ZERO, |complete_at| {
                (complete_at + REPORT_VALIDITY).saturating_sub(now)
            })
    }

    /// Applies a controller's response; returns the maps that advanced.
    pub fn handle_grant(
        &mut self,
        now: Duration,
        responder: Responder,
        granted: &Granted,
    ) -> Vec<MapName> {
        let sent_at = self.lease.sent_at(granted.number);
        let took = sent_at.map(|sent_at| now.saturating_sub(sent_at));
        let follower = self.feed_cache.follower();
        self.reporter.figures.count(granted, took, follower);
        self.pacer.record_response(granted.number, took);
        let advanced: Vec<MapName> = granted
            .updates
            .iter()
            .filter_map(|updates| self.feed_cache.apply_updates(updates))
            .collect();
        if granted.has_quorum {
            self.apply_lease(now, responder, granted, !advanced.is_empty());
        }
        if let Some(sent_at) = sent_at {
            self.apply_facts(now, sent_at, responder, granted);
        }
        if granted.more && responder.address == self.controller {
            self.renew_at = now;
        }
        advanced
    }

    /// Applies the instances and members that a response reports.
    ///
    /// Ages are counted from our request: a response that waited in a socket while this process was frozen, or
    /// was delayed on its way, must not make a node look alive. It cannot be older than its request.
    fn apply_facts(
        &mut self,
        now: Duration,
        sent_at: Duration,
        responder: Responder,
        granted: &Granted,
    ) {
        let took = now.saturating_sub(sent_at);
        self.proxy_counts.push_back(ReportedProxies {
            received_at: now,
            count: granted.proxies,
            position: granted.position,
        });
        while self.proxy_counts.len() > 1
            && now.saturating_sub(self.proxy_counts[0].received_at) >= PROXY_COUNT_WINDOW
        {
            self.proxy_counts.pop_front();
        }
        for fact in &granted.instances {
            self.instances.handle(now, &fact.clone().aged(took));
        }
        for id in &granted.deregistered {
            self.instances.record_deregistration(now, id);
        }
        for fact in &granted.members {
            self.members.handle(now, &fact.clone().aged(took));
        }
        // Each controller numbers its facts by itself, and a late response of another one must not move our
        // offsets at the one that is followed.
        if responder.address != self.controller {
            return;
        }
        self.fact_offsets = FactOffsets {
            incarnation: responder.incarnation,
            instances: granted.instances_offset,
            members: granted.members_offset,
        };
        if granted.has_quorum && !granted.more && granted.collecting_left.is_none() {
            self.facts_complete_at = Some(sent_at);
        }
    }

    /// Applies the lease of a controller that has a quorum, and follows the controller if its response was
    /// useful.
    fn apply_lease(
        &mut self,
        now: Duration,
        responder: Responder,
        granted: &Granted,
        brings_changes: bool,
    ) {
        let sent_at = self.lease.sent_at(granted.number);
        // A response to a request that is no longer remembered took longer than any that is.
        let is_slow = sent_at.is_none_or(|sent_at| now >= sent_at + SLOW_RESPONSE_THRESHOLD);
        self.lease.apply_grant(
            granted.number,
            granted.quorum_read_age,
            granted.versions.clone(),
        );
        let follower = self.feed_cache.follower();
        let is_up_to_date = self.lease.skips_checks
            || follower.has_versions(&granted.versions, &self.followed_maps);
        // A follower that knows that it is behind can reach the control plane, however fast the response was.
        self.slow_response_at = (is_slow || !is_up_to_date).then_some(now);
        // A controller that grants a lease but cannot send the changes that its grant names is of no use: it
        // is abandoned like one that does not respond, whatever other maps it advances.
        let is_useful = is_up_to_date || (granted.more && brings_changes);
        if is_useful {
            self.follow(now, responder.address);
        }
        if is_up_to_date {
            self.quorum_since.get_or_insert(now);
        } else {
            self.renew_at = self.renew_at.min(now + MISSING_VERSION_RETRY_INTERVAL);
        }
    }

    /// Records a useful response: while several controllers are polled, the first to send one is followed.
    fn follow(&mut self, now: Duration, controller: SocketAddr) {
        self.last_useful_response_at = now;
        if self.state == LinkState::Searching {
            self.state = LinkState::Following;
            self.is_unreachable = false;
            if controller != self.controller {
                self.controller = controller;
                // Responses of the others to requests in flight come too late to matter.
                self.pacer.stop_waiting();
            }
        }
    }

    /// Starts to fetch the maps that a controller reports as too large for its grant.
    pub fn fetch_in_chunks(
        &mut self,
        now: Duration,
        from: SocketAddr,
        granted: &Granted,
    ) -> Vec<CatchUpRequest> {
        let wanted = granted.in_chunks.iter();
        let wanted: Vec<MapName> = wanted
            .filter(|map| self.followed_maps.contains(map))
            .copied()
            .collect();
        let requests: Vec<CatchUpRequest> = wanted
            .into_iter()
            .filter_map(|map| {
                let local_version = self.local_version(map);
                let reported = granted.versions.get(map.index()).copied();
                let goal = reported.unwrap_or_default().max(local_version.next());
                self.catch_up
                    .handle_announcement(now, map, local_version, from, goal)
            })
            .collect();
        if !requests.is_empty() {
            // The first chunk takes another round trip; until it arrives this controller counts as useful.
            self.follow(now, from);
        }
        requests
    }

    /// Requests from other controllers the chunks that did not arrive in time.
    pub fn tick_catch_up(&mut self, now: Duration) -> Vec<CatchUpRequest> {
        let follower = self.feed_cache.follower();
        self.catch_up.tick(now, |map| follower.map(map).version)
    }

    /// Handles a response to a request for chunks; any other message changes nothing.
    pub fn handle_catch_up(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: &ConsensusMessage,
    ) -> CatchUpStep {
        match message {
            ConsensusMessage::Chunk { chunk } => self.handle_chunk(now, from, chunk.clone()),
            ConsensusMessage::Updates { map, .. }
            | ConsensusMessage::ReducedUpdates { map, .. }
                if self.catch_up.is_receiving(*map) =>
            {
                let advanced = self.feed_cache.apply_updates(message);
                let local_version = self.local_version(*map);
                let request =
                    self.catch_up
                        .handle_changes(now, *map, local_version, advanced.is_some());
                self.handle_progress(now, from, advanced, request)
            }
            _ => CatchUpStep::default(),
        }
    }

    fn handle_chunk(
        &mut self,
        now: Duration,
        from: SocketAddr,
        chunk: SnapshotChunk,
    ) -> CatchUpStep {
        let map = chunk.map;
        let local_version = self.local_version(map);
        match self.catch_up.handle_chunk(now, from, local_version, chunk) {
            ChunkOutcome::Next(request) => self.handle_progress(now, from, None, Some(request)),
            ChunkOutcome::Snapshot(full_map) => {
                let updates = ConsensusMessage::Snapshot { map, full_map };
                let advanced = self.feed_cache.apply_updates(&updates);
                let local_version = self.local_version(map);
                let request =
                    self.catch_up
                        .handle_changes(now, map, local_version, advanced.is_some());
                self.handle_progress(now, from, advanced, request)
            }
            ChunkOutcome::Rejected(error) => CatchUpStep {
                rejected: Some(RejectedChunk { map, error }),
                ..CatchUpStep::default()
            },
        }
    }

    /// Records that a part of a map was received.
    fn handle_progress(
        &mut self,
        now: Duration,
        from: SocketAddr,
        advanced: Option<MapName>,
        request: Option<CatchUpRequest>,
    ) -> CatchUpStep {
        // A controller that sends chunks is useful, though the versions that its grant names are not here yet.
        self.follow(now, from);
        if advanced.is_some() {
            // The lease of the grant that named the version may have expired by now.
            self.renew_at = now;
        }
        CatchUpStep {
            advanced,
            request,
            rejected: None,
        }
    }

    fn local_version(&self, map: MapName) -> Version {
        self.feed_cache.follower().map(map).version
    }

    /// Returns the address to which heartbeats for the owner manager are sent, if the membership names one.
    pub fn owner_manager(&self) -> Option<SocketAddr> {
        let membership = self.feed_cache.follower().map(MapName::Membership);
        let leader = membership.leadership(OWNERSHIP)?.leader;
        Some(membership.voters()?.entry(leader)?.address)
    }
}
