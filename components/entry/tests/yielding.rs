//! Claims and leaderships that a host gives up in favour of another one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use entry::{Host, Role};
use fakes::cell::Cell;
use support::{leads, new_cell, wait_until};

/// Claim delay of a weak host.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// Starts a host that claims leadership and never finishes reading the log.
async fn start_reading(cell: &Arc<Cell>, name: &str, claim_delay: Duration) -> Arc<Host> {
    cell.silence_ranges(name);
    let host = cell.start_host_with_claim_delay(name, claim_delay).await.expect("a free port");
    wait_until("it claims", || !cell.values("walkhook/leader").is_empty()).await;
    host
}

#[tokio::test]
async fn a_weak_host_yields_to_a_strong_one_before_it_has_read_the_log() {
    let cell = new_cell();
    let weak = start_reading(&cell, "weak", WEAK_CLAIM_DELAY).await;
    let strong = cell.start_host("strong").await.expect("a free port");
    wait_until("the strong one leads", || leads(&strong)).await;
    wait_until("the weak one follows", || matches!(weak.role(), Role::Following(..))).await;
}

#[tokio::test]
async fn a_host_that_stops_while_it_reads_the_log_gives_up_its_claim() {
    let cell = new_cell();
    let stopping = start_reading(&cell, "stopping", Duration::ZERO).await;
    let other = cell.start_host("other").await.expect("a free port");
    wait_until("the other follows", || matches!(other.role(), Role::Following(..))).await;
    stopping.stop().await;
    wait_until("the other leads", || leads(&other)).await;
}
