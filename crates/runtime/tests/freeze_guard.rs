//! Tests of the detection of input from before a freeze.

use std::time::Duration;

use runtime::freeze_guard::FreezeGuard;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn frequent_clock_reads_never_mark_input_as_stale() {
    let guard = FreezeGuard::start(millis(0));
    for step in 1..200 {
        assert!(!guard.check(millis(step * 25)), "step {step}");
    }
}

#[test]
fn input_shortly_after_a_freeze_is_marked_as_stale() {
    let guard = FreezeGuard::start(millis(0));
    assert!(!guard.check(millis(25)));
    assert!(
        guard.check(millis(3_000)),
        "the first clock read after the gap"
    );
    assert!(
        guard.check(millis(3_500)),
        "sockets may still hold old input"
    );
    assert!(!guard.check(millis(4_000)), "a second after the gap");
}

#[test]
fn gap_below_the_threshold_is_not_a_freeze() {
    let guard = FreezeGuard::start(millis(0));
    assert!(!guard.check(millis(699)));
    assert!(guard.check(millis(699 + 700)));
}

#[test]
fn late_reader_does_not_hide_a_freeze_from_others() {
    let guard = FreezeGuard::start(millis(0));
    assert!(guard.check(millis(2_000)));
    // A reader that read the clock before another one did.
    assert!(guard.check(millis(1_999)));
    assert!(guard.check(millis(2_100)));
}
