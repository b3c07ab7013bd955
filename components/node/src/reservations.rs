//! Reservations for work that does not fit: resources on workers are reserved as they become free, and for urgent
//! work patient tasks are stopped.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::task::{Attempt, Id};
use model::workload::Priority;
use model::{Resources, WorkerId, WorkloadId};
use place::{Candidate, Victim};
use wire::{ReserveOrder, TaskState};

use crate::schedule::{MAX_ORDERS, Orders, Pass, PendingWork, order_task};
use crate::send;
use crate::shared::Shared;

/// Work that has waited for this long gets resources reserved for it as they become free.
const RESERVE_AFTER: Duration = Duration::from_secs(30);
/// Urgent work that has not fitted for this long preempts patient work.
const PREEMPT_AFTER: Duration = Duration::from_millis(200);
/// A reservation for urgent work whose resources have not become free within this time is made anew.
const URGENT_RESERVATION_TTL: Duration = Duration::from_secs(20);
/// The same for other work. It is longer because such work waits for tasks to end by themselves.
const RESERVATION_TTL: Duration = Duration::from_secs(1200);
/// Longer run times without a checkpoint are treated as equal. A base-2 logarithm of seconds; about half a year.
const MAX_UNSAVED_EXPONENT: u8 = 24;
/// Number of low bits of a seniority that hold the time of acceptance in milliseconds. The priority is above them.
const SENIORITY_BITS: u32 = 60;

/// Resources that are reserved for a workload on workers until they have become free there.
pub(crate) struct Reservation {
    expires_at: Instant,
    /// The number of tasks to start on each worker.
    places: BTreeMap<WorkerId, u32>,
}

impl Reservation {
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// The reservations of this host, by workload.
pub(crate) type Reservations = HashMap<WorkloadId, Reservation>;

pub(crate) fn reserve_order(
    work: &PendingWork,
    worker: WorkerId,
    resources: Resources,
    victims: Vec<(Id, Attempt)>,
) -> ReserveOrder {
    ReserveOrder { worker, workload: work.workload.name.clone(), resources, seniority: seniority(work), victims }
}

/// Orders reservations by priority, then by time of acceptance; a lower value is more senior. All hosts compute the
/// same value.
fn seniority(work: &PendingWork) -> u64 {
    let tier = match work.workload.priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Patient => 2,
    };
    (tier << SENIORITY_BITS) | (work.accepted_ms & ((1 << SENIORITY_BITS) - 1))
}

/// Orders tasks on the workers where the reserved resources have become free. The other reservations remain.
pub(crate) async fn use_reservation(
    shared: &Arc<Shared>,
    pass: &mut Pass,
    reservations: &mut Reservations,
    work: &PendingWork,
    orders: &mut Orders,
) {
    let Some(reservation) = reservations.get_mut(&work.workload.name) else { return };
    let each = &work.workload.each;
    let renewals = reservation
        .places
        .iter()
        .map(|(worker, count)| reserve_order(work, worker.clone(), multiply(each, *count), Vec::new()));
    let ready = send::reservations(shared, work.partition, work.epoch, renewals.collect()).await;
    let allowed = pass.allowance(&work.workload.team, each, work.pending_job.positions.len());
    let mut positions = work.pending_job.positions[..allowed].iter();
    for worker in ready {
        let Some(index) = pass.table.find(&worker) else { continue };
        let count = reservation.places.remove(&worker).unwrap_or(0);
        for position in positions.by_ref().take(count as usize) {
            order_task(shared, pass, work, *position, index, orders);
        }
    }
    if reservation.places.is_empty() {
        reservations.remove(&work.workload.name);
    }
}

fn multiply(each: &Resources, count: u32) -> Resources {
    Resources {
        cpu_milli: each.cpu_milli.saturating_mul(count),
        memory_mib: each.memory_mib.saturating_mul(count),
        accelerators: each.accelerators.saturating_mul(count),
    }
}

