//! What earlier leaders may have left running: until when they may still act, and when their leases have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use work::WorkerId;

use crate::engine::{Clock, Engine};
use crate::lost_runs::WorkerEndReason;
use crate::worker::{Contact, Worker};

/// What tells whether runs that earlier leaders ordered may go on without being listed.
pub(crate) struct Unseen<'a> {
    workers: &'a BTreeMap<WorkerId, Worker>,
    departed: &'a BTreeSet<WorkerId>,
    settled: bool,
    now: Duration,
    /// Time after which a lease granted just now has certainly expired, whatever its duration.
    longest: Duration,
}

impl Unseen<'_> {
    /// Whether a run that an earlier leader ordered may be on a worker that hasn't listed it yet.
    pub(crate) fn may_run(&self, worker: &str) -> bool {
        match self.workers.get(worker) {
            Some(known) => {
                let may_hold_lease = !self.settled || known.may_hold_former_lease(self.now, self.longest);
                known.contact == Contact::Unknown && may_hold_lease
            }
            // The log may lack a worker; its runs are unknown, too, unless it is known to have ended.
            None => !self.settled && !self.departed.contains(worker),
        }
    }
}

impl Engine {
    /// Sets how long after the start of this term earlier leaders may still grant leases; see [`crate::Limits::activity`].
    pub fn set_predecessor_activity(&mut self, active_for: Duration) {
        self.predecessor_active = active_for;
    }

    /// Sets how long after the start of this term all leases that earlier leaders granted have certainly ended.
    pub fn set_predecessor_leases(&mut self, ended_after: Duration) {
        self.predecessor_leases = Some(ended_after);
    }

    /// After which time from now on all leases that earlier leaders granted have certainly ended, if that is known.
    pub fn predecessor_leases_for(&self, now: Duration) -> Option<Duration> {
        self.predecessor_leases.map(|ended_after| (self.term_start + ended_after).saturating_sub(now))
    }

    /// For how long from now on earlier leaders may still grant leases.
    pub fn predecessor_active_for(&self, now: Duration) -> Duration {
        (self.term_start + self.predecessor_active).saturating_sub(now)
    }

    /// Records that no earlier leader grants leases any more, as of `now`.
    pub fn predecessor_ended(&mut self, now: Duration) {
        self.predecessor_active = self.predecessor_active.min(now.saturating_sub(self.term_start));
    }

    /// What tells whether runs that earlier leaders ordered may go on without being listed.
    pub(crate) fn unseen(&self) -> Unseen<'_> {
        Unseen {
            workers: &self.workers,
            departed: &self.departed,
            settled: self.settled,
            now: self.pass_time,
            longest: self.limits.max_lease_lapse_time(),
        }
    }

    /// Determines whether everything that earlier leaders started has certainly ended where it isn't known.
    pub(crate) fn update_settled(&mut self, clock: Clock) {
        self.pass_time = clock.now;
        if self.settled {
            return self.drop_unseen(clock);
        }
        let lapse_time = self.predecessor_active + self.limits.lease_lapse_time();
        let lapse_time = self.predecessor_leases.map_or(lapse_time, |ended_after| ended_after.min(lapse_time));
        self.settled = clock.now.saturating_sub(self.term_start) > lapse_time;
    }

    /// Ends workers that have never answered in this term, aren't listed any more, and whose leases have expired:
    /// leases of earlier terms have expired by now.
    fn drop_unseen(&mut self, clock: Clock) {
        let longest = self.limits.max_lease_lapse_time();
        let unseen = |worker: &Worker| {
            worker.contact == Contact::Unknown
                && worker.unlisted_since.is_some()
                && !worker.may_hold_former_lease(clock.now, longest)
        };
        let ids: Vec<WorkerId> =
            self.workers.iter().filter(|(_, worker)| unseen(worker)).map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.end_worker(clock, id, WorkerEndReason::Unseen));
    }
}
