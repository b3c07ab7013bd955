//! Planned stops of a leader.

mod support;

use std::time::Duration;

use entry::{Answer, Call, Role};
use support::{leads, new_cell, start_hosts, submit};
use tokio::net::TcpStream;

/// Longer than the leader waits for its records.
const COMMIT_DELAY: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a claim over a leader that is still writing its records: a host that starts meanwhile was told that
/// there is no leader, and a weak host led while it read the log for seconds.
#[tokio::test]
async fn a_stopping_leader_accepts_followers_until_it_has_ended() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 2).await;
    let Role::Following(leader, _) = hosts[1].role() else { panic!("the second host follows") };
    cell.set_commit_delay(COMMIT_DELAY);
    let waiting = tokio::spawn({
        let host = hosts[0].clone();
        async move { submit(&host, 7, 1).await }
    });
    let stop = tokio::spawn({
        let host = hosts[0].clone();
        async move { host.stop().await }
    });
    while !stop.is_finished() {
        let stream = TcpStream::connect(&leader.address).await.expect("the leader listens");
        let link = link::Link::<Call, Answer>::spawn(stream, |_, _| async { Answer::Done });
        let hello = Call::Hello {
            host: "host-2".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            idle: true,
            leader: leader.clone(),
            claim_delay: Duration::ZERO,
            job_memory: None,
        };
        let answer = link.call(hello, CALL_TIMEOUT).await;
        // If it still leads now, it did so when it answered.
        if leads(&hosts[0]) && !stop.is_finished() {
            assert_eq!(answer, Ok(Answer::Done));
        }
        link.close();
        tokio::task::yield_now().await;
    }
    waiting.abort();
}
