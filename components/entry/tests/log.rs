//! What the log in the store contains, and for how long.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{Answer, Call, Caller, Host};
use fakes::cell::MAX_VALUE_BYTES;
use futures_util::future::join_all;
use support::{ask, job, new_cell, start_hosts, submit, wait_until, worker_info};
use work::log::Part;
use work::{Job, JobId, Step};

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

/// A chain of as many steps as are allowed, each with an image that is named by a registry path and a digest.
fn large_job() -> Job {
    let step = |number: u16| Step {
        image: format!("{number:0240}"),
        after: number.checked_sub(1).into_iter().collect(),
        ..job(1).steps[0].clone()
    };
    Job { steps: (0..64).map(step).collect(), ..job(1) }
}

async fn submit_job(host: &Arc<Host>, id: JobId, job: Job) -> Answer {
    let (caller, queue) = (Caller::Operator, "plans".to_owned());
    ask(host, Call::Submit { caller, queue, id, job: Box::new(job), wait: support::TEST_TIMEOUT }).await
}

/// Jobs that are submitted together, more than fit into one value of the store.
async fn submit_large_jobs(host: &Arc<Host>) -> Vec<Answer> {
    join_all((100..200).map(|id| submit_job(host, id, large_job()))).await
}

/// Guards against a part of the log that is larger than the store allows: it would be sent for ever, and nothing would be
/// accepted or started any more.
#[tokio::test]
async fn large_jobs_do_not_make_a_part_too_large_for_the_store() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 1).await;
    // The jobs gather while the first part is in flight.
    cell.set_commit_delay(Duration::from_millis(100));
    let answers = submit_large_jobs(&hosts[0]).await;
    assert!(answers.contains(&Answer::Accepted), "{answers:?}");
    assert_eq!(submit(&hosts[0], 7, 1).await, Answer::Accepted);
    assert!(cell.values(LOG_PREFIX).iter().all(|value| value.len() <= MAX_VALUE_BYTES));
}

/// Guards against a cell that halts because the store allows only smaller values than its settings say: the jobs in a
/// rejected part are refused, and later ones are accepted.
#[tokio::test]
async fn a_rejected_part_does_not_halt_the_cell() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 1).await;
    cell.set_max_value(64 * 1024);
    cell.set_commit_delay(Duration::from_millis(100));
    let answers = submit_large_jobs(&hosts[0]).await;
    assert!(answers.iter().any(|answer| matches!(answer, Answer::Refused(_))), "{answers:?}");
    // Jobs are refused until the rejected part is written without those that were withdrawn.
    let end = Instant::now() + support::TEST_TIMEOUT;
    while submit(&hosts[0], 7, 1).await != Answer::Accepted {
        assert!(Instant::now() < end, "never accepted");
        tokio::time::sleep(support::POLL_INTERVAL).await;
    }
}

/// Guards against a job that is accepted although no value of the store can hold its record.
#[tokio::test]
async fn a_job_that_does_not_fit_into_the_log_is_rejected() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 2).await;
    let specification = "x".repeat(MAX_VALUE_BYTES);
    let answer = submit_job(&hosts[1], 7, Job { specification, ..job(1) }).await;
    assert!(matches!(answer, Answer::TooLarge { size, limit } if size > limit), "{answer:?}");
    assert_eq!(submit(&hosts[1], 7, 1).await, Answer::Accepted);
}
