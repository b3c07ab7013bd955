//! Workers that restart under the same id.
//!
//! Guards against finished tasks being run again after a worker restart, on a platform where a restarted worker keeps
//! its id: a worker reports run ends 1 to 3, and they are acknowledged; it restarts and numbers its run ends from 1
//! again; a task finishes there as end 1, and the next renewal, which acknowledges ends up to 3 once more, makes the
//! worker drop it before the leader has seen it.
//!
//! With six jobs before and six after the restart, the renewals all acknowledged end 6 and listed no end of the
//! seventh job, which was started three times and then given up. The cause was that each renewal repeated old
//! acknowledgements.

mod support;

use entry::Answer;
use fakes::cell::{Cell, SimulatedRun};
use sched::RunOutcome;
use support::{TEST_TIMEOUT, new_cell, start_hosts, submit, wait_for_end, wait_until, worker_info};
use work::Outcome;

/// Limit of the platform on the starts of a task while each of its workers is lost.
const MAX_STARTS: usize = 5;
/// Number of jobs before the workers restart, and after.
const JOBS: u64 = 6;

#[tokio::test]
async fn a_run_end_after_a_restart_is_not_acknowledged_unseen() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 1).await;
    for id in 0..JOBS {
        assert_eq!(submit(&hosts[0], id, 1).await, Answer::Accepted);
        assert_eq!(wait_for_end(&hosts[0], id).await, Outcome::Completed);
    }
    let acknowledged = |id| cell.update_worker(id, |worker| worker.ended.is_empty()) == Some(true);
    wait_until("all ends are acknowledged", || acknowledged("w0") && acknowledged("w1")).await;
    (0..2).for_each(|number| cell.add_worker(&format!("w{number}"), worker_info(number)));
    for id in JOBS..2 * JOBS {
        assert_eq!(submit(&hosts[0], id, 1).await, Answer::Accepted);
        assert_eq!(wait_for_end(&hosts[0], id).await, Outcome::Completed);
    }
    assert_eq!(cell.starts().len() as u64, 2 * JOBS, "each task is done once");
}

/// If the platform reports when a worker started, a run that was lost with its worker counts against its task, and
/// the leader waits for a run that the next incarnation may still have.
#[tokio::test]
async fn a_worker_with_a_new_start_time_is_another_incarnation() {
    let cell = new_cell();
    (0..2).for_each(|number| add_incarnation(&cell, number, 1000));
    let hosts = start_hosts(&cell, 1).await;
    cell.simulate_runs(SimulatedRun { duration: TEST_TIMEOUT, outcome: RunOutcome::Done });
    assert_eq!(submit(&hosts[0], 7, 1).await, Answer::Accepted);
    let restarts = async {
        for starts in 1..=MAX_STARTS {
            wait_until("it is started", || cell.starts().len() >= starts).await;
            (0..2).for_each(|number| add_incarnation(&cell, number, 1000 + starts as u64));
        }
    };
    let outcome = tokio::select! {
        outcome = wait_for_end(&hosts[0], 7) => outcome,
        () = async { restarts.await; std::future::pending().await } => unreachable!("the restarts never return"),
    };
    assert_eq!(outcome, Outcome::Failed, "its workers were lost while they ran it");
    assert!(cell.starts().len() <= MAX_STARTS);
}

/// Adds worker `number`, or its next incarnation, started at `birth`.
fn add_incarnation(cell: &Cell, number: usize, started_at: u64) {
    cell.add_incarnation(&format!("w{number}"), worker_info(number), Some(started_at));
}
