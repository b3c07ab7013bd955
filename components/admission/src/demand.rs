//! What a new job needs, and by when.

use std::time::Duration;

use work::{QueueName, WorkspaceName};

use crate::load::{Class, Work};

/// What a new job needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub queue: QueueName,
    /// `None` if the queue is public.
    pub workspace: Option<WorkspaceName>,
    pub class: Class,
    pub work: Work,
    /// Duration of the job without any wait, by the caller's estimates.
    pub critical_path: Duration,
    /// Target for the time from acceptance to end.
    pub objective: Duration,
    /// The result has no value after this time.
    pub limit: Duration,
}
