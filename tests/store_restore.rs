//! The store comes back from an older copy: later changes are lost, and their revisions are given
//! out again.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::store::RouteOutage;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::time::sleep;

/// Time for which the store is away.
const OUTAGE: Duration = Duration::from_millis(800);
/// Time within which a version is in force on all hosts after the store came back.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// The same for deployments of many hosts.
const LARGE_APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Time after which entries that were not written again count as deleted.
const EXPIRY_LIMIT: Duration = Duration::from_millis(3500);

/// Hosts of two zones and two targets of a service.
struct RestoredFleet {
    store: RouteStore,
    targets: Vec<RouteTarget>,
    hosts: Vec<RouteHost>,
}

impl RestoredFleet {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let mut targets = Vec::new();
        for id in ["t-1", "t-2"] {
            let target = RouteTarget::start(id, "s").await?;
            operator::register(&store, id, &target, "east");
            targets.push(target);
        }
        operator::configure(&store, 1, &[operator::single("/v1/", "s", "safe")], &["s"]);
        let mut fleet = Self { store, targets, hosts: Vec::new() };
        for (name, zone) in [("h-1", "east"), ("h-2", "east"), ("h-3", "west"), ("h-4", "west")] {
            fleet.start_host(name, zone).await?;
        }
        Ok(fleet)
    }

    async fn start_host(&mut self, name: &str, zone: &str) -> TestResult {
        let seeds: Vec<&RouteHost> = self.hosts.first().into_iter().collect();
        let host = RouteHost::start(name, zone, self.store.address(), &seeds)?;
        host.wait_until_ready().await?;
        self.hosts.push(host);
        Ok(())
    }

    /// Writes a version whose only route is `/v{version}/`.
    fn configure(&self, version: u64) {
        let route = operator::single(&format!("/v{version}/"), "s", "safe");
        operator::configure(&self.store, version, &[route], &["s"]);
    }

    /// Waits until a version is in force on every host.
    async fn wait_for_version(&self, version: u64) -> TestResult {
        for host in &self.hosts {
            let routed = async || status(host, version).await == Some(200);
            route::wait_for("the version to be in force", routed).await?;
        }
        Ok(())
    }
}

/// Status of a request that only this version routes.
async fn status(host: &RouteHost, version: u64) -> Option<u16> {
    let answer = host.send("GET", &format!("/v{version}/"), "id", "").await;
    answer.ok().map(|answer| answer.status)
}

/// Guards against ignoring changes whose revisions are not above those that were lost.
#[tokio::test(flavor = "multi_thread")]
async fn versions_written_after_a_restore_are_in_force_in_time() -> TestResult {
    struct Case {
        name: &'static str,
        /// Changes that are lost.
        lost: usize,
        /// Changes that are written before the store answers again.
        rewritten: usize,
    }
    let cases = [
        Case { name: "revision below the lost ones", lost: 40, rewritten: 0 },
        Case { name: "revision of a lost change", lost: 4, rewritten: 3 },
        Case { name: "revision above the lost ones", lost: 2, rewritten: 30 },
    ];
    for case in cases {
        let fleet = RestoredFleet::start().await?;
        let copy = fleet.store.copy();
        for number in 0..case.lost {
            operator::put_raw_entry(&fleet.store, &format!("lost-{number}"), b"{}");
        }
        fleet.configure(2);
        fleet.wait_for_version(2).await?;
        fleet.store.set_outage(RouteOutage::Unavailable);
        fleet.store.restore(&copy);
        for number in 0..case.rewritten {
            operator::put_raw_entry(&fleet.store, &format!("new-{number}"), b"{}");
        }
        sleep(OUTAGE).await;
        fleet.store.set_outage(RouteOutage::None);
        fleet.configure(3);
        let written = Instant::now();
        fleet.wait_for_version(3).await.map_err(|error| format!("{}: {error}", case.name))?;
        assert!(written.elapsed() < APPLY_LIMIT, "{}: {:?}", case.name, written.elapsed());
        for host in &fleet.hosts {
            let answer = host.send("GET", "/v1/", "id-lost", "").await;
            let status = answer.as_ref().ok().map(|answer| answer.status);
            let mut lines = host.log_lines();
            lines.retain(|line| ["E61", "E64", "E660"].iter().any(|event| line.contains(event)));
            assert_eq!(
                status,
                Some(404),
                "{}: version 1 is not back: {answer:?}, {lines:#?}",
                case.name
            );
        }
    }
    Ok(())
}

/// Guards against hosts that stay in the earlier era because they did not see the store come back.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_miss_a_restore_learn_of_it() -> TestResult {
    #[derive(Clone, Copy, Debug)]
    enum Miss {
        /// The store does not answer the hosts that watch it.
        WatchersCutOff,
        /// A host starts while the store is away.
        HostStarts,
        /// A host is suspended meanwhile.
        HostSuspended,
        /// The store is restored once more from the same copy.
        RestoredTwice,
    }
    for miss in [Miss::WatchersCutOff, Miss::HostStarts, Miss::HostSuspended, Miss::RestoredTwice] {
        let mut fleet = RestoredFleet::start().await?;
        let copy = fleet.store.copy();
        fleet.configure(2);
        fleet.wait_for_version(2).await?;
        fleet.store.set_outage(RouteOutage::Unavailable);
        match miss {
            Miss::WatchersCutOff => fleet.store.hang_watchers(),
            Miss::HostSuspended => fleet.hosts[1].signal(Signal::STOP)?,
            Miss::HostStarts | Miss::RestoredTwice => {}
        }
        sleep(OUTAGE).await;
        fleet.store.restore(&copy);
        match miss {
            Miss::HostStarts => fleet.start_host("h-5", "west").await?,
            Miss::RestoredTwice => {
                operator::put_raw_entry(&fleet.store, "between", b"{}");
                fleet.store.set_outage(RouteOutage::None);
                sleep(OUTAGE).await;
                fleet.store.restore(&copy);
            }
            Miss::WatchersCutOff | Miss::HostSuspended => {}
        }
        fleet.store.set_outage(RouteOutage::None);
        fleet.configure(3);
        sleep(OUTAGE).await;
        if let Miss::HostSuspended = miss {
            fleet.hosts[1].signal(Signal::CONT)?;
        }
        fleet.wait_for_version(3).await.map_err(|error| format!("{miss:?}: {error}"))?;
    }
    Ok(())
}

