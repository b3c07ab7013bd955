//! The log under concurrent writes that are lost, delayed or repeated, with leaders that are replaced at any moment.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use work::log::{FIRST_PART, Part, PartId, classify_parts};
use work::{Record, Term};

const SEEDS: u64 = 3000;
const STEPS: usize = 150;
/// Maximum number of transactions in flight at once.
const MAX_IN_FLIGHT: usize = 8;

fn id(term: Term, number: u64) -> PartId {
    PartId { term, number }
}

fn part(settled: u64) -> Part {
    Part { settled, records: vec![Record::Gone { id: "w".to_owned() }] }
}

fn classified_ids(parts: &[(PartId, Part)]) -> (Vec<PartId>, Vec<PartId>) {
    let classified = classify_parts(parts.to_vec());
    (classified.valid.into_iter().map(|(id, _)| id).collect(), classified.stale)
}

#[test]
fn a_part_after_a_gap_is_stale() {
    let parts = [(id(1, 1), part(1)), (id(1, 2), part(1)), (id(1, 4), part(2))];
    assert_eq!(classified_ids(&parts), (vec![id(1, 1), id(1, 2)], vec![id(1, 4)]));
}

#[test]
fn parts_missing_below_the_settled_number_leave_no_gap() {
    let parts = [(id(1, 3), part(3)), (id(1, 5), part(5)), (id(1, 6), part(5))];
    assert_eq!(classified_ids(&parts), (vec![id(1, 3), id(1, 5), id(1, 6)], vec![]));
}

#[test]
fn all_parts_of_terms_before_a_valid_part_are_valid() {
    // The leader of term 2 removed part 7 of term 1 with its first part, and later the parts whose records it had rewritten.
    let parts = [(id(1, 6), part(4)), (id(2, 1), part(1))];
    assert_eq!(classified_ids(&parts), (vec![id(1, 6), id(2, 1)], vec![]));
}

/// Guards against losing valid parts of an earlier term: once the other parts of that term had been removed, those above its last
/// known settled number were classified as stale.
#[test]
fn a_part_after_a_gap_can_show_that_its_term_has_started() {
    let parts = [(id(1, 9), part(1)), (id(2, 5), part(2))];
    assert_eq!(classified_ids(&parts), (vec![id(1, 9)], vec![id(2, 5)]));
}

#[test]
fn a_term_without_a_first_part_does_not_affect_the_term_before() {
    let parts = [(id(1, 1), part(1)), (id(1, 3), part(1)), (id(2, 2), part(1))];
    assert_eq!(classified_ids(&parts), (vec![id(1, 1)], vec![id(1, 3), id(2, 2)]));
}

/// A transaction of a leader. The store applies it if the leader's term is still the newest when it arrives.
#[derive(Clone)]
struct Write {
    term: Term,
    put: Option<(PartId, Part)>,
    removes: Vec<PartId>,
}

/// The current leader.
struct Leader {
    term: Term,
    next: u64,
    settled: u64,
    /// Transactions in flight, in order, and whether each was answered.
    in_flight: Vec<(Write, bool)>,
    /// Parts that it read at its start or knows to be written, in order.
    log: Vec<PartId>,
    /// Parts that the transaction of its first part removes.
    stale: Vec<PartId>,
}

/// The store, its leader and the transactions in flight.
struct Simulation {
    rng: StdRng,
    term: Term,
    store: BTreeMap<PartId, Part>,
    /// Delayed copies of transactions that may still be applied.
    delayed: Vec<Write>,
    /// Parts that some leader has classified as stale.
    stale: BTreeSet<PartId>,
    leader: Leader,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let leader = Leader {
            term: 1,
            next: FIRST_PART,
            settled: FIRST_PART,
            in_flight: Vec::new(),
            log: Vec::new(),
            stale: Vec::new(),
        };
        let rng = StdRng::seed_from_u64(seed);
        Simulation { rng, term: 1, store: BTreeMap::new(), delayed: Vec::new(), stale: BTreeSet::new(), leader }
    }

    /// Applies a transaction that arrives at the store, and returns whether it was committed.
    fn apply(&mut self, write: &Write) -> bool {
        if write.term != self.term {
            return false;
        }
        write.removes.iter().for_each(|id| {
            self.store.remove(id);
        });
        self.store.extend(write.put.clone());
        true
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..45 => self.send(),
            45..85 => self.deliver(),
            85..95 => self.deliver_delayed(),
            _ => self.take_over(),
        }
    }

    /// Sends the leader's next part, and sometimes removes the oldest parts that it knows to be written.
    fn send(&mut self) {
        if self.leader.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let part_id = id(self.leader.term, self.leader.next);
        self.leader.next += 1;
        let removable = self.leader.log.len().saturating_sub(2).min(3);
        let removes = if part_id.number == FIRST_PART {
            std::mem::take(&mut self.leader.stale)
        } else if self.leader.settled > FIRST_PART && self.rng.random_bool(0.3) {
            self.leader.log.drain(..removable).collect()
        } else {
            Vec::new()
        };
        let put = Some((part_id, part(self.leader.settled)));
        self.leader.in_flight.push((Write { term: self.leader.term, put, removes }, false));
    }

    /// Delivers one of the leader's transactions. Its answer may be lost, and a copy of it may arrive later.
    fn deliver(&mut self) {
        if self.leader.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.leader.in_flight.len());
        let write = self.leader.in_flight[index].0.clone();
        if self.rng.random_bool(0.3) {
            self.delayed.push(write.clone());
        }
        let committed = self.rng.random_bool(0.8) && self.apply(&write);
        if committed && self.rng.random_bool(0.8) {
            self.leader.in_flight[index].1 = true;
        }
        while self.leader.in_flight.first().is_some_and(|(_, answered)| *answered) {
            let (write, _) = self.leader.in_flight.remove(0);
            let Some((part_id, _)) = write.put else { continue };
            self.leader.settled = part_id.number + 1;
            self.leader.log.push(part_id);
        }
    }

    /// Delivers a delayed transaction.
    fn deliver_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.delayed.len());
        let write = self.delayed.swap_remove(index);
        // No call is delayed for so long that its part reappears after it was removed.
        let removed = write.put.as_ref().is_some_and(|(part_id, _)| {
            part_id.term == self.leader.term
                && part_id.number < self.leader.settled
                && !self.leader.log.contains(part_id)
        });
        if !removed {
            self.apply(&write);
        }
    }

    /// Lets another leader claim the leadership and read the log. It may be replaced before it writes anything.
    fn take_over(&mut self) {
        self.term += 1;
        let classified = classify_parts(self.store.clone());
        let valid: Vec<PartId> = classified.valid.iter().map(|(part_id, _)| *part_id).collect();
        let lost: Vec<&PartId> = self.leader.log.iter().filter(|part_id| !valid.contains(part_id)).collect();
        assert!(lost.is_empty(), "parts known to be written are lost: {lost:?}, valid: {valid:?}");
        let revived: Vec<&PartId> = valid.iter().filter(|part_id| self.stale.contains(part_id)).collect();
        assert!(revived.is_empty(), "stale parts are valid again: {revived:?}");
        self.stale.extend(classified.stale.iter().copied());
        let (next, settled) = (FIRST_PART, FIRST_PART);
        self.leader =
            Leader { term: self.term, next, settled, in_flight: Vec::new(), log: valid, stale: classified.stale };
        if self.rng.random_bool(0.3) {
            self.take_over();
        }
    }
}

#[test]
fn no_part_known_to_be_written_is_lost_and_no_stale_part_becomes_valid() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.step());
        simulation.take_over();
    }
}
