//! Takes in which targets this host owns and what is wanted of them.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::message::TargetRecord;
use hawthorn_fleet::SlotShare;
use hawthorn_intent::catalog;
use hawthorn_types::ConfigRevision;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;

use super::duty::OwnedTarget;
use super::duty::OwnerDuty;
use super::duty::OwnerInputs;
use super::intent::TargetUse;
use crate::connection::pool;
use crate::connection::pool::TargetPool;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;

impl OwnerDuty {
    /// Takes in another configuration or ownership.
    pub(super) fn reload(&mut self, inputs: &mut OwnerInputs) {
        self.config = inputs.config.borrow_and_update().clone();
        self.owned = inputs.owned.borrow_and_update().clone();
        self.apply_targets();
    }

    /// The revision that targets are used by.
    pub(super) fn revision(&self) -> Option<ConfigRevision> {
        self.config.as_ref().map(|config| config.catalog.revision())
    }

    /// Tells the decisions which targets there are and how each is used.
    pub(super) fn apply_targets(&mut self) {
        let Some(config) = self.config.clone() else { return };
        let owned = Arc::clone(&self.owned);
        let records = self.records(&config, &owned);
        self.config = Some(config);
        let kept: HashSet<TargetKey> = records.iter().map(|record| record.key).collect();
        let now = self.now();
        self.state.set_targets(now, &records);
        self.targets.retain(|key, _| kept.contains(key));
        self.tell();
    }

    fn records(&mut self, config: &ConfigInForce, owned: &OwnedGroups) -> Vec<TargetRecord> {
        let catalog = &config.catalog;
        let mut records = Vec::new();
        for (_, target) in catalog.targets() {
            let zone = &catalog.zone(target.zone).name;
            let share = owned.share(zone, catalog.group(target.group).bucket);
            if share == SlotShare::None {
                continue;
            }
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
            if known.usage.wanted == WantedState::Off && wanted != WantedState::Off {
                warm(&known.pool, connections);
            }
            known.usage.want(wanted, cold_start);
            return;
        }
        let options = pool::Options {
            connections,
            max_answer_bytes: self.options.max_answer_bytes,
            connect_timeout: self.options.connect_timeout,
        };
        let pool = Arc::new(TargetPool::new(record.address, options));
        // Switched off on purpose: nothing to connect to.
        if wanted != WantedState::Off {
            warm(&pool, connections);
        }
        let usage = TargetUse::new(wanted, cold_start);
        let target = OwnedTarget { pool, shards, held: Vec::new(), reachable: false, usage };
        self.targets.insert(key, target);
    }
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
