//! Carries out operators' statements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use api::{Command, Outcome, Rows};
use member::rank;
use model::workload::{Intent, Kind, Priority, Record, Versioned, Workload, split_tasks};
use model::{CommandId, DataCentreId, Reason, Resources, Revision, units};
use place::{Worker, WorkerTable};
use query::{Assignment, Statement, Subject};
use serde::Deserialize;
use store::Use;

use crate::commit::{Change, Committed, settle};
use crate::keys::{self, Drain, Place, Receipt, Team};
use crate::shared::Shared;
use crate::show;

/// An accepted change is in force at this host within this time, or its outcome says so.
const IN_FORCE: Duration = Duration::from_secs(2);
/// When to come back after a refusal by an outage.
const RETRY_AFTER: Duration = Duration::from_secs(2);
const MIB: u64 = 1024 * 1024;
/// The beginning of 2026, in seconds of Unix time.
const LIVES_FROM: u64 = 1_767_225_600;

/// Carries out one statement.
pub(crate) async fn execute(shared: &Arc<Shared>, command: Command) -> Outcome {
    let statement = match query::parse_one(&command.statement) {
        Ok(statement) => statement,
        Err(fault) => return Outcome::not_done(fault.to_string()),
    };
    if !statement.is_command() {
        return shown(show::everywhere(shared, &statement, &command.statement).await);
    }
    catch_up(shared, &statement).await;
    let change = match plan(shared, &statement, &command) {
        Ok(change) => change,
        Err(why) => return refuse(shared, &command, why, None),
    };
    let committed = shared.committer.commit(change.clone()).await;
    conclude(shared, &command, &change, committed).await
}

/// A record that another entry host accepted a moment ago may not have come here yet: before it is said that
/// there is none, the platform is asked.
async fn catch_up(shared: &Shared, statement: &Statement) {
    let named = match statement {
        Statement::Cancel { workload, .. } => workload,
        Statement::Change { subject: Subject::Workload(workload), .. } => workload,
        _ => return,
    };
    if shared.configuration.workload(named).is_some() {
        return;
    }
    let key = format!("{}{}", keys::prefix(&shared.settings.cell), Place::Workload(named.clone()).key());
    if let Ok(entry) = shared.store.get(Use::Acceptance, &key).await {
        shared.configuration.reached(entry.mod_revision, IN_FORCE).await;
    }
}

fn shown(outcome: Result<query::Table, String>) -> Outcome {
    match outcome {
        Ok(table) => {
            let rows = Rows { columns: table.columns, rows: table.rows };
            Outcome { table: Some(rows), ..Outcome::done("") }
        }
        Err(why) => Outcome::not_done(why),
    }
}

fn refuse(shared: &Shared, command: &Command, why: String, retry_after: Option<Duration>) -> Outcome {
    events::emit!(shared.log, events::COMMAND_REFUSED, "command" => command.command.to_string(), "why" => &why);
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    Outcome { retry_after_ms, ..Outcome::not_done(why) }
}

async fn conclude(shared: &Arc<Shared>, command: &Command, change: &Change, committed: Committed) -> Outcome {
    match committed {
        Committed::Done(revision) => {
            events::emit!(shared.log, events::COMMAND_DONE, "command" => command.command.to_string(), "revision" => revision);
            let here = shared.configuration.reached(revision, IN_FORCE).await;
            let note = if here { "" } else { " (durable, but not in force at this entry host yet)" };
            Outcome { revision: Some(revision), ..Outcome::done(format!("{}{note}", change.message)) }
        }
        Committed::Before(receipt) => from_receipt(receipt),
        Committed::Conflict => {
            let why = changed_by(shared, change).await;
            refuse(shared, command, why, None)
        }
        Committed::NotDone(why) => refuse(shared, command, why, Some(RETRY_AFTER)),
        Committed::Unknown(why) => {
            events::emit!(shared.log, events::COMMAND_UNKNOWN, "command" => command.command.to_string(), "why" => &why);
            Outcome::unknown(format!("{why}; ask again by the command's id"))
        }
    }
}

