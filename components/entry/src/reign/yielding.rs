//! Gives leadership to another host: when the store answers that one and not this one, or when that one is stronger.
//!
//! Otherwise the others would wait until the lease has run out, or a weak host would lead for as long as it lives.

use std::sync::Arc;
use std::time::Duration;

use events::emit;
use tokio::task::JoinSet;

use crate::election::LEADER_KEY;
use crate::host::Follower;
use crate::message::{Answer, Call};
use crate::reign::Reign;

/// How often the leader looks at its own luck with the store.
const LOOK: Duration = Duration::from_millis(100);
/// Without an answer of the store for so long, followers are asked: the lease is renewed every 250 ms, and a slow store
/// takes up to 300 ms.
const UNANSWERED: Duration = Duration::from_millis(800);
/// How long a follower may take to find out.
const PROBE: Duration = Duration::from_millis(400);
/// Pause after followers were asked in vain.
const PAUSE: Duration = Duration::from_millis(300);
/// A weak leader looks for a stronger follower this often.
const GIVE_WAY: Duration = Duration::from_millis(500);

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
pub(crate) async fn run(reign: Arc<Reign>) {
    let mut looked = reign.host.started.elapsed();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = reign.host.started.elapsed();
        if reign.unheard_for() >= UNANSWERED {
            if !yield_to(&reign, live(&reign, None), Cause::Outage).await {
                tokio::time::sleep(PAUSE).await;
            }
        } else if now - looked >= GIVE_WAY {
            looked = now;
            let stronger = live(&reign, Some(reign.host.settings.claim_delay));
            yield_to(&reign, stronger, Cause::Weakness).await;
        }
        if reign.is_over() {
            return;
        }
    }
}

/// Followers that can be asked; with `below`, only those that wait less than this before they claim.
fn live(reign: &Reign, below: Option<Duration>) -> Vec<Follower> {
    let followers = reign.host.live_followers().into_iter();
    followers.filter(|follower| below.is_none_or(|below| follower.claim_delay < below)).collect()
}

/// Gives the place to one of `followers`. Whether it took note.
async fn yield_to(reign: &Arc<Reign>, followers: Vec<Follower>, cause: Cause) -> bool {
    let Some(follower) = served(followers).await else { return false };
    if cause == Cause::Outage && reign.unheard_for() < UNANSWERED {
        return false;
    }
    give(reign, &follower, cause).await
}

/// Of the followers whom the store answers, one of the strongest.
async fn served(followers: Vec<Follower>) -> Option<Follower> {
    let strongest = followers.iter().map(|follower| follower.claim_delay).min()?;
    let mut asked = JoinSet::new();
    for follower in followers {
        asked.spawn(async move {
            let answer = follower.link.call(Call::Probe, PROBE).await;
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

/// Ends the reign in a follower's favour. Whether it took note.
async fn give(reign: &Arc<Reign>, follower: &Follower, cause: Cause) -> bool {
    if cause == Cause::Weakness {
        reign.flush().await;
    }
    let record = reign.seat.lock().record;
    emit!(reign.host.log, events::YIELDED, "key" => LEADER_KEY, "to" => &follower.host, "term" => reign.term,
        "why" => cause.text(), "unanswered_ms" => reign.unheard_for().as_millis() as u64);
    // It must have ended before the other begins: then nothing of it prolongs a lease any more.
    reign.host.left(reign.term);
    let link = follower.link.clone();
    let asked = tokio::spawn(async move { link.call(Call::TakeOver(record), PROBE).await });
    reign.depose(cause.text());
    matches!(asked.await, Ok(Ok(Answer::Done)))
}
