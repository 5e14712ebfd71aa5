//! Takes in which targets this host owns and what is wanted of them.

use std::collections::HashSet;
use std::sync::Arc;

use hawthorn_decide::message::TargetRecord;
use hawthorn_fleet::SlotShare;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;

use super::duty::OwnedTarget;
use super::duty::OwnerDuty;
use super::duty::OwnerInputs;
use crate::connection::pool;
use crate::connection::pool::TargetPool;
use crate::version::config::ConfigInForce;
use crate::version::owned::OwnedGroups;

impl OwnerDuty {
    pub(super) fn reload(&mut self, inputs: &mut OwnerInputs) {
        let config = inputs.config.borrow_and_update().clone();
        let owned = inputs.owned.borrow_and_update().clone();
        let Some(config) = config else { return };
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
            // Switched off on purpose: nothing to ask it, nothing to report.
            if share == SlotShare::None || target.wanted() == WantedState::Off {
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
            self.keep_target(key, names, target.address, slots_connections(target));
            records.push(TargetRecord { key, slots, wanted: target.wanted(), shards });
        }
        records
    }

    fn keep_target(
        &mut self,
        key: TargetKey,
        shards: Vec<ShardName>,
        address: std::net::SocketAddr,
        connections: usize,
    ) {
        if let Some(known) = self.targets.get_mut(&key)
            && known.pool.address() == address
        {
            known.shards = shards;
            return;
        }
        let options = pool::Options {
            connections,
            max_answer_bytes: self.options.max_answer_bytes,
            connect_timeout: self.options.connect_timeout,
        };
        let pool = Arc::new(TargetPool::new(address, options));
        let warming = Arc::clone(&pool);
        tokio::spawn(async move { warming.warm(connections / 2).await });
        let target = OwnedTarget { pool, shards, held: Vec::new(), reachable: false };
        self.targets.insert(key, target);
    }
}

/// Connections of one owner to a target, at the most.
///
/// Load: a group changes hands and for a moment two hosts own it. The harm is
/// a target over its connection limit, which refuses both. No owner ever opens
/// more than half of what the target takes; within that, room for every slot,
/// as many cancellations beside them, one probe and one to spare.
fn slots_connections(target: &hawthorn_intent::catalog::TargetRecord) -> usize {
    let useful = target.slots as usize * 2 + 2;
    useful.min((target.connections / 2).max(1) as usize)
}
