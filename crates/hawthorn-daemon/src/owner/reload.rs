//! Applies changes of the configuration and of ownership.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::message::TargetRecord;
use hawthorn_fleet::SlotShare;
use hawthorn_intent::catalog;
use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;

use super::intent::TargetUsage;
use super::worker::OwnedTarget;
use super::worker::OwnerInputs;
use super::worker::OwnerWorker;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;
use hawthorn_pool as pool;
use hawthorn_pool::TargetPool;

impl OwnerWorker {
    /// Applies a new configuration or ownership.
    pub(super) fn reload(&mut self, inputs: &mut OwnerInputs) {
        self.config = inputs.config.borrow_and_update().clone();
        self.owned = inputs.owned.borrow_and_update().clone();
        let owned_keys = self.config.as_deref().map(|config| owned_keys(config, &self.owned));
        self.owned_keys = owned_keys.unwrap_or_default();
        self.apply_targets();
    }

    /// Revision of the configuration in force.
    pub(super) fn revision(&self) -> Option<ConfigRevision> {
        self.config.as_ref().map(|config| config.catalog.revision())
    }

    /// Passes the owned targets and how each is used to the decision state machine.
    pub(super) fn apply_targets(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let records = self.records(&config);
        let current: HashSet<TargetKey> = records.iter().map(|record| record.key).collect();
        let now = self.now();
        self.state.set_targets(now, &records);
        self.targets.retain(|key, _| current.contains(key));
        self.publish();
    }

    fn records(&mut self, config: &ConfigInForce) -> Vec<TargetRecord> {
        let catalog = &config.catalog;
        let owned = Arc::clone(&self.owned);
        let owned_keys = std::mem::take(&mut self.owned_keys);
        let mut records = Vec::with_capacity(owned_keys.len());
        for &target in &owned_keys {
            let target = catalog.target(target);
            let share = share(config, &owned, target);
            let names: Vec<ShardName> =
                target.shards.iter().map(|&shard| catalog.shard(shard).name.clone()).collect();
            let key = TargetKey(self.target_names.intern(&target.name));
            if let Ok(bucket) = u16::try_from(catalog.group(target.group).bucket) {
                self.buckets.insert(key, bucket);
            }
            let shards = names.iter().map(|name| ShardKey(self.shard_names.intern(name))).collect();
            let slots = u16::try_from(share.slots(target.slots)).unwrap_or(u16::MAX);
            self.ensure_target(key, names, target, catalog.service(target.service).cold_start);
            let wanted = self.update_usage(key, catalog.revision());
            records.push(TargetRecord { key, slots, wanted, shards });
        }
        self.owned_keys = owned_keys;
        records
    }

    fn ensure_target(
        &mut self,
        key: TargetKey,
        shards: Vec<ShardName>,
        record: &catalog::TargetRecord,
        cold_start: Duration,
    ) {
        let wanted = record.desired_state();
        let connections = max_connections(record);
        if let Some(existing) = self.targets.get_mut(&key)
            && existing.pool.address() == record.address
        {
            existing.shards = shards;
            if existing.usage.wanted == DesiredState::Off && wanted != DesiredState::Off {
                warm(&existing.pool, connections);
            }
            existing.usage.set_wanted(wanted, cold_start);
            return;
        }
        let options = pool::Options {
            max_connections: connections,
            max_buffered_bytes: self.options.max_answer_bytes,
            connect_timeout: self.options.connect_timeout,
        };
        let pool = Arc::new(TargetPool::new(record.address, options));
        // A target that is switched off has nothing to connect to.
        if wanted != DesiredState::Off {
            warm(&pool, connections);
        }
        let usage = TargetUsage::new(wanted, cold_start);
        let target =
            OwnedTarget { pool, shards, held: Vec::new(), reachable: false, missed: 0, usage };
        self.targets.insert(key, target);
        // Probes the target at once: after a change of ownership, the new owner would otherwise
        // report no replica until its first regular probe, up to a second later.
        if wanted != DesiredState::Off {
            self.probe_now(key);
        }
    }
}

fn share(config: &ConfigInForce, owned: &OwnedGroups, target: &catalog::TargetRecord) -> SlotShare {
    let zone = &config.catalog.zone(target.zone).name;
    owned.share(zone, config.catalog.group(target.group).bucket)
}

/// Keys of the owned targets in the catalog in force.
///
/// Of 73,000 targets a host owns about 20. All of them are scanned only after a new revision or a
/// change of ownership, not each time that a target warms up or drains, because the scan runs on
/// the thread that places every piece.
fn owned_keys(config: &ConfigInForce, owned: &OwnedGroups) -> Vec<TargetKey> {
    let targets = config.catalog.targets();
    let owned_keys = targets.filter(|(_, target)| share(config, owned, target) != SlotShare::None);
    owned_keys.map(|(key, _)| key).collect()
}

fn warm(pool: &Arc<TargetPool>, connections: usize) {
    let pool = Arc::clone(pool);
    tokio::spawn(async move { pool.warm(connections / 2).await });
}

/// Maximum number of connections from one owner to a target.
///
/// Handles changes of ownership, during which two hosts briefly own a group: together they must not
/// exceed the target's connection limit, or it rejects both. An owner therefore opens at most half
/// of the limit. Within that, it needs a connection for every slot, as many for cancellations, one
/// for a probe and one in reserve.
fn max_connections(target: &catalog::TargetRecord) -> usize {
    let useful = target.slots as usize * 2 + 2;
    useful.min((target.connections / 2).max(1) as usize)
}
