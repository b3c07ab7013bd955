//! A simulated leader: an engine with its view of the workers' leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sched::{Action, Clock, Engine, Lease, Limits};
use work::{Attempt, Config, Record, Task, Term, WorkerId};

pub struct Leader {
    limits: Limits,
    pub engine: Engine,
    pub term: Term,
    pub leases: BTreeMap<WorkerId, Lease>,
    pub stops: Vec<(WorkerId, Task, Attempt)>,
    /// When its leadership was last confirmed.
    pub confirmed: Duration,
    pub next_renewal: BTreeMap<WorkerId, Duration>,
}

impl Leader {
    pub fn new(limits: Limits, clock: Clock, term: Term, config: Arc<Config>, log: &[Record]) -> Leader {
        // Every second leader applies the shares of workspaces, as when only some hosts have been upgraded.
        let shares = term.is_multiple_of(2);
        let mut engine = Engine::new(limits, term, config, clock.now).with_shares(shares);
        log.iter().cloned().for_each(|record| engine.replay(clock, record));
        engine.finish_replay(clock);
        Leader {
            limits,
            engine,
            term,
            leases: BTreeMap::new(),
            stops: Vec::new(),
            confirmed: clock.now,
            next_renewal: BTreeMap::new(),
        }
    }

    pub fn is_authorized(&self, now: Duration) -> bool {
        now - self.confirmed < sched::AUTHORITY_TIMEOUT
    }

    /// The longest lease that it may grant now.
    pub fn grantable_lease(&self, now: Duration) -> Duration {
        self.limits.grantable_lease(now - self.confirmed)
    }

    /// Takes the engine's actions. Starts and questions are returned; stops are kept until they are answered.
    pub fn take_actions(&mut self) -> Vec<Action> {
        let mut open = Vec::new();
        for action in self.engine.take_actions() {
            match action {
                Action::Stop(worker, task, attempt) => self.stops.push((worker, task, attempt)),
                Action::Forget(worker) => {
                    self.leases.remove(&worker);
                    self.stops.retain(|(other, _, _)| *other != worker);
                }
                action => open.push(action),
            }
        }
        open
    }
}
