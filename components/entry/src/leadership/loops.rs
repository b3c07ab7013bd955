//! Background loops of the leader: scheduling, renewing its lease, reading the list of workers and following the
//! configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use events::emit;
use sched::{Clock, EndedWorker, Engine, Pace, Pass, Stall, WorkerEndReason, WorkerInfo};
use tokio_util::task::AbortOnDropHandle;
use work::{Evidence, WorkerId};

use crate::claim::RENEWALS_PER_LEASE;
use crate::host::Host;
use crate::leadership::{Leadership, activity, advice, orders, renewal, usage};
use crate::outage::Outage;
use crate::services::ServiceError;

/// Maximum time between two scheduling passes: tickets expire and due times pass without an event.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// The same while waiting units were left for a later pass: with 64 units a pass, 1,000 are examined within 65 ms.
const BACKLOG_PLAN_INTERVAL: Duration = Duration::from_millis(4);
/// Minimum time between two passes, so that simultaneous events are handled together.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(2);
/// The pause after a pass is at least this many times as long as the pass, to leave processor time for renewals,
/// records and callers.
const PAUSE_PER_PASS: u32 = 2;
/// How often the list of workers is read: a worker that is leaving must get nothing new after two seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(450);
/// Minimum pause between two reads per listed worker, since reading a list of thousands takes much of the leader's
/// processor time.
const LIST_PAUSE_PER_WORKER: Duration = Duration::from_micros(450);
/// Upper bound for that pause, so that a leaving worker is noticed in time even with a slow store.
const MAX_LIST_INTERVAL: Duration = Duration::from_millis(1400);
/// How often ended jobs are removed from memory.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// How often to look for jobs that have nothing running and to compute what each queue uses, both of which go through
/// all live jobs.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a scheduling pass after each event.
pub(crate) async fn plan(leadership: Arc<Leadership>) {
    let mut upkeep = Upkeep { cpu_time: clock::process_cpu_time(), ..Upkeep::default() };
    let mut interval = MAX_PLAN_INTERVAL;
    let mut pace = Pace::default();
    loop {
        // Wakes up for an event or at the timeout.
        let _ = tokio::time::timeout(interval, leadership.plan.notified()).await;
        if !leadership.authorized() {
            leadership.host.metrics.queues.hide_gauges(leadership.term);
            continue;
        }
        leadership.look_for_predecessors();
        let clock = leadership.host.clock();
        let hosts = advice::hosts(&leadership);
        let (actions, made_room, ended_workers, load) = {
            let mut engine = leadership.engine.lock();
            engine.set_askers(hosts);
            engine.set_budget(pace.budget(leadership.starts_under_way()));
            let started_at = Instant::now();
            engine.plan(clock);
            let took = started_at.elapsed();
            let pass = engine.last_pass();
            record_pass(&leadership, &pass, took);
            pace.note_pass(&pass, took);
            // An answer to a start wakes the loop, and so does everything else that changes what may start.
            let is_waiting_for_turn = pass.deferred() > 0 && !pass.held_back;
            interval = if is_waiting_for_turn { BACKLOG_PLAN_INTERVAL } else { MAX_PLAN_INTERVAL };
            leadership.set_busy_renewal_interval(engine.busy_renewal_interval());
            update_metrics(&leadership, &engine);
            let load = leadership.take_load(clock, &mut engine);
            (engine.take_actions(), engine.take_preemptions(), engine.take_ended_workers(), load)
        };
        load.into_iter().for_each(|load| leadership.apply_load(load));
        for made in made_room {
            emit!(leadership.host.log, events::RUNS_PREEMPTED, "unit" => made.unit.to_string(), "worker" => made.worker,
                "stopped" => made.stopped, "term" => leadership.term);
        }
        ended_workers.iter().for_each(|ended| report_loss(&leadership, ended));
        actions.into_iter().for_each(|action| orders::carry_out(&leadership, action));
        if leadership.engine.lock().has_pending_records() {
            leadership.write.notify_one();
        }
        upkeep.run(&leadership, clock, &pace);
        let took = leadership.host.started.elapsed() - clock.now;
        let lag = pause(MIN_PLAN_INTERVAL.max(took * PAUSE_PER_PASS)).await;
        pace.note_lag(leadership.host.started.elapsed(), lag, leadership.starts_under_way());
        record_lag(&leadership, &pace, lag);
    }
}

