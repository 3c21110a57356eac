//! A state of the whole model, and how each event changes it.

use crate::prelude::*;

/// A request of a proposer that a voter has not heard yet. One that is never heard was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub proposer: NodeId,
    pub voter: NodeId,
    pub message: ConsensusMessage,
}

/// Something that can happen next. Nodes are named by their place in the list of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A proposer begins a ballot, giving up the one under way.
    Begin {
        place: u8,
        map: MapName,
    },
    /// A voter hears a request.
    Deliver {
        request: u8,
        reply_lost: bool,
    },
    /// A disk finishes all writes.
    Sync {
        place: u8,
    },
    /// A node copies a map from another.
    Learn {
        place: u8,
        source: u8,
        map: MapName,
    },
    /// The voter management role looks at what it has to do.
    Manage,
    Restart {
        place: u8,
    },
    Wipe {
        place: u8,
    },
    /// A reader is called, or begins another round for the call.
    BeginRound {
        place: u8,
    },
    /// A voter answers the reader's round.
    AnswerRound {
        place: u8,
        voter: u8,
    },
}

const MAPS: [MapName; 2] = [MapName::Configuration, MapName::Membership];

#[derive(Debug, Clone)]
pub struct World {
    places: Vec<Shared<Node>>,
    requests: Vec<(Digest, Arc<Request>)>,
    chosen: Arc<ChosenChanges>,
    /// The highest version of the configuration that an operator was told yes for.
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

fn voters_change(id: &str, expected: Version, holders: Vec<VoterEntry>) -> Change {
    let voters = VoterSet { holders };
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

/// An operator calls for a change; after a restart another one does for another change.
fn call_writer(writers: &[NodeId], node: &mut Node) {
    if writers.contains(&node.id) {
        let change = configuration_change(node);
        let proposer = node.configuration.change();
        proposer.propose(Duration::ZERO, OPERATOR_TICKET, change);
    }
}

fn configuration_change(writer: &Node) -> Change {
    let name = format!("{}-{}", writer.id, writer.life);
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

/// The tickets of operators' calls; the manager's have the other.
const OPERATOR_TICKET: u64 = 1;
const MANAGER_TICKET: u64 = 2;

impl World {
    pub fn new(bound: &Bound) -> Self {
        let holders = (1..=bound.voters).map(|id| entry(NodeId(id))).collect();
        let mut voter = Voter::default();
        voter.hear(ConsensusMessage::Commit {
            map: MapName::Membership,
            version: Version(1),
            change: voters_change("founding", Version(0), holders),
        });
        let mut world = Self {
            places: Vec::new(),
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
            let played = world.play(bound, step);
            played.expect("the script breaks no invariant");
        }
        for place in 0..world.places.len() as u8 {
            world.change(place, |node| call_writer(&bound.writers, node));
        }
        world
    }

    fn play(&mut self, bound: &Bound, step: &ScriptStep) -> Result<(), Violation> {
        let place = |world: &World, id| world.place_of(id).expect("the script names nodes");
        match step {
            ScriptStep::Ballot {
                proposer,
                map,
                voters,
            } => {
                self.begin(place(self, *proposer), *map)?;
                while let Some(request) = self.votable(bound, voters) {
                    self.deliver(bound, request, false)?;
                }
                self.requests.clear();
                Ok(())
            }
            ScriptStep::Learn { node, source, map } => {
                let (node, source) = (place(self, *node), place(self, *source));
                self.learn(bound, node, source, *map)
            }
            ScriptStep::Manage => {
                self.manage(bound);
                Ok(())
            }
        }
    }

    /// A request that one of these voters would vote on.
    fn votable(&self, bound: &Bound, voters: &[NodeId]) -> Option<u8> {
        let request = self.requests.iter().position(|(_, request)| {
            voters.contains(&request.voter) && self.would_vote(bound, request)
        })?;
        Some(request as u8)
    }

    fn add(&mut self, node: Node) {
        self.places.push(Shared::new(node));
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.places.iter().map(Shared::get)
    }

    pub fn chosen_at(&self, map: MapName, version: Version) -> Option<&ChangeId> {
        self.chosen.at(map, version)
    }

    fn node(&self, place: u8) -> &Node {
        self.places[usize::from(place)].get()
    }

    fn change<T>(&mut self, place: u8, change: impl FnOnce(&mut Node) -> T) -> T {
        change(self.places[usize::from(place)].change())
    }

    fn place_of(&self, id: NodeId) -> Option<u8> {
        let place = self.nodes().position(|node| node.id == id)?;
        Some(place as u8)
    }

    /// What tells this state from another.
    pub fn digest(&mut self) -> Digest {
        let mut writer = DigestWriter::default();
        for place in &mut self.places {
            writer.add_digest(place.digest(Node::digest));
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
            .map(|(place, node)| (place as u8, node))
    }

    /// All that can happen next within the bound.
    pub fn actions(&self, bound: &Bound) -> Vec<Action> {
        let mut actions = Vec::new();
        self.add_deliveries(bound, &mut actions);
        for (place, node) in self.running() {
            self.add_node_actions(bound, place, node, &mut actions);
        }
        self.add_management(bound, &mut actions);
        actions
    }

    fn add_deliveries(&self, bound: &Bound, actions: &mut Vec<Action>) {
        for (number, (_, request)) in self.requests.iter().enumerate() {
            if !self.would_vote(bound, request) {
                continue;
            }
            let request = number as u8;
            actions.push(Action::Deliver {
                request,
                reply_lost: false,
            });
            if self.lost_replies > 0 {
                actions.push(Action::Deliver {
                    request,
                    reply_lost: true,
                });
            }
        }
    }

    fn add_node_actions(&self, bound: &Bound, place: u8, node: &Node, actions: &mut Vec<Action>) {
        if node.configuration_ballots > 0 && node.configuration.get().has_work() {
            let map = MapName::Configuration;
            actions.push(Action::Begin { place, map });
        }
        if node.membership_ballots > 0 && node.membership.get().has_work() {
            let map = MapName::Membership;
            actions.push(Action::Begin { place, map });
        }
        if !node.is_synced() {
            actions.push(Action::Sync { place });
        }
        for map in MAPS {
            self.add_copies(place, node, map, actions);
        }
        if self.restarts > 0 {
            actions.push(Action::Restart { place });
        }
        if bound.wiped.contains(&node.id) {
            actions.push(Action::Wipe { place });
        }
        if bound.readers.contains(&node.id) {
            self.add_reads(place, node, actions);
        }
    }

    /// One source for each later version that some node holds.
    fn add_copies(&self, place: u8, node: &Node, map: MapName, actions: &mut Vec<Action>) {
        let mut seen = BTreeSet::from([node.version(map)]);
        for (source, other) in self.running() {
            let version = other.version(map);
            if version > node.version(map) && seen.insert(version) {
                actions.push(Action::Learn { place, source, map });
            }
        }
    }

    fn add_reads(&self, place: u8, node: &Node, actions: &mut Vec<Action>) {
        let may_begin = node.round_open.is_none() && node.rounds_left > 0;
        if may_begin && node.read != ReadState::Answered {
            actions.push(Action::BeginRound { place });
        }
        let Some((_, waiting)) = &node.round_open else {
            return;
        };
        for (voter, other) in self.running() {
            if waiting.contains(&other.id) {
                actions.push(Action::AnswerRound { place, voter });
            }
        }
    }

    fn add_management(&self, bound: &Bound, actions: &mut Vec<Action>) {
        let manager = self
            .place_of(bound.manager)
            .map(|place| self.node(place))
            .filter(|node| node.is_running);
        let is_due = manager.is_some_and(|node| {
            node.asked_under != Some(node.version(MapName::Membership))
                && self.next_voters(bound, node).is_some()
        });
        if is_due {
            actions.push(Action::Manage);
        }
    }

    /// The voters after the first membership step that is not made yet.
    fn next_voters(&self, bound: &Bound, manager: &Node) -> Option<Vec<VoterEntry>> {
        let voters = manager.voter.get().map(MapName::Membership).voters()?;
        let mut holders = voters.holders.clone();
        for step in &bound.membership_steps {
            match step {
                // Why only if it is there: the node on a wiped disk appears with the wipe.
                MembershipStep::Join(id)
                    if voters.holder(*id).is_none() && self.place_of(*id).is_some() =>
                {
                    holders.push(entry(*id));
                    return Some(holders);
                }
                MembershipStep::Leave(id) if voters.holder(*id).is_some() => {
                    holders.retain(|holder| holder.node != *id);
                    return Some(holders);
                }
                _ => {}
            }
        }
        None
    }

    /// The membership, version and ballot of a request.
    fn terms(message: &ConsensusMessage) -> Option<(MapName, Version, Version, Ballot)> {
        match message {
            ConsensusMessage::Prepare {
                map,
                membership,
                version,
                ballot,
            }
            | ConsensusMessage::Accept {
                map,
                membership,
                version,
                ballot,
                ..
            } => Some((*map, *membership, *version, *ballot)),
            _ => None,
        }
    }

    /// Whether a voter would vote now. A refusal teaches a proposer only what other events teach it.
    fn would_vote(&self, bound: &Bound, request: &Request) -> bool {
        let Some((map, membership, version, ballot)) = Self::terms(&request.message) else {
            return false;
        };
        let Some(place) = self.place_of(request.voter) else {
            return false;
        };
        let node = self.node(place);
        let copy = node.voter.get().copy(map);
        let fits = bound.mistake == Mistake::VotesUnderAnyMembership
            || membership == node.version(MapName::Membership);
        node.is_running && fits && copy.map.version.next() == version && ballot >= copy.promised
    }

    /// Drops requests that their voters will never vote on again.
    fn drop_dead_requests(&mut self, bound: &Bound) {
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain(|(_, request)| self.may_be_voted_on(bound, request));
        self.requests = requests;
    }

    fn may_be_voted_on(&self, bound: &Bound, request: &Request) -> bool {
        let Some((map, membership, version, ballot)) = Self::terms(&request.message) else {
            return false;
        };
        let Some(place) = self.place_of(request.voter) else {
            return false;
        };
        let node = self.node(place);
        // Why by the disk: a restart may take the memory back to it, but never further.
        let copy = node.synced.get().copy(map);
        let may_fit = bound.mistake == Mistake::VotesUnderAnyMembership
            || membership >= node.synced.get().map(MapName::Membership).version;
        let next = copy.map.version.next();
        let outbid = version == next && ballot < copy.promised;
        node.is_running && may_fit && version >= next && !outbid
    }

    /// The state after an event, or the invariant that it breaks.
    pub fn after(&self, bound: &Bound, action: Action) -> Result<World, Violation> {
        let mut world = self.clone();
        match action {
            Action::Begin { place, map } => world.begin(place, map)?,
            Action::Deliver {
                request,
                reply_lost,
            } => world.deliver(bound, request, reply_lost)?,
            Action::Sync { place } => world.sync(place)?,
            Action::Learn { place, source, map } => world.learn(bound, place, source, map)?,
            Action::Manage => world.manage(bound),
            Action::Restart { place } => {
                world.restarts -= 1;
                world.change(place, |node| {
                    node.restart(bound.mistake);
                    call_writer(&bound.writers, node);
                });
            }
            Action::Wipe { place } => world.wipe(bound, place),
            Action::BeginRound { place } => world.begin_round(bound, place)?,
            Action::AnswerRound { place, voter } => world.answer_round(bound, place, voter)?,
        }
        world.drop_dead_requests(bound);
        check_recoverable(&world)?;
        Ok(world)
    }

    fn begin(&mut self, place: u8, map: MapName) -> Result<(), Violation> {
        let outcome = self.change(place, |node| {
            match map {
                MapName::Membership => node.membership_ballots -= 1,
                _ => node.configuration_ballots -= 1,
            }
            let (proposer, voter) = node.proposer(map);
            let mut outcome = ProposerOutcome::default();
            if proposer.has_ballot() {
                outcome = proposer.tick(Duration::ZERO, voter, &mut Chance::seeded(1));
            }
            let begun = proposer.tick(BALLOT_TIME, voter, &mut Chance::seeded(1));
            outcome.to_voters.extend(begun.to_voters);
            outcome.proposal_outcomes.extend(begun.proposal_outcomes);
            outcome
        });
        self.act_on_proposer(place, outcome)
    }

    fn act_on_proposer(&mut self, place: u8, outcome: ProposerOutcome) -> Result<(), Violation> {
        for message in outcome.to_voters {
            match message {
                ConsensusMessage::Commit {
                    map,
                    version,
                    ref change,
                } => self.decide(place, map, version, &change.id, &message)?,
                _ => self.send_to_voters(place, message),
            }
        }
        for (ticket, proposal_outcome) in outcome.proposal_outcomes {
            self.hear_outcome(ticket, proposal_outcome)?;
        }
        Ok(())
    }

    /// Checks the outcome of an operator's call.
    fn hear_outcome(&mut self, ticket: u64, outcome: ProposalOutcome) -> Result<(), Violation> {
        let (ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version)) = outcome
        else {
            return Ok(());
        };
        if ticket != OPERATOR_TICKET {
            return Ok(());
        }
        let lost = self.nodes().filter(|node| !node.is_running).count();
        let disks = disks_with(self, version);
        if disks + lost < SYNCED_DISKS {
            return Err(Violation::TooFewDisks { version, disks });
        }
        self.accepted = self.accepted.max(version);
        Ok(())
    }

    /// A proposer saw a majority: its own node commits, others learn by copying.
    fn decide(
        &mut self,
        place: u8,
        map: MapName,
        version: Version,
        id: &ChangeId,
        message: &ConsensusMessage,
    ) -> Result<(), Violation> {
        let membership = self.node(place).version(MapName::Membership);
        Arc::make_mut(&mut self.chosen).decide(map, version, id, membership)?;
        self.hear(place, message.clone(), false)
    }

    fn send_to_voters(&mut self, place: u8, message: ConsensusMessage) {
        let node = self.node(place);
        let proposer = node.id;
        let Some(voters) = node.voter.get().map(MapName::Membership).voters().cloned() else {
            return;
        };
        for holder in voters.holders {
            let request = Request {
                proposer,
                voter: holder.node,
                message: message.clone(),
            };
            let mut writer = DigestWriter::default();
            writer.add(&request);
            let digest = writer.finish();
            let known = self
                .requests
                .binary_search_by_key(&digest, |(digest, _)| *digest);
            if let Err(at) = known {
                self.requests.insert(at, (digest, Arc::new(request)));
            }
        }
    }

    /// Hands a message to a node's voter that needs no answer.
    fn hear(
        &mut self,
        place: u8,
        message: ConsensusMessage,
        separate_sync: bool,
    ) -> Result<(), Violation> {
        self.change(place, |node| {
            let before = node.version(MapName::Membership);
            let outcome = node.voter.change().hear(message);
            node.unsynced.extend(outcome.records);
            node.unsynced_rewrite |= outcome.rewrite;
            if outcome.moved.contains(&MapName::Membership) {
                node.rounds.begin_anew(before);
                node.round_open = None;
            }
            if !separate_sync && node.held.is_empty() {
                node.sync();
            }
        });
        let voter = self.places[usize::from(place)].get().voter.get();
        Arc::make_mut(&mut self.chosen).note_copies(voter)
    }

    fn deliver(&mut self, bound: &Bound, number: u8, reply_lost: bool) -> Result<(), Violation> {
        let (_, request) = self.requests.remove(usize::from(number));
        let Some(place) = self.place_of(request.voter) else {
            return Ok(());
        };
        let message = Self::under_own_membership(bound, self.node(place), &request.message);
        let replies = self.change(place, |node| {
            let outcome = node.voter.change().hear(message);
            node.unsynced.extend(outcome.records);
            outcome.replies
        });
        let replies = replies.into_iter().map(|reply| (request.proposer, reply));
        if reply_lost {
            self.lost_replies -= 1;
        } else if bound.mistake == Mistake::VotesBeforeSync {
            return self.carry_replies(place, replies.collect());
        } else {
            self.change(place, |node| node.held.extend(replies));
        }
        if bound.separate_sync {
            return Ok(());
        }
        self.sync(place)
    }

    /// The message as a voter reads it that votes under any membership.
    fn under_own_membership(
        bound: &Bound,
        node: &Node,
        message: &ConsensusMessage,
    ) -> ConsensusMessage {
        let mut message = message.clone();
        if bound.mistake == Mistake::VotesUnderAnyMembership {
            if let ConsensusMessage::Prepare { membership, .. }
            | ConsensusMessage::Accept { membership, .. } = &mut message
            {
                *membership = node.version(MapName::Membership);
            }
        }
        message
    }

    fn sync(&mut self, place: u8) -> Result<(), Violation> {
        let replies = self.change(place, Node::sync);
        self.carry_replies(place, replies)
    }

    /// Carries a voter's replies to their proposers.
    fn carry_replies(
        &mut self,
        place: u8,
        replies: Vec<(NodeId, ConsensusMessage)>,
    ) -> Result<(), Violation> {
        let voter = self.node(place).id;
        for (proposer, reply) in replies {
            self.check_vote(place, &reply)?;
            let Some(target) = self.place_of(proposer) else {
                continue;
            };
            if !self.node(target).is_running {
                continue;
            }
            let (ConsensusMessage::Promise { map, .. } | ConsensusMessage::Accepted { map, .. }) =
                reply
            else {
                continue;
            };
            let outcome = self.change(target, |node| {
                let (proposer, own) = node.proposer(map);
                proposer.hear(BALLOT_TIME, voter, &reply, own)
            });
            self.act_on_proposer(target, outcome)?;
        }
        Ok(())
    }

    /// Checks that a vote that leaves is on a version whose predecessor its voter holds for good.
    fn check_vote(&self, place: u8, reply: &ConsensusMessage) -> Result<(), Violation> {
        let (ConsensusMessage::Promise { map, version, .. }
        | ConsensusMessage::Accepted { map, version, .. }) = reply
        else {
            return Ok(());
        };
        let node = self.node(place);
        if node.voter.get().map(*map).version.next() >= *version {
            return Ok(());
        }
        Err(Violation::VoteOnVersionNotHeld {
            node: node.id,
            version: *version,
        })
    }

    fn learn(
        &mut self,
        bound: &Bound,
        place: u8,
        source: u8,
        map: MapName,
    ) -> Result<(), Violation> {
        let after = self.node(place).version(map);
        let news = self.node(source).voter.get().news_after(map, after);
        if let Some(news) = news {
            self.hear(place, news, bound.separate_sync)?;
        }
        self.finish_read(bound, place)
    }

    fn manage(&mut self, bound: &Bound) {
        let Some(place) = self.place_of(bound.manager) else {
            return;
        };
        let Some(holders) = self.next_voters(bound, self.node(place)) else {
            return;
        };
        self.change(place, |node| {
            let membership = node.voter.get().map(MapName::Membership);
            let version = membership.version;
            let expected = membership.present("seats");
            let configuration = settle(node.configuration.change(), version);
            let settled = settle(node.membership.change(), version) && configuration;
            if settled || bound.mistake == Mistake::SkipsSettling {
                let id = format!("voters-after-{version}");
                let change = voters_change(&id, expected, holders);
                node.membership
                    .change()
                    .propose(Duration::ZERO, MANAGER_TICKET, change);
                node.asked_under = Some(version);
            }
        });
    }

    fn wipe(&mut self, bound: &Bound, place: u8) {
        let id = self.change(place, |node| {
            node.is_running = false;
            node.id
        });
        let successor = NodeId(id.0 + 10);
        self.add(Node::new(successor, Voter::default(), bound));
    }

    fn begin_round(&mut self, bound: &Bound, place: u8) -> Result<(), Violation> {
        let accepted = self.accepted;
        self.change(place, |node| {
            if node.read == ReadState::NotCalled {
                node.read = ReadState::Called { accepted };
            }
            node.rounds_left -= 1;
            let number = node.rounds.begin(ROUND_TIME);
            let voters = node.voter.get().map(MapName::Membership).voters();
            let waiting = voters
                .iter()
                .flat_map(|voters| &voters.holders)
                .map(|holder| holder.node)
                .collect();
            node.round_open = Some((number, waiting));
        });
        self.finish_read(bound, place)
    }

    fn answer_round(&mut self, bound: &Bound, place: u8, voter: u8) -> Result<(), Violation> {
        let teller = self.node(voter);
        let (from, versions) = (teller.id, teller.voter.get().possible());
        self.change(place, |node| {
            let voters = node.voter.get().map(MapName::Membership).voters();
            let majority = voters.map_or(usize::MAX, VoterSet::majority);
            if let Some((number, waiting)) = &mut node.round_open {
                waiting.remove(&from);
                node.rounds.answer(from, *number, versions, majority);
            }
        });
        self.finish_read(bound, place)
    }

    /// Answers the read if the node may, and checks what it answers.
    fn finish_read(&mut self, bound: &Bound, place: u8) -> Result<(), Violation> {
        let node = self.node(place);
        let ReadState::Called { accepted } = node.read else {
            return Ok(());
        };
        let read = node.version(MapName::Configuration);
        let membership = node.version(MapName::Membership);
        let is_sure = node.rounds.confirmed(ROUND_TIME).is_some_and(|round| {
            let under =
                bound.mistake == Mistake::ReadsUnderOldMembership || round.is_under(membership);
            under && round.versions[MapName::Configuration.index()] <= read
        });
        if !is_sure && bound.mistake != Mistake::ReadsWithoutRound {
            return Ok(());
        }
        // Why then: by an earlier round a call is answered in the moment in which it comes.
        let accepted = match bound.mistake {
            Mistake::ReadsByEarlierRound => self.accepted,
            _ => accepted,
        };
        if read < accepted {
            let node = node.id;
            return Err(Violation::StaleRead {
                node,
                read,
                accepted,
            });
        }
        self.change(place, |node| {
            node.read = ReadState::Answered;
            node.round_open = None;
            node.rounds = Rounds::default();
        });
        Ok(())
    }
}
