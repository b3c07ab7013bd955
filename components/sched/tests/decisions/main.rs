//! Tests of single decisions: where tasks are placed, what the ends of runs mean, and what a new leader may do.

mod advice;
mod advice_order;
mod assemble;
mod backlog;
mod cell;
mod crash;
mod end_numbers;
mod health;
mod incarnations;
mod load;
mod packing;
mod predecessors;
mod preempt;
mod quota;
mod restart;
mod shares;
mod short_of_processor;
mod stale_list;
mod stall;
mod truncated_ends;
mod usage;
mod wide_gangs;
mod worker_list;

use std::time::Duration;

use cell::{Cell, running, step};
use sched::{Action, OrderOutcome, Owner, RunOutcome};
use work::{Outcome, Record, State, Step};

#[test]
fn a_start_is_recorded_before_it_is_sent() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.take_actions().is_empty(), "nothing is sent before the record is written");
    cell.write();
    let actions = cell.engine.take_actions();
    assert!(matches!(actions.as_slice(), [Action::Start(worker, _)] if worker == "w0"), "{actions:?}");
    assert!(cell.log.iter().any(|record| matches!(record, Record::Placed { worker, .. } if worker == "w0")));
}

#[test]
fn an_unanswered_start_takes_room_until_it_is_settled() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 10)]);
    let (worker, start) = cell.starts().remove(0);
    cell.engine.start_answered(cell.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    cell.submit(2, "urgent", vec![step(1, 10)]);
    assert!(cell.starts().is_empty(), "the first start may still be carried out");
    cell.engine.stop_accepted(&worker, start.task, start.attempt);
    assert!(cell.starts().is_empty(), "the run may still be ending");
    cell.report(&worker, &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![step(2, 1), Step { after: vec![0], ..step(1, 1) }]);
    let first = cell.starts();
    assert_eq!(first.len(), 2);
    for (worker, start) in &first {
        cell.confirm_start(worker, start);
    }
    let (other, last) = &first[1];
    cell.end_beside(&first[0].0, &first[0].1, RunOutcome::Done, &[running(last)]);
    assert!(cell.starts().is_empty());
    cell.end(other, last, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_gang_starts_all_members_or_none() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(3, 6) }]);
    assert!(cell.starts().is_empty(), "only two of the three tasks fit");
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(3, 6) }]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 3);
    assert!(
        starts.iter().all(|(_, start)| start.attempt == starts[0].1.attempt),
        "all members have the same attempt number"
    );
}

#[test]
fn a_gang_that_loses_a_member_is_stopped_and_restarted() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(2, 9) }]);
    let starts = cell.starts();
    cell.confirm_start(&starts[0].0, &starts[0].1);
    cell.engine.start_answered(
        cell.clock(),
        &starts[1].0,
        starts[1].1.task,
        starts[1].1.attempt,
        OrderOutcome::Refused,
    );
    let actions = cell.plan();
    assert!(matches!(actions.as_slice(), [Action::Stop(worker, ..)] if *worker == starts[0].0), "{actions:?}");
    cell.end(&starts[0].0, &starts[0].1, RunOutcome::Stopped);
    assert_eq!(cell.starts().len(), 2);
}

#[test]
fn only_failed_ends_count_as_attempts() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    for how in [RunOutcome::Lapsed, RunOutcome::Stopped, RunOutcome::Broken, RunOutcome::Alone, RunOutcome::Failed] {
        let (worker, start) = cell.starts().remove(0);
        cell.confirm_start(&worker, &start);
        cell.end(&worker, &start, how);
        assert_eq!(cell.engine.state(1), Some(State::Running), "{how:?}");
    }
    let (worker, start) = cell.starts().remove(0);
    cell.end(&worker, &start, RunOutcome::Failed);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Failed)), "two of two attempts");
    assert!(cell.starts().is_empty());
}

#[test]
fn an_end_is_acknowledged_once_its_record_is_written() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    let end = sched::End {
        number: 1,
        task: start.task,
        attempt: start.attempt,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    cell.report(&worker, &[], &[end]);
    assert_eq!(cell.engine.acked(&worker), 0);
    assert_eq!(cell.engine.last_processed_end(&worker), 1, "an end that is listed again has been processed already");
    assert_eq!(cell.engine.state(1), Some(State::Running), "the end isn't visible before its record is written");
    cell.write();
    assert_eq!(cell.engine.acked(&worker), 1);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

#[test]
fn no_task_of_a_cancelled_job_starts() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.cancel(cell.clock(), 1).is_some());
    cell.write();
    let actions = cell.engine.take_actions();
    assert!(!actions.iter().any(|action| matches!(action, Action::Start(..))), "{actions:?}");
    assert!(cell.starts().is_empty());
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Cancelled)));
    assert_eq!(cell.engine.cancel(cell.clock(), 2), None, "no such job");
}

