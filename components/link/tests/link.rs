//! Links between hosts: calls both ways, peers that say nothing, connections that break.

use std::sync::Arc;
use std::time::Duration;

use link::{CallError, Link};
use tokio::net::{TcpListener, TcpStream};

type Numbers = Link<u32, u32>;

/// Long enough for any answer on loopback; only a broken test waits for it.
const PATIENCE: Duration = Duration::from_secs(30);

async fn streams() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.expect("connected"), far.expect("accepted").0)
}

fn adding(stream: TcpStream, plus: u32) -> Arc<Numbers> {
    Link::spawn(stream, move |_, number: u32| async move { number + plus })
}

#[tokio::test]
async fn both_sides_can_ask() {
    let (near, far) = streams().await;
    let (near, far) = (adding(near, 1), adding(far, 10));
    assert_eq!(near.call(5, PATIENCE).await, Ok(15));
    assert_eq!(far.call(5, PATIENCE).await, Ok(6));
}

#[tokio::test]
async fn answers_may_overtake_each_other() {
    let (near, far) = streams().await;
    let gate = Arc::new(tokio::sync::Notify::new());
    let opened = gate.clone();
    let far: Arc<Numbers> = Link::spawn(far, move |_, number: u32| {
        let opened = opened.clone();
        async move {
            if number == 1 {
                opened.notified().await;
            }
            number
        }
    });
    let near = adding(near, 0);
    let slow = {
        let near = near.clone();
        tokio::spawn(async move { near.call(1, PATIENCE).await })
    };
    assert_eq!(near.call(2, PATIENCE).await, Ok(2));
    gate.notify_one();
    assert_eq!(slow.await.expect("the task ends"), Ok(1));
    far.close();
}

#[tokio::test]
async fn a_call_on_a_broken_link_is_unanswered_and_the_next_is_not_sent() {
    let (near, far) = streams().await;
    let near = adding(near, 0);
    let call = {
        let near = near.clone();
        tokio::spawn(async move { near.call(1, PATIENCE).await })
    };
    drop(far);
    assert!(matches!(call.await.expect("the task ends"), Err(CallError::Unanswered | CallError::Down)));
    near.closed().await;
    assert_eq!(near.call(2, PATIENCE).await, Err(CallError::Down));
}

#[tokio::test]
async fn a_peer_that_says_nothing_shows_by_its_silence() {
    let (near, _far) = streams().await;
    let near = adding(near, 0);
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(near.time_since_last_frame() >= Duration::from_secs(3));
    assert!(!near.is_closed(), "a silent connection looks open");
}

#[tokio::test]
async fn bytes_that_are_no_frame_end_the_link() {
    use tokio::io::AsyncWriteExt;
    let (near, mut far) = streams().await;
    let near = adding(near, 0);
    far.write_all(&[0, 0, 0, 2, 250, 250]).await.expect("written");
    near.closed().await;
    assert!(near.is_closed());
}
