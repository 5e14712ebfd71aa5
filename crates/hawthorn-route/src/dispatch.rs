//! Decides when each routed request of a host is sent while capacity is short.
//!
//! Handles overload by requests of several priorities and customers whose targets have no free
//! slot. Without an order, less urgent work fills the targets' queues, which urgent requests with
//! a short target latency cannot wait out, and a customer that sends more than its share delays
//! all others.
//!
//! Order: priority, then start-time fair queueing (Goyal, Vin, Cheng, 1996) between customers by
//! expected slot time, then first come, first served. Unlike `hawthorn_decide::queue`, which
//! orders the pieces of one shard for callers with dense keys in two lanes, this queue has any
//! number of priorities, flows that come and go, and requests that need many services at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::fingerprint::RequestFingerprint;
use crate::placement::SlotWait;

new_key_type! {
    /// A waiting request.
    pub struct TicketKey;
}

/// Settings of the dispatcher.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether requests are ordered although the configuration has no customers.
    pub on: bool,
    /// Maximum number of waiting requests. At 30 KB each, 1,024 take an eighth of a small host's
    /// memory.
    pub waiting_limit: u32,
    /// Share of the slot time reserved for each priority while more urgent requests are sent: a
    /// less urgent request waits up to eight times longer, but none starves.
    pub reserved_share: f64,
    /// A less urgent request is sent while the wait at its targets is below this share of the
    /// target latency of more urgent requests. Slots are not preempted, so that an urgent request
    /// waits for everything that was sent before it: at 0.25, one queued request of 20 ms makes an
    /// urgent request of 50 ms late.
    pub standing_share: f64,
    /// A request of one of several customers is sent while the wait at its targets is below this
    /// share of its own target latency. Above it, the queues at the targets would decide the
    /// order, in which a flood of one customer delays the others.
    pub equal_share: f64,
    /// For how long after a request of a priority more of them are expected.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "expected_ms")]
    pub expected_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            on: false,
            waiting_limit: 1024,
            reserved_share: 0.125,
            standing_share: 0.15,
            equal_share: 0.25,
            expected_time: Duration::from_secs(1),
        }
    }
}

/// Whose share of the capacity a request uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FlowName {
    /// A customer's.
    Customer(Rc<str>),
    /// That of all requests of a route that have no customer.
    Route(Rc<str>),
}

/// Identifies a caller's request and its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryIdentity {
    /// A hash of the caller.
    pub caller: u64,
    /// The content of the request.
    pub fingerprint: RequestFingerprint,
}

/// What a request needs.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestDemand {
    /// Whose share of the capacity it uses.
    pub flow: FlowName,
    /// Priority of the customer, or else of the route; 0 is the most urgent.
    pub priority: u32,
    /// Identity of the request and its retries.
    pub identity: RetryIdentity,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// When the answer must be sent to be in time.
    pub soft_deadline: Duration,
    /// When the caller stops waiting; a retry before then is not new demand.
    pub deadline: Duration,
    /// Expected service time of one attempt.
    pub service_time: Duration,
    /// Expected slot time of all attempts.
    pub slot_time: Duration,
}

impl RequestDemand {
    /// The last time at which it can be sent and probably answered in time.
    ///
    /// The margin is two service times, which are medians: an answer needs the slowest of many
    /// parts.
    fn latest_send(&self) -> Duration {
        let margin = (self.service_time * 2).max(self.target_latency / 4);
        self.soft_deadline.saturating_sub(margin)
    }
}

/// The capacity for one request, as far as the host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedCapacity {
    /// Wait for slots at the targets if the request is sent now; zero if they are free.
    pub wait: SlotWait,
    /// Whether the host's window of requests in flight is full.
    pub window_full: bool,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// It is sent now.
    Send,
    /// It waits; [`Dispatcher::next`] or [`Dispatcher::expire`] decides later.
    Wait(TicketKey),
    /// It is rejected, because its answer would be late.
    Reject(Rejection),
}

/// Why and until when a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Time until capacity is expected.
    pub after: Duration,
}

