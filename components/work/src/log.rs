//! The job log in the store: numbered parts, several of which may be in flight at once.
//!
//! Each part is written on the condition that no other host has claimed the leadership since, so the log no longer changes once
//! a new leader's claim is committed. A part is valid if all parts of its term before it are written. A writer can't know this
//! without an answer, so a part may come after a gap: the leader never acted on its records, and the next leader treats it as
//! not written.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Record, Term};

/// Identifies a part. Parts are ordered by term, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// Term of the leader that wrote the part.
    pub term: Term,
    /// Sequence number within the term, starting at [`FIRST_PART`].
    pub number: u64,
}

/// Number of the first part of a term. No part of an earlier term may be removed before this one is known to be written.
pub const FIRST_PART: u64 = 1;

/// Upper bound on the encoded size of a part without its records: two numbers.
pub const PART_OVERHEAD: usize = 20;

/// A part of the log, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// All parts of the term below this number were known to be written when this part was sent.
    pub settled: u64,
    pub records: Vec<Record>,
}

/// The parts in the store, as a new leader classifies them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassifiedParts {
    /// Valid parts, in order.
    pub valid: Vec<(PartId, Part)>,
    /// Parts after a gap. The transaction that writes the new leader's first part must remove them, because from then on all
    /// parts of earlier terms are valid. They must not be removed sooner: some carry the `settled` number that determines which
    /// other parts are valid. Those come last.
    pub stale: Vec<PartId>,
}

/// Separates valid parts from those after a gap.
pub fn classify_parts(parts: impl IntoIterator<Item = (PartId, Part)>) -> ClassifiedParts {
    let mut terms: BTreeMap<Term, Vec<(PartId, Part)>> = BTreeMap::new();
    for (id, part) in parts {
        terms.entry(id.term).or_default().push((id, part));
    }
    let mut classified = ClassifiedParts::default();
    // A leader removes the stale parts with its first part, so all parts of the terms before a started one are valid.
    let mut may_have_gaps = true;
    let mut stale_parts = Vec::new();
    for (_, mut parts) in terms.into_iter().rev() {
        parts.sort_by_key(|(id, _)| *id);
        if may_have_gaps {
            let settled = parts.iter().map(|(_, part)| part.settled).max().unwrap_or_default();
            let valid = valid_prefix_len(&parts, settled);
            let stale = parts.drain(valid..).map(|(id, part)| (part.settled == settled, id));
            stale_parts.extend(stale);
            may_have_gaps = valid == 0 && settled <= FIRST_PART;
        }
        classified.valid.extend(parts.into_iter().rev());
    }
    classified.valid.reverse();
    stale_parts.sort();
    classified.stale = stale_parts.into_iter().map(|(_, id)| id).collect();
    classified
}

/// Returns how many parts of one term are valid; the others come after a gap. Parts missing below the settled number were
/// removed after they had been written.
fn valid_prefix_len(parts: &[(PartId, Part)], settled: u64) -> usize {
    let mut next_number = settled;
    let is_valid = |(id, _): &&(PartId, Part)| {
        let is_valid = id.number <= next_number;
        next_number = next_number.max(id.number + 1);
        is_valid
    };
    parts.iter().take_while(is_valid).count()
}
