//! Choice among the workers that have room for a task.

use model::Resources;
use work::Step;

use crate::cell::{Cell, step};

/// A step of `count` tasks that need `cores` cores and `accelerators` accelerators each.
fn accelerated(count: u32, cores: u32, accelerators: u32) -> Step {
    Step { need: Resources::new(cores, 100, accelerators), ..step(count, cores) }
}

/// A cell of workers with 16 cores and 8 accelerators each.
fn cell(workers: usize) -> Cell {
    let mut cell = Cell::new(workers);
    for info in cell.infos.values_mut() {
        info.capacity = Resources::new(16, 64_000, 8);
    }
    cell.ready()
}

#[test]
fn keeping_accelerators_together_has_priority_over_cores() {
    let mut cell = cell(2);
    cell.submit(1, "urgent", vec![accelerated(1, 10, 0)]);
    let without_accelerators = cell.starts().remove(0).0;
    cell.submit(2, "urgent", vec![accelerated(1, 7, 4)]);
    let with_accelerators = cell.starts().remove(0).0;
    assert_ne!(with_accelerators, without_accelerators, "the first worker has too few cores left");
    cell.submit(3, "urgent", vec![accelerated(1, 1, 4)]);
    assert_eq!(cell.starts()[0].0, with_accelerators, "the first worker has fewer cores left, but all accelerators");
    cell.submit(4, "urgent", vec![accelerated(1, 6, 8)]);
    assert_eq!(
        cell.starts()[0].0,
        without_accelerators,
        "a full set of accelerators is left for a task that needs one"
    );
}
