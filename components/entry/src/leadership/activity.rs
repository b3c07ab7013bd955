//! What the leader does, as one log line a second. A leader that is short of processor time shows a long scheduling lag,
//! long passes, deferred units, and starts that are rejected because their tickets have expired.

use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use sched::{OrderOutcome, Pace, Pass};

use crate::leadership::Leadership;

/// Counts since the last line.
#[derive(Debug, Default)]
pub(crate) struct Activity(Mutex<Counts>);

#[derive(Debug, Default)]
struct Counts {
    passes: u32,
    /// Total time of the passes.
    planning: Duration,
    longest_pass: Duration,
    examined: usize,
    starts: u32,
    /// Starts that were rejected because their tickets had expired.
    expired_tickets: u32,
    questions: u32,
    /// Sum and maximum of the scheduling lag, and the number of samples.
    lag: Duration,
    longest_lag: Duration,
    lag_samples: u32,
}

impl Activity {
    /// Records how long after its due time a timer of the leader ran.
    pub(crate) fn note_lag(&self, lag: Duration) {
        let mut counts = self.0.lock();
        counts.lag += lag;
        counts.longest_lag = counts.longest_lag.max(lag);
        counts.lag_samples += 1;
    }

    pub(crate) fn note_pass(&self, pass: &Pass, took: Duration) {
        let mut counts = self.0.lock();
        counts.passes += 1;
        counts.planning += took;
        counts.longest_pass = counts.longest_pass.max(took);
        counts.examined += pass.examined;
    }

    pub(crate) fn note_start(&self, outcome: OrderOutcome) {
        let mut counts = self.0.lock();
        counts.starts += u32::from(outcome == OrderOutcome::Started);
        counts.expired_tickets += u32::from(outcome == OrderOutcome::Ticket);
    }

    pub(crate) fn note_question(&self) {
        self.0.lock().questions += 1;
    }
}

/// Logs the counts and starts anew. `pass` is the last pass, `cpu` the processor time of the process since the last line,
/// and `starting` the number of starts that are decided and not answered yet.
pub(crate) fn log(leadership: &Leadership, pass: &Pass, pace: &Pace, cpu: Duration, starting: usize) {
    let counts = std::mem::take(&mut *leadership.activity.0.lock());
    let host = &leadership.host;
    let (job_bytes, job_bytes_limit) = (leadership.memory(), host.job_memory_limit());
    emit!(host.log, events::LEADER_ACTIVITY, "term" => leadership.term, "passes" => counts.passes,
        "planning_ms" => counts.planning.as_millis() as u64, "longest_us" => counts.longest_pass.as_micros() as u64,
        "examined" => counts.examined, "deferred" => pass.deferred(),
        "deferred_ms" => pass.longest_wait.as_millis() as u64, "starts" => counts.starts,
        "starting" => starting, "under_way" => leadership.starts_under_way(), "window" => pace.window(),
        "expired_tickets" => counts.expired_tickets, "questions" => counts.questions,
        "cpu_ms" => cpu.as_millis() as u64, "longest_lag_us" => counts.longest_lag.as_micros() as u64,
        "mean_lag_us" => counts.lag.checked_div(counts.lag_samples).unwrap_or_default().as_micros() as u64,
        "job_bytes" => job_bytes, "job_bytes_limit" => job_bytes_limit,
        "followers" => host.followers.lock().len(), "unconfirmed_ms" => leadership.unconfirmed_for().as_millis() as u64);
}
