//! A fleet of zones whose hosts have their configuration confirmed periodically, by a model of the
//! protocol in virtual time: which allowed requests are refused, and whether a revoked key is
//! served after the limit.
//!
//! The model follows `store_sync.rs` of hawthorn-edge with its periods. Membership is constant.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::future::pending;
use std::ops::Range;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hawthorn_route::confirmation::ConfirmationPlan;
use hawthorn_route::confirmation::PeerAge;
use hawthorn_route::confirmation::StoreConfirmation;
use hawthorn_route::gatherers::ZoneHost;
use hawthorn_route::mirror;
use hawthorn_route::refresh::RefreshOrder;
use hawthorn_route::revision::StoreRevision;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const WITHIN: Duration = ms(5000);
/// Length of a run.
const RUN: Duration = ms(40_000);
/// Time in which a host has its first confirmation on a calm day.
const START: Duration = ms(1500);
/// Interval of the allowed requests to each host.
const REQUEST_INTERVAL: Duration = ms(50);

// The periods of store_sync.rs and peer.rs.
const WATCH_TIMEOUT: Duration = ms(4000);
const CALL_TIMEOUT: Duration = ms(500);
const BATCH_DELAY: Duration = ms(250);
const PEER_WAIT: Duration = ms(900);
const PEER_TIMEOUT: Duration = ms(300);
const REFRESH_PAUSE: Duration = ms(200);
const REFRESH_PEERS: usize = 3;
const REFRESH_INTERVAL: Duration = ms(300);
const SUSPECT_TIME: Duration = ms(1500);
const PAUSE_MS: Range<u64> = 250..600;
const NON_WATCHER_PAUSE_MS: Range<u64> = 1500..2500;
const MAX_MISSED_CHECKS: u32 = 2;

/// The reply of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerReply {
    revision: u64,
    age: Option<Duration>,
    held: Duration,
}

/// Intervals in which a host cannot reach the store, a zone the other zones, or a host is suspended.
#[derive(Clone, Debug, Default)]
struct FaultPlan {
    /// Times of the revocations.
    revocations: Vec<Duration>,
    store_cuts: Vec<(usize, Range<Duration>)>,
    zone_cuts: Vec<(usize, Range<Duration>)>,
    suspensions: Vec<(usize, Range<Duration>)>,
}

struct ModelHost {
    index: usize,
    zone: usize,
    /// The host's clock at the start of the run.
    clock_offset: Duration,
    mirror: Cell<u64>,
    advanced: Notify,
    confirmation: RefCell<StoreConfirmation>,
    suspects: RefCell<HashMap<usize, Instant>>,
    refresh_orders: [RefCell<RefreshOrder<usize>>; 2],
    next_check: Cell<Duration>,
    /// Allowed requests and those refused, and the latest time of a refusal.
    requests: Cell<usize>,
    refused: RefCell<Vec<Duration>>,
}

struct FleetModel {
    started: Instant,
    faults: FaultPlan,
    zones: usize,
    hosts: Vec<ModelHost>,
    plan: ConfirmationPlan,
    rng: RefCell<StdRng>,
    checks: Cell<usize>,
}

enum WatchEnd {
    Update(u64),
    Failed,
}

