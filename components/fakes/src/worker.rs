//! A stand-in worker. A task's program is a few words: `run 2s` ends by itself, `fail` fails at once,
//! `serve 5ms` answers callers, each answer after 5 ms of work.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use model::task::{Attempt, End, Id};
use model::{Epoch, HostId, Incarnation, Resources};
use parking_lot::Mutex;
use web::Body;
use worker::{AttemptReport, AttemptState, Batch, Command, Hold, Refusal, Report};

use crate::backend::Backend;

const MAX_BODY: usize = 4 * 1024 * 1024;
const TICK: Duration = Duration::from_millis(20);

/// What the worker is told to do wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// Nothing.
    #[default]
    None,
    /// Every task fails at once.
    FailAllTasks,
    /// Requests are not answered.
    Unresponsive,
}

struct Running {
    task: AttemptReport,
    started_at: Instant,
    saved_at: Instant,
    lease_until: Duration,
    ends_after: Option<Duration>,
    backend: Option<Backend>,
}

struct State {
    capacity: Resources,
    incarnation: Incarnation,
    born: Instant,
    epoch: Epoch,
    sequence: u64,
    holder: HostId,
    leaving: bool,
    conduct: WorkerFault,
    tasks: BTreeMap<(Id, Attempt), Running>,
    /// Every attempt that was ever started here, in order.
    starts: Vec<(Id, Attempt)>,
    /// Most resources that were ever in use at once, by dimension.
    peak: Resources,
}

