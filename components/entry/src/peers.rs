//! Answers the calls of other entry hosts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use tokio::net::TcpListener;

use crate::election;
use crate::host::{Follower, Host, Link, Role};
use crate::message::{Alive, Answer, Call, Leader};

/// After a failed accept (no file descriptors left, say) the loop pauses instead of spinning.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Whether a claim was answered is looked at this often.
const CLAIM_PAUSE: Duration = Duration::from_millis(5);

/// Takes links of other hosts.
pub(crate) async fn listen(host: Arc<Host>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Err(fault) = stream.set_nodelay(true) {
            emit!(host.log, events::MESSAGE_REFUSED, "fault" => fault.to_string());
            continue;
        }
        let host = host.clone();
        Link::spawn(stream, move |link, call| handle(host.clone(), link, call));
    }
}

/// Answers one call.
pub(crate) async fn handle(host: Arc<Host>, link: Arc<Link>, call: Call) -> Answer {
    match call {
        Call::Hello { host: name, address, idle, leader, claim_delay } => {
            let term = leader.term;
            claim_answered(&host, &leader).await;
            hello(&host, &leader, Follower { host: name, address, term, idle, link, claim_delay })
        }
        Call::Ping => Answer::Alive(alive(&host)),
        Call::FetchConfig => Answer::Config((*host.config()).clone()),
        Call::Probe => probe(&host).await,
        Call::TakeOver(record) => {
            emit!(host.log, events::TAKE_OVER_ASKED, "record" => record);
            tokio::spawn(election::take_over(host.clone(), record));
            Answer::Done
        }
        Call::Config(config) => {
            host.take_config(config, "host");
            Answer::Done
        }
        Call::Newer(leader) => newer(&host, leader),
        Call::Missing => missing(&host),
        Call::Advise { unit, workers } => Answer::Advice(host.advice(unit, &workers).await),
        call => match host.role() {
            Role::Leading(reign) => reign.answer(call).await,
            _ => Answer::NotLeader,
        },
    }
}

fn alive(host: &Host) -> Alive {
    Alive {
        leader: host.leader(),
        config: host.config().version,
        config_age: host.config_age(),
        certain: certain(host),
        followers: host.signs.count(host.followers.lock().len() as u32),
    }
}

/// How long ago it was certain that this host leads, or that its claim holds while it reads the log.
fn certain(host: &Host) -> Option<Duration> {
    match host.role() {
        Role::Leading(reign) => Some(reign.unconfirmed_for()),
        _ if host.seated.load(Ordering::Acquire) != 0 => Some(host.claim_kept.ago(host.started.elapsed())),
        _ => None,
    }
}

/// Whether the store answers this host.
async fn probe(host: &Host) -> Answer {
    match host.services.store.get(election::LEADER_KEY).await {
        Ok(_) => Answer::Done,
        Err(_) => Answer::NotLeader,
    }
}

/// Links to a leader of a higher term than that of the one that is known; an own reign ends.
fn newer(host: &Arc<Host>, leader: Leader) -> Answer {
    let known = host.leader().map_or(0, |known| known.term);
    if leader.term <= known {
        return Answer::Done;
    }
    if let Role::Leading(reign) = host.role() {
        reign.depose("a follower knows a newer leader");
        host.set_role(Role::NoLeader);
    }
    tokio::spawn(election::redirect(host.clone(), leader));
    Answer::Done
}

/// A follower sees no leader's record: it is written anew while this host leads.
fn missing(host: &Host) -> Answer {
    match host.role() {
        Role::Leading(reign) if reign.holds_lease() => {
            reign.restore_record();
            Answer::Done
        }
        _ => Answer::NotLeader,
    }
}

/// Waits while a claim of this host is under way that the store shows already and hasn't answered yet. A follower that was told
/// that this host doesn't lead would claim over it, and nobody would be left to tell a leader that the store turns away.
async fn claim_answered(host: &Host, leader: &Leader) {
    let seen_early = || leader.life == host.settings.life && leader.term > host.seated.load(Ordering::Acquire);
    while seen_early() && host.claiming.try_lock().is_err() {
        tokio::time::sleep(CLAIM_PAUSE).await;
    }
}

/// Takes a follower in. One that means an earlier life of this process, or an earlier claim, is told so.
fn hello(host: &Arc<Host>, leader: &Leader, follower: Follower) -> Answer {
    let meant = leader.life == host.settings.life && leader.term <= host.seated.load(Ordering::Acquire);
    if !meant || host.stopping() {
        return Answer::NotLeader;
    }
    host.followers.lock().insert(follower.host.clone(), follower);
    Answer::Done
}
