//! Hands the memory of unrepeatable keys over on a planned stop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use member::highest_ranked;
use model::HostId;
use request::IdempotencyKey;
use wire::{RememberedAnswer, RememberedKey};

use crate::keyed::Stored;
use crate::state::{Gateway, SKEW};

impl Gateway {
    /// All keys that this host remembers, by the host that is their home once this one has gone.
    pub fn keys_to_hand_over(&self) -> BTreeMap<HostId, Vec<RememberedKey>> {
        let homes = self.home.lock().hosts().to_vec();
        let mut sorted: BTreeMap<HostId, Vec<RememberedKey>> =
            homes.iter().map(|host| (host.clone(), Vec::new())).collect();
        for shard in self.keys.shards() {
            for (key, answer) in shard.lock().memory.ended() {
                let Some(home) = highest_ranked(&key, homes.iter().map(String::as_str)) else { continue };
                let answer = answer.map(|stored| pack(stored));
                sorted.entry(home.to_owned()).or_default().push(RememberedKey { key, answer });
            }
        }
        sorted
    }

    /// Takes in keys of a host that stops. False when there is no room for one of them.
    pub fn restore_keys(&self, keys: &[RememberedKey]) -> bool {
        let now = SystemTime::now();
        keys.iter().all(|remembered| {
            let Ok(key) = IdempotencyKey::parse(&remembered.key, SKEW, now) else { return false };
            let answer = remembered.answer.as_ref().map(unpack);
            let answer = answer.map(|stored| {
                let size = stored.size();
                (Arc::new(stored), size)
            });
            self.keys.shard(&key).lock().memory.restore(&key, answer, now)
        })
    }

    /// Takes in that a host has handed all its keys over.
    pub fn record_handover(&self, from: HostId) {
        self.home.lock().record_handover(from, SystemTime::now());
    }
}

fn pack(stored: &Stored) -> RememberedAnswer {
    let headers = stored.headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    RememberedAnswer { status: stored.status.as_u16(), headers: headers.collect(), body: stored.body.to_vec() }
}

/// What came from a peer was a good answer there; a header that is none is left out.
fn unpack(answer: &RememberedAnswer) -> Stored {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Stored { status, headers, body: Bytes::copy_from_slice(&answer.body) }
}
