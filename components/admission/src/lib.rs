//! Admission control under overload: decides whether a new job can still end while its result has value.
//!
//! All decisions are functions of the load snapshots, the jobs and the times that are passed in; there is no I/O and
//! no clock. See `docs/design/admission.md` for the rules and their reasons.

mod attempts;
mod controller;
mod correction;
mod decision;
mod demand;
mod forecast;
mod inflow;
mod load;
mod meter;
mod meters;
mod reservation;

pub use controller::Controller;
pub use decision::{Admission, Decision, Refusal};
pub use demand::Demand;
pub use forecast::{Forecast, Wait};
pub use load::{Budget, Class, FirstStart, Hosts, Lane, Load, Pool, Queue, Tier, Work};
