//! The ledger of one worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::task::{Attempt, End, Id};
use model::{Epoch, Incarnation, Resources, WorkerId, WorkloadId};
use wire::{Fact, FactKey, ReserveOrder, StartOrder, TaskFact, TaskState, WorkerFact};
use worker::{AttemptState, Command, Report};

use crate::reserve::Reservations;
use crate::trust::Trust;

/// Times that the ledger reckons with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Lease of a task, counted by the worker from the stamp of the last report that the holder received.
    pub lease: Duration,
    /// Added to the lease for clocks that run at slightly different speeds.
    pub margin: Duration,
}

/// What becomes of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Committed, now or earlier.
    Accepted,
    /// Does not fit; this much is free for the workload.
    Full(Resources),
    /// The worker takes nothing new now.
    Closed,
}

/// An attempt that ended, for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// What.
    pub task: Id,
    /// Which attempt.
    pub attempt: Attempt,
    /// How.
    pub end: End,
}

#[derive(Clone, Debug)]
struct Entry {
    resources: Resources,
    patient: bool,
    state: TaskState,
    /// Sent until the worker's report shows it.
    start: Option<Command>,
    /// Whether the start may have reached the worker.
    offered: bool,
    /// Since when a stop has been asked for.
    stop: Option<Instant>,
    /// Whether the worker was told to stop it.
    stop_sent: bool,
    /// Run time since the last checkpoint, as a power of two of seconds.
    unsaved: u8,
    /// Whether it answers callers: then they are led elsewhere before it is stopped.
    service: bool,
    /// Whether its end is durable, so that the worker may forget it.
    acknowledged: bool,
    /// Started while the worker was on probation.
    trial: bool,
}

/// A service instance is stopped so long after it was taken out of every entry host's choice.
pub const DRAIN: Duration = Duration::from_secs(2);

impl Entry {
    /// Whether the worker is to be told to stop it now.
    fn stops(&self, now: Instant) -> bool {
        let drain = if self.service { DRAIN } else { Duration::ZERO };
        !self.ended() && self.stop.is_some_and(|since| now >= since + drain)
    }

    fn ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }
}

type Key = (Id, Attempt);

/// The commitments of one held worker.
#[derive(Debug)]
pub struct Ledger {
    worker: WorkerId,
    epoch: Epoch,
    limits: Limits,
    incarnation: Incarnation,
    capacity: Resources,
    leaving: bool,
    listed_leaving: bool,
    entries: BTreeMap<Key, Entry>,
    reservations: Reservations,
    trust: Trust,
    stamp_ms: u64,
    reported_at: Instant,
    reachable: bool,
    lapsed: bool,
}

