//! Leader election: a leader's record in the store that is attached to a lease, and a term counter that changes only
//! by compare-and-swap.
//!
//! The record tells other hosts where the leader is. The counter is authoritative: each part of the log is written on
//! the condition that it hasn't changed, so a leader that was replaced can no longer write.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::claim::{Cause, claim_if_free};
use crate::config;
use crate::heartbeat;
use crate::host::{Host, Link, Role};
use crate::message::{Alive, Answer, Call, Leader};
use crate::peers::handle;
use crate::predecessors::Predecessors;
use crate::services::{KeyValue, Read, ServiceError, WatchResult};

/// Key of the leader's record.
pub(crate) const LEADER_KEY: &str = "walkhook/leader";
/// While there is no leader's record, it is read again after this time, whatever the watch returns.
const NO_LEADER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often a follower pings the leader; also the timeout of a ping.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Number of unanswered pings after which the link is closed.
const MAX_MISSED_PINGS: u32 = 3;
/// If the leader's record is gone and its link was silent for this long (two heartbeats are missing), a follower
/// claims leadership without asking the leader.
const MAX_LINK_SILENCE: Duration = Duration::from_millis(650);

/// Follows the leader's record, and claims leadership if there is none.
pub(crate) async fn run(host: Arc<Host>) {
    loop {
        heartbeat::wait_while_leader_confirmed(&host).await;
        let Ok(found) = read_leader_record(&host).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let record_revision = found.item.as_ref().map_or(0, |item| item.revision);
        match found.item.and_then(|item| decode::<Leader>(&host, &item)) {
            Some(leader) => follow_leader(&host, leader, record_revision).await,
            None => handle_missing_record(&host, record_revision).await,
        }
        wait_for_record_change(&host, found.revision, record_revision).await;
    }
}

pub(crate) async fn read_leader_record(host: &Host) -> Result<Read, ServiceError> {
    let found = host.services.store.get(LEADER_KEY).await;
    host.note_store_answer(&found);
    found
}