/// What every record that operators write has.
#[derive(Deserialize)]
struct Written {
    command: CommandId,
}

/// Which other command came in between.
async fn changed_by(shared: &Shared, change: &Change) -> String {
    let prefix = keys::prefix(&shared.settings.cell);
    for (place, expected) in &change.expects {
        let key = format!("{prefix}{}", place.key());
        let Ok(entry) = shared.store.get(Use::Acceptance, &key).await else { break };
        if entry.mod_revision == *expected {
            continue;
        }
        let by = match keys::decode::<Written>(&entry.value) {
            Ok(written) => format!("changed by command {}", written.command),
            Err(_) => "removed".to_owned(),
        };
        return format!("{} has revision {}, not {expected}: {by}", place.key(), entry.mod_revision);
    }
    "changed by another command in the meantime; look again".to_owned()
}

fn from_receipt(receipt: Receipt) -> Outcome {
    if receipt.done { Outcome::done(receipt.message) } else { Outcome::not_done(receipt.message) }
}

/// The outcome of an earlier command. One that was not carried out yet never will be after this.
pub(crate) async fn outcome(shared: &Arc<Shared>, command: CommandId) -> Outcome {
    match settle(shared, command).await {
        Committed::Before(receipt) => from_receipt(receipt),
        Committed::NotDone(why) => Outcome::not_done(why),
        other => Outcome::unknown(format!("{other:?}")),
    }
}

/// The writes that carry a command out, or why it can't be.
fn plan(shared: &Shared, statement: &Statement, command: &Command) -> Result<Change, String> {
    let id = command.command;
    if shared.configuration.revision() == 0 {
        return Err("this entry host has no configuration yet".to_owned());
    }
    match statement {
        Statement::Submit { .. } => submit(shared, command.plan.as_deref(), id),
        Statement::Cancel { workload, revision } => cancel(shared, workload, *revision, id),
        Statement::Change { subject: Subject::Team(team), set, revision } => {
            change_team(shared, team, set, *revision, id)
        }
        Statement::Change { subject: Subject::Workload(name), set, revision } => {
            change_workload(shared, name, set, *revision, id)
        }
        Statement::Drain { worker } => drain(shared, worker, true, id),
        Statement::Restore { worker } => drain(shared, worker, false, id),
        Statement::Change { .. } | Statement::Show { .. } | Statement::Why { .. } => Err("not a command".to_owned()),
    }
}

fn submit(shared: &Shared, plan: Option<&str>, command: CommandId) -> Result<Change, String> {
    let plan = plan.ok_or("the plan's text is missing: send the file with the statement")?;
    let workloads = model::plan::parse(plan).map_err(|fault| fault.to_string())?;
    let mut change =
        Change { command, message: String::new(), expects: Vec::new(), puts: Vec::new(), deletes: Vec::new() };
    let mut names = Vec::new();
    for workload in workloads {
        names.push(workload.name.clone());
        submit_one(shared, workload, &mut change)?;
    }
    change.message = format!("accepted {}", names.join(", "));
    Ok(change)
}

fn submit_one(shared: &Shared, workload: Workload, change: &mut Change) -> Result<(), String> {
    let known = shared.configuration.workload(&workload.name);
    if known.as_ref().is_some_and(|known| !is_over(shared, known)) {
        return Err(format!("workload {} exists and is not over; change or cancel it", workload.name));
    }
    let life = next_life(known.as_ref().map_or(0, |known| known.record.life), SystemTime::now());
    let shares = shares(shared, &workload)?;
    let place = Place::Workload(workload.name.clone());
    change.expects.push((place.clone(), known.map_or(0, |known| known.revision)));
    let record =
        Record { workload, intent: Intent::Run, command: change.command, life, shares, accepted_at: SystemTime::now() };
    change.puts.push((place, keys::encode(&record)));
    Ok(())
}

/// By the clock, so that it exceeds also those whose records were removed: a worker that was away for long may
/// still bring the ends of their tasks.
fn next_life(known: u32, now: SystemTime) -> u32 {
    let since = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
    let by_clock = u32::try_from(since.saturating_sub(LIVES_FROM)).unwrap_or(u32::MAX);
    by_clock.max(known.saturating_add(1))
}

