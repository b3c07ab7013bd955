//! Faults of the list of workers: it is outdated, lacks entries, or shows former entries again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use sched::WorkerInfo;
use work::WorkerId;

use super::World;

/// How old the list may be at most, and how long former entries may reappear after their removal.
const MAX_LIST_AGE: Duration = Duration::from_secs(6);
/// Probability that a fault begins when the list is read, while there are faults.
const FAULT_PROBABILITY: f64 = 0.02;
/// Duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..4000;

type List = BTreeMap<WorkerId, WorkerInfo>;

/// A fault of the list.
#[derive(Clone, Debug)]
enum ListFault {
    /// The list is this old.
    Outdated(Duration),
    /// This entry is missing.
    Missing(WorkerId),
    /// Recent former entries reappear, each instead of the present one at its address.
    Reappeared,
}

/// Recent lists, and the present fault with its end.
#[derive(Default)]
pub(super) struct ListFaults {
    before: VecDeque<(Duration, List)>,
    fault: Option<(Duration, ListFault)>,
}

impl World {
    /// The same, with a list that has faults while there are others.
    pub fn with_list_faults(mut self) -> World {
        self.list_faults = Some(ListFaults::default());
        self
    }

    /// The list that a leader reads.
    pub(super) fn visible_list(&mut self, with_faults: bool) -> List {
        let listed = self.listed();
        let Some(mut list_faults) = self.list_faults.take() else { return listed };
        list_faults.before.push_back((self.now, listed.clone()));
        list_faults.before.retain(|(at, _)| *at + MAX_LIST_AGE >= self.now);
        list_faults.fault = list_faults.fault.filter(|(until, _)| with_faults && *until > self.now);
        if with_faults && list_faults.fault.is_none() && self.rng.random_bool(FAULT_PROBABILITY) {
            let lasts = Duration::from_millis(self.rng.random_range(FAULT_MS));
            list_faults.fault = self.random_list_fault(&listed).map(|fault| (self.now + lasts, fault));
        }
        let visible_list = list_faults
            .fault
            .as_ref()
            .map_or(listed.clone(), |(_, fault)| apply_list_fault(fault, &list_faults.before, listed, self.now));
        self.list_faults = Some(list_faults);
        visible_list
    }

    fn random_list_fault(&mut self, listed: &List) -> Option<ListFault> {
        match self.rng.random_range(0..3) {
            0 => Some(ListFault::Outdated(Duration::from_millis(
                self.rng.random_range(500..MAX_LIST_AGE.as_millis() as u64),
            ))),
            1 if listed.is_empty() => None,
            1 => listed.keys().nth(self.rng.random_range(0..listed.len())).cloned().map(ListFault::Missing),
            _ => Some(ListFault::Reappeared),
        }
    }
}

fn apply_list_fault(fault: &ListFault, before: &VecDeque<(Duration, List)>, mut listed: List, now: Duration) -> List {
    match fault {
        ListFault::Outdated(by) => {
            let then = before.iter().rev().find(|(at, _)| *at + *by <= now).or(before.front());
            then.map_or(listed, |(_, list)| list.clone())
        }
        ListFault::Missing(id) => {
            listed.remove(id);
            listed
        }
        ListFault::Reappeared => {
            let former = before.iter().flat_map(|(_, list)| list).filter(|(id, _)| !listed.contains_key(*id));
            let former: List = former.map(|(id, info)| (id.clone(), info.clone())).collect();
            listed.retain(|_, info| former.values().all(|other| other.address != info.address));
            listed.extend(former);
            listed
        }
    }
}
