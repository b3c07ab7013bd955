//! Tests of admission, instance choice, retries and idempotency keys, with simulated time.

use std::time::{Duration, Instant, SystemTime};

use model::workload::Priority;
use proptest::prelude::*;
use request::{
    Admission, BeginOutcome, Capacity, Classes, IdempotencyKey, IdempotencyStore, Instance, KeyError, KeyOwnership,
    KeyStatus, Pool, Queue, RefusalReason, RetryBudget, SlotRequest, slot_share,
};
use uuid::{NoContext, Timestamp, Uuid};

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn hosts(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("entry-{at}")).collect()
}

fn slot_request(team: &str, priority: Priority, deadline: Instant) -> SlotRequest {
    SlotRequest { team: team.to_owned(), priority, deadline }
}

/// Capacity without a free slot, whose usual answer time is `answer_ms`.
fn busy(slots: u32, answer_ms: u32) -> Capacity {
    Capacity { slots, free: false, answer_time: Some(answer_ms * MILLI) }
}

fn key_created(at: SystemTime) -> String {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    Uuid::new_v7(Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos())).to_string()
}

fn new_key(at: SystemTime) -> IdempotencyKey {
    IdempotencyKey::parse(&key_created(at), SECOND, at).unwrap()
}

#[test]
fn class_of_the_longest_prefix_in_whole_segments_is_found() {
    let classes = Classes::new(["/", "/slots", "/slots/book"]);
    assert_eq!(classes.find("/slots/book/7"), Some(2));
    assert_eq!(classes.find("/slots/9"), Some(1));
    assert_eq!(classes.find("/slotsandmore"), Some(0));
    assert_eq!(Classes::new(["/slots"]).find("/other"), None);
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_with_an_estimated_retry_delay() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let mut admit =
        |deadline: Duration| queue.admit(&slot_request("rail", Priority::Urgent, now + deadline), &busy(2, 100), now);
    for _ in 0..4 {
        assert!(matches!(admit(SECOND), Admission::Wait(_)));
    }
    let Admission::Refused(refusal) = admit(300 * MILLI) else {
        panic!("five requests on two slots take at least 250 ms")
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(refusal.retry_after, 250 * MILLI);
}

#[test]
fn patient_requests_do_not_delay_urgent_requests() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let mut admit =
        |priority, deadline| queue.admit(&slot_request("rail", priority, now + deadline), &busy(1, 100), now);
    for _ in 0..50 {
        assert!(matches!(admit(Priority::Patient, 60 * SECOND), Admission::Wait(_)));
    }
    let Admission::Wait(urgent) = admit(Priority::Urgent, 250 * MILLI) else {
        panic!("no urgent request is ahead of it")
    };
    assert_eq!(queue.next(None, now).0, Some(urgent));
}

#[test]
fn many_requests_of_one_team_do_not_delay_another_team() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    let mut admit =
        |team: &str| queue.admit(&slot_request(team, Priority::Normal, now + 100 * SECOND), &busy(1, 100), now);
    for _ in 0..500 {
        admit("flood");
    }
    let Admission::Wait(quiet) = admit("quiet") else { panic!("at most two requests are ahead of it") };
    assert!((0..2).any(|_| queue.next(None, now).0 == Some(quiet)));
}

#[test]
fn request_whose_deadline_passes_in_the_queue_is_not_run() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    let request = slot_request("rail", Priority::Normal, now + SECOND);
    let Admission::Wait(late) = queue.admit(&request, &busy(1, 10), now) else { panic!("no request is ahead of it") };
    assert_eq!(queue.next(None, now + 2 * SECOND), (None, vec![late]));
}

#[test]
fn slot_is_not_given_to_a_request_with_too_little_time_left() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    let mut admit = |team: &str, deadline: Duration| {
        queue.admit(&slot_request(team, Priority::Normal, now + deadline), &busy(4, 100), now)
    };
    let (Admission::Wait(short), Admission::Wait(long)) = (admit("a", 250 * MILLI), admit("b", SECOND)) else {
        panic!()
    };
    assert_eq!(queue.next(Some(100 * MILLI), now + 120 * MILLI), (Some(long), vec![short]));
}

