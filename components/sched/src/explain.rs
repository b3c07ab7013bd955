//! Explains to operators why a job is in its current state.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use work::{JobId, State, Unit};

use crate::crashes::Crash;
use crate::engine::{Clock, Engine};
use crate::entry::{Entry, Phase, TaskState, UnitState};

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Explanation {
    /// Its queue.
    pub queue: String,
    /// Its workspace, unless its queue is public.
    pub workspace: Option<String>,
    /// Its state as callers see it.
    pub state: String,
    /// Milliseconds since it was accepted.
    pub age_ms: u64,
    /// Its steps in the rounds that have been opened.
    pub steps: Vec<StepExplanation>,
}

/// State of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StepExplanation {
    /// Round of a repeated job, else 0.
    pub round: u32,
    /// Number of the step.
    pub step: u16,
    /// Number of tasks that are done.
    pub done: usize,
    /// Placed tasks, as `INDEX on WORKER, attempt N`.
    pub placed: Vec<String>,
    /// Number of tasks that wait for a worker.
    pub waiting: usize,
    /// Number of failed runs.
    pub failed: usize,
    /// Worker ends that are attributed to tasks, as `INDEX: WORKER (EVIDENCE), ...`.
    pub ended_workers: Vec<String>,
    /// Why tasks wait; empty if none does.
    pub why: String,
}

impl Engine {
    /// The state of a job and the reasons for it.
    pub fn explain(&self, clock: Clock, id: JobId) -> Option<Explanation> {
        let entry = self.jobs.get(&id)?;
        let state = match self.state(id)? {
            State::Queued => "queued".to_owned(),
            State::Running => "running".to_owned(),
            State::Ended(outcome) => format!("{outcome:?}").to_lowercase(),
        };
        let steps = entry.units.iter().map(|((round, step), unit)| {
            let name = Unit { job: id, round: *round, step: *step };
            self.explain_step(clock, entry, name, unit)
        });
        Some(Explanation {
            queue: entry.queue.clone(),
            workspace: self.workspace(id).cloned(),
            state,
            age_ms: clock.now.saturating_sub(entry.accepted.now).as_millis() as u64,
            steps: steps.collect(),
        })
    }

    fn explain_step(&self, clock: Clock, entry: &Entry, name: Unit, unit: &UnitState) -> StepExplanation {
        let placed = unit.tasks.iter().enumerate().filter_map(|(index, task)| match &task.phase {
            Phase::Held(worker, attempt) => Some(format!("{index} on {worker}, attempt {attempt}")),
            Phase::Pending | Phase::Done => None,
        });
        StepExplanation {
            round: name.round,
            step: name.step,
            done: unit.done,
            placed: placed.collect(),
            waiting: unit.pending,
            failed: unit.failed.len() + unit.tasks.iter().map(|task| task.failed.len()).sum::<usize>(),
            ended_workers: unit
                .tasks
                .iter()
                .enumerate()
                .filter_map(|(index, task)| ended_workers(index, task))
                .collect(),
            why: if unit.pending == 0 { String::new() } else { self.wait_reason(clock, entry, name, unit) },
        }
    }

    /// Why the pending tasks of a step wait: the first obstacle to starting them.
    pub(crate) fn wait_reason(&self, clock: Clock, entry: &Entry, name: Unit, unit: &UnitState) -> String {
        if entry.outcome.is_some() {
            return "the job has ended".to_owned();
        }
        if entry.accepted.position > self.durable {
            return "the job isn't durable in the store yet".to_owned();
        }
        if !entry.unblocked(name.round, name.step) {
            return "steps that it depends on aren't done".to_owned();
        }
        if let Some(worker) = self.unresolved(unit) {
            return match self.may_have_unlisted_ends(worker) {
                true => format!("a task may have ended on {worker}, which lists only a part of its ended runs"),
                false => format!("a task may still run on {worker}, which hasn't answered since the last takeover"),
            };
        }
        if unit.awaits_worker_ends() {
            return "too many workers on which a task ran have ended or are silent; it waits until the silent ones answer or have ended".to_owned();
        }
        let Some(queue) = self.queues.get(&entry.queue) else {
            return format!("the configuration (version {}) has no queue {}", self.config.version, entry.queue);
        };
        let Some(step) = entry.step(name.step) else { return String::new() };
        if let Some(why) = self.quota_wait_reason(entry, step, unit.pending) {
            return why;
        }
        let room = self.room(clock);
        let suitable = room.places.iter().filter(|place| place.is_suitable(queue, step));
        let start_arrival = self.start_arrival(clock);
        let (mut workers, mut fitting, mut with_ticket) = (0, 0, 0);
        for place in suitable {
            workers += 1;
            let slots = place.tasks(unit, step);
            fitting += slots;
            if queue.advice.is_none() || unit.advice.allows(place.number, start_arrival) {
                with_ticket += slots;
            }
        }
        let asking = if !unit.advice.asking.is_empty() { "; the advice service is being asked" } else { "" };
        let gang = if step.gang { ", all at once" } else { "" };
        let excess = if self.is_excess(name.job) { "; the job is beyond its workspace's share" } else { "" };
        format!(
            "{} tasks need places{gang}: {workers} suitable workers have room for {fitting}, those with a ticket for {with_ticket}{asking}{excess}",
            unit.pending
        )
    }
}

/// Worker ends that are attributed to a task, if there are any.
fn ended_workers(index: usize, task: &TaskState) -> Option<String> {
    let named = |crash: &Crash| format!("{} ({})", crash.worker, crash.evidence.name());
    let workers: Vec<String> = task.crashes.iter().map(named).collect();
    (!workers.is_empty()).then(|| format!("{index}: {}", workers.join(", ")))
}
