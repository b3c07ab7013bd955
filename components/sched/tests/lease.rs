//! When the leases of an unreachable worker have surely run out.

use std::time::Duration;

use sched::Lease;

const MAX: Duration = Duration::from_secs(6);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn renewals_that_were_not_sent_do_not_prolong_a_lease() {
    let mut lease = Lease::default();
    lease.read(at(50_000), at(1_000), MAX);
    let end = lease.end(at(1_000), MAX).expect("the clock is known");
    lease.gave(end);
    // Every later try finds no connection: it asks for an end, but gives nothing.
    let mut now = at(1_100);
    while now < at(7_000) {
        assert!(lease.end(now, MAX).is_some());
        assert!(!lease.lapsed(now), "{now:?}");
        now += at(100);
    }
    assert!(lease.lapsed(at(7_300)));
}

#[test]
fn a_renewal_without_an_answer_may_have_prolonged_the_lease() {
    let mut lease = Lease::default();
    lease.read(at(50_000), at(1_000), MAX);
    let end = lease.end(at(3_000), MAX).expect("the clock is known");
    lease.gave(end);
    assert!(!lease.lapsed(at(8_900)));
    assert!(lease.lapsed(at(9_300)));
}

#[test]
fn what_an_earlier_leader_gave_counts_from_the_first_contact() {
    let mut lease = Lease::default();
    lease.read(at(50_000), at(1_000), MAX);
    assert!(!lease.lapsed(at(6_900)));
    assert!(lease.lapsed(at(7_300)));
}

#[test]
fn a_slow_clock_is_reckoned_with() {
    let mut lease = Lease::default();
    lease.read(at(0), at(0), MAX);
    lease.gave(at(10_000));
    // A clock that runs 2% slow shows 10 s only after 10.2 s.
    assert!(!lease.lapsed(at(10_200)));
    assert!(lease.lapsed(at(10_400)));
}

#[test]
fn without_a_reading_nothing_is_certain() {
    assert!(!Lease::default().lapsed(Duration::from_secs(100)));
}

#[test]
fn an_overtaken_answer_does_not_turn_the_clock_back() {
    let mut lease = Lease::default();
    lease.read(at(5_000), at(1_000), MAX);
    lease.read(at(4_500), at(1_200), MAX);
    assert_eq!(lease.end(at(1_000), MAX), Some(at(11_000)));
}

#[test]
fn leases_of_a_leader_of_this_version_are_as_long_as_ours() {
    let limits = sched::Limits { max_lease: Duration::from_secs(10), ..sched::Limits::example() };
    let gone_after = |known| {
        let mut lease = Lease::default();
        lease.read(Duration::ZERO, Duration::ZERO, limits.inherited(known));
        (0..200).map(|tenths| Duration::from_millis(100 * tenths)).find(|now| lease.lapsed(*now))
    };
    assert_eq!(gone_after(true), Some(Duration::from_millis(6_300)));
    assert_eq!(gone_after(false), Some(Duration::from_millis(10_400)));
}
