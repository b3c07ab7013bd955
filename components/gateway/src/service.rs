//! A service on one entry host: its instances, queue and waiting requests, under one lock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::HostId;
use parking_lot::Mutex;
use request::{
    Admission, Capacity, Instance, Pool, Queue, Refusal, RefusalReason, RetryBudget, SlotRequest, TakenSlot, Ticket,
};
use tokio::sync::oneshot;

use crate::connections::Connections;

/// Longest time for which the slot of a request stays in use after its deadline.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(1);

type SlotResult = Result<TakenSlot, Refusal>;

struct State {
    pool: Pool,
    queue: Queue,
    waiters: HashMap<Ticket, oneshot::Sender<SlotResult>>,
    budget: RetryBudget,
    instances: Vec<Instance>,
    hosts: Vec<HostId>,
}

/// A service to which request classes are routed.
pub(crate) struct Service {
    state: Mutex<State>,
    pub(crate) connections: Connections,
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
        Service { state: Mutex::new(state), connections: Connections::default() }
    }

    pub(crate) fn update_instances(&self, instances: Vec<Instance>, now: Instant) {
        let mut state = self.state.lock();
        state.instances = instances;
        state.update(now);
        self.connections.retain(&state.instances);
    }

    pub(crate) fn update_hosts(&self, hosts: &[HostId], now: Instant) {
        let mut state = self.state.lock();
        if state.hosts != hosts {
            state.hosts = hosts.to_vec();
            state.update(now);
        }
        // Slots gained by an earlier change may have become usable since, even if the hosts are unchanged.
        state.grant_waiting(now);
    }

    /// The number of waiting requests, and this host's share of the slots with the number in use.
    pub(crate) fn load(&self) -> (usize, (u32, u32)) {
        let state = self.state.lock();
        (state.queue.len(), state.pool.capacity())
    }

    /// Whether this data centre has a live instance.
    pub(crate) fn has_instances(&self) -> bool {
        self.state.lock().pool.instances() > 0
    }

    /// Acquires a slot for a request, waiting in the queue if necessary.
    pub(crate) async fn acquire_slot(self: &Arc<Self>, slot_request: &SlotRequest) -> Result<Slot, Refusal> {
        let now = Instant::now();
        let receiver = {
            let mut state = self.state.lock();
            if state.pool.instances() == 0 {
                return Err(Refusal { reason: RefusalReason::NoInstance, retry_after: Duration::from_secs(1) });
            }
            let capacity = state.capacity(now);
            match state.queue.admit(slot_request, &capacity, now) {
                Admission::Refused(refusal) => return Err(refusal),
                Admission::Run => return state.take_slot(now).map(|taken| self.clone().slot_guard(taken)),
                Admission::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    Waiter {
                        service: self.clone(),
                        slot_request: slot_request.clone(),
                        ticket,
                        receiver,
                        finished: false,
                    }
                }
            }
        };
        receiver.wait().await.map(|taken| self.clone().slot_guard(taken))
    }

    /// Acquires a slot on another instance for a request that can't have run on `failed`. Returns `None` if the retry
    /// budget is used up or no other slot is free.
    pub(crate) fn acquire_retry_slot(self: &Arc<Self>, failed: &str) -> Option<Slot> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let taken = state.pool.take_slot(Some(failed), now)?;
        if !state.budget.try_take() {
            state.pool.return_unused(&taken);
            return None;
        }
        drop(state);
        Some(self.clone().slot_guard(taken))
    }

    /// Time after which a refused caller should retry.
    pub(crate) fn retry_after(&self) -> Duration {
        let state = self.state.lock();
        let mean = state.pool.typical_seconds().map(Duration::from_secs_f64);
        state.queue.retry_after(state.pool.capacity().0, mean)
    }

    fn slot_guard(self: Arc<Self>, taken: TakenSlot) -> Slot {
        Slot { service: self, taken, taken_at: Instant::now(), finished: false }
    }

    fn release(&self, taken: &TakenSlot, took: Option<Duration>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.pool.release(taken, took, now);
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

    fn capacity(&mut self, now: Instant) -> Capacity {
        let free = self.pool.has_free_slot(now);
        Capacity {
            slots: self.pool.capacity().0,
            free,
            answer_time: self.pool.typical_seconds().map(Duration::from_secs_f64),
        }
    }

    fn take_slot(&mut self, now: Instant) -> SlotResult {
        self.pool
            .take_slot(None, now)
            .ok_or(Refusal { reason: RefusalReason::NoShare, retry_after: Duration::from_secs(1) })
    }

    /// Assigns free slots to waiting requests, and refuses those whose deadline has passed.
    fn grant_waiting(&mut self, now: Instant) {
        while !self.queue.is_empty() {
            let Some(taken) = self.pool.take_slot(None, now) else { return };
            let mean = self.pool.typical_seconds().map(Duration::from_secs_f64);
            let (next, expired) = self.queue.next(mean, now);
            self.refuse_expired(expired);
            let Some(sender) = next.and_then(|ticket| self.waiters.remove(&ticket)) else {
                self.pool.return_unused(&taken);
                continue;
            };
            if let Err(Ok(taken)) = sender.send(Ok(taken)) {
                self.pool.return_unused(&taken);
            }
        }
    }

    fn refuse_expired(&mut self, expired: Vec<Ticket>) {
        let mean = self.pool.typical_seconds().map(Duration::from_secs_f64);
        let retry_after = self.queue.retry_after(self.pool.capacity().0, mean);
        for ticket in expired {
            if let Some(sender) = self.waiters.remove(&ticket) {
                let _ = sender.send(Err(Refusal { reason: RefusalReason::TooLate, retry_after }));
            }
        }
    }
}

