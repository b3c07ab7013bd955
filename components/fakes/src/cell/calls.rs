//! Transactions under way to the stand-in's store, counted while they last.

use super::Cell;

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
