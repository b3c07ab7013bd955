//! The command line arguments of `walkhook`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

/// Output format of outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Table,
    /// One JSON object per statement.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Output, String> {
        match text {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            other => Err(format!("`{other}` is neither table nor json")),
        }
    }
}

/// Query and control a walkhook cell. Statements are separated by `;`, for example: show tasks where team = rail
///
/// For callers' jobs: job why ID, job submit ID FILE, job cancel ID, queues, workspaces, host. To join the logs of
/// several hosts by the id of a job or request: log ID FILE... To count late jobs by the cause of their delay:
/// account FILE... To show what each queue used, every two seconds: account --usage FILE...
///
/// Exit codes: 0 done, 1 not done, 2 an error in the arguments or statements (nothing was sent), 3 unknown.
#[derive(FromArgs, Debug)]
pub struct Cli {
    /// operators' address of an entry host; repeat it to name others that are tried when one is gone
    #[argh(option)]
    pub entry: Vec<SocketAddr>,

    /// file with the cell's shared key; without it the key is taken from WALKHOOK_KEY
    #[argh(option)]
    pub key: Option<PathBuf>,

    /// table (default) or json
    #[argh(option, default = "Output::Table")]
    pub output: Output,

    /// read statements from this file, `-` for standard input
    #[argh(option)]
    pub file: Option<PathBuf>,

    /// after a submit, show progress until the work runs (services) or has finished (other work)
    #[argh(switch)]
    pub wait: bool,

    /// with account: a row for each queue and every two seconds, with runs and cores at work, questions to the adviser
    /// (question_ms is their mean duration), tickets, starts, and jobs accepted and refused by the budget that was
    /// short. Cores are an upper estimate, because a run counts as the largest task of its job. A run without an end
    /// in the logs counts until the last line of the logs
    #[argh(switch)]
    pub usage: bool,

    /// the statements
    #[argh(positional)]
    pub statement: Vec<String>,
}
