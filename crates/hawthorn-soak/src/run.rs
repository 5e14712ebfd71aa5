//! One run of a plan.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use quick_error::quick_error;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::balancer::FrontBalancer;
use crate::callers::SoakCallers;
use crate::check;
use crate::check::Violation;
use crate::faults;
use crate::fleet;
use crate::fleet::FleetPlace;
use crate::fleet::SharedFleet;
use crate::fleet::SoakFleet;
use crate::history::Disruption;
use crate::history::HostEvent;
use crate::history::HostEventKind;
use crate::history::SoakHistory;
use crate::host::SoakHost;
use crate::plan::SoakPlan;
use crate::report;

/// Time in which all hosts become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which stopped hosts end.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Time in which requests that a target has read may still begin to run.
const LAST_RUNS: Duration = Duration::from_millis(500);
/// Interval at which the scheduling delay of this process is measured.
const LAG_PERIOD: Duration = Duration::from_millis(50);
/// Number of readings of the hosts' use before the faults, and after them.
const USAGE_READINGS: u32 = 4;
/// Time between two of them.
const USAGE_PERIOD: Duration = Duration::from_millis(370);
/// Scheduling delay above which the machine counts as disturbed.
const MAX_LAG: Duration = Duration::from_millis(250);
/// In a host's log lines on panics.
const PANIC_LINE: &str = "E605 duty-failed: duty=task";

quick_error! {
    /// Why a plan could not be run.
    #[derive(Debug)]
    pub enum Error {
        /// The fleet could not be started, or a fault could not be applied.
        Fleet(source: fleet::Error) {
            display("{source}")
            from()
        }
        /// A host did not become ready.
        NotReady(host: String, line: String) {
            display("{host} is not ready after {START_TIMEOUT:?}; its last line: {line}")
        }
        /// A task of the run ended by a panic.
        Task(source: tokio::task::JoinError) {
            display("a task of the run failed: {source}")
            source(source)
            from()
        }
    }
}

/// What a run has shown.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// What was seen.
    pub history: SoakHistory,
    /// The broken promises, in the order of their times.
    pub violations: Vec<Violation>,
}

/// Runs a plan, and checks what was seen once all hosts have ended.
///
/// # Errors
/// When the run could not be carried out.
pub async fn run(plan: &SoakPlan, place: FleetPlace<'_>) -> Result<RunOutcome, Error> {
    let stop = CancellationToken::new();
    let _stop_guard = stop.clone().drop_guard();
    let restarts_end = stop.child_token();
    let plan = Arc::new(plan.clone());
    let fleet = SoakFleet::start(&plan, place, &stop, &restarts_end).await?;
    let fleet: SharedFleet = Arc::new(fleet);
    let fronts = fleet.hosts.iter().map(|host| host.spec().front()).collect();
    let balancer = FrontBalancer::new(fronts);
    tokio::spawn(stop.clone().run_until_cancelled_owned(watch_lag(Arc::clone(&fleet))));
    let unready = balancer.wait_until_ready(START_TIMEOUT).await;
    if let Some(host) = unready.first() {
        let spec = fleet.hosts[usize::from(host.0)].spec();
        // Without a log, the host has not even started.
        let log = std::fs::read_to_string(spec.log()).unwrap_or_default();
        let line = log.lines().last().unwrap_or("none").to_owned();
        return Err(Error::NotReady(spec.name.clone(), line));
    }
    balancer.start_probes(&fleet.recorder, &restarts_end);
    load_and_disturb(&plan, &fleet, balancer).await?;
    // Hosts are neither probed nor started again. The links and targets stay until all of them have
    // ended, in case one still sends a request.
    restarts_end.cancel();
    let stopping = join_all(fleet.hosts.iter().map(|host| host.stop()));
    // A host that is still there has been killed by its grace period.
    let _stopped = timeout(STOP_TIMEOUT, stopping).await;
    sleep(LAST_RUNS).await;
    let mut history = fleet.recorder.take();
    record_panics(&fleet, &mut history);
    let violations = check::check(&history, &plan);
    Ok(RunOutcome { history, violations })
}

/// Adds the panics in the hosts' logs, which nothing else shows.
fn record_panics(fleet: &SoakFleet, history: &mut SoakHistory) {
    for spec in fleet.hosts.iter().map(SoakHost::spec) {
        let log = std::fs::read_to_string(spec.log()).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains(PANIC_LINE)) {
            let at = report::line_time(line).unwrap_or_default() - history.log_start;
            let at = Duration::from_secs_f64(at.max(0.0));
            let kind = HostEventKind::Panicked;
            history.host_events.push(HostEvent { host: spec.key, at, kind });
        }
    }
    history.host_events.sort_by_key(|event| event.at);
}

/// Lets callers send their load, and applies the faults in their time.
async fn load_and_disturb(
    plan: &Arc<SoakPlan>,
    fleet: &SharedFleet,
    balancer: FrontBalancer,
) -> Result<(), Error> {
    let callers = SoakCallers::new(Arc::clone(fleet), Arc::clone(plan), balancer);
    let load_end = CancellationToken::new();
    let load = {
        let load_end = load_end.clone();
        tokio::spawn(async move { callers.run(&load_end).await })
    };
    let begun = Instant::now();
    record_usage(fleet, begun + plan.calm_start()).await;
    let faults_began = fleet.recorder.now();
    fleet.recorder.with(|history| history.faults_began = faults_began);
    let mut faults = JoinSet::new();
    for fault in &plan.faults {
        sleep_until(begun + fault.at).await;
        let (fleet, fault) = (Arc::clone(fleet), fault.clone());
        let until = begun + plan.faults_end();
        faults.spawn(async move { faults::apply(&fleet, &fault, until).await });
    }
    while let Some(applied) = faults.join_next().await {
        applied??;
    }
    record_usage(fleet, begun + plan.length).await;
    load_end.cancel();
    Ok(load.await?)
}

/// Reads the use of all hosts several times until `end`.
async fn record_usage(fleet: &SoakFleet, end: Instant) {
    for reading in (1..=USAGE_READINGS).rev() {
        sleep_until(end - USAGE_PERIOD * reading).await;
        for usage in fleet.hosts.iter().filter_map(|host| host.usage()) {
            fleet.recorder.with(|history| history.usage.push(usage));
        }
    }
    sleep_until(end).await;
}

/// Records when this process, and so probably all others, got no processor time.
async fn watch_lag(fleet: SharedFleet) {
    loop {
        let from = fleet.recorder.now();
        sleep(LAG_PERIOD).await;
        let until = fleet.recorder.now();
        if until.saturating_sub(from) > LAG_PERIOD + MAX_LAG {
            let cause = "scheduling delay".to_owned();
            let disruption = Disruption { host: None, from, until, planned: false, cause };
            fleet.recorder.with(|history| history.disruptions.push(disruption));
        }
    }
}
