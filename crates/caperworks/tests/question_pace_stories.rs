//! Stories of when a follower asks again, by how long answers take.

use std::collections::VecDeque;
use std::time::Duration;

use caperworks::poll_pacer::PollPacer;
use caperworks::rtt_estimator::{CORE_TIMEOUT, LOCAL_TIMEOUT};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Asks whenever it may, over a link on which each answer takes so long; gives the moments.
fn asked_at(pace: &mut PollPacer, takes: Duration, until: Duration) -> Vec<Duration> {
    let mut asked = Vec::new();
    let mut under_way: VecDeque<(u64, Duration)> = VecDeque::new();
    let mut now = Duration::ZERO;
    while now < until {
        while under_way.front().is_some_and(|(_, at)| now >= *at + takes) {
            let (number, at) = under_way.pop_front().expect("there is one");
            pace.answered(number, Some(now - at));
        }
        if pace.may_poll(now) {
            let number = asked.len() as u64;
            pace.asked(now, number);
            asked.push(now);
            under_way.push_back((number, now));
        }
        now += millis(10);
    }
    asked
}

#[test]
fn given_answers_that_take_long_when_that_is_known_then_no_question_is_asked_twice() {
    let mut pace = PollPacer::new(CORE_TIMEOUT);
    let takes = millis(700);
    let asked = asked_at(&mut pace, takes, millis(30_000));
    let later: Vec<&Duration> = asked.iter().filter(|at| **at > millis(5000)).collect();
    for pair in later.windows(2) {
        assert!(*pair[1] - *pair[0] >= takes, "{asked:?}");
    }
    assert!(
        later.len() >= 30,
        "it asks as often as answers come: {asked:?}"
    );
}

#[test]
fn given_a_fast_link_when_an_answer_is_lost_then_it_is_asked_again_after_the_least_patience() {
    let mut pace = PollPacer::new(CORE_TIMEOUT);
    for number in 0..20 {
        let now = millis(number * 300);
        pace.asked(now, number);
        pace.answered(number, Some(millis(20)));
    }
    let now = millis(6000);
    pace.asked(now, 20);
    assert!(!pace.may_poll(now + CORE_TIMEOUT.min_timeout - millis(1)));
    assert!(pace.may_poll(now + CORE_TIMEOUT.min_timeout));
}

#[test]
fn given_silence_when_it_lasts_then_questions_become_rarer_and_never_rarer_than_the_bound() {
    for bounds in [CORE_TIMEOUT, LOCAL_TIMEOUT] {
        let mut pace = PollPacer::new(bounds);
        let never = Duration::MAX / 2;
        let asked = asked_at(&mut pace, never, millis(20_000));
        let gaps: Vec<Duration> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert_eq!(gaps.first(), Some(&bounds.min_timeout));
        assert_eq!(gaps.iter().max(), Some(&bounds.max_unanswered_timeout));
    }
}

#[test]
fn given_an_answer_that_comes_in_parts_when_parts_still_come_then_nothing_more_is_asked() {
    let mut pace = PollPacer::new(CORE_TIMEOUT);
    pace.asked(millis(0), 1);
    for step in 1..50 {
        let now = millis(step * 200);
        pace.partial_response_received(now);
        assert!(!pace.may_poll(now + millis(199)));
    }
    assert!(pace.may_poll(millis(9800) + CORE_TIMEOUT.min_timeout));
}
