//! Controllers for the duties: the solver, the tenure keeper, and who has them.

use crate::prelude::*;

const PLAN_PERIOD: Duration = Duration::from_millis(200);

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
            // Why not: whoever is about to stop takes nothing up.
            DutyStep::Take { .. } if board.stopping_since.is_some() => {}
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
            DutyStep::Hold { epoch, .. } if board.stopping_since.is_some() => {
                hand_on(board, name, epoch);
            }
            DutyStep::Hold { epoch, held } => match name {
                SOLVER => solve(board, epoch, held),
                TENURE => keep(board, epoch, held),
                _ => seat(board, held),
            },
        }
    }
}

/// Gives a duty to the next live ledger in the order, before this one stops.
fn hand_on(board: &mut Blackboard, name: &'static str, epoch: Epoch) {
    let next = board.seats().and_then(|seats| {
        let ledgers = seats.holders.iter().filter(|holder| holder.ledger);
        ledgers
            .map(|holder| holder.node)
            .find(|node| *node != board.node && board.liveness.alive(board.now, *node))
    });
    let Some(holder) = next.filter(|_| !board.asked(&Asker::Duty(name))) else {
        return;
    };
    let term = DutyTerm {
        holder,
        epoch: epoch.next(),
    };
    let key = format!("duty/{name}");
    let expected = board.book(BookName::Cohort).present(&key);
    let change = single_put(board, name, key, expected, Value::Duty { term });
    board.propose(BookName::Cohort, Asker::Duty(name), change);
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
            written: None,
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
    if held < board.options.core.listen
        || board.asked(&Asker::Solver)
        || !board.is_current(BookName::Standing)
    {
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
        requests_per_slot: board.options.core.requests_per_slot,
        carries_home: board.options.core.carries_home,
        by_host: board.options.core.by_host,
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
        board.keeper.spans = board.options.core.keeper;
        let after_own = board.former_term == Some(epoch);
        board.keeper.take_up(board.now, after_own);
        board.keeper.hasty = board.options.broken == Broken::HastyKeeper;
        board.keeper.takes_silence = board.options.broken == Broken::TakesSilence;
        board.keeper.generous = board.options.broken == Broken::GenerousKeeper;
        board.note(Event::KeeperTookUp { epoch });
    }
    let now = board.now;
    if held < board.options.core.listen || now < board.plan_at || board.asked(&Asker::Tenure) {
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

/// A witness that was silent for this long has lost what it knew or is about to.
const WITNESS_LOST: Duration = Duration::from_millis(2500);
/// How often a change of seats that cannot be made is noted.
const REFUSAL_PERIOD: Duration = Duration::from_secs(5);
/// How many editions a witness may be behind when it gets its seat.
const WITNESS_LAG: u64 = 20;

/// Sees to it that the seats are held by the living: one change at a time.
fn seat(board: &mut Blackboard, held: Duration) {
    if held < board.options.core.listen
        || board.asked(&Asker::Seating)
        || !board.is_current(BookName::Cohort)
    {
        return;
    }
    let Some(seats) = board.seats().cloned() else {
        return;
    };
    let now = board.now;
    for holder in &seats.holders {
        if holder.node == board.node || board.liveness.alive(now, holder.node) {
            board.lost_since.remove(&holder.node);
        } else {
            board.lost_since.entry(holder.node).or_insert(now);
        }
    }
    let Some((next, why)) = next_seats(board, &seats) else {
        if let Some(roster) = agents::next_roster(board) {
            let change = roster_change(board, Value::Roster { roster });
            board.propose(BookName::Cohort, Asker::Seating, change);
        }
        return;
    };
    // Why counted: a change that leaves fewer living seats than its majority stops the core.
    let living = next
        .holders
        .iter()
        .filter(|holder| !board.lost_since.contains_key(&holder.node))
        .count();
    if living < next.majority() {
        if now >= board.refused_seat_at + REFUSAL_PERIOD {
            board.refused_seat_at = now;
            let why = format!("{why}: {living} living of {}", next.holders.len());
            board.note(Event::SeatRefused { why });
        }
        return;
    }
    // Why settle first: what the seats before may have half agreed on must be finished while
    // every majority of these seats still meets every majority of those.
    let cohort = board.book(BookName::Cohort).edition;
    let mut settled = true;
    for proposer in &mut board.proposers {
        if !proposer.is_settled(cohort) {
            proposer.finish();
            settled = false;
        }
    }
    if !settled {
        return;
    }
    board.note(Event::SeatWanted { why });
    let expected = board.book(BookName::Cohort).present("seats");
    let value = Value::Seats { seats: next };
    let mut change = single_put(board, "seats", "seats".to_string(), expected, value);
    guard_by_duty(board, &mut change);
    board.propose(BookName::Cohort, Asker::Seating, change);
}

/// Lets a change fit only as long as the seating duty has not passed on.
fn guard_by_duty(board: &Blackboard, change: &mut Change) {
    let key = format!("duty/{SEATING}");
    let expected = board.book(BookName::Cohort).present(&key);
    change.guards.push(Guard { key, expected });
}

/// A change of the roster, from the present one.
pub fn roster_change(board: &mut Blackboard, value: Value) -> Change {
    let expected = board.book(BookName::Cohort).present(ROSTER);
    let mut change = single_put(board, ROSTER, ROSTER.to_string(), expected, value);
    guard_by_duty(board, &mut change);
    change
}

/// The next single change of seats, if one is due, and why.
fn next_seats(board: &Blackboard, seats: &Seats) -> Option<(Seats, String)> {
    let now = board.now;
    let silent = |node: NodeId| {
        board
            .lost_since
            .get(&node)
            .map_or(Duration::ZERO, |since| now.saturating_sub(*since))
    };
    let without = |lost: NodeId| Seats {
        holders: seats
            .holders
            .iter()
            .filter(|holder| holder.node != lost)
            .cloned()
            .collect(),
    };
    let with = |holder: SeatHolder| {
        let mut next = seats.clone();
        next.holders.push(holder);
        next
    };
    let newcomer = waiting_ledger(board, seats);
    let ledgers = seats.holders.iter().filter(|holder| holder.ledger).count();
    if let Some(newcomer) = newcomer.filter(|_| ledgers < board.options.core.ledger_seats) {
        let why = format!("ledger {} is new", newcomer.node);
        return Some((with(newcomer), why));
    }
    let lost_witness = seats.holders.iter().find(|holder| {
        let leaving = board
            .members
            .iter()
            .any(|member| member.node == holder.node && member.leaving);
        !holder.ledger && (leaving || silent(holder.node) >= WITNESS_LOST)
    });
    if let Some(lost) = lost_witness {
        let why = format!("witness {} is lost", lost.node);
        return Some((without(lost.node), why));
    }
    let lost_ledger = seats.holders.iter().find(|holder| {
        // Why at once when another answers at its address: it cannot come back there.
        let replaced = board
            .seeds
            .get(&holder.address)
            .is_some_and(|seen| seen.node != holder.node)
            && silent(holder.node) > SILENCE;
        let lost = silent(holder.node) >= board.options.core.ledger_lost;
        holder.ledger && (replaced || lost)
    });
    // Why only for another: a ledger's disk is worth its seat as long as nobody can replace it.
    if let Some(lost) = lost_ledger.filter(|_| newcomer_waits(board, seats)) {
        let why = format!("ledger {} is lost and another waits", lost.node);
        return Some((without(lost.node), why));
    }
    let crowded = seats.holders.iter().find(|holder| {
        !holder.ledger
            && seats
                .holders
                .iter()
                .any(|other| other.node != holder.node && other.area == holder.area)
    });
    // Why moved: two seats in one area are lost together, and another area has none.
    if let Some(crowded) = crowded.filter(|_| {
        waiting_witness(board, seats).is_some_and(|waiting| !has_seat(seats, &waiting.area))
    }) {
        let why = format!("witness {} crowds {}", crowded.node, crowded.area);
        return Some((without(crowded.node), why));
    }
    let core = &board.options.core;
    if seats.holders.len() < core.ledger_seats + core.witness_seats {
        if core.witness_seats == 0 {
            return None;
        }
        let witness = waiting_witness(board, seats)?;
        let why = format!("witness {} in {}", witness.node, witness.area);
        return Some((with(witness), why));
    }
    None
}

/// A live ledger without a seat that has copied all books.
fn waiting_ledger(board: &Blackboard, seats: &Seats) -> Option<SeatHolder> {
    let editions: Vec<Edition> = ALL_BOOKS.map(|name| board.book(name).edition).to_vec();
    board
        .seeds
        .iter()
        .filter(|(_, seen)| seats.holder(seen.node).is_none())
        .filter(|(_, seen)| board.liveness.alive(board.now, seen.node))
        .find(|(_, seen)| {
            board
                .heard_editions
                .get(&seen.node)
                .is_some_and(|heard| heard.iter().zip(&editions).all(|(heard, own)| heard >= own))
        })
        .map(|(address, seen)| SeatHolder {
            node: seen.node,
            address: *address,
            area: seen.area.clone(),
            ledger: true,
        })
}

fn newcomer_waits(board: &Blackboard, seats: &Seats) -> bool {
    waiting_ledger(board, seats).is_some()
}

fn has_seat(seats: &Seats, area: &Area) -> bool {
    seats.holders.iter().any(|holder| holder.area == *area)
}

/// A live agent that could be a witness: in an area without a seat if there is one.
fn waiting_witness(board: &Blackboard, seats: &Seats) -> Option<SeatHolder> {
    let editions: Vec<Edition> = ALL_BOOKS.map(|name| board.book(name).edition).to_vec();
    board
        .members
        .iter()
        .filter(|member| member.role == Role::Proxy && !member.leaving)
        .filter(|member| seats.holder(member.node).is_none())
        .filter(|member| {
            // Why nearly caught up and not wholly: what it lacks it takes over before it votes, and
            // whoever happens to be the first to be level must not outweigh where it stands.
            member.editions.len() == editions.len()
                && member
                    .editions
                    .iter()
                    .zip(&editions)
                    .zip(ALL_BOOKS)
                    // Why without the placement: agents do not follow it; a new witness takes it
                    // over with its first vote, and a majority that holds it was settled before.
                    .filter(|(_, name)| *name != BookName::Placement)
                    .all(|((held, own), _)| held.0 + WITNESS_LAG >= own.0)
        })
        .min_by_key(|member| {
            let seated = |ledger: bool| {
                seats
                    .holders
                    .iter()
                    .any(|holder| holder.area == member.area && holder.ledger == ledger)
            };
            // Why areas first: an area that is lost should take as few seats along as can be.
            (
                seated(true),
                seated(false),
                member.area.clone(),
                member.node,
            )
        })
        .map(|member| SeatHolder {
            node: member.node,
            address: member.control,
            area: member.area.clone(),
            ledger: false,
        })
}

/// Where the keeper is heard, as far as the cohort tells.
pub fn keeper_address(board: &Blackboard) -> Option<SocketAddr> {
    let holder = board.book(BookName::Cohort).duty(TENURE)?.holder;
    Some(board.seats()?.holder(holder)?.address)
}

/// Answers a beat: only the keeper renews holds, and only while it is sure that it is.
pub fn answer_beat(board: &mut Blackboard, beat: &Beat) -> BeatAnswer {
    let term = board.book(BookName::Cohort).duty(TENURE).cloned();
    let ours = term
        .is_some_and(|term| term.holder == board.node && board.keeper_epoch == Some(term.epoch));
    let fence = board.book(BookName::Tenure).fence().map(|term| term.epoch);
    if !ours
        || fence != board.keeper_epoch
        || !board.is_current(BookName::Cohort)
        || !board.is_current(BookName::Tenure)
    {
        return BeatAnswer {
            keeper: keeper_address(board),
            ..BeatAnswer::default()
        };
    }
    let now = board.now;
    let tenure = board.seat.book(BookName::Tenure);
    let mut answer = board.keeper.beat(now, beat, tenure);
    answer.keeper = Some(board.options.control);
    answer
}
