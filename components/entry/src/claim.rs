//! Claims of leadership: when a host may claim, and what it does until its leadership begins.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, bail};
use events::emit;
use rand::Rng;
use work::Term;

use crate::election::{LEADER_KEY, decode, leader_still_leads, read_leader_record};
use crate::host::{Follower, Host, Role};
use crate::leadership::{Claim, Leadership, yielding};
use crate::message::Leader;
use crate::predecessors::{LastLeader, Predecessors};
use crate::services::{CommitOutcome, LeaseId, Put, ServiceError, Transaction};

/// Key of the term counter.
pub(crate) const TERM_KEY: &str = "walkhook/chain";
/// Key that names the last leader that won a claim; it outlives the lease of the leader's record.
const LAST_LEADER_KEY: &str = "walkhook/last";
/// Timeout for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of renewals within a lease's time to live.
pub(crate) const RENEWALS_PER_LEASE: u32 = 4;
/// Delay after a failed claim.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum random delay before a claim, so that hosts which see the leader gone don't all claim at once.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(40);

/// Why a host claims leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No leader is known.
    NoLeader,
    /// The record names an earlier process of this host.
    OwnRecord,
    /// Another process answers at the leader's address.
    LeaderReplaced,
    /// The leader was silent for too long to be asked.
    LeaderSilent,
    /// The leader didn't answer.
    LeaderUnanswered,
    /// The leader said that it isn't certain to lead.
    LeaderUncertain,
    /// The leader, which has ended, asked this host to take over. These leaders before it may still be active.
    Requested(Predecessors),
}

impl Cause {
    /// Whether a followed leader whose record is missing didn't say that it still leads.
    fn is_leader_doubted(&self) -> bool {
        matches!(self, Cause::LeaderSilent | Cause::LeaderUnanswered | Cause::LeaderUncertain)
    }

    /// Description for the log.
    pub(crate) fn text(&self) -> &'static str {
        match self {
            Cause::NoLeader => "no leader is known",
            Cause::OwnRecord => "the record names an earlier process of this host",
            Cause::LeaderReplaced => "another process answers at the leader's address",
            Cause::LeaderSilent => "the leader is silent",
            Cause::LeaderUnanswered => "the leader doesn't answer",
            Cause::LeaderUncertain => "the leader isn't certain to lead",
            Cause::Requested(_) => "the leader asks for it",
        }
    }
}

