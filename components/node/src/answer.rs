//! Answers requests from peers.

use std::sync::Arc;
use std::time::Instant;

use wire::{Answer, Request};

use crate::shared::Shared;
use crate::{held_workers, show};

pub(crate) async fn answer(shared: &Arc<Shared>, request: Request) -> Answer {
    match request {
        Request::Configuration { since } => Answer::Configuration(shared.configuration.delta(since)),
        Request::Facts { since } => Answer::Facts(shared.facts.own_delta(since)),
        Request::List { since } => {
            if shared.listing.version() <= since {
                return Answer::Done;
            }
            let (version, hosts) = shared.listing.all();
            Answer::List(version, hosts)
        }
        Request::Announce { partition, epoch } => Answer::Inventory(held_workers::announce(shared, partition, epoch)),
        Request::Epochs => Answer::Epochs(shared.held_workers.epochs()),
        Request::Start { partition, epoch, orders } => {
            let (answers, version) = held_workers::start(shared, partition, epoch, &orders, Instant::now());
            Answer::Started(answers, version)
        }
        Request::Reserve { partition, epoch, orders } => {
            Answer::Reserved(held_workers::reserve(shared, partition, epoch, &orders, Instant::now()))
        }
        Request::Stop { partition, epoch, orders } => {
            held_workers::stop(shared, partition, epoch, &orders);
            Answer::Done
        }
        Request::Acknowledge { ends } => {
            held_workers::acknowledge(shared, &ends);
            Answer::Done
        }
        Request::Show { statement } => match show::local_rows(shared, &statement) {
            Ok(rows) => Answer::Rows(rows),
            Err(reason) => Answer::Refused(reason),
        },
        Request::Keys { from, keys, last } => {
            if !shared.gateway.restore_keys(&keys) {
                return Answer::Refused("no room to remember the keys".to_owned());
            }
            if last {
                shared.gateway.record_handover(from);
            }
            Answer::Done
        }
    }
}
