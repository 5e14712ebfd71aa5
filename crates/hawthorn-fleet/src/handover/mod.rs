//! How many slots of a group a host may use while the group changes hands.
//!
//! Two hosts may both believe they own a target, as their views of the zone
//! differ for a while. The target's slots would then be used twice. So a new
//! owner asks the former one, which drops to half at once and says so; the new
//! one then begins with the other half, and takes all only when the former has
//! let go, has left, or has been dead for a stated window. Connections are
//! meant to be limited to half by each owner, whatever the share, so that a
//! target's connection limit holds even when two owners last.
//!
//! | seen at the former owner | its share | seen at the new owner | its share |
//! |---|---|---|---|
//! | the new owner, by its word | half | the former, live | none until it says half |
//! | the new owner, in its view | half, then none | the former, at half | half until it lets go |
//! | nobody of its zone, or a minority | half | the former, dead | half for the window, then all |
//! | that it stood still or was held for dead | none until the runner-up is at half | the former, left | all |

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
use bucket::BucketState;
use bucket::TakingState;
pub use options::Options;
pub use view::HostStatus;
pub use view::SlotShare;
pub use view::ZoneView;

/// Buckets named in one message; at most three bytes each, so that it fits a datagram.
const BUCKETS_SENT: usize = 256;

/// Shares of all buckets of this daemon's zone. One lives as long as the process.
#[derive(Debug)]
pub struct Handover {
    options: Options,
    me: MemberId,
    view: ZoneView,
    buckets: Vec<BucketState>,
    shares: Vec<SlotShare>,
    /// The owner of each bucket in the last view.
    owners: Vec<Option<MemberId>>,
    noted: BTreeMap<MemberId, BucketList>,
    released: BTreeMap<MemberId, BucketList>,
    asked: BTreeMap<MemberId, BucketList>,
    actions: VecDeque<HandoverAction>,
    counters: HandoverCounters,
}

impl Handover {
    /// Owns nothing yet.
    pub fn new(me: MemberId, options: Options) -> Self {
        let count = usize::from(options.buckets);
        Self {
            options,
            me,
            view: ZoneView::default(),
            buckets: vec![BucketState::Foreign; count],
            shares: vec![SlotShare::None; count],
            owners: vec![None; count],
            noted: BTreeMap::new(),
            released: BTreeMap::new(),
            asked: BTreeMap::new(),
            actions: VecDeque::new(),
            counters: HandoverCounters::default(),
        }
    }

    /// Takes a new view of the zone. Call it when the view changed and about
    /// every heartbeat, as silence changes it too.
    pub fn observe(&mut self, now: Duration, view: ZoneView) {
        let moved = view.hosts != self.view.hosts || view.zone != self.view.zone;
        self.view = view;
        if moved {
            self.reassign(now);
        }
        self.refresh(now);
    }

    fn reassign(&mut self, now: Duration) {
        let candidates = self.candidates();
        for bucket in 0..self.options.buckets {
            let group = GroupId::new(&self.view.zone, bucket);
            let (owner, second) = ownership::ranked(group, candidates.iter().copied());
            let index = usize::from(bucket);
            let before = self.owners[index].filter(|&id| id != self.me);
            self.owners[index] = owner.map(|candidate| candidate.id);
            let mine = owner.is_some_and(|candidate| candidate.id == self.me);
            let former = before.or(second.map(|candidate| candidate.id));
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
            BucketState::Foreign | BucketState::Draining { .. } => {
                self.counters.acquired += 1;
                BucketState::taking(now, former)
            }
            BucketState::Yielding { to, .. } => BucketState::taking(now, to),
            BucketState::Taking(_) | BucketState::Owned { .. } => state,
        }
    }

    fn lose(&mut self, now: Duration, state: BucketState, to: Option<MemberId>) -> BucketState {
        match state {
            BucketState::Owned { .. } => {
                self.counters.yielded += 1;
                BucketState::Yielding { to, since: now }
            }
            // The owner before may still be at half, and the next one will be:
            // nothing is left for this host. It waits until the one before has
            // surely stopped yielding, as the next one asks this host alone.
            BucketState::Taking(_) => {
                self.counters.yielded += 1;
                BucketState::Draining { to, until: now + self.options.yield_window }
            }
            BucketState::Yielding { since, .. } => BucketState::Yielding { to, since },
            BucketState::Draining { until, .. } => BucketState::Draining { to, until },
            BucketState::Foreign => state,
        }
    }

    /// Serving hosts; the key is not needed here.
    fn candidates(&self) -> Vec<OwnerCandidate> {
        self.view
            .hosts
            .iter()
            .filter(|(_, standing)| **standing == HostStatus::Serving)
            .map(|(&id, _)| OwnerCandidate { key: HostKey::default(), id })
            .collect()
    }

    /// This process stood still or was held for dead: another may have taken
    /// its buckets meanwhile. Failure: a paused owner wakes and goes on at all
    /// slots beside the new one. Each bucket falls back to no slot until the
    /// runner-up says that it uses half or nothing: one round trip.
    pub fn reacquire(&mut self, now: Duration) {
        let candidates = self.candidates();
        for bucket in 0..self.options.buckets {
            let index = usize::from(bucket);
            if !matches!(self.buckets[index], BucketState::Owned { .. }) {
                continue;
            }
            let group = GroupId::new(&self.view.zone, bucket);
            let others = candidates.iter().copied().filter(|other| other.id != self.me);
            let second = ownership::ranked(group, others).0;
            self.buckets[index] = BucketState::taking(now, second.map(|other| other.id));
        }
        self.refresh(now);
    }

