//! Renews the leases of one worker, processes its reports, and determines when its leases have certainly expired.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use rand::Rng;
use sched::{Lease, RENEWAL_INTERVAL, Report};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::AbortHandle;
use work::WorkerIncarnation;

use crate::leadership::Leadership;
use crate::services::{Renewal, Reply, ServiceError, Target, WorkerStatus};

/// Delay after an unanswered renewal.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long reported run ends wait for their records to be written, so that the next renewal acknowledges them.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of concurrent first calls. Calling thousands of workers at once would delay a new leader's own
/// record, its log and its followers, and connections would time out before it handles them.
const MAX_FIRST_CALLS: usize = 32;
/// A first call that isn't answered within this time, many times the usual latency, releases its permit, so that
/// silent workers don't delay others.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(20);

/// Permits for the first calls to workers.
pub(crate) fn first_call_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_FIRST_CALLS))
}

/// Handle to the renewal task of one worker.
#[derive(Clone)]
pub(crate) struct WorkerHandle {
    task: AbortHandle,
    pub target: Target,
    pub lease: Arc<Mutex<Lease>>,
    /// Wakes the renewal task of an idle worker after a run has started there.
    pub wake: Arc<Notify>,
    /// Limits concurrent orders to the worker.
    pub orders: Arc<Semaphore>,
}

/// Maximum number of concurrent orders to one worker. Together with the renewal they use as many connections as are
/// kept open when idle, so that a burst of starts opens no new ones.
const MAX_ORDERS_PER_WORKER: usize = 3;

impl WorkerHandle {
    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

/// Starts a renewal task for each known worker that has none. Workers are called in the order in which their tasks
/// start.
pub(crate) fn start_missing(leadership: &Arc<Leadership>) {
    let mut worker_handles = leadership.worker_handles.lock();
    let to_contact = leadership.engine.lock().workers_to_contact(|id| worker_handles.contains_key(id));
    for (id, address) in to_contact {
        let target = Target { id: id.clone(), address };
        let lease = Arc::new(Mutex::new(Lease::default()));
        let wake = Arc::new(Notify::new());
        let renewer = LeaseRenewer::new(leadership.clone(), target.clone(), lease.clone(), wake.clone());
        let task = tokio::spawn(run(renewer)).abort_handle();
        let orders = Arc::new(Semaphore::new(MAX_ORDERS_PER_WORKER));
        worker_handles.insert(id, WorkerHandle { task, target, lease, wake, orders });
    }
}

/// State of the renewals of one worker.
struct LeaseRenewer {
    leadership: Arc<Leadership>,
    target: Target,
    lease: Arc<Mutex<Lease>>,
    /// Ends the pause of an idle worker.
    wake: Arc<Notify>,
    /// Highest run end that an answered renewal acknowledged.
    acknowledged: u64,
    /// Whether the last renewals were unanswered.
    silent: bool,
    /// Whether its leases have certainly expired since its last answer.
    expired: bool,
    has_waited_idle: bool,
    /// Whether its last report listed only a part of its ended runs.
    truncated: bool,
}

/// Renews until the worker is replaced or the leadership ends.
async fn run(mut renewer: LeaseRenewer) {
    if !renewer.begin().await {
        return;
    }
    loop {
        renewer.wait_while_idle().await;
        if !renewer.leadership.authorized() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if !renewer.renew().await {
            return;
        }
    }
}

impl LeaseRenewer {
    fn new(leadership: Arc<Leadership>, target: Target, lease: Arc<Mutex<Lease>>, wake: Arc<Notify>) -> LeaseRenewer {
        LeaseRenewer {
            leadership,
            target,
            lease,
            wake,
            acknowledged: 0,
            silent: false,
            expired: false,
            has_waited_idle: false,
            truncated: false,
        }
    }

    /// Pause before the next renewal if nothing runs there, no run end is to be acknowledged, and there are too many
    /// such workers to call them all the time.
    fn idle_renewal_interval(&self) -> Option<Duration> {
        let engine = self.leadership.engine.lock();
        let pause = engine.idle_renewal_interval();
        let unacknowledged = engine.last_processed_end(&self.target.id) > self.acknowledged;
        (pause > RENEWAL_INTERVAL && !self.silent && !unacknowledged && engine.is_worker_idle(&self.target.id))
            .then_some(pause)
    }

    /// Pauses while the worker is idle. The first pause has a random length; otherwise workers that were first called
    /// together would always be called together.
    async fn wait_while_idle(&mut self) {
        if let Some(mut pause) = self.idle_renewal_interval() {
            if !std::mem::replace(&mut self.has_waited_idle, true) {
                pause = rand::rng().random_range(Duration::ZERO..pause);
            }
            // Wakes up after the pause or when a run has started.
            let _ = tokio::time::timeout(pause, self.wake.notified()).await;
        }
    }

