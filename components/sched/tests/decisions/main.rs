//! Single decisions: where tasks go, what ends mean, what a new leader may do.

mod advice;
mod assemble;
mod cell;
mod crash;
mod done;
mod doubt;
mod hints;
mod lives;
mod packing;
mod preempt;
mod quota;
mod restart;
mod stall;
mod wide;
mod workers;

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
    assert!(cell.starts().is_empty(), "the first may still come");
    cell.engine.stop_accepted(&worker, start.task, start.attempt);
    assert!(cell.starts().is_empty(), "it may be ending");
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
        cell.started(worker, start);
    }
    let (other, last) = &first[1];
    cell.end_beside(&first[0].0, &first[0].1, RunOutcome::Done, &[running(last)]);
    assert!(cell.starts().is_empty());
    cell.end(other, last, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(3, 6) }]);
    assert!(cell.starts().is_empty(), "only two of three would fit");
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(3, 6) }]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, start)| start.attempt == starts[0].1.attempt), "the members share the run");
}

#[test]
fn a_gang_that_loses_a_member_is_stopped_and_starts_anew() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(2, 9) }]);
    let starts = cell.starts();
    cell.started(&starts[0].0, &starts[0].1);
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
        cell.started(&worker, &start);
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
    assert_eq!(cell.engine.last_processed_end(&worker), 1, "when it is listed again it is no news");
    assert_eq!(cell.engine.state(1), Some(State::Running), "not shown before it is kept");
    cell.write();
    assert_eq!(cell.engine.acked(&worker), 1);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

