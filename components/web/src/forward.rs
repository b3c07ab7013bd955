//! Connections in front of a server that bounds neither their number nor what their clients may send before a request is
//! complete. Bytes are forwarded unchanged to the server's own address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::copy_bidirectional_with_sizes;
use tokio::net::{TcpListener, TcpStream};

use crate::connections::Connections;
use crate::stream::Stream;

/// Longest life of a connection. Operators' programs use one for a request or a few.
const MAX_AGE: Duration = Duration::from_secs(120);
/// Buffer for each direction, in bytes.
const COPY_BUFFER_BYTES: usize = 4096;
/// Delay after a failed accept, for example without free file descriptors, which prevents a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and forwards them to the server at `to`, until it is dropped.
pub async fn forward(listener: TcpListener, connections: Arc<Connections>, to: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = connections.admit().await;
        tokio::spawn(async move {
            tokio::select! {
                _ = tokio::time::timeout(MAX_AGE, copy(stream, to)) => {}
                () = connection.close_requested() => {}
            }
            drop(connection);
        });
    }
}

async fn copy(client: TcpStream, to: SocketAddr) -> std::io::Result<()> {
    let mut server = TcpStream::connect(to).await?;
    let mut client = Stream::new(client);
    copy_bidirectional_with_sizes(&mut client, &mut server, COPY_BUFFER_BYTES, COPY_BUFFER_BYTES).await?;
    Ok(())
}
