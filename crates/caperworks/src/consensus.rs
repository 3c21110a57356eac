//! Agreement on the next version of a map: no log and no leader.
//!
//! Each version is decided by a two-phase ballot among the voters. A [`Voter`] votes on version N+1
//! only if it holds N, and repairs first if it is behind. A [`Proposer`] that finds a change
//! already taken by some voter finishes that change before its own.

use crate::prelude::*;

messages! {
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    struct Ballot {
        0 round: u64,
        1 node: NodeId,
    }

    #[derive(Eq)]
    struct AcceptedProposal {
        0 ballot: Ballot,
        1 change: Change,
    }

    /// What one voter holds of one map, as it lies on disk.
    #[derive(Eq)]
    struct Copy {
        0 map: ReplicatedMap,
        1 promised: Ballot,
        2 accepted: Option<AcceptedProposal>,
    }

    #[derive(Eq)]
    struct NumberedChange {
        0 version: Version,
        1 change: Change,
    }

    /// One line of the short log between two slots.
    #[derive(Eq)]
    enum Record {
        0 Promised { 0 map: MapName, 1 version: Version, 2 ballot: Ballot },
        1 Accepted { 0 map: MapName, 1 version: Version, 2 accepted: AcceptedProposal },
        2 Committed { 0 map: MapName, 1 version: Version, 2 change: Change },
    }

    #[derive(Eq)]
    enum ConsensusMessage {
        0 Prepare { 0 map: MapName, 1 membership: Version, 2 version: Version, 3 ballot: Ballot },
        1 Promise { 0 map: MapName, 1 version: Version, 2 ballot: Ballot, 3 accepted: Option<AcceptedProposal> },
        2 Accept { 0 map: MapName, 1 membership: Version, 2 version: Version, 3 ballot: Ballot, 4 change: Change },
        3 Accepted { 0 map: MapName, 1 version: Version, 2 ballot: Ballot },
        4 Reject { 0 map: MapName, 1 version: Version, 2 ballot: Ballot, 3 promised: Ballot, 4 holds: Version },
        5 Commit { 0 map: MapName, 1 version: Version, 2 change: Change },
        6 CatchUp { 0 map: MapName, 1 after: Version },
        7 News { 0 map: MapName, 1 changes: Vec<NumberedChange> },
        8 Whole { 0 map: MapName, 1 whole: ReplicatedMap },
    }
}

impl Ballot {
    pub const NONE: Ballot = Ballot {
        round: 0,
        node: NodeId(0),
    };
}

impl Copy {
    pub fn empty() -> Self {
        Self {
            map: ReplicatedMap::empty(),
            promised: Ballot::NONE,
            accepted: None,
        }
    }

    /// The highest version that may have been accepted, as far as this copy can tell.
    ///
    /// Why it counts a taken change: a majority may have taken it and a yes may have been said,
    /// so whoever asks how fresh it is must not be told less.
    pub fn possible(&self) -> Version {
        match self.accepted {
            Some(_) => self.map.version.next(),
            None => self.map.version,
        }
    }
}

/// What a voter wants done after an input. The replies may leave only once the records are synced.
#[derive(Debug, Default, PartialEq)]
pub struct VoterOutcome {
    pub records: Vec<Record>,
    pub replies: Vec<ConsensusMessage>,
    /// The maps that moved on to a later version.
    pub moved: Vec<MapName>,
    /// A whole map was taken over: the log cannot carry it, a slot must be written.
    pub rewrite: bool,
}

/// The voting part of a node: one copy of each map.
#[derive(Debug, Clone)]
pub struct Voter {
    copies: Vec<Copy>,
    histories: Vec<History>,
}

impl Default for Voter {
    fn default() -> Self {
        Self::restored(ALL_MAPS.iter().map(|_| Copy::empty()).collect())
    }
}

impl Voter {
    pub fn restored(copies: Vec<Copy>) -> Self {
        let histories = copies.iter().map(|_| History::default()).collect();
        Self { copies, histories }
    }

    pub fn copies(&self) -> &[Copy] {
        &self.copies
    }

