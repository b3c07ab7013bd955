//! Lives of workers: a worker that starts again may keep its name. What is known of it holds for one life.

use std::fmt;

use crate::WorkerId;

/// Between a worker's name and its birth in an id.
const SEPARATOR: char = '@';

/// One life of a worker. Its text is the worker's id everywhere: `NAME`, or `NAME@BORN` where the platform tells when it was born.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation<'a> {
    /// The worker's name on the platform.
    pub name: &'a str,
    /// When it started, in milliseconds since 1970 by its own clock. Where that isn't known, the name alone is taken for a life.
    pub born: Option<u64>,
}

impl<'a> WorkerIncarnation<'a> {
    /// The life that an id names.
    pub fn from_id(id: &'a str) -> WorkerIncarnation<'a> {
        let parts = id.split_once(SEPARATOR);
        match parts.and_then(|(name, born)| Some((name, born.parse().ok()?))) {
            Some((name, born)) => WorkerIncarnation { name, born: Some(born) },
            None => WorkerIncarnation { name: id, born: None },
        }
    }

    /// Whether a name can be told from a birth in an id.
    pub fn is_valid_name(text: &str) -> bool {
        !text.is_empty() && !text.contains(SEPARATOR)
    }

    /// Its id.
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
