//! Tests of progress reports for messages that arrive in parts.

use std::time::{Duration, Instant};

use runtime::progress_watch::ProgressWatch;

#[test]
fn progress_of_a_slow_message_is_reported_at_intervals() {
    let started_at = Instant::now();
    let mut watch = ProgressWatch::begin(started_at);
    let reported: Vec<u64> = (0..1000)
        .step_by(50)
        .filter(|millis| watch.bytes_received(started_at + Duration::from_millis(*millis)))
        .collect();
    assert_eq!(reported, [400, 600, 800]);
}

#[test]
fn fast_message_in_many_parts_reports_no_progress() {
    let started_at = Instant::now();
    let mut watch = ProgressWatch::begin(started_at);
    let is_reported = |millis| watch.bytes_received(started_at + Duration::from_millis(millis));
    assert_eq!(
        (0..400)
            .filter(|millis| *millis % 10 == 0)
            .map(is_reported)
            .filter(|reported| *reported)
            .count(),
        0
    );
}