    pub fn copy(&self, name: MapName) -> &Copy {
        &self.copies[name.index()]
    }

    pub fn map(&self, name: MapName) -> &ReplicatedMap {
        &self.copies[name.index()].map
    }

    pub fn possible(&self) -> Vec<Version> {
        self.copies.iter().map(Copy::possible).collect()
    }

    /// Plays a record of the log again after a restart.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Promised {
                map,
                version,
                ballot,
            } => {
                let copy = &mut self.copies[map.index()];
                if copy.map.version.next() == version {
                    copy.promised = copy.promised.max(ballot);
                }
            }
            Record::Accepted {
                map,
                version,
                accepted,
            } => {
                let copy = &mut self.copies[map.index()];
                if copy.map.version.next() == version {
                    copy.promised = copy.promised.max(accepted.ballot);
                    copy.accepted = Some(accepted);
                }
            }
            Record::Committed {
                map,
                version,
                change,
            } => {
                if self.map(map).version.next() == version {
                    self.advance(map, change);
                }
            }
        }
    }

    fn advance(&mut self, name: MapName, change: Change) {
        let copy = &mut self.copies[name.index()];
        copy.map.apply(&change);
        copy.promised = Ballot::NONE;
        copy.accepted = None;
        let version = copy.map.version;
        self.histories[name.index()].push(NumberedChange { version, change });
    }

    /// What a copy that holds `after` needs to come up to ours: changes, or the whole map.
    pub fn news_after(&self, name: MapName, after: Version) -> Option<ConsensusMessage> {
        self.histories[name.index()].news_after(name, self.map(name), after)
    }

    /// Whether a vote under this membership version may be given.
    ///
    /// Why exactly ours: a voter that still held an older membership could give the same version to a
    /// proposer of the old voters after it had helped to settle things among the new ones.
    fn membership_fits(&self, membership: Version) -> bool {
        membership == self.map(MapName::Membership).version
    }

    pub fn hear(&mut self, vote: ConsensusMessage) -> VoterOutcome {
        let mut outcome = VoterOutcome::default();
        match vote {
            ConsensusMessage::Prepare {
                map,
                membership,
                version,
                ballot,
            } => {
                let fits = self.membership_fits(membership);
                let copy = &mut self.copies[map.index()];
                if fits && version == copy.map.version.next() && ballot >= copy.promised {
                    copy.promised = ballot;
                    outcome.records.push(Record::Promised {
                        map,
                        version,
                        ballot,
                    });
                    outcome.replies.push(ConsensusMessage::Promise {
                        map,
                        version,
                        ballot,
                        accepted: copy.accepted.clone(),
                    });
                } else {
                    self.reject(&mut outcome, map, version, ballot, membership);
                }
            }
            ConsensusMessage::Accept {
                map,
                membership,
                version,
                ballot,
                change,
            } => {
                let fits = self.membership_fits(membership);
                let copy = &mut self.copies[map.index()];
                if fits && version == copy.map.version.next() && ballot >= copy.promised {
                    copy.promised = ballot;
                    let accepted = AcceptedProposal { ballot, change };
                    copy.accepted = Some(accepted.clone());
                    outcome.records.push(Record::Accepted {
                        map,
                        version,
                        accepted,
                    });
                    outcome.replies.push(ConsensusMessage::Accepted {
                        map,
                        version,
                        ballot,
                    });
                } else {
                    self.reject(&mut outcome, map, version, ballot, membership);
                }
            }
            ConsensusMessage::Commit {
                map,
                version,
                change,
            } => {
                if self.map(map).version.next() == version {
                    outcome.records.push(Record::Committed {
                        map,
                        version,
                        change: change.clone(),
                    });
                    self.advance(map, change);
                    outcome.moved.push(map);
                } else if self.map(map).version.next() < version {
                    let after = self.map(map).version;
                    outcome
                        .replies
                        .push(ConsensusMessage::CatchUp { map, after });
                }
            }
            ConsensusMessage::CatchUp { map, after } => {
                outcome.replies.extend(self.news_after(map, after))
            }
            ConsensusMessage::News { map, changes } => {
                for numbered in changes {
                    if self.map(map).version.next() == numbered.version {
                        outcome.records.push(Record::Committed {
                            map,
                            version: numbered.version,
                            change: numbered.change.clone(),
                        });
                        self.advance(map, numbered.change);
                        outcome.moved = vec![map];
                    }
                }
            }
            ConsensusMessage::Whole { map, whole } => {
                // Why only upwards: a copy never goes back to a lower version.
                if whole.version > self.map(map).version {
                    self.copies[map.index()] = Copy {
                        map: whole,
                        promised: Ballot::NONE,
                        accepted: None,
                    };
                    self.histories[map.index()].clear();
                    outcome.moved.push(map);
                    outcome.rewrite = true;
                }
            }
            ConsensusMessage::Promise { .. }
            | ConsensusMessage::Accepted { .. }
            | ConsensusMessage::Reject { .. } => {}
        }
        outcome
    }

    fn reject(
        &self,
        outcome: &mut VoterOutcome,
        map: MapName,
        version: Version,
        ballot: Ballot,
        membership: Version,
    ) {
        let copy = self.copy(map);
        outcome.replies.push(ConsensusMessage::Reject {
            map,
            version,
            ballot,
            promised: copy.promised,
            holds: copy.map.version,
        });
        if version <= copy.map.version {
            let after = Version(version.0.saturating_sub(1));
            outcome.replies.extend(self.news_after(map, after));
        }
        let own = self.map(MapName::Membership).version;
        if membership < own {
            outcome
                .replies
                .extend(self.news_after(MapName::Membership, membership));
        } else if membership > own {
            outcome.replies.push(ConsensusMessage::CatchUp {
                map: MapName::Membership,
                after: own,
            });
        }
    }
}

