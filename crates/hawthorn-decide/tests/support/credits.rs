//! Slots borrowed from a lender, one of the policies compared with owners.

use smallvec::smallvec;

use super::Site;
use hawthorn_decide::OwnerState;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_types::DesiredState;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;

pub struct Lender {
    pub period: u64,
    /// Whether a loan is recalled while a front with queued work has none.
    recall: bool,
    /// Slots lent, by front and target.
    lent: Vec<Vec<u16>>,
    /// The round in which each was lent.
    lent_in_round: Vec<Vec<usize>>,
    round: usize,
}

impl Lender {
    pub fn new(period: u64, recall: bool, fronts: usize, targets: usize) -> Self {
        Self {
            period,
            recall,
            lent: vec![vec![0; targets]; fronts],
            lent_in_round: vec![vec![0; targets]; fronts],
            round: 0,
        }
    }

    /// Takes back idle slots and lends them to fronts with queued work.
    pub fn lend(&mut self, now: TickTime, site: &Site, fronts: &mut [OwnerState]) {
        self.round += 1;
        for target in 0..site.targets() {
            self.lend_target(target, site, fronts);
        }
        for (front, owner) in fronts.iter_mut().enumerate() {
            let record = |target: u32| TargetRecord {
                key: TargetKey(target),
                slots: self.lent[front][target as usize],
                wanted: DesiredState::Serve,
                shards: smallvec![ShardKey(target % site.shards)],
            };
            let records: Vec<_> = (0..site.targets()).map(record).collect();
            owner.set_targets(now, &records);
        }
    }

    fn lend_target(&mut self, target: u32, site: &Site, fronts: &[OwnerState]) {
        let shard = ShardKey(target % site.shards);
        let index = target as usize;
        for (front, owner) in fronts.iter().enumerate() {
            if !has_queued(owner, shard) {
                let in_use = owner.slots_in_use(TargetKey(target));
                self.lent[front][index] = self.lent[front][index].min(in_use);
            }
        }
        let needs_slot = |lent: &[Vec<u16>], front: usize| {
            lent[front][index] == 0 && has_queued(&fronts[front], shard)
        };
        let mut free = site.slots.saturating_sub(self.allocated(index, fronts));
        for step in 0..fronts.len() {
            let front = (self.round + step) % fronts.len();
            if free > 0 && needs_slot(&self.lent, front) {
                self.lent[front][index] += 1;
                self.lent_in_round[front][index] = self.round;
                free -= 1;
            }
        }
        // Some front with queued work still has no slot, so the oldest loan ends with its attempt.
        if self.recall && (0..fronts.len()).any(|front| needs_slot(&self.lent, front)) {
            let lent = (0..fronts.len()).filter(|front| self.lent[*front][index] > 0);
            if let Some(oldest) = lent.min_by_key(|front| self.lent_in_round[*front][index]) {
                self.lent[oldest][index] -= 1;
            }
        }
    }

    /// Slots lent or still in use.
    fn allocated(&self, index: usize, fronts: &[OwnerState]) -> u16 {
        let each = fronts.iter().enumerate().map(|(front, owner)| {
            self.lent[front][index].max(owner.slots_in_use(TargetKey::from(index)))
        });
        each.sum()
    }
}

fn has_queued(owner: &OwnerState, shard: ShardKey) -> bool {
    owner.queue_length(shard) > 0
}
