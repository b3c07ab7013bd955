//! The parts of the log in the store: reading them when a leadership starts, and deleting old ones.

use std::collections::BTreeSet;
use std::time::Duration;

use anyhow::bail;
use events::emit;
use work::log::{PART_OVERHEAD, Part, PartId};
use work::{JobId, Record, WorkerId};

use crate::claim::TERM_KEY;
use crate::host::Host;
use crate::leadership::{Claim, Leadership};
use crate::services::{CommitOutcome, KeyValue, Transaction};

/// Key prefix of the parts.
const LOG_PREFIX: &str = "walkhook/log/";
/// Header of a part's value: a zero byte and the format version. Parts from versions before workspaces have no
/// header; they begin with a byte of at least 1.
const FORMAT: [u8; 2] = [0, 5];
/// Older formats, which only lack some records. They are still read so that hosts can be upgraded one after the
/// other. A host of an older version can't lead once this one has.
const OLDER_FORMATS: [[u8; 2]; 3] = [[0, 2], [0, 3], [0, 4]];
/// Maximum number of parts deleted by one transaction: the store accepts 32 entries.
const MAX_REMOVED: usize = 24;
/// Parts are deleted after this time. Most of their jobs have ended by then, and of those only the outcome is written
/// again, so a new leader reads a few seconds' worth of jobs, even over a slow link.
const PART_RETENTION: Duration = Duration::from_secs(12);
/// Timeout of a deletion, and the number of tries before the claim is given up.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_REMOVAL_TRIES: u32 = 3;

/// A part of the log in the store.
#[derive(Clone, Debug)]
pub(crate) struct StoredPart {
    id: PartId,
    written: Duration,
    /// Jobs that were accepted or ended in this part.
    jobs: Vec<JobId>,
    /// Workers named in this part.
    workers: Vec<WorkerId>,
    /// Position at which everything still needed from this part was written again.
    rewritten: Option<u64>,
    /// Whether a transaction that deletes it is in flight.
    removing: bool,
    /// Memory of its records, in bytes.
    memory: usize,
}

impl StoredPart {
    /// Metadata of a part with these records.
    pub(crate) fn new(id: PartId, written: Duration, records: &[Record]) -> StoredPart {
        StoredPart {
            id,
            written,
            jobs: records.iter().filter_map(Record::job).collect(),
            workers: records.iter().filter_map(Record::worker).cloned().collect(),
            rewritten: None,
            removing: false,
            memory: records.iter().map(sched::record_memory).sum(),
        }
    }
}

/// Memory that the records in the log take when they are read, in bytes.
pub(crate) fn memory(leadership: &Leadership) -> usize {
    leadership.parts.lock().iter().map(|part| part.memory).sum()
}

/// Key of a part; keys sort in the order of the parts.
pub(crate) fn part_key(id: PartId) -> String {
    format!("{LOG_PREFIX}{:010}/{:012}", id.term, id.number)
}

fn part_id(key: &str) -> Option<PartId> {
    let (term, number) = key.strip_prefix(LOG_PREFIX)?.split_once('/')?;
    Some(PartId { term: term.parse().ok()?, number: number.parse().ok()? })
}

/// Maximum total size of the records of a part whose value has at most `max_value` bytes.
pub(crate) fn max_records_size(max_value: usize) -> usize {
    max_value.saturating_sub(FORMAT.len() + PART_OVERHEAD)
}

/// Encodes the value of a part.
pub(crate) fn encode(part: &Part) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(part, FORMAT.to_vec())
}

/// The log as read by a new leader.
pub(crate) struct LoadedLog {
    /// Valid parts, in order.
    pub log: Vec<(PartId, Part)>,
    /// Parts to be deleted by its first transaction.
    pub stale: Vec<PartId>,
}

