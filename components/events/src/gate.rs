//! Bounds how many lines of a kind are written in a second, so that no trouble floods the log.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::ALL;

/// Most lines of one kind in a second: several times the starts of a busy leader.
pub const LINES_A_SECOND: u32 = 2500;

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is written.
    Written,
    /// It is written; so many before it were left out in an earlier second.
    WrittenAfter(u32),
    /// It is left out, and counted.
    LeftOut,
}

/// Counts the lines of one kind.
#[derive(Debug, Default)]
pub struct Gate {
    /// The second that is counted, from the first line of the process.
    second: AtomicU64,
    /// Lines of that second.
    lines: AtomicU32,
}

impl Gate {
    /// Decides on a line at this time.
    pub fn admit(&self, now: Duration) -> Admission {
        let second = now.as_secs();
        if self.second.swap(second, Ordering::AcqRel) != second {
            let before = self.lines.swap(1, Ordering::AcqRel);
            return match before.saturating_sub(LINES_A_SECOND) {
                0 => Admission::Written,
                left_out => Admission::WrittenAfter(left_out),
            };
        }
        match self.lines.fetch_add(1, Ordering::AcqRel) < LINES_A_SECOND {
            true => Admission::Written,
            false => Admission::LeftOut,
        }
    }
}

/// Decides on a line of an event that is written now.
pub fn admit(number: u16) -> Admission {
    static BEGAN: LazyLock<Instant> = LazyLock::new(Instant::now);
    static GATES: LazyLock<Vec<Gate>> = LazyLock::new(|| ALL.iter().map(|_| Gate::default()).collect());
    let gate = ALL.binary_search_by_key(&number, |event| event.number).ok().and_then(|index| GATES.get(index));
    gate.map_or(Admission::Written, |gate| gate.admit(BEGAN.elapsed()))
}
