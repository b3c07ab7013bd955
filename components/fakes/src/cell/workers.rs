//! The workers of a cell as a host sees them.

use std::time::Duration;

use async_trait::async_trait;
use entry::{Order, Renewal, Reply, ServiceError, Target, WorkerStatus};
use tokio::time::Instant;
use work::{Attempt, Task, Term, WorkerIncarnation};

use super::HostView;
use super::calls::{FirstCall, into_entry_reply};
use crate::runner::{self, Run, Runner};

/// Interval at which a worker that holds a renewal back checks whether a run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl HostView {
    /// Counts a start order as in progress for the configured delay.
    async fn delay_start(&self, worker: &str) {
        {
            let mut state = self.cell.state.lock();
            let in_progress = state.starts_in_progress.entry(worker.to_owned()).or_default();
            *in_progress += 1;
            state.max_concurrent_starts =
                state.max_concurrent_starts.max(*state.starts_in_progress.get(worker).unwrap_or(&0));
        }
        let delay = *self.cell.start_delay.lock();
        tokio::time::sleep(delay).await;
        if let Some(in_progress) = self.cell.state.lock().starts_in_progress.get_mut(worker) {
            *in_progress -= 1;
        }
    }

    /// Holds the answer to a renewal back until a run ends, for at most the time that the caller asked for.
    async fn wait_for_end(&self, target: &Target, wait: Duration) {
        let until = Instant::now() + wait.min(self.cell.state.lock().calls.max_wait);
        let end_number = || {
            let now = self.cell.now();
            let mut state = self.cell.state.lock();
            let runner = state.workers.get_mut(WorkerIncarnation::from_id(&target.id).name)?;
            runner.tick(now);
            Some(runner.last_end_number)
        };
        let before = end_number();
        while Instant::now() < until && end_number() == before {
            tokio::time::sleep((until - Instant::now()).min(POLL_INTERVAL)).await;
        }
    }

    fn call_worker<T>(
        &self,
        target: &Target,
        order: impl FnOnce(&mut Runner, Duration) -> T,
    ) -> Result<Reply<T>, ServiceError> {
        let now = self.cell.now();
        let mut state = self.cell.state.lock();
        let Some(runner) = state.workers.get_mut(WorkerIncarnation::from_id(&target.id).name) else {
            return Ok(Reply::OtherIncarnation);
        };
        if !runner.reachable {
            return Err(ServiceError::NotDone("unreachable".to_owned()));
        }
        runner.tick(now);
        Ok(Reply::Done(order(runner, now)))
    }
}

#[async_trait]
impl entry::Workers for HostView {
    async fn renew(&self, target: &Target, renewal: &Renewal) -> Result<Reply<WorkerStatus>, ServiceError> {
        let first = renewal.until.is_none().then(|| FirstCall::begin(&self.cell, renewal.term, &target.id));
        self.cell.spend_cpu_time();
        if first.is_some() {
            tokio::time::sleep(self.cell.first_call_delay()).await;
        }
        self.wait_for_end(target, renewal.wait).await;
        let reply = self.call_worker(target, |runner, now| {
            let born = runner.born;
            runner.renew(renewal.term, renewal.until, renewal.acked).map(|(running, ended)| WorkerStatus {
                clock: now,
                born,
                running,
                truncated: runner.is_truncated(ended.len()),
                ended,
            })
        })?;
        Ok(match reply {
            Reply::Done(Ok(status)) => Reply::Done(status),
            Reply::Done(Err(_)) | Reply::Fenced => Reply::Fenced,
            Reply::OtherIncarnation => Reply::OtherIncarnation,
            Reply::Refused(refusal) => Reply::Refused(refusal),
        })
    }

    async fn start(&self, target: &Target, order: &Order, _timeout: Duration) -> Result<Reply<()>, ServiceError> {
        let Order { term, until, start } = order;
        self.cell.spend_cpu_time();
        self.delay_start(&target.id).await;
        let simulated = *self.cell.simulated_run.lock();
        let step = &start.job.steps[usize::from(start.task.unit.step)];
        let reply = self.call_worker(target, |runner, now| {
            let run = Run { need: step.need, ends_at: now + simulated.duration, outcome: simulated.outcome };
            runner.start(now, *term, *until, (start.task, start.attempt), run)
        })?;
        if matches!(reply, Reply::Done(runner::Reply::Done)) {
            self.cell.state.lock().starts.push((target.id.clone(), start.task, start.attempt));
        }
        Ok(into_entry_reply(reply))
    }

    async fn stop(&self, target: &Target, term: Term, task: Task, attempt: Attempt) -> Result<Reply<()>, ServiceError> {
        let reply = self.call_worker(target, |runner, _| runner.stop(term, task, attempt))?;
        Ok(into_entry_reply(reply))
    }
}
