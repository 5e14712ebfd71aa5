//! Takes in which targets this host owns and what is wanted of them.

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

use super::duty::OwnedTarget;
use super::duty::OwnerDuty;
use super::duty::OwnerInputs;
use super::intent::TargetUse;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;
use hawthorn_pool as pool;
use hawthorn_pool::TargetPool;

impl OwnerDuty {
    /// Takes in another configuration or ownership.
    pub(super) fn reload(&mut self, inputs: &mut OwnerInputs) {
        self.config = inputs.config.borrow_and_update().clone();
        self.owned = inputs.owned.borrow_and_update().clone();
        let mine = self.config.as_deref().map(|config| mine(config, &self.owned));
        self.mine = mine.unwrap_or_default();
        self.apply_targets();
    }

    /// The revision that targets are used by.
    pub(super) fn revision(&self) -> Option<ConfigRevision> {
        self.config.as_ref().map(|config| config.catalog.revision())
    }

    /// Tells the decisions which targets there are and how each is used.
    pub(super) fn apply_targets(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let records = self.records(&config);
        let kept: HashSet<TargetKey> = records.iter().map(|record| record.key).collect();
        let now = self.now();
        self.state.set_targets(now, &records);
        self.targets.retain(|key, _| kept.contains(key));
        self.tell();
    }

    fn records(&mut self, config: &ConfigInForce) -> Vec<TargetRecord> {
        let catalog = &config.catalog;
        let owned = Arc::clone(&self.owned);
        let mine = std::mem::take(&mut self.mine);
        let mut records = Vec::with_capacity(mine.len());
        for &target in &mine {
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
            self.keep_target(key, names, target, catalog.service(target.service).cold_start);
            let wanted = self.use_target(key, catalog.revision());
            records.push(TargetRecord { key, slots, wanted, shards });
        }
        self.mine = mine;
        records
    }

    fn keep_target(
        &mut self,
        key: TargetKey,
        shards: Vec<ShardName>,
        record: &catalog::TargetRecord,
        cold_start: Duration,
    ) {
        let wanted = record.wanted();
        let connections = slots_connections(record);
        if let Some(known) = self.targets.get_mut(&key)
            && known.pool.address() == record.address
        {
            known.shards = shards;
            if known.usage.wanted == DesiredState::Off && wanted != DesiredState::Off {
                warm(&known.pool, connections);
            }
            known.usage.want(wanted, cold_start);
            return;
        }
        let options = pool::Options {
            connections,
            held_bytes: self.options.max_answer_bytes,
            connect_timeout: self.options.connect_timeout,
        };
        let pool = Arc::new(TargetPool::new(record.address, options));
        // Switched off on purpose: nothing to connect to.
        if wanted != DesiredState::Off {
            warm(&pool, connections);
        }
        let usage = TargetUse::new(wanted, cold_start);
        let target =
            OwnedTarget { pool, shards, held: Vec::new(), reachable: false, missed: 0, usage };
        self.targets.insert(key, target);
        // Failure: a group changes hands, and until the new owner's turn to probe
        // comes, up to a second, fronts hear that nobody holds its shards.
        if wanted != DesiredState::Off {
            self.probe_now(key);
        }
    }
}

fn share(config: &ConfigInForce, owned: &OwnedGroups, target: &catalog::TargetRecord) -> SlotShare {
    let zone = &config.catalog.zone(target.zone).name;
    owned.share(zone, config.catalog.group(target.group).bucket)
}

/// The targets owned here, as keys of the catalog in force.
///
/// Load: of 73,000 targets a host owns some 20, and each that warms or leaves
/// has the decisions told anew. Only a new revision or another ownership is
/// worth a walk through all of them, on the thread that places every piece.
fn mine(config: &ConfigInForce, owned: &OwnedGroups) -> Vec<TargetKey> {
    let targets = config.catalog.targets();
    let mine = targets.filter(|(_, target)| share(config, owned, target) != SlotShare::None);
    mine.map(|(key, _)| key).collect()
}

fn warm(pool: &Arc<TargetPool>, connections: usize) {
    let pool = Arc::clone(pool);
    tokio::spawn(async move { pool.warm(connections / 2).await });
}

/// Connections of one owner to a target, at the most.
///
/// Load: a group changes hands and for a moment two hosts own it. The harm is
/// a target over its connection limit, which refuses both. No owner ever opens
/// more than half of what the target takes; within that, room for every slot,
/// as many cancellations beside them, one probe and one to spare.
fn slots_connections(target: &catalog::TargetRecord) -> usize {
    let useful = target.slots as usize * 2 + 2;
    useful.min((target.connections / 2).max(1) as usize)
}
