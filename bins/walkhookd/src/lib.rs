//! The `walkhookd` daemon, which runs an entry host. It is a library so that examples, which are not built together
//! with the binary, can run the daemon in a child process of their own executable.

mod check;
pub mod cli;
mod run;

use std::process::ExitCode;

/// Exit code for settings that cannot be read or are invalid.
pub const BAD_SETTINGS: u8 = 2;
/// Exit code for an entry host that failed to start.
pub const NOT_STARTED: u8 = 1;

/// Runs the daemon until a termination signal, or only validates the settings if [`cli::Cli::check`] is set.
/// Diagnostics go to standard error.
pub fn main(cli: &cli::Cli) -> ExitCode {
    let settings = match check::read(&cli.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if cli.check {
        println!("{}: valid", cli.settings.display());
        return ExitCode::SUCCESS;
    }
    run::run(settings)
}
