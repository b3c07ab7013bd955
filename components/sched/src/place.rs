//! Places the tasks of units on workers.

use std::time::Duration;

use work::{Attempt, JobId, Record, Step, Task, Unit, WorkerId};

use crate::engine::{Action, Clock, Engine, Start};
use crate::entry::{Entry, Phase, UnitState};
use crate::limits::{MAX_TICKET_MARGIN, TICKET_MARGIN};
use crate::pass::{Part, Pass};
use crate::rank::Candidate;
use crate::ranking::Obstacle;
use crate::reports::taken_room;
use crate::room::{Choice, Room};
use crate::selection::{EXAMINE_INTERVAL, SHORT_EXAMINE_INTERVAL};
use crate::worker::{self, ExtraDelays, Run, Worker};

/// Maximum number of rounds of one job that are opened in one pass.
const MAX_ROUNDS_PER_PASS: u32 = 16;
/// No further rounds of a job are opened while it has this many unfinished units.
const MAX_OPEN_UNITS: usize = 256;
/// No further round of a job is opened while this many of its tasks aren't done: the number that the whole cell is designed
/// to run.
pub(crate) const MAX_OPEN_TASKS: usize = 10_000;

impl Engine {
    /// Runs one scheduling pass: starts tasks, asks the advice service, and stops the remaining members of broken
    /// gangs.
    pub fn plan(&mut self, clock: Clock) {
        if std::mem::take(&mut self.reconfigured) {
            self.fail_exhausted(clock);
        }
        self.update_settled(clock);
        self.free_handed_over(clock);
        let mut changed = self.jobs.take_changed();
        self.open_due_rounds(clock, &changed);
        changed.extend(self.jobs.take_changed());
        self.stop_broken_gangs(&changed);
        self.finish_part(Part::Upkeep);
        self.update_ranking(clock, changed);
        self.finish_part(Part::Selection);
        self.last_pass = Pass { waiting: self.ranking.len(), ..Pass::default() };
        self.held_back = None;
        if self.ranking.is_empty() {
            return;
        }
        self.recount_quota();
        self.finish_part(Part::Quota);
        let mut room = self.fresh_room(clock);
        self.finish_part(Part::Room);
        let claiming: Vec<Unit> = self.ranking.claiming.iter().copied().collect();
        claiming.into_iter().for_each(|unit| self.apply_claims(clock, unit, &mut room));
        if self.has_spare_processor() {
            room.count_cores();
        }
        room.begin_pass();
        self.finish_part(Part::Claims);
        self.examine_waiting(clock, &mut room);
        self.finish_part(Part::Units);
        self.ask(clock, &mut room);
        self.finish_part(Part::Questions);
        room.end_pass();
        self.room = room;
    }

    /// Opens the rounds that are due, of jobs that changed or that have rounds left to open.
    fn open_due_rounds(&mut self, clock: Clock, changed: &[JobId]) {
        self.ranking.unopened.extend(changed);
        let mut unopened = std::mem::take(&mut self.ranking.unopened);
        unopened.retain(|id| self.live.contains(id) && self.open_rounds(clock, *id));
        self.ranking.unopened = unopened;
    }

    /// Opens the rounds of a job that are due. Returns whether it has further ones.
    fn open_rounds(&mut self, clock: Clock, id: JobId) -> bool {
        let is_due = |entry: &Entry| entry.opened < entry.job.rounds() && entry.job.due(entry.opened) <= clock.wall;
        let Some(entry) = self.jobs.get(&id) else { return false };
        // Rounds that became due while there was no leader are opened a few at a time.
        let unfinished = entry.units.values().filter(|unit| !unit.is_complete());
        let (units, mut tasks) = unfinished.fold((0, 0), |(units, tasks), unit| (units + 1, tasks + unit.count));
        if is_due(entry)
            && units < MAX_OPEN_UNITS
            && tasks < MAX_OPEN_TASKS
            && let Some(entry) = self.jobs.get_mut(&id)
        {
            entry.release_complete_units();
            let round_tasks: usize = entry.job.steps.iter().map(|step| step.count as usize).sum();
            let most = entry.opened.saturating_add(MAX_ROUNDS_PER_PASS);
            while is_due(entry) && entry.opened < most && tasks < MAX_OPEN_TASKS {
                entry.open(entry.opened);
                tasks += round_tasks;
            }
        }
        self.jobs.get(&id).is_some_and(|entry| entry.opened < entry.job.rounds())
    }

