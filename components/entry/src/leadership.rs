//! One term of leadership of this host, from its claim until it is replaced.

mod accept;
mod activity;
mod admission;
mod advice;
mod commit;
mod loops;
mod orders;
mod parts;
mod pending;
mod renewal;
mod usage;
pub(crate) mod yielding;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use sched::{Engine, Latency};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::task::AbortOnDropHandle;
use work::log::PartId;
use work::{JobId, State, Term, WorkerId};

use crate::access::{self, Caller, Refusal, Scope};
use crate::config;
use crate::host::{Follower, Host};
use crate::latest::LatestTime;
use crate::message::{Answer, Call, Leader};
use crate::predecessors::Predecessors;
use crate::services::LeaseId;
use advice::AdviceQueue;
use loops::WorkerList;
use parts::StoredPart;
use pending::PendingParts;

/// How long after its last confirmation a leader still answers reads of states and counts.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(2200);
/// How often to check whether the store answers again.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a planned stop waits for pending records.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of a successful claim.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub term: Term,
    /// Revision of the term counter.
    pub revision: u64,
    pub lease: LeaseId,
    pub leader: Leader,
    /// Earlier leaders that may still grant leases.
    pub predecessors: Predecessors,
    pub record_revision: u64,
    /// When the claim was sent, on the monotonic clock.
    pub confirmed_at: Duration,
    /// When the store's answer to it arrived.
    pub answered_at: Duration,
    /// When `lease` was requested.
    pub lease_requested_at: Duration,
    /// The lease of the record that is known to be in the store. It differs from `lease` while the record is being
    /// written again.
    pub record_lease: LeaseId,
}

/// One term of leadership.
pub struct Leadership {
    pub term: Term,
    pub(crate) host: Arc<Host>,
    pub(crate) engine: Mutex<Engine>,
    pub(crate) claim: Mutex<Claim>,
    /// The parts of the log in the store, in order.
    pub(crate) parts: Mutex<Vec<StoredPart>>,
    /// Parts of earlier leaders that the first transaction deletes; see [`work::log::ClassifiedParts`].
    pub(crate) stale: Mutex<Vec<PartId>>,
    /// When it was last certain that no other host led.
    confirmed_at: LatestTime,
    /// When a renewal of the lease of the leader's record was last sent that succeeded, or the lease was requested.
    lease_renewed_at: LatestTime,
    /// When the store last answered, with whatever response.
    store_answered_at: LatestTime,
    /// Latency of transactions.
    pub(crate) write_latency: Mutex<Latency>,
    /// Latency of the workers' responses to orders.
    pub(crate) order_latency: Mutex<Latency>,
    /// Parts of the log that aren't known to be written yet.
    pub(crate) pending_parts: PendingParts,
    /// Whether the leader's record must be written again.
    pub(crate) write_leader_record: AtomicBool,
    /// Since when a transaction has had no known outcome.
    pub(crate) unanswered_since: Mutex<Option<Duration>>,
    /// Minimum number of milliseconds between the renewals of busy workers; see [`Engine::busy_renewal_interval`].
    busy_renewal_interval: AtomicU64,
    /// Whether the record of this leader must be written again because its predecessors have ended.
    pub(crate) write_last_leader: AtomicBool,
    pub(crate) plan: Notify,
    pub(crate) write: Notify,
    pub(crate) durable: watch::Sender<u64>,
    pub(crate) ended: watch::Sender<bool>,
    pub(crate) worker_handles: Mutex<HashMap<WorkerId, renewal::WorkerHandle>>,
    /// Permits for the first calls to workers.
    first_call_permits: Arc<Semaphore>,
    pub(crate) advice_queue: AdviceQueue,
    admission: admission::State,
    activity: activity::Activity,
    /// Starts that are to be sent or whose answers are outstanding.
    starts_under_way: AtomicUsize,
    loops: Mutex<Vec<AbortHandle>>,
}

