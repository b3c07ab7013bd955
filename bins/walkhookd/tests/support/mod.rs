//! A cell for tests: real `walkhookd` processes, and stand-ins for everything else within the test.

// Each test file uses its own part of this.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use api::{Outcome, Status};
use argh::FromArgs;
use bytes::Bytes;
use fakes::{Endpoint, Platform, Worker, any_port};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::Resources;
use model::task::Id;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use store::{Host, Kind};
use tempfile::TempDir;
use uuid::Uuid;

const KEY: &str = "the shared key of a test cell";
/// Nothing here may take so long; a test that waits for more has failed.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(20);
pub const CORES: u32 = 8;
/// Below the ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Times for tests: failures are found out in fractions of a second.
pub const FAST: &str = "log: debug
membership: { heartbeat: 50ms, dead_after: 600ms }
tasks: { lease: 3s, renew_every: 200ms, partitions: 4 }";
/// The times that an entry host has unless its settings say otherwise.
pub const DEFAULT: &str = "log: info";

/// A caller's client.
pub type Caller = Client<HttpConnector, Full<Bytes>>;
/// One data centre: its name, entry hosts and workers.
pub type Layout = (&'static str, usize, usize);

/// An entry host.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub relay: SocketAddr,
    settings: std::path::PathBuf,
    process: Option<Child>,
}

/// The daemon; for an example, which is not built together with it, the example itself in that role.
fn daemon() -> Command {
    if let Some(path) = option_env!("CARGO_BIN_EXE_walkhookd") {
        return Command::new(path);
    }
    let mut itself = Command::new(std::env::current_exe().expect("a path"));
    itself.args(["--role", "walkhookd"]);
    itself
}

/// The main function of an example: what it measures, or, in the processes that it starts, the daemon.
pub fn run_example(measure: impl Future<Output = ()>) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["--role", "walkhookd", rest @ ..] = words.as_slice() {
        return walkhookd::main(&walkhookd::cli::Cli::from_args(&["walkhookd"], rest).expect("good arguments"));
    }
    tokio::runtime::Runtime::new().expect("threads").block_on(measure);
    ExitCode::SUCCESS
}

impl Entry {
    /// Processor time in milliseconds and resident memory in KiB.
    pub fn costs(&self) -> (u64, u64) {
        let id = self.process.as_ref().expect("it runs").id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
        let fields: Vec<&str> = stat.rsplit_once(')').expect("a name").1.split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number")).sum();
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("it runs");
        let pages: u64 = statm.split_whitespace().nth(1).expect("pages").parse().expect("a number");
        (ticks * 10, pages * 4)
    }

    fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.expect("a log file");
        let process = daemon()
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        self.process = Some(process.expect("walkhookd starts"));
    }

    fn signal(&self, signal: Signal) {
        let id = self.process.as_ref().expect("it runs").id();
        kill(Pid::from_raw(id as i32), signal).expect("a signal to an own process");
    }

    /// Ends it without a word.
    pub fn kill(&mut self) {
        let mut process = self.process.take().expect("it runs");
        process.kill().expect("an own process");
        process.wait().expect("an own process");
    }

    /// Stops it in its tracks.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop and waits for its exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let mut process = self.process.take().expect("it runs");
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(status) = process.try_wait().expect("an own process") {
                return status.code();
            }
            tokio::time::sleep(LOOK).await;
        }
        process.kill().expect("an own process");
        process.wait().expect("an own process");
        None
    }

    /// Starts it again, as a host that was replaced.
    pub fn restart(&mut self) {
        self.start();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// An answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<u64>,
    pub body: String,
}

pub struct Cell {
    pub platform: Platform,
    pub workers: Vec<(String, Worker)>,
    pub hosts: Vec<Entry>,
    http: web::Client,
    caller: Caller,
    folder: TempDir,
}

impl Cell {
    /// Starts a cell and waits until all hosts take callers' requests and all workers are held.
    pub async fn start(layout: &[Layout]) -> Cell {
        Cell::start_at(layout, FAST).await
    }

    /// The same with other times.
    pub async fn start_at(layout: &[Layout], pace: &str) -> Cell {
        let platform = Platform::start(any_port()).await.expect("a free port");
        Cell::start_with(platform, layout, pace, &BTreeMap::new()).await
    }

