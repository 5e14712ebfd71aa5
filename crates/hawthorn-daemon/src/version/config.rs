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
    /// Reason why a document cannot be put into force.
    #[derive(Debug)]
    pub enum Error {
        /// The document cannot be parsed.
        Document(err: document::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The document fails validation, or its parts are inconsistent.
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
    /// The parsed document.
    pub document: ConfigDocument,
    /// The document as stored, sent unchanged to peers.
    pub json: String,
    /// The inventory.
    pub inventory: Inventory,
    /// The rule set.
    pub rules: RuleSet,
    /// Catalog built from the inventory and the rules.
    pub catalog: FleetCatalog,
}

/// Parses a document and builds its catalog. Keys unknown to this daemon are ignored: see
/// [`catalog::load`].
///
/// # Errors
/// If it cannot be parsed or contains a fault of error severity.
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
