//! A member's link to the core: finds it from the seeds, renews the lease, follows the feed.

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
use crate::messages::{Granted, Message, Renewal};
use crate::poll_pacer::PollPacer;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;
use crate::rtt_estimator::CORE_TIMEOUT;

pub const RENEW_PERIOD: Duration = Duration::from_millis(300);
/// How soon a follower asks again that lacks what a grant named.
const LACKING_PERIOD: Duration = Duration::from_millis(50);
/// For how long a number of proxies that was told counts.
const PROXIES_SPAN: Duration = Duration::from_secs(10);
/// A controller that has not answered for this long is left for another, or later over a link on which
/// answers are known to take longer.
const TIMEOUT: Duration = Duration::from_millis(800);
/// How soon after a request another controller is asked, if the one that was asked cannot be reached.
const UNREACHABLE_PERIOD: Duration = Duration::from_millis(100);
/// An answer that took longer came over a slow link.
///
/// Why so long: regions lie some 0.1 s apart, and a link that is not full adds little to that.
pub const SLOW_RESPONSE: Duration = Duration::from_millis(400);
/// How long after the last slow answer the core's silence counts as a slow link and not as a cut.
///
/// Why twice a lease: behind a full link answers become slow before none comes at all for a while.
pub const SLOW_LINK_SPAN: Duration = Duration::from_millis(6000);

/// What followed from an answer to a question for pieces.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CatchUpStep {
    /// The map that moved on.
    pub moved: Option<MapName>,
    /// The next question.
    pub request: Option<CatchUpRequest>,
    pub refused: Option<RejectedChunk>,
}

/// A piece of which nothing was kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedChunk {
    pub map: MapName,
    pub why: ChunkError,
}

/// The controller that answered, and in which of its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Responder {
    pub address: SocketAddr,
    pub incarnation: NodeId,
}

/// Whether one controller is followed, or several are asked at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Following,
    /// The controller did not answer in time. Others are asked one after the other while the earlier requests
    /// are still in flight, and the first of them that proves of use is followed.
    Searching,
}

/// Up to where the follower was told of instances and members, in one controller incarnation's numbering.
#[derive(Debug, Clone, Copy)]
struct FactOffsets {
    incarnation: NodeId,
    instances: u64,
    members: u64,
}

#[derive(Debug, Clone)]
pub struct CoreLink {
    /// The maps that this node follows; the others it need not hold.
    wants: Vec<MapName>,
    form: FeedForm,
    pub seeds: Vec<SocketAddr>,
    /// Since when controllers have answered with a majority behind them, without a gap.
    assured_since: Option<Duration>,
    controller: SocketAddr,
    state: LinkState,
    /// Whether this link has been asked for its first renewal.
    has_begun: bool,
    /// When the controller was last asked, and whether it could not be reached since.
    asked_at: Duration,
    is_unreachable: bool,
    answered_at: Duration,
    /// When the last answer of a controller with a majority came, or a part of one, if it was slow.
    slow_response_at: Option<Duration>,
    renew_at: Duration,
    pace: PollPacer,
    fact_offsets: FactOffsets,
    /// A controller with a majority behind it had told all facts that it knew at this time.
    facts_complete_at: Option<Duration>,
    pub envelope_clock: EnvelopeClock,
    pub feed_cache: FeedCache,
    pub lease: LeaseHolder,
    pub instances: Instances,
    pub members: Members,
    /// Maps that are fetched in pieces, since they are too large for a grant.
    catch_up: CatchUpReceiver,
    /// How many proxies there were, as told of late.
    proxies: VecDeque<(Duration, u32)>,
    reporter: LinkReporter,
}

impl CoreLink {
    pub fn new(node: NodeId, wants: &[MapName], seeds: Vec<SocketAddr>, draw: u64) -> Self {
        // Why by chance: the members of a whole fleet must not all lean on the first seed.
        let first = seeds[(draw % seeds.len().max(1) as u64) as usize];
        Self {
            wants: wants.to_vec(),
            form: FeedForm::Complete,
            seeds,
            assured_since: None,
            controller: first,
            state: LinkState::Following,
            has_begun: false,
            asked_at: Duration::ZERO,
            is_unreachable: false,
            answered_at: Duration::ZERO,
            slow_response_at: None,
            renew_at: Duration::ZERO,
            pace: PollPacer::new(CORE_TIMEOUT),
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
            catch_up: CatchUpReceiver::new(draw, MAX_FOLLOWER_SNAPSHOT_BYTES),
            proxies: VecDeque::new(),
            reporter: LinkReporter::default(),
        }
    }

