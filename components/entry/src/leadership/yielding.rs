//! Hands leadership over to another host when only that one can reach the store, or when that one is stronger.
//!
//! Otherwise the other hosts would wait until the lease has expired, or a weak host would lead for as long as it
//! lives. A weak host yields already while it reads the log, which is what it is slowest at.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use futures_util::FutureExt;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use crate::election::LEADER_KEY;
use crate::host::{Follower, Host};
use crate::isolation;
use crate::leadership::{Claim, Leadership};
use crate::message::{Answer, Call};

/// How often the leader checks whether the store answers it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// If the store was silent for this long, the leader checks whether followers can reach it. The lease is renewed
/// every 250 ms.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(300);
/// The store may take at least this long to answer the leader's own read ...
const MIN_OWN_TIMEOUT: Duration = Duration::from_millis(400);
/// ... and this many times as long as a follower waited for its answer. A slow store is slow for all hosts, and the
/// leader sends more requests.
const OWN_TIMEOUT_FACTOR: u32 = 3;
/// Maximum number of followers asked at once.
const MAX_PROBED: usize = 8;
/// How long a follower may take to check the store.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next check if no follower could reach the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How often a weak leader looks for a stronger follower.
const STRONGER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same while a host that has claimed reads the log.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a leader yields to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The store answers the follower but not this host.
    Outage,
    /// The follower is a stronger host.
    Weakness,
}

impl Cause {
    /// Description for the log.
    fn text(self) -> &'static str {
        match self {
            Cause::Outage => "the store answers a follower and not this host",
            Cause::Weakness => "a follower is a stronger host",
        }
    }
}

/// Yields to a follower when an outage affects only this host, or when a follower is stronger.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    let mut checked = leadership.host.started.elapsed();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = leadership.host.started.elapsed();
        isolation::check(&leadership);
        if leadership.store_silence() >= MAX_STORE_SILENCE {
            match find_reachable_follower(&leadership).await {
                Some(follower) => yield_to(&leadership, &follower, Cause::Outage).await,
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        } else if now - checked >= STRONGER_CHECK_INTERVAL {
            checked = now;
            let stronger = strongest(&leadership.host, Some(leadership.host.settings.claim_delay));
            if let Some(follower) = probe(stronger).await {
                yield_to(&leadership, &follower, Cause::Weakness).await;
            }
        }
        if leadership.has_ended() {
            return;
        }
    }
}

/// Some of the strongest followers that can be called now; with `below`, only those with a shorter claim delay.
fn strongest(host: &Host, below: Option<Duration>) -> Vec<Follower> {
    let mut followers = host.live_followers();
    followers.retain(|follower| below.is_none_or(|below| follower.claim_delay < below));
    followers.shuffle(&mut rand::rng());
    followers.sort_by_key(|follower| follower.claim_delay);
    followers.truncate(MAX_PROBED);
    followers
}

/// Waits until a host that has claimed leadership has stronger followers. Returns some of the strongest.
pub(crate) async fn wait_for_stronger(host: &Host) -> Vec<Follower> {
    let claim_delay = host.settings.claim_delay;
    if claim_delay.is_zero() {
        return std::future::pending().await;
    }
    loop {
        let stronger = strongest(host, Some(claim_delay));
        if !stronger.is_empty() {
            return stronger;
        }
        tokio::time::sleep(CLAIM_CHECK_INTERVAL).await;
    }
}

/// Finds a follower that the store answers while it doesn't answer this host.
async fn find_reachable_follower(leadership: &Leadership) -> Option<Follower> {
    let started_at = leadership.host.started.elapsed();
    let own = async {
        let answered = leadership.host.services.store.get(LEADER_KEY).await.is_ok();
        if answered {
            leadership.note_store_answer();
        }
        answered
    };
    let own = own.boxed().shared();
    let follower = tokio::select! {
        // A refused or reset call is no answer: then it depends on whether followers get one.
        true = own.clone() => return None,
        follower = probe(strongest(&leadership.host, None)) => follower?,
    };
    let follower_took = leadership.host.started.elapsed() - started_at;
    let remaining = MIN_OWN_TIMEOUT.max(follower_took * OWN_TIMEOUT_FACTOR).saturating_sub(follower_took);
    let answered = tokio::time::timeout(remaining, own).await == Ok(true);
    // Another call may have been answered in the meantime.
    (!answered && leadership.store_silence() >= MAX_STORE_SILENCE).then_some(follower)
}

/// One of the strongest of the followers that the store answers.
pub(crate) async fn probe(followers: Vec<Follower>) -> Option<Follower> {
    let strongest = followers.iter().map(|follower| follower.claim_delay).min()?;
    let mut asked = JoinSet::new();
    for follower in followers {
        asked.spawn(async move {
            let answer = follower.link.call(Call::Probe, PROBE_TIMEOUT).await;
            (answer == Ok(Answer::Done)).then_some(follower)
        });
    }
    let mut found: Option<Follower> = None;
    while let Some(answer) = asked.join_next().await {
        let Ok(Some(follower)) = answer else { continue };
        if follower.claim_delay == strongest {
            return Some(follower);
        }
        if found.as_ref().is_none_or(|found| follower.claim_delay < found.claim_delay) {
            found = Some(follower);
        }
    }
    found
}

/// Ends the leadership in favour of a follower. A follower that doesn't react will see that the leader's record
/// disappears.
async fn yield_to(leadership: &Leadership, follower: &Follower, cause: Cause) {
    if cause == Cause::Weakness {
        leadership.flush().await;
    }
    let record_revision = leadership.claim.lock().record_revision;
    let predecessors = leadership.predecessors();
    emit!(leadership.host.log, events::TAKEOVER_REQUESTED, "key" => LEADER_KEY, "to" => &follower.host, "term" => leadership.term,
        "why" => cause.text(), "unanswered_ms" => leadership.store_silence().as_millis() as u64);
    // This leadership must have ended before the other begins, so that it prolongs no leases afterwards.
    leadership.host.leadership_ended(leadership.term);
    let link = follower.link.clone();
    let asked =
        tokio::spawn(async move { link.call(Call::TakeOver { record_revision, predecessors }, PROBE_TIMEOUT).await });
    leadership.step_down(cause.text());
    if !matches!(asked.await, Ok(Ok(Answer::Done))) {
        emit!(leadership.host.log, events::TAKEOVER_UNANSWERED, "to" => &follower.host, "term" => leadership.term);
    }
}

/// Gives a claim up in favour of a stronger follower. Nothing was ordered or granted under it.
pub(crate) async fn yield_claim(host: &Host, claim: &Claim, follower: &Follower) {
    emit!(host.log, events::TAKEOVER_REQUESTED, "key" => LEADER_KEY, "to" => &follower.host, "term" => claim.term,
        "why" => Cause::Weakness.text(), "after_ms" => (host.started.elapsed() - claim.confirmed_at).as_millis() as u64);
    let call = Call::TakeOver { record_revision: claim.record_revision, predecessors: claim.predecessors.clone() };
    if follower.link.call(call, PROBE_TIMEOUT).await != Ok(Answer::Done) {
        emit!(host.log, events::TAKEOVER_UNANSWERED, "to" => &follower.host, "term" => claim.term);
    }
}
