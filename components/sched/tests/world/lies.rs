//! A list that isn't as the workers are: read from behind, with entries missing or back again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use sched::WorkerInfo;
use work::WorkerId;

use super::World;

/// Entries are behind by so much at most, and come back after they went for as long.
const BEHIND: Duration = Duration::from_secs(6);
/// How likely a lie begins with a look at the list, while there is trouble.
const BEGINS: f64 = 0.02;
/// How long one lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..4000;

type List = BTreeMap<WorkerId, WorkerInfo>;

/// What is wrong with the list.
#[derive(Clone, Debug)]
enum Lie {
    /// It is as it was so long ago.
    Behind(Duration),
    /// This entry is missing.
    Without(WorkerId),
    /// Entries that have been there lately are there again, each instead of the present one at its address.
    Former,
}

/// What was listed lately, and what is wrong now.
#[derive(Default)]
pub(super) struct Lies {
    before: VecDeque<(Duration, List)>,
    lie: Option<(Duration, Lie)>,
}

impl World {
    /// The same with a list that lies while there is trouble.
    pub fn with_lies(mut self) -> World {
        self.lies = Some(Lies::default());
        self
    }

    /// The list as a leader sees it.
    pub(super) fn shown(&mut self, trouble: bool) -> List {
        let listed = self.listed();
        let Some(mut lies) = self.lies.take() else { return listed };
        lies.before.push_back((self.now, listed.clone()));
        lies.before.retain(|(at, _)| *at + BEHIND >= self.now);
        lies.lie = lies.lie.filter(|(until, _)| trouble && *until > self.now);
        if trouble && lies.lie.is_none() && self.rng.random_bool(BEGINS) {
            let lasts = Duration::from_millis(self.rng.random_range(LASTS_MS));
            lies.lie = self.any_lie(&listed).map(|lie| (self.now + lasts, lie));
        }
        let shown = lies.lie.as_ref().map_or(listed.clone(), |(_, lie)| tell(lie, &lies.before, listed, self.now));
        self.lies = Some(lies);
        shown
    }

    fn any_lie(&mut self, listed: &List) -> Option<Lie> {
        match self.rng.random_range(0..3) {
            0 => Some(Lie::Behind(Duration::from_millis(self.rng.random_range(500..BEHIND.as_millis() as u64)))),
            1 if listed.is_empty() => None,
            1 => listed.keys().nth(self.rng.random_range(0..listed.len())).cloned().map(Lie::Without),
            _ => Some(Lie::Former),
        }
    }
}

fn tell(lie: &Lie, before: &VecDeque<(Duration, List)>, mut listed: List, now: Duration) -> List {
    match lie {
        Lie::Behind(by) => {
            let then = before.iter().rev().find(|(at, _)| *at + *by <= now).or(before.front());
            then.map_or(listed, |(_, list)| list.clone())
        }
        Lie::Without(id) => {
            listed.remove(id);
            listed
        }
        Lie::Former => {
            let former = before.iter().flat_map(|(_, list)| list).filter(|(id, _)| !listed.contains_key(*id));
            let former: List = former.map(|(id, info)| (id.clone(), info.clone())).collect();
            listed.retain(|_, info| former.values().all(|other| other.address != info.address));
            listed.extend(former);
            listed
        }
    }
}
