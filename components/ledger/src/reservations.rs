//! Room that is reserved for a workload while it becomes free: for a gang that gathers its workers, a large task
//! that small ones would starve, or urgent work whose victims are stopping.
//!
//! A reservation ends by itself, so a coordinator that dies leaves none behind.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{Resources, WorkloadId};

/// A reservation lives for so long unless it is renewed.
pub(crate) const RESERVATION_TTL: Duration = Duration::from_secs(3);

/// Room reserved for one workload.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// How much.
    pub resources: Resources,
    /// Lower goes first, the same at every holder.
    pub seniority: u64,
    /// When it ends.
    pub until: Instant,
}

/// The reservations on one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations(BTreeMap<WorkloadId, Reservation>);

impl Reservations {
    pub(crate) fn put(&mut self, workload: WorkloadId, resources: Resources, seniority: u64, now: Instant) {
        self.expire(now);
        self.0.insert(workload, Reservation { resources, seniority, until: now + RESERVATION_TTL });
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, reservation| reservation.until > now);
    }

    /// Takes a started task's size off its workload's reservation.
    pub(crate) fn consume(&mut self, workload: &str, resources: &Resources) {
        let Some(reservation) = self.0.get_mut(workload) else { return };
        reservation.resources = reservation.resources.saturating_sub(resources);
        if reservation.resources == Resources::ZERO {
            self.0.remove(workload);
        }
    }

    /// What is reserved from `workload` for others: all reservations senior to its own, or all when it has none.
    pub(crate) fn reserved_for_others(&self, workload: Option<&str>, now: Instant) -> Resources {
        let own = workload.and_then(|name| self.0.get(name)).map(|own| own.seniority);
        let mut reserved = Resources::ZERO;
        for (name, reservation) in &self.0 {
            let is_own = Some(name.as_str()) == workload;
            let junior = own.is_some_and(|own| reservation.seniority > own);
            if is_own || junior || reservation.until <= now {
                continue;
            }
            reserved = reserved.checked_add(&reservation.resources).unwrap_or(reserved);
        }
        reserved
    }
}
