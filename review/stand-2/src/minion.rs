//! A minion, as PROTOCOL.md describes it under `Orders: invocation`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::Body;

use crate::record::Record;
use crate::store::{Store, empty};

/// `MaxHoldMs` of the settings.
const MAX_HOLD_MS: u64 = 6000;
/// Most ends in one answer.
const MAX_ENDS: usize = 500;
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);
const POLL: Duration = Duration::from_millis(10);
pub const CPU: u64 = 16_000;
const MEM_MB: u64 = 65_536;

/// What is told of a job: how long its tasks work, and what each takes.
#[derive(Clone, Copy)]
pub struct Work {
    /// `None` for tasks that last.
    pub time: Option<Duration>,
    pub cpu: u64,
    /// Whether it fails at the end of that time.
    pub fails: bool,
}

struct Run {
    began: Instant,
    work: Work,
}

/// One life of the machine.
struct Life {
    id: String,
    born: Instant,
    fence: u64,
    /// Until when everything that runs is leased, on the clock of this life.
    until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Number, task, attempt, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest attempt that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
}

/// Something that was seen on a minion.
#[derive(Clone, Debug)]
pub struct Seen {
    /// `start`, or how the run ended; `lost` with its minion.
    pub what: &'static str,
}

pub struct Minion {
    address: SocketAddr,
    rack: String,
    service: String,
    life: Mutex<Life>,
    /// Whether it is lost for good: its port is dead, and channels that were open say nothing more.
    gone: watch::Sender<bool>,
    works: Arc<dyn Fn(&str) -> Work + Send + Sync>,
    seen: Arc<Mutex<Vec<Seen>>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Life {
    fn new(id: String) -> Life {
        Life {
            id,
            born: Instant::now(),
            fence: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, attempt: u64, how: &'static str) {
        self.runs.remove(&(task.to_owned(), attempt));
        self.last_end += 1;
        self.ended.push((self.last_end, task.to_owned(), attempt, how));
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = attempt.max(*closed);
    }
}

impl Minion {
    pub async fn start(
        ip: &str,
        number: usize,
        service: &str,
        works: Arc<dyn Fn(&str) -> Work + Send + Sync>,
        seen: Arc<Mutex<Vec<Seen>>>,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Minion> {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port for a minion");
        let minion = Arc::new(Minion {
            address: listener.local_addr().expect("an address"),
            rack: format!("r1-{}", number / 3),
            service: service.to_owned(),
            life: Mutex::new(Life::new(id(number))),
            gone: watch::Sender::new(false),
            works,
            seen,
            store,
            record,
        });
        let serving = minion.clone();
        let answer = move |request, _| {
            let minion = serving.clone();
            async move { minion.answer(request).await }
        };
        let mut stopped = minion.gone.subscribe();
        let stop = async move {
            // Ends as well when the minion is dropped.
            let _ = stopped.wait_for(|gone| *gone).await;
        };
        tokio::spawn(web::serve(listener, 400, stop, Duration::ZERO, answer));
        tokio::spawn(tick(minion.clone()));
        minion.list();
        minion
    }

    /// Writes its entry to the store.
    fn list(&self) {
        let id = self.id();
        let entry = json!({"Service": self.service, "Address": self.address.to_string(), "Zone": "z1", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Capacity": {"Cpu": CPU, "MemMb": MEM_MB, "Gpus": 0},
            "Labels": ["a", self.rack], "ClockMs": 1, "Sequence": 1});
        self.store.write(&format!("servers/{id}"), &entry);
    }

    pub fn id(&self) -> String {
        self.life.lock().expect("a life").id.clone()
    }

    /// Tasks that run here.
    pub fn running(&self) -> Vec<String> {
        self.life.lock().expect("a life").runs.keys().map(|(task, _)| task.clone()).collect()
    }

    /// Thousandths of a core in use.
    pub fn used_cpu(&self) -> u64 {
        self.life.lock().expect("a life").runs.values().map(|run| run.work.cpu).sum()
    }

    /// Is lost for good with everything that runs here. Its entry goes after three status reports of silence.
    pub async fn lose(&self) {
        let lost: Vec<(String, u64)> = {
            let mut life = self.life.lock().expect("a life");
            self.gone.send_replace(true);
            std::mem::take(&mut life.runs).into_keys().collect()
        };
        let id = self.id();
        self.record.write(&format!("{id} is lost for good with {} runs", lost.len()));
        for (task, attempt) in lost {
            self.note(&id, &task, attempt, "lost");
        }
        tokio::time::sleep(3 * HEARTBEAT).await;
        self.store.remove(&format!("servers/{id}"));
        self.record.write(&format!("the entry of {id} goes"));
    }

    fn note(&self, minion: &str, task: &str, attempt: u64, what: &'static str) {
        self.record.write(&format!("{minion}: {task} attempt {attempt} {what}"));
        let seen = Seen { what };
        self.seen.lock().expect("what was seen").push(seen);
    }

    fn is_gone(&self) -> bool {
        *self.gone.borrow()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let called = self.id();
        let expected = request.headers().get("walkhook-expected-instance").cloned();
        let path = request.uri().path().to_owned();
        let body = web::read_limited(request.into_body(), MAX_REQUEST_BYTES).await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        if self.is_gone() {
            std::future::pending::<()>().await;
        }
        if expected.is_some_and(|expected| expected.as_bytes() != called.as_bytes()) {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        }
        let answer = match path.as_str() {
            "/hold" => self.hold(&body).await,
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/health" => empty(StatusCode::OK),
            _ => empty(StatusCode::NOT_FOUND),
        };
        if self.is_gone() {
            std::future::pending::<()>().await;
        }
        answer
    }

    /// Whether a fence number is too low; the highest one is kept.
    fn is_fenced(life: &mut Life, body: &Value) -> bool {
        let fence = body["FencingToken"].as_u64().unwrap_or(0);
        life.fence = life.fence.max(fence);
        fence < life.fence
    }

    fn prolong(life: &mut Life, body: &Value) {
        if let Some(until) = body["DeadlineMs"].as_u64() {
            life.until_ms = life.until_ms.max(until.min(life.clock_ms() + MAX_HOLD_MS));
        }
    }

    async fn hold(&self, body: &Value) -> Response<Body> {
        {
            let mut life = self.life.lock().expect("a life");
            if Minion::is_fenced(&mut life, body) {
                return rejected(&life, "fence");
            }
            Minion::prolong(&mut life, body);
            let seen = body["LastSeen"].as_u64().unwrap_or(0);
            life.ended.retain(|(number, ..)| *number > seen);
        }
        let end = Instant::now() + Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(2000));
        loop {
            {
                let life = self.life.lock().expect("a life");
                if !life.ended.is_empty() || Instant::now() >= end {
                    let running = life.runs.iter().map(|((task, attempt), run)| {
                        let total = run.work.time.unwrap_or(Duration::from_secs(1)).as_millis().max(1);
                        let percent = (run.began.elapsed().as_millis() * 100 / total).min(100) as u64;
                        json!([task, attempt, "", percent, run.work.cpu])
                    });
                    let running: Vec<Value> = running.collect();
                    let ended = life.ended.iter().take(MAX_ENDS);
                    let ended: Vec<Value> =
                        ended.map(|(number, task, attempt, how)| json!([number, task, attempt, how, ""])).collect();
                    let answer = json!({"ClockMs": life.clock_ms(), "Running": running, "Ended": ended});
                    return web::json(StatusCode::OK, &answer);
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn run_start(&self, body: &Value) -> Response<Body> {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let id = {
            let mut life = self.life.lock().expect("a life");
            if Minion::is_fenced(&mut life, body) {
                return rejected(&life, "fence");
            }
            if life.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
                Minion::prolong(&mut life, body);
                drop(life);
                self.note(&self.id(), &task, attempt, "rejected as old");
                return rejected(&self.life.lock().expect("a life"), "old");
            }
            if body["DeadlineMs"].as_u64().is_none_or(|until| until <= life.clock_ms()) {
                return rejected(&life, "late");
            }
            Minion::prolong(&mut life, body);
            if life.runs.contains_key(&(task.clone(), attempt)) {
                return web::json(StatusCode::OK, &json!({"ClockMs": life.clock_ms()}));
            }
            let work = (self.works)(body["Specification"].as_str().unwrap_or_default());
            life.runs.insert((task.clone(), attempt), Run { began: Instant::now(), work });
            life.id.clone()
        };
        self.note(&id, &task, attempt, "start");
        let life = self.life.lock().expect("a life");
        web::json(StatusCode::OK, &json!({"ClockMs": life.clock_ms()}))
    }

    fn run_stop(&self, body: &Value) -> Response<Body> {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let stopped = {
            let mut life = self.life.lock().expect("a life");
            if Minion::is_fenced(&mut life, body) {
                return rejected(&life, "fence");
            }
            let stopped = life.runs.contains_key(&(task.clone(), attempt));
            if stopped {
                life.end(&task, attempt, "stopped");
            }
            let closed = life.closed.entry(task.clone()).or_default();
            *closed = attempt.max(*closed);
            stopped.then(|| life.id.clone())
        };
        if let Some(id) = stopped {
            self.note(&id, &task, attempt, "stopped");
        }
        let life = self.life.lock().expect("a life");
        web::json(StatusCode::OK, &json!({"ClockMs": life.clock_ms()}))
    }

    /// Ends what is done, and everything once the lease is over.
    fn end_due(&self) {
        let mut ended = Vec::new();
        {
            let mut life = self.life.lock().expect("a life");
            let lapsed = life.clock_ms() > life.until_ms;
            let due = life.runs.iter().filter(|(_, run)| lapsed || is_done(run));
            let due: Vec<_> = due.map(|(key, run)| (key.clone(), is_done(run), run.work.fails)).collect();
            for ((task, attempt), done, fails) in due {
                let how = match (done, fails) {
                    (false, _) => "lapsed",
                    (true, false) => "done",
                    (true, true) => "failed",
                };
                life.end(&task, attempt, how);
                ended.push((life.id.clone(), task, attempt, how));
            }
        }
        for (id, task, attempt, how) in ended {
            self.note(&id, &task, attempt, how);
        }
    }
}

fn id(number: usize) -> String {
    format!("i-{:08x}", 0x51c0_a300 + number * 256)
}

fn is_done(run: &Run) -> bool {
    run.work.time.is_some_and(|time| run.began.elapsed() >= time)
}

async fn tick(minion: Arc<Minion>) {
    loop {
        tokio::time::sleep(POLL).await;
        if !minion.is_gone() {
            minion.end_due();
        }
    }
}

fn rejected(life: &Life, reason: &str) -> Response<Body> {
    web::json(StatusCode::CONFLICT, &json!({"ClockMs": life.clock_ms(), "Reason": reason}))
}
