//! A client that doesn't read its response doesn't keep its connection.

use std::time::Duration;

use http::Response;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use web::Connections;

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
