//! How long a new leader waits for the leases of the leaders before it.

use std::time::Duration;

use crate::cell::{Cell, step};

#[test]
fn after_a_leader_that_resigned_only_its_leases_are_waited_for() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let mut new = Cell::from_log(2, 2, &old.log);
    new.engine.predecessor_ended(Duration::ZERO);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.now = Duration::from_millis(6_200);
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    new.now = Duration::from_millis(6_300);
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn leases_of_an_earlier_version_are_waited_for() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let limits = sched::Limits { max_lease: Duration::from_secs(10), ..sched::Limits::example() };
    let mut new = Cell::with_limits(limits, 2, 2, &old.log);
    new.engine.set_predecessor_activity(limits.activity(false));
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    // 7 s of authority, and leases of up to 10 s by a clock that runs slow.
    new.now = Duration::from_millis(17_200);
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    new.now = Duration::from_millis(17_400);
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

/// Guards against long-running tasks that are down for 14 s when the host of the leader and their worker are lost at once.
#[test]
fn leases_of_a_lost_leader_are_waited_for_no_longer_than_they_last() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let mut new = Cell::from_log(2, 2, &old.log);
    new.engine.set_predecessor_leases(Duration::from_millis(7_300));
    new.infos.remove("w0");
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.now = Duration::from_millis(7_200);
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    new.now = Duration::from_millis(7_400);
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}
