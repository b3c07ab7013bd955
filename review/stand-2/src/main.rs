//! Plays one case of the review: `stand-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod crashloop;
mod gone;
mod minion;
mod parts;
mod record;
mod store;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};
use world::Case;

/// A script may run for 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case needs.
pub struct Setting {
    /// Whether the disruption is to happen.
    pub trouble: bool,
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
}

async fn play(name: &str, setting: &Setting) -> Case<bool> {
    match name {
        "crashloop" => crashloop::play(setting).await,
        "gone" => gone::play(setting).await,
        "parts" => parts::play(setting).await,
        _ => Err(format!("there is no case `{name}`")),
    }
}

async fn play_within_limits(name: &str, setting: &Setting) -> Case<bool> {
    let mut terminated = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupted = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    tokio::select! {
        outcome = play(name, setting) => outcome,
        () = tokio::time::sleep(TIME_LIMIT) => Err("out of time".to_owned()),
        _ = terminated.recv() => Err("SIGTERM".to_owned()),
        _ = interrupted.recv() => Err("SIGINT".to_owned()),
    }
}

fn run(name: &str, folder: &Path) -> Case<bool> {
    let record = Arc::new(Record::create(folder).map_err(|error| error.to_string())?);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("walkhook-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let setting = Setting { trouble, record: record.clone(), folder: temporary.clone() };
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    record.write(if trouble { "with the disruption" } else { "without the disruption" });
    let outcome = runtime.block_on(play_within_limits(name, &setting));
    record.write(&match &outcome {
        Ok(true) => "the rule was broken".to_owned(),
        Ok(false) => "the rule held".to_owned(),
        Err(error) => format!("the case couldn't run: {error}"),
    });
    if std::env::var("KEEP_LOGS").is_err() {
        // A folder that is left behind does no harm.
        let _ = std::fs::remove_dir_all(&temporary);
    }
    outcome
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else { return ExitCode::from(2) };
    let outcome = std::panic::catch_unwind(|| run(name, Path::new(folder)));
    match outcome {
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Err(_)) | Err(_) => ExitCode::from(2),
    }
}
