//! Fakes of the services that walkhook depends on: the platform, workers and backend servers. Only tests and examples
//! use them; the product itself never depends on this package.

mod backend;
pub mod cell;
mod platform;
pub mod runner;
mod worker;

pub use crate::backend::{Backend, Record};
pub use crate::platform::{Control, Counts, Endpoint, Platform};
pub use crate::worker::{Worker, WorkerFault};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

/// Listens on `address`. Returns the actual address, too, because its port may be 0.
pub(crate) async fn listen(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// The loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A loopback address for the calling thread, which gets the same one with each call. No other test uses it, so all its
/// ports are free except those that the system assigns to outgoing connections.
pub fn own_ip() -> Ipv4Addr {
    thread_local! {
        static OWN: Ipv4Addr = new_ip();
    }
    OWN.with(|own| *own)
}

/// Like [`own_ip`], but returns another address with each call.
pub fn new_ip() -> Ipv4Addr {
    static IPS: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), IPS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8)
}