#[test]
fn a_new_leader_adopts_running_tasks_and_starts_those_that_certainly_do_not_run() {
    let mut old = Cell::new(2).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    old.submit(2, "urgent", vec![step(1, 1)]);
    let starts = old.starts();
    assert_eq!(starts.len(), 2);
    let (worker, start) = &starts[0];

    let mut new = Cell::from_log(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    assert!(new.starts().is_empty(), "either task may run on a worker that hasn't answered yet");
    new.report(worker, &[running(start)], &[]);
    let again = new.starts();
    assert_eq!(again.len(), 1, "the other task was placed on the same worker, which doesn't list it");
    assert_eq!(again[0].1.task, starts[1].1.task);
    assert!(again[0].1.attempt > starts[1].1.attempt);
}

#[test]
fn a_task_on_an_unreachable_worker_waits_until_its_lease_has_certainly_expired() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let mut new = Cell::from_log(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    // The old leader may give orders for 7 s, and a lease of 6 s may last 2% longer by our clock.
    new.now = Duration::from_millis(13_100);
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    new.now = Duration::from_millis(13_300);
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn a_task_that_was_never_placed_starts_at_once_after_a_takeover() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);

    let mut new = Cell::from_log(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1, "w0 hasn't answered, but the task was never placed there");
}

#[test]
fn a_run_of_an_ended_job_is_stopped() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = old.starts().remove(0);
    old.engine.cancel(old.clock(), 1);
    old.write();

    let mut new = Cell::from_log(1, 2, &old.log).ready();
    new.report(&worker, &[running(&start)], &[]);
    let actions = new.plan();
    assert!(matches!(actions.as_slice(), [Action::Stop(..)]), "{actions:?}");
}

#[test]
fn a_job_that_is_accepted_again_under_its_id_is_unchanged() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    cell.submit(1, "urgent", vec![step(3, 1)]);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_withdrawn_job_never_runs() {
    let mut cell = Cell::new(1).ready();
    let job = work::Job { specification: String::new(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.withdraw(1));
    assert!(cell.starts().is_empty());
    assert!(!cell.log.iter().any(|record| record.placed_job() == Some(1)), "its placement was written: {:?}", cell.log);
    assert_eq!(cell.engine.state(1), None);
    cell.submit(2, "urgent", vec![step(1, 1)]);
    assert!(!cell.engine.withdraw(2), "its record is written already");
}

#[test]
fn only_the_outcome_of_an_ended_job_is_rewritten() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.end(&worker, &start, RunOutcome::Done);
    cell.submit(2, "urgent", vec![step(2, 1), Step { after: vec![0], ..step(1, 1) }]);
    let starts = cell.starts();
    cell.confirm_start(&starts[0].0, &starts[0].1);
    cell.log.clear();
    cell.engine.rewrite([1]);
    cell.engine.rewrite([2]);
    cell.rewrite_workers();
    cell.write();
    let accepts_job_1 = |record: &Record| match record {
        Record::Rewritten(record) => matches!(**record, Record::Accepted { id: 1, .. }),
        record => matches!(record, Record::Accepted { id: 1, .. }),
    };
    assert!(!cell.log.iter().any(accepts_job_1), "{:?}", cell.log);

    let mut new = Cell::from_log(1, 2, &cell.log).ready();
    assert_eq!(new.engine.state(1), Some(State::Ended(Outcome::Completed)));
    assert_eq!(new.engine.state(2), Some(State::Running));
    new.submit(1, "urgent", vec![step(1, 1)]);
    assert!(new.starts().iter().all(|(_, start)| start.task.unit.job == 2), "the ended job doesn't start again");
}

#[test]
fn a_run_of_a_job_of_which_only_the_outcome_is_kept_blocks_its_worker() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 12)]);
    let (worker, start) = old.starts().remove(0);
    old.engine.cancel(old.clock(), 1);
    old.log.clear();
    old.engine.rewrite([1]);
    old.rewrite_workers();
    old.write();

    let mut new = Cell::from_log(1, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report(&worker, &[running(&start)], &[]);
    new.submit(2, "urgent", vec![step(1, 8)]);
    assert!(new.starts().is_empty(), "the resources of the run aren't known");
    new.end(&worker, &start, RunOutcome::Stopped);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn a_job_is_placed_before_its_own_record_is_written() {
    let mut cell = Cell::new(1).ready();
    let job = work::Job { specification: String::new(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.take_actions().is_empty(), "nothing is sent before both records are written");
    let (records, upto) = cell.engine.take_records(1_000_000);
    assert!(
        matches!(records.as_slice(), [Record::Accepted { .. }, Record::Placed { .. }]),
        "both records are in one write"
    );
    cell.engine.mark_durable(cell.clock(), upto);
    assert!(matches!(cell.engine.take_actions().as_slice(), [Action::Start(..)]));
}

#[test]
fn a_task_on_a_worker_that_the_log_does_not_name_waits() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);
    let log: Vec<Record> = old.log.into_iter().filter(|record| record.worker().is_none()).collect();

    let mut new = Cell::from_log(1, 2, &log);
    let other = new.infos.remove("w0").expect("listed");
    new.infos.insert("w7".to_owned(), sched::WorkerInfo { address: "10.0.0.7:80".to_owned(), ..other });
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w7", &[], &[]);
    new.now = Duration::from_secs(1);
    new.report("w7", &[], &[]);
    assert!(new.starts().is_empty(), "the task may run on w0");
    new.now = Duration::from_secs(14);
    new.report("w7", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn a_rewritten_record_still_names_its_worker() {
    let record = Record::Worker { id: "w1".to_owned(), address: "10.0.0.1:80".to_owned() };
    assert!(Record::Rewritten(Box::new(record)).worker().is_some());
}

#[test]
fn all_members_of_a_gang_with_an_unanswered_start_are_stopped_at_once() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(2, 9) }]);
    let starts = cell.starts();
    cell.confirm_start(&starts[0].0, &starts[0].1);
    cell.engine.start_answered(
        cell.clock(),
        &starts[1].0,
        starts[1].1.task,
        starts[1].1.attempt,
        OrderOutcome::Unknown,
    );
    let stops: Vec<_> = cell.plan().into_iter().filter(|action| matches!(action, Action::Stop(..))).collect();
    assert_eq!(stops.len(), 2, "the other member would wait alone: {stops:?}");
}