/// The decision on a new request, and the waiting request that had to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The decision.
    pub decision: ArrivalDecision,
    /// A less urgent request that is rejected because the queue is full.
    pub evicted: Option<(TicketKey, Rejection)>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// New requests, without retries.
    pub requested: u64,
    /// Retries of requests that were rejected or cancelled.
    pub retried: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests that were sent while a request that had arrived earlier waited.
    pub overtook: u64,
    /// Rejected requests.
    pub rejected: u64,
}

impl DispatchCounts {
    /// The counts since an earlier time.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            requested: self.requested - before.requested,
            retried: self.retried - before.retried,
            queued: self.queued - before.queued,
            overtook: self.overtook - before.overtook,
            rejected: self.rejected - before.rejected,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendDecision {
    Send,
    Wait,
    /// Its answer would be late.
    Late,
}

/// Maximum number of flows of a priority that are considered if the first cannot be sent: each check
/// looks at all targets of a query.
const SKIP_LIMIT: usize = 8;
/// Minimum time after which a rejected caller is told to retry: a queue that exceeds its limit
/// by less still has many requests ahead.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);
/// Maximum number of requests remembered for the detection of retries, the newest.
const MAX_REMEMBERED: usize = 4096;
/// Weight of the newest interval between sends in the moving average.
const INTERVAL_WEIGHT: f64 = 0.125;

#[derive(Clone, Debug)]
struct WaitingRequest {
    demand: RequestDemand,
    /// When it was first seen; before its arrival if it is a retry.
    first_seen: Duration,
    arrived: Duration,
}

/// Requests of one priority.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    waiting: HashMap<FlowName, VecDeque<TicketKey>>,
    len: usize,
    /// When the last request of each flow arrived.
    arrivals: HashMap<FlowName, Duration>,
    /// When the last request arrived, and the lowest target latency since a time without any.
    last_arrival: Option<Duration>,
    target_latency: Duration,
    /// Slot time owed to this priority, in seconds; negative if it was served ahead.
    credit: f64,
}

impl RankQueue {
    /// Whether more requests of this priority are expected.
    fn is_expected(&self, now: Duration, options: &Options) -> bool {
        self.last_arrival.is_some_and(|last| now < last + options.expected_time)
    }

    fn record_arrival(&mut self, now: Duration, demand: &RequestDemand, options: &Options) {
        let is_expected = self.is_expected(now, options);
        let latency = if is_expected { self.target_latency } else { demand.target_latency };
        self.target_latency = latency.min(demand.target_latency);
        self.last_arrival = Some(now);
        self.arrivals.retain(|_, last| now < *last + options.expected_time);
        self.arrivals.insert(demand.flow.clone(), now);
    }

    /// Number of waiting requests that are sent before a new one of a flow: the others' count
    /// with at most as many as the flow has itself, so that a flood lengthens only its own wait.
    fn ahead(&self, flow: &FlowName) -> usize {
        let own = self.waiting.get(flow).map_or(0, VecDeque::len);
        let others = self.waiting.iter().filter(|(other, _)| *other != flow);
        own + others.map(|(_, keys)| keys.len().min(own + 1)).sum::<usize>()
    }
}

/// Orders all routed requests of one host.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    tickets: SlotMap<TicketKey, WaitingRequest>,
    ranks: BTreeMap<u32, RankQueue>,
    /// Virtual time up to which each flow has been served, in seconds of slot time.
    tags: HashMap<FlowName, f64>,
    virtual_time: f64,
    by_latest_send: BTreeSet<(Duration, TicketKey)>,
    /// First time and deadline of rejected and cancelled requests, and their order.
    remembered: HashMap<RetryIdentity, (Duration, Duration)>,
    remembered_order: VecDeque<RetryIdentity>,
    /// When the last waiting request was sent, and the average interval while requests wait.
    last_send: Option<Duration>,
    send_interval: Duration,
    /// Requests that were rejected since the last [`Dispatcher::expire`].
    late: Vec<(TicketKey, Rejection)>,
    /// When a request last waited.
    last_contended: Duration,
    counts: DispatchCounts,
}

