//! Calls between entry hosts: both sides of one TCP connection can ask, and answers may overtake each other.
//!
//! Frames are length-delimited and encoded by `postcard`. A link that breaks fails all calls that wait on it.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

use std::collections::HashMap;
use std::future::Future;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes: a configuration of some thousand queues fits.
const MAX_FRAME: usize = 8 * 1024 * 1024;
/// Frames that may wait to be sent; a caller waits when a peer doesn't read.
const QUEUED: usize = 1024;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The link was down before the call was sent.
    #[error("the link is down")]
    Down,
    /// The call was sent; whether it was carried out is not known.
    #[error("no answer came")]
    Unanswered,
}

#[derive(Debug, Serialize, Deserialize)]
enum Frame<Q, A> {
    Call(u64, Q),
    Answer(u64, A),
}

/// One connection to another entry host.
pub struct Link<Q, A> {
    /// Encoded frames to send.
    sender: mpsc::Sender<Bytes>,
    /// Calls without an answer so far, by number.
    waiting: Mutex<HashMap<u64, oneshot::Sender<A>>>,
    /// Number of the next call.
    next: AtomicU64,
    /// When the last frame came in.
    heard: Mutex<Instant>,
    /// Set once, when the connection has ended.
    down: AtomicBool,
    close_notify: Notify,
    calls: PhantomData<fn(Q)>,
}

impl<Q, A> Link<Q, A>
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
{
    /// Runs a link on a connection. `handler` answers the other side's calls, each in a task of its own.
    pub fn spawn<H, F>(stream: TcpStream, handler: H) -> Arc<Link<Q, A>>
    where
        H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel(QUEUED);
        let link = Arc::new(Link {
            sender,
            waiting: Mutex::new(HashMap::new()),
            next: AtomicU64::new(0),
            heard: Mutex::new(Instant::now()),
            down: AtomicBool::new(false),
            close_notify: Notify::new(),
            calls: PhantomData,
        });
        tokio::spawn(run(link.clone(), stream, receiver, handler));
        link
    }

    /// Asks the other side. Waits for the answer at most `timeout`.
    pub async fn call(&self, call: Q, timeout: Duration) -> Result<A, CallError> {
        if self.is_closed() {
            return Err(CallError::Down);
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let bytes = encode(&Frame::<Q, A>::Call(number, call)).ok_or(CallError::Down)?;
        let (answer, answered) = oneshot::channel();
        self.waiting.lock().insert(number, answer);
        if self.sender.send(bytes).await.is_err() {
            self.waiting.lock().remove(&number);
            return Err(CallError::Down);
        }
        // Closing fails all that wait; a call that came in between must not wait for ever.
        if self.is_closed() {
            self.waiting.lock().remove(&number);
            return Err(CallError::Unanswered);
        }
        let outcome = tokio::time::timeout(timeout, answered).await;
        self.waiting.lock().remove(&number);
        match outcome {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(CallError::Unanswered),
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    /// How long nothing has come in: a host that was cut off or removed ends no connection.
    pub fn time_since_last_frame(&self) -> Duration {
        self.heard.lock().elapsed()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        loop {
            let notified = self.close_notify.notified();
            if self.is_closed() {
                return;
            }
            notified.await;
        }
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.down.store(true, Ordering::Release);
        self.waiting.lock().clear();
        self.close_notify.notify_waiters();
    }
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn encode<T: Serialize>(frame: &T) -> Option<Bytes> {
    postcard::to_stdvec(frame).ok().map(Bytes::from)
}

/// Carries frames both ways until the connection ends; then all calls that wait fail.
async fn run<Q, A, H, F>(link: Arc<Link<Q, A>>, stream: TcpStream, receiver: mpsc::Receiver<Bytes>, handler: H)
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec();
    let (sink, source) = Framed::new(stream, codec).split();
    tokio::select! {
        () = write(receiver, sink) => {}
        () = read(&link, source, handler) => {}
        () = link.closed() => {}
    }
    link.close();
}

/// Sends what waits, until the connection breaks.
async fn write(mut receiver: mpsc::Receiver<Bytes>, mut sink: SplitSink<Connection, Bytes>) {
    while let Some(bytes) = receiver.recv().await {
        if sink.feed(bytes).await.is_err() {
            return;
        }
        // Frames that already wait go out in one write.
        while let Ok(more) = receiver.try_recv() {
            if sink.feed(more).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

/// Takes in frames, until the connection breaks or brings one that can't be read.
async fn read<Q, A, H, F>(link: &Arc<Link<Q, A>>, mut source: SplitStream<Connection>, handler: H)
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    while let Some(Ok(bytes)) = source.next().await {
        *link.heard.lock() = Instant::now();
        match postcard::from_bytes::<Frame<Q, A>>(&bytes) {
            Ok(Frame::Call(number, call)) => {
                let (asked, handler) = (link.clone(), handler.clone());
                let outcome = async move { handler(asked, call).await };
                tokio::spawn(answer(link.clone(), number, outcome));
            }
            Ok(Frame::Answer(number, answer)) => {
                if let Some(waiting) = link.waiting.lock().remove(&number) {
                    // The caller may have given up.
                    let _ = waiting.send(answer);
                }
            }
            // The other side speaks another version: nothing of it can be trusted.
            Err(_) => return,
        }
    }
}

/// Sends the answer to one call of the other side.
async fn answer<Q, A>(link: Arc<Link<Q, A>>, number: u64, outcome: impl Future<Output = A>)
where
    Q: Serialize,
    A: Serialize,
{
    if let Some(bytes) = encode(&Frame::<Q, A>::Answer(number, outcome.await)) {
        // A link that went down meanwhile needs no answer.
        let _ = link.sender.send(bytes).await;
    }
}