#[test]
fn jobs_of_any_size_are_validated_and_planned() {
    let year = Duration::from_secs(365 * 86_400);
    let schedule = |rounds| Some(work::Schedule { rounds, first: Duration::ZERO, every: Duration::ZERO });
    let job = |steps, schedule| work::Job { specification: String::new(), steps, schedule };
    let refused = [
        job(vec![Step { estimate: year, ..step(1, 1) }], None),
        job(vec![Step { max_tail_latency: year, ..step(1, 1) }], None),
        job(vec![step(2000, 1); 6], None),
        job(vec![step(1, 1)], schedule(u32::MAX)),
        job(vec![step(1, 1)], schedule(0)),
    ];
    for job in refused {
        assert!(job.check().is_err(), "{:?}", job.schedule);
    }
    let mut cell = Cell::new(1).ready();
    let largest = job(vec![Step { estimate: Duration::from_secs(7 * 86_400), ..step(1, 1) }], schedule(10_000));
    largest.check().expect("large, but valid");
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), largest);
    cell.write();
    let first = cell.starts().len();
    assert!((1..=16).contains(&first), "rounds that are due at the same time start a few at a time: {first}");
}

#[test]
fn a_job_whose_attempts_were_used_up_before_a_takeover_has_failed() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    for _ in 0..2 {
        let (worker, start) = old.starts().remove(0);
        old.end(&worker, &start, RunOutcome::Failed);
    }
    // The record of the job's end was never written.
    let log: Vec<Record> = old.log.into_iter().filter(|record| !matches!(record, Record::Ended { .. })).collect();
    let mut new = Cell::from_log(1, 2, &log).ready();
    assert!(new.starts().is_empty(), "two of two attempts have failed");
    assert_eq!(new.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn a_withdrawn_job_that_is_accepted_again_starts_once() {
    let mut cell = Cell::new(1).ready();
    let job = || work::Job { specification: "text".to_owned(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job());
    // The job is placed, but neither its record nor that of its start is written when the caller gives up.
    cell.engine.plan(cell.clock());
    assert!(cell.engine.withdraw(1));
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job());
    let starts = cell.starts();
    assert_eq!(starts.len(), 1, "the first placement was dropped with the job: {starts:?}");
    cell.confirm_start(&starts[0].0, &starts[0].1);
    cell.report("w0", &[running(&starts[0].1)], &[]);
    assert!(cell.starts().is_empty(), "the task runs already");
}

#[test]
fn attempts_used_up_before_the_configuration_is_known_count() {
    let first = Cell::new(2).ready();
    let mut cell = first;
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    cell.end(&worker, &start, RunOutcome::Failed);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    // The next leader replays the log before it has a configuration, and the last failure is reported before that, too.
    let mut next = Cell::unconfigured(2, 2, &cell.log).ready();
    next.end(&worker, &start, RunOutcome::Failed);
    next.engine.configure(cell::config());
    assert!(next.starts().is_empty(), "two of two attempts have failed");
    next.write();
    assert_eq!(next.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn an_unsent_start_is_dropped_when_it_is_no_longer_wanted() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    assert!(cell.engine.is_start_wanted(&worker, start.task, start.attempt));
    cell.engine.cancel(cell.clock(), 1);
    assert!(!cell.engine.is_start_wanted(&worker, start.task, start.attempt), "its job was cancelled");

    cell.submit(2, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.infos.get_mut(&worker).expect("listed").draining = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(!cell.engine.is_start_wanted(&worker, start.task, start.attempt), "its worker is shutting down");
}

/// Callers see how many jobs wait. A job whose start was recorded and never sent must still be counted.
#[test]
fn a_job_that_was_placed_and_never_started_waits_after_a_takeover() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = old.starts().remove(0);
    let mut new = Cell::from_log(1, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    assert_eq!(new.engine.waiting("urgent"), 0, "the task may run");
    new.report(&worker, &[], &[]);
    assert_eq!(new.engine.waiting("urgent"), 1, "the task doesn't run");
    new.report(&worker, &[running(&start)], &[]);
    assert_eq!(new.engine.waiting("urgent"), 0, "the worker carried out the order late");
}
