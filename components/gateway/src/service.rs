//! One service at one entry host: its queue, its instances and the requests that wait, under one lock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::HostId;
use parking_lot::Mutex;
use request::{
    Admission, Capacity, Instance, Pool, Queue, Refusal, RefusalReason, RetryBudget, SlotRequest, TakenSlot, Ticket,
};
use tokio::sync::oneshot;

use crate::link::Links;

/// Longest time that the slot of an abandoned request stays taken.
const ABANDONED: Duration = Duration::from_secs(1);

type Grant = Result<TakenSlot, Refusal>;

struct State {
    pool: Pool,
    queue: Queue,
    waiters: HashMap<Ticket, oneshot::Sender<Grant>>,
    budget: RetryBudget,
    instances: Vec<Instance>,
    hosts: Vec<HostId>,
}

/// A service that classes of requests lead to.
pub(crate) struct Service {
    state: Mutex<State>,
    pub(crate) links: Links,
}

impl Service {
    pub(crate) fn new(own: HostId, limits: &settings::Requests, gain_after: Duration) -> Service {
        let state = State {
            pool: Pool::new(own, limits.slots, gain_after),
            queue: Queue::new(limits.queue as usize),
            waiters: HashMap::new(),
            budget: RetryBudget::default(),
            instances: Vec::new(),
            hosts: Vec::new(),
        };
        Service { state: Mutex::new(state), links: Links::default() }
    }

    pub(crate) fn update_instances(&self, instances: Vec<Instance>, now: Instant) {
        let mut state = self.state.lock();
        state.instances = instances;
        state.update(now);
        self.links.retain(&state.instances);
    }

    pub(crate) fn update_hosts(&self, hosts: &[HostId], now: Instant) {
        let mut state = self.state.lock();
        if state.hosts != hosts {
            state.hosts = hosts.to_vec();
            state.update(now);
        }
        // Time passes too: shares that were gained earlier may be used now.
        state.grant_waiting(now);
    }

    /// Waiting requests, and the slots that may be used and are.
    pub(crate) fn load(&self) -> (usize, (u32, u32)) {
        let state = self.state.lock();
        (state.queue.len(), state.pool.capacity())
    }

    /// Whether any instance is live in this data centre.
    pub(crate) fn has_instances(&self) -> bool {
        self.state.lock().pool.instances() > 0
    }

    /// Takes a slot, at once or after waiting, or is refused.
    pub(crate) async fn slot(self: &Arc<Self>, ask: &SlotRequest) -> Result<Slot, Refusal> {
        let now = Instant::now();
        let receiver = {
            let mut state = self.state.lock();
            if state.pool.instances() == 0 {
                return Err(Refusal { reason: RefusalReason::NoInstance, retry_after: Duration::from_secs(1) });
            }
            let room = state.room(now);
            match state.queue.admit(ask, &room, now) {
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Run => return state.take(now).map(|pick| self.clone().guard(pick)),
                Admission::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    Waiter { service: self.clone(), ask: ask.clone(), ticket, receiver, settled: false }
                }
            }
        };
        receiver.granted().await.map(|pick| self.clone().guard(pick))
    }

    /// Takes another slot for a request that surely did not run on `failed`; `None` when the budget for
    /// retries is spent or there is no other slot now.
    pub(crate) fn another(self: &Arc<Self>, failed: &str) -> Option<Slot> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let pick = state.pool.take_slot(Some(failed), now)?;
        if !state.budget.try_take() {
            state.pool.return_unused(&pick);
            return None;
        }
        drop(state);
        Some(self.clone().guard(pick))
    }

    /// When a refused caller should come back.
    pub(crate) fn retry_after(&self) -> Duration {
        let state = self.state.lock();
        let mean = state.pool.typical_seconds().map(Duration::from_secs_f64);
        state.queue.retry_after(state.pool.capacity().0, mean)
    }

    fn guard(self: Arc<Self>, pick: TakenSlot) -> Slot {
        Slot { service: self, pick, taken_at: Instant::now(), settled: false }
    }

    fn done(&self, pick: &TakenSlot, took: Option<Duration>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.pool.release(pick, took, now);
        if took.is_some() {
            state.budget.record_success();
        }
        state.grant_waiting(now);
    }
}

