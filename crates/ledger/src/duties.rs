//! Controllers for the duties: the solver, the tenure keeper, and who has them.

use crate::prelude::*;

const PLAN_PERIOD: Duration = Duration::from_millis(200);
/// How long a new holder listens before it acts on facts, so that it has heard everyone once.
const LISTEN_SPAN: Duration = Duration::from_millis(1200);

pub fn tick_duties(board: &mut Blackboard) {
    let now = board.now;
    for index in 0..board.duties.len() {
        let step = {
            let cohort = board.seat.book(BookName::Cohort);
            board.duties[index].step(now, board.node, cohort, &board.rounds, &board.liveness)
        };
        let name = board.duties[index].name;
        match step {
            DutyStep::Rest => {
                if name == TENURE {
                    board.keeper_epoch = None;
                }
            }
            DutyStep::Take { term, expected } => {
                if !board.asked(&Asker::Duty(name)) {
                    board.note(Event::DutyWanted {
                        duty: name,
                        epoch: term.epoch,
                    });
                    let key = format!("duty/{name}");
                    let value = Value::Duty { term };
                    let change = single_put(board, name, key, expected, value);
                    board.propose(BookName::Cohort, Asker::Duty(name), change);
                }
            }
            DutyStep::Hold { epoch, held } => match name {
                SOLVER => solve(board, epoch, held),
                TENURE => keep(board, epoch, held),
                _ => {}
            },
        }
    }
}

fn single_put(
    board: &mut Blackboard,
    what: &str,
    key: String,
    expected: Edition,
    value: Value,
) -> Change {
    Change {
        id: board.own_change_id(what),
        puts: vec![Put {
            key,
            expected: Some(expected),
            value: Some(value),
        }],
        guards: Vec::new(),
    }
}

/// Whether the book is fenced under our epoch; if not, sees to it.
fn fenced(board: &mut Blackboard, book: BookName, epoch: Epoch) -> Option<Guard> {
    if !board.is_current(book) {
        return None;
    }
    let present = board.book(book).fence().map_or(Epoch(0), |term| term.epoch);
    let expected = board.book(book).present(FENCE);
    if present == epoch {
        return Some(Guard {
            key: FENCE.to_string(),
            expected,
        });
    }
    if present < epoch && !board.asked(&Asker::Fence(book)) {
        let term = DutyTerm {
            holder: board.node,
            epoch,
        };
        let value = Value::Duty { term };
        let change = single_put(board, "fence", FENCE.to_string(), expected, value);
        board.propose(book, Asker::Fence(book), change);
    }
    None
}

fn solve(board: &mut Blackboard, epoch: Epoch, held: Duration) {
    let Some(guard) = fenced(board, BookName::Placement, epoch) else {
        return;
    };
    // Why a standing book as well: a mapping of rules that are gone helps nobody.
    if held < LISTEN_SPAN || board.asked(&Asker::Solver) || !board.is_current(BookName::Standing) {
        return;
    }
    // Why nothing when there is no proxy at all: the last mapping is then the best there is.
    if board.members.ready_proxies().next().is_none() {
        return;
    }
    let now = board.now;
    let view = ProblemView {
        standing: board.seat.book(BookName::Standing),
        instances: &board.instances,
        members: &board.members,
        last: board.seat.book(BookName::Placement).mapping(),
    };
    let Some(mapping) = board.solver.step(now, epoch, &view) else {
        return;
    };
    if !worth_writing(view.last, &mapping) {
        return;
    }
    let expected = board.book(BookName::Placement).present("mapping");
    let value = Value::Mapping { mapping };
    let mut change = single_put(board, "mapping", "mapping".to_string(), expected, value);
    change.guards.push(guard);
    board.propose(BookName::Placement, Asker::Solver, change);
}

fn keep(board: &mut Blackboard, epoch: Epoch, held: Duration) {
    let Some(guard) = fenced(board, BookName::Tenure, epoch) else {
        return;
    };
    if board.keeper_epoch != Some(epoch) {
        board.keeper_epoch = Some(epoch);
        board.keeper_since = board.now;
        board.keeper.take_up(board.now);
        board.keeper.hasty = board.options.broken == Broken::HastyKeeper;
        board.note(Event::KeeperTookUp { epoch });
    }
    let now = board.now;
    if held < LISTEN_SPAN || now < board.plan_at || board.asked(&Asker::Tenure) {
        return;
    }
    board.plan_at = now + PLAN_PERIOD;
    let pools: Vec<(PoolName, Pool)> = board
        .book(BookName::Standing)
        .pools()
        .filter(|(_, pool)| pool.keyed)
        .map(|(name, pool)| (name, pool.clone()))
        .collect();
    let closed: BTreeSet<Area> = board
        .book(BookName::Standing)
        .areas()
        .filter(|(_, order)| order.closed)
        .map(|(area, _)| area)
        .collect();
    for (name, pool) in pools {
        let view = TenureView {
            instances: &board.instances,
            closed: &closed,
            tenure: board.seat.book(BookName::Tenure),
        };
        let planned = board.keeper.plan(now, epoch, &name, &pool, &view);
        let Some(table) = planned else {
            continue;
        };
        let key = format!("slices/{name}");
        let expected = board.book(BookName::Tenure).present(&key);
        let value = Value::Slices { table };
        let mut change = single_put(board, "slices", key, expected, value);
        change.guards.push(guard);
        board.propose(BookName::Tenure, Asker::Tenure, change);
        return;
    }
}

/// Answers a beat: only the keeper renews holds, and only while it is sure that it is.
pub fn answer_beat(board: &mut Blackboard, beat: &Beat) -> BeatAnswer {
    let nothing = BeatAnswer {
        holds: Vec::new(),
        release: Vec::new(),
    };
    let term = board.book(BookName::Cohort).duty(TENURE).cloned();
    let ours = term
        .is_some_and(|term| term.holder == board.node && board.keeper_epoch == Some(term.epoch));
    let fence = board.book(BookName::Tenure).fence().map(|term| term.epoch);
    if !ours
        || fence != board.keeper_epoch
        || !board.is_current(BookName::Cohort)
        || !board.is_current(BookName::Tenure)
    {
        return nothing;
    }
    let now = board.now;
    let tenure = board.seat.book(BookName::Tenure);
    board.keeper.beat(now, beat, tenure)
}
