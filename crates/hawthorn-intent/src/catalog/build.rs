//! Validates a configuration and builds its catalog.

use std::collections::HashMap;

use hawthorn_types::CallerKey;
use hawthorn_types::ConfigRevision;
use hawthorn_types::GroupKey;
use hawthorn_types::KeyRange;
use hawthorn_types::ServiceKey;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::ZoneKey;
use la_arena::Arena;
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::catalog::CallerRecord;
use crate::catalog::FleetCatalog;
use crate::catalog::GroupRecord;
use crate::catalog::Options;
use crate::catalog::ServiceRecord;
use crate::catalog::ShardRecord;
use crate::catalog::TargetRecord;
use crate::catalog::ZoneRecord;
use crate::catalog::raw;
use crate::check::Inputs;
use crate::check::check;
use crate::desired_state::StateDecision;
use crate::desired_state::decide;
use crate::document::ConfigDocument;
use crate::fault::ConfigFault;
use crate::fault::FaultKind;
use crate::group;
use crate::inventory::Inventory;
use crate::inventory::ServiceEntry;
use crate::inventory::TargetEntry;
use crate::inventory::shard_name;
use crate::rules::RuleSet;

quick_error! {
    /// Errors of [`build`]. Do not occur for a configuration that passed [`check`].
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The zone of a target is not in the inventory.
        UnknownZone(target: String, zone: String) {
            display("target {target} is in zone {zone:?}, which the inventory doesn't have")
        }
        /// The service of a target is not in the inventory.
        UnknownService(target: String, service: String) {
            display("target {target} is of service {service:?}, which the inventory doesn't have")
        }
        /// A target holds a shard that its service does not have.
        UnknownShard(target: String, shard: String) {
            display("target {target} holds shard {shard:?}, which its service doesn't have")
        }
    }
}

