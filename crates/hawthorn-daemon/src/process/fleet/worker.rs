//! Event loop of the fleet worker: processes datagrams and commands; publishes members, owned
//! groups and configuration.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::PropagationState;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::handover::HandoverAction;
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

use super::FleetCommand;
use super::FleetStatus;
use super::OfferSource;
use super::Options;
use super::StoreCall;
use crate::connection::peer::PeerLinks;
use crate::process::events::LogEvent;
use crate::version::config::ConfigInForce;
use crate::version::fleet::FleetView;
use crate::version::owned::OwnedGroups;

/// Maximum interval between ticks.
const TICK: Duration = Duration::from_millis(50);

/// Buffer size, larger than any datagram of the protocol; the member table rejects those over its
/// limit.
const DATAGRAM_BYTES: usize = 2_048;

pub(super) struct FleetWorker {
    pub(super) options: Options,
    pub(super) started: Instant,
    pub(super) zone: String,
    pub(super) me: MemberId,
    pub(super) table: MemberTable,
    pub(super) handover: Handover,
    pub(super) propagation: PropagationState,
    pub(super) links: Arc<PeerLinks>,
    pub(super) store: mpsc::Sender<StoreCall>,
    pub(super) busy: watch::Receiver<Arc<HashSet<u16>>>,
    pub(super) commands: mpsc::Sender<FleetCommand>,
    pub(super) config: watch::Sender<Option<Arc<ConfigInForce>>>,
    pub(super) view: watch::Sender<Arc<FleetView>>,
    pub(super) owned: watch::Sender<Arc<OwnedGroups>>,
    pub(super) status: watch::Sender<FleetStatus>,
    pub(super) generation: u64,
}

