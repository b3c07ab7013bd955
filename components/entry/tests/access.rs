//! Workspace keys: who is admitted, by which configuration, and what a call may see.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{AccessRefusal, Admission, Answer, Call, Caller, Client, Host};
use model::Resources;
use support::{TEST_TIMEOUT, ask, config, job, new_cell, start_hosts, wait_until};
use work::key::{Credential, Denial, Digest};
use work::{Config, JobId, State, Workspace};

/// Time within which a host's requests must be decided by the same configuration.
const MAX_REORDERING: Duration = Duration::from_millis(250);
/// After this time without a confirmation a configuration may be outdated.
const OUTDATED_AFTER: Duration = Duration::from_secs(5);
/// Number of calls with invalid keys.
const INVALID_CALLS: usize = 10_000;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let keys = keys.iter().map(|key| Digest::of(key)).collect();
    Workspace { name: name.to_owned(), keys, weight: 10.0, limit: Resources::new(2, 0, 0) }
}

/// A configuration whose queue requires a key of one of these workspaces.
fn config_with_keys(version: u64, workspaces: &[(&str, &[&str])]) -> Config {
    let mut queues = config(version).queues;
    queues[0].public = false;
    let workspaces = workspaces.iter().map(|(name, keys)| workspace(name, keys)).collect();
    Config::new(version, queues, 10_000).with_workspaces(workspaces)
}

async fn admit(host: &Host, key: Credential) -> Admission {
    host.admit("queues.example", "/plans/x", key, Instant::now() + TEST_TIMEOUT).await
}

fn key(text: &str) -> Credential {
    Credential::Key(Digest::of(text))
}

/// The caller for a call with this key, which the host must admit.
async fn caller(host: &Host, text: &str) -> Caller {
    match admit(host, key(text)).await {
        Admission::Granted(_, client) => Caller::Client(client),
        other => panic!("{text}: {other:?}"),
    }
}

async fn submit_as(host: &Arc<Host>, caller: &Caller, id: JobId, tasks: u32) -> Answer {
    let job = Box::new(job(tasks));
    ask(host, Call::Submit { caller: caller.clone(), queue: "plans".to_owned(), id, job, wait: TEST_TIMEOUT }).await
}

async fn state_as(host: &Arc<Host>, caller: &Caller, id: JobId) -> Answer {
    ask(host, Call::State { caller: caller.clone(), id }).await
}

fn refusal(admission: &Admission) -> Option<AccessRefusal> {
    match admission {
        Admission::Refused(refusal) => Some(*refusal),
        Admission::Granted(..) | Admission::Unsure => None,
    }
}

#[tokio::test]
async fn a_key_gives_access_to_its_workspace_only() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one", "two"]), ("port", &["three"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[1].config().version == 2).await;
    for (brought, denial) in [
        (Credential::Nothing, Denial::Missing),
        (Credential::Malformed, Denial::Malformed),
        (key("four"), Denial::Unknown),
    ] {
        let admission = admit(&hosts[1], brought).await;
        assert_eq!(refusal(&admission), Some(AccessRefusal::Denied(denial)), "{admission:?}");
    }
    let (rail, port) = (caller(&hosts[1], "one").await, caller(&hosts[1], "three").await);
    assert_eq!(submit_as(&hosts[1], &rail, 7, 1).await, Answer::Accepted);
    assert_eq!(state_as(&hosts[1], &port, 7).await, Answer::State(None));
    let cancel = Call::Cancel { caller: port.clone(), id: 7, wait: TEST_TIMEOUT };
    assert_eq!(ask(&hosts[0], cancel).await, Answer::Cancelled(false));
    assert_eq!(submit_as(&hosts[0], &port, 7, 1).await, Answer::IdTaken);
    let other = caller(&hosts[0], "two").await;
    assert!(matches!(state_as(&hosts[0], &other, 7).await, Answer::State(Some(_))), "the same workspace's other key");
    assert!(matches!(state_as(&hosts[0], &Caller::Operator, 7).await, Answer::State(Some(_))));
}

#[tokio::test]
async fn a_revoked_key_is_rejected_even_through_an_outdated_host() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one", "two"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[1].config().version == 2).await;
    let (old, kept) = (caller(&hosts[1], "one").await, caller(&hosts[1], "two").await);
    assert_eq!(submit_as(&hosts[1], &old, 7, 1).await, Answer::Accepted);
    cell.set_config(config_with_keys(3, &[("rail", &["two"])]));
    wait_until("the leader knows", || hosts[0].config().version == 3).await;
    // The other host admitted the caller by its older configuration.
    let denied = Answer::NotAdmitted(AccessRefusal::Denied(Denial::Unknown));
    assert_eq!(submit_as(&hosts[1], &old, 8, 1).await, denied);
    assert_eq!(state_as(&hosts[1], &old, 7).await, denied);
    let done = async || state_as(&hosts[1], &kept, 7).await;
    let end = Instant::now() + TEST_TIMEOUT;
    while !matches!(done().await, Answer::State(Some(State::Ended(work::Outcome::Completed)))) {
        assert!(Instant::now() < end, "what was accepted before runs all the same");
    }
}

