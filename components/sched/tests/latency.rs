//! Timeouts that are derived from observed answer times.

use std::time::Duration;

use sched::Latency;

const MIN_TIMEOUT: Duration = Duration::from_millis(80);
const MAX_TIMEOUT: Duration = Duration::from_millis(450);

fn timeout_after(answers: &[u64]) -> Duration {
    let mut latency = Latency::default();
    answers.iter().for_each(|took| latency.observe(Duration::from_millis(*took)));
    latency.timeout(MIN_TIMEOUT, MAX_TIMEOUT)
}

#[test]
fn before_the_first_answer_the_timeout_is_the_maximum() {
    assert_eq!(timeout_after(&[]), MAX_TIMEOUT);
}

#[test]
fn fast_answers_shorten_the_timeout_to_the_minimum() {
    assert_eq!(timeout_after(&[5; 20]), MIN_TIMEOUT);
}

#[test]
fn slow_answers_lengthen_the_timeout_up_to_the_maximum() {
    let slow = timeout_after(&[5, 5, 5, 5, 100, 100, 100]);
    assert!(slow > Duration::from_millis(100) && slow < MAX_TIMEOUT, "{slow:?}");
    assert_eq!(timeout_after(&[900; 10]), MAX_TIMEOUT);
}

#[test]
fn steady_answers_give_a_timeout_close_to_their_time() {
    let steady = timeout_after(&[200; 40]);
    assert!(steady > Duration::from_millis(199) && steady < Duration::from_millis(220), "{steady:?}");
}

#[test]
fn timeouts_lengthen_the_timeout_until_the_next_answer() {
    let mut latency = Latency::default();
    (0..20).for_each(|_| latency.observe(Duration::from_millis(5)));
    latency.record_timeout();
    assert_eq!(latency.timeout(MIN_TIMEOUT, MAX_TIMEOUT), 2 * MIN_TIMEOUT);
    (0..9).for_each(|_| latency.record_timeout());
    assert_eq!(latency.timeout(MIN_TIMEOUT, MAX_TIMEOUT), MAX_TIMEOUT);
    latency.observe(Duration::from_millis(5));
    assert_eq!(latency.timeout(MIN_TIMEOUT, MAX_TIMEOUT), MIN_TIMEOUT, "an answer resets the timeout");
}
