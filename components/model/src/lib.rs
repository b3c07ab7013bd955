//! The vocabulary that every other package shares: identifiers, resources, workloads, tasks and the
//! typed reasons that operators are shown.
//!
//! Nothing here performs I/O or reads a clock.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod plan;
mod reason;
mod resources;
pub mod task;
pub mod units;
pub mod workload;

pub use reason::Reason;
pub use resources::Resources;

/// Name of a user's cell, for example `ferroplan`. One cell spans all of a user's data centres.
pub type CellId = String;
/// Name of a data centre, unique in the cell.
pub type DataCentreId = String;
/// Name of an entry host, unique in the cell. A replaced host may reuse it.
pub type HostId = String;
/// Name of a worker, unique in the cell.
pub type WorkerId = String;
/// Name of a rack, unique in its data centre.
pub type RackId = String;
/// Name of a team; quotas and fairness are counted by team.
pub type TeamId = String;
/// Name of a workload, unique in the cell.
pub type WorkloadId = String;
/// Name of a class of requests, from the settings.
pub type ClassId = String;
/// Unique id of one operator command, chosen by the client and never reused.
pub type CommandId = uuid::Uuid;
/// A number that only grows and that fences off an earlier holder or owner.
pub type Epoch = u64;
/// Distinguishes two lives of a process at the same address; later lives have a larger number.
pub type Incarnation = u64;
/// Revision of a record or of the whole configuration in the platform's key-value service.
pub type Revision = u64;
/// Number of a partition of jobs within one data centre.
pub type Partition = u16;
