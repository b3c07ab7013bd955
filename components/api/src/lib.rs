//! The HTTP API for operators, and the request and response types that it shares with the command line client.
//!
//! `docs/openapi.json` is its OpenAPI document; a test checks that it is up to date.

mod server;
mod types;

pub use server::{OperatorHandler, description, start};
pub use types::{Command, Health, Outcome, Rows, Status};

/// Version of the API.
pub const VERSION: &str = "1.0.0";
