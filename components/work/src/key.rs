//! Keys by which callers of a workspace are known. Only their digests are kept, compared and passed on.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of a key.
    pub fn of(key: &str) -> Digest {
        Digest(*blake3::hash(key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Digest(..)")
    }
}

/// What a call brings to show whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// Nothing.
    Nothing,
    /// Something that can't be read as one key.
    Malformed,
    /// A key.
    Key(Digest),
}

/// Why a key doesn't open a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Denial {
    /// There is none.
    #[error("the call brings no key")]
    Missing,
    /// It can't be read.
    #[error("the call's key can't be read")]
    Malformed,
    /// No workspace has it.
    #[error("no workspace has the call's key")]
    Unknown,
}
