//! What a new leader takes for granted of the leaders before it.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{Answer, Call, Host, Leader, Leadership, Predecessors, Role};
use fakes::cell::{Cell, SimulatedRun};
use sched::RunOutcome;
use support::{POLL_INTERVAL, config, leads, new_cell, start_hosts, submit, wait_until};
use work::WorkerId;

/// Claim delay of a weak host.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// A leader that nothing tells that it was replaced: it is cut off, and there are no workers.
async fn start_cut_off_leader() -> (Arc<Cell>, Arc<Host>, Instant) {
    let cell = Cell::new(config(1));
    let first = cell.start_host("first").await.expect("a free port");
    wait_until("it leads", || leads(&first)).await;
    let cut_off_at = Instant::now();
    cell.set_store_unavailable("first", true);
    cell.delete_key("walkhook/leader");
    (cell, first, cut_off_at)
}

fn leadership(host: &Host) -> Arc<Leadership> {
    match host.role() {
        Role::Leading(leadership) => leadership,
        Role::NoLeader | Role::Following(..) => panic!("the host leads"),
    }
}

#[tokio::test]
async fn a_cut_off_leader_before_a_short_lived_one_is_not_considered_ended() {
    let (cell, first, cut_off_at) = start_cut_off_leader().await;
    let weak = cell.start_host_with_claim_delay("weak", WEAK_CLAIM_DELAY).await.expect("a free port");
    wait_until("the weak one leads", || leads(&weak)).await;
    let strong = cell.start_host("strong").await.expect("a free port");
    wait_until("the strong one leads", || leads(&strong)).await;
    let may_be_active = leads(&first) && cut_off_at.elapsed() < sched::AUTHORITY_TIMEOUT;
    assert!(!(may_be_active && leadership(&strong).predecessor_ended()), "the first may still grant leases");
}

#[tokio::test]
async fn a_cut_off_leader_before_a_crashed_one_is_not_considered_ended() {
    let (cell, first, cut_off_at) = start_cut_off_leader().await;
    let second = cell.start_host("second").await.expect("a free port");
    wait_until("the second leads", || leads(&second)).await;
    let third = cell.start_host("third").await.expect("a free port");
    let fourth = cell.start_host("fourth").await.expect("a free port");
    let follows = |host: &Host| matches!(host.role(), Role::Following(..));
    wait_until("both follow", || follows(&third) && follows(&fourth)).await;
    cell.set_store_unavailable("second", true);
    cell.delete_key("walkhook/leader");
    wait_until("another leads", || leads(&third) || leads(&fourth)).await;
    let next = if leads(&third) { third } else { fourth };
    wait_until("the second follows", || follows(&second)).await;
    wait_until("all have ended", || leadership(&next).predecessor_ended()).await;
    assert!(!leads(&first) || cut_off_at.elapsed() >= sched::AUTHORITY_TIMEOUT, "the first may still grant leases");
}

