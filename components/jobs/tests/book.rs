//! Tests of `JobTracker`: starts, stops, recovery, acknowledgement of stored ends, and parking.

mod support;

use std::time::{Duration, Instant};

use jobs::{JobEvent, JobTracker, Phase};
use model::task::{Attempt, End, Id};
use model::workload::{Intent, Kind, Progress};
use model::{Reason, Resources};
use support::versioned;
use wire::{TaskFact, TaskState};

fn tracker(now: Instant, kind: Kind, count: u32) -> JobTracker {
    let mut tracker = JobTracker::new(5, "gt-1".to_owned());
    tracker.set_worker_count(10);
    tracker.apply(versioned("plan", kind, count, 1), None, true, now);
    tracker
}

fn fact(worker: &str, state: TaskState) -> TaskFact {
    TaskFact { worker: worker.to_owned(), state, resources: Resources::new(1, 1024, 0), patient: false, unsaved: 0 }
}

fn start(tracker: &mut JobTracker, index: u32, worker: &str, now: Instant) -> (Id, Attempt) {
    let order = tracker.create_start_order("plan", index, &worker.to_owned(), now).expect("the task waits");
    tracker.start_committed(&order.task, order.attempt, now);
    (order.task, order.attempt)
}

fn observe(tracker: &mut JobTracker, (task, attempt): &(Id, Attempt), worker: &str, state: TaskState, now: Instant) {
    tracker.observe(task, *attempt, &fact(worker, state), false, now);
}

fn report_failure(tracker: &mut JobTracker, started: &(Id, Attempt), worker: &str, now: Instant) {
    let end = End::Failed { message: "exit status 1".to_owned() };
    observe(tracker, started, worker, TaskState::Ended(end), now);
}

fn phase(tracker: &JobTracker, index: u32) -> &Phase {
    &tracker.jobs()["plan"].tasks[&index].phase
}

#[test]
fn a_task_gets_a_new_attempt_only_after_the_previous_one_ended() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let first = start(&mut tracker, 0, "w1", now);
    assert!(tracker.create_start_order("plan", 0, &"w2".to_owned(), now).is_none());
    observe(&mut tracker, &first, "w1", TaskState::Running(None), now);
    assert!(tracker.create_start_order("plan", 0, &"w2".to_owned(), now).is_none());
    observe(&mut tracker, &first, "w1", TaskState::Ended(End::Lost), now);
    let second = tracker.create_start_order("plan", 0, &"w2".to_owned(), now).unwrap();
    assert!(second.attempt > first.1);
}

#[test]
fn an_unanswered_start_order_is_resent_unchanged() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let order = tracker.create_start_order("plan", 0, &"w1".to_owned(), now).unwrap();
    assert!(tracker.overdue_orders(now).is_empty());
    assert_eq!(tracker.overdue_orders(now + Duration::from_secs(1)), std::slice::from_ref(&order));
    tracker.start_refused(&order.task, order.attempt, Reason::NoWorkers, now);
    assert_eq!(phase(&tracker, 0), &Phase::Waiting);
}

#[test]
fn tasks_that_a_previous_owner_may_have_started_wait_until_recovery_finishes() {
    let now = Instant::now();
    let mut tracker = JobTracker::new(5, "gt-1".to_owned());
    tracker.apply(versioned("plan", Kind::Batch, 2, 1), None, false, now);
    assert!(tracker.pending_jobs(now).is_empty());
    let found = (tracker.jobs()["plan"].id(1), Attempt { epoch: 4, number: 9 });
    observe(&mut tracker, &found, "w1", TaskState::Running(None), now);
    tracker.finish_recovery(now);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0]);
    assert!(matches!(phase(&tracker, 1), Phase::Running { .. }));
}

#[test]
fn a_finished_attempt_is_acknowledged_only_once_it_is_stored() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 2);
    let started = start(&mut tracker, 1, "w1", now);
    observe(&mut tracker, &started, "w1", TaskState::Ended(End::Finished), now);
    observe(&mut tracker, &started, "w1", TaskState::Ended(End::Finished), now);
    assert!(tracker.take_acknowledgements().is_empty());
    let (name, progress, ends) = tracker.unpersisted_ends().remove(0);
    assert_eq!(progress, Progress { life: 1, finished: vec![(1, 1)] });
    tracker.mark_persisted(&name, &ends);
    assert_eq!(tracker.take_acknowledgements(), ends);
    assert!(tracker.unpersisted_ends().is_empty() && !tracker.has_unpersisted_ends(&name));
}

