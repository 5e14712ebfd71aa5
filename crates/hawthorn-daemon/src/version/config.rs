//! The configuration in force in this process.

use std::sync::Arc;

use hawthorn_intent::Inventory;
use hawthorn_intent::RuleSet;
use hawthorn_intent::catalog;
use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::document;
use hawthorn_intent::document::ConfigDocument;
use quick_error::quick_error;

quick_error! {
    /// Why a document cannot come into force.
    #[derive(Debug)]
    pub enum Error {
        /// It cannot be read.
        Document(err: document::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The check refuses it, or its parts do not fit together.
        Load(err: catalog::LoadError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// One revision, parsed and ready to serve from.
#[derive(Debug)]
pub struct ConfigInForce {
    /// The document as read.
    pub document: ConfigDocument,
    /// The document as it stands in the store, passed on unchanged to peers.
    pub json: String,
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    pub rules: RuleSet,
    /// The arenas built from them.
    pub catalog: FleetCatalog,
}

/// Reads a document and builds its catalog. Keys that this daemon does not know
/// are passed over: see [`catalog::load`].
///
/// # Errors
/// When it cannot be read or has a fault that is an error.
pub fn parse(json: &str) -> Result<Arc<ConfigInForce>, Error> {
    let document = ConfigDocument::from_json(json)?;
    let loaded = catalog::load_parts(&document, catalog::Options::default())?;
    Ok(Arc::new(ConfigInForce {
        json: json.to_owned(),
        inventory: loaded.inventory,
        rules: loaded.rules,
        catalog: loaded.catalog,
        document,
    }))
}
