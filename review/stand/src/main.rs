//! Cases of the review: `stand CASE FOLDER ROOT`. With `TROUBLE=0` the disruption is left out. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod hosts;
mod http;
mod minion;
mod record;
mod store;

use std::path::PathBuf;
use std::time::Duration;

/// Longest time of a case.
const LONGEST: Duration = Duration::from_secs(115);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(root)) = (arguments.next(), arguments.next(), arguments.next()) else {
        eprintln!("stand CASE FOLDER ROOT");
        std::process::exit(2);
    };
    let calm = std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case took too long");
        hosts::end_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| cases::run(&case, &PathBuf::from(folder), &PathBuf::from(root), !calm));
    hosts::end_all();
    std::process::exit(outcome.unwrap_or(2));
}
