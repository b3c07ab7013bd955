//! Holds one worker: renews its leases, takes its reports, and tells when its leases have surely run out.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use rand::Rng;
use sched::{Lease, Report, USUAL_PAUSE};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::AbortHandle;
use work::WorkerIncarnation;

use crate::leadership::Leadership;
use crate::services::{Renewal, Reply, ServiceError, Target, WorkerStatus};

/// Pause after a renewal without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Ends that were reported wait this long for their records, so that the next renewal acknowledges them.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(150);

/// First calls under way at once. A new leader calls thousands of workers: all at once they would keep its own record, its log and its
/// followers waiting, and connections would be given up before it gets to them.
const MAX_FIRST_CALLS: usize = 32;
/// A first call without an answer for so long, many times the usual, lets the next one go: silent workers hold up no others.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(20);

/// Turns of workers that are called for the first time.
pub(crate) fn first_call_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_FIRST_CALLS))
}

/// The hold of one worker.
#[derive(Clone)]
pub(crate) struct WorkerHandle {
    task: AbortHandle,
    pub target: Target,
    pub lease: Arc<Mutex<Lease>>,
    /// Wakes the hold of an idle worker: something has started there.
    pub wake: Arc<Notify>,
    /// Orders that may be under way to it at once.
    pub orders: Arc<Semaphore>,
}

/// Orders under way to one worker at once. With the renewal they need as many connections as stay open without a call, so that
/// a burst of starts opens none anew.
const MAX_ORDERS_PER_WORKER: usize = 3;

impl WorkerHandle {
    pub(crate) fn abort(&self) {
        self.task.abort();
    }
}

/// Holds every worker of the book. They are called in the order in which their holds begin.
pub(crate) fn start_missing(leadership: &Arc<Leadership>) {
    let mut worker_handles = leadership.worker_handles.lock();
    let uncalled = leadership.engine.lock().uncalled(|id| worker_handles.contains_key(id));
    for (id, address) in uncalled {
        let target = Target { id: id.clone(), address };
        let lease = Arc::new(Mutex::new(Lease::default()));
        let wake = Arc::new(Notify::new());
        let renewer = LeaseRenewer::new(leadership.clone(), target.clone(), lease.clone(), wake.clone());
        let task = tokio::spawn(run(renewer)).abort_handle();
        let orders = Arc::new(Semaphore::new(MAX_ORDERS_PER_WORKER));
        worker_handles.insert(id, WorkerHandle { task, target, lease, wake, orders });
    }
}

/// What the renewals of one worker have brought so far.
struct LeaseRenewer {
    leadership: Arc<Leadership>,
    target: Target,
    lease: Arc<Mutex<Lease>>,
    /// Ends the rest while the worker is idle.
    wake: Arc<Notify>,
    /// Highest end that an answered renewal acknowledged.
    acknowledged: u64,
    /// Whether the last renewals had no answer.
    silent: bool,
    /// Whether its leases have surely run out since its last answer.
    lapsed: bool,
    /// Whether it has rested.
    has_waited_idle: bool,
}

