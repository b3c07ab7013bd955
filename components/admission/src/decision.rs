//! The decision on a new job.

use std::time::Duration;

use crate::load::Budget;

/// Whether a new job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted(Admission),
    Refused(Refusal),
}

/// Why a job is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It can end while its result has value.
    Servable,
    /// It came back at or after its reserved time.
    Returned,
    /// It was admitted before, and the scheduler may not know it yet.
    Repeated,
    /// There is no recent snapshot of the load.
    Unmeasured,
}

impl Admission {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Admission::Servable => "admitted",
            Admission::Returned => "returned",
            Admission::Repeated => "repeated",
            Admission::Unmeasured => "unmeasured",
        }
    }
}

/// Why a job is refused, and when it should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The budget with the longest wait.
    pub budget: Budget,
    /// Expected time from now to the end of the job.
    pub end: Duration,
    /// The time by which it would have to end.
    pub limit: Duration,
    /// Number of waiting jobs that would run first.
    pub waiting: usize,
    /// Age of the snapshot on which the forecast is based.
    pub age: Duration,
    /// Whole seconds, at least 1.
    pub retry_after: Duration,
}
