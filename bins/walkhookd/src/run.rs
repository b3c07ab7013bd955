//! Runs an entry host until it receives a termination signal.

use std::process::ExitCode;

use settings::{Level, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::NOT_STARTED;

pub(crate) fn run(settings: Settings) -> ExitCode {
    let log = events::logger(std::io::stdout(), event_level(settings.log), &settings.host);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the async runtime: {error}");
            return ExitCode::from(NOT_STARTED);
        }
    };
    match runtime.block_on(node::run(settings, log, shutdown_signal())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn event_level(level: Level) -> events::Level {
    match level {
        Level::Debug => events::Level::Debug,
        Level::Info => events::Level::Info,
        Level::Warning => events::Level::Warning,
        Level::Error => events::Level::Error,
    }
}

/// Completes on SIGTERM or SIGINT.
async fn shutdown_signal() {
    // If no handler can be installed, this never completes: the signal's default action ends the process at once,
    // without a handover.
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
