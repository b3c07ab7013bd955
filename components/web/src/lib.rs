//! HTTP helpers based on `hyper-util`: a JSON client whose errors tell whether a request may have been received, and a
//! server with graceful shutdown.

mod client;
mod server;

pub use client::{Client, ClientError, request};
pub use server::{Body, full, json, read_limited, serve};
