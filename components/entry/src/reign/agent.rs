//! Holds one worker: renews its leases, takes its reports, and tells when its leases have surely run out.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use sched::{Lease, Report};
use tokio::task::AbortHandle;

use crate::edge::{Fault, Held, Renewal, Reply, Target};
use crate::host::Role;
use crate::reign::Reign;

/// How long an answer waits for an end. Also the time between renewals: a cut of 5.5 s must leave a lease of 6 s alive.
const WAIT: Duration = Duration::from_millis(400);
/// Pause after a renewal without an answer.
const PAUSE: Duration = Duration::from_millis(100);
/// Ends that were reported wait this long for their records, so that the next renewal acknowledges them.
const ACKNOWLEDGE: Duration = Duration::from_millis(150);

/// The hold of one worker.
pub(crate) struct Agent {
    handle: AbortHandle,
    pub target: Target,
    pub lease: Arc<Mutex<Lease>>,
}

impl Agent {
    pub(crate) fn abort(&self) {
        self.handle.abort();
    }
}

/// Holds every worker of the book, and leaves those that are gone.
pub(crate) fn follow(reign: &Arc<Reign>) {
    let addresses = reign.engine.lock().addresses();
    let mut agents = reign.agents.lock();
    for (id, address) in addresses {
        if agents.contains_key(&id) || address.is_empty() {
            continue;
        }
        let target = Target { id: id.clone(), address };
        let lease = Arc::new(Mutex::new(Lease::default()));
        let handle = tokio::spawn(run(reign.clone(), target.clone(), lease.clone())).abort_handle();
        agents.insert(id, Agent { handle, target, lease });
    }
}

async fn run(reign: Arc<Reign>, target: Target, lease: Arc<Mutex<Lease>>) {
    let mut silent = false;
    let mut lapsed = false;
    loop {
        if !reign.authorized() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let (mark, acked) = {
            let engine = reign.engine.lock();
            (engine.mark(), engine.acked(&target.id))
        };
        let until = lease.lock().end(reign.host.started.elapsed(), reign.host.settings.limits.max_lease);
        let wait = if until.is_some() && !silent { WAIT } else { Duration::ZERO };
        let renewal = Renewal { term: reign.term, until, acked, wait };
        let outcome = reign.host.edges.workers.renew(&target, &renewal).await;
        if let Some(until) = until
            && !matches!(outcome, Err(Fault::NotDone(_)))
        {
            lease.lock().gave(until);
        }
        match outcome {
            Ok(Reply::Done(held)) => {
                if std::mem::take(&mut silent) {
                    emit!(reign.host.log, events::WORKER_BACK, "worker" => &target.id, "lapsed" => lapsed);
                }
                lapsed = false;
                let max_lease = reign.host.settings.limits.max_lease;
                lease.lock().read(held.clock, reign.host.started.elapsed(), max_lease);
                report(&reign, &target, mark, held).await;
            }
            Ok(Reply::Fenced) => {
                reign.depose("a worker knows a newer leader");
                reign.host.set_role(Role::Nobody);
                return;
            }
            Ok(Reply::OtherLife) => {
                emit!(reign.host.log, events::WORKER_REPLACED, "worker" => &target.id, "address" => &target.address);
                reign.engine.lock().superseded(reign.host.clock(), &target.id);
                reign.agents.lock().remove(&target.id);
                reign.plan.notify_one();
                return;
            }
            Ok(Reply::Refused(refusal)) => {
                emit!(reign.host.log, events::WORKER_SILENT, "worker" => &target.id,
                    "fault" => format!("{refusal:?}"));
                tokio::time::sleep(PAUSE).await;
            }
            Err(fault) => {
                if !std::mem::replace(&mut silent, true) {
                    emit!(reign.host.log, events::WORKER_SILENT, "worker" => &target.id, "fault" => fault.to_string());
                }
                let over = lease.lock().lapsed(reign.host.started.elapsed());
                if over && !std::mem::replace(&mut lapsed, true) {
                    emit!(reign.host.log, events::WORKER_LAPSED, "worker" => &target.id);
                    reign.engine.lock().lapsed(reign.host.clock(), &target.id);
                    reign.plan.notify_one();
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn report(reign: &Arc<Reign>, target: &Target, mark: u64, held: Held) {
    let newest = held.ended.last().map(|end| end.number);
    let report = Report { mark, running: held.running, ended: held.ended };
    let first = {
        let mut engine = reign.engine.lock();
        let acked = engine.acked(&target.id);
        let fresh: Vec<_> = report.ended.iter().filter(|end| end.number > acked).cloned().collect();
        engine.report(reign.host.clock(), &target.id, report);
        fresh
    };
    for end in &first {
        reign.host.metrics.ends.get_or_create(&metrics::Outcome { outcome: end.how.name() }).inc();
        emit!(reign.host.log, events::RUN_ENDED, "task" => end.task.to_string(), "attempt" => end.attempt,
            "worker" => &target.id, "how" => format!("{:?}", end.how), "number" => end.number);
    }
    // Ends free room, and what was adopted may have to be stopped.
    reign.plan.notify_one();
    if let Some(newest) = newest {
        reign.write.notify_one();
        let mut durable = reign.durable.subscribe();
        let acknowledged =
            async { while reign.engine.lock().acked(&target.id) < newest && durable.changed().await.is_ok() {} };
        // While the store is away, renewals go on without acknowledging.
        let _ = tokio::time::timeout(ACKNOWLEDGE, acknowledged).await;
    }
}
