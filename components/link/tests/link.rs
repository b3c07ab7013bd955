//! Calls in both directions, silent peers and failed connections.

use std::sync::Arc;
use std::time::Duration;

use link::{CallError, Link};
use tokio::net::{TcpListener, TcpStream};

type NumberLink = Link<u32, u32>;

/// Longer than any answer takes on loopback; only a failing test waits this long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

async fn connected_streams() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.expect("connected"), far.expect("accepted").0)
}

fn spawn_adder(stream: TcpStream, addend: u32) -> Arc<NumberLink> {
    Link::spawn(stream, move |_, number: u32| async move { number + addend })
}

#[tokio::test]
async fn both_sides_can_call() {
    let (near, far) = connected_streams().await;
    let (near, far) = (spawn_adder(near, 1), spawn_adder(far, 10));
    assert_eq!(near.call(5, ANSWER_TIMEOUT).await, Ok(15));
    assert_eq!(far.call(5, ANSWER_TIMEOUT).await, Ok(6));
}

#[tokio::test]
async fn answers_may_arrive_out_of_order() {
    let (near, far) = connected_streams().await;
    let release = Arc::new(tokio::sync::Notify::new());
    let released = release.clone();
    let far: Arc<NumberLink> = Link::spawn(far, move |_, number: u32| {
        let released = released.clone();
        async move {
            if number == 1 {
                released.notified().await;
            }
            number
        }
    });
    let near = spawn_adder(near, 0);
    let slow = {
        let near = near.clone();
        tokio::spawn(async move { near.call(1, ANSWER_TIMEOUT).await })
    };
    assert_eq!(near.call(2, ANSWER_TIMEOUT).await, Ok(2));
    release.notify_one();
    assert_eq!(slow.await.expect("the task ends"), Ok(1));
    far.close();
}

#[tokio::test]
async fn a_call_on_a_broken_link_is_unanswered_and_the_next_is_not_sent() {
    let (near, far) = connected_streams().await;
    let near = spawn_adder(near, 0);
    let call = {
        let near = near.clone();
        tokio::spawn(async move { near.call(1, ANSWER_TIMEOUT).await })
    };
    drop(far);
    assert!(matches!(call.await.expect("the task ends"), Err(CallError::Unanswered | CallError::NotSent)));
    near.closed().await;
    assert_eq!(near.call(2, ANSWER_TIMEOUT).await, Err(CallError::NotSent));
}

#[tokio::test]
async fn a_silent_peer_is_detected_by_the_time_since_its_last_frame() {
    let (near, _far) = connected_streams().await;
    let near = spawn_adder(near, 0);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(near.time_since_last_frame() >= Duration::from_secs(3));
    assert!(!near.is_closed(), "a silent connection looks open");
}

#[tokio::test]
async fn an_invalid_frame_closes_the_link() {
    use tokio::io::AsyncWriteExt;
    let (near, mut far) = connected_streams().await;
    let near = spawn_adder(near, 0);
    far.write_all(&[0, 0, 0, 2, 250, 250]).await.expect("written");
    near.closed().await;
    assert!(near.is_closed());
}

/// Guards against frames that pile up in memory while the peer doesn't read.
#[tokio::test]
async fn calls_that_a_peer_does_not_read_are_bounded_in_bytes() {
    let (near, _unread) = connected_streams().await;
    let link: Arc<Link<String, u32>> = Link::spawn(near, |_, _| std::future::pending());
    let text = "x".repeat(500_000);
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let (link, text) = (link.clone(), text.clone());
        calls.spawn(async move { link.call(text, Duration::from_millis(300)).await });
    }
    let outcomes = calls.join_all().await;
    assert!(outcomes.contains(&Err(CallError::NotSent)), "all calls are queued");
    assert!(!outcomes.iter().any(Result::is_ok));
}

/// Guards against memory for what strangers announce.
#[tokio::test]
async fn an_accepted_connection_that_begins_with_a_large_frame_is_closed() {
    let (mut near, far) = connected_streams().await;
    let link: Arc<NumberLink> = Link::accept(far, |_, number| std::future::ready(number));
    tokio::io::AsyncWriteExt::write_all(&mut near, &1_000_000_u32.to_be_bytes()).await.expect("connected");
    link.closed().await;
}
