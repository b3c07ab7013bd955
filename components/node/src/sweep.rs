//! Removes the records of workloads that have been over for long, so that the configuration does not grow with
//! every job that ever ran.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{Partition, Revision, WorkloadId};
use store::{Compare, Txn, Use};

use crate::keys::{self, Place};
use crate::shared::Shared;

/// How often it is looked for such workloads, at the most.
const MOST_SELDOM: Duration = Duration::from_secs(10);
/// Workloads removed in one transaction: each takes a comparison and a deletion for its record and for the
/// progress of each data centre.
const AT_ONCE: usize = 20;

/// Sweeps until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let every = MOST_SELDOM.min(shared.settings.tasks.keep_finished);
    loop {
        tokio::time::sleep(every).await;
        for number in shared.partitions.owned_here() {
            sweep(&shared, number).await;
        }
    }
}

async fn sweep(shared: &Shared, number: Partition) {
    let (keep, now) = (shared.settings.tasks.keep_finished, Instant::now());
    let found = shared.partitions.with(number, |owned| (owned.revision, owned.book.expired_workloads(keep, now)));
    let Some((claim, expired)) = found else { return };
    for some in expired.chunks(AT_ONCE) {
        let txn = removal(shared, number, claim, some);
        let outcome = shared.store.txn(Use::Ends, &txn).await;
        shared.platform_said(&outcome);
        if !matches!(outcome, Ok(outcome) if outcome.succeeded) {
            // A record was changed, or the claim is lost: the next look sees.
            return;
        }
    }
}

/// On the condition that the partition is still claimed by this host and no record was changed.
fn removal(shared: &Shared, number: Partition, claim: Revision, expired: &[(WorkloadId, Revision)]) -> Txn {
    let prefix = keys::prefix(&shared.settings.cell);
    let key = |place: Place| format!("{prefix}{}", place.key());
    let claimed = Place::Claim(shared.data_centre().clone(), number);
    let mut txn = Txn { compares: vec![Compare { key: key(claimed), mod_revision: claim }], ..Txn::default() };
    for (name, revision) in expired {
        let record = key(Place::Workload(name.clone()));
        txn.compares.push(Compare { key: record.clone(), mod_revision: *revision });
        txn.deletes.push(record);
        let shares = shared.configuration.workload(name).map(|known| known.record.shares.clone()).unwrap_or_default();
        for data_centre in shares.into_keys() {
            if shared.configuration.progress(&data_centre, name).is_some() {
                txn.deletes.push(key(Place::Progress(data_centre, name.clone())));
            }
        }
    }
    txn
}
