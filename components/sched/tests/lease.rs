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
    lease.observe_clock(at(50_000), at(1_000), MAX);
    let end = lease.expiry(at(1_000), MAX).expect("the clock is known");
    lease.grant(end);
    // Every later try finds no connection: it asks for an end, but gives nothing.
    let mut now = at(1_100);
    while now < at(7_000) {
        assert!(lease.expiry(now, MAX).is_some());
        assert!(!lease.is_expired(now), "{now:?}");
        now += at(100);
    }
    assert!(lease.is_expired(at(7_300)));
}

#[test]
fn a_renewal_without_an_answer_may_have_prolonged_the_lease() {
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), MAX);
    let end = lease.expiry(at(3_000), MAX).expect("the clock is known");
    lease.grant(end);
    assert!(!lease.is_expired(at(8_900)));
    assert!(lease.is_expired(at(9_300)));
}

#[test]
fn what_an_earlier_leader_gave_counts_from_the_first_contact() {
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), MAX);
    assert!(!lease.is_expired(at(6_900)));
    assert!(lease.is_expired(at(7_300)));
}

#[test]
fn a_slow_clock_is_reckoned_with() {
    let mut lease = Lease::default();
    lease.observe_clock(at(0), at(0), MAX);
    lease.grant(at(10_000));
    // A clock that runs 2% slow shows 10 s only after 10.2 s.
    assert!(!lease.is_expired(at(10_200)));
    assert!(lease.is_expired(at(10_400)));
}

#[test]
fn without_a_reading_nothing_is_certain() {
    assert!(!Lease::default().is_expired(Duration::from_secs(100)));
}

#[test]
fn an_overtaken_answer_does_not_turn_the_clock_back() {
    let mut lease = Lease::default();
    lease.observe_clock(at(5_000), at(1_000), MAX);
    lease.observe_clock(at(4_500), at(1_200), MAX);
    assert_eq!(lease.expiry(at(1_000), MAX), Some(at(11_000)));
}

#[test]
fn leases_of_a_leader_of_this_version_are_as_long_as_ours() {
    let limits = sched::Limits { max_lease: Duration::from_secs(10), ..sched::Limits::example() };
    let gone_after = |known| {
        let mut lease = Lease::default();
        lease.observe_clock(Duration::ZERO, Duration::ZERO, limits.predecessor_lease(known));
        (0..200).map(|tenths| Duration::from_millis(100 * tenths)).find(|now| lease.is_expired(*now))
    };
    assert_eq!(gone_after(true), Some(Duration::from_millis(6_300)));
    assert_eq!(gone_after(false), Some(Duration::from_millis(10_400)));
}
