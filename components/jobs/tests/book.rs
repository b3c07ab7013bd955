//! The owner's tracker: what may start, what must stop, what is durable before it is forgotten.

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
    let order = tracker.create_start_order("plan", index, &worker.to_owned(), now).expect("it waits");
    tracker.start_committed(&order.task, order.attempt, now);
    (order.task, order.attempt)
}

fn see(tracker: &mut JobTracker, (task, attempt): &(Id, Attempt), worker: &str, state: TaskState, now: Instant) {
    tracker.observe(task, *attempt, &fact(worker, state), false, now);
}

fn fail(tracker: &mut JobTracker, started: &(Id, Attempt), worker: &str, now: Instant) {
    let end = End::Failed { message: "exit status 1".to_owned() };
    see(tracker, started, worker, TaskState::Ended(end), now);
}

fn phase(tracker: &JobTracker, index: u32) -> &Phase {
    &tracker.jobs()["plan"].tasks[&index].phase
}

#[test]
fn a_task_is_ordered_once_and_again_only_after_its_end() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let first = start(&mut tracker, 0, "w1", now);
    assert!(tracker.create_start_order("plan", 0, &"w2".to_owned(), now).is_none());
    see(&mut tracker, &first, "w1", TaskState::Running(None), now);
    assert!(tracker.create_start_order("plan", 0, &"w2".to_owned(), now).is_none());
    see(&mut tracker, &first, "w1", TaskState::Ended(End::Lost), now);
    let second = tracker.create_start_order("plan", 0, &"w2".to_owned(), now).unwrap();
    assert!(second.attempt > first.1);
}

#[test]
fn an_order_without_an_answer_is_repeated_just_as_it_was() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let order = tracker.create_start_order("plan", 0, &"w1".to_owned(), now).unwrap();
    assert!(tracker.overdue_orders(now).is_empty());
    assert_eq!(tracker.overdue_orders(now + Duration::from_secs(1)), std::slice::from_ref(&order));
    tracker.start_refused(&order.task, order.attempt, Reason::NoWorkers, now);
    assert_eq!(phase(&tracker, 0), &Phase::Waiting);
}

#[test]
fn what_an_earlier_owner_may_have_started_waits_until_all_workers_are_accounted_for() {
    let now = Instant::now();
    let mut tracker = JobTracker::new(5, "gt-1".to_owned());
    tracker.apply(versioned("plan", Kind::Batch, 2, 1), None, false, now);
    assert!(tracker.pending_jobs(now).is_empty());
    let found = (tracker.jobs()["plan"].id(1), Attempt { epoch: 4, number: 9 });
    see(&mut tracker, &found, "w1", TaskState::Running(None), now);
    tracker.finish_recovery(now);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0]);
    assert!(matches!(phase(&tracker, 1), Phase::Running { .. }));
}

#[test]
fn a_finish_is_acknowledged_only_when_it_is_durable() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 2);
    let started = start(&mut tracker, 1, "w1", now);
    see(&mut tracker, &started, "w1", TaskState::Ended(End::Finished), now);
    see(&mut tracker, &started, "w1", TaskState::Ended(End::Finished), now);
    assert!(tracker.take_acknowledgements().is_empty());
    let (name, progress, ends) = tracker.unpersisted_ends().remove(0);
    assert_eq!(progress, Progress { life: 1, finished: vec![(1, 1)] });
    tracker.mark_persisted(&name, &ends);
    assert_eq!(tracker.take_acknowledgements(), ends);
    assert!(tracker.unpersisted_ends().is_empty());
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
fn a_gang_waits_whole_and_loses_all_with_one() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Gang, 3);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0, 1, 2]);
    let started: Vec<_> = (0..3).map(|index| start(&mut tracker, index, "w1", now)).collect();
    for one in &started {
        see(&mut tracker, one, "w1", TaskState::Running(None), now);
    }
    see(&mut tracker, &started[1], "w1", TaskState::Ended(End::Lost), now);
    assert!(tracker.pending_jobs(now).is_empty(), "not alone");
    assert_eq!(tracker.stop_orders(now).len(), 2);
    see(&mut tracker, &started[0], "w1", TaskState::Ended(End::Stopped), now);
    see(&mut tracker, &started[2], "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.pending_jobs(now)[0].positions, [0, 1, 2]);
}

