//! Decisions about requests, replayed with stated times.

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

fn ask(team: &str, priority: Priority, deadline: Instant) -> SlotRequest {
    SlotRequest { team: team.to_owned(), priority, deadline }
}

/// No slot is free; an answer usually takes so many milliseconds.
fn room(slots: u32, answer: u32) -> Capacity {
    Capacity { slots, free: false, answer_time: Some(answer * MILLI) }
}

fn key_made(at: SystemTime) -> String {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    Uuid::new_v7(Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos())).to_string()
}

fn parsed(at: SystemTime) -> IdempotencyKey {
    IdempotencyKey::parse(&key_made(at), SECOND, at).unwrap()
}

#[test]
fn the_longest_path_decides_and_only_whole_segments_match() {
    let classes = Classes::new(["/", "/slots", "/slots/book"]);
    assert_eq!(classes.find("/slots/book/7"), Some(2));
    assert_eq!(classes.find("/slots/9"), Some(1));
    assert_eq!(classes.find("/slotsandmore"), Some(0));
    assert_eq!(Classes::new(["/slots"]).find("/other"), None);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once_with_a_worked_out_time() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let mut offer =
        |deadline: Duration| queue.admit(&ask("rail", Priority::Urgent, now + deadline), &room(2, 100), now);
    for _ in 0..4 {
        assert!(matches!(offer(SECOND), Admission::Wait(_)));
    }
    let Admission::Refused(refusal) = offer(300 * MILLI) else {
        panic!("five ahead on two slots take 250 ms and more")
    };
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert_eq!(refusal.retry_after, 250 * MILLI);
}

#[test]
fn patient_requests_never_delay_urgent_ones() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let mut offer = |priority, deadline| queue.admit(&ask("rail", priority, now + deadline), &room(1, 100), now);
    for _ in 0..50 {
        assert!(matches!(offer(Priority::Patient, 60 * SECOND), Admission::Wait(_)));
    }
    let Admission::Wait(urgent) = offer(Priority::Urgent, 250 * MILLI) else { panic!("nothing urgent is ahead of it") };
    assert_eq!(queue.next(None, now).0, Some(urgent));
}

#[test]
fn a_flood_by_one_team_does_not_delay_another() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    let mut offer = |team: &str| queue.admit(&ask(team, Priority::Normal, now + 100 * SECOND), &room(1, 100), now);
    for _ in 0..500 {
        offer("flood");
    }
    let Admission::Wait(quiet) = offer("quiet") else { panic!("two ahead at the most") };
    assert!((0..2).any(|_| queue.next(None, now).0 == Some(quiet)));
}

#[test]
fn a_request_whose_deadline_came_while_it_waited_is_not_run() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    let asked = ask("rail", Priority::Normal, now + SECOND);
    let Admission::Wait(late) = queue.admit(&asked, &room(1, 10), now) else { panic!("nothing is ahead of it") };
    assert_eq!(queue.next(None, now + 2 * SECOND), (None, vec![late]));
}

#[test]
fn a_slot_is_not_wasted_on_a_request_that_has_too_little_time_left() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    let mut offer =
        |team: &str, deadline: Duration| queue.admit(&ask(team, Priority::Normal, now + deadline), &room(4, 100), now);
    let (Admission::Wait(short), Admission::Wait(long)) = (offer("a", 250 * MILLI), offer("b", SECOND)) else {
        panic!()
    };
    assert_eq!(queue.next(Some(100 * MILLI), now + 120 * MILLI), (Some(long), vec![short]));
}

