//! The ledger of one worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::task::{Attempt, End, Id};
use model::{Epoch, Incarnation, Resources, WorkerId, WorkloadId};
use wire::{Fact, FactKey, ReserveOrder, StartOrder, TaskFact, TaskState, WorkerFact};
use worker::{AttemptState, Command, Report};

use crate::health::WorkerHealth;
use crate::reservations::Reservations;

/// Durations that decide when the leases on an unreachable worker have expired.
#[derive(Clone, Copy, Debug)]
pub struct LeaseLimits {
    /// Lease of an attempt. The worker counts it from the stamp of the last report that the holder received.
    pub lease: Duration,
    /// Added to the lease to allow for clocks that run at slightly different rates.
    pub margin: Duration,
}

/// The answer to a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Capacity is committed, by this order or by an earlier copy of it.
    Accepted,
    /// The attempt does not fit. Holds the resources that are free for its workload.
    Full(Resources),
    /// The worker accepts no new attempts at present, or an earlier attempt at the task has not ended.
    Closed,
}

/// An attempt that has ended, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The task.
    pub task: Id,
    /// The attempt at the task.
    pub attempt: Attempt,
    /// How the attempt ended.
    pub end: End,
}

#[derive(Clone, Debug)]
struct AttemptEntry {
    resources: Resources,
    patient: bool,
    state: TaskState,
    /// The start command, sent with every batch until the worker answers one that contains it.
    start_command: Option<Command>,
    /// Whether the start command may have reached the worker.
    maybe_sent: bool,
    /// When the stop was first requested.
    stop_requested_at: Option<Instant>,
    /// Whether a stop command was put into a batch.
    stop_sent: bool,
    /// Run time since the last checkpoint, as the base-2 logarithm of seconds.
    unsaved: u8,
    /// Whether this is a service instance, which is drained before it is stopped.
    service: bool,
    /// Whether the end has been stored, so that the worker may forget the attempt.
    acknowledged: bool,
    /// Whether the attempt was started while the worker was on probation.
    trial: bool,
}

/// Delay between the stop request for a service instance and its stop command. During the delay the entry hosts stop
/// routing requests to the instance.
pub const DRAIN_DELAY: Duration = Duration::from_secs(2);

impl AttemptEntry {
    /// Whether the stop command is due: a stop was requested, the drain delay is over and the attempt has not ended.
    fn stop_is_due(&self, now: Instant) -> bool {
        let drain = if self.service { DRAIN_DELAY } else { Duration::ZERO };
        !self.ended() && self.stop_requested_at.is_some_and(|since| now >= since + drain)
    }

    fn ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }
}

type AttemptKey = (Id, Attempt);

/// The capacity and attempts of one worker, as accounted for by its holder.
#[derive(Debug)]
pub struct Ledger {
    worker: WorkerId,
    epoch: Epoch,
    limits: LeaseLimits,
    incarnation: Incarnation,
    capacity: Resources,
    leaving: bool,
    listed_leaving: bool,
    entries: BTreeMap<AttemptKey, AttemptEntry>,
    reservations: Reservations,
    health: WorkerHealth,
    stamp_ms: u64,
    reported_at: Instant,
    reachable: bool,
    leases_expired: bool,
}

impl Ledger {
    /// Creates the ledger of a worker that was just taken over with `epoch`, from the report received at `now`.
    pub fn open(worker: WorkerId, epoch: Epoch, report: Report, limits: LeaseLimits, now: Instant) -> Ledger {
        let mut ledger = Ledger {
            worker,
            epoch,
            limits,
            incarnation: report.incarnation,
            capacity: report.capacity,
            leaving: report.leaving,
            listed_leaving: false,
            entries: BTreeMap::new(),
            reservations: Reservations::default(),
            health: WorkerHealth::default(),
            stamp_ms: report.stamp_ms,
            reported_at: now,
            reachable: true,
            leases_expired: false,
        };
        ledger.apply_report(report, now);
        ledger
    }

    /// Name of the worker.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// The epoch with which the worker is held.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The stamp of the last report, and the lease to grant from it in the next batch.
    pub fn lease(&self) -> (u64, Duration) {
        (self.stamp_ms, self.limits.lease)
    }

