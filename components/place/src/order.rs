//! In which order waiting work is looked at: urgent before patient, fair between teams, and the oldest is
//! placed in the end.

use std::collections::HashMap;
use std::time::Duration;

use model::workload::Priority;
use model::{Resources, TeamId, WorkloadId};

/// Patient and normal work that has waited for so long goes before its class, whatever its team uses.
pub const STARVATION_AGE: Duration = Duration::from_secs(600);

/// What a team has committed, and what it may.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Committed in this data centre.
    pub used: Resources,
    /// Its quota there, when it has one.
    pub quota: Option<Resources>,
}

impl Usage {
    /// Whether `more` stays within the quota.
    pub fn allows(&self, more: &Resources) -> bool {
        let Some(quota) = self.quota else { return true };
        self.used.checked_add(more).is_some_and(|sum| sum.fits_in(&quota))
    }
}

/// Work that waits.
#[derive(Clone, Debug)]
pub struct WaitingWork {
    /// Its workload.
    pub workload: WorkloadId,
    /// The team that it counts for.
    pub team: TeamId,
    /// Its priority.
    pub priority: Priority,
    /// How long it has waited.
    pub waited: Duration,
}

/// Position in the order; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    tier: u8,
    share: f64,
    /// Negated, so that the longest wait is the lowest.
    waited: f64,
}

/// Ranks claimants, the first to be looked at first.
///
/// Within a priority the team with the smallest dominant share of `total` goes first, then the longest wait.
pub fn order(claimants: &[WaitingWork], usage: &HashMap<TeamId, Usage>, total: &Resources) -> Vec<usize> {
    let mut positions: Vec<(Rank, usize)> = Vec::with_capacity(claimants.len());
    for (at, claimant) in claimants.iter().enumerate() {
        let used = usage.get(&claimant.team).map(|usage| usage.used).unwrap_or_default();
        positions.push((rank(claimant, used.dominant_share(total)), at));
    }
    positions.sort_by(|(left, left_at), (right, right_at)| {
        left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal).then(left_at.cmp(right_at))
    });
    positions.into_iter().map(|(_, at)| at).collect()
}

fn rank(claimant: &WaitingWork, share: f64) -> Rank {
    let waited = -claimant.waited.as_secs_f64();
    let starving = claimant.waited >= STARVATION_AGE;
    match claimant.priority {
        Priority::Urgent => Rank { tier: 0, share, waited },
        // The starving are in order of age alone: no team's small use may pass them for ever.
        _ if starving => Rank { tier: 1, share: 0.0, waited },
        Priority::Normal => Rank { tier: 2, share, waited },
        Priority::Patient => Rank { tier: 3, share, waited },
    }
}
