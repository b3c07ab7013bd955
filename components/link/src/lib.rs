//! Bidirectional calls between entry hosts over one TCP connection. Answers may arrive in any order.
//!
//! Frames are length-delimited and encoded with `postcard`. When the connection ends, all pending calls fail.

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
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame, in bytes. A configuration with several thousand queues fits.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Largest first frame on an accepted connection, in bytes. It introduces the peer.
const MAX_FIRST_FRAME_BYTES: usize = 16 * 1024;
/// Longest time until that frame is received.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Number and total bytes of frames that may be queued for sending. When the queue is full because the peer doesn't read,
/// calls wait. A larger frame waits until the queue is empty.
const SEND_QUEUE_LEN: usize = 1024;
const SEND_QUEUE_BYTES: usize = 1024 * 1024;

/// Error of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call was not sent: the link was closed, or the call could not be encoded.
    #[error("the link is closed")]
    NotSent,
    /// The call may have been sent, but no answer was received. It is unknown whether the call was handled.
    #[error("no answer received")]
    Unanswered,
}

#[derive(Debug, Serialize, Deserialize)]
enum Frame<Q, A> {
    Call(u64, Q),
    Answer(u64, A),
}

/// An encoded frame in the queue, with its permits.
struct Queued {
    bytes: Bytes,
    _permits: OwnedSemaphorePermit,
}

/// How a connection began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Dialed,
    Accepted,
}

/// One connection to another entry host.
pub struct Link<Q, A> {
    /// Queue of encoded frames to send.
    outgoing: mpsc::Sender<Queued>,
    /// A permit for each byte that may be queued.
    queue_bytes: Arc<Semaphore>,
    /// Calls waiting for their answer, by id.
    pending: Mutex<HashMap<u64, oneshot::Sender<A>>>,
    next_id: AtomicU64,
    /// When the last frame was received.
    last_frame_at: Mutex<Instant>,
    /// Set when the link is closed; never reset.
    closed: AtomicBool,
    close_notify: Notify,
    call_type: PhantomData<fn(Q)>,
}

impl<Q, A> Link<Q, A> {
    /// Queues an encoded frame once there is room for it. Returns whether it is queued.
    async fn send(&self, bytes: Bytes) -> bool {
        let permits = bytes.len().min(SEND_QUEUE_BYTES) as u32;
        let Ok(permits) = self.queue_bytes.clone().acquire_many_owned(permits).await else { return false };
        self.outgoing.send(Queued { bytes, _permits: permits }).await.is_ok()
    }
}

impl<Q, A> Link<Q, A>
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
{
    /// Runs a link on a connection. Each call from the peer is answered by `handler` in its own task.
    pub fn spawn<H, F>(stream: TcpStream, handler: H) -> Arc<Link<Q, A>>
    where
        H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        Link::start(stream, Origin::Dialed, handler)
    }

    /// Like [`Link::spawn`], on a connection that was accepted. Anyone may have opened it, so it is closed unless a small
    /// valid frame introduces the peer in time.
    pub fn accept<H, F>(stream: TcpStream, handler: H) -> Arc<Link<Q, A>>
    where
        H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        Link::start(stream, Origin::Accepted, handler)
    }

    fn start<H, F>(stream: TcpStream, origin: Origin, handler: H) -> Arc<Link<Q, A>>
    where
        H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let (outgoing, receiver) = mpsc::channel(SEND_QUEUE_LEN);
        let link = Arc::new(Link {
            outgoing,
            queue_bytes: Arc::new(Semaphore::new(SEND_QUEUE_BYTES)),
            pending: Mutex::new(HashMap::new()),
            next_id: AtomicU64::new(0),
            last_frame_at: Mutex::new(Instant::now()),
            closed: AtomicBool::new(false),
            close_notify: Notify::new(),
            call_type: PhantomData,
        });
        tokio::spawn(run(link.clone(), stream, origin, receiver, handler));
        link
    }

    /// Calls the peer and waits for its answer for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the call was not sent, and [`CallError::Unanswered`] if the link closes or the
    /// timeout expires before the answer is received.
    pub async fn call(&self, call: Q, timeout: Duration) -> Result<A, CallError> {
        if self.is_closed() {
            return Err(CallError::NotSent);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let bytes = encode(&Frame::<Q, A>::Call(id, call)).ok_or(CallError::NotSent)?;
        let (answer_sender, answer_receiver) = oneshot::channel();
        self.pending.lock().insert(id, answer_sender);
        let until = Instant::now() + timeout;
        if !tokio::time::timeout_at(until, self.send(bytes)).await.unwrap_or(false) {
            self.pending.lock().remove(&id);
            return Err(CallError::NotSent);
        }
        // `close` fails all pending calls. A call added after that would wait for its whole timeout.
        if self.is_closed() {
            self.pending.lock().remove(&id);
            return Err(CallError::Unanswered);
        }
        let outcome = tokio::time::timeout_at(until, answer_receiver).await;
        self.pending.lock().remove(&id);
        match outcome {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(CallError::Unanswered),
        }
    }

    /// Whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Time since the last frame was received. It detects a host that was disconnected or removed without closing the
    /// connection.
    pub fn time_since_last_frame(&self) -> Duration {
        self.last_frame_at.lock().elapsed()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        loop {
            let notification = self.close_notify.notified();
            if self.is_closed() {
                return;
            }
            notification.await;
        }
    }

    /// Closes the link, which fails all pending calls.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.pending.lock().clear();
        self.queue_bytes.close();
        self.close_notify.notify_waiters();
    }
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn encode<T: Serialize>(frame: &T) -> Option<Bytes> {
    postcard::to_stdvec(frame).ok().map(Bytes::from)
}

