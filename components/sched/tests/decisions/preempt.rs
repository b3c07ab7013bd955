//! Room that is made for large urgent tasks by stopping less urgent ones.

use model::Resources;
use sched::{Action, RunOutcome, Start};
use work::Step;

use crate::cell::{Cell, step};

/// A step of so many tasks with one core and so many accelerators each.
fn accelerated(count: u32, accelerators: u32) -> Step {
    Step { need: Resources::new(1, 100, accelerators), checkpoints: true, ..step(count, 1) }
}

/// A cell of one worker with 8 accelerators, on which a step of a patient queue runs.
fn busy(patient: Step) -> (Cell, Vec<(String, Start)>) {
    let mut cell = Cell::new(1);
    cell.infos.values_mut().for_each(|info| info.capacity = Resources::new(16, 64_000, 8));
    let mut cell = cell.ready();
    cell.submit(1, "patient", vec![patient]);
    let starts = cell.starts();
    starts.iter().for_each(|(worker, start)| cell.started(worker, start));
    (cell, starts)
}

fn stops(cell: &mut Cell) -> usize {
    cell.plan().iter().filter(|action| matches!(action, Action::Stop(..))).count()
}

#[test]
fn a_large_urgent_task_takes_the_room_of_patient_ones_that_save() {
    let (mut cell, patient) = busy(accelerated(2, 1));
    assert_eq!(patient.len(), 2);
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(stops(&mut cell), 2);
    let made = cell.engine.take_preemptions();
    assert!(matches!(made.as_slice(), [one] if one.unit.job == 2 && one.stopped == 2), "{made:?}");
    assert_eq!(stops(&mut cell), 0, "once is enough");

    let (worker, first) = &patient[0];
    cell.end_beside(worker, first, RunOutcome::Stopped, &[crate::cell::running(&patient[1].1)]);
    assert!(cell.starts().is_empty(), "what was stopped doesn't take the room again");
    cell.end(worker, &patient[1].1, RunOutcome::Stopped);
    let starts = cell.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.task.unit.job, 2);
    cell.started(worker, &starts[0].1);
    cell.end(worker, &starts[0].1, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 2, "the patient ones go on");
}

#[test]
fn no_more_is_stopped_than_must_be() {
    let (mut cell, patient) = busy(accelerated(4, 1));
    assert_eq!(patient.len(), 4);
    cell.submit(2, "urgent", vec![accelerated(1, 5)]);
    assert_eq!(stops(&mut cell), 1, "four are free already");
}

#[test]
fn work_that_would_be_lost_is_not_stopped() {
    let (mut cell, _) = busy(Step { checkpoints: false, ..accelerated(2, 1) });
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(stops(&mut cell), 0);
    let (mut cell, _) = busy(Step { long_running: true, ..accelerated(2, 1) });
    cell.submit(2, "urgent", vec![accelerated(1, 8)]);
    assert_eq!(stops(&mut cell), 0);
}

#[test]
fn small_tasks_and_equals_stop_nobody() {
    let (mut cell, _) = busy(accelerated(8, 1));
    cell.submit(2, "urgent", vec![accelerated(1, 4)]);
    assert_eq!(stops(&mut cell), 0, "room for half a worker comes by itself");
    cell.submit(3, "patient", vec![accelerated(1, 8)]);
    assert_eq!(stops(&mut cell), 0, "it is no more urgent");
}