#[test]
fn shares_of_all_hosts_add_up_to_the_slots_of_an_instance() {
    for count in 1..=9 {
        let hosts = hosts(count);
        for instance in 0..50 {
            let shares = hosts.iter().map(|own| slot_share(&format!("planner-{instance}"), &hosts, own, 8));
            assert_eq!(shares.sum::<u32>(), 8);
        }
    }
}

fn instance(name: &str) -> Instance {
    Instance { name: name.to_owned(), address: "127.0.0.1:1".parse().unwrap() }
}

#[test]
fn smaller_share_applies_at_once_and_a_larger_one_after_a_delay() {
    let start = Instant::now();
    let mut pool = Pool::new("entry-0".to_owned(), 8, 3 * SECOND);
    pool.update(&[instance("planner-0")], &hosts(2), start);
    assert_eq!(pool.capacity().0, 0, "the other hosts may not have seen this host yet");
    pool.update(&[instance("planner-0")], &hosts(2), start + 3 * SECOND);
    assert_eq!(pool.capacity().0, 4);
    pool.update(&[instance("planner-0")], &hosts(8), start + 4 * SECOND);
    assert_eq!(pool.capacity().0, 1);
    pool.update(&[instance("planner-0")], &hosts(1), start + 5 * SECOND);
    assert_eq!(pool.capacity().0, 1);
    assert!(pool.take_slot(None, start + 9 * SECOND).is_some());
    assert_eq!(pool.capacity().0, 8);
}

fn pool_of(instances: usize, start: Instant) -> Pool {
    let mut pool = Pool::new("entry-0".to_owned(), 8, Duration::ZERO);
    let instances: Vec<Instance> = (0..instances).map(|at| instance(&format!("planner-{at}"))).collect();
    pool.update(&instances, &hosts(1), start);
    pool
}