    /// The room on all usable workers.
    pub(crate) fn room(&self, clock: Clock) -> Room {
        let extra_delays = self.extra_delays();
        Room::new(self.usable(clock, extra_delays), clock.now, extra_delays)
    }

    /// The room of the last pass, updated: rebuilding it costs more than a look at each worker.
    fn fresh_room(&mut self, clock: Clock) -> Room {
        let mut room = std::mem::take(&mut self.room);
        let extra_delays = self.extra_delays();
        if !room.refresh(self.usable(clock, extra_delays), clock.now, extra_delays) {
            room.rebuild(self.usable(clock, extra_delays), clock.now, extra_delays);
        }
        room
    }

    /// Workers that may get new work, by name.
    fn usable(&self, clock: Clock, extra_delays: ExtraDelays) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        let durable = self.durable;
        self.workers.iter().filter(move |(_, worker)| worker.usable(clock.now, durable, extra_delays))
    }

    /// The expected arrival of a start that is decided now at its worker. On a busy leader the record and the order
    /// take long, and a ticket that has expired by then breaks a gang.
    pub(crate) fn start_arrival(&self, clock: Clock) -> Duration {
        let usual = self.start_latency.timeout(TICKET_MARGIN, MAX_TICKET_MARGIN);
        clock.now + if self.start_latency.smoothed().is_some() { usual } else { TICKET_MARGIN }
    }

    /// Starts the tasks of a unit that can be started, notes whether it wants to ask the advice service about the others,
    /// and preempts less urgent runs.
    pub(crate) fn schedule_unit(&mut self, clock: Clock, candidate: &Candidate, room: &mut Room) {
        let unit = candidate.unit;
        // A unit that can't start anyway doesn't ask: the tickets would expire.
        self.requests.remove(&unit);
        if let Some(state) = self.unit_mut_unmarked(unit) {
            state.update_isolation(clock.now);
        }
        let Some(entry) = self.jobs.get(&unit.job) else { return };
        let job = entry.job.clone();
        let Some(step) = job.steps.get(usize::from(unit.step)) else { return };
        let Some(queue) = self.queues.get(&entry.queue).cloned() else { return };
        let Some(state) = entry.units.get(&(unit.round, unit.step)) else { return };
        let need = taken_room(step);
        room.unclaim(&state.claims, &need);
        let broken = step.gang && state.pending != state.count;
        if broken || !self.resolved(state) || state.awaits_worker_ends() {
            self.defer(clock, unit, Obstacle::Room, SHORT_EXAMINE_INTERVAL);
            return;
        }
        let most = self.quota.startable_tasks(entry.workspace, &step.need);
        if most < if step.gang { state.pending } else { 1 } {
            self.defer(clock, unit, Obstacle::Quota, EXAMINE_INTERVAL);
            self.reserve_gang_quota(unit, step);
            return;
        }
        // A job that isn't durable yet is placed anyway: its starts are sent after its own record is written.
        let is_durable = entry.accepted.position <= self.durable;
        // Nor does it keep asking the advice service meanwhile, since the tickets would expire.
        let left = self.headroom_limit(clock, unit, step, &queue, room);
        if left == 0 {
            self.defer(clock, unit, Obstacle::Headroom, EXAMINE_INTERVAL);
            return;
        }
        let start_arrival = self.start_arrival(clock);
        let mut choices = room.choose(clock.now, start_arrival, state, step, &queue);
        choices.truncate(most.min(left));
        let held_back = self.limit_starts(candidate, step, &mut choices);
        self.finish_part(Part::Units);
        if held_back {
            self.defer(clock, unit, Obstacle::Room, Duration::ZERO);
        } else if choices.is_empty() {
            self.defer(clock, unit, Obstacle::Room, EXAMINE_INTERVAL);
        } else {
            self.start(clock, unit, step, choices, room);
        }
        self.finish_part(Part::Starts);
        // Before the job is durable it asks only once: a store outage may be long.
        let may_ask = !held_back && (is_durable || self.unit(unit).is_some_and(|state| state.advice.is_new()));
        if is_durable && !held_back && candidate.on_time() {
            self.preempt_for(clock, unit, step, &queue, room);
        }
        if is_durable && !held_back && self.should_assemble(clock, unit, step) {
            self.assemble(clock, unit, step, &queue, room);
        }
        self.finish_part(Part::Preemption);
        self.apply_claims(clock, unit, room);
        self.reserve_claimed_quota(unit);
        self.update_request(clock, candidate, &queue, may_ask);
    }

    /// Limits the starts of a unit to the budget, and returns whether it kept the unit from starting.
    fn limit_starts(&mut self, candidate: &Candidate, step: &Step, choices: &mut Vec<Choice>) -> bool {
        let held_back = !choices.is_empty() && self.budget.starts == 0;
        if held_back {
            self.held_back.get_or_insert(candidate.urgency());
            self.last_pass.held_back = true;
        }
        if held_back || !step.gang {
            choices.truncate(self.budget.starts);
        }
        self.budget.starts = self.budget.starts.saturating_sub(choices.len());
        held_back
    }

    /// Reserves a gang's share of its workspace's limit while room is assembled for it. Otherwise it would hit the
    /// limit once there is room.
    fn reserve_claimed_quota(&mut self, unit: Unit) {
        let Some(entry) = self.jobs.get(&unit.job) else { return };
        let Some(step) = entry.step(unit.step).filter(|step| step.gang) else { return };
        let Some(state) = entry.units.get(&(unit.round, unit.step)).filter(|state| !state.claims.is_empty()) else {
            return;
        };
        self.quota.add_usage(entry.workspace, &step.need, state.pending);
    }

    /// Reserves what a gang that waits for its workspace's limit needs of it. Otherwise small tasks of less urgent
    /// units of the same workspace would use up whatever becomes free.
    fn reserve_gang_quota(&mut self, unit: Unit, step: &Step) {
        if step.gang {
            let workspace = self.jobs.get(&unit.job).and_then(|entry| entry.workspace);
            self.quota.add_usage(workspace, &step.need, step.count as usize);
        }
    }

    /// Defers a unit that can't start, until it may or until the interval is over.
    fn defer(&mut self, clock: Clock, unit: Unit, obstacle: Obstacle, interval: Duration) {
        if let Some(state) = self.unit_mut_unmarked(unit) {
            state.obstacle = obstacle;
            // Suspects wait for a worker without new runs, which may become one without a change of its room.
            let isolated = state.isolated_until.is_some();
            state.retry_at = clock.now + if isolated { SHORT_EXAMINE_INTERVAL } else { interval };
        }
    }

    /// Withholds the room that is reserved for a unit from all others.
    fn apply_claims(&mut self, clock: Clock, unit: Unit, room: &mut Room) {
        let Some(entry) = self.jobs.get_mut_unmarked(&unit.job) else { return };
        let Some(need) = entry.step(unit.step).map(taken_room) else { return };
        let Some(state) = entry.units.get_mut(&(unit.round, unit.step)) else { return };
        state.claims.retain(|claim| claim.until > clock.now);
        room.claim(&state.claims, &need);
    }

    fn start(&mut self, clock: Clock, unit: Unit, step: &Step, choices: Vec<Choice>, room: &mut Room) {
        let need = taken_room(step);
        let gang_attempt = self.unit(unit).map(|state| self.attempt(state.starts));
        let charge = self.jobs.get(&unit.job).and_then(|entry| entry.charge(unit.step));
        let preemptible = self.preemption_priority(unit, step);
        self.quota.add_usage(charge.map(|charge| charge.workspace), &step.need, choices.len());
        if step.gang
            && let Some(state) = self.unit_mut(unit)
        {
            state.starts += 1;
            state.claims.clear();
        }
        room.take(&choices, &need);
        if let Some(state) = self.unit_mut(unit) {
            state.isolated_until = None;
        }
        for (index, place) in choices {
            let worker = room.places[place].id.clone();
            let task = Task { unit, index: index as u32 };
            let Some(order) = self.start_order(task, step, gang_attempt, room.places[place].number) else { continue };
            let phase = worker::Phase::Starting;
            let suspect = self.is_suspect(task);
            let now = clock.now;
            let run = Run {
                phase,
                need,
                charge,
                preemptible,
                percent: 0,
                progressed_at: now,
                decided_at: now,
                started_at: None,
                listed: false,
                seen_running: false,
                suspect,
            };
            if suspect {
                room.close(place);
            }
            if let Some(held) = self.workers.get_mut(&worker) {
                held.add_run(task, order.attempt, run);
            }
            if let Some(state) = self.unit_mut(unit) {
                state.set_phase(index, Phase::Held(worker.clone(), order.attempt));
                state.claims.retain(|claim| claim.worker != worker);
            }
            let record = Record::Placed { task, attempt: order.attempt, worker: worker.clone() };
            let position = self.record(record);
            self.unsent_starts.push_back((position, worker, order));
        }
    }

    /// Whether it is known of each pending task of a unit what became of the run that an earlier leader placed.
    pub(crate) fn resolved(&self, state: &UnitState) -> bool {
        self.unresolved(state).is_none()
    }

    /// A worker on which an earlier leader placed a task that is pending now, where that run may go on, or may have
    /// ended without being listed.
    pub(crate) fn unresolved<'a>(&self, state: &'a UnitState) -> Option<&'a WorkerId> {
        let open = |worker: &&WorkerId| self.unseen().may_run(worker) || self.may_have_unlisted_ends(worker);
        state.tasks.iter().filter_map(|task| task.inherited.as_ref()).map(|run| &run.worker).find(open)
    }

    /// Whether runs that earlier leaders ordered may have ended on a worker without being listed yet.
    pub(crate) fn may_have_unlisted_ends(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(Worker::may_have_unlisted_ends)
    }

    /// Sends the starts whose records are durable, unless they have become pointless.
    pub(crate) fn send_durable_starts(&mut self, clock: Clock) {
        while let Some((position, worker, start)) = self.unsent_starts.pop_front() {
            if position > self.durable {
                self.unsent_starts.push_front((position, worker, start));
                return;
            }
            if self.is_start_allowed(clock, &worker, &start) {
                self.actions.push(Action::Start(worker, start));
            } else {
                self.release(clock, &worker, start.task, start.attempt);
            }
        }
    }

    /// Whether a start that hasn't been sent yet is still to be sent. It isn't if a stop was decided, the worker is
    /// draining or evacuated, or its capacity has shrunk below the needs of its runs.
    pub fn is_start_wanted(&self, worker: &str, task: Task, attempt: Attempt) -> bool {
        let Some(worker) = self.workers.get(worker) else { return false };
        let run = worker.runs.get(&(task, attempt));
        let starting = run.is_some_and(|run| run.phase == worker::Phase::Starting);
        starting && worker.info.is_open() && !worker.is_overcommitted()
    }

    fn is_start_allowed(&self, clock: Clock, worker: &str, start: &Start) -> bool {
        let unit = start.task.unit;
        let starting = self.is_start_wanted(worker, start.task, start.attempt);
        let allowed = start.ticket.is_none()
            || self.room.number(worker).is_some_and(|number| {
                self.unit(unit).is_some_and(|state| state.advice.allows(number, clock.now + TICKET_MARGIN))
            });
        starting && allowed && self.live.contains(&unit.job)
    }

    fn start_order(&mut self, task: Task, step: &Step, gang_attempt: Option<u64>, worker: usize) -> Option<Start> {
        let job = self.jobs.get(&task.unit.job)?.job.clone();
        let term_attempt = self.unit(task.unit)?.tasks.get(task.index as usize).map(|state| state.starts)?;
        let attempt = if step.gang { gang_attempt? } else { self.attempt(term_attempt) };
        let state = self.unit_mut(task.unit)?;
        let ticket = state.advice.healthy.get(&worker).map(|ticket| ticket.text.clone());
        let gang_checkpoint = state.checkpoint.clone();
        let own = state.tasks.get_mut(task.index as usize)?;
        own.starts += 1;
        let checkpoint = if step.gang { gang_checkpoint } else { own.checkpoint.clone() };
        Some(Start { task, attempt, job, checkpoint, ticket })
    }
}
