//! Minions that take orders by invocation.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::{Store, body, reply};

/// `MaxHoldMs`.
const MAX_HOLD: Duration = Duration::from_millis(6000);
/// Most ends that one answer lists.
const MOST_ENDS: usize = 500;
/// Longest wait for an end.
const MAX_WAIT_MS: u64 = 2000;
/// Interval at which due ends are looked for.
const TICK: Duration = Duration::from_millis(5);

/// What the steady clock of a minion shows when it boots, unless the case says otherwise.
pub const CLOCK: Duration = Duration::from_secs(1);

/// How long a task works; the name of the task decides.
pub type Work = fn(&str) -> Duration;

struct Running {
    began: Instant,
    ends: Instant,
}

struct Ended {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// One life of a minion.
struct Life {
    number: u32,
    booted: Instant,
    /// What the steady clock showed at the boot.
    clock_at_boot: Duration,
    up: bool,
    fence: u64,
    lease: Instant,
    runs: BTreeMap<(String, u64), Running>,
    ended: Vec<Ended>,
    last_number: u64,
    /// Highest number that an answer has listed.
    listed: u64,
    /// Highest attempt of each task that was stopped or has ended here.
    settled: BTreeMap<String, u64>,
}

impl Life {
    fn new(number: u32, clock_at_boot: Duration) -> Life {
        let now = Instant::now();
        Life {
            number,
            booted: now,
            clock_at_boot,
            up: true,
            fence: 0,
            lease: now,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            listed: 0,
            settled: BTreeMap::new(),
        }
    }

    fn clock(&self) -> u64 {
        (self.clock_at_boot + self.booted.elapsed()).as_millis() as u64
    }

