//! Admission control: takes snapshots of the load, and refuses jobs that can't end while their results have value.
//!
//! The state is part of one term; the next leader starts with the jobs in the log and without reservations.

use std::time::Duration;

use admission::{Budget, Controller, Decision, Load, Refusal};
use events::emit;
use parking_lot::Mutex;
use sched::{Clock, Engine, Owner};
use work::{Job, JobId};

use crate::leadership::{Leadership, advice};
use crate::message::Answer;

/// How often a snapshot of the load is taken. Urgent jobs have about half a second to spare, so that a forecast must
/// follow a burst faster than that.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// State of admission control.
#[derive(Default)]
pub(super) struct State {
    controller: Mutex<Controller>,
    /// When the last snapshot was taken.
    taken_at: Mutex<Option<Duration>>,
}

impl Leadership {
    /// Takes a snapshot of the load if one is due.
    pub(super) fn take_load(&self, clock: Clock, engine: &mut Engine) -> Option<Load> {
        if !self.host.settings.overload_protection {
            return None;
        }
        let mut taken_at = self.admission.taken_at.lock();
        if taken_at.is_some_and(|at| clock.now.saturating_sub(at) < LOAD_INTERVAL) {
            return None;
        }
        *taken_at = Some(clock.now);
        Some(engine.load(clock))
    }

    /// Bases decisions on a new snapshot, and publishes the forecast for the other hosts.
    pub(super) fn apply_load(&self, load: Load) {
        let at = load.at;
        let hosts = advice::hosts(self);
        let hosts = admission::Hosts { total: hosts.all, asking: hosts.all - hosts.free };
        let load = Load { hosts, ..load };
        let forecast = {
            let mut controller = self.admission.controller.lock();
            controller.update(load);
            controller.forecast(at)
        };
        for (queue, wait) in forecast.queues.keys().filter_map(|queue| Some((queue, forecast.wait(queue)?))) {
            self.host.metrics.set_forecast_wait(queue, wait.wait);
        }
        self.host.heartbeats.note_forecast(at, forecast);
    }

    /// Refuses a job that can't end while its result has value, before anything is recorded. A job that is known to
    /// the scheduler is never refused.
    pub(super) fn overload_refusal(&self, id: JobId, owner: &Owner, job: &Job) -> Option<Answer> {
        if !self.host.settings.overload_protection {
            return None;
        }
        let demand = {
            let engine = self.engine.lock();
            if engine.has_job(id) {
                return None;
            }
            engine.demand(self.host.clock(), owner, job)?
        };
        let decision = self.admission.controller.lock().decide(self.host.started.elapsed(), id, &demand);
        match decision {
            Decision::Admitted(admission) => {
                self.host.metrics.record_admission(&owner.queue, admission.name());
                None
            }
            Decision::Refused(refusal) => Some(self.report_refusal(id, owner, &refusal)),
        }
    }

    fn report_refusal(&self, id: JobId, owner: &Owner, refusal: &Refusal) -> Answer {
        let Refusal { budget, end, limit, waiting, age, retry_after } = *refusal;
        self.host.metrics.record_admission(&owner.queue, refusal_name(budget));
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => "it can't end in time",
            "queue" => &owner.queue, "workspace" => &owner.workspace, "budget" => budget.name(),
            "forecast_ms" => end.as_millis() as u64, "limit_ms" => limit.as_millis() as u64, "waiting" => waiting,
            "age_ms" => age.as_millis() as u64, "retry_after_ms" => retry_after.as_millis() as u64,
            "term" => self.term);
        Answer::Refused(retry_after)
    }
}

/// The outcome in metrics of a job that was refused for a budget.
fn refusal_name(budget: Budget) -> &'static str {
    match budget {
        Budget::Room => "refused_room",
        Budget::Advice => "refused_advice",
        Budget::Starts => "refused_starts",
    }
}
