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
fn given_proxies_that_repeat_writes_when_answers_are_lost_then_running_twice_is_seen() {
    assert_detected("instances", Invariant::RanTwice, |day| {
        day.proxy_fault = ProxyFault::RepeatsWrites
    });
}

#[test]
fn given_proxies_that_say_not_run_when_answers_are_lost_then_it_is_seen() {
    assert_detected("instances", Invariant::RanAfterNotRun, |day| {
        day.proxy_fault = ProxyFault::SaysNotRun
    });
}

#[test]
fn given_proxies_that_take_any_answer_when_garbage_comes_then_it_is_seen() {
    assert_detected("instances", Invariant::WrongResponse, |day| {
        day.proxy_fault = ProxyFault::TakesAnyResponse;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_instances_leave_then_it_is_seen() {
    assert_detected("instances", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn given_proxies_that_ignore_staleness_when_machines_are_cut_off_then_old_orders_are_seen() {
    assert_detected("cut-off-machines", Invariant::OldConfiguration, |day| {
        day.proxy_fault = ProxyFault::IgnoresStaleness;
    });
}

#[test]
fn given_careless_leases_when_a_controller_hears_no_news_then_old_orders_are_seen() {
    assert_detected("deaf-controller", Invariant::OldConfiguration, |day| {
        day.agents_ignore_missing_versions = true
    });
}

#[test]
fn given_controllers_that_grant_alone_when_one_is_cut_off_from_the_others_then_it_is_seen() {
    assert_detected("controller-parted", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn given_proxies_that_ignore_closed_zones_when_one_is_emptied_then_it_is_seen() {
    assert_detected("zones-emptied", Invariant::ClosedZone, |day| {
        day.proxy_fault = ProxyFault::IgnoresClosed;
    });
}

#[test]
fn given_proxies_without_a_budget_when_instances_refuse_then_too_many_retries_are_seen() {
    assert_detected("storm", Invariant::TooManyRetries, |day| {
        day.proxy_fault = ProxyFault::NoBudget
    });
}

#[test]
fn given_proxies_that_each_use_the_whole_gentle_rate_when_instances_are_cold_then_it_is_seen() {
    assert_detected("cold", Invariant::ColdFlooded, |day| {
        day.proxy_fault = ProxyFault::FullSlowStartRate
    });
}

#[test]
fn given_proxies_that_ignore_the_home_region_when_any_request_is_sent_then_it_is_seen() {
    assert_detected("zones-emptied", Invariant::LeftHome, |day| {
        day.proxy_fault = ProxyFault::IgnoresHome
    });
}

#[test]
fn given_proxies_that_go_back_when_time_passes_then_slipping_is_seen() {
    assert_detected("quiet", Invariant::SlippedBack, |day| {
        day.proxy_fault = ProxyFault::GoesBack
    });
}

#[test]
fn given_one_vote_as_a_majority_when_a_controller_is_cut_off_then_a_fork_is_seen() {
    assert_detected("controller-parted", Invariant::ForkedMap, |day| {
        day.controller_fault = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn given_votes_that_leave_unsynced_when_power_is_lost_then_a_lost_change_is_seen() {
    assert_detected("all-power", Invariant::LostChange, |day| {
        // A later write that is synced soon includes the earlier ones, so with faster disks hardly
        // any vote is still unsynced when the power is lost.
        day.max_sync_time = Duration::from_secs(20);
        day.controller_fault = FaultInjection::UnsyncedVotes;
    });
}

#[test]
fn given_a_hasty_owner_manager_when_owners_are_cut_off_then_two_owners_are_seen() {
    assert_detected("cut-off-machines", Invariant::TwoOwners, |day| {
        day.controller_fault = FaultInjection::EarlyReassignment
    });
}

#[test]
fn given_a_fleet_that_never_comes_back_when_a_big_fault_strikes_then_it_is_seen() {
    assert_detected("herd-kills", Invariant::NotRecovered, |day| {
        day.faults
            .retain(|fault_step| fault_step.action != FaultAction::Start);
    });
}

#[test]
fn given_instances_that_do_not_look_whom_a_request_is_for_when_an_address_is_taken_over_then_it_is_seen(
) {
    assert_detected("take-over", Invariant::RanForAnother, |day| {
        day.instances_skip_checks = true
    });
}

#[test]
fn given_proxies_that_ignore_staleness_when_a_cut_off_zone_is_closed_then_it_is_seen() {
    assert_detected("close-while-cut", Invariant::ClosedZone, |day| {
        day.proxy_fault = ProxyFault::IgnoresStaleness;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_agents_are_cut_off_then_it_is_seen() {
    assert_detected("leave-while-cut", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn given_controllers_that_apply_parts_when_a_set_is_faulty_then_it_is_seen() {
    assert_detected("quiet", Invariant::PartiallyApplied, |day| {
        day.controller_fault = FaultInjection::PartialChangeSets
    });
}

#[test]
fn given_an_owner_manager_that_gives_long_holds_when_time_passes_then_it_is_seen() {
    assert_detected("quiet", Invariant::LeaseTooLong, |day| {
        day.controller_fault = FaultInjection::OverlongLeases
    });
}

#[test]
fn given_an_owner_manager_that_takes_silence_for_release_when_heartbeats_are_late_then_two_owners_are_seen(
) {
    assert_detected("late-beats", Invariant::TwoOwners, |day| {
        day.controller_fault = FaultInjection::TrustsOldHeartbeats
    });
}

#[test]
fn given_clocks_that_stop_asleep_when_processes_freeze_then_it_is_seen() {
    assert_detected("freezes", Invariant::OldConfiguration, |day| {
        day.clocks_stop_while_frozen = true
    });
}

#[test]
fn given_input_that_counts_as_new_when_processes_wake_then_orders_to_leaving_ones_are_seen() {
    // The second fault is needed because a controller that has just resumed accepts no heartbeats
    // before a majority has responded, which would mask the first fault on this day.
    assert_detected("old-input", Invariant::ReachedLeaving, |day| {
        day.input_counts_as_fresh = true;
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn given_proxies_without_a_key_cap_when_one_key_is_hot_then_other_traffic_is_seen_to_sink() {
    assert_detected("hot-key-desk", Invariant::Sunk, |day| {
        day.proxy_fault = ProxyFault::NoKeyCap
    });
}

#[test]
fn given_proxies_that_keep_refusals_back_when_one_key_is_hot_then_it_is_seen() {
    assert_detected("hot-key-desk", Invariant::LateRefusal, |day| {
        day.proxy_fault = ProxyFault::DelaysRejections
    });
}

#[test]
fn given_controllers_that_answer_reads_alone_when_one_is_parted_then_a_stale_read_is_seen() {
    assert_detected("controller-parted", Invariant::StaleRead, |day| {
        day.controller_fault = FaultInjection::ReadsWithoutQuorum
    });
}

#[test]
fn given_agents_that_fall_silent_with_the_core_when_it_is_cut_off_then_it_is_seen() {
    assert_detected("island", Invariant::NotRecovered, |day| {
        day.fallback_fault = BrokenFallback::Silent
    });
}

#[test]
fn given_a_yes_that_does_not_wait_for_agents_when_the_core_is_cut_off_then_old_orders_are_seen() {
    assert_detected("island", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::ConfirmsWithoutAgents
    });
}

#[test]
fn given_an_island_that_does_not_pool_when_the_core_is_cut_off_then_old_orders_are_seen() {
    assert_detected("island-after-yes", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::NoPooling
    });
}

#[test]
fn given_an_island_of_those_that_answer_when_the_regions_are_cut_then_old_orders_are_seen() {
    assert_detected("regions-cut", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::CountsTheLiving
    });
}

#[test]
fn given_agents_that_forget_when_they_restart_on_an_island_then_old_orders_are_seen() {
    assert_detected("island-after-yes", Invariant::OldConfiguration, |day| {
        day.fallback_fault = BrokenFallback::Forgetful
    });
}

#[test]
fn given_proxies_that_believe_silence_alone_when_heartbeats_are_cut_off_then_it_is_seen() {
    assert_detected("heartbeats-cut", Invariant::NotRecovered, |day| {
        day.proxy_fault = ProxyFault::BelievesSilence
    });
}

#[test]
fn given_a_parted_owner_manager_that_acknowledges_alone_when_instances_leave_then_it_is_seen() {
    assert_detected("owner-manager-parted", Invariant::ReachedLeaving, |day| {
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn given_a_parted_owner_manager_that_acknowledges_alone_when_proxies_believe_it_then_it_is_seen() {
    // The second fault is needed because proxies that go on using instances that respond would mask
    // the first.
    assert_detected("owner-manager-parted", Invariant::NotRecovered, |day| {
        day.controller_fault = FaultInjection::AcknowledgesWithoutQuorum;
        day.proxy_fault = ProxyFault::BelievesSilence;
    });
}

#[test]
fn given_one_vote_as_a_majority_when_a_second_controller_is_lost_then_a_fork_is_seen() {
    assert_detected("second-losses", Invariant::ForkedMap, |day| {
        day.controller_fault = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_they_serve_on_in_touch_then_it_is_seen() {
    assert_detected("serve-on", Invariant::ReachedLeaving, |day| {
        day.proxy_fault = ProxyFault::IgnoresDraining;
    });
}

#[test]
fn given_controllers_that_grant_alone_when_proxies_serve_on_in_touch_then_it_is_seen() {
    assert_detected("serve-on", Invariant::OldConfiguration, |day| {
        day.controller_fault = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn given_agents_that_notice_no_parts_of_messages_when_links_are_narrow_then_it_is_seen() {
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
fn given_openings_that_are_given_up_soon_when_power_is_lost_behind_full_links_then_late_followers_are_seen(
) {
    assert_detected(
        "power-behind-full-links",
        Invariant::LateFollower,
        set_short_connect_timeout,
    );
}

#[test]
fn given_openings_that_are_given_up_soon_when_power_is_lost_behind_full_links_then_old_configurations_are_seen(
) {
    assert_detected(
        "power-behind-full-links",
        Invariant::OldConfiguration,
        set_short_connect_timeout,
    );
}
