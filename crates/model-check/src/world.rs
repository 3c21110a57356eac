//! A state of the complete model, and the effect of each event on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::bound::{Bound, InjectedBug, ScriptStep};
use crate::digest::{Digest, DigestWriter, Shared};
use crate::invariants::{check_recoverable, ChosenChanges, Violation};
use crate::node::Node;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::ensure_recovered;
use caperworks::consensus::settlement::{Settlement, VoterReport};
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{ChangeId, NodeId, Region, Version, Zone};
use caperworks::map_items::{Value, VoterEntry, VoterSet, ZoneSettings};
use caperworks::replicated_map::{Change, MapName, Put, ALL_MAPS};

mod actions;
mod proposals;
mod quorum_reads;

/// A request from a proposer that its voter has not received. One that is never delivered is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub proposer: NodeId,
    pub voter: NodeId,
    pub message: ConsensusMessage,
}

/// A possible event. Nodes are identified by their index in the list of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A proposer starts a proposal, and abandons the one in progress.
    Begin { index: u8, map: MapName },
    /// A voter receives a request.
    Deliver { request: u8, reply_lost: bool },
    /// A disk syncs all writes.
    Sync { index: u8 },
    /// A node copies a map from another.
    Learn { index: u8, source: u8, map: MapName },
    /// The voter management role checks whether the voters have to be changed.
    Manage,
    /// A voter reports its versions to the manager.
    Report { voter: u8 },
    /// A node loses its memory and restarts from its disk.
    Restart { index: u8 },
    /// A node loses its disk, and a new node replaces it.
    Wipe { index: u8 },
    /// A reader is called, or starts another quorum read for the call.
    BeginQuorumRead { index: u8 },
    /// A voter responds to the reader's quorum read.
    RespondToQuorumRead { index: u8, voter: u8 },
}

const MAPS: [MapName; 2] = [MapName::Configuration, MapName::Membership];

/// A state of the model.
#[derive(Debug, Clone)]
pub struct World {
    nodes: Vec<Shared<Node>>,
    requests: Vec<(Digest, Arc<Request>)>,
    chosen: Arc<ChosenChanges>,
    /// The highest version of the configuration that was acknowledged to an operator.
    pub accepted: Version,
    restarts: u8,
    lost_replies: u8,
}

fn entry(node: NodeId) -> VoterEntry {
    VoterEntry {
        node,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + node.0 as u16)),
        zone: Zone::new("east"),
        controller: true,
    }
}