/// Waits until the leader's record must be read again.
async fn wait_for_record_change(host: &Host, mut revision: u64, record_revision: u64) {
    let wait = if record_revision == 0 { NO_LEADER_POLL_INTERVAL } else { config::WATCH_TIMEOUT };
    loop {
        let change = tokio::select! {
            change = host.services.store.watch(LEADER_KEY, revision, wait) => change,
            () = host.record_changed.notified() => return,
        };
        host.note_store_answer(&change);
        match change {
            Ok(WatchResult::Changed) => return,
            Ok(WatchResult::Unchanged(_)) if record_revision == 0 => return,
            // A host without a leader gets no heartbeats, so it reads again. A host that gets heartbeats needn't.
            Ok(WatchResult::Unchanged(_)) if matches!(host.role(), Role::NoLeader) => return,
            Ok(WatchResult::Unchanged(_)) if !heartbeat::leader_confirmed_for(host).is_zero() => return,
            Ok(WatchResult::Unchanged(seen)) => revision = seen,
            Err(_) => return tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Decodes a record that names a leader. An unreadable one is logged.
pub(crate) fn decode<T: DeserializeOwned>(host: &Host, item: &KeyValue) -> Option<T> {
    match postcard::from_bytes(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            emit!(host.log, events::RECORD_UNREADABLE, "key" => &item.key, "fault" => error.to_string());
            None
        }
    }
}

/// Connects to the leader that is named in the store, unless this host follows it already.
async fn follow_leader(host: &Arc<Host>, leader: Leader, record_revision: u64) {
    if leader.host == host.settings.host {
        // A claim of this process may still be reading the log.
        let own = leader.incarnation == host.settings.incarnation;
        let current = host.claimed_term.load(Ordering::Acquire) == leader.term;
        if !(own && current) {
            // The record is from an earlier process of this host, which must have ended.
            claim_if_free(host, record_revision, Cause::OwnRecord).await;
        }
        return;
    }
    if let Role::Leading(leadership) = host.role()
        && leader.term > leadership.term
    {
        leadership.step_down("a newer leader is in the store");
        host.set_role(Role::NoLeader);
    }
    if let Role::Following(current, link) = host.role()
        && current == leader
        && !link.is_closed()
    {
        return;
    }
    connect(host, leader, Some(record_revision)).await;
}

/// Connects to a leader and keeps pinging it. `record_revision` is the revision of the record that names it.
async fn connect(host: &Arc<Host>, leader: Leader, record_revision: Option<u64>) {
    if is_superseded(host, &leader) || leader.incarnation == host.settings.incarnation {
        return;
    }
    let Some(link) = dial(host, &leader).await else {
        if matches!(host.role(), Role::Following(known, _) if known.term <= leader.term) {
            host.set_role(Role::NoLeader);
        }
        return;
    };
    let hello = Call::Hello {
        host: host.settings.host.clone(),
        address: host.settings.address.clone(),
        idle: host.idle(),
        leader: leader.clone(),
        claim_delay: host.settings.claim_delay,
        job_memory: Some(host.settings.job_memory),
    };
    let answer = link.call(hello, CONNECT_TIMEOUT).await;
    // This host may have begun to lead, or to follow a newer leader, while it waited for the answer.
    if is_superseded(host, &leader) {
        return link.close();
    }
    match answer {
        Ok(Answer::Done) => {
            notify_old_leader(host, &leader);
            host.set_role(Role::Following(leader.clone(), link.clone()));
            tokio::spawn(watch_link(host.clone(), leader, link));
        }
        Ok(_) => {
            link.close();
            emit!(host.log, events::LEADER_NOT_LEADING, "leader" => &leader.host, "term" => leader.term);
            // Another process has taken over the leader's address: the leader is gone.
            host.set_role(Role::NoLeader);
            if let Some(record_revision) = record_revision {
                claim_if_free(host, record_revision, Cause::LeaderReplaced).await;
            }
        }
        Err(_) => link.close(),
    }
}

/// Whether this host knows a newer leader than this one, or leads itself in its term or a later one.
fn is_superseded(host: &Host, leader: &Leader) -> bool {
    match host.role() {
        Role::Leading(leadership) => leadership.term >= leader.term,
        Role::Following(known, _) => known.term > leader.term,
        Role::NoLeader => false,
    }
}

/// Tells the leader followed so far that another one has replaced it; it may be cut off from the store.
fn notify_old_leader(host: &Host, leader: &Leader) {
    let Role::Following(old, link) = host.role() else { return };
    if old == *leader {
        return;
    }
    let newer = Call::Newer(leader.clone());
    tokio::spawn(async move {
        // The result doesn't matter: this leader isn't followed any more.
        let _ = link.call(newer, CONNECT_TIMEOUT).await;
        link.close();
    });
}

/// Connects to a leader that another host has named. Boxed because the future is recursive: handling calls on a link
/// leads here.
pub(crate) fn connect_to(host: Arc<Host>, leader: Leader) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { connect(&host, leader, None).await })
}

/// Replaces the leader at its own request; `predecessors` are the leaders before it. Boxed, like [`connect_to`].
pub(crate) fn take_over(
    host: Arc<Host>,
    record_revision: u64,
    predecessors: Predecessors,
) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { claim_if_free(&host, record_revision, Cause::Requested(predecessors)).await })
}

async fn dial(host: &Arc<Host>, leader: &Leader) -> Option<Arc<Link>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&leader.address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let host = host.clone();
    Some(Link::spawn(stream, move |link, call| handle(host.clone(), link, call)))
}

/// Monitors a link until it breaks. Boxed because the future is recursive: a broken link is replaced by a new one,
/// which is monitored in the same way.
fn watch_link(host: Arc<Host>, leader: Leader, link: Arc<Link>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(ping_leader(host, leader, link))
}

