//! Hands the recorded idempotency keys over to other hosts before a planned stop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use member::highest_ranked;
use model::HostId;
use request::IdempotencyKey;
use wire::{KeyRecord, RecordedResponse};

use crate::keyed::StoredResponse;
use crate::state::{Gateway, MAX_CLOCK_SKEW};

impl Gateway {
    /// All recorded keys whose request has ended, by the host that owns them once this one has stopped.
    pub fn keys_to_hand_over(&self) -> BTreeMap<HostId, Vec<KeyRecord>> {
        let owners = self.ownership.lock().hosts().to_vec();
        let mut by_owner: BTreeMap<HostId, Vec<KeyRecord>> =
            owners.iter().map(|host| (host.clone(), Vec::new())).collect();
        for shard in self.keys.shards() {
            for (key, answer) in shard.lock().store.ended() {
                let Some(owner) = highest_ranked(&key, owners.iter().map(String::as_str)) else { continue };
                let answer = answer.map(|stored| to_wire(stored));
                by_owner.entry(owner.to_owned()).or_default().push(KeyRecord { key, answer });
            }
        }
        by_owner
    }

    /// Stores the keys of a stopping host. Returns false if one is invalid or does not fit.
    pub fn restore_keys(&self, keys: &[KeyRecord]) -> bool {
        let now = SystemTime::now();
        keys.iter().all(|remembered| {
            let Ok(key) = IdempotencyKey::parse(&remembered.key, MAX_CLOCK_SKEW, now) else { return false };
            let answer = remembered.answer.as_ref().map(from_wire);
            let answer = answer.map(|stored| {
                let size = stored.size();
                (Arc::new(stored), size)
            });
            self.keys.shard(&key).lock().store.restore(&key, answer, now)
        })
    }

    /// Records that a host has handed over all its keys.
    pub fn record_handover(&self, from: HostId) {
        self.ownership.lock().record_handover(from, SystemTime::now());
    }
}

fn to_wire(stored: &StoredResponse) -> RecordedResponse {
    let headers = stored.headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    RecordedResponse { status: stored.status.as_u16(), headers: headers.collect(), body: stored.body.to_vec() }
}

/// Converts a response received from another host. It was valid there, so an invalid header is simply dropped.
fn from_wire(answer: &RecordedResponse) -> StoredResponse {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    StoredResponse { status, headers, body: Bytes::copy_from_slice(&answer.body) }
}
