//! Every observer is shown to catch a deliberately broken variant: a check that cannot fail is
//! no check. The same day without the break must be clean.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use caperworks::partition_fallback::BrokenFallback;
use controller::fault_injection::FaultInjection;
use simulator::actors::proxy::BrokenProxy;
use simulator::day::{deployment, Act, Day};
use simulator::observers::lines::Line;

fn day(name: &str) -> Day {
    let path = format!("{}/days/{name}.json", env!("CARGO_MANIFEST_DIR"));
    Day::read(Path::new(&path)).expect("the day reads")
}

/// Plays the day broken with up to twelve seeds until the line is seen breached.
fn is_caught(name: &str, line: Line, broken: impl Fn(&mut Day)) {
    let mut played = day(name);
    broken(&mut played);
    let scenario = deployment(&played.deployment).expect("the scenario reads");
    let mut seen = BTreeSet::new();
    for seed in 1..=12 {
        let breached = played.play(&scenario, seed).breached();
        if breached.contains(&line) {
            return;
        }
        seen.extend(breached);
    }
    panic!("{line:?} was not seen on day {name}; seen were {seen:?}");
}

#[test]
fn given_proxies_that_repeat_writes_when_answers_are_lost_then_running_twice_is_seen() {
    is_caught("instances", Line::RanTwice, |day| {
        day.broken_proxy = BrokenProxy::RepeatsWrites
    });
}

#[test]
fn given_proxies_that_say_not_run_when_answers_are_lost_then_it_is_seen() {
    is_caught("instances", Line::RanAfterNotRun, |day| {
        day.broken_proxy = BrokenProxy::SaysNotRun
    });
}

