//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::hosts::{self, Host};
use crate::http;
use crate::minion::{CLOCK, Minion, Work};
use crate::record::Record;
use crate::store::Store;

const NAME: &str = "nony24.example";
const SERVICE: &str = "planner";

/// A small deployment: three hosts, a store, and minions of one service.
struct Cell {
    record: Arc<Record>,
    store: Arc<Store>,
    minions: Vec<Arc<Minion>>,
    hosts: Vec<Host>,
}

fn route(name: &str, prefix: &str) -> Value {
    json!({"Name": name, "Host": NAME, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
        "TargetLatencyMs": 3000, "Priority": 1, "Service": SERVICE, "MaxAttempts": 4, "Stretch": 4.0})
}

fn config(version: u64, routes: &[Value]) -> Value {
    json!({"Version": version, "Routes": routes,
        "Services": [{"Name": SERVICE, "HealthPath": "/health", "AdmissionCheck": false}],
        "Limits": {"MaxBodyBytes": 262_144}})
}

impl Cell {
    fn start(folder: &Path, root: &Path, minions: u32, work: Work, config: &Value) -> Option<Cell> {
        Cell::start_with_clock(folder, root, minions, work, CLOCK, config)
    }

    /// `clock` is what the steady clocks of the minions show at the start.
    fn start_with_clock(
        folder: &Path,
        root: &Path,
        minions: u32,
        work: Work,
        clock: Duration,
        config: &Value,
    ) -> Option<Cell> {
        let record = Arc::new(Record::create(folder).ok()?);
        let store = Store::start();
        let store_address = store.address.clone();
        store.write("op/config", config);
        let start =
            |number| Minion::start(&format!("w{number}"), SERVICE, 16_000, 65_536, work, clock, &record, &store);
        let minions: Vec<Arc<Minion>> = (1..=minions).map(start).collect();
        let folder = hosts::temporary_folder();
        let mut cell = Cell { record, store, minions, hosts: hosts::start(3, &store_address, root, &folder) };
        let mut ready = hosts::wait_ready(&cell.hosts);
        if !ready {
            // Another process may have taken an address.
            cell.record.line(&format!("the hosts don't get ready; once more. {}", hosts::last_lines(&folder)));
            hosts::end_all();
            cell.hosts = hosts::start(3, &cell.store.address, root, &hosts::temporary_folder());
            ready = hosts::wait_ready(&cell.hosts);
        }
        cell.record
            .line(&format!("hosts {:?}: ready {ready}", cell.hosts.iter().map(|host| host.id).collect::<Vec<_>>()));
        // The leader gets to know the minions.
        std::thread::sleep(Duration::from_secs(2));
        ready.then_some(cell)
    }

    /// Sends a request as a client: to the hosts in turn, up to five times, while the answer leaves the outcome open or
    /// asks to come back.
    fn send(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut last = None;
        for host in self.hosts.iter().cycle().take(5) {
            last = http::send(&host.front, NAME, method, path, body, Duration::from_secs(3));
            self.record.detail(&format!("{method} {path} at {}: {last:?}", host.front));
            match &last {
                Some((429 | 502 | 503 | 504, _)) | None => std::thread::sleep(Duration::from_secs(1)),
                Some(_) => return last,
            }
        }
        last
    }

    /// Hands in a job. Returns whether it was accepted.
    fn submit(&self, path: &str, job: &Value) -> bool {
        self.send("POST", path, &job.to_string()).is_some_and(|(status, _)| status == 200)
    }

    /// The state that the service shows.
    fn state(&self, path: &str) -> Option<String> {
        let (status, body) = self.send("GET", path, "")?;
        if status != 200 {
            return Some(format!("status {status}"));
        }
        serde_json::from_str::<Value>(&body).ok()?["State"].as_str().map(str::to_owned)
    }
}

pub fn run(case: &str, folder: &Path, root: &Path, trouble: bool) -> i32 {
    let outcome = match case {
        "ends" => ends(folder, root, trouble),
        "route" => dropped_route(folder, root, trouble),
        "clock" => old_clock(folder, root, trouble),
        "crash" => crashes(folder, root, trouble),
        _ => None,
    };
    outcome.map_or(2, i32::from)
}

