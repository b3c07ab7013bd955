//! Who leads: a record in the store under a lease, and a counter of terms that changes only by compare-and-swap.
//!
//! The record tells others where the leader is. The authority is the counter: each part of the log is written on the condition
//! that it is unchanged, so that a leader that was replaced can't write any more.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, bail};
use events::emit;
use rand::Rng;
use tokio::net::TcpStream;
use work::Term;

use crate::edge::{Change, Commit, Fault, Item, LeaseId, Put, Read, Transaction};
use crate::follow;
use crate::host::{Host, Link, Role};
use crate::message::{Alive, Answer, Call, Leader};
use crate::peers::handle;
use crate::reign::{Reign, Seat};
use crate::signs;

/// Key of the leader's record.
pub(crate) const LEADER_KEY: &str = "walkhook/leader";
/// Key of the counter of terms.
pub(crate) const TERM_KEY: &str = "walkhook/chain";
/// Key of the last leader that claimed: it outlasts the lease of the leader's record.
const LAST_KEY: &str = "walkhook/last";
/// While there is no leader's record it is looked for again after this time, whatever the watch says.
const VACANT: Duration = Duration::from_millis(250);
/// A connection to another host is given up after this time.
const CONNECT: Duration = Duration::from_millis(400);
/// A claim without an answer is given up after this time.
const CLAIM: Duration = Duration::from_millis(900);
/// A lease is renewed this often within its time to live.
pub(crate) const RENEWALS: u32 = 4;
/// Pause after a failed attempt.
const PAUSE: Duration = Duration::from_millis(100);
/// A follower asks the leader for a sign of life this often.
const PING: Duration = Duration::from_millis(300);
/// Unanswered signs of life after which the link is given up.
const PINGS_MISSED: u32 = 3;
/// A leader whose record has gone and whose link has been silent for so long is claimed over without asking it: two signs
/// of life are missing.
const LINK_SILENCE: Duration = Duration::from_millis(650);
/// Hosts that see the leader gone wait up to this long, so that they don't all claim at once.
const SPREAD: Duration = Duration::from_millis(40);

/// What is known of the leader before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Before {
    /// It ended its reign itself and gives no leases any more.
    Ended,
    /// It may go on for a while.
    Unknown,
}

/// Follows the leader's record, and claims leadership when there is none.
pub(crate) async fn run(host: Arc<Host>) {
    loop {
        signs::leads(&host).await;
        let Ok(found) = leader_item(&host).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let record = found.item.as_ref().map_or(0, |item| item.revision);
        match found.item.and_then(|item| read_leader(&host, &item)) {
            Some(leader) => follow(&host, leader, record).await,
            None => vacancy(&host, record).await,
        }
        wait_for_change(&host, found.revision, record).await;
    }
}

/// Reads the leader's record from the store.
async fn leader_item(host: &Host) -> Result<Read, Fault> {
    let found = host.edges.store.get(LEADER_KEY).await;
    host.hear_store(&found);
    found
}

/// Waits until the leader's record is to be read again.
async fn wait_for_change(host: &Host, mut revision: u64, record: u64) {
    let wait = if record == 0 { VACANT } else { follow::WATCH };
    loop {
        let change = host.edges.store.changed(LEADER_KEY, revision, wait).await;
        host.hear_store(&change);
        match change {
            Ok(Change::Some) => return,
            Ok(Change::Nothing(_)) if record == 0 => return,
            // A host without a leader has nobody who tells it: it looks again. One that is told needn't look.
            Ok(Change::Nothing(_)) if matches!(host.role(), Role::Nobody) => return,
            Ok(Change::Nothing(_)) if !signs::leads_for(host).is_zero() => return,
            Ok(Change::Nothing(seen)) => revision = seen,
            Err(_) => return tokio::time::sleep(PAUSE).await,
        }
    }
}

fn read_leader(host: &Host, item: &Item) -> Option<Leader> {
    match postcard::from_bytes(&item.value) {
        Ok(leader) => Some(leader),
        Err(fault) => {
            emit!(host.log, events::RECORD_UNREADABLE, "key" => LEADER_KEY, "fault" => fault.to_string());
            None
        }
    }
}