    /// Makes the first call once a permit is available. Returns whether to continue with this worker.
    async fn begin(&mut self) -> bool {
        while !self.leadership.authorized() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let first_call_permits = self.leadership.first_call_permits.clone();
        // The semaphore is never closed.
        let Ok(permit) = first_call_permits.acquire().await else { return false };
        let (mark, acked) = self.marks();
        let outcome = self.first_call(permit).await;
        self.handle_outcome(outcome, mark, acked).await
    }

    /// Makes the call, and releases the permit with the answer or when the answer is late.
    async fn first_call(&self, permit: SemaphorePermit<'_>) -> Result<Reply<WorkerStatus>, ServiceError> {
        let call = self.send(0);
        tokio::pin!(call);
        if let Ok(outcome) = tokio::time::timeout(FIRST_CALL_TIMEOUT, &mut call).await {
            return outcome;
        }
        drop(permit);
        call.await
    }

    /// Renews once. Returns whether to continue with this worker.
    async fn renew(&mut self) -> bool {
        let (mark, acked) = self.marks();
        let outcome = self.send(self.to_acknowledge(acked)).await;
        self.handle_outcome(outcome, mark, acked).await
    }

    /// The engine's mark for the report, and the run ends that may be acknowledged.
    fn marks(&self) -> (u64, u64) {
        let engine = self.leadership.engine.lock();
        (engine.mark(), engine.acked(&self.target.id))
    }

