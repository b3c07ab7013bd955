//! Reservations of room on a worker: for a gang until there is room for all its tasks, for a large task that small
//! ones would otherwise starve, or for urgent work while the attempts that it preempts are stopping.
//!
//! Reservations expire unless they are renewed, so a coordinator that crashes leaves none behind.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Resources, WorkloadId};

/// Lifetime of a reservation that is not renewed.
pub(crate) const RESERVATION_TTL: Duration = Duration::from_secs(3);

/// Room reserved for one workload.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The resources that are reserved.
    pub resources: Resources,
    /// Precedence among reservations, the same on all holders. Lower values take precedence.
    pub seniority: u64,
    /// When it expires.
    pub expires_at: Instant,
}

/// The reservations on one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations(BTreeMap<WorkloadId, Reservation>);

impl Reservations {
    pub(crate) fn insert(&mut self, workload: WorkloadId, resources: Resources, seniority: u64, now: Instant) {
        self.expire(now);
        self.0.insert(workload, Reservation { resources, seniority, expires_at: now + RESERVATION_TTL });
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, reservation| reservation.expires_at > now);
    }

    /// Reduces a workload's reservation by the resources of one of its tasks that was started.
    pub(crate) fn consume(&mut self, workload: &str, resources: &Resources) {
        let Some(reservation) = self.0.get_mut(workload) else { return };
        reservation.resources = reservation.resources.saturating_sub(resources);
        if reservation.resources == Resources::ZERO {
            self.0.remove(workload);
        }
    }

    /// Resources that `workload` must leave to others: the reservations that take precedence over its own, or all
    /// reservations if it has none.
    pub(crate) fn reserved_for_others(&self, workload: Option<&str>, now: Instant) -> Resources {
        let own_seniority = workload.and_then(|name| self.0.get(name)).map(|own| own.seniority);
        let mut reserved = Resources::ZERO;
        for (name, reservation) in &self.0 {
            let is_own = Some(name.as_str()) == workload;
            let junior = own_seniority.is_some_and(|own| reservation.seniority > own);
            if is_own || junior || reservation.expires_at <= now {
                continue;
            }
            reserved = reserved.checked_add(&reservation.resources).unwrap_or(reserved);
        }
        reserved
    }
}
