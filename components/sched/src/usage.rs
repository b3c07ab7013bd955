//! What each queue uses and waits for, for metrics.

use std::collections::BTreeMap;

use work::{JobId, QueueName};

use crate::engine::Engine;
use crate::entry::{Entry, TaskState, UnitState};
use crate::reports::taken_room;

/// Usage of one queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    pub name: QueueName,
    /// Processor time that its runs take, in thousandths of a core. Includes every run that is, or may be, on a worker:
    /// from the decision to start it until it has certainly ended.
    pub cpu_milli: u64,
    /// Tasks that wait for a worker. Tasks of steps that wait for other steps aren't counted.
    pub waiting_tasks: usize,
}

/// Usage by the name of the queue.
type ByName<'a> = BTreeMap<&'a str, Queue>;

impl Engine {
    /// Usage of all configured queues, and of those that have left the configuration while their jobs still run or
    /// wait, in order of their names.
    ///
    /// Goes through all runs and all units of live jobs, so callers that need it often should keep the result for a
    /// second.
    pub fn usage(&self) -> Vec<Queue> {
        let mut usage = ByName::new();
        for name in self.queues.keys() {
            queue(&mut usage, name);
        }
        self.add_runs(&mut usage);
        for entry in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            self.add_pending(&mut usage, entry);
        }
        usage.into_values().collect()
    }

    /// The queue of a known job.
    pub fn queue(&self, id: JobId) -> Option<&QueueName> {
        self.jobs.get(&id).map(|entry| &entry.queue)
    }

    /// Adds the runs on workers. Runs of unknown jobs belong to no queue.
    fn add_runs<'a>(&'a self, usage: &mut ByName<'a>) {
        for worker in self.workers.values() {
            for ((task, _), run) in &worker.runs {
                if let Some(name) = self.queue(task.unit.job) {
                    queue(usage, name).cpu_milli += u64::from(run.need.cpu_milli);
                }
            }
        }
    }

    /// Adds the pending tasks of a job. One that may still run where an earlier leader placed it counts as a run.
    fn add_pending<'a>(&'a self, usage: &mut ByName<'a>, entry: &'a Entry) {
        for ((round, number), unit) in &entry.units {
            let Some(step) = entry.step(*number).filter(|_| unit.pending > 0) else { continue };
            let unseen = self.unseen_runs(unit);
            let waiting = if entry.unblocked(*round, *number) { unit.pending.saturating_sub(unseen) } else { 0 };
            if unseen > 0 || waiting > 0 {
                let row = queue(usage, &entry.queue);
                row.cpu_milli += u64::from(taken_room(step).cpu_milli) * unseen as u64;
                row.waiting_tasks += waiting;
            }
        }
    }

    /// Number of a unit's pending tasks that may run on workers that haven't answered this leader yet.
    fn unseen_runs(&self, unit: &UnitState) -> usize {
        let unseen = self.unseen();
        let is_unseen =
            |task: &&TaskState| task.inherited.as_ref().is_some_and(|inherited| unseen.may_run(&inherited.worker));
        unit.tasks.iter().filter(is_unseen).count()
    }
}

/// The usage of a queue, which is 0 at first.
fn queue<'a, 'b>(usage: &'b mut ByName<'a>, name: &'a QueueName) -> &'b mut Queue {
    usage.entry(name).or_insert_with(|| Queue { name: name.clone(), ..Queue::default() })
}
