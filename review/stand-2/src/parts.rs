//! The store is down for a moment while clients hand in jobs of many steps, each with an image that is named by its
//! digest.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::Setting;
use crate::minion::{CPU, Work};
use crate::record::Record;
use crate::store::Store;
use crate::world::{Case, World, config, route, shown};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/pule252/";
const MINIONS: usize = 6;
/// Large jobs: so many, one after each interval.
const LARGE_JOBS: usize = 360;
const LARGE_INTERVAL: Duration = Duration::from_micros(8333);
/// When the store goes down after the first of them, and for how long.
const DOWN_AFTER: Duration = Duration::from_millis(1500);
const DOWN: Duration = Duration::from_millis(650);
const STEPS: usize = 64;
/// Usual jobs: one each half second.
const USUAL_INTERVAL: Duration = Duration::from_millis(500);
const CALM: Duration = Duration::from_secs(4);
const WATCH_TIME: Duration = Duration::from_secs(30);
const WORK_TIME: Duration = Duration::from_millis(300);
/// The rule's time for which a job may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Id of a job; the usual ones and the large ones differ in their first digit.
fn id(kind: u64, number: usize) -> String {
    format!("{kind:x}{:015x}", 0x0c0e_7a21_d900_000u64 + number as u64)
}

fn usual_job() -> String {
    json!({"Specification": "a check", "Steps": [{"Count": 2, "Cpu": 1400, "MemMb": 5200, "EstimatedMs": 300}]})
        .to_string()
}

/// A chain of steps.
fn large_job() -> String {
    let step = |number: usize| -> Value {
        let digest = format!("{:064x}", 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(number as u64 + 1));
        let image = format!(
            "registry.ferroplan.example:5000/freight-planning/weekly-corridor-plan/optimiser/release-candidates/2026-12/\
             southern-corridor/stage-{number:02}-track-allocation-and-crew-assignment@sha256:{digest}"
        );
        let mut step =
            json!({"Count": 1, "Cpu": 250, "MemMb": 256, "EstimatedMs": 300, "Image": image, "Affinity": "r1-1"});
        if number > 0 {
            step["DependsOn"] = json!([number - 1]);
        }
        step
    };
    json!({"Specification": "a chain of steps", "Steps": (0..STEPS).map(step).collect::<Vec<_>>()}).to_string()
}

pub(crate) async fn play(setting: &Setting) -> Case<bool> {
    let works = Arc::new(|text: &str| Work {
        time: Some(WORK_TIME),
        cpu: if text == "a check" { 1400 } else { 250 },
        fails: false,
    });
    let record = setting.record.clone();
    let config = config(7, vec![route("r-73hh2b9", HOST, PREFIX)]);
    let world = World::start(3, MINIONS, &config, works, record.clone(), &setting.folder).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let usual = tokio::spawn(send_usual_jobs(world.client.clone()));
    tokio::time::sleep(CALM).await;
    let body = large_job();
    record.write(&format!(
        "{LARGE_JOBS} large jobs of {} bytes come in {:.1} s",
        body.len(),
        (LARGE_INTERVAL * LARGE_JOBS as u32).as_secs_f64()
    ));
    let mut sent = JoinSet::new();
    let outage = setting.trouble.then(|| tokio::spawn(outage(world.store.clone(), record.clone())));
    let mut next = tokio::time::interval(LARGE_INTERVAL);
    for number in 0..LARGE_JOBS {
        next.tick().await;
        let (client, body) = (world.client.clone(), body.clone());
        let path = format!("{PREFIX}{}", id(7, number));
        sent.spawn(async move { client.submit(number, HOST, &path, &body, 2).await.then_some(number) });
    }
    if let Some(outage) = outage {
        outage.await.map_err(|error| error.to_string())?;
    }
    let mut accepted = Vec::new();
    while let Some(number) = sent.join_next().await {
        accepted.extend(number.ok().flatten());
    }
    accepted.sort_unstable();
    record.write(&format!("{} large jobs are accepted", accepted.len()));
    let broken = watch(&world, &accepted).await;
    usual.abort();
    Ok(broken)
}

async fn outage(store: Arc<Store>, record: Arc<Record>) {
    tokio::time::sleep(DOWN_AFTER).await;
    record.write("the store goes down: it answers 503");
    store.be_busy(DOWN).await;
    record.write(&format!("the store is back after {:.2} s", DOWN.as_secs_f64()));
}

/// Sends a usual job each half second.
async fn send_usual_jobs(client: crate::world::Client) {
    let body = usual_job();
    for number in 0.. {
        let (client, body) = (client.clone(), body.clone());
        tokio::spawn(async move { client.submit(number, HOST, &format!("{PREFIX}{}", id(5, number)), &body, 5).await });
        tokio::time::sleep(USUAL_INTERVAL).await;
    }
}

async fn watch(world: &World, accepted: &[usize]) -> bool {
    let began = Instant::now();
    let mut idle_since: Option<Instant> = None;
    let mut broken = false;
    while began.elapsed() < WATCH_TIME {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let starts = world.seen().iter().filter(|seen| seen.what == "start").count();
        let used = world.used_cpu();
        let all = CPU * MINIONS as u64;
        let (refused, largest) = world.store.refused();
        match used {
            0 => drop(idle_since.get_or_insert(Instant::now())),
            _ => idle_since = None,
        }
        let idle = idle_since.map_or(Duration::ZERO, |since| since.elapsed());
        let (status, state) = match accepted.first() {
            Some(number) => world.client.state(HOST, &format!("{PREFIX}{}", id(7, *number))).await,
            None => (None, String::new()),
        };
        world.record.write(&format!(
            "{starts} starts; nothing running for {:.1} s; {used} of {all} in use; largest part {}; refused for size: \
             {refused}, of up to {largest} bytes; first large job: {} {state}",
            idle.as_secs_f64(),
            world.store.largest_value("walkhook/log/"),
            shown(status)
        ));
        broken |= idle > IDLE_LIMIT && matches!(state.as_str(), "queued" | "running");
    }
    broken
}
