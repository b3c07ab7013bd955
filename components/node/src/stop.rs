//! The planned stop: leave the balancer, hand over workers and partitions, and only then end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use member::Presence;
use wire::{Answer, Remembered, Request};

use crate::shared::Shared;

/// The balancer and the peers have this long to see that the host is leaving.
const LEAVING_NOTICE: Duration = Duration::from_millis(1500);
/// Workers and partitions that nobody took by then are left to the failure detector.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes of keys that are sent at once, and what a key counts beside its answer's body.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
const KEY_OVERHEAD: usize = 512;

/// Hands over all that this host is responsible for, while it still serves.
pub(crate) async fn leave(shared: &Arc<Shared>) {
    events::emit!(shared.log, events::STOPPING);
    let started_at = Instant::now();
    shared.gateway.leave();
    shared.membership.set_presence(Presence::Leaving);
    shared.stopping.send_replace(true);
    while has_successor(shared) && started_at.elapsed() < HANDOVER_TIMEOUT && has_responsibilities(shared) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(LEAVING_NOTICE.saturating_sub(started_at.elapsed())).await;
}

/// Whether another host of the data centre can take over. When all leave at once, nobody is waited for.
fn has_successor(shared: &Shared) -> bool {
    !shared.membership.live_in(shared.data_centre()).is_empty()
}

fn has_responsibilities(shared: &Shared) -> bool {
    shared.held_workers.len() > 0 || !shared.partitions.owned_here().is_empty()
}

/// Hands over the keys that this host remembers, once nothing runs here any more. Where that fails, the next
/// home answers "unknown" for them.
pub(crate) async fn hand_over_keys(shared: &Arc<Shared>) {
    for (host, keys) in shared.gateway.keys_to_hand_over() {
        let Some(member) = shared.membership.get(&host) else { continue };
        let mut batches = split_into_batches(keys).into_iter().peekable();
        while let Some(keys) = batches.next() {
            let last = batches.peek().is_none();
            let request = Request::Keys { from: shared.own.host.clone(), keys, last };
            let answer = shared.peer_client.call(member.peer.peers, &request).await;
            if answer != Ok(Answer::Done) {
                break;
            }
        }
    }
}

/// Splits keys so that each part fits a frame with room to spare; there is always one part, so that a host that
/// gets nothing is told so.
fn split_into_batches(keys: Vec<Remembered>) -> Vec<Vec<Remembered>> {
    let mut batches = vec![Vec::new()];
    let mut size = 0;
    for key in keys {
        let length = key.answer.as_ref().map_or(0, |answer| answer.body.len()) + KEY_OVERHEAD;
        if size + length > MAX_BATCH_BYTES {
            batches.push(Vec::new());
            size = 0;
        }
        size += length;
        if let Some(batch) = batches.last_mut() {
            batch.push(key);
        }
    }
    batches
}

/// Says that the host is gone, so that nobody waits for its silence.
pub(crate) async fn announce_gone(shared: &Arc<Shared>) {
    shared.membership.set_presence(Presence::Gone);
    tokio::time::sleep(POLL_INTERVAL * 2).await;
    events::emit!(shared.log, events::STOPPED);
}
