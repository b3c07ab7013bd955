//! Calls under way, counted while they last, and workers' answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entry::{Refusal, Reply};
use work::{Term, WorkerId};

use super::Cell;
use crate::runner;

/// A transaction that gets no answer. Dropped before the end of its time, it was abandoned.
pub(super) struct Waiting<'a>(pub(super) &'a Cell);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state.lock().abandoned += 1;
    }
}

/// A transaction that was done and whose answer is on its way.
pub(super) struct Answering<'a>(&'a Cell);

impl Answering<'_> {
    pub(super) fn begin(cell: &Cell) -> Answering<'_> {
        let mut state = cell.state.lock();
        state.answering += 1;
        state.most_answering = state.most_answering.max(state.answering);
        Answering(cell)
    }
}

impl Drop for Answering<'_> {
    fn drop(&mut self) {
        self.0.state.lock().answering -= 1;
    }
}

/// What a worker answers to an order.
pub(super) fn reply(outcome: Reply<runner::Reply>) -> Reply<()> {
    match outcome {
        Reply::Done(runner::Reply::Done) => Reply::Done(()),
        Reply::Done(runner::Reply::Fenced) | Reply::Fenced => Reply::Fenced,
        Reply::Done(runner::Reply::Refused) => Reply::Refused(Refusal::Other),
        Reply::OtherIncarnation => Reply::OtherIncarnation,
        Reply::Refused(refusal) => Reply::Refused(refusal),
    }
}

/// Workers wait for an end no longer than this, unless told otherwise: a test's end shouldn't wait for them.
const MOST_WAIT: Duration = Duration::from_millis(20);

/// Calls of hosts to workers.
pub(super) struct Calls {
    /// How long a worker waits for an end at most.
    pub(super) most_wait: Duration,
    /// What a call takes of the caller's processor.
    price: Duration,
    /// How long a first call takes until it is answered.
    first_takes: Duration,
    /// Workers that leaders of each term called for the first time, in the order of the calls.
    first: BTreeMap<Term, Vec<WorkerId>>,
    /// First calls that are under way, and the most that there were.
    under_way: usize,
    most_under_way: usize,
}

impl Default for Calls {
    fn default() -> Calls {
        Calls {
            most_wait: MOST_WAIT,
            price: Duration::ZERO,
            first_takes: Duration::ZERO,
            first: BTreeMap::new(),
            under_way: 0,
            most_under_way: 0,
        }
    }
}

/// A first call that is under way.
pub(super) struct FirstCall<'a>(&'a Cell);

impl FirstCall<'_> {
    pub(super) fn begin<'a>(cell: &'a Cell, term: Term, worker: &str) -> FirstCall<'a> {
        let calls = &mut cell.state.lock().calls;
        calls.first.entry(term).or_default().push(worker.to_owned());
        calls.under_way += 1;
        calls.most_under_way = calls.most_under_way.max(calls.under_way);
        FirstCall(cell)
    }
}

impl Drop for FirstCall<'_> {
    fn drop(&mut self) {
        self.0.state.lock().calls.under_way -= 1;
    }
}

impl Cell {
    /// What a call to a worker takes of its caller's processor from now on.
    pub fn set_call_cpu_time(&self, price: Duration) {
        self.state.lock().calls.price = price;
    }

    /// Workers wait for an end as long as they are asked to, up to this time.
    pub fn set_max_worker_wait(&self, most: Duration) {
        self.state.lock().calls.most_wait = most;
    }

    /// How long a worker that is called for the first time takes to answer from now on.
    pub fn set_first_call_delay(&self, time: Duration) {
        self.state.lock().calls.first_takes = time;
    }

    /// Workers that leaders of this term called for the first time, in the order of the calls.
    pub fn first_calls(&self, term: Term) -> Vec<WorkerId> {
        self.state.lock().calls.first.get(&term).cloned().unwrap_or_default()
    }

    /// The most first calls that were under way at once.
    pub fn max_concurrent_first_calls(&self) -> usize {
        self.state.lock().calls.most_under_way
    }

    /// Takes the processor's time for one call.
    pub(super) fn spend(&self) {
        let price = self.state.lock().calls.price;
        let began = Instant::now();
        while began.elapsed() < price {
            std::hint::spin_loop();
        }
    }

    pub(super) fn first_call_time(&self) -> Duration {
        self.state.lock().calls.first_takes
    }
}
