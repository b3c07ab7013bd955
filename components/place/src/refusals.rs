//! Sizes that found no room in one pass, so that equal tasks need not look again.

use model::Resources;

use crate::choose::Choice;

/// The refusals of one pass.
#[derive(Clone, Debug, Default)]
pub struct Refusals(Vec<(Resources, Choice)>);

impl Refusals {
    /// Notes a refusal. `whole_cell` tells whether all workers were open to it: a refusal by a part of them says
    /// nothing to others.
    pub fn record(&mut self, each: Resources, choice: &Choice, whole_cell: bool) {
        if whole_cell {
            self.0.push((each, choice.clone()));
        }
    }

    /// The refusal of just this size: a larger one may have another reason.
    pub fn find(&self, each: &Resources) -> Option<&Choice> {
        self.0.iter().find(|(size, _)| size == each).map(|(_, choice)| choice)
    }
}