impl Leadership {
    /// Starts to lead: rebuilds the scheduler's state from the log.
    pub(crate) async fn begin(host: Arc<Host>, claim: Claim) -> anyhow::Result<Arc<Leadership>> {
        // Read concurrently: a list of thousands of workers takes as long to read as the log, and nothing can start
        // without it.
        let worker_list = loops::read_worker_list(&host);
        let (found, ()) = tokio::join!(parts::load(&host, &claim), config::read_for_leader(&host));
        let found = found?;
        let clock = host.clock();
        let mut engine = Engine::new(host.settings.limits, claim.term, host.config(), clock.now)
            .with_shares(host.settings.overload_protection);
        let mut parts = Vec::new();
        for (id, part) in found.log {
            parts.push(StoredPart::new(id, clock.now, &part.records));
            part.records.into_iter().for_each(|record| engine.replay(clock, record));
        }
        engine.finish_replay(clock);
        engine.set_predecessor_activity(claim.predecessors.active_for());
        let since_claim = host.started.elapsed() - claim.answered_at;
        if let Some(leases_for) = claim.predecessors.leases_for() {
            engine.set_predecessor_leases(leases_for.saturating_sub(since_claim));
        }
        emit!(host.log, events::RECOVERED, "term" => claim.term, "parts" => parts.len(),
            "took_ms" => (host.started.elapsed() - claim.confirmed_at).as_millis() as u64);
        let leadership = Arc::new(Leadership {
            term: claim.term,
            engine: Mutex::new(engine),
            confirmed_at: LatestTime::new(claim.confirmed_at),
            lease_renewed_at: LatestTime::new(claim.lease_requested_at),
            store_answered_at: LatestTime::new(clock.now),
            claim: Mutex::new(claim),
            parts: Mutex::new(parts),
            stale: Mutex::new(found.stale),
            write_latency: Mutex::new(Latency::default()),
            order_latency: Mutex::new(Latency::default()),
            pending_parts: PendingParts::default(),
            write_leader_record: AtomicBool::new(false),
            unanswered_since: Mutex::new(None),
            busy_renewal_interval: AtomicU64::new(0),
            write_last_leader: AtomicBool::new(false),
            plan: Notify::new(),
            write: Notify::new(),
            durable: watch::Sender::new(0),
            ended: watch::Sender::new(false),
            worker_handles: Mutex::new(HashMap::new()),
            first_call_permits: renewal::first_call_permits(),
            advice_queue: AdviceQueue::default(),
            admission: admission::State::default(),
            activity: activity::Activity::default(),
            starts_under_way: AtomicUsize::new(0),
            loops: Mutex::new(Vec::new()),
            host,
        });
        leadership.clone().start(worker_list);
        Ok(leadership)
    }

    fn start(self: Arc<Leadership>, worker_list: AbortOnDropHandle<WorkerList>) {
        let mut loops = JoinSet::new();
        let handles = vec![
            loops.spawn(commit::run(self.clone())),
            loops.spawn(loops::plan(self.clone())),
            loops.spawn(loops::list_workers(self.clone(), worker_list)),
            loops.spawn(loops::renew_lease(self.clone())),
            loops.spawn(loops::follow_config(self.clone())),
            loops.spawn(yielding::run(self.clone())),
            loops.spawn(advice::run(self.clone())),
        ];
        *self.loops.lock() = handles;
        // Workers that are named in the log needn't wait for the list.
        renewal::start_missing(&self);
        tokio::spawn(self.watch_loops(loops));
    }

    /// Ends the leadership if one of its loops panics. Otherwise it would keep its lease without scheduling or
    /// reading the list of workers, and no host would see a reason to replace it.
    async fn watch_loops(self: Arc<Leadership>, mut loops: JoinSet<()>) {
        while let Some(ended) = loops.join_next().await {
            if ended.is_err_and(|error| error.is_panic()) {
                emit!(self.host.log, events::LOOP_FAILED, "term" => self.term);
                self.step_down("a background loop of the leader panicked");
                self.host.leadership_ended(self.term);
            }
        }
    }

    /// Whether all earlier leaders are known to grant no more leases.
    pub fn predecessor_ended(&self) -> bool {
        self.claim.lock().predecessors.have_ended()
    }

    /// After which time from now on all leases that earlier leaders granted have certainly ended, if that is known.
    pub fn predecessor_leases_for(&self) -> Option<Duration> {
        self.engine.lock().predecessor_leases_for(self.host.started.elapsed())
    }

    /// Earlier leaders, and for how long from now on they may still grant leases.
    pub(crate) fn predecessors(&self) -> Predecessors {
        let now = self.host.started.elapsed();
        let (active_for, leases_for) = {
            let engine = self.engine.lock();
            (engine.predecessor_active_for(now), engine.predecessor_leases_for(now))
        };
        self.claim.lock().predecessors.with_remaining(active_for, leases_for)
    }

