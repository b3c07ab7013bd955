//! The planned stop: takes the host out of the load balancer, hands over workers and partitions, and then ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use member::Presence;
use wire::{Answer, KeyRecord, Request};

use crate::shared::Shared;

/// How long the load balancer and the peers have to notice that the host is leaving.
const LEAVING_NOTICE: Duration = Duration::from_millis(1500);
/// Workers and partitions that no host has taken by then are left to the failure detector.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of the keys sent in one request. Each key counts with the body of its answer and [`KEY_OVERHEAD`].
const MAX_BATCH_BYTES: usize = 1024 * 1024;
const KEY_OVERHEAD: usize = 512;

/// Hands over the workers and partitions of this host, which continues to serve requests meanwhile.
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

/// Whether another host of the data centre can take over. If all hosts leave at once, there is nothing to wait for.
fn has_successor(shared: &Shared) -> bool {
    !shared.membership.live_in(shared.data_centre()).is_empty()
}

fn has_responsibilities(shared: &Shared) -> bool {
    shared.held_workers.len() > 0 || !shared.partitions.owned_here().is_empty()
}

/// Hands over the idempotency keys that this host remembers. Called once no request runs here any more. If this fails,
/// the next host responsible for the keys answers "unknown" for them.
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

/// Splits keys into batches that are well below the maximum size of a frame. Always returns at least one batch, so that
/// a host that gets no keys is informed as well.
fn split_into_batches(keys: Vec<KeyRecord>) -> Vec<Vec<KeyRecord>> {
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

/// Announces that the host is gone, so that peers don't have to detect it by its silence.
pub(crate) async fn announce_gone(shared: &Arc<Shared>) {
    shared.membership.set_presence(Presence::Gone);
    tokio::time::sleep(POLL_INTERVAL * 2).await;
    events::emit!(shared.log, events::STOPPED);
}
