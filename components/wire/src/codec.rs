//! Encoding and authentication of messages.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the protocol. Hosts with different versions reject each other's messages, so a release that changes the
/// version must read both the old and the new one to allow rolling upgrades.
const VERSION: u8 = 2;
const MAC_LEN: usize = blake3::OUT_LEN;
const HEADER_LEN: usize = 1 + MAC_LEN;
/// Context string of the key derivation, for domain separation.
const KEY_CONTEXT: &str = "walkhook 2026 messages between entry hosts";
/// Largest datagram sent, in bytes. It fits into a single packet on loopback and jumbo frame networks and is fragmented
/// elsewhere.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// The message authentication key, shared by all entry hosts of a cell.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the shared key in the settings.
    pub fn new(shared_key: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }
}

/// Reason for which a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Too short for version and MAC.
    #[error("message too short")]
    Short,
    /// Larger than the limit.
    #[error("message too large")]
    Large,
    /// Another version of the protocol.
    #[error("message has protocol version {0}, expected {VERSION}")]
    Version(u8),
    /// Not authenticated with the cell's key.
    #[error("message not authenticated with the cell's shared key")]
    Authentication,
    /// Authenticated, but not a valid message of this version.
    #[error("message can't be decoded")]
    Malformed,
}

/// Encodes a message and prepends the protocol version and the MAC.
///
/// # Errors
///
/// Returns [`MessageError::Malformed`] if the message can't be serialized.
pub fn encode<T: Serialize>(key: &Key, message: &T) -> Result<Vec<u8>, MessageError> {
    let payload = postcard::to_stdvec(message).map_err(|_| MessageError::Malformed)?;
    let mut bytes = Vec::with_capacity(HEADER_LEN + payload.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(blake3::keyed_hash(&key.0, &payload).as_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Verifies and decodes a message.
///
/// # Errors
///
/// Returns an error if the message is too short, has another protocol version, is not authenticated with `key`, or
/// can't be deserialized.
pub fn decode<T: DeserializeOwned>(key: &Key, bytes: &[u8]) -> Result<T, MessageError> {
    if bytes.len() < HEADER_LEN {
        return Err(MessageError::Short);
    }
    if bytes[0] != VERSION {
        return Err(MessageError::Version(bytes[0]));
    }
    let (header, payload) = bytes.split_at(HEADER_LEN);
    let mut mac = [0; MAC_LEN];
    mac.copy_from_slice(&header[1..]);
    // `blake3::Hash` is compared in constant time.
    if blake3::keyed_hash(&key.0, payload) != blake3::Hash::from_bytes(mac) {
        return Err(MessageError::Authentication);
    }
    postcard::from_bytes(payload).map_err(|_| MessageError::Malformed)
}
