//! When a host claims leadership, with a leader that the test plays itself.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::{Alive, Answer, Call, Leader, Role};
use fakes::cell::Cell;
use support::{leads, new_cell, submit, wait_until};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const LEADER_KEY: &str = "walkhook/leader";

/// A leader that isn't certain to lead when its record is found missing for the first time, and is from then on.
struct BrieflyUncertain {
    leader: Leader,
    /// How often its followers found no record.
    asked: Arc<AtomicUsize>,
}

impl BrieflyUncertain {
    /// Starts to accept followers, and puts this leader's name into the record of the cell's leader.
    async fn start(cell: &Arc<Cell>) -> BrieflyUncertain {
        let listener = TcpListener::bind(fakes::any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let leader = Leader { host: "uncertain".to_owned(), incarnation: 1, address, term: 1 };
        let record = postcard::to_stdvec(&leader).expect("a record");
        cell.rewrite_values(LEADER_KEY, |value| *value = record.clone());
        let asked = Arc::new(AtomicUsize::new(0));
        tokio::spawn(accept(listener, leader.clone(), asked.clone()));
        BrieflyUncertain { leader, asked }
    }
}

async fn accept(listener: TcpListener, leader: Leader, asked: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (leader, asked) = (leader.clone(), asked.clone());
        link::Link::<Call, Answer>::spawn(stream, move |_, call| {
            let answer = answer(&leader, &asked, &call);
            async move { answer }
        });
    }
}

fn answer(leader: &Leader, asked: &AtomicUsize, call: &Call) -> Answer {
    match call {
        // Without a time of confirmation, followers watch the record.
        Call::Ping => Answer::Alive(Alive {
            leader: Some(leader.clone()),
            config: 1,
            config_age: Duration::ZERO,
            unconfirmed_for: None,
            followers: 1,
            isolated: false,
            forecast: None,
        }),
        Call::Missing if asked.fetch_add(1, Ordering::SeqCst) == 0 => Answer::NotLeader,
        _ => Answer::Done,
    }
}

#[tokio::test]
async fn a_weak_host_does_not_replace_a_leader_that_became_certain_during_its_wait() {
    let cell = new_cell();
    let first = cell.start_host("first").await.expect("a free port");
    wait_until("it leads", || leads(&first)).await;
    cell.set_store_unavailable("first", true);
    let uncertain = BrieflyUncertain::start(&cell).await;
    let weak = cell.start_host_with_claim_delay("weak", Duration::from_millis(300)).await.expect("a free port");
    let follows = || matches!(weak.role(), Role::Following(leader, _) if leader == uncertain.leader);
    wait_until("the weak one follows", follows).await;
    cell.delete_key(LEADER_KEY);
    wait_until("it asks again", || uncertain.asked.load(Ordering::SeqCst) >= 3).await;
    assert!(follows(), "it goes on following");
}

/// A former leader that answers whoever wants to follow it only when the test lets it, and then that it doesn't lead.
struct SlowFormerLeader {
    leader: Leader,
    /// Signalled with each host that wants to follow it.
    asked: Arc<Notify>,
    /// Lets it answer.
    answers: Arc<Notify>,
    /// Signalled when such a host has closed its link.
    closed: Arc<Notify>,
}

impl SlowFormerLeader {
    async fn start() -> SlowFormerLeader {
        let listener = TcpListener::bind(fakes::any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let leader = Leader { host: "former".to_owned(), incarnation: 1, address, term: 1 };
        let [asked, answers, closed] = [(); 3].map(|()| Arc::new(Notify::new()));
        let former =
            SlowFormerLeader { leader, asked: asked.clone(), answers: answers.clone(), closed: closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (asked, answers) = (asked.clone(), answers.clone());
                let link = link::Link::<Call, Answer>::spawn(stream, move |_, _| {
                    let (asked, answers) = (asked.clone(), answers.clone());
                    async move {
                        asked.notify_one();
                        answers.notified().await;
                        Answer::NotLeader
                    }
                });
                link.closed().await;
                closed.notify_one();
            }
        });
        former
    }
}

/// Guards against a leader that forgets that it leads, so that every host refuses callers from then on (LOST).
#[tokio::test]
async fn a_late_answer_of_a_former_leader_does_not_end_a_leadership_claimed_meanwhile() {
    let cell = new_cell();
    let former = SlowFormerLeader::start().await;
    let host = cell.start_host_with_claim_delay("next", Duration::from_millis(100)).await.expect("a free port");
    let stream = TcpStream::connect(&host.settings.address).await.expect("a connection");
    let peer = link::Link::<Call, Answer>::spawn(stream, |_, _| async { Answer::Done });
    let told = peer.call(Call::Newer(former.leader.clone()), Duration::from_secs(5)).await;
    assert_eq!(told, Ok(Answer::Done));
    former.asked.notified().await;
    wait_until("it leads", || leads(&host)).await;
    former.answers.notify_one();
    former.closed.notified().await;
    assert_eq!(submit(&host, 7, 1).await, Answer::Accepted);
    assert!(leads(&host), "it still leads");
}
