//! The daemon of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    walkhookd::main(&argh::from_env())
}
