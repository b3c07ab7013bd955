//! A cell for tests: entry hosts are real `walkhookd` processes; the platform, workers and backend servers are fakes
//! that run inside the test process.

// Every test binary compiles this module and uses only some of its items.
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
use store::{Host, HostKind};
use tempfile::TempDir;
use uuid::Uuid;

const SHARED_KEY: &str = "the shared key of a test cell";
/// How long a wait may take before the test fails.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub const CORES: u32 = 8;
/// The first port of the entry hosts. It lies below the range that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Settings with short time spans, so that failures are detected in fractions of a second.
pub const FAST_TIMINGS: &str = "log: debug
membership: { heartbeat: 50ms, dead_after: 600ms }
tasks: { lease: 3s, renew_every: 200ms, partitions: 4 }";
/// Settings that leave every time span at the default of an entry host.
pub const DEFAULT_TIMINGS: &str = "log: info";

/// An HTTP client that sends callers' requests.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;
/// One data centre: its name, number of entry hosts and number of workers.
pub type Layout = (&'static str, usize, usize);

/// An entry host, run as a child process.
pub struct EntryHost {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub relay: SocketAddr,
    pub peers: SocketAddr,
    settings: std::path::PathBuf,
    pub process: Option<Child>,
}

/// Returns the command that starts the daemon. Examples are not built together with the daemon's binary, so an example
/// starts its own executable and selects the daemon by `--role walkhookd`.
fn daemon_command() -> Command {
    if let Some(path) = option_env!("CARGO_BIN_EXE_walkhookd") {
        return Command::new(path);
    }
    let mut own_executable = Command::new(std::env::current_exe().expect("the path of this executable"));
    own_executable.args(["--role", "walkhookd"]);
    own_executable
}

/// Main function of an example: runs the daemon in processes started with `--role walkhookd`, and the measurement
/// otherwise.
pub fn run_example(measurement: impl Future<Output = ()>) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument_refs: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["--role", "walkhookd", rest @ ..] = argument_refs.as_slice() {
        return walkhookd::main(&walkhookd::cli::Cli::from_args(&["walkhookd"], rest).expect("valid arguments"));
    }
    tokio::runtime::Runtime::new().expect("an async runtime").block_on(measurement);
    ExitCode::SUCCESS
}

impl EntryHost {
    /// Returns the processor time in milliseconds and the resident memory in KiB of the process.
    pub fn resource_usage(&self) -> (u64, u64) {
        let id = self.process.as_ref().expect("the process is running").id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the process is running");
        let fields: Vec<&str> =
            stat.rsplit_once(')').expect("a process name in parentheses").1.split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number")).sum();
        let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("the process is running");
        let pages: u64 = statm.split_whitespace().nth(1).expect("a resident set size").parse().expect("a number");
        (ticks * 10, pages * 4)
    }

    fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.expect("a log file");
        let process = daemon_command()
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        self.process = Some(process.expect("walkhookd can be started"));
    }

    fn signal(&self, signal: Signal) {
        let id = self.process.as_ref().expect("the process is running").id();
        kill(Pid::from_raw(id as i32), signal).expect("a signal to a child process");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let mut process = self.process.take().expect("the process is running");
        process.kill().expect("a child process of the test");
        process.wait().expect("a child process of the test");
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let process = self.process.as_mut().expect("the process was started");
        process.try_wait().expect("a child process of the test").is_none()
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM and waits for the exit code; `None` if a signal ended the process or it had to be killed after
    /// the timeout.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let mut process = self.process.take().expect("the process is running");
        let started_at = Instant::now();
        while started_at.elapsed() < TIMEOUT {
            if let Some(status) = process.try_wait().expect("a child process of the test") {
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        process.kill().expect("a child process of the test");
        process.wait().expect("a child process of the test");
        None
    }

    /// Returns what the host has logged so far, in all of its processes.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).expect("a log file")
    }

    /// Starts a new process with the same settings, as when a host is replaced.
    pub fn restart(&mut self) {
        self.start();
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// A response to a caller.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<u64>,
    pub body: String,
}

pub struct Cell {
    pub platform: Platform,
    pub workers: Vec<(String, Worker)>,
    pub hosts: Vec<EntryHost>,
    http: web::Client,
    http_client: HttpClient,
    directory: TempDir,
}

impl Cell {
    /// Starts a cell and waits until all entry hosts accept callers' requests and every worker is live.
    pub async fn start(layout: &[Layout]) -> Cell {
        Cell::start_with_timings(layout, FAST_TIMINGS).await
    }

    /// Like [`Cell::start`], with other time spans.
    pub async fn start_with_timings(layout: &[Layout], timings: &str) -> Cell {
        let platform = Platform::start(any_port()).await.expect("a free port");
        Cell::start_with_platform(platform, layout, timings, &BTreeMap::new()).await
    }

    /// Like [`Cell::start_with_timings`], with a platform that already runs. The data centres in `endpoints` reach the
    /// platform through an address of their own.
    pub async fn start_with_platform(
        platform: Platform,
        layout: &[Layout],
        timings: &str,
        endpoints: &BTreeMap<&str, Endpoint>,
    ) -> Cell {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut cell = Cell {
            platform,
            workers: Vec::new(),
            hosts: Vec::new(),
            http: web::Client::new(Duration::from_secs(20), 16 * 1024 * 1024).with_bearer(SHARED_KEY),
            http_client: Client::builder(TokioExecutor::new()).build_http(),
            directory,
        };
        for (data_centre, _, workers) in layout {
            for number in 0..*workers {
                cell.add_worker(data_centre, number).await;
            }
        }
        cell.write_settings(layout, timings, endpoints);
        for host in &mut cell.hosts {
            host.start();
        }
        for host_index in 0..cell.hosts.len() {
            cell.wait_until_ready(host_index).await;
        }
        let workers = cell.workers.len();
        cell.wait_for_rows(0, "show workers where state = live", workers).await;
        cell
    }

    pub async fn add_worker(&mut self, data_centre: &str, number: usize) {
        let capacity = Resources::new(CORES, CORES * 4096, 0);
        let worker = Worker::start(any_port(), capacity).await.expect("a free port");
        let name = format!("{data_centre}-w{number}");
        self.platform.add_host(worker_host(&name, data_centre, number, worker.address(), capacity, false));
        self.workers.push((name, worker));
    }

    fn write_settings(&mut self, layout: &[Layout], timings: &str, endpoints: &BTreeMap<&str, Endpoint>) {
        let count: usize = layout.iter().map(|(_, hosts, _)| hosts).sum();
        // Ports are not probed by binding them: a child process that another test is starting at that moment inherits
        // the listener for a short time, and the port would still be in use when the entry host binds it.
        let addresses: Vec<SocketAddr> =
            (0..count * 4).map(|offset| SocketAddr::from((fakes::own_ip(), FIRST_PORT + offset as u16))).collect();
        let seed = addresses[2];
        let data_centres: Vec<&str> = layout.iter().map(|(name, _, _)| *name).collect();
        let mut address_chunks = addresses.chunks(4);
        for (data_centre, hosts, _) in layout {
            for number in 0..*hosts {
                let host_addresses = address_chunks.next().expect("enough addresses");
                let name = format!("{data_centre}-e{number}");
                let file = self.directory.path().join(format!("{name}.yaml"));
                let platform = endpoints.get(data_centre).map_or(self.platform.address(), |endpoint| endpoint.address);
                let text = settings(&name, data_centre, &data_centres, host_addresses, seed, platform, timings);
                std::fs::write(&file, text).expect("a settings file");
                let (callers, operators, peers, relay) =
                    (host_addresses[0], host_addresses[1], host_addresses[2], host_addresses[3]);
                self.hosts.push(EntryHost { name, callers, operators, relay, peers, settings: file, process: None });
            }
        }
    }

    /// Polls the health endpoint, as the load balancer does, until the host accepts callers' requests.
    pub async fn wait_until_ready(&self, host_index: usize) {
        let url = format!("http://{}/-/health", self.hosts[host_index].callers);
        let http = &self.http;
        wait_until(&format!("{} accepts callers' requests", self.hosts[host_index].name), || async {
            http.get::<String>(&url).await.is_ok()
        })
        .await;
    }

    /// Sends a statement to a host; `None` if the host is unreachable or does not respond.
    pub async fn try_execute(&self, host_index: usize, statement: &str, plan: Option<&str>) -> Option<Outcome> {
        self.send_command(host_index, Uuid::new_v4(), statement, plan).await
    }

    pub async fn send_command(
        &self,
        host_index: usize,
        command: Uuid,
        statement: &str,
        plan: Option<&str>,
    ) -> Option<Outcome> {
        let plan = plan.map(str::to_owned);
        let command = api::Command { statement: statement.to_owned(), command, plan };
        let url = format!("http://{}/v1/statements", self.hosts[host_index].operators);
        self.http.post(&url, &command).await.ok()
    }

    /// Sends a statement and fails the test unless it is carried out.
    pub async fn execute(&self, host_index: usize, statement: &str) -> Outcome {
        let outcome = self.try_execute(host_index, statement, None).await.expect("a response from the host");
        assert_eq!(outcome.status, Status::Done, "{statement}: {}", outcome.message);
        outcome
    }

    pub async fn submit(&self, host_index: usize, plan: &str) {
        let outcome =
            self.try_execute(host_index, "submit plan.yaml", Some(plan)).await.expect("a response from the host");
        assert_eq!(outcome.status, Status::Done, "{}", outcome.message);
    }

    pub async fn rows(&self, host_index: usize, statement: &str) -> Vec<Vec<String>> {
        let outcome = self.try_execute(host_index, statement, None).await;
        outcome.and_then(|outcome| outcome.table).map(|table| table.rows).unwrap_or_default()
    }

    pub async fn wait_for_rows(&self, host_index: usize, statement: &str, count: usize) {
        wait_until(&format!("{statement}: {count} rows"), || async {
            self.rows(host_index, statement).await.len() == count
        })
        .await;
    }

    /// Sends a caller's request; `None` if the connection failed.
    pub async fn call(&self, host_index: usize, path: &str, key: Option<&str>) -> Option<Response> {
        call(&self.http_client, self.hosts[host_index].callers, path, key, "0ms").await
    }

    /// Returns a clone of the client for use in another task.
    pub fn http_client(&self) -> HttpClient {
        self.http_client.clone()
    }

    pub fn worker(&self, name: &str) -> &Worker {
        &self.workers.iter().find(|(worker_name, _)| worker_name == name).expect("a worker of this cell").1
    }

    /// Returns how often each task was started so far, over all workers.
    pub fn start_counts(&self) -> BTreeMap<Id, usize> {
        let mut starts = BTreeMap::new();
        for (_, worker) in &self.workers {
            for (task, _) in worker.starts() {
                *starts.entry(task).or_default() += 1;
            }
        }
        starts
    }

    /// Returns the tasks that were started more than once, with the number of starts.
    pub fn started_more_than_once(&self) -> Vec<(Id, usize)> {
        self.start_counts().into_iter().filter(|(_, count)| *count > 1).collect()
    }

    /// Returns the tasks that now run on more than one worker, or twice on the same worker.
    pub fn running_twice(&self) -> Vec<Id> {
        let mut counts: BTreeMap<Id, usize> = BTreeMap::new();
        for task in self.workers.iter().flat_map(|(_, worker)| worker.running()) {
            *counts.entry(task).or_default() += 1;
        }
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(task, _)| task).collect()
    }

    /// Asserts that the tasks on a worker never used more than its capacity.
    pub fn assert_never_overcommitted(&self) {
        for (name, worker) in &self.workers {
            let peak = worker.peak();
            assert!(peak.fits_in(&Resources::new(CORES, CORES * 4096, 0)), "{name} had {peak} in use");
        }
    }

    /// Returns how often each idempotency key was run, over all backend servers including stopped ones.
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
    /// Keeps the logs of a failed test.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.directory.disable_cleanup(true);
            eprintln!("logs of the entry hosts are in {}", self.directory.path().display());
        }
    }
}

