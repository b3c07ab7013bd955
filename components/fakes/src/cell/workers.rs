//! The workers of a cell as a host sees them.

use std::time::Duration;

use async_trait::async_trait;
use entry::{Order, Renewal, Reply, ServiceError, Target, WorkerStatus};
use tokio::time::Instant;
use work::{Attempt, Task, Term, WorkerIncarnation};

use super::View;
use super::calls::{FirstCall, reply};
use crate::runner::{self, Run, Runner};

/// A worker that waits for an end looks for one this often.
const LOOK: Duration = Duration::from_millis(20);

impl View {
    /// A start is on its way, as long as starts take.
    async fn start_arrives(&self, worker: &str) {
        {
            let mut state = self.cell.state.lock();
            let under_way = state.under_way.entry(worker.to_owned()).or_default();
            *under_way += 1;
            state.most_under_way = state.most_under_way.max(*state.under_way.get(worker).unwrap_or(&0));
        }
        let takes = *self.cell.start_takes.lock();
        tokio::time::sleep(takes).await;
        if let Some(under_way) = self.cell.state.lock().under_way.get_mut(worker) {
            *under_way -= 1;
        }
    }

    /// A worker waits with its answer to a renewal until a run ends, as long as it was asked to.
    async fn wait_for_end(&self, target: &Target, wait: Duration) {
        let until = Instant::now() + wait.min(self.cell.state.lock().calls.most_wait);
        let ends = || {
            let now = self.cell.now();
            let mut state = self.cell.state.lock();
            let runner = state.workers.get_mut(WorkerIncarnation::from_id(&target.id).name)?;
            runner.tick(now);
            Some(runner.last_end_number)
        };
        let before = ends();
        while Instant::now() < until && ends() == before {
            tokio::time::sleep((until - Instant::now()).min(LOOK)).await;
        }
    }

    fn at<T>(&self, target: &Target, order: impl FnOnce(&mut Runner, Duration) -> T) -> Result<Reply<T>, ServiceError> {
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
impl entry::Workers for View {
    async fn renew(&self, target: &Target, renewal: &Renewal) -> Result<Reply<WorkerStatus>, ServiceError> {
        let first = renewal.until.is_none().then(|| FirstCall::begin(&self.cell, renewal.term, &target.id));
        self.cell.spend();
        if first.is_some() {
            tokio::time::sleep(self.cell.first_call_time()).await;
        }
        self.wait_for_end(target, renewal.wait).await;
        let held = self.at(target, |runner, now| {
            let born = runner.born;
            runner.renew(renewal.term, renewal.until, renewal.acked).map(|(running, ended)| WorkerStatus {
                clock: now,
                born,
                running,
                ended,
            })
        })?;
        Ok(match held {
            Reply::Done(Ok(held)) => Reply::Done(held),
            Reply::Done(Err(_)) | Reply::Fenced => Reply::Fenced,
            Reply::OtherIncarnation => Reply::OtherIncarnation,
            Reply::Refused(refusal) => Reply::Refused(refusal),
        })
    }

    async fn start(&self, target: &Target, order: &Order, _patience: Duration) -> Result<Reply<()>, ServiceError> {
        let Order { term, until, start } = order;
        self.cell.spend();
        self.start_arrives(&target.id).await;
        let conduct = *self.cell.conduct.lock();
        let step = &start.job.steps[usize::from(start.task.unit.step)];
        let outcome = self.at(target, |runner, now| {
            let run = Run { need: step.need, ends_at: now + conduct.duration, outcome: conduct.outcome };
            runner.start(now, *term, *until, (start.task, start.attempt), run)
        })?;
        if matches!(outcome, Reply::Done(runner::Reply::Done)) {
            self.cell.state.lock().starts.push((target.id.clone(), start.task, start.attempt));
        }
        Ok(reply(outcome))
    }

    async fn stop(&self, target: &Target, term: Term, task: Task, attempt: Attempt) -> Result<Reply<()>, ServiceError> {
        let outcome = self.at(target, |runner, _| runner.stop(term, task, attempt))?;
        Ok(reply(outcome))
    }
}
