//! How many slots of a group a host may use while the group changes owner.
//!
//! Two hosts may both believe that they own a target while their views of the zone differ, and
//! would use the target's slots twice. A new owner therefore sends an ownership request to the
//! former one, which drops to half immediately and acknowledges. The new owner then starts with the
//! other half, and takes all only when the former has released the bucket, has left, or has been
//! dead for a fixed window. Each owner is expected to limit its connections to half, whatever its
//! share, so that a target's connection limit holds even while there are two owners.
//!
//! | the former owner sees | its share |
//! |---|---|
//! | a request by the new owner | half |
//! | the new owner, in its view | half, then none |
//! | no host of its zone, or a minority | half |
//! | its own pause or refuted death | none until the runner-up is at half |
//!
//! | the new owner sees | its share |
//! |---|---|
//! | the former owner live | none until the former owner acknowledges half |
//! | the former owner at half | half until the former owner releases |
//! | the former owner dead | half for the window, then all |
//! | that the former owner left | all |

mod action;
mod bucket;
mod options;
mod receive;
mod view;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use hawthorn_types::HostKey;

use crate::message::BucketList;
use crate::message::HandoverMessage;
use crate::message::MemberId;
use crate::ownership;
use crate::ownership::GroupId;
use crate::ownership::OwnerCandidate;
pub use action::HandoverAction;
pub use action::HandoverCounters;
use bucket::AcquiringState;
use bucket::BucketState;
pub use options::Options;
pub use view::HostStatus;
pub use view::SlotShare;
pub use view::ZoneView;

/// Maximum number of buckets in one message, at most three bytes each, so that it fits a datagram.
const MAX_BUCKETS_PER_MESSAGE: usize = 256;

/// Shares of all buckets of this daemon's zone. Exists once per process.
#[derive(Debug)]
pub struct Handover {
    options: Options,
    me: MemberId,
    view: ZoneView,
    buckets: Vec<BucketState>,
    shares: Vec<SlotShare>,
    /// The owner of each bucket in the last view.
    owners: Vec<Option<MemberId>>,
    acknowledgements: BTreeMap<MemberId, BucketList>,
    releases: BTreeMap<MemberId, BucketList>,
    requests: BTreeMap<MemberId, BucketList>,
    actions: VecDeque<HandoverAction>,
    counters: HandoverCounters,
}

impl Handover {
    /// A handover that owns nothing yet.
    pub fn new(me: MemberId, options: Options) -> Self {
        let count = usize::from(options.buckets);
        Self {
            options,
            me,
            view: ZoneView::default(),
            buckets: vec![BucketState::Remote; count],
            shares: vec![SlotShare::None; count],
            owners: vec![None; count],
            acknowledgements: BTreeMap::new(),
            releases: BTreeMap::new(),
            requests: BTreeMap::new(),
            actions: VecDeque::new(),
            counters: HandoverCounters::default(),
        }
    }

    /// Sets a new view of the zone. Call it when the view changed and about every heartbeat,
    /// because silence changes it too.
    pub fn observe(&mut self, now: Duration, view: ZoneView) {
        let changed = view.hosts != self.view.hosts || view.zone != self.view.zone;
        self.view = view;
        if changed {
            self.reassign(now);
        }
        self.refresh(now);
    }

    fn reassign(&mut self, now: Duration) {
        let candidates = self.candidates();
        for bucket in 0..self.options.buckets {
            let group = GroupId::new(&self.view.zone, bucket);
            let (owner, runner_up) = ownership::ranked(group, candidates.iter().copied());
            let index = usize::from(bucket);
            let previous = self.owners[index].filter(|&id| id != self.me);
            self.owners[index] = owner.map(|candidate| candidate.id);
            let mine = owner.is_some_and(|candidate| candidate.id == self.me);
            let former = previous.or(runner_up.map(|candidate| candidate.id));
            let state = self.buckets[index];
            self.buckets[index] = if mine {
                self.gain(now, state, former)
            } else {
                self.lose(now, state, owner.map(|candidate| candidate.id))
            };
        }
    }

    fn gain(&mut self, now: Duration, state: BucketState, former: Option<MemberId>) -> BucketState {
        match state {
            BucketState::Remote | BucketState::Draining { .. } => {
                self.counters.acquired += 1;
                BucketState::acquiring(now, former)
            }
            BucketState::Yielding { to, .. } => BucketState::acquiring(now, to),
            BucketState::Acquiring(_) | BucketState::Owned { .. } => state,
        }
    }