/// Claims leadership, unless this host is stopping. `record_revision` is the revision of the record that the claim
/// replaces, 0 for none: a leader that was elected in between is kept.
pub(crate) async fn claim_if_free(host: &Arc<Host>, record_revision: u64, cause: Cause) {
    if host.stopping() || matches!(host.role(), Role::Leading(_)) {
        return;
    }
    let began_at = host.started.elapsed();
    let known = followed_term(host);
    let start_term = term_at_wait_start(host, &cause).await;
    let jitter = rand::rng().random_range(Duration::ZERO..MAX_CLAIM_JITTER);
    let requested = matches!(cause, Cause::Requested(_));
    let delay = if requested { Duration::ZERO } else { host.settings.claim_delay };
    tokio::time::sleep(jitter + delay).await;
    // A leader was elected and lost during the wait: waits again, for its successor. Otherwise a host behind a slow
    // link, which began to wait under the previous leader, would win the claim, and no jobs would be accepted while
    // it reads the log.
    if !requested && followed_term(host) > known {
        return;
    }
    // What is known of the leader is as old as the wait. It may have become certain again without having written its
    // record yet.
    if !delay.is_zero() && cause.is_leader_doubted() && leader_still_leads(host).await {
        return;
    }
    // If hundreds of hosts see the leader gone, all but the first few find its successor's record with a single read.
    if !requested && !record_unchanged(host, record_revision).await {
        return;
    }
    // One claim at a time: the loop that follows the record and the old leader may both request one.
    let _guard = host.claim_lock.lock().await;
    if host.stopping() || host.claimed_term.load(Ordering::Acquire) != 0 {
        return;
    }
    if let Err(error) = claim(host, record_revision, cause, began_at, start_term).await {
        emit!(host.log, events::LEADERSHIP_CLAIM_FAILED, "fault" => format!("{error:#}"));
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Term of the leader that this host follows.
fn followed_term(host: &Host) -> Option<Term> {
    match host.role() {
        Role::Following(leader, _) => Some(leader.term),
        Role::Leading(_) | Role::NoLeader => None,
    }
}

/// Whether the leader's record still has this revision, 0 for none.
async fn record_unchanged(host: &Host, record_revision: u64) -> bool {
    let found = read_leader_record(host).await;
    found.is_ok_and(|found| found.item.map_or(0, |item| item.revision) == record_revision)
}

/// Term at which a weak host starts waiting; if the term has changed after the wait, the host waits again. It may be
/// too busy to notice the new leader by following it. Otherwise weak hosts would lead one after the other, each
/// reading the log for most of its time as leader.
async fn term_at_wait_start(host: &Host, cause: &Cause) -> Option<Term> {
    if matches!(cause, Cause::Requested(_)) || host.settings.claim_delay.is_zero() {
        return None;
    }
    let item = host.services.store.get(TERM_KEY).await.ok()?.item?;
    postcard::from_bytes(&item.value).ok()
}

/// Writes the next term and the leader's record in one transaction, then starts to lead. `began_at` is when this host
/// first saw the cause.
async fn claim(
    host: &Arc<Host>,
    record_revision: u64,
    cause: Cause,
    began_at: Duration,
    start_term: Option<Term>,
) -> anyhow::Result<()> {
    let store = &host.services.store;
    let lease_requested_at = host.started.elapsed();
    let lease = async { store.grant_lease(host.settings.lease_ttl).await.context("creating a lease") };
    let counter = async { store.get(TERM_KEY).await.context("reading the term counter") };
    let last_leader = async { store.get(LAST_LEADER_KEY).await.context("reading the last leader") };
    // Concurrently, since each of these calls is slow on a slow store.
    let (lease, counter, last_leader) = tokio::try_join!(lease, counter, last_leader)?;
    let (revision, old): (u64, Term) = match &counter.item {
        None => (0, 0),
        Some(item) => (item.revision, postcard::from_bytes(&item.value).context("decoding the term counter")?),
    };
    if start_term.is_some_and(|start_term| start_term != old) {
        bail!("the term has changed during the claim delay");
    }
    let last_leader = last_leader.item.and_then(|item| decode::<LastLeader>(host, &item));
    let last_leader = last_leader.filter(|last_leader| last_leader.leader.term == old);
    // A record that was there until now may belong to a leader that has renewed its lease.
    let vacant_for = match record_revision {
        0 => sched::Limits::min_store_lease(host.settings.lease_ttl),
        _ => Duration::ZERO,
    };
    let predecessors = match old {
        0 => Predecessors::default(),
        _ => predecessors(host, last_leader, &cause, vacant_for),
    };
    let term = old + 1;
    let leader = Leader {
        host: host.settings.host.clone(),
        incarnation: host.settings.incarnation,
        address: host.settings.address.clone(),
        term,
    };
    let confirmed_at = host.started.elapsed();
    let transaction = Transaction {
        expected: vec![(TERM_KEY.to_owned(), revision), (LEADER_KEY.to_owned(), record_revision)],
        puts: vec![term_put(term)?, leader_put(&leader, lease)?, last_leader_put(&leader, &predecessors)?],
        removes: Vec::new(),
    };
    let revision = match store.commit(&transaction, CLAIM_TIMEOUT).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict(_)) => bail!("another host has claimed leadership first"),
        Ok(CommitOutcome::NoLease) => bail!("the lease has expired"),
        Err(ServiceError::Unknown(error)) => verify_claim(host, &leader).await.context(error)?,
        Err(error) => return Err(error.into()),
    };
    let answered_at = host.started.elapsed();
    emit!(host.log, events::LEADERSHIP_CLAIMED, "term" => term, "revision" => revision, "why" => cause.text(),
        "predecessors_active_ms" => predecessors.active_for().as_millis() as u64,
        "predecessors_leases_ms" => predecessors.leases_for().map(|leases_for| leases_for.as_millis() as u64),
        "claim_delay_ms" => host.settings.claim_delay.as_millis() as u64,
        "waited_ms" => (confirmed_at - began_at).as_millis() as u64);
    begin_leadership(
        host,
        Claim {
            term,
            revision,
            lease,
            leader,
            predecessors,
            record_revision: revision,
            confirmed_at,
            answered_at,
            lease_requested_at,
            record_lease: lease,
        },
    )
    .await
}

/// The leaders before a claim that may still be active. An earlier process of this host must have ended.
fn predecessors(host: &Host, last_leader: Option<LastLeader>, cause: &Cause, vacant_for: Duration) -> Predecessors {
    let limits = &host.settings.limits;
    let mut predecessors = match (cause, last_leader) {
        (_, None) => Predecessors::unknown(limits),
        (Cause::Requested(predecessors), Some(_)) => predecessors.clone().before_ended_leader(limits),
        (_, last_leader) => Predecessors::before_claim(last_leader, limits, vacant_for),
    };
    predecessors.remove(|leader| leader.address == host.settings.address);
    predecessors
}

