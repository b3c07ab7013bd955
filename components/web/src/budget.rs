//! Memory that the requests of a process take while they are received and handled.
//!
//! The bound applies to all of them together. When it is reached, the body that has been incomplete for the longest time is
//! given up: bodies of ordinary clients are complete soon, those of clients that stop before the end never are.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use thiserror::Error;
use tokio::sync::Notify;

use crate::lock;

/// Smallest buffer of a body, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    #[error("the body is incomplete or malformed")]
    Incomplete,
    #[error("the body was not received before the deadline")]
    Late,
    /// The memory for requests is used up, and this body was incomplete for longer than others.
    #[error("the memory for requests is used up")]
    NoMemory,
}

/// Bound on the memory for requests.
pub struct Budget {
    /// In bytes.
    limit: usize,
    state: Mutex<State>,
    /// Notified when memory is released, or a body is no longer read.
    released: Notify,
}

#[derive(Default)]
struct State {
    used: usize,
    /// Order of the next body that is read.
    next: u64,
    /// Bodies that are being read, oldest first.
    reading: BTreeMap<u64, Reader>,
    /// Bytes of the bodies that were given up and haven't released them yet.
    releasing: BTreeMap<u64, usize>,
}

struct Reader {
    /// Size of its buffer, in bytes.
    bytes: usize,
    given_up: Arc<Notify>,
}

/// Decision on a reservation.
enum Decision {
    Granted,
    /// The memory will be free once bodies that were given up have released it.
    Wait,
    Refused,
}

impl State {
    /// Decides on a reservation of `bytes` for the body `reader`, or for a complete one. Bodies older than that are given
    /// up if that gives enough memory.
    fn request(&mut self, bytes: usize, limit: usize, reader: Option<u64>) -> Decision {
        if reader.is_some_and(|reader| self.releasing.contains_key(&reader)) {
            return Decision::Refused;
        }
        if bytes <= limit.saturating_sub(self.used) {
            self.used += bytes;
            return Decision::Granted;
        }
        let older = ..reader.unwrap_or(u64::MAX);
        let evictable: usize = self.reading.range(older).map(|(_, reader)| reader.bytes).sum();
        let mut kept = self.used.saturating_sub(self.releasing.values().sum());
        if kept.saturating_sub(evictable).saturating_add(bytes) > limit {
            return Decision::Refused;
        }
        while kept.saturating_add(bytes) > limit
            && let Some((oldest, given_up)) = self.reading.pop_first()
        {
            kept = kept.saturating_sub(given_up.bytes);
            self.releasing.insert(oldest, given_up.bytes);
            given_up.given_up.notify_one();
        }
        Decision::Wait
    }
}

impl Budget {
    /// Allows `limit` bytes.
    pub fn new(limit: usize) -> Arc<Budget> {
        Arc::new(Budget { limit, state: Mutex::default(), released: Notify::new() })
    }

    /// The bound, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        lock(&self.state).used
    }

    /// Reads a complete body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long or incomplete, isn't received until `deadline`, or finds no memory.
    pub async fn read<B>(self: &Arc<Self>, mut body: B, max: usize, deadline: Instant) -> Result<Buffer, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        self.read_beginning(&mut body, usize::MAX, max, deadline).await
    }

    /// Reads a body of at most `max` bytes until it is complete or more than `enough` bytes have been read.
    ///
    /// # Errors
    ///
    /// Like [`Budget::read`].
    pub async fn read_beginning<B>(
        self: &Arc<Self>,
        body: &mut B,
        enough: usize,
        max: usize,
        deadline: Instant,
    ) -> Result<Buffer, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > max as u64 {
            return Err(ReadError::TooLong(max));
        }
        let reading = Reading::begin(self);
        let filling = tokio::time::timeout_at(deadline.into(), reading.fill(body, enough, max));
        tokio::select! {
            filled = filling => filled.unwrap_or(Err(ReadError::Late)),
            () = reading.given_up.notified() => Err(ReadError::NoMemory),
        }
    }

    /// Reserves memory, if necessary that of incomplete bodies, which are given up.
    ///
    /// # Errors
    ///
    /// Fails if there isn't enough.
    pub async fn reserve(self: &Arc<Self>, bytes: usize) -> Result<Reservation, ReadError> {
        self.reserve_for(bytes, None).await
    }

    /// Reserves memory for the body `reader`, which doesn't outlive an older one.
    async fn reserve_for(self: &Arc<Self>, bytes: usize, reader: Option<u64>) -> Result<Reservation, ReadError> {
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            match lock(&self.state).request(bytes, self.limit, reader) {
                Decision::Granted => return Ok(Reservation { budget: self.clone(), bytes }),
                Decision::Refused => return Err(ReadError::NoMemory),
                Decision::Wait => {}
            }
            released.await;
        }
    }
}

/// Memory in use. Dropping it releases the memory.
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.budget.state).used -= self.bytes;
        self.budget.released.notify_waiters();
    }
}

/// A complete body, with the memory that it takes.
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl Buffer {
    /// The content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the content, and its memory for as long as it is needed.
    pub fn into_parts(self) -> (Bytes, Option<Reservation>) {
        (Bytes::from(self.bytes), self.reservation)
    }

    /// Appends `data`. The memory of the old and the new buffer is reserved while the content is moved.
    async fn append(&mut self, data: &[u8], max: usize, reading: &Reading) -> Result<(), ReadError> {
        let length = self.bytes.len() + data.len();
        if length > max {
            return Err(ReadError::TooLong(max));
        }
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES).min(max.max(length));
            let reservation = reading.budget.reserve_for(capacity, Some(reading.order)).await?;
            let mut larger = Vec::with_capacity(capacity);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
            self.reservation = Some(reservation);
            reading.resize(capacity);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// A body that is being read.
struct Reading {
    budget: Arc<Budget>,
    order: u64,
    given_up: Arc<Notify>,
}

impl Reading {
    fn begin(budget: &Arc<Budget>) -> Reading {
        let given_up = Arc::new(Notify::new());
        let mut state = lock(&budget.state);
        let order = state.next;
        state.next += 1;
        state.reading.insert(order, Reader { bytes: 0, given_up: given_up.clone() });
        Reading { budget: budget.clone(), order, given_up }
    }

    /// Records the size of the buffer.
    fn resize(&self, bytes: usize) {
        if let Some(reader) = lock(&self.budget.state).reading.get_mut(&self.order) {
            reader.bytes = bytes;
        }
    }

    /// Copies the body into one buffer, since each piece as received takes more memory than its content.
    async fn fill<B>(&self, body: &mut B, enough: usize, max: usize) -> Result<Buffer, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let mut buffer = Buffer { bytes: Vec::new(), reservation: None };
        while buffer.bytes.len() <= enough
            && let Some(frame) = body.frame().await
        {
            // Trailers are dropped.
            if let Ok(data) = frame.map_err(|_| ReadError::Incomplete)?.into_data() {
                buffer.append(&data, max, self).await?;
            }
        }
        Ok(buffer)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let mut state = lock(&self.budget.state);
        state.reading.remove(&self.order);
        state.releasing.remove(&self.order);
        drop(state);
        self.budget.released.notify_waiters();
    }
}
