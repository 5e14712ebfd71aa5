//! Which configuration revision is in force, whom to pull a newer one from,
//! and whether this daemon asks the store.
//!
//! Two daemons of each zone, chosen by rendezvous, watch the store. All others
//! learn of a revision from heartbeats, pushed at once by whoever adopts it,
//! and pull the document from a peer that has it. A revision never goes back.
//!
//! What travels here is the pair of revision and edit: the document itself is
//! the daemon's business.

mod action;
mod options;
mod watch;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;

use crate::message::MemberDigest;
use crate::message::MemberId;
use crate::ownership;
use crate::ownership::GroupId;
use crate::ownership::OwnerCandidate;
pub use action::PropagationAction;
pub use action::PropagationAlarm;
pub use options::Options;
pub use watch::StoreAnswer;
use watch::WatchState;

/// The bucket whose rendezvous chooses a zone's watchers; beyond all buckets
/// of targets, so that watching and owning are spread independently.
const WATCH_BUCKET: u16 = u16::MAX;

/// Peers remembered as having a newer revision.
const PULL_PEERS: usize = 4;

/// Names a revision together with the edit that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct ConfigEdition {
    /// The revision.
    pub revision: ConfigRevision,
    /// A hash of the edit id. Two edits of one revision are a fork.
    pub edit: u64,
}

/// What became of a document offered to [`PropagationState::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It is in force now: apply it and set the digest of the heartbeats.
    Adopted,
    /// It was in force already.
    InForce,
    /// It is older than what is in force: refused.
    Older,
    /// It is another edit of the revision in force: refused.
    Fork,
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PropagationCounters {
    /// Calls to the store.
    pub store_calls: u64,
    /// Calls to the store that failed.
    pub store_failures: u64,
    /// Documents asked of peers.
    pub pulls: u64,
    /// Documents that peers did not give.
    pub pull_failures: u64,
    /// Editions adopted.
    pub adopted: u64,
    /// Documents and digests refused because they would go back or fork.
    pub rejected: u64,
}

/// A document asked of a peer.
#[derive(Clone, Copy, Debug)]
struct Pull {
    peer: HostKey,
    deadline: Duration,
}

/// The spread at one daemon. One lives as long as the process.
#[derive(Debug)]
pub struct PropagationState {
    options: Options,
    in_force: Option<ConfigEdition>,
    /// When the store, through whatever peers, confirmed `in_force` as newest.
    confirmed: Option<Duration>,
    /// The latest of the start, the last adoption and the last confirmation:
    /// stand-ins count from here.
    quiet_since: Option<Duration>,
    /// The first call.
    started: Option<Duration>,
    /// Peers known to have a newer revision, newest first.
    ahead: SmallVec<[(ConfigRevision, HostKey); PULL_PEERS]>,
    pull: Option<Pull>,
    watch: WatchState,
    heard_peers: BTreeSet<HostKey>,
    alarmed: BTreeSet<PropagationAlarm>,
    actions: VecDeque<PropagationAction>,
    counters: PropagationCounters,
}

