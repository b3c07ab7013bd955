//! The HTTP gateway for callers' requests: classification, admission, routing, dispatch and response.
//!
//! The decisions are made by the `request` package; this package does the I/O. A request gets one of three kinds of
//! response: the complete response of the backend server, "not run" (no byte of the request can have reached a
//! backend server), or "unknown". The header `walkhook-outcome` marks the last two.

mod accept;
mod body;
mod connections;
mod dispatch;
mod handover;
mod keyed;
mod relay;
mod response;
mod service;
mod state;

pub use state::{ClassStats, Gateway, RelayHost, Topology};
