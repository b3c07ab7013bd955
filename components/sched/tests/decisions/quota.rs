//! Limits of workspaces: which runs count against them, and for how long.

use std::time::Duration;

use model::Resources;
use sched::{Action, OrderOutcome, RunOutcome, Start};
use work::Step;

use crate::cell::{Cell, config_with_limit, running, step};

const SMALL: Option<&str> = Some("small");
const LARGE: Option<&str> = Some("large");

fn gang(count: u32, cores: u32) -> Step {
    Step { gang: true, ..step(count, cores) }
}

fn confirm_starts(cell: &mut Cell, starts: &[(String, Start)]) {
    starts.iter().for_each(|(worker, start)| cell.confirm_start(worker, start));
}

/// Number of cores that a workspace uses.
fn used(cell: &mut Cell, name: &str) -> u32 {
    let found = cell.engine.workspaces().into_iter().find(|workspace| workspace.name == name);
    found.map_or(0, |workspace| workspace.used.cpu_milli / 1000)
}

#[test]
fn a_step_that_exceeds_the_limit_runs_a_few_tasks_at_a_time() {
    let mut cell = Cell::with_workspaces(4).ready();
    cell.submit_for(SMALL, 1, "urgent", vec![step(6, 3)]);
    let first = cell.starts();
    assert_eq!(first.len(), 2, "two tasks of 3 cores fit into 8");
    confirm_starts(&mut cell, &first);
    assert!(cell.starts().is_empty());
    let why = &cell.engine.explain(cell.clock(), 1).expect("it is kept").steps[0].why;
    assert!(why.contains("limit of workspace small: 6 cores, 200 MiB of 8 cores"), "{why}");
    cell.end_beside(&first[0].0, &first[0].1, RunOutcome::Done, &[running(&first[1].1)]);
    assert_eq!(cell.starts().len(), 1, "the next task starts as soon as one is done");
    assert_eq!(used(&mut cell, "small"), 6);
}

#[test]
fn the_limit_of_one_workspace_delays_no_other() {
    let mut cell = Cell::with_workspaces(4).ready();
    cell.submit_for(SMALL, 1, "urgent", vec![step(6, 3)]);
    cell.submit_for(LARGE, 2, "patient", vec![step(6, 3)]);
    cell.submit(3, "patient", vec![step(2, 3)]);
    let starts = cell.starts();
    let of = |job| starts.iter().filter(|(_, start)| start.task.unit.job == job).count();
    assert_eq!((of(1), of(2), of(3)), (2, 6, 2), "a job of a public queue has no limit");
}

#[test]
fn memory_counts_like_cores() {
    let mut cell = Cell::with_workspaces(2).ready();
    let mut config = (*config_with_limit(2, 0)).clone();
    config.workspaces[0].limit = Resources { memory_mib: 250, ..Resources::ZERO };
    cell.engine.configure(std::sync::Arc::new(config));
    cell.submit_for(SMALL, 1, "urgent", vec![step(9, 1)]);
    assert_eq!(cell.starts().len(), 2, "250 MiB hold two tasks of 100");
}