/// Many small tasks end on each of two minions while the store is down.
fn ends(folder: &Path, root: &Path, trouble: bool) -> Option<bool> {
    const JOBS: u64 = 24;
    const WIDTH: u64 = 30;
    /// The dose of the site: `platform_down`, 4.5 s, reset.
    const DOWN: Duration = Duration::from_millis(4500);
    // Tasks of 4 to 8 s.
    let work: Work = |task| {
        let spread = task.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
        Duration::from_millis(4000 + spread % 4000)
    };
    let cell = Cell::start(folder, root, 2, work, &config(3, &[route("r-1", "/lohu930/")]))?;
    let job =
        json!({"Specification": "rebalance", "Steps": [{"Count": WIDTH, "Cpu": 10, "MemMb": 40, "EstimatedMs": 5500}]});
    let paths: Vec<String> =
        (1..=JOBS).map(|number| format!("/lohu930/{:016x}", 0x5c0e_7a21_0000_0000 + number)).collect();
    let accepted = std::thread::scope(|scope| {
        let handed_in: Vec<_> = paths.iter().map(|path| scope.spawn(|| cell.submit(path, &job))).collect();
        handed_in.into_iter().all(|outcome| outcome.join().unwrap_or(false))
    });
    cell.record.line(&format!("{JOBS} jobs of {WIDTH} tasks accepted: {accepted}"));
    if !accepted {
        return None;
    }
    let began = Instant::now();
    let tasks = (JOBS * WIDTH) as usize;
    let count = |wanted: fn(&crate::record::Run) -> bool| {
        cell.record.runs.lock().expect("runs").iter().filter(|run| wanted(run)).count()
    };
    while count(|run| run.end.is_some()) < 20 && began.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(5));
    }
    let (started, ended) = (count(|_| true), count(|run| run.end.is_some()));
    cell.record.line(&format!("{started} tasks started, {ended} ended"));
    if trouble {
        cell.store.set_down(true);
        cell.record.line("the store is down");
        std::thread::sleep(DOWN);
        cell.store.set_down(false);
        cell.record.line("the store is back");
    }
    for path in &paths {
        let until = Instant::now() + Duration::from_secs(20);
        while cell.state(path).as_deref() != Some("completed") && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    // Ends that are still open are taken note of.
    std::thread::sleep(Duration::from_secs(3));
    let broken = cell.record.twice();
    let starts = count(|_| true);
    cell.record.line(&format!("{starts} starts of {tasks} tasks; TWICE: {} times", broken.len()));
    broken.iter().for_each(|text| cell.record.line(text));
    Some(!broken.is_empty())
}

/// A route is dropped while a job of it is at work.
fn dropped_route(folder: &Path, root: &Path, trouble: bool) -> Option<bool> {
    let work: Work = |_| Duration::from_secs(4);
    let both = [route("r-1", "/lohu930/"), route("r-2", "/pule252/")];
    let cell = Cell::start(folder, root, 4, work, &config(3, &both))?;
    let job = json!({"Specification": "plan", "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 4000},
        {"Count": 2, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 4000, "DependsOn": [0]}]});
    let path = "/pule252/5c0e7a21d94b36f8";
    if !cell.submit(path, &job) {
        return None;
    }
    cell.record.line("the job of two steps is accepted on r-2");
    std::thread::sleep(Duration::from_secs(2));
    let routes = if trouble { &both[..1] } else { &both[..] };
    cell.store.write("op/config", &config(7, routes));
    cell.record.line(&format!("version 7 of the config is confirmed, with {} routes", routes.len()));
    let began = cell.record.now();
    // The rule: for 3 s a job has nothing running while a task's turn has come; 4 s before that for a calm time.
    let limit = Duration::from_secs(7);
    let until = Instant::now() + Duration::from_secs(40);
    let mut idle_since: Option<Duration> = None;
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let now = cell.record.now();
        let runs = cell.record.runs.lock().expect("runs").clone();
        let done = runs.iter().filter(|run| run.end.as_ref().is_some_and(|end| end.how == "done")).count();
        let running = runs.iter().any(|run| run.end.is_none());
        if done == 4 {
            break;
        }
        if running {
            idle_since = None;
        } else {
            longest = longest.max(now - *idle_since.get_or_insert(now));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    cell.record.line(&format!(
        "longest time with nothing running, although a task's turn had come: {:.1} s, within {:.1} s after the config",
        longest.as_secs_f64(),
        (cell.record.now() - began).as_secs_f64()
    ));
    let other = "/lohu930/5c0e7a21d94b36f9";
    if cell.submit(other, &job) {
        std::thread::sleep(Duration::from_secs(12));
        cell.record.line(&format!("meanwhile a job on r-1 is {:?}", cell.state(other)));
    }
    if trouble {
        cell.store.write("op/config", &config(12, &both));
        cell.record.line("version 12 of the config is confirmed, with 2 routes");
        std::thread::sleep(Duration::from_secs(8));
    }
    cell.record.line(&format!("the job on r-2 is {:?}", cell.state(path)));
    Some(longest > limit)
}