#[test]
fn failing_instances_are_ejected_up_to_half_of_the_pool() {
    let now = Instant::now();
    let mut pool = pool_of(4, now);
    for _ in 0..100 {
        let Some(slot) = pool.take_slot(None, now) else { break };
        pool.release(&slot, None, now);
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..32 {
        used.extend(pool.take_slot(None, now).map(|slot| slot.name));
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn removed_instance_gets_no_new_requests_but_finishes_its_own() {
    let now = Instant::now();
    let mut pool = pool_of(1, now);
    let slot = pool.take_slot(None, now).unwrap();
    pool.update(&[], &hosts(1), now);
    assert!(pool.take_slot(None, now).is_none());
    pool.release(&slot, Some(MILLI), now);
    assert_eq!(pool.instances(), 0);
}

#[test]
fn retries_are_limited_to_a_fraction_of_successes() {
    let mut budget = RetryBudget::default();
    let initial = (0..1000).filter(|_| budget.try_take()).count();
    assert_eq!(initial, 20);
    let made = (0..1000)
        .filter(|_| {
            budget.record_success();
            budget.try_take()
        })
        .count();
    assert!((95..=100).contains(&made), "{made} retries for 1000 successes");
}

#[test]
fn keys_must_be_version_7_uuids_and_not_from_the_future() {
    let now = SystemTime::now();
    assert_eq!(IdempotencyKey::parse("booking-1", SECOND, now), Err(KeyError::Malformed));
    assert_eq!(IdempotencyKey::parse(&Uuid::new_v4().to_string(), SECOND, now), Err(KeyError::Malformed));
    assert_eq!(IdempotencyKey::parse(&key_created(now + 5 * SECOND), SECOND, now), Err(KeyError::Future));
    assert!(IdempotencyKey::parse(&key_created(now), SECOND, now).is_ok());
}

#[test]
fn duplicate_waits_and_then_gets_the_first_answer() {
    let now = SystemTime::now();
    let mut store = IdempotencyStore::new(60 * SECOND, 10, 1000);
    let key = new_key(now);
    assert_eq!(store.begin(&key, now), BeginOutcome::First);
    assert_eq!(store.begin(&key, now), BeginOutcome::Running);
    store.record_answer(&key, "booked", 6);
    assert_eq!(store.begin(&key, now), BeginOutcome::Answered("booked"));
}

#[test]
fn key_may_be_reused_after_a_request_that_did_not_run_but_not_after_an_unknown_outcome() {
    let now = SystemTime::now();
    let mut store: IdempotencyStore<()> = IdempotencyStore::new(60 * SECOND, 10, 1000);
    let key = new_key(now);
    store.begin(&key, now);
    store.record_not_run(&key);
    assert_eq!(store.begin(&key, now), BeginOutcome::First);
    store.record_unknown(&key);
    assert_eq!(store.begin(&key, now), BeginOutcome::Unknown);
}

#[test]
fn number_of_keys_is_limited_and_expired_keys_are_unknown() {
    let now = SystemTime::now();
    let mut store = IdempotencyStore::new(60 * SECOND, 2, 1000);
    let old = new_key(now);
    store.begin(&old, now);
    store.record_answer(&old, (), 1);
    store.begin(&new_key(now), now);
    assert_eq!(store.begin(&new_key(now), now), BeginOutcome::Full);
    let later = now + 61 * SECOND;
    assert_eq!(store.begin(&old, later), BeginOutcome::Unknown);
    assert_eq!(store.begin(&new_key(later), later), BeginOutcome::First);
}

#[test]
fn size_of_stored_answers_is_limited_and_freed_on_expiry() {
    let now = SystemTime::now();
    let mut store = IdempotencyStore::new(60 * SECOND, 10, 100);
    let first = new_key(now);
    store.begin(&first, now);
    store.record_answer(&first, (), 100);
    assert_eq!(store.begin(&new_key(now), now), BeginOutcome::Full);
    assert_eq!(store.begin(&first, now), BeginOutcome::Answered(()), "a stored answer stays available");
    let later = now + 61 * SECOND;
    assert_eq!(store.begin(&new_key(later), later), BeginOutcome::First);
}

fn new_ownership(own: &str, count: usize, now: SystemTime) -> KeyOwnership {
    let mut ownership = KeyOwnership::new(own.to_owned(), SECOND, now);
    ownership.update_hosts(hosts(count), now);
    ownership.update_quorum(true, now);
    ownership
}

/// A key created at `at` and owned by `own` among `count` hosts.
fn key_owned_by(own: &str, count: usize, at: SystemTime) -> IdempotencyKey {
    let ownership = new_ownership(own, count, SystemTime::UNIX_EPOCH);
    loop {
        let key = new_key(at);
        if ownership.status(&key.text(), at) == KeyStatus::Owned {
            return key;
        }
    }
}

#[test]
fn owner_runs_only_keys_created_after_its_record_started() {
    let now = SystemTime::now();
    let ownership = new_ownership("entry-0", 3, now);
    let status = |created| ownership.status(&key_owned_by("entry-0", 3, created).text(), created);
    assert_eq!(status(now - SECOND), KeyStatus::MayHaveRun);
    assert_eq!(status(now + 2 * SECOND), KeyStatus::Owned);
}

#[test]
fn key_that_changed_owner_since_its_creation_is_not_run() {
    let start = SystemTime::now();
    let mut ownership = new_ownership("entry-0", 3, start);
    ownership.update_hosts(hosts(2), start + 10 * SECOND);
    let key_moved_here = |created: SystemTime| loop {
        let key = new_key(created);
        let three = new_ownership("entry-0", 3, SystemTime::UNIX_EPOCH);
        let two = new_ownership("entry-0", 2, SystemTime::UNIX_EPOCH);
        let was_other = matches!(three.status(&key.text(), created), KeyStatus::OwnedBy(_));
        if was_other && two.status(&key.text(), created) == KeyStatus::Owned {
            return key.text();
        }
    };
    let before = start + 5 * SECOND;
    assert_eq!(ownership.status(&key_moved_here(before), before), KeyStatus::MayHaveRun);
    let after = start + 12 * SECOND;
    assert_eq!(ownership.status(&key_moved_here(after), after), KeyStatus::Owned);
}

#[test]
fn handed_over_keys_may_be_run_by_the_new_owner() {
    let start = SystemTime::now();
    let mut ownership = new_ownership("entry-0", 3, start);
    let created = start + 5 * SECOND;
    let three = new_ownership("entry-0", 3, SystemTime::UNIX_EPOCH);
    ownership.update_hosts(vec!["entry-0".to_owned()], start + 10 * SECOND);
    let key = loop {
        let key = new_key(created).text();
        if three.status(&key, created) == KeyStatus::OwnedBy("entry-2".to_owned()) {
            break key;
        }
    };
    assert_eq!(ownership.status(&key, created), KeyStatus::MayHaveRun);
    ownership.record_handover("entry-1".to_owned(), start + 12 * SECOND);
    assert_eq!(ownership.status(&key, created), KeyStatus::MayHaveRun, "a host that did not own the key handed over");
    ownership.record_handover("entry-2".to_owned(), start + 12 * SECOND);
    assert_eq!(ownership.status(&key, created), KeyStatus::Owned);
    // The host returns under its name and stops without a handover, so the keys of that run are not covered.
    ownership.update_hosts(hosts(3), start + 20 * SECOND);
    ownership.update_hosts(vec!["entry-0".to_owned()], start + 30 * SECOND);
    assert_eq!(ownership.status(&key, start + 25 * SECOND), KeyStatus::MayHaveRun);
}

#[test]
fn host_without_quorum_runs_nothing_and_restarts_its_record_afterwards() {
    let start = SystemTime::now();
    let mut ownership = new_ownership("entry-0", 3, start);
    let created = start + 5 * SECOND;
    let key = key_owned_by("entry-0", 3, created).text();
    assert_eq!(ownership.status(&key, created), KeyStatus::Owned);
    ownership.update_quorum(false, start + 6 * SECOND);
    assert_eq!(ownership.status(&key, created), KeyStatus::Uncertain);
    ownership.update_quorum(true, start + 20 * SECOND);
    assert_eq!(ownership.status(&key, created), KeyStatus::MayHaveRun, "another host may have run it in the meantime");
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u8, u8, u64),
    Next(u64),
}

proptest! {
    #[test]
    fn each_queued_request_is_returned_once_and_before_its_deadline(
        steps in prop::collection::vec(prop_oneof![
            (0u8..3, 0u8..4, 1u64..500).prop_map(|(priority_index, team, deadline)| Step::Admit(priority_index, team, deadline)),
            (0u64..50).prop_map(Step::Next),
        ], 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut queue = Queue::new(50);
        let mut waiting = std::collections::HashMap::new();
        for step in steps {
            match step {
                Step::Admit(priority_index, team, deadline) => {
                    let priority = [Priority::Urgent, Priority::Normal, Priority::Patient][priority_index as usize];
                    let deadline = now + deadline as u32 * MILLI;
                    let admission = queue.admit(&slot_request(&team.to_string(), priority, deadline), &busy(2, 1), now);
                    if let Admission::Wait(ticket) = admission {
                        waiting.insert(ticket, deadline);
                    }
                    prop_assert!(queue.len() <= 50);
                }
                Step::Next(pause) => {
                    now += pause as u32 * MILLI;
                    let (next, late) = queue.next(None, now);
                    if let Some(ticket) = next {
                        prop_assert!(waiting.remove(&ticket).expect("the request is queued") > now);
                    }
                    for ticket in late {
                        prop_assert!(waiting.remove(&ticket).expect("the request is queued") <= now);
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
    }
}
