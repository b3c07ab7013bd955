//! The memory of unrepeatable keys at their home.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use uuid::Uuid;

/// The key of an unrepeatable request: a UUID of version 7, which carries the time it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    id: Uuid,
    created: SystemTime,
}

/// Why a text is not a key that can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Not a UUID of version 7.
    #[error("Idempotency-Key must be a UUID of version 7")]
    Malformed,
    /// Made later than now.
    #[error("Idempotency-Key was made in the future; check the caller's clock")]
    Future,
}

impl IdempotencyKey {
    /// Reads a key; `skew` is how far the caller's clock may be ahead.
    pub fn parse(text: &str, skew: Duration, now: SystemTime) -> Result<IdempotencyKey, KeyError> {
        let id = Uuid::parse_str(text.trim()).map_err(|_| KeyError::Malformed)?;
        if id.get_version_num() != 7 {
            return Err(KeyError::Malformed);
        }
        let (seconds, nanos) = id.get_timestamp().ok_or(KeyError::Malformed)?.to_unix();
        let created = UNIX_EPOCH + Duration::new(seconds, nanos);
        if created > now + skew {
            return Err(KeyError::Future);
        }
        Ok(IdempotencyKey { id, created })
    }

    /// The key in its usual spelling, whatever the caller's was.
    pub fn text(&self) -> String {
        self.id.to_string()
    }

    /// When it was made, by the caller's clock.
    pub fn created(&self) -> SystemTime {
        self.created
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome<A> {
    /// It is the first: run it, then say how it ended.
    First,
    /// The first one runs still: wait for its end.
    Running,
    /// The first one was answered so.
    Answered(A),
    /// Nobody can say any more whether it ran.
    Unknown,
    /// There is no room to remember it, so it must not run.
    Full,
}

#[derive(Clone, Debug)]
enum Entry<A> {
    Running,
    Answered(A, usize),
    Unknown,
}

/// Keys and the answers to them, bounded in number, bytes and time.
#[derive(Debug)]
pub struct IdempotencyStore<A> {
    window: Duration,
    most: usize,
    most_bytes: usize,
    bytes: usize,
    entries: HashMap<Uuid, Entry<A>>,
    by_age: BTreeMap<(SystemTime, Uuid), ()>,
}

impl<A: Clone> IdempotencyStore<A> {
    /// Remembers keys until `window` after they were made, at most `most` of them; none is taken while their
    /// answers have `most_bytes` or more.
    pub fn new(window: Duration, most: usize, most_bytes: usize) -> IdempotencyStore<A> {
        IdempotencyStore { window, most, most_bytes, bytes: 0, entries: HashMap::new(), by_age: BTreeMap::new() }
    }

    /// Takes a request in. A key older than the window is `Unknown`: its memory may be gone.
    pub fn begin(&mut self, key: &IdempotencyKey, now: SystemTime) -> BeginOutcome<A> {
        self.expire(now);
        match self.entries.get(&key.id) {
            Some(Entry::Running) => return BeginOutcome::Running,
            Some(Entry::Answered(answer, _)) => return BeginOutcome::Answered(answer.clone()),
            Some(Entry::Unknown) => return BeginOutcome::Unknown,
            None => {}
        }
        if key.created + self.window <= now {
            return BeginOutcome::Unknown;
        }
        if self.entries.len() >= self.most || self.bytes >= self.most_bytes {
            return BeginOutcome::Full;
        }
        self.entries.insert(key.id, Entry::Running);
        self.by_age.insert((key.created, key.id), ());
        BeginOutcome::First
    }

    /// The answer to a key, when it is remembered.
    pub fn get(&self, key: &IdempotencyKey) -> Option<A> {
        match self.entries.get(&key.id) {
            Some(Entry::Answered(answer, _)) => Some(answer.clone()),
            _ => None,
        }
    }

    /// The request was answered, with an answer of so many bytes.
    pub fn record_answer(&mut self, key: &IdempotencyKey, answer: A, bytes: usize) {
        self.set(key, Entry::Answered(answer, bytes));
    }

    /// Whether the request ran can't be said.
    pub fn record_unknown(&mut self, key: &IdempotencyKey) {
        self.set(key, Entry::Unknown);
    }

    /// The request surely did not run: a later one with the key may.
    pub fn record_not_run(&mut self, key: &IdempotencyKey) {
        self.remove(&(key.created, key.id));
    }

    fn remove(&mut self, age: &(SystemTime, Uuid)) {
        self.by_age.remove(age);
        if let Some(Entry::Answered(_, bytes)) = self.entries.remove(&age.1) {
            self.bytes -= bytes;
        }
    }

    fn set(&mut self, key: &IdempotencyKey, entry: Entry<A>) {
        let Some(known) = self.entries.get_mut(&key.id) else { return };
        if let Entry::Answered(_, bytes) = &entry {
            self.bytes += bytes;
        }
        if let Entry::Answered(_, bytes) = std::mem::replace(known, entry) {
            self.bytes -= bytes;
        }
    }

    /// Forgets keys whose window has ended, except those that run still.
    fn expire(&mut self, now: SystemTime) {
        let Some(limit) = now.checked_sub(self.window) else { return };
        let old: Vec<(SystemTime, Uuid)> = self.by_age.range(..(limit, Uuid::nil())).map(|(age, ())| *age).collect();
        for age in old {
            if matches!(self.entries.get(&age.1), Some(Entry::Running)) {
                continue;
            }
            self.remove(&age);
        }
    }

    /// Takes in a key that another host remembered. False when there is no room for it.
    pub fn restore(&mut self, key: &IdempotencyKey, answer: Option<(A, usize)>, now: SystemTime) -> bool {
        match self.begin(key, now) {
            BeginOutcome::First => {}
            BeginOutcome::Full => return false,
            BeginOutcome::Running | BeginOutcome::Answered(_) | BeginOutcome::Unknown => return true,
        }
        match answer {
            Some((answer, bytes)) => self.record_answer(key, answer, bytes),
            None => self.record_unknown(key),
        }
        true
    }

    /// All keys that have an end, with the answer where it is known.
    pub fn ended(&self) -> impl Iterator<Item = (String, Option<&A>)> + '_ {
        self.entries.iter().filter_map(|(id, entry)| match entry {
            Entry::Running => None,
            Entry::Answered(answer, _) => Some((id.to_string(), Some(answer))),
            Entry::Unknown => Some((id.to_string(), None)),
        })
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