/// Renews the lease of a claim until its leadership begins, which then renews it itself.
async fn renew_claim_lease(host: Arc<Host>, lease: LeaseId) {
    loop {
        tokio::time::sleep(host.settings.lease_ttl / RENEWALS_PER_LEASE).await;
        let sent = host.started.elapsed();
        match host.services.store.renew_lease(lease).await {
            Ok(true) => host.claim_renewed_at.advance(sent),
            // The new leadership notices this and writes the record again.
            Ok(false) => {}
            Err(error) => emit!(host.log, events::PLATFORM_FAILED, "call" => "renewal of the lease",
                "fault" => error.to_string()),
        }
    }
}

/// How the time between a claim and its leadership ended.
enum Beginning {
    /// The log is read.
    Leading(Arc<Leadership>),
    /// A stronger follower is to lead instead.
    Yielding(Follower),
    /// This host is stopping.
    Stopping,
}

/// Starts the leadership won by a claim, or gives the claim up. If the log can't be read, the host may claim again.
async fn begin_leadership(host: &Arc<Host>, claim: Claim) -> anyhow::Result<()> {
    host.claim_renewed_at.advance(claim.confirmed_at);
    host.claimed_term.store(claim.term, Ordering::Release);
    // Reading a long log over a slow link may take longer than the lease lasts.
    let keeper = tokio::spawn(renew_claim_lease(host.clone(), claim.lease)).abort_handle();
    let beginning = tokio::select! {
        beginning = begin_or_yield(host, &claim) => beginning,
        () = host.wait_for_stop() => Ok(Beginning::Stopping),
    };
    keeper.abort();
    if !matches!(beginning, Ok(Beginning::Leading(_))) {
        host.claimed_term.store(0, Ordering::Release);
    }
    match beginning.context("reading the log")? {
        Beginning::Leading(leadership) => host.set_role(Role::Leading(leadership)),
        Beginning::Yielding(follower) => yielding::yield_claim(host, &claim, &follower).await,
        Beginning::Stopping => give_up(host, &claim).await,
    }
    Ok(())
}

/// Reads the log, unless a stronger follower that the store answers can do so instead.
async fn begin_or_yield(host: &Arc<Host>, claim: &Claim) -> anyhow::Result<Beginning> {
    let stronger = tokio::select! {
        leadership = Leadership::begin(host.clone(), claim.clone()) => return Ok(Beginning::Leading(leadership?)),
        stronger = yielding::wait_for_stronger(host) => stronger,
    };
    // The log is no longer being read: over a slow link, answers would arrive after it.
    match yielding::probe(stronger).await {
        Some(follower) => Ok(Beginning::Yielding(follower)),
        None => Ok(Beginning::Leading(Leadership::begin(host.clone(), claim.clone()).await?)),
    }
}

/// Gives a claim up for a planned stop, by deleting the leader's record.
async fn give_up(host: &Host, claim: &Claim) {
    emit!(host.log, events::LEADERSHIP_ENDED, "term" => claim.term, "why" => "planned stop while reading the log");
    if let Err(error) = host.services.store.revoke_lease(claim.lease).await {
        emit!(host.log, events::PLATFORM_FAILED, "call" => "revocation of the lease", "fault" => error.to_string());
    }
    host.disconnect_followers();
}

/// Checks whether an unanswered claim was committed. Returns the revision of the term counter.
async fn verify_claim(host: &Host, leader: &Leader) -> anyhow::Result<u64> {
    let item = host.services.store.get(TERM_KEY).await?.item.context("the term counter is missing")?;
    let now: Term = postcard::from_bytes(&item.value)?;
    let record_revision = host.services.store.get(LEADER_KEY).await?.item.context("the leader's record is missing")?;
    if now != leader.term || decode::<Leader>(host, &record_revision).as_ref() != Some(leader) {
        bail!("the claim was not committed");
    }
    Ok(item.revision)
}

fn term_put(term: Term) -> anyhow::Result<Put> {
    Ok(Put { key: TERM_KEY.to_owned(), value: postcard::to_stdvec(&term)?, lease: 0 })
}

pub(crate) fn last_leader_put(leader: &Leader, predecessors: &Predecessors) -> anyhow::Result<Put> {
    let last_leader = LastLeader { leader: leader.clone(), predecessors: predecessors.clone(), bounded_leases: true };
    Ok(Put { key: LAST_LEADER_KEY.to_owned(), value: postcard::to_stdvec(&last_leader)?, lease: 0 })
}

pub(crate) fn leader_put(leader: &Leader, lease: LeaseId) -> anyhow::Result<Put> {
    Ok(Put { key: LEADER_KEY.to_owned(), value: postcard::to_stdvec(leader)?, lease })
}
