//! When a host claims leadership, with a leader that the test plays itself.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use entry::{Alive, Answer, Call, Leader, Role};
use fakes::cell::Cell;
use support::{leads, new_cell, wait_until};
use tokio::net::TcpListener;

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
