//! Gives leadership to a follower whom the store still answers when it doesn't answer this host.
//!
//! Otherwise the others would wait until the lease has run out.

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
/// Without an answer of the store for so long, followers are asked: the lease is renewed every 375 ms, and a slow store
/// takes up to 300 ms.
const UNANSWERED: Duration = Duration::from_millis(800);
/// How long a follower may take to find out.
const PROBE: Duration = Duration::from_millis(400);
/// Pause after followers were asked in vain.
const PAUSE: Duration = Duration::from_millis(300);

/// Looks out for an outage that only this host has, and yields then.
pub(crate) async fn run(reign: Arc<Reign>) {
    loop {
        tokio::time::sleep(LOOK).await;
        if reign.unheard_for() < UNANSWERED {
            continue;
        }
        let Some(follower) = served(&reign).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if reign.unheard_for() >= UNANSWERED && give(&reign, &follower).await {
            return;
        }
    }
}

/// A follower whom the store answers.
async fn served(reign: &Arc<Reign>) -> Option<Follower> {
    let mut asked = JoinSet::new();
    for follower in reign.host.live_followers() {
        asked.spawn(async move {
            let answer = follower.link.call(Call::Probe, PROBE).await;
            (answer == Ok(Answer::Done)).then_some(follower)
        });
    }
    while let Some(answer) = asked.join_next().await {
        if let Ok(Some(follower)) = answer {
            return Some(follower);
        }
    }
    None
}

/// Ends the reign in a follower's favour. Whether it took note.
async fn give(reign: &Arc<Reign>, follower: &Follower) -> bool {
    let record = reign.seat.lock().record;
    emit!(reign.host.log, events::YIELDED, "key" => LEADER_KEY, "to" => &follower.host, "term" => reign.term,
        "unanswered_ms" => reign.unheard_for().as_millis() as u64);
    // It must have ended before the other begins: then nothing of it prolongs a lease any more.
    reign.host.left(reign.term);
    let link = follower.link.clone();
    let asked = tokio::spawn(async move { link.call(Call::TakeOver(record), PROBE).await });
    reign.depose("the store answers a follower and not this host");
    matches!(asked.await, Ok(Ok(Answer::Done)))
}
