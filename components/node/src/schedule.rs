//! Schedules waiting work. Each pass covers all partitions that this host owns, serves urgent work first and is fair
//! between teams.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use jobs::PendingJob;
use model::task::{Attempt, Id};
use model::workload::{Kind, Workload};
use model::{Epoch, Partition, Reason, Resources, TeamId, WorkerId, WorkloadId};
use place::{Choice, Demand, Policy, Refusals, Siblings, Usage, Worker, WorkerTable};
use wire::{ReserveOrder, StartOrder, TaskFact, TaskState};

use crate::reservations::{Reservations, reserve_or_preempt, reserve_order, use_reservation};
use crate::shared::Shared;
use crate::{recovery, send};

/// Maximum time between two passes. A pass runs this often even if nothing has changed.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two passes.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of tasks of one workload ordered in one pass. Limits the duration of a pass.
pub(crate) const MAX_ORDERS: usize = 512;

/// The waiting tasks of one workload, with the data that scheduling needs.
pub(crate) struct PendingWork {
    pub(crate) partition: Partition,
    pub(crate) epoch: Epoch,
    pub(crate) pending_job: PendingJob,
    pub(crate) workload: Workload,
    avoided_workers: Vec<WorkerId>,
    pub(crate) accepted_ms: u64,
}

/// Start orders created in one pass.
pub(crate) type Orders = BTreeMap<(Partition, Epoch), Vec<StartOrder>>;

/// The state that the decisions of one pass are based on.
pub(crate) struct Pass {
    pub(crate) now: Instant,
    pub(crate) table: WorkerTable,
    usage: HashMap<TeamId, Usage>,
    pub(crate) tasks: Vec<(Id, Attempt, TaskFact)>,
    total: Resources,
    refusals: Refusals,
}

/// Runs scheduling passes until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut reservations = Reservations::new();
    loop {
        let _ = tokio::time::timeout(MAX_PASS_INTERVAL, shared.schedule_needed.notified()).await;
        if !shared.is_stopping() {
            run_pass(&shared, &mut reservations).await;
        }
        tokio::time::sleep(MIN_PASS_INTERVAL).await;
    }
}

async fn run_pass(shared: &Arc<Shared>, reservations: &mut Reservations) {
    let now = Instant::now();
    let waiting = collect_pending_work(shared, now).await;
    reservations.retain(|name, reservation| {
        reservation.is_valid(now) && waiting.iter().any(|work| work.workload.name == *name)
    });
    if waiting.is_empty() {
        return;
    }
    let mut pass = Pass::new(shared, now);
    let mut orders = Orders::default();
    for index in pass.order(&waiting) {
        place_work(shared, &mut pass, reservations, &waiting[index], &mut orders).await;
    }
    for ((partition, epoch), starts) in orders {
        // Spawned so that a slow holder doesn't delay the next pass.
        let shared = shared.clone();
        tokio::spawn(async move { send::starts(&shared, partition, epoch, starts).await });
    }
}

async fn collect_pending_work(shared: &Arc<Shared>, now: Instant) -> Vec<PendingWork> {
    let mut waiting = Vec::new();
    for partition in shared.partitions.owned_here() {
        if !recovery::check_authority(shared, partition).await {
            continue;
        }
        let found = shared.partitions.with(partition, |owned| {
            let epoch = owned.tracker.epoch();
            let pending_jobs = owned.tracker.pending_jobs(now).into_iter();
            let with_workloads = pending_jobs.filter_map(|pending_job| {
                let job = owned.tracker.jobs().get(&pending_job.workload)?;
                let accepted = job.versioned.record.accepted_at.duration_since(UNIX_EPOCH).unwrap_or_default();
                Some(PendingWork {
                    partition,
                    epoch,
                    workload: job.workload().clone(),
                    avoided_workers: job.failures.avoided_workers(now).cloned().collect(),
                    accepted_ms: accepted.as_millis() as u64,
                    pending_job,
                })
            });
            with_workloads.collect::<Vec<_>>()
        });
        waiting.extend(found.unwrap_or_default());
    }
    waiting
}

impl Pass {
    fn new(shared: &Shared, now: Instant) -> Pass {
        let workers = shared.facts.workers();
        let mut total = Resources::ZERO;
        let mut table = WorkerTable::default();
        for (id, _, fact) in workers {
            let Some(listed) = shared.listing.get(&id) else { continue };
            total = total.checked_add(&fact.capacity).unwrap_or(total);
            table.upsert(Worker { id, rack: listed.rack, capacity: fact.capacity, free: fact.free, open: fact.open });
        }
        let tasks = shared.facts.tasks();
        let usage = usage(shared, &tasks);
        Pass { now, table, usage, tasks, total, refusals: Refusals::default() }
    }

