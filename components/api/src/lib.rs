//! The operators' HTTP interface, and the types that the command line client shares with it.
//!
//! The OpenAPI document is committed as `docs/openapi.json`; a test holds both together.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod server;
mod types;

pub use server::{OperatorHandler, description, start};
pub use types::{Command, Health, Outcome, Rows, Status};

/// Version of the interface.
pub const VERSION: &str = "1.0.0";
