//! Caches failed placements during one scheduling pass, so that tasks of the same size are not tried again.

use model::Resources;

use crate::choose::Choice;

/// The failed placements of one scheduling pass.
#[derive(Clone, Debug, Default)]
pub struct Refusals(Vec<(Resources, Choice)>);

impl Refusals {
    /// Records a failed placement. It is only kept if `all_workers` were candidates: the other workers might still have
    /// room for other tasks.
    pub fn record(&mut self, each: Resources, choice: &Choice, all_workers: bool) {
        if all_workers {
            self.0.push((each, choice.clone()));
        }
    }

    /// The failed placement of exactly this size. A larger task may have failed for another reason, so it does not
    /// count.
    pub fn find(&self, each: &Resources) -> Option<&Choice> {
        self.0.iter().find(|(size, _)| size == each).map(|(_, choice)| choice)
    }
}
