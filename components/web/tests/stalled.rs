//! A client that doesn't read its response doesn't keep its connection.

use std::time::Duration;

use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use web::{Connections, Stream};

/// More than the system's buffers take.
const RESPONSE_BYTES: usize = 64 * 1024 * 1024;

#[tokio::test(start_paused = true)]
async fn the_connection_of_a_client_that_does_not_read_is_closed() {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let connections = Connections::new(10);
    let respond = |_, _| std::future::ready(Response::new(web::full(vec![b'x'; RESPONSE_BYTES])));
    let stop = std::future::pending();
    tokio::spawn(web::serve_clients(listener, connections.clone(), stop, Duration::ZERO, respond));
    let mut client = TcpStream::connect(address).await.expect("connected");
    client.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    while connections.open() == 0 {
        tokio::task::yield_now().await;
    }
    // The clock is paused: it advances whenever nothing else is left to do.
    tokio::time::timeout(Duration::from_secs(3600), async {
        while connections.open() > 0 {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    })
    .await
    .expect("the connection is closed");
}

/// Guards against a time limit that goes on after the client has read everything.
#[tokio::test(start_paused = true)]
async fn a_client_that_read_late_once_is_not_disconnected_later() {
    let (near, mut far) = tokio::io::duplex(1000);
    let mut near = Stream::new(near);
    let mut received = [0; 1500];
    for _ in 0..2 {
        let reading = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            far.read_exact(&mut received).await
        };
        tokio::try_join!(near.write_all(&[b'x'; 1500]), reading).expect("the client reads in time");
        tokio::time::sleep(Duration::from_secs(600)).await;
    }
}

/// Bytes that the system holds for clients of an address that don't read them.
fn unread_responses(address: std::net::SocketAddr) -> usize {
    let local = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let queued = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (unread, _) = fields.get(4)?.split_once(':')?;
        (fields.get(1)? == &local).then(|| usize::from_str_radix(unread, 16).ok())?
    });
    queued.sum()
}

#[tokio::test]
async fn the_system_holds_little_of_a_response_that_nobody_reads() {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let respond = |_, _| std::future::ready(Response::new(web::full(vec![b'x'; RESPONSE_BYTES])));
    let (stop, connections) = (std::future::pending(), Connections::new(10));
    tokio::spawn(web::serve_clients(listener, connections, stop, Duration::ZERO, respond));
    let mut client = TcpStream::connect(address).await.expect("connected");
    client.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    let (mut unread, mut unchanged) = (0, 0);
    while unread == 0 || unchanged < 20 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let now = unread_responses(address);
        unchanged = if now == unread { unchanged + 1 } else { 0 };
        unread = now;
    }
    assert!(unread < 256 * 1024, "{unread} bytes");
}
