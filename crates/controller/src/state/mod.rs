//! The state of a controller, which the handlers of its inputs read and change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slab::Slab;

use crate::fact_exchange::FactExchange;
use crate::instance_calls::PendingInstanceCall;
use crate::operator_calls::UnversionedChange;
use crate::reads::Reads;
use crate::state::options::ControllerOptions;
use crate::state::parts::{
    FoundingProgress, KnownController, MajorityLoss, OwnershipRole, PendingConfirmation,
    ProposalOrigin, VoterManagement, Watcher,
};
use crate::state_machine::event::Event;
use crate::state_machine::operator_messages::OperatorResponse;
use crate::state_machine::output::ControllerOutput;
use crate::state_machine::storage::Storage;
use caperworks::catch_up::{CatchUpReceiver, SnapshotRateLimiter, SnapshotSender};
use caperworks::consensus::messages::Replica;
use caperworks::consensus::proposer::Proposer;
use caperworks::consensus::voter::Voter;
use caperworks::envelope_clock::EnvelopeClock;
use caperworks::identifiers::{mix, Chance, ChangeId, NodeId, Version};
use caperworks::instances::Instances;
use caperworks::leadership::{LeadershipWatch, Liveness, LEADERSHIPS};
use caperworks::leases::{QuorumRead, QuorumReads, DRIFT_MARGIN, LEASE_SPAN};
use caperworks::map_items::VoterSet;
use caperworks::members::Members;
use caperworks::messages;
use caperworks::messages::{Founding, Message};
use caperworks::placement::Solver;
use caperworks::replicated_map::{Change, MapName, ReplicatedMap, ALL_MAPS};

pub mod options;
pub mod parts;

messages! {
    /// What a controller keeps in a slot.
    struct StoredState {
        /// The number of the node.
        0 node: NodeId,
        /// Each map with what was promised and accepted, in the order of `ALL_MAPS`.
        1 replicas: Vec<Replica>,
        /// The founding that was accepted last.
        2 founding: Option<Founding>,
    }
}

/// How recent the start of a quorum read must be to count as contact with a majority.
pub const QUORUM_CONTACT_AGE: Duration = Duration::from_millis(800);

/// All that one controller knows.
///
/// What must survive a restart is in `voter` and `founding.proposed`; everything else is rebuilt from
/// what other nodes send.
pub struct ControllerState {
    /// What the controller was told at its start.
    pub options: ControllerOptions,
    /// The time of the input that is being handled, by this process's own clock.
    pub now: Duration,
    /// The number of this node, which it keeps over restarts as long as its disk is readable.
    pub node: NodeId,
    /// The seeded source of randomness.
    pub random: Chance,
    /// The incarnation of this process: drawn anew at each start, unlike the node's number.
    pub incarnation: NodeId,
    /// Stamps messages, and dates those that arrive.
    pub envelope_clock: EnvelopeClock,

    /// This node's replicas of all maps, and what it has promised and accepted as a voter.
    pub voter: Voter,
    /// One proposer for each map, in the order of `ALL_MAPS`.
    pub proposers: Vec<Proposer>,
    /// What each proposal in flight was made for, by the proposal's ticket.
    pub proposal_origins: Slab<ProposalOrigin>,
    /// Since when each map has a change that is neither decided nor known here.
    pub undecided_since: [Option<Duration>; 4],
    /// Writes to disk.
    pub storage: Storage,

    /// Snapshots and changes that this node receives.
    pub catch_up: CatchUpReceiver,
    /// Snapshots that this node sends.
    pub snapshots: SnapshotSender,
    /// Limits how often a complete map is sent in one message.
    pub full_map_limit: SnapshotRateLimiter,

    /// The founding of the membership.
    pub founding: FoundingProgress,
    /// Controllers by their address, each as last heard.
    pub seeds: BTreeMap<SocketAddr, KnownController>,

    /// Quorum reads.
    pub quorum_reads: QuorumReads,
    /// When each voter was last heard, and whether it is behind.
    pub liveness: Liveness,
    /// When the next periodic quorum read is due.
    pub next_quorum_read_at: Duration,

