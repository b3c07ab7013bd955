//! Runs the entry host until a signal.

use std::process::ExitCode;

use settings::{Level, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::NOT_STARTED;

pub(crate) fn run(settings: Settings) -> ExitCode {
    let log = events::logger(std::io::stdout(), level(settings.log), &settings.host);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("can't start threads: {fault}");
            return ExitCode::from(NOT_STARTED);
        }
    };
    match runtime.block_on(node::run(settings, log, told_to_stop())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(NOT_STARTED)
        }
    }
}

fn level(level: Level) -> events::Level {
    match level {
        Level::Debug => events::Level::Debug,
        Level::Info => events::Level::Info,
        Level::Warning => events::Level::Warning,
        Level::Error => events::Level::Error,
    }
}

async fn told_to_stop() {
    // Without a handler the signal ends the process at once, which is all that is left to do then.
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
