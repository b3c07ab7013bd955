//! Small helpers around `hyper-util`: a JSON client whose faults tell whether the request can have been
//! received, and a server loop that stops without cutting off requests.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod client;
mod server;

pub use client::{Client, ClientError, request};
pub use server::{Body, full, json, read_limited, serve};
