//! Follows the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use events::emit;

use crate::edge::Change;
use crate::host::Host;

/// A watch that brought nothing is renewed after this time.
const WATCH: Duration = Duration::from_secs(20);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads the configuration whenever it may have changed.
pub(crate) async fn config(host: Arc<Host>) {
    let mut revision;
    let mut failing = false;
    loop {
        match host.edges.directory.config().await {
            Ok((config, seen)) => {
                revision = seen;
                if std::mem::take(&mut failing) {
                    emit!(host.log, events::PLATFORM_BACK, "call" => "configuration");
                }
                if let Some(config) = config {
                    host.take_config(config, "store");
                }
            }
            Err(fault) => {
                if !std::mem::replace(&mut failing, true) {
                    emit!(host.log, events::PLATFORM_FAILED, "call" => "configuration", "fault" => fault.to_string());
                }
                tokio::time::sleep(PAUSE).await;
                continue;
            }
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
