//! How hosts learn the configuration when calls to the store stay unanswered.

mod support;

use support::{config, leads, new_cell, start_hosts, wait_until};

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