/// Sends and receives frames until the connection ends, then closes the link.
async fn run<Q, A, H, F>(
    link: Arc<Link<Q, A>>,
    stream: TcpStream,
    origin: Origin,
    receiver: mpsc::Receiver<Queued>,
    handler: H,
) where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let mut connection = Framed::new(stream, codec);
    if origin == Origin::Accepted && !receive_first(&link, &mut connection, &handler).await {
        return link.close();
    }
    let (sink, source) = connection.split();
    tokio::select! {
        () = write_frames(receiver, sink) => {}
        () = read_frames(&link, source, handler) => {}
        () = link.closed() => {}
    }
    link.close();
}

/// Sends queued frames until the connection fails.
async fn write_frames(mut receiver: mpsc::Receiver<Queued>, mut sink: SplitSink<Connection, Bytes>) {
    while let Some(queued) = receiver.recv().await {
        if sink.feed(queued.bytes).await.is_err() {
            return;
        }
        // Frames that are already queued are sent with one flush.
        while let Ok(more) = receiver.try_recv() {
            if sink.feed(more.bytes).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

/// Receives frames until the connection fails or a frame is invalid.
async fn read_frames<Q, A, H, F>(link: &Arc<Link<Q, A>>, mut source: SplitStream<Connection>, handler: H)
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    while let Some(Ok(bytes)) = source.next().await {
        if !handle_frame(link, &bytes, &handler) {
            return;
        }
    }
}

/// Receives the frame that introduces the peer of an accepted connection. Returns whether it is valid.
async fn receive_first<Q, A, H, F>(link: &Arc<Link<Q, A>>, connection: &mut Connection, handler: &H) -> bool
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    connection.codec_mut().set_max_frame_length(MAX_FIRST_FRAME_BYTES);
    let received = tokio::time::timeout(FIRST_FRAME_TIMEOUT, connection.next()).await;
    connection.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    matches!(received, Ok(Some(Ok(bytes))) if handle_frame(link, &bytes, handler))
}

/// Handles a received frame. Returns whether it is valid.
fn handle_frame<Q, A, H, F>(link: &Arc<Link<Q, A>>, bytes: &[u8], handler: &H) -> bool
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
    H: Fn(Arc<Link<Q, A>>, Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = A> + Send + 'static,
{
    *link.last_frame_at.lock() = Instant::now();
    match postcard::from_bytes::<Frame<Q, A>>(bytes) {
        Ok(Frame::Call(id, call)) => {
            let (handler_link, handler) = (link.clone(), handler.clone());
            let answer = async move { handler(handler_link, call).await };
            tokio::spawn(send_answer(link.clone(), id, answer));
            true
        }
        Ok(Frame::Answer(id, answer)) => {
            if let Some(answer_sender) = link.pending.lock().remove(&id) {
                // The call may have timed out.
                let _ = answer_sender.send(answer);
            }
            true
        }
        // The peer uses another version of the protocol, so none of its frames can be trusted.
        Err(_) => false,
    }
}

/// Sends the answer to a call from the peer.
async fn send_answer<Q, A>(link: Arc<Link<Q, A>>, id: u64, answer: impl Future<Output = A>)
where
    Q: Serialize,
    A: Serialize,
{
    if let Some(bytes) = encode(&Frame::<Q, A>::Answer(id, answer.await)) {
        // The answer is dropped if the link has been closed in the meantime.
        let _ = link.send(bytes).await;
    }
}
