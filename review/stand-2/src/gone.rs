//! The machine of the leader and the minion of a lasting task are lost for good at the same time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Setting;
use crate::minion::{CPU, Work};
use crate::world::{Case, World, config, route, shown};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const JOB: &str = "5c0e7a21d94b36f8";
/// One of seven minions is a share of 0.143.
const MINIONS: usize = 7;
const TASK_CPU: u64 = 4000;
const WATCH_TIME: Duration = Duration::from_secs(20);
/// A lasting task counts from so long after its last run ...
const AFTER_RUN: Duration = Duration::from_secs(6);
/// ... if it has nothing running for so long ...
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// ... and that time and so much before it are calm: no disruption within `ContactMs`.
const CALM_BEFORE: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);

pub(crate) async fn play(setting: &Setting) -> Case<bool> {
    let works = Arc::new(|_: &str| Work { time: None, cpu: TASK_CPU, fails: false });
    let record = setting.record.clone();
    let config = config(7, vec![route("r-73hh2b9", HOST, PREFIX)]);
    let mut world = World::start(3, MINIONS, &config, works, record.clone(), &setting.folder).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let path = format!("{PREFIX}{JOB}");
    let steps = json!([{"Count": 1, "Cpu": TASK_CPU, "MemMb": 1024, "EstimatedMs": 500, "LongRunning": true}]);
    let body = json!({"Specification": "a lasting task", "Steps": steps}).to_string();
    if !world.client.submit(0, HOST, &path, &body, 5).await {
        return Err("the job isn't accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    let at_work = world.minions.iter().find(|minion| !minion.running().is_empty()).cloned();
    let minion = at_work.ok_or("the lasting task doesn't run")?;
    if setting.trouble {
        world.remove_last_writer()?;
    }
    // Without the loss of the leader the minion is lost all the same.
    tokio::spawn(async move { minion.lose().await });
    watch(&world, &path).await
}

/// Watches whether the task runs. Returns whether it did not for too long.
async fn watch(world: &World, path: &str) -> Case<bool> {
    let began = Instant::now();
    let mut broken = false;
    tokio::time::sleep(Duration::from_millis(100)).await;
    while began.elapsed() < WATCH_TIME {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let runs = world.runs_any(JOB);
        let used = world.used_cpu();
        let is_calm = began.elapsed() > CONTACT + CALM_BEFORE + IDLE_LIMIT;
        broken |= !runs && is_calm && began.elapsed() > AFTER_RUN + IDLE_LIMIT && used * 2 < CPU * MINIONS as u64;
        let (status, state) = world.client.state(HOST, path).await;
        world.record.write(&format!(
            "{:.1} s after the loss the task {}; GET {path} -> {} {state}; {used} of {} in use",
            began.elapsed().as_secs_f64(),
            if runs { "runs" } else { "doesn't run" },
            shown(status),
            CPU * (MINIONS as u64 - 1)
        ));
        if runs {
            break;
        }
    }
    Ok(broken)
}
