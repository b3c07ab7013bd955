//! Builds the tables that answer operators' queries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use futures_util::future::join_all;
use jobs::Phase;
use member::HostState;
use model::workload::{Intent, Kind};
use query::{Statement, Subject, Table, Topic};
use wire::{Answer, Request};

use crate::shared::Shared;

/// Answers a query with the rows of all reachable hosts.
pub(crate) async fn show_all_hosts(shared: &Arc<Shared>, statement: &Statement, text: &str) -> Result<Table, String> {
    let mut table = table(shared, statement)?;
    if !needs_all_hosts(statement) {
        return finish(shared, table, statement);
    }
    let request = Request::Show { statement: text.to_owned() };
    let peers = shared.membership.reachable();
    let calls = peers.iter().map(|member| shared.peer_client.call(member.peer.peers, &request));
    for answer in join_all(calls).await {
        if let Ok(Answer::Rows(rows)) = answer {
            table.rows.extend(rows);
        }
    }
    table.rows.sort();
    if let Statement::Show { topic: Topic::Requests, .. } = statement {
        table.rows.dedup();
    }
    finish(shared, table, statement)
}

fn needs_all_hosts(statement: &Statement) -> bool {
    match statement {
        Statement::Show { topic, .. } => matches!(topic, Topic::Tasks | Topic::Workers | Topic::Requests),
        _ => true,
    }
}

/// The rows of this host only, for the query of a peer.
pub(crate) fn local_rows(shared: &Shared, text: &str) -> Result<Vec<Vec<String>>, String> {
    let statement = query::parse_one(text).map_err(|error| error.to_string())?;
    Ok(table(shared, &statement)?.rows)
}

fn table(shared: &Shared, statement: &Statement) -> Result<Table, String> {
    match statement {
        Statement::Show { topic, conditions, limit } => {
            let table = match topic {
                Topic::Tasks => tasks(shared),
                Topic::Workers => workers(shared),
                Topic::Workloads => workloads(shared),
                Topic::Teams => teams(shared),
                Topic::Hosts => hosts(shared),
                Topic::Requests => requests(shared),
                Topic::Configuration => configuration(shared),
            };
            query::filter(table, conditions, *limit)
        }
        Statement::Why { subject } => Ok(explain(shared, subject)),
        _ => Err("not a query".to_owned()),
    }
}

/// Applies the steps that need the rows of all hosts.
fn finish(shared: &Shared, mut table: Table, statement: &Statement) -> Result<Table, String> {
    match statement {
        Statement::Show { limit: Some(limit), .. } => {
            table.rows.truncate(usize::try_from(*limit).unwrap_or(usize::MAX));
        }
        Statement::Why { subject } if table.rows.is_empty() => {
            table.rows.push(explain_unowned(shared, subject)?);
        }
        _ => {}
    }
    Ok(table)
}

/// Answers a `why` query for which no reachable host has returned a row.
fn explain_unowned(shared: &Shared, subject: &Subject) -> Result<Vec<String>, String> {
    let (name, workload) = match subject {
        Subject::Workload(name) => (name.clone(), name.clone()),
        Subject::Task(name) => {
            let task: model::task::Name =
                name.parse().map_err(|error: model::task::ParseNameError| error.to_string())?;
            (name.clone(), task.workload)
        }
        Subject::Worker(name) => {
            let listed =
                shared.listing.get(name).ok_or_else(|| format!("no worker `{name}` in the platform's list"))?;
            let reason = format!("listed in {}, but not held by any reachable entry host", listed.data_centre);
            return Ok(vec![name.clone(), reason, String::new()]);
        }
        Subject::Team(name) => (name.clone(), String::new()),
    };
    if shared.configuration.workload(&workload).is_none() {
        return Err(format!("no workload `{workload}`"));
    }
    let reason = model::Reason::NoOwner;
    Ok(vec![name, reason.to_string(), reason.remedy().to_owned()])
}