    /// The same with a platform that runs already, which some data centres reach by an address of their own.
    pub async fn start_with(
        platform: Platform,
        layout: &[Layout],
        pace: &str,
        doors: &BTreeMap<&str, Endpoint>,
    ) -> Cell {
        let folder = tempfile::tempdir().expect("a folder");
        let mut cell = Cell {
            platform,
            workers: Vec::new(),
            hosts: Vec::new(),
            http: web::Client::new(Duration::from_secs(20), 16 * 1024 * 1024).with_bearer(KEY),
            caller: Client::builder(TokioExecutor::new()).build_http(),
            folder,
        };
        for (data_centre, _, workers) in layout {
            for number in 0..*workers {
                cell.add_worker(data_centre, number).await;
            }
        }
        cell.write_settings(layout, pace, doors);
        for host in &mut cell.hosts {
            host.start();
        }
        for at in 0..cell.hosts.len() {
            cell.until_ready(at).await;
        }
        let workers = cell.workers.len();
        cell.until_rows(0, "show workers where state = live", workers).await;
        cell
    }

    pub async fn add_worker(&mut self, data_centre: &str, number: usize) {
        let capacity = Resources::new(CORES, CORES * 4096, 0);
        let worker = Worker::start(any_port(), capacity).await.expect("a free port");
        let name = format!("{data_centre}-w{number}");
        self.platform.add_host(listed(&name, data_centre, number, worker.address(), capacity, false));
        self.workers.push((name, worker));
    }

    fn write_settings(&mut self, layout: &[Layout], pace: &str, doors: &BTreeMap<&str, Endpoint>) {
        let count: usize = layout.iter().map(|(_, hosts, _)| hosts).sum();
        // Not tried out by listening: a listener of this process lives on for a moment in every child that another
        // test is just starting, and its port would be taken when the host wants it.
        let addresses: Vec<SocketAddr> =
            (0..count * 4).map(|at| SocketAddr::from((fakes::own_ip(), FIRST_PORT + at as u16))).collect();
        let seed = addresses[2];
        let all: Vec<&str> = layout.iter().map(|(name, _, _)| *name).collect();
        let mut free = addresses.chunks(4);
        for (data_centre, hosts, _) in layout {
            for number in 0..*hosts {
                let own = free.next().expect("enough addresses");
                let name = format!("{data_centre}-e{number}");
                let file = self.folder.path().join(format!("{name}.yaml"));
                let platform = doors.get(data_centre).map_or(self.platform.address(), |door| door.address);
                let text = settings(&name, data_centre, &all, own, seed, platform, pace);
                std::fs::write(&file, text).expect("a settings file");
                let (callers, operators, relay) = (own[0], own[1], own[3]);
                self.hosts.push(Entry { name, callers, operators, relay, settings: file, process: None });
            }
        }
    }

    /// Waits, as the balancer does, until a host takes callers' requests.
    pub async fn until_ready(&self, at: usize) {
        let url = format!("http://{}/-/health", self.hosts[at].callers);
        let http = &self.http;
        until(&format!("{} is ready", self.hosts[at].name), || async { http.get::<String>(&url).await.is_ok() }).await;
    }

    /// Sends a statement to a host; `None` when it can't be reached or does not answer.
    pub async fn ask(&self, at: usize, statement: &str, plan: Option<&str>) -> Option<Outcome> {
        self.send(at, Uuid::new_v4(), statement, plan).await
    }

    pub async fn send(&self, at: usize, command: Uuid, statement: &str, plan: Option<&str>) -> Option<Outcome> {
        let plan = plan.map(str::to_owned);
        let command = api::Command { statement: statement.to_owned(), command, plan };
        let url = format!("http://{}/v1/statements", self.hosts[at].operators);
        self.http.post(&url, &command).await.ok()
    }

    /// Sends a statement that must be done.
    pub async fn execute(&self, at: usize, statement: &str) -> Outcome {
        let outcome = self.ask(at, statement, None).await.expect("the host answers");
        assert_eq!(outcome.status, Status::Done, "{statement}: {}", outcome.message);
        outcome
    }

    pub async fn submit(&self, at: usize, plan: &str) {
        let outcome = self.ask(at, "submit plan.yaml", Some(plan)).await.expect("the host answers");
        assert_eq!(outcome.status, Status::Done, "{}", outcome.message);
    }

    pub async fn rows(&self, at: usize, statement: &str) -> Vec<Vec<String>> {
        let outcome = self.ask(at, statement, None).await;
        outcome.and_then(|outcome| outcome.table).map(|table| table.rows).unwrap_or_default()
    }

    pub async fn until_rows(&self, at: usize, statement: &str, count: usize) {
        until(&format!("{statement}: {count} rows"), || async { self.rows(at, statement).await.len() == count }).await;
    }

    /// Sends a caller's request; `None` when the connection broke.
    pub async fn call(&self, at: usize, path: &str, key: Option<&str>) -> Option<Answer> {
        call(&self.caller, self.hosts[at].callers, path, key, "0ms").await
    }

