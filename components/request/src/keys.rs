//! Idempotency keys and the store of their results, kept by the host that owns them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use uuid::Uuid;

/// Idempotency key of a request: a version 7 UUID, which contains its creation time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    id: Uuid,
    created: SystemTime,
}

/// Why a key was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Not a version 7 UUID.
    #[error("Idempotency-Key must be a UUID of version 7")]
    Malformed,
    /// Created in the future.
    #[error("Idempotency-Key was created in the future; check the caller's clock")]
    Future,
}

impl IdempotencyKey {
    /// Parses a key. `skew` is how far the caller's clock may be ahead.
    ///
    /// # Errors
    /// [`KeyError::Malformed`] if `text` is not a version 7 UUID, [`KeyError::Future`] if the key was created later
    /// than `now + skew`.
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

    /// The key in canonical form, whatever form the caller used.
    pub fn text(&self) -> String {
        self.id.to_string()
    }

    /// When the key was created, by the caller's clock.
    pub fn created(&self) -> SystemTime {
        self.created
    }
}

/// How to handle a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome<A> {
    /// First request with this key: run it, then record its outcome.
    First,
    /// The first request is still running: wait for its outcome.
    Running,
    /// The first request got this answer.
    Answered(A),
    /// It is not known whether the first request ran.
    Unknown,
    /// The store is full, so the request must not run.
    Full,
}

#[derive(Clone, Debug)]
enum Entry<A> {
    Running,
    Answered(A, usize),
    Unknown,
}

/// Keys with the answers to their requests, bounded in number, bytes and age.
#[derive(Debug)]
pub struct IdempotencyStore<A> {
    window: Duration,
    max_keys: usize,
    max_bytes: usize,
    bytes: usize,
    entries: HashMap<Uuid, Entry<A>>,
    by_creation: BTreeMap<(SystemTime, Uuid), ()>,
}

impl<A: Clone> IdempotencyStore<A> {
    /// Creates a store that keeps each key until `window` after its creation, and at most `max_keys` keys. No new key is
    /// accepted while the stored answers take `max_bytes` or more.
    pub fn new(window: Duration, max_keys: usize, max_bytes: usize) -> IdempotencyStore<A> {
        IdempotencyStore {
            window,
            max_keys,
            max_bytes,
            bytes: 0,
            entries: HashMap::new(),
            by_creation: BTreeMap::new(),
        }
    }

    /// Begins a request. A key that is older than the window is `Unknown`, as its entry may have expired.
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
        if self.entries.len() >= self.max_keys || self.bytes >= self.max_bytes {
            return BeginOutcome::Full;
        }
        self.entries.insert(key.id, Entry::Running);
        self.by_creation.insert((key.created, key.id), ());
        BeginOutcome::First
    }

    /// The stored answer to the request with this key.
    pub fn get(&self, key: &IdempotencyKey) -> Option<A> {
        match self.entries.get(&key.id) {
            Some(Entry::Answered(answer, _)) => Some(answer.clone()),
            _ => None,
        }
    }

    /// Records the answer to the request and its size in bytes.
    pub fn record_answer(&mut self, key: &IdempotencyKey, answer: A, bytes: usize) {
        self.set(key, Entry::Answered(answer, bytes));
    }

    /// Records that it is not known whether the request ran.
    pub fn record_unknown(&mut self, key: &IdempotencyKey) {
        self.set(key, Entry::Unknown);
    }

    /// Records that the request certainly did not run. A later request with the key may run.
    pub fn record_not_run(&mut self, key: &IdempotencyKey) {
        self.remove(&(key.created, key.id));
    }

    fn remove(&mut self, key: &(SystemTime, Uuid)) {
        self.by_creation.remove(key);
        if let Some(Entry::Answered(_, bytes)) = self.entries.remove(&key.1) {
            self.bytes -= bytes;
        }
    }

    fn set(&mut self, key: &IdempotencyKey, entry: Entry<A>) {
        let Some(stored) = self.entries.get_mut(&key.id) else { return };
        if let Entry::Answered(_, bytes) = &entry {
            self.bytes += bytes;
        }
        if let Entry::Answered(_, bytes) = std::mem::replace(stored, entry) {
            self.bytes -= bytes;
        }
    }

    /// Removes keys older than the window, except those whose request is still running.
    fn expire(&mut self, now: SystemTime) {
        let Some(oldest) = now.checked_sub(self.window) else { return };
        let expired: Vec<(SystemTime, Uuid)> =
            self.by_creation.range(..(oldest, Uuid::nil())).map(|(key, ())| *key).collect();
        for key in expired {
            if matches!(self.entries.get(&key.1), Some(Entry::Running)) {
                continue;
            }
            self.remove(&key);
        }
    }

    /// Adds a key that was handed over by another host. Returns false if the store is full.
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

    /// All keys whose request has ended, with the answer if it is known.
    pub fn ended(&self) -> impl Iterator<Item = (String, Option<&A>)> + '_ {
        self.entries.iter().filter_map(|(id, entry)| match entry {
            Entry::Running => None,
            Entry::Answered(answer, _) => Some((id.to_string(), Some(answer))),
            Entry::Unknown => Some((id.to_string(), None)),
        })
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the store has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
