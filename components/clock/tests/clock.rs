//! Tests of the clock that includes suspensions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clock::Clock;

#[test]
fn stopwatch_measures_the_time_of_its_clock() {
    let seconds = Arc::new(AtomicU64::new(5));
    let current = seconds.clone();
    let stopwatch = Clock::new(move || Duration::from_secs(current.load(Ordering::Relaxed))).start();
    assert_eq!(stopwatch.elapsed(), Duration::ZERO);
    seconds.store(15, Ordering::Relaxed);
    assert_eq!(stopwatch.elapsed(), Duration::from_secs(10));
    seconds.store(3, Ordering::Relaxed);
    assert_eq!(stopwatch.elapsed(), Duration::ZERO, "never negative");
}

#[test]
fn system_clock_does_not_go_backwards_or_jump() {
    let instant = Instant::now();
    let stopwatch = Clock::system().start();
    for _ in 0..1000 {
        let before = stopwatch.elapsed();
        assert!(before <= stopwatch.elapsed());
    }
    let elapsed = stopwatch.elapsed();
    assert!(elapsed <= instant.elapsed() + Duration::from_secs(3600), "it starts at zero: {elapsed:?}");
}