    fn lose(&mut self, now: Duration, state: BucketState, to: Option<MemberId>) -> BucketState {
        match state {
            BucketState::Owned { .. } => {
                self.counters.yielded += 1;
                BucketState::Yielding { to, since: now }
            }
            // The previous owner may still be at half, and the next one will be, so nothing is left
            // for this host. It waits until the previous one has certainly stopped yielding,
            // because the next one sends its request only to this host.
            BucketState::Acquiring(_) => {
                self.counters.yielded += 1;
                BucketState::Draining { to, until: now + self.options.yield_window }
            }
            BucketState::Yielding { since, .. } => BucketState::Yielding { to, since },
            BucketState::Draining { until, .. } => BucketState::Draining { to, until },
            BucketState::Remote => state,
        }
    }

    /// Hosts that may own groups; the key is not needed here.
    fn candidates(&self) -> Vec<OwnerCandidate> {
        self.view
            .hosts
            .iter()
            .filter(|(_, status)| **status == HostStatus::Serving)
            .map(|(&id, _)| OwnerCandidate { key: HostKey::default(), id })
            .collect()
    }

    /// Returns all owned buckets to acquiring after this process was paused or considered dead,
    /// because another host may have taken them over, and a paused owner would resume with all
    /// slots beside the new one. Each bucket drops to no slot until the runner-up reports that it
    /// uses half or nothing, which takes one round trip.
    pub fn reacquire(&mut self, now: Duration) {
        let candidates = self.candidates();
        for bucket in 0..self.options.buckets {
            let index = usize::from(bucket);
            if !matches!(self.buckets[index], BucketState::Owned { .. }) {
                continue;
            }
            let group = GroupId::new(&self.view.zone, bucket);
            let others = candidates.iter().copied().filter(|other| other.id != self.me);
            let runner_up = ownership::ranked(group, others).0;
            self.buckets[index] = BucketState::acquiring(now, runner_up.map(|other| other.id));
        }
        self.refresh(now);
    }

    /// Runs what is due. `busy` returns whether requests of a bucket are still in flight here.
    pub fn tick(&mut self, now: Duration, busy: impl Fn(u16) -> bool) {
        let quorate = self.is_quorate(now);
        for bucket in 0..self.options.buckets {
            let state = self.buckets[usize::from(bucket)];
            let next = match state {
                BucketState::Acquiring(acquiring) => self.advance(now, bucket, quorate, acquiring),
                BucketState::Yielding { to, since } => {
                    let expired = now.saturating_sub(since) >= self.options.yield_window;
                    if expired { BucketState::Draining { to, until: now } } else { state }
                }
                BucketState::Draining { to, until } if now >= until && !busy(bucket) => {
                    if let Some(to) = to {
                        self.releases.entry(to).or_default().push(bucket);
                    }
                    BucketState::Remote
                }
                BucketState::Draining { .. } | BucketState::Owned { .. } | BucketState::Remote => {
                    state
                }
            };
            self.buckets[usize::from(bucket)] = next;
        }
        self.refresh(now);
        self.flush_messages();
    }

    /// Advances the acquisition of a bucket as far as its former owner allows.
    fn advance(
        &mut self,
        now: Duration,
        bucket: u16,
        quorate: bool,
        mut acquiring: AcquiringState,
    ) -> BucketState {
        let elapsed = now.saturating_sub(acquiring.since);
        let status = acquiring.former.and_then(|id| self.view.hosts.get(&id).copied());
        let gone_since = match status {
            Some(HostStatus::Left) => return BucketState::OWNED,
            Some(HostStatus::Dead(at)) => Some(at.max(acquiring.since)),
            Some(HostStatus::Serving | HostStatus::Idle) => None,
            None => Some(acquiring.since),
        };
        if let Some(since) = gone_since {
            acquiring.acknowledged = true;
            acquiring.requested_at = Some(now);
            let expired = now.saturating_sub(since) >= self.options.dead_window;
            return if expired && quorate {
                BucketState::OWNED
            } else {
                BucketState::Acquiring(acquiring)
            };
        }
        if elapsed >= self.options.release_timeout {
            self.counters.forced += 1;
            return BucketState::OWNED;
        }
        acquiring.acknowledged |= elapsed >= self.options.acknowledgement_timeout;
        self.request_release(now, bucket, &mut acquiring);
        BucketState::Acquiring(acquiring)
    }