fn tasks(shared: &Shared) -> Table {
    let mut table = Table::new(&["task", "team", "kind", "state", "worker", "attempt", "waited", "why"]);
    let now = Instant::now();
    for number in shared.partitions.numbers() {
        shared.partitions.with(number, |owned| {
            for job in owned.tracker.jobs().values() {
                let workload = job.workload();
                for (index, task) in &job.tasks {
                    let waits = matches!(task.phase, Phase::Waiting | Phase::Unknown);
                    let waited = if waits { now.duration_since(task.waiting_since).as_secs() } else { 0 };
                    table.rows.push(vec![
                        job.id(*index).to_string(),
                        workload.team.clone(),
                        kind(workload.kind).to_owned(),
                        state(&task.phase).to_owned(),
                        task.worker().cloned().unwrap_or_default(),
                        task.attempt.to_string(),
                        waited.to_string(),
                        job.reason(*index, now).to_string(),
                    ]);
                }
            }
        });
    }
    table
}

fn kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Service => "service",
        Kind::Batch => "batch",
        Kind::Gang => "gang",
    }
}

fn state(phase: &Phase) -> &'static str {
    match phase {
        Phase::Unknown => "unknown",
        Phase::Waiting => "waiting",
        Phase::Ordered { .. } | Phase::Starting { .. } => "starting",
        Phase::Running { .. } => "running",
        Phase::Stopping { .. } => "stopping",
        Phase::Finished => "finished",
    }
}

fn workers(shared: &Shared) -> Table {
    let mut table = Table::new(&[
        "worker",
        "data_centre",
        "rack",
        "holder",
        "epoch",
        "state",
        "free_cores",
        "free_memory",
        "cores",
    ]);
    for (worker, held) in shared.held_workers.all() {
        let fact = held.ledger.lock().worker_fact(Instant::now());
        let rack = shared.listing.get(&worker).map(|listed| listed.rack).unwrap_or_default();
        let state = match (&fact.reachable, &fact.leaving, &fact.probation) {
            (false, _, _) => "silent",
            (_, true, _) => "leaving",
            (_, _, true) => "probation",
            _ => "live",
        };
        table.rows.push(vec![
            worker,
            shared.data_centre().clone(),
            rack,
            shared.own.host.clone(),
            fact.epoch.to_string(),
            state.to_owned(),
            cores(fact.free.cpu_milli),
            fact.free.memory_mib.to_string(),
            cores(fact.capacity.cpu_milli),
        ]);
    }
    table
}

fn cores(milli: u32) -> String {
    (f64::from(milli) / 1000.0).to_string()
}

fn workloads(shared: &Shared) -> Table {
    let mut table =
        Table::new(&["workload", "team", "kind", "priority", "intent", "instances", "finished", "shares", "revision"]);
    for versioned in shared.configuration.workloads() {
        let record = &versioned.record;
        let workload = &record.workload;
        let finished: usize = record
            .shares
            .keys()
            .filter_map(|data_centre| shared.configuration.progress(data_centre, &workload.name))
            .filter(|progress| progress.life == record.life)
            .map(|progress| progress.positions().count())
            .sum();
        let shares: Vec<String> = record.shares.iter().map(|(name, count)| format!("{name}={count}")).collect();
        let intent = match record.intent {
            Intent::Run => "run",
            Intent::Cancel => "cancel",
        };
        table.rows.push(vec![
            workload.name.clone(),
            workload.team.clone(),
            kind(workload.kind).to_owned(),
            format!("{:?}", workload.priority).to_lowercase(),
            intent.to_owned(),
            workload.instances.to_string(),
            finished.to_string(),
            shares.join(" "),
            versioned.revision.to_string(),
        ]);
    }
    table
}

fn teams(shared: &Shared) -> Table {
    let mut table = Table::new(&["team", "used_here", "quota", "revision"]);
    let usage = crate::schedule::usage(shared, &shared.facts.tasks());
    let quotas: BTreeMap<String, (Option<model::Resources>, u64)> =
        shared.configuration.teams().into_iter().map(|(name, team, at)| (name, (team.quota, at))).collect();
    for (name, usage) in usage.into_iter().collect::<BTreeMap<_, _>>() {
        let (quota, revision) = quotas.get(&name).copied().unwrap_or_default();
        let quota = quota.map_or_else(|| "none".to_owned(), |quota| quota.to_string());
        table.rows.push(vec![name, usage.used.to_string(), quota, revision.to_string()]);
    }
    table
}

