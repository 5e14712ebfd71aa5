//! The configuration as one value in the platform's store.
//!
//! Inventory and rules change together, by compare-and-swap: a reader never
//! sees the one without the other.

use hawthorn_types::ConfigRevision;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

/// The largest value that the platform's store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// One revision of the operators' configuration, JSON in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The revision; one more than its parent's.
    pub revision: ConfigRevision,
    /// Names the edit. Chosen by the editor before the write, so that a write
    /// whose answer was lost can be told from a race that was lost.
    pub edit_id: String,
    /// Who made the edit.
    pub author: String,
    /// When, in milliseconds since 1970 by the author's clock; for people only.
    pub changed_at: u64,
    /// The edit that this one was made on; none for the first.
    #[serde(default)]
    pub parent: Option<String>,
    /// The text of `inventory.toml`.
    pub inventory: String,
    /// The text of `rules.toml`.
    pub rules: String,
}

quick_error! {
    /// Why a document can't be read or written.
    #[derive(Debug)]
    pub enum Error {
        /// Not the JSON of a document.
        Json(err: serde_json::Error) {
            display("not a configuration document: {err}")
            source(err)
            from()
        }
        /// Larger than the store takes.
        TooLarge(bytes: usize) {
            display("the document has {bytes} bytes, the store takes {MAX_VALUE_BYTES}")
        }
    }
}

impl ConfigDocument {
    /// The JSON to write to the store.
    pub fn to_json(&self) -> Result<String, Error> {
        let json = serde_json::to_string(self)?;
        if json.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(json.len()));
        }
        Ok(json)
    }

    /// The document in `json`, as read from the store or a peer.
    pub fn from_json(json: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(json)?)
    }

    /// Tells two documents apart, of one revision too: daemons compare it in
    /// heartbeats. Not for keeping out forgers.
    ///
    /// Each part is preceded by its length, so that moving text from one part
    /// to the next gives another hash.
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