/// Pings the leader until the link is down or silent, or until the response names a newer leader.
async fn ping_leader(host: Arc<Host>, leader: Leader, link: Arc<Link>) {
    let mut missed = 0;
    let mut pause = Duration::ZERO;
    // Whether the last heartbeat announced another configuration than this host's.
    let mut differed = false;
    while missed < MAX_MISSED_PINGS {
        tokio::select! {
            () = link.closed() => break,
            () = tokio::time::sleep(pause) => {}
        }
        let sent = host.started.elapsed();
        match link.call(Call::Ping, PING_INTERVAL).await {
            Ok(Answer::Alive(Alive { leader: Some(now), .. })) if now.term > leader.term && follows(&host, &leader) => {
                emit!(host.log, events::LEADER_NOT_LEADING, "leader" => &leader.host, "term" => leader.term);
                connect(&host, now, None).await;
                break;
            }
            Ok(answer) => {
                (missed, pause) = (0, PING_INTERVAL);
                if let Answer::Alive(alive) = answer {
                    host.heartbeats.record(&alive, sent);
                    if follows(&host, &leader) {
                        host.isolation.set(&host, alive.isolated);
                    }
                    config::exchange_config(&host, &link, alive.config, alive.config_age, sent, differed).await;
                    differed = alive.config != host.config().version;
                }
            }
            // The next ping is sent at once: this one has already waited for the interval.
            Err(_) => (missed, pause) = (missed + 1, Duration::ZERO),
        }
    }
    link.close();
    if follows(&host, &leader) {
        host.set_role(Role::NoLeader);
        reconnect(&host, leader).await;
    }
}

/// Reconnects to a leader as long as the store names it and no other leader is known.
async fn reconnect(host: &Arc<Host>, leader: Leader) {
    // The leader may only have restarted, or its host was briefly cut off.
    while matches!(host.role(), Role::NoLeader) && !host.stopping() {
        let record_revision = match read_leader_record(host).await {
            Ok(Read { item: Some(item), .. }) if decode::<Leader>(host, &item).as_ref() == Some(&leader) => {
                Some(item.revision)
            }
            // [`run`], which follows the record, takes over. The store needn't report to its watch that a lease expired.
            Ok(_) => return host.record_changed.notify_waiters(),
            Err(_) => None,
        };
        connect(host, leader.clone(), record_revision).await;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn follows(host: &Host, leader: &Leader) -> bool {
    matches!(host.role(), Role::Following(known, _) if known == *leader)
}

/// There is no leader's record: asks the known leader whether it is alive, and claims leadership otherwise.
async fn handle_missing_record(host: &Arc<Host>, record_revision: u64) {
    match host.role() {
        Role::Leading(leadership) => leadership.request_record_rewrite(),
        Role::Following(leader, link) => {
            if let Some(cause) = ask_about_record(host, &leader, &link).await {
                claim_if_free(host, record_revision, cause).await;
            }
        }
        Role::NoLeader => claim_if_free(host, record_revision, Cause::NoLeader).await,
    }
}

/// Whether the followed leader, if any, says that it leads although its record is missing.
pub(crate) async fn leader_still_leads(host: &Host) -> bool {
    match host.role() {
        Role::Following(leader, link) => ask_about_record(host, &leader, &link).await.is_none(),
        Role::Leading(_) | Role::NoLeader => false,
    }
}

/// Asks the followed leader about its missing record. Returns why it has to be replaced, or `None` if it still leads.
async fn ask_about_record(host: &Host, leader: &Leader, link: &Link) -> Option<Cause> {
    let asked_at = host.started.elapsed();
    let silence = link.time_since_last_frame();
    let cause = match silence > MAX_LINK_SILENCE {
        true => Some(Cause::LeaderSilent),
        false => match link.call(Call::Missing, PING_INTERVAL).await {
            Ok(Answer::Done) => None,
            Ok(_) => Some(Cause::LeaderUncertain),
            Err(_) => Some(Cause::LeaderUnanswered),
        },
    };
    emit!(host.log, events::LEADER_RECORD_MISSING, "leader" => &leader.host, "term" => leader.term,
        "outcome" => cause.as_ref().map_or("the leader still leads", Cause::text), "silent_ms" => silence.as_millis() as u64,
        "took_ms" => (host.started.elapsed() - asked_at).as_millis() as u64);
    cause
}