/// Links to the leader that the store names, unless that is known already.
async fn follow(host: &Arc<Host>, leader: Leader, record: u64) {
    if leader.host == host.settings.host {
        // A claim of this life may still be reading the log.
        let own = leader.life == host.settings.life;
        let seated = host.seated.load(Ordering::Acquire) == leader.term;
        if !(own && seated) {
            // The record is of an earlier life of this process, which surely has ended.
            claim_if_free(host, record, Before::Unknown).await;
        }
        return;
    }
    if let Role::Leading(reign) = host.role()
        && leader.term > reign.term
    {
        reign.depose("a newer leader is in the store");
        host.set_role(Role::Nobody);
    }
    if let Role::Following(current, link) = host.role()
        && current == leader
        && !link.is_closed()
    {
        return;
    }
    connect(host, leader, Some(record)).await;
}

/// Links to a leader and keeps asking for signs of life. `record` is the revision of the record that names it.
async fn connect(host: &Arc<Host>, leader: Leader, record: Option<u64>) {
    let leads = matches!(host.role(), Role::Leading(reign) if reign.term >= leader.term);
    if leads || leader.life == host.settings.life {
        return;
    }
    let Some(link) = dial(host, &leader).await else {
        if !matches!(host.role(), Role::Nobody | Role::Leading(_)) {
            host.set_role(Role::Nobody);
        }
        return;
    };
    let hello = Call::Hello {
        host: host.settings.host.clone(),
        address: host.settings.address.clone(),
        idle: host.idle(),
        leader: leader.clone(),
        claim_delay: host.settings.claim_delay,
    };
    match link.call(hello, CONNECT).await {
        Ok(Answer::Done) => {
            tell_old_leader(host, &leader);
            host.set_role(Role::Following(leader.clone(), link.clone()));
            tokio::spawn(watch_link(host.clone(), leader, link));
        }
        Ok(_) => {
            link.close();
            emit!(host.log, events::LEADER_DENIES, "leader" => &leader.host, "term" => leader.term);
            // A new life is at the leader's address: the one that led is gone.
            host.set_role(Role::Nobody);
            if let Some(record) = record {
                claim_if_free(host, record, Before::Unknown).await;
            }
        }
        Err(_) => link.close(),
    }
}

/// Tells the leader that this host follows so far that another one has replaced it: it may be cut off from the store.
fn tell_old_leader(host: &Host, leader: &Leader) {
    let Role::Following(old, link) = host.role() else { return };
    if old == *leader {
        return;
    }
    let newer = Call::Newer(leader.clone());
    tokio::spawn(async move {
        // Whether it answers or not, it isn't followed any more.
        let _ = link.call(newer, CONNECT).await;
        link.close();
    });
}

/// Links to a leader that another host has named. Boxed, since links answer calls that lead here.
pub(crate) fn redirect(host: Arc<Host>, leader: Leader) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { connect(&host, leader, None).await })
}

/// Replaces the leader at its own wish. Boxed, like [`redirect`].
pub(crate) fn take_over(host: Arc<Host>, record: u64) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move { claim_if_free(&host, record, Before::Ended).await })
}

