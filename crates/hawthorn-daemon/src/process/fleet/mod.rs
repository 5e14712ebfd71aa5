//! The fleet's duty: one thread that hears heartbeats, keeps the list of
//! members, the groups this host owns, and the configuration in force.

mod duty;
mod edition;

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

use self::duty::FleetDuty;
use crate::connection::message::ConfigCopy;
use crate::connection::peer::PeerLinks;
use crate::version::config;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;

/// Commands waiting, at the most.
const RING: usize = 256;

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
    pub spread: propagation::Options,
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
        spread: PropagationState::new(options.spread.clone()),
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
