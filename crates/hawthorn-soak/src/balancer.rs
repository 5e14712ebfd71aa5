//! The platform's balancer: it probes the hosts and selects one for each new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::future::join_all;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::history::HistoryRecorder;
use crate::history::HostKey;
use crate::history::ReadinessProbe;
use crate::wire::CallerConnection;

/// Interval of the probes of a host.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval of the probes until all hosts have started.
const START_PERIOD: Duration = Duration::from_millis(100);
/// Number of probes without a 200 after which a host gets no new connections.
const MAX_MISSES: u32 = 2;
/// Share of a zone's hosts below which all of them get connections.
const MIN_IN_ROTATION: f64 = 0.5;

/// A host as callers and probes reach it.
#[derive(Clone, Copy, Debug)]
pub struct FrontAddress {
    /// The host.
    pub host: HostKey,
    /// Index of its availability zone.
    pub zone: usize,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
}

/// Selects hosts for new connections. Clones share their state.
#[derive(Clone, Debug)]
pub struct FrontBalancer {
    fronts: Arc<Vec<FrontAddress>>,
    misses: Arc<Mutex<Vec<u32>>>,
}

impl FrontBalancer {
    /// A balancer for these hosts, in the order of their keys; all are in rotation.
    pub fn new(fronts: Vec<FrontAddress>) -> Self {
        let misses = Arc::new(Mutex::new(vec![0; fronts.len()]));
        Self { fronts: Arc::new(fronts), misses }
    }

    /// Connects a caller of a zone to a host.
    pub async fn connect(&self, zone: usize, rng: &mut impl RngExt) -> Option<CallerConnection> {
        let front = self.select(zone, rng)?;
        CallerConnection::open(front.host, front.callers).await.ok()
    }

    /// Waits until all hosts are ready; returns those that are not at the end of `limit`.
    pub async fn wait_until_ready(&self, limit: Duration) -> Vec<HostKey> {
        let started = Instant::now();
        loop {
            let probes = self.fronts.iter().map(|front| timeout(PROBE_TIMEOUT, probe(*front)));
            let statuses = join_all(probes).await;
            let probed = self.fronts.iter().zip(statuses);
            let unready = probed.filter(|(_, status)| !matches!(status, Ok(Some(200))));
            let unready: Vec<HostKey> = unready.map(|(front, _)| front.host).collect();
            if unready.is_empty() || started.elapsed() >= limit {
                return unready;
            }
            sleep(START_PERIOD).await;
        }
    }

    /// Probes all hosts until cancelled.
    pub fn start_probes(&self, recorder: &HistoryRecorder, stop: &CancellationToken) {
        for front in self.fronts.iter().copied() {
            let probes = self.clone().probe(front, recorder.clone());
            tokio::spawn(stop.clone().run_until_cancelled_owned(probes));
        }
    }

    async fn probe(self, front: FrontAddress, recorder: HistoryRecorder) {
        let mut ticks = interval(PROBE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let (host, at) = (front.host, recorder.now());
            let status = timeout(PROBE_TIMEOUT, probe(front)).await.ok().flatten();
            recorder.with(|history| history.probes.push(ReadinessProbe { host, at, status }));
            let mut misses = self.misses.lock().expect("no holder of the lock panics");
            let misses = &mut misses[usize::from(host.0)];
            *misses = if status == Some(200) { 0 } else { *misses + 1 };
        }
    }

    /// The host for a new connection of a caller in a zone.
    ///
    /// If less than half of the zone's hosts are in rotation, all of them are used; if none is, the
    /// hosts of the other zones that are.
    fn select(&self, zone: usize, rng: &mut impl RngExt) -> Option<FrontAddress> {
        let misses = self.misses.lock().expect("no holder of the lock panics");
        let in_rotation = |front: &&FrontAddress| misses[usize::from(front.host.0)] < MAX_MISSES;
        let own: Vec<&FrontAddress> =
            self.fronts.iter().filter(|front| front.zone == zone).collect();
        let ready: Vec<&FrontAddress> =
            own.iter().copied().filter(|front| in_rotation(front)).collect();
        let share = ready.len() as f64 / own.len().max(1) as f64;
        if share >= MIN_IN_ROTATION {
            return ready.choose(rng).map(|front| **front);
        }
        if !ready.is_empty() {
            return own.choose(rng).map(|front| **front);
        }
        let others: Vec<&FrontAddress> = self.fronts.iter().filter(in_rotation).collect();
        others.choose(rng).or_else(|| own.choose(rng)).map(|front| **front)
    }
}

async fn probe(front: FrontAddress) -> Option<u16> {
    let mut connection = CallerConnection::open(front.host, front.ready).await.ok()?;
    let request = b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    connection.send(request).await.ok()?;
    Some(connection.receive().await.ok()?.status)
}
