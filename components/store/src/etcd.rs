//! Client of the etcd v3 JSON gateway.

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

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Longest line of a watch stream: a transaction with several large values.
const MAX_WATCH_LINE_BYTES: usize = 16 * 1024 * 1024;
/// Number of updates of a watch that are buffered for the receiver.
const WATCH_CHANNEL_CAPACITY: usize = 64;

/// [`Store`] implementation for a platform at a fixed address.
pub struct Client {
    http: web::Client,
    base: String,
    budget: Arc<Budget>,
}

impl Client {
    /// Creates a client whose calls are limited by `budget`. Calls other than watches time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, budget: Arc<Budget>) -> Client {
        Client { http: web::Client::new(timeout, MAX_RESPONSE_BYTES), base: format!("http://{address}/v3"), budget }
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        purpose: Purpose,
        path: &str,
        body: &Q,
    ) -> Result<R, StoreError> {
        if !self.budget.try_take(purpose, Instant::now()) {
            return Err(StoreError::OverBudget);
        }
        self.http.post(&format!("{}{path}", self.base), body).await.map_err(convert_error)
    }

    async fn read(&self, purpose: Purpose, request: &RangeRequest) -> Result<Range, StoreError> {
        let response: RangeResponse = self.call(purpose, "/kv/range", request).await?;
        Ok(Range { entries: response.kvs.into_iter().map(entry).collect(), revision: response.header.revision.0 })
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
        let absent = Entry { key: key.to_owned(), value: Vec::new(), mod_revision: 0 };
        Ok(range.entries.into_iter().next().unwrap_or(absent))
    }

    async fn txn(&self, purpose: Purpose, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        if let Some(put) = txn.puts.iter().find(|put| put.value.len() > MAX_VALUE) {
            return Err(StoreError::TooLarge(put.key.clone(), put.value.len()));
        }
        let response: TxnResponse = self.call(purpose, "/kv/txn", &encode(txn)).await?;
        Ok(TxnOutcome { succeeded: response.succeeded, revision: response.header.revision.0 })
    }

    async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease, StoreError> {
        let request = LeaseRequest { ttl: Number(ttl.as_secs().max(1)), id: Number(0) };
        let response: LeaseResponse = self.call(purpose, "/lease/grant", &request).await?;
        Ok(response.id.0)
    }

    async fn keepalive(&self, purpose: Purpose, lease: Lease) -> Result<bool, StoreError> {
        let request = LeaseRequest { ttl: Number(0), id: Number(lease) };
        let response: LeaseResponse = self.call(purpose, "/lease/keepalive", &request).await?;
        Ok(response.ttl.0 > 0)
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
        let body = self.http.stream(&format!("{}/watch", self.base), &request).await.map_err(convert_error)?;
        let (sender, receiver) = mpsc::channel(WATCH_CHANNEL_CAPACITY);
        tokio::spawn(forward_updates(body, sender));
        Ok(receiver)
    }
}

/// Decodes the lines of a watch stream and sends them as updates, until either side ends.
async fn forward_updates(mut body: Incoming, sender: mpsc::Sender<WatchUpdate>) {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return,
        };
        let Some(Ok(frame)) = frame else { return };
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        if buffer.len() > MAX_WATCH_LINE_BYTES {
            return;
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(update) = decode(&line) else { return };
            if sender.send(update).await.is_err() {
                return;
            }
        }
    }
}

/// Decodes a line of a watch stream. Returns `None` if it is invalid or ends the watch.
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

/// A 4xx status means that the service refused the call. After any other error the call may have taken effect, unless
/// it was not sent.
fn convert_error(error: web::ClientError) -> StoreError {
    match error {
        web::ClientError::NotSent(message) => StoreError::NotSent(message),
        web::ClientError::Status { status, body } if status.is_client_error() => StoreError::Refused(body),
        other => StoreError::Unknown(other.to_string()),
    }
}
