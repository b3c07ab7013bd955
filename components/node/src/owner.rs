//! The partitions of this data centre. Tracks the tasks of those that this host owns.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use claim::Authority;
use facts::{Change, VisibleFrom};
use futures_util::future::join_all;
use jobs::{JobEvent, JobTracker};
use model::task::{Attempt, Id};
use model::workload::partition;
use model::{HostId, Partition, Revision, WorkerId, WorkloadId};
use parking_lot::Mutex;
use wire::StopOrder;

use crate::shared::Shared;
use crate::{claims, recovery, release, send};

/// Time between two updates of the owned partitions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How often tracked attempts are compared with the facts that the workers' holders publish.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// How often all facts are applied again, to make up for lost orders and acknowledgements.
const RESYNC_INTERVAL: Duration = Duration::from_secs(3);

/// A partition owned by this host.
pub(crate) struct OwnedPartition {
    pub(crate) tracker: JobTracker,
    pub(crate) authority: Authority,
    /// Revision of the claim record. Transactions on behalf of the partition compare the record with it.
    pub(crate) claim_revision: Revision,
    /// For each attempt, the version of its holder's facts from which it must be visible.
    pub(crate) visible_from: HashMap<(Id, Attempt), VisibleFrom>,
    pub(crate) compared_at: Instant,
    /// Lives of workloads that the platform has no record of, so that their attempts may be stopped.
    pub(crate) unrecorded_lives: BTreeSet<(WorkloadId, u32)>,
    /// Whether its release is being written. Until the outcome is known, this host doesn't act as the owner.
    pub(crate) releasing: bool,
}

impl OwnedPartition {
    /// Whether this host may act as the owner now; see [`Authority::check`].
    pub(crate) fn may_act(&mut self, now: Instant) -> bool {
        self.authority.check(now) && !self.releasing
    }
}

/// All partitions of the data centre, whether owned by this host or not.
pub(crate) struct Partitions {
    owned: Vec<Mutex<Option<OwnedPartition>>>,
    /// The live hosts, and since when the set has been unchanged.
    pub(crate) live_hosts: Mutex<(Vec<HostId>, Instant)>,
    /// Progress of the release of partitions to hosts that rank higher for them.
    pub(crate) release: Mutex<release::Progress>,
}

impl Partitions {
    pub(crate) fn new(count: Partition, now: Instant) -> Partitions {
        Partitions {
            owned: (0..count).map(|_| Mutex::new(None)).collect(),
            live_hosts: Mutex::new((Vec::new(), now)),
            release: Mutex::default(),
        }
    }

    pub(crate) fn numbers(&self) -> impl Iterator<Item = Partition> + use<> {
        0..self.owned.len() as Partition
    }

    /// Runs `act` on a partition if this host owns it.
    pub(crate) fn with<R>(&self, number: Partition, act: impl FnOnce(&mut OwnedPartition) -> R) -> Option<R> {
        self.owned.get(usize::from(number))?.lock().as_mut().map(act)
    }

    pub(crate) fn set(&self, number: Partition, owned: Option<OwnedPartition>) -> bool {
        let Some(slot) = self.owned.get(usize::from(number)) else { return false };
        let mut slot = slot.lock();
        let was_owned = slot.is_some();
        *slot = owned;
        was_owned
    }

    pub(crate) fn owned_here(&self) -> Vec<Partition> {
        self.numbers().filter(|number| self.with(*number, |_| ()).is_some()).collect()
    }
}

