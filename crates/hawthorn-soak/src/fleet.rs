//! The processes and stand-ins of a run: the store, targets behind proxies, and hosts.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::SystemTime;

use hawthorn_standin::proxy;
use hawthorn_standin::proxy::LinkControl;
use hawthorn_standin::proxy::LinkFaults;
use hawthorn_standin::proxy::TcpProxy;
use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::operator;
use quick_error::quick_error;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::catalog::MIN_CONNECTIONS;
use crate::catalog::SHARDS;
use crate::catalog::SoakVersion;
use crate::catalog::moving_service;
use crate::history::Evacuation;
use crate::history::HistoryRecorder;
use crate::history::HostKey;
use crate::history::TargetKey;
use crate::history::WrittenVersion;
use crate::host;
use crate::host::HostSpec;
use crate::host::SoakHost;
use crate::plan::FaultKind;
use crate::plan::SoakPlan;
use crate::target::SoakTarget;
use crate::target::TargetDoses;
use crate::target::TargetSpec;

/// Slots of a target.
pub const SLOTS: usize = 2;
/// Number of targets of a service that is no shard, in all zones together.
const COPIES: [(&str, usize); 4] = [("plain", 4), ("heavy", 3), ("light", 2), ("capped", 3)];
/// Share of a core that hosts take themselves to have, by turns.
const CORE_SHARES: [f64; 2] = [1.0, 0.25];
/// Key of the configuration in the store.
const CONFIGURATION_KEY: &str = "op/config";

quick_error! {
    /// Why a fleet cannot be started.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be bound.
        Bind(what: &'static str, source: io::Error) {
            display("cannot bind an address for {what}: {source}")
            source(source)
        }
        /// A proxy cannot be started.
        Proxy(source: proxy::Error) {
            display("{source}")
            from()
        }
        /// A host cannot be started.
        Host(source: host::Error) {
            display("{source}")
            from()
        }
    }
}

/// Where a run finds its program, and where its files and addresses are.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlace<'a> {
    /// The `hawthornroute` program.
    pub program: &'a Path,
    /// Directory of the hosts' settings and logs.
    pub directory: &'a Path,
    /// Distinguishes the loopback addresses of runs at the same time.
    pub network: u16,
}

/// An address for targets, which incarnations of one or more services use one after the other.
#[derive(Debug)]
pub struct TargetSlot {
    /// Its availability zone.
    pub zone: String,
    /// Its usual service.
    pub service: String,
    proxy: TcpProxy,
    /// Where the target listens behind the proxy.
    upstream: SocketAddr,
    /// Held by the fault that replaces the target.
    replacing: Semaphore,
    state: Mutex<SlotState>,
}

#[derive(Debug, Default)]
struct SlotState {
    target: Option<SoakTarget>,
    /// The entry in the store, if there is one.
    entry: Option<(TargetKey, Vec<u8>)>,
}

impl TargetSlot {
    /// The link in front of the target.
    pub fn link(&self) -> &LinkControl {
        self.proxy.control()
    }

    /// The key of the running target.
    pub fn target(&self) -> Option<TargetKey> {
        self.lock().target.as_ref().map(SoakTarget::key)
    }

    /// Changes the doses of the target's faults.
    pub fn dose(&self, change: impl FnOnce(&mut TargetDoses)) {
        if let Some(target) = &self.lock().target {
            target.dose(change);
        }
    }

    /// Reserves the slot for a fault that replaces its target, until the permit is dropped.
    pub async fn reserve(&self) -> SemaphorePermit<'_> {
        self.replacing.acquire().await.expect("the semaphore is never closed")
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// The processes and stand-ins of one run.
#[derive(Debug)]
pub struct SoakFleet {
    /// The history.
    pub recorder: HistoryRecorder,
    /// The platform's store.
    pub store: RouteStore,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The targets' addresses.
    pub slots: Vec<TargetSlot>,
    /// The hosts.
    pub hosts: Vec<SoakHost>,
    /// The link of each host to the store.
    pub store_links: Vec<TcpProxy>,
    /// Whether the operator and targets reach the store.
    pub store_up: watch::Sender<bool>,
    version: Mutex<SoakVersion>,
    work: Duration,
    seed: u64,
}

impl SoakFleet {
    /// Starts the store and the targets, writes the first version, and starts the hosts.
    ///
    /// Hosts that end are started again until `restarts_end` is cancelled; the links end with
    /// `stop`.
    ///
    /// # Errors
    /// When an address is taken, or a program or file is missing.
    pub async fn start(
        plan: &SoakPlan,
        place: FleetPlace<'_>,
        stop: &CancellationToken,
        restarts_end: &CancellationToken,
    ) -> Result<Self, Error> {
        let recorder = HistoryRecorder::default();
        let store = RouteStore::start().await.map_err(|source| Error::Bind("the store", source))?;
        let zones: Vec<String> = (0..plan.hosts.len()).map(|zone| format!("zone-{zone}")).collect();
        let moves = plan.faults.iter().filter(|fault| fault.kind == FaultKind::ConfigMove).count();
        let mut fleet = Self {
            recorder,
            store,
            zones,
            slots: Vec::new(),
            hosts: Vec::new(),
            store_links: Vec::new(),
            store_up: watch::Sender::new(true),
            version: Mutex::new(SoakVersion {
                // Each host needs one at least.
                connections: plan.hosts.iter().sum::<usize>().max(MIN_CONNECTIONS),
                ..SoakVersion::default()
            }),
            work: plan.work,
            seed: plan.seed,
        };
        for (number, service) in service_copies(fleet.zones.len(), moves).into_iter().enumerate() {
            let zone = fleet.zones[number % fleet.zones.len()].clone();
            let slot = fleet.start_slot(service, zone, stop).await?;
            fleet.slots.push(slot);
        }
        fleet.write_version(|_| ());
        fleet.start_hosts(plan, place, stop, restarts_end).await?;
        Ok(fleet)
    }

