//! The fleet's duty: one thread that hears heartbeats, keeps the list of
//! members, the groups this host owns, and the configuration in force.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::SpreadState;
use hawthorn_fleet::handover;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::handover::HandoverAction;
use hawthorn_fleet::member;
use hawthorn_fleet::member::MemberCounters;
use hawthorn_fleet::spread;
use hawthorn_fleet::spread::ConfigEdition;
use hawthorn_fleet::spread::SpreadAction;
use hawthorn_fleet::spread::SpreadAlarm;
use hawthorn_fleet::spread::StoreAnswer;
use hawthorn_intent::document::ConfigDocument;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use hawthorn_types::platform::HostEntry;
use hawthorn_types::platform::HostPhase;
use log::Level;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connection::message::ConfigCopy;
use crate::connection::peer;
use crate::connection::peer::PeerLinks;
use crate::process::events::LogEvent;
use crate::version::config;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;

/// The longest time between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);

/// Commands waiting, at the most.
const RING: usize = 256;

/// How long a peer may take to hand over a configuration document.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longer than any datagram of ours; the table refuses what is over its limit.
const DATAGRAM_BYTES: usize = 2_048;

/// What the duty is told.
#[derive(Debug)]
pub(crate) enum FleetCommand {
    /// A document from a peer. Answers the revision in force afterwards.
    Offer { copy: ConfigCopy, reply: oneshot::Sender<ConfigRevision> },
    /// A pull from this peer ended.
    Pulled { peer: HostKey, copy: Option<ConfigCopy> },
    /// A document passed or failed its checks.
    Parsed {
        edition: ConfigEdition,
        parsed: Result<Arc<ConfigInForce>, config::Error>,
        source: OfferSource,
    },
    /// A call to the store ended.
    StoreAnswered(StoreReply),
    /// The platform's list of hosts.
    PlatformHosts(Vec<HostEntry>),
    /// Take nothing new.
    Leave,
    /// Say goodbye; answered once it is on its way.
    Depart(oneshot::Sender<()>),
}

/// Where a document came from.
#[derive(Debug)]
pub(crate) enum OfferSource {
    Peer,
    Store,
}

/// What the store said.
#[derive(Debug)]
pub(crate) enum StoreReply {
    Document(String),
    Unchanged,
    Empty,
    Failed,
}

/// A call for the store's duty to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    Watch { wait: Duration },
    Read,
}

/// The duty's own standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetStatus {
    /// Whether this host may take work.
    pub ready: bool,
    /// When the configuration in force was last confirmed as the newest.
    pub confirmed_at: Option<Instant>,
    /// What operators must look at, oldest first.
    pub alarms: Vec<String>,
    /// The platform says that this host is about to be stopped.
    pub platform_leaving: bool,
    /// Counts of the membership protocol.
    pub traffic: MemberCounters,
}

/// What other duties read of this one, and how they reach it.
#[derive(Clone, Debug)]
pub struct FleetHandle {
    pub(crate) commands: mpsc::Sender<FleetCommand>,
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// The members.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// The groups owned.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// The duty's standing.
    pub status: watch::Receiver<FleetStatus>,
}

