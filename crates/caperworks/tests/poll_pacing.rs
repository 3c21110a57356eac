//! Tests of the intervals between a follower's polls, depending on how long responses take.

use std::collections::VecDeque;
use std::time::Duration;

use caperworks::poll_pacer::PollPacer;
use caperworks::rtt_estimator::{CORE_TIMEOUT, LOCAL_TIMEOUT};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Polls whenever that is allowed, over a link on which each response takes this long; returns the times.
fn poll_times(pacer: &mut PollPacer, response_time: Duration, until: Duration) -> Vec<Duration> {
    let mut polled_at = Vec::new();
    let mut in_flight: VecDeque<(u64, Duration)> = VecDeque::new();
    let mut now = Duration::ZERO;
    while now < until {
        while in_flight
            .front()
            .is_some_and(|(_, at)| now >= *at + response_time)
        {
            let (number, at) = in_flight.pop_front().expect("a poll is in flight");
            pacer.record_response(number, Some(now - at));
        }
        if pacer.may_poll(now) {
            let number = polled_at.len() as u64;
            pacer.record_request(now, number);
            polled_at.push(now);
            in_flight.push_back((number, now));
        }
        now += millis(10);
    }
    polled_at
}

#[test]
fn slow_responses_are_not_requested_twice() {
    let mut pacer = PollPacer::new(CORE_TIMEOUT);
    let response_time = millis(700);
    let polled_at = poll_times(&mut pacer, response_time, millis(30_000));
    let later: Vec<&Duration> = polled_at.iter().filter(|at| **at > millis(5000)).collect();
    for pair in later.windows(2) {
        assert!(*pair[1] - *pair[0] >= response_time, "{polled_at:?}");
    }
    assert!(
        later.len() >= 30,
        "it polls as often as responses arrive: {polled_at:?}"
    );
}

#[test]
fn lost_response_on_a_fast_link_is_requested_again_after_the_minimum_timeout() {
    let mut pacer = PollPacer::new(CORE_TIMEOUT);
    for number in 0..20 {
        let now = millis(number * 300);
        pacer.record_request(now, number);
        pacer.record_response(number, Some(millis(20)));
    }
    let now = millis(6000);
    pacer.record_request(now, 20);
    assert!(!pacer.may_poll(now + CORE_TIMEOUT.min_timeout - millis(1)));
    assert!(pacer.may_poll(now + CORE_TIMEOUT.min_timeout));
}

#[test]
fn polls_without_responses_back_off_up_to_the_bound() {
    for bounds in [CORE_TIMEOUT, LOCAL_TIMEOUT] {
        let mut pacer = PollPacer::new(bounds);
        let never = Duration::MAX / 2;
        let polled_at = poll_times(&mut pacer, never, millis(20_000));
        let gaps: Vec<Duration> = polled_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert_eq!(gaps.first(), Some(&bounds.min_timeout));
        assert_eq!(gaps.iter().max(), Some(&bounds.max_unanswered_timeout));
    }
}

#[test]
fn partial_responses_postpone_the_next_poll() {
    let mut pacer = PollPacer::new(CORE_TIMEOUT);
    pacer.record_request(millis(0), 1);
    for step in 1..50 {
        let now = millis(step * 200);
        pacer.partial_response_received(now);
        assert!(!pacer.may_poll(now + millis(199)));
    }
    assert!(pacer.may_poll(millis(9800) + CORE_TIMEOUT.min_timeout));
}