quick_error! {
    /// Errors of [`load`] and [`load_parts`].
    #[derive(Debug)]
    pub enum LoadError {
        /// The document has faults that are errors.
        Faulty(faults: Vec<ConfigFault>) {
            display("the document has {} faults, the first: {}", faults.len(), faults[0])
        }
        /// The document passed the check, but its catalog could not be built.
        Catalog(err: Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Checks a document read from the store or received from a peer, and builds its catalog.
///
/// During a rolling upgrade, a newer daemon may accept a document with a key that older daemons
/// do not know. If those rejected it, they would stay at an old revision until restarted, and the
/// fleet would run two configurations. Unknown keys are therefore ignored here, and only here:
/// edits that contain them are rejected.
///
/// # Errors
///
/// If the check finds errors other than unknown keys, or if the catalog cannot be built.
pub fn load(document: &ConfigDocument, options: Options) -> Result<FleetCatalog, LoadError> {
    Ok(load_parts(document, options)?.catalog)
}

/// A catalog and the configuration that it was built from.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    pub rules: RuleSet,
    /// The catalog.
    pub catalog: FleetCatalog,
}

/// Like [`load`], but also returns inventory and rules, which [`explain`](crate::explain) needs.
///
/// # Errors
///
/// Those of [`load`].
pub fn load_parts(document: &ConfigDocument, options: Options) -> Result<LoadedConfig, LoadError> {
    let inputs = Inputs { settings: None, inventory: &document.inventory, rules: &document.rules };
    let mut outcome = check(inputs);
    outcome.faults.retain(|fault| fault.is_error() && fault.kind != FaultKind::UnknownKey);
    if !outcome.faults.is_empty() {
        return Err(LoadError::Faulty(outcome.faults));
    }
    let catalog = build(&outcome.inventory, &outcome.rules, document.revision, options)?;
    Ok(LoadedConfig { inventory: outcome.inventory, rules: outcome.rules, catalog })
}

/// Builds the catalog of a configuration that passed the check.
///
/// # Errors
///
/// If a target refers to a zone, service or shard that does not exist.
pub fn build(
    inventory: &Inventory,
    rules: &RuleSet,
    revision: ConfigRevision,
    options: Options,
) -> Result<FleetCatalog, Error> {
    let mut catalog = FleetCatalog {
        revision,
        zones: Arena::new(),
        services: Arena::new(),
        shards: Arena::new(),
        targets: Arena::new(),
        groups: Arena::new(),
        callers: Arena::new(),
        zone_names: HashMap::new(),
        service_names: HashMap::new(),
        shard_names: HashMap::new(),
        target_names: HashMap::new(),
        caller_names: HashMap::new(),
    };
    catalog.add_zones(inventory);
    for service in &inventory.services {
        catalog.add_service(service);
    }
    for caller in &rules.callers {
        let record = CallerRecord { name: caller.name.clone(), weight: caller.weight };
        let key = CallerKey(catalog.callers.alloc(record).into_raw().into_u32());
        catalog.caller_names.insert(caller.name.clone(), key);
    }
    let decisions = decide(inventory, rules);
    for (target, decision) in inventory.targets.iter().zip(decisions) {
        catalog.add_target(target, decision)?;
    }
    catalog.add_groups(options);
    Ok(catalog)
}

impl FleetCatalog {
    fn add_zones(&mut self, inventory: &Inventory) {
        for zone in &inventory.zones {
            let record = ZoneRecord { name: zone.name.clone(), region: zone.region.clone() };
            let key = ZoneKey(self.zones.alloc(record).into_raw().into_u32());
            self.zone_names.insert(zone.name.clone(), key);
        }
    }

    fn add_service(&mut self, entry: &ServiceEntry) {
        let service = ServiceKey::from(self.services.len());
        let shards = (0..entry.shards).map(|number| self.add_shard(entry, service, number));
        let shards = shards.collect();
        self.services.alloc(ServiceRecord {
            name: entry.name.clone(),
            shards,
            slots: entry.slots,
            connections: entry.connections,
            connect_cost: entry.connect_cost,
            cold_start: entry.cold_start,
            urgency: entry.urgency,
        });
        self.service_names.insert(entry.name.clone(), service);
    }

    fn add_shard(&mut self, entry: &ServiceEntry, service: ServiceKey, number: u32) -> ShardKey {
        let name = shard_name(&entry.name, number, entry.shards);
        let record = ShardRecord {
            name: name.clone(),
            service,
            number,
            range: KeyRange::part(number, entry.shards),
            targets: SmallVec::new(),
        };
        let key = ShardKey(self.shards.alloc(record).into_raw().into_u32());
        self.shard_names.insert(name, key);
        key
    }

    fn add_target(&mut self, entry: &TargetEntry, decision: StateDecision) -> Result<(), Error> {
        let name = || entry.name.clone();
        let zone = self
            .zone_named(&entry.zone)
            .ok_or_else(|| Error::UnknownZone(name(), entry.zone.clone()))?;
        let service = self
            .service_named(&entry.service)
            .ok_or_else(|| Error::UnknownService(name(), entry.service.clone()))?;
        let key = TargetKey::from(self.targets.len());
        let mut shards: SmallVec<[ShardKey; 2]> = SmallVec::new();
        for shard in &entry.shards {
            let known = self.shard_named(shard).filter(|&key| self.shard(key).service == service);
            let known = known.ok_or_else(|| Error::UnknownShard(name(), shard.0.clone()))?;
            shards.push(known);
        }
        shards.sort_unstable();
        shards.dedup();
        for &shard in &shards {
            self.shards[raw(shard.0)].targets.push(key);
        }
        let defaults = self.service(service);
        let (slots, connections) = (defaults.slots, defaults.connections);
        self.targets.alloc(TargetRecord {
            name: entry.name.clone(),
            asset: entry.asset.clone(),
            service,
            zone,
            address: entry.address,
            shards,
            slots: entry.slots.unwrap_or(slots),
            connections: entry.connections.unwrap_or(connections),
            spare: entry.spare,
            group: GroupKey::default(),
            decision,
        });
        self.target_names.insert(entry.name.clone(), key);
        Ok(())
    }

    fn add_groups(&mut self, options: Options) {
        let buckets = group::buckets(self, options.group_buckets);
        let mut groups: HashMap<(ZoneKey, u32), GroupKey> = HashMap::new();
        for (index, bucket) in buckets.into_iter().enumerate() {
            let target = TargetKey::from(index);
            let zone = self.target(target).zone;
            let group = *groups.entry((zone, bucket)).or_insert_with(|| {
                let id = group::id(&self.zones[raw(zone.0)].name, bucket);
                let record = GroupRecord { zone, bucket, id, targets: Vec::new() };
                GroupKey(self.groups.alloc(record).into_raw().into_u32())
            });
            self.groups[raw(group.0)].targets.push(target);
            self.targets[raw(target.0)].group = group;
        }
    }
}