/// Reads the log.
pub(crate) async fn load(host: &Host, claim: &Claim) -> anyhow::Result<LoadedLog> {
    let items = host.services.store.range(LOG_PREFIX).await?;
    let readable =
        |item: &&KeyValue| [FORMAT].iter().chain(&OLDER_FORMATS).any(|format| item.value.starts_with(format));
    if let Some(item) = items.iter().find(|item| !readable(item)) {
        bail!("{} was written by another version of this program: its format is not {}", item.key, FORMAT[1]);
    }
    // The values are dropped as they are decoded, since a log may take much of the memory.
    let read = work::log::classify_parts(items.into_iter().filter_map(|item| read_part(host, &item)));
    let (excess, stale) = read.stale.split_at(read.stale.len().saturating_sub(MAX_REMOVED));
    for parts in excess.chunks(MAX_REMOVED) {
        remove(host, claim, parts).await?;
    }
    Ok(LoadedLog { log: read.valid, stale: stale.to_vec() })
}

/// Deletes parts, unless another host has claimed leadership.
async fn remove(host: &Host, claim: &Claim, parts: &[PartId]) -> anyhow::Result<()> {
    let transaction = Transaction {
        expected: vec![(TERM_KEY.to_owned(), claim.revision)],
        puts: Vec::new(),
        removes: parts.iter().map(|id| part_key(*id)).collect(),
    };
    for _ in 0..MAX_REMOVAL_TRIES {
        match host.services.store.commit(&transaction, REMOVAL_TIMEOUT).await {
            Ok(CommitOutcome::Done(_)) => return Ok(()),
            Ok(CommitOutcome::Conflict(_) | CommitOutcome::NoLease) => bail!("another host has claimed leadership"),
            Err(error) => emit!(host.log, events::PLATFORM_FAILED, "call" => "deletion of log parts",
                "fault" => error.to_string()),
        }
    }
    bail!("stale parts of the log cannot be deleted")
}

/// Decodes a part of the log. An unreadable part is logged and skipped.
fn read_part(host: &Host, item: &KeyValue) -> Option<(PartId, Part)> {
    let unreadable = |error: String| emit!(host.log, events::RECORD_UNREADABLE, "key" => &item.key, "fault" => error);
    let Some(id) = part_id(&item.key) else {
        unreadable("the key does not name a part of the log".to_owned());
        return None;
    };
    match postcard::from_bytes(item.value.get(FORMAT.len()..).unwrap_or_default()) {
        Ok(part) => Some((id, part)),
        Err(error) => {
            unreadable(error.to_string());
            None
        }
    }
}

/// Updates the list of parts after a transaction that deleted `removed` and wrote `part`.
pub(crate) fn update(leadership: &Leadership, part: &Option<(PartId, Part)>, removed: &[PartId]) {
    let mut parts = leadership.parts.lock();
    parts.retain(|part| !removed.contains(&part.id));
    if let Some((id, part)) = part {
        parts.push(StoredPart::new(*id, leadership.host.started.elapsed(), &part.records));
    }
}

/// Writes again what is still needed from old parts, so that these can be deleted. All old parts are handled at once,
/// since each call goes through all workers.
pub(crate) fn rewrite_old(leadership: &Leadership) {
    let now = leadership.host.started.elapsed();
    let mut parts = leadership.parts.lock();
    let kept = parts.iter_mut().filter(|part| !part.removing).take(MAX_REMOVED);
    let old = kept.take_while(|part| now.saturating_sub(part.written) >= PART_RETENTION);
    let mut due: Vec<&mut StoredPart> = old.filter(|part| part.rewritten.is_none()).collect();
    if due.is_empty() {
        return;
    }
    let jobs: BTreeSet<JobId> = due.iter_mut().flat_map(|part| std::mem::take(&mut part.jobs)).collect();
    let workers: BTreeSet<WorkerId> = due.iter_mut().flat_map(|part| std::mem::take(&mut part.workers)).collect();
    let mut engine = leadership.engine.lock();
    engine.rewrite(jobs);
    engine.rewrite_workers(workers);
    let position = engine.position();
    due.into_iter().for_each(|part| part.rewritten = Some(position));
}

/// Old parts whose contents are written again; marks them as being deleted.
pub(crate) fn take_removable(leadership: &Leadership) -> Vec<PartId> {
    let durable = *leadership.durable.borrow();
    let mut parts = leadership.parts.lock();
    let old = parts.iter_mut().filter(|part| !part.removing);
    let old = old.take_while(|part| part.rewritten.is_some_and(|position| position <= durable)).take(MAX_REMOVED);
    let mark_removing = |part: &mut StoredPart| {
        part.removing = true;
        part.id
    };
    old.map(mark_removing).collect()
}