#[test]
fn cancelled_work_is_stopped_and_never_started() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 3);
    let started = start(&mut tracker, 0, "w1", now);
    let mut cancelled = versioned("plan", Kind::Batch, 3, 2);
    cancelled.record.intent = Intent::Cancel;
    tracker.apply(cancelled, None, true, now);
    assert!(tracker.pending_jobs(now).is_empty());
    assert!(tracker.create_start_order("plan", 1, &"w1".to_owned(), now).is_none());
    assert_eq!(tracker.stop_orders(now)[0].attempt, started.1);
    see(&mut tracker, &started, "w1", TaskState::Ended(End::Stopped), now);
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
fn a_workload_that_fails_on_every_worker_is_parked_and_a_change_gives_it_a_new_chance() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    for round in 0..jobs::PARK_AFTER {
        let worker = format!("w{}", round % 3);
        let started = start(&mut tracker, 0, &worker, now);
        fail(&mut tracker, &started, &worker, now);
        assert!(tracker.pending_jobs(now).is_empty(), "it pauses after a failure");
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
fn an_instance_on_a_leaving_worker_gets_its_successor_first() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Service, 2);
    let started: Vec<_> = (0..2).map(|index| start(&mut tracker, index, "w1", now)).collect();
    for one in &started {
        see(&mut tracker, one, "w1", TaskState::Running(None), now);
    }
    assert!(tracker.evacuate(&"w1".to_owned(), now).is_empty());
    assert!(tracker.stop_orders(now).is_empty(), "not before the successors run");
    let pending = tracker.pending_jobs(now).remove(0);
    assert_eq!(pending.positions, [2, 3]);
    let successor = start(&mut tracker, 2, "w2", now);
    see(&mut tracker, &successor, "w2", TaskState::Running(None), now);
    let stops = tracker.stop_orders(now);
    assert_eq!(stops.len(), 1);
    see(&mut tracker, &(stops[0].task.clone(), stops[0].attempt), "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.jobs()["plan"].tasks.len(), 3, "one moved, one still to move");
}

#[test]
fn a_service_scaled_down_stops_the_surplus_and_only_it() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Service, 3);
    for index in 0..3 {
        let started = start(&mut tracker, index, "w1", now);
        see(&mut tracker, &started, "w1", TaskState::Running(None), now);
    }
    tracker.apply(versioned("plan", Kind::Service, 1, 2), None, true, now);
    assert_eq!(tracker.stop_orders(now).len(), 2);
}

#[test]
fn attempts_of_an_earlier_life_of_the_name_are_stopped() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let old = start(&mut tracker, 0, "w1", now);
    let mut again = versioned("plan", Kind::Batch, 1, 2);
    again.record.life = 2;
    tracker.apply(again, None, true, now);
    see(&mut tracker, &old, "w1", TaskState::Running(None), now);
    let orphans: Vec<Attempt> = tracker.orphans().map(|order| order.attempt).collect();
    assert_eq!(orphans, [old.1]);
    see(&mut tracker, &old, "w1", TaskState::Ended(End::Stopped), now);
    assert_eq!(tracker.take_acknowledgements().len(), 1);
    assert_eq!(tracker.orphans().count(), 0);
}

/// Each worker that starts the task goes down: nothing reports a failure, and it was ordered again for ever.
#[test]
fn a_workload_under_which_worker_after_worker_goes_is_parked() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let mut ordered = 0;
    for life in 0..20 {
        now += Duration::from_secs(400);
        let worker = format!("w{life}");
        if tracker.pending_jobs(now).is_empty() {
            break;
        }
        let order = tracker.create_start_order("plan", 0, &worker, now).expect("it waits");
        ordered += 1;
        tracker.start_committed(&order.task, order.attempt, now);
        tracker.mark_worker_lost(&worker, now + Duration::from_secs(1));
    }
    assert!(ordered <= 6, "ordered {ordered} times");
    let parked = |event: &JobEvent| matches!(event, JobEvent::Parked(..));
    assert!(tracker.take_events().iter().any(parked));
}

/// A rack goes with all that has just begun there: that says no more against a workload than one worker.
#[test]
fn workers_that_go_at_once_count_once_against_a_workload() {
    let now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 8);
    for index in 0..8 {
        start(&mut tracker, index, &format!("w{index}"), now);
    }
    (0..8).for_each(|index| tracker.mark_worker_lost(&format!("w{index}"), now + Duration::from_secs(1)));
    assert!(!tracker.take_events().iter().any(|event| matches!(event, JobEvent::Parked(..))));
    assert!(!tracker.pending_jobs(now + Duration::from_secs(3)).is_empty(), "after a short pause");
}

/// What had run for long when its worker went isn't to blame.
#[test]
fn a_worker_that_goes_under_a_healthy_task_says_nothing_against_it() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    for life in 0..10 {
        let worker = format!("w{life}");
        let started = start(&mut tracker, 0, &worker, now);
        see(&mut tracker, &started, &worker, TaskState::Running(None), now);
        now += Duration::from_secs(600);
        tracker.mark_worker_lost(&worker, now);
    }
    assert!(!tracker.pending_jobs(now).is_empty());
}

/// A worker that is back under its name reports that the task went with its earlier life, and goes on: it was ordered again for ever.
#[test]
fn a_workload_whose_workers_are_back_each_time_is_parked() {
    let mut now = Instant::now();
    let mut tracker = tracker(now, Kind::Batch, 1);
    let mut ordered = 0;
    for life in 0..20 {
        now += Duration::from_secs(400);
        if tracker.pending_jobs(now).is_empty() {
            break;
        }
        let worker = format!("w{}", life % 3);
        let started = start(&mut tracker, 0, &worker, now);
        ordered += 1;
        see(&mut tracker, &started, &worker, TaskState::Ended(End::Restarted), now + Duration::from_secs(1));
    }
    assert!(ordered <= 6, "ordered {ordered} times");
    assert!(tracker.take_events().iter().any(|event| matches!(event, JobEvent::Parked(..))));
}
