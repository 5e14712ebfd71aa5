//! The configuration as one value in the platform's store.
//!
//! Inventory and rules are replaced together by compare-and-swap, so a reader never sees them from
//! different revisions.

use hawthorn_types::ConfigRevision;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

/// Maximum size of a value in the platform's store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// One revision of the operators' configuration. Stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The revision, which is that of the parent plus one.
    pub revision: ConfigRevision,
    /// Identifies the edit. Chosen by the editor before the write, so that a write whose response
    /// was lost can be distinguished from a conflict with another edit.
    pub edit_id: String,
    /// The author of the edit.
    pub author: String,
    /// Time of the edit in milliseconds since the Unix epoch, by the author's clock. Informational.
    pub changed_at: u64,
    /// The edit that this one is based on; `None` for the first.
    #[serde(default)]
    pub parent: Option<String>,
    /// Contents of `inventory.toml`.
    pub inventory: String,
    /// Contents of `rules.toml`.
    pub rules: String,
}

quick_error! {
    /// Errors of reading or writing a document.
    #[derive(Debug)]
    pub enum Error {
        /// Not a valid JSON document.
        Json(err: serde_json::Error) {
            display("not a configuration document: {err}")
            source(err)
            from()
        }
        /// The document exceeds [`MAX_VALUE_BYTES`].
        TooLarge(bytes: usize) {
            display("the document has {bytes} bytes, the store takes {MAX_VALUE_BYTES}")
        }
    }
}

impl ConfigDocument {
    /// Serializes the document for the store.
    ///
    /// # Errors
    ///
    /// If the JSON is larger than [`MAX_VALUE_BYTES`].
    pub fn to_json(&self) -> Result<String, Error> {
        let json = serde_json::to_string(self)?;
        if json.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(json.len()));
        }
        Ok(json)
    }

    /// Parses a document read from the store or received from a peer.
    ///
    /// # Errors
    ///
    /// If `json` is not a valid document.
    pub fn from_json(json: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(json)?)
    }

    /// Hash by which daemons detect in heartbeats that they have different documents, even of the
    /// same revision. Not cryptographic.
    ///
    /// Each part is prefixed with its length, so that moving text from one part to the next changes
    /// the hash.
    pub fn hash(&self) -> u128 {
        let mut bytes = Vec::with_capacity(self.inventory.len() + self.rules.len());
        bytes.extend(self.revision.0.to_le_bytes());
        bytes.extend(self.changed_at.to_le_bytes());
        bytes.push(u8::from(self.parent.is_some()));
        let parent = self.parent.as_deref().unwrap_or_default();
        for part in [&self.edit_id, &self.author, parent, &self.inventory, &self.rules] {
            bytes.extend((part.len() as u64).to_le_bytes());
            bytes.extend(part.as_bytes());
        }
        xxh3_128(&bytes)
    }
}