#[test]
fn finished_tasks_are_not_run_again_by_the_next_owner() {
    let now = Instant::now();
    let mut tracker = JobTracker::new(6, "gt-1".to_owned());
    let progress = Progress { life: 1, finished: vec![(0, 1)] };
    tracker.apply(versioned("plan", Kind::Batch, 3, 1), Some(&progress), false, now);
    tracker.finish_recovery(now);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [2]);
}

#[test]
fn a_gang_starts_as_a_whole_and_stops_when_it_loses_a_member() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Gang, 3);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0, 1, 2]);
    let started: Vec<_> = (0..3).map(|index| start(&mut tracker, index, "w1", now)).collect();
    for attempt in &started {
        observe(&mut tracker, attempt, "w1", TaskState::Running(None), now);
    }
    observe(&mut tracker, &started[1], "w1", TaskState::Ended(End::Lost), now);
    assert!(tracker.pending_jobs(now).is_empty(), "the lost member alone must not start");
    assert_eq!(tracker.stop_orders(now).len(), 2);
    observe(&mut tracker, &started[0], "w1", TaskState::Ended(End::Stopped), now);
    observe(&mut tracker, &started[2], "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0, 1, 2]);
}

#[test]
fn cancelled_tasks_are_stopped_and_never_started() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 3);
    let started = start(&mut tracker, 0, "w1", now);
    let mut cancelled = versioned("plan", Kind::Batch, 3, 2);
    cancelled.record.intent = Intent::Cancel;
    tracker.apply(cancelled, None, true, now);
    assert!(tracker.pending_jobs(now).is_empty());
    assert!(tracker.create_start_order("plan", 1, &"w1".to_owned(), now).is_none());
    assert_eq!(tracker.stop_orders(now)[0].attempt, started.1);
    observe(&mut tracker, &started, "w1", TaskState::Ended(End::Stopped), now);
    assert!(tracker.jobs()["plan"].is_complete());
}

#[test]
fn a_lower_revision_never_reverts_a_record() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Service, 2);
    tracker.apply(versioned("plan", Kind::Service, 4, 3), None, true, now);
    tracker.apply(versioned("plan", Kind::Service, 1, 2), None, true, now);
    assert_eq!(tracker.jobs()["plan"].desired_count(), 4);
}

#[test]
fn a_workload_that_fails_on_every_worker_is_parked_until_it_is_changed() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    for round in 0..jobs::PARK_AFTER {
        let worker = format!("w{}", round % 3);
        let started = start(&mut tracker, 0, &worker, now);
        report_failure(&mut tracker, &started, &worker, now);
        assert!(tracker.pending_jobs(now).is_empty(), "the workload backs off after a failure");
        now += Duration::from_secs(301);
    }
    assert!(tracker.pending_jobs(now).is_empty());
    assert!(tracker.take_events().iter().any(|event| matches!(event, JobEvent::Parked(..))));
    let reason = tracker.jobs()["plan"].reason(0, now).to_string();
    assert_eq!(reason, "parked after 6 failures on 3 workers; last: exit status 1");
    tracker.apply(versioned("plan", Kind::Batch, 1, 2), None, true, now);
    assert_eq!(tracker.pending_jobs(now).len(), 1);
}

#[test]
fn failures_on_a_worker_that_is_on_probation_do_not_park_a_workload() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    for _ in 0..2 * jobs::PARK_AFTER {
        let (task, attempt) = start(&mut tracker, 0, "bad", now);
        let end = End::Failed { message: "disk".to_owned() };
        tracker.observe(&task, attempt, &fact("bad", TaskState::Ended(end)), true, now);
        now += Duration::from_secs(1);
    }
    assert_eq!(tracker.pending_jobs(now).len(), 1);
}

#[test]
fn an_instance_on_a_leaving_worker_is_stopped_only_after_its_replacement_runs() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Service, 2);
    let started: Vec<_> = (0..2).map(|index| start(&mut tracker, index, "w1", now)).collect();
    for attempt in &started {
        observe(&mut tracker, attempt, "w1", TaskState::Running(None), now);
    }
    assert!(tracker.evacuate(&"w1".to_owned(), now).is_empty());
    assert!(tracker.stop_orders(now).is_empty(), "not before the replacements run");
    let pending = tracker.pending_jobs(now).remove(0);
    assert_eq!(pending.positions, [2, 3]);
    let replacement = start(&mut tracker, 2, "w2", now);
    observe(&mut tracker, &replacement, "w2", TaskState::Running(None), now);
    let stops = tracker.stop_orders(now);
    assert_eq!(stops.len(), 1);
    observe(&mut tracker, &(stops[0].task.clone(), stops[0].attempt), "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.jobs()["plan"].tasks.len(), 3, "one instance has moved, the other has not");
}