    /// Capacity that is not committed.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.committed())
    }

    fn committed(&self) -> Resources {
        let live = self.entries.values().filter(|entry| !entry.ended());
        live.fold(Resources::ZERO, |sum, entry| sum.checked_add(&entry.resources).unwrap_or(self.capacity))
    }

    fn free_for_workload(&self, workload: Option<&WorkloadId>, now: Instant) -> Resources {
        self.free().saturating_sub(&self.reservations.reserved_for_others(workload.map(String::as_str), now))
    }

    fn accepts_work(&self, now: Instant) -> bool {
        let trial_running = self.entries.values().any(|entry| entry.trial && !entry.ended());
        self.reachable && !self.leaving && !self.listed_leaving && self.health.accepts_task(trial_running, now)
    }

    /// Commits capacity for an attempt if the worker accepts it. Repeating an accepted order changes nothing.
    pub fn commit(&mut self, order: &StartOrder, now: Instant) -> CommitResult {
        let key = (order.task.clone(), order.attempt);
        if self.entries.contains_key(&key) {
            return CommitResult::Accepted;
        }
        let earlier_attempt_lives = self.entries.iter().any(|((task, _), entry)| *task == order.task && !entry.ended());
        if earlier_attempt_lives || !self.accepts_work(now) {
            return CommitResult::Closed;
        }
        let free = self.free_for_workload(Some(&order.task.workload), now);
        if !order.resources.fits_in(&free) {
            return CommitResult::Full(free);
        }
        self.reservations.consume(&order.task.workload, &order.resources);
        self.entries.insert(key, self.new_entry(order));
        CommitResult::Accepted
    }

    fn new_entry(&self, order: &StartOrder) -> AttemptEntry {
        let start_command = Command::Start {
            task: order.task.clone(),
            attempt: order.attempt,
            resources: order.resources,
            run: order.run.clone(),
            service: order.service,
            patient: order.patient,
        };
        AttemptEntry {
            resources: order.resources,
            patient: order.patient,
            state: TaskState::Starting,
            start_command: Some(start_command),
            maybe_sent: false,
            stop_requested_at: None,
            stop_sent: false,
            unsaved: 0,
            service: order.service,
            acknowledged: false,
            trial: self.health.on_probation(),
        }
    }

    /// Reserves room for a workload and stops those of the given victims that have the priority `Patient`. Returns
    /// whether all the requested room is free now.
    pub fn reserve(&mut self, order: &ReserveOrder, now: Instant) -> bool {
        self.reservations.insert(order.workload.clone(), order.resources, order.seniority, now);
        for (task, attempt) in &order.victims {
            let patient = self.entries.get(&(task.clone(), *attempt)).is_some_and(|entry| entry.patient);
            if patient {
                self.stop(task, *attempt, now);
            }
        }
        let free = self.free_for_workload(Some(&order.workload), now);
        self.accepts_work(now) && order.resources.fits_in(&free)
    }

    /// Requests the stop of an attempt. An attempt whose start was never sent to the worker ends immediately.
    pub fn stop(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        let Some(entry) = self.entries.get_mut(&(task.clone(), attempt)) else { return };
        if entry.ended() {
            return;
        }
        entry.start_command = None;
        entry.stop_requested_at.get_or_insert(now);
        entry.state = if entry.maybe_sent { TaskState::Stopping } else { TaskState::Ended(End::Stopped) };
    }

    /// Records that the end of an attempt has been stored.
    pub fn acknowledge(&mut self, task: &Id, attempt: Attempt) {
        if let Some(entry) = self.entries.get_mut(&(task.clone(), attempt)) {
            entry.acknowledged = entry.ended();
        }
    }

    /// Sets whether the platform's list of workers marks this worker as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// The commands of the next batch. Each command is repeated until a report shows its effect.
    pub fn commands(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        for ((task, attempt), entry) in &mut self.entries {
            entry.maybe_sent = true;
            commands.extend(entry.start_command.clone());
            if entry.stop_is_due(now) {
                entry.stop_sent = true;
                commands.push(Command::Checkpoint { task: task.clone(), attempt: *attempt });
                commands.push(Command::Stop { task: task.clone(), attempt: *attempt });
            }
            if entry.acknowledged {
                commands.push(Command::Acknowledge { task: task.clone(), attempt: *attempt });
            }
        }
        commands
    }

    /// Whether a batch should be sent now instead of with the next lease renewal.
    pub fn has_urgent_commands(&self, now: Instant) -> bool {
        self.entries.values().any(|entry| {
            entry.start_command.is_some() || entry.acknowledged || (entry.stop_is_due(now) && !entry.stop_sent)
        })
    }

    /// Applies the report received at `now` in reply to a batch with the commands `sent`. Returns the attempts that it
    /// shows as ended.
    pub fn apply_batch_reply(&mut self, sent: &[Command], report: Report, now: Instant) -> Vec<EndedAttempt> {
        for command in sent {
            match command {
                Command::Start { task, attempt, .. } => {
                    if let Some(entry) = self.entries.get_mut(&(task.clone(), *attempt)) {
                        entry.start_command = None;
                    }
                }
                Command::Acknowledge { task, attempt } => self.forget(task, *attempt),
                Command::Stop { .. } | Command::Throttle { .. } | Command::Checkpoint { .. } => {}
            }
        }
        self.apply_report(report, now)
    }

    /// Removes an attempt that its worker has forgotten, provided that its end has been stored.
    pub fn forget(&mut self, task: &Id, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self.entries.get(&key).is_some_and(|entry| entry.acknowledged) {
            self.entries.remove(&key);
        }
    }

    fn apply_report(&mut self, report: Report, now: Instant) -> Vec<EndedAttempt> {
        self.reachable = true;
        self.leases_expired = false;
        self.reported_at = now;
        self.stamp_ms = report.stamp_ms;
        self.incarnation = report.incarnation;
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        let mut reported: BTreeMap<AttemptKey, worker::AttemptReport> = BTreeMap::new();
        for task in report.tasks {
            reported.insert((task.task.clone(), task.attempt), task);
        }
        let mut ended = self.end_missing(&reported);
        for (key, task) in reported {
            ended.extend(self.apply_attempt_report(key, task));
        }
        self.record_results(&ended, now);
        ended
    }

    /// Ends the attempts that the worker should have but did not report: they were lost when the worker restarted.
    fn end_missing(&mut self, reported: &BTreeMap<AttemptKey, worker::AttemptReport>) -> Vec<EndedAttempt> {
        let mut ended = Vec::new();
        for (key, entry) in &mut self.entries {
            let pending = entry.start_command.is_some() || entry.stop_requested_at.is_some();
            if reported.contains_key(key) || entry.ended() || pending {
                continue;
            }
            entry.state = TaskState::Ended(End::Restarted);
            ended.push(EndedAttempt { task: key.0.clone(), attempt: key.1, end: End::Restarted });
        }
        ended
    }

    fn apply_attempt_report(&mut self, key: AttemptKey, task: worker::AttemptReport) -> Option<EndedAttempt> {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| AttemptEntry {
            resources: task.resources,
            patient: task.patient,
            state: TaskState::Starting,
            start_command: None,
            maybe_sent: true,
            stop_requested_at: None,
            stop_sent: false,
            unsaved: 0,
            service: matches!(task.run, AttemptState::Running { address: Some(_) }),
            acknowledged: false,
            trial: false,
        });
        entry.start_command = None;
        if entry.ended() {
            return None;
        }
        entry.unsaved = log2_seconds(task.unsaved_ms);
        match task.run {
            AttemptState::Running { address } if entry.stop_requested_at.is_none() => {
                entry.state = TaskState::Running(address)
            }
            AttemptState::Running { .. } | AttemptState::Stopping => entry.state = TaskState::Stopping,
            AttemptState::Ended { end } => {
                entry.state = TaskState::Ended(end.clone());
                return Some(EndedAttempt { task: key.0, attempt: key.1, end });
            }
        }
        None
    }

    fn record_results(&mut self, ended: &[EndedAttempt], now: Instant) {
        for attempt in ended {
            match &attempt.end {
                End::Finished => {
                    self.health.record_success();
                }
                End::Failed { .. } => {
                    self.health.record_failure(&attempt.task.workload, now);
                }
                End::Stopped | End::Lost | End::Restarted => {}
            }
        }
    }

    /// Records that the worker did not answer. Returns whether it was reachable before.
    pub fn mark_unreachable(&mut self) -> bool {
        std::mem::replace(&mut self.reachable, false)
    }

    /// Ends all attempts on an unreachable worker once their leases have certainly expired, and returns them.
    ///
    /// `sole_holder` means that no other host can have renewed the leases since the last report. The caller knows this
    /// from its peers or from the platform's list.
    pub fn expire_leases(&mut self, sole_holder: bool, now: Instant) -> Vec<EndedAttempt> {
        let expire_at = self.reported_at + self.limits.lease + self.limits.margin;
        if self.reachable || self.leases_expired || !sole_holder || now <= expire_at {
            return Vec::new();
        }
        self.leases_expired = true;
        let mut ended = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.ended() {
                continue;
            }
            entry.start_command = None;
            entry.state = TaskState::Ended(End::Lost);
            ended.push(EndedAttempt { task: key.0.clone(), attempt: key.1, end: End::Lost });
        }
        ended
    }

    /// Whether the worker answered its last batch.
    pub fn reachable(&self) -> bool {
        self.reachable
    }

    /// Whether the worker is on probation.
    pub fn on_probation(&self) -> bool {
        self.health.on_probation()
    }

    /// The fact about the worker that is published to the peers.
    pub fn worker_fact(&mut self, now: Instant) -> WorkerFact {
        self.reservations.expire(now);
        let patient = self.entries.values().filter(|entry| entry.patient && !entry.ended());
        WorkerFact {
            epoch: self.epoch,
            capacity: self.capacity,
            free: self.free_for_workload(None, now),
            patient: patient.fold(Resources::ZERO, |sum, entry| sum.checked_add(&entry.resources).unwrap_or(sum)),
            reachable: self.reachable,
            open: self.accepts_work(now),
            leaving: self.leaving || self.listed_leaving,
            probation: self.health.on_probation(),
            lapsed: self.leases_expired,
        }
    }

    /// The facts about the attempts that are published to the peers.
    pub fn task_facts(&self) -> impl Iterator<Item = (FactKey, Fact)> + '_ {
        self.entries.iter().map(|((task, attempt), entry)| {
            let fact = TaskFact {
                worker: self.worker.clone(),
                state: entry.state.clone(),
                resources: entry.resources,
                patient: entry.patient,
                unsaved: entry.unsaved,
            };
            (FactKey::Task(task.clone(), *attempt), Fact::Task(fact))
        })
    }
}

/// The base-2 logarithm of a time in seconds, rounded down; 0 below two seconds.
fn log2_seconds(milliseconds: u64) -> u8 {
    (milliseconds / 1000).checked_ilog2().unwrap_or(0) as u8
}
