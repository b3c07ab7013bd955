//! Wide gangs under the adviser's limits: it works on one question of a host at a time, and tickets hold for two seconds only.

use std::collections::BTreeMap;
use std::time::Duration;

use sched::{Action, Question, Ticket};
use work::{JobId, Step, Unit, WorkerId};

use crate::cell::{Cell, running, step};

const TICK: Duration = Duration::from_millis(10);
/// How often workers report.
const REPORT: Duration = Duration::from_millis(400);
/// Of each ten workers the adviser lets so many run a unit.
const ALLOWED_OF_TEN: u64 = 3;

/// A cell whose questions are asked by some hosts, one at a time each.
struct Fleet {
    cell: Cell,
    hosts: usize,
    /// Questions under way, with the time at which they are answered.
    asked: Vec<(Duration, Question)>,
    waiting: Vec<Question>,
    running: BTreeMap<WorkerId, Vec<sched::Start>>,
    reported: Duration,
    /// When the first task of each job was started.
    begun: BTreeMap<JobId, Duration>,
    questions: usize,
    /// Workers named in them.
    named: usize,
    /// The most that were named in questions under way together.
    most_named: usize,
}

impl Fleet {
    fn new(workers: usize, hosts: usize) -> Fleet {
        Fleet {
            cell: Cell::new(workers).ready(),
            hosts,
            asked: Vec::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            reported: Duration::ZERO,
            begun: BTreeMap::new(),
            questions: 0,
            named: 0,
            most_named: 0,
        }
    }

    /// Plays until all of `jobs` have begun, or for `most`.
    fn play(&mut self, jobs: &[JobId], most: Duration) {
        let end = self.cell.now + most;
        while self.cell.now < end && !jobs.iter().all(|job| self.begun.contains_key(job)) {
            self.report();
            self.answer();
            self.cell.engine.set_askers(self.hosts.saturating_sub(self.asked.len() + self.waiting.len()));
            for action in self.cell.plan() {
                self.act(action);
            }
            while self.asked.len() < self.hosts && !self.waiting.is_empty() {
                let question = self.waiting.remove(0);
                self.asked.push((self.cell.now + question.cost, question));
            }
            let under_way = self.asked.iter().map(|(_, question)| question.workers.len()).sum();
            self.most_named = self.most_named.max(under_way);
            self.cell.now += TICK;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(worker, start) => {
                self.begun.entry(start.task.unit.job).or_insert(self.cell.now);
                self.cell.started(&worker, &start);
                self.running.entry(worker).or_default().push(start);
            }
            Action::Ask(question) => {
                self.questions += 1;
                self.named += question.workers.len();
                self.waiting.push(question);
            }
            Action::Stop(..) | Action::Forget(_) => panic!("nothing is stopped here"),
        }
    }

    fn report(&mut self) {
        if self.cell.now < self.reported + REPORT {
            return;
        }
        self.reported = self.cell.now;
        let ids: Vec<WorkerId> = self.cell.infos.keys().cloned().collect();
        for id in ids {
            let there: Vec<_> = self.running.get(&id).into_iter().flatten().map(running).collect();
            self.cell.report(&id, &there, &[]);
        }
    }

    fn answer(&mut self) {
        let now = self.cell.now;
        let (answered, asked) = self.asked.drain(..).partition(|(at, _)| *at <= now);
        self.asked = asked;
        for (_, question) in answered {
            let until = now + question.validity;
            let healthy = question.workers.iter().filter(|worker| allowed(question.unit, worker));
            let tickets = healthy.map(|worker| (worker.clone(), Ticket { text: String::new(), until })).collect();
            self.cell.engine.advice_received(question.unit, &question.workers, tickets);
        }
    }
}

/// Whether a worker may run a unit: drawn once for each of them.
fn allowed(unit: Unit, worker: &str) -> bool {
    let seed = worker.bytes().fold(unit.job + 1, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (seed >> 20) % 10 < ALLOWED_OF_TEN
}

fn gang(count: u32, cores: u32) -> Step {
    Step { gang: true, ..step(count, cores) }
}

fn seconds(begun: &BTreeMap<JobId, Duration>) -> Vec<f64> {
    begun.values().map(Duration::as_secs_f64).collect()
}

/// One question at a time, the gang hadn't begun after 60 s.
#[test]
fn a_wide_gang_starts_within_the_time_of_two_questions() {
    let mut fleet = Fleet::new(1100, 147);
    fleet.cell.submit(1, "advised", vec![gang(240, 9)]);
    fleet.play(&[1], Duration::from_secs(60));
    let begun = fleet.begun.get(&1).expect("it starts");
    // A question that names 100 takes 1.2 s.
    assert!(*begun <= Duration::from_millis(2400), "{begun:?} with {} questions", fleet.questions);
}

#[test]
fn twenty_wide_gangs_at_once_start_within_four_seconds() {
    let mut fleet = Fleet::new(1100, 147);
    let jobs: Vec<JobId> = (1..=20).collect();
    jobs.iter().for_each(|job| fleet.cell.submit(*job, "advised", vec![gang(40, 4)]));
    fleet.play(&jobs, Duration::from_secs(60));
    let begun = seconds(&fleet.begun);
    assert_eq!(begun.len(), 20, "{begun:?}");
    assert!(begun.iter().all(|begun| *begun <= 4.0), "{begun:?}");
}

#[test]
fn with_few_hosts_a_gang_asks_no_more_than_it_needs() {
    let mut fleet = Fleet::new(48, 6);
    let jobs: Vec<JobId> = (1..=6).collect();
    jobs.iter().for_each(|job| fleet.cell.submit(*job, "advised", vec![gang(8, 4)]));
    fleet.play(&jobs, Duration::from_secs(60));
    let begun = seconds(&fleet.begun);
    assert_eq!(begun.len(), 6, "{begun:?}");
    assert!(begun.iter().all(|begun| *begun <= 2.5), "{begun:?}");
    assert!(fleet.questions <= 14, "{} questions", fleet.questions);
}

#[test]
fn where_there_is_no_room_each_worker_is_named_once_and_few_at_a_time() {
    let mut fleet = Fleet::new(300, 147);
    fleet.cell.submit(1, "urgent", vec![step(300, 16)]);
    fleet.play(&[1], Duration::from_secs(1));
    fleet.cell.submit(2, "advised", vec![gang(40, 9)]);
    fleet.play(&[2], Duration::from_secs(20));
    assert!(!fleet.begun.contains_key(&2));
    assert_eq!(fleet.named, 300);
    assert!(fleet.most_named <= 100, "{}", fleet.most_named);
}