async fn dial(host: &Arc<Host>, leader: &Leader) -> Option<Arc<Link>> {
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(&leader.address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let host = host.clone();
    Some(Link::spawn(stream, move |link, call| handle(host.clone(), link, call)))
}

/// Keeps a link until it breaks. Boxed: a link that breaks is dialled again, and the new one is watched likewise.
fn watch_link(host: Arc<Host>, leader: Leader, link: Arc<Link>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(keep_link(host, leader, link))
}

/// Asks the leader for signs of life until the link is down or unanswered, or a newer leader is named.
async fn keep_link(host: Arc<Host>, leader: Leader, link: Arc<Link>) {
    let mut missed = 0;
    let mut pause = Duration::ZERO;
    // Whether the last sign of life showed another configuration than this host's.
    let mut differed = false;
    while missed < PINGS_MISSED {
        tokio::select! {
            () = link.closed() => break,
            () = tokio::time::sleep(pause) => {}
        }
        let sent = host.started.elapsed();
        match link.call(Call::Ping, PING).await {
            Ok(Answer::Alive(Alive { leader: Some(now), .. })) if now.term > leader.term && follows(&host, &leader) => {
                emit!(host.log, events::LEADER_DENIES, "leader" => &leader.host, "term" => leader.term);
                connect(&host, now, None).await;
                break;
            }
            Ok(answer) => {
                (missed, pause) = (0, PING);
                if let Answer::Alive(alive) = answer {
                    host.signs.take(&alive, sent);
                    follow::compare(&host, &link, alive.config, alive.config_age, sent, differed).await;
                    differed = alive.config != host.config().version;
                }
            }
            // The next is sent at once: this one has waited for an answer as long.
            Err(_) => (missed, pause) = (missed + 1, Duration::ZERO),
        }
    }
    link.close();
    if follows(&host, &leader) {
        host.set_role(Role::Nobody);
        reconnect(&host, leader).await;
    }
}

/// Links to a leader again while the store names it, and no other one is known.
async fn reconnect(host: &Arc<Host>, leader: Leader) {
    // The leader may only have been restarted, or its host cut off for a moment.
    while matches!(host.role(), Role::Nobody) && !host.stopping() {
        let record = match leader_item(host).await {
            Ok(Read { item: Some(item), .. }) if read_leader(host, &item).as_ref() == Some(&leader) => {
                Some(item.revision)
            }
            // The loop that follows the record takes over.
            Ok(_) => return,
            Err(_) => None,
        };
        connect(host, leader.clone(), record).await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Term of the leader that this host follows.
fn followed(host: &Host) -> Option<Term> {
    match host.role() {
        Role::Following(leader, _) => Some(leader.term),
        Role::Leading(_) | Role::Nobody => None,
    }
}

fn follows(host: &Host, leader: &Leader) -> bool {
    matches!(host.role(), Role::Following(known, _) if known == *leader)
}

/// There is no leader's record: asks the leader that is still known whether it lives, and claims otherwise.
async fn vacancy(host: &Arc<Host>, record: u64) {
    match host.role() {
        Role::Leading(reign) => reign.restore_record(),
        Role::Following(_, link) => {
            let silent = link.time_since_last_frame() > LINK_SILENCE;
            if silent || link.call(Call::Missing, PING).await != Ok(Answer::Done) {
                claim_if_free(host, record, Before::Unknown).await;
            }
        }
        Role::Nobody => claim_if_free(host, record, Before::Unknown).await,
    }
}

/// Claims leadership, unless this host is about to stop. `record` is the revision of the record that the claim
/// replaces, 0 for none: a leader that came in between stays.
async fn claim_if_free(host: &Arc<Host>, record: u64, before: Before) {
    if host.stopping() || matches!(host.role(), Role::Leading(_)) {
        return;
    }
    let known = followed(host);
    let begun = term_before(host, before).await;
    let spread = rand::rng().random_range(Duration::ZERO..SPREAD);
    let delay = match before {
        Before::Ended => Duration::ZERO,
        Before::Unknown => host.settings.claim_delay,
    };
    tokio::time::sleep(spread + delay).await;
    // A leader came and went meanwhile: its successor is waited for anew. Else a host behind a slow link, whose wait had begun with the
    // leader before, wins the claim, and nothing is accepted while it reads the log.
    if before == Before::Unknown && followed(host) > known {
        return;
    }
    // Of hundreds of hosts that see the leader gone all but the first few find its successor's record by one read.
    if before == Before::Unknown && !still_free(host, record).await {
        return;
    }
    // One claim at a time: the record's follower and the old leader may both ask for it.
    let _claiming = host.claiming.lock().await;
    if host.seated.load(Ordering::Acquire) != 0 {
        return;
    }
    if let Err(fault) = claim(host, record, before, begun).await {
        emit!(host.log, events::CLAIM_FAILED, "fault" => format!("{fault:#}"));
        tokio::time::sleep(PAUSE).await;
    }
}

/// Whether the leader's record is still that of this revision, 0 for none.
async fn still_free(host: &Host, record: u64) -> bool {
    let found = leader_item(host).await;
    found.is_ok_and(|found| found.item.map_or(0, |item| item.revision) == record)
}

/// The newest term as a weak host begins to wait: if it rises meanwhile, the wait begins anew. The host may be too busy waiting to
/// follow that leader. Else weak hosts lead one after the other, each of them reading the log for most of its time.
async fn term_before(host: &Host, before: Before) -> Option<Term> {
    if before == Before::Ended || host.settings.claim_delay.is_zero() {
        return None;
    }
    let item = host.edges.store.get(TERM_KEY).await.ok()?.item?;
    postcard::from_bytes(&item.value).ok()
}

/// Writes the next term and the leader's record in one transaction, then leads.
async fn claim(host: &Arc<Host>, record: u64, before: Before, begun: Option<Term>) -> anyhow::Result<()> {
    let store = &host.edges.store;
    let lease = async { store.lease(host.settings.lease_ttl).await.context("creating a lease") };
    let counter = async { store.get(TERM_KEY).await.context("reading the counter of terms") };
    let last = async { store.get(LAST_KEY).await.context("reading who led last") };
    // At once: a slow store takes its time for each.
    let (lease, counter, last) = tokio::try_join!(lease, counter, last)?;
    let (revision, old): (u64, Term) = match &counter.item {
        None => (0, 0),
        Some(item) => (item.revision, postcard::from_bytes(&item.value).context("the counter of terms")?),
    };
    if begun.is_some_and(|begun| begun != old) {
        bail!("a leader came and went during the wait");
    }
    let last = last.item.and_then(|item| read_leader(host, &item)).filter(|last| last.term == old);
    let term = old + 1;
    let leader = Leader {
        host: host.settings.host.clone(),
        life: host.settings.life,
        address: host.settings.address.clone(),
        term,
    };
    let confirmed = host.started.elapsed();
    let transaction = Transaction {
        expected: vec![(TERM_KEY.to_owned(), revision), (LEADER_KEY.to_owned(), record)],
        puts: vec![term_put(term)?, leader_put(&leader, lease)?, last_put(&leader)?],
        removes: Vec::new(),
    };
    let revision = match store.commit(&transaction, CLAIM).await {
        Ok(Commit::Done(revision)) => revision,
        Ok(Commit::Conflict(_)) => bail!("another host was faster"),
        Ok(Commit::NoLease) => bail!("the lease has run out"),
        Err(Fault::Unknown(fault)) => claimed(host, &leader).await.context(fault)?,
        Err(fault) => return Err(fault.into()),
    };
    emit!(host.log, events::CLAIMED, "term" => term, "revision" => revision);
    lead(host, Seat { term, revision, lease, leader, last, record: revision, confirmed }, before).await
}

/// Renews the lease of a claim until its reign begins and does so itself.
async fn keep_lease(host: Arc<Host>, lease: LeaseId) {
    loop {
        tokio::time::sleep(host.settings.lease_ttl / RENEWALS).await;
        let sent = host.started.elapsed();
        match host.edges.store.keep(lease).await {
            Ok(true) => host.claim_kept.note(sent),
            // The reign finds out, and writes the record anew.
            Ok(false) => {}
            Err(fault) => emit!(host.log, events::PLATFORM_FAILED, "call" => "renewal of the lease",
                "fault" => fault.to_string()),
        }
    }
}

/// Begins the reign that a claim has won. When the log can't be read, the host may claim again.
async fn lead(host: &Arc<Host>, seat: Seat, before: Before) -> anyhow::Result<()> {
    host.claim_kept.note(seat.confirmed);
    host.seated.store(seat.term, Ordering::Release);
    // A long log over a slow link takes longer to read than the lease lasts.
    let keeper = tokio::spawn(keep_lease(host.clone(), seat.lease)).abort_handle();
    let begun = Reign::begin(host.clone(), seat, before).await;
    keeper.abort();
    let reign = match begun {
        Ok(reign) => reign,
        Err(fault) => {
            host.seated.store(0, Ordering::Release);
            return Err(fault.context("reading the log"));
        }
    };
    host.set_role(Role::Leading(reign));
    Ok(())
}

/// Whether a claim without an answer was done.
async fn claimed(host: &Host, leader: &Leader) -> anyhow::Result<u64> {
    let item = host.edges.store.get(TERM_KEY).await?.item.context("no counter of terms")?;
    let now: Term = postcard::from_bytes(&item.value)?;
    let record = host.edges.store.get(LEADER_KEY).await?.item.context("no leader's record")?;
    if now != leader.term || read_leader(host, &record).as_ref() != Some(leader) {
        bail!("the claim was not done");
    }
    Ok(item.revision)
}

fn term_put(term: Term) -> anyhow::Result<Put> {
    Ok(Put { key: TERM_KEY.to_owned(), value: postcard::to_stdvec(&term)?, lease: 0 })
}

fn last_put(leader: &Leader) -> anyhow::Result<Put> {
    Ok(Put { key: LAST_KEY.to_owned(), value: postcard::to_stdvec(leader)?, lease: 0 })
}

pub(crate) fn leader_put(leader: &Leader, lease: LeaseId) -> anyhow::Result<Put> {
    Ok(Put { key: LEADER_KEY.to_owned(), value: postcard::to_stdvec(leader)?, lease })
}
