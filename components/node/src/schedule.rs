//! Lets waiting work start: one pass over all partitions owned here, urgent work first, fair between teams.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use jobs::PendingJob;
use model::task::{Attempt, Id};
use model::workload::{Kind, Workload};
use model::{Epoch, Partition, Reason, Resources, TeamId, WorkerId, WorkloadId};
use place::{Choice, Demand, Policy, Refusals, Siblings, Usage, Worker, WorkerTable};
use wire::{ReserveOrder, StartOrder, TaskFact, TaskState};

use crate::room::{Keeping, make_room, reservation, use_kept};
use crate::shared::Shared;
use crate::{recovery, send};

/// Waiting work is looked at this often even when nothing changed.
const LOOK: Duration = Duration::from_millis(500);
/// Two passes keep at least this distance.
const SPACING: Duration = Duration::from_millis(5);
/// Tasks of one workload ordered in one pass, so that no pass gets long.
pub(crate) const MOST_ORDERS: usize = 512;

/// Work of one workload that waits, with what the decision needs.
pub(crate) struct Waiting {
    pub(crate) partition: Partition,
    pub(crate) epoch: Epoch,
    pub(crate) claimant: PendingJob,
    pub(crate) workload: Workload,
    avoided: Vec<WorkerId>,
    pub(crate) accepted_ms: u64,
}

/// Start orders made in one pass.
pub(crate) type Orders = BTreeMap<(Partition, Epoch), Vec<StartOrder>>;

/// The view that one pass decides on.
pub(crate) struct Pass {
    pub(crate) now: Instant,
    pub(crate) cell: WorkerTable,
    usage: HashMap<TeamId, Usage>,
    pub(crate) tasks: Vec<(Id, Attempt, TaskFact)>,
    total: Resources,
    refusals: Refusals,
}

/// Looks at waiting work until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut keeping = Keeping::new();
    loop {
        let _ = tokio::time::timeout(LOOK, shared.look_again.notified()).await;
        if !shared.is_stopping() {
            pass(&shared, &mut keeping).await;
        }
        tokio::time::sleep(SPACING).await;
    }
}

async fn pass(shared: &Arc<Shared>, keeping: &mut Keeping) {
    let now = Instant::now();
    let waiting = waiting(shared, now).await;
    keeping.retain(|name, kept| kept.is_fresh(now) && waiting.iter().any(|one| one.workload.name == *name));
    if waiting.is_empty() {
        return;
    }
    let mut pass = Pass::new(shared, now);
    let mut orders = Orders::default();
    for at in pass.order(&waiting) {
        place_one(shared, &mut pass, keeping, &waiting[at], &mut orders).await;
    }
    for ((partition, epoch), starts) in orders {
        // Each partition's orders go out on their own: a slow holder must not hold up the next pass.
        let shared = shared.clone();
        tokio::spawn(async move { send::starts(&shared, partition, epoch, starts).await });
    }
}

async fn waiting(shared: &Arc<Shared>, now: Instant) -> Vec<Waiting> {
    let mut waiting = Vec::new();
    for partition in shared.partitions.owned_here() {
        if !recovery::may_act(shared, partition).await {
            continue;
        }
        let found = shared.partitions.with(partition, |owned| {
            let epoch = owned.book.epoch();
            let claimants = owned.book.pending_jobs(now).into_iter();
            let with_job = claimants.filter_map(|claimant| {
                let job = owned.book.jobs().get(&claimant.workload)?;
                let accepted = job.versioned.record.accepted_at.duration_since(UNIX_EPOCH).unwrap_or_default();
                Some(Waiting {
                    partition,
                    epoch,
                    workload: job.workload().clone(),
                    avoided: job.failures.avoided_workers(now).cloned().collect(),
                    accepted_ms: accepted.as_millis() as u64,
                    claimant,
                })
            });
            with_job.collect::<Vec<_>>()
        });
        waiting.extend(found.unwrap_or_default());
    }
    waiting
}

impl Pass {
    fn new(shared: &Shared, now: Instant) -> Pass {
        let workers = shared.facts.workers();
        let mut total = Resources::ZERO;
        let mut cell = WorkerTable::default();
        for (id, _, fact) in workers {
            let Some(listed) = shared.listing.get(&id) else { continue };
            total = total.checked_add(&fact.capacity).unwrap_or(total);
            cell.upsert(Worker { id, rack: listed.rack, capacity: fact.capacity, free: fact.free, open: fact.open });
        }
        let tasks = shared.facts.tasks();
        let usage = usage(shared, &tasks);
        Pass { now, cell, usage, tasks, total, refusals: Refusals::default() }
    }

    fn order(&self, waiting: &[Waiting]) -> Vec<usize> {
        let claimants: Vec<place::WaitingWork> = waiting
            .iter()
            .map(|one| place::WaitingWork {
                workload: one.workload.name.clone(),
                team: one.workload.team.clone(),
                priority: one.workload.priority,
                waited: self.now.saturating_duration_since(one.claimant.since),
            })
            .collect();
        place::order(&claimants, &self.usage, &self.total)
    }

    /// How many more tasks of this size the team may have.
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

    /// The refusal of work whose team has used up its quota.
    fn over_quota(&self, team: &TeamId) -> Choice {
        let quota = self.usage.get(team).and_then(|usage| usage.quota).unwrap_or_default();
        Choice::Waiting(Reason::OverQuota { team: team.clone(), quota })
    }
}

/// What each team has committed in this data centre, with its quota.
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

