//! Releases partitions to live hosts that rank higher for them, so that those can claim them at once.
//!
//! The owner must stop acting before the claim record changes. It keeps the partition's state until the record has
//! changed: while the platform is unavailable nobody else could claim the partition, so the owner must act again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use claim::{Claim, Step};
use model::Partition;
use store::{Purpose, StoreError};
use uuid::Uuid;

use crate::claims::{CONFIGURATION_TIMEOUT, ReleaseReason, claims_txn, drop_partition};
use crate::keys::{self, RecordKey};
use crate::shared::Shared;

/// Delay before a failed release is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Progress of the current release.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Progress {
    #[default]
    Idle,
    Running,
    RetryAt(Instant),
}

impl Progress {
    fn may_start(self, now: Instant) -> bool {
        match self {
            Progress::Idle => true,
            Progress::Running => false,
            Progress::RetryAt(at) => now >= at,
        }
    }
}

/// Starts to release partitions, unless a release is running or has failed a moment ago. The owner's loop doesn't wait
/// for it, since a platform that doesn't answer would hold up the partitions that stay.
pub(crate) fn start(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
    let numbers: Vec<Partition> =
        steps.iter().filter(|(_, step)| *step == Step::Release).map(|(number, _)| *number).collect();
    if numbers.is_empty() {
        return;
    }
    {
        let mut progress = shared.partitions.release.lock();
        if !progress.may_start(Instant::now()) {
            return;
        }
        *progress = Progress::Running;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let result = release(&shared, &numbers).await;
        if let Err(error) = &result {
            events::emit!(shared.log, events::PLATFORM_FAILED, "call" => "release", "why" => error.to_string());
        }
        let retry = Progress::RetryAt(Instant::now() + RETRY_DELAY);
        *shared.partitions.release.lock() = if result.is_ok() { Progress::Idle } else { retry };
    });
}

async fn release(shared: &Arc<Shared>, numbers: &[Partition]) -> Result<(), StoreError> {
    // Without this check, the partitions would be without an acting owner in each attempt during an outage.
    check_platform(shared, numbers).await?;
    let released: Vec<(Partition, Claim)> = numbers.iter().filter_map(|number| stop_acting(shared, *number)).collect();
    if released.is_empty() {
        return Ok(());
    }
    let outcome = shared.store.txn(Purpose::Claims, &claims_txn(shared, &released)).await;
    shared.record_platform_result(&outcome);
    let written = outcome.as_ref().is_ok_and(|outcome| outcome.succeeded);
    for (number, claim) in released {
        // This host may own the partition under a later claim by now.
        let reclaimed = shared.partitions.with(number, |owned| owned.tracker.epoch() > claim.epoch).unwrap_or(false);
        match written {
            _ if reclaimed => {}
            true => drop_partition(shared, number, ReleaseReason::HandedOver),
            false => act_again(shared, number),
        }
    }
    let revision = outcome?.revision;
    // Until then, this host would find its claim in the configuration and release it again.
    shared.configuration.wait_for_revision(revision, CONFIGURATION_TIMEOUT).await;
    Ok(())
}

/// Fails if the platform doesn't answer a read.
async fn check_platform(shared: &Arc<Shared>, numbers: &[Partition]) -> Result<(), StoreError> {
    let Some(number) = numbers.first() else { return Ok(()) };
    let record_key = RecordKey::Claim(shared.data_centre().clone(), *number);
    let key = format!("{}{}", keys::cell_prefix(&shared.settings.cell), record_key.key());
    let read = shared.store.get(Purpose::Claims, &key).await;
    shared.record_platform_result(&read);
    read.map(|_| ())
}

/// Stops acting as the owner of a partition. Returns the released claim to write.
fn stop_acting(shared: &Shared, number: Partition) -> Option<(Partition, Claim)> {
    let (claim, _) = shared.configuration.claim(shared.data_centre(), number)?;
    shared.partitions.with(number, |owned| owned.releasing = true);
    Some((number, Claim { owner: None, epoch: claim.epoch, change: Uuid::new_v4() }))
}

/// Acts as the owner again once the claim is confirmed: the release may have been written without an answer, and
/// another host may have claimed the partition since.
fn act_again(shared: &Shared, number: Partition) {
    shared.partitions.with(number, |owned| {
        owned.releasing = false;
        owned.authority.revoke();
    });
}
