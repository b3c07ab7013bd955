//! The JSON bodies of the etcd v3 gateway, the subset in use. Keys and values travel in base64, 64-bit
//! numbers as strings. The stand-in platform reads and writes the same types.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Largest value that the platform keeps, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change; 0 for a key that is not there.
    pub mod_revision: u64,
}

/// All keys with a prefix, as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The revision of the whole store.
    pub revision: u64,
}

/// A condition of a transaction: the key's last change was at this revision (0: the key is not there).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The expected revision.
    pub mod_revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that it ends with; 0 for none.
    pub lease: u64,
}

/// A transaction: all puts and deletes when all compares hold, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Writes.
    pub puts: Vec<Put>,
    /// Deleted keys.
    pub deletes: Vec<String>,
}

/// How a transaction went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all compares held.
    pub succeeded: bool,
    /// The store's revision after it.
    pub revision: u64,
}

/// Id of a lease.
pub type Lease = u64;

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The new value; `None` when it was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

/// Bytes in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Base64 {
    /// Encodes a text.
    pub fn text(text: &str) -> Base64 {
        Base64(text.as_bytes().to_vec())
    }

    /// The bytes as text; broken characters are replaced.
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Base64, D::Error> {
        let text = String::deserialize(input)?;
        STANDARD.decode(text).map(Base64).map_err(D::Error::custom)
    }
}

/// A 64-bit number, which the gateway writes as a string and accepts as either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Number, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Bare(u64),
        }
        match Either::deserialize(input)? {
            Either::Text(text) => text.parse().map(Number).map_err(D::Error::custom),
            Either::Bare(number) => Ok(Number(number)),
        }
    }
}

/// Header of an answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: Number,
}

/// A key and its value in an answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value; left out when empty.
    pub value: Base64,
    /// Revision of the last change.
    pub mod_revision: Number,
}

/// Body of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// First key beyond the range; empty for one key.
    pub range_end: Base64,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Keys found.
    pub kvs: Vec<KeyValue>,
}

/// A condition of `/v3/kv/txn`; always "the revision of the key's last change equals".
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareRequest {
    /// The key.
    pub key: Base64,
    /// `MOD`.
    pub target: String,
    /// `EQUAL`.
    pub result: String,
    /// The expected revision.
    pub mod_revision: Number,
}

/// A write of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// Its lease.
    pub lease: Number,
}

/// A deletion of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Base64,
}

/// One operation of `/v3/kv/txn`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Operation {
    /// Write.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// Delete.
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

/// Body of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<CompareRequest>,
    /// Done when all hold.
    pub success: Vec<Operation>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether all conditions held; left out when false.
    pub succeeded: bool,
}

/// Body of `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Seconds to live, for a grant.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// Answer of `/v3/lease/*`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
    /// Seconds left; 0 when it has lapsed.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// Body of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64,
    /// First key beyond the range.
    pub range_end: Base64,
    /// First revision wanted.
    pub start_revision: Number,
    /// Whether to send empty messages from time to time, which tell how far the watch has come.
    pub progress_notify: bool,
}

/// One line of a watch's answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// The message.
    pub result: WatchResult,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Header.
    pub header: Header,
    /// Changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The oldest revision that can still be watched, when the wanted one has been compacted.
    pub compact_revision: Number,
}

/// One change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `DELETE`, or left out for a put.
    #[serde(rename = "type")]
    pub kind: String,
    /// The key and value.
    pub kv: KeyValue,
}

/// An error body.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// gRPC status code.
    pub code: u32,
    /// Words.
    pub message: String,
    /// Anything else.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

/// The first key beyond all keys with this prefix.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
