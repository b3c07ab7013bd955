//! Small stand-ins for what stands outside walkhook: the platform, workers and backend servers. For the tests
//! and the example only; the product never depends on this package.

mod backend;
pub mod cell;
mod platform;
pub mod runner;
mod worker;

pub use crate::backend::{Backend, Record};
pub use crate::platform::{Control, Counts, Door, Platform};
pub use crate::worker::{Conduct, Worker};

use std::net::SocketAddr;

use tokio::net::TcpListener;

/// A listener on a free loopback port.
pub(crate) async fn listen(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// The loopback address with a port that the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