impl State {
    fn update(&mut self, now: Instant) {
        self.pool.update(&self.instances, &self.hosts, now);
        self.grant_waiting(now);
    }

    fn room(&mut self, now: Instant) -> Capacity {
        let free = self.pool.has_free_slot(now);
        Capacity {
            slots: self.pool.capacity().0,
            free,
            answer_time: self.pool.typical_seconds().map(Duration::from_secs_f64),
        }
    }

    fn take(&mut self, now: Instant) -> Grant {
        self.pool
            .take_slot(None, now)
            .ok_or(Refusal { reason: RefusalReason::NoShare, retry_after: Duration::from_secs(1) })
    }

    /// Hands free slots to those that wait, and refuses those whose deadline came.
    fn grant_waiting(&mut self, now: Instant) {
        while !self.queue.is_empty() {
            let Some(pick) = self.pool.take_slot(None, now) else { return };
            let mean = self.pool.typical_seconds().map(Duration::from_secs_f64);
            let (next, late) = self.queue.next(mean, now);
            self.refuse(late);
            let Some(sender) = next.and_then(|ticket| self.waiters.remove(&ticket)) else {
                self.pool.return_unused(&pick);
                continue;
            };
            if let Err(Ok(pick)) = sender.send(Ok(pick)) {
                self.pool.return_unused(&pick);
            }
        }
    }

    fn refuse(&mut self, late: Vec<Ticket>) {
        let mean = self.pool.typical_seconds().map(Duration::from_secs_f64);
        let retry_after = self.queue.retry_after(self.pool.capacity().0, mean);
        for ticket in late {
            if let Some(sender) = self.waiters.remove(&ticket) {
                let _ = sender.send(Err(Refusal { reason: RefusalReason::TooLate, retry_after }));
            }
        }
    }
}

/// A request that waits; leaves the queue when its caller goes away.
struct Waiter {
    service: Arc<Service>,
    ask: SlotRequest,
    ticket: Ticket,
    receiver: oneshot::Receiver<Grant>,
    settled: bool,
}

impl Waiter {
    async fn granted(mut self) -> Grant {
        let deadline = tokio::time::Instant::from_std(self.ask.deadline);
        let outcome = tokio::time::timeout_at(deadline, &mut self.receiver).await;
        if let Ok(Ok(grant)) = outcome {
            self.settled = true;
            return grant;
        }
        let retry_after = self.service.retry_after();
        Err(Refusal { reason: RefusalReason::TooLate, retry_after })
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.service.state.lock();
        state.queue.remove(&self.ask, self.ticket);
        state.waiters.remove(&self.ticket);
        // A grant may have come at the last moment; its slot goes to the next.
        if let Ok(Ok(pick)) = self.receiver.try_recv() {
            state.pool.return_unused(&pick);
            state.grant_waiting(Instant::now());
        }
    }
}

/// A slot in use. Dropped without an end, it counts as a failure of the instance.
pub(crate) struct Slot {
    service: Arc<Service>,
    pub(crate) pick: TakenSlot,
    taken_at: Instant,
    settled: bool,
}

impl Slot {
    /// The service that it belongs to.
    pub(crate) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// The caller's time is up, but the instance may work on: its slot stays taken for as long as an answer
    /// usually takes, so that it does not get more than it can run.
    pub(crate) fn abandoned(self) {
        let mean = self.service.state.lock().pool.typical_seconds();
        let pause = mean.map_or(ABANDONED, Duration::from_secs_f64).min(ABANDONED);
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            drop(self);
        });
    }

    /// The instance answered whole.
    pub(crate) fn answered(mut self) {
        self.settled = true;
        self.service.done(&self.pick, Some(self.taken_at.elapsed()));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.settled {
            self.service.done(&self.pick, None);
        }
    }
}
