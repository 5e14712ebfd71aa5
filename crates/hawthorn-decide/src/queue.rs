//! The queue of one shard: fair between callers in slot time, urgent first.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, 1996) with slot time as the
//! quantity shared. Each caller has a tag, the virtual time up to which it has
//! been served. The caller with the smallest tag goes next, and its tag grows
//! by the slot time its attempt is expected to take, corrected by what the
//! attempt really took. A caller that sends more, or longer work, only moves
//! its own tag.
//!
//! Bound: of two callers that both have work waiting, one is ahead of the
//! other by at most the slot time of the attempts that each can hold at once,
//! `slots x longest service time`, and never by more however long it lasts.

use crate::arena::Arena;
use crate::piece::LivePiece;
use crate::piece::NO_LINK;

/// Limits of one shard's queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Pieces that may wait for one shard. 1024: at 4 slots of 5 ms each it is
    /// more than a second of work, longer than any caller waits.
    pub waiting_limit: u32,
    /// Callers an owner tells apart; keys beyond are refused.
    pub caller_limit: u32,
    /// Part of the slot time that normal work gets while urgent work waits
    /// too. An eighth: a normal lookup waits up to eight times longer, and
    /// none starves, however much urgent work there is.
    pub normal_share: f64,
    /// A caller whose work takes this many times longer than the other
    /// callers' is held to half of the shard's slots. Guards against long work
    /// that arrives while nobody else waits: it would take every slot, none is
    /// ever taken back, and the next caller's short piece would wait it out.
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

/// A new measurement counts for an eighth of a caller's average.
const COST_WEIGHT: u64 = 8;
/// Callers looked at beyond the one whose turn it is, when its piece can go to
/// none of the targets that have room.
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
    /// Virtual time up to which the caller has been served, in microseconds of
    /// slot time.
    tag: u64,
    /// Average slot time of its attempts; zero before the first.
    cost: u64,
    /// Slots it holds now.
    held: u32,
    lists: [PieceList; LANE_COUNT],
}

/// Where a piece joins its caller's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueEnd {
    /// A new piece.
    Back,
    /// A piece whose attempt was refused: it has waited its turn already.
    Front,
}

/// What the owner says of a piece whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceVerdict {
    /// It can be sent now.
    Send,
    /// No target with room can take it now.
    Wait,
}

#[derive(Debug)]
pub(crate) struct ShardQueue {
    options: Options,
    flows: Vec<CallerFlow>,
    active: [Vec<u32>; LANE_COUNT],
    waiting: [u32; LANE_COUNT],
    virtual_time: u64,
    /// Slot time owed to normal work, in microseconds.
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

    /// Room left in the whole queue.
    pub(crate) fn room(&self) -> u32 {
        self.options.waiting_limit.saturating_sub(self.waiting.iter().sum())
    }

    /// Pieces that the caller has waiting, of both lanes.
    pub(crate) fn waiting_of(&self, caller: u32) -> u32 {
        self.flows
            .get(caller as usize)
            .map_or(0, |flow| flow.lists.iter().map(|list| list.len).sum())
    }

    /// Slot time a piece of the caller is expected to take, or `guess`.
    pub(crate) fn cost_of(&self, caller: u32, guess: u64) -> u64 {
        match self.flows.get(caller as usize) {
            Some(flow) if flow.cost > 0 => flow.cost,
            _ => guess,
        }
    }

    /// Slot time waiting of one caller in the lane.
    pub(crate) fn backlog_of(&self, caller: u32, lane: usize, guess: u64) -> u64 {
        let waiting = self.flows.get(caller as usize).map_or(0, |flow| flow.lists[lane].len);
        u64::from(waiting) * self.cost_of(caller, guess)
    }

    /// Slot time waiting of each caller with pieces in the lane.
    pub(crate) fn backlogs(&self, lane: usize, guess: u64) -> impl Iterator<Item = u64> {
        self.active[lane].iter().map(move |&caller| {
            let waiting = u64::from(self.flows[caller as usize].lists[lane].len);
            waiting * self.cost_of(caller, guess)
        })
    }

    /// Slot time waiting in both lanes.
    pub(crate) fn backlog(&self, guess: u64) -> u64 {
        let lanes = (0..LANE_COUNT).flat_map(|lane| self.backlogs(lane, guess));
        lanes.sum()
    }