#[test]
fn given_proxies_that_take_any_answer_when_garbage_comes_then_it_is_seen() {
    is_caught("instances", Line::WrongResponse, |day| {
        day.broken_proxy = BrokenProxy::TakesAnyResponse;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_instances_leave_then_it_is_seen() {
    is_caught("instances", Line::ReachedLeaving, |day| {
        day.broken_proxy = BrokenProxy::IgnoresDraining;
    });
}

#[test]
fn given_proxies_that_ignore_staleness_when_machines_are_cut_off_then_old_orders_are_seen() {
    is_caught("cut-off-machines", Line::OldConfiguration, |day| {
        day.broken_proxy = BrokenProxy::IgnoresStaleness;
    });
}

#[test]
fn given_careless_leases_when_a_controller_hears_no_news_then_old_orders_are_seen() {
    is_caught("deaf-controller", Line::OldConfiguration, |day| {
        day.careless_agents = true
    });
}

#[test]
fn given_controllers_that_grant_alone_when_one_is_cut_off_from_the_others_then_it_is_seen() {
    is_caught("controller-parted", Line::OldConfiguration, |day| {
        day.broken_controller = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn given_proxies_that_ignore_closed_zones_when_one_is_emptied_then_it_is_seen() {
    is_caught("zones-emptied", Line::ClosedZone, |day| {
        day.broken_proxy = BrokenProxy::IgnoresClosed;
    });
}

#[test]
fn given_proxies_without_a_budget_when_instances_refuse_then_too_many_retries_are_seen() {
    is_caught("storm", Line::TooManyRetries, |day| {
        day.broken_proxy = BrokenProxy::NoBudget
    });
}

#[test]
fn given_proxies_that_each_use_the_whole_gentle_rate_when_instances_are_cold_then_it_is_seen() {
    is_caught("cold", Line::ColdFlooded, |day| {
        day.broken_proxy = BrokenProxy::FullSlowStartRate
    });
}

#[test]
fn given_proxies_that_ignore_the_home_region_when_any_request_is_sent_then_it_is_seen() {
    is_caught("zones-emptied", Line::LeftHome, |day| {
        day.broken_proxy = BrokenProxy::IgnoresHome
    });
}

#[test]
fn given_proxies_that_go_back_when_time_passes_then_slipping_is_seen() {
    is_caught("quiet", Line::SlippedBack, |day| {
        day.broken_proxy = BrokenProxy::GoesBack
    });
}

#[test]
fn given_one_vote_as_a_majority_when_a_controller_is_cut_off_then_a_fork_is_seen() {
    is_caught("controller-parted", Line::ForkedMap, |day| {
        day.broken_controller = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn given_votes_that_leave_unsynced_when_power_is_lost_then_a_lost_change_is_seen() {
    is_caught("all-power", Line::LostChange, |day| {
        // Why so slow: a later write that is synced soon takes the earlier ones with it, so with
        // faster disks hardly a vote is still unsynced when the power goes.
        day.disk_span = Duration::from_secs(20);
        day.broken_controller = FaultInjection::UnsyncedVotes;
    });
}

#[test]
fn given_a_hasty_owner_manager_when_owners_are_cut_off_then_two_owners_are_seen() {
    is_caught("cut-off-machines", Line::TwoOwners, |day| {
        day.broken_controller = FaultInjection::EarlyReassignment
    });
}

#[test]
fn given_a_fleet_that_never_comes_back_when_a_big_fault_strikes_then_it_is_seen() {
    is_caught("herd-kills", Line::NotRecovered, |day| {
        day.faults.retain(|fault_step| fault_step.act != Act::Start);
    });
}

#[test]
fn given_instances_that_do_not_look_whom_a_request_is_for_when_an_address_is_taken_over_then_it_is_seen(
) {
    is_caught("take-over", Line::RanForAnother, |day| {
        day.careless_instances = true
    });
}

#[test]
fn given_proxies_that_ignore_staleness_when_a_cut_off_zone_is_closed_then_it_is_seen() {
    is_caught("close-while-cut", Line::ClosedZone, |day| {
        day.broken_proxy = BrokenProxy::IgnoresStaleness;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_agents_are_cut_off_then_it_is_seen() {
    is_caught("leave-while-cut", Line::ReachedLeaving, |day| {
        day.broken_proxy = BrokenProxy::IgnoresDraining;
    });
}

#[test]
fn given_controllers_that_apply_parts_when_a_set_is_faulty_then_it_is_seen() {
    is_caught("quiet", Line::PartiallyApplied, |day| {
        day.broken_controller = FaultInjection::PartialChangeSets
    });
}

#[test]
fn given_an_owner_manager_that_gives_long_holds_when_time_passes_then_it_is_seen() {
    is_caught("quiet", Line::LeaseTooLong, |day| {
        day.broken_controller = FaultInjection::OverlongLeases
    });
}

#[test]
fn given_an_owner_manager_that_takes_silence_for_release_when_heartbeats_are_late_then_two_owners_are_seen(
) {
    is_caught("late-beats", Line::TwoOwners, |day| {
        day.broken_controller = FaultInjection::TrustsOldHeartbeats
    });
}

#[test]
fn given_clocks_that_stop_asleep_when_processes_freeze_then_it_is_seen() {
    is_caught("freezes", Line::OldConfiguration, |day| {
        day.clocks_stop_asleep = true
    });
}

#[test]
fn given_input_that_counts_as_new_when_processes_wake_then_orders_to_leaving_ones_are_seen() {
    // Why the second too: a controller that has just woken takes no heartbeat in before it hears a
    // majority, which alone would hide the first on this day.
    is_caught("old-input", Line::ReachedLeaving, |day| {
        day.undated = true;
        day.broken_controller = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn given_proxies_without_a_key_cap_when_one_key_is_hot_then_other_traffic_is_seen_to_sink() {
    is_caught("hot-key-desk", Line::Sunk, |day| {
        day.broken_proxy = BrokenProxy::NoKeyCap
    });
}

#[test]
fn given_proxies_that_keep_refusals_back_when_one_key_is_hot_then_it_is_seen() {
    is_caught("hot-key-desk", Line::LateRefusal, |day| {
        day.broken_proxy = BrokenProxy::DelaysRejections
    });
}

#[test]
fn given_controllers_that_answer_reads_alone_when_one_is_parted_then_a_stale_read_is_seen() {
    is_caught("controller-parted", Line::StaleRead, |day| {
        day.broken_controller = FaultInjection::ReadsWithoutQuorum
    });
}

#[test]
fn given_agents_that_fall_silent_with_the_core_when_it_is_cut_off_then_it_is_seen() {
    is_caught("island", Line::NotRecovered, |day| {
        day.broken_fallback = BrokenFallback::Silent
    });
}

#[test]
fn given_a_yes_that_does_not_wait_for_agents_when_the_core_is_cut_off_then_old_orders_are_seen() {
    is_caught("island", Line::OldConfiguration, |day| {
        day.broken_controller = FaultInjection::ConfirmsWithoutAgents
    });
}

#[test]
fn given_an_island_that_does_not_pool_when_the_core_is_cut_off_then_old_orders_are_seen() {
    is_caught("island-after-yes", Line::OldConfiguration, |day| {
        day.broken_fallback = BrokenFallback::NoPooling
    });
}

#[test]
fn given_an_island_of_those_that_answer_when_the_regions_are_cut_then_old_orders_are_seen() {
    is_caught("regions-cut", Line::OldConfiguration, |day| {
        day.broken_fallback = BrokenFallback::CountsTheLiving
    });
}

#[test]
fn given_agents_that_forget_when_they_restart_on_an_island_then_old_orders_are_seen() {
    is_caught("island-after-yes", Line::OldConfiguration, |day| {
        day.broken_fallback = BrokenFallback::Forgetful
    });
}

#[test]
fn given_proxies_that_believe_silence_alone_when_heartbeats_are_cut_off_then_it_is_seen() {
    is_caught("heartbeats-cut", Line::NotRecovered, |day| {
        day.broken_proxy = BrokenProxy::BelievesSilence
    });
}

#[test]
fn given_a_parted_owner_manager_that_acknowledges_alone_when_instances_leave_then_it_is_seen() {
    is_caught("owner-manager-parted", Line::ReachedLeaving, |day| {
        day.broken_controller = FaultInjection::AcknowledgesWithoutQuorum;
    });
}

#[test]
fn given_a_parted_owner_manager_that_acknowledges_alone_when_proxies_believe_it_then_it_is_seen() {
    // Why the second too: proxies that go on with instances that answer would hide the first.
    is_caught("owner-manager-parted", Line::NotRecovered, |day| {
        day.broken_controller = FaultInjection::AcknowledgesWithoutQuorum;
        day.broken_proxy = BrokenProxy::BelievesSilence;
    });
}

#[test]
fn given_one_vote_as_a_majority_when_a_second_controller_is_lost_then_a_fork_is_seen() {
    is_caught("second-losses", Line::ForkedMap, |day| {
        day.broken_controller = FaultInjection::SingleVoteMajority;
    });
}

#[test]
fn given_proxies_that_ignore_leaving_when_they_serve_on_in_touch_then_it_is_seen() {
    is_caught("serve-on", Line::ReachedLeaving, |day| {
        day.broken_proxy = BrokenProxy::IgnoresDraining;
    });
}

#[test]
fn given_controllers_that_grant_alone_when_proxies_serve_on_in_touch_then_it_is_seen() {
    is_caught("serve-on", Line::OldConfiguration, |day| {
        day.broken_controller = FaultInjection::GrantsWithoutQuorum;
    });
}

#[test]
fn given_agents_that_notice_no_parts_of_messages_when_links_are_narrow_then_it_is_seen() {
    is_caught("narrow-links", Line::OldConfiguration, |day| {
        day.unreported_progress = true;
    });
}

/// A runtime that gives up openings before a round trip over a full link is over.
fn give_up_openings_soon(day: &mut Day) {
    day.opening.timeout = Duration::from_millis(300);
    day.opening.attempt_period = None;
    day.opening.responds_on_same_connection = false;
}

#[test]
fn given_openings_that_are_given_up_soon_when_power_is_lost_behind_full_links_then_late_followers_are_seen(
) {
    is_caught(
        "power-behind-full-links",
        Line::LateFollower,
        give_up_openings_soon,
    );
}

#[test]
fn given_openings_that_are_given_up_soon_when_power_is_lost_behind_full_links_then_old_configurations_are_seen(
) {
    is_caught(
        "power-behind-full-links",
        Line::OldConfiguration,
        give_up_openings_soon,
    );
}
