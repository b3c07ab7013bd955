//! The partitions of the own data centre: following the tasks of those that are owned here.

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
use crate::{claims, recovery, send};

/// How often claims and stops are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// How often attempts are compared with the holders' inventories.
const COMPARE: Duration = Duration::from_secs(1);
/// How often all facts are taken in anew: makes up for orders and acknowledgements that were lost.
const RESYNC: Duration = Duration::from_secs(3);

/// A partition owned by this host.
pub(crate) struct Owned {
    pub(crate) book: JobTracker,
    pub(crate) authority: Authority,
    /// Revision of the record that claims it: the next change compares with it.
    pub(crate) revision: Revision,
    /// Where each attempt was last told of.
    pub(crate) shown: HashMap<(Id, Attempt), VisibleFrom>,
    pub(crate) compared_at: Instant,
    /// Lives of workloads that the platform does not have (any more): their attempts may be stopped.
    pub(crate) unrecorded: BTreeSet<(WorkloadId, u32)>,
}

/// All partitions of the data centre, owned here or not.
pub(crate) struct Partitions {
    owned: Vec<Mutex<Option<Owned>>>,
    /// Since when the live hosts have been what they are.
    pub(crate) settled: Mutex<(Vec<HostId>, Instant)>,
}

impl Partitions {
    pub(crate) fn new(count: Partition, now: Instant) -> Partitions {
        Partitions { owned: (0..count).map(|_| Mutex::new(None)).collect(), settled: Mutex::new((Vec::new(), now)) }
    }

    pub(crate) fn numbers(&self) -> impl Iterator<Item = Partition> + use<> {
        0..self.owned.len() as Partition
    }

    /// Runs `act` on a partition when it is owned here.
    pub(crate) fn with<R>(&self, number: Partition, act: impl FnOnce(&mut Owned) -> R) -> Option<R> {
        self.owned.get(usize::from(number))?.lock().as_mut().map(act)
    }

    pub(crate) fn set(&self, number: Partition, owned: Option<Owned>) -> bool {
        let Some(slot) = self.owned.get(usize::from(number)) else { return false };
        let mut slot = slot.lock();
        let had = slot.is_some();
        *slot = owned;
        had
    }

    pub(crate) fn owned_here(&self) -> Vec<Partition> {
        self.numbers().filter(|number| self.with(*number, |_| ()).is_some()).collect()
    }
}

/// Claims, recovers and follows partitions until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut resynced_at = Instant::now();
    loop {
        if resynced_at.elapsed() >= RESYNC {
            resynced_at = Instant::now();
            let tasks = shared.facts.tasks().into_iter();
            observe(&shared, tasks.map(|(task, attempt, fact)| Change::Task(task, attempt, fact, false)).collect());
        }
        let steps = claims::steps(&shared);
        claims::take(&shared, &steps).await;
        claims::release(&shared, &steps).await;
        let leaving = shared.facts.leaving();
        join_all(shared.partitions.owned_here().into_iter().map(|number| tend(&shared, number, &leaving))).await;
        tokio::time::sleep(LOOK).await;
    }
}

/// One look at an owned partition.
async fn tend(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if !recovery::may_act(shared, number).await {
        return;
    }
    recovery::recover(shared, number).await;
    compare(shared, number);
    evacuate(shared, number, leaving).await;
    recovery::confirm_strays(shared, number).await;
    let now = Instant::now();
    let Some((epoch, stops, overdue, ends)) = shared.partitions.with(number, |owned| {
        let overdue = owned.book.overdue_orders(now);
        let mut stops = owned.book.stop_orders(now);
        let strays = owned.book.orphans().filter(|order| owned.unrecorded.contains(&recovery::life_of(&order.task)));
        stops.extend(strays.cloned());
        (owned.book.epoch(), stops, overdue, owned.book.take_acknowledgements())
    }) else {
        return;
    };
    send::stops(shared, number, epoch, stops).await;
    send::acknowledgements(shared, ends).await;
    if !overdue.is_empty() {
        send::starts(shared, number, epoch, overdue).await;
    }
    write_ends(shared, number);
    note(shared, number);
}

