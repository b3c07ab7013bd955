//! Types that all other packages share: identifiers, resources, workloads, tasks and the typed reasons that are
//! shown to operators.
//!
//! Nothing here performs I/O or reads a clock.

pub mod plan;
mod reason;
mod resources;
pub mod task;
pub mod units;
pub mod workload;

pub use reason::Reason;
pub use resources::Resources;

/// Name of a user's cell, for example `ferroplan`. One cell spans all data centres of a user.
pub type CellId = String;
/// Name of a data centre, unique in the cell.
pub type DataCentreId = String;
/// Name of an entry host, unique in the cell. The replacement of a host may reuse its name.
pub type HostId = String;
/// Name of a worker, unique in the cell.
pub type WorkerId = String;
/// Name of a rack, unique in its data centre.
pub type RackId = String;
/// Name of a team; quotas and fair sharing apply per team.
pub type TeamId = String;
/// Name of a workload, unique in the cell.
pub type WorkloadId = String;
/// Name of a request class, from the settings.
pub type ClassId = String;
/// Unique id of an operator command, chosen by the client and never reused.
pub type CommandId = uuid::Uuid;
/// Fencing token: it only grows, and whoever holds a lower one is rejected.
pub type Epoch = u64;
/// Distinguishes successive runs of a process at the same address; a later run has a larger number.
pub type Incarnation = u64;
/// Revision of a record, or of the whole configuration, in the platform's key-value service.
pub type Revision = u64;
/// Number of a partition of jobs within one data centre.
pub type Partition = u16;
