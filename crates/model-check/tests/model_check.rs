//! Exhaustive searches: no invariant is violated, and each injected bug is detected.

use model_check::bound::{Bound, InjectedBug};
use model_check::invariants::Violation;
use model_check::scenarios::{
    race, reads, removed_reader, removed_writer, restarted_proposer, slow_disks,
    unsettled_replacement,
};
use model_check::search::{explore, Report};

const THREADS: usize = 2;
/// The number of states after which an injected bug counts as not detected.
const MAX_STATES: usize = 300_000;

/// Explores a bound completely and expects that no invariant is violated.
fn explore_fully(bound: &Bound) -> Report {
    let report = explore(bound, usize::MAX, THREADS);
    println!(
        "{}: {} states, {} transitions, depth {}",
        bound.name, report.states, report.transitions, report.depth
    );
    assert_eq!(report.violation, None);
    assert!(report.is_complete);
    report
}

/// Explores a bound with an injected bug, and returns the invariant that is violated.
fn find_violation(bound: Bound, injected_bug: InjectedBug) -> Violation {
    let bound = bound.with_injected_bug(injected_bug);
    let report = explore(&bound, MAX_STATES, THREADS);
    println!(
        "{} with {injected_bug:?}: found after {} states",
        bound.name, report.states
    );
    let (violation, path) = report.violation.expect("the injected bug is detected");
    println!("{violation:?} by {path:#?}");
    violation
}

#[test]
fn given_races_restarts_and_reads_when_explored_then_no_invariant_breaks() {
    for bound in [race(), restarted_proposer(), reads()] {
        assert!(explore_fully(&bound).states > 1_000);
    }
}

#[test]
fn given_voters_that_moved_on_when_one_that_left_writes_or_reads_then_no_invariant_breaks() {
    for bound in [removed_writer(), removed_reader()] {
        assert!(explore_fully(&bound).states > 1_000);
    }
}

#[test]
fn given_slow_disks_and_restarts_when_explored_then_no_invariant_breaks() {
    assert!(explore_fully(&slow_disks()).states > 50_000);
}

#[test]
fn given_votes_before_sync_when_explored_then_a_yes_on_too_few_disks_is_found() {
    let violation = find_violation(slow_disks(), InjectedBug::VotesBeforeSync);
    assert!(
        matches!(violation, Violation::TooFewDisks { .. }),
        "{violation:?}"
    );
}

#[test]
fn given_ballots_used_twice_when_explored_then_a_yes_for_another_change_is_found() {
    let violation = find_violation(restarted_proposer(), InjectedBug::ReusesProposalNumbers);
    assert!(
        matches!(violation, Violation::TooFewDisks { .. }),
        "{violation:?}"
    );
}

#[test]
fn given_reads_without_a_round_when_explored_then_a_stale_read_is_found() {
    let violation = find_violation(reads(), InjectedBug::ReadsWithoutQuorum);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}

#[test]
fn given_reads_by_an_earlier_round_when_explored_then_a_stale_read_is_found() {
    let violation = find_violation(reads(), InjectedBug::ReadsByEarlierQuorumRead);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}

#[test]
fn given_no_settling_when_explored_then_it_is_found_that_an_accepted_change_can_be_lost() {
    let violation = find_violation(unsettled_replacement(), InjectedBug::SkipsRecovery);
    assert!(
        matches!(
            violation,
            Violation::AcceptedChangeCanBeLost { .. } | Violation::Disagreement { .. }
        ),
        "{violation:?}"
    );
}

#[test]
fn given_votes_under_any_membership_when_explored_then_it_is_found() {
    let violation = find_violation(removed_writer(), InjectedBug::VotesUnderAnyMembership);
    assert!(
        matches!(
            violation,
            Violation::OlderMembershipDecided { .. } | Violation::Disagreement { .. }
        ),
        "{violation:?}"
    );
}

#[test]
fn given_reads_under_an_old_membership_when_explored_then_a_stale_read_is_found() {
    let violation = find_violation(removed_reader(), InjectedBug::ReadsUnderOldMembership);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}