impl Dispatcher {
    /// Decides on a new request: it is sent at once if there is capacity and nothing that is as
    /// urgent waits.
    pub fn arrive(
        &mut self,
        now: Duration,
        demand: RequestDemand,
        capacity: ExpectedCapacity,
        options: &Options,
    ) -> Arrival {
        self.forget_shares(now, options);
        let first_seen = self.first_seen(now, &demand);
        let rank = self.ranks.entry(demand.priority).or_default();
        rank.record_arrival(now, &demand, options);
        let has_queue = rank.len > 0;
        let ahead = rank.ahead(&demand.flow);
        let urgent = self.ranks.range(..demand.priority);
        let urgent: usize = urgent.map(|(_, rank)| rank.len).sum();
        let ahead = ahead + urgent;
        let decision = self.may_send(now, &demand, capacity, options);
        if !has_queue && urgent == 0 && decision == SendDecision::Send {
            if !self.tickets.is_empty() {
                self.counts.overtook += 1;
            }
            self.charge(&demand, options);
            return Arrival { decision: ArrivalDecision::Send, evicted: None };
        }
        let request = WaitingRequest { demand, first_seen, arrived: now };
        let queueing = self.send_interval * u32::try_from(ahead).unwrap_or(u32::MAX);
        let expected = now + capacity.wait.expected.max(queueing);
        if expected > request.demand.latest_send() {
            let late = expected - request.demand.latest_send();
            let decision = ArrivalDecision::Reject(self.reject(&request, late));
            return Arrival { decision, evicted: None };
        }
        let evicted = if self.tickets.len() >= options.waiting_limit as usize {
            match self.evict_below(request.demand.priority) {
                None => {
                    let rejection = self.reject(&request, queueing);
                    let decision = ArrivalDecision::Reject(rejection);
                    return Arrival { decision, evicted: None };
                }
                evicted => evicted,
            }
        } else {
            None
        };
        Arrival { decision: ArrivalDecision::Wait(self.insert(request)), evicted }
    }

    /// The next waiting request to send, if there is capacity for one. `capacity` is asked for
    /// the capacity for a waiting request.
    pub fn next(
        &mut self,
        now: Duration,
        mut capacity: impl FnMut(TicketKey) -> ExpectedCapacity,
        options: &Options,
    ) -> Option<TicketKey> {
        let found = loop {
            let decided = self.order().into_iter().find_map(|key| {
                let demand = &self.tickets[key].demand;
                if now > demand.latest_send() {
                    return Some((key, Some(Duration::ZERO)));
                }
                let expected = capacity(key);
                match self.may_send(now, demand, expected, options) {
                    SendDecision::Send => Some((key, None)),
                    SendDecision::Late => Some((key, Some(expected.wait.expected))),
                    SendDecision::Wait => None,
                }
            });
            match decided? {
                (key, None) => break key,
                (key, Some(after)) => self.reject_late(key, after),
            }
        };
        let request = self.remove(found)?;
        let first_waiting = self.tickets.values().map(|other| other.arrived).min();
        if first_waiting.is_some_and(|first| first < request.arrived) {
            self.counts.overtook += 1;
        }
        if let Some(last) = self.last_send.replace(now) {
            let interval = now.saturating_sub(last.max(request.arrived));
            self.send_interval = self.send_interval.mul_f64(1.0 - INTERVAL_WEIGHT)
                + interval.mul_f64(INTERVAL_WEIGHT);
        }
        self.charge(&request.demand, options);
        if self.tickets.is_empty() {
            self.last_send = None;
        }
        self.last_contended = now;
        Some(found)
    }

    /// Removes the waiting requests that can no longer be answered in time, including those that
    /// [`Dispatcher::next`] found, and those that expired while the host was suspended.
    pub fn expire(&mut self, now: Duration) -> Vec<(TicketKey, Rejection)> {
        let mut expired = std::mem::take(&mut self.late);
        while let Some((latest, key)) = self.by_latest_send.first().copied() {
            if latest >= now {
                break;
            }
            let Some(request) = self.remove(key) else { break };
            let rejection = self.reject(&request, self.send_interval);
            expired.push((key, rejection));
        }
        expired
    }

    /// Removes a waiting request whose caller left. Its retry keeps its place.
    pub fn leave(&mut self, key: TicketKey) {
        if let Some(request) = self.remove(key) {
            self.remember(&request);
        }
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.tickets.len()
    }

