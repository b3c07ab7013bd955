//! Pulls facts from neighbours.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use wire::{Answer, Request};

use crate::shared::Shared;

/// Minimum time between two rounds of pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(20);

/// Pulls facts from neighbours that have newer ones, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.facts_pull_needed.notified().await;
        let behind = shared
            .membership
            .neighbours()
            .into_iter()
            .filter(|member| shared.facts.is_behind(&member.peer.host, member.incarnation, member.facts));
        join_all(behind.map(|member| pull(&shared, member))).await;
        tokio::time::sleep(MIN_PULL_INTERVAL).await;
    }
}

async fn pull(shared: &Arc<Shared>, member: member::Member) {
    let since = shared.facts.known_version(&member.peer.host, member.incarnation);
    let answer = shared.peer_client.call(member.peer.peers, &Request::Facts { since }).await;
    let Ok(Answer::Facts(delta)) = answer else { return };
    let changed = shared.facts.apply(&member.peer.host, member.incarnation, delta);
    crate::owner::observe(shared, changed);
}