/// Waits, and returns how late this ends: everything else that is ready to run waits as long.
async fn pause(pause: Duration) -> Duration {
    let due = Instant::now() + pause;
    tokio::time::sleep(pause).await;
    due.elapsed()
}

/// Work at long intervals. It takes the engine's lock after a pass has released it, so that accepting a job waits for
/// one of them at most.
#[derive(Default)]
struct Upkeep {
    forgotten: Duration,
    checked: Duration,
    /// Processor time of the process when the activity was last logged.
    cpu_time: Duration,
}

impl Upkeep {
    fn run(&mut self, leadership: &Leadership, clock: Clock, pace: &Pace) {
        if clock.now.saturating_sub(self.forgotten) > FORGET_INTERVAL {
            self.forgotten = clock.now;
            leadership.engine.lock().forget_ended_jobs(clock.now);
        }
        if clock.now.saturating_sub(self.checked) > STALL_CHECK_INTERVAL {
            self.checked = clock.now;
            let (stalls, stalled, pass, starting) = {
                let mut engine = leadership.engine.lock();
                usage::show(leadership, &engine);
                (engine.stalls(clock), engine.stalled_count(), engine.last_pass(), engine.unanswered_starts())
            };
            let cpu_time = clock::process_cpu_time();
            let cpu = cpu_time.saturating_sub(std::mem::replace(&mut self.cpu_time, cpu_time));
            activity::log(leadership, &pass, pace, cpu, starting);
            leadership.host.metrics.job_memory.set(leadership.memory() as i64);
            leadership.host.metrics.job_memory_limit.set(leadership.host.job_memory_limit() as i64);
            leadership.host.metrics.stalled_jobs.set(stalled as i64);
            stalls.iter().for_each(|stall| report_stall(leadership, stall));
        }
    }
}

/// Records how long a pass took and how many units it examined.
fn record_pass(leadership: &Leadership, pass: &Pass, took: Duration) {
    leadership.activity.note_pass(pass, took);
    let metrics = &leadership.host.metrics;
    metrics.pass_seconds.observe(took.as_secs_f64());
    metrics.units_examined.inc_by(pass.examined as u64);
    metrics.units_deferred.set(pass.deferred() as i64);
    metrics.units_deferred_ms.set(pass.longest_wait.as_millis() as i64);
}

/// Records how late a timer ran, and the window that follows from it.
fn record_lag(leadership: &Leadership, pace: &Pace, lag: Duration) {
    leadership.activity.note_lag(lag);
    let metrics = &leadership.host.metrics;
    metrics.scheduling_lag_seconds.observe(lag.as_secs_f64());
    metrics.starts_under_way.set(leadership.starts_under_way() as i64);
    metrics.start_window.set(pace.window() as i64);
}

/// Logs the runs lost with a worker. From a job's id, these lines lead to the workers that were lost while running
/// its tasks, and from a worker to what had just started there.
fn report_loss(leadership: &Leadership, ended: &EndedWorker) {
    let metrics = &leadership.host.metrics;
    metrics.worker_ends.get_or_create(&metrics::OutcomeLabels { outcome: ended.reason.name() }).inc();
    if ended.next.is_some() || ended.reason == WorkerEndReason::Restarted {
        emit!(leadership.host.log, events::WORKER_RESTARTED, "worker" => &ended.worker,
            "next" => ended.next.as_ref().unwrap_or(&ended.worker), "learnt" => ended.reason.name(),
            "silent_ms" => ended.silent.as_millis() as u64, "runs" => ended.runs.len(),
            "listed_ends" => ended.reported.map(|ends| ends.count), "newest_end" => ended.reported.map(|ends| ends.newest),
            "term" => leadership.term);
        metrics.worker_restarts.inc();
    }
    if ended.reason != WorkerEndReason::Restarted {
        emit!(leadership.host.log, events::WORKER_GONE, "worker" => &ended.worker, "learnt" => ended.reason.name(),
            "silent_ms" => ended.silent.as_millis() as u64, "runs" => ended.runs.len(), "term" => leadership.term);
    }
    let new = ended.runs.iter().filter(|lost| !lost.seen_running).count();
    for lost in &ended.runs {
        let outcome = if lost.seen_running { "shown" } else { "new" };
        metrics.lost_runs.get_or_create(&metrics::OutcomeLabels { outcome }).inc();
        emit!(leadership.host.log, events::RUN_LOST, "task" => lost.task.to_string(), "attempt" => lost.attempt,
            "worker" => &ended.worker, "learnt" => ended.reason.name(), "silent_ms" => ended.silent.as_millis() as u64,
            "draining" => ended.draining, "age_ms" => lost.age.as_millis() as u64, "shown" => lost.seen_running,
            "confirmed" => lost.confirmed, "runs" => ended.runs.len(), "new" => new,
            "evidence" => lost.evidence.map_or("none", Evidence::name), "ends" => lost.ends,
            "given_up" => lost.given_up, "term" => leadership.term);
        metrics.tasks_given_up.inc_by(u64::from(lost.given_up));
    }
}

