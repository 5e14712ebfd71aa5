//! Publishes the state of the owned targets to other workers, and through them to other hosts.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_decide::counter::OwnerCounters;
use hawthorn_decide::shift::Phase;
use hawthorn_types::ShardKey;
use hawthorn_types::ShardName;
use hawthorn_types::UrgencyClass;

use super::view;
use super::view::OwnerGauges;
use super::view::ShardTimes;
use super::view::UsableReplica;
use super::worker::OwnerWorker;

impl OwnerWorker {
    /// Publishes the view for fronts, the gauges and counters, and the busy buckets.
    pub(super) fn publish(&mut self) {
        self.publish_snapshot();
        let shards = self.shard_views();
        let previous = Arc::clone(&self.view.borrow());
        if let Some(next) = view::next(&previous, shards) {
            self.view.send_replace(Arc::new(next));
        }
        let counters = self.state.counters();
        let gauges = OwnerGauges {
            batches: self.table.batches.len() as u64,
            queued: counters.waiting.iter().map(|&count| u64::from(count)).sum(),
            slots_in_use: u64::from(counters.slots_in_use),
            targets: self.targets.len() as u64,
            attempts: counters.attempts,
            extra_attempts: extra_attempts(counters),
        };
        self.gauges.send_if_modified(|previous| std::mem::replace(previous, gauges) != gauges);
        let counters = counters.clone();
        self.metrics.count_owner(&self.exported_counters, &counters);
        self.exported_counters = counters;
        let running = self.buckets.iter().filter(|(key, _)| self.state.slots_in_use(**key) > 0);
        let busy: HashSet<u16> = running.map(|(_, &bucket)| bucket).collect();
        if **self.busy.borrow() != busy {
            self.busy.send_replace(Arc::new(busy));
        }
    }

    fn shard_views(&self) -> Vec<crate::connection::message::ShardView> {
        let usable = self.targets.iter().filter(|(key, target)| {
            let phase = self.state.phase(**key);
            let is_usable = target.reachable && target.usage.is_usable();
            is_usable && matches!(phase, Some(Phase::Serving | Phase::Ramping { .. }))
        });
        let replicas = usable.flat_map(|(_, target)| {
            target.shards.iter().map(|shard| UsableReplica {
                shard,
                held: &target.held,
                is_ready: target.usage.is_ready(),
            })
        });
        view::shards(replicas, |shard| self.shard_times(shard))
    }

    fn shard_times(&self, shard: &ShardName) -> ShardTimes {
        let Some(key) = self.shard_names.number(shard).map(ShardKey) else {
            return ShardTimes::default();
        };
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let now = self.now();
        ShardTimes {
            wait_us: micros(self.state.current_wait(now, key, UrgencyClass::Urgent)),
            service_us: micros(self.state.best_replica_latency(now, key)),
        }
    }
}

fn extra_attempts(counters: &OwnerCounters) -> u64 {
    use strum::IntoEnumIterator;
    hawthorn_types::RetryReason::iter().map(|reason| counters.retried(reason)).sum()
}
