//! The waiting units in their order, kept between planning passes.
//!
//! A pass updates the units of jobs that changed and of those whose tier changes with time. All others keep their
//! place, so that a pass under a large backlog doesn't look at every waiting unit's job.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use model::Resources;
use work::{JobId, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::{Entry, UnitState};
use crate::quota::WorkspaceIndex;
use crate::rank::{Candidate, Key};
use crate::reports::taken_room;
use crate::worker_set::WorkerSet;

/// What kept a unit from starting when it was last examined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// There was no room on the workers that may run it, or it hasn't been examined.
    #[default]
    Room,
    /// Its workspace's limit.
    Quota,
    /// The room that is left free for more urgent queues.
    Headroom,
}

/// What is needed to decide whether a unit is examined, as of its last change.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// What a task counts against its workspace's limit.
    pub need: Resources,
    /// Room that a task takes.
    pub taken: Resources,
    pub gang: bool,
    /// Number of tasks, and of those that are pending.
    pub count: usize,
    pub pending: usize,
    pub workspace: Option<WorkspaceIndex>,
    pub has_claims: bool,
    pub obstacle: Obstacle,
    /// It is examined again after this time at the latest.
    pub retry_at: Duration,
    /// When it was last examined, or began to wait.
    pub examined_at: Duration,
    /// When the last of its tickets expires.
    pub tickets_until: Duration,
    /// Workers that the advice service allows; `None` if its queue doesn't use advice.
    pub allowed: Option<Allowed>,
}

/// Workers that the advice service allows for a unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowed {
    /// Number of tickets from which the set was made. Tickets are replaced but never removed.
    tickets: usize,
    pub workers: WorkerSet,
}

/// What is kept for a job with waiting units.
#[derive(Debug, Default)]
struct RankedJob {
    places: Vec<(Key, Unit)>,
    /// The last moment at which the order of its units is certainly as it is.
    until: Duration,
}

/// Units with pending tasks whose dependencies are done, the most urgent first.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    order: BTreeMap<(Key, Unit), Waiting>,
    jobs: HashMap<JobId, RankedJob>,
    /// Jobs by the moment after which the order of their units changes.
    changes: BTreeSet<(Duration, JobId)>,
    /// Jobs with waiting units whose order depends on the wall clock.
    scheduled: BTreeSet<JobId>,
    /// Jobs with rounds that haven't been opened.
    pub unopened: BTreeSet<JobId>,
    /// Jobs with gangs that lost a member.
    pub broken: BTreeSet<JobId>,
    /// Units for which room is reserved.
    pub claiming: BTreeSet<Unit>,
}

impl Ranking {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All units, the most urgent first.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Candidate, &mut Waiting)> {
        self.order.iter_mut().map(|((key, unit), waiting)| (Candidate::new(*unit, *key), waiting))
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.order.values()
    }

    /// Jobs whose units may have to be moved although they haven't changed.
    fn due(&self, now: Duration) -> Vec<JobId> {
        let changed = self.changes.iter().take_while(|(until, _)| *until < now).map(|(_, id)| *id);
        changed.chain(self.scheduled.iter().copied()).collect()
    }

    /// Removes a job and returns its units.
    fn remove(&mut self, id: JobId) -> Vec<(Unit, Waiting)> {
        let Some(job) = self.jobs.remove(&id) else { return Vec::new() };
        self.changes.remove(&(job.until, id));
        self.scheduled.remove(&id);
        let units = job.places.into_iter().filter_map(|place| Some((place.1, self.order.remove(&place)?)));
        let units: Vec<(Unit, Waiting)> = units.collect();
        units.iter().for_each(|(unit, _)| {
            self.claiming.remove(unit);
        });
        units
    }

    fn insert(&mut self, id: JobId, units: Vec<(Key, Unit, Waiting)>, until: Duration, scheduled: bool) {
        if units.is_empty() {
            return;
        }
        let places = units.iter().map(|(key, unit, _)| (*key, *unit)).collect();
        let claiming = units.iter().filter(|(_, _, waiting)| waiting.has_claims).map(|(_, unit, _)| *unit);
        self.claiming.extend(claiming);
        self.order.extend(units.into_iter().map(|(key, unit, waiting)| ((key, unit), waiting)));
        self.changes.insert((until, id));
        if scheduled {
            self.scheduled.insert(id);
        }
        self.jobs.insert(id, RankedJob { places, until });
    }
}

