//! A fake worker. The program of a task is one of a few commands: `run 2s` finishes after 2 s, `fail` fails at once and
//! `serve 5ms` starts a backend server that works on each request for 5 ms.

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

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Fault that a worker simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// No fault.
    #[default]
    None,
    /// All tasks fail at once.
    FailAllTasks,
    /// Requests are never answered.
    Unresponsive,
}

struct Running {
    task: AttemptReport,
    started_at: Instant,
    saved_at: Instant,
    lease_until: Duration,
    duration: Option<Duration>,
    backend: Option<Backend>,
}

struct State {
    capacity: Resources,
    incarnation: Incarnation,
    clock_start: Instant,
    epoch: Epoch,
    sequence: u64,
    holder: HostId,
    leaving: bool,
    fault: WorkerFault,
    tasks: BTreeMap<(Id, Attempt), Running>,
    /// All attempts that were ever started here, in the order of their start.
    starts: Vec<(Id, Attempt)>,
    /// Highest use of each resource so far.
    peak: Resources,
}

/// A running fake worker.
#[derive(Clone)]
pub struct Worker {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Worker {
    /// Starts a worker at `address`, which may have port 0.
    ///
    /// # Errors
    /// If it can't listen on `address`.
    pub async fn start(address: SocketAddr, capacity: Resources) -> std::io::Result<Worker> {
        let (listener, address) = crate::listen(address).await?;
        let state = State {
            capacity,
            incarnation: crate::worker::new_incarnation(),
            clock_start: Instant::now(),
            epoch: 0,
            sequence: 0,
            holder: String::new(),
            leaving: false,
            fault: WorkerFault::None,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            peak: Resources::ZERO,
        };
        let state = Arc::new(Mutex::new(state));
        tokio::spawn(tick(state.clone()));
        let served = state.clone();
        let handler = move |request, _| handle_request(served.clone(), request);
        tokio::spawn(web::serve(listener, 256, pending(), Duration::ZERO, handler));
        Ok(Worker { state, address })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that it simulates from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        self.state.lock().fault = fault;
    }

    /// Ends all tasks and forgets all state, like a worker that was restarted.
    pub fn restart_empty(&self) {
        let mut state = self.state.lock();
        for running in state.tasks.values_mut().filter(|running| !has_ended(running)) {
            finish(running, End::Restarted);
        }
        state.tasks.clear();
        state.incarnation += 1;
        state.epoch = 0;
        state.sequence = 0;
    }

    /// Reports from now on that it is leaving.
    pub fn leave(&self) {
        self.state.lock().leaving = true;
    }

    /// All attempts that were ever started here.
    pub fn starts(&self) -> Vec<(Id, Attempt)> {
        self.state.lock().starts.clone()
    }

    /// Tasks in progress.
    pub fn running(&self) -> Vec<Id> {
        let state = self.state.lock();
        let live = state.tasks.values().filter(|running| !has_ended(running));
        live.map(|running| running.task.task.clone()).collect()
    }

    /// Attempts in progress.
    pub fn running_attempts(&self) -> Vec<(Id, Attempt)> {
        let state = self.state.lock();
        state.tasks.iter().filter(|(_, running)| !has_ended(running)).map(|(key, _)| key.clone()).collect()
    }

    /// Highest use of each resource so far.
    pub fn peak(&self) -> Resources {
        self.state.lock().peak
    }

    /// The backend servers of its service instances.
    pub fn backends(&self) -> Vec<Backend> {
        self.state.lock().tasks.values().filter_map(|running| running.backend.clone()).collect()
    }
}

/// A number that is higher with each start of the same worker: the nanoseconds since 1970.
fn new_incarnation() -> Incarnation {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_nanos() as u64)
}

fn has_ended(running: &Running) -> bool {
    matches!(running.task.run, AttemptState::Ended { .. })
}

async fn tick(state: Arc<Mutex<State>>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        end_due(&mut state.lock());
    }
}

