//! Executes operators' statements.

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
use store::Purpose;

use crate::commit::{Change, CommitOutcome, read_receipt, resolve_outcome};
use crate::keys::{self, Drain, Receipt, RecordKey, Team};
use crate::shared::Shared;
use crate::show;

/// How long to wait for a change to be in force at this host. After that its outcome says that it is not.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);
/// When a client should retry a command that was refused because of an outage.
const RETRY_AFTER: Duration = Duration::from_secs(2);
const MIB: u64 = 1024 * 1024;
/// Start of 2026 in Unix time, in seconds. Numbers of lives that are derived from the clock count seconds since then.
const LIFE_EPOCH: u64 = 1_767_225_600;

/// Executes one statement.
pub(crate) async fn execute(shared: &Arc<Shared>, command: Command) -> Outcome {
    let statement = match query::parse_one(&command.statement) {
        Ok(statement) => statement,
        Err(error) => return Outcome::not_done(error.to_string()),
    };
    if !statement.is_command() {
        return table_outcome(show::show_all_hosts(shared, &statement, &command.statement).await);
    }
    wait_for_workload(shared, &statement).await;
    let change = match plan_change(shared, &statement, &command) {
        Ok(change) => change,
        Err(reason) => return refuse_unless_done(shared, &command, reason).await,
    };
    let committed = shared.committer.commit(change.clone()).await;
    finish_command(shared, &command, &change, committed).await
}

/// Asks the platform about a workload that is unknown here, and waits for its record. Another entry host may have
/// accepted the workload a moment ago.
async fn wait_for_workload(shared: &Shared, statement: &Statement) {
    let name = match statement {
        Statement::Cancel { workload, .. } => workload,
        Statement::Change { subject: Subject::Workload(workload), .. } => workload,
        _ => return,
    };
    if shared.configuration.workload(name).is_some() {
        return;
    }
    let key = format!("{}{}", keys::cell_prefix(&shared.settings.cell), RecordKey::Workload(name.clone()).key());
    if let Ok(entry) = shared.store.get(Purpose::Acceptance, &key).await {
        shared.configuration.wait_for_revision(entry.mod_revision, CONFIGURATION_TIMEOUT).await;
    }
}

fn table_outcome(outcome: Result<query::Table, String>) -> Outcome {
    match outcome {
        Ok(table) => {
            let rows = Rows { columns: table.columns, rows: table.rows };
            Outcome { table: Some(rows), ..Outcome::done("") }
        }
        Err(reason) => Outcome::not_done(reason),
    }
}

fn refuse(shared: &Shared, command: &Command, reason: String, retry_after: Option<Duration>) -> Outcome {
    events::emit!(shared.log, events::COMMAND_NOT_DONE, "command" => command.command.to_string(),
        "why" => events::excerpt(&reason));
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    Outcome { retry_after_ms, ..Outcome::not_done(reason) }
}

/// Refuses a command that the configuration doesn't allow, unless it was carried out before: a repeated command is
/// often refused because of its own effect.
async fn refuse_unless_done(shared: &Shared, command: &Command, reason: String) -> Outcome {
    match read_receipt(shared, command.command).await {
        Ok(Some(receipt)) => receipt_outcome(receipt),
        Ok(None) => refuse(shared, command, reason, None),
        Err(error) => {
            let why = format!("{reason}; whether the command was carried out before is unknown: {error}");
            events::emit!(shared.log, events::COMMAND_UNKNOWN, "command" => command.command.to_string(),
                "why" => events::excerpt(&why));
            Outcome::unknown(why)
        }
    }
}

async fn finish_command(shared: &Arc<Shared>, command: &Command, change: &Change, committed: CommitOutcome) -> Outcome {
    match committed {
        CommitOutcome::Done(revision) => {
            events::emit!(shared.log, events::COMMAND_DONE, "command" => command.command.to_string(), "revision" => revision);
            let in_force = shared.configuration.wait_for_revision(revision, CONFIGURATION_TIMEOUT).await;
            let note = if in_force { "" } else { " (durable, but not in force at this entry host yet)" };
            Outcome { revision: Some(revision), ..Outcome::done(format!("{}{note}", change.message)) }
        }
        CommitOutcome::Before(receipt) => receipt_outcome(receipt),
        CommitOutcome::Conflict => {
            let reason = describe_conflict(shared, change).await;
            refuse(shared, command, reason, None)
        }
        CommitOutcome::NotDone(reason) => refuse(shared, command, reason, Some(RETRY_AFTER)),
        CommitOutcome::Unknown(reason) => {
            events::emit!(shared.log, events::COMMAND_UNKNOWN, "command" => command.command.to_string(),
        "why" => events::excerpt(&reason));
            Outcome::unknown(format!("{reason}; query the outcome by the command's id"))
        }
    }
}

