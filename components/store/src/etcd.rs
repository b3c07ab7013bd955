//! The client of the etcd v3 JSON gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::budget::{Budget, Use};
use crate::gateway::{
    Base64, CompareRequest, DeleteRequest, Entry, Event, KeyValue, Lease, LeaseRequest, LeaseResponse, MAX_VALUE,
    Number, Operation, Outcome, Put, PutRequest, Range, RangeRequest, RangeResponse, Txn, TxnRequest, TxnResponse,
    WatchCreate, WatchEvent, WatchLine, WatchRequest, range_end,
};
use crate::store::{Changes, Fault, Store};

const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// Longest line of a watch: a transaction of several large values.
const MAX_LINE: usize = 16 * 1024 * 1024;
/// Messages of a watch that may wait for their reader.
const WATCH_QUEUE: usize = 64;

/// A platform behind an address.
pub struct Client {
    http: web::Client,
    base: String,
    budget: Arc<Budget>,
}

impl Client {
    /// Creates a client; each call but a watch ends after `timeout` and takes from `budget`.
    pub fn new(address: SocketAddr, timeout: Duration, budget: Arc<Budget>) -> Client {
        Client { http: web::Client::new(timeout, MAX_ANSWER), base: format!("http://{address}/v3"), budget }
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(&self, usage: Use, path: &str, body: &Q) -> Result<A, Fault> {
        if !self.budget.take(usage, Instant::now()) {
            return Err(Fault::OverBudget);
        }
        self.http.post(&format!("{}{path}", self.base), body).await.map_err(from_web)
    }

    async fn read(&self, usage: Use, request: &RangeRequest) -> Result<Range, Fault> {
        let answer: RangeResponse = self.call(usage, "/kv/range", request).await?;
        Ok(Range { entries: answer.kvs.into_iter().map(entry).collect(), revision: answer.header.revision.0 })
    }
}

#[async_trait]
impl Store for Client {
    async fn range(&self, usage: Use, prefix: &str) -> Result<Range, Fault> {
        let request = RangeRequest { key: Base64::text(prefix), range_end: Base64(range_end(prefix)) };
        self.read(usage, &request).await
    }

    async fn get(&self, usage: Use, key: &str) -> Result<Entry, Fault> {
        let request = RangeRequest { key: Base64::text(key), range_end: Base64::default() };
        let range = self.read(usage, &request).await?;
        let missing = Entry { key: key.to_owned(), value: Vec::new(), mod_revision: 0 };
        Ok(range.entries.into_iter().next().unwrap_or(missing))
    }

    async fn txn(&self, usage: Use, txn: &Txn) -> Result<Outcome, Fault> {
        if let Some(put) = txn.puts.iter().find(|put| put.value.len() > MAX_VALUE) {
            return Err(Fault::TooLarge(put.key.clone(), put.value.len()));
        }
        let answer: TxnResponse = self.call(usage, "/kv/txn", &encode(txn)).await?;
        Ok(Outcome { succeeded: answer.succeeded, revision: answer.header.revision.0 })
    }

    async fn grant(&self, usage: Use, ttl: Duration) -> Result<Lease, Fault> {
        let request = LeaseRequest { ttl: Number(ttl.as_secs().max(1)), id: Number(0) };
        let answer: LeaseResponse = self.call(usage, "/lease/grant", &request).await?;
        Ok(answer.id.0)
    }

    async fn keepalive(&self, usage: Use, lease: Lease) -> Result<bool, Fault> {
        let request = LeaseRequest { ttl: Number(0), id: Number(lease) };
        let answer: LeaseResponse = self.call(usage, "/lease/keepalive", &request).await?;
        Ok(answer.ttl.0 > 0)
    }

    async fn revoke(&self, usage: Use, lease: Lease) -> Result<(), Fault> {
        let request = LeaseRequest { ttl: Number(0), id: Number(lease) };
        let _: LeaseResponse = self.call(usage, "/lease/revoke", &request).await?;
        Ok(())
    }

    async fn watch(&self, usage: Use, prefix: &str, from: u64) -> Result<mpsc::Receiver<Changes>, Fault> {
        if !self.budget.take(usage, Instant::now()) {
            return Err(Fault::OverBudget);
        }
        let create = WatchCreate {
            key: Base64::text(prefix),
            range_end: Base64(range_end(prefix)),
            start_revision: Number(from),
            progress_notify: true,
        };
        let request = WatchRequest { create_request: create };
        let body = self.http.stream(&format!("{}/watch", self.base), &request).await.map_err(from_web)?;
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        tokio::spawn(follow(body, sender));
        Ok(receiver)
    }
}

/// Splits the stream into lines and sends each as changes, until either side ends.
async fn follow(mut body: Incoming, sender: mpsc::Sender<Changes>) {
    let mut pending: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return,
        };
        let Some(Ok(frame)) = frame else { return };
        let Ok(data) = frame.into_data() else { continue };
        pending.extend_from_slice(&data);
        if pending.len() > MAX_LINE {
            return;
        }
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Some(changes) = decode(&line) else { return };
            if sender.send(changes).await.is_err() {
                return;
            }
        }
    }
}

/// `None` when the line can't be read or says that the watch has ended.
fn decode(line: &[u8]) -> Option<Changes> {
    let line: WatchLine = serde_json::from_slice(line).ok()?;
    let result = line.result;
    if result.compact_revision.0 > 0 {
        return Some(Changes::Compacted);
    }
    if result.canceled {
        return None;
    }
    let events = result.events.into_iter().map(event).collect();
    Some(Changes::Upto(events, result.header.revision.0))
}

fn event(event: WatchEvent) -> Event {
    let deleted = event.kind == "DELETE";
    Event {
        key: event.kv.key.to_text(),
        value: (!deleted).then_some(event.kv.value.0),
        revision: event.kv.mod_revision.0,
    }
}

fn entry(kv: KeyValue) -> Entry {
    Entry { key: kv.key.to_text(), value: kv.value.0, mod_revision: kv.mod_revision.0 }
}

fn encode(txn: &Txn) -> TxnRequest {
    let compare = txn.compares.iter().map(|compare| CompareRequest {
        key: Base64::text(&compare.key),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Number(compare.mod_revision),
    });
    let puts = txn.puts.iter().map(encode_put);
    let deletes = txn.deletes.iter().map(|key| Operation::Delete(DeleteRequest { key: Base64::text(key) }));
    TxnRequest { compare: compare.collect(), success: puts.chain(deletes).collect() }
}

fn encode_put(put: &Put) -> Operation {
    Operation::Put(PutRequest {
        key: Base64::text(&put.key),
        value: Base64(put.value.clone()),
        lease: Number(put.lease),
    })
}

/// A status of 4xx is the service's own refusal; any other fault after sending leaves the effect open.
fn from_web(fault: web::Fault) -> Fault {
    match fault {
        web::Fault::NotSent(message) => Fault::NotSent(message),
        web::Fault::Status { status, body } if status.is_client_error() => Fault::Refused(body),
        other => Fault::Unknown(other.to_string()),
    }
}
