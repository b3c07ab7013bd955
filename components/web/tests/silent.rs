//! Tests that a connection that goes silent without a reset is closed, while new connections to the server work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any response takes in this test.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Responds to one request on a connection, then continues to read without responding.
async fn respond_once(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    if stream.read(&mut buffer).await.is_ok() {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        stream.write_all(response).await.expect("the caller is there");
    }
    while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {}
}

/// Starts a server whose connections go silent after one response. Returns its address and the number of accepted
/// connections.
async fn server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(respond_once(stream));
        }
    });
    (address, connections)
}

#[tokio::test]
async fn a_silent_connection_fails_one_call_and_is_not_reused() {
    let (address, connections) = server().await;
    let client = web::Client::new(CALL_TIMEOUT, 1000);
    let call = async || {
        let request = web::request(Method::GET, &format!("http://{address}/"), Bytes::new()).expect("a request");
        client.send(request, CALL_TIMEOUT).await
    };
    assert!(call().await.is_ok());
    assert!(matches!(call().await, Err(web::ClientError::Unknown(_))), "the call may have been handled");
    assert!(call().await.is_ok(), "the next call opens another connection");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}