/// How a proposed change ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ProposalOutcome {
    Accepted(Version),
    Repeat(Version),
    IdTaken(Version),
    Conflicts(Vec<Conflict>),
    Faulty(Vec<Fault>),
    /// Provably not accepted: it was never offered to any voter.
    NoMajority,
    /// Not accepted, and never offered: too few agents are in touch to hold it.
    TooFewAgents,
    /// It was offered and may yet be accepted: read it back.
    Unknown,
}

#[derive(Debug, Clone)]
struct Proposal {
    ticket: u64,
    change: Change,
    since: Duration,
    offered: bool,
}

#[derive(Debug, Clone)]
enum Phase {
    Resting,
    Preparing {
        version: Version,
        ballot: Ballot,
        promises: BTreeMap<NodeId, Option<AcceptedProposal>>,
        since: Duration,
    },
    Accepting {
        version: Version,
        ballot: Ballot,
        change: Change,
        accepted_by: BTreeSet<NodeId>,
        since: Duration,
        majority_since: Option<Duration>,
    },
}

/// Spans that shape a proposer; the defaults suit machines about a millisecond apart.
#[derive(Debug, Clone)]
pub struct ProposerOptions {
    pub phase_span: Duration,
    pub second_controller_span: Duration,
    pub give_up: Duration,
    /// On how many controllers' disks a change of the configuration must be synced before it counts
    /// as accepted, however long that takes; none takes a second one if it can be had soon.
    pub synced_controllers: Option<usize>,
    /// Only for proving the observers: how many votes count as a majority, when not the truth.
    pub majority_override: Option<usize>,
    /// Only for proving the observers: of a faulty change set, the sound part is applied.
    pub applies_parts: bool,
}

impl Default for ProposerOptions {
    fn default() -> Self {
        Self {
            phase_span: Duration::from_millis(300),
            second_controller_span: Duration::from_millis(250),
            give_up: Duration::from_millis(2500),
            synced_controllers: None,
            majority_override: None,
            applies_parts: false,
        }
    }
}

/// What a proposer wants done after an input.
#[derive(Debug, Default, PartialEq)]
pub struct ProposerOutcome {
    /// To every voter.
    pub to_voters: Vec<ConsensusMessage>,
    /// To one voter that is behind.
    pub to_one: Vec<(NodeId, ConsensusMessage)>,
    pub proposal_outcomes: Vec<(u64, ProposalOutcome)>,
}

