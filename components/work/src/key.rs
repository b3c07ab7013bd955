//! API keys that identify a workspace's callers. Only digests of the keys are stored, compared and forwarded.

use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 digest of an API key. Its `Debug` output hides the value.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    pub fn of(key: &str) -> Digest {
        Digest(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Digest(..)")
    }
}

/// Credential that a call carries to identify its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// The call carries no credential.
    Nothing,
    /// The call carries something that can't be parsed as exactly one key.
    Malformed,
    Key(Digest),
}

/// Why a call is denied access to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Denial {
    #[error("the call has no API key")]
    Missing,
    /// The credential can't be parsed as exactly one key.
    #[error("the call's API key is malformed")]
    Malformed,
    /// The key belongs to no workspace, or to several.
    #[error("the call's API key belongs to no workspace")]
    Unknown,
}