    /// For how long the oldest waiting request has waited.
    pub fn oldest_wait(&self, now: Duration) -> Duration {
        let oldest = self.tickets.values().map(|request| request.arrived).min();
        oldest.map_or(Duration::ZERO, |arrived| now.saturating_sub(arrived))
    }

    /// Counts since the start.
    pub fn counts(&self) -> DispatchCounts {
        self.counts
    }

    /// Rejects a waiting request that is first in order and would be late. Left in place, it would
    /// hold back its flow until it expires, and other flows would use its share: in overload the
    /// first request of each flow is close to its deadline.
    fn reject_late(&mut self, key: TicketKey, after: Duration) {
        if let Some(request) = self.remove(key) {
            let rejection = self.reject(&request, after);
            self.late.push((key, rejection));
        }
    }

    /// Whether a request may be sent. If slots are free, it is sent even if its answer will be
    /// late, because nothing else needs them. If not, its wait must leave time to answer it; a
    /// less urgent request must also leave the slots to more urgent ones, by the cautious
    /// estimate, unless its priority is owed its reserved share.
    fn may_send(
        &self,
        now: Duration,
        demand: &RequestDemand,
        capacity: ExpectedCapacity,
        options: &Options,
    ) -> SendDecision {
        let ExpectedCapacity { wait: SlotWait { expected, cautious }, window_full } = capacity;
        if window_full {
            return SendDecision::Wait;
        }
        if cautious.is_zero() {
            return SendDecision::Send;
        }
        if !expected.is_zero() && now + expected > demand.latest_send() {
            return SendDecision::Late;
        }
        let Some(rank) = self.ranks.get(&demand.priority) else { return SendDecision::Send };
        let among_equals = rank.target_latency.mul_f64(options.equal_share);
        let exceeds_equals = rank.arrivals.len() > 1 && expected > among_equals;
        let leaves_slots =
            rank.credit > 0.0 || cautious < self.wait_limit(now, demand.priority, options);
        if exceeds_equals || !leaves_slots { SendDecision::Wait } else { SendDecision::Send }
    }

    /// The longest wait at the targets that requests of a priority may find there.
    fn wait_limit(&self, now: Duration, priority: u32, options: &Options) -> Duration {
        let urgent = self.ranks.range(..priority).map(|(_, rank)| rank);
        let expected = urgent.filter(|rank| rank.is_expected(now, options));
        let latency = expected.map(|rank| rank.target_latency).min();
        latency.map_or(Duration::MAX, |latency| latency.mul_f64(options.standing_share))
    }

    /// The first waiting request of each flow, in the order in which they are sent: priorities
    /// that are owed their reserved share come first.
    fn order(&self) -> Vec<TicketKey> {
        let waiting = self.ranks.iter().filter(|(_, rank)| rank.len > 0);
        let mut ranks: Vec<(bool, u32, &RankQueue)> =
            waiting.map(|(priority, rank)| (rank.credit <= 0.0, *priority, rank)).collect();
        ranks.sort_by_key(|(not_owed, priority, _)| (*not_owed, *priority));
        let mut order = Vec::new();
        for (_, _, rank) in ranks {
            let heads = rank.waiting.iter().filter_map(|(flow, keys)| {
                let key = *keys.front()?;
                let tag = self.tags.get(flow).copied().unwrap_or(0.0).max(self.virtual_time);
                Some((tag, self.tickets[key].first_seen, key))
            });
            let mut heads: Vec<(f64, Duration, TicketKey)> = heads.collect();
            heads.sort_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            order.extend(heads.into_iter().take(SKIP_LIMIT).map(|(_, _, key)| key));
        }
        order
    }

    /// Starts anew after a time without waiting requests: there was nothing to divide, and old
    /// charges no longer count.
    fn forget_shares(&mut self, now: Duration, options: &Options) {
        if !self.tickets.is_empty() {
            self.last_contended = now;
        } else if now >= self.last_contended + options.expected_time {
            self.tags.clear();
            self.ranks.values_mut().for_each(|rank| rank.credit = 0.0);
            self.send_interval = Duration::ZERO;
        }
    }

