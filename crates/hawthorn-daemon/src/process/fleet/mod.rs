//! The fleet worker: one thread that exchanges heartbeats and maintains the member list, the groups
//! that this host owns, and the configuration in force.

mod config_update;
mod worker;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPlace;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::PropagationState;
use hawthorn_fleet::handover;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::member;
use hawthorn_fleet::member::MemberCounters;
use hawthorn_fleet::propagation;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use hawthorn_types::platform::HostEntry;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::worker::FleetWorker;
use crate::connection::message::ConfigCopy;
use crate::connection::peer::PeerLinks;
use crate::version::config;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;

/// Capacity of the command channel.
const CHANNEL_CAPACITY: usize = 256;

/// Commands to the worker.
#[derive(Debug)]
pub(crate) enum FleetCommand {
    /// A document from a peer; the reply is the revision in force afterwards.
    Offer { copy: ConfigCopy, reply: oneshot::Sender<ConfigRevision> },
    /// A pull from this peer completed.
    Pulled { peer: HostKey, copy: Option<ConfigCopy> },
    /// Validation of a document completed.
    Parsed {
        edition: ConfigEdition,
        parsed: Result<Arc<ConfigInForce>, config::Error>,
        source: OfferSource,
    },
    /// A call to the store completed.
    StoreAnswered(StoreReply),
    /// The platform's list of hosts.
    PlatformHosts(Vec<HostEntry>),
    /// Accept no new work.
    Leave,
    /// Announce the departure; replied to once it is sent.
    Depart(oneshot::Sender<()>),
}

/// Source of a document.
#[derive(Debug)]
pub(crate) enum OfferSource {
    Peer,
    Store,
}

/// Result of a call to the store.
#[derive(Debug)]
pub(crate) enum StoreReply {
    Document(String),
    Unchanged,
    Empty,
    Failed,
}

/// A call for the store worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    Watch { wait: Duration },
    Read,
}

/// Status of the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetStatus {
    /// Whether this host may accept work.
    pub ready: bool,
    /// When the configuration in force was last confirmed as the newest.
    pub confirmed_at: Option<Instant>,
    /// Alarms for operators, oldest first.
    pub alarms: Vec<String>,
    /// Whether the platform is about to stop this host.
    pub platform_leaving: bool,
    /// Counters of the membership protocol.
    pub traffic: MemberCounters,
}

/// Handle to the fleet worker.
#[derive(Clone, Debug)]
pub struct FleetHandle {
    pub(crate) commands: mpsc::Sender<FleetCommand>,
    /// The configuration in force.
    pub config: watch::Receiver<Option<Arc<ConfigInForce>>>,
    /// The members.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Groups owned by this host.
    pub owned: watch::Receiver<Arc<OwnedGroups>>,
    /// Status of the worker.
    pub status: watch::Receiver<FleetStatus>,
}

impl FleetHandle {
    /// Offers a document; returns the revision in force afterwards.
    pub async fn offer(&self, copy: ConfigCopy) -> ConfigRevision {
        let (reply, answer) = oneshot::channel();
        let command = FleetCommand::Offer { copy, reply };
        if self.commands.send(command).await.is_err() {
            return ConfigRevision::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Announces that this host accepts no new work.
    pub async fn leave(&self) {
        let _stopped = self.commands.send(FleetCommand::Leave).await;
    }

    /// Announces that this process is stopping.
    pub async fn depart(&self) {
        let (reply, sent) = oneshot::channel();
        if self.commands.send(FleetCommand::Depart(reply)).await.is_ok() {
            let _closed = sent.await;
        }
    }

    /// The configuration in the form sent to peers.
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

/// Options of the fleet worker.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub place: MemberPlace,
    /// Seed addresses from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Options of the membership protocol.
    pub member: member::Options,
    /// Options of the ownership handover.
    pub handover: handover::Options,
    /// Options of configuration propagation.
    pub propagation: propagation::Options,
    /// Seed for the order of pings.
    pub seed: u64,
}

/// Inputs of the worker.
pub(crate) struct FleetInputs {
    pub(crate) socket: UdpSocket,
    pub(crate) links: Arc<PeerLinks>,
    pub(crate) store: mpsc::Sender<StoreCall>,
    /// Buckets whose requests still run here.
    pub(crate) busy: watch::Receiver<Arc<HashSet<u16>>>,
}

/// Creates the worker and its handle. The returned future must run on a thread of its own.
pub(crate) fn start(
    options: Options,
    inputs: FleetInputs,
    stop: CancellationToken,
) -> (FleetHandle, impl Future<Output = ()> + Send) {
    let (commands, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let (config_sender, config) = watch::channel(None);
    let (view_sender, view) = watch::channel(Arc::default());
    let (owned_sender, owned) = watch::channel(Arc::default());
    let initial = FleetStatus {
        ready: false,
        confirmed_at: None,
        alarms: Vec::new(),
        platform_leaving: false,
        traffic: MemberCounters::default(),
    };
    let (status_sender, status) = watch::channel(initial);
    let handle = FleetHandle { commands: commands.clone(), config, view, owned, status };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let me = MemberId::of(&options.place.host);
    let mut table =
        MemberTable::new(options.place.clone(), incarnation, options.member.clone(), options.seed);
    table.seed(Duration::ZERO, &options.seeds);
    let worker = FleetWorker {
        started: Instant::now(),
        zone: options.place.zone.clone(),
        me,
        table,
        handover: Handover::new(me, options.handover.clone()),
        propagation: PropagationState::new(options.propagation.clone()),
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
    (handle, worker.run(inputs.socket, receiver, stop))
}
