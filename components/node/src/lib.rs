//! An entry host: all of its parts put together, each a loop with its own state.
//!
//! Facts come in by [`membership`], [`configuration`], [`listing`] and [`pull`]; [`owner`] and [`schedule`]
//! decide about work, [`holds`] carries the decisions out at the workers, [`commit`] makes them durable where
//! they must last, [`commands`] and [`show`] answer operators, and [`services`] tells the gateway where
//! callers' requests can go.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod answer;
mod claims;
mod commands;
mod commit;
mod configuration;
mod held_workers;
mod keys;
mod listing;
mod membership;
mod operators;
mod owner;
mod peers;
mod pull;
mod recovery;
mod reservations;
mod schedule;
mod send;
mod services;
mod shared;
mod show;
mod start;
mod stop;
mod sweep;
mod usage;

pub use start::{StartError, run};
