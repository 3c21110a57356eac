//! Exhaustive searches: no invariant is violated, and each injected bug is detected.

use model_check::bound::{Bound, InjectedBug};
use model_check::invariants::Violation;
use model_check::scenarios::{
    early_addition, race, reads, removed_reader, removed_writer, replacement_without_recovery,
    reported_addition, restarted_proposer, slow_disks,
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
fn invariants_hold_with_races_restarts_and_reads() {
    for bound in [race(), restarted_proposer(), reads()] {
        assert!(explore_fully(&bound).states > 1_000);
    }
}

#[test]
fn invariants_hold_when_a_removed_voter_writes_or_reads() {
    for bound in [removed_writer(), removed_reader()] {
        assert!(explore_fully(&bound).states > 1_000);
    }
}

#[test]
fn invariants_hold_with_slow_disks_and_restarts() {
    assert!(explore_fully(&slow_disks()).states > 50_000);
}

#[test]
fn invariants_hold_when_reports_allow_a_change_of_voters() {
    assert!(explore_fully(&reported_addition()).states > 500);
}

#[test]
fn change_of_voters_after_first_reports_is_detected() {
    let violation = find_violation(early_addition(), InjectedBug::SettlesByFirstReports);
    assert!(
        matches!(
            violation,
            Violation::AcceptedChangeCanBeLost { .. } | Violation::Disagreement { .. }
        ),
        "{violation:?}"
    );
}

#[test]
fn votes_before_sync_are_detected() {
    let violation = find_violation(slow_disks(), InjectedBug::VotesBeforeSync);
    assert!(
        matches!(violation, Violation::TooFewDisks { .. }),
        "{violation:?}"
    );
}

#[test]
fn reused_proposal_numbers_are_detected() {
    let violation = find_violation(restarted_proposer(), InjectedBug::ReusesProposalNumbers);
    assert!(
        matches!(violation, Violation::TooFewDisks { .. }),
        "{violation:?}"
    );
}

#[test]
fn reads_without_a_quorum_are_detected() {
    let violation = find_violation(reads(), InjectedBug::ReadsWithoutQuorum);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}

#[test]
fn reads_from_an_earlier_quorum_read_are_detected() {
    let violation = find_violation(reads(), InjectedBug::ReadsByEarlierQuorumRead);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}

#[test]
fn membership_change_without_recovery_is_detected() {
    let violation = find_violation(replacement_without_recovery(), InjectedBug::SkipsRecovery);
    assert!(
        matches!(
            violation,
            Violation::AcceptedChangeCanBeLost { .. } | Violation::Disagreement { .. }
        ),
        "{violation:?}"
    );
}

#[test]
fn votes_under_any_membership_are_detected() {
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
fn reads_under_an_old_membership_are_detected() {
    let violation = find_violation(removed_reader(), InjectedBug::ReadsUnderOldMembership);
    assert!(
        matches!(violation, Violation::StaleRead { .. }),
        "{violation:?}"
    );
}
