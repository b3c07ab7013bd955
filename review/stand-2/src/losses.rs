//! The minion of a task crashes five times; no run of the task has failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Setting;
use crate::minion::Work;
use crate::world::{Case, World, config, route};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const JOB: &str = "5c0e7a21d94b36f8";
/// One of seven minions is a share of 0.143 of them.
const MINIONS: usize = 7;
const CRASHES: usize = 6;
/// How long a minion is down.
const DOWN: Duration = Duration::from_millis(1500);
/// How long the task has run when its minion crashes.
const RUN_TIME: Duration = Duration::from_millis(5000);
const WORK_TIME: Duration = Duration::from_secs(15);

pub(crate) async fn play(setting: &Setting) -> Case<bool> {
    let works = Arc::new(|_: &str| Work { time: Some(WORK_TIME), cpu: 4000, fails: false });
    let record = setting.record.clone();
    let config = config(7, vec![route("r-73hh2b9", HOST, PREFIX)]);
    let world = World::start(3, MINIONS, &config, works, record.clone(), &setting.folder).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let path = format!("{PREFIX}{JOB}");
    let steps = json!([{"Count": 1, "Cpu": 4000, "MemMb": 4096, "EstimatedMs": 15000}]);
    let body = json!({"Specification": "one long task", "Steps": steps}).to_string();
    if !world.client.submit(0, HOST, &path, &body, 5).await {
        return Err("the job isn't accepted".to_owned());
    }
    if setting.trouble {
        for _ in 0..CRASHES {
            let Some(number) = wait_for_run(&world, &path).await? else { break };
            tokio::time::sleep(RUN_TIME).await;
            world.minions[number].crash(DOWN).await;
        }
    }
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        let (status, state) = world.client.state(HOST, &path).await;
        record.write(&format!("GET {path} -> {} {state}", crate::world::shown(status)));
        let failed = world.seen().iter().filter(|seen| seen.what == "failed").count();
        match state.as_str() {
            "failed" if failed == 0 => return Ok(true),
            "completed" => return Ok(false),
            _ if Instant::now() > end => return Err("the job doesn't end".to_owned()),
            _ => tokio::time::sleep(Duration::from_secs(1)).await,
        }
    }
}

/// The minion on which the task runs, once it does; `None` once the job has ended.
async fn wait_for_run(world: &World, path: &str) -> Case<Option<usize>> {
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        if let Some(number) = world.minions.iter().position(|minion| !minion.running().is_empty()) {
            return Ok(Some(number));
        }
        let (_, state) = world.client.state(HOST, path).await;
        if state == "failed" || state == "completed" {
            return Ok(None);
        }
        if Instant::now() > end {
            return Err("the task isn't started".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
