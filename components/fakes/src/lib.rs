//! Small stand-ins for what stands outside walkhook: the platform, workers and backend servers. For the tests
//! and the example only; the product never depends on this package.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

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

/// A loopback address that no other test uses, so that all ports there are free, but for those that the system
/// gives to outgoing connections. The same for all calls of a thread.
pub fn own_ip() -> Ipv4Addr {
    thread_local! {
        static OWN: Ipv4Addr = new_ip();
    }
    OWN.with(|own| *own)
}

/// Another such address with each call.
pub fn new_ip() -> Ipv4Addr {
    static IPS: AtomicU32 = AtomicU32::new(0);
    let (process, number) = (std::process::id(), IPS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8)
}
