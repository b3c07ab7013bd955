//! Implements the operators' API.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use api::{Command, Health, OperatorHandler, Outcome};
use async_trait::async_trait;
use member::Presence;
use model::CommandId;
use prometheus_client::registry::Registry;

use crate::commands;
use crate::shared::Shared;

pub(crate) struct OperatorApi {
    shared: Arc<Shared>,
    registry: Registry,
}

impl OperatorApi {
    pub(crate) fn new(shared: Arc<Shared>) -> OperatorApi {
        let registry = shared.metrics.registry();
        OperatorApi { shared, registry }
    }
}

#[async_trait]
impl OperatorHandler for OperatorApi {
    async fn execute(&self, command: Command) -> Outcome {
        commands::execute(&self.shared, command).await
    }

    async fn outcome(&self, command: CommandId) -> Outcome {
        commands::outcome(&self.shared, command).await
    }

    fn health(&self) -> Health {
        Health {
            host: self.shared.own.host.clone(),
            data_centre: self.shared.own.data_centre.clone(),
            serving: self.shared.membership.presence() == Presence::Serving,
            revision: self.shared.configuration.revision(),
            platform: self.shared.platform_reachable.load(Ordering::Relaxed),
        }
    }

    fn metrics(&self) -> String {
        metrics::encode(&self.registry)
    }

    fn shared_key(&self) -> &str {
        &self.shared.settings.shared_key
    }
}