/// The proposing part of a node, for one map.
#[derive(Debug, Clone)]
pub struct Proposer {
    name: MapName,
    node: NodeId,
    options: ProposerOptions,
    pending: VecDeque<Proposal>,
    phase: Phase,
    highest_round: u64,
    rest_until: Duration,
    finish_wanted: bool,
    /// The membership that the ballot under way was begun under.
    phase_membership: Version,
    /// The membership under which a majority last showed that nothing is left half agreed.
    settled_under: Option<Version>,
}

impl Proposer {
    pub fn new(name: MapName, node: NodeId, options: ProposerOptions) -> Self {
        Self {
            name,
            node,
            options,
            pending: VecDeque::new(),
            phase: Phase::Resting,
            highest_round: 0,
            rest_until: Duration::ZERO,
            finish_wanted: false,
            phase_membership: Version(0),
            settled_under: None,
        }
    }

    pub fn propose(&mut self, now: Duration, ticket: u64, change: Change) {
        self.pending.push_back(Proposal {
            ticket,
            change,
            since: now,
            offered: false,
        });
    }

    pub fn has_work(&self) -> bool {
        !self.pending.is_empty() || self.finish_wanted
    }

    /// Asks for a ballot that finishes whatever a voter may have taken without it being chosen.
    pub fn finish(&mut self) {
        self.finish_wanted = true;
    }

    /// Whether a majority of the present membership has shown that nothing is left half agreed from
    /// the membership before.
    pub fn is_settled(&self, membership: Version) -> bool {
        self.settled_under == Some(membership)
    }