    fn order(&self, waiting: &[PendingWork]) -> Vec<usize> {
        let waiting_work: Vec<place::WaitingWork> = waiting
            .iter()
            .map(|work| place::WaitingWork {
                workload: work.workload.name.clone(),
                team: work.workload.team.clone(),
                priority: work.workload.priority,
                waited: self.now.saturating_duration_since(work.pending_job.since),
            })
            .collect();
        place::order(&waiting_work, &self.usage, &self.total)
    }

    /// How many of `wanted` further tasks of this size the team's quota allows.
    pub(crate) fn allowance(&self, team: &TeamId, each: &Resources, wanted: usize) -> usize {
        let Some(usage) = self.usage.get(team) else { return wanted };
        let mut sum = usage.used;
        let Some(quota) = usage.quota else { return wanted };
        for count in 0..wanted {
            match sum.checked_add(each) {
                Some(next) if next.fits_in(&quota) => sum = next,
                _ => return count,
            }
        }
        wanted
    }

    fn spend(&mut self, team: &TeamId, each: &Resources) {
        let usage = self.usage.entry(team.clone()).or_default();
        usage.used = usage.used.checked_add(each).unwrap_or(usage.used);
    }

    /// The result for work whose team has used up its quota.
    fn over_quota(&self, team: &TeamId) -> Choice {
        let quota = self.usage.get(team).and_then(|usage| usage.quota).unwrap_or_default();
        Choice::Waiting(Reason::OverQuota { team: team.clone(), quota })
    }
}

/// The resources that each team has committed in this data centre, and its quota.
pub(crate) fn usage(shared: &Shared, tasks: &[(Id, Attempt, TaskFact)]) -> HashMap<TeamId, Usage> {
    let mut teams: HashMap<WorkloadId, Option<TeamId>> = HashMap::new();
    let mut usage: HashMap<TeamId, Usage> = HashMap::new();
    for (name, team, _) in shared.configuration.teams() {
        usage.entry(name).or_default().quota = team.quota;
    }
    for (task, _, fact) in tasks {
        if matches!(fact.state, TaskState::Ended(_)) {
            continue;
        }
        let team = teams.entry(task.workload.clone()).or_insert_with(|| {
            shared.configuration.workload(&task.workload).map(|versioned| versioned.record.workload.team.clone())
        });
        let Some(team) = team else { continue };
        let usage = usage.entry(team.clone()).or_default();
        usage.used = usage.used.checked_add(&fact.resources).unwrap_or(usage.used);
    }
    usage
}

async fn place_work(
    shared: &Arc<Shared>,
    pass: &mut Pass,
    reservations: &mut Reservations,
    work: &PendingWork,
    orders: &mut Orders,
) {
    if reservations.contains_key(&work.workload.name) {
        return use_reservation(shared, pass, reservations, work, orders).await;
    }
    // If the workload has failed on all workers, the cause is not the workers.
    let closed = pass.table.close_unless_all(&work.avoided_workers);
    let unplaced = match work.workload.kind {
        Kind::Gang => place_gang(shared, pass, work, orders).await,
        Kind::Service | Kind::Batch => place_tasks(shared, pass, work, orders),
    };
    for index in closed {
        pass.table.set_open(index, true);
    }
    let Some(choice) = unplaced else { return };
    let reason = match &choice {
        Choice::Waiting(reason) | Choice::Impossible(reason) => reason.clone(),
        Choice::Placed(_) => return,
    };
    shared.partitions.with(work.partition, |owned| owned.tracker.set_waiting_reason(&work.workload.name, &reason));
    if let Choice::Waiting(Reason::NoRoom { .. } | Reason::GangIncomplete { .. }) = choice {
        reserve_or_preempt(shared, pass, reservations, work).await;
    }
}

fn demand(workload: &Workload) -> Demand {
    Demand { each: workload.each, kind: workload.kind, policy: Policy::BestFit }
}

