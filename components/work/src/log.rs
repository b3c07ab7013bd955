//! The log in the store: numbered parts, several of which may be on their way at once.
//!
//! Each part is written on the condition that nobody else has claimed the leadership since, so once a new leader's claim is done
//! the log doesn't change any more. A part counts when all parts of its term before it are written. Without an answer a writer
//! can't know that, so a part may stand behind a gap: nothing of it was acted on, and the next leader takes it for not written.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Record, Term};

/// Names a part: parts are ordered by term, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Counts from [`FIRST_PART`] in each term.
    pub number: u64,
}

/// Number of the first part of a term. No part of an earlier term may be removed before it is known to be written.
pub const FIRST_PART: u64 = 1;

/// A part of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// All parts of its term below this number were known to be written when this one was sent.
    pub settled: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// What a new leader makes of the parts in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassifiedParts {
    /// Parts that count, in order.
    pub valid: Vec<(PartId, Part)>,
    /// Parts behind a gap. The transaction that writes the new leader's first part must remove them: from then on all parts of
    /// earlier terms count. Not sooner, since some tell what else counts; those stand last.
    pub stale: Vec<PartId>,
}

/// Tells the parts that count from those that stand behind a gap.
pub fn classify_parts(parts: impl IntoIterator<Item = (PartId, Part)>) -> ClassifiedParts {
    let mut terms: BTreeMap<Term, Vec<(PartId, Part)>> = BTreeMap::new();
    for (id, part) in parts {
        terms.entry(id.term).or_default().push((id, part));
    }
    let mut read = ClassifiedParts::default();
    // With its first part a leader removes what is stale, so below a term whose first part is written all parts count.
    let mut newest = true;
    let mut stales = Vec::new();
    for (_, mut parts) in terms.into_iter().rev() {
        parts.sort_by_key(|(id, _)| *id);
        if newest {
            let settled = parts.iter().map(|(_, part)| part.settled).max().unwrap_or_default();
            let counting = counting(&parts, settled);
            let stale = parts.drain(counting..).map(|(id, part)| (part.settled == settled, id));
            stales.extend(stale);
            newest = counting == 0 && settled <= FIRST_PART;
        }
        read.valid.extend(parts.into_iter().rev());
    }
    read.valid.reverse();
    stales.sort();
    read.stale = stales.into_iter().map(|(_, id)| id).collect();
    read
}

/// How many parts of one term count; the others stand behind a gap. What is missing below the settled number was removed.
fn counting(parts: &[(PartId, Part)], settled: u64) -> usize {
    let mut next = settled;
    let counts = |(id, _): &&(PartId, Part)| {
        let counts = id.number <= next;
        next = next.max(id.number + 1);
        counts
    };
    parts.iter().take_while(counts).count()
}
