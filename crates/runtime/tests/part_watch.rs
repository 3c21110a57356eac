//! Stories of messages that come in parts.

use std::time::{Duration, Instant};

use runtime::progress_watch::ProgressWatch;

#[test]
fn given_a_message_that_comes_slowly_when_more_of_it_comes_then_that_is_told_now_and_then() {
    let began_at = Instant::now();
    let mut watch = ProgressWatch::begin(began_at);
    let reported: Vec<u64> = (0..1000)
        .step_by(50)
        .filter(|millis| watch.bytes_received(began_at + Duration::from_millis(*millis)))
        .collect();
    assert_eq!(reported, [400, 600, 800]);
}

#[test]
fn given_a_message_that_comes_at_once_when_it_comes_in_many_parts_then_nothing_is_told() {
    let began_at = Instant::now();
    let mut watch = ProgressWatch::begin(began_at);
    let tells = |millis| watch.bytes_received(began_at + Duration::from_millis(millis));
    assert_eq!(
        (0..400)
            .filter(|millis| *millis % 10 == 0)
            .map(tells)
            .filter(|reported| *reported)
            .count(),
        0
    );
}
