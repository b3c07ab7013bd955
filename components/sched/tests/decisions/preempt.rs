//! Preemption of less urgent runs for large urgent tasks.

use model::Resources;
use sched::{Action, RunOutcome, Start};
use work::Step;

use crate::cell::{Cell, step};

/// A step of `count` tasks that need one core and `accelerators` accelerators each, and write checkpoints.
fn accelerated(count: u32, accelerators: u32) -> Step {
    Step { need: Resources::new(1, 100, accelerators), checkpoints: true, ..step(count, 1) }
}

/// A cell of one worker with 8 accelerators, on which a step of the queue `patient` runs.
fn busy_cell(patient: Step) -> (Cell, Vec<(String, Start)>) {
    let mut cell = Cell::new(1);
    cell.infos.values_mut().for_each(|info| info.capacity = Resources::new(16, 64_000, 8));
    let mut cell = cell.ready();
    cell.submit(1, "patient", vec![patient]);
    let starts = cell.starts();
    starts.iter().for_each(|(worker, start)| cell.confirm_start(worker, start));
    (cell, starts)
}

fn count_stops(cell: &mut Cell) -> usize {
    cell.plan().iter().filter(|action| matches!(action, Action::Stop(..))).count()
}

#[test]
fn a_large_urgent_task_preempts_less_urgent_ones_with_checkpoints() {
    let (mut cell, patient) = busy_cell(accelerated(2, 1));
    assert_eq!(patient.len(), 2);
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(count_stops(&mut cell), 2);
    let preemptions = cell.engine.take_preemptions();
    assert!(matches!(preemptions.as_slice(), [one] if one.unit.job == 2 && one.stopped == 2), "{preemptions:?}");
    assert_eq!(count_stops(&mut cell), 0, "nothing is stopped twice");

    let (worker, first) = &patient[0];
    cell.end_beside(worker, first, RunOutcome::Stopped, &[crate::cell::running(&patient[1].1)]);
    assert!(cell.starts().is_empty(), "the stopped task isn't placed in the freed room");
    cell.end(worker, &patient[1].1, RunOutcome::Stopped);
    let starts = cell.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.unit.job, 2);
    cell.confirm_start(worker, &starts[0].1);
    cell.end(worker, &starts[0].1, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 2, "the preempted tasks resume");
}

#[test]
fn no_more_runs_are_preempted_than_needed() {
    let (mut cell, patient) = busy_cell(accelerated(4, 1));
    assert_eq!(patient.len(), 4);
    cell.submit(2, "urgent", vec![accelerated(1, 5)]);
    assert_eq!(count_stops(&mut cell), 1, "four accelerators are free already");
}

#[test]
fn runs_without_checkpoints_and_long_running_ones_are_not_preempted() {
    let (mut cell, _) = busy_cell(Step { checkpoints: false, ..accelerated(2, 1) });
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(count_stops(&mut cell), 0);
    let (mut cell, _) = busy_cell(Step { long_running: true, ..accelerated(2, 1) });
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(count_stops(&mut cell), 0);
}

#[test]
fn small_tasks_and_tasks_of_equal_priority_preempt_nothing() {
    let (mut cell, _) = busy_cell(accelerated(8, 1));
    cell.submit(2, "urgent", vec![accelerated(1, 4)]);
    assert_eq!(count_stops(&mut cell), 0, "room for half a worker becomes free without preemption");
    cell.submit(3, "patient", vec![accelerated(1, 8)]);
    assert_eq!(count_stops(&mut cell), 0, "it isn't more urgent");
}
