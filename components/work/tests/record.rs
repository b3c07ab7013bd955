//! Sizes of records.

use std::time::Duration;

use work::log::{PART_OVERHEAD, Part};
use work::{Job, Record, Schedule, Step};

/// A job whose numbers take as many bytes as they can.
fn job() -> Job {
    let text = "x".repeat(300);
    let step = Step {
        count: u32::MAX,
        estimate: Duration::MAX,
        after: vec![u16::MAX; 100],
        label: text.clone(),
        rack: text.clone(),
        image: text.clone(),
        ..Step::default()
    };
    let schedule = Schedule { rounds: u32::MAX, first: Duration::MAX, every: Duration::MAX };
    Job { specification: text, steps: vec![step; 64], schedule: Some(schedule) }
}

fn acceptance() -> Record {
    let (queue, workspace) = ("queue".to_owned(), Some("workspace".to_owned()));
    Record::Accepted { id: u64::MAX, queue, workspace, at: Duration::MAX, job: job() }
}

/// Guards against parts of the log that exceed the store's limit because the size of their records is underestimated.
#[test]
fn the_size_of_a_part_is_that_of_its_records() {
    let records = vec![acceptance(), Record::Rewritten(Box::new(acceptance())), Record::Gone { id: "w".repeat(200) }];
    let size: usize = records.iter().map(Record::encoded_size).sum();
    let encoded = postcard::to_stdvec(&Part { settled: u64::MAX, records }).expect("a part").len();
    assert!((size..=size + PART_OVERHEAD).contains(&encoded), "{encoded} bytes, {size} in records");
}

/// Guards against a job that is accepted although its record, as first written or as rewritten, fits into no part.
#[test]
fn a_job_is_not_larger_in_the_log_than_its_bound() {
    let bound = Record::max_accepted_size("queue", Some("workspace"), &job());
    let rewritten = Record::Rewritten(Box::new(acceptance())).encoded_size();
    assert!((rewritten..rewritten + 100).contains(&bound), "{rewritten} bytes, bound {bound}");
}