/// Ends tasks whose duration is over or whose lease has expired.
fn end_due(state: &mut State) {
    let now = state.clock_start.elapsed();
    for running in state.tasks.values_mut() {
        if has_ended(running) {
            continue;
        }
        let done = running.duration.is_some_and(|after| running.started_at.elapsed() >= after);
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

async fn handle_request(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    if state.lock().fault == WorkerFault::Unresponsive {
        pending::<()>().await;
    }
    let path = request.uri().path().to_owned();
    let Some(bytes) = web::read_limited(request.into_body(), MAX_BODY_BYTES).await else {
        return web::json(StatusCode::BAD_REQUEST, &"unreadable body");
    };
    let outcome = match path.as_str() {
        "/v1/hold" => serde_json::from_slice(&bytes).map(|body| hold(&state, body)),
        "/v1/batch" => match serde_json::from_slice(&bytes) {
            Ok(body) => Ok(batch(&state, body).await),
            Err(error) => Err(error),
        },
        _ => return web::json(StatusCode::NOT_FOUND, &"no such path"),
    };
    match outcome {
        Ok(Ok(report)) => web::json(StatusCode::OK, &report),
        Ok(Err(refusal)) => web::json(StatusCode::CONFLICT, &refusal),
        Err(error) => web::json(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn hold(state: &Mutex<State>, request: Hold) -> Result<Report, Refusal> {
    let mut state = state.lock();
    // Comes first because no task may outlive its lease, even if this process was paused.
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
    let mut backends = Vec::new();
    for command in &request.commands {
        if let Command::Start { service: true, run, .. } = command {
            backends.push(Backend::start(crate::any_port(), work_time(run)).await.ok());
        }
    }
    let mut backends = backends.into_iter();
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
        let backend = if is_service { backends.next().flatten() } else { None };
        execute(&mut state, command, lease_until, backend);
    }
    Ok(report(&state))
}

fn execute(state: &mut State, command: Command, lease_until: Duration, backend: Option<Backend>) {
    match command {
        Command::Start { task, attempt, resources, run, patient, .. } => {
            let key = (task.clone(), attempt);
            if state.tasks.contains_key(&key) {
                backend.inspect(Backend::stop);
                return;
            }
            state.starts.push(key.clone());
            let failure = simulated_failure(state.fault, &run);
            let address = backend.as_ref().map(Backend::address);
            let attempt_state = failure.map_or(AttemptState::Running { address }, |end| AttemptState::Ended { end });
            let task =
                AttemptReport { task, attempt, resources, patient, run: attempt_state, unsaved_ms: 0, usage: None };
            let duration = run_duration(&run);
            let running =
                Running { task, started_at: Instant::now(), saved_at: Instant::now(), lease_until, duration, backend };
            state.tasks.insert(key, running);
            update_peak(state);
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
        if !has_ended(running) {
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
        duration: None,
        backend: None,
    };
    state.tasks.insert(key, running);
}

fn update_peak(state: &mut State) {
    let mut used = Resources::ZERO;
    for running in state.tasks.values().filter(|running| !has_ended(running)) {
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
        stamp_ms: state.clock_start.elapsed().as_millis() as u64,
        capacity: state.capacity,
        leaving: state.leaving,
        tasks: state.tasks.values().map(attempt_report).collect(),
    }
}

fn attempt_report(running: &Running) -> AttemptReport {
    AttemptReport { unsaved_ms: running.saved_at.elapsed().as_millis() as u64, ..running.task.clone() }
}

fn simulated_failure(fault: WorkerFault, run: &str) -> Option<End> {
    let message = match (fault, run.split_whitespace().next()) {
        (WorkerFault::FailAllTasks, _) => "the worker's disk is full",
        (_, Some("fail")) => "exit status 1",
        _ => return None,
    };
    Some(End::Failed { message: message.to_owned() })
}

fn run_duration(run: &str) -> Option<Duration> {
    let words = run.strip_prefix("run ")?;
    humantime::parse_duration(words.trim()).ok()
}

fn work_time(run: &str) -> Duration {
    let words = run.strip_prefix("serve").unwrap_or_default();
    humantime::parse_duration(words.trim()).unwrap_or_default()
}