/// Claims, recovers and updates partitions until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut resynced_at = Instant::now();
    loop {
        if resynced_at.elapsed() >= RESYNC_INTERVAL {
            resynced_at = Instant::now();
            let tasks = shared.facts.tasks().into_iter();
            observe(&shared, tasks.map(|(task, attempt, fact)| Change::Task(task, attempt, fact, false)).collect());
        }
        let steps = claims::next_steps(&shared);
        claims::take_partitions(&shared, &steps).await;
        release::start(&shared, &steps);
        let leaving = shared.facts.leaving();
        join_all(shared.partitions.owned_here().into_iter().map(|number| update_partition(&shared, number, &leaving)))
            .await;
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Updates an owned partition: sends due orders and queues ends for the platform.
async fn update_partition(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if !recovery::check_authority(shared, number).await {
        return;
    }
    recovery::recover(shared, number).await;
    compare_with_inventories(shared, number);
    evacuate(shared, number, leaving).await;
    recovery::confirm_orphans(shared, number).await;
    let now = Instant::now();
    let Some((epoch, stops, overdue, ends)) = shared.partitions.with(number, |owned| {
        let overdue = owned.tracker.overdue_orders(now);
        let mut stops = owned.tracker.stop_orders(now);
        let orphans =
            owned.tracker.orphans().filter(|order| owned.unrecorded_lives.contains(&recovery::life_of(&order.task)));
        stops.extend(orphans.cloned());
        (owned.tracker.epoch(), stops, overdue, owned.tracker.take_acknowledgements())
    }) else {
        return;
    };
    send::stops(shared, number, epoch, stops).await;
    send::acknowledgements(shared, ends).await;
    if !overdue.is_empty() {
        send::starts(shared, number, epoch, overdue).await;
    }
    queue_ends(shared, number);
    report_events(shared, number);
}

/// Compares tracked attempts with the facts of the workers' holders. An attempt that is certainly
/// missing there has ended.
fn compare_with_inventories(shared: &Shared, number: Partition) {
    let now = Instant::now();
    let limits = shared.ledger_limits();
    shared.partitions.with(number, |owned| {
        if now.duration_since(owned.compared_at) < COMPARE_INTERVAL {
            return;
        }
        owned.compared_at = now;
        let mut lost = Vec::new();
        for (task, attempt, worker) in owned.tracker.possibly_live_attempts() {
            let visible_from = owned.visible_from.get(&(task.clone(), attempt));
            if shared.facts.is_missing(worker, &task, attempt, visible_from) {
                lost.push((task, attempt));
            }
        }
        for (task, attempt) in lost {
            owned.tracker.mark_lost(&task, attempt, now);
        }
        let live: BTreeSet<(Id, Attempt)> =
            owned.tracker.possibly_live_attempts().map(|(task, attempt, _)| (task, attempt)).collect();
        owned.visible_from.retain(|key, _| live.contains(key));
        let workers: BTreeSet<WorkerId> = owned.tracker.workers_in_use();
        for worker in workers {
            let held = shared.facts.holder(&worker).is_some_and(|(_, fact)| fact.reachable || !fact.lapsed);
            if !held && shared.listing.missing_for(&worker, limits.lease + limits.margin, now) {
                owned.tracker.mark_worker_lost(&worker, now);
            }
        }
    });
}

/// Moves tasks off workers that are leaving.
async fn evacuate(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if leaving.is_empty() {
        return;
    }
    let now = Instant::now();
    let stops = shared.partitions.with(number, |owned| {
        let orders: Vec<StopOrder> = leaving.iter().flat_map(|worker| owned.tracker.evacuate(worker, now)).collect();
        (owned.tracker.epoch(), orders)
    });
    let Some((epoch, orders)) = stops else { return };
    send::stops(shared, number, epoch, orders).await;
}

/// Queues the ends of tasks that must be written to the platform.
fn queue_ends(shared: &Arc<Shared>, number: Partition) {
    let writes = shared.partitions.with(number, |owned| owned.tracker.unpersisted_ends()).unwrap_or_default();
    for (workload, progress, ends) in writes {
        shared.committer.queue_ends(number, workload, progress, ends);
    }
}

/// Logs what happened in a partition and updates the metrics.
fn report_events(shared: &Shared, number: Partition) {
    let job_events = shared.partitions.with(number, |owned| owned.tracker.take_events()).unwrap_or_default();
    for event in job_events {
        match event {
            JobEvent::Started(task, waited) => {
                events::emit!(shared.log, events::TASK_STARTED, "task" => task.to_string(), "waited_ms" => waited.as_millis() as u64);
                record_wait(shared, &task, waited);
            }
            JobEvent::Parked(workload, reason) => {
                events::emit!(shared.log, events::TASK_PARKED, "workload" => workload, "why" => reason.to_string());
            }
            JobEvent::Ended(..) => shared.schedule_needed.notify_one(),
        }
    }
}

fn record_wait(shared: &Shared, task: &Id, waited: Duration) {
    let Some(versioned) = shared.configuration.workload(&task.workload) else { return };
    let workload = &versioned.record.workload;
    let tenant =
        metrics::TenantLabels { class: format!("{:?}", workload.kind).to_lowercase(), team: workload.team.clone() };
    shared.metrics.start_seconds.get_or_create(&tenant).observe(waited.as_secs_f64());
}

/// Applies changed facts to the owned partitions.
pub(crate) fn observe(shared: &Arc<Shared>, changed: Vec<Change>) {
    let count = shared.settings.tasks.partitions;
    let now = Instant::now();
    let mut by_partition: BTreeMap<Partition, Vec<(Id, Attempt, wire::TaskFact, bool)>> = BTreeMap::new();
    for change in changed {
        match change {
            Change::Worker => {}
            Change::Task(task, attempt, fact, probation) => {
                by_partition
                    .entry(partition(&task.workload, count))
                    .or_default()
                    .push((task, attempt, fact, probation));
            }
        }
    }
    for (number, tasks) in by_partition {
        shared.partitions.with(number, |owned| {
            for (task, attempt, fact, probation) in tasks {
                owned.tracker.observe(&task, attempt, &fact, probation, now);
            }
        });
    }
    shared.schedule_needed.notify_one();
    crate::services::notify_changed(shared);
}

/// Applies changed workload records to the owned partitions.
pub(crate) fn apply_records(shared: &Arc<Shared>, workloads: &[WorkloadId]) {
    let count = shared.settings.tasks.partitions;
    let now = Instant::now();
    for name in workloads {
        let versioned = shared.configuration.workload(name);
        let progress = shared.configuration.progress(shared.data_centre(), name);
        shared.partitions.with(partition(name, count), |owned| match &versioned {
            Some(versioned) if versioned.record.shares.contains_key(shared.data_centre()) => {
                let fresh = versioned.revision > owned.claim_revision;
                owned.tracker.apply(versioned.as_ref().clone(), progress.as_ref(), fresh, now);
            }
            _ => owned.tracker.remove_workload(name),
        });
    }
}

/// Records that the holder of a worker has committed a start order.
pub(crate) fn record_started(
    owned: &mut OwnedPartition,
    task: &Id,
    attempt: Attempt,
    visible_from: VisibleFrom,
    now: Instant,
) {
    owned.visible_from.insert((task.clone(), attempt), visible_from);
    owned.tracker.start_committed(task, attempt, now);
}
