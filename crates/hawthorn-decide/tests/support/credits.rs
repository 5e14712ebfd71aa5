//! Slots borrowed from a lender, one of the ways weighed against owners.

use smallvec::smallvec;

use super::Site;
use hawthorn_decide::OwnerState;
use hawthorn_decide::TargetRecord;
use hawthorn_decide::TickTime;
use hawthorn_types::ShardKey;
use hawthorn_types::TargetKey;
use hawthorn_types::WantedState;

pub struct Lender {
    pub period: u64,
    /// Whether a loan is called back when somebody waits without any.
    recall: bool,
    /// Slots lent, by front and target.
    lent: Vec<Vec<u16>>,
    /// The turn in which each was lent.
    since: Vec<Vec<usize>>,
    turn: usize,
}

impl Lender {
    pub fn new(period: u64, recall: bool, fronts: usize, targets: usize) -> Self {
        Self {
            period,
            recall,
            lent: vec![vec![0; targets]; fronts],
            since: vec![vec![0; targets]; fronts],
            turn: 0,
        }
    }

    /// Takes back what is idle and lends it to fronts with work waiting.
    pub fn lend(&mut self, now: TickTime, site: &Site, fronts: &mut [OwnerState]) {
        self.turn += 1;
        for target in 0..site.targets() {
            self.lend_target(target, site, fronts);
        }
        for (front, owner) in fronts.iter_mut().enumerate() {
            let record = |target: u32| TargetRecord {
                key: TargetKey(target),
                slots: self.lent[front][target as usize],
                wanted: WantedState::Serve,
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
            if !waits(owner, shard) {
                let taken = owner.slots_in_use(TargetKey(target));
                self.lent[front][index] = self.lent[front][index].min(taken);
            }
        }
        let in_want = |lent: &[Vec<u16>], front: usize| {
            lent[front][index] == 0 && waits(&fronts[front], shard)
        };
        let mut free = site.slots.saturating_sub(self.held(index, fronts));
        for step in 0..fronts.len() {
            let front = (self.turn + step) % fronts.len();
            if free > 0 && in_want(&self.lent, front) {
                self.lent[front][index] += 1;
                self.since[front][index] = self.turn;
                free -= 1;
            }
        }
        // Somebody still waits without any: the oldest loan ends with its attempt.
        if self.recall && (0..fronts.len()).any(|front| in_want(&self.lent, front)) {
            let lent = (0..fronts.len()).filter(|front| self.lent[*front][index] > 0);
            if let Some(oldest) = lent.min_by_key(|front| self.since[*front][index]) {
                self.lent[oldest][index] -= 1;
            }
        }
    }

    /// Slots lent or still taken.
    fn held(&self, index: usize, fronts: &[OwnerState]) -> u16 {
        let each = fronts.iter().enumerate().map(|(front, owner)| {
            self.lent[front][index].max(owner.slots_in_use(TargetKey::from(index)))
        });
        each.sum()
    }
}

fn waits(owner: &OwnerState, shard: ShardKey) -> bool {
    owner.waiting_at(shard) > 0
}