/// Guards against losing targets, and against requests to an evacuated zone, in the seconds after
/// a restore until their entries are written again.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_a_restored_store_lacks_stay_until_they_expire() -> TestResult {
    let mut fleet = RestoredFleet::start().await?;
    fleet.hosts.truncate(1);
    let host = &fleet.hosts[0];
    let copy = fleet.store.copy();
    let new_target = RouteTarget::start("t-3", "s").await?;
    let write_again = || {
        operator::register(&fleet.store, "t-3", &new_target, "west");
        operator::evacuate(&fleet.store, "east");
    };
    write_again();
    let evacuated = async || host.logged("zone=east change=begun") > 0;
    route::wait_for("the evacuation to be logged", evacuated).await?;
    let runs =
        || (fleet.targets.iter().map(|target| target.runs("id")).sum(), new_target.runs("id"));
    let send_for = async |time: Duration| -> TestResult {
        let started = Instant::now();
        while started.elapsed() < time {
            assert_eq!(status(host, 1).await, Some(200));
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    };
    fleet.store.restore(&copy);
    route::wait_for("the new era", async || host.logged("store-restored") == 1).await?;
    send_for(Duration::from_millis(1500)).await?;
    write_again();
    send_for(EXPIRY_LIMIT).await?;
    let (evacuated_runs, _): (usize, usize) = runs();
    assert_eq!(evacuated_runs, 0, "the zone stays evacuated");
    fleet.store.restore(&copy);
    let removed = async || host.logged("target=t-3 change=removed") == 1;
    route::wait_for("the entry that is not written again to expire", removed).await?;
    let used = async || status(host, 1).await == Some(200) && fleet.targets[0].runs("id") > 0;
    route::wait_for("the zone that is no longer evacuated to be used", used).await?;
    Ok(())
}

/// Guards against requests lost to a target that had left and that a restore brings back: a failed
/// connection ejects it, as it does any other target.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_brought_back_by_a_restore_loses_no_request() -> TestResult {
    /// Failed connections until the entry expires, if each ejects the target for 150 ms or more.
    const MAX_FAILED: usize = EXPIRY_LIMIT.as_millis() as usize / 150 + 1;
    let mut fleet = RestoredFleet::start().await?;
    fleet.hosts.truncate(1);
    let host = &fleet.hosts[0];
    let copy = fleet.store.copy();
    operator::remove(&fleet.store, "t-2");
    let removed = async || host.logged("target=t-2 change=removed") > 0;
    route::wait_for("the target to leave", removed).await?;
    fleet.targets.pop().ok_or("the fleet has two targets")?.end();
    fleet.store.restore(&copy);
    let back = async || host.logged("store-restored") == 1;
    route::wait_for("the new era", back).await?;
    let started = Instant::now();
    while started.elapsed() < EXPIRY_LIMIT {
        assert_eq!(status(host, 1).await, Some(200), "after {:?}", started.elapsed());
        sleep(Duration::from_millis(5)).await;
    }
    let failed = host.logged("target=t-2 zone=east end=not-sent");
    assert!((1..=MAX_FAILED).contains(&failed), "{failed} requests to the target that had left");
    Ok(())
}

/// Guards against a restore that takes too long to reach the hosts of a zone, as each needs the
/// new state from the one that watches the store, over a narrow link.
#[tokio::test(flavor = "multi_thread")]
async fn a_restore_reaches_a_large_zone_over_narrow_links_in_time() -> TestResult {
    const HOSTS: usize = 20;
    const TARGETS: usize = 700;
    let mut fleet = RestoredFleet::start().await?;
    fleet.hosts.clear();
    for number in 0..TARGETS {
        let entry = operator::entry("other", ([127, 0, 0, 1], 9).into(), "east", "ready");
        operator::put_raw_entry(&fleet.store, &format!("other-{number}"), entry.as_bytes());
    }
    for number in 0..HOSTS {
        let seeds: Vec<&RouteHost> = fleet.hosts.first().into_iter().collect();
        let name = format!("h-{number}");
        let store = fleet.store.address();
        fleet.hosts.push(RouteHost::start_on_link(&name, "east", store, &seeds, 14.0)?);
    }
    for host in &fleet.hosts {
        host.wait_until_ready().await?;
    }
    let copy = fleet.store.copy();
    fleet.configure(2);
    fleet.wait_for_version(2).await?;
    fleet.store.set_outage(RouteOutage::Unavailable);
    fleet.store.restore(&copy);
    sleep(OUTAGE).await;
    fleet.store.set_outage(RouteOutage::None);
    fleet.configure(3);
    let written = Instant::now();
    fleet.wait_for_version(3).await?;
    assert!(written.elapsed() < LARGE_APPLY_LIMIT, "{:?}", written.elapsed());
    Ok(())
}