#[test]
fn the_shares_of_all_hosts_are_the_slots_of_the_instance() {
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
fn a_lost_share_is_lost_at_once_and_a_gained_one_is_used_later() {
    let start = Instant::now();
    let mut pool = Pool::new("entry-0".to_owned(), 8, 3 * SECOND);
    pool.update(&[instance("planner-0")], &hosts(2), start);
    assert_eq!(pool.capacity().0, 0, "the others may not have seen this host yet");
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
fn a_failing_instance_is_eased_off_but_never_more_than_half() {
    let now = Instant::now();
    let mut pool = pool_of(4, now);
    for _ in 0..100 {
        let Some(pick) = pool.take_slot(None, now) else { break };
        pool.release(&pick, None, now);
    }
    let mut open = std::collections::BTreeSet::new();
    for _ in 0..32 {
        open.extend(pool.take_slot(None, now).map(|pick| pick.name));
    }
    assert_eq!(open.len(), 2);
}

#[test]
fn a_leaving_instance_gets_nothing_new_and_keeps_what_it_has() {
    let now = Instant::now();
    let mut pool = pool_of(1, now);
    let pick = pool.take_slot(None, now).unwrap();
    pool.update(&[], &hosts(1), now);
    assert!(pool.take_slot(None, now).is_none());
    pool.release(&pick, Some(MILLI), now);
    assert_eq!(pool.instances(), 0);
}

#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::default();
    let saved = (0..1000).filter(|_| budget.try_take()).count();
    assert_eq!(saved, 20);
    let made = (0..1000)
        .filter(|_| {
            budget.record_success();
            budget.try_take()
        })
        .count();
    assert!((95..=100).contains(&made), "{made} for 1000 successes");
}

#[test]
fn keys_are_version_seven_and_not_from_the_future() {
    let now = SystemTime::now();
    assert_eq!(IdempotencyKey::parse("booking-1", SECOND, now), Err(KeyError::Malformed));
    assert_eq!(IdempotencyKey::parse(&Uuid::new_v4().to_string(), SECOND, now), Err(KeyError::Malformed));
    assert_eq!(IdempotencyKey::parse(&key_made(now + 5 * SECOND), SECOND, now), Err(KeyError::Future));
    assert!(IdempotencyKey::parse(&key_made(now), SECOND, now).is_ok());
}

#[test]
fn a_duplicate_waits_then_gets_the_first_answer() {
    let now = SystemTime::now();
    let mut memory = IdempotencyStore::new(60 * SECOND, 10, 1000);
    let key = parsed(now);
    assert_eq!(memory.begin(&key, now), BeginOutcome::First);
    assert_eq!(memory.begin(&key, now), BeginOutcome::Running);
    memory.record_answer(&key, "booked", 6);
    assert_eq!(memory.begin(&key, now), BeginOutcome::Answered("booked"));
}

#[test]
fn what_surely_did_not_run_may_run_later_and_what_is_unknown_never_does() {
    let now = SystemTime::now();
    let mut memory: IdempotencyStore<()> = IdempotencyStore::new(60 * SECOND, 10, 1000);
    let key = parsed(now);
    memory.begin(&key, now);
    memory.record_not_run(&key);
    assert_eq!(memory.begin(&key, now), BeginOutcome::First);
    memory.record_unknown(&key);
    assert_eq!(memory.begin(&key, now), BeginOutcome::Unknown);
}

#[test]
fn beyond_the_window_a_key_is_unknown_and_the_memory_is_bounded() {
    let now = SystemTime::now();
    let mut memory = IdempotencyStore::new(60 * SECOND, 2, 1000);
    let old = parsed(now);
    memory.begin(&old, now);
    memory.record_answer(&old, (), 1);
    memory.begin(&parsed(now), now);
    assert_eq!(memory.begin(&parsed(now), now), BeginOutcome::Full);
    let later = now + 61 * SECOND;
    assert_eq!(memory.begin(&old, later), BeginOutcome::Unknown);
    assert_eq!(memory.begin(&parsed(later), later), BeginOutcome::First);
}

#[test]
fn the_bytes_of_remembered_answers_are_bounded_and_given_back() {
    let now = SystemTime::now();
    let mut memory = IdempotencyStore::new(60 * SECOND, 10, 100);
    let first = parsed(now);
    memory.begin(&first, now);
    memory.record_answer(&first, (), 100);
    assert_eq!(memory.begin(&parsed(now), now), BeginOutcome::Full);
    assert_eq!(memory.begin(&first, now), BeginOutcome::Answered(()), "what is remembered stays");
    let later = now + 61 * SECOND;
    assert_eq!(memory.begin(&parsed(later), later), BeginOutcome::First);
}

fn settled_home(own: &str, count: usize, now: SystemTime) -> KeyOwnership {
    let mut home = KeyOwnership::new(own.to_owned(), SECOND, now);
    home.update_hosts(hosts(count), now);
    home.update_quorum(true, now);
    home
}

/// A key made at `at` whose home among `count` hosts is `own`.
fn key_of(own: &str, count: usize, at: SystemTime) -> IdempotencyKey {
    let view = settled_home(own, count, SystemTime::UNIX_EPOCH);
    loop {
        let key = parsed(at);
        if view.status(&key.text(), at) == KeyStatus::Owned {
            return key;
        }
    }
}

#[test]
fn a_home_answers_only_for_keys_made_after_its_memory_began() {
    let now = SystemTime::now();
    let home = settled_home("entry-0", 3, now);
    let stands = |created| home.status(&key_of("entry-0", 3, created).text(), created);
    assert_eq!(stands(now - SECOND), KeyStatus::MayHaveRun);
    assert_eq!(stands(now + 2 * SECOND), KeyStatus::Owned);
}

#[test]
fn a_key_whose_home_moved_here_in_its_lifetime_is_not_run() {
    let start = SystemTime::now();
    let mut home = settled_home("entry-0", 3, start);
    home.update_hosts(hosts(2), start + 10 * SECOND);
    let moved = |created: SystemTime| loop {
        let key = parsed(created);
        let three = settled_home("entry-0", 3, SystemTime::UNIX_EPOCH);
        let two = settled_home("entry-0", 2, SystemTime::UNIX_EPOCH);
        let was_other = matches!(three.status(&key.text(), created), KeyStatus::OwnedBy(_));
        if was_other && two.status(&key.text(), created) == KeyStatus::Owned {
            return key.text();
        }
    };
    let before = start + 5 * SECOND;
    assert_eq!(home.status(&moved(before), before), KeyStatus::MayHaveRun);
    let after = start + 12 * SECOND;
    assert_eq!(home.status(&moved(after), after), KeyStatus::Owned);
}

#[test]
fn keys_that_were_handed_over_are_as_good_as_own_ones() {
    let start = SystemTime::now();
    let mut home = settled_home("entry-0", 3, start);
    let created = start + 5 * SECOND;
    let three = settled_home("entry-0", 3, SystemTime::UNIX_EPOCH);
    home.update_hosts(vec!["entry-0".to_owned()], start + 10 * SECOND);
    let key = loop {
        let key = parsed(created).text();
        if three.status(&key, created) == KeyStatus::OwnedBy("entry-2".to_owned()) {
            break key;
        }
    };
    assert_eq!(home.status(&key, created), KeyStatus::MayHaveRun);
    home.record_handover("entry-1".to_owned(), start + 12 * SECOND);
    assert_eq!(home.status(&key, created), KeyStatus::MayHaveRun, "another host handed over");
    home.record_handover("entry-2".to_owned(), start + 12 * SECOND);
    assert_eq!(home.status(&key, created), KeyStatus::Owned);
    // It comes back under its name and goes without a word: what it did in that life is not known.
    home.update_hosts(hosts(3), start + 20 * SECOND);
    home.update_hosts(vec!["entry-0".to_owned()], start + 30 * SECOND);
    assert_eq!(home.status(&key, start + 25 * SECOND), KeyStatus::MayHaveRun);
}

#[test]
fn a_home_out_of_touch_runs_nothing_and_begins_anew_afterwards() {
    let start = SystemTime::now();
    let mut home = settled_home("entry-0", 3, start);
    let created = start + 5 * SECOND;
    let key = key_of("entry-0", 3, created).text();
    assert_eq!(home.status(&key, created), KeyStatus::Owned);
    home.update_quorum(false, start + 6 * SECOND);
    assert_eq!(home.status(&key, created), KeyStatus::Uncertain);
    home.update_quorum(true, start + 20 * SECOND);
    assert_eq!(home.status(&key, created), KeyStatus::MayHaveRun, "another may have run it in the meantime");
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u8, u8, u64),
    Next(u64),
}