    /// Gives up on proposals that are over their time, and moves a stuck ballot on.
    pub fn tick(&mut self, now: Duration, voter: &Voter, chance: &mut Chance) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        let give_up = self.options.give_up;
        self.pending.retain(|proposal| {
            let over = now.saturating_sub(proposal.since) >= give_up;
            if over {
                // Why two answers: once a voter may have taken it, it can still be accepted by
                // whoever finishes that ballot, so saying "not accepted" would be a lie.
                let proposal_outcome = if proposal.offered {
                    ProposalOutcome::Unknown
                } else {
                    ProposalOutcome::NoMajority
                };
                outcome
                    .proposal_outcomes
                    .push((proposal.ticket, proposal_outcome));
            }
            !over
        });
        self.drop_ballot_of_old_membership(voter);
        let stuck = match &self.phase {
            Phase::Resting => false,
            Phase::Preparing { since, version, .. } => {
                now.saturating_sub(*since) >= self.options.phase_span
                    || *version != voter.map(self.name).version.next()
            }
            Phase::Accepting { since, version, .. } => {
                now.saturating_sub(*since) >= 2 * self.options.phase_span
                    || *version != voter.map(self.name).version.next()
            }
        };
        if stuck {
            self.phase = Phase::Resting;
            // Why by chance: two proposers that keep in step would outbid each other for ever.
            self.rest_until =
                now + chance.between(Duration::from_millis(1), Duration::from_millis(80));
        }
        self.settle_offer(now, voter, &mut outcome);
        self.begin(now, voter, &mut outcome);
        outcome
    }

    /// Why: votes gathered under one membership say nothing of a majority of another.
    fn drop_ballot_of_old_membership(&mut self, voter: &Voter) {
        if self.phase_membership != voter.map(MapName::Membership).version {
            self.phase = Phase::Resting;
        }
    }

    /// Starts a ballot if there is something to decide and none is under way.
    fn begin(&mut self, now: Duration, voter: &Voter, outcome: &mut ProposerOutcome) {
        if !matches!(self.phase, Phase::Resting) || now < self.rest_until {
            return;
        }
        let copy = voter.copy(self.name);
        if copy.accepted.is_none() {
            self.answer_repeats(&copy.map, outcome);
        }
        if !self.has_work() || voter.map(MapName::Membership).voters().is_none() {
            return;
        }
        self.highest_round = self.highest_round.max(copy.promised.round) + 1;
        let ballot = Ballot {
            round: self.highest_round,
            node: self.node,
        };
        let version = copy.map.version.next();
        self.phase_membership = voter.map(MapName::Membership).version;
        self.phase = Phase::Preparing {
            version,
            ballot,
            promises: BTreeMap::new(),
            since: now,
        };
        outcome.to_voters.push(ConsensusMessage::Prepare {
            map: self.name,
            membership: voter.map(MapName::Membership).version,
            version,
            ballot,
        });
    }

    /// Answers the proposals at the head that the map is known to have accepted.
    ///
    /// Why nothing else before a ballot: our copy may be behind, and a change that it cannot take may
    /// fit the map as it is; a controller without its disk would call every change faulty.
    fn answer_repeats(&mut self, map: &ReplicatedMap, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let Standpoint::Repeat(version) = map.weigh(&proposal.change) else {
                return;
            };
            let proposal_outcome = match proposal.offered {
                true => ProposalOutcome::Accepted(version),
                false => ProposalOutcome::Repeat(version),
            };
            outcome
                .proposal_outcomes
                .push((proposal.ticket, proposal_outcome));
            self.pending.pop_front();
        }
    }

    /// Answers the proposals at the head that the map has already settled.
    ///
    /// Only after a majority has promised: then the map is known to be the latest.
    fn answer_settled(&mut self, map: &ReplicatedMap, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let proposal_outcome = match map.weigh(&proposal.change) {
                Standpoint::Repeat(version) if proposal.offered => {
                    ProposalOutcome::Accepted(version)
                }
                Standpoint::Repeat(version) => ProposalOutcome::Repeat(version),
                Standpoint::IdTaken(version) => ProposalOutcome::IdTaken(version),
                // Why not yet: an offered change that no longer fits lost its version to another,
                // but only the decided map may say so; it does, since this map is decided.
                Standpoint::Conflicts(conflicts) => ProposalOutcome::Conflicts(conflicts),
                Standpoint::Fits => {
                    let faults = match self.name {
                        MapName::Configuration => check_configuration(map, &proposal.change),
                        _ => Vec::new(),
                    };
                    if faults.is_empty() {
                        return;
                    }
                    if self.options.applies_parts {
                        self.keep_sound_part(map, &faults, outcome);
                        return;
                    }
                    ProposalOutcome::Faulty(faults)
                }
            };
            outcome
                .proposal_outcomes
                .push((proposal.ticket, proposal_outcome));
            self.pending.pop_front();
        }
    }

    /// Only for proving the observers: refuses a change set and proposes what is sound of it.
    fn keep_sound_part(
        &mut self,
        map: &ReplicatedMap,
        faults: &[Fault],
        outcome: &mut ProposerOutcome,
    ) {
        if let Some(proposal) = self.pending.front_mut() {
            let proposal_outcome = ProposalOutcome::Faulty(faults.to_vec());
            outcome
                .proposal_outcomes
                .push((proposal.ticket, proposal_outcome));
            proposal.ticket = u64::MAX;
            let id = proposal.change.id.clone();
            proposal.change.puts.retain(|put| {
                let alone = Change {
                    id: id.clone(),
                    puts: vec![put.clone()],
                    guards: Vec::new(),
                };
                check_configuration(map, &alone).is_empty()
            });
        }
    }

    pub fn hear(
        &mut self,
        now: Duration,
        from: NodeId,
        vote: &ConsensusMessage,
        voter: &Voter,
    ) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        let Some(voters) = voter.map(MapName::Membership).voters() else {
            return outcome;
        };
        if voters.holder(from).is_none() {
            return outcome;
        }
        self.drop_ballot_of_old_membership(voter);
        match (vote, &mut self.phase) {
            (
                ConsensusMessage::Promise {
                    version,
                    ballot,
                    accepted,
                    ..
                },
                Phase::Preparing {
                    version: asked,
                    ballot: own,
                    promises,
                    ..
                },
            ) if version == asked && ballot == own => {
                promises.insert(from, accepted.clone());
                let enough = self.options.majority_override.unwrap_or(voters.majority());
                if promises.len() >= enough {
                    self.offer(now, voter, &mut outcome);
                }
            }
            (
                ConsensusMessage::Accepted {
                    version, ballot, ..
                },
                Phase::Accepting {
                    version: offered,
                    ballot: own,
                    accepted_by,
                    ..
                },
            ) if version == offered && ballot == own => {
                accepted_by.insert(from);
                self.settle_offer(now, voter, &mut outcome);
            }
            (
                ConsensusMessage::Reject {
                    ballot,
                    promised,
                    holds,
                    version,
                    ..
                },
                phase,
            ) => {
                let own = match phase {
                    Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => {
                        Some(*ballot)
                    }
                    Phase::Resting => None,
                };
                if own == Some(*ballot) {
                    self.highest_round = self.highest_round.max(promised.round);
                    if *holds < Version(version.0 - 1) {
                        let news = voter.news_after(self.name, *holds);
                        outcome.to_one.extend(news.map(|news| (from, news)));
                    }
                }
            }
            _ => {}
        }
        outcome
    }

    fn offer(&mut self, now: Duration, voter: &Voter, outcome: &mut ProposerOutcome) {
        let Phase::Preparing {
            version,
            ballot,
            promises,
            ..
        } = &self.phase
        else {
            return;
        };
        let (version, ballot) = (*version, *ballot);
        let found = promises
            .values()
            .flatten()
            .max_by_key(|accepted| accepted.ballot)
            .map(|accepted| accepted.change.clone());
        let change = match found {
            // Why another's first: it may already have a majority and its writer a yes.
            Some(change) => change,
            None => {
                self.finish_wanted = false;
                self.settled_under = Some(self.phase_membership);
                self.answer_settled(voter.map(self.name), outcome);
                match self.pending.front() {
                    Some(proposal) => proposal.change.clone(),
                    None => {
                        self.phase = Phase::Resting;
                        return;
                    }
                }
            }
        };
        if let Some(proposal) = self.pending.front_mut() {
            proposal.offered |= proposal.change.id == change.id;
        }
        self.phase = Phase::Accepting {
            version,
            ballot,
            change: change.clone(),
            accepted_by: BTreeSet::new(),
            since: now,
            majority_since: None,
        };
        outcome.to_voters.push(ConsensusMessage::Accept {
            map: self.name,
            membership: voter.map(MapName::Membership).version,
            version,
            ballot,
            change,
        });
    }

    fn settle_offer(&mut self, now: Duration, voter: &Voter, outcome: &mut ProposerOutcome) {
        let Phase::Accepting {
            version,
            change,
            accepted_by,
            majority_since,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let Some(voters) = voter.map(MapName::Membership).voters() else {
            return;
        };
        let enough = self.options.majority_override.unwrap_or(voters.majority());
        if accepted_by.len() < enough || *version != voter.map(self.name).version.next() {
            return;
        }
        let controllers = accepted_by
            .iter()
            .filter(|node| {
                voters
                    .holder(**node)
                    .is_some_and(|holder| holder.controller)
            })
            .count();
        let since = *majority_since.get_or_insert(now);
        let waited = now.saturating_sub(since) >= self.options.second_controller_span;
        // Why a second controller: one machine that says yes and then loses its disk must not take
        // the only synced copy with it; but one that cannot be reached must not stop the core.
        let synced = self
            .options
            .synced_controllers
            .filter(|_| self.name == MapName::Configuration);
        let enough = match synced {
            // Why never fewer: so many disks may be wiped right after the yes while all others lose
            // power, and one more must still hold it.
            Some(needed) => controllers >= needed,
            None => controllers >= 2 || waited || self.options.majority_override.is_some(),
        };
        if controllers == 0 || !enough {
            return;
        }
        let (version, change) = (*version, change.clone());
        self.phase = Phase::Resting;
        self.rest_until = Duration::ZERO;
        if self
            .pending
            .front()
            .is_some_and(|first| first.change.id == change.id)
        {
            if let Some(proposal) = self.pending.pop_front() {
                outcome
                    .proposal_outcomes
                    .push((proposal.ticket, ProposalOutcome::Accepted(version)));
            }
        }
        outcome.to_voters.push(ConsensusMessage::Commit {
            map: self.name,
            version,
            change,
        });
    }
}