#[tokio::test]
async fn an_outdated_leader_follows_the_newer_configuration_of_the_asking_host() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let hosts = start_hosts(&cell, 2).await;
    let newer = Client { queue: "plans".to_owned(), key: key("new"), workspace: Some("rail".to_owned()), version: 3 };
    assert_eq!(submit_as(&hosts[0], &Caller::Client(newer), 7, 1).await, Answer::Accepted);
}

#[tokio::test]
async fn hosts_refused_by_the_store_get_the_configuration_from_others() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 3).await;
    cell.set_store_unavailable("host-1", true);
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    wait_until("a follower learns it", || hosts[1].config().version == 2).await;
    cell.set_store_unavailable("host-0", true);
    cell.set_config(config_with_keys(3, &[("rail", &["two"])]));
    wait_until("the leader learns it", || hosts[0].config().version == 3).await;
    wait_until("so does the follower", || hosts[1].config().version == 3).await;
}

#[tokio::test]
async fn a_possibly_outdated_configuration_refuses_no_caller() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let hosts = start_hosts(&cell, 1).await;
    cell.set_store_unavailable("host-0", true);
    wait_until("the key is there", || hosts[0].config().version == 2).await;
    let end = Instant::now() + TEST_TIMEOUT;
    while refusal(&admit(&hosts[0], key("new")).await).is_some() {
        assert!(Instant::now() < end, "it goes on refusing");
    }
    assert!(matches!(admit(&hosts[0], key("one")).await, Admission::Granted(..)), "a key that it knows is let in");
    cell.set_config(config_with_keys(3, &[("rail", &["one", "new"])]));
    cell.set_store_unavailable("host-0", false);
    wait_until("it is up to date", || hosts[0].config().version == 3).await;
    assert!(matches!(admit(&hosts[0], key("new")).await, Admission::Granted(..)));
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_not_decided_by_a_newer_configuration_than_later_requests() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let host = start_hosts(&cell, 1).await.remove(0);
    wait_until("the configuration", || host.config().version == 2).await;
    cell.set_store_unavailable("host-0", true);
    tokio::time::sleep(OUTDATED_AFTER).await;
    let waiting = tokio::spawn({
        let host = host.clone();
        async move { admit(&host, key("new")).await }
    });
    tokio::time::sleep(MAX_REORDERING).await;
    let later = admit(&host, key("one")).await;
    assert!(matches!(&later, Admission::Granted(_, client) if client.version == 2), "{later:?}");
    cell.set_config(config_with_keys(3, &[("rail", &["new"])]));
    cell.set_store_unavailable("host-0", false);
    let earlier = waiting.await.expect("an admission");
    assert!(matches!(earlier, Admission::Unsure), "{earlier:?}");
}

#[tokio::test(start_paused = true)]
async fn a_host_resumed_from_suspension_refuses_no_caller_by_a_watch_from_before() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let host = start_hosts(&cell, 1).await.remove(0);
    wait_until("the configuration", || host.config().version == 2).await;
    cell.suspend_host("host-0", OUTDATED_AFTER);
    // The watch in progress is answered, later ones aren't.
    cell.set_config_silent("host-0", true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let admission = admit(&host, key("new")).await;
    assert!(matches!(admission, Admission::Unsure), "{admission:?}");
}

#[tokio::test]
async fn a_host_that_knows_of_a_newer_configuration_refuses_no_caller_by_its_own() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[1].config().version == 2).await;
    let old = caller(&hosts[1], "one").await;
    cell.set_config_silent("host-1", true);
    cell.set_config(config_with_keys(3, &[("rail", &["new"])]));
    wait_until("the leader knows", || hosts[0].config().version == 3).await;
    let denied = Answer::NotAdmitted(AccessRefusal::Denied(Denial::Unknown));
    assert_eq!(submit_as(&hosts[1], &old, 7, 1).await, denied);
    let admission = admit(&hosts[1], key("new")).await;
    assert_eq!(refusal(&admission), None, "{admission:?}");
}

