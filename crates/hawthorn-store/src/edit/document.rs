//! The stored configuration document.

use serde::Deserialize;
use serde::Serialize;

/// One revision of the configuration, as JSON at [`super::CURRENT_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Increases by one with each edit; independent of the store's revisions.
    pub revision: u64,
    /// The id of the edit that created this revision.
    pub edit_id: String,
    /// The author of the edit.
    pub author: String,
    /// Time of the edit in Unix milliseconds, by the author's clock.
    pub changed_at: u64,
    /// The id of the edit that this one replaced; `None` for the first.
    pub parent: Option<String>,
    /// The inventory, as TOML.
    pub inventory: String,
    /// The rules, as TOML.
    pub rules: String,
}

impl ConfigDocument {
    /// Encodes the document as JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("the document is a plain struct with string keys")
    }

    /// Decodes a document from JSON; `None` if it is invalid.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}
