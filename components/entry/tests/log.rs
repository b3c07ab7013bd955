//! What the log in the store contains, and for how long.

mod support;

use std::time::Duration;

use entry::Answer;
use support::{cell, hosts, info, submit, until};
use work::log::Part;

const LOG: &str = "walkhook/log/";
/// Longer than parts of the log are kept.
const KEPT: Duration = Duration::from_secs(13);

/// Number of worker records in the log, including rewritten ones.
fn named(cell: &fakes::cell::Cell) -> usize {
    let parts = cell.values(LOG).into_iter().map(|value| postcard::from_bytes::<Part>(&value[2..]).expect("a part"));
    parts.flat_map(|part| part.records).filter(|record| record.worker().is_some()).count()
}

/// Otherwise a log that names thousands of workers, which were added at different times, doubles with each rewrite.
#[tokio::test]
async fn a_log_that_is_written_anew_names_each_worker_once() {
    let cell = cell();
    let hosts = hosts(&cell, 1).await;
    for number in 2..6 {
        cell.add_worker(&format!("w{number}"), info(number));
        until("it is recorded", || named(&cell) == number + 1).await;
    }
    for round in 0..3 {
        cell.suspended("host-0", KEPT);
        // Each transaction deletes some old parts.
        for job in 0..20 {
            assert_eq!(submit(&hosts[0], round * 100 + job, 1).await, Answer::Accepted);
            let named = named(&cell);
            assert!(
                (6..=12).contains(&named),
                "6 workers are named {named} times: once, and once more while a part is replaced"
            );
        }
    }
}
