//! The state of a controller, which the handlers of its inputs read and change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use crate::deregistrations::DeregistrationStorage;
use crate::fact_exchange::FactExchange;
use crate::instance_calls::pending::PendingInstanceCall;
use crate::operator_calls::UnversionedChange;
use crate::reads::Reads;
use crate::state::options::ControllerOptions;
use crate::state::parts::{
    FoundingProgress, KnownController, MajorityLoss, OwnershipRole, PendingConfirmation,
    ProposalOrigin, VoterManagement, Watcher,
};
use crate::state::recent_versions::RecentVersions;
use crate::state_machine::event::Event;
use crate::state_machine::operator_messages::OperatorResponse;
use crate::state_machine::output::ControllerOutput;
use crate::state_machine::storage::Storage;
use caperworks::catch_up::{CatchUpReceiver, SnapshotRateLimiter, SnapshotSender};
use caperworks::consensus::messages::Replica;
use caperworks::consensus::proposer::Proposer;
use caperworks::consensus::voter::Voter;
use caperworks::envelope_clock::EnvelopeClock;
use caperworks::identifiers::{mix, ChangeId, InstanceId, NodeId, RandomSource, Version};
use caperworks::instances::Instances;
use caperworks::leadership::{LeadershipWatch, Liveness, LEADERSHIPS_BY_URGENCY};
use caperworks::leases::{QuorumRead, QuorumReads, DRIFT_MARGIN, LEASE_DURATION};
use caperworks::map_items::VoterSet;
use caperworks::members::Members;
use caperworks::messages;
use caperworks::messages::{Founding, Message};
use caperworks::placement::Solver;
use caperworks::replicated_map::{Change, MapName, ReplicatedMap, ALL_MAPS};

pub mod options;
pub mod parts;
pub mod recent_versions;
pub mod replicas;

messages! {
    /// The state of a controller that is stored in a slot.
    struct StoredState {
        /// The ID of the node.
        0 node: NodeId,
        /// Each map with the promised and the accepted proposal, in the order of `ALL_MAPS`.
        1 replicas: Vec<Replica>,
        /// The last founding that this node accepted.
        2 founding: Option<Founding>,
        /// Whether this node may take part in the founding, while it knows no membership.
        3 may_found: Option<bool>,
        /// The instances that have deregistered, if there are any.
        4 deregistered: Option<Vec<InstanceId>>,
    }
}

/// Maximum age of the start of a quorum read that counts as contact with a majority.
pub const MAX_QUORUM_CONTACT_AGE: Duration = Duration::from_millis(800);

/// The complete state of one controller.
///
/// State that must survive a restart is in `voter`, `founding.proposed` and the deregistrations of `instances`;
/// everything else is rebuilt from
/// messages of other nodes.
pub struct ControllerState {
    /// The options that the controller was started with.
    pub options: ControllerOptions,
    /// The time of the input that is being handled, by this process's clock.
    pub now: Duration,
    /// The ID of this node, which stays the same across restarts as long as its disk is readable.
    pub node: NodeId,
    /// The seeded random source.
    pub random: RandomSource,
    /// The incarnation of this process. Unlike the node ID, it is different after each start.
    pub incarnation: NodeId,
    /// Adds timestamps to outgoing messages, and determines the age of incoming ones.
    pub envelope_clock: EnvelopeClock,

    /// This node's replicas of all maps, and the proposals that it has promised and accepted as a voter.
    pub voter: Voter,
    /// One proposer for each map, in the order of `ALL_MAPS`.
    pub proposers: Vec<Proposer>,
    /// The origin of each proposal in flight, by the proposal's ticket.
    pub proposal_origins: Slab<ProposalOrigin>,
    /// When each map was first found to have an undecided change, or one that is missing here.
    pub undecided_since: [Option<Duration>; 4],
    /// The disk, and the writes that are in flight.
    pub storage: Storage,

    /// Catch-up of this node's replicas from other nodes.
    pub catch_up: CatchUpReceiver,
    /// Snapshots that this node sends to others.
    pub snapshots: SnapshotSender,
    /// Limits how often a full map is sent in one message.
    pub full_map_limit: SnapshotRateLimiter,

    /// The progress of the membership's founding.
    pub founding: FoundingProgress,
    /// Other controllers by address, as described by their last seed message.
    pub known_controllers: BTreeMap<SocketAddr, KnownController>,

    /// The quorum reads in flight, and the results of the last ones.
    pub quorum_reads: QuorumReads,
    /// When each controller last responded, and whether it is up to date.
    pub liveness: Liveness,
    /// When the next periodic quorum read is due.
    pub next_quorum_read_at: Duration,

