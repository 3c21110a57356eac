//! Each observer must detect a deliberate fault: a check that cannot fail proves nothing. The same
//! day without the fault has no violations.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use caperworks::partition_fallback::BrokenFallback;
use controller::fault_injection::FaultInjection;
use simulator::actors::proxy::ProxyFault;
use simulator::day::{read_deployment, Day, FaultAction};
use simulator::observers::invariants::Invariant;

fn day(name: &str) -> Day {
    let path = format!("{}/days/{name}.json", env!("CARGO_MANIFEST_DIR"));
    Day::read(Path::new(&path)).expect("day file is valid")
}

/// Runs the day with the fault, with up to twelve seeds, until the invariant is violated.
fn assert_detected(name: &str, invariant: Invariant, inject_fault: impl Fn(&mut Day)) {
    let mut faulty_day = day(name);
    inject_fault(&mut faulty_day);
    let scenario = read_deployment(&faulty_day.deployment).expect("scenario is valid");
    let mut all_violated = BTreeSet::new();
    for seed in 1..=12 {
        let violated = faulty_day.play(&scenario, seed).violated();
        if violated.contains(&invariant) {
            return;
        }
        all_violated.extend(violated);
    }
    panic!("{invariant:?} was not violated on day {name}; violated were {all_violated:?}");
}

#[test]
fn repeated_write_after_lost_response_is_detected() {
    assert_detected("instances", Invariant::RanTwice, |day| {
        day.proxy_fault = ProxyFault::RepeatsWrites
    });
}

#[test]
fn false_not_run_report_is_detected() {
    assert_detected("instances", Invariant::RanAfterNotRun, |day| {
        day.proxy_fault = ProxyFault::SaysNotRun
    });
}

#[test]
fn accepted_malformed_response_is_detected() {
    assert_detected("instances", Invariant::WrongResponse, |day| {
        day.proxy_fault = ProxyFault::TakesAnyResponse;
    });
}