/// Logs why a job is stalled.
fn report_stall(leadership: &Leadership, stall: &Stall) {
    emit!(leadership.host.log, events::JOB_STALLED, "unit" => stall.unit.to_string(),
        "lasted_ms" => stall.lasted.as_millis() as u64, "waiting" => stall.waiting,
        "unlisted" => stall.unlisted, "runs" => stall.run_names.join(", "), "why" => &stall.why,
        "term" => leadership.term);
}

/// Updates the metrics of the leadership.
fn update_metrics(leadership: &Leadership, engine: &Engine) {
    let (jobs, workers) = engine.sizes();
    let metrics = &leadership.host.metrics;
    metrics.live_jobs.set(jobs as i64);
    metrics.held_workers.set(workers as i64);
    metrics.advice_waiting.set(leadership.advice_queue.waiting() as i64);
    metrics.leader_unconfirmed_ms.set(leadership.unconfirmed_for().as_millis() as i64);
}

/// Result of reading the list of workers.
pub(crate) type WorkerList = Result<BTreeMap<WorkerId, WorkerInfo>, ServiceError>;

/// Starts reading the list of workers. The read ends with the claim if that is given up.
pub(crate) fn read_worker_list(host: &Host) -> AbortOnDropHandle<WorkerList> {
    let directory = host.services.directory.clone();
    AbortOnDropHandle::new(tokio::spawn(async move { directory.workers().await }))
}

/// Reads the list of workers repeatedly; `first` was started before the leadership began.
pub(crate) async fn list_workers(leadership: Arc<Leadership>, first: AbortOnDropHandle<WorkerList>) {
    let mut outage = Outage::new("list of workers");
    // A panic while reading the list ends this loop as well.
    let mut result = first.await.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
    loop {
        let pause = apply_worker_list(&leadership, result, &mut outage);
        tokio::time::sleep(pause).await;
        result = leadership.host.services.directory.workers().await;
    }
}

/// Applies the result of reading the list. Returns the pause until the next read.
fn apply_worker_list(leadership: &Arc<Leadership>, result: WorkerList, outage: &mut Outage) -> Duration {
    match result {
        Ok(workers) => {
            let pause = LIST_PAUSE_PER_WORKER * workers.len() as u32;
            outage.succeeded(&leadership.host.log);
            leadership.note_store_answer();
            leadership.engine.lock().update_workers(leadership.host.clock(), workers);
            renewal::start_missing(leadership);
            leadership.write.notify_one();
            leadership.plan.notify_one();
            pause.clamp(LIST_INTERVAL, MAX_LIST_INTERVAL)
        }
        Err(error) => {
            outage.failed(&leadership.host.log, &error);
            renewal::start_missing(leadership);
            LIST_INTERVAL
        }
    }
}

/// Renews the lease of the leader's record.
pub(crate) async fn renew_lease(leadership: Arc<Leadership>) {
    let every = leadership.host.settings.lease_ttl / RENEWALS_PER_LEASE;
    loop {
        tokio::time::sleep(every).await;
        let lease = leadership.claim.lock().lease;
        let sent = leadership.host.started.elapsed();
        match leadership.host.services.store.renew_lease(lease).await {
            Ok(true) => {
                leadership.confirm(sent);
                leadership.note_lease_renewal(lease, sent);
            }
            Ok(false) => {
                emit!(leadership.host.log, events::LEASE_LOST, "term" => leadership.term);
                leadership.request_record_rewrite();
            }
            Err(error) => emit!(leadership.host.log, events::PLATFORM_FAILED, "call" => "renewal of the lease",
                "fault" => error.to_string()),
        }
    }
}

/// Passes newer configurations to the engine.
pub(crate) async fn follow_config(leadership: Arc<Leadership>) {
    let mut configs = leadership.host.subscribe_config();
    loop {
        let config = configs.borrow_and_update().clone();
        leadership.engine.lock().configure(config);
        leadership.plan.notify_one();
        if configs.changed().await.is_err() {
            return;
        }
    }
}