/// Places tasks one by one. Returns the reason for the first that can't be placed.
fn place_tasks(shared: &Shared, pass: &mut Pass, work: &PendingWork, orders: &mut Orders) -> Option<Choice> {
    let workload = &work.workload;
    let positions = &work.pending_job.positions[..work.pending_job.positions.len().min(MAX_ORDERS)];
    let allowed = pass.allowance(&workload.team, &workload.each, positions.len());
    let demand = demand(workload);
    let mut siblings = siblings(pass, workload);
    for position in &positions[..allowed] {
        if workload.kind == Kind::Batch
            && let Some(choice) = pass.refusals.find(&workload.each)
        {
            return Some(choice.clone());
        }
        let started_at = Instant::now();
        let choice = place::choose(&pass.table, &demand, &siblings);
        shared.metrics.decision_seconds.observe(started_at.elapsed().as_secs_f64());
        let Choice::Placed(index) = choice else {
            pass.refusals.record(workload.each, &choice, work.avoided_workers.is_empty());
            return Some(choice);
        };
        if !order_task(shared, pass, work, *position, index, orders) {
            return None;
        }
        siblings.add(&pass.table, index);
    }
    if allowed < positions.len() {
        return Some(pass.over_quota(&workload.team));
    }
    None
}

fn siblings(pass: &Pass, workload: &Workload) -> Siblings {
    let mut siblings = Siblings::default();
    if workload.kind != Kind::Service {
        return siblings;
    }
    for (task, _, fact) in &pass.tasks {
        let is_live = !matches!(fact.state, TaskState::Ended(_) | TaskState::Stopping);
        if task.workload == workload.name
            && is_live
            && let Some(index) = pass.table.find(&fact.worker)
        {
            siblings.add(&pass.table, index);
        }
    }
    siblings
}

/// Creates the start order of one task and allocates its resources in the state of this pass. Returns false if the
/// order can't be created.
pub(crate) fn order_task(
    shared: &Shared,
    pass: &mut Pass,
    work: &PendingWork,
    position: u32,
    index: usize,
    orders: &mut Orders,
) -> bool {
    let worker = pass.table.id(index).clone();
    let now = Instant::now();
    let order = shared.partitions.with(work.partition, |owned| {
        let current = owned.tracker.epoch() == work.epoch && owned.authority.check(now);
        current.then(|| owned.tracker.create_start_order(&work.workload.name, position, &worker, now)).flatten()
    });
    let Some(order) = order.flatten() else { return false };
    pass.table.allocate(index, &work.workload.each);
    pass.spend(&work.workload.team, &work.workload.each);
    orders.entry((work.partition, work.epoch)).or_default().push(order);
    true
}

/// Places all tasks of a gang or none. The resources of all of them are reserved with the holders before the first
/// task is ordered, so that none starts without the others.
async fn place_gang(shared: &Arc<Shared>, pass: &mut Pass, work: &PendingWork, orders: &mut Orders) -> Option<Choice> {
    let workload = &work.workload;
    let count = work.pending_job.positions.len();
    if pass.allowance(&workload.team, &workload.each, count) < count {
        return Some(pass.over_quota(&workload.team));
    }
    let started_at = Instant::now();
    let placed = place::choose_gang(&mut pass.table, &demand(workload), count as u32);
    shared.metrics.decision_seconds.observe(started_at.elapsed().as_secs_f64());
    let places = match placed {
        Ok(places) => places,
        Err(choice) => return Some(choice),
    };
    for index in &places {
        pass.table.release(*index, &workload.each);
    }
    let reserve_orders = reserve_orders(pass, work, &places);
    let requested = reserve_orders.len();
    let ready = send::reservations(shared, work.partition, work.epoch, reserve_orders).await;
    if ready.len() < requested {
        return Some(Choice::Waiting(Reason::GangIncomplete { fitting: 0, needed: count as u32 }));
    }
    for (position, index) in work.pending_job.positions.iter().zip(places) {
        if !order_task(shared, pass, work, *position, index, orders) {
            return None;
        }
    }
    None
}

/// Creates one reserve order for each worker that gets tasks.
fn reserve_orders(pass: &Pass, work: &PendingWork, places: &[usize]) -> Vec<ReserveOrder> {
    let mut sums: BTreeMap<usize, Resources> = BTreeMap::new();
    for index in places {
        let sum = sums.entry(*index).or_default();
        *sum = sum.checked_add(&work.workload.each).unwrap_or(*sum);
    }
    let order = |(index, resources)| reserve_order(work, pass.table.id(index).clone(), resources, Vec::new());
    sums.into_iter().map(order).collect()
}
