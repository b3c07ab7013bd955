//! Transactions under way to the stand-in's store, counted while they last, and workers' answers.

use entry::{Refusal, Reply};

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
        Reply::OtherLife => Reply::OtherLife,
        Reply::Refused(refusal) => Reply::Refused(refusal),
    }
}
