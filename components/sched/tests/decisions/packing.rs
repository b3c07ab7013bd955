//! On which of the workers that have room a task goes.

use model::Resources;
use work::Step;

use crate::cell::{Cell, step};

/// A step of so many tasks with so many cores and accelerators each.
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
fn accelerators_are_kept_whole_before_cores_are() {
    let mut cell = cell(2);
    cell.submit(1, "urgent", vec![accelerated(1, 10, 0)]);
    let whole = cell.starts().remove(0).0;
    cell.submit(2, "urgent", vec![accelerated(1, 7, 4)]);
    let split = cell.starts().remove(0).0;
    assert_ne!(split, whole, "it has too few cores left");
    cell.submit(3, "urgent", vec![accelerated(1, 1, 4)]);
    assert_eq!(cell.starts()[0].0, split, "the other one has fewer cores left, but all accelerators");
    cell.submit(4, "urgent", vec![accelerated(1, 6, 8)]);
    assert_eq!(cell.starts()[0].0, whole, "a whole set is left for what needs one");
}
