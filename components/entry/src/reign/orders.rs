//! Carries out what was decided: starts, stops and questions.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use sched::{Action, OrderOutcome, Start};
use work::{Attempt, Task, WorkerId};

use crate::edge::{Order, Refusal, Reply, ServiceError, Target};
use crate::reign::Leadership;
use crate::reign::agent::Agent;

/// A start without an answer is given up after the time in which answers came so far, but not before this: some tens of
/// usual answers. Its task then runs elsewhere once a stop is answered.
const LEAST_PATIENCE: Duration = Duration::from_millis(200);
/// ... and at the latest after this time.
const MOST_PATIENCE: Duration = Duration::from_millis(900);
/// Pause before a stop without an answer is sent again.
const PAUSE: Duration = Duration::from_millis(150);

/// Carries out one action in the background.
pub(crate) fn carry_out(reign: &Arc<Leadership>, action: Action) {
    match action {
        Action::Start(worker, start) => {
            tokio::spawn(start_run(reign.clone(), worker, start));
        }
        Action::Stop(worker, task, attempt) => {
            tokio::spawn(stop_run(reign.clone(), worker, task, attempt));
        }
        Action::Ask(question) => reign.desk.put(question),
        Action::Forget(worker) => {
            if let Some(agent) = reign.agents.lock().remove(&worker) {
                agent.abort();
            }
        }
    }
}

fn target(reign: &Leadership, worker: &str) -> Option<Target> {
    reign.agents.lock().get(worker).map(|agent| agent.target.clone())
}

async fn start_run(reign: Arc<Leadership>, worker: WorkerId, start: Start) {
    let outcome = send_start(&reign, &worker, start.clone()).await;
    emit!(reign.host.log, events::RUN_STARTED, "task" => start.task.to_string(), "attempt" => start.attempt,
        "worker" => &worker, "outcome" => format!("{outcome:?}"), "term" => reign.term);
    reign.host.metrics.starts.get_or_create(&metrics::Outcome { outcome: outcome.name() }).inc();
    let clock = reign.host.clock();
    reign.engine.lock().ordered(clock, &worker, start.task, start.attempt, outcome);
    if let Some(agent) = reign.agents.lock().get(&worker) {
        agent.wake.notify_one();
    }
    reign.plan.notify_one();
}

/// Sends a start, with a lease that ends like those of the next renewal.
async fn send_start(reign: &Arc<Leadership>, worker: &WorkerId, start: Start) -> OrderOutcome {
    let agent = reign.agents.lock().get(worker).cloned();
    let Some(Agent { target, lease, orders, .. }) = agent else { return OrderOutcome::Refused };
    // Nobody closes it.
    let Ok(_permit) = orders.acquire().await else { return OrderOutcome::Refused };
    // It may have waited for others.
    if !reign.engine.lock().starting(worker, start.task, start.attempt) {
        return OrderOutcome::Refused;
    }
    let now = reign.host.started.elapsed();
    let until = lease.lock().end(now, reign.host.settings.limits.lease);
    let Some(until) = until else { return OrderOutcome::Refused };
    if !reign.authorized() {
        return OrderOutcome::Refused;
    }
    let patience = reign.order_latency.lock().patience(LEAST_PATIENCE, MOST_PATIENCE);
    let order = Order { term: reign.term, until, start };
    let outcome = reign.host.services.workers.start(&target, &order, patience).await;
    match &outcome {
        Ok(_) => reign.order_latency.lock().observe(reign.host.started.elapsed() - now),
        Err(ServiceError::Unknown(_)) => reign.order_latency.lock().miss(),
        Err(ServiceError::NotDone(_) | ServiceError::Malformed(_)) => {}
    }
    if !matches!(outcome, Err(ServiceError::NotDone(_))) {
        lease.lock().gave(until);
    }
    match outcome {
        Ok(Reply::Done(())) => OrderOutcome::Started,
        Ok(Reply::Fenced) => {
            reign.depose("a worker knows a newer leader");
            reign.host.left(reign.term);
            OrderOutcome::Refused
        }
        Ok(Reply::OtherLife) => OrderOutcome::Refused,
        Ok(Reply::Refused(Refusal::Ticket)) => OrderOutcome::Ticket,
        Ok(Reply::Refused(Refusal::Unhealthy)) => OrderOutcome::Unhealthy,
        Ok(Reply::Refused(Refusal::Other)) => OrderOutcome::Refused,
        Err(ServiceError::NotDone(_)) => OrderOutcome::Unhealthy,
        Err(_) => OrderOutcome::Unknown,
    }
}

/// Sends a stop until it is answered, or the worker's life is over.
async fn stop_run(reign: Arc<Leadership>, worker: WorkerId, task: Task, attempt: Attempt) {
    while !reign.is_over() {
        let Some(target) = target(&reign, &worker) else { return };
        match reign.host.services.workers.stop(&target, reign.term, task, attempt).await {
            Ok(Reply::Done(())) => {
                emit!(reign.host.log, events::RUN_STOPPED, "task" => task.to_string(), "attempt" => attempt,
                    "worker" => &worker, "term" => reign.term);
                reign.engine.lock().stopped(&worker, task, attempt);
                reign.plan.notify_one();
                return;
            }
            Ok(Reply::Fenced | Reply::OtherLife) => return,
            Ok(Reply::Refused(_)) | Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