/// Otherwise each takeover would wait for leaders that ended long ago and never follow another one.
#[tokio::test]
async fn leaders_that_have_ended_are_not_waited_for_by_the_next_but_one() {
    let cell = Cell::new(config(1));
    let hosts = start_hosts(&cell, 2).await;
    cell.set_store_unavailable("host-0", true);
    cell.delete_key("walkhook/leader");
    wait_until("the next leads", || leads(&hosts[1])).await;
    wait_until("its predecessor has ended", || leadership(&hosts[1]).predecessor_ended()).await;
    let recorded = || postcard::from_bytes::<(Leader, Predecessors)>(&cell.values("walkhook/last")[0]);
    let mut job = 0;
    while recorded().expect("a record of the last leader").1 != Predecessors::default() {
        job += 1;
        assert_eq!(submit(&hosts[1], job, 1).await, Answer::Accepted);
        assert!(job < 1000, "never recorded");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Otherwise the record would grow with each claim while leaders follow each other quickly.
#[tokio::test]
async fn a_series_of_short_lived_leaders_is_remembered_in_bounded_space() {
    const CLAIMS: usize = 12;
    const MAX_LEADERS: usize = 8;
    let cell = Cell::new(config(1));
    let mut hosts = Vec::new();
    for number in 0..CLAIMS {
        let name = format!("host-{number}");
        let host = cell.start_host(&name).await.expect("a free port");
        wait_until("it leads", || leads(&host)).await;
        cell.set_store_unavailable(&name, true);
        cell.delete_key("walkhook/leader");
        hosts.push(host);
    }
    type Recorded = (Leader, (Vec<Leader>, bool, Duration));
    let (last, (leaders, unknown, _)) =
        postcard::from_bytes::<Recorded>(&cell.values("walkhook/last")[0]).expect("a record of the last leader");
    assert_eq!(last.term, CLAIMS as u64);
    assert!(leaders.len() <= MAX_LEADERS && unknown, "{} leaders", leaders.len());
}

/// Time after its last run within which a long-running task must run again, and the time to live of the leader's lease.
const LONG_RUNNING_TASK_DOWNTIME: Duration = Duration::from_secs(9);
const STORE_LEASE: Duration = Duration::from_secs(1);

/// Guards against a wait of 14 s before the tasks of a lost worker start again if the leader was lost with it.
#[tokio::test]
async fn leases_of_a_lost_leader_are_waited_for_no_longer_than_they_last() {
    let (cell, _first, _) = start_cut_off_leader().await;
    let second = cell.start_host("second").await.expect("a free port");
    wait_until("the second leads", || leads(&second)).await;
    let leases_for = leadership(&second).predecessor_leases_for().expect("the first bounds its leases");
    assert!(leases_for < LONG_RUNNING_TASK_DOWNTIME - STORE_LEASE, "{leases_for:?}");
}

/// Guards against two runs of a task while a leader of an earlier version, whose leases have no such bound, is replaced.
#[tokio::test]
async fn leases_of_a_leader_of_an_earlier_version_are_waited_for_as_long_as_it_may_be_active() {
    let (cell, first, _) = start_cut_off_leader().await;
    let leader = Leader {
        host: "first".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        term: leadership(&first).term,
    };
    let no_predecessors = (0_u8, false, Duration::ZERO);
    let record = postcard::to_stdvec(&(leader, no_predecessors)).expect("a record");
    cell.rewrite_values("walkhook/last", |value| value.clone_from(&record));
    let second = cell.start_host("second").await.expect("a free port");
    wait_until("the second leads", || leads(&second)).await;
    assert_eq!(leadership(&second).predecessor_leases_for(), None);
}

/// How long after the last renewal of a leader's own lease the leases end that it grants.
const LEASE_HORIZON: Duration = Duration::from_secs(8);

/// A host that leads, and the worker that runs a long task.
async fn start_cell_with_a_run() -> (Arc<Cell>, Vec<Arc<Host>>, WorkerId) {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 1).await;
    cell.simulate_runs(SimulatedRun { duration: support::TEST_TIMEOUT, outcome: RunOutcome::Done });
    assert_eq!(submit(&hosts[0], 7, 1).await, Answer::Accepted);
    wait_until("it runs", || !cell.starts().is_empty()).await;
    let worker = cell.starts()[0].0.clone();
    (cell, hosts, worker)
}

fn lease_end(cell: &Cell, worker: &str) -> Duration {
    cell.update_worker(worker, |runner| runner.lease_until).expect("a worker")
}

/// Guards against leases that last beyond the time for which the next leader waits: a leader that is cut off from the store
/// grants shorter and shorter ones.
#[tokio::test]
async fn leases_of_a_cut_off_leader_end_within_their_horizon() {
    let (cell, _hosts, worker) = start_cell_with_a_run().await;
    cell.set_store_unavailable("host-0", true);
    let lease_end = || lease_end(&cell, &worker);
    let (cut_off_at, before) = (cell.worker_clock(), lease_end());
    wait_until("it has no authority", || cell.worker_clock() > cut_off_at + sched::AUTHORITY_TIMEOUT).await;
    assert!(lease_end() > before, "leases are renewed without the store");
    assert!(lease_end() <= cut_off_at + LEASE_HORIZON, "until {:?}, cut off at {cut_off_at:?}", lease_end());
}

/// Hosts of the version before take all earlier leaders for ended.
#[test]
fn messages_and_records_of_the_version_before_are_understood() {
    const TAKE_OVER: u8 = 3;
    const RECORD_REVISION: u8 = 7;
    let call = postcard::from_bytes::<Call>(&[TAKE_OVER, RECORD_REVISION]).expect("a call");
    let Call::TakeOver { record_revision, predecessors } = call else { panic!("{call:?}") };
    assert_eq!((record_revision, predecessors), (u64::from(RECORD_REVISION), Predecessors::default()));
    let leader = Leader { host: "host-0".to_owned(), incarnation: 1, address: "127.0.0.1:1".to_owned(), term: 4 };
    let record = postcard::to_stdvec(&(&leader, Predecessors::default())).expect("a record");
    assert_eq!(postcard::from_bytes::<Leader>(&record), Ok(leader));
}

/// Guards against leases that last too long while the leader's record is missing: another host may claim at once, whether or not the
/// new lease that was requested for the record is renewed.
#[tokio::test]
async fn a_lease_whose_record_is_not_written_prolongs_no_leases_of_workers() {
    let (cell, hosts, worker) = start_cell_with_a_run().await;
    let lost_at = cell.worker_clock();
    cell.drop_commits(usize::MAX);
    cell.expire_all_leases();
    // By then leases would go beyond the horizon.
    wait_until("time passes", || cell.worker_clock() > lost_at + LEASE_HORIZON / 2).await;
    assert!(leads(&hosts[0]));
    assert!(lease_end(&cell, &worker) <= lost_at + LEASE_HORIZON);
}
