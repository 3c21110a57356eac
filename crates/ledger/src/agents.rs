//! Controllers for the agents: the roster, and whether enough of them hold what is accepted.

use crate::prelude::*;

/// How long an operator's answer waits for the agents after the change was agreed on.
const AGENTS_SPAN: Duration = Duration::from_millis(1500);

/// With how many agents the first roster begins; a fleet of fewer has no islands.
const FIRST_ROSTER: usize = 3;

/// The agents that are in touch, with the editions that each says it holds.
fn in_touch(board: &Blackboard) -> BTreeMap<SocketAddr, &Member> {
    board
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy && member.editions.len() == ALL_BOOKS.len())
        .map(|member| (member.control, member))
        .collect()
}

/// Says whether a change of the standing orders could be told yes now.
///
/// Why before it is offered: what is refused here is surely not accepted, and can be sent again.
pub fn could_say_yes(board: &Blackboard) -> bool {
    // Why: proxies that serve on ask no agents what may have been accepted.
    if board.options.core.proxies_serve_on {
        return true;
    }
    let agents = in_touch(board);
    board
        .book(BookName::Cohort)
        .roster()
        .is_none_or(|roster| roster.enough(|address| agents.contains_key(address), yes_quorum))
}

/// The highest edition of the standing orders that so many agents hold, by this roster, that every
/// majority of it has one of them.
fn held_by_agents(board: &Blackboard, roster: &Roster) -> Edition {
    let agents = in_touch(board);
    let roster_edition = board.book(BookName::Cohort).present(ROSTER);
    let held = |address: &SocketAddr| {
        agents
            .get(address)
            // Why only those that know this roster: the others may count themselves in by another.
            .filter(|member| member.editions[BookName::Cohort.index()] >= roster_edition)
            .map_or(Edition(0), |member| {
                member.editions[BookName::Standing.index()]
            })
    };
    let by_set = |set: &Vec<SocketAddr>| {
        let mut editions: Vec<Edition> = set.iter().map(held).collect();
        editions.sort_by_key(|edition| Reverse(*edition));
        editions.get(yes_quorum(set.len()) - 1).copied()
    };
    let own = board.book(BookName::Standing).edition;
    [&roster.members, &roster.before]
        .into_iter()
        .filter(|set| !set.is_empty())
        .filter_map(by_set)
        .fold(own, Edition::min)
}

/// Brings up to date what is vouched for, and gives the answers that waited for it.
pub fn answer_awaiting(board: &mut Blackboard) {
    if board.awaiting.is_empty() && board.watchers.is_empty() {
        return;
    }
    let cohort = board.book(BookName::Cohort);
    let held = match cohort.roster() {
        _ if board.options.core.proxies_serve_on => board.book(BookName::Standing).edition,
        _ if board.options.broken == Broken::HastyYes => board.book(BookName::Standing).edition,
        None => board.book(BookName::Standing).edition,
        // Why only while current: a ledger that was cut off may go by a roster that is over.
        Some(_) if !board.is_current(BookName::Cohort) => board.vouched,
        Some(roster) => held_by_agents(board, roster),
    };
    board.vouched = board.vouched.max(held);
    let (now, vouched) = (board.now, board.vouched);
    let (done, waiting): (Vec<Awaiting>, Vec<Awaiting>) = std::mem::take(&mut board.awaiting)
        .into_iter()
        .partition(|awaiting| awaiting.edition <= vouched || now >= awaiting.until);
    board.awaiting = waiting;
    for awaiting in done {
        let answer = match awaiting.edition <= vouched {
            true => awaiting.answer,
            false => awaiting.otherwise,
        };
        let ticket = awaiting.ticket;
        board.outputs.push(LedgerOutput::Answer { ticket, answer });
    }
}

/// Gives an answer as soon as enough agents hold the edition that it shows as accepted.
pub fn answer_when_held(
    board: &mut Blackboard,
    ticket: u64,
    edition: Edition,
    answer: OperatorAnswer,
    otherwise: OperatorAnswer,
) {
    let until = board.now + AGENTS_SPAN;
    board.awaiting.push(Awaiting {
        ticket,
        edition,
        until,
        answer,
        otherwise,
    });
}

/// Whether every majority of the roster has an agent that knows it.
fn is_settled(board: &Blackboard, roster: &Roster) -> bool {
    let edition = board.book(BookName::Cohort).present(ROSTER);
    let agents = in_touch(board);
    let knows = |address: &SocketAddr| {
        agents
            .get(address)
            .is_some_and(|member| member.editions[BookName::Cohort.index()] >= edition)
    };
    roster.enough(knows, yes_quorum)
}

/// The next roster, if it is due: agents join by themselves, one step after the other.
pub fn next_roster(board: &Blackboard) -> Option<Roster> {
    // Why none: islands are for proxies that fall silent, and nobody else asks for the roster.
    if board.options.core.proxies_serve_on {
        return None;
    }
    let agents = in_touch(board);
    let Some(roster) = board.book(BookName::Cohort).roster() else {
        let members: Vec<SocketAddr> = agents.into_keys().collect();
        // Why not fewer: on the word of one or two agents alone every change would wait.
        return (members.len() >= FIRST_ROSTER).then_some(Roster {
            members,
            before: Vec::new(),
        });
    };
    // Why settled first: two rosters a step apart always meet, those further apart need not.
    if !is_settled(board, roster) {
        return None;
    }
    if !roster.before.is_empty() {
        return Some(Roster {
            members: roster.members.clone(),
            before: Vec::new(),
        });
    }
    let joining = agents
        .into_keys()
        .filter(|address| !roster.members.contains(address));
    let members: Vec<SocketAddr> = roster.members.iter().copied().chain(joining).collect();
    (members.len() > roster.members.len()).then(|| Roster {
        members,
        before: roster.members.clone(),
    })
}

/// The roster without these agents, or why that may not be.
pub fn roster_without(board: &Blackboard, dropped: &[SocketAddr]) -> Result<Roster, Vec<Fault>> {
    let refuse = |field: &str, why: String| Err(vec![Fault::new(field, why)]);
    let Some(roster) = board.book(BookName::Cohort).roster() else {
        return refuse("drop", "there is no roster yet".to_string());
    };
    let agents = in_touch(board);
    for (place, address) in dropped.iter().enumerate() {
        let field = format!("drop[{place}]");
        if !roster.members.contains(address) {
            return refuse(&field, format!("{address} is not on the roster"));
        }
        if agents.contains_key(address) {
            let why = format!("{address} is in touch and would join again: stop it first");
            return refuse(&field, why);
        }
    }
    if !roster.before.is_empty() || !is_settled(board, roster) {
        let why = "the roster changed a moment ago or too few agents know it: try again";
        return refuse("drop", why.to_string());
    }
    let kept = |address: &&SocketAddr| !dropped.contains(address);
    let next = Roster {
        members: roster.members.iter().filter(kept).copied().collect(),
        before: roster.members.clone(),
    };
    if !next.enough(|address| agents.contains_key(address), majority_of) {
        let why = "fewer than a majority of the old or of the new roster are in touch";
        return refuse("drop", why.to_string());
    }
    Ok(next)
}

/// The agents on the roster, and whether each is in touch.
pub fn roster_in_touch(board: &Blackboard) -> Vec<(SocketAddr, bool)> {
    let agents = in_touch(board);
    let roster = board.book(BookName::Cohort).roster();
    let listed = roster.into_iter().flat_map(Roster::everyone);
    listed
        .map(|address| (address, agents.contains_key(&address)))
        .collect()
}
