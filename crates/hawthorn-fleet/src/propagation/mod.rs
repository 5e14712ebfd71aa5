//! Propagation of configuration: which revision is in force, which peer to pull a newer one from,
//! and whether this daemon calls the store.
//!
//! Two daemons of each zone, selected by rendezvous hashing, watch the store. All others learn of a
//! revision from heartbeats, pushed immediately by each daemon that adopts it, and pull the
//! document from a peer that has it. The revision in force never decreases.
//!
//! Only the pair of revision and edit is handled here; the daemon fetches and checks the document
//! itself.

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

/// The bucket whose rendezvous hash selects a zone's watchers. Outside the buckets of targets, so
/// that watchers and owners are selected independently.
const WATCH_BUCKET: u16 = u16::MAX;

/// Maximum number of peers remembered as having a newer revision.
const MAX_NEWER_PEERS: usize = 4;

/// Identifies a revision together with the edit that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct ConfigEdition {
    /// The revision.
    pub revision: ConfigRevision,
    /// A hash of the edit id. Two edits of one revision are a fork.
    pub edit: u64,
}

/// Result of offering a document to [`PropagationState::adopt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Now in force: apply it and set the digest of the heartbeats.
    Adopted,
    /// Already in force.
    InForce,
    /// Older than the edition in force: rejected.
    Older,
    /// Another edit of the revision in force: rejected.
    Fork,
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PropagationCounters {
    /// Calls to the store.
    pub store_calls: u64,
    /// Calls to the store that failed.
    pub store_failures: u64,
    /// Documents requested from peers.
    pub pulls: u64,
    /// Requests for a document that a peer did not fulfil.
    pub pull_failures: u64,
    /// Editions adopted.
    pub adopted: u64,
    /// Documents and digests rejected because they are older or a fork.
    pub rejected: u64,
}

/// A request for a document in flight to a peer.
#[derive(Clone, Copy, Debug)]
struct Pull {
    peer: HostKey,
    deadline: Duration,
}

/// Propagation state of one daemon. Exists once per process.
#[derive(Debug)]
pub struct PropagationState {
    options: Options,
    in_force: Option<ConfigEdition>,
    /// When the store, directly or through peers, last confirmed `in_force` as the newest.
    confirmed: Option<Duration>,
    /// The latest of the start, the last adoption and the last confirmation: the delay of standby
    /// watchers starts here.
    unconfirmed_since: Option<Duration>,
    /// Time of the first tick.
    started: Option<Duration>,
    /// Peers known to have a newer revision, newest first.
    newer_peers: SmallVec<[(ConfigRevision, HostKey); MAX_NEWER_PEERS]>,
    pull: Option<Pull>,
    watch: WatchState,
    known_peers: BTreeSet<HostKey>,
    raised_alarms: BTreeSet<PropagationAlarm>,
    actions: VecDeque<PropagationAction>,
    counters: PropagationCounters,
}

