//! When the leases of an unreachable worker have certainly expired.

use std::time::Duration;

use sched::Lease;

const MAX_LEASE: Duration = Duration::from_secs(6);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn renewals_that_were_not_sent_do_not_extend_a_lease() {
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), MAX_LEASE);
    let end = lease.expiry(at(1_000), MAX_LEASE).expect("the clock is known");
    lease.grant(end);
    // Each later attempt finds no connection: it computes an end, but grants no lease.
    let mut now = at(1_100);
    while now < at(7_000) {
        assert!(lease.expiry(now, MAX_LEASE).is_some());
        assert!(!lease.is_expired(now), "{now:?}");
        now += at(100);
    }
    assert!(lease.is_expired(at(7_300)));
}

#[test]
fn a_renewal_without_an_answer_may_have_extended_the_lease() {
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), MAX_LEASE);
    let end = lease.expiry(at(3_000), MAX_LEASE).expect("the clock is known");
    lease.grant(end);
    assert!(!lease.is_expired(at(8_900)));
    assert!(lease.is_expired(at(9_300)));
}

#[test]
fn leases_of_an_earlier_leader_count_from_the_first_contact() {
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), MAX_LEASE);
    assert!(!lease.is_expired(at(6_900)));
    assert!(lease.is_expired(at(7_300)));
}

#[test]
fn a_slow_clock_is_taken_into_account() {
    let mut lease = Lease::default();
    lease.observe_clock(at(0), at(0), MAX_LEASE);
    lease.grant(at(10_000));
    // A clock that is 2% slow shows 10 s only after 10.2 s.
    assert!(!lease.is_expired(at(10_200)));
    assert!(lease.is_expired(at(10_400)));
}

#[test]
fn without_a_clock_reading_no_lease_is_known_to_have_expired() {
    assert!(!Lease::default().is_expired(Duration::from_secs(100)));
}

#[test]
fn an_overtaken_answer_does_not_set_the_clock_back() {
    let mut lease = Lease::default();
    lease.observe_clock(at(5_000), at(1_000), MAX_LEASE);
    lease.observe_clock(at(4_500), at(1_200), MAX_LEASE);
    assert_eq!(lease.expiry(at(1_000), MAX_LEASE), Some(at(11_000)));
}

#[test]
fn leases_of_a_leader_of_this_version_are_assumed_as_long_as_ours() {
    let limits = sched::Limits { max_lease: Duration::from_secs(10), ..sched::Limits::example() };
    let expires_after = |known| {
        let mut lease = Lease::default();
        lease.observe_clock(Duration::ZERO, Duration::ZERO, limits.predecessor_lease(known));
        (0..200).map(|tenths| Duration::from_millis(100 * tenths)).find(|now| lease.is_expired(*now))
    };
    assert_eq!(expires_after(true), Some(Duration::from_millis(6_300)));
    assert_eq!(expires_after(false), Some(Duration::from_millis(10_400)));
}

/// Time after its last run within which a long-running task must run again.
const LONG_RUNNING_TASK_DOWNTIME: Duration = Duration::from_secs(9);
/// Time to live of the lease of the leader's record.
const STORE_LEASE: Duration = Duration::from_secs(1);

/// Guards against two runs of a task: whenever a leader that was replaced granted a lease, the next leader waits until it has
/// ended on the slowest clock.
#[test]
fn leases_of_a_replaced_leader_end_before_its_successor_takes_them_for_ended() {
    for max_lease in [3, 6, 10, 30].map(Duration::from_secs) {
        let limits = sched::Limits { max_lease, lease: sched::lease(max_lease), ..sched::Limits::example() };
        let vacant_for = sched::Limits::min_store_lease(STORE_LEASE);
        let waited_for = vacant_for + limits.replaced_lapse_time(vacant_for);
        for unrenewed_for in (0..200).map(|tenths| Duration::from_millis(100 * tenths)) {
            let lease = limits.grantable_lease(unrenewed_for);
            assert!(lease.is_zero() || unrenewed_for + lease.mul_f64(1.02) < waited_for, "{unrenewed_for:?}");
        }
        // A leader that ends may have granted a lease just before.
        assert!(limits.replaced_lapse_time(Duration::from_secs(60)) > limits.lease.mul_f64(1.02));
    }
}

/// Guards against long-running tasks that are down for too long when the host of the leader and their worker are lost at once.
#[test]
fn leases_of_a_lost_leader_end_in_time_for_a_long_running_task() {
    for max_lease in [6, 10].map(Duration::from_secs) {
        let limits = sched::Limits { max_lease, lease: sched::lease(max_lease), ..sched::Limits::example() };
        let downtime = STORE_LEASE + limits.replaced_lapse_time(sched::Limits::min_store_lease(STORE_LEASE));
        assert!(downtime < LONG_RUNNING_TASK_DOWNTIME, "{downtime:?}");
    }
}

/// Guards against two runs of a task where the platform tells no times of birth: the restarted worker takes deadlines on its earlier
/// clock for distant ones and cuts the leases to the longest that it accepts.
#[test]
fn leases_of_a_worker_that_restarted_under_its_id_last_as_long_as_workers_accept() {
    let limits = sched::Limits { max_lease: Duration::from_secs(10), lease: MAX_LEASE, ..sched::Limits::example() };
    let mut lease = Lease::default();
    lease.observe_clock(at(50_000), at(1_000), limits.lease);
    lease.observe_clock(at(300), at(2_000), limits.lease);
    lease.note_restart(limits.max_lease - limits.lease);
    let until = lease.expiry(at(2_000), limits.lease).expect("a reading");
    assert!(until > at(300) + limits.max_lease, "a distant deadline");
    lease.grant(until);
    assert!(!lease.is_expired(at(2_000) + limits.max_lease.mul_f64(1.02)));
    assert!(lease.is_expired(at(2_000) + limits.max_lease.mul_f64(1.03) + Duration::from_millis(200)));
}