#[test]
fn nothing_of_a_cancelled_job_starts_any_more() {
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
fn a_new_leader_adopts_what_runs_and_starts_what_surely_does_not() {
    let mut old = Cell::new(2).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    old.submit(2, "urgent", vec![step(1, 1)]);
    let starts = old.starts();
    assert_eq!(starts.len(), 2);
    let (worker, start) = &starts[0];

    let mut new = Cell::after(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    assert!(new.starts().is_empty(), "either task may run where no one has looked");
    new.report(worker, &[running(start)], &[]);
    let again = new.starts();
    assert_eq!(again.len(), 1, "the other task was placed on the same worker and isn't there");
    assert_eq!(again[0].1.task, starts[1].1.task);
    assert!(again[0].1.attempt > starts[1].1.attempt);
}

#[test]
fn a_task_on_an_unreachable_worker_waits_until_its_lease_has_surely_run_out() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let mut new = Cell::after(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    // The old leader may go on for 7 s, and a lease of 6 s may end 2% late.
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

    let mut new = Cell::after(2, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1, "w0 hasn't answered, but the task can't be there");
}

#[test]
fn a_run_of_an_ended_job_is_stopped() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = old.starts().remove(0);
    old.engine.cancel(old.clock(), 1);
    old.write();

    let mut new = Cell::after(1, 2, &old.log).ready();
    new.report(&worker, &[running(&start)], &[]);
    let actions = new.plan();
    assert!(matches!(actions.as_slice(), [Action::Stop(..)]), "{actions:?}");
}

#[test]
fn a_known_id_stays_the_job_that_it_is() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    cell.submit(1, "urgent", vec![step(3, 1)]);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_job_that_was_taken_back_never_runs() {
    let mut cell = Cell::new(1).ready();
    let job = work::Job { specification: String::new(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.withdraw(1));
    assert!(cell.starts().is_empty());
    assert!(!cell.log.iter().any(|record| record.placed_job() == Some(1)), "no trace of it: {:?}", cell.log);
    assert_eq!(cell.engine.state(1), None);
    cell.submit(2, "urgent", vec![step(1, 1)]);
    assert!(!cell.engine.withdraw(2), "its record is written");
}

#[test]
fn of_an_ended_job_only_its_outcome_is_written_anew() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.end(&worker, &start, RunOutcome::Done);
    cell.submit(2, "urgent", vec![step(2, 1), Step { after: vec![0], ..step(1, 1) }]);
    let starts = cell.starts();
    cell.started(&starts[0].0, &starts[0].1);
    cell.log.clear();
    cell.engine.rewrite([1]);
    cell.engine.rewrite([2]);
    cell.rewrite_workers();
    cell.write();
    let kept = |record: &Record| match record {
        Record::Rewritten(record) => matches!(**record, Record::Accepted { id: 1, .. }),
        record => matches!(record, Record::Accepted { id: 1, .. }),
    };
    assert!(!cell.log.iter().any(kept), "{:?}", cell.log);

    let mut new = Cell::after(1, 2, &cell.log).ready();
    assert_eq!(new.engine.state(1), Some(State::Ended(Outcome::Completed)));
    assert_eq!(new.engine.state(2), Some(State::Running));
    new.submit(1, "urgent", vec![step(1, 1)]);
    assert!(new.starts().iter().all(|(_, start)| start.task.unit.job == 2), "an ended job stays ended");
}

#[test]
fn a_run_of_a_job_that_is_only_remembered_keeps_others_off_its_worker() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 12)]);
    let (worker, start) = old.starts().remove(0);
    old.engine.cancel(old.clock(), 1);
    old.log.clear();
    old.engine.rewrite([1]);
    old.rewrite_workers();
    old.write();

    let mut new = Cell::after(1, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report(&worker, &[running(&start)], &[]);
    new.submit(2, "urgent", vec![step(1, 8)]);
    assert!(new.starts().is_empty(), "nobody knows what the run takes");
    new.end(&worker, &start, RunOutcome::Stopped);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn after_a_leader_that_ended_by_itself_only_its_leases_are_waited_for() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let mut new = Cell::after(2, 2, &old.log);
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
fn a_job_is_placed_while_its_own_record_is_still_to_be_written() {
    let mut cell = Cell::new(1).ready();
    let job = work::Job { specification: String::new(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job);
    cell.engine.plan(cell.clock());
    assert!(cell.engine.take_actions().is_empty(), "nothing is sent before both are kept");
    let (records, upto) = cell.engine.take_records(1_000_000);
    assert!(matches!(records.as_slice(), [Record::Accepted { .. }, Record::Placed { .. }]), "one write for both");
    cell.engine.mark_durable(cell.clock(), upto);
    assert!(matches!(cell.engine.take_actions().as_slice(), [Action::Start(..)]));
}

#[test]
fn a_task_on_a_worker_that_the_log_does_not_name_waits() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);
    let log: Vec<Record> = old.log.into_iter().filter(|record| record.worker().is_none()).collect();

    let mut new = Cell::after(1, 2, &log);
    let other = new.infos.remove("w0").expect("listed");
    new.infos.insert("w7".to_owned(), sched::WorkerInfo { address: "10.0.0.7:80".to_owned(), ..other });
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    new.report("w7", &[], &[]);
    new.now = Duration::from_secs(1);
    new.report("w7", &[], &[]);
    assert!(new.starts().is_empty(), "it may run on w0");
    new.now = Duration::from_secs(14);
    new.report("w7", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn a_record_that_was_written_anew_still_names_its_worker() {
    let record = Record::Worker { id: "w1".to_owned(), address: "10.0.0.1:80".to_owned() };
    assert!(Record::Rewritten(Box::new(record)).worker().is_some());
}

#[test]
fn a_gang_with_an_unanswered_start_is_stopped_whole_at_once() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { gang: true, ..step(2, 9) }]);
    let starts = cell.starts();
    cell.started(&starts[0].0, &starts[0].1);
    cell.engine.start_answered(
        cell.clock(),
        &starts[1].0,
        starts[1].1.task,
        starts[1].1.attempt,
        OrderOutcome::Unknown,
    );
    let stops: Vec<_> = cell.plan().into_iter().filter(|action| matches!(action, Action::Stop(..))).collect();
    assert_eq!(stops.len(), 2, "the other would wait alone: {stops:?}");
}

