//! The operators' HTTP interface, and the types that the command line client shares with it.
//!
//! The OpenAPI document is committed as `docs/openapi.json`; a test holds both together.

mod server;
mod types;

pub use server::{Operators, description, start};
pub use types::{Command, Health, Outcome, Rows, Status};

/// Version of the interface.
pub const VERSION: &str = "1.0.0";