#[tokio::test]
async fn jobs_stay_visible_to_their_sender_when_a_queue_becomes_private_or_public() {
    let cell = new_cell();
    let open = |version| Config::new(version, config(version).queues, 10_000);
    cell.set_config(open(2).with_workspaces(vec![workspace("rail", &["one"])]));
    let hosts = start_hosts(&cell, 1).await;
    let host = &hosts[0];
    wait_until("the first", || host.config().version == 2).await;
    let Admission::Granted(_, anybody) = admit(host, Credential::Nothing).await else { panic!("it is public") };
    assert_eq!(submit_as(host, &Caller::Client(anybody), 7, 1).await, Answer::Accepted);
    cell.set_config(config_with_keys(3, &[("rail", &["one"]), ("port", &["two"])]));
    wait_until("the second", || host.config().version == 3).await;
    let rail = caller(host, "one").await;
    assert!(matches!(state_as(host, &rail, 7).await, Answer::State(Some(_))));
    assert_eq!(submit_as(host, &rail, 8, 1).await, Answer::Accepted);
    cell.set_config(open(4).with_workspaces(vec![workspace("rail", &["one"]), workspace("port", &["two"])]));
    wait_until("the third", || host.config().version == 4).await;
    assert!(matches!(state_as(host, &caller(host, "one").await, 8).await, Answer::State(Some(_))));
    assert_eq!(state_as(host, &caller(host, "two").await, 8).await, Answer::State(None));
}

#[tokio::test]
async fn a_flood_of_invalid_keys_causes_no_store_calls() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[1].config().version == 2).await;
    let rail = caller(&hosts[1], "one").await;
    let began = Instant::now();
    let before = cell.config_calls();
    for number in 0..INVALID_CALLS {
        let admission = admit(&hosts[1], key(&format!("made up {number}"))).await;
        assert_eq!(refusal(&admission), Some(AccessRefusal::Denied(Denial::Unknown)));
        if number % 1000 == 0 {
            assert_eq!(submit_as(&hosts[1], &rail, number as JobId, 1).await, Answer::Accepted);
        }
    }
    // Each accepted job changes the simulated store, which ends the watches of both hosts; watches are also renewed
    // on timeout.
    let changes = cell.commits();
    let renewals = (began.elapsed().as_secs_f64() / Duration::from_millis(500).as_secs_f64()) as usize;
    let most = 8 * (changes + renewals + 1);
    let calls = cell.config_calls() - before;
    assert!(calls <= most, "{calls} calls, {most} at most without the flood");
    assert!(calls < INVALID_CALLS / 10, "{calls} calls");
}

#[tokio::test]
async fn a_job_that_can_never_run_within_the_limit_is_refused_at_once() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[0].config().version == 2 && hosts[1].config().version == 2).await;
    let rail = caller(&hosts[1], "one").await;
    let mut gang = job(3);
    gang.steps[0].gang = true;
    let call = Call::Submit {
        caller: rail.clone(),
        queue: "plans".to_owned(),
        id: 7,
        job: Box::new(gang),
        wait: TEST_TIMEOUT,
    };
    let answer = ask(&hosts[1], call).await;
    assert!(matches!(&answer, Answer::Excessive(excess) if excess.need.cpu_milli == 3000), "{answer:?}");
    assert_eq!(state_as(&hosts[1], &rail, 7).await, Answer::State(None));
    assert_eq!(submit_as(&hosts[1], &rail, 8, 3).await, Answer::Accepted, "single tasks run in waves");
}

/// Guards against a 401 response for a job that runs: the leader stops after it has written the job and before it
/// answers; the host that received the call forwards it to the next leader, which knows that the key is revoked, and
/// returns that answer.
#[tokio::test]
async fn a_job_possibly_accepted_by_an_earlier_leader_is_not_denied_by_the_next() {
    let cell = new_cell();
    cell.set_config(config_with_keys(2, &[("rail", &["one", "two"])]));
    let hosts = start_hosts(&cell, 2).await;
    wait_until("the configuration", || hosts[1].config().version == 2).await;
    let old = caller(&hosts[1], "one").await;
    let before = cell.commits();
    cell.set_commit_delay(Duration::from_secs(2));
    let submitted = tokio::spawn({
        let (host, caller) = (hosts[1].clone(), old.clone());
        async move { submit_as(&host, &caller, 7, 1).await }
    });
    wait_until("it is written", || cell.commits() > before).await;
    cell.set_config(config_with_keys(3, &[("rail", &["two"])]));
    wait_until("both know", || hosts.iter().all(|host| host.config().version == 3)).await;
    hosts[0].stop().await;
    cell.set_commit_delay(Duration::ZERO);
    let answer = submitted.await.expect("an answer");
    assert!(!matches!(answer, Answer::NotAdmitted(_)), "{answer:?}, and it runs");
    let done = Answer::State(Some(State::Ended(work::Outcome::Completed)));
    let end = Instant::now() + TEST_TIMEOUT;
    while state_as(&hosts[1], &Caller::Operator, 7).await != done {
        assert!(Instant::now() < end, "it was written, so it runs");
    }
}
