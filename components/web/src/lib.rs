//! HTTP helpers based on `hyper-util`: a JSON client whose errors tell whether a request may have been received, and a
//! server with graceful shutdown.

mod budget;
mod client;
mod connections;
mod forward;
mod incoming;
mod server;
mod stream;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use budget::{Budget, Buffer, ReadError, Reservation};
pub use client::{Client, ClientError, request};
pub use connections::Connections;
pub use forward::forward;
pub use incoming::Incoming;
pub use server::{Body, bind, full, json, read_limited, serve, serve_clients};
pub use stream::Stream;

/// Locks a mutex whose state is consistent even if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
