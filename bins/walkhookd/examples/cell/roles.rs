//! The components of the cell. Each runs as a process of its own, started from this executable.

use std::process::ExitCode;

use argh::FromArgs;
use fakes::{Platform, Worker};
use model::Resources;

/// Runs the component that the arguments name: `platform ADDRESS`, `worker ADDRESS CORES` or `walkhookd SETTINGS`.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["platform", address] => {
            let address = address.parse().expect("an address");
            block_on(async move {
                let _platform = Platform::start(address).await.expect("a free address");
                std::future::pending::<()>().await;
            })
        }
        ["worker", address, cores] => {
            let address = address.parse().expect("an address");
            let cores: u32 = cores.parse().expect("a number of cores");
            block_on(async move {
                let capacity = Resources::new(cores, cores * 4096, 0);
                let _worker = Worker::start(address, capacity).await.expect("a free address");
                std::future::pending::<()>().await;
            })
        }
        ["walkhookd", settings] => {
            let cli = walkhookd::cli::Cli::from_args(&["walkhookd"], &["--settings", settings]);
            walkhookd::main(&cli.expect("valid arguments"))
        }
        other => panic!("unknown role: {other:?}"),
    }
}

fn block_on(role: impl Future<Output = ()>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("an async runtime").block_on(role);
    ExitCode::SUCCESS
}
