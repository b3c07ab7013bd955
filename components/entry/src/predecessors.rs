//! Earlier leaders that may still grant leases. Until all of them have certainly ended, the next leader waits before it
//! restarts what unreachable workers may run.

use std::time::Duration;

use sched::Limits;
use serde::{Deserialize, Serialize};

use crate::message::{Leader, or_default};

/// Maximum number of leaders that are remembered by name. More of them within the time for which a leader may remain
/// active are counted as unknown.
const MAX_LEADERS: usize = 8;

/// What is known of the leaders before a term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessors {
    /// Those that may still be active.
    leaders: Vec<Leader>,
    /// Whether others may be active, which may run another version.
    unknown: bool,
    /// For how long they may be active at most; zero if none is.
    active_for: Duration,
    /// After which time all leases that they granted have ended; `None` if one of them grants leases whatever the age of its
    /// last renewal, as earlier versions do, which also end the record before this field.
    #[serde(deserialize_with = "or_default")]
    leases_for: Option<Duration>,
}

/// The last leader that won a claim, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LastLeader {
    pub leader: Leader,
    /// The leaders before it. Earlier versions end the record before this field.
    #[serde(deserialize_with = "or_default")]
    pub predecessors: Predecessors,
    /// Whether the leader grants leases by [`Limits::grantable_lease`]. Earlier versions end the record before this field.
    #[serde(deserialize_with = "or_default")]
    pub bounded_leases: bool,
}

impl Predecessors {
    /// The leaders before a claim that replaces `last`, which hasn't said that it has ended. `vacant_for` is the time from the
    /// last renewal of its lease in the store to the claim at least.
    pub(crate) fn before_claim(last: Option<LastLeader>, limits: &Limits, vacant_for: Duration) -> Predecessors {
        let Some(LastLeader { leader, predecessors, bounded_leases }) = last else {
            return Predecessors::unknown(limits);
        };
        let are_bounded = bounded_leases && (predecessors.have_ended() || predecessors.leases_for.is_some());
        let leases_for = are_bounded
            .then(|| limits.replaced_lapse_time(vacant_for).max(predecessors.leases_for.unwrap_or_default()));
        let mut leaders: Vec<Leader> = [leader].into_iter().chain(predecessors.leaders).collect();
        let unknown = predecessors.unknown || leaders.len() > MAX_LEADERS;
        leaders.truncate(MAX_LEADERS);
        Predecessors { leaders, unknown, active_for: limits.activity(!unknown), leases_for }
    }

    /// Leaders of which nothing is known.
    pub(crate) fn unknown(limits: &Limits) -> Predecessors {
        Predecessors { leaders: Vec::new(), unknown: true, active_for: limits.activity(false), leases_for: None }
    }

    /// Whether none of them is active.
    pub(crate) fn have_ended(&self) -> bool {
        self.active_for.is_zero()
    }

    /// Whether all of them are known.
    pub(crate) fn are_known(&self) -> bool {
        !self.unknown
    }

    pub(crate) fn active_for(&self) -> Duration {
        self.active_for
    }

    /// After which time all leases that they granted have ended, if that is known.
    pub(crate) fn leases_for(&self) -> Option<Duration> {
        self.leases_for
    }

    /// The same leaders, which may be active for this long, and whose leases last for so long.
    pub(crate) fn with_remaining(&self, active_for: Duration, leases_for: Option<Duration>) -> Predecessors {
        match active_for.is_zero() {
            true => Predecessors::default(),
            false => Predecessors { active_for, leases_for, ..self.clone() },
        }
    }

    /// The same leaders before a leader that has just ended and may have granted leases until then.
    pub(crate) fn before_ended_leader(self, limits: &Limits) -> Predecessors {
        let leases_for = self.leases_for.map(|leases_for| leases_for.max(limits.lease_lapse_time()));
        Predecessors { leases_for, ..self }
    }

    /// Removes the leaders that have ended, and returns them.
    pub(crate) fn remove(&mut self, has_ended: impl Fn(&Leader) -> bool) -> Vec<Leader> {
        let (ended, leaders) = std::mem::take(&mut self.leaders).into_iter().partition(has_ended);
        self.leaders = leaders;
        if self.leaders.is_empty() && !self.unknown {
            self.active_for = Duration::ZERO;
        }
        ended
    }
}
