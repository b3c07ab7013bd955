//! Gives leadership to another host: when the store answers that one and not this one, or when that one is stronger.
//!
//! Otherwise the others would wait until the lease has run out, or a weak host would lead for as long as it lives.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use futures_util::FutureExt;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use crate::election::LEADER_KEY;
use crate::host::Follower;
use crate::leadership::Leadership;
use crate::message::{Answer, Call};

/// How often the leader looks at its own luck with the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Without an answer of the store for so long the leader tries whether others get one: its lease is renewed every 250 ms.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(300);
/// How long the store may take to answer the leader's own try: at least this long ...
const MIN_OWN_TIMEOUT: Duration = Duration::from_millis(400);
/// ... and so many times as long as a follower waited for its answer. A slow store is slow for all, and the leader has more to ask.
const OWN_TIMEOUT_FACTOR: u32 = 3;
/// Followers that are asked at once, however many there are.
const MAX_PROBED: usize = 8;
/// How long a follower may take to find out.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after followers were asked in vain.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// A weak leader looks for a stronger follower this often.
const STRONGER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a leader gives its place to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The store answers the follower and not this host.
    Outage,
    /// The follower is a stronger host.
    Weakness,
}

impl Cause {
    /// What the log says of it.
    fn text(self) -> &'static str {
        match self {
            Cause::Outage => "the store answers a follower and not this host",
            Cause::Weakness => "a follower is a stronger host",
        }
    }
}

/// Looks out for an outage that only this host has, or for a stronger host, and yields then.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    let mut checked = leadership.host.started.elapsed();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = leadership.host.started.elapsed();
        if leadership.store_silence() >= MAX_STORE_SILENCE {
            match find_reachable_follower(&leadership).await {
                Some(follower) => yield_to(&leadership, &follower, Cause::Outage).await,
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        } else if now - checked >= STRONGER_CHECK_INTERVAL {
            checked = now;
            let stronger = strongest(&leadership, Some(leadership.host.settings.claim_delay));
            if let Some(follower) = probe(stronger).await {
                yield_to(&leadership, &follower, Cause::Weakness).await;
            }
        }
        if leadership.has_ended() {
            return;
        }
    }
}

/// Some of the strongest followers that can be asked now; with `below`, only those that wait less than this before they claim.
fn strongest(leadership: &Leadership, below: Option<Duration>) -> Vec<Follower> {
    let mut followers = leadership.host.live_followers();
    followers.retain(|follower| below.is_none_or(|below| follower.claim_delay < below));
    followers.shuffle(&mut rand::rng());
    followers.sort_by_key(|follower| follower.claim_delay);
    followers.truncate(MAX_PROBED);
    followers
}

/// A follower whom the store answers while it doesn't answer this host.
async fn find_reachable_follower(leadership: &Leadership) -> Option<Follower> {
    let began = leadership.host.started.elapsed();
    let own = async {
        let answered = leadership.host.services.store.get(LEADER_KEY).await.is_ok();
        if answered {
            leadership.note_store_answer();
        }
        answered
    };
    let own = own.boxed().shared();
    let follower = tokio::select! {
        // Refused or reset, it is no answer: whether followers get one decides.
        true = own.clone() => return None,
        follower = probe(strongest(leadership, None)) => follower?,
    };
    let took = leadership.host.started.elapsed() - began;
    let remaining = MIN_OWN_TIMEOUT.max(took * OWN_TIMEOUT_FACTOR).saturating_sub(took);
    let answered = tokio::time::timeout(remaining, own).await == Ok(true);
    // Any other call may have been answered meanwhile.
    (!answered && leadership.store_silence() >= MAX_STORE_SILENCE).then_some(follower)
}

/// Of the followers whom the store answers, one of the strongest.
async fn probe(followers: Vec<Follower>) -> Option<Follower> {
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

/// Ends the reign in a follower's favour. One that takes no note of it will see that the record goes.
async fn yield_to(leadership: &Leadership, follower: &Follower, cause: Cause) {
    if cause == Cause::Weakness {
        leadership.flush().await;
    }
    let record_revision = leadership.claim.lock().record_revision;
    emit!(leadership.host.log, events::YIELDED, "key" => LEADER_KEY, "to" => &follower.host, "term" => leadership.term,
        "why" => cause.text(), "unanswered_ms" => leadership.store_silence().as_millis() as u64);
    // It must have ended before the other begins: then nothing of it prolongs a lease any more.
    leadership.host.leadership_ended(leadership.term);
    let link = follower.link.clone();
    let asked = tokio::spawn(async move { link.call(Call::TakeOver(record_revision), PROBE_TIMEOUT).await });
    leadership.step_down(cause.text());
    if !matches!(asked.await, Ok(Ok(Answer::Done))) {
        emit!(leadership.host.log, events::YIELD_UNANSWERED, "to" => &follower.host, "term" => leadership.term);
    }
}
