//! What a leader does all the time: decides, renews its lease, reads the list of workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use events::emit;
use sched::{Ended, Engine, Info, Passing, Stall};
use tokio::task::JoinHandle;
use work::{Evidence, WorkerId};

use crate::edge::ServiceError;
use crate::election::RENEWALS;
use crate::host::Host;
use crate::outage::Outage;
use crate::reign::{Leadership, agent, ask, orders};

/// Decisions are made anew at least this often: tickets and due times come without an event.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two passes: events that come together are decided together.
const PASS: Duration = Duration::from_millis(2);
/// The pause after a pass is at least this many times as long as the pass was: renewals, records and callers need the
/// processor, too.
const PAUSE_PER_PASS: u32 = 2;
/// The list of workers is read this often: a leaving one must get nothing new after two seconds.
const LIST: Duration = Duration::from_millis(450);
/// For each worker in the list the pause between two reads is at least this long: a read of thousands takes the leader's processor.
const LIST_PAUSE_A_WORKER: Duration = Duration::from_micros(450);
/// Longest pause: with it a leaving worker is known in time, too, also from a slow store.
const LONGEST_LIST: Duration = Duration::from_millis(1400);
/// Ended jobs are looked through this often.
const FORGET: Duration = Duration::from_secs(5);
/// Jobs that have nothing running are looked for this often.
const LOOK_FOR_STALLS: Duration = Duration::from_secs(1);

/// Decides whenever something has happened.
pub(crate) async fn plan(reign: Arc<Leadership>) {
    let mut forgotten = Duration::ZERO;
    let mut looked = Duration::ZERO;
    loop {
        // Either wakes the loop.
        let _ = tokio::time::timeout(TICK, reign.plan.notified()).await;
        if !reign.authorized() {
            continue;
        }
        reign.look_for_predecessor();
        let clock = reign.host.clock();
        let askers = ask::free(&reign);
        let (actions, made_room, ended_workers, stalls) = {
            let mut engine = reign.engine.lock();
            engine.set_askers(askers);
            engine.plan(clock);
            if clock.now.saturating_sub(forgotten) > FORGET {
                forgotten = clock.now;
                engine.forget(clock.now);
            }
            let mut stalls = Vec::new();
            if clock.now.saturating_sub(looked) > LOOK_FOR_STALLS {
                looked = clock.now;
                stalls = engine.stalls(clock);
                reign.host.metrics.stalled_jobs.set(engine.stalled() as i64);
            }
            reign.set_busy_pause(engine.busy_pause());
            measure(&reign, &engine);
            (engine.take_actions(), engine.take_made_room(), engine.take_ended_workers(), stalls)
        };
        for made in made_room {
            emit!(reign.host.log, events::ROOM_MADE, "unit" => made.unit.to_string(), "worker" => made.worker,
                "stopped" => made.stopped, "term" => reign.term);
        }
        ended_workers.iter().for_each(|ended| report_loss(&reign, ended));
        stalls.iter().for_each(|stall| report_stall(&reign, stall));
        actions.into_iter().for_each(|action| orders::carry_out(&reign, action));
        if reign.engine.lock().owes() {
            reign.write.notify_one();
        }
        let took = reign.host.started.elapsed() - clock.now;
        tokio::time::sleep(PASS.max(took * PAUSE_PER_PASS)).await;
    }
}

/// Says what a worker's end took with it: from a job's id these lines lead to the workers that went under its tasks, and from a
/// worker to what had just begun there.
fn report_loss(reign: &Leadership, ended: &Ended) {
    let metrics = &reign.host.metrics;
    metrics.worker_ends.get_or_create(&metrics::Outcome { outcome: ended.passing.name() }).inc();
    if ended.next.is_some() || ended.passing == Passing::Restarted {
        emit!(reign.host.log, events::WORKER_RESTARTED, "worker" => &ended.worker,
            "next" => ended.next.as_ref().unwrap_or(&ended.worker), "learnt" => ended.passing.name(),
            "silent_ms" => ended.silent.as_millis() as u64, "runs" => ended.runs.len(), "term" => reign.term);
        metrics.worker_restarts.inc();
    }
    if ended.passing != Passing::Restarted {
        emit!(reign.host.log, events::WORKER_GONE, "worker" => &ended.worker, "learnt" => ended.passing.name(),
            "silent_ms" => ended.silent.as_millis() as u64, "runs" => ended.runs.len(), "term" => reign.term);
    }
    let new = ended.runs.iter().filter(|lost| !lost.shown).count();
    for lost in &ended.runs {
        let outcome = if lost.shown { "shown" } else { "new" };
        metrics.lost_runs.get_or_create(&metrics::Outcome { outcome }).inc();
        emit!(reign.host.log, events::RUN_LOST, "task" => lost.task.to_string(), "attempt" => lost.attempt,
            "worker" => &ended.worker, "learnt" => ended.passing.name(), "silent_ms" => ended.silent.as_millis() as u64,
            "draining" => ended.draining, "age_ms" => lost.age.as_millis() as u64, "shown" => lost.shown,
            "confirmed" => lost.confirmed, "runs" => ended.runs.len(), "new" => new,
            "evidence" => lost.evidence.map_or("none", Evidence::name), "ends" => lost.ends, "given_up" => lost.given_up,
            "term" => reign.term);
        metrics.tasks_given_up.inc_by(u64::from(lost.given_up));
    }
}