impl PropagationState {
    /// A state without a configuration in force.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            in_force: None,
            confirmed: None,
            unconfirmed_since: None,
            started: None,
            newer_peers: SmallVec::new(),
            pull: None,
            watch: WatchState::default(),
            known_peers: BTreeSet::new(),
            raised_alarms: BTreeSet::new(),
            actions: VecDeque::new(),
            counters: PropagationCounters::default(),
        }
    }

    /// Processes the digest in a peer's heartbeat.
    pub fn receive_digest(&mut self, now: Duration, peer: HostKey, digest: MemberDigest) {
        if self.known_peers.len() < self.options.ready_peers {
            self.known_peers.insert(peer);
        }
        if digest.revision == ConfigRevision::default() {
            return;
        }
        let theirs = ConfigEdition { revision: digest.revision, edit: digest.edit };
        match self.compare(theirs) {
            Outcome::Adopted => self.add_newer_peer(now, peer, theirs.revision),
            Outcome::InForce => self.handle_confirmation(now, digest.confirmed_ms),
            Outcome::Older => {}
            Outcome::Fork => self.reject_fork(theirs),
        }
    }

    /// Offers a document, from a peer, the store, or an edit made here. The caller has checked that
    /// the document matches the edition.
    pub fn adopt(&mut self, now: Duration, edition: ConfigEdition) -> Outcome {
        self.pull = None;
        let outcome = self.compare(edition);
        match outcome {
            Outcome::Adopted => self.activate(now, edition),
            Outcome::InForce => {}
            Outcome::Older => self.counters.rejected += 1,
            Outcome::Fork => self.reject_fork(edition),
        }
        self.start_pull(now);
        outcome
    }

    /// Handles a pull that failed.
    pub fn pull_failed(&mut self, now: Duration, peer: HostKey) {
        self.newer_peers.retain(|entry| entry.1 != peer);
        if self.pull.is_some_and(|pull| pull.peer == peer) {
            self.counters.pull_failures += 1;
            self.pull = None;
        }
        self.start_pull(now);
    }

    /// Sets the hosts of this daemon's zone that may watch the store, and which one this is.
    pub fn set_zone(
        &mut self,
        zone: &str,
        me: MemberId,
        hosts: impl IntoIterator<Item = OwnerCandidate>,
    ) {
        let group = GroupId::new(zone, WATCH_BUCKET);
        let own_score = ownership::score(group, me);
        let rank = hosts
            .into_iter()
            .filter(|host| host.id != me && ownership::score(group, host.id) > own_score)
            .count();
        self.watch.set_rank(rank);
    }

    /// Processes the store's answer to a watch or a read. A newer document must be offered to
    /// [`adopt`](Self::adopt) first.
    pub fn store_answered(&mut self, now: Duration, answer: StoreAnswer) {
        let rejected = matches!(answer, StoreAnswer::Holds(edition)
            if self.compare(edition) != Outcome::InForce);
        self.watch.record_answer(now, answer, rejected, &self.options);
        match answer {
            StoreAnswer::Failed => self.counters.store_failures += 1,
            StoreAnswer::Unchanged => self.confirm(now),
            StoreAnswer::Holds(edition) => self.handle_store_edition(now, edition),
            StoreAnswer::Empty => {
                if let Some(edition) = self.in_force {
                    self.raise_alarm(PropagationAlarm::StoreEmpty { in_force: edition.revision });
                }
            }
        }
    }

    fn handle_store_edition(&mut self, now: Duration, edition: ConfigEdition) {
        match self.compare(edition) {
            Outcome::InForce => self.confirm(now),
            Outcome::Fork => self.reject_fork(edition),
            Outcome::Older => {
                self.counters.rejected += 1;
                let in_force = self.revision();
                self.raise_alarm(PropagationAlarm::StoreBehind {
                    store: edition.revision,
                    in_force,
                });
            }
            // Not adopted by the daemon, for example because the document is invalid.
            Outcome::Adopted => {}
        }
    }

    /// Runs what is due; call it about every heartbeat.
    pub fn tick(&mut self, now: Duration) {
        if let Some(pull) = self.pull.filter(|pull| pull.deadline <= now) {
            self.pull_failed(now, pull.peer);
        }
        let unconfirmed_for = self.unconfirmed_for(now);
        let started = *self.started.get_or_insert(now);
        if now.saturating_sub(started) < self.options.startup_delay {
            return;
        }
        if let Some(call) =
            self.watch.next_call(now, unconfirmed_for, self.revision(), &self.options)
        {
            self.counters.store_calls += 1;
            self.actions.push_back(call);
        }
    }

    /// The next action, or `None` if there is none.
    pub fn poll_action(&mut self) -> Option<PropagationAction> {
        self.actions.pop_front()
    }

    /// The edition in force.
    pub fn in_force(&self) -> Option<ConfigEdition> {
        self.in_force
    }

    /// Time since the store, directly or through peers, confirmed the edition in force as the
    /// newest. `None` if it never did.
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
            era: 0,
        }
    }

    /// Whether this daemon knows enough to start serving. Use it only at startup: it is false again
    /// while a newer revision is being pulled, which is no reason to stop.
    ///
    /// A daemon that starts during a store outage adopts the first document that it receives, and
    /// must not serve with it if it is an old one. It therefore needs a confirmation by the store,
    /// directly or through peers, or digests of several peers (all of them if there are fewer) none
    /// of which has a newer revision.
    pub fn is_ready(&self, live_peers: usize) -> bool {
        let known = self.known_peers.len();
        let enough = known > 0 && known >= self.options.ready_peers.min(live_peers);
        let informed = self.confirmed.is_some() || enough;
        self.in_force.is_some() && self.newer_peers.is_empty() && informed
    }

    /// Whether this daemon watches the store now.
    pub fn is_watching(&self, now: Duration) -> bool {
        let since = self.unconfirmed_since.unwrap_or(now);
        self.watch.is_watcher(now.saturating_sub(since), &self.options)
    }

    /// Counts since the start.
    pub fn counters(&self) -> PropagationCounters {
        self.counters
    }

    fn revision(&self) -> ConfigRevision {
        self.in_force.unwrap_or_default().revision
    }

    /// The result of adopting `edition`.
    fn compare(&self, edition: ConfigEdition) -> Outcome {
        let Some(mine) = self.in_force else { return Outcome::Adopted };
        match edition.revision.cmp(&mine.revision) {
            std::cmp::Ordering::Greater => Outcome::Adopted,
            std::cmp::Ordering::Less => Outcome::Older,
            std::cmp::Ordering::Equal if edition.edit == mine.edit => Outcome::InForce,
            std::cmp::Ordering::Equal => Outcome::Fork,
        }
    }

    /// Time since the last confirmation, or since the first call.
    fn unconfirmed_for(&mut self, now: Duration) -> Duration {
        let since = *self.unconfirmed_since.get_or_insert(now);
        now.saturating_sub(since)
    }

    /// Records that at `at` the store, directly or through a peer, had nothing newer.
    fn confirm(&mut self, at: Duration) {
        if self.in_force.is_none() {
            return;
        }
        self.confirmed = self.confirmed.max(Some(at));
        self.unconfirmed_since = self.unconfirmed_since.max(Some(at));
    }

    fn activate(&mut self, now: Duration, edition: ConfigEdition) {
        self.counters.adopted += 1;
        self.in_force = Some(edition);
        // The confirmation applied to the previous edition.
        self.confirmed = None;
        self.unconfirmed_since = Some(now);
        self.newer_peers.retain(|entry| entry.0 > edition.revision);
    }

    fn reject_fork(&mut self, theirs: ConfigEdition) {
        let mine = self.in_force.unwrap_or_default().edit;
        self.counters.rejected += 1;
        self.raise_alarm(PropagationAlarm::Fork {
            revision: theirs.revision,
            mine,
            theirs: theirs.edit,
        });
    }

    fn raise_alarm(&mut self, alarm: PropagationAlarm) {
        if self.raised_alarms.insert(alarm) {
            self.actions.push_back(PropagationAction::Alarm(alarm));
        }
    }

    fn handle_confirmation(&mut self, now: Duration, confirmed_ms: u32) {
        if confirmed_ms == u32::MAX {
            return;
        }
        let at = now.saturating_sub(Duration::from_millis(u64::from(confirmed_ms)));
        self.confirm(at);
    }

    fn add_newer_peer(&mut self, now: Duration, peer: HostKey, revision: ConfigRevision) {
        self.newer_peers.retain(|entry| entry.1 != peer);
        self.newer_peers.push((revision, peer));
        self.newer_peers.sort_by_key(|entry| std::cmp::Reverse(entry.0));
        self.newer_peers.truncate(MAX_NEWER_PEERS);
        self.start_pull(now);
    }

    /// Pulls from the peer with the newest revision, one at a time: a second copy of a document of
    /// up to a megabyte would only slow down the first.
    fn start_pull(&mut self, now: Duration) {
        if self.pull.is_some() {
            return;
        }
        let Some(&(revision, peer)) = self.newer_peers.first() else { return };
        self.pull = Some(Pull { peer, deadline: now + self.options.pull_timeout });
        self.counters.pulls += 1;
        self.actions.push_back(PropagationAction::Pull { peer, revision });
    }
}