/// Whether a workload was cancelled or has finished everywhere.
fn is_over(shared: &Shared, known: &Versioned) -> bool {
    if known.record.intent == Intent::Cancel {
        return true;
    }
    if known.record.workload.kind == Kind::Service {
        return false;
    }
    known.record.shares.iter().all(|(data_centre, count)| {
        let progress = shared.configuration.progress(data_centre, &known.record.workload.name);
        progress
            .is_some_and(|progress| progress.life == known.record.life && progress.positions().count() as u32 >= *count)
    })
}

/// Divides a workload among the data centres that have a worker large enough for one task.
fn shares(shared: &Shared, workload: &Workload) -> Result<BTreeMap<DataCentreId, u32>, String> {
    let workers = shared.listing.all_workers();
    let mut cell = WorkerTable::default();
    for (id, listed) in &workers {
        let (capacity, rack) = (listed.capacity, listed.rack.clone());
        cell.upsert(Worker { id: id.clone(), rack, capacity, free: capacity, open: true });
    }
    if let Some(reason @ Reason::NeverFits { .. }) = place::never_fits(&cell, &workload.each) {
        return Err(format!("workload {}: {reason}", workload.name));
    }
    let fits = |data_centre: &DataCentreId| {
        workers.iter().any(|(_, listed)| listed.data_centre == *data_centre && workload.each.fits_in(&listed.capacity))
    };
    let all = &shared.settings.data_centres;
    let mut able: Vec<DataCentreId> = all.iter().filter(|data_centre| fits(data_centre)).cloned().collect();
    if able.is_empty() {
        // Without a list nothing is known to be too small: the first look of the owner decides.
        able = all.clone();
    }
    let ranked = rank(&workload.name, able.iter().map(String::as_str));
    let preferred = ranked.first().map_or_else(|| shared.data_centre().clone(), |name| (*name).to_owned());
    Ok(split_tasks(workload.kind, workload.instances, &able, &preferred))
}

fn cancel(shared: &Shared, name: &str, revision: Option<Revision>, command: CommandId) -> Result<Change, String> {
    let known = known_workload(shared, name, revision)?;
    let mut record = known.record.clone();
    record.intent = Intent::Cancel;
    record.command = command;
    Ok(rewrite(&known, record, format!("cancelled {name}"), command))
}

fn known_workload(shared: &Shared, name: &str, revision: Option<Revision>) -> Result<Arc<Versioned>, String> {
    let known = shared.configuration.workload(name).ok_or_else(|| format!("no workload `{name}`"))?;
    check_revision(&format!("workload {name}"), known.revision, revision, known.record.command)?;
    Ok(known)
}

/// A condition that does not hold is refused with what stands there now and which command wrote it.
fn check_revision(what: &str, known: Revision, wanted: Option<Revision>, by: CommandId) -> Result<(), String> {
    match wanted {
        Some(wanted) if wanted != known => {
            Err(format!("{what} has revision {known}, not {wanted}: changed by command {by}"))
        }
        _ => Ok(()),
    }
}

fn rewrite(known: &Versioned, record: Record, message: String, command: CommandId) -> Change {
    let place = Place::Workload(known.record.workload.name.clone());
    Change {
        command,
        message,
        expects: vec![(place.clone(), known.revision)],
        puts: vec![(place, keys::encode(&record))],
        deletes: Vec::new(),
    }
}

fn change_workload(
    shared: &Shared,
    name: &str,
    set: &[Assignment],
    revision: Option<Revision>,
    command: CommandId,
) -> Result<Change, String> {
    let known = known_workload(shared, name, revision)?;
    let mut record = known.record.clone();
    record.command = command;
    for assignment in set {
        assign(&mut record.workload, assignment)?;
    }
    record.shares = redivide(&known.record, record.workload.instances);
    let fields: Vec<&str> = set.iter().map(|assignment| assignment.field.as_str()).collect();
    Ok(rewrite(&known, record, format!("changed {} of {name}", fields.join(", ")), command))
}