    /// The instances that are heard, here or by another controller.
    pub instances: Instances,
    /// Instances' calls that wait for other controllers.
    pub instance_calls: Vec<PendingInstanceCall>,
    /// The number of the last of these calls.
    pub last_instance_call: u64,
    /// Reads of the configuration that wait for a quorum read.
    pub reads: Reads,
    /// Since when this controller has run without a gap of its own.
    pub running_since: Duration,
    /// The time of the last input.
    pub took_input_at: Duration,
    /// The time of the last tick.
    pub ticked_at: Duration,
    /// Agents and directories that are heard, here or by another controller.
    pub members: Members,
    /// When members last renewed here.
    pub last_renewals: BTreeMap<NodeId, Duration>,
    /// What other controllers were sent of instances and members.
    pub fact_exchange: FactExchange,

    /// One watch for each leadership role.
    pub leaderships: Vec<LeadershipWatch>,
    /// The solver of the placement, while this controller leads it.
    pub solver: Solver,
    /// The management of key ranges, while this controller leads it.
    pub ownership_role: OwnershipRole,
    /// The management of the voters, while this controller leads it.
    pub voter_management: VoterManagement,
    /// The versions that each node last reported to hold on its disk.
    pub heard_versions: BTreeMap<NodeId, Vec<Version>>,
    /// The loss of the majority, if it lasts.
    pub majority_loss: MajorityLoss,

    /// Since when this controller is shutting down.
    pub stopping_since: Option<Duration>,
    /// Operators that wait for a change of the configuration.
    pub watchers: Vec<Watcher>,
    /// Up to which version of the configuration operators may be told that it is accepted: enough agents
    /// hold it. It never decreases.
    pub vouched: Version,
    /// Changes without a version that are in flight, by the operator's ticket.
    pub unversioned_changes: BTreeMap<u64, UnversionedChange>,
    /// Responses to operators that wait for the agents.
    pub pending_confirmations: Vec<PendingConfirmation>,
    /// The outputs of the input that is being handled.
    pub outputs: Vec<ControllerOutput>,
}