fn hosts(shared: &Shared) -> Table {
    let mut table = Table::new(&["host", "data_centre", "state", "peers", "revision", "seen_from"]);
    let own = &shared.own;
    let mut add_row = |host: &str, data_centre: &str, state: String, peers: String, revision: u64| {
        let row = [host, data_centre, &state, &peers, &revision.to_string(), &own.host];
        table.rows.push(row.map(str::to_owned).to_vec());
    };
    let presence = format!("{:?}", shared.membership.presence()).to_lowercase();
    add_row(&own.host, &own.data_centre, presence, own.peers.to_string(), shared.configuration.revision());
    for member in shared.membership.all() {
        let state = shared.membership.state(&member.peer.host).unwrap_or(HostState::Dead);
        let state = format!("{state:?}").to_lowercase();
        let peer = &member.peer;
        add_row(&peer.host, &peer.data_centre, state, peer.peers.to_string(), member.configuration);
    }
    table.rows.sort();
    table
}

fn requests(shared: &Shared) -> Table {
    let mut table = Table::new(&["class", "host", "answered", "not_run", "unknown", "waiting", "slots", "in_use"]);
    for line in shared.gateway.class_stats() {
        table.rows.push(vec![
            line.class,
            shared.own.host.clone(),
            line.answered.to_string(),
            line.not_run.to_string(),
            line.unknown.to_string(),
            line.waiting.to_string(),
            line.slots.to_string(),
            line.in_use.to_string(),
        ]);
    }
    table
}

fn configuration(shared: &Shared) -> Table {
    let mut table = Table::new(&["key", "revision", "bytes"]);
    for (key, revision, bytes) in shared.configuration.keys() {
        table.rows.push(vec![key, revision.to_string(), bytes.to_string()]);
    }
    table
}

fn explain(shared: &Shared, subject: &Subject) -> Table {
    let mut table = Table::new(&["what", "why", "what would change it"]);
    let now = Instant::now();
    if let Subject::Worker(name) = subject {
        table.rows.extend(explain_worker(shared, name));
        return table;
    }
    for number in shared.partitions.numbers() {
        shared.partitions.with(number, |owned| {
            for job in owned.tracker.jobs().values() {
                for index in job.tasks.keys() {
                    let id = job.id(*index);
                    let matches_subject = match subject {
                        Subject::Task(name) => id.to_string() == *name,
                        Subject::Workload(name) => id.workload == *name,
                        _ => false,
                    };
                    if matches_subject {
                        let reason = job.reason(*index, now);
                        table.rows.push(vec![id.to_string(), reason.to_string(), reason.remedy().to_owned()]);
                    }
                }
            }
        });
    }
    table
}

fn explain_worker(shared: &Shared, name: &str) -> Option<Vec<String>> {
    let held = shared.held_workers.get(name)?;
    let fact = held.ledger.lock().worker_fact(Instant::now());
    let (reason, remedy) = if fact.lapsed {
        (
            "does not answer; its leases have expired, so its tasks have ended",
            "bring it back, or remove it from the platform's host list",
        )
    } else if !fact.reachable {
        (
            "does not answer; its tasks may still run until their leases expire",
            "bring it back, or remove it from the platform's host list",
        )
    } else if fact.leaving {
        ("is leaving and gets no new tasks", "restore it, or wait until it is empty")
    } else if fact.probation {
        (
            "failed tasks of several workloads and gets one trial task at a time",
            "repair it; one successful trial task ends the probation",
        )
    } else if !fact.open {
        ("accepts no new tasks now", "")
    } else {
        ("is live and accepts new tasks", "")
    };
    Some(vec![name.to_owned(), reason.to_owned(), remedy.to_owned()])
}