    /// The registered instances, whose heartbeats arrive here or at another controller.
    pub instances: Instances,
    /// The deregistrations' state on disk, and whether those of a majority of the voters are merged.
    pub deregistration_storage: DeregistrationStorage,
    /// Instances' calls that wait for responses of other controllers.
    pub instance_calls: Vec<PendingInstanceCall>,
    /// The number of the last instance call.
    pub last_instance_call: u64,
    /// Reads of the configuration that wait for a quorum read.
    pub reads: Reads,
    /// When this controller started, or last resumed after a freeze.
    pub running_since: Duration,
    /// The time of the last input.
    pub last_input_at: Duration,
    /// The time of the last tick.
    pub last_tick_at: Duration,
    /// Agents and directories, whose renewals arrive here or at another controller.
    pub members: Members,
    /// When each member last renewed its lease with this controller.
    pub last_renewals: BTreeMap<NodeId, Duration>,
    /// Exchange of instance and member facts with other controllers.
    pub fact_exchange: FactExchange,

    /// The state of each leadership role as seen by this controller, in the order of `LEADERSHIPS_BY_URGENCY`.
    pub leaderships: Vec<LeadershipWatch>,
    /// The placement solver, for the solver role.
    pub solver: Solver,
    /// The state of the ownership role.
    pub ownership_role: OwnershipRole,
    /// The state of the voter management role.
    pub voter_management: VoterManagement,
    /// Other controllers that began a graceful shutdown and have not responded since a restart.
    pub shutting_down: BTreeSet<NodeId>,
    /// The versions that this controller had recently.
    pub recent_versions: RecentVersions,
    /// The versions that each node last reported as synced to its disk.
    pub reported_synced_versions: BTreeMap<NodeId, Vec<Version>>,
    /// The loss of the majority, while it lasts.
    pub majority_loss: MajorityLoss,

    /// When the graceful shutdown of this controller began, if it did.
    pub stopping_since: Option<Duration>,
    /// Operators that wait for a configuration change.
    pub watchers: Vec<Watcher>,
    /// The highest configuration version that may be reported to operators as accepted, because enough agents
    /// have it. It never decreases.
    pub confirmed_version: Version,
    /// Changes without a version that are in flight, by the operator's ticket.
    pub unversioned_changes: BTreeMap<u64, UnversionedChange>,
    /// Responses to operators that wait until enough agents have a version.
    pub pending_confirmations: Vec<PendingConfirmation>,
    /// The outputs of the input that is being handled.
    pub outputs: Vec<ControllerOutput>,
}

impl ControllerState {
    /// Returns the state of a controller that has not received any message yet.
    pub fn new(
        options: ControllerOptions,
        node: NodeId,
        voter: Voter,
        storage: Storage,
        catch_up: CatchUpReceiver,
        random: RandomSource,
    ) -> Self {
        // A proposal number must never be used for two different changes, and the local voter need not have
        // seen all numbers that the previous incarnation used. So proposers use the ID of this incarnation.
        let incarnation = NodeId(mix(node.0 ^ random.clone().next_u64()) >> 1);
        let proposers = ALL_MAPS
            .iter()
            .map(|name| Proposer::new(*name, incarnation, options.proposer.clone()))
            .collect();
        let leaderships = LEADERSHIPS_BY_URGENCY
            .iter()
            .map(|name| LeadershipWatch::new(name));
        let mut instances = Instances::default();
        instances.timeout = options.core.instance_timeout;
        instances.refresh_interval = options.core.heartbeat_refresh;
        let mut members = Members::default();
        members.refresh_interval = options.core.member_refresh;
        Self {
            now: Duration::ZERO,
            node,
            random,
            incarnation,
            envelope_clock: EnvelopeClock::of_incarnation(node, incarnation),
            voter,
            proposers,
            proposal_origins: Slab::new(),
            undecided_since: [None; 4],
            storage,
            catch_up,
            snapshots: SnapshotSender::default(),
            full_map_limit: SnapshotRateLimiter::default(),
            founding: FoundingProgress::default(),
            known_controllers: BTreeMap::new(),
            quorum_reads: QuorumReads::default(),
            liveness: Liveness::default(),
            next_quorum_read_at: Duration::ZERO,
            instances,
            deregistration_storage: DeregistrationStorage::default(),
            instance_calls: Vec::new(),
            last_instance_call: 0,
            reads: Reads::default(),
            running_since: Duration::ZERO,
            last_input_at: Duration::ZERO,
            last_tick_at: Duration::ZERO,
            members,
            last_renewals: BTreeMap::new(),
            fact_exchange: FactExchange::default(),
            leaderships: leaderships.collect(),
            solver: Solver::default(),
            ownership_role: OwnershipRole::default(),
            voter_management: VoterManagement::default(),
            shutting_down: BTreeSet::new(),
            recent_versions: RecentVersions::default(),
            reported_synced_versions: BTreeMap::new(),
            majority_loss: MajorityLoss::default(),
            stopping_since: None,
            watchers: Vec::new(),
            confirmed_version: Version(0),
            unversioned_changes: BTreeMap::new(),
            pending_confirmations: Vec::new(),
            outputs: Vec::new(),
            options,
        }
    }

    /// Returns this node's replica of a map.
    pub fn map(&self, name: MapName) -> &ReplicatedMap {
        self.voter.map(name)
    }