/// The field that all records written by operators have in common.
#[derive(Deserialize)]
struct Written {
    command: CommandId,
}

/// Describes the command that changed a record first.
async fn describe_conflict(shared: &Shared, change: &Change) -> String {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    for (record_key, expected) in &change.expects {
        let key = format!("{prefix}{}", record_key.key());
        let Ok(entry) = shared.store.get(Purpose::Acceptance, &key).await else { break };
        if entry.mod_revision == *expected {
            continue;
        }
        let by = match keys::decode::<Written>(&entry.value) {
            Ok(written) => format!("changed by command {}", written.command),
            Err(_) => "removed".to_owned(),
        };
        return format!("{} has revision {}, not {expected}: {by}", record_key.key(), entry.mod_revision);
    }
    "changed by another command in the meantime; read the record again and retry".to_owned()
}

fn receipt_outcome(receipt: Receipt) -> Outcome {
    if receipt.done { Outcome::done(receipt.message) } else { Outcome::not_done(receipt.message) }
}

/// The outcome of an earlier command. If it has not taken effect, this call prevents it from doing so later.
pub(crate) async fn outcome(shared: &Arc<Shared>, command: CommandId) -> Outcome {
    match resolve_outcome(shared, command).await {
        CommitOutcome::Before(receipt) => receipt_outcome(receipt),
        CommitOutcome::NotDone(reason) => Outcome::not_done(reason),
        other => Outcome::unknown(format!("{other:?}")),
    }
}

/// The writes that execute a command, or the reason why it can't be executed.
fn plan_change(shared: &Shared, statement: &Statement, command: &Command) -> Result<Change, String> {
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
    let workloads = model::plan::parse(plan).map_err(|error| error.to_string())?;
    let mut change =
        Change { command, message: String::new(), expects: Vec::new(), puts: Vec::new(), deletes: Vec::new() };
    let mut names = Vec::new();
    for workload in workloads {
        names.push(workload.name.clone());
        submit_workload(shared, workload, &mut change)?;
    }
    change.message = format!("accepted {}", names.join(", "));
    Ok(change)
}

fn submit_workload(shared: &Shared, workload: Workload, change: &mut Change) -> Result<(), String> {
    let known = shared.configuration.workload(&workload.name);
    if known.as_ref().is_some_and(|known| !is_over(shared, known)) {
        return Err(format!("workload {} exists and has not ended; change or cancel it", workload.name));
    }
    let life = next_life(known.as_ref().map_or(0, |known| known.record.life), SystemTime::now());
    let shares = shares(shared, &workload)?;
    let record_key = RecordKey::Workload(workload.name.clone());
    change.expects.push((record_key.clone(), known.map_or(0, |known| known.revision)));
    let record =
        Record { workload, intent: Intent::Run, command: change.command, life, shares, accepted_at: SystemTime::now() };
    change.puts.push((record_key, keys::encode(&record)));
    Ok(())
}

/// The number of the next life of a workload. It is derived from the clock, so that it also exceeds the lives
/// whose records were removed: a worker that was unreachable for long may still report the ends of their tasks.
fn next_life(known: u32, now: SystemTime) -> u32 {
    let since_unix_epoch = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
    let by_clock = u32::try_from(since_unix_epoch.saturating_sub(LIFE_EPOCH)).unwrap_or(u32::MAX);
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
    let mut table = WorkerTable::default();
    for (id, listed) in &workers {
        let (capacity, rack) = (listed.capacity, listed.rack.clone());
        table.upsert(Worker { id: id.clone(), rack, capacity, free: capacity, open: true });
    }
    if let Some(reason @ Reason::NeverFits { .. }) = place::never_fits(&table, &workload.each) {
        return Err(format!("workload {}: {reason}", workload.name));
    }
    let fits = |data_centre: &DataCentreId| {
        workers.iter().any(|(_, listed)| listed.data_centre == *data_centre && workload.each.fits_in(&listed.capacity))
    };
    let all = &shared.settings.data_centres;
    let mut eligible: Vec<DataCentreId> = all.iter().filter(|data_centre| fits(data_centre)).cloned().collect();
    if eligible.is_empty() {
        // Without a host list no data centre can be excluded; the owners of the partitions decide later.
        eligible = all.clone();
    }
    let ranked = rank(&workload.name, eligible.iter().map(String::as_str));
    let preferred = ranked.first().map_or_else(|| shared.data_centre().clone(), |name| (*name).to_owned());
    Ok(split_tasks(workload.kind, workload.instances, &eligible, &preferred))
}

