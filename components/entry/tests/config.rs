//! How hosts learn the configuration when calls to the store stay unanswered.

mod support;

use std::time::Duration;

use support::{config, leads, new_cell, start_hosts, wait_until};

/// Time within which a change by operators must be in force.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(2);
/// Longer than hosts wait before they repeat a call to the store.
const SILENCE: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn a_configuration_read_without_an_answer_does_not_delay_the_next_configuration() {
    let cell = new_cell();
    cell.set_config_silent("host-0", true);
    let host = cell.start_host("host-0").await.expect("a free port");
    tokio::time::sleep(SILENCE).await;
    cell.set_config_silent("host-0", false);
    let known = wait_until("the configuration", || host.config().version == 1);
    assert!(tokio::time::timeout(CONFIG_APPLY_TIME, known).await.is_ok(), "not within {CONFIG_APPLY_TIME:?}");
}

#[tokio::test]
async fn a_new_leader_whose_watch_has_no_answer_does_not_lead_by_an_outdated_configuration() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 2).await;
    let silence = |silent| hosts.iter().for_each(|host| cell.set_config_silent(&host.settings.host, silent));
    silence(true);
    let before = cell.config_calls();
    wait_until("both wait for an answer", || cell.config_calls() >= before + hosts.len()).await;
    silence(false);
    cell.set_config(config(2));
    hosts[0].stop().await;
    wait_until("the other leads", || leads(&hosts[1])).await;
    assert_eq!(hosts[1].config().version, 2);
}