    async fn start_hosts(
        &mut self,
        plan: &SoakPlan,
        place: FleetPlace<'_>,
        stop: &CancellationToken,
        restarts_end: &CancellationToken,
    ) -> Result<(), Error> {
        let zones = plan.hosts.iter().enumerate();
        let zones: Vec<usize> =
            zones.flat_map(|(zone, hosts)| std::iter::repeat_n(zone, *hosts)).collect();
        let ip = |number: usize| {
            let [high, low] = place.network.to_be_bytes();
            IpAddr::V4(Ipv4Addr::new(127, 64 + high % 128, low, 1 + number as u8))
        };
        for (number, zone) in zones.iter().copied().enumerate() {
            let faults = LinkFaults::default();
            let seed = self.seed.wrapping_add(number as u64);
            let link = TcpProxy::start(self.store.address(), seed, faults, stop).await?;
            let spec = HostSpec {
                key: HostKey(number as u16),
                name: format!("host-{number:03}"),
                zone,
                zones: self.zones.clone(),
                ip: ip(number),
                seeds: (0..zones.len().min(3)).map(ip).collect(),
                store: link.address(),
                core_share: CORE_SHARES[number % CORE_SHARES.len()],
                strict_keys: plan.strict_keys,
                program: place.program.to_owned(),
                directory: place.directory.to_owned(),
            };
            self.store_links.push(link);
            self.recorder.with(|history| history.hosts.push(spec.name.clone()));
            self.hosts.push(SoakHost::start(spec, &self.recorder, restarts_end.clone())?);
        }
        Ok(())
    }

    async fn start_slot(
        &self,
        service: String,
        zone: String,
        stop: &CancellationToken,
    ) -> Result<TargetSlot, Error> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let target = self.start_target(&service, &zone, any).await?;
        let upstream = target.address();
        let seed = self.seed.wrapping_add(u64::from(target.key().0));
        let proxy = TcpProxy::start(upstream, seed, LinkFaults::default(), stop).await?;
        let (replacing, state) = (Semaphore::new(1), Mutex::default());
        let slot = TargetSlot { zone, service, proxy, upstream, replacing, state };
        self.register(&slot, target, &slot.service);
        Ok(slot)
    }

    async fn start_target(
        &self,
        service: &str,
        zone: &str,
        address: SocketAddr,
    ) -> Result<SoakTarget, Error> {
        let key = self.recorder.start_target(service, zone);
        self.start_incarnation(key, service, address).await
    }

    async fn start_incarnation(
        &self,
        key: TargetKey,
        service: &str,
        address: SocketAddr,
    ) -> Result<SoakTarget, Error> {
        let max_connections = self.lock_version().max_connections(service);
        let seed = self.seed.wrapping_mul(1000).wrapping_add(u64::from(key.0));
        let spec = TargetSpec { key, slots: SLOTS, work: self.work, max_connections, seed };
        let target = SoakTarget::start(spec, address, &self.recorder).await;
        target.map_err(|source| Error::Bind("a target", source))
    }

    fn register(&self, slot: &TargetSlot, target: SoakTarget, service: &str) {
        let key = target.key();
        let entry = entry(service, slot.proxy.address(), &slot.zone, "ready");
        let mut state = slot.lock();
        state.target = Some(target);
        state.entry = Some((key, entry.clone()));
        drop(state);
        self.store.put(&operator::entry_key(&key.id()), &entry);
    }

    /// Starts a target of a service in a slot that has none.
    ///
    /// # Errors
    /// When the address is taken.
    pub async fn fill(&self, slot: &TargetSlot, service: &str) -> Result<(), Error> {
        let target = self.start_target(service, &slot.zone, slot.upstream).await?;
        self.store_available().await;
        self.register(slot, target, service);
        Ok(())
    }

