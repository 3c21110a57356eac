//! Sets of deregistrations: merging in any order, digests, and their end.

use std::time::Duration;

use caperworks::deregistrations::{
    Deregistrations, ReceivedDeregistration, DEREGISTRATION_RETENTION,
};
use caperworks::identifiers::{InstanceId, RandomSource};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn report(id: u64, age: Duration) -> ReceivedDeregistration {
    ReceivedDeregistration {
        id: InstanceId::new(format!("instance-{id}")),
        age,
    }
}

fn known(set: &Deregistrations) -> Vec<String> {
    set.ids().map(InstanceId::to_string).collect()
}

#[test]
fn sets_merged_differently_are_equal_and_have_equal_digests() {
    for seed in 0..200 {
        let mut random = RandomSource::seeded(seed);
        let reports: Vec<ReceivedDeregistration> = (0..random.below(20))
            .map(|_| report(random.below(12), seconds(random.below(100))))
            .collect();
        let now = seconds(200);
        let (mut one, mut other) = (Deregistrations::default(), Deregistrations::default());
        for received in &reports {
            one.record(now, received, 1);
        }
        for received in reports.iter().rev().chain(&reports) {
            other.record(now, received, 1);
        }
        assert_eq!(known(&one), known(&other), "seed {seed}");
        assert_eq!(one.digest(), other.digest(), "seed {seed}");
        let dropped = report(random.below(12), Duration::ZERO).id;
        let mut smaller = Deregistrations::default();
        for received in reports.iter().filter(|received| received.id != dropped) {
            smaller.record(now, received, 1);
        }
        assert_eq!(
            smaller.digest() == one.digest(),
            !one.contains(&dropped),
            "seed {seed}"
        );
    }
}

#[test]
fn reports_end_after_the_retention_wherever_they_were_first_recorded() {
    let mut first = Deregistrations::default();
    assert!(first.record(seconds(10), &report(1, Duration::ZERO), 1));
    let passed_on = first.after(seconds(10) + DEREGISTRATION_RETENTION - seconds(1), 0);
    let mut second = Deregistrations::default();
    // The clock of the second node shows another time.
    let now = seconds(5000);
    assert!(second.record(now, &passed_on[0], 1));
    assert!(second.expire(now).is_empty());
    assert_eq!(second.expire(now + seconds(1)).len(), 1);
    assert!(second.is_empty() && second.digest() == Deregistrations::default().digest());
}

#[test]
fn old_report_is_not_recorded_again() {
    let mut set = Deregistrations::default();
    assert!(!set.record(seconds(500), &report(1, DEREGISTRATION_RETENTION), 1));
    assert!(set.is_empty());
    // What is about to expire is not reported any more.
    set.record(seconds(500), &report(2, Duration::ZERO), 1);
    assert!(set
        .after(seconds(500) + DEREGISTRATION_RETENTION, 0)
        .is_empty());
}

#[test]
fn age_of_known_deregistration_does_not_change_with_a_later_report() {
    let mut set = Deregistrations::default();
    set.record(seconds(10), &report(1, seconds(3)), 1);
    assert!(!set.record(seconds(11), &report(1, Duration::ZERO), 2));
    let id = report(1, Duration::ZERO).id;
    assert_eq!(set.age(seconds(11), &id), Some(seconds(4)));
    assert_eq!(set.len(), 1);
}