impl FleetHandle {
    /// Offers a document; answers the revision in force afterwards.
    pub async fn offer(&self, copy: ConfigCopy) -> ConfigRevision {
        let (reply, answer) = oneshot::channel();
        let command = FleetCommand::Offer { copy, reply };
        if self.commands.send(command).await.is_err() {
            return ConfigRevision::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Announces that this host takes nothing new.
    pub async fn leave(&self) {
        let _stopped = self.commands.send(FleetCommand::Leave).await;
    }

    /// Announces that this process stops now.
    pub async fn depart(&self) {
        let (reply, gone) = oneshot::channel();
        if self.commands.send(FleetCommand::Depart(reply)).await.is_ok() {
            let _said = gone.await;
        }
    }

    /// The configuration as passed on to peers.
    pub fn copy(&self) -> Option<ConfigCopy> {
        let config = self.config.borrow().clone()?;
        let age = self.status.borrow().confirmed_at.map(|at| at.elapsed());
        Some(ConfigCopy {
            revision: config.document.revision,
            document: config.json.clone(),
            age_ms: age.map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        })
    }
}

/// What the duty is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub place: MemberPlace,
    /// Addresses of the settings.
    pub seeds: Vec<SocketAddr>,
    /// Of membership.
    pub member: member::Options,
    /// Of hand-over.
    pub handover: handover::Options,
    /// Of the spread of configuration.
    pub spread: spread::Options,
    /// Seeds the order of pings.
    pub seed: u64,
}

/// The duty's other ends.
pub(crate) struct FleetInputs {
    pub(crate) socket: UdpSocket,
    pub(crate) links: Arc<PeerLinks>,
    pub(crate) store: mpsc::Sender<StoreCall>,
    /// Buckets whose requests still run here.
    pub(crate) busy: watch::Receiver<Arc<HashSet<u16>>>,
}

/// Starts the duty on the current runtime, which its thread runs alone.
pub(crate) fn start(
    options: Options,
    inputs: FleetInputs,
    stop: CancellationToken,
) -> (FleetHandle, impl Future<Output = ()> + Send) {
    let (commands, receiver) = mpsc::channel(RING);
    let (config_sender, config) = watch::channel(None);
    let (view_sender, view) = watch::channel(Arc::default());
    let (owned_sender, owned) = watch::channel(Arc::default());
    let standing = FleetStatus {
        ready: false,
        confirmed_at: None,
        alarms: Vec::new(),
        platform_leaving: false,
        traffic: MemberCounters::default(),
    };
    let (status_sender, status) = watch::channel(standing);
    let handle = FleetHandle { commands: commands.clone(), config, view, owned, status };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let me = MemberId::of(&options.place.host);
    let mut table =
        MemberTable::new(options.place.clone(), incarnation, options.member.clone(), options.seed);
    table.seed(Duration::ZERO, &options.seeds);
    let duty = FleetDuty {
        started: Instant::now(),
        zone: options.place.zone.clone(),
        me,
        table,
        handover: Handover::new(me, options.handover.clone()),
        spread: SpreadState::new(options.spread.clone()),
        options,
        links: inputs.links,
        store: inputs.store,
        busy: inputs.busy,
        commands,
        config: config_sender,
        view: view_sender,
        owned: owned_sender,
        status: status_sender,
        generation: 0,
    };
    (handle, duty.run(inputs.socket, receiver, stop))
}

struct FleetDuty {
    options: Options,
    started: Instant,
    zone: String,
    me: MemberId,
    table: MemberTable,
    handover: Handover,
    spread: SpreadState,
    links: Arc<PeerLinks>,
    store: mpsc::Sender<StoreCall>,
    busy: watch::Receiver<Arc<HashSet<u16>>>,
    commands: mpsc::Sender<FleetCommand>,
    config: watch::Sender<Option<Arc<ConfigInForce>>>,
    view: watch::Sender<Arc<FleetView>>,
    owned: watch::Sender<Arc<OwnedGroups>>,
    status: watch::Sender<FleetStatus>,
    generation: u64,
}

impl FleetDuty {
    async fn run(
        mut self,
        socket: UdpSocket,
        mut receiver: mpsc::Receiver<FleetCommand>,
        stop: CancellationToken,
    ) {
        let mut datagram = vec![0; DATAGRAM_BYTES];
        loop {
            let wake = self.started + self.table.next_wake();
            let wake = wake.min(Instant::now() + TICK);
            tokio::select! {
                () = stop.cancelled() => return,
                heard = socket.recv_from(&mut datagram) => {
                    // An error here is an ICMP answer to an earlier datagram: the peer is gone.
                    if let Ok((len, from)) = heard {
                        self.hear(from, &datagram[..len]);
                    }
                }
                Some(command) = receiver.recv() => {
                    if let Some(reply) = self.take(command) {
                        self.act(&socket).await;
                        let _gone = reply.send(());
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            self.tick();
            self.act(&socket).await;
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.now();
        if let Err(error) = self.table.receive(now, from, bytes) {
            crate::log_event!(Level::Debug, LogEvent::PeerMessageBad, "from {from}: {error}");
        }
    }

    /// Takes a command; gives the reply that is owed once all is sent.
    fn take(&mut self, command: FleetCommand) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match command {
            FleetCommand::Offer { copy, reply } => {
                self.offer(&copy.document, OfferSource::Peer);
                let revision = self.spread.in_force().unwrap_or_default().revision;
                let _gone = reply.send(revision);
            }
            FleetCommand::Pulled { peer, copy: None } => self.spread.pull_failed(now, peer),
            FleetCommand::Pulled { copy: Some(copy), .. } => {
                self.offer(&copy.document, OfferSource::Peer);
            }
            FleetCommand::Parsed { edition, parsed, source } => {
                self.take_parsed(edition, parsed, &source);
            }
            FleetCommand::StoreAnswered(reply) => self.take_store(reply),
            FleetCommand::PlatformHosts(hosts) => self.take_hosts(&hosts),
            FleetCommand::Leave => self.table.leave(now),
            FleetCommand::Depart(reply) => {
                self.table.depart(now);
                return Some(reply);
            }
        }
        None
    }

    fn take_hosts(&mut self, hosts: &[HostEntry]) {
        let now = self.now();
        self.table.seed_platform(now, hosts);
        let name = &self.options.place.host;
        let me = hosts.iter().find(|entry| entry.host == *name);
        let leaving = me.is_some_and(|entry| entry.phase == HostPhase::Leaving);
        self.status.send_if_modified(|status| {
            std::mem::replace(&mut status.platform_leaving, leaving) != leaving
        });
    }

    fn take_store(&mut self, reply: StoreReply) {
        let now = self.now();
        match reply {
            StoreReply::Document(json) => self.offer(&json, OfferSource::Store),
            StoreReply::Unchanged => self.spread.store_answered(now, StoreAnswer::Unchanged),
            StoreReply::Empty => self.spread.store_answered(now, StoreAnswer::Empty),
            StoreReply::Failed => self.spread.store_answered(now, StoreAnswer::Failed),
        }
    }

    /// Takes in a document. One that could come into force is checked on
    /// another thread first: a megabyte takes longer than a heartbeat may wait.
    fn offer(&mut self, json: &str, source: OfferSource) {
        let now = self.now();
        let document = match ConfigDocument::from_json(json) {
            Ok(document) => document,
            Err(error) => {
                crate::log_event!(Level::Error, LogEvent::ConfigBroken, "{error}");
                if matches!(source, OfferSource::Store) {
                    self.spread.store_answered(now, StoreAnswer::Failed);
                }
                return;
            }
        };
        let edit = xxhash_rust::xxh3::xxh3_64(document.edit_id.as_bytes());
        let edition = ConfigEdition { revision: document.revision, edit };
        let in_force = self.spread.in_force().unwrap_or_default().revision;
        if document.revision <= in_force {
            self.adopt(edition, &source);
            return;
        }
        let json = json.to_owned();
        let commands = self.commands.clone();
        tokio::task::spawn_blocking(move || {
            let parsed = config::parse(&json);
            let command = FleetCommand::Parsed { edition, parsed, source };
            let _stopped = commands.blocking_send(command);
        });
    }

    fn take_parsed(
        &mut self,
        edition: ConfigEdition,
        parsed: Result<Arc<ConfigInForce>, config::Error>,
        source: &OfferSource,
    ) {
        let config = match parsed {
            Ok(config) => config,
            Err(error) => {
                let revision = edition.revision.0;
                crate::log_event!(
                    Level::Error,
                    LogEvent::ConfigBroken,
                    "revision {revision}: {error}"
                );
                self.tell_spread(edition, source);
                return;
            }
        };
        if self.adopt(edition, source) == spread::Outcome::Adopted {
            let revision = edition.revision.0;
            let author = &config.document.author;
            crate::log_event!(
                Level::Info,
                LogEvent::ConfigInForce,
                "revision {revision} by {author}"
            );
            self.config.send_replace(Some(config));
        }
    }

    fn adopt(&mut self, edition: ConfigEdition, source: &OfferSource) -> spread::Outcome {
        let now = self.now();
        let outcome = self.spread.adopt(now, edition);
        self.tell_spread(edition, source);
        outcome
    }

    fn tell_spread(&mut self, edition: ConfigEdition, source: &OfferSource) {
        if matches!(source, OfferSource::Store) {
            let now = self.now();
            self.spread.store_answered(now, StoreAnswer::Holds(edition));
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.table.tick(now);
        self.spread.set_zone(&self.zone, self.me, self.table.staying(&self.zone));
        self.spread.tick(now);
        self.handover.observe(now, self.table.zone_view(now));
        let busy = Arc::clone(&self.busy.borrow());
        self.handover.tick(now, |bucket| busy.contains(&bucket));
        let peers = self.table.records().filter(|record| record.is_live()).count() - 1;
        // Readiness is won once. Failure guarded against: a host that hears of a
        // newer revision before it has it would refuse all callers for the
        // moment that the document takes, and with every edit the whole tier.
        // What it has in force is true to its stamp, and answers state it.
        let was_ready = self.status.borrow().ready;
        let ready = was_ready || self.spread.is_ready(peers);
        self.table.set_digest(now, self.spread.digest(now, ready, 0));
        let confirmed_at = self.spread.age(now).and_then(|age| Instant::now().checked_sub(age));
        let traffic = self.table.counters();
        if ready && !was_ready {
            crate::log_event!(Level::Info, LogEvent::Ready, "takes callers");
        }
        self.status.send_if_modified(|status| {
            let changed = status.ready != ready;
            status.ready = ready;
            status.confirmed_at = confirmed_at;
            status.traffic = traffic;
            changed
        });
    }

    async fn act(&mut self, socket: &UdpSocket) {
        while let Some(action) = self.table.poll_action() {
            self.act_on_fleet(action, socket).await;
        }
        while let Some(action) = self.spread.poll_action() {
            self.act_on_spread(action);
        }
        let mut moved = false;
        while let Some(action) = self.handover.poll_action() {
            match action {
                HandoverAction::Send { to, message } => {
                    let now = self.now();
                    self.table.send_handover(now, to, message);
                }
                HandoverAction::ShareChanged { .. } => moved = true,
            }
        }
        if moved {
            self.publish_owned();
        }
        // What the hand-over sent stands in the table's queue.
        while let Some(action) = self.table.poll_action() {
            self.act_on_fleet(action, socket).await;
        }
    }

    async fn act_on_fleet(&mut self, action: FleetAction, socket: &UdpSocket) {
        let now = self.now();
        match action {
            FleetAction::Send { to, bytes } => {
                // A datagram may be lost anywhere; here is no different.
                let _sent = socket.send_to(&bytes, to).await;
            }
            FleetAction::DigestHeard { peer, digest } => self.spread.heard(now, peer, digest),
            FleetAction::HandoverHeard { peer, message } => {
                self.handover.receive(now, peer, message);
            }
            FleetAction::SelfPaused(span) => {
                let span = span.as_millis();
                crate::log_event!(Level::Warn, LogEvent::PauseNoticed, "stood still for {span} ms");
                self.handover.resumed(now);
            }
            FleetAction::SelfDoubted => self.handover.resumed(now),
            FleetAction::MemberUp(host) => self.log_member(LogEvent::MemberUp, host),
            FleetAction::MemberDown(host) => self.log_member(LogEvent::MemberDown, host),
            FleetAction::ViewChanged(_) => self.publish_view(),
            FleetAction::Superseded(by) => {
                self.alarm(format!("another process with this host's name runs at {by}"));
            }
            FleetAction::ZoneLost(zone) => self.log_zone(LogEvent::ZoneLost, &zone),
            FleetAction::ZoneFound(zone) => self.log_zone(LogEvent::ZoneFound, &zone),
            FleetAction::MemberLeaving(_)
            | FleetAction::MemberForgotten(_)
            | FleetAction::Synced => {}
        }
    }

    fn log_member(&self, event: LogEvent, host: HostKey) {
        if let Some(record) = self.table.record(host) {
            let place = &record.place;
            crate::log_event!(
                Level::Info,
                event,
                "{} in {} at {}",
                place.host,
                place.zone,
                place.peer
            );
        }
    }

    fn log_zone(&self, event: LogEvent, zone: &str) {
        crate::log_event!(Level::Warn, event, "zone {zone}");
    }

    fn act_on_spread(&mut self, action: SpreadAction) {
        match action {
            SpreadAction::Pull { peer, .. } => self.pull(peer),
            SpreadAction::Watch { wait, .. } => self.call_store(StoreCall::Watch { wait }),
            SpreadAction::ReadStore => self.call_store(StoreCall::Read),
            SpreadAction::Alarm(alarm) => self.alarm_spread(alarm),
        }
    }

    fn call_store(&mut self, call: StoreCall) {
        if self.store.try_send(call).is_err() {
            let now = self.now();
            self.spread.store_answered(now, StoreAnswer::Failed);
        }
    }

    fn pull(&mut self, peer: HostKey) {
        let Some(record) = self.table.record(peer) else {
            let now = self.now();
            return self.spread.pull_failed(now, peer);
        };
        let address = record.place.peer;
        let have = self.spread.in_force().unwrap_or_default().revision;
        let links = Arc::clone(&self.links);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let copy = pull(&links, address, have).await;
            let _stopped = commands.send(FleetCommand::Pulled { peer, copy }).await;
        });
    }

    fn alarm_spread(&mut self, alarm: SpreadAlarm) {
        match alarm {
            SpreadAlarm::Fork { revision, .. } => {
                let text = format!("revision {} was also offered as another edit", revision.0);
                crate::log_event!(Level::Error, LogEvent::ConfigForkRefused, "{text}");
                self.alarm(text);
            }
            SpreadAlarm::StoreBehind { store, in_force } => {
                let (store, in_force) = (store.0, in_force.0);
                let text =
                    format!("the store holds revision {store}, older than {in_force} in force");
                crate::log_event!(Level::Error, LogEvent::ConfigOlderRefused, "{text}");
                self.alarm(text);
            }
            SpreadAlarm::StoreEmpty { in_force } => {
                let text = format!("the store holds no configuration; {} is in force", in_force.0);
                crate::log_event!(Level::Error, LogEvent::ConfigOlderRefused, "{text}");
                self.alarm(text);
            }
        }
    }

    fn alarm(&self, text: String) {
        self.status.send_modify(|status| status.alarms.push(text));
    }

    fn publish_view(&mut self) {
        self.generation += 1;
        self.view.send_replace(Arc::new(FleetView::of(&self.table, self.generation)));
    }

    fn publish_owned(&self) {
        let buckets = 0..self.options.handover.buckets;
        let shares = buckets.map(|bucket| (bucket, self.handover.share(bucket)));
        let owned = OwnedGroups::new(&self.zone, shares);
        crate::log_event!(Level::Info, LogEvent::OwnershipChanged, "{} groups", owned.len());
        self.owned.send_replace(Arc::new(owned));
    }
}

async fn pull(links: &PeerLinks, address: SocketAddr, have: ConfigRevision) -> Option<ConfigCopy> {
    let client = links.client(address).await.ok()?;
    let context = peer::call_context(PULL_TIMEOUT);
    client.pull_config(context, have).await.map_err(|error| links.judge(address, error)).ok()?
}