/// Renews until the worker is replaced or the reign ends.
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
            lapsed: false,
            has_waited_idle: false,
        }
    }

    /// How long the next renewal may wait, when nothing runs there, no end is to be acknowledged, and there are too many
    /// such workers to ask all the time.
    fn idle_pause(&self) -> Option<Duration> {
        let engine = self.leadership.engine.lock();
        let pause = engine.idle_pause();
        let owed = engine.taken(&self.target.id) > self.acknowledged;
        (pause > USUAL_PAUSE && !self.silent && !owed && engine.idle(&self.target.id)).then_some(pause)
    }

    /// Rests while the worker is idle. The first rest is of any length: workers that were called one after the other would go on being
    /// called together.
    async fn wait_while_idle(&mut self) {
        if let Some(mut pause) = self.idle_pause() {
            if !std::mem::replace(&mut self.has_waited_idle, true) {
                pause = rand::rng().random_range(Duration::ZERO..pause);
            }
            // Either ends the rest.
            let _ = tokio::time::timeout(pause, self.wake.notified()).await;
        }
    }

    /// Calls for the first time, when it is this worker's turn. Whether it is to be held on.
    async fn begin(&mut self) -> bool {
        while !self.leadership.authorized() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let first_call_permits = self.leadership.first_call_permits.clone();
        // Nobody closes it.
        let Ok(permit) = first_call_permits.acquire().await else { return false };
        let (mark, acked) = self.marks();
        let outcome = self.first_call(permit).await;
        self.handle_outcome(outcome, mark, acked).await
    }

    /// Calls, and ends the turn with the answer or when that is late.
    async fn first_call(&self, permit: SemaphorePermit<'_>) -> Result<Reply<WorkerStatus>, ServiceError> {
        let call = self.send(0);
        tokio::pin!(call);
        if let Ok(outcome) = tokio::time::timeout(FIRST_CALL_TIMEOUT, &mut call).await {
            return outcome;
        }
        drop(permit);
        call.await
    }

    /// Renews once. Whether the worker is to be held on.
    async fn renew(&mut self) -> bool {
        let (mark, acked) = self.marks();
        let outcome = self.send(self.to_acknowledge(acked)).await;
        self.handle_outcome(outcome, mark, acked).await
    }

    /// What is settled, and what may be acknowledged.
    fn marks(&self) -> (u64, u64) {
        let engine = self.leadership.engine.lock();
        (engine.mark(), engine.acked(&self.target.id))
    }

    /// Takes the outcome of a renewal. Whether the worker is to be held on.
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
                if report(&self.leadership, &self.target, mark, status).await {
                    self.acknowledged = 0;
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

    /// What a renewal acknowledges: nothing that an answered one has before, nor the first one after a silence. The worker may have started
    /// again, and the numbers of its ends with it: ends that nobody has seen would be forgotten, and what is done be done again.
    fn to_acknowledge(&self, acked: u64) -> u64 {
        if self.silent || acked <= self.acknowledged { 0 } else { acked }
    }

    /// Sends a renewal, and takes note of the lease that it may have carried there.
    async fn send(&self, acked: u64) -> Result<Reply<WorkerStatus>, ServiceError> {
        let host = &self.leadership.host;
        let until = self.lease.lock().end(host.started.elapsed(), host.settings.limits.lease);
        let may_wait = until.is_some() && !self.silent && self.idle_pause().is_none();
        let wait = if may_wait { USUAL_PAUSE.max(self.leadership.busy_pause()) } else { Duration::ZERO };
        let renewal = Renewal { term: self.leadership.term, until, acked, wait };
        let outcome = host.services.workers.renew(&self.target, &renewal).await;
        if let Some(until) = until
            && !matches!(outcome, Err(ServiceError::NotDone(_)))
        {
            self.lease.lock().gave(until);
        }
        outcome
    }

    /// The worker answered: takes its clock in.
    fn note_answer(&mut self, clock: Duration) {
        let host = &self.leadership.host;
        if std::mem::take(&mut self.silent) {
            emit!(host.log, events::WORKER_BACK, "worker" => &self.target.id, "lapsed" => self.lapsed);
        }
        self.lapsed = false;
        let known = self.leadership.claim.lock().last_leader.is_some();
        let follows = self.leadership.engine.lock().follows(&self.target.id);
        self.lease.lock().read(clock, host.started.elapsed(), host.settings.limits.inherited(known && !follows));
    }

    /// Whether the life that answers is another one than this. An order names the worker only, and reaches whichever life is there.
    fn is_other_incarnation(&self, born: Option<u64>) -> bool {
        let own = WorkerIncarnation::from_id(&self.target.id).born;
        own.is_some() && born.is_some() && own != born
    }

    /// Another life is at the worker's address, born then if it goes by the same name: this one is over.
    fn handle_replacement(&self, born: Option<u64>) {
        let id = &self.target.id;
        let host = &self.leadership.host;
        emit!(host.log, events::WORKER_REPLACED, "worker" => id, "address" => &self.target.address);
        let next = born.map(|born| WorkerIncarnation { born: Some(born), ..WorkerIncarnation::from_id(id) }.id());
        self.leadership.engine.lock().superseded(host.clock(), id, next);
        self.leadership.worker_handles.lock().remove(id);
        start_missing(&self.leadership);
        self.leadership.write.notify_one();
        self.leadership.plan.notify_one();
    }

    /// The worker did not answer: its runs are given up once its leases have surely run out.
    fn note_silence(&mut self, error: &ServiceError) {
        let id = &self.target.id;
        let host = &self.leadership.host;
        if !std::mem::replace(&mut self.silent, true) {
            emit!(host.log, events::WORKER_SILENT, "worker" => id, "fault" => error.to_string());
        }
        let lapsed = self.lease.lock().lapsed(host.started.elapsed());
        if lapsed && !std::mem::replace(&mut self.lapsed, true) {
            emit!(host.log, events::WORKER_LAPSED, "worker" => id);
            self.leadership.engine.lock().lapsed(host.clock(), id);
            self.leadership.plan.notify_one();
        }
    }
}

/// Gives a worker's answer to the engine, and waits a little until its ends can be acknowledged. Whether it has started again.
async fn report(leadership: &Arc<Leadership>, target: &Target, mark: u64, status: WorkerStatus) -> bool {
    let newest = status.ended.last().map(|end| end.number);
    let report = Report { mark, running: status.running, ended: status.ended };
    let ended = report.ended.clone();
    let (restarted, taken) = {
        let mut engine = leadership.engine.lock();
        let taken = engine.taken(&target.id);
        let restarted = engine.report(leadership.host.clock(), &target.id, report);
        (restarted, if restarted { 0 } else { taken })
    };
    // Until its record is written an end comes again with every renewal.
    let fresh = ended.iter().filter(|end| end.number > taken);
    for end in fresh {
        leadership.host.metrics.ends.get_or_create(&metrics::Outcome { outcome: end.how.name() }).inc();
        emit!(leadership.host.log, events::RUN_ENDED, "task" => end.task.to_string(), "attempt" => end.attempt,
            "worker" => &target.id, "how" => format!("{:?}", end.how), "number" => end.number);
    }
    // Ends free room, and what was adopted may have to be stopped.
    leadership.plan.notify_one();
    if let Some(newest) = newest {
        acknowledge(leadership, target, newest).await;
    }
    restarted
}

/// Has the records of a worker's ends written, and waits a little until they are.
async fn acknowledge(leadership: &Leadership, target: &Target, newest: u64) {
    leadership.write.notify_one();
    let mut durable = leadership.durable.subscribe();
    let acknowledged =
        async { while leadership.engine.lock().acked(&target.id) < newest && durable.changed().await.is_ok() {} };
    // While the store is away, renewals go on without acknowledging.
    let _ = tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, acknowledged).await;
}