#[test]
fn an_order_without_an_answer_counts_until_it_is_settled() {
    let mut cell = Cell::with_workspaces(2).ready();
    cell.submit_for(SMALL, 1, "urgent", vec![step(1, 8)]);
    let (worker, start) = cell.starts().remove(0);
    cell.engine.start_answered(cell.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    cell.submit_for(SMALL, 2, "urgent", vec![step(1, 1)]);
    assert!(cell.starts().is_empty(), "the first start may still be carried out");
    cell.engine.stop_accepted(&worker, start.task, start.attempt);
    assert!(cell.starts().is_empty(), "the run may still be ending");
    cell.report(&worker, &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_new_leader_counts_what_the_previous_one_has_placed() {
    let mut before = Cell::with_workspaces(3).ready();
    before.submit_for(SMALL, 1, "urgent", vec![step(2, 4)]);
    let starts = before.starts();
    assert_eq!(starts.len(), 2);

    let mut cell = Cell::with_workspaces_from_log(3, 2, &before.log);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    let unseen = starts[0].0.clone();
    let seen: Vec<String> = cell.infos.keys().filter(|id| **id != unseen).cloned().collect();
    seen.iter().for_each(|id| cell.report(id, &[], &[]));
    cell.submit_for(SMALL, 2, "urgent", vec![step(8, 1)]);
    assert_eq!(used(&mut cell, "small"), 8, "both tasks may run on the worker that hasn't answered");
    assert!(cell.starts().is_empty());
    cell.report(&unseen, &[running(&starts[0].1)], &[]);
    assert_eq!(used(&mut cell, "small"), 4, "one of them never started");
    assert_eq!(cell.starts().len(), 1, "the other task of the older job");
}

#[test]
fn runs_of_a_cancelled_job_count_after_a_takeover() {
    possible_runs_of_a_cancelled_job_count_after_a_takeover(|_| 0);
}

#[test]
fn runs_of_a_cancelled_job_count_after_its_part_of_the_log_is_removed() {
    possible_runs_of_a_cancelled_job_count_after_a_takeover(|before| {
        let written = before.log.len();
        before.engine.rewrite([1]);
        before.rewrite_workers();
        before.write();
        written
    });
}

/// A task is done elsewhere while its unanswered order may still be carried out on a silent worker, and its job
/// continues.
#[test]
fn a_leftover_run_of_a_done_task_counts_after_the_log_is_rewritten() {
    let mut before = Cell::with_workspaces(2).ready();
    before.submit_for(SMALL, 1, "urgent", vec![step(1, 8), Step { after: vec![0], ..step(1, 8) }]);
    let (worker, start) = before.starts().remove(0);
    before.engine.start_answered(before.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    let other = before.infos.keys().find(|id| **id != worker).cloned().expect("two workers");
    let done = sched::End {
        number: 1,
        task: start.task,
        attempt: start.attempt,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    before.report(&other, &[], &[done]);
    before.write();
    let written = before.log.len();
    before.engine.rewrite([1]);
    before.rewrite_workers();
    before.write();

    let mut cell = Cell::with_workspaces_from_log(2, 2, &before.log[written..]);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report(&other, &[], &[]);
    assert!(cell.starts().is_empty(), "8 of 8 cores may be in use");
    cell.report(&worker, &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

/// `clean` may rewrite records, and returns how many records at the start of the log are removed.
fn possible_runs_of_a_cancelled_job_count_after_a_takeover(clean: impl FnOnce(&mut Cell) -> usize) {
    let mut before = Cell::with_workspaces(2).ready();
    before.submit_for(SMALL, 1, "urgent", vec![step(1, 8)]);
    let (worker, start) = before.starts().remove(0);
    before.engine.cancel(before.clock(), 1);
    before.write();
    let removed = clean(&mut before);

    let mut cell = Cell::with_workspaces_from_log(2, 2, &before.log[removed..]);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    let others: Vec<String> = cell.infos.keys().filter(|id| **id != worker).cloned().collect();
    others.iter().for_each(|id| cell.report(id, &[], &[]));
    cell.submit_for(SMALL, 2, "urgent", vec![step(1, 1)]);
    assert!(cell.starts().is_empty());
    cell.report(&worker, &[running(&start)], &[]);
    let actions = cell.plan();
    assert!(matches!(actions.as_slice(), [Action::Stop(..)]), "{actions:?}");
    cell.end(&worker, &start, RunOutcome::Stopped);
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_lowered_limit_stops_no_run_and_a_raised_one_is_used_at_once() {
    let mut cell = Cell::with_workspaces(2).ready();
    cell.submit_for(SMALL, 1, "urgent", vec![step(6, 2)]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 4);
    confirm_starts(&mut cell, &starts);
    cell.engine.configure(config_with_limit(2, 2));
    assert!(cell.plan().is_empty(), "nothing is stopped, nothing starts");
    cell.engine.configure(config_with_limit(3, 10));
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn a_removed_workspace_keeps_its_limit_while_its_jobs_continue() {
    let mut cell = Cell::with_workspaces(2).ready();
    let config = work::Config::new(2, configured_queues(), 100_000);
    cell.engine.configure(std::sync::Arc::new(config));
    cell.submit_for(SMALL, 1, "urgent", vec![step(6, 2)]);
    assert_eq!(cell.starts().len(), 4);
}

fn configured_queues() -> Vec<work::Queue> {
    config_with_limit(1, 8).queues.clone()
}

#[test]
fn a_gang_is_not_starved_by_small_tasks_of_its_workspace() {
    let mut cell = Cell::with_workspaces(4).ready();
    cell.submit_for(SMALL, 1, "patient", vec![step(4, 2)]);
    let small = cell.starts();
    assert_eq!(small.len(), 4);
    confirm_starts(&mut cell, &small);
    cell.now += Duration::from_millis(100);
    cell.submit_for(SMALL, 2, "urgent", vec![gang(3, 2)]);
    cell.submit_for(SMALL, 3, "patient", vec![step(20, 2)]);
    // Each end frees the room that one more small task needs.
    for (number, (worker, start)) in small.iter().enumerate().take(3) {
        assert!(cell.starts().is_empty(), "after {number} ends");
        let others: Vec<_> = small[number + 1..].iter().filter(|other| other.0 == *worker).collect();
        let others: Vec<_> = others.into_iter().map(|(_, start)| running(start)).collect();
        cell.end_beside(worker, start, RunOutcome::Done, &others);
    }
    let starts = cell.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, start)| start.task.unit.job == 2), "{starts:?}");
}

#[test]
fn a_gang_for_which_room_is_assembled_keeps_its_share_of_the_limit() {
    let mut cell = Cell::with_workspaces(1).ready();
    cell.submit_for(LARGE, 1, "patient", vec![Step { checkpoints: true, ..step(2, 5) }]);
    let patient = cell.starts();
    assert_eq!(patient.len(), 2);
    confirm_starts(&mut cell, &patient);
    let slow = Step { estimate: Duration::from_secs(4), ..gang(2, 4) };
    cell.submit_for(SMALL, 2, "urgent", vec![slow]);
    cell.submit_for(SMALL, 3, "patient", vec![step(3, 1)]);
    let actions = cell.plan();
    assert!(matches!(actions.as_slice(), [Action::Stop(..)]), "the small tasks wait for the gang: {actions:?}");
    cell.end_beside(&patient[0].0, &patient[0].1, RunOutcome::Stopped, &[running(&patient[1].1)]);
    let jobs: Vec<_> = cell.starts().iter().map(|(_, start)| start.task.unit.job).collect();
    assert_eq!(jobs, [2, 2]);
}

#[test]
fn steps_that_can_never_run_within_the_limit_are_reported() {
    let mut cell = Cell::with_workspaces(2).ready();
    let job = |steps| work::Job { specification: String::new(), steps, schedule: None };
    let mut excess = |steps| cell.engine.excess("small", &job(steps)).map(|excess| excess.to_string());
    assert_eq!(excess(vec![step(100, 8)]), None, "its tasks run in turns");
    assert_eq!(excess(vec![gang(4, 2)]), None);
    let oversized_gang = excess(vec![step(1, 1), gang(5, 2)]);
    assert_eq!(
        oversized_gang.as_deref(),
        Some("step 1 needs 10 cores, 500 MiB at once, the workspace's limit is 8 cores, 0 MiB")
    );
    assert!(excess(vec![step(1, 9)]).is_some());
    assert_eq!(cell.engine.workspaces().iter().map(|workspace| workspace.refused).sum::<u64>(), 2);
    assert!(cell.engine.excess("unheard of", &job(vec![step(1, 9)])).is_none());
}