/// Compares attempts with the inventories of the workers' holders: what is not there has surely ended.
fn compare(shared: &Shared, number: Partition) {
    let now = Instant::now();
    let limits = shared.ledger_limits();
    shared.partitions.with(number, |owned| {
        if now.duration_since(owned.compared_at) < COMPARE {
            return;
        }
        owned.compared_at = now;
        let mut gone = Vec::new();
        for (task, attempt, worker) in owned.book.possibly_live_attempts() {
            let shown = owned.shown.get(&(task.clone(), attempt));
            if shared.facts.is_missing(worker, &task, attempt, shown) {
                gone.push((task, attempt));
            }
        }
        for (task, attempt) in gone {
            owned.book.mark_lost(&task, attempt, now);
        }
        let live: BTreeSet<(Id, Attempt)> =
            owned.book.possibly_live_attempts().map(|(task, attempt, _)| (task, attempt)).collect();
        owned.shown.retain(|key, _| live.contains(key));
        let workers: BTreeSet<WorkerId> = owned.book.workers_in_use();
        for worker in workers {
            let held = shared.facts.holder(&worker).is_some_and(|(_, fact)| fact.reachable || !fact.lapsed);
            if !held && shared.listing.gone_for(&worker, limits.lease + limits.margin, now) {
                owned.book.mark_worker_lost(&worker, now);
            }
        }
    });
}

/// Empties workers that are on their way out.
async fn evacuate(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if leaving.is_empty() {
        return;
    }
    let now = Instant::now();
    let stops = shared.partitions.with(number, |owned| {
        let orders: Vec<StopOrder> = leaving.iter().flat_map(|worker| owned.book.evacuate(worker, now)).collect();
        (owned.book.epoch(), orders)
    });
    let Some((epoch, orders)) = stops else { return };
    send::stops(shared, number, epoch, orders).await;
}

/// Hands ends that must last to the committer.
fn write_ends(shared: &Arc<Shared>, number: Partition) {
    let writes = shared.partitions.with(number, |owned| owned.book.unpersisted_ends()).unwrap_or_default();
    for (workload, progress, ends) in writes {
        shared.committer.end(number, workload, progress, ends);
    }
}

/// Writes events and metrics of what happened.
fn note(shared: &Shared, number: Partition) {
    let notes = shared.partitions.with(number, |owned| owned.book.take_events()).unwrap_or_default();
    for one in notes {
        match one {
            JobEvent::Started(task, waited) => {
                events::emit!(shared.log, events::TASK_STARTED, "task" => task.to_string(), "waited_ms" => waited.as_millis() as u64);
                note_wait(shared, &task, waited);
            }
            JobEvent::Parked(workload, reason) => {
                events::emit!(shared.log, events::TASK_PARKED, "workload" => workload, "why" => reason.to_string());
            }
            JobEvent::Ended(..) => shared.look_again.notify_one(),
        }
    }
}

fn note_wait(shared: &Shared, task: &Id, waited: Duration) {
    let Some(versioned) = shared.configuration.workload(&task.workload) else { return };
    let workload = &versioned.record.workload;
    let tenant = metrics::Tenant { class: format!("{:?}", workload.kind).to_lowercase(), team: workload.team.clone() };
    shared.metrics.start_seconds.get_or_create(&tenant).observe(waited.as_secs_f64());
}

/// Takes in changed facts.
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
                owned.book.observe(&task, attempt, &fact, probation, now);
            }
        });
    }
    shared.look_again.notify_one();
    crate::services::refresh(shared);
}

/// Takes in changed records.
pub(crate) fn records_changed(shared: &Arc<Shared>, workloads: &[WorkloadId]) {
    let count = shared.settings.tasks.partitions;
    let now = Instant::now();
    for name in workloads {
        let versioned = shared.configuration.workload(name);
        let progress = shared.configuration.progress(shared.data_centre(), name);
        shared.partitions.with(partition(name, count), |owned| match &versioned {
            Some(versioned) if versioned.record.shares.contains_key(shared.data_centre()) => {
                let fresh = versioned.revision > owned.revision;
                owned.book.apply(versioned.as_ref().clone(), progress.as_ref(), fresh, now);
            }
            _ => owned.book.remove_workload(name),
        });
    }
}

/// Takes in what became of orders.
pub(crate) fn committed(owned: &mut Owned, task: &Id, attempt: Attempt, shown: VisibleFrom, now: Instant) {
    owned.shown.insert((task.clone(), attempt), shown);
    owned.book.start_committed(task, attempt, now);
}
