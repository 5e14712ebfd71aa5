//! The queue of one shard: fair between callers by slot time, with two priority lanes.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, 1996) with slot time as the shared resource. Each
//! caller has a tag, the virtual time up to which it has been served. The caller with the smallest
//! tag is served next, and its tag grows by the expected slot time of its attempt, corrected by the
//! actual slot time when the attempt ends. A caller that sends more work, or longer work, advances
//! only its own tag.
//!
//! Bound: of two callers that are both backlogged, one is ahead of the other by at most the slot
//! time of the attempts that it can have in flight, `slots x longest service time`, however long
//! the backlog lasts.

use crate::arena::Arena;
use crate::piece::LivePiece;
use crate::piece::NO_LINK;

/// Limits of a shard's queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Maximum pieces queued for one shard. 1024: with 4 slots of 5 ms each this is more than a
    /// second of work, longer than any caller waits.
    pub waiting_limit: u32,
    /// Maximum number of callers; larger caller keys are rejected.
    pub caller_limit: u32,
    /// Share of the slot time reserved for normal work while urgent work waits too. An eighth: a
    /// normal request waits up to eight times longer, but none starves under any urgent load.
    pub normal_share: f64,
    /// A caller whose work takes this many times longer than the other callers' is limited to half
    /// of the shard's slots. Without the limit, long work that arrives at an empty queue would take
    /// every slot, and as slots are not preempted, short pieces of other callers would wait for it.
    pub long_work_factor: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { waiting_limit: 1024, caller_limit: 4096, normal_share: 0.125, long_work_factor: 4 }
    }
}

/// The lane of urgent pieces.
pub(crate) const URGENT: usize = 0;
/// The lane of normal pieces.
pub(crate) const NORMAL: usize = 1;
const LANE_COUNT: usize = 2;

/// Weight of a new measurement in a caller's moving average: one eighth.
const COST_WEIGHT: u64 = 8;
/// Number of further callers considered if no available target can take the next caller's piece.
const SKIP_LIMIT: usize = 8;

#[derive(Clone, Copy, Debug)]
struct PieceList {
    head: u32,
    tail: u32,
    len: u32,
    /// Position in the lane's list of active callers.
    position: u32,
}

impl Default for PieceList {
    fn default() -> Self {
        Self { head: NO_LINK, tail: NO_LINK, len: 0, position: 0 }
    }
}

#[derive(Clone, Debug, Default)]
struct CallerFlow {
    /// Virtual time up to which the caller has been served, in microseconds of slot time.
    tag: u64,
    /// Average slot time of its attempts, in microseconds; zero before the first.
    cost: u64,
    /// Attempts in flight, each of which holds a slot.
    in_flight: u32,
    lists: [PieceList; LANE_COUNT],
}

/// The end of its caller's list at which a piece is inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueEnd {
    /// A new piece.
    Back,
    /// A piece to be sent again, which has already waited its turn.
    Front,
}

/// The owner's decision on a piece that is next in fair order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchDecision {
    /// It can be sent now.
    Send,
    /// No available target can take it now.
    Wait,
}

#[derive(Debug)]
pub(crate) struct ShardQueue {
    options: Options,
    flows: Vec<CallerFlow>,
    active: [Vec<u32>; LANE_COUNT],
    waiting: [u32; LANE_COUNT],
    virtual_time: u64,
    /// Slot time owed to normal work, in microseconds; negative if it was served ahead.
    normal_credit: f64,
    /// Sum and number of the callers' average costs.
    cost_sum: u64,
    cost_count: u64,
}