fn assign(workload: &mut Workload, assignment: &Assignment) -> Result<(), String> {
    let value = assignment.value.as_str();
    match assignment.field.as_str() {
        "instances" => {
            let count: u32 = value.parse().map_err(|_| format!("instances: `{value}` is not a whole number"))?;
            if count > model::plan::MAX_INSTANCES {
                return Err(format!("instances: at most {}", model::plan::MAX_INSTANCES));
            }
            workload.instances = count;
        }
        "priority" => {
            workload.priority = match value {
                "urgent" => Priority::Urgent,
                "normal" => Priority::Normal,
                "patient" => Priority::Patient,
                _ => return Err(format!("priority: `{value}` is not one of urgent, normal, patient")),
            };
        }
        "run_time" => {
            workload.run_time = Some(units::parse_duration(value).map_err(|fault| format!("run_time: {fault}"))?);
        }
        other => {
            return Err(format!("no field `{other}` that can be changed; there are instances, priority, run_time"));
        }
    }
    Ok(())
}

/// Divides anew over the data centres that have a share already.
fn redivide(record: &Record, instances: u32) -> BTreeMap<DataCentreId, u32> {
    let places: Vec<DataCentreId> = record.shares.keys().cloned().collect();
    match places.first() {
        Some(first) => split_tasks(record.workload.kind, instances, &places, first),
        None => BTreeMap::new(),
    }
}

fn change_team(
    shared: &Shared,
    name: &str,
    set: &[Assignment],
    revision: Option<Revision>,
    command: CommandId,
) -> Result<Change, String> {
    if !model::plan::is_valid_name(name) {
        return Err(format!("`{name}` can't name a team: use up to 64 letters, digits, - and _"));
    }
    let known = shared.configuration.team(name);
    let (mut team, at) = known.unwrap_or_default();
    check_revision(&format!("team {name}"), at, revision, team.command)?;
    team.command = command;
    for assignment in set {
        assign_quota(&mut team, assignment)?;
    }
    let place = Place::Team(name.to_owned());
    Ok(Change {
        command,
        message: format!("changed the quota of team {name}"),
        expects: vec![(place.clone(), at)],
        puts: vec![(place, keys::encode(&team))],
        deletes: Vec::new(),
    })
}

/// A dimension that was never set is unlimited.
const UNLIMITED: Resources = Resources { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };

fn assign_quota(team: &mut Team, assignment: &Assignment) -> Result<(), String> {
    let value = assignment.value.as_str();
    if assignment.field == "quota" {
        if value != "none" {
            return Err("quota: only `none` can be set; otherwise set processors, memory, accelerators".to_owned());
        }
        team.quota = None;
        return Ok(());
    }
    let quota = team.quota.get_or_insert(UNLIMITED);
    let number = || value.parse::<u32>().map_err(|_| format!("{}: `{value}` is not a whole number", assignment.field));
    match assignment.field.as_str() {
        "processors" => quota.cpu_milli = number()?.saturating_mul(1000),
        "accelerators" => quota.accelerators = number()?,
        "memory" => {
            let bytes = units::parse_size(value).map_err(|fault| format!("memory: {fault}"))?;
            quota.memory_mib = u32::try_from(bytes / MIB).unwrap_or(u32::MAX);
        }
        other => {
            return Err(format!("no field `{other}` of a team; there are processors, memory, accelerators, quota"));
        }
    }
    Ok(())
}

fn drain(shared: &Shared, worker: &str, on: bool, command: CommandId) -> Result<Change, String> {
    if shared.listing.known() && shared.listing.get(worker).is_none() {
        return Err(format!("no worker `{worker}` in the platform's list"));
    }
    let place = Place::Drain(worker.to_owned());
    let (puts, deletes, message) = if on {
        (vec![(place, keys::encode(&Drain { command }))], Vec::new(), format!("draining {worker}"))
    } else {
        (Vec::new(), vec![place], format!("restored {worker}"))
    };
    Ok(Change { command, message, expects: Vec::new(), puts, deletes })
}
