//! What failures of a workload say of it.

use std::time::{Duration, Instant};

use jobs::{Failures, RetryState};

const WORKERS: usize = 4;

fn wait(failures: &Failures, now: Instant) -> Duration {
    match failures.retry_state(now) {
        RetryState::Pause(model::Reason::BackOff { wait, .. }) => wait,
        other => panic!("{other:?}"),
    }
}

/// Six tasks on a worker that fails everything made a pause of 32 s.
#[test]
fn tasks_that_fail_at_once_make_one_pause() {
    let mut failures = Failures::default();
    let now = Instant::now();
    for number in 0..6 {
        failures.record_failure("w0", "failed", false, WORKERS, now + Duration::from_millis(number));
    }
    assert!(wait(&failures, now + Duration::from_millis(5)) <= Duration::from_secs(1));
}

#[test]
fn failures_one_after_the_other_make_longer_and_longer_pauses() {
    let mut failures = Failures::default();
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..4 {
        failures.record_failure("w0", "failed", false, WORKERS, now);
        let pause = wait(&failures, now);
        pauses.push(pause.as_secs());
        now += pause;
    }
    assert_eq!(pauses, [1, 2, 4, 8]);
    failures.record_success();
    failures.record_failure("w0", "failed", false, WORKERS, now);
    assert_eq!(wait(&failures, now), Duration::from_secs(1));
}