impl ShardQueue {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            flows: Vec::new(),
            active: [Vec::new(), Vec::new()],
            waiting: [0; LANE_COUNT],
            virtual_time: 0,
            normal_credit: 0.0,
            cost_sum: 0,
            cost_count: 0,
        }
    }

    pub(crate) fn waiting(&self, lane: usize) -> u32 {
        self.waiting[lane]
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == [0; LANE_COUNT]
    }

    /// Number of places left in the queue.
    pub(crate) fn remaining_capacity(&self) -> u32 {
        self.options.waiting_limit.saturating_sub(self.waiting.iter().sum())
    }

    /// Number of pieces that the caller has queued in both lanes.
    pub(crate) fn waiting_of(&self, caller: u32) -> u32 {
        self.flows
            .get(caller as usize)
            .map_or(0, |flow| flow.lists.iter().map(|list| list.len).sum())
    }

    /// Expected slot time of the caller's pieces, or `default_cost` before its first attempt.
    pub(crate) fn cost_of(&self, caller: u32, default_cost: u64) -> u64 {
        match self.flows.get(caller as usize) {
            Some(flow) if flow.cost > 0 => flow.cost,
            _ => default_cost,
        }
    }

    /// Expected slot time of the pieces that one caller has queued in the lane.
    pub(crate) fn backlog_of(&self, caller: u32, lane: usize, default_cost: u64) -> u64 {
        let waiting = self.flows.get(caller as usize).map_or(0, |flow| flow.lists[lane].len);
        u64::from(waiting) * self.cost_of(caller, default_cost)
    }

    /// Expected slot time of the queued pieces, for each caller with pieces in the lane.
    pub(crate) fn backlogs(&self, lane: usize, default_cost: u64) -> impl Iterator<Item = u64> {
        self.active[lane].iter().map(move |&caller| {
            let waiting = u64::from(self.flows[caller as usize].lists[lane].len);
            waiting * self.cost_of(caller, default_cost)
        })
    }

    /// Expected slot time of all queued pieces.
    pub(crate) fn backlog(&self, default_cost: u64) -> u64 {
        let lanes = (0..LANE_COUNT).flat_map(|lane| self.backlogs(lane, default_cost));
        lanes.sum()
    }

    pub(crate) fn insert(&mut self, pieces: &mut Arena<LivePiece>, index: u32, end: QueueEnd) {
        let piece = pieces.at(index);
        let lane = piece.lane();
        let caller = piece.request.caller.0;
        if self.flows.len() <= caller as usize {
            self.flows.resize_with(caller as usize + 1, CallerFlow::default);
        }
        let flow = &mut self.flows[caller as usize];
        let list = &mut flow.lists[lane];
        if list.len == 0 {
            list.position = self.active[lane].len() as u32;
            self.active[lane].push(caller);
            // A caller that was idle starts at the current virtual time. Credit for its idle time
            // would let it delay all others.
            flow.tag = flow.tag.max(self.virtual_time);
        }
        let (prev, next) = match end {
            QueueEnd::Back => (list.tail, NO_LINK),
            QueueEnd::Front => (NO_LINK, list.head),
        };
        if prev == NO_LINK {
            list.head = index;
        }
        if next == NO_LINK {
            list.tail = index;
        }
        list.len += 1;
        self.waiting[lane] += 1;
        if prev != NO_LINK {
            pieces.at_mut(prev).next = index;
        }
        if next != NO_LINK {
            pieces.at_mut(next).prev = index;
        }
        let piece = pieces.at_mut(index);
        piece.prev = prev;
        piece.next = next;
        piece.waiting = true;
    }

    pub(crate) fn remove(&mut self, pieces: &mut Arena<LivePiece>, index: u32) {
        let piece = pieces.at_mut(index);
        let lane = piece.lane();
        let caller = piece.request.caller.0;
        let prev = std::mem::replace(&mut piece.prev, NO_LINK);
        let next = std::mem::replace(&mut piece.next, NO_LINK);
        piece.waiting = false;
        if prev != NO_LINK {
            pieces.at_mut(prev).next = next;
        }
        if next != NO_LINK {
            pieces.at_mut(next).prev = prev;
        }
        let list = &mut self.flows[caller as usize].lists[lane];
        if prev == NO_LINK {
            list.head = next;
        }
        if next == NO_LINK {
            list.tail = prev;
        }
        list.len -= 1;
        self.waiting[lane] -= 1;
        if list.len == 0 {
            let position = list.position as usize;
            self.deactivate(lane, position);
        }
    }

    fn deactivate(&mut self, lane: usize, position: usize) {
        self.active[lane].swap_remove(position);
        if let Some(&moved) = self.active[lane].get(position) {
            self.flows[moved as usize].lists[lane].position = position as u32;
        }
        if self.waiting[lane] == 0 {
            self.normal_credit = 0.0;
        }
    }

    /// Any queued piece, for draining the queue.
    pub(crate) fn first_queued(&self) -> Option<u32> {
        let lane = self.waiting.iter().position(|&waiting| waiting > 0)?;
        let caller = *self.active[lane].first()?;
        Some(self.flows[caller as usize].lists[lane].head)
    }

    /// The next piece in fair order for which `decide` returns `Send`. `slots` is the number of
    /// slots of the shard over all targets in service.
    pub(crate) fn pick(
        &self,
        pieces: &Arena<LivePiece>,
        slots: u32,
        mut decide: impl FnMut(&LivePiece) -> DispatchDecision,
    ) -> Option<u32> {
        let first = self.first_lane();
        let picked = self.pick_lane(first, pieces, slots, &mut decide);
        picked.or_else(|| self.pick_lane(LANE_COUNT - 1 - first, pieces, slots, &mut decide))
    }

    /// The lane to serve first: urgent, unless normal work is owed slot time.
    fn first_lane(&self) -> usize {
        let normal_is_owed = self.normal_credit > 0.0 && self.waiting[NORMAL] > 0;
        if self.waiting[URGENT] == 0 || normal_is_owed { NORMAL } else { URGENT }
    }

    fn pick_lane(
        &self,
        lane: usize,
        pieces: &Arena<LivePiece>,
        slots: u32,
        decide: &mut impl FnMut(&LivePiece) -> DispatchDecision,
    ) -> Option<u32> {
        let mut skipped: Option<(u64, u32)> = None;
        for _ in 0..=SKIP_LIMIT {
            let (tag, caller) = self.next_caller(lane, skipped, slots)?;
            let head = self.flows[caller as usize].lists[lane].head;
            if decide(pieces.at(head)) == DispatchDecision::Send {
                return Some(head);
            }
            skipped = Some((tag, caller));
        }
        None
    }

    /// The caller that follows `skipped` in the order of tags.
    fn next_caller(
        &self,
        lane: usize,
        skipped: Option<(u64, u32)>,
        slots: u32,
    ) -> Option<(u64, u32)> {
        let mut best = None;
        for &caller in &self.active[lane] {
            let flow = &self.flows[caller as usize];
            let order = (flow.tag, caller);
            let already_considered = skipped.is_some_and(|skipped| order <= skipped);
            let better = best.is_none_or(|best| order < best);
            if better && !already_considered && !self.is_at_slot_limit(flow, slots) {
                best = Some(order);
            }
        }
        best
    }

    /// Whether a caller with long work has reached its limit of half of the slots.
    fn is_at_slot_limit(&self, flow: &CallerFlow, slots: u32) -> bool {
        let others = self.cost_count.saturating_sub(1);
        if others == 0 || flow.in_flight < (slots / 2).max(1) {
            return false;
        }
        let others_sum = self.cost_sum - flow.cost;
        flow.cost * others > self.options.long_work_factor * others_sum
    }

    /// Charges `cost` to a caller when an attempt of it is sent.
    pub(crate) fn charge(&mut self, caller: u32, cost: u64) {
        let flow = &mut self.flows[caller as usize];
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag = flow.tag.max(self.virtual_time) + cost;
        flow.in_flight += 1;
    }

    /// Updates the credit between the lanes when a piece of `lane` is sent.
    pub(crate) fn charge_lane(&mut self, lane: usize, cost: u64) {
        let share = self.options.normal_share;
        if lane == NORMAL {
            self.normal_credit -= cost as f64;
        } else if self.waiting[NORMAL] > 0 {
            self.normal_credit += cost as f64 * share / (1.0 - share);
        }
        // Bounded in both directions: a large debt for normal work that used free slots, or a large
        // credit, would let one lane block the other for long.
        let max_credit = 2.0 * cost as f64;
        self.normal_credit = self.normal_credit.clamp(-max_credit / share, max_credit);
    }

    /// Corrects the charge of an attempt that held its slot for `elapsed` and was charged
    /// `charged`.
    pub(crate) fn settle(&mut self, caller: u32, charged: u64, elapsed: u64) {
        let flow = &mut self.flows[caller as usize];
        flow.in_flight -= 1;
        flow.tag = (flow.tag + elapsed).saturating_sub(charged);
        let elapsed = elapsed.max(1);
        self.cost_sum -= flow.cost;
        if flow.cost == 0 {
            self.cost_count += 1;
            flow.cost = elapsed;
        } else {
            flow.cost = (flow.cost * (COST_WEIGHT - 1) + elapsed).div_ceil(COST_WEIGHT);
        }
        self.cost_sum += flow.cost;
    }
}