impl FleetModel {
    fn new(zones: usize, hosts_per_zone: usize, seed: u64, faults: FaultPlan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let host = |index| ModelHost {
            index,
            zone: index % zones,
            clock_offset: ms(rng.random_range(1_000_000..9_000_000)),
            mirror: Cell::new(0),
            advanced: Notify::new(),
            confirmation: RefCell::default(),
            suspects: RefCell::default(),
            refresh_orders: Default::default(),
            next_check: Cell::new(Duration::ZERO),
            requests: Cell::new(0),
            refused: RefCell::default(),
        };
        let hosts = (0..zones * hosts_per_zone).map(host).collect();
        let plan = ConfirmationPlan::new(Some(WITHIN));
        let (started, rng) = (Instant::now(), RefCell::new(rng));
        Self { started, faults, zones, hosts, plan, rng, checks: Cell::new(0) }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn clock(&self, host: &ModelHost) -> Duration {
        self.now() + host.clock_offset
    }

    /// The newest revision that the store had acknowledged at a time.
    fn newest(&self, time: Duration) -> u64 {
        self.faults.revocations.iter().filter(|at| **at <= time).count() as u64
    }

    fn age(&self, host: &ModelHost) -> Option<Duration> {
        let confirmed = host.confirmation.borrow().confirmed_at();
        confirmed.map(|at| self.clock(host).saturating_sub(at))
    }

    fn needs_refresh(&self, host: &ModelHost) -> bool {
        self.plan.needs_refresh(self.age(host))
    }

    fn is_suspended(&self, host: &ModelHost) -> bool {
        let now = self.now();
        let suspensions = &self.faults.suspensions;
        suspensions.iter().any(|(index, time)| *index == host.index && time.contains(&now))
    }

    /// Waits until the host is not suspended.
    async fn resumed(&self, host: &ModelHost) {
        while self.is_suspended(host) {
            sleep(ms(10)).await;
        }
    }

    /// A call with a timeout, as a host sees it: if it is suspended, the reply that has arrived is
    /// read before the timeout when it resumes.
    async fn limit<T>(
        &self,
        host: &ModelHost,
        time: Duration,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        let mut call = pin!(call);
        let elapsed = async {
            sleep(time).await;
            if self.is_suspended(host) {
                self.resumed(host).await;
                sleep(ms(20)).await;
            }
        };
        tokio::select! {
            biased;
            result = call.as_mut() => Some(result),
            () = elapsed => None,
        }
    }

    async fn delay(&self) {
        let micros = self.rng.borrow_mut().random_range(500..15_000);
        sleep(Duration::from_micros(micros)).await;
    }

    async fn pass_to_store(&self, host: &ModelHost) {
        self.delay().await;
        let now = self.now();
        let is_cut =
            |(cut, time): &(usize, Range<Duration>)| *cut == host.index && time.contains(&now);
        if self.faults.store_cuts.iter().any(is_cut) {
            pending::<()>().await;
        }
    }

    async fn pass_to_peer(&self, host: &ModelHost, peer: &ModelHost) {
        self.delay().await;
        let now = self.now();
        let is_cut = |(cut, time): &(usize, Range<Duration>)| {
            (*cut == host.zone || *cut == peer.zone) && time.contains(&now)
        };
        if host.zone != peer.zone && self.faults.zone_cuts.iter().any(is_cut) {
            pending::<()>().await;
        }
    }

    /// A linearizable read of the revision, or the result of a watch after `after`.
    async fn call_store(&self, host: &ModelHost, watch_after: Option<u64>) -> u64 {
        self.pass_to_store(host).await;
        if let Some(after) = watch_after {
            let until = self.now() + WATCH_TIMEOUT;
            while self.newest(self.now()) <= after && self.now() < until {
                let next = self.faults.revocations.iter().filter(|at| **at > self.now()).min();
                let wake = next.copied().unwrap_or(until).min(until);
                sleep((wake - self.now()).max(ms(1))).await;
            }
        }
        let revision = self.newest(self.now());
        self.pass_to_store(host).await;
        self.resumed(host).await;
        revision
    }

    async fn call_peer(
        &self,
        host: &ModelHost,
        peer: &ModelHost,
        wait: Duration,
    ) -> Option<PeerReply> {
        let call = async {
            self.pass_to_peer(host, peer).await;
            self.resumed(peer).await;
            let received = self.now();
            if peer.mirror.get() <= host.mirror.get() {
                let age = self.age(peer).unwrap_or(self.plan.max_source_age);
                let wait = wait.min(self.plan.max_source_age.saturating_sub(age));
                let _elapsed = timeout(wait, peer.advanced.notified()).await;
                self.resumed(peer).await;
            }
            let (revision, age) = (peer.mirror.get(), self.age(peer));
            let reply = PeerReply { revision, age, held: self.now() - received };
            self.pass_to_peer(host, peer).await;
            self.resumed(host).await;
            reply
        };
        let reply = self.limit(host, wait + PEER_TIMEOUT, call).await;
        if reply.is_none() {
            host.suspects.borrow_mut().insert(peer.index, Instant::now());
        }
        reply
    }

    fn is_suspect(&self, host: &ModelHost, peer: usize) -> bool {
        host.suspects.borrow().get(&peer).is_some_and(|at| at.elapsed() < SUSPECT_TIME)
    }

    fn apply(&self, host: &ModelHost, revision: u64) {
        if revision > host.mirror.get() {
            host.mirror.set(revision);
            host.confirmation.borrow_mut().advance(StoreRevision::new(0, revision));
            host.advanced.notify_waiters();
        }
    }

    fn confirm(&self, host: &ModelHost, revision: u64, at: Duration) {
        let mirror = StoreRevision::new(0, host.mirror.get());
        host.confirmation.borrow_mut().record(StoreRevision::new(0, revision), at, mirror);
    }

    fn apply_reply(&self, host: &ModelHost, reply: PeerReply, sent: Duration) {
        let Some(age) = reply.age else { return };
        let at = PeerAge { age, held: reply.held }.confirmed_at(sent);
        if let Some(at) = at.filter(|_| reply.revision >= host.mirror.get()) {
            self.confirm(host, reply.revision, at);
        }
        self.apply(host, reply.revision);
    }

    async fn refresh_from_peers(&self, host: &ModelHost) {
        for (group, in_own_zone) in [true, false].into_iter().enumerate() {
            for _ in 0..REFRESH_PEERS {
                if !self.needs_refresh(host) {
                    return;
                }
                let peers = self.hosts.iter().filter(|peer| {
                    peer.index != host.index
                        && (peer.zone == host.zone) == in_own_zone
                        && !self.is_suspect(host, peer.index)
                });
                let peers: Vec<usize> = peers.map(|peer| peer.index).collect();
                let order = &host.refresh_orders[group];
                let selected = order.borrow_mut().select(&peers, &mut *self.rng.borrow_mut());
                let Some(peer) = selected else { break };
                self.resumed(host).await;
                let sent = self.clock(host);
                if let Some(reply) = self.call_peer(host, &self.hosts[peer], Duration::ZERO).await {
                    self.apply_reply(host, reply, sent);
                }
                order.borrow_mut().record(peer, !self.needs_refresh(host));
            }
        }
    }

    async fn watch(&self, host: &ModelHost) -> WatchEnd {
        let after = host.mirror.get();
        let watch = self.call_store(host, Some(after));
        let mut pending_watch = pin!(self.limit(host, WATCH_TIMEOUT + CALL_TIMEOUT, watch));
        let mut missed_checks = 0;
        loop {
            tokio::select! {
                biased;
                end = pending_watch.as_mut() => {
                    return end.map_or(WatchEnd::Failed, WatchEnd::Update);
                }
                () = sleep(host.next_check.get().saturating_sub(self.clock(host))) => {}
                () = sleep(REFRESH_INTERVAL), if self.needs_refresh(host) => {
                    self.refresh_from_peers(host).await;
                    continue;
                }
            }
            self.resumed(host).await;
            let sent = self.clock(host);
            let answer = self.limit(host, CALL_TIMEOUT, self.call_store(host, None)).await;
            host.next_check.set(sent + self.plan.check_period);
            let Some(revision) = answer else {
                self.refresh_from_peers(host).await;
                continue;
            };
            self.confirm(host, revision, sent);
            missed_checks = if revision <= after { 0 } else { missed_checks + 1 };
            if missed_checks >= MAX_MISSED_CHECKS {
                return WatchEnd::Failed;
            }
        }
    }

    async fn poll_store(&self, host: &ModelHost, is_watcher: bool) {
        self.resumed(host).await;
        let (sent, before) = (self.clock(host), host.mirror.get());
        match self.watch(host).await {
            WatchEnd::Update(revision) => {
                self.apply(host, revision);
                self.confirm(host, revision, sent);
                if revision > before {
                    sleep(BATCH_DELAY).await;
                }
            }
            WatchEnd::Failed => {
                self.refresh_from_peers(host).await;
                let pause = if is_watcher { PAUSE_MS } else { NON_WATCHER_PAUSE_MS };
                let pause = self.rng.borrow_mut().random_range(pause);
                let until = self.now() + ms(pause);
                while self.now() < until {
                    sleep(REFRESH_INTERVAL.min(until - self.now())).await;
                    self.refresh_from_peers(host).await;
                }
            }
        }
    }

    async fn poll_peer(&self, host: &ModelHost, peer: &ModelHost) {
        self.resumed(host).await;
        let wait = if self.needs_refresh(host) { Duration::ZERO } else { PEER_WAIT };
        let sent = self.clock(host);
        let Some(reply) = self.call_peer(host, peer, wait).await else { return };
        if reply.age.is_none_or(|age| age > self.plan.max_source_age) {
            host.suspects.borrow_mut().insert(peer.index, Instant::now());
        }
        self.apply_reply(host, reply, sent);
        if wait.is_zero() && self.needs_refresh(host) {
            sleep(REFRESH_PAUSE).await;
        }
    }

    async fn follow(&self, host: &ModelHost) {
        host.next_check.set(self.clock(host));
        let members = self.hosts.iter().filter(|other| other.zone == host.zone);
        let members: Vec<ZoneHost> =
            members.map(|other| ZoneHost { id: other.index as u64, capacity: 250 }).collect();
        let (ranked, me) = (mirror::rank(&members), host.index as u64);
        loop {
            let is_usable = |id: &u64| *id == me || !self.is_suspect(host, *id as usize);
            let answering: Vec<u64> = ranked.iter().copied().filter(is_usable).collect();
            let source = answering.iter().find(|id| **id != me);
            match source {
                Some(peer) if !mirror::is_watcher(&answering, me, self.zones) => {
                    self.poll_peer(host, &self.hosts[*peer as usize]).await;
                }
                _ => self.poll_store(host, mirror::is_watcher(&ranked, me, self.zones)).await,
            }
        }
    }

    /// Sends an allowed request to each host periodically, and checks that no host would serve a
    /// key whose revocation was acknowledged before the limit.
    async fn observe(&self) {
        while self.now() < RUN {
            let now = self.now();
            for host in self.hosts.iter().filter(|host| !self.is_suspended(host)) {
                let is_current = self.plan.is_current(self.age(host));
                let needed = self.newest(now.saturating_sub(WITHIN));
                let mirror = host.mirror.get();
                assert!(
                    !is_current || mirror >= needed || now < WITHIN,
                    "host {} at {now:?}: revision {mirror}, needed {needed}",
                    host.index
                );
                self.checks.set(self.checks.get() + usize::from(is_current && needed > 0));
                if now >= START {
                    host.requests.set(host.requests.get() + 1);
                    if !is_current {
                        host.refused.borrow_mut().push(now);
                    }
                }
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Allowed requests of a run.
#[derive(Clone, Copy, Debug, Default)]
struct RunCounts {
    requests: usize,
    refused: usize,
    /// Refused ones from 2 s after the start of each host's cut on.
    refused_later: usize,
    /// Observations of a host that serves keys while a revocation must have reached it.
    checks: usize,
}

impl RunCounts {
    fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.refused_later += other.refused_later;
        self.checks += other.checks;
    }
}

fn run(zones: usize, hosts_per_zone: usize, seed: u64, faults: FaultPlan) -> RunCounts {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without sockets needs nothing of the system");
    LocalSet::new().block_on(&runtime, async {
        let fleet = Rc::new(FleetModel::new(zones, hosts_per_zone, seed, faults));
        for index in 0..fleet.hosts.len() {
            let fleet = Rc::clone(&fleet);
            tokio::task::spawn_local(async move { fleet.follow(&fleet.hosts[index]).await });
        }
        fleet.observe().await;
        let mut counts = RunCounts { checks: fleet.checks.get(), ..RunCounts::default() };
        for host in &fleet.hosts {
            let refused = host.refused.borrow();
            let cuts = &fleet.faults.store_cuts;
            let is_first = |at: &Duration| {
                cuts.iter().any(|(cut, time)| {
                    *cut == host.index && (time.start..time.start + ms(2000)).contains(at)
                })
            };
            counts.requests += host.requests.get();
            counts.refused += refused.len();
            counts.refused_later += refused.iter().filter(|at| !is_first(at)).count();
        }
        counts
    })
}

fn revocations(fractions: &[u16]) -> Vec<Duration> {
    fractions.iter().map(|fraction| RUN.mul_f64(f64::from(*fraction) / 65_536.0)).collect()
}

/// Guards against refusals of allowed requests on calm days, with and without revocations.
#[test]
fn calm_fleets_refuse_no_allowed_request() {
    for (zones, hosts_per_zone) in [(1, 1), (1, 2), (1, 8), (2, 1), (4, 3), (4, 18)] {
        let mut counts = RunCounts::default();
        for seed in 0..4 {
            let times: &[u16] = if seed % 2 == 0 { &[] } else { &[9000, 20_000, 20_010, 50_000] };
            let faults = FaultPlan { revocations: revocations(times), ..FaultPlan::default() };
            counts.add(run(zones, hosts_per_zone, seed, faults));
        }
        let share = counts.refused_share();
        println!("{zones} zones of {hosts_per_zone} hosts: refused share {share:.4}, {counts:?}");
        assert_eq!(counts.refused, 0, "{zones} zones of {hosts_per_zone} hosts");
    }
}

/// Guards against refusals of a host, or of all hosts of a zone, whose paths to the store hang while
/// they reach a peer whose path does not.
#[test]
fn hosts_cut_from_the_store_are_confirmed_by_peers() {
    struct Case {
        name: &'static str,
        zones: usize,
        hosts_per_zone: usize,
        cut: fn(usize) -> bool,
    }
    let cases = [
        Case { name: "one of two hosts", zones: 1, hosts_per_zone: 2, cut: |host| host == 0 },
        Case { name: "one of eight", zones: 1, hosts_per_zone: 8, cut: |host| host == 0 },
        Case { name: "both watchers", zones: 1, hosts_per_zone: 8, cut: |host| host < 2 },
        Case { name: "all but one", zones: 1, hosts_per_zone: 4, cut: |host| host != 1 },
        Case { name: "all but one of twelve", zones: 1, hosts_per_zone: 12, cut: |host| host != 5 },
        Case { name: "all but one of 4 zones", zones: 4, hosts_per_zone: 3, cut: |host| host != 5 },
        Case { name: "a zone of four", zones: 4, hosts_per_zone: 3, cut: |host| host % 4 == 0 },
        Case { name: "a watcher of each", zones: 4, hosts_per_zone: 3, cut: |host| host < 4 },
        Case { name: "one of two zones", zones: 2, hosts_per_zone: 3, cut: |host| host % 2 == 0 },
    ];
    let mut failed = Vec::new();
    for case in &cases {
        let mut counts = RunCounts::default();
        for seed in 0..12 {
            let hosts = 0..case.zones * case.hosts_per_zone;
            let cut =
                hosts.filter(|host| (case.cut)(*host)).map(|host| (host, ms(5000)..ms(30_000)));
            let revocations = revocations(if seed % 2 == 0 { &[] } else { &[15_000, 30_000] });
            let faults =
                FaultPlan { revocations, store_cuts: cut.collect(), ..FaultPlan::default() };
            counts.add(run(case.zones, case.hosts_per_zone, seed, faults));
        }
        println!("{}: refused share {:.4}, {counts:?}", case.name, counts.refused_share());
        assert!(counts.checks > 0, "{}", case.name);
        if counts.refused_later > 0 {
            failed.push(format!("{}: {counts:?}", case.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]
    /// Guards against any order of suspensions and of partitions, from the store and between zones, in
    /// which a host serves a revoked key after the limit.
    #[test]
    fn no_host_serves_a_revoked_key_after_the_limit(
        seed in any::<u64>(),
        zones in 1usize..5,
        hosts_per_zone in 1usize..5,
        times in vec(any::<u16>(), 0..8),
        store_cuts in vec((0usize..16, 0u64..40_000, 0u64..30_000), 0..12),
        zone_cuts in vec((0usize..4, 0u64..40_000, 0u64..20_000), 0..4),
        suspensions in vec((0usize..16, 0u64..40_000, 0u64..15_000), 0..12),
    ) {
        let interval = |(subject, start, length): &(usize, u64, u64)| {
            (*subject, ms(*start)..ms(start + length))
        };
        let faults = FaultPlan {
            revocations: revocations(&times),
            store_cuts: store_cuts.iter().map(interval).collect(),
            zone_cuts: zone_cuts.iter().map(interval).collect(),
            suspensions: suspensions.iter().map(interval).collect(),
        };
        run(zones, hosts_per_zone, seed, faults);
    }
}

/// Guards against a host that asks the same peers without a recent confirmation again before all
/// others, and against one that does not return to a useful peer.
#[test]
fn useful_peers_are_asked_first_and_others_once_in_a_pass() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut order = RefreshOrder::default();
    let peers = [1, 2, 3];
    assert_eq!(order.select(&[], &mut rng), None);
    for _pass in 0..2 {
        let mut asked: Vec<i32> = Vec::new();
        for _ in 0..peers.len() {
            let peer = order.select(&peers, &mut rng).expect("there are peers");
            order.record(peer, false);
            asked.push(peer);
        }
        asked.sort_unstable();
        assert_eq!(asked, peers);
    }
    order.record(2, true);
    assert_eq!(order.select(&peers, &mut rng), Some(2));
    assert_ne!(order.select(&[1, 3], &mut rng), Some(2));
    order.record(2, false);
    assert_ne!(order.select(&peers, &mut rng), Some(2));
}
