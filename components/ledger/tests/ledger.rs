//! Tests of `Ledger`: committed capacity, repeated orders, ends of attempts, probation and reservations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ledger::{CommitResult, LeaseLimits, Ledger};
use model::Resources;
use model::task::{Attempt, End, Id};
use proptest::prelude::*;
use wire::{Fact, FactKey, ReserveOrder, StartOrder, TaskState};
use worker::{AttemptReport, AttemptState, Command, Report};

const LIMITS: LeaseLimits = LeaseLimits { lease: Duration::from_secs(15), margin: Duration::from_secs(1) };

fn task(workload: &str, index: u32) -> Id {
    Id { workload: workload.to_owned(), life: 1, data_centre: "gt-1".to_owned(), index }
}

fn attempt(number: u32) -> Attempt {
    Attempt { epoch: 1, number }
}

fn order(workload: &str, index: u32, number: u32, cores: u32) -> StartOrder {
    StartOrder {
        worker: "w".to_owned(),
        task: task(workload, index),
        attempt: attempt(number),
        resources: Resources::new(cores, cores * 1024, 0),
        run: "true".to_owned(),
        service: false,
        patient: true,
    }
}

fn report(tasks: Vec<AttemptReport>) -> Report {
    Report { incarnation: 1, stamp_ms: 0, capacity: Resources::new(16, 65536, 0), leaving: false, tasks }
}

fn attempt_report(workload: &str, index: u32, number: u32, cores: u32, run: AttemptState) -> AttemptReport {
    let resources = Resources::new(cores, cores * 1024, 0);
    AttemptReport {
        task: task(workload, index),
        attempt: attempt(number),
        resources,
        patient: true,
        run,
        unsaved_ms: 0,
        usage: None,
    }
}

fn running() -> AttemptState {
    AttemptState::Running { address: None }
}

fn open(tasks: Vec<AttemptReport>, now: Instant) -> Ledger {
    Ledger::open("w".to_owned(), 3, report(tasks), LIMITS, now)
}

fn state(ledger: &Ledger, workload: &str) -> Option<TaskState> {
    ledger.task_facts().find_map(|(key, fact)| match (key, fact) {
        (FactKey::Task(id, _), Fact::Task(fact)) if id.workload == workload => Some(fact.state),
        _ => None,
    })
}

#[test]
fn a_ledger_opened_after_a_takeover_counts_running_attempts() {
    let now = Instant::now();
    let mut ledger = open(vec![attempt_report("old", 0, 1, 10, running())], now);
    assert_eq!(ledger.commit(&order("new", 0, 1, 8), now), CommitResult::Full(Resources::new(6, 65536 - 10240, 0)));
    assert_eq!(ledger.commit(&order("new", 0, 1, 6), now), CommitResult::Accepted);
}

#[test]
fn a_repeated_start_order_commits_capacity_once() {
    let now = Instant::now();
    let mut ledger = open(Vec::new(), now);
    for _ in 0..3 {
        assert_eq!(ledger.commit(&order("a", 0, 1, 10), now), CommitResult::Accepted);
    }
    assert_eq!(ledger.free(), Resources::new(6, 65536 - 10240, 0));
}

#[test]
fn a_second_attempt_is_refused_while_the_first_is_running() {
    let now = Instant::now();
    let mut ledger = open(vec![attempt_report("a", 0, 1, 1, running())], now);
    assert_eq!(ledger.commit(&order("a", 0, 2, 1), now), CommitResult::Closed);
}

#[test]
fn a_start_command_is_repeated_until_a_batch_is_answered() {
    let now = Instant::now();
    let mut ledger = open(Vec::new(), now);
    ledger.commit(&order("a", 0, 1, 1), now);
    let first = ledger.commands(now);
    ledger.mark_unreachable();
    assert_eq!(ledger.commands(now), first, "the answer was lost");
    ledger.apply_batch_reply(&first, report(vec![attempt_report("a", 0, 1, 1, running())]), now);
    assert_eq!(state(&ledger, "a"), Some(TaskState::Running(None)));
    assert!(ledger.commands(now).is_empty());
}

#[test]
fn an_attempt_stopped_before_its_start_was_sent_is_never_started() {
    let now = Instant::now();
    let mut ledger = open(Vec::new(), now);
    ledger.commit(&order("a", 0, 1, 1), now);
    ledger.stop(&task("a", 0), attempt(1), now);
    assert_eq!(state(&ledger, "a"), Some(TaskState::Ended(End::Stopped)));
    assert!(ledger.commands(now).is_empty());
    assert_eq!(ledger.free(), Resources::new(16, 65536, 0));
}

#[test]
fn a_stop_after_an_unanswered_start_cancels_the_start_but_keeps_the_capacity() {
    let now = Instant::now();
    let mut ledger = open(Vec::new(), now);
    ledger.commit(&order("a", 0, 1, 4), now);
    ledger.commands(now);
    ledger.stop(&task("a", 0), attempt(1), now);
    assert!(!ledger.commands(now).iter().any(|command| matches!(command, Command::Start { .. })));
    assert_eq!(ledger.free().cpu_milli, 12_000, "the attempt may be running, so its capacity stays committed");
}