impl FleetWorker {
    pub(super) async fn run(
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
                received = socket.recv_from(&mut datagram) => {
                    // An error is an ICMP reply to an earlier datagram: the peer is gone.
                    if let Ok((len, from)) = received {
                        self.receive_datagram(from, &datagram[..len]);
                    }
                }
                Some(command) = receiver.recv() => {
                    if let Some(reply) = self.handle_command(command) {
                        self.run_actions(&socket).await;
                        let _gone = reply.send(());
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            self.tick();
            self.run_actions(&socket).await;
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn receive_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.now();
        if let Err(error) = self.table.receive(now, from, bytes) {
            crate::log_event!(Level::Debug, LogEvent::PeerMessageBad, "from {from}: {error}");
        }
    }

    /// Handles a command. Returns the reply to send once all resulting datagrams are sent.
    pub(super) fn handle_command(&mut self, command: FleetCommand) -> Option<oneshot::Sender<()>> {
        let now = self.now();
        match command {
            FleetCommand::Offer { copy, reply } => {
                self.offer(&copy.document, OfferSource::Peer);
                let revision = self.propagation.in_force().unwrap_or_default().revision;
                let _gone = reply.send(revision);
            }
            FleetCommand::Pulled { peer, copy: None } => self.propagation.pull_failed(now, peer),
            FleetCommand::Pulled { copy: Some(copy), .. } => {
                self.offer(&copy.document, OfferSource::Peer);
            }
            FleetCommand::Parsed { edition, parsed, source } => {
                self.handle_parsed(edition, parsed, &source);
            }
            FleetCommand::StoreAnswered(reply) => self.handle_store_reply(reply),
            FleetCommand::PlatformHosts(hosts) => self.update_platform_hosts(&hosts),
            FleetCommand::Leave => self.table.leave(now),
            FleetCommand::Depart(reply) => {
                self.table.depart(now);
                return Some(reply);
            }
        }
        None
    }

    pub(super) fn update_platform_hosts(&mut self, hosts: &[HostEntry]) {
        let now = self.now();
        self.table.seed_platform(now, hosts);
        let name = &self.options.place.host;
        let me = hosts.iter().find(|entry| entry.host == *name);
        let leaving = me.is_some_and(|entry| entry.phase == HostPhase::Leaving);
        self.status.send_if_modified(|status| {
            std::mem::replace(&mut status.platform_leaving, leaving) != leaving
        });
    }

    pub(super) fn tick(&mut self) {
        let now = self.now();
        self.table.tick(now);
        self.propagation.set_zone(&self.zone, self.me, self.table.active_hosts(&self.zone));
        self.propagation.tick(now);
        self.handover.observe(now, self.table.zone_view(now));
        let busy = Arc::clone(&self.busy.borrow());
        self.handover.tick(now, |bucket| busy.contains(&bucket));
        // A host never loses readiness once it has it. Otherwise hosts that learn of a newer
        // revision before they have its document would reject all callers until it arrives, on
        // every edit and in the whole tier. Answers state the revision that they are based on, so
        // serving from the older one is correct.
        let was_ready = self.status.borrow().ready;
        let ready = was_ready || self.propagation.is_ready(self.table.live_peers());
        self.table.set_digest(now, self.propagation.digest(now, ready, 0));
        let confirmed_at =
            self.propagation.age(now).and_then(|age| Instant::now().checked_sub(age));
        let traffic = self.table.counters();
        if ready && !was_ready {
            crate::log_event!(Level::Info, LogEvent::Ready, "ready for callers");
        }
        self.status.send_if_modified(|status| {
            let changed = status.ready != ready;
            status.ready = ready;
            status.confirmed_at = confirmed_at;
            status.traffic = traffic;
            changed
        });
    }

    pub(super) async fn run_actions(&mut self, socket: &UdpSocket) {
        while let Some(action) = self.table.poll_action() {
            self.handle_fleet_action(action, socket).await;
        }
        while let Some(action) = self.propagation.poll_action() {
            self.handle_propagation(action);
        }
        let mut ownership_changed = false;
        while let Some(action) = self.handover.poll_action() {
            match action {
                HandoverAction::Send { to, message } => {
                    let now = self.now();
                    self.table.send_handover(now, to, message);
                }
                HandoverAction::ShareChanged { .. } => ownership_changed = true,
            }
        }
        if ownership_changed {
            self.publish_owned();
        }
        // The handover's messages are in the table's queue.
        while let Some(action) = self.table.poll_action() {
            self.handle_fleet_action(action, socket).await;
        }
    }

    pub(super) async fn handle_fleet_action(&mut self, action: FleetAction, socket: &UdpSocket) {
        let now = self.now();
        match action {
            FleetAction::Send { to, bytes } => {
                // Datagrams may be lost in any case, so send errors are ignored.
                let _sent = socket.send_to(&bytes, to).await;
            }
            FleetAction::DigestReceived { peer, digest } => {
                self.propagation.receive_digest(now, peer, digest)
            }
            FleetAction::HandoverReceived { peer, message } => {
                self.handover.receive(now, peer, message);
            }
            FleetAction::ProcessPaused(span) => {
                let span = span.as_millis();
                crate::log_event!(Level::Warn, LogEvent::PauseNoticed, "paused for {span} ms");
                self.handover.reacquire(now);
            }
            FleetAction::DeathRefuted => self.handover.reacquire(now),
            FleetAction::MemberUp(host) => self.log_member(LogEvent::MemberUp, host),
            FleetAction::MemberDown(host) => self.log_member(LogEvent::MemberDown, host),
            FleetAction::ViewChanged(_) => self.publish_view(),
            FleetAction::Superseded(by) => {
                self.raise_alarm(format!("another process with this host's name runs at {by}"));
            }
            FleetAction::ZoneLost(zone) => self.log_zone(LogEvent::ZoneLost, &zone),
            FleetAction::ZoneFound(zone) => self.log_zone(LogEvent::ZoneFound, &zone),
            FleetAction::MemberLeaving(_)
            | FleetAction::MemberRemoved(_)
            | FleetAction::PayloadReceived { .. }
            | FleetAction::Synced => {}
        }
    }

    pub(super) fn log_member(&self, event: LogEvent, host: HostKey) {
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

    pub(super) fn log_zone(&self, event: LogEvent, zone: &str) {
        crate::log_event!(Level::Warn, event, "zone {zone}");
    }

    pub(super) fn raise_alarm(&self, text: String) {
        self.status.send_modify(|status| status.alarms.push(text));
    }

    pub(super) fn publish_view(&mut self) {
        self.generation += 1;
        self.view.send_replace(Arc::new(FleetView::of(&self.table, self.generation)));
    }

    pub(super) fn publish_owned(&self) {
        let buckets = 0..self.options.handover.buckets;
        let shares = buckets.map(|bucket| (bucket, self.handover.share(bucket)));
        let owned = OwnedGroups::new(&self.zone, shares);
        crate::log_event!(Level::Info, LogEvent::OwnershipChanged, "{} groups", owned.len());
        self.owned.send_replace(Arc::new(owned));
    }
}
