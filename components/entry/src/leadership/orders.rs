//! Carries out the scheduler's actions: starts, stops and questions to the advice service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use sched::{Action, OrderOutcome, Start};
use work::{Attempt, Task, WorkerId};

use crate::leadership::renewal::WorkerHandle;
use crate::leadership::{Leadership, usage};
use crate::services::{Order, Refusal, Reply, ServiceError, Target};

/// A start without a response is given up after a time derived from the observed latency, but not before this:
/// several tens of times the usual latency. Its task then runs elsewhere once a stop is answered.
const MIN_START_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound for that time.
const MAX_START_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before an unanswered stop is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Carries out one action in the background.
pub(crate) fn carry_out(leadership: &Arc<Leadership>, action: Action) {
    match action {
        Action::Start(worker, start) => {
            leadership.starts_under_way.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(start_run(leadership.clone(), worker, start));
        }
        Action::Stop(worker, task, attempt) => {
            tokio::spawn(stop_run(leadership.clone(), worker, task, attempt));
        }
        Action::Ask(question) => leadership.advice_queue.push(question),
        Action::Forget(worker) => {
            if let Some(renewal) = leadership.worker_handles.lock().remove(&worker) {
                renewal.abort();
            }
        }
    }
}

fn target(leadership: &Leadership, worker: &str) -> Option<Target> {
    leadership.worker_handles.lock().get(worker).map(|renewal| renewal.target.clone())
}

async fn start_run(leadership: Arc<Leadership>, worker: WorkerId, start: Start) {
    let outcome = send_start(&leadership, &worker, start.clone()).await;
    leadership.starts_under_way.fetch_sub(1, Ordering::Relaxed);
    emit!(leadership.host.log, events::RUN_STARTED, "task" => start.task.to_string(), "attempt" => start.attempt,
        "worker" => &worker, "outcome" => format!("{outcome:?}"), "term" => leadership.term);
    leadership.host.metrics.starts.get_or_create(&metrics::OutcomeLabels { outcome: outcome.name() }).inc();
    let clock = leadership.host.clock();
    let queue = {
        let mut engine = leadership.engine.lock();
        engine.start_answered(clock, &worker, start.task, start.attempt, outcome);
        engine.queue(start.task.unit.job).cloned()
    };
    leadership.activity.note_start(outcome);
    usage::record_start(&leadership, queue, outcome);
    if let Some(renewal) = leadership.worker_handles.lock().get(&worker) {
        renewal.wake.notify_one();
    }
    leadership.plan.notify_one();
}

/// Sends a start with a lease that ends with those of the next renewal.
async fn send_start(leadership: &Arc<Leadership>, worker: &WorkerId, start: Start) -> OrderOutcome {
    let renewal = leadership.worker_handles.lock().get(worker).cloned();
    let Some(WorkerHandle { target, lease, orders, .. }) = renewal else { return OrderOutcome::Refused };
    // The semaphore is never closed.
    let Ok(_permit) = orders.acquire().await else { return OrderOutcome::Refused };
    // The run may have been dropped while waiting for other orders.
    if !leadership.engine.lock().is_start_wanted(worker, start.task, start.attempt) {
        return OrderOutcome::Refused;
    }
    let now = leadership.host.started.elapsed();
    let until = lease.lock().expiry(now, leadership.grantable_lease(now));
    let Some(until) = until else { return OrderOutcome::Refused };
    if !leadership.authorized() {
        return OrderOutcome::Refused;
    }
    let timeout = leadership.order_latency.lock().timeout(MIN_START_TIMEOUT, MAX_START_TIMEOUT);
    let order = Order { term: leadership.term, until, start };
    let outcome = leadership.host.services.workers.start(&target, &order, timeout).await;
    match &outcome {
        Ok(_) => leadership.order_latency.lock().observe(leadership.host.started.elapsed() - now),
        Err(ServiceError::Unknown(_)) => leadership.order_latency.lock().record_timeout(),
        Err(ServiceError::NotDone(_) | ServiceError::Rejected(_) | ServiceError::Malformed(_)) => {}
    }
    if !matches!(outcome, Err(ServiceError::NotDone(_))) {
        lease.lock().grant(until);
    }
    match outcome {
        Ok(Reply::Done(())) => OrderOutcome::Started,
        Ok(Reply::Fenced) => {
            leadership.step_down("a worker knows a newer leader");
            leadership.host.leadership_ended(leadership.term);
            OrderOutcome::Refused
        }
        Ok(Reply::OtherIncarnation) => OrderOutcome::Refused,
        Ok(Reply::Refused(Refusal::Ticket)) => OrderOutcome::Ticket,
        Ok(Reply::Refused(Refusal::Unhealthy)) => OrderOutcome::Unhealthy,
        Ok(Reply::Refused(Refusal::Other)) => OrderOutcome::Refused,
        Err(ServiceError::NotDone(_)) => OrderOutcome::Unhealthy,
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Sends a stop until it is answered, or until the worker's incarnation has ended.
async fn stop_run(leadership: Arc<Leadership>, worker: WorkerId, task: Task, attempt: Attempt) {
    while !leadership.has_ended() {
        let Some(target) = target(&leadership, &worker) else { return };
        match leadership.host.services.workers.stop(&target, leadership.term, task, attempt).await {
            Ok(Reply::Done(())) => {
                emit!(leadership.host.log, events::RUN_STOPPED, "task" => task.to_string(), "attempt" => attempt,
                    "worker" => &worker, "term" => leadership.term);
                leadership.engine.lock().stop_accepted(&worker, task, attempt);
                leadership.plan.notify_one();
                return;
            }
            Ok(Reply::Fenced | Reply::OtherIncarnation) => return,
            Ok(Reply::Refused(_)) | Err(_) => tokio::time::sleep(STOP_RETRY_DELAY).await,
        }
    }
}
