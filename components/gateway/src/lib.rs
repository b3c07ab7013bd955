//! The path of a caller's request: accept, classify, admit, route, dispatch, answer.
//!
//! The decisions stand in the `request` package; here they meet sockets. A request is answered with one of
//! three truths: the backend server's whole answer, "not run" (no byte of it can have reached a backend
//! server), or "unknown". The header `walkhook-outcome` names the last two.

mod accept;
mod answer;
mod body;
mod dispatch;
mod handover;
mod keyed;
mod link;
mod relay;
mod service;
mod state;

pub use state::{ClassStats, Gateway, RelayHost, Topology};
