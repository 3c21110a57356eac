//! Controllers for votes, rounds and founding.

use crate::prelude::*;

const ROUND_PERIOD: Duration = Duration::from_millis(200);
const SEED_PERIOD: Duration = Duration::from_millis(400);
const BEHIND_SPAN: Duration = Duration::from_millis(500);

/// Hands a vote to our voter and to our proposers.
pub fn hear_vote(
    state: &mut ControllerState,
    from: NodeId,
    reply_to: SocketAddr,
    vote: ConsensusMessage,
) {
    let needs_disk = matches!(
        vote,
        ConsensusMessage::Prepare { .. } | ConsensusMessage::Accept { .. }
    );
    // Why: only a voter votes, and a voter that cannot write cannot keep its word.
    if needs_disk && (!state.is_voter() || state.ailing) {
        return;
    }
    let now = state.now;
    if let ConsensusMessage::Promise { map, .. }
    | ConsensusMessage::Accepted { map, .. }
    | ConsensusMessage::Reject { map, .. } = &vote
    {
        let index = map.index();
        let outcome = state.proposers[index].hear(now, from, &vote, &state.voter);
        act_on_proposer(state, outcome);
        return;
    }
    let membership_before = state.map(MapName::Membership).version;
    let outcome = state.voter.hear(vote);
    let mut replies: Vec<ControllerOutput> = outcome
        .replies
        .into_iter()
        .map(|vote| ControllerOutput::Send {
            to: reply_to,
            message: Message::ConsensusMessage { vote },
        })
        .collect();
    if outcome.rewrite {
        state.write_slot(std::mem::take(&mut replies));
    } else if !outcome.records.is_empty() {
        state.write_records(&outcome.records, std::mem::take(&mut replies));
    }
    state.outputs.append(&mut replies);
    for map in outcome.moved {
        let version = state.map(map).version;
        state.note(Event::MapMoved { map, version });
        if map == MapName::Membership {
            state.rounds.begin_anew(membership_before);
            // Why at once: until a round under these voters ends, nothing can be vouched for anew.
            state.next_round_at = now;
        }
    }
}

pub fn act_on_proposer(state: &mut ControllerState, outcome: ProposerOutcome) {
    let voters = state.map(MapName::Membership).voter_addresses(false);
    for (node, vote) in outcome.to_one {
        if let Some(to) = state.address_of(node) {
            state.send(to, Message::ConsensusMessage { vote });
        }
    }
    for vote in outcome.to_voters {
        for to in &voters {
            state.send(*to, Message::ConsensusMessage { vote: vote.clone() });
        }
        // Why also to ourselves when we hold no voter: the chosen change is ours to know.
        if matches!(vote, ConsensusMessage::Commit { .. })
            && !voters.contains(&state.options.control)
        {
            let to = state.options.control;
            state.send(to, Message::ConsensusMessage { vote });
        }
    }
    for (ticket, proposal_outcome) in outcome.proposal_outcomes {
        let Some(asker) = state.askers.try_remove(ticket as usize) else {
            continue;
        };
        match (asker, proposal_outcome) {
            (
                Asker::Operator(ticket),
                proposal_outcome @ (ProposalOutcome::Accepted(version)
                | ProposalOutcome::Repeat(version)),
            ) => {
                let otherwise = OperatorAnswer::ProposalOutcome {
                    proposal_outcome: ProposalOutcome::Unknown,
                };
                let answer = OperatorAnswer::ProposalOutcome { proposal_outcome };
                agents::answer_when_held(state, ticket, version, answer, otherwise);
            }
            (Asker::Operator(ticket) | Asker::Roster(ticket), proposal_outcome) => {
                let answer = OperatorAnswer::ProposalOutcome { proposal_outcome };
                state
                    .outputs
                    .push(ControllerOutput::Answer { ticket, answer });
            }
            // Why noted: a leadership role's write that comes late is refused, and operators may wonder.
            (asker, ProposalOutcome::Conflicts(conflicts)) => {
                let items: Vec<&str> = conflicts
                    .iter()
                    .map(|conflict| conflict.key.as_str())
                    .collect();
                let what = format!("{asker:?}: {}", items.join(", "));
                state.note(Event::FencedOff { what });
            }
            _ => {}
        }
    }
}

