//! HTTP helpers based on `hyper-util`: a JSON client whose errors tell whether a request may have been received, and a
//! server with graceful shutdown.

mod budget;
mod client;
mod connections;
mod incoming;
mod server;
mod stream;

pub use budget::{Budget, Buffer, ReadError, Reservation};
pub use client::{Client, ClientError, request};
pub use connections::Connections;
pub use incoming::Incoming;
pub use server::{Body, full, json, read_limited, serve, serve_clients};