/// Minions crash one after the other under a lasting task that does no harm.
fn crashes(folder: &Path, root: &Path, trouble: bool) -> Option<bool> {
    const CRASHES: u32 = 5;
    /// For how long the task has been at work when its minion crashes.
    const AT_WORK: Duration = Duration::from_secs(10);
    /// The dose of the site: `srv_crash`, 4.5 s.
    const DARK: Duration = Duration::from_millis(4500);
    let work: Work = |_| Duration::from_secs(3600);
    let cell = Cell::start(folder, root, 10, work, &config(3, &[route("r-1", "/lohu930/")]))?;
    let job =
        json!({"Specification": "reminder", "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 1024, "LongRunning": true}]});
    let id = "5c0e7a21d94b36f8";
    let path = format!("/lohu930/{id}");
    if !cell.submit(&path, &job) {
        return None;
    }
    let until = Instant::now() + Duration::from_secs(if trouble { 100 } else { 25 });
    let mut crashed = 0;
    while trouble && crashed < CRASHES && Instant::now() < until {
        if let Some(minion) = cell.minions.iter().find(|minion| minion.runs(id).is_some_and(|age| age > AT_WORK)) {
            minion.crash();
            crashed += 1;
            std::thread::sleep(DARK);
            minion.boot();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut state = cell.state(&path);
    while state.as_deref() != Some("failed") && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(500));
        state = cell.state(&path);
    }
    let runs = cell.record.runs.lock().expect("runs").clone();
    let failed = runs.iter().filter(|run| run.end.as_ref().is_some_and(|end| end.how == "failed")).count();
    let alive = runs.iter().filter(|run| run.end.is_none()).count();
    cell.record.line(&format!(
        "VERDICT: {crashed} minions crashed; {failed} runs ended `failed`; {alive} runs now; the service shows {state:?}"
    ));
    Some(state.as_deref() == Some("failed"))
}

/// The steady clocks of the minions show more than a year.
fn old_clock(folder: &Path, root: &Path, trouble: bool) -> Option<bool> {
    let work: Work = |_| Duration::from_secs(2);
    let clock = if trouble { Duration::from_secs(400 * 86_400) } else { CLOCK };
    let cell = Cell::start_with_clock(folder, root, 4, work, clock, &config(3, &[route("r-1", "/lohu930/")]))?;
    let job =
        json!({"Specification": "check", "Steps": [{"Count": 2, "Cpu": 1400, "MemMb": 5200, "EstimatedMs": 2000}]});
    let path = "/lohu930/5c0e7a21d94b36f8";
    if !cell.submit(path, &job) {
        return None;
    }
    cell.record.line(&format!("the job is accepted; the minions' clocks began at {} s", clock.as_secs()));
    let accepted = cell.record.now();
    std::thread::sleep(Duration::from_secs(30));
    let runs = cell.record.runs.lock().expect("runs").clone();
    let first = runs.iter().map(|run| run.began).min();
    let state = cell.state(path);
    cell.record.line(&format!(
        "VERDICT: {} starts carried out, the first {:?} s after the acceptance; the service shows {state:?}",
        runs.len(),
        first.map(|first| (first.saturating_sub(accepted)).as_secs_f64())
    ));
    Some(state.as_deref() != Some("completed"))
}