    /// Where a caller's client can be used from another task.
    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    pub fn worker(&self, name: &str) -> &Worker {
        &self.workers.iter().find(|(known, _)| known == name).expect("a known worker").1
    }

    /// How often each task was ever started, on all workers.
    pub fn starts(&self) -> BTreeMap<Id, usize> {
        let mut starts = BTreeMap::new();
        for (_, worker) in &self.workers {
            for (task, _) in worker.starts() {
                *starts.entry(task).or_default() += 1;
            }
        }
        starts
    }

    /// Tasks that were started more than once.
    pub fn started_again(&self) -> Vec<(Id, usize)> {
        self.starts().into_iter().filter(|(_, count)| *count > 1).collect()
    }

    /// Tasks that run on more than one worker, or twice on one, at this moment.
    pub fn doubled(&self) -> Vec<Id> {
        let mut counts: BTreeMap<Id, usize> = BTreeMap::new();
        for task in self.workers.iter().flat_map(|(_, worker)| worker.running()) {
            *counts.entry(task).or_default() += 1;
        }
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(task, _)| task).collect()
    }

    /// No worker was ever committed beyond what it offers.
    pub fn assert_never_overcommitted(&self) {
        for (name, worker) in &self.workers {
            let peak = worker.peak();
            assert!(peak.fits_in(&Resources::new(CORES, CORES * 4096, 0)), "{name} had {peak} in use");
        }
    }

    /// Runs of each key at all backend servers, those that were stopped too.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for backend in self.workers.iter().flat_map(|(_, worker)| worker.backends()) {
            for (key, count) in backend.record().by_key {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }
}

impl Drop for Cell {
    /// The logs of a test that failed are kept.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("logs of the entry hosts are in {}", self.folder.path().display());
        }
    }
}

pub fn listed(
    name: &str,
    data_centre: &str,
    number: usize,
    address: SocketAddr,
    capacity: Resources,
    leaving: bool,
) -> Host {
    Host {
        name: name.to_owned(),
        kind: Kind::Worker,
        data_centre: data_centre.to_owned(),
        rack: format!("rack-{}", number % 2),
        address,
        capacity,
        leaving,
    }
}

/// Sends one request, as a caller does.
pub async fn call(caller: &Caller, to: SocketAddr, path: &str, key: Option<&str>, work: &str) -> Option<Answer> {
    let mut request = Request::builder().method(Method::POST).uri(format!("http://{to}{path}")).header("x-work", work);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(path.to_owned()))).expect("a good request");
    let answer = caller.request(request).await.ok()?;
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let outcome = header("walkhook-outcome").unwrap_or_else(|| "answered".to_owned());
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some(Answer { status, outcome, retry_after, body: String::from_utf8_lossy(&body).into_owned() })
}

/// The text that a GET brings; empty when none.
pub async fn get_text(url: &str) -> String {
    let caller: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder().uri(url).body(Full::new(Bytes::new())).expect("a good request");
    let Ok(answer) = caller.request(request).await else { return String::new() };
    let body = answer.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// Waits until a condition holds; fails the test when it does not within a time that is far beyond need.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < PATIENCE, "still not so: {what}");
        tokio::time::sleep(LOOK).await;
    }
}

fn settings(
    name: &str,
    data_centre: &str,
    all: &[&str],
    own: &[SocketAddr],
    seed: SocketAddr,
    platform: SocketAddr,
    pace: &str,
) -> String {
    let [callers, operators, peers, relay] = own else { panic!("four addresses") };
    format!(
        "cell: test
host: {name}
data_centre: {data_centre}
data_centres: [{}]
listen: {{ callers: '{callers}', operators: '{operators}', peers: '{peers}', relay: '{relay}' }}
seeds: ['{seed}']
platform: {{ address: '{platform}', timeout: 700ms, calls_per_second: 200 }}
shared_key: {KEY}
{pace}
classes:
  - {{ name: check, path: /slots, service: planner, priority: urgent, deadline: 5s, repeatable: true }}
  - {{ name: booking, path: /bookings, service: planner, priority: urgent, deadline: 5s }}
",
        all.join(", ")
    )
}

/// A plan with one service that the classes of requests lead to.
pub const SERVICE: &str = "
workloads:
  - { name: planner, team: rail, kind: service, priority: urgent, instances: 4, each: { processors: 1, memory: 1GiB }, run: serve }
";

/// A plan with one batch run.
pub fn batch(name: &str, tasks: u32, processors: u32, run: &str) -> String {
    format!(
        "
workloads:
  - {{ name: {name}, team: rail, kind: batch, instances: {tasks}, each: {{ processors: {processors}, memory: 1GiB }}, run: {run} }}
"
    )
}
