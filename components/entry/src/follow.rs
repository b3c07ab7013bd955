//! Follows the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use crate::edge::Change;
use crate::host::Host;
use crate::outage::Outage;

/// A watch that brought nothing is renewed after this time.
const WATCH: Duration = Duration::from_secs(20);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads the configuration whenever it may have changed.
pub(crate) async fn config(host: Arc<Host>) {
    let mut outage = Outage::new("configuration");
    loop {
        let (config, mut revision) = match host.edges.directory.config().await {
            Ok(found) => found,
            Err(fault) => {
                outage.failed(&host.log, &fault);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        outage.succeeded(&host.log);
        if let Some(config) = config {
            host.take_config(config, "store");
        }
        while let Some(seen) = unchanged(&host, revision).await {
            revision = seen;
        }
    }
}

/// Waits for a change. The revision to go on from when there was none; `None` when the configuration is to be read.
async fn unchanged(host: &Host, revision: u64) -> Option<u64> {
    match host.edges.directory.config_changed(revision, WATCH).await {
        Ok(Change::Nothing(seen)) => Some(seen),
        Ok(Change::Some) => None,
        Err(_) => {
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}
