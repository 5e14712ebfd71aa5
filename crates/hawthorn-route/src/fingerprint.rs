//! Identifies requests with the same content across callers and repetitions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// A SHA-256 hash, truncated to 128 bits, of a request's method, host, path,
/// query and body.
///
/// The hash is cryptographic so that a caller cannot forge a request with the
/// fingerprint of another.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(method: &str, host: &str, path_and_query: &str, body: &[u8]) -> Self {
        Self(hash(&[method.as_bytes(), host.as_bytes(), path_and_query.as_bytes(), body]))
    }
}

/// Computes the SHA-256 hash of byte strings, truncated to 128 bits.
pub(crate) fn hash(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    // Length prefixes distinguish requests whose concatenated parts are equal.
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize()[..16]);
    u128::from_be_bytes(bytes)
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
