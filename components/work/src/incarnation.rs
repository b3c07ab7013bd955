//! Incarnations of workers. A restarted worker may keep its name, while everything known about it holds for one incarnation only.

use std::fmt;

use crate::WorkerId;

/// Separates the worker's name from its start time in a worker id.
const SEPARATOR: char = '@';

/// One incarnation of a worker. Its text form is the worker id used everywhere: `NAME`, or `NAME@BORN` on a platform that reports
/// when a worker started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation<'a> {
    /// Name of the worker on the platform.
    pub name: &'a str,
    /// Start time by the worker's own clock, in milliseconds since 1970. If it is unknown, the name alone identifies the
    /// incarnation.
    pub born: Option<u64>,
}

impl<'a> WorkerIncarnation<'a> {
    /// Parses a worker id. An id without a valid start time is taken as a name.
    pub fn from_id(id: &'a str) -> WorkerIncarnation<'a> {
        let parts = id.split_once(SEPARATOR);
        match parts.and_then(|(name, born)| Some((name, born.parse().ok()?))) {
            Some((name, born)) => WorkerIncarnation { name, born: Some(born) },
            None => WorkerIncarnation { name: id, born: None },
        }
    }

    /// Returns whether `text` can be the name in a worker id: it isn't empty and doesn't contain the separator.
    pub fn is_valid_name(text: &str) -> bool {
        !text.is_empty() && !text.contains(SEPARATOR)
    }

    /// Formats the worker id.
    pub fn id(&self) -> WorkerId {
        self.to_string()
    }
}

impl fmt::Display for WorkerIncarnation<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(out, "{}{SEPARATOR}{born}", self.name),
            None => out.write_str(self.name),
        }
    }
}
