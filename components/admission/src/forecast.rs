//! Forecasts: the wait of one new job, and the waits per queue that the leader tells the other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use work::QueueName;

use crate::load::{Budget, Class};

/// The expected wait of a new job of one queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wait {
    pub class: Class,
    /// `None` if the job would not wait.
    pub budget: Option<Budget>,
    pub wait: Duration,
    /// When a job should come back if it is refused now, in whole seconds; `None` if it is admitted.
    pub retry_after: Option<Duration>,
}

/// The expected waits of all queues.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// For each queue, one wait per class.
    pub queues: BTreeMap<QueueName, Vec<Wait>>,
}

impl Forecast {
    /// When a job of this queue should come back; `None` if the queue doesn't refuse jobs within their workspace's
    /// share. Without a leader nothing is known of the shares.
    pub fn retry_after(&self, queue: &str) -> Option<Duration> {
        self.wait(queue)?.retry_after
    }

    /// The wait of a job that is within its workspace's share.
    pub fn wait(&self, queue: &str) -> Option<&Wait> {
        self.queues.get(queue)?.iter().find(|wait| wait.class == Class::Within)
    }
}

/// The expected course of one new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Outlook {
    /// The budget with the longest wait; `None` if it waits for nothing.
    pub budget: Option<Budget>,
    pub wait: Duration,
    /// The wait that observed waits are compared with: without the correction, and without reserved times; zero for a
    /// job that would be late. Such a job waits less than forecast whenever the jobs that would overtake it are refused,
    /// which says nothing of the rates.
    pub raw_wait: Duration,
    /// Time until a new job like this one could be served in time, if no other jobs come.
    pub relief: Duration,
    /// Number of waiting jobs that run first.
    pub waiting: usize,
}