    /// The same, for a node that only reads what it follows, or that may become a voter.
    pub fn in_form(mut self, form: FeedForm) -> Self {
        self.form = form;
        self.catch_up = self.catch_up.in_form(form);
        self
    }

    pub fn controller(&self) -> SocketAddr {
        self.controller
    }

    pub fn fresh_until(&self) -> Duration {
        let follower = self.feed_cache.follower();
        self.lease.fresh_until(follower, &self.wants)
    }

    /// For how much longer silence of the core counts as a slow link and not as a cut.
    pub fn slow_for(&self, now: Duration) -> Duration {
        self.slow_response_at.map_or(Duration::ZERO, |slow_at| {
            (slow_at + SLOW_LINK_SPAN).saturating_sub(now)
        })
    }

    /// What the log is to be told of the link: only while there is no lease, and now and then.
    pub fn report(&mut self, now: Duration) -> Option<LinkFigures> {
        let has_lease = now < self.fresh_until();
        self.reporter.report(now, has_lease)
    }

    /// Bytes came of a message that began to come a while ago and is not whole yet.
    ///
    /// Why that counts: until it is whole nothing else tells a slow link from a cut, and another
    /// controller would be heard over the same link.
    pub fn partial_frame_received(&mut self, now: Duration) {
        self.slow_response_at = Some(now);
        self.answered_at = now;
        self.pace.partial_response_received(now);
        // Why: until the rest is here, the silence of instances means nothing.
        self.assured_since = None;
    }

    /// A connection to a controller was opened, for which the link took so long.
    ///
    /// Over a full link nothing else may come for a while, and a connection that opens late tells it from a
    /// partition. One that opens fast tells nothing: the controller may itself be cut off from the others.
    pub fn connection_opened(&mut self, now: Duration, peer: SocketAddr, took: Duration) {
        if !self.candidates().contains(&peer) {
            return;
        }
        self.reporter.figures.count_opening(took);
        if took >= SLOW_RESPONSE {
            self.slow_response_at = Some(now);
        }
    }

    /// A controller could not be reached, or closed the connection: the next one is asked soon.
    pub fn controller_lost(&mut self, peer: SocketAddr) {
        self.reporter.figures.lost_connections += 1;
        self.is_unreachable |= peer == self.controller && self.pace.is_awaiting();
    }

    pub fn versions(&self) -> Vec<Version> {
        self.feed_cache.follower().versions()
    }

    /// Every controller that may answer: those of the membership, and the seeds.
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

    fn turn_to_another(&mut self, now: Duration) {
        let candidates = self.candidates();
        let index = candidates
            .iter()
            .position(|known| *known == self.controller);
        let next = index.map_or(0, |index| (index + 1) % candidates.len());
        self.controller = candidates[next];
        self.reporter.figures.turns += 1;
        self.state = LinkState::Searching;
        self.is_unreachable = false;
        self.answered_at = now;
        self.renew_at = now;
        self.pace.reset();
        // Why here: another one's patience begins anew, and would hide that there was a gap.
        self.assured_since = None;
    }

    /// Counts the instances that have not been heard of as silent, and names those that just became
    /// so; none while no controller could tell of them.
    ///
    /// Why: while the core is out of reach nobody's silence means anything.
    pub fn count_silent_instances(&mut self, now: Duration) -> Vec<InstanceId> {
        let span = self.instances.span;
        if now.saturating_sub(self.answered_at) >= TIMEOUT {
            self.assured_since = None;
        }
        let heard_long = self
            .assured_since
            .is_some_and(|since| now.saturating_sub(since) >= span);
        if heard_long {
            self.instances.count_silent(now)
        } else {
            Vec::new()
        }
    }

    /// Whether a renewal is due; if the controller does not answer in time, or is of no use, to another one.
    pub fn due(&mut self, now: Duration) -> bool {
        if !self.has_begun {
            self.has_begun = true;
            // Nothing is known of the link yet. Until the first answer says otherwise it counts as slow, so that
            // a proxy that lived on beside an agent that restarted does not take the wait for a partition.
            self.slow_response_at = Some(now);
        }
        let useless_for = now.saturating_sub(self.answered_at);
        let is_useless = useless_for >= TIMEOUT.max(self.pace.timeout());
        let is_unreachable =
            self.is_unreachable && now.saturating_sub(self.asked_at) >= UNREACHABLE_PERIOD;
        if is_useless || is_unreachable || self.pace.is_overdue(now) {
            self.turn_to_another(now);
        }
        now >= self.renew_at && self.pace.may_ask(now)
    }

