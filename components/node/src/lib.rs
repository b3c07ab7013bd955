//! Runs an entry host. Each module runs one or more tasks with their own state; [`run`] starts them all and
//! stops them in order.
//!
//! [`membership`], [`configuration`], [`listing`] and [`pull`] replicate state from peers and from the platform.
//! [`owner`] and [`schedule`] make scheduling decisions, which [`held_workers`] sends to the workers. [`commit`]
//! writes operators' changes and the ends of tasks to the platform. [`commands`] and [`show`] answer operators,
//! and [`services`] tells the gateway which instances can serve callers' requests.

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
mod release;
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
