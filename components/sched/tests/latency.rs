//! How long an answer is waited for.

use std::time::Duration;

use sched::Latency;

const LEAST: Duration = Duration::from_millis(80);
const MOST: Duration = Duration::from_millis(450);

fn after(answers: &[u64]) -> Duration {
    let mut latency = Latency::default();
    answers.iter().for_each(|took| latency.observe(Duration::from_millis(*took)));
    latency.timeout(LEAST, MOST)
}

#[test]
fn before_the_first_answer_the_longest_time_is_waited() {
    assert_eq!(after(&[]), MOST);
}

#[test]
fn quick_answers_shorten_the_wait_to_its_least() {
    assert_eq!(after(&[5; 20]), LEAST);
}

#[test]
fn slow_answers_lengthen_it_within_bounds() {
    let slow = after(&[5, 5, 5, 5, 100, 100, 100]);
    assert!(slow > Duration::from_millis(100) && slow < MOST, "{slow:?}");
    assert_eq!(after(&[900; 10]), MOST);
}

#[test]
fn steady_answers_leave_little_room_above_them() {
    let steady = after(&[200; 40]);
    assert!(steady > Duration::from_millis(199) && steady < Duration::from_millis(220), "{steady:?}");
}

#[test]
fn answers_that_become_slow_are_learnt_of() {
    let mut latency = Latency::default();
    (0..20).for_each(|_| latency.observe(Duration::from_millis(5)));
    latency.record_timeout();
    assert_eq!(latency.timeout(LEAST, MOST), 2 * LEAST);
    (0..9).for_each(|_| latency.record_timeout());
    assert_eq!(latency.timeout(LEAST, MOST), MOST);
    latency.observe(Duration::from_millis(5));
    assert_eq!(latency.timeout(LEAST, MOST), LEAST, "a single one was lost");
}
