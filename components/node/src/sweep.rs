//! Removes the records of workloads that ended long ago, so that the configuration does not grow with every job that
//! ever ran.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Partition, Revision, WorkloadId};
use store::{Compare, Purpose, Txn};

use crate::keys::{self, RecordKey};
use crate::shared::Shared;

/// Maximum time between two sweeps.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of workloads removed in one transaction. Each takes a comparison and a deletion for its record and
/// a deletion for the progress of each data centre.
const MAX_WORKLOADS_PER_TXN: usize = 20;

/// Sweeps until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval = MAX_INTERVAL.min(shared.settings.tasks.keep_finished);
    loop {
        tokio::time::sleep(interval).await;
        for number in shared.partitions.owned_here() {
            remove_expired(&shared, number).await;
        }
    }
}

async fn remove_expired(shared: &Shared, number: Partition) {
    let (keep, now) = (shared.settings.tasks.keep_finished, Instant::now());
    let expired_workloads =
        shared.partitions.with(number, |owned| (owned.claim_revision, owned.tracker.expired_workloads(keep, now)));
    let Some((claim_revision, expired)) = expired_workloads else { return };
    for chunk in expired.chunks(MAX_WORKLOADS_PER_TXN) {
        let txn = removal_txn(shared, number, claim_revision, chunk);
        let outcome = shared.store.txn(Purpose::Ends, &txn).await;
        shared.record_platform_result(&outcome);
        if !matches!(outcome, Ok(outcome) if outcome.succeeded) {
            // A record was changed or the claim was lost; the next sweep retries if this host still owns the partition.
            return;
        }
    }
}

/// A transaction that removes workloads, on condition that this host still owns the partition and no record was
/// changed.
fn removal_txn(
    shared: &Shared,
    number: Partition,
    claim_revision: Revision,
    expired: &[(WorkloadId, Revision)],
) -> Txn {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    let key = |record_key: RecordKey| format!("{prefix}{}", record_key.key());
    let claimed = RecordKey::Claim(shared.data_centre().clone(), number);
    let mut txn = Txn { compares: vec![Compare { key: key(claimed), mod_revision: claim_revision }], ..Txn::default() };
    for (name, revision) in expired {
        let record = key(RecordKey::Workload(name.clone()));
        txn.compares.push(Compare { key: record.clone(), mod_revision: *revision });
        txn.deletes.push(record);
        let shares = shared.configuration.workload(name).map(|known| known.record.shares.clone()).unwrap_or_default();
        // Whether there is progress is only known at the platform: what this host has just written may not have come back.
        let progress = shares.into_keys().map(|data_centre| key(RecordKey::Progress(data_centre, name.clone())));
        txn.deletes.extend(progress);
    }
    txn
}