    /// Prolongs the lease of everything that runs here.
    fn prolong(&mut self, deadline: u64) {
        let until = self.booted + Duration::from_millis(deadline).saturating_sub(self.clock_at_boot);
        self.lease = self.lease.max(until.min(Instant::now() + MAX_HOLD));
    }
}

pub struct Minion {
    pub name: String,
    address: String,
    cpu: u32,
    memory: u32,
    service: String,
    work: Work,
    life: Mutex<Life>,
    /// Ends the listener of the present life.
    ended: Mutex<Arc<AtomicBool>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Minion {
    pub fn start(
        name: &str,
        service: &str,
        cpu: u32,
        memory: u32,
        work: Work,
        clock: Duration,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Minion> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let minion = Arc::new(Minion {
            name: name.to_owned(),
            address,
            cpu,
            memory,
            service: service.to_owned(),
            work,
            life: Mutex::new(Life::new(1, clock)),
            ended: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        });
        minion.register();
        minion.clone().listen(listener);
        let ticking = minion.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.tick(&mut ticking.life.lock().expect("life"));
            }
        });
        minion
    }

    fn listen(self: Arc<Minion>, listener: TcpListener) {
        let ended = self.ended.lock().expect("ended").clone();
        http::serve_until(listener, ended, move |request| self.answer(&request));
    }

    fn id(&self, life: u32) -> String {
        format!("i-{}-{life}", self.name)
    }

    fn register(&self) {
        let id = self.id(self.life.lock().expect("life").number);
        let entry = json!({"Service": self.service, "Address": self.address, "Zone": "z-a", "Version": "v1", "Slots": 8,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "Machine": format!("m-{}", self.name),
            "Capacity": {"Cpu": self.cpu, "MemMb": self.memory, "Gpus": 0}, "Labels": ["a", "r1-1"]});
        self.store.write(&format!("servers/{id}"), &entry);
    }

    /// Whether a run of this task is here, and since when.
    pub fn runs(&self, job: &str) -> Option<Duration> {
        let life = self.life.lock().expect("life");
        life.runs.iter().find(|((task, _), _)| task.starts_with(job)).map(|(_, run)| run.began.elapsed())
    }

    /// The minion's process crashes: everything that runs there is gone, and its port is dead until [`Minion::boot`].
    pub fn crash(&self) {
        std::mem::take(&mut *self.ended.lock().expect("ended")).store(true, Ordering::Relaxed);
        // Wakes the listener, which ends.
        let _ = TcpStream::connect(&self.address);
        let mut life = self.life.lock().expect("life");
        let id = self.id(life.number);
        self.record.line(&format!("{id} crashes with {:?}", life.runs.keys().collect::<Vec<_>>()));
        for (task, attempt) in life.runs.keys() {
            self.record.ended(task, *attempt, &id, "lost with its minion", 0);
        }
        let number = life.number + 1;
        *life = Life::new(number, life.clock_at_boot);
        life.up = false;
    }

    /// The machine is back with a new life, which has a new id.
    pub fn boot(self: &Arc<Minion>) {
        let listener = TcpListener::bind(&self.address).expect("the same port");
        let before = {
            let mut life = self.life.lock().expect("life");
            *life = Life::new(life.number, life.clock_at_boot);
            life.number - 1
        };
        self.store.remove(&format!("servers/{}", self.id(before)));
        self.clone().listen(listener);
        self.register();
        self.record.line(&format!("{} boots", self.id(before + 1)));
    }

    /// Ends what is due.
    fn tick(&self, life: &mut Life) {
        let now = Instant::now();
        let lapsed = now > life.lease;
        let due = life.runs.iter().filter(|(_, run)| run.ends <= now || lapsed);
        let due: Vec<(String, u64, bool)> =
            due.map(|((task, attempt), run)| (task.clone(), *attempt, run.ends <= now)).collect();
        for (task, attempt, done) in due {
            life.runs.remove(&(task.clone(), attempt));
            let how = if done { "done" } else { "lapsed" };
            self.end(life, task, attempt, how);
        }
    }

    fn end(&self, life: &mut Life, task: String, attempt: u64, how: &'static str) {
        life.last_number += 1;
        let number = life.last_number;
        self.record.ended(&task, attempt, &self.id(life.number), how, number);
        let settled = life.settled.entry(task.clone()).or_default();
        *settled = attempt.max(*settled);
        life.ended.push(Ended { number, task, attempt, how });
    }

    fn answer(&self, request: &Request) -> Answer {
        let called = {
            let life = self.life.lock().expect("life");
            if !life.up {
                return Answer::Reset;
            }
            life.number
        };
        let expected = request.header("walkhook-expected-instance").map(str::to_owned);
        let answer = self.answer_in_life(request, expected.as_deref());
        let now = self.life.lock().expect("life");
        if now.up && now.number == called { answer } else { Answer::Reset }
    }

    fn answer_in_life(&self, request: &Request, expected: Option<&str>) -> Answer {
        let body = body(request);
        let mut life = self.life.lock().expect("life");
        let number = life.number;
        if expected.is_some_and(|expected| expected != self.id(number)) {
            return reply(421, &json!({}));
        }
        self.tick(&mut life);
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < life.fence {
            return reply(409, &json!({"ClockMs": life.clock(), "Reason": "fence"}));
        }
        life.fence = token;
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut life, &body),
            "/run-stop" => self.run_stop(&mut life, &body),
            "/hold" => {
                if let Some(deadline) = body["DeadlineMs"].as_u64() {
                    life.prolong(deadline);
                }
                let seen = body["LastSeen"].as_u64().unwrap_or(0);
                if life.ended.first().is_some_and(|end| end.number <= seen) {
                    life.ended.retain(|end| end.number > seen);
                    self.record.detail(&format!("{} is told LastSeen {seen}", self.id(number)));
                    self.record.noted(&self.id(number), seen);
                }
                let until =
                    Instant::now() + Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(MAX_WAIT_MS));
                while life.last_number <= life.listed && Instant::now() < until {
                    drop(life);
                    std::thread::sleep(TICK);
                    life = self.life.lock().expect("life");
                    if life.number != number || !life.up {
                        return Answer::Reset;
                    }
                    self.tick(&mut life);
                }
                let running: Vec<Value> = life.runs.iter().map(|(key, run)| running_row(key, run)).collect();
                let ended: Vec<Value> = life.ended.iter().take(MOST_ENDS).map(ended_row).collect();
                life.listed = life.ended.iter().take(MOST_ENDS).last().map_or(life.listed, |end| end.number);
                reply(200, &json!({"ClockMs": life.clock(), "Running": running, "Ended": ended}))
            }
            _ => reply(404, &json!({})),
        }
    }

    fn run_start(&self, life: &mut Life, body: &Value) -> Answer {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let deadline = body["DeadlineMs"].as_u64().unwrap_or(0);
        if deadline <= life.clock() {
            self.record.detail(&format!(
                "{} rejects {task} attempt {attempt}: late; DeadlineMs {deadline}, its clock {}",
                self.id(life.number),
                life.clock()
            ));
            return reply(409, &json!({"ClockMs": life.clock(), "Reason": "late"}));
        }
        life.prolong(deadline);
        if life.settled.get(&task).is_some_and(|settled| attempt <= *settled) {
            return reply(409, &json!({"ClockMs": life.clock(), "Reason": "old"}));
        }
        let key = (task.clone(), attempt);
        if !life.runs.contains_key(&key) {
            self.record.started(&task, attempt, &self.id(life.number));
            let began = Instant::now();
            life.runs.insert(key, Running { began, ends: began + (self.work)(&task) });
        }
        reply(200, &json!({"ClockMs": life.clock()}))
    }

    fn run_stop(&self, life: &mut Life, body: &Value) -> Answer {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        if life.runs.remove(&(task.clone(), attempt)).is_some() {
            self.end(life, task, attempt, "stopped");
        } else {
            let settled = life.settled.entry(task).or_default();
            *settled = attempt.max(*settled);
        }
        reply(200, &json!({"ClockMs": life.clock()}))
    }
}

fn running_row((task, attempt): &(String, u64), run: &Running) -> Value {
    let share = run.began.elapsed().as_secs_f64() / run.ends.duration_since(run.began).as_secs_f64().max(0.001);
    json!([task, attempt, "", (share * 100.0).min(99.0) as u64, 100])
}

fn ended_row(end: &Ended) -> Value {
    json!([end.number, end.task, end.attempt, end.how, ""])
}