#[test]
fn request_to_draining_instance_is_detected() {
    assert_detected("instances", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn stale_proxy_in_partition_is_detected() {
    assert_detected("cut-off-machines", Invariant::OldConfiguration, |day| {
        day.proxy_fault = ProxyFault::IgnoresStaleness;
    });
}

#[test]
fn lease_without_current_versions_is_detected() {
    assert_detected("deaf-controller", Invariant::OldConfiguration, |day| {
        day.agents_ignore_missing_versions = true
    });
}

#[test]
fn grant_without_quorum_is_detected() {
    assert_detected("controller-parted", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn candidate_compared_with_present_versions_is_detected() {
    assert_detected(
        "second-loss-after-sync-time",
        Invariant::ChangesNotAccepted,
        |day| {
            day.controller_fault = FaultInjection::CandidatesNeedPresentVersions;
        },
    );
}

#[test]
fn request_in_closed_zone_is_detected() {
    assert_detected("zones-emptied", Invariant::ClosedZone, |day| {
        day.proxy_fault = ProxyFault::IgnoresClosed;
    });
}

#[test]
fn retries_without_budget_are_detected() {
    assert_detected("storm", Invariant::TooManyRetries, |day| {
        day.proxy_fault = ProxyFault::NoBudget
    });
}

#[test]
fn exceeded_slow_start_rate_is_detected() {
    assert_detected("cold", Invariant::ColdFlooded, |day| {
        day.proxy_fault = ProxyFault::FullSlowStartRate
    });
}

#[test]
fn trust_in_old_reports_of_warm_instances_is_detected() {
    assert_detected("warm-up-while-cut", Invariant::ColdFlooded, |day| {
        day.proxy_fault = ProxyFault::TrustsOldReports
    });
}

#[test]
fn request_outside_home_region_is_detected() {
    assert_detected("zones-emptied", Invariant::LeftHome, |day| {
        day.proxy_fault = ProxyFault::IgnoresHome
    });
}

#[test]
fn proxy_going_back_to_older_map_is_detected() {
    assert_detected("quiet", Invariant::SlippedBack, |day| {
        day.proxy_fault = ProxyFault::GoesBack
    });
}

#[test]
fn map_fork_by_single_vote_majority_is_detected() {
    assert_detected("controller-parted", Invariant::ForkedMap, |day| {
        day.controller_fault = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn lost_change_after_unsynced_votes_is_detected() {
    assert_detected("all-power", Invariant::LostChange, |day| {
        // A later write that is synced soon includes the earlier ones, so with faster disks hardly
        // any vote is still unsynced when the power is lost.
        day.max_sync_time = Duration::from_secs(20);
        day.controller_fault = FaultInjection::UnsyncedVotes;
    });
}

#[test]
fn early_reassignment_is_detected_as_two_owners() {
    assert_detected("cut-off-machines", Invariant::TwoOwners, |day| {
        day.controller_fault = FaultInjection::EarlyReassignment
    });
}

#[test]
fn termination_that_ends_leases_is_detected_as_two_owners() {
    assert_detected("deregistered-owners", Invariant::TwoOwners, |day| {
        day.controller_fault = FaultInjection::TerminationEndsLeases
    });
}

#[test]
fn missing_recovery_is_detected() {
    assert_detected("herd-kills", Invariant::NotRecovered, |day| {
        day.faults
            .retain(|fault_step| fault_step.action != FaultAction::Start);
    });
}

#[test]
fn request_run_for_another_service_is_detected() {
    assert_detected("take-over", Invariant::RanForAnother, |day| {
        day.instances_skip_checks = true
    });
}

#[test]
fn stale_proxy_in_closed_partitioned_zone_is_detected() {
    assert_detected("close-while-cut", Invariant::ClosedZone, |day| {
        day.proxy_fault = ProxyFault::IgnoresStaleness;
    });
}

#[test]
fn request_to_draining_instance_in_partition_is_detected() {
    assert_detected("leave-while-cut", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn partially_applied_change_set_is_detected() {
    assert_detected("quiet", Invariant::PartiallyApplied, |day| {
        day.controller_fault = FaultInjection::PartialChangeSets
    });
}

#[test]
fn overlong_lease_is_detected() {
    assert_detected("quiet", Invariant::LeaseTooLong, |day| {
        day.controller_fault = FaultInjection::OverlongLeases
    });
}

#[test]
fn lease_release_inferred_from_old_heartbeats_is_detected() {
    assert_detected("late-beats", Invariant::TwoOwners, |day| {
        day.controller_fault = FaultInjection::TrustsOldHeartbeats
    });
}

#[test]
fn clock_stopped_while_frozen_is_detected() {
    assert_detected("freezes", Invariant::OldConfiguration, |day| {
        day.clocks_stop_while_frozen = true
    });
}

#[test]
fn request_to_draining_instance_after_old_input_is_detected() {
    // The second fault is needed because a controller that has just resumed accepts no heartbeats
    // before a majority has responded, which would mask the first fault on this day.
    assert_detected("old-input", Invariant::ReachedLeaving, |day| {
        day.input_counts_as_fresh = true;
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn traffic_starved_by_hot_key_is_detected() {
    assert_detected("hot-key-desk", Invariant::Sunk, |day| {
        day.proxy_fault = ProxyFault::NoKeyCap
    });
}

#[test]
fn delayed_rejection_is_detected() {
    assert_detected("hot-key-desk", Invariant::LateRefusal, |day| {
        day.proxy_fault = ProxyFault::DelaysRejections
    });
}

#[test]
fn stale_read_without_quorum_is_detected() {
    assert_detected("controller-parted", Invariant::StaleRead, |day| {
        day.controller_fault = FaultInjection::ReadsWithoutQuorum
    });
}

#[test]
fn missing_partition_fallback_is_detected() {
    assert_detected("island", Invariant::NotRecovered, |day| {
        day.fallback_fault = BrokenFallback::Silent
    });
}

#[test]
fn change_confirmed_without_agents_is_detected() {
    assert_detected("island", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::ConfirmsWithoutAgents
    });
}

#[test]
fn fallback_ignoring_newer_versions_is_detected() {
    assert_detected("island-after-yes", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::NoPooling
    });
}

#[test]
fn fallback_counting_only_responders_is_detected() {
    assert_detected("regions-cut", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::CountsTheLiving
    });
}

#[test]
fn fallback_by_restarted_agents_is_detected() {
    assert_detected("island-after-yes", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::Forgetful
    });
}

#[test]
fn trust_in_missing_heartbeats_is_detected() {
    assert_detected("heartbeats-cut", Invariant::NotRecovered, |day| {
        day.proxy_fault = ProxyFault::BelievesSilence
    });
}

#[test]
fn isolated_owner_manager_acknowledging_drain_is_detected() {
    assert_detected("owner-manager-parted", Invariant::ReachedLeaving, |day| {
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn isolated_owner_manager_acknowledging_heartbeats_is_detected() {
    // The second fault is needed because proxies that go on using instances that respond would mask
    // the first.
    assert_detected("owner-manager-parted", Invariant::NotRecovered, |day| {
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
        day.proxy_fault = ProxyFault::BelievesSilence;
    });
}

#[test]
fn map_fork_after_second_controller_loss_is_detected() {
    assert_detected("second-losses", Invariant::ForkedMap, |day| {
        day.controller_fault = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn request_to_draining_instance_by_connected_stale_serving_proxy_is_detected() {
    assert_detected("serve-on", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn grant_without_quorum_to_stale_serving_proxy_is_detected() {
    assert_detected("serve-on", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn ignored_message_progress_is_detected() {
    assert_detected("narrow-links", Invariant::OldConfiguration, |day| {
        day.agents_ignore_progress = true;
    });
}

/// A runtime that gives up opening a connection before a round trip over a loaded link is over.
fn set_short_connect_timeout(day: &mut Day) {
    day.connection_model.timeout = Duration::from_millis(300);
    day.connection_model.retry_interval = None;
    day.connection_model.responds_on_same_connection = false;
}

#[test]
fn late_follower_after_short_connect_timeout_is_detected() {
    assert_detected(
        "power-behind-full-links",
        Invariant::LateFollower,
        set_short_connect_timeout,
    );
}

#[test]
fn old_configuration_after_short_connect_timeout_is_detected() {
    assert_detected(
        "power-behind-full-links",
        Invariant::OldConfiguration,
        set_short_connect_timeout,
    );
}

/// Guards against review case 6: deregistrations that are acknowledged from memory are gone after a kill of all
/// controllers.
#[test]
fn deregistration_kept_in_memory_alone_is_detected() {
    assert_detected(
        "deregistered-then-killed",
        Invariant::ReachedLeaving,
        |day| day.controller_fault = FaultInjection::UnsyncedDeregistrations,
    );
}
