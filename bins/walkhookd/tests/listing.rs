//! Entries of the platform's list of hosts that another writer has left and that can't be read.

mod support;

use support::{CORES, Cell, batch, wait_until};

/// Entries that aren't hosts, each with another fault.
fn invalid_entries() -> Vec<String> {
    let entry = |name: &str, address: &str, cores: &str| {
        format!(
            r#"{{"name":"{name}","kind":"worker","data_centre":"gt-1","rack":"r1","address":"{address}","capacity":{{"cpu_milli":{cores},"memory_mib":1,"accelerators":0}}}}"#
        )
    };
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    vec![
        entry("port-out-of-range", "127.0.0.1:70000", "1000"),
        entry("negative-port", "127.0.0.1:-1", "1000"),
        entry("host-name", "worker.example:80", "1000"),
        entry("number-too-large", "127.0.0.1:9", "18446744073709551616"),
        entry("exponent-too-large", "127.0.0.1:9", "1e999999999"),
        entry("many-digits", "127.0.0.1:9", &"9".repeat(500)),
        entry("nested", "127.0.0.1:9", &nested(100_000)),
        format!(r#"{{"name":"nested-unknown-field","further":{}}}"#, nested(100_000)),
        nested(100_000),
        r#"{"name":7}"#.to_owned(),
        "null".to_owned(),
        r#""text""#.to_owned(),
    ]
}

/// Guards against a list of hosts that is no longer followed because of one entry that can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_of_the_list_do_not_affect_the_other_hosts() {
    let mut cell = Cell::start(&[("gt-1", 2, 1)]).await;
    for entry in invalid_entries() {
        cell.platform.add_raw_host(entry).expect("JSON");
    }
    cell.add_worker("gt-1", 1).await;
    cell.wait_for_rows(0, "show workers where state = live", 2).await;
    cell.submit(0, &batch("both", 2 * CORES, 1, "run 10m")).await;
    wait_until("all tasks run", || async {
        cell.workers.iter().map(|(_, worker)| worker.running().len()).sum::<usize>() == 2 * CORES as usize
    })
    .await;
    assert!(cell.hosts.iter_mut().all(|host| host.is_running()), "no process has ended");
}

/// Guards against taking a worker for gone because its entry can't be read any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_entry_becomes_invalid_is_still_used() {
    let mut cell = Cell::start(&[("gt-1", 2, 1)]).await;
    cell.submit(0, &batch("before", CORES / 2, 1, "run 10m")).await;
    cell.wait_for_rows(0, "show tasks where state = running", (CORES / 2) as usize).await;
    cell.platform.invalidate_host("gt-1-w0");
    cell.add_worker("gt-1", 1).await;
    cell.wait_for_rows(0, "show workers where state = live", 2).await;
    cell.submit(0, &batch("after", CORES + CORES / 2, 1, "run 10m")).await;
    cell.wait_for_rows(0, "show tasks where state = running", 2 * CORES as usize).await;
    assert_eq!(cell.started_more_than_once(), []);
}