#[test]
fn an_end_is_kept_until_it_is_acknowledged() {
    let now = Instant::now();
    let ended = || report(vec![attempt_report("a", 0, 1, 4, AttemptState::Ended { end: End::Finished })]);
    let mut ledger = open(vec![attempt_report("a", 0, 1, 4, running())], now);
    assert_eq!(ledger.apply_batch_reply(&[], ended(), now).len(), 1);
    assert!(ledger.apply_batch_reply(&[], ended(), now).is_empty(), "an end is returned only once");
    assert_eq!(ledger.free().cpu_milli, 16_000);
    assert_eq!(state(&ledger, "a"), Some(TaskState::Ended(End::Finished)));
    ledger.acknowledge(&task("a", 0), attempt(1));
    let commands = ledger.commands(now);
    assert_eq!(commands, [Command::Acknowledge { task: task("a", 0), attempt: attempt(1) }]);
    ledger.apply_batch_reply(&commands, report(Vec::new()), now);
    assert_eq!(state(&ledger, "a"), None);
}

#[test]
fn attempts_missing_after_a_worker_restart_have_ended() {
    let now = Instant::now();
    let mut ledger = open(vec![attempt_report("a", 0, 1, 4, running())], now);
    let restarted = Report { incarnation: 2, ..report(Vec::new()) };
    let ended = ledger.apply_batch_reply(&[], restarted, now);
    assert_eq!(ended[0].end, End::Restarted);
}

#[test]
fn attempts_on_an_unreachable_worker_end_only_after_lease_and_margin_and_only_with_a_sole_holder() {
    let start = Instant::now();
    let mut ledger = open(vec![attempt_report("a", 0, 1, 4, running())], start);
    ledger.mark_unreachable();
    assert!(ledger.expire_leases(true, start + Duration::from_secs(16)).is_empty());
    assert!(
        ledger.expire_leases(false, start + Duration::from_secs(17)).is_empty(),
        "another host may have renewed the lease"
    );
    assert_eq!(ledger.expire_leases(true, start + Duration::from_secs(17)).len(), 1);
    assert_eq!(ledger.commit(&order("b", 0, 1, 1), start + Duration::from_secs(17)), CommitResult::Closed);
}

#[test]
fn a_worker_that_fails_distinct_workloads_gets_one_trial_task_at_a_time() {
    let start = Instant::now();
    let failed = |workload: &str| {
        attempt_report(
            workload,
            0,
            1,
            1,
            AttemptState::Ended { end: End::Failed { message: "no such device".to_owned() } },
        )
    };
    let mut ledger = open(Vec::new(), start);
    ledger.apply_batch_reply(&[], report(vec![failed("a"), failed("b")]), start);
    assert!(!ledger.on_probation(), "two workloads may both be faulty");
    ledger.apply_batch_reply(&[], report(vec![failed("a"), failed("b"), failed("c")]), start);
    assert!(ledger.on_probation());
    assert_eq!(ledger.commit(&order("d", 0, 1, 1), start), CommitResult::Closed);
    let later = start + Duration::from_secs(11);
    assert_eq!(ledger.commit(&order("d", 0, 1, 1), later), CommitResult::Accepted);
    assert_eq!(ledger.commit(&order("e", 0, 1, 1), later), CommitResult::Closed, "one trial task at a time");
    let success_report = report(vec![attempt_report("d", 0, 1, 1, AttemptState::Ended { end: End::Finished })]);
    let commands = ledger.commands(later);
    ledger.apply_batch_reply(&commands, success_report, later);
    assert!(!ledger.on_probation(), "the trial task succeeded");
    assert_eq!(ledger.commit(&order("e", 0, 1, 1), later), CommitResult::Accepted);
}

#[test]
fn a_senior_reservation_takes_precedence_and_expires() {
    let start = Instant::now();
    let mut ledger = open(Vec::new(), start);
    let reserve = |workload: &str, cores: u32, seniority: u64| ReserveOrder {
        worker: "w".to_owned(),
        workload: workload.to_owned(),
        resources: Resources::new(cores, 1024, 0),
        seniority,
        victims: Vec::new(),
    };
    ledger.reserve(&reserve("old-gang", 10, 1), start);
    ledger.reserve(&reserve("young-gang", 10, 2), start);
    assert!(matches!(ledger.commit(&order("small", 0, 1, 1), start), CommitResult::Full(_)));
    assert!(matches!(ledger.commit(&order("young-gang", 0, 1, 8), start), CommitResult::Full(_)));
    assert_eq!(ledger.commit(&order("old-gang", 0, 1, 10), start), CommitResult::Accepted);
    let later = start + Duration::from_secs(4);
    assert_eq!(ledger.commit(&order("small", 0, 1, 6), later), CommitResult::Accepted);
}

