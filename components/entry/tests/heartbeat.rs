//! What followers learn from the leader's heartbeats, and what they read from the store themselves.

mod support;

use std::time::{Duration, Instant};

use entry::Answer;
use support::{PATIENCE, cell, config, hosts, leads, submit, until};

/// Longer than any watch of the store lasts.
const STRETCH: Duration = Duration::from_secs(3);

/// If every host called the store, its load would grow with the number of hosts.
#[tokio::test]
async fn followers_ask_the_store_nothing_while_they_hear_from_the_leader() {
    let cell = cell();
    let _hosts = hosts(&cell, 4).await;
    let calls = || (1..4).map(|number| cell.store_calls(&format!("host-{number}"))).sum::<usize>();
    let end = Instant::now() + PATIENCE;
    loop {
        let before = calls();
        tokio::time::sleep(STRETCH).await;
        if calls() == before {
            return;
        }
        assert!(Instant::now() < end, "followers never stop asking");
    }
}

#[tokio::test]
async fn a_follower_that_the_store_turns_away_takes_a_new_configuration() {
    let cell = cell();
    let hosts = hosts(&cell, 2).await;
    cell.turn_away("host-1", true);
    cell.configure(config(2));
    until("it is in force", || hosts[1].config().version == 2).await;
    assert!(leads(&hosts[0]));
}

#[tokio::test]
async fn followers_take_a_new_configuration_that_the_leader_cannot_read() {
    let cell = cell();
    let hosts = hosts(&cell, 3).await;
    cell.turn_away("host-0", true);
    cell.configure(config(2));
    until("it is in force everywhere", || hosts.iter().all(|host| host.config().version == 2)).await;
}

#[tokio::test]
async fn followers_find_the_next_leader_after_a_planned_stop() {
    let cell = cell();
    let hosts = hosts(&cell, 4).await;
    hosts[0].stop().await;
    until("another leads", || hosts[1..].iter().any(leads)).await;
    for (host, id) in hosts[1..].iter().zip(1..) {
        assert_eq!(submit(host, id, 1).await, Answer::Accepted);
    }
}
