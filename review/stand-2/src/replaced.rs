//! A config replaces a route, while a job that was accepted on it still has a step to run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Setting;
use crate::minion::{CPU, Work};
use crate::world::{Case, World, config, route};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const JOB: &str = "5c0e7a21d94b36f8";
const MINIONS: usize = 6;
/// How long each task works.
const WORK_TIME: Duration = Duration::from_secs(2);
/// The rule's time for which a job may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// How long the job is watched after its first step.
const WATCH_TIME: Duration = Duration::from_secs(20);

pub(crate) async fn play(setting: &Setting) -> Case<bool> {
    let works = Arc::new(|_: &str| Work { time: Some(WORK_TIME), cpu: 1000, fails: false });
    let record = setting.record.clone();
    let first = config(7, vec![route("r-73hh2b9", HOST, PREFIX), route("r-d3zji9n", "ficu95.example", "/pufi791/")]);
    let world = World::start(3, MINIONS, &first, works, record.clone(), &setting.folder).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let path = format!("{PREFIX}{JOB}");
    let step = json!({"Count": 4, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 2000});
    let mut second = step.clone();
    second["DependsOn"] = json!([0]);
    let body = json!({"Specification": "two steps", "Steps": [step, second]}).to_string();
    if !world.client.submit(0, HOST, &path, &body, 5).await {
        return Err("the job isn't accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    if setting.trouble {
        let routes = vec![route("r-wrr6x73", HOST, PREFIX), route("r-d3zji9n", "ficu95.example", "/pufi791/")];
        let what = "without the route r-73hh2b9, and with the route r-wrr6x73 of the same host, prefix and service";
        world.write_config(&config(9, routes), what);
    }
    watch(&world, &path).await
}

/// Watches the job from the end of its first step. Returns whether it had nothing running for too long.
async fn watch(world: &World, path: &str) -> Case<bool> {
    let is_done = |step: usize| {
        let prefix = format!("{JOB}.0.{step}.");
        world.seen().iter().filter(|seen| seen.what == "done" && seen.task.starts_with(&prefix)).count() == 4
    };
    let end = Instant::now() + Duration::from_secs(30);
    while !is_done(0) {
        if Instant::now() > end {
            return Err("the first step isn't done".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    world.record.write("the first step is done: the turn of the second one has come");
    let began = Instant::now();
    let mut idle_since = began;
    let mut broken = false;
    let mut asked = began;
    while began.elapsed() < WATCH_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if world.runs_any(JOB) {
            idle_since = Instant::now();
        }
        let (status, state) = match asked.elapsed() > Duration::from_secs(2) {
            true => world.client.state(HOST, path).await,
            false => continue,
        };
        asked = Instant::now();
        let used = world.used_cpu();
        let all = CPU * MINIONS as u64;
        world.record.write(&format!(
            "GET {path} -> {} {state}; nothing running for {:.1} s; {used} of {all} thousandths of a core in use",
            crate::world::shown(status),
            idle_since.elapsed().as_secs_f64()
        ));
        if state == "completed" && is_done(1) {
            return Ok(broken);
        }
        broken |= idle_since.elapsed() > IDLE_LIMIT && used * 2 < all;
    }
    Ok(broken)
}
