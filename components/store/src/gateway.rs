//! JSON types of the etcd v3 gateway, limited to the fields in use. Keys and values are encoded in base64, 64-bit
//! numbers as strings. The fake platform of the tests uses the same types.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Largest value that the platform accepts, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: String,
    pub value: Vec<u8>,
    /// Revision of the last change; 0 if the key does not exist.
    pub mod_revision: u64,
}

/// All keys with a prefix, at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    pub entries: Vec<Entry>,
    /// Revision of the store at which the keys were read.
    pub revision: u64,
}

/// A condition of a transaction: the last change of the key has this revision (0 if the key does not exist).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    pub key: String,
    /// The expected revision.
    pub mod_revision: u64,
}

/// A put of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    pub key: String,
    pub value: Vec<u8>,
    /// The lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// A transaction: if all conditions hold, all puts and deletes are executed, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    pub compares: Vec<Compare>,
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: u64,
}

/// Id of a lease.
pub type Lease = u64;

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

/// Bytes that are encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Base64 {
    pub fn text(text: &str) -> Base64 {
        Base64(text.as_bytes().to_vec())
    }

    /// The bytes as a string; invalid UTF-8 sequences are replaced.
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64).map_err(D::Error::custom)
    }
}

/// A 64-bit number. The gateway writes it as a string and accepts a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum StringOrNumber {
            Text(String),
            Bare(u64),
        }
        match StringOrNumber::deserialize(deserializer)? {
            StringOrNumber::Text(text) => text.parse().map(Number).map_err(D::Error::custom),
            StringOrNumber::Bare(number) => Ok(Number(number)),
        }
    }
}

/// Header of a response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    pub revision: Number,
}

/// A key and its value in a response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    pub key: Base64,
    /// The value; omitted if empty.
    pub value: Base64,
    /// Revision of the last change.
    pub mod_revision: Number,
}

/// Body of a request to `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// End of the range (exclusive); empty to read only `key`.
    pub range_end: Base64,
}

/// Response of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    pub header: Header,
    /// The keys in the range.
    pub kvs: Vec<KeyValue>,
}

/// A condition of `/v3/kv/txn`; always "the `mod_revision` of the key equals".
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompareRequest {
    pub key: Base64,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The expected revision.
    pub mod_revision: Number,
}

/// A put of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    pub key: Base64,
    pub value: Base64,
    /// The lease that the key is attached to; 0 for none.
    pub lease: Number,
}

/// A deletion of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    pub key: Base64,
}

/// An operation of `/v3/kv/txn`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

/// Body of a request to `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    pub compare: Vec<CompareRequest>,
    /// Operations to execute if all conditions hold.
    pub success: Vec<Operation>,
}

/// Response of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    pub header: Header,
    /// Whether all conditions held; omitted if false.
    pub succeeded: bool,
}

/// Body of requests to `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Time to live in seconds; only used by `grant`.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    #[serde(rename = "ID")]
    pub id: Number,
}

/// Response of `/v3/lease/*`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Number,
    /// Remaining time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// Body of a request to `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    pub create_request: WatchCreate,
}

/// Parameters of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64,
    /// End of the range (exclusive).
    pub range_end: Base64,
    /// First revision to report.
    pub start_revision: Number,
    /// Whether to send messages without events at intervals, which show the revision that the watch has reached.
    pub progress_notify: bool,
}

/// A line of the response stream of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    pub result: WatchResult,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    pub header: Header,
    /// Changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The oldest available revision, if the requested one has been compacted.
    pub compact_revision: Number,
}

/// A change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `DELETE`; omitted for a put.
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: KeyValue,
}

/// Body of an error response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// gRPC status code.
    pub code: u32,
    pub message: String,
    /// All other fields.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

/// The end (exclusive) of the range of all keys with this prefix.
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
