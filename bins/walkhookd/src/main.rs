//! The `walkhookd` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    walkhookd::main(&argh::from_env())
}