fn voters_change(id: &str, expected: Version, entries: Vec<VoterEntry>) -> Change {
    let voters = VoterSet { entries };
    Change {
        id: ChangeId::new(id),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(expected),
            value: Some(Value::VoterSet { voters }),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// Proposes a change for an operator; after a restart, for another operator with another change.
fn call_writer(writers: &[NodeId], node: &mut Node) {
    if writers.contains(&node.id) {
        let change = configuration_change(node);
        let proposer = node.configuration.change();
        proposer.propose(Duration::ZERO, OPERATOR_TICKET, change);
    }
}

fn configuration_change(writer: &Node) -> Change {
    let name = format!("{}-{}", writer.id, writer.incarnation);
    Change {
        id: ChangeId::new(format!("change-{name}")),
        puts: vec![Put {
            key: format!("area/{name}"),
            expected: None,
            value: Some(Value::Zone {
                zone: ZoneSettings {
                    region: Region::new("east"),
                    closed: false,
                },
            }),
            written: None,
        }],
        guards: Vec::new(),
    }
}

/// The ticket of operators' calls.
const OPERATOR_TICKET: u64 = 1;
/// The ticket of the manager's proposals.
const MANAGER_TICKET: u64 = 2;

impl World {
    /// Creates the initial state of a search: runs the script of the bound, and starts the writers.
    pub fn new(bound: &Bound) -> Self {
        let entries = (1..=bound.voters).map(|id| entry(NodeId(id))).collect();
        let mut voter = Voter::default();
        voter.handle(ConsensusMessage::Commit {
            map: MapName::Membership,
            version: Version(1),
            change: voters_change("founding", Version(0), entries),
        });
        let mut world = Self {
            nodes: Vec::new(),
            requests: Vec::new(),
            chosen: Arc::default(),
            accepted: Version(0),
            restarts: bound.restarts,
            lost_replies: bound.lost_replies,
        };
        for id in 1..=bound.voters + bound.spares {
            let mut node = Node::new(NodeId(id), voter.clone(), bound);
            call_writer(&bound.early_writers, &mut node);
            world.add(node);
        }
        for step in &bound.script {
            let result = world.run_step(bound, step);
            result.expect("the script violates no invariant");
        }
        for index in 0..world.nodes.len() as u8 {
            world.change(index, |node| call_writer(&bound.writers, node));
        }
        world
    }

    fn run_step(&mut self, bound: &Bound, step: &ScriptStep) -> Result<(), Violation> {
        let index = |world: &World, id| world.index_of(id).expect("the node of a step exists");
        match step {
            ScriptStep::Propose {
                proposer,
                map,
                voters,
            } => {
                self.begin(index(self, *proposer), *map)?;
                while let Some(request) = self.votable(bound, voters) {
                    self.deliver(bound, request, false)?;
                }
                self.requests.clear();
                Ok(())
            }
            ScriptStep::Learn { node, source, map } => {
                let (node, source) = (index(self, *node), index(self, *source));
                self.learn(bound, node, source, *map)
            }
            ScriptStep::Report { voter } => {
                let voter = index(self, *voter);
                self.report(bound, voter);
                Ok(())
            }
            ScriptStep::Manage => {
                self.manage(bound);
                Ok(())
            }
        }
    }

    /// Returns a request on which one of these voters would vote now.
    fn votable(&self, bound: &Bound, voters: &[NodeId]) -> Option<u8> {
        let request = self.requests.iter().position(|(_, request)| {
            voters.contains(&request.voter) && self.would_vote(bound, request)
        })?;
        Some(request as u8)
    }

    fn add(&mut self, node: Node) {
        self.nodes.push(Shared::new(node));
    }

    /// Returns all nodes, including those that were wiped.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().map(Shared::get)
    }

    /// Returns the change that was chosen for a version of a map, if any was observed.
    pub fn chosen_at(&self, map: MapName, version: Version) -> Option<&ChangeId> {
        self.chosen.at(map, version)
    }

    fn node(&self, index: u8) -> &Node {
        self.nodes[usize::from(index)].get()
    }

    fn change<T>(&mut self, index: u8, change: impl FnOnce(&mut Node) -> T) -> T {
        change(self.nodes[usize::from(index)].change())
    }

    fn index_of(&self, id: NodeId) -> Option<u8> {
        let index = self.nodes().position(|node| node.id == id)?;
        Some(index as u8)
    }

    /// Returns a digest of the state.
    pub fn digest(&mut self) -> Digest {
        let mut writer = DigestWriter::default();
        for node in &mut self.nodes {
            writer.add_digest(node.digest(Node::digest));
        }
        for (digest, _) in &self.requests {
            writer.add_digest(*digest);
        }
        writer.add(&(&self.chosen, self.accepted));
        writer.add(&(self.restarts, self.lost_replies));
        writer.finish()
    }

    fn running(&self) -> impl Iterator<Item = (u8, &Node)> {
        self.nodes()
            .enumerate()
            .filter(|(_, node)| node.is_running)
            .map(|(index, node)| (index as u8, node))
    }

    /// Returns the state after an event, or the invariant that the event violates.
    pub fn after(&self, bound: &Bound, action: Action) -> Result<World, Violation> {
        let mut world = self.clone();
        match action {
            Action::Begin { index, map } => world.begin(index, map)?,
            Action::Deliver {
                request,
                reply_lost,
            } => world.deliver(bound, request, reply_lost)?,
            Action::Sync { index } => world.sync(index)?,
            Action::Learn { index, source, map } => world.learn(bound, index, source, map)?,
            Action::Manage => world.manage(bound),
            Action::Report { voter } => world.report(bound, voter),
            Action::Restart { index } => {
                world.restarts -= 1;
                world.change(index, |node| {
                    node.restart(bound.injected_bug);
                    call_writer(&bound.writers, node);
                });
            }
            Action::Wipe { index } => world.wipe(bound, index),
            Action::BeginQuorumRead { index } => world.begin_quorum_read(bound, index)?,
            Action::RespondToQuorumRead { index, voter } => {
                world.respond_to_quorum_read(bound, index, voter)?
            }
        }
        world.drop_obsolete_requests(bound);
        check_recoverable(&world)?;
        Ok(world)
    }

    fn manage(&mut self, bound: &Bound) {
        let Some(index) = self.index_of(bound.manager) else {
            return;
        };
        let Some(entries) = self.next_voters(bound, self.node(index)) else {
            return;
        };
        self.change(index, |node| {
            let membership = node.voter.get().map(MapName::Membership);
            let version = membership.version;
            let expected = membership.item_version("seats");
            let is_recovered = match bound.settles_by_reports {
                true => is_settled(node, bound.injected_bug),
                false => is_recovered(node, version),
            };
            if is_recovered || bound.injected_bug == InjectedBug::SkipsRecovery {
                let id = format!("voters-after-{version}");
                let change = voters_change(&id, expected, entries);
                node.membership
                    .change()
                    .propose(Duration::ZERO, MANAGER_TICKET, change);
                node.requested_under = Some(version);
            }
        });
    }

    /// Passes a voter's report to the manager, as an answer to a quorum read does.
    fn report(&mut self, bound: &Bound, voter: u8) {
        let Some(index) = self.index_of(bound.manager) else {
            return;
        };
        let settlement = self.settlement_after_report(index, voter);
        self.change(index, |node| node.settlement = settlement);
    }

    /// Returns what the manager knows after a voter's report.
    fn settlement_after_report(&self, manager: u8, voter: u8) -> Settlement {
        let node = self.node(manager);
        let reporter = self.node(voter);
        let synced = ALL_MAPS.map(|name| reporter.synced.get().map(name).version);
        let possible = reporter.voter.get().highest_possible();
        let report = VoterReport {
            possible: &possible,
            synced: &synced,
        };
        let membership = node.voter.get().map(MapName::Membership);
        let mut settlement = node.settlement.clone();
        settlement.handle_report(membership, reporter.id, report);
        settlement
    }

    fn wipe(&mut self, bound: &Bound, index: u8) {
        let id = self.change(index, |node| {
            node.is_running = false;
            node.id
        });
        let successor = NodeId(id.0 + 10);
        self.add(Node::new(successor, Voter::default(), bound));
    }
}

/// Returns whether the reports show that the voters may be changed. If a change may be accepted that is not
/// committed at the manager, its recovery is requested.
fn is_settled(node: &mut Node, injected_bug: InjectedBug) -> bool {
    let membership = node.voter.get().map(MapName::Membership);
    let own_version = node.version(MapName::Configuration);
    let required = node.settlement.required(membership);
    let is_behind =
        required.is_some_and(|versions| versions[MapName::Configuration.index()] > own_version);
    let is_settled = match injected_bug {
        InjectedBug::SettlesByFirstReports => required.is_some(),
        _ => node.settlement.is_settled(membership),
    };
    if is_behind {
        node.configuration.change().request_recovery();
    }
    is_settled
}

/// Returns whether both maps were recovered by proposals under this membership, and requests it if not.
fn is_recovered(node: &mut Node, membership: Version) -> bool {
    let configuration = ensure_recovered(node.configuration.change(), membership);
    ensure_recovered(node.membership.change(), membership) && configuration
}
