//! Metrics of this process: processor time, memory and calls to the platform.

use std::sync::Arc;
use std::time::Duration;

use store::Purpose;

use crate::shared::Shared;

const INTERVAL: Duration = Duration::from_secs(2);
/// Clock ticks per second in `/proc`. Constant on Linux.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_SIZE: u64 = 4096;

/// Updates the metrics until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut previous_counts = [0; Purpose::ALL.len()];
    loop {
        tokio::time::sleep(INTERVAL).await;
        if let Some(milliseconds) = cpu_milliseconds() {
            shared.metrics.cpu_milliseconds.set(milliseconds as i64);
        }
        if let Some(bytes) = resident_bytes() {
            shared.metrics.resident_bytes.set(bytes as i64);
        }
        let counts = shared.budget.counts();
        for (index, usage) in Purpose::ALL.into_iter().enumerate() {
            let label = metrics::UsageLabels { usage: usage.name() };
            shared.metrics.platform_calls.get_or_create(&label).inc_by(counts[index] - previous_counts[index]);
        }
        previous_counts = counts;
    }
}

/// User and system time: fields 14 and 15 of `/proc/self/stat`. Fields are counted from the end of the command name in
/// parentheses, which may contain spaces.
fn cpu_milliseconds() -> Option<u64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) * 1000 / TICKS_PER_SECOND)
}

fn resident_bytes() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_SIZE)
}