/// Reserves resources for work that does not fit: for urgent work by stopping patient tasks, for other work once it
/// has waited long enough.
pub(crate) async fn reserve_or_preempt(
    shared: &Arc<Shared>,
    pass: &Pass,
    reservations: &mut Reservations,
    work: &PendingWork,
) {
    let waited = pass.now.saturating_duration_since(work.pending_job.since);
    let urgent = work.workload.priority == Priority::Urgent && waited >= PREEMPT_AFTER;
    if !urgent && waited < RESERVE_AFTER {
        return;
    }
    let mut candidates = candidates(pass, urgent);
    let mut chosen: BTreeMap<WorkerId, (u32, Vec<(Id, Attempt)>)> = BTreeMap::new();
    for _ in work.pending_job.positions.iter().take(MAX_ORDERS) {
        let Some(preemption) = place::preempt(&candidates, &work.workload.each) else { break };
        let victims: BTreeSet<(Id, Attempt)> =
            preemption.victims.iter().map(|victim| (victim.task.clone(), victim.attempt)).collect();
        for candidate in candidates.iter_mut().filter(|candidate| candidate.worker == preemption.worker) {
            apply_preemption(candidate, &victims, &work.workload.each);
        }
        let place = chosen.entry(preemption.worker).or_default();
        place.0 += 1;
        if urgent {
            place.1.extend(victims);
        }
    }
    if chosen.is_empty() {
        return;
    }
    let stopped: usize = chosen.values().map(|(_, victims)| victims.len()).sum();
    if stopped > 0 {
        events::emit!(shared.log, events::TASK_PREEMPTED, "for" => &work.workload.name, "stopped" => stopped);
    }
    let places = chosen.iter().map(|(worker, (count, _))| (worker.clone(), *count)).collect();
    let ttl = if urgent { URGENT_RESERVATION_TTL } else { RESERVATION_TTL };
    reservations.insert(work.workload.name.clone(), Reservation { expires_at: pass.now + ttl, places });
    let reserve_orders = chosen
        .into_iter()
        .map(|(worker, (count, victims))| reserve_order(work, worker, multiply(&work.workload.each, count), victims));
    send::reservations(shared, work.partition, work.epoch, reserve_orders.collect()).await;
}

/// Workers with the tasks whose end could free enough resources: for urgent work the patient tasks, which may be
/// stopped; for other work all tasks that will end by themselves.
fn candidates(pass: &Pass, urgent: bool) -> Vec<Candidate> {
    let mut by_worker: HashMap<&WorkerId, Vec<Victim>> = HashMap::new();
    for (task, attempt, fact) in &pass.tasks {
        let ends = matches!(fact.state, TaskState::Running(None) | TaskState::Starting);
        let patient = fact.patient && matches!(fact.state, TaskState::Running(_) | TaskState::Starting);
        if (urgent && patient) || (!urgent && ends) {
            let unsaved = Duration::from_secs(1 << fact.unsaved.min(MAX_UNSAVED_EXPONENT));
            let victim = Victim { task: task.clone(), attempt: *attempt, resources: fact.resources, unsaved };
            by_worker.entry(&fact.worker).or_default().push(victim);
        }
    }
    (0..pass.table.len())
        .filter(|index| pass.table.is_open(*index))
        .map(|index| {
            let worker = pass.table.id(index).clone();
            let patient = by_worker.remove(&worker).unwrap_or_default();
            Candidate { worker, free: pass.table.free(index), patient }
        })
        .collect()
}

fn apply_preemption(candidate: &mut Candidate, victims: &BTreeSet<(Id, Attempt)>, size: &Resources) {
    for victim in candidate.patient.iter().filter(|victim| victims.contains(&(victim.task.clone(), victim.attempt))) {
        candidate.free = candidate.free.checked_add(&victim.resources).unwrap_or(candidate.free);
    }
    candidate.patient.retain(|victim| !victims.contains(&(victim.task.clone(), victim.attempt)));
    candidate.free = candidate.free.saturating_sub(size);
}
