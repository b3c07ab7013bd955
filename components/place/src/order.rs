//! The order in which waiting work is considered: by priority, then fairly between teams, and without starvation.

use std::collections::HashMap;
use std::time::Duration;

use model::workload::Priority;
use model::{Resources, TeamId, WorkloadId};

/// Normal or patient work that has waited for this long goes before all other work except urgent work, whatever its
/// team uses.
pub const STARVATION_AGE: Duration = Duration::from_secs(600);

/// Resources used by a team, and its quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Committed to its tasks in this data centre.
    pub used: Resources,
    /// Quota in this data centre, if the team has one.
    pub quota: Option<Resources>,
}

impl Usage {
    /// Whether the team stays within its quota with `more` added.
    pub fn allows(&self, more: &Resources) -> bool {
        let Some(quota) = self.quota else { return true };
        self.used.checked_add(more).is_some_and(|sum| sum.fits_in(&quota))
    }
}

/// A workload with tasks that wait to be placed.
#[derive(Clone, Debug)]
pub struct WaitingWork {
    pub workload: WorkloadId,
    /// The team whose quota it counts against.
    pub team: TeamId,
    pub priority: Priority,
    /// How long it has waited.
    pub waited: Duration,
}

/// Sort key of waiting work; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    tier: u8,
    share: f64,
    /// Seconds waited, negated so that the longest wait sorts first.
    negated_wait: f64,
}

/// Returns the indices of `waiting` in the order in which the work is to be considered.
///
/// Within a priority, teams with the smallest dominant share of `total` go first, then the longest wait.
pub fn order(waiting: &[WaitingWork], usage: &HashMap<TeamId, Usage>, total: &Resources) -> Vec<usize> {
    let mut ranked: Vec<(Rank, usize)> = Vec::with_capacity(waiting.len());
    for (index, work) in waiting.iter().enumerate() {
        let used = usage.get(&work.team).map(|usage| usage.used).unwrap_or_default();
        ranked.push((rank(work, used.dominant_share(total)), index));
    }
    ranked.sort_by(|(left, left_index), (right, right_index)| {
        left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal).then(left_index.cmp(right_index))
    });
    ranked.into_iter().map(|(_, index)| index).collect()
}

fn rank(work: &WaitingWork, share: f64) -> Rank {
    let negated_wait = -work.waited.as_secs_f64();
    let is_starving = work.waited >= STARVATION_AGE;
    match work.priority {
        Priority::Urgent => Rank { tier: 0, share, negated_wait },
        // Starving work is ordered by waiting time alone, so that teams that use little can't overtake it indefinitely.
        _ if is_starving => Rank { tier: 1, share: 0.0, negated_wait },
        Priority::Normal => Rank { tier: 2, share, negated_wait },
        Priority::Patient => Rank { tier: 3, share, negated_wait },
    }
}
