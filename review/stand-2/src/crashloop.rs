//! A lasting task fails at each start for a while; the process of the leader is killed, and the task is sound from then on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Setting;
use crate::minion::{CPU, Work};
use crate::world::{Case, World, config, route, shown};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const JOB: &str = "5c0e7a21d94b36f8";
const MINIONS: usize = 4;
/// How long the task fails at each start, and how soon.
const FAILING_TIME: Duration = Duration::from_secs(62);
const FAILS_AFTER: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_millis(500);
const WATCH_TIME: Duration = Duration::from_secs(20);
/// A lasting task counts from so long after its last run ...
const AFTER_RUN: Duration = Duration::from_secs(6);
/// ... if it has nothing running for so long ...
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// ... and that time and so much before it are calm.
const CALM_BEFORE: Duration = Duration::from_secs(4);

pub(crate) async fn play(setting: &Setting) -> Case<bool> {
    let fails = Arc::new(AtomicBool::new(true));
    let failing = fails.clone();
    let works = Arc::new(move |_: &str| match failing.load(Ordering::Relaxed) {
        true => Work { time: Some(FAILS_AFTER), cpu: 2000, fails: true },
        false => Work { time: None, cpu: 2000, fails: false },
    });
    let record = setting.record.clone();
    let config = config(7, vec![route("r-73hh2b9", HOST, PREFIX)]);
    let mut world = World::start(3, MINIONS, &config, works, record.clone(), &setting.folder).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let path = format!("{PREFIX}{JOB}");
    let steps = json!([{"Count": 1, "Cpu": 2000, "MemMb": 1024, "EstimatedMs": 500, "LongRunning": true}]);
    let body = json!({"Specification": "a lasting task", "Steps": steps}).to_string();
    if !world.client.submit(0, HOST, &path, &body, 5).await {
        return Err("the job isn't accepted".to_owned());
    }
    tokio::time::sleep(FAILING_TIME).await;
    record.write(&format!("the task has been started {} times, and each run has failed", world.count("start")));
    fails.store(false, Ordering::Relaxed);
    record.write("each further run is sound");
    if setting.trouble {
        world.kill_last_writer(DOWN).await?;
    }
    watch(&world, &path).await
}

/// Watches whether the task runs. Returns whether it did not for too long.
async fn watch(world: &World, path: &str) -> Case<bool> {
    let began = Instant::now();
    let mut last_run = began;
    let mut broken = false;
    while began.elapsed() < WATCH_TIME {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let runs = world.runs_any(JOB);
        if runs {
            last_run = Instant::now();
        }
        let idle = last_run.elapsed();
        let is_calm = began.elapsed() > CALM_BEFORE + IDLE_LIMIT;
        let used = world.used_cpu();
        broken |= is_calm && idle > AFTER_RUN + IDLE_LIMIT && used * 2 < CPU * MINIONS as u64;
        let (status, state) = world.client.state(HOST, path).await;
        world.record.write(&format!(
            "the task {}; GET {path} -> {} {state}; {} starts rejected as old so far; {used} of {} in use",
            if runs { "runs".to_owned() } else { format!("has not run for {:.1} s", idle.as_secs_f64()) },
            shown(status),
            world.count("rejected as old"),
            CPU * MINIONS as u64
        ));
    }
    Ok(broken)
}
