//! Workers whose clocks begin with each incarnation, and that are cut off soon after a restart.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use sched::Limits;

use super::World;
use super::leader::Leader;

impl World {
    /// The same, with workers whose clocks begin with each incarnation, and that accept longer leases than leaders grant.
    pub fn with_own_clocks(mut self) -> World {
        let max_lease = Duration::from_secs(10);
        self.limits = Limits { max_lease, lease: sched::lease(max_lease), ..self.limits };
        self.leader = Leader::new(self.limits, self.clock(), 1, self.config.clone(), &[]);
        self.boots = Some(BTreeMap::new());
        (0..4).for_each(|place| self.boot(place));
        self
    }

    /// When the clock of an incarnation began.
    pub(super) fn clock_start(&self, id: &str) -> Duration {
        self.boots.as_ref().and_then(|boots| boots.get(id)).copied().unwrap_or_default()
    }

    /// When a lease ends that an incarnation has accepted, for a deadline on its own clock.
    pub(super) fn lease_end(&self, id: &str, deadline: Duration) -> Duration {
        (self.clock_start(id) + deadline).min(self.now + self.limits.max_lease)
    }

    /// Restarts a worker, and cuts it off soon after, just when another host becomes the leader.
    pub(super) fn cut_restarted_worker(&mut self) {
        if self.cut_after_restart.is_none() && self.rng.random_bool(0.004) {
            let place = self.rng.random_range(0..4);
            self.boot(place);
            let cut_off_at = self.now + Duration::from_millis(self.rng.random_range(500..3000));
            self.cut_after_restart = Some((place, cut_off_at));
        }
        let Some((place, cut_off_at)) = self.cut_after_restart.filter(|_| self.store_up) else { return };
        if cut_off_at <= self.now {
            self.cut_after_restart = None;
            self.take_over();
            let address = format!("10.0.0.{place}:80");
            let cut_off = self.workers.values_mut().filter(|worker| worker.info.address == address);
            cut_off.for_each(|worker| worker.reachable = false);
        }
    }
}