    /// Charges a sent request to its flow, and credits the less urgent priorities that wait.
    fn charge(&mut self, demand: &RequestDemand, options: &Options) {
        self.remembered.remove(&demand.identity);
        let cost = demand.slot_time.as_secs_f64();
        let tag = self.tags.get(&demand.flow).copied().unwrap_or(0.0);
        // A flow that was idle starts at the current virtual time. Credit for its idle time would
        // let it delay all others.
        let start = tag.max(self.virtual_time);
        self.virtual_time = start;
        self.tags.insert(demand.flow.clone(), start + cost);
        let share = options.reserved_share.min(0.5);
        for (priority, rank) in self.ranks.range_mut(demand.priority..) {
            if *priority == demand.priority {
                rank.credit -= cost;
            } else if rank.len > 0 {
                rank.credit += cost * share / (1.0 - share);
            }
            // Bounded in both directions: a large debt for work that used free slots, or a large
            // credit, would let one priority block another for long.
            rank.credit = rank.credit.clamp(-2.0 * cost, 2.0 * cost);
        }
    }

    fn insert(&mut self, request: WaitingRequest) -> TicketKey {
        self.counts.queued += 1;
        let (first_seen, latest_send) = (request.first_seen, request.demand.latest_send());
        let (priority, flow) = (request.demand.priority, request.demand.flow.clone());
        let key = self.tickets.insert(request);
        self.by_latest_send.insert((latest_send, key));
        let rank = self.ranks.entry(priority).or_default();
        rank.len += 1;
        let keys = rank.waiting.entry(flow).or_default();
        let index = keys.partition_point(|other| self.tickets[*other].first_seen <= first_seen);
        keys.insert(index, key);
        key
    }

    fn remove(&mut self, key: TicketKey) -> Option<WaitingRequest> {
        let request = self.tickets.remove(key)?;
        self.by_latest_send.remove(&(request.demand.latest_send(), key));
        let rank = self.ranks.entry(request.demand.priority).or_default();
        rank.len -= 1;
        if let Some(keys) = rank.waiting.get_mut(&request.demand.flow) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                rank.waiting.remove(&request.demand.flow);
            }
        }
        if rank.len == 0 {
            rank.credit = rank.credit.min(0.0);
        }
        Some(request)
    }

    /// Rejects the newest waiting request of the least urgent priority, if that is less urgent
    /// than `priority`.
    fn evict_below(&mut self, priority: u32) -> Option<(TicketKey, Rejection)> {
        let mut ranks = self.ranks.iter().rev();
        let (least, _) = ranks.find(|(_, rank)| rank.len > 0)?;
        let least = *least;
        if least <= priority {
            return None;
        }
        let candidates =
            self.tickets.iter().filter(|(_, request)| request.demand.priority == least);
        let (key, _) = candidates.max_by_key(|(_, request)| request.arrived)?;
        let request = self.remove(key)?;
        let backlog = u32::try_from(self.tickets.len()).unwrap_or(u32::MAX);
        let rejection = self.reject(&request, self.send_interval * backlog);
        Some((key, rejection))
    }

    fn reject(&mut self, request: &WaitingRequest, after: Duration) -> Rejection {
        self.counts.rejected += 1;
        self.remember(request);
        Rejection { after: after.max(MIN_RETRY_TIME) }
    }

    /// Remembers a request until its caller's timeout, so that a retry keeps its place.
    fn remember(&mut self, request: &WaitingRequest) {
        let WaitingRequest { demand, first_seen, .. } = request;
        if self.remembered.insert(demand.identity, (*first_seen, demand.deadline)).is_none() {
            self.remembered_order.push_back(demand.identity);
        }
        if self.remembered_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.remembered_order.pop_front()
        {
            self.remembered.remove(&oldest);
        }
    }

    /// When a request or the first of its retries was first seen; counts new requests.
    fn first_seen(&mut self, now: Duration, demand: &RequestDemand) -> Duration {
        match self.remembered.get(&demand.identity) {
            Some((first_seen, deadline)) if now < *deadline => {
                self.counts.retried += 1;
                *first_seen
            }
            _ => {
                self.counts.requested += 1;
                now
            }
        }
    }
}
