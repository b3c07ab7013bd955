//! The arguments of `walkhookd`.

use argh::FromArgs;

/// One entry host of a walkhook cell. It serves until it gets SIGTERM or SIGINT, then hands over what it is
/// responsible for, finishes what is in flight and exits with 0.
#[derive(FromArgs, Debug)]
pub struct Cli {
    /// the settings file, in YAML
    #[argh(option)]
    pub settings: std::path::PathBuf,

    /// only check the settings: exit with 0 when they are good, with 2 and all faults when they are not
    #[argh(switch)]
    pub check: bool,
}