#[test]
fn scaling_a_service_down_stops_only_the_surplus_instances() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Service, 3);
    for index in 0..3 {
        let started = start(&mut tracker, index, "w1", now);
        observe(&mut tracker, &started, "w1", TaskState::Running(None), now);
    }
    tracker.apply(versioned("plan", Kind::Service, 1, 2), None, true, now);
    assert_eq!(tracker.stop_orders(now).len(), 2);
}

#[test]
fn attempts_of_a_previous_workload_with_the_same_name_are_stopped() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let old = start(&mut tracker, 0, "w1", now);
    let mut recreated = versioned("plan", Kind::Batch, 1, 2);
    recreated.record.life = 2;
    tracker.apply(recreated, None, true, now);
    observe(&mut tracker, &old, "w1", TaskState::Running(None), now);
    let orphans: Vec<Attempt> = tracker.orphans().map(|order| order.attempt).collect();
    assert_eq!(orphans, [old.1]);
    observe(&mut tracker, &old, "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.take_acknowledgements().len(), 1);
    assert_eq!(tracker.orphans().count(), 0);
}

/// Each worker that starts the task goes down, so no failure is ever reported. Without counting these losses the task
/// would be started again forever.
#[test]
fn a_workload_that_repeatedly_loses_its_worker_is_parked() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let mut start_count = 0;
    for round in 0..20 {
        now += Duration::from_secs(400);
        let worker = format!("w{round}");
        if tracker.pending_jobs(now).is_empty() {
            break;
        }
        let order = tracker.create_start_order("plan", 0, &worker, now).expect("the task waits");
        start_count += 1;
        tracker.start_committed(&order.task, order.attempt, now);
        tracker.mark_worker_lost(&worker, now + Duration::from_secs(1));
    }
    assert!(start_count <= 6, "started {start_count} times");
    let is_parked = |event: &JobEvent| matches!(event, JobEvent::Parked(..));
    assert!(tracker.take_events().iter().any(is_parked));
}

/// Workers lost together, as with a whole rack, count as a single failure of a workload that had just started on them.
#[test]
fn workers_lost_together_count_as_one_failure() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 8);
    for index in 0..8 {
        start(&mut tracker, index, &format!("w{index}"), now);
    }
    (0..8).for_each(|index| tracker.mark_worker_lost(&format!("w{index}"), now + Duration::from_secs(1)));
    assert!(!tracker.take_events().iter().any(|event| matches!(event, JobEvent::Parked(..))));
    assert!(!tracker.pending_jobs(now + Duration::from_secs(3)).is_empty(), "the workload is only delayed");
}

/// A task that ran for a long time before its worker was lost is not to blame.
#[test]
fn losing_the_worker_of_a_healthy_task_is_not_counted_as_a_failure() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    for round in 0..10 {
        let worker = format!("w{round}");
        let started = start(&mut tracker, 0, &worker, now);
        observe(&mut tracker, &started, &worker, TaskState::Running(None), now);
        now += Duration::from_secs(600);
        tracker.mark_worker_lost(&worker, now);
    }
    assert!(!tracker.pending_jobs(now).is_empty());
}

/// Each worker that starts the task restarts and reports the attempt as ended by the restart. Without counting these
/// ends the task would be started again forever.
#[test]
fn a_workload_whose_workers_restart_each_time_is_parked() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let mut start_count = 0;
    for round in 0..20 {
        now += Duration::from_secs(400);
        if tracker.pending_jobs(now).is_empty() {
            break;
        }
        let worker = format!("w{}", round % 3);
        let started = start(&mut tracker, 0, &worker, now);
        start_count += 1;
        observe(&mut tracker, &started, &worker, TaskState::Ended(End::Restarted), now + Duration::from_secs(1));
    }
    assert!(start_count <= 6, "started {start_count} times");
    assert!(tracker.take_events().iter().any(|event| matches!(event, JobEvent::Parked(..))));
}
