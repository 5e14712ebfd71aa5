//! The document that holds the operators' configuration.

use serde::Deserialize;
use serde::Serialize;

/// One revision of the configuration, as JSON at [`super::CURRENT_KEY`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Counts up by one with each edit; has nothing to do with the store's revisions.
    pub revision: u64,
    /// The id of the edit that made it.
    pub edit_id: String,
    /// Who made it.
    pub author: String,
    /// When, in Unix milliseconds, by the author's clock.
    pub changed_at: u64,
    /// The id of the edit that it replaced; `None` for the first.
    pub parent: Option<String>,
    /// The inventory, as TOML.
    pub inventory: String,
    /// The rules, as TOML.
    pub rules: String,
}

impl ConfigDocument {
    /// The document as JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("the document is a plain struct with string keys")
    }

    /// Reads a document from JSON; `None` when it is none.
    pub fn decode(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}
