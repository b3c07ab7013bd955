//! A connection that fails when its peer doesn't read what is written to it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Longest time in which a peer must read [`MIN_PROGRESS_BYTES`] while writing is blocked.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Fewer bytes don't count as progress, so that a peer can't hold a connection by reading a byte now and then.
const MIN_PROGRESS_BYTES: usize = 4096;

/// A stream whose writes fail when the peer doesn't read.
pub struct Stream<S> {
    inner: S,
    /// Expires while writing is blocked and the peer makes no progress.
    blocked: Option<Pin<Box<Sleep>>>,
    /// Bytes written since `blocked` was set.
    written: usize,
}

impl<S> Stream<S> {
    /// Limits the writes to `inner`.
    pub fn new(inner: S) -> Stream<S> {
        Stream { inner, blocked: None, written: 0 }
    }

    /// Applies the time limit to the outcome of a write.
    fn limit(
        &mut self,
        context: &mut Context<'_>,
        length: usize,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(written)) => {
                self.written = self.written.saturating_add(written);
                // Nothing is left that the peer could delay, or it has made progress.
                if written == length || self.written >= MIN_PROGRESS_BYTES {
                    self.blocked = None;
                }
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let written = &mut self.written;
                let blocked = self.blocked.get_or_insert_with(|| {
                    *written = 0;
                    Box::pin(tokio::time::sleep(WRITE_TIMEOUT))
                });
                ready!(blocked.as_mut().poll(context));
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the peer doesn't read")))
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.limit(context, bytes.len(), polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(context, buffers);
        self.limit(context, buffers.iter().map(|buffer| buffer.len()).sum(), polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
