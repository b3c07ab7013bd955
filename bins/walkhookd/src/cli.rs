//! Command-line arguments of `walkhookd`.

use argh::FromArgs;

/// Runs one entry host of a walkhook cell. On SIGTERM or SIGINT it hands its responsibilities over to other hosts,
/// completes the requests in flight and exits with 0.
#[derive(FromArgs, Debug)]
pub struct Cli {
    /// path of the YAML settings file
    #[argh(option)]
    pub settings: std::path::PathBuf,

    /// only validate the settings: exit with 0 if they are valid; otherwise print every fault and exit with 2
    #[argh(switch)]
    pub check: bool,
}