fn cancel(shared: &Shared, name: &str, revision: Option<Revision>, command: CommandId) -> Result<Change, String> {
    let known = known_workload(shared, name, revision)?;
    let mut record = known.record.clone();
    record.intent = Intent::Cancel;
    record.command = command;
    Ok(workload_change(&known, record, format!("cancelled {name}"), command))
}

fn known_workload(shared: &Shared, name: &str, revision: Option<Revision>) -> Result<Arc<Versioned>, String> {
    let known = shared.configuration.workload(name).ok_or_else(|| format!("no workload `{name}`"))?;
    check_revision(&format!("workload {name}"), known.revision, revision, known.record.command)?;
    Ok(known)
}

/// Checks that a record has the expected revision, if one is given. The error names the command that wrote the
/// current one.
fn check_revision(what: &str, known: Revision, wanted: Option<Revision>, by: CommandId) -> Result<(), String> {
    match wanted {
        Some(wanted) if wanted != known => {
            Err(format!("{what} has revision {known}, not {wanted}: changed by command {by}"))
        }
        _ => Ok(()),
    }
}

fn workload_change(known: &Versioned, record: Record, message: String, command: CommandId) -> Change {
    let record_key = RecordKey::Workload(known.record.workload.name.clone());
    Change {
        command,
        message,
        expects: vec![(record_key.clone(), known.revision)],
        puts: vec![(record_key, keys::encode(&record))],
        deletes: Vec::new(),
    }
}

fn change_workload(
    shared: &Shared,
    name: &str,
    assignments: &[Assignment],
    revision: Option<Revision>,
    command: CommandId,
) -> Result<Change, String> {
    let known = known_workload(shared, name, revision)?;
    let mut record = known.record.clone();
    record.command = command;
    for assignment in assignments {
        assign(&mut record.workload, assignment)?;
    }
    record.shares = redistribute(&known.record, record.workload.instances);
    let fields: Vec<&str> = assignments.iter().map(|assignment| assignment.field.as_str()).collect();
    Ok(workload_change(&known, record, format!("changed {} of {name}", fields.join(", ")), command))
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
            workload.run_time = Some(units::parse_duration(value).map_err(|error| format!("run_time: {error}"))?);
        }
        other => {
            return Err(format!(
                "field `{other}` can't be changed; fields that can be are instances, priority, run_time"
            ));
        }
    }
    Ok(())
}

/// Divides the instances among the data centres that already have a share.
fn redistribute(record: &Record, instances: u32) -> BTreeMap<DataCentreId, u32> {
    let places: Vec<DataCentreId> = record.shares.keys().cloned().collect();
    match places.first() {
        Some(first) => split_tasks(record.workload.kind, instances, &places, first),
        None => BTreeMap::new(),
    }
}

fn change_team(
    shared: &Shared,
    name: &str,
    assignments: &[Assignment],
    revision: Option<Revision>,
    command: CommandId,
) -> Result<Change, String> {
    if !model::plan::is_valid_name(name) {
        return Err(format!("`{name}` is not a valid team name: use up to 64 letters, digits, - and _"));
    }
    let known = shared.configuration.team(name);
    let (mut team, known_revision) = known.unwrap_or_default();
    check_revision(&format!("team {name}"), known_revision, revision, team.command)?;
    team.command = command;
    for assignment in assignments {
        assign_quota(&mut team, assignment)?;
    }
    let record_key = RecordKey::Team(name.to_owned());
    Ok(Change {
        command,
        message: format!("changed the quota of team {name}"),
        expects: vec![(record_key.clone(), known_revision)],
        puts: vec![(record_key, keys::encode(&team))],
        deletes: Vec::new(),
    })
}

/// The initial quota. Resources that were never set are unlimited.
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
            let bytes = units::parse_size(value).map_err(|error| format!("memory: {error}"))?;
            quota.memory_mib = u32::try_from(bytes / MIB).unwrap_or(u32::MAX);
        }
        other => {
            return Err(format!(
                "a team has no field `{other}`; its fields are processors, memory, accelerators, quota"
            ));
        }
    }
    Ok(())
}

fn drain(shared: &Shared, worker: &str, on: bool, command: CommandId) -> Result<Change, String> {
    if shared.listing.is_known() && shared.listing.get(worker).is_none() {
        return Err(format!("no worker `{worker}` in the platform's list"));
    }
    let record_key = RecordKey::Drain(worker.to_owned());
    let (puts, deletes, message) = if on {
        (vec![(record_key, keys::encode(&Drain { command }))], Vec::new(), format!("draining {worker}"))
    } else {
        (Vec::new(), vec![record_key], format!("restored {worker}"))
    };
    Ok(Change { command, message, expects: Vec::new(), puts, deletes })
}
