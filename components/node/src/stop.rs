//! The planned stop: leave the balancer, hand over workers and partitions, and only then end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use member::Presence;

use crate::shared::Shared;

/// The balancer and the peers have this long to see that the host is leaving.
const NOTICE: Duration = Duration::from_millis(1500);
/// Workers and partitions that nobody took by then are left to the failure detector.
const HANDOVER: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(50);

/// Hands over all that this host is responsible for, while it still serves.
pub(crate) async fn leave(shared: &Arc<Shared>) {
    events::emit!(shared.log, events::STOPPING);
    let began = Instant::now();
    shared.gateway.leave();
    shared.membership.set_presence(Presence::Leaving);
    shared.stopping.send_replace(true);
    while has_heirs(shared) && began.elapsed() < HANDOVER && holds_something(shared) {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(NOTICE.saturating_sub(began.elapsed())).await;
}

/// Whether another host of the data centre can take over. When all leave at once, nobody is waited for.
fn has_heirs(shared: &Shared) -> bool {
    !shared.membership.live_in(shared.data_centre()).is_empty()
}

fn holds_something(shared: &Shared) -> bool {
    shared.holds.len() > 0 || !shared.partitions.owned_here().is_empty()
}

/// Says that the host is gone, so that nobody waits for its silence.
pub(crate) async fn gone(shared: &Arc<Shared>) {
    shared.membership.set_presence(Presence::Gone);
    tokio::time::sleep(LOOK * 2).await;
    events::emit!(shared.log, events::STOPPED);
}
