//! Metrics of each queue. They are removed when the leadership ends.

use metrics::queues::Load;
use sched::{Engine, OrderOutcome};
use work::{JobId, QueueName};

use crate::leadership::Leadership;

const MILLI_PER_CORE: f64 = 1000.0;

/// Shows what each queue uses.
pub(crate) fn show(leadership: &Leadership, engine: &Engine) {
    let load = |queue: sched::usage::Queue| Load {
        queue: queue.name,
        cores: queue.cpu_milli as f64 / MILLI_PER_CORE,
        waiting_tasks: queue.waiting_tasks,
    };
    let loads = engine.usage().into_iter().map(load).collect();
    leadership.host.metrics.queues.show(leadership.term, loads);
}

/// Counts a question about a job that has ended, with the number of tickets in the answer.
pub(crate) fn record_question(leadership: &Leadership, job: JobId, tickets: usize) {
    let queue = leadership.engine.lock().queue(job).cloned();
    if let Some(queue) = queue {
        leadership.host.metrics.queues.record_question(leadership.term, &queue, tickets);
    }
}

/// Counts a start order that its worker carried out.
pub(crate) fn record_start(leadership: &Leadership, queue: Option<QueueName>, outcome: OrderOutcome) {
    if let (Some(queue), OrderOutcome::Started) = (queue, outcome) {
        leadership.host.metrics.queues.record_start(leadership.term, &queue);
    }
}
