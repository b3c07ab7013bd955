//! The log through lost, late and repeated writes, several at once, and leaders that end at any moment.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use work::log::{FIRST_PART, Part, PartId, classify_parts};
use work::{Record, Term};

const SEEDS: u64 = 3000;
const STEPS: usize = 150;
/// Most transactions under way at once.
const MOST_UNDER_WAY: usize = 8;

fn id(term: Term, number: u64) -> PartId {
    PartId { term, number }
}

fn part(settled: u64) -> Part {
    Part { settled, records: vec![Record::Gone { id: "w".to_owned() }] }
}

fn read_ids(parts: &[(PartId, Part)]) -> (Vec<PartId>, Vec<PartId>) {
    let read = classify_parts(parts.to_vec());
    (read.valid.into_iter().map(|(id, _)| id).collect(), read.stale)
}

#[test]
fn a_part_behind_a_gap_does_not_count() {
    let parts = [(id(1, 1), part(1)), (id(1, 2), part(1)), (id(1, 4), part(2))];
    assert_eq!(read_ids(&parts), (vec![id(1, 1), id(1, 2)], vec![id(1, 4)]));
}

#[test]
fn what_is_missing_below_the_settled_number_was_removed() {
    let parts = [(id(1, 3), part(3)), (id(1, 5), part(5)), (id(1, 6), part(5))];
    assert_eq!(read_ids(&parts), (vec![id(1, 3), id(1, 5), id(1, 6)], vec![]));
}

#[test]
fn below_a_part_that_counts_all_parts_of_earlier_terms_do() {
    // The next leader has removed part 7 of the first term, and then parts that it had written anew.
    let parts = [(id(1, 6), part(4)), (id(2, 1), part(1))];
    assert_eq!(read_ids(&parts), (vec![id(1, 6), id(2, 1)], vec![]));
}

/// Without it parts of the earlier term, beyond those that it knew as written, were taken for stale once the others were gone.
#[test]
fn a_term_began_if_a_part_behind_a_gap_knows_its_first_part() {
    let parts = [(id(1, 9), part(1)), (id(2, 5), part(2))];
    assert_eq!(read_ids(&parts), (vec![id(1, 9)], vec![id(2, 5)]));
}

#[test]
fn a_term_that_never_began_hides_nothing_of_the_one_before() {
    let parts = [(id(1, 1), part(1)), (id(1, 3), part(1)), (id(2, 2), part(1))];
    assert_eq!(read_ids(&parts), (vec![id(1, 1)], vec![id(1, 3), id(2, 2)]));
}

/// A transaction of a leader: it is done if the leader's term is still the newest when it arrives.
#[derive(Clone)]
struct Write {
    term: Term,
    put: Option<(PartId, Part)>,
    removes: Vec<PartId>,
}

/// The leader of the moment.
struct Leader {
    term: Term,
    next: u64,
    settled: u64,
    /// What it sent and hasn't heard of, in order; whether its answer has come.
    under_way: Vec<(Write, bool)>,
    /// Parts that it read or knows as written, in order.
    log: Vec<PartId>,
    /// What its first part removes.
    stale: Vec<PartId>,
}

/// The store and all that is on its way to it.
struct World {
    rng: StdRng,
    term: Term,
    store: BTreeMap<PartId, Part>,
    /// Copies of transactions that may still be done.
    late: Vec<Write>,
    /// Parts that a leader took for stale.
    stale: BTreeSet<PartId>,
    leader: Leader,
}

impl World {
    fn new(seed: u64) -> World {
        let leader = Leader {
            term: 1,
            next: FIRST_PART,
            settled: FIRST_PART,
            under_way: Vec::new(),
            log: Vec::new(),
            stale: Vec::new(),
        };
        let rng = StdRng::seed_from_u64(seed);
        World { rng, term: 1, store: BTreeMap::new(), late: Vec::new(), stale: BTreeSet::new(), leader }
    }

    /// The transaction arrives. Whether it was done.
    fn arrive(&mut self, write: &Write) -> bool {
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
            85..95 => self.deliver_late(),
            _ => self.take_over(),
        }
    }

    /// The leader sends its next part, and now and then removes the oldest ones that it knows as written.
    fn send(&mut self) {
        if self.leader.under_way.len() >= MOST_UNDER_WAY {
            return;
        }
        let name = id(self.leader.term, self.leader.next);
        self.leader.next += 1;
        let most = self.leader.log.len().saturating_sub(2).min(3);
        let removes = if name.number == FIRST_PART {
            std::mem::take(&mut self.leader.stale)
        } else if self.leader.settled > FIRST_PART && self.rng.random_bool(0.3) {
            self.leader.log.drain(..most).collect()
        } else {
            Vec::new()
        };
        let put = Some((name, part(self.leader.settled)));
        self.leader.under_way.push((Write { term: self.leader.term, put, removes }, false));
    }

    /// One of the leader's transactions arrives; its answer may be lost, and a copy of it may come again.
    fn deliver(&mut self) {
        if self.leader.under_way.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.leader.under_way.len());
        let write = self.leader.under_way[index].0.clone();
        if self.rng.random_bool(0.3) {
            self.late.push(write.clone());
        }
        let done = self.rng.random_bool(0.8) && self.arrive(&write);
        if done && self.rng.random_bool(0.8) {
            self.leader.under_way[index].1 = true;
        }
        while self.leader.under_way.first().is_some_and(|(_, answered)| *answered) {
            let (write, _) = self.leader.under_way.remove(0);
            let Some((name, _)) = write.put else { continue };
            self.leader.settled = name.number + 1;
            self.leader.log.push(name);
        }
    }

    /// A transaction that was held up arrives.
    fn deliver_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.late.len());
        let write = self.late.swap_remove(index);
        // Long after it was removed a part doesn't come back: no call is held up for so long.
        let gone = write.put.as_ref().is_some_and(|(name, _)| {
            name.term == self.leader.term && name.number < self.leader.settled && !self.leader.log.contains(name)
        });
        if !gone {
            self.arrive(&write);
        }
    }

    /// Another leader claims and reads the log; it may end before it writes anything.
    fn take_over(&mut self) {
        self.term += 1;
        let found = classify_parts(self.store.clone());
        let names: Vec<PartId> = found.valid.iter().map(|(name, _)| *name).collect();
        let lost: Vec<&PartId> = self.leader.log.iter().filter(|name| !names.contains(name)).collect();
        assert!(lost.is_empty(), "parts known as written are gone: {lost:?} of {names:?}");
        let revived: Vec<&PartId> = names.iter().filter(|name| self.stale.contains(name)).collect();
        assert!(revived.is_empty(), "parts taken for stale count again: {revived:?}");
        self.stale.extend(found.stale.iter().copied());
        let (next, settled) = (FIRST_PART, FIRST_PART);
        self.leader = Leader { term: self.term, next, settled, under_way: Vec::new(), log: names, stale: found.stale };
        if self.rng.random_bool(0.3) {
            self.take_over();
        }
    }
}

#[test]
fn no_part_known_as_written_is_lost_and_no_stale_one_comes_back() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.step());
        world.take_over();
    }
}