impl Waiting {
    /// Notes the result of examining the unit.
    pub(crate) fn update(&mut self, state: &UnitState) {
        self.pending = state.pending;
        self.has_claims = !state.claims.is_empty();
        self.obstacle = state.obstacle;
        self.retry_at = state.retry_at;
        self.examined_at = state.examined_at.unwrap_or(self.examined_at);
    }
}

impl Engine {
    /// Updates the order of the units of these jobs, and of those whose order changes with time.
    pub(crate) fn update_ranking(&mut self, clock: Clock, mut changed: Vec<JobId>) {
        let mut ranking = std::mem::take(&mut self.ranking);
        changed.extend(ranking.due(clock.now));
        changed.sort_unstable();
        changed.dedup();
        changed.into_iter().for_each(|id| self.rank_job(clock, id, &mut ranking));
        self.ranking = ranking;
    }

    fn rank_job(&mut self, clock: Clock, id: JobId, ranking: &mut Ranking) {
        let before = ranking.remove(id);
        let Some(entry) = self.jobs.get(&id).filter(|_| self.live.contains(&id)) else { return };
        let Some(queue) = self.queues.get(&entry.queue) else { return };
        let mut units = Vec::new();
        let mut until = Duration::MAX;
        for ((round, step), state) in &entry.units {
            if state.pending == 0 || !entry.unblocked(*round, *step) {
                continue;
            }
            let unit = Unit { job: id, round: *round, step: *step };
            let earlier = before.iter().find(|(other, _)| *other == unit).map(|(_, waiting)| waiting);
            let Some(waiting) = self.waiting_unit(clock, entry, unit, state, queue.advice.is_some(), earlier) else {
                continue;
            };
            let key = self.key(clock, entry, queue, *round);
            until = until.min(self.tier_end(clock, entry, queue, *round, key.0));
            units.push((key, unit, waiting));
        }
        ranking.insert(id, units, until, entry.job.schedule.is_some());
    }

    fn waiting_unit(
        &self,
        clock: Clock,
        entry: &Entry,
        unit: Unit,
        state: &UnitState,
        has_advice: bool,
        earlier: Option<&Waiting>,
    ) -> Option<Waiting> {
        let step = entry.step(unit.step)?;
        let began = earlier.map_or(clock.now, |earlier| earlier.examined_at);
        let allowed = has_advice.then(|| self.allowed(state, earlier.and_then(|earlier| earlier.allowed.as_ref())));
        Some(Waiting {
            need: step.need,
            taken: taken_room(step),
            gang: step.gang,
            count: state.count,
            pending: state.pending,
            workspace: entry.workspace,
            has_claims: !state.claims.is_empty(),
            obstacle: state.obstacle,
            retry_at: state.retry_at,
            examined_at: state.examined_at.unwrap_or(began),
            tickets_until: state.advice.healthy.values().map(|ticket| ticket.until).max().unwrap_or_default(),
            allowed,
        })
    }

    /// The workers that the advice service allows for a unit. Names are looked up only after new answers.
    fn allowed(&self, state: &UnitState, earlier: Option<&Allowed>) -> Allowed {
        let tickets = state.advice.healthy.len();
        if let Some(earlier) = earlier.filter(|earlier| earlier.tickets == tickets) {
            return earlier.clone();
        }
        let mut workers = WorkerSet::default();
        state.advice.healthy.keys().for_each(|number| workers.insert(*number));
        Allowed { tickets, workers }
    }
}
