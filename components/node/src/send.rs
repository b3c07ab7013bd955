//! Sends an owner's orders to the hosts that hold the workers, which include this host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use facts::VisibleFrom;
use futures_util::future::join_all;
use model::{Epoch, HostId, Partition, Reason, WorkerId};
use wire::{Answer, Request, ReserveOrder, StartAnswer, StartOrder, StopOrder};

use crate::peers::CallError;
use crate::shared::Shared;
use crate::{answer, owner};

/// Groups orders by the holders of their workers. Orders for workers without a holder are returned separately.
fn group_by_holder<T>(
    shared: &Shared,
    orders: Vec<T>,
    worker: impl Fn(&T) -> &WorkerId,
) -> (BTreeMap<HostId, Vec<T>>, Vec<T>) {
    let mut by_host: BTreeMap<HostId, Vec<T>> = BTreeMap::new();
    let mut unheld = Vec::new();
    for order in orders {
        match shared.facts.holder(worker(&order)) {
            Some((host, _)) => by_host.entry(host).or_default().push(order),
            None => unheld.push(order),
        }
    }
    (by_host, unheld)
}

/// Sends a request to a host, or answers it directly if the host is this one.
async fn call_holder(shared: &Arc<Shared>, host: &HostId, request: Request) -> Result<Answer, CallError> {
    if *host == shared.own.host {
        return Ok(Box::pin(answer::answer(shared, request)).await);
    }
    let Some(member) = shared.membership.get(host) else { return Err(CallError::NotSent) };
    shared.peer_client.call(member.peer.peers, &request).await
}

/// Sends start orders and applies the answers. Orders without an answer remain pending and are sent again.
pub(crate) async fn starts(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: Vec<StartOrder>) {
    let (by_host, _) = group_by_holder(shared, orders, |order| &order.worker);
    let calls = by_host.into_iter().map(|(host, orders)| async move {
        let request = Request::Start { partition, epoch, orders: orders.clone() };
        let answer = call_holder(shared, &host, request).await;
        if let Ok(Answer::Started(answers, version)) = answer {
            apply_start_answers(shared, partition, version, &orders, &answers);
        }
    });
    join_all(calls).await;
}

fn apply_start_answers(
    shared: &Arc<Shared>,
    partition: Partition,
    version: u64,
    orders: &[StartOrder],
    answers: &[StartAnswer],
) {
    let now = Instant::now();
    let mut refused = false;
    shared.partitions.with(partition, |owned| {
        for (order, answer) in orders.iter().zip(answers) {
            let reason = match answer {
                StartAnswer::Accepted(epoch) => {
                    let visible_from = VisibleFrom { epoch: *epoch, version };
                    owner::record_started(owned, &order.task, order.attempt, visible_from, now);
                    continue;
                }
                StartAnswer::Full(free) => Reason::NoRoom { nearest: order.worker.clone(), free: *free },
                StartAnswer::Closed => Reason::NotLookedAt,
                // The worker is moving to another holder, which may have received this order already. It is sent again.
                StartAnswer::NotHolder | StartAnswer::Superseded(_) => continue,
            };
            refused = true;
            owned.tracker.start_refused(&order.task, order.attempt, reason, now);
        }
    });
    if refused {
        shared.schedule_needed.notify_one();
    }
}

/// Asks holders to reserve resources. Returns the workers on which all of them are free now.
pub(crate) async fn reservations(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: Vec<ReserveOrder>,
) -> BTreeSet<WorkerId> {
    let (by_host, _) = group_by_holder(shared, orders, |order| &order.worker);
    let calls = by_host.into_iter().map(|(host, orders)| async move {
        let workers: Vec<WorkerId> = orders.iter().map(|order| order.worker.clone()).collect();
        let Ok(Answer::Reserved(ready)) =
            call_holder(shared, &host, Request::Reserve { partition, epoch, orders }).await
        else {
            return Vec::new();
        };
        workers.into_iter().zip(ready).filter(|(_, ready)| *ready).map(|(worker, _)| worker).collect()
    });
    join_all(calls).await.into_iter().flatten().collect()
}

/// Sends stop orders. Lost ones are sent again at the next tick.
pub(crate) async fn stops(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: Vec<StopOrder>) {
    let (by_host, _) = group_by_holder(shared, orders, |order| &order.worker);
    let calls = by_host.into_iter().map(|(host, orders)| async move {
        let _ = call_holder(shared, &host, Request::Stop { partition, epoch, orders }).await;
    });
    join_all(calls).await;
}

/// Lets workers forget ends of tasks. A lost acknowledgement is repeated when the end appears in the facts again.
pub(crate) async fn acknowledgements(shared: &Arc<Shared>, ends: Vec<StopOrder>) {
    let (by_host, _) = group_by_holder(shared, ends, |order| &order.worker);
    let calls = by_host.into_iter().map(|(host, ends)| async move {
        let _ = call_holder(shared, &host, Request::Acknowledge { ends }).await;
    });
    join_all(calls).await;
}