    /// Processes the outcome of a renewal. Returns whether to continue with this worker.
    async fn handle_outcome(
        &mut self,
        outcome: Result<Reply<WorkerStatus>, ServiceError>,
        mark: u64,
        acked: u64,
    ) -> bool {
        match outcome {
            Ok(Reply::Done(status)) if self.is_other_incarnation(status.born) => {
                self.handle_replacement(status.born);
                return false;
            }
            Ok(Reply::Done(status)) => {
                self.acknowledged = if self.silent { self.acknowledged } else { acked };
                self.note_answer(status.clock);
                let WorkerStatus { running, ended, truncated, .. } = status;
                let received = Report { mark, running, ended, truncated };
                self.note_truncation(&received);
                if report(&self.leadership, &self.target, received).await {
                    self.acknowledged = 0;
                    let limits = self.leadership.host.settings.limits;
                    self.lease.lock().note_restart(limits.max_lease.saturating_sub(limits.lease));
                }
            }
            Ok(Reply::Fenced) => {
                self.leadership.step_down("a worker knows a newer leader");
                self.leadership.host.leadership_ended(self.leadership.term);
                return false;
            }
            Ok(Reply::OtherIncarnation) => {
                self.handle_replacement(None);
                return false;
            }
            Ok(Reply::Refused(refusal)) => {
                if !std::mem::replace(&mut self.silent, true) {
                    emit!(self.leadership.host.log, events::WORKER_SILENT, "worker" => &self.target.id,
                        "fault" => format!("{refusal:?}"));
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                self.note_silence(&error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        true
    }

    /// What a renewal acknowledges: nothing that an answered renewal has already acknowledged, and nothing in the
    /// first renewal after a silence. The worker may have restarted and numbered its run ends anew: ends that nobody
    /// has seen would be dropped, and finished work would be done again.
    fn to_acknowledge(&self, acked: u64) -> u64 {
        if self.silent || acked <= self.acknowledged { 0 } else { acked }
    }

    /// Sends a renewal and records the lease that it may have granted.
    async fn send(&self, acked: u64) -> Result<Reply<WorkerStatus>, ServiceError> {
        let host = &self.leadership.host;
        let now = host.started.elapsed();
        let until = self.lease.lock().expiry(now, self.leadership.grantable_lease(now));
        let may_wait = until.is_some() && !self.silent && self.idle_renewal_interval().is_none();
        let wait =
            if may_wait { RENEWAL_INTERVAL.max(self.leadership.busy_renewal_interval()) } else { Duration::ZERO };
        let renewal = Renewal { term: self.leadership.term, until, acked, wait };
        let outcome = host.services.workers.renew(&self.target, &renewal).await;
        if let Some(until) = until
            && !matches!(outcome, Err(ServiceError::NotDone(_)))
        {
            self.lease.lock().grant(until);
        }
        outcome
    }

    /// Records that the worker answered, with the time on its clock.
    fn note_answer(&mut self, clock: Duration) {
        let host = &self.leadership.host;
        if std::mem::take(&mut self.silent) {
            emit!(host.log, events::WORKER_RESPONDING, "worker" => &self.target.id, "lapsed" => self.expired);
        }
        self.expired = false;
        let known = self.leadership.claim.lock().predecessors.are_known();
        let follows = self.leadership.engine.lock().follows_earlier_incarnation(&self.target.id);
        self.lease.lock().observe_clock(
            clock,
            host.started.elapsed(),
            host.settings.limits.predecessor_lease(known && !follows),
        );
    }

    /// Records whether the worker lists all its ended runs. If it doesn't, the runs that it lacks wait for further
    /// reports, which come once the listed ends are acknowledged.
    fn note_truncation(&mut self, report: &Report) {
        let host = &self.leadership.host;
        host.metrics.truncated_reports.inc_by(u64::from(report.truncated));
        if report.truncated == std::mem::replace(&mut self.truncated, report.truncated) {
            return;
        }
        let event = if report.truncated { events::WORKER_ENDS_TRUNCATED } else { events::WORKER_ENDS_COMPLETE };
        let unreported = self.leadership.engine.lock().unreported_runs(&self.target.id, report);
        emit!(host.log, event, "worker" => &self.target.id, "listed_ends" => report.ended.len(),
            "newest_end" => report.ended.last().map(|end| end.number), "acked" => self.acknowledged,
            "unreported_runs" => unreported, "term" => self.leadership.term);
    }

    /// Whether another incarnation of the worker answers. An order names only the worker and reaches whichever
    /// incarnation is there.
    fn is_other_incarnation(&self, born: Option<u64>) -> bool {
        let own = WorkerIncarnation::from_id(&self.target.id).born;
        own.is_some() && born.is_some() && own != born
    }

    /// Another incarnation runs at the worker's address, started at `born` if it has the same name: this one has
    /// ended.
    fn handle_replacement(&self, born: Option<u64>) {
        let id = &self.target.id;
        let host = &self.leadership.host;
        emit!(host.log, events::WORKER_REPLACED, "worker" => id, "address" => &self.target.address);
        let next = born.map(|born| WorkerIncarnation { born: Some(born), ..WorkerIncarnation::from_id(id) }.id());
        self.leadership.engine.lock().worker_replaced(host.clock(), id, next);
        self.leadership.worker_handles.lock().remove(id);
        start_missing(&self.leadership);
        self.leadership.write.notify_one();
        self.leadership.plan.notify_one();
    }

    /// The worker didn't answer: its runs are given up once its leases have certainly expired.
    fn note_silence(&mut self, error: &ServiceError) {
        let id = &self.target.id;
        let host = &self.leadership.host;
        if !std::mem::replace(&mut self.silent, true) {
            emit!(host.log, events::WORKER_SILENT, "worker" => id, "fault" => error.to_string());
        }
        let expired = self.lease.lock().is_expired(host.started.elapsed());
        if expired && !std::mem::replace(&mut self.expired, true) {
            emit!(host.log, events::WORKER_LEASES_EXPIRED, "worker" => id);
            self.leadership.engine.lock().leases_expired(host.clock(), id);
            self.leadership.plan.notify_one();
        }
    }
}

/// Passes a worker's report to the engine and waits briefly until its run ends can be acknowledged. Returns whether
/// the worker has restarted.
async fn report(leadership: &Arc<Leadership>, target: &Target, report: Report) -> bool {
    let newest = report.ended.last().map(|end| end.number);
    let ended = report.ended.clone();
    let (restarted, taken) = {
        let mut engine = leadership.engine.lock();
        let taken = engine.last_processed_end(&target.id);
        let restarted = engine.report(leadership.host.clock(), &target.id, report);
        (restarted, if restarted { 0 } else { taken })
    };
    // A run end is reported with every renewal until its record is written.
    let fresh = ended.iter().filter(|end| end.number > taken);
    for end in fresh {
        leadership.host.metrics.ends.get_or_create(&metrics::OutcomeLabels { outcome: end.outcome.name() }).inc();
        emit!(leadership.host.log, events::RUN_ENDED, "task" => end.task.to_string(), "attempt" => end.attempt,
            "worker" => &target.id, "how" => format!("{:?}", end.outcome), "number" => end.number);
    }
    // Run ends free up room, and runs taken over from an earlier leader may have to be stopped.
    leadership.plan.notify_one();
    if let Some(newest) = newest {
        acknowledge(leadership, target, newest).await;
    }
    restarted
}

/// Has the records of a worker's run ends written, and waits briefly until they are.
async fn acknowledge(leadership: &Leadership, target: &Target, newest: u64) {
    leadership.write.notify_one();
    let mut durable = leadership.durable.subscribe();
    let acknowledged =
        async { while leadership.engine.lock().acked(&target.id) < newest && durable.changed().await.is_ok() {} };
    // While the store is unavailable, renewals continue without acknowledgements.
    let _ = tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, acknowledged).await;
}
