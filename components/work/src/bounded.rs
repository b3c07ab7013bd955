//! Lists in a job's description, read only as far as a job may be long. The items of a list take many times as much memory as
//! they may take in a body.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::job::MAX_STEPS;

/// Reads a list of steps, or of steps that one depends on.
///
/// # Errors
///
/// Fails if it has more items than a job may have steps.
pub fn steps<'de, D: Deserializer<'de>, T: Deserialize<'de>>(source: D) -> Result<Vec<T>, D::Error> {
    source.deserialize_seq(Steps(PhantomData))
}

struct Steps<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Steps<T> {
    type Value = Vec<T>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "a list of at most {MAX_STEPS} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<T>, A::Error> {
        let mut steps = Vec::new();
        while let Some(step) = items.next_element()? {
            if steps.len() == MAX_STEPS {
                return Err(A::Error::custom(format!("more than {MAX_STEPS} items")));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}