/// Moves ballots on, and finishes what someone took and nobody chose.
pub fn tick_proposers(state: &mut ControllerState) {
    let now = state.now;
    for name in ALL_MAPS {
        let index = name.index();
        let version = state.map(name).version;
        let ahead = state
            .rounds
            .latest(now)
            .is_some_and(|round| round.versions[index] > version)
            || state.voter.copy(name).accepted.is_some();
        if ahead {
            let since = *state.behind_since[index].get_or_insert(now);
            // Why by node: not all controllers should finish the same change at the same moment.
            let patience = BEHIND_SPAN + Duration::from_millis(mix(state.node.0) % 200);
            if now.saturating_sub(since) >= patience {
                state.proposers[index].finish();
                state.behind_since[index] = None;
            }
        } else {
            state.behind_since[index] = None;
        }
        let outcome = state.proposers[index].tick(now, &state.voter, &mut state.chance);
        act_on_proposer(state, outcome);
    }
}

pub fn tick_rounds(state: &mut ControllerState) {
    if state.now < state.next_round_at {
        return;
    }
    state.next_round_at = state.now + ROUND_PERIOD;
    let number = state.rounds.begin(state.now);
    let voters = state.map(MapName::Membership).voter_addresses(false);
    // Why the others too: a controller without a voter still takes part in what is heard of late.
    let mut asked: BTreeSet<SocketAddr> = voters.into_iter().collect();
    asked.extend(state.other_controllers());
    for to in asked {
        state.send(to, Message::RoundAsk { number });
    }
}

pub fn hear_round_ask(state: &mut ControllerState, reply_to: SocketAddr, number: u64) {
    if state.map(MapName::Membership).version == Version(0) {
        return;
    }
    let versions = state.voter.possible();
    let synced = Some(state.synced_versions.clone());
    let answer = Message::RoundAnswer {
        number,
        versions,
        synced,
    };
    state.send(reply_to, answer);
}

/// Takes in what a node holds, by which it may take a role up, and what of it is on its disk, by
/// which it may join the voters or be handed a role.
pub fn hear_versions(
    state: &mut ControllerState,
    from: NodeId,
    held: &[Version],
    synced: Option<Vec<Version>>,
) {
    let own = state.versions();
    let is_level = held.iter().zip(&own).all(|(held, own)| held >= own);
    state.liveness.hear_level(state.now, from, is_level);
    state
        .heard_versions
        .insert(from, synced.unwrap_or_default());
}

pub fn hear_round_answer(
    state: &mut ControllerState,
    from: NodeId,
    reply_to: SocketAddr,
    number: u64,
    versions: Vec<Version>,
) {
    if versions.len() != ALL_MAPS.len() {
        return;
    }
    state.liveness.hear(state.now, from);
    for name in ALL_MAPS {
        let own = state.voter.copy(name).possible();
        if versions[name.index()] > own {
            let after = state.map(name).version;
            let vote = ConsensusMessage::CatchUp { map: name, after };
            state.send(reply_to, Message::ConsensusMessage { vote });
        }
    }
    let Some(majority) = state
        .voters()
        .filter(|voters| voters.holder(from).is_some())
        .map(VoterSet::majority)
    else {
        return;
    };
    state.rounds.answer(from, number, versions, majority);
}

