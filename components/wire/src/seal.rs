//! Seals and opens messages.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Version of the protocol. Hosts of two versions don't talk; a rolling upgrade changes it only together
/// with a release that reads both.
const VERSION: u8 = 2;
const SEAL: usize = blake3::OUT_LEN;
const HEAD: usize = 1 + SEAL;
/// Domain separation for the key derivation.
const CONTEXT: &str = "walkhook 2026 messages between entry hosts";
/// Largest datagram sent; a loopback or jumbo path carries it whole, others fragment it.
pub const MAX_DATAGRAM: usize = 8 * 1024;

/// The key that all entry hosts of a cell share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the shared text in the settings.
    pub fn new(shared: &str) -> Key {
        Key(blake3::derive_key(CONTEXT, shared.as_bytes()))
    }
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Too short to hold version and seal.
    #[error("message too short")]
    Short,
    /// Larger than the limit.
    #[error("message too large")]
    Large,
    /// Another version of the protocol.
    #[error("message of version {0}, expected {VERSION}")]
    Version(u8),
    /// Not sealed with the cell's key.
    #[error("message not sealed with the cell's shared key")]
    Seal,
    /// Sealed, but not a message of this version.
    #[error("message can't be decoded")]
    Malformed,
}

/// Encodes and seals a message.
pub fn seal<T: Serialize>(key: &Key, message: &T) -> Result<Vec<u8>, MessageError> {
    let payload = postcard::to_stdvec(message).map_err(|_| MessageError::Malformed)?;
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(blake3::keyed_hash(&key.0, &payload).as_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Checks and decodes a message. The seal is compared in constant time.
pub fn open<T: DeserializeOwned>(key: &Key, bytes: &[u8]) -> Result<T, MessageError> {
    if bytes.len() < HEAD {
        return Err(MessageError::Short);
    }
    if bytes[0] != VERSION {
        return Err(MessageError::Version(bytes[0]));
    }
    let (head, payload) = bytes.split_at(HEAD);
    let mut claimed = [0; SEAL];
    claimed.copy_from_slice(&head[1..]);
    // `blake3::Hash` compares in constant time.
    if blake3::keyed_hash(&key.0, payload) != blake3::Hash::from_bytes(claimed) {
        return Err(MessageError::Seal);
    }
    postcard::from_bytes(payload).map_err(|_| MessageError::Malformed)
}