    /// Asks the former owner to release the bucket if a request is due.
    fn request_release(&mut self, now: Duration, bucket: u16, acquiring: &mut AcquiringState) {
        let Some(former) = acquiring.former else { return };
        let interval = self.request_interval(acquiring);
        if acquiring.requested_at.is_none_or(|at| now.saturating_sub(at) >= interval) {
            acquiring.requested_at = Some(now);
            self.requests.entry(former).or_default().push(bucket);
        }
    }

    /// When to call `tick` next, or `None` while no bucket changes owner.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.buckets.iter().filter_map(|state| self.due(now, *state)).min()
    }

    fn due(&self, now: Duration, state: BucketState) -> Option<Duration> {
        match state {
            BucketState::Remote => None,
            BucketState::Acquiring(acquiring) => Some(
                acquiring.requested_at.map_or(now, |at| at + self.request_interval(&acquiring)),
            ),
            BucketState::Yielding { since, .. } => Some(since + self.options.yield_window),
            // At `until`, then polled at a short interval until the requests in flight have ended.
            BucketState::Draining { until, .. } => {
                Some(until.max(now + self.options.initial_request_interval))
            }
            BucketState::Owned { contested } => (contested > now).then_some(contested),
        }
    }

    /// Interval between requests to the former owner of a bucket.
    fn request_interval(&self, acquiring: &AcquiringState) -> Duration {
        if acquiring.acknowledged {
            self.options.request_interval
        } else {
            self.options.initial_request_interval
        }
    }

    /// This host's share of a bucket.
    pub fn share(&self, bucket: u16) -> SlotShare {
        self.shares.get(usize::from(bucket)).copied().unwrap_or_default()
    }

    /// The next action, or `None` if there is none.
    pub fn poll_action(&mut self) -> Option<HandoverAction> {
        self.actions.pop_front()
    }

    /// Counts since the start.
    pub fn counters(&self) -> HandoverCounters {
        self.counters
    }

    /// Whether this daemon may assume that unreachable hosts are gone.
    ///
    /// In a partitioned zone, both sides consider the other dead and would both take all slots. A
    /// side that receives from another zone is assumed to be the surviving one, because hosts of
    /// other zones relay its pings; without other zones, the majority is. The other side stays at
    /// half until the hosts have been dead for the partition window. By then they are more likely
    /// to be really gone, and staying at half of the slots would harm callers more than targets
    /// that shed load.
    pub fn is_quorate(&self, now: Duration) -> bool {
        let mut live = 1usize;
        let mut dead = 0usize;
        for (&id, status) in &self.view.hosts {
            match status {
                _ if id == self.me => {}
                HostStatus::Serving | HostStatus::Idle => live += 1,
                HostStatus::Dead(at) if now.saturating_sub(*at) < self.options.partition_window => {
                    dead += 1;
                }
                HostStatus::Dead(_) | HostStatus::Left => {}
            }
        }
        if live == 1 && dead == 0 {
            return true;
        }
        !self.view.isolated && (self.view.other_zones_reachable || live > dead)
    }

    /// Recomputes the shares and reports those that changed.
    fn refresh(&mut self, now: Duration) {
        let quorate = self.is_quorate(now);
        for bucket in 0..self.options.buckets {
            let index = usize::from(bucket);
            let share = self.buckets[index].share(now, quorate);
            if share != self.shares[index] {
                self.shares[index] = share;
                self.actions.push_back(HandoverAction::ShareChanged { bucket, share });
            }
        }
    }

    fn flush_messages(&mut self) {
        for (to, buckets) in std::mem::take(&mut self.requests) {
            self.send_chunks(to, &buckets, HandoverMessage::Request);
        }
        for (to, buckets) in std::mem::take(&mut self.acknowledgements) {
            self.send_chunks(to, &buckets, HandoverMessage::Acknowledged);
        }
        for (to, buckets) in std::mem::take(&mut self.releases) {
            self.send_chunks(to, &buckets, HandoverMessage::Released);
        }
    }

    fn send_chunks(
        &mut self,
        to: MemberId,
        buckets: &[u16],
        message: impl Fn(BucketList) -> HandoverMessage,
    ) {
        for chunk in buckets.chunks(MAX_BUCKETS_PER_MESSAGE) {
            let message = message(SmallVec::from_slice(chunk));
            self.actions.push_back(HandoverAction::Send { to, message });
        }
    }
}