/// Returns the platform's listing of a worker.
pub fn worker_host(
    name: &str,
    data_centre: &str,
    number: usize,
    address: SocketAddr,
    capacity: Resources,
    leaving: bool,
) -> Host {
    Host {
        name: name.to_owned(),
        kind: HostKind::Worker,
        data_centre: data_centre.to_owned(),
        rack: format!("rack-{}", number % 2),
        address,
        capacity,
        leaving,
    }
}

/// Sends a caller's request; the backend server works on it for the time that `work` gives.
pub async fn call(
    http_client: &HttpClient,
    to: SocketAddr,
    path: &str,
    key: Option<&str>,
    work: &str,
) -> Option<Response> {
    let mut request = Request::builder().method(Method::POST).uri(format!("http://{to}{path}")).header("x-work", work);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(path.to_owned()))).expect("a valid request");
    let response = http_client.request(request).await.ok()?;
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let outcome = header("walkhook-outcome").unwrap_or_else(|| "answered".to_owned());
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(Response { status, outcome, retry_after, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Returns the body of a GET request; empty if the request failed.
pub async fn get_text(url: &str) -> String {
    let http_client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder().uri(url).body(Full::new(Bytes::new())).expect("a valid request");
    let Ok(response) = http_client.request(request).await else { return String::new() };
    let body = response.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// Polls a condition until it holds. Fails the test after [`TIMEOUT`], which is far longer than any condition needs.
pub async fn wait_until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < TIMEOUT, "still not so: {description}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn settings(
    name: &str,
    data_centre: &str,
    data_centres: &[&str],
    host_addresses: &[SocketAddr],
    seed: SocketAddr,
    platform: SocketAddr,
    timings: &str,
) -> String {
    let [callers, operators, peers, relay] = host_addresses else { panic!("expected four addresses") };
    let classes = if timings.contains("classes:") { "" } else { CLASSES };
    format!(
        "cell: test
host: {name}
data_centre: {data_centre}
data_centres: [{}]
listen: {{ callers: '{callers}', operators: '{operators}', peers: '{peers}', relay: '{relay}' }}
seeds: ['{seed}']
platform: {{ address: '{platform}', timeout: 700ms, calls_per_second: 200 }}
shared_key: {SHARED_KEY}
{timings}
{classes}",
        data_centres.join(", ")
    )
}

/// Request classes, unless a test's further settings have their own.
const CLASSES: &str = "classes:
  - { name: check, path: /slots, service: planner, priority: urgent, deadline: 5s, repeatable: true }
  - { name: booking, path: /bookings, service: planner, priority: urgent, deadline: 5s }
";

/// A plan with the service that serves the request classes of [`settings`].
pub const SERVICE: &str = "
workloads:
  - { name: planner, team: rail, kind: service, priority: urgent, instances: 4, each: { processors: 1, memory: 1GiB }, run: serve }
";

/// Returns a plan with one batch workload.
pub fn batch(name: &str, tasks: u32, processors: u32, run: &str) -> String {
    format!(
        "
workloads:
  - {{ name: {name}, team: rail, kind: batch, instances: {tasks}, each: {{ processors: {processors}, memory: 1GiB }}, run: {run} }}
"
    )
}