    /// Looks for earlier leaders among the followers. A process at the address of one that follows this leader is either
    /// that leader itself, which no longer leads, or a later process. Runs on lost workers are then restarted sooner,
    /// since the time for which it could have continued needn't be waited for.
    pub(crate) fn look_for_predecessors(&self) {
        if self.predecessor_ended() {
            return;
        }
        let now = self.host.started.elapsed();
        let is_later_process = |follower: &Follower, leader: &Leader| {
            follower.idle && follower.term == self.term && follower.address == leader.address
        };
        let (ended, all_ended) = {
            let remaining = self.predecessors();
            let followers = self.host.followers.lock();
            let mut claim = self.claim.lock();
            claim.predecessors = remaining;
            let ended = claim
                .predecessors
                .remove(|leader| followers.values().any(|follower| is_later_process(follower, leader)));
            (ended, claim.predecessors.have_ended())
        };
        for leader in ended {
            emit!(self.host.log, events::PREDECESSOR_ENDED, "leader" => &leader.host, "before" => leader.term,
                "term" => self.term, "all" => all_ended,
                "after_ms" => (now - self.claim.lock().confirmed_at).as_millis() as u64);
        }
        if all_ended {
            self.engine.lock().predecessor_ended(now);
            self.write_last_leader.store(true, Ordering::Release);
        }
    }

    /// Records that no other host led at this time.
    pub(crate) fn confirm(&self, at: Duration) {
        self.confirmed_at.advance(at);
        self.note_store_answer();
    }

    /// Records that a lease was renewed by a call that was sent at this time. Only that of the record in the store keeps
    /// other hosts from claiming.
    pub(crate) fn note_lease_renewal(&self, lease: LeaseId, sent: Duration) {
        if self.claim.lock().record_lease == lease {
            self.lease_renewed_at.advance(sent);
        }
    }

    /// The lease that is attached to the leader's record when it is written, and when it was requested.
    pub(crate) fn record_lease_request(&self) -> (LeaseId, Duration) {
        let claim = self.claim.lock();
        (claim.lease, claim.lease_requested_at)
    }

    /// Records that the leader's record was written with this lease, which was requested at that time.
    pub(crate) fn note_record(&self, revision: u64, lease: LeaseId, requested_at: Duration) {
        let mut claim = self.claim.lock();
        claim.record_revision = revision;
        claim.record_lease = lease;
        self.lease_renewed_at.advance(requested_at);
    }

    /// The longest lease that may be granted to a worker at this time.
    pub(crate) fn grantable_lease(&self, now: Duration) -> Duration {
        self.host.settings.limits.grantable_lease(self.lease_renewed_at.age(now))
    }

    /// Records that the store answered this host.
    pub(crate) fn note_store_answer(&self) {
        self.store_answered_at.advance(self.host.started.elapsed());
    }

    /// Waits until the store has answered a call since `sent`.
    pub(crate) async fn wait_for_store_answer(&self, sent: Duration) {
        while self.host.started.elapsed().saturating_sub(self.store_silence()) <= sent {
            tokio::time::sleep(STORE_POLL_INTERVAL).await;
        }
    }

    /// Sets the minimum time between the renewals of busy workers.
    pub(crate) fn set_busy_renewal_interval(&self, pause: Duration) {
        self.busy_renewal_interval.store(pause.as_millis() as u64, Ordering::Relaxed);
    }

    /// The minimum time between the renewals of busy workers, as last computed.
    pub(crate) fn busy_renewal_interval(&self) -> Duration {
        Duration::from_millis(self.busy_renewal_interval.load(Ordering::Relaxed))
    }

    /// Number of starts that are to be sent or whose answers are outstanding.
    pub(crate) fn starts_under_way(&self) -> usize {
        self.starts_under_way.load(Ordering::Relaxed)
    }

    /// For how long the store hasn't answered this host.
    pub(crate) fn store_silence(&self) -> Duration {
        self.store_answered_at.age(self.host.started.elapsed())
    }

    /// Time since it was last certain that no other host led.
    pub(crate) fn unconfirmed_for(&self) -> Duration {
        self.confirmed_at.age(self.host.started.elapsed())
    }

    /// Whether this host is certain enough to lead to answer callers' reads.
    pub(crate) fn is_confirmed(&self) -> bool {
        !self.has_ended() && self.unconfirmed_for() < MAX_UNCONFIRMED
    }

    /// Whether the lease of the leader's record can't have expired yet.
    pub(crate) fn holds_lease(&self) -> bool {
        !self.has_ended() && self.unconfirmed_for() < self.host.settings.lease_ttl
    }

    /// Whether orders may be sent to workers.
    pub(crate) fn authorized(&self) -> bool {
        !self.has_ended() && self.unconfirmed_for() < sched::AUTHORITY_TIMEOUT
    }

