//! Handles the calls of other entry hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use tokio::net::TcpListener;

use crate::election;
use crate::host::{Follower, Host, Link, Role};
use crate::message::{Alive, Answer, Call, Leader};

/// Delay after a failed accept, for example when no file descriptors are left, so that the loop doesn't spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often to check whether a pending claim was answered.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts links from other hosts.
pub(crate) async fn listen(host: Arc<Host>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            emit!(host.log, events::MESSAGE_REFUSED, "fault" => error.to_string());
            continue;
        }
        let host = host.clone();
        Link::accept(stream, move |link, call| handle(host.clone(), link, call));
    }
}

pub(crate) async fn handle(host: Arc<Host>, link: Arc<Link>, call: Call) -> Answer {
    match call {
        Call::Hello { host: name, address, idle, leader, claim_delay, job_memory } => {
            let term = leader.term;
            wait_for_claim_outcome(&host, &leader).await;
            add_follower(&host, &leader, Follower { host: name, address, term, idle, link, claim_delay, job_memory })
        }
        Call::Ping => Answer::Alive(alive(&host)),
        Call::FetchConfig => Answer::Config((*host.config()).clone()),
        Call::Probe => probe(&host).await,
        Call::TakeOver { record_revision, predecessors } => {
            emit!(host.log, events::ASKED_TO_TAKE_OVER, "record" => record_revision,
                "predecessors_active_ms" => predecessors.active_for().as_millis() as u64);
            tokio::spawn(election::take_over(host.clone(), record_revision, predecessors));
            Answer::Done
        }
        Call::Config(config) => {
            host.update_config(config, "host");
            Answer::Done
        }
        Call::Newer(leader) => handle_newer_leader(&host, leader),
        Call::Missing => handle_missing_record(&host),
        Call::Advise { unit, workers } => Answer::Advice(host.advice(unit, &workers).await),
        call => match host.role() {
            Role::Leading(leadership) => leadership.answer(call).await,
            _ => Answer::NotLeader,
        },
    }
}

fn alive(host: &Host) -> Alive {
    Alive {
        leader: host.leader(),
        config: host.config().version,
        config_age: host.config_age(),
        unconfirmed_for: unconfirmed_for(host),
        followers: host.heartbeats.note_followers(host.followers.lock().len() as u32),
        isolated: host.isolation.get(),
        forecast: matches!(host.role(), Role::Leading(_)).then(|| host.heartbeats.forecast()).flatten(),
    }
}

/// Time since this host was last certain to be the leader, or since its claim was last confirmed while it reads the
/// log.
fn unconfirmed_for(host: &Host) -> Option<Duration> {
    match host.role() {
        Role::Leading(leadership) => Some(leadership.unconfirmed_for()),
        _ if host.claimed_term.load(Ordering::Acquire) != 0 => Some(host.claim_renewed_at.age(host.started.elapsed())),
        _ => None,
    }
}

/// Checks whether the store answers this host.
async fn probe(host: &Host) -> Answer {
    match host.services.store.get(election::LEADER_KEY).await {
        Ok(_) => Answer::Done,
        Err(_) => Answer::NotLeader,
    }
}

/// Connects to a leader with a higher term than that of the known one, and ends this host's own leadership, if any.
fn handle_newer_leader(host: &Arc<Host>, leader: Leader) -> Answer {
    let known = host.leader().map_or(0, |known| known.term);
    if leader.term <= known {
        return Answer::Done;
    }
    if let Role::Leading(leadership) = host.role() {
        leadership.step_down("a follower knows a newer leader");
        host.set_role(Role::NoLeader);
    }
    tokio::spawn(election::connect_to(host.clone(), leader));
    Answer::Done
}

/// A follower found no leader's record: writes it again while this host leads.
fn handle_missing_record(host: &Host) -> Answer {
    match host.role() {
        Role::Leading(leadership) if leadership.holds_lease() => {
            leadership.request_record_rewrite();
            Answer::Done
        }
        _ => Answer::NotLeader,
    }
}

/// Waits while a claim of this host is pending that is visible in the store already but hasn't been answered yet.
/// Otherwise the follower would be told that this host isn't the leader and would claim over it, and nobody would be
/// left to tell a leader that the store refuses about its replacement.
async fn wait_for_claim_outcome(host: &Host, leader: &Leader) {
    let seen_early =
        || leader.incarnation == host.settings.incarnation && leader.term > host.claimed_term.load(Ordering::Acquire);
    while seen_early() && host.claim_lock.try_lock().is_err() {
        tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
    }
}

/// Registers a follower. Rejects a follower that refers to an earlier process of this host, or to an earlier claim.
fn add_follower(host: &Arc<Host>, leader: &Leader, follower: Follower) -> Answer {
    let names_this_claim =
        leader.incarnation == host.settings.incarnation && leader.term <= host.claimed_term.load(Ordering::Acquire);
    // A leader that is stopping still leads until its records are written. A host that is refused meanwhile would claim
    // over it, and since the others still follow, a weak host would win.
    if !names_this_claim {
        return Answer::NotLeader;
    }
    host.followers.lock().insert(follower.host.clone(), follower);
    Answer::Done
}