    /// Does what is due. `busy` tells whether requests of a bucket still run here.
    pub fn tick(&mut self, now: Duration, busy: impl Fn(u16) -> bool) {
        let quorate = self.is_quorate(now);
        for bucket in 0..self.options.buckets {
            let state = self.buckets[usize::from(bucket)];
            let next = match state {
                BucketState::Taking(taking) => self.advance(now, bucket, quorate, taking),
                BucketState::Yielding { to, since } => {
                    let over = now.saturating_sub(since) >= self.options.yield_window;
                    if over { BucketState::Draining { to, until: now } } else { state }
                }
                BucketState::Draining { to, until } if now >= until && !busy(bucket) => {
                    if let Some(to) = to {
                        self.released.entry(to).or_default().push(bucket);
                    }
                    BucketState::Foreign
                }
                BucketState::Draining { .. } | BucketState::Owned { .. } | BucketState::Foreign => {
                    state
                }
            };
            self.buckets[usize::from(bucket)] = next;
        }
        self.refresh(now);
        self.flush();
    }

    /// Moves a bucket that is being taken over as far as its former owner allows.
    fn advance(
        &mut self,
        now: Duration,
        bucket: u16,
        quorate: bool,
        mut taking: TakingState,
    ) -> BucketState {
        let waited = now.saturating_sub(taking.since);
        let standing = taking.former.and_then(|id| self.view.hosts.get(&id).copied());
        let gone_since = match standing {
            Some(HostStatus::Left) => return BucketState::OWNED,
            Some(HostStatus::Dead(at)) => Some(at.max(taking.since)),
            Some(HostStatus::Serving | HostStatus::Idle) => None,
            None => Some(taking.since),
        };
        if let Some(since) = gone_since {
            taking.noted = true;
            taking.asked = Some(now);
            let over = now.saturating_sub(since) >= self.options.dead_window;
            return if over && quorate { BucketState::OWNED } else { BucketState::Taking(taking) };
        }
        if waited >= self.options.release_timeout {
            self.counters.forced += 1;
            return BucketState::OWNED;
        }
        taking.noted |= waited >= self.options.acknowledgement_timeout;
        self.ask(now, bucket, &mut taking);
        BucketState::Taking(taking)
    }

    /// Asks the former owner to let go, if it is time to.
    fn ask(&mut self, now: Duration, bucket: u16, taking: &mut TakingState) {
        let Some(former) = taking.former else { return };
        let wait = self.wait(taking);
        if taking.asked.is_none_or(|at| now.saturating_sub(at) >= wait) {
            taking.asked = Some(now);
            self.asked.entry(former).or_default().push(bucket);
        }
    }

    /// When `tick` is worth calling next, none while no bucket changes hands.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.buckets.iter().filter_map(|state| self.due(now, *state)).min()
    }

    fn due(&self, now: Duration, state: BucketState) -> Option<Duration> {
        match state {
            BucketState::Foreign => None,
            BucketState::Taking(taking) => {
                Some(taking.asked.map_or(now, |at| at + self.wait(&taking)))
            }
            BucketState::Yielding { since, .. } => Some(since + self.options.yield_window),
            // Until then, or until what runs has ended, which is looked at often.
            BucketState::Draining { until, .. } => {
                Some(until.max(now + self.options.initial_request_interval))
            }
            BucketState::Owned { contested } => (contested > now).then_some(contested),
        }
    }

    /// Between requests to the former owner of a bucket.
    fn wait(&self, taking: &TakingState) -> Duration {
        if taking.noted {
            self.options.request_interval
        } else {
            self.options.initial_request_interval
        }
    }

    /// This host's share of a bucket.
    pub fn share(&self, bucket: u16) -> SlotShare {
        self.shares.get(usize::from(bucket)).copied().unwrap_or_default()
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<HandoverAction> {
        self.actions.pop_front()
    }

    /// Counts since the start.
    pub fn counters(&self) -> HandoverCounters {
        self.counters
    }

    /// Whether this daemon may hold that hosts it can't hear are gone.
    ///
    /// Failure: a zone splits, both sides hold the other for dead, and both
    /// take all slots. A side that hears another zone is taken to be the one
    /// that counts, as hosts of other zones ping on behalf of its probes;
    /// without other zones, the greater half. The other side stays at half
    /// until the dead have been so for the split window: by then it is more
    /// likely that they really are, and half of the slots for longer would do
    /// more harm to callers than targets that shed.
    pub fn is_quorate(&self, now: Duration) -> bool {
        let mut live = 1usize;
        let mut dead = 0usize;
        for (&id, standing) in &self.view.hosts {
            match standing {
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

    /// Works the shares out again and reports those that changed.
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

    fn flush(&mut self) {
        for (to, buckets) in std::mem::take(&mut self.asked) {
            self.send_parts(to, &buckets, HandoverMessage::Request);
        }
        for (to, buckets) in std::mem::take(&mut self.noted) {
            self.send_parts(to, &buckets, HandoverMessage::Acknowledged);
        }
        for (to, buckets) in std::mem::take(&mut self.released) {
            self.send_parts(to, &buckets, HandoverMessage::Released);
        }
    }

    fn send_parts(
        &mut self,
        to: MemberId,
        buckets: &[u16],
        message: impl Fn(BucketList) -> HandoverMessage,
    ) {
        for part in buckets.chunks(BUCKETS_SENT) {
            let message = message(SmallVec::from_slice(part));
            self.actions.push_back(HandoverAction::Send { to, message });
        }
    }
}
