//! What followers learn from the leader's heartbeats, and what they read from the store themselves.

mod support;

use std::time::{Duration, Instant};

use entry::Answer;
use support::{TEST_TIMEOUT, config, leads, new_cell, start_hosts, submit, wait_until};

/// Longer than any watch of the store lasts.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// If every host called the store, its load would grow with the number of hosts.
#[tokio::test]
async fn followers_do_not_call_the_store_while_heartbeats_arrive() {
    let cell = new_cell();
    let _hosts = start_hosts(&cell, 4).await;
    let calls = || (1..4).map(|number| cell.store_calls(&format!("host-{number}"))).sum::<usize>();
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let before = calls();
        tokio::time::sleep(QUIET_PERIOD).await;
        if calls() == before {
            return;
        }
        assert!(Instant::now() < end, "followers keep calling the store");
    }
}

#[tokio::test]
async fn a_follower_refused_by_the_store_gets_a_new_configuration() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 2).await;
    cell.set_store_unavailable("host-1", true);
    cell.set_config(config(2));
    wait_until("it is in force", || hosts[1].config().version == 2).await;
    assert!(leads(&hosts[0]));
}

#[tokio::test]
async fn followers_get_a_new_configuration_that_the_leader_cannot_read() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 3).await;
    cell.set_store_unavailable("host-0", true);
    cell.set_config(config(2));
    wait_until("it is in force everywhere", || hosts.iter().all(|host| host.config().version == 2)).await;
}

#[tokio::test]
async fn followers_find_the_next_leader_after_a_planned_stop() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 4).await;
    hosts[0].stop().await;
    wait_until("another leads", || hosts[1..].iter().any(leads)).await;
    for (host, id) in hosts[1..].iter().zip(1..) {
        assert_eq!(submit(host, id, 1).await, Answer::Accepted);
    }
}