#[test]
fn only_patient_attempts_are_stopped_for_a_reservation() {
    let now = Instant::now();
    let mut service = attempt_report("service", 0, 1, 8, running());
    service.patient = false;
    let mut ledger = open(vec![service, attempt_report("menus", 0, 1, 8, running())], now);
    let reserve = ReserveOrder {
        worker: "w".to_owned(),
        workload: "urgent".to_owned(),
        resources: Resources::new(8, 1024, 0),
        seniority: 0,
        victims: vec![(task("service", 0), attempt(1)), (task("menus", 0), attempt(1))],
    };
    ledger.reserve(&reserve, now);
    assert_eq!(state(&ledger, "service"), Some(TaskState::Running(None)));
    assert_eq!(state(&ledger, "menus"), Some(TaskState::Stopping));
}

#[test]
fn a_service_instance_is_stopped_only_after_the_drain_delay() {
    let now = Instant::now();
    let address = Some("127.0.0.1:1".parse().unwrap());
    let mut ledger = open(vec![attempt_report("planner", 0, 1, 1, AttemptState::Running { address })], now);
    ledger.stop(&task("planner", 0), attempt(1), now);
    assert_eq!(state(&ledger, "planner"), Some(TaskState::Stopping), "published to the peers immediately");
    assert!(ledger.commands(now).is_empty());
    let drained = now + ledger::DRAIN_DELAY;
    assert!(ledger.has_urgent_commands(drained));
    assert!(ledger.commands(drained).iter().any(|command| matches!(command, Command::Stop { .. })));
    assert!(!ledger.has_urgent_commands(drained), "already sent; repeated only with the lease renewals");
}

/// Simulates the part of a worker that the ledger interacts with.
#[derive(Default)]
struct FakeWorker {
    tasks: BTreeMap<(Id, Attempt), AttemptReport>,
}

impl FakeWorker {
    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt, resources, .. } => {
                    let key = (task.clone(), *attempt);
                    self.tasks.entry(key).or_insert_with(|| AttemptReport {
                        task: task.clone(),
                        attempt: *attempt,
                        resources: *resources,
                        patient: true,
                        run: running(),
                        unsaved_ms: 0,
                        usage: None,
                    });
                }
                Command::Stop { task, attempt } => self.end(&(task.clone(), *attempt), End::Stopped),
                Command::Acknowledge { task, attempt } => {
                    self.tasks.remove(&(task.clone(), *attempt));
                }
                Command::Throttle { .. } | Command::Checkpoint { .. } => {}
            }
        }
    }

    fn end(&mut self, key: &(Id, Attempt), end: End) {
        if let Some(task) = self.tasks.get_mut(key)
            && !matches!(task.run, AttemptState::Ended { .. })
        {
            task.run = AttemptState::Ended { end };
        }
    }

    fn report(&self) -> Report {
        report(self.tasks.values().cloned().collect())
    }

    fn committed(&self) -> Resources {
        let live = self.tasks.values().filter(|task| !matches!(task.run, AttemptState::Ended { .. }));
        live.fold(Resources::ZERO, |sum, task| sum.checked_add(&task.resources).unwrap())
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start(u32, u32),
    Stop(u32),
    Finish(u32),
    Acknowledge(u32),
    Batch,
    BatchAnswerLost,
    BatchLost,
    Takeover,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..12, 1u32..9).prop_map(|(index, cores)| Step::Start(index, cores)),
        1 => (0u32..12).prop_map(Step::Stop),
        1 => (0u32..12).prop_map(Step::Finish),
        1 => (0u32..12).prop_map(Step::Acknowledge),
        3 => Just(Step::Batch),
        1 => Just(Step::BatchAnswerLost),
        1 => Just(Step::BatchLost),
        1 => Just(Step::Takeover),
    ]
}

proptest! {
    #[test]
    fn the_worker_is_never_overcommitted_when_messages_are_lost(steps in prop::collection::vec(step(), 1..120)) {
        let now = Instant::now();
        let capacity = Resources::new(16, 65536, 0);
        let mut fake_worker = FakeWorker::default();
        let mut ledger = open(Vec::new(), now);
        for step in steps {
            match step {
                Step::Start(index, cores) => { ledger.commit(&order("a", index, 1, cores), now); }
                Step::Stop(index) => ledger.stop(&task("a", index), attempt(1), now),
                Step::Finish(index) => fake_worker.end(&(task("a", index), attempt(1)), End::Finished),
                Step::Acknowledge(index) => ledger.acknowledge(&task("a", index), attempt(1)),
                Step::Batch => {
                    let commands = ledger.commands(now);
                    fake_worker.execute(&commands);
                    ledger.apply_batch_reply(&commands, fake_worker.report(), now);
                }
                Step::BatchAnswerLost => fake_worker.execute(&ledger.commands(now)),
                Step::BatchLost => { ledger.commands(now); }
                Step::Takeover => {
                    ledger = Ledger::open("w".to_owned(), ledger.epoch() + 1, fake_worker.report(), LIMITS, now)
                }
            }
            prop_assert!(fake_worker.committed().fits_in(&capacity));
            prop_assert!(ledger.free().fits_in(&capacity));
        }
    }
}
