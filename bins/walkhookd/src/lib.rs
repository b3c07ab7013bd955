//! The entry host's daemon, as a library so that the binary stays thin and the example can run it as a
//! process of its own.

mod check;
pub mod cli;
mod run;

use std::process::ExitCode;

/// Exit code for settings that can't be used.
pub const BAD_SETTINGS: u8 = 2;
/// Exit code for an entry host that could not be started.
pub const NOT_STARTED: u8 = 1;

/// Runs the daemon with its arguments.
pub fn main(cli: &cli::Cli) -> ExitCode {
    let settings = match check::read(&cli.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if cli.check {
        println!("{}: good", cli.settings.display());
        return ExitCode::SUCCESS;
    }
    run::run(settings)
}
