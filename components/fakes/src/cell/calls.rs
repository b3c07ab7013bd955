//! Counts of calls in progress, and workers' answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entry::{Refusal, Reply};
use work::{Term, WorkerId};

use super::Cell;
use crate::runner;

/// A transaction that gets no answer. If it is dropped, its sender gave up before its own timeout; a transaction whose
/// timeout has passed is forgotten instead.
pub(super) struct UnansweredCommit<'a>(pub(super) &'a Cell);

impl Drop for UnansweredCommit<'_> {
    fn drop(&mut self) {
        self.0.state.lock().abandoned_commits += 1;
    }
}

/// A transaction that has not been answered yet. Dropping it ends the count.
pub(super) struct CommitInProgress<'a>(&'a Cell);

impl CommitInProgress<'_> {
    pub(super) fn begin(cell: &Cell) -> CommitInProgress<'_> {
        let mut state = cell.state.lock();
        state.commits_in_progress += 1;
        state.max_concurrent_commits = state.max_concurrent_commits.max(state.commits_in_progress);
        CommitInProgress(cell)
    }
}

impl Drop for CommitInProgress<'_> {
    fn drop(&mut self) {
        self.0.state.lock().commits_in_progress -= 1;
    }
}

/// Converts a fake worker's reply to that of the `entry` package.
pub(super) fn into_entry_reply(reply: Reply<runner::Reply>) -> Reply<()> {
    match reply {
        Reply::Done(runner::Reply::Done) => Reply::Done(()),
        Reply::Done(runner::Reply::Fenced) | Reply::Fenced => Reply::Fenced,
        Reply::Done(runner::Reply::Refused) => Reply::Refused(Refusal::Other),
        Reply::OtherIncarnation => Reply::OtherIncarnation,
        Reply::Refused(refusal) => Reply::Refused(refusal),
    }
}

/// Default limit of the time for which workers hold a renewal back until a run ends. It is short so that a finished
/// test does not wait for them.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Settings and counts of calls from hosts to workers.
pub(super) struct Calls {
    /// Longest time for which a worker holds a renewal back until a run ends.
    pub(super) max_wait: Duration,
    /// CPU time that each call costs the caller.
    cpu_time: Duration,
    /// Delay of the answer to a first call.
    first_delay: Duration,
    /// Workers that the leader of each term called for the first time, in the order of the calls.
    first: BTreeMap<Term, Vec<WorkerId>>,
    /// First calls in progress.
    first_in_progress: usize,
    /// The highest value that `first_in_progress` has had.
    max_first_in_progress: usize,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls {
            max_wait: MAX_WAIT,
            cpu_time: Duration::ZERO,
            first_delay: Duration::ZERO,
            first: BTreeMap::new(),
            first_in_progress: 0,
            max_first_in_progress: 0,
        }
    }
}

/// A first call in progress. Dropping it ends the count.
pub(super) struct FirstCall<'a>(&'a Cell);

impl FirstCall<'_> {
    pub(super) fn begin<'a>(cell: &'a Cell, term: Term, worker: &str) -> FirstCall<'a> {
        let calls = &mut cell.state.lock().calls;
        calls.first.entry(term).or_default().push(worker.to_owned());
        calls.first_in_progress += 1;
        calls.max_first_in_progress = calls.max_first_in_progress.max(calls.first_in_progress);
        FirstCall(cell)
    }
}

impl Drop for FirstCall<'_> {
    fn drop(&mut self) {
        self.0.state.lock().calls.first_in_progress -= 1;
    }
}

impl Cell {
    /// Sets the CPU time that each call to a worker costs the caller.
    pub fn set_call_cpu_time(&self, cpu_time: Duration) {
        self.state.lock().calls.cpu_time = cpu_time;
    }

    /// Sets the longest time for which a worker holds a renewal back until a run ends, whatever the renewal asks for.
    pub fn set_max_worker_wait(&self, max_wait: Duration) {
        self.state.lock().calls.max_wait = max_wait;
    }

    /// Sets the delay of a worker's answer to the first call of a leader.
    pub fn set_first_call_delay(&self, delay: Duration) {
        self.state.lock().calls.first_delay = delay;
    }

    /// Workers that the leader of this term called for the first time, in the order of the calls.
    pub fn first_calls(&self, term: Term) -> Vec<WorkerId> {
        self.state.lock().calls.first.get(&term).cloned().unwrap_or_default()
    }

    /// Highest number of first calls that were in progress at the same time.
    pub fn max_concurrent_first_calls(&self) -> usize {
        self.state.lock().calls.max_first_in_progress
    }

    /// Keeps the CPU busy for the cost of one call.
    pub(super) fn spend_cpu_time(&self) {
        let cpu_time = self.state.lock().calls.cpu_time;
        let started_at = Instant::now();
        while started_at.elapsed() < cpu_time {
            std::hint::spin_loop();
        }
    }

    pub(super) fn first_call_delay(&self) -> Duration {
        self.state.lock().calls.first_delay
    }
}