async fn place_one(shared: &Arc<Shared>, pass: &mut Pass, keeping: &mut Keeping, one: &Waiting, orders: &mut Orders) {
    if keeping.contains_key(&one.workload.name) {
        return use_kept(shared, pass, keeping, one, orders).await;
    }
    let closed = close(pass, &one.avoided);
    let refused = match one.workload.kind {
        Kind::Gang => place_gang(shared, pass, one, orders).await,
        Kind::Service | Kind::Batch => place_each(shared, pass, one, orders),
    };
    for at in closed {
        pass.cell.set_open(at, true);
    }
    let Some(choice) = refused else { return };
    let reason = match &choice {
        Choice::Waiting(reason) | Choice::Impossible(reason) => reason.clone(),
        Choice::Placed(_) => return,
    };
    shared.partitions.with(one.partition, |owned| owned.book.set_waiting_reason(&one.workload.name, &reason));
    if let Choice::Waiting(Reason::NoRoom { .. } | Reason::GangIncomplete { .. }) = choice {
        make_room(shared, pass, keeping, one).await;
    }
}

/// Closes workers that failed the workload lately, unless there would be none left. Returns those closed.
fn close(pass: &mut Pass, avoided: &[WorkerId]) -> Vec<usize> {
    if avoided.len() >= pass.cell.len() {
        return Vec::new();
    }
    let mut closed = Vec::new();
    for worker in avoided {
        let Some(at) = pass.cell.find(worker) else { continue };
        if pass.cell.is_open(at) {
            pass.cell.set_open(at, false);
            closed.push(at);
        }
    }
    closed
}

fn demand(workload: &Workload) -> Demand {
    Demand { each: workload.each, kind: workload.kind, policy: Policy::BestFit }
}

/// Places tasks one by one; returns why the first that stays behind does.
fn place_each(shared: &Shared, pass: &mut Pass, one: &Waiting, orders: &mut Orders) -> Option<Choice> {
    let workload = &one.workload;
    let positions = &one.claimant.positions[..one.claimant.positions.len().min(MOST_ORDERS)];
    let allowed = pass.allowance(&workload.team, &workload.each, positions.len());
    let demand = demand(workload);
    let mut siblings = siblings(pass, workload);
    for position in &positions[..allowed] {
        if workload.kind == Kind::Batch
            && let Some(choice) = pass.refusals.find(&workload.each)
        {
            return Some(choice.clone());
        }
        let began = Instant::now();
        let choice = place::choose(&pass.cell, &demand, &siblings);
        shared.metrics.decision_seconds.observe(began.elapsed().as_secs_f64());
        let Choice::Placed(at) = choice else {
            pass.refusals.record(workload.each, &choice, one.avoided.is_empty());
            return Some(choice);
        };
        if !order_one(shared, pass, one, *position, at, orders) {
            return None;
        }
        siblings.add(&pass.cell, at);
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
        let lives = !matches!(fact.state, TaskState::Ended(_) | TaskState::Stopping);
        if task.workload == workload.name
            && lives
            && let Some(at) = pass.cell.find(&fact.worker)
        {
            siblings.add(&pass.cell, at);
        }
    }
    siblings
}

/// Orders one task and takes its room in this pass's view.
pub(crate) fn order_one(
    shared: &Shared,
    pass: &mut Pass,
    one: &Waiting,
    position: u32,
    at: usize,
    orders: &mut Orders,
) -> bool {
    let worker = pass.cell.id(at).clone();
    let now = Instant::now();
    let order = shared.partitions.with(one.partition, |owned| {
        let current = owned.book.epoch() == one.epoch && owned.authority.check(now);
        current.then(|| owned.book.create_start_order(&one.workload.name, position, &worker, now)).flatten()
    });
    let Some(order) = order.flatten() else { return false };
    pass.cell.allocate(at, &one.workload.each);
    pass.spend(&one.workload.team, &one.workload.each);
    orders.entry((one.partition, one.epoch)).or_default().push(order);
    true
}

/// Places all tasks of a gang or none. Its room is kept at every holder before the first task is ordered, so
/// that none starts without the others.
async fn place_gang(shared: &Arc<Shared>, pass: &mut Pass, one: &Waiting, orders: &mut Orders) -> Option<Choice> {
    let workload = &one.workload;
    let count = one.claimant.positions.len();
    if pass.allowance(&workload.team, &workload.each, count) < count {
        return Some(pass.over_quota(&workload.team));
    }
    let began = Instant::now();
    let placed = place::choose_gang(&mut pass.cell, &demand(workload), count as u32);
    shared.metrics.decision_seconds.observe(began.elapsed().as_secs_f64());
    let places = match placed {
        Ok(places) => places,
        Err(choice) => return Some(choice),
    };
    for at in &places {
        pass.cell.release(*at, &workload.each);
    }
    let reservations = keep(pass, one, &places);
    let asked = reservations.len();
    let there = send::reservations(shared, one.partition, one.epoch, reservations).await;
    if there.len() < asked {
        return Some(Choice::Waiting(Reason::GangIncomplete { fitting: 0, needed: count as u32 }));
    }
    for (position, at) in one.claimant.positions.iter().zip(places) {
        if !order_one(shared, pass, one, *position, at, orders) {
            return None;
        }
    }
    None
}

/// One reservation for each worker that gets tasks.
fn keep(pass: &Pass, one: &Waiting, places: &[usize]) -> Vec<ReserveOrder> {
    let mut sums: BTreeMap<usize, Resources> = BTreeMap::new();
    for at in places {
        let sum = sums.entry(*at).or_default();
        *sum = sum.checked_add(&one.workload.each).unwrap_or(*sum);
    }
    let order = |(at, resources)| reservation(one, pass.cell.id(at).clone(), resources, Vec::new());
    sums.into_iter().map(order).collect()
}