    pub(crate) fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Ends the leadership; `why` is the reason in the log.
    pub(crate) fn step_down(&self, why: &'static str) {
        if self.ended.send_replace(true) {
            return;
        }
        self.host.claimed_term.store(0, Ordering::Release);
        emit!(self.host.log, events::LEADERSHIP_ENDED, "term" => self.term, "why" => why);
        self.loops.lock().drain(..).for_each(|handle| handle.abort());
        self.worker_handles.lock().drain().for_each(|(_, handle)| handle.abort());
        self.host.metrics.queues.end(self.term);
    }

    /// Writes all pending records, so that the next leader finds them.
    pub(crate) async fn flush(&self) {
        let flushed = async {
            while self.engine.lock().has_pending_records() {
                self.write.notify_one();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        if tokio::time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
            emit!(self.host.log, events::FLUSH_FAILED, "term" => self.term);
        }
    }

    /// Ends the leadership for a planned stop: writes all pending records, then deletes the leader's record.
    pub(crate) async fn hand_over(&self) {
        self.flush().await;
        self.step_down("planned stop");
        let lease = self.claim.lock().lease;
        if let Err(error) = self.host.services.store.revoke_lease(lease).await {
            emit!(self.host.log, events::PLATFORM_FAILED, "call" => "revocation of the lease",
                "fault" => error.to_string());
        }
        self.host.disconnect_followers();
    }

    /// Requests that the leader's record is written again, after it has disappeared while this host leads.
    pub(crate) fn request_record_rewrite(&self) {
        self.write_leader_record.store(true, Ordering::Release);
        self.write.notify_one();
    }

    /// Handles a call from a caller, either direct or forwarded by a follower.
    pub(crate) async fn answer(&self, call: Call) -> Answer {
        if self.has_ended() {
            return Answer::NotLeader;
        }
        match call {
            Call::Submit { caller, queue, id, job, wait } => match self.authorize(caller) {
                Ok(scope) => self.submit(scope, queue, id, *job, wait).await,
                Err(refusal) => Answer::NotAdmitted(refusal),
            },
            Call::Cancel { caller, id, wait } => match self.authorize(caller) {
                Ok(scope) => self.cancel(&scope, id, wait).await,
                Err(refusal) => Answer::NotAdmitted(refusal),
            },
            Call::State { caller, id } if self.is_confirmed() => match self.authorize(caller) {
                Ok(scope) => Answer::State(self.state(&scope, id)),
                Err(refusal) => Answer::NotAdmitted(refusal),
            },
            Call::Waiting { caller, queue } if self.is_confirmed() => match self.authorize(caller) {
                Ok(_) => Answer::Waiting(self.engine.lock().waiting(&queue)),
                Err(refusal) => Answer::NotAdmitted(refusal),
            },
            Call::Workspaces => Answer::Workspaces(self.engine.lock().workspaces()),
            Call::Explain { id } => Answer::Explanation(self.engine.lock().explain(self.host.clock(), id)),
            _ => Answer::NotLeader,
        }
    }

    /// Determines what a call may see, by the newer of the configurations of this host and of the host that received
    /// the call.
    fn authorize(&self, caller: Caller) -> Result<Scope, Refusal> {
        let config = self.host.config();
        access::authorize(&config, caller).inspect_err(|refusal| {
            emit!(self.host.log, events::CALL_NOT_ADMITTED, "why" => refusal.to_string(), "sure" => true,
                "config" => config.version, "config_age_ms" => self.host.config_age().as_millis() as u64,
                "term" => self.term);
        })
    }

    fn state(&self, scope: &Scope, id: JobId) -> Option<State> {
        let engine = self.engine.lock();
        if scope.allows(engine.workspace(id)) { engine.state(id) } else { None }
    }

    async fn cancel(&self, scope: &Scope, id: JobId, wait: Duration) -> Answer {
        let cancelled = {
            let mut engine = self.engine.lock();
            if scope.allows(engine.workspace(id)) { engine.cancel(self.host.clock(), id) } else { None }
        };
        let Some(position) = cancelled else {
            return if self.is_confirmed() { Answer::Cancelled(false) } else { Answer::NotLeader };
        };
        self.write.notify_one();
        self.plan.notify_one();
        match self.wait_durable(position, wait).await {
            true => Answer::Cancelled(true),
            false => Answer::Unknown,
        }
    }

    /// Waits until a log position is durable. Returns whether it is.
    pub(crate) async fn wait_durable(&self, position: u64, wait: Duration) -> bool {
        let mut durable = self.durable.subscribe();
        let mut ended = self.ended.subscribe();
        let reached = async { durable.wait_for(|durable| *durable >= position).await.is_ok() };
        tokio::select! {
            reached = tokio::time::timeout(wait, reached) => reached.unwrap_or(false),
            _ = ended.wait_for(|ended| *ended) => *self.durable.borrow() >= position,
        }
    }
}