    /// Starts the target of a slot again under its id, with a new time of birth.
    ///
    /// # Errors
    /// When the address is taken.
    pub async fn refill(&self, slot: &TargetSlot, key: TargetKey) -> Result<(), Error> {
        let target = self.start_incarnation(key, &slot.service, slot.upstream).await?;
        self.recorder.change_target(key, |record| record.ended = None);
        self.store_available().await;
        self.register(slot, target, &slot.service);
        Ok(())
    }

    /// Ends the target of a slot; its entry stays. Returns its key.
    pub fn end_target(&self, slot: &TargetSlot) -> Option<TargetKey> {
        let target = slot.lock().target.take()?;
        let (key, ended) = (target.key(), self.recorder.now());
        drop(target);
        self.recorder.change_target(key, |record| record.ended = Some(ended));
        Some(key)
    }

    /// Writes that the target of a slot drains.
    pub async fn drain(&self, slot: &TargetSlot) {
        self.store_available().await;
        let Some(key) = slot.target() else { return };
        let entry = entry(&slot.service, slot.proxy.address(), &slot.zone, "draining");
        slot.lock().entry = Some((key, entry.clone()));
        self.store.put(&operator::entry_key(&key.id()), &entry);
        self.mark_leaving(key);
    }

    /// Removes the entry of a target from the store.
    pub async fn remove_entry(&self, slot: &TargetSlot, key: TargetKey) {
        self.store_available().await;
        slot.lock().entry.take_if(|(owner, _)| *owner == key);
        self.store.delete(&operator::entry_key(&key.id()));
        self.mark_leaving(key);
    }

    fn mark_leaving(&self, key: TargetKey) {
        let now = self.recorder.now();
        self.recorder.change_target(key, |record| {
            record.leaving.get_or_insert(now);
        });
    }

    /// Writes again what the operator and the targets wrote, and removes the entries of targets
    /// that have left; the store has lost the changes of the last seconds.
    pub fn write_again(&self) {
        let current = self.lock_version().document();
        self.store.put(CONFIGURATION_KEY, current.to_string().as_bytes());
        let mut known = Vec::new();
        for slot in &self.slots {
            if let Some((key, entry)) = &slot.lock().entry {
                self.store.put(&operator::entry_key(&key.id()), entry);
                known.push(operator::entry_key(&key.id()));
            }
        }
        for key in self.store.keys_with_prefix("servers/") {
            if !known.contains(&key) {
                self.store.delete(&key);
            }
        }
        let is_open = |zone: &String| {
            let evacuated =
                |evacuation: &Evacuation| evacuation.zone == *zone && evacuation.until.is_none();
            self.recorder.with(|history| history.evacuations.iter().any(evacuated))
        };
        for zone in &self.zones {
            if is_open(zone) {
                operator::evacuate(&self.store, zone);
            } else {
                operator::end_evacuation(&self.store, zone);
            }
        }
    }

    /// Writes a new version of the configuration.
    pub fn write_version(&self, change: impl FnOnce(&mut SoakVersion)) {
        let mut version = self.lock_version();
        change(&mut version);
        version.number += 1 + version.number % 3;
        let document = version.document().to_string();
        self.store.put(CONFIGURATION_KEY, document.as_bytes());
        let written = WrittenVersion { at: self.recorder.now(), version: version.clone() };
        self.recorder.with(|history| history.versions.push(written));
    }

    /// The newest version of the configuration.
    pub fn version(&self) -> SoakVersion {
        self.lock_version().clone()
    }

    /// Completes when the operator and the targets reach the store.
    pub async fn store_available(&self) {
        let mut store_up = self.store_up.subscribe();
        // The sender is part of the fleet and lives on.
        let _up = store_up.wait_for(|up| *up).await;
    }

    /// What the targets of services that callers use can run, in requests a second.
    pub fn capacity(&self) -> f64 {
        let in_use = |slot: &&TargetSlot| !slot.service.starts_with("moving");
        let targets = self.slots.iter().filter(in_use).count();
        (targets * SLOTS) as f64 / self.work.as_secs_f64()
    }

    fn lock_version(&self) -> MutexGuard<'_, SoakVersion> {
        self.version.lock().expect("no holder of the lock panics")
    }
}

/// The services of all targets: as many copies of each shard as there are zones.
fn service_copies(zones: usize, moves: usize) -> Vec<String> {
    let shards = SHARDS.iter().flat_map(|shard| std::iter::repeat_n((*shard).to_owned(), zones));
    let others = COPIES
        .iter()
        .flat_map(|(service, copies)| std::iter::repeat_n((*service).to_owned(), *copies));
    shards.chain(others).chain((0..=moves).map(moving_service)).collect()
}

fn entry(service: &str, address: SocketAddr, zone: &str, state: &str) -> Vec<u8> {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.unwrap_or_default().as_millis() as u64;
    let entry = json!({
        "service": service, "address": address, "zone": zone, "configVersion": "v1",
        "concurrency": SLOTS, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": born,
    });
    entry.to_string().into_bytes()
}

/// Fleets are shared by the tasks of a run.
pub type SharedFleet = Arc<SoakFleet>;