impl ControllerState {
    /// The state of a controller that has heard nothing yet.
    pub fn new(
        options: ControllerOptions,
        node: NodeId,
        voter: Voter,
        storage: Storage,
        catch_up: CatchUpReceiver,
        random: Chance,
    ) -> Self {
        // A proposal number of the incarnation before, which our own voter need not have heard of, must
        // never be used a second time with another change: so proposers use a number of this incarnation.
        let incarnation = NodeId(mix(node.0 ^ random.clone().draw()) >> 1);
        let proposers = ALL_MAPS
            .iter()
            .map(|name| Proposer::new(*name, incarnation, options.proposer.clone()))
            .collect();
        let leaderships = LEADERSHIPS.iter().map(|name| LeadershipWatch::new(name));
        let mut instances = Instances::default();
        instances.span = options.core.instance_span;
        instances.refresh = options.core.heartbeat_refresh;
        let mut members = Members::default();
        members.refresh = options.core.member_refresh;
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
            seeds: BTreeMap::new(),
            quorum_reads: QuorumReads::default(),
            liveness: Liveness::default(),
            next_quorum_read_at: Duration::ZERO,
            instances,
            instance_calls: Vec::new(),
            last_instance_call: 0,
            reads: Reads::default(),
            running_since: Duration::ZERO,
            took_input_at: Duration::ZERO,
            ticked_at: Duration::ZERO,
            members,
            last_renewals: BTreeMap::new(),
            fact_exchange: FactExchange::default(),
            leaderships: leaderships.collect(),
            solver: Solver::default(),
            ownership_role: OwnershipRole::default(),
            voter_management: VoterManagement::default(),
            heard_versions: BTreeMap::new(),
            majority_loss: MajorityLoss::default(),
            stopping_since: None,
            watchers: Vec::new(),
            vouched: Version(0),
            unversioned_changes: BTreeMap::new(),
            pending_confirmations: Vec::new(),
            outputs: Vec::new(),
            options,
        }
    }

    /// This node's replica of a map.
    pub fn map(&self, name: MapName) -> &ReplicatedMap {
        self.voter.map(name)
    }

    /// The local version of each map, in the order of `ALL_MAPS`.
    pub fn versions(&self) -> Vec<Version> {
        ALL_MAPS.map(|name| self.map(name).version).to_vec()
    }

    /// Whether a node is alive and has on its disk what this one holds.
    pub fn is_level(&self, node: NodeId) -> bool {
        let own = self.versions();
        self.liveness.alive(self.now, node)
            && self.heard_versions.get(&node).is_some_and(|synced| {
                synced.len() == own.len()
                    && synced.iter().zip(&own).all(|(synced, own)| synced >= own)
            })
    }

    /// The voters, or nothing while the membership is unknown here.
    pub fn voters(&self) -> Option<&VoterSet> {
        self.map(MapName::Membership).voters()
    }

    /// Whether this node is a voter, by its own replica of the membership.
    pub fn is_voter(&self) -> bool {
        self.voters()
            .is_some_and(|voters| voters.holder(self.node).is_some())
    }

    /// Sends to another node, or to this one by way of the host.
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

    /// Where a node hears this one: a voter's address, or a seed's.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        if let Some(voter) = self.voters().and_then(|voters| voters.holder(node)) {
            return Some(voter.address);
        }
        self.seeds
            .iter()
            .find(|(_, seen)| seen.node == node)
            .map(|(address, _)| *address)
    }

    /// The other controllers, by the membership and by the seeds.
    pub fn other_controllers(&self) -> BTreeSet<SocketAddr> {
        let membership = self.map(MapName::Membership);
        let mut addresses: BTreeSet<SocketAddr> =
            membership.voter_addresses(true).into_iter().collect();
        addresses.extend(&self.options.seeds);
        addresses.extend(self.seeds.keys());
        addresses.remove(&self.options.control);
        addresses
    }

    /// Proposes a change of a map. The outcome is handled by what the origin says.
    pub fn propose(&mut self, map: MapName, origin: ProposalOrigin, change: Change) {
        let now = self.now;
        let ticket = self.proposal_origins.insert(origin) as u64;
        self.proposers[map.index()].propose(now, ticket, change);
    }

    /// Whether a proposal of this origin is in flight.
    pub fn has_proposal_in_flight(&self, origin: &ProposalOrigin) -> bool {
        self.proposal_origins
            .iter()
            .any(|(_, pending)| pending == origin)
    }

    /// An id for a change of this controller's own that no other incarnation of any node will use.
    pub fn own_change_id(&mut self, what: &str) -> ChangeId {
        let draw = self.random.draw();
        ChangeId::new(format!("{what}-{}-{draw:x}", self.node))
    }

    /// Whether a majority of the voters was heard a moment ago.
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_reads
            .begun_within(self.now, QUORUM_CONTACT_AGE)
            .is_some()
    }

    /// Whether a majority should have been heard by now and was not.
    ///
    /// A controller that has just started or woken up has asked nobody yet, and one that knows no
    /// membership yet is about to found it: neither counts as cut off.
    pub fn lacks_quorum_contact(&self) -> bool {
        let has_run = self.now.saturating_sub(self.running_since) >= QUORUM_CONTACT_AGE;
        let knows_voters = self.voters().is_some();
        has_run && knows_voters && !self.has_quorum_contact()
    }

    /// Until when this controller can vouch for what it knows, by its last quorum read.
    pub fn current_until(&self) -> Duration {
        let confirmed = self.quorum_reads.confirmed(self.now);
        confirmed.map_or(Duration::ZERO, |quorum_read| {
            quorum_read.started + LEASE_SPAN - DRIFT_MARGIN
        })
    }

    /// Whether a map lacks more here than the one change that may be undecided.
    ///
    /// The last change does not count: it may be undecided for a while, and a fleet whose members all wait
    /// for it would have no leader. Each write of a leader is fenced on top of this.
    pub fn is_behind(&self, name: MapName) -> bool {
        let after_next = |quorum_read: &QuorumRead| {
            quorum_read.versions[name.index()] > self.map(name).version.next()
        };
        self.quorum_reads
            .confirmed(self.now)
            .is_some_and(after_next)
    }

    /// Whether this controller knows the latest version of a map, by a quorum read under the present
    /// membership (see `QuorumRead::is_under`).
    pub fn is_current(&self, name: MapName) -> bool {
        let membership = self.map(MapName::Membership).version;
        let confirmed = self.quorum_reads.confirmed(self.now);
        confirmed
            .filter(|quorum_read| quorum_read.is_under(membership))
            .is_some_and(|quorum_read| quorum_read.versions[name.index()] <= self.map(name).version)
    }
}