impl PropagationState {
    /// Nothing is in force yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            in_force: None,
            confirmed: None,
            quiet_since: None,
            started: None,
            ahead: SmallVec::new(),
            pull: None,
            watch: WatchState::default(),
            heard_peers: BTreeSet::new(),
            alarmed: BTreeSet::new(),
            actions: VecDeque::new(),
            counters: PropagationCounters::default(),
        }
    }

    /// Takes what a peer's heartbeat says.
    pub fn receive_digest(&mut self, now: Duration, peer: HostKey, digest: MemberDigest) {
        if self.heard_peers.len() < self.options.ready_peers {
            self.heard_peers.insert(peer);
        }
        if digest.revision == ConfigRevision::default() {
            return;
        }
        let theirs = ConfigEdition { revision: digest.revision, edit: digest.edit };
        match self.compare(theirs) {
            Outcome::Adopted => self.note_ahead(now, peer, theirs.revision),
            Outcome::InForce => self.take_confirmation(now, digest.confirmed_ms),
            Outcome::Older => {}
            Outcome::Fork => self.refuse_fork(theirs),
        }
    }

    /// Offers a document, from a peer, the store, or an edit made here. The
    /// caller has checked that the document holds what the edition says.
    pub fn adopt(&mut self, now: Duration, edition: ConfigEdition) -> Outcome {
        self.pull = None;
        let outcome = self.compare(edition);
        match outcome {
            Outcome::Adopted => self.put_in_force(now, edition),
            Outcome::InForce => {}
            Outcome::Older => self.counters.rejected += 1,
            Outcome::Fork => self.refuse_fork(edition),
        }
        self.start_pull(now);
        outcome
    }

    /// A peer did not give the document.
    pub fn pull_failed(&mut self, now: Duration, peer: HostKey) {
        self.ahead.retain(|entry| entry.1 != peer);
        if self.pull.is_some_and(|pull| pull.peer == peer) {
            self.counters.pull_failures += 1;
            self.pull = None;
        }
        self.start_pull(now);
    }

    /// Says which hosts of the own zone could watch, and which one this is.
    pub fn set_zone(
        &mut self,
        zone: &str,
        me: MemberId,
        hosts: impl IntoIterator<Item = OwnerCandidate>,
    ) {
        let group = GroupId::new(zone, WATCH_BUCKET);
        let mine = ownership::score(group, me);
        let rank = hosts
            .into_iter()
            .filter(|host| host.id != me && ownership::score(group, host.id) > mine)
            .count();
        self.watch.set_rank(rank);
    }

    /// Takes the store's answer to a watch or a read. A newer document must be
    /// offered to [`adopt`](Self::adopt) first.
    pub fn store_answered(&mut self, now: Duration, answer: StoreAnswer) {
        let refused = matches!(answer, StoreAnswer::Holds(edition)
            if self.compare(edition) != Outcome::InForce);
        self.watch.answered(now, answer, refused, &self.options);
        match answer {
            StoreAnswer::Failed => self.counters.store_failures += 1,
            StoreAnswer::Unchanged => self.confirm(now),
            StoreAnswer::Holds(edition) => self.take_store(now, edition),
            StoreAnswer::Empty => {
                if let Some(edition) = self.in_force {
                    self.alarm(PropagationAlarm::StoreEmpty { in_force: edition.revision });
                }
            }
        }
    }

    fn take_store(&mut self, now: Duration, edition: ConfigEdition) {
        match self.compare(edition) {
            Outcome::InForce => self.confirm(now),
            Outcome::Fork => self.refuse_fork(edition),
            Outcome::Older => {
                self.counters.rejected += 1;
                let in_force = self.revision();
                self.alarm(PropagationAlarm::StoreBehind { store: edition.revision, in_force });
            }
            // Not adopted by the daemon, such as a document that fails its checks.
            Outcome::Adopted => {}
        }
    }

    /// Does what is due; call it about every heartbeat.
    pub fn tick(&mut self, now: Duration) {
        if let Some(pull) = self.pull.filter(|pull| pull.deadline <= now) {
            self.pull_failed(now, pull.peer);
        }
        let quiet = self.quiet(now);
        let started = *self.started.get_or_insert(now);
        if now.saturating_sub(started) < self.options.startup_delay {
            return;
        }
        if let Some(call) = self.watch.due(now, quiet, self.revision(), &self.options) {
            self.counters.store_calls += 1;
            self.actions.push_back(call);
        }
    }

    /// The next thing to do.
    pub fn poll_action(&mut self) -> Option<PropagationAction> {
        self.actions.pop_front()
    }

    /// What is in force.
    pub fn in_force(&self) -> Option<ConfigEdition> {
        self.in_force
    }

    /// How long ago the store, through whatever peers, confirmed what is in
    /// force as the newest. None when it never did.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// The digest for heartbeats, for [`MemberTable::set_digest`](crate::MemberTable::set_digest).
    pub fn digest(&self, now: Duration, ready: bool, versions: u64) -> MemberDigest {
        let edition = self.in_force.unwrap_or_default();
        let confirmed_ms = self
            .age(now)
            .map_or(u32::MAX, |age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        MemberDigest {
            quarantine: 0,
            revision: edition.revision,
            edit: edition.edit,
            confirmed_ms,
            ready,
            versions,
        }
    }

    /// Whether this daemon knows enough to begin to serve. For the start
    /// alone: it is false again while a newer revision is being pulled, which
    /// is no reason to stop.
    ///
    /// Failure: a daemon that starts while the store is down takes the first
    /// document it gets, perhaps an old one, and serves by it. So it needs the
    /// store's word, its own or passed on, or to have heard several peers (all
    /// of them when there are fewer) without one being ahead.
    pub fn is_ready(&self, live_peers: usize) -> bool {
        let heard = self.heard_peers.len();
        let enough = heard > 0 && heard >= self.options.ready_peers.min(live_peers);
        let informed = self.confirmed.is_some() || enough;
        self.in_force.is_some() && self.ahead.is_empty() && informed
    }

    /// Whether this daemon watches the store now.
    pub fn is_watching(&self, now: Duration) -> bool {
        let since = self.quiet_since.unwrap_or(now);
        self.watch.is_watcher(now.saturating_sub(since), &self.options)
    }

    /// Counts since the start.
    pub fn counters(&self) -> PropagationCounters {
        self.counters
    }

    fn revision(&self) -> ConfigRevision {
        self.in_force.unwrap_or_default().revision
    }

    /// What adopting `edition` would come to.
    fn compare(&self, edition: ConfigEdition) -> Outcome {
        let Some(mine) = self.in_force else { return Outcome::Adopted };
        match edition.revision.cmp(&mine.revision) {
            std::cmp::Ordering::Greater => Outcome::Adopted,
            std::cmp::Ordering::Less => Outcome::Older,
            std::cmp::Ordering::Equal if edition.edit == mine.edit => Outcome::InForce,
            std::cmp::Ordering::Equal => Outcome::Fork,
        }
    }

    /// How long nothing was confirmed, from the first call on.
    fn quiet(&mut self, now: Duration) -> Duration {
        let since = *self.quiet_since.get_or_insert(now);
        now.saturating_sub(since)
    }

    /// The store, or a peer that heard it at `at`, has nothing newer.
    fn confirm(&mut self, at: Duration) {
        if self.in_force.is_none() {
            return;
        }
        self.confirmed = self.confirmed.max(Some(at));
        self.quiet_since = self.quiet_since.max(Some(at));
    }

    fn put_in_force(&mut self, now: Duration, edition: ConfigEdition) {
        self.counters.adopted += 1;
        self.in_force = Some(edition);
        // The confirmation belonged to the edition before.
        self.confirmed = None;
        self.quiet_since = Some(now);
        self.ahead.retain(|entry| entry.0 > edition.revision);
    }

    fn refuse_fork(&mut self, theirs: ConfigEdition) {
        let mine = self.in_force.unwrap_or_default().edit;
        self.counters.rejected += 1;
        self.alarm(PropagationAlarm::Fork { revision: theirs.revision, mine, theirs: theirs.edit });
    }

    fn alarm(&mut self, alarm: PropagationAlarm) {
        if self.alarmed.insert(alarm) {
            self.actions.push_back(PropagationAction::Alarm(alarm));
        }
    }

    fn take_confirmation(&mut self, now: Duration, confirmed_ms: u32) {
        if confirmed_ms == u32::MAX {
            return;
        }
        let at = now.saturating_sub(Duration::from_millis(u64::from(confirmed_ms)));
        self.confirm(at);
    }

    fn note_ahead(&mut self, now: Duration, peer: HostKey, revision: ConfigRevision) {
        self.ahead.retain(|entry| entry.1 != peer);
        self.ahead.push((revision, peer));
        self.ahead.sort_by_key(|entry| std::cmp::Reverse(entry.0));
        self.ahead.truncate(PULL_PEERS);
        self.start_pull(now);
    }

    /// Asks the peer with the newest revision, one at a time: a second copy of
    /// a document of up to a megabyte would only slow the first.
    fn start_pull(&mut self, now: Duration) {
        if self.pull.is_some() {
            return;
        }
        let Some(&(revision, peer)) = self.ahead.first() else { return };
        self.pull = Some(Pull { peer, deadline: now + self.options.pull_timeout });
        self.counters.pulls += 1;
        self.actions.push_back(PropagationAction::Pull { peer, revision });
    }
}