/// A running stand-in worker.
#[derive(Clone)]
pub struct Worker {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Worker {
    /// Starts a worker at `address`, which may have port 0.
    pub async fn start(address: SocketAddr, capacity: Resources) -> std::io::Result<Worker> {
        let (listener, address) = crate::listen(address).await?;
        let state = State {
            capacity,
            incarnation: crate::worker::life(),
            born: Instant::now(),
            epoch: 0,
            sequence: 0,
            holder: String::new(),
            leaving: false,
            conduct: WorkerFault::None,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            peak: Resources::ZERO,
        };
        let state = Arc::new(Mutex::new(state));
        tokio::spawn(tick(state.clone()));
        let served = state.clone();
        let handler = move |request, _| answer(served.clone(), request);
        tokio::spawn(web::serve(listener, 256, pending(), Duration::ZERO, handler));
        Ok(Worker { state, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does wrong.
    pub fn set_fault(&self, conduct: WorkerFault) {
        self.state.lock().conduct = conduct;
    }

    /// Loses everything that it had, as a worker that was restarted.
    pub fn restart_empty(&self) {
        let mut state = self.state.lock();
        for running in state.tasks.values_mut().filter(|running| !ended(running)) {
            finish(running, End::Restarted);
        }
        state.tasks.clear();
        state.incarnation += 1;
        state.epoch = 0;
        state.sequence = 0;
    }

    /// Starts its way out.
    pub fn leave(&self) {
        self.state.lock().leaving = true;
    }

    /// Every attempt that was ever started here.
    pub fn starts(&self) -> Vec<(Id, Attempt)> {
        self.state.lock().starts.clone()
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<Id> {
        let state = self.state.lock();
        let live = state.tasks.values().filter(|running| !ended(running));
        live.map(|running| running.task.task.clone()).collect()
    }

    /// Attempts that run now.
    pub fn running_attempts(&self) -> Vec<(Id, Attempt)> {
        let state = self.state.lock();
        state.tasks.iter().filter(|(_, running)| !ended(running)).map(|(key, _)| key.clone()).collect()
    }

    /// Most that was ever in use at once, by dimension.
    pub fn peak(&self) -> Resources {
        self.state.lock().peak
    }

    /// The backend servers of its service instances.
    pub fn backends(&self) -> Vec<Backend> {
        self.state.lock().tasks.values().filter_map(|running| running.backend.clone()).collect()
    }
}

/// A number that a later start of the same worker exceeds.
fn life() -> Incarnation {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_nanos() as u64)
}

fn ended(running: &Running) -> bool {
    matches!(running.task.run, AttemptState::Ended { .. })
}

async fn tick(state: Arc<Mutex<State>>) {
    loop {
        tokio::time::sleep(TICK).await;
        end_due(&mut state.lock());
    }
}

/// Ends what has run its time, and what has lost its lease.
fn end_due(state: &mut State) {
    let now = state.born.elapsed();
    for running in state.tasks.values_mut() {
        if ended(running) {
            continue;
        }
        let done = running.ends_after.is_some_and(|after| running.started_at.elapsed() >= after);
        let end = match done {
            _ if now > running.lease_until => End::Lost,
            true => End::Finished,
            false => continue,
        };
        finish(running, end);
    }
}

fn finish(running: &mut Running, end: End) {
    if let Some(backend) = running.backend.take() {
        backend.stop();
    }
    running.task.run = AttemptState::Ended { end };
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    if state.lock().conduct == WorkerFault::Unresponsive {
        pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    let Some(bytes) = web::read_limited(request.into_body(), MAX_BODY).await else {
        return web::json(StatusCode::BAD_REQUEST, &"unreadable body");
    };
    let outcome = match path.as_str() {
        "/v1/hold" => serde_json::from_slice(&bytes).map(|body| hold(&state, body)),
        "/v1/batch" => match serde_json::from_slice(&bytes) {
            Ok(body) => Ok(batch(&state, body).await),
            Err(fault) => Err(fault),
        },
        _ => return web::json(StatusCode::NOT_FOUND, &"no such path"),
    };
    match outcome {
        Ok(Ok(report)) => web::json(StatusCode::OK, &report),
        Ok(Err(refusal)) => web::json(StatusCode::CONFLICT, &refusal),
        Err(fault) => web::json(StatusCode::BAD_REQUEST, &fault.to_string()),
    }
}

fn hold(state: &Mutex<State>, request: Hold) -> Result<Report, Refusal> {
    let mut state = state.lock();
    // First of all: after a pause nothing may outlive its lease.
    end_due(&mut state);
    if request.epoch <= state.epoch {
        return Err(Refusal { epoch: state.epoch, holder: state.holder.clone() });
    }
    state.epoch = request.epoch;
    state.sequence = 0;
    state.holder = request.holder;
    Ok(report(&state))
}

async fn batch(state: &Mutex<State>, request: Batch) -> Result<Report, Refusal> {
    let mut servers = Vec::new();
    for command in &request.commands {
        if let Command::Start { service: true, run, .. } = command {
            servers.push(Backend::start(crate::any_port(), work_of(run)).await.ok());
        }
    }
    let mut servers = servers.into_iter();
    let mut state = state.lock();
    end_due(&mut state);
    if request.epoch != state.epoch || request.sequence <= state.sequence {
        return Err(Refusal { epoch: state.epoch, holder: state.holder.clone() });
    }
    state.sequence = request.sequence;
    let lease_until = Duration::from_millis(request.stamp_ms + request.lease_ms);
    for running in state.tasks.values_mut() {
        running.lease_until = running.lease_until.max(lease_until);
    }
    for command in request.commands {
        let is_service = matches!(command, Command::Start { service: true, .. });
        let server = if is_service { servers.next().flatten() } else { None };
        carry_out(&mut state, command, lease_until, server);
    }
    Ok(report(&state))
}

fn carry_out(state: &mut State, command: Command, lease_until: Duration, server: Option<Backend>) {
    match command {
        Command::Start { task, attempt, resources, run, patient, .. } => {
            let key = (task.clone(), attempt);
            if state.tasks.contains_key(&key) {
                server.inspect(Backend::stop);
                return;
            }
            state.starts.push(key.clone());
            let failure = failure_of(state.conduct, &run);
            let address = server.as_ref().map(Backend::address);
            let run_now = failure.map_or(AttemptState::Running { address }, |end| AttemptState::Ended { end });
            let task = AttemptReport { task, attempt, resources, patient, run: run_now, unsaved_ms: 0, usage: None };
            let ends_after = time_of(&run);
            let running = Running {
                task,
                started_at: Instant::now(),
                saved_at: Instant::now(),
                lease_until,
                ends_after,
                backend: server,
            };
            state.tasks.insert(key, running);
            note_peak(state);
        }
        Command::Stop { task, attempt } => stop(state, task, attempt, lease_until),
        Command::Acknowledge { task, attempt } => {
            state.tasks.remove(&(task, attempt));
        }
        Command::Checkpoint { task, attempt } => {
            if let Some(running) = state.tasks.get_mut(&(task, attempt)) {
                running.saved_at = Instant::now();
            }
        }
        Command::Throttle { .. } => {}
    }
}

fn stop(state: &mut State, task: Id, attempt: Attempt, lease_until: Duration) {
    let key = (task.clone(), attempt);
    if let Some(running) = state.tasks.get_mut(&key) {
        if !ended(running) {
            finish(running, End::Stopped);
        }
        return;
    }
    let run = AttemptState::Ended { end: End::Stopped };
    let task =
        AttemptReport { task, attempt, resources: Resources::ZERO, patient: false, run, unsaved_ms: 0, usage: None };
    let running = Running {
        task,
        started_at: Instant::now(),
        saved_at: Instant::now(),
        lease_until,
        ends_after: None,
        backend: None,
    };
    state.tasks.insert(key, running);
}

fn note_peak(state: &mut State) {
    let mut used = Resources::ZERO;
    for running in state.tasks.values().filter(|running| !ended(running)) {
        used = used.checked_add(&running.task.resources).unwrap_or(used);
    }
    state.peak = Resources {
        cpu_milli: state.peak.cpu_milli.max(used.cpu_milli),
        memory_mib: state.peak.memory_mib.max(used.memory_mib),
        accelerators: state.peak.accelerators.max(used.accelerators),
    };
}

fn report(state: &State) -> Report {
    Report {
        incarnation: state.incarnation,
        stamp_ms: state.born.elapsed().as_millis() as u64,
        capacity: state.capacity,
        leaving: state.leaving,
        tasks: state.tasks.values().map(reported).collect(),
    }
}

fn reported(running: &Running) -> AttemptReport {
    AttemptReport { unsaved_ms: running.saved_at.elapsed().as_millis() as u64, ..running.task.clone() }
}

fn failure_of(conduct: WorkerFault, run: &str) -> Option<End> {
    let message = match (conduct, run.split_whitespace().next()) {
        (WorkerFault::FailAllTasks, _) => "the worker's disk is full",
        (_, Some("fail")) => "exit status 1",
        _ => return None,
    };
    Some(End::Failed { message: message.to_owned() })
}

fn time_of(run: &str) -> Option<Duration> {
    let words = run.strip_prefix("run ")?;
    humantime::parse_duration(words.trim()).ok()
}

fn work_of(run: &str) -> Duration {
    let words = run.strip_prefix("serve").unwrap_or_default();
    humantime::parse_duration(words.trim()).unwrap_or_default()
}