    /// The next renewal, and to whom.
    pub fn renew(&mut self, now: Duration, member: Member) -> (SocketAddr, Message) {
        self.renew_at = now + RENEW_PERIOD;
        self.asked_at = now;
        self.is_unreachable = false;
        self.reporter.figures.polls += 1;
        let number = self.lease.renew(now);
        self.pace.asked(now, number);
        let facts_age = |complete_at| now.saturating_sub(complete_at);
        let renewal = Renewal {
            number,
            member,
            controller: self.fact_offsets.incarnation,
            instances_after: self.fact_offsets.instances,
            members_after: self.fact_offsets.members,
            wants: self.wants.clone(),
            form: self.form,
            facts_age: self.facts_complete_at.map(facts_age),
            extent: match self.state {
                LinkState::Following => ResponseExtent::Full,
                LinkState::Searching => ResponseExtent::Brief,
            },
        };
        (self.controller, Message::Renew { renewal })
    }

    /// Renews at once, so that the core soon hears what is held now.
    pub fn renew_now(&mut self, now: Duration) {
        self.renew_at = now;
    }

    /// How many proxies share what is shared.
    ///
    /// Why the most of a while: what is shared may at once be shared among more, and only later
    /// among fewer; a controller that has just begun has not heard of all.
    pub fn proxies(&self) -> u32 {
        let reported = self.proxies.iter().map(|(_, proxies)| *proxies);
        reported.max().unwrap_or(0).max(1)
    }

    /// Takes a controller's answer; says which maps moved on.
    pub fn granted(
        &mut self,
        now: Duration,
        responder: Responder,
        granted: &Granted,
    ) -> Vec<MapName> {
        let sent_at = self.lease.sent_at(granted.number);
        let took = sent_at.map(|sent_at| now.saturating_sub(sent_at));
        let follower = self.feed_cache.follower();
        self.reporter.figures.count(granted, took, follower);
        self.pace.answered(granted.number, took);
        let moved: Vec<MapName> = granted
            .updates
            .iter()
            .filter_map(|updates| self.feed_cache.take(updates))
            .collect();
        if granted.assured {
            self.take_lease(now, responder, granted, !moved.is_empty());
        }
        if let Some(sent_at) = sent_at {
            self.take_facts(now, sent_at, responder, granted);
        }
        if granted.more && responder.address == self.controller {
            self.renew_at = now;
        }
        moved
    }

    /// Takes what an answer tells of instances and members.
    ///
    /// Ages are dated by our request: an answer that lay in a socket while this process was frozen, or took
    /// long on its way, must not make anyone look alive; it cannot be older than what it answers.
    fn take_facts(
        &mut self,
        now: Duration,
        sent_at: Duration,
        responder: Responder,
        granted: &Granted,
    ) {
        let took = now.saturating_sub(sent_at);
        self.proxies.push_back((now, granted.proxies));
        while self.proxies.len() > 1 && now.saturating_sub(self.proxies[0].0) >= PROXIES_SPAN {
            self.proxies.pop_front();
        }
        for heard in &granted.instances {
            self.instances.handle(now, &heard.clone().aged(took));
        }
        for id in &granted.gone {
            self.instances.end(now, id);
        }
        for heard in &granted.members {
            self.members.handle(now, &heard.clone().aged(took));
        }
        // Another controller numbers its facts otherwise, and its late answer must not move our offsets at
        // the one that is followed.
        if responder.address != self.controller {
            return;
        }
        self.fact_offsets = FactOffsets {
            incarnation: responder.incarnation,
            instances: granted.instances_offset,
            members: granted.members_offset,
        };
        if granted.assured && !granted.more {
            self.facts_complete_at = Some(sent_at);
        }
    }

    /// Takes the lease of a controller that has a majority behind it, and follows it if it is of use.
    fn take_lease(
        &mut self,
        now: Duration,
        responder: Responder,
        granted: &Granted,
        brings_changes: bool,
    ) {
        let sent_at = self.lease.sent_at(granted.number);
        // The answer to a request that is not remembered took longer than any that is.
        let is_slow = sent_at.is_none_or(|sent_at| now >= sent_at + SLOW_RESPONSE);
        self.lease.granted(
            granted.number,
            granted.quorum_read_age,
            granted.versions.clone(),
        );
        let follower = self.feed_cache.follower();
        let holds = self.lease.careless || follower.has_versions(&granted.versions, &self.wants);
        // A follower that knows itself behind is in touch with the core, however fast it was told so.
        self.slow_response_at = (is_slow || !holds).then_some(now);
        // A controller that grants but cannot bring the changes that its grant names is of no use, and is left
        // like a silent one, whatever other maps it moves on.
        let is_of_use = holds || (granted.more && brings_changes);
        if is_of_use {
            self.follow(now, responder.address);
        }
        if holds {
            self.assured_since.get_or_insert(now);
        } else {
            self.renew_at = self.renew_at.min(now + LACKING_PERIOD);
        }
    }