/// A waiting request. Dropping it, as when the caller disconnects, removes it from the queue.
struct Waiter {
    service: Arc<Service>,
    slot_request: SlotRequest,
    ticket: Ticket,
    receiver: oneshot::Receiver<SlotResult>,
    finished: bool,
}

impl Waiter {
    async fn wait(mut self) -> SlotResult {
        let deadline = tokio::time::Instant::from_std(self.slot_request.deadline);
        let outcome = tokio::time::timeout_at(deadline, &mut self.receiver).await;
        if let Ok(Ok(result)) = outcome {
            self.finished = true;
            return result;
        }
        let retry_after = self.service.retry_after();
        Err(Refusal { reason: RefusalReason::TooLate, retry_after })
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let mut state = self.service.state.lock();
        state.queue.remove(&self.slot_request, self.ticket);
        state.waiters.remove(&self.ticket);
        // A slot may have been assigned at the last moment; it goes to the next waiting request.
        if let Ok(Ok(taken)) = self.receiver.try_recv() {
            state.pool.return_unused(&taken);
            state.grant_waiting(Instant::now());
        }
    }
}

/// A slot in use. Dropping it without a complete response counts as a failure of the instance.
pub(crate) struct Slot {
    service: Arc<Service>,
    pub(crate) taken: TakenSlot,
    taken_at: Instant,
    finished: bool,
}

impl Slot {
    pub(crate) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Releases the slot after the usual time of a response. The instance may continue to work on a request after its
    /// deadline, and must not get more requests than it can run.
    pub(crate) fn release_later(self) {
        let mean = self.service.state.lock().pool.typical_seconds();
        let delay = mean.map_or(MAX_RELEASE_DELAY, Duration::from_secs_f64).min(MAX_RELEASE_DELAY);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            drop(self);
        });
    }

    /// Releases the slot after a complete response.
    pub(crate) fn release_answered(mut self) {
        self.finished = true;
        self.service.release(&self.taken, Some(self.taken_at.elapsed()));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.service.release(&self.taken, None);
        }
    }
}