/// Asks the seeds who they are until the membership is known, and founds it when all are new.
pub fn tick_founding(state: &mut ControllerState) {
    if state.now < state.ask_seeds_at {
        return;
    }
    state.ask_seeds_at = state.now + SEED_PERIOD;
    let unknown = state.map(MapName::Membership).version == Version(0);
    let seeds = state.options.seeds.clone();
    if unknown || !state.is_voter() {
        // Why all controllers that are known: whoever has the voter management role may be none of our seeds.
        for controller in state.other_controllers() {
            let zone = state.options.zone.clone();
            let founded = !unknown;
            state.send(controller, Message::SeedAsk { zone, founded });
        }
    }
    // Why only if told so: a disk that is empty later was lost, and what it held is elsewhere.
    let may_found = state.options.core.may_found;
    if !unknown || !may_found || seeds.first() != Some(&state.options.control) {
        return;
    }
    let others: Vec<(SocketAddr, SeedSeen)> = seeds
        .iter()
        .filter_map(|seed| Some((*seed, state.seeds.get(seed)?.clone())))
        .filter(|(_, seen)| !seen.founded)
        .collect();
    // Why all of them: a membership founded by some while others remember an older one is a fork.
    if others.len() + 1 != seeds.len() {
        return;
    }
    let mut holders = vec![VoterEntry {
        node: state.node,
        address: state.options.control,
        zone: state.options.zone.clone(),
        controller: true,
    }];
    holders.extend(others.iter().map(|(address, seen)| VoterEntry {
        node: seen.node,
        address: *address,
        zone: seen.zone.clone(),
        controller: true,
    }));
    let founding = Founding {
        attempt: state.chance.draw(),
        voters: VoterSet { holders },
    };
    state.found_took.clear();
    for seed in seeds {
        let founding = founding.clone();
        state.send(seed, Message::FoundAsk { founding });
    }
}

pub fn hear_seed_ask(state: &mut ControllerState, reply_to: SocketAddr, seen: SeedSeen) {
    // Why remembered: this is how a controller at a new address is found, and how one that lost its
    // disk at an old address is known for another; it waits for a voter under its new number.
    state.seeds.insert(reply_to, seen);
    let message = Message::SeedAnswer {
        zone: state.options.zone.clone(),
        founded: state.map(MapName::Membership).version > Version(0),
    };
    state.send(reply_to, message);
}

pub fn hear_seed_answer(state: &mut ControllerState, reply_to: SocketAddr, seen: SeedSeen) {
    let founded = seen.founded;
    state.seeds.insert(reply_to, seen);
    if founded && state.map(MapName::Membership).version == Version(0) {
        for name in ALL_MAPS {
            let vote = ConsensusMessage::CatchUp {
                map: name,
                after: Version(0),
            };
            state.send(reply_to, Message::ConsensusMessage { vote });
        }
    }
}

pub fn hear_found_ask(state: &mut ControllerState, reply_to: SocketAddr, founding: Founding) {
    let ours = founding.voters.holder(state.node).is_some();
    let may_found = state.options.core.may_found;
    if state.map(MapName::Membership).version > Version(0) || !ours || !may_found {
        return;
    }
    let attempt = founding.attempt;
    state.founding = Some(founding);
    let reply = ControllerOutput::Send {
        to: reply_to,
        message: Message::FoundTook { attempt },
    };
    state.write_slot(vec![reply]);
}

pub fn hear_found_took(state: &mut ControllerState, from: NodeId, attempt: u64) {
    let Some(founding) = state.founding.clone().filter(|founding| {
        founding.attempt == attempt && state.map(MapName::Membership).version == Version(0)
    }) else {
        return;
    };
    state.found_took.insert(from);
    let all = founding
        .voters
        .holders
        .iter()
        .all(|holder| state.found_took.contains(&holder.node));
    if !all {
        return;
    }
    let change = Change {
        id: ChangeId::new(format!("founding-{attempt:x}")),
        puts: vec![Put {
            key: "seats".to_string(),
            expected: Some(Version(0)),
            value: Some(Value::VoterSet {
                voters: founding.voters.clone(),
            }),
            written: None,
        }],
        guards: Vec::new(),
    };
    for holder in &founding.voters.holders {
        let vote = ConsensusMessage::Commit {
            map: MapName::Membership,
            version: Version(1),
            change: change.clone(),
        };
        state.send(holder.address, Message::ConsensusMessage { vote });
    }
    state.note(Event::Founded);
}