    /// Returns the local version of each map, in the order of `ALL_MAPS`.
    pub fn versions(&self) -> Vec<Version> {
        ALL_MAPS.map(|name| self.map(name).version).to_vec()
    }

    /// Returns the voters, or `None` while this node does not know a membership.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.map(MapName::Membership).voters()
    }

    /// Returns whether this node knows a membership.
    pub fn is_founded(&self) -> bool {
        self.map(MapName::Membership).version > Version(0)
    }

    /// Returns whether this node is a voter according to its replica of the membership.
    pub fn is_voter(&self) -> bool {
        self.voters()
            .is_some_and(|voters| voters.entry(self.node).is_some())
    }

    /// Sends a message to another node, or to this node itself through the host.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.outputs.push(ControllerOutput::Send { to, message });
    }

    /// Responds to the call with this ticket.
    pub fn respond(&mut self, ticket: u64, response: OperatorResponse) {
        self.outputs
            .push(ControllerOutput::Respond { ticket, response });
    }

    /// Writes an event to the log.
    pub fn log_event(&mut self, event: Event) {
        self.outputs.push(ControllerOutput::LogEvent { event });
    }

    /// Returns the address of a node that is a voter or that sent a seed message.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        if let Some(voter) = self.voters().and_then(|voters| voters.entry(node)) {
            return Some(voter.address);
        }
        self.known_controllers
            .iter()
            .find(|(_, seen)| seen.node == node)
            .map(|(address, _)| *address)
    }

    /// Returns the addresses of the other controllers that the membership, the settings and seed messages name.
    pub fn other_controllers(&self) -> BTreeSet<SocketAddr> {
        let membership = self.map(MapName::Membership);
        let mut addresses: BTreeSet<SocketAddr> =
            membership.voter_addresses(true).into_iter().collect();
        addresses.extend(&self.options.seeds);
        addresses.extend(self.known_controllers.keys());
        addresses.remove(&self.options.control);
        addresses
    }

    /// Proposes a change of a map. The origin determines how the outcome is handled.
    pub fn propose(&mut self, map: MapName, origin: ProposalOrigin, change: Change) {
        let now = self.now;
        let ticket = self.proposal_origins.insert(origin) as u64;
        self.proposers[map.index()].propose(now, ticket, change);
    }

    /// Returns whether a proposal of this origin is in flight.
    pub fn has_proposal_in_flight(&self, origin: &ProposalOrigin) -> bool {
        self.proposal_origins
            .iter()
            .any(|(_, pending)| pending == origin)
    }

    /// Returns an ID for one of this controller's own changes that no other incarnation of any node will use.
    pub fn own_change_id(&mut self, what: &str) -> ChangeId {
        let suffix = self.random.next_u64();
        ChangeId::new(format!("{what}-{}-{suffix:x}", self.node))
    }

    /// Returns whether a majority of the voters responded within [`MAX_QUORUM_CONTACT_AGE`].
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_reads
            .started_within(self.now, MAX_QUORUM_CONTACT_AGE)
            .is_some()
    }

    /// Returns whether a majority should have responded by now but has not.
    ///
    /// A controller that has just started or resumed has not sent any request yet, and one that knows no
    /// membership may be about to found it. Neither counts as partitioned.
    pub fn has_lost_quorum_contact(&self) -> bool {
        let has_run = self.now.saturating_sub(self.running_since) >= MAX_QUORUM_CONTACT_AGE;
        let knows_voters = self.voters().is_some();
        has_run && knows_voters && !self.has_quorum_contact()
    }

    /// Returns until when this controller's state counts as current according to its last quorum read.
    pub fn current_until(&self) -> Duration {
        let confirmed = self.quorum_reads.confirmed(self.now);
        confirmed.map_or(Duration::ZERO, |quorum_read| {
            quorum_read.started + LEASE_DURATION - DRIFT_MARGIN
        })
    }

    /// Returns whether this node's replica of a map is missing more than the one change that may be undecided.
    ///
    /// The last change does not count: it may stay undecided for a while, and if all controllers waited for
    /// it there would be no leader. Each write of a leader is fenced in addition.
    pub fn is_behind(&self, name: MapName) -> bool {
        let misses_more_than_next = |quorum_read: &QuorumRead| {
            quorum_read.versions[name.index()] > self.map(name).version.next()
        };
        self.quorum_reads
            .confirmed(self.now)
            .is_some_and(misses_more_than_next)
    }

    /// Returns whether this controller has the latest version of a map, according to a quorum read under the
    /// current membership (see `QuorumRead::is_under`).
    pub fn is_current(&self, name: MapName) -> bool {
        let membership = self.map(MapName::Membership).version;
        let confirmed = self.quorum_reads.confirmed(self.now);
        confirmed
            .filter(|quorum_read| quorum_read.is_under(membership))
            .is_some_and(|quorum_read| quorum_read.versions[name.index()] <= self.map(name).version)
    }
}
