//! Tests of the merged facts of several hosts, some of which are out of date.

use board::VersionedMap;
use facts::{Change, Facts, VisibleFrom};
use model::Resources;
use model::task::{Attempt, Id};
use wire::{Fact, FactKey, TaskFact, TaskState, WorkerFact};

fn worker(epoch: u64) -> WorkerFact {
    WorkerFact {
        epoch,
        capacity: Resources::new(16, 1024, 0),
        free: Resources::new(16, 1024, 0),
        patient: Resources::ZERO,
        reachable: true,
        open: true,
        leaving: false,
        probation: false,
        lapsed: false,
    }
}

fn id() -> Id {
    Id { workload: "plan".to_owned(), life: 1, data_centre: "gt-1".to_owned(), index: 0 }
}

const ATTEMPT: Attempt = Attempt { epoch: 1, number: 1 };

fn running() -> (FactKey, Fact) {
    let fact = TaskFact {
        worker: "w".to_owned(),
        state: TaskState::Running(None),
        resources: Resources::new(1, 1, 0),
        patient: false,
        unsaved: 0,
    };
    (FactKey::Task(id(), ATTEMPT), Fact::Task(fact))
}

/// Facts that a peer publishes about a worker that it holds under `epoch`.
fn published(epoch: u64, with_task: bool) -> VersionedMap<FactKey, Fact> {
    let mut board = VersionedMap::default();
    board.set(FactKey::Worker("w".to_owned()), Fact::Worker(worker(epoch)));
    if with_task {
        let (key, fact) = running();
        board.set(key, fact);
    }
    board
}

fn is_missing(facts: &Facts, visible_from: Option<VisibleFrom>) -> bool {
    facts.is_missing(&"w".to_owned(), &id(), ATTEMPT, visible_from.as_ref())
}

#[test]
fn facts_of_an_earlier_holder_do_not_prove_that_an_attempt_is_missing() {
    let facts = Facts::new("a".to_owned());
    facts.apply(&"b".to_owned(), 1, published(4, false).delta(0));
    // The next holder has started the attempt, but its facts have not arrived yet.
    assert!(!is_missing(&facts, Some(VisibleFrom { epoch: 5, version: 9 })));
    facts.apply(&"c".to_owned(), 1, published(5, false).delta(0));
    assert!(!is_missing(&facts, Some(VisibleFrom { epoch: 5, version: 9 })), "these facts are older than the attempt");
    assert!(is_missing(&facts, Some(VisibleFrom { epoch: 5, version: 1 })));
    assert!(
        is_missing(&facts, Some(VisibleFrom { epoch: 4, version: 1 })),
        "the next holder has the complete inventory"
    );
}

#[test]
fn only_facts_of_the_highest_epoch_count() {
    let facts = Facts::new("a".to_owned());
    facts.apply(&"c".to_owned(), 1, published(5, false).delta(0));
    let late = facts.apply(&"b".to_owned(), 1, published(4, true).delta(0));
    assert!(!late.iter().any(|change| matches!(change, Change::Task(..))));
    assert!(facts.tasks().is_empty());
    assert_eq!(facts.holder(&"w".to_owned()).unwrap().0, "c");
}

#[test]
fn facts_of_an_earlier_incarnation_of_a_host_are_dropped() {
    let facts = Facts::new("a".to_owned());
    facts.apply(&"b".to_owned(), 1, published(4, true).delta(0));
    assert_eq!(facts.tasks().len(), 1);
    assert_eq!(facts.known_version(&"b".to_owned(), 2), 0, "all facts of a new incarnation are pulled");
    facts.apply(&"b".to_owned(), 2, published(5, false).delta(0));
    assert!(facts.tasks().is_empty());
}

#[test]
fn worker_and_its_tasks_are_published_together() {
    let facts = Facts::new("a".to_owned());
    let changed = facts.publish(&"w".to_owned(), worker(1), vec![running()]);
    assert_eq!(changed.len(), 2);
    assert!(facts.publish(&"w".to_owned(), worker(1), vec![running()]).is_empty(), "nothing has changed");
    facts.publish(&"w".to_owned(), worker(1), Vec::new());
    assert!(is_missing(&facts, None));
    facts.withdraw(&"w".to_owned());
    assert!(!is_missing(&facts, None), "no host publishes the worker now");
}
