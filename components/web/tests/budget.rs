//! The memory for requests: bodies that aren't complete make room for new ones, and none outlives its deadline.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use web::{Budget, ReadError};

/// A body in pieces.
struct Pieces {
    left: VecDeque<Bytes>,
    ends: bool,
}

impl Pieces {
    fn new(count: usize, size: usize, ends: bool) -> Pieces {
        Pieces { left: vec![Bytes::from(vec![b'x'; size]); count].into(), ends }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.left.pop_front() {
            Some(piece) => Poll::Ready(Some(Ok(Frame::data(piece)))),
            None if self.ends => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

fn far() -> Instant {
    Instant::now() + Duration::from_secs(600)
}

/// Reads a body that doesn't end, in a task, until it holds memory.
async fn begin(budget: &Arc<Budget>, size: usize) -> tokio::task::JoinHandle<Option<ReadError>> {
    let (reading, used) = (budget.clone(), budget.used());
    let task = tokio::spawn(async move { reading.read(Pieces::new(1, size, false), 100_000, far()).await.err() });
    while budget.used() == used {
        tokio::task::yield_now().await;
    }
    task
}

#[tokio::test]
async fn the_oldest_incomplete_body_makes_room_for_a_new_one() {
    let budget = Budget::new(10_000);
    let oldest = begin(&budget, 5000).await;
    let newer = begin(&budget, 4000).await;
    let read = budget.read(Pieces::new(1, 3000, true), 100_000, far()).await;
    assert_eq!(read.expect("read").bytes().len(), 3000);
    assert_eq!(oldest.await.expect("the task ends"), Some(ReadError::NoMemory));
    assert!(!newer.is_finished(), "one body was enough");
    newer.abort();
    let _ = newer.await;
    assert_eq!(budget.used(), 0);
}

#[tokio::test]
async fn a_body_that_fits_only_without_complete_ones_is_given_up() {
    let budget = Budget::new(10_000);
    let complete = budget.read(Pieces::new(1, 8000, true), 100_000, far()).await.expect("read");
    let read = budget.read(Pieces::new(1, 4000, true), 100_000, far()).await;
    assert_eq!(read.err(), Some(ReadError::NoMemory));
    drop(complete);
    assert!(budget.read(Pieces::new(1, 4000, true), 100_000, far()).await.is_ok());
}

#[tokio::test]
async fn pieces_of_one_byte_take_no_more_than_their_buffer() {
    let budget = Budget::new(100_000);
    let read = budget.read(Pieces::new(5000, 1, true), 100_000, far()).await.expect("read");
    assert_eq!(read.bytes().len(), 5000);
    assert!(budget.used() <= 10_000, "{}", budget.used());
}

#[tokio::test]
async fn a_body_that_is_late_or_too_long_leaves_no_memory_in_use() {
    let budget = Budget::new(100_000);
    let late = budget.read(Pieces::new(1, 5000, false), 100_000, Instant::now()).await;
    assert_eq!(late.err(), Some(ReadError::Late));
    let too_long = budget.read(Pieces::new(10, 1000, true), 5000, far()).await;
    assert_eq!(too_long.err(), Some(ReadError::TooLong(5000)));
    assert_eq!(budget.used(), 0);
}

/// Guards against bodies of ordinary clients that are given up although the memory of others is about to be released.
#[tokio::test]
async fn new_bodies_do_not_give_up_each_other_while_an_old_one_releases_its_memory() {
    let budget = Budget::new(10_000);
    let old = begin(&budget, 9000).await;
    let (first, second) = tokio::join!(
        budget.read(Pieces::new(1, 3000, true), 100_000, far()),
        budget.read(Pieces::new(1, 3000, true), 100_000, far()),
    );
    assert_eq!((first.err(), second.err()), (None, None));
    assert_eq!(old.await.expect("the task ends"), Some(ReadError::NoMemory));
}

/// Guards against bodies that are given up for one that finds no memory all the same.
#[tokio::test]
async fn no_body_is_given_up_in_vain() {
    let budget = Budget::new(10_000);
    let complete = budget.read(Pieces::new(1, 8000, true), 100_000, far()).await.expect("read");
    let incomplete = begin(&budget, 1500).await;
    let read = budget.read(Pieces::new(1, 5000, true), 100_000, far()).await;
    assert_eq!(read.err(), Some(ReadError::NoMemory));
    tokio::task::yield_now().await;
    assert!(!incomplete.is_finished());
    drop(complete);
}