    /// A controller is of use: while several are asked, the first such one is followed.
    fn follow(&mut self, now: Duration, controller: SocketAddr) {
        self.answered_at = now;
        if self.state == LinkState::Searching {
            self.state = LinkState::Following;
            self.is_unreachable = false;
            if controller != self.controller {
                self.controller = controller;
                // What was asked of the others is answered too late to matter.
                self.pace.forget();
            }
        }
    }

    /// Begins to fetch the maps that a controller says are too large for its grant.
    pub fn fetch_in_chunks(
        &mut self,
        now: Duration,
        from: SocketAddr,
        granted: &Granted,
    ) -> Vec<CatchUpRequest> {
        let wanted = granted.in_chunks.iter();
        let wanted: Vec<MapName> = wanted
            .filter(|map| self.wants.contains(map))
            .copied()
            .collect();
        let requests: Vec<CatchUpRequest> = wanted
            .into_iter()
            .filter_map(|map| {
                let held = self.held(map);
                let reported = granted.versions.get(map.index()).copied();
                let goal = reported.unwrap_or_default().max(held.next());
                self.catch_up.behind(now, map, held, from, goal)
            })
            .collect();
        if !requests.is_empty() {
            // The first piece takes a round trip of its own, and until it comes this controller is of use as far
            // as can be told.
            self.follow(now, from);
        }
        requests
    }

    /// Asks other controllers for the pieces that the ones that were asked do not send.
    pub fn tick_catch_up(&mut self, now: Duration) -> Vec<CatchUpRequest> {
        let follower = self.feed_cache.follower();
        self.catch_up.tick(now, |map| follower.map(map).version)
    }

    /// Takes an answer to a question for pieces; whatever else it is changes nothing.
    pub fn handle_catch_up(
        &mut self,
        now: Duration,
        from: SocketAddr,
        vote: &ConsensusMessage,
    ) -> CatchUpStep {
        match vote {
            ConsensusMessage::Chunk { chunk } => self.handle_chunk(now, from, chunk.clone()),
            ConsensusMessage::Updates { map, .. }
            | ConsensusMessage::ReducedUpdates { map, .. }
                if self.catch_up.is_receiving(*map) =>
            {
                let moved = self.feed_cache.take(vote);
                let held = self.held(*map);
                let request = self
                    .catch_up
                    .handle_changes(now, *map, held, moved.is_some());
                self.progressed(now, from, moved, request)
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
        let held = self.held(map);
        match self.catch_up.handle_chunk(now, from, held, chunk) {
            ChunkOutcome::Next(request) => self.progressed(now, from, None, Some(request)),
            ChunkOutcome::Snapshot(full_map) => {
                let updates = ConsensusMessage::Snapshot { map, full_map };
                let moved = self.feed_cache.take(&updates);
                let held = self.held(map);
                let request = self
                    .catch_up
                    .handle_changes(now, map, held, moved.is_some());
                self.progressed(now, from, moved, request)
            }
            ChunkOutcome::Refused(why) => CatchUpStep {
                refused: Some(RejectedChunk { map, why }),
                ..CatchUpStep::default()
            },
        }
    }

    /// A part of a map came.
    fn progressed(
        &mut self,
        now: Duration,
        from: SocketAddr,
        moved: Option<MapName>,
        request: Option<CatchUpRequest>,
    ) -> CatchUpStep {
        // A controller that sends pieces is of use, though what its grant names is not held yet.
        self.follow(now, from);
        if moved.is_some() {
            // Why at once: the grant that named the version may be over by now.
            self.renew_at = now;
        }
        CatchUpStep {
            moved,
            request,
            refused: None,
        }
    }

    fn held(&self, map: MapName) -> Version {
        self.feed_cache.follower().map(map).version
    }

    /// Where the key ownership owner manager hears heartbeats, as far as the membership tells.
    pub fn owner_manager(&self) -> Option<SocketAddr> {
        let membership = self.feed_cache.follower().map(MapName::Membership);
        let holder = membership.leadership(OWNERSHIP)?.holder;
        Some(membership.voters()?.holder(holder)?.address)
    }
}
