//! Whole entry hosts and workers that are back under their former id.
//!
//! What users would see: a task that is done is done again, on a platform where a worker that starts again keeps its id. In the order of
//! events: a worker lists ends 1 to 3, and they are acknowledged; it starts again, and the numbers of its ends begin at 1; a task is done
//! there as end 1, and the next renewal, which acknowledges ends up to 3 once more, has it forgotten before anybody has seen it.
//!
//! Evidence: with six jobs before and six after, the worker's renewals all acknowledge end 6 and list no end of the seventh job, which is
//! started three times and then given up. Cause: each renewal repeated what had been acknowledged long before.

mod support;

use entry::Answer;
use fakes::cell::{Cell, Conduct};
use sched::RunOutcome;
use support::{PATIENCE, cell, ends, hosts, info, submit, until};
use work::Outcome;

/// A task may be started so often under which each worker ends: a bound of the platform.
const MOST_STARTS: usize = 5;
/// Jobs before the workers start again, and after.
const JOBS: u64 = 6;

#[tokio::test]
async fn an_end_of_a_next_life_is_not_acknowledged_unseen() {
    let cell = cell();
    let hosts = hosts(&cell, 1).await;
    for id in 0..JOBS {
        assert_eq!(submit(&hosts[0], id, 1).await, Answer::Accepted);
        assert_eq!(ends(&hosts[0], id).await, Outcome::Completed);
    }
    let acknowledged = |id| cell.worker(id, |worker| worker.ended.is_empty()) == Some(true);
    until("all ends are acknowledged", || acknowledged("w0") && acknowledged("w1")).await;
    (0..2).for_each(|number| cell.add_worker(&format!("w{number}"), info(number)));
    for id in JOBS..2 * JOBS {
        assert_eq!(submit(&hosts[0], id, 1).await, Answer::Accepted);
        assert_eq!(ends(&hosts[0], id).await, Outcome::Completed);
    }
    assert_eq!(cell.starts().len() as u64, 2 * JOBS, "each task is done once");
}

/// Where the platform tells when a worker was born, a run that went with its worker is held against its task, and one that the next life may
/// have is waited for there.
#[tokio::test]
async fn a_worker_that_is_born_again_is_another_one() {
    let cell = cell();
    (0..2).for_each(|number| bear(&cell, number, 1000));
    let hosts = hosts(&cell, 1).await;
    cell.conduct(Conduct { takes: PATIENCE, how: RunOutcome::Done });
    assert_eq!(submit(&hosts[0], 7, 1).await, Answer::Accepted);
    let bearing = async {
        for starts in 1..=MOST_STARTS {
            until("it is started", || cell.starts().len() >= starts).await;
            (0..2).for_each(|number| bear(&cell, number, 1000 + starts as u64));
        }
    };
    let outcome = tokio::select! {
        outcome = ends(&hosts[0], 7) => outcome,
        () = async { bearing.await; std::future::pending().await } => unreachable!("it waits for ever"),
    };
    assert_eq!(outcome, Outcome::Failed, "workers have ended under it");
    assert!(cell.starts().len() <= MOST_STARTS);
}

/// Worker `number` is born, or born again.
fn bear(cell: &Cell, number: usize, birth: u64) {
    cell.add_life(&format!("w{number}"), info(number), Some(birth));
}
