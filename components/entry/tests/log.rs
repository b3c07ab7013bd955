//! What the log in the store contains, and for how long.

mod support;

use std::time::Duration;

use entry::Answer;
use support::{new_cell, start_hosts, submit, wait_until, worker_info};
use work::log::Part;

const LOG_PREFIX: &str = "walkhook/log/";
/// Longer than parts of the log are kept.
const PAST_RETENTION: Duration = Duration::from_secs(13);

/// Number of worker records in the log, including rewritten ones.
fn count_worker_records(cell: &fakes::cell::Cell) -> usize {
    let parts =
        cell.values(LOG_PREFIX).into_iter().map(|value| postcard::from_bytes::<Part>(&value[2..]).expect("a part"));
    parts.flat_map(|part| part.records).filter(|record| record.worker().is_some()).count()
}

/// Otherwise a log that names thousands of workers, which were added at different times, doubles with each rewrite.
#[tokio::test]
async fn a_rewritten_log_names_each_worker_once() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 1).await;
    for number in 2..6 {
        cell.add_worker(&format!("w{number}"), worker_info(number));
        wait_until("it is recorded", || count_worker_records(&cell) == number + 1).await;
    }
    for round in 0..3 {
        cell.suspend_host("host-0", PAST_RETENTION);
        // Each transaction deletes some old parts.
        for job in 0..20 {
            assert_eq!(submit(&hosts[0], round * 100 + job, 1).await, Answer::Accepted);
            let named = count_worker_records(&cell);
            assert!(
                (6..=12).contains(&named),
                "6 workers are named {named} times; each may be named once, and once more while a part is rewritten"
            );
        }
    }
}