    pub(crate) fn join(&mut self, pieces: &mut Arena<LivePiece>, index: u32, end: QueueEnd) {
        let piece = pieces.at(index);
        let lane = piece.lane();
        let caller = piece.ask.caller.0;
        if self.flows.len() <= caller as usize {
            self.flows.resize_with(caller as usize + 1, CallerFlow::default);
        }
        let flow = &mut self.flows[caller as usize];
        let list = &mut flow.lists[lane];
        if list.len == 0 {
            list.position = self.active[lane].len() as u32;
            self.active[lane].push(caller);
            // A caller that was away starts at the present: time in which it
            // sent nothing is not saved up, or it could hold up all others.
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

    pub(crate) fn leave(&mut self, pieces: &mut Arena<LivePiece>, index: u32) {
        let piece = pieces.at_mut(index);
        let lane = piece.lane();
        let caller = piece.ask.caller.0;
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

    /// Any waiting piece, for emptying the queue.
    pub(crate) fn any(&self) -> Option<u32> {
        let lane = self.waiting.iter().position(|&waiting| waiting > 0)?;
        let caller = *self.active[lane].first()?;
        Some(self.flows[caller as usize].lists[lane].head)
    }

    /// The piece whose turn it is among those that `judge` lets go. `slots`
    /// are the shard's over all targets in service.
    pub(crate) fn pick(
        &self,
        pieces: &Arena<LivePiece>,
        slots: u32,
        mut judge: impl FnMut(&LivePiece) -> PieceVerdict,
    ) -> Option<u32> {
        let first = self.first_lane();
        let picked = self.pick_lane(first, pieces, slots, &mut judge);
        picked.or_else(|| self.pick_lane(LANE_COUNT - 1 - first, pieces, slots, &mut judge))
    }

    /// Urgent, unless normal work is owed the slot time of a piece.
    fn first_lane(&self) -> usize {
        let owed = self.normal_credit > 0.0 && self.waiting[NORMAL] > 0;
        if self.waiting[URGENT] == 0 || owed { NORMAL } else { URGENT }
    }

    fn pick_lane(
        &self,
        lane: usize,
        pieces: &Arena<LivePiece>,
        slots: u32,
        judge: &mut impl FnMut(&LivePiece) -> PieceVerdict,
    ) -> Option<u32> {
        let mut passed: Option<(u64, u32)> = None;
        for _ in 0..=SKIP_LIMIT {
            let (tag, caller) = self.next_caller(lane, passed, slots)?;
            let head = self.flows[caller as usize].lists[lane].head;
            if judge(pieces.at(head)) == PieceVerdict::Send {
                return Some(head);
            }
            passed = Some((tag, caller));
        }
        None
    }

    /// The caller that comes after `passed` in the order of tags.
    fn next_caller(
        &self,
        lane: usize,
        passed: Option<(u64, u32)>,
        slots: u32,
    ) -> Option<(u64, u32)> {
        let mut best = None;
        for &caller in &self.active[lane] {
            let flow = &self.flows[caller as usize];
            let order = (flow.tag, caller);
            let behind = passed.is_some_and(|passed| order <= passed);
            let better = best.is_none_or(|best| order < best);
            if better && !behind && !self.holds_enough(flow, slots) {
                best = Some(order);
            }
        }
        best
    }

    /// Whether a caller with long work holds its half of the slots.
    fn holds_enough(&self, flow: &CallerFlow, slots: u32) -> bool {
        let others = self.cost_count.saturating_sub(1);
        if others == 0 || flow.held < (slots / 2).max(1) {
            return false;
        }
        let others_sum = self.cost_sum - flow.cost;
        flow.cost * others > self.options.long_work_factor * others_sum
    }

    /// The piece leaves for a target: its caller is charged `cost`.
    pub(crate) fn charge(&mut self, caller: u32, cost: u64) {
        let flow = &mut self.flows[caller as usize];
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag = flow.tag.max(self.virtual_time) + cost;
        flow.held += 1;
    }

    /// Keeps the account between the lanes after a piece of `lane` has left.
    pub(crate) fn charge_lane(&mut self, lane: usize, cost: u64) {
        let share = self.options.normal_share;
        if lane == NORMAL {
            self.normal_credit -= cost as f64;
        } else if self.waiting[NORMAL] > 0 {
            self.normal_credit += cost as f64 * share / (1.0 - share);
        }
        // Normal work that found free slots owes nothing for them later, and
        // what it is owed never exceeds a few pieces: both would let one lane
        // hold up the other for long.
        let most = 2.0 * cost as f64;
        self.normal_credit = self.normal_credit.clamp(-most / share, most);
    }

    /// An attempt gave its slot back after `taken`; it was charged `charged`.
    pub(crate) fn settle(&mut self, caller: u32, charged: u64, taken: u64) {
        let flow = &mut self.flows[caller as usize];
        flow.held -= 1;
        flow.tag = (flow.tag + taken).saturating_sub(charged);
        let taken = taken.max(1);
        self.cost_sum -= flow.cost;
        if flow.cost == 0 {
            self.cost_count += 1;
            flow.cost = taken;
        } else {
            flow.cost = (flow.cost * (COST_WEIGHT - 1) + taken).div_ceil(COST_WEIGHT);
        }
        self.cost_sum += flow.cost;
    }
}
