//! The clock that goes on during a suspension.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clock::Clock;

#[test]
fn a_start_counts_what_its_clock_has_gone_on() {
    let seconds = Arc::new(AtomicU64::new(5));
    let read = seconds.clone();
    let start = Clock::new(move || Duration::from_secs(read.load(Ordering::Relaxed))).start();
    assert_eq!(start.elapsed(), Duration::ZERO);
    seconds.store(15, Ordering::Relaxed);
    assert_eq!(start.elapsed(), Duration::from_secs(10));
    seconds.store(3, Ordering::Relaxed);
    assert_eq!(start.elapsed(), Duration::ZERO, "never less than nothing");
}

#[test]
fn the_system_clock_never_falls_behind_the_steady_one() {
    let steady = Instant::now();
    let start = Clock::system().start();
    for _ in 0..1000 {
        let before = start.elapsed();
        assert!(before <= start.elapsed());
    }
    let counted = start.elapsed();
    assert!(counted <= steady.elapsed() + Duration::from_secs(3600), "it starts at nought: {counted:?}");
}
