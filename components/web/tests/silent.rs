//! Connections that go silent without a reset, while new ones work.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any answer takes here.
const PATIENCE: Duration = Duration::from_millis(300);

/// Answers one request on a connection, then reads on and says nothing more.
async fn answer_once(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    if stream.read(&mut buffer).await.is_ok() {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        stream.write_all(answer).await.expect("the caller is there");
    }
    while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {}
}

/// A server whose connections all go silent after one answer. Its address, and the connections that it took.
async fn server() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_once(stream));
        }
    });
    (address, connections)
}

#[tokio::test]
async fn a_silent_connection_costs_one_call_and_is_not_used_again() {
    let (address, connections) = server().await;
    let client = web::Client::new(PATIENCE, 1000);
    let ask = async || {
        let request = web::request(Method::GET, &format!("http://{address}/"), Bytes::new()).expect("a request");
        client.send(request, PATIENCE).await
    };
    assert!(ask().await.is_ok());
    assert!(matches!(ask().await, Err(web::ClientError::Unknown(_))), "it may have been carried out");
    assert!(ask().await.is_ok(), "the next call opens another connection");
    assert_eq!(connections.load(Ordering::Relaxed), 2);
}
