//! The configuration in force in this process.

use std::sync::Arc;

use hawthorn_intent::Inventory;
use hawthorn_intent::RuleSet;
use hawthorn_intent::catalog;
use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::document;
use hawthorn_intent::document::ConfigDocument;
use hawthorn_intent::fault::ConfigFault;
use hawthorn_intent::inventory;
use hawthorn_intent::rules;
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
        /// It does not pass its checks.
        Faulty(faults: Vec<ConfigFault>) {
            display("{} faults, the first: {}", faults.len(), faults.first().map_or_else(String::new, ToString::to_string))
        }
        /// Its parts do not fit together.
        Catalog(err: catalog::Error) {
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

/// Reads a document and builds its catalog.
///
/// # Errors
/// When it cannot be read or has a fault that is an error.
pub fn parse(json: &str) -> Result<Arc<ConfigInForce>, Error> {
    let document = ConfigDocument::from_json(json)?;
    let inventory = inventory::read(&document.inventory);
    let rules = rules::read(&document.rules);
    let faults = inventory.faults.iter().chain(&rules.faults);
    let errors: Vec<ConfigFault> = faults.filter(|fault| fault.is_error()).cloned().collect();
    if !errors.is_empty() {
        return Err(Error::Faulty(errors));
    }
    let catalog = catalog::build(
        &inventory.inventory,
        &rules.rules,
        document.revision,
        catalog::Options::default(),
    )?;
    Ok(Arc::new(ConfigInForce {
        json: json.to_owned(),
        inventory: inventory.inventory,
        rules: rules.rules,
        catalog,
        document,
    }))
}