#[test]
fn jobs_of_any_size_are_checked_and_planned_without_a_fault() {
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
    largest.check().expect("large, but taken");
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), largest);
    cell.write();
    let first = cell.starts().len();
    assert!((1..=16).contains(&first), "rounds that are due at once are opened a few at a time: {first}");
}

#[test]
fn a_job_whose_attempts_were_used_up_before_a_takeover_has_failed() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    for _ in 0..2 {
        let (worker, start) = old.starts().remove(0);
        old.end(&worker, &start, RunOutcome::Failed);
    }
    // The part of the log with the end was never written.
    let log: Vec<Record> = old.log.into_iter().filter(|record| !matches!(record, Record::Ended { .. })).collect();
    let mut new = Cell::after(1, 2, &log).ready();
    assert!(new.starts().is_empty(), "two of two attempts have failed");
    assert_eq!(new.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn a_job_that_was_taken_back_and_comes_again_starts_once() {
    let mut cell = Cell::new(1).ready();
    let job = || work::Job { specification: "text".to_owned(), steps: vec![step(1, 1)], schedule: None };
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job());
    // Placed, but neither the job nor its start is written when its caller gives up.
    cell.engine.plan(cell.clock());
    assert!(cell.engine.withdraw(1));
    cell.engine.accept(cell.clock(), 1, Owner::public("urgent"), job());
    let starts = cell.starts();
    assert_eq!(starts.len(), 1, "the first placement went with the job: {starts:?}");
    cell.started(&starts[0].0, &starts[0].1);
    cell.report("w0", &[running(&starts[0].1)], &[]);
    assert!(cell.starts().is_empty(), "it runs");
}

#[test]
fn attempts_used_up_before_the_configuration_is_known_count() {
    let first = Cell::new(2).ready();
    let mut cell = first;
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    cell.end(&worker, &start, RunOutcome::Failed);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    // The next leader reads the log while it has no configuration yet, and hears of the last failure first.
    let mut next = Cell::unconfigured(2, 2, &cell.log).ready();
    next.end(&worker, &start, RunOutcome::Failed);
    next.engine.configure(cell::config());
    assert!(next.starts().is_empty(), "two of two attempts have failed");
    next.write();
    assert_eq!(next.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn leases_of_an_earlier_version_are_waited_for() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(old.starts().len(), 1);

    let limits = sched::Limits { max_lease: Duration::from_secs(10), ..sched::Limits::example() };
    let mut new = Cell::limited(limits, 2, 2, &old.log);
    new.engine.predecessor_unknown();
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    // 7 s of authority, and leases of up to 10 s by a slow clock.
    new.now = Duration::from_millis(17_200);
    new.report("w1", &[], &[]);
    assert!(new.starts().is_empty());
    new.now = Duration::from_millis(17_400);
    new.report("w1", &[], &[]);
    assert_eq!(new.starts().len(), 1);
}

#[test]
fn a_start_that_was_not_sent_yet_is_dropped_when_it_has_become_pointless() {
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
    assert!(!cell.engine.is_start_wanted(&worker, start.task, start.attempt), "its worker leaves");
}

/// Callers see how many jobs wait: one whose start was recorded and never sent still does.
#[test]
fn a_job_that_was_placed_and_never_started_waits_after_a_takeover() {
    let mut old = Cell::new(1).ready();
    old.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = old.starts().remove(0);
    let mut new = Cell::after(1, 2, &old.log);
    new.engine.update_workers(new.clock(), new.infos.clone());
    new.write();
    assert_eq!(new.engine.waiting("urgent"), 0, "it may run");
    new.report(&worker, &[], &[]);
    assert_eq!(new.engine.waiting("urgent"), 1, "it doesn't");
    new.report(&worker, &[running(&start)], &[]);
    assert_eq!(new.engine.waiting("urgent"), 0, "the order was carried out late");
}
