//! Sends an owner's orders to the holders of the workers, here or at other hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use facts::VisibleFrom;
use futures_util::future::join_all;
use model::{Epoch, HostId, Partition, Reason, WorkerId};
use wire::{Answer, Request, ReserveOrder, StartAnswer, StartOrder, StopOrder};

use crate::peers::Fault;
use crate::shared::Shared;
use crate::{answer, owner};

/// Sorts orders by the holders of their workers; those of workers without a holder are left out.
fn by_holder<T>(
    shared: &Shared,
    orders: Vec<T>,
    worker: impl Fn(&T) -> &WorkerId,
) -> (BTreeMap<HostId, Vec<T>>, Vec<T>) {
    let mut sorted: BTreeMap<HostId, Vec<T>> = BTreeMap::new();
    let mut without = Vec::new();
    for order in orders {
        match shared.facts.holder(worker(&order)) {
            Some((host, _)) => sorted.entry(host).or_default().push(order),
            None => without.push(order),
        }
    }
    (sorted, without)
}

/// Asks a host, which may be this one.
async fn ask(shared: &Arc<Shared>, host: &HostId, request: Request) -> Result<Answer, Fault> {
    if *host == shared.own.host {
        return Ok(Box::pin(answer::answer(shared, request)).await);
    }
    let Some(member) = shared.membership.get(host) else { return Err(Fault::NotSent) };
    shared.links.call(member.peer.peers, &request).await
}

/// Sends start orders and takes in the answers. An order without an answer stays ordered and is sent again.
pub(crate) async fn starts(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: Vec<StartOrder>) {
    let (sorted, _) = by_holder(shared, orders, |order| &order.worker);
    let calls = sorted.into_iter().map(|(host, orders)| async move {
        let request = Request::Start { partition, epoch, orders: orders.clone() };
        let answer = ask(shared, &host, request).await;
        if let Ok(Answer::Started(answers, version)) = answer {
            started(shared, partition, version, &orders, &answers);
        }
    });
    join_all(calls).await;
}

fn started(shared: &Arc<Shared>, partition: Partition, version: u64, orders: &[StartOrder], answers: &[StartAnswer]) {
    let now = Instant::now();
    let mut refused = false;
    shared.partitions.with(partition, |owned| {
        for (order, answer) in orders.iter().zip(answers) {
            let reason = match answer {
                StartAnswer::Accepted(epoch) => {
                    let shown = VisibleFrom { epoch: *epoch, version };
                    owner::committed(owned, &order.task, order.attempt, shown, now);
                    continue;
                }
                StartAnswer::Full(free) => Reason::NoRoom { nearest: order.worker.clone(), free: *free },
                StartAnswer::Closed => Reason::NotLookedAt,
                // The worker is on its way to another holder, which may have this very order: it is sent again.
                StartAnswer::NotHolder | StartAnswer::Superseded(_) => continue,
            };
            refused = true;
            owned.book.start_refused(&order.task, order.attempt, reason, now);
        }
    });
    if refused {
        shared.look_again.notify_one();
    }
}

/// Asks holders to keep room. Returns the workers where all of it is there now.
pub(crate) async fn reservations(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: Vec<ReserveOrder>,
) -> BTreeSet<WorkerId> {
    let (sorted, _) = by_holder(shared, orders, |order| &order.worker);
    let calls = sorted.into_iter().map(|(host, orders)| async move {
        let workers: Vec<WorkerId> = orders.iter().map(|order| order.worker.clone()).collect();
        let Ok(Answer::Reserved(there)) = ask(shared, &host, Request::Reserve { partition, epoch, orders }).await
        else {
            return Vec::new();
        };
        workers.into_iter().zip(there).filter(|(_, there)| *there).map(|(worker, _)| worker).collect()
    });
    join_all(calls).await.into_iter().flatten().collect()
}

/// Sends stop orders. Lost ones are sent again at the next look.
pub(crate) async fn stops(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: Vec<StopOrder>) {
    let (sorted, _) = by_holder(shared, orders, |order| &order.worker);
    let calls = sorted.into_iter().map(|(host, orders)| async move {
        let _ = ask(shared, &host, Request::Stop { partition, epoch, orders }).await;
    });
    join_all(calls).await;
}

/// Lets workers forget ends. A lost one is repeated when the end shows in the facts again.
pub(crate) async fn acknowledgements(shared: &Arc<Shared>, ends: Vec<StopOrder>) {
    let (sorted, _) = by_holder(shared, ends, |order| &order.worker);
    let calls = sorted.into_iter().map(|(host, ends)| async move {
        let _ = ask(shared, &host, Request::Acknowledge { ends }).await;
    });
    join_all(calls).await;
}