/// Says what keeps a job from going on.
fn report_stall(reign: &Leadership, stall: &Stall) {
    emit!(reign.host.log, events::JOB_STALLED, "unit" => stall.unit.to_string(),
        "lasted_ms" => stall.lasted.as_millis() as u64, "waiting" => stall.waiting,
        "unlisted" => stall.unlisted, "runs" => stall.named.join(", "), "why" => &stall.why, "term" => reign.term);
}

/// Brings the metrics of the reign up to date.
fn measure(reign: &Leadership, engine: &Engine) {
    let (jobs, workers) = engine.sizes();
    let metrics = &reign.host.metrics;
    metrics.live_jobs.set(jobs as i64);
    metrics.workers.set(workers as i64);
    metrics.questions.set(reign.desk.waiting() as i64);
    metrics.unconfirmed_ms.set(reign.unconfirmed_for().as_millis() as i64);
}

/// What a read of the list of workers has brought.
pub(crate) type Listing = Result<BTreeMap<WorkerId, Info>, ServiceError>;

/// Begins to read the list of workers.
pub(crate) fn read_list(host: &Host) -> JoinHandle<Listing> {
    let directory = host.services.directory.clone();
    tokio::spawn(async move { directory.workers().await })
}

/// Reads the list of workers; `first` has begun before the reign.
pub(crate) async fn list(reign: Arc<Leadership>, first: JoinHandle<Listing>) {
    let mut outage = Outage::new("list of workers");
    // One that fails ends this loop, too.
    let mut listing = first.await.unwrap_or_else(|fault| std::panic::resume_unwind(fault.into_panic()));
    loop {
        let pause = take_list(&reign, listing, &mut outage);
        tokio::time::sleep(pause).await;
        listing = reign.host.services.directory.workers().await;
    }
}

/// Takes in what a read of the list has brought. The pause until the next one.
fn take_list(reign: &Arc<Leadership>, listing: Listing, outage: &mut Outage) -> Duration {
    match listing {
        Ok(workers) => {
            let pause = LIST_PAUSE_A_WORKER * workers.len() as u32;
            outage.succeeded(&reign.host.log);
            reign.hear();
            reign.engine.lock().list(reign.host.clock(), workers);
            agent::follow(reign);
            reign.write.notify_one();
            reign.plan.notify_one();
            pause.clamp(LIST, LONGEST_LIST)
        }
        Err(fault) => {
            outage.failed(&reign.host.log, &fault);
            agent::follow(reign);
            LIST
        }
    }
}

/// Renews the lease of the leader's record.
pub(crate) async fn lease(reign: Arc<Leadership>) {
    let every = reign.host.settings.lease_ttl / RENEWALS;
    loop {
        tokio::time::sleep(every).await;
        let lease = reign.seat.lock().lease;
        let sent = reign.host.started.elapsed();
        match reign.host.services.store.renew_lease(lease).await {
            Ok(true) => reign.confirm(sent),
            Ok(false) => {
                emit!(reign.host.log, events::LEASE_LOST, "term" => reign.term);
                reign.restore_record();
            }
            Err(fault) => emit!(reign.host.log, events::PLATFORM_FAILED, "call" => "renewal of the lease",
                "fault" => fault.to_string()),
        }
    }
}

/// Takes newer configurations into the book.
pub(crate) async fn config(reign: Arc<Leadership>) {
    let mut configs = reign.host.configs();
    loop {
        let config = configs.borrow_and_update().clone();
        reign.engine.lock().configure(config);
        reign.plan.notify_one();
        if configs.changed().await.is_err() {
            return;
        }
    }
}