proptest! {
    #[test]
    fn every_waiting_request_is_handed_out_once_and_in_time(
        steps in prop::collection::vec(prop_oneof![
            (0u8..3, 0u8..4, 1u64..500).prop_map(|(tier, team, deadline)| Step::Offer(tier, team, deadline)),
            (0u64..50).prop_map(Step::Next),
        ], 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut queue = Queue::new(50);
        let mut waiting = std::collections::HashMap::new();
        for step in steps {
            match step {
                Step::Offer(tier, team, deadline) => {
                    let priority = [Priority::Urgent, Priority::Normal, Priority::Patient][tier as usize];
                    let deadline = now + deadline as u32 * MILLI;
                    let offer = queue.admit(&ask(&team.to_string(), priority, deadline), &room(2, 1), now);
                    if let Admission::Wait(ticket) = offer {
                        waiting.insert(ticket, deadline);
                    }
                    prop_assert!(queue.len() <= 50);
                }
                Step::Next(pause) => {
                    now += pause as u32 * MILLI;
                    let (next, late) = queue.next(None, now);
                    if let Some(ticket) = next {
                        prop_assert!(waiting.remove(&ticket).expect("it waited") > now);
                    }
                    for ticket in late {
                        prop_assert!(waiting.remove(&ticket).expect("it waited") <= now);
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
    }
}