impl Ledger {
    /// Opens the ledger of a worker that was just taken over with `epoch`, from its report received `now`.
    pub fn open(worker: WorkerId, epoch: Epoch, report: Report, limits: Limits, now: Instant) -> Ledger {
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
            trust: Trust::default(),
            stamp_ms: report.stamp_ms,
            reported_at: now,
            reachable: true,
            lapsed: false,
        };
        ledger.report(report, now);
        ledger
    }

    /// The worker's name.
    pub fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Epoch of the hold.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Stamp and lease for the next batch.
    pub fn lease(&self) -> (u64, Duration) {
        (self.stamp_ms, self.limits.lease)
    }

    /// What is not committed.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.committed())
    }

    fn committed(&self) -> Resources {
        let live = self.entries.values().filter(|entry| !entry.ended());
        live.fold(Resources::ZERO, |sum, entry| sum.checked_add(&entry.resources).unwrap_or(self.capacity))
    }

    fn free_for(&self, workload: Option<&WorkloadId>, now: Instant) -> Resources {
        self.free().saturating_sub(&self.reservations.kept_from(workload.map(String::as_str), now))
    }

    fn open_for_work(&self, now: Instant) -> bool {
        let on_trial = self.entries.values().any(|entry| entry.trial && !entry.ended());
        self.reachable && !self.leaving && !self.listed_leaving && self.trust.open(on_trial, now)
    }

    /// Commits room for an attempt, or says that there is none. Repeating an order changes nothing.
    pub fn commit(&mut self, order: &StartOrder, now: Instant) -> Commit {
        let key = (order.task.clone(), order.attempt);
        if self.entries.contains_key(&key) {
            return Commit::Accepted;
        }
        let earlier_attempt_lives = self.entries.iter().any(|((task, _), entry)| *task == order.task && !entry.ended());
        if earlier_attempt_lives || !self.open_for_work(now) {
            return Commit::Closed;
        }
        let free = self.free_for(Some(&order.task.workload), now);
        if !order.resources.fits_in(&free) {
            return Commit::Full(free);
        }
        self.reservations.consume(&order.task.workload, &order.resources);
        self.entries.insert(key, self.entry(order));
        Commit::Accepted
    }

    fn entry(&self, order: &StartOrder) -> Entry {
        let start = Command::Start {
            task: order.task.clone(),
            attempt: order.attempt,
            resources: order.resources,
            run: order.run.clone(),
            service: order.service,
            patient: order.patient,
        };
        Entry {
            resources: order.resources,
            patient: order.patient,
            state: TaskState::Starting,
            start: Some(start),
            offered: false,
            stop: None,
            stop_sent: false,
            unsaved: 0,
            service: order.service,
            acknowledged: false,
            trial: self.trust.on_probation(),
        }
    }

    /// Keeps room for a workload and stops the patient attempts that stand in its way. Tells whether all the
    /// room is there now.
    pub fn reserve(&mut self, order: &ReserveOrder, now: Instant) -> bool {
        self.reservations.put(order.workload.clone(), order.resources, order.seniority, now);
        for (task, attempt) in &order.victims {
            let patient = self.entries.get(&(task.clone(), *attempt)).is_some_and(|entry| entry.patient);
            if patient {
                self.stop(task, *attempt, now);
            }
        }
        let free = self.free_for(Some(&order.workload), now);
        self.open_for_work(now) && order.resources.fits_in(&free)
    }

    /// Asks for the stop of an attempt. One that was never sent to the worker ends at once.
    pub fn stop(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        let Some(entry) = self.entries.get_mut(&(task.clone(), attempt)) else { return };
        if entry.ended() {
            return;
        }
        entry.start = None;
        entry.stop.get_or_insert(now);
        entry.state = if entry.offered { TaskState::Stopping } else { TaskState::Ended(End::Stopped) };
    }

    /// States that the end of an attempt is durable.
    pub fn acknowledge(&mut self, task: &Id, attempt: Attempt) {
        if let Some(entry) = self.entries.get_mut(&(task.clone(), attempt)) {
            entry.acknowledged = entry.ended();
        }
    }

    /// Takes up whether the platform's list says that the worker is leaving.
    pub fn listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// The commands of the next batch. Each is repeated until a report shows its effect.
    pub fn commands(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        for ((task, attempt), entry) in &mut self.entries {
            entry.offered = true;
            commands.extend(entry.start.clone());
            if entry.stops(now) {
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

    /// Whether a batch should be sent without waiting for the next renewal.
    pub fn urgent(&self, now: Instant) -> bool {
        self.entries
            .values()
            .any(|entry| entry.start.is_some() || entry.acknowledged || (entry.stops(now) && !entry.stop_sent))
    }

    /// Takes in the report that answers a batch made of `sent`, received `now`.
    pub fn batch_answered(&mut self, sent: &[Command], report: Report, now: Instant) -> Vec<Ended> {
        for command in sent {
            match command {
                Command::Start { task, attempt, .. } => {
                    if let Some(entry) = self.entries.get_mut(&(task.clone(), *attempt)) {
                        entry.start = None;
                    }
                }
                Command::Acknowledge { task, attempt } => self.forget(task, *attempt),
                Command::Stop { .. } | Command::Throttle { .. } | Command::Checkpoint { .. } => {}
            }
        }
        self.report(report, now)
    }

    /// Forgets an attempt whose end is durable and that its worker has forgotten.
    pub fn forget(&mut self, task: &Id, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self.entries.get(&key).is_some_and(|entry| entry.acknowledged) {
            self.entries.remove(&key);
        }
    }

    fn report(&mut self, report: Report, now: Instant) -> Vec<Ended> {
        self.reachable = true;
        self.lapsed = false;
        self.reported_at = now;
        self.stamp_ms = report.stamp_ms;
        self.incarnation = report.incarnation;
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        let mut found: BTreeMap<Key, worker::AttemptReport> = BTreeMap::new();
        for task in report.tasks {
            found.insert((task.task.clone(), task.attempt), task);
        }
        let mut ended = self.missing(&found);
        for (key, task) in found {
            ended.extend(self.reported(key, task));
        }
        self.judge(&ended, now);
        ended
    }

    /// Attempts that the worker should have and does not: they have ended with the worker's earlier life.
    fn missing(&mut self, found: &BTreeMap<Key, worker::AttemptReport>) -> Vec<Ended> {
        let mut ended = Vec::new();
        for (key, entry) in &mut self.entries {
            let unsent = entry.start.is_some() || entry.stop.is_some();
            if found.contains_key(key) || entry.ended() || unsent {
                continue;
            }
            entry.state = TaskState::Ended(End::Restarted);
            ended.push(Ended { task: key.0.clone(), attempt: key.1, end: End::Restarted });
        }
        ended
    }

    fn reported(&mut self, key: Key, task: worker::AttemptReport) -> Option<Ended> {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry {
            resources: task.resources,
            patient: task.patient,
            state: TaskState::Starting,
            start: None,
            offered: true,
            stop: None,
            stop_sent: false,
            unsaved: 0,
            service: matches!(task.run, AttemptState::Running { address: Some(_) }),
            acknowledged: false,
            trial: false,
        });
        entry.start = None;
        if entry.ended() {
            return None;
        }
        entry.unsaved = power_of_seconds(task.unsaved_ms);
        match task.run {
            AttemptState::Running { address } if entry.stop.is_none() => entry.state = TaskState::Running(address),
            AttemptState::Running { .. } | AttemptState::Stopping => entry.state = TaskState::Stopping,
            AttemptState::Ended { end } => {
                entry.state = TaskState::Ended(end.clone());
                return Some(Ended { task: key.0, attempt: key.1, end });
            }
        }
        None
    }

    fn judge(&mut self, ended: &[Ended], now: Instant) {
        for one in ended {
            match &one.end {
                End::Finished => {
                    self.trust.succeeded();
                }
                End::Failed { .. } => {
                    self.trust.failed(&one.task.workload, now);
                }
                End::Stopped | End::Lost | End::Restarted => {}
            }
        }
    }

    /// Notes that the worker did not answer. Tells whether that is news.
    pub fn silent(&mut self) -> bool {
        std::mem::replace(&mut self.reachable, false)
    }

    /// Ends all attempts on a silent worker once their leases have surely lapsed. `sole` states that no other
    /// host can have renewed them since: the caller knows it from its peers, or from the platform's list.
    pub fn lapse(&mut self, sole: bool, now: Instant) -> Vec<Ended> {
        let lapses_at = self.reported_at + self.limits.lease + self.limits.margin;
        if self.reachable || self.lapsed || !sole || now <= lapses_at {
            return Vec::new();
        }
        self.lapsed = true;
        let mut ended = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.ended() {
                continue;
            }
            entry.start = None;
            entry.state = TaskState::Ended(End::Lost);
            ended.push(Ended { task: key.0.clone(), attempt: key.1, end: End::Lost });
        }
        ended
    }

    /// Whether the worker answers its holder.
    pub fn reachable(&self) -> bool {
        self.reachable
    }

    /// Whether it is on probation.
    pub fn on_probation(&self) -> bool {
        self.trust.on_probation()
    }

    /// What peers are told of the worker.
    pub fn worker_fact(&mut self, now: Instant) -> WorkerFact {
        self.reservations.expire(now);
        let patient = self.entries.values().filter(|entry| entry.patient && !entry.ended());
        WorkerFact {
            epoch: self.epoch,
            capacity: self.capacity,
            free: self.free_for(None, now),
            patient: patient.fold(Resources::ZERO, |sum, entry| sum.checked_add(&entry.resources).unwrap_or(sum)),
            reachable: self.reachable,
            open: self.open_for_work(now),
            leaving: self.leaving || self.listed_leaving,
            probation: self.trust.on_probation(),
            lapsed: self.lapsed,
        }
    }

    /// What peers are told of the attempts.
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

/// The power of two of seconds that a time has reached; 0 below two seconds.
fn power_of_seconds(milliseconds: u64) -> u8 {
    (milliseconds / 1000).checked_ilog2().unwrap_or(0) as u8
}
