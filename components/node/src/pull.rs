//! Pulls the neighbours' facts.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use wire::{Answer, Request};

use crate::shared::Shared;

/// Two rounds of pulls keep at least this distance.
const SPACING: Duration = Duration::from_millis(20);

/// Pulls facts from neighbours that have newer ones, until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>) {
    loop {
        shared.facts_behind.notified().await;
        let behind = shared
            .membership
            .neighbours()
            .into_iter()
            .filter(|member| shared.facts.is_behind(&member.peer.host, member.incarnation, member.facts));
        join_all(behind.map(|member| pull(&shared, member))).await;
        tokio::time::sleep(SPACING).await;
    }
}

async fn pull(shared: &Arc<Shared>, member: member::Member) {
    let since = shared.facts.known_version(&member.peer.host, member.incarnation);
    let answer = shared.links.call(member.peer.peers, &Request::Facts { since }).await;
    let Ok(Answer::Facts(delta)) = answer else { return };
    let changed = shared.facts.apply(&member.peer.host, member.incarnation, delta);
    crate::owner::observe(shared, changed);
}
