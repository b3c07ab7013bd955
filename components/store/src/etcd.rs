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

use crate::budget::{Budget, Purpose};
use crate::gateway::{
    Base64, CompareRequest, DeleteRequest, Entry, Event, KeyValue, Lease, LeaseRequest, LeaseResponse, MAX_VALUE,
    Number, Operation, Put, PutRequest, Range, RangeRequest, RangeResponse, Txn, TxnOutcome, TxnRequest, TxnResponse,
    WatchCreate, WatchEvent, WatchLine, WatchRequest, range_end,
};
use crate::store::{Store, StoreError, WatchUpdate};

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

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        purpose: Purpose,
        path: &str,
        body: &Q,
    ) -> Result<A, StoreError> {
        if !self.budget.try_take(purpose, Instant::now()) {
            return Err(StoreError::OverBudget);
        }
        self.http.post(&format!("{}{path}", self.base), body).await.map_err(from_web)
    }

    async fn read(&self, purpose: Purpose, request: &RangeRequest) -> Result<Range, StoreError> {
        let answer: RangeResponse = self.call(purpose, "/kv/range", request).await?;
        Ok(Range { entries: answer.kvs.into_iter().map(entry).collect(), revision: answer.header.revision.0 })
    }
}

#[async_trait]
impl Store for Client {
    async fn range(&self, purpose: Purpose, prefix: &str) -> Result<Range, StoreError> {
        let request = RangeRequest { key: Base64::text(prefix), range_end: Base64(range_end(prefix)) };
        self.read(purpose, &request).await
    }

    async fn get(&self, purpose: Purpose, key: &str) -> Result<Entry, StoreError> {
        let request = RangeRequest { key: Base64::text(key), range_end: Base64::default() };
        let range = self.read(purpose, &request).await?;
        let missing = Entry { key: key.to_owned(), value: Vec::new(), mod_revision: 0 };
        Ok(range.entries.into_iter().next().unwrap_or(missing))
    }

    async fn txn(&self, purpose: Purpose, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        if let Some(put) = txn.puts.iter().find(|put| put.value.len() > MAX_VALUE) {
            return Err(StoreError::TooLarge(put.key.clone(), put.value.len()));
        }
        let answer: TxnResponse = self.call(purpose, "/kv/txn", &encode(txn)).await?;
        Ok(TxnOutcome { succeeded: answer.succeeded, revision: answer.header.revision.0 })
    }

    async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease, StoreError> {
        let request = LeaseRequest { ttl: Number(ttl.as_secs().max(1)), id: Number(0) };
        let answer: LeaseResponse = self.call(purpose, "/lease/grant", &request).await?;
        Ok(answer.id.0)
    }

    async fn keepalive(&self, purpose: Purpose, lease: Lease) -> Result<bool, StoreError> {
        let request = LeaseRequest { ttl: Number(0), id: Number(lease) };
        let answer: LeaseResponse = self.call(purpose, "/lease/keepalive", &request).await?;
        Ok(answer.ttl.0 > 0)
    }

    async fn revoke(&self, purpose: Purpose, lease: Lease) -> Result<(), StoreError> {
        let request = LeaseRequest { ttl: Number(0), id: Number(lease) };
        let _: LeaseResponse = self.call(purpose, "/lease/revoke", &request).await?;
        Ok(())
    }

    async fn watch(
        &self,
        purpose: Purpose,
        prefix: &str,
        from: u64,
    ) -> Result<mpsc::Receiver<WatchUpdate>, StoreError> {
        if !self.budget.try_take(purpose, Instant::now()) {
            return Err(StoreError::OverBudget);
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
async fn follow(mut body: Incoming, sender: mpsc::Sender<WatchUpdate>) {
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
fn decode(line: &[u8]) -> Option<WatchUpdate> {
    let line: WatchLine = serde_json::from_slice(line).ok()?;
    let result = line.result;
    if result.compact_revision.0 > 0 {
        return Some(WatchUpdate::Compacted);
    }
    if result.canceled {
        return None;
    }
    let events = result.events.into_iter().map(event).collect();
    Some(WatchUpdate::Events(events, result.header.revision.0))
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
fn from_web(fault: web::ClientError) -> StoreError {
    match fault {
        web::ClientError::NotSent(message) => StoreError::NotSent(message),
        web::ClientError::Status { status, body } if status.is_client_error() => StoreError::Refused(body),
        other => StoreError::Unknown(other.to_string()),
    }
}
