//! The load generator against a fake tier and against stand-ins.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;
use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::StandinDeployment;
use hawthorn_standin::check::ViolationKind;
use hawthorn_standin::deployment::ServiceDescription;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::load;
use hawthorn_standin::load::DaemonControl;
use hawthorn_standin::load::DeploymentEnvironment;
use hawthorn_standin::load::LoadEnvironment;
use hawthorn_standin::load::LoadReport;
use hawthorn_standin::load::LoadScenario;
use hawthorn_standin::load::NaiveTier;
use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::RemoteEnvironment;
use hawthorn_standin::load::inventory::TargetInventory;
use hawthorn_standin::load::schedule::ScheduleOptions;
use hawthorn_standin::load::tier::TierResponse;
use hawthorn_types::AnswerCoverage;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigStamp;
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::OnceRequest;
use hawthorn_types::RefusalReason;
use hawthorn_types::SearchQuery;
use support::Fallible;
use support::TestResult;

/// A small deployment for tests.
fn small_deployment() -> DeploymentOptions {
    let desk = ServiceDescription { shards: 4, ..ServiceDescription::new(support::SERVICE) };
    DeploymentOptions { services: vec![desk], ..DeploymentOptions::dar_port() }
}

fn options(scenario: LoadScenario, deployment: &StandinDeployment) -> load::run::Options {
    let schedule = ScheduleOptions {
        scenario,
        duration: Duration::from_millis(200),
        capacity: 200.0,
        ..ScheduleOptions::default()
    };
    load::run::Options {
        schedule,
        deadline_ms: 20_000,
        history: deployment.history().clone(),
        corpora: deployment.corpora.clone(),
        ..load::run::Options::default()
    }
}

/// Behavior of the fake tier for every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FakeBehavior {
    Refuse,
    ClaimFullCoverage,
    MismatchAnswers,
    LoseConnection,
    NotSent,
}

struct FakeTier {
    behavior: FakeBehavior,
    once_ids: Mutex<Vec<String>>,
}

impl FakeTier {
    fn new(behavior: FakeBehavior) -> Arc<Self> {
        Arc::new(Self { behavior, once_ids: Mutex::default() })
    }

    fn answer(&self, request_id: Option<String>) -> TierResponse {
        let mut answer = CallerAnswer {
            request: format!("{:032x}", 1),
            request_id,
            outcome: CallerOutcome::NotRun(RefusalReason::QueueFull),
            retry_after_ms: Some(50),
            index_version: None,
            coverage: None,
            configuration: ConfigStamp::default(),
            total: 0,
            matches: Vec::new(),
            result: None,
            elapsed_ms: 0,
        };
        match self.behavior {
            FakeBehavior::Refuse => {}
            FakeBehavior::ClaimFullCoverage => {
                let covered = vec![KeyRange::FULL];
                answer.outcome = CallerOutcome::Answer;
                answer.index_version = Some(IndexVersion(1));
                answer.coverage =
                    Some(AnswerCoverage { fraction: 1.0, covered, missing: Vec::new() });
            }
            FakeBehavior::MismatchAnswers => answer.request_id = Some("another".to_owned()),
            FakeBehavior::LoseConnection => return TierResponse::ConnectionLost,
            FakeBehavior::NotSent => return TierResponse::NotSent,
        }
        TierResponse::Answered(Box::new(answer))
    }
}

impl QueryTier for FakeTier {
    fn fronts(&self) -> Vec<String> {
        vec!["entry-1".to_owned(), "entry-2".to_owned()]
    }

    fn query<'a>(&'a self, _front: usize, query: &'a SearchQuery) -> BoxFuture<'a, TierResponse> {
        ready(self.answer(query.request_id.clone())).boxed()
    }

    fn once<'a>(&'a self, _front: usize, request: &'a OnceRequest) -> BoxFuture<'a, TierResponse> {
        if let Ok(mut once_ids) = self.once_ids.lock() {
            once_ids.push(request.request_id.clone());
        }
        ready(self.answer(Some(request.request_id.clone()))).boxed()
    }
}

struct BehaviorCase {
    behavior: FakeBehavior,
    holds: fn(&LoadReport) -> bool,
    violation: Option<ViolationKind>,
}

/// Guards against a report that only measures latency and favors a tier that answers
/// fast without searching: wrong answers must show in the report.
#[tokio::test]
async fn the_report_reflects_the_behavior_of_the_tier() -> TestResult {
    let cases = [
        BehaviorCase {
            behavior: FakeBehavior::Refuse,
            holds: |report| report.refused.get("queue-full") == Some(&report.offered),
            violation: None,
        },
        BehaviorCase {
            behavior: FakeBehavior::ClaimFullCoverage,
            holds: |report| report.complete == report.offered,
            violation: Some(ViolationKind::OverstatedCoverage),
        },
        BehaviorCase {
            behavior: FakeBehavior::MismatchAnswers,
            holds: |report| report.answered == 0,
            violation: Some(ViolationKind::MismatchedAnswer),
        },
        BehaviorCase {
            behavior: FakeBehavior::LoseConnection,
            holds: |report| report.cut == report.offered,
            violation: None,
        },
        BehaviorCase {
            behavior: FakeBehavior::NotSent,
            holds: |report| report.not_sent == report.offered,
            violation: None,
        },
    ];
    for case in cases {
        let deployment = StandinDeployment::start(small_deployment()).await?;
        let environment = DeploymentEnvironment::new(&deployment);
        let options = options(LoadScenario::Steady, &deployment);
        let tier = FakeTier::new(case.behavior);
        let report = load::run("fake", tier, &environment, None, &options).await?;
        assert!(report.offered > 0 && (case.holds)(&report), "{:?}: {report:?}", case.behavior);
        let violations: u64 = report.broken.values().sum();
        let expected = case.violation.map_or(0, |kind| report.violation_count(kind));
        assert_eq!(violations, expected, "{:?}", case.behavior);
        assert_eq!(violations > 0, case.violation.is_some(), "{:?}", case.behavior);
    }
    Ok(())
}

/// Guards against a resend under a new id: when an answer is lost, the caller must resend
/// the request with the same id, or the tier cannot recognize the duplicate.
#[tokio::test]
async fn a_lost_request_is_resent_unchanged() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let environment = DeploymentEnvironment::new(&deployment);
    let mut options = options(LoadScenario::Steady, &deployment);
    options.schedule.once_share = 1.0;
    let tier = FakeTier::new(FakeBehavior::LoseConnection);
    let report =
        load::run("fake", Arc::clone(&tier) as Arc<dyn QueryTier>, &environment, None, &options);
    let offered = report.await?.offered;
    let once_ids = tier.once_ids.lock().map_err(|_| "a send panicked")?;
    let mut sends: BTreeMap<&String, u64> = BTreeMap::new();
    for id in once_ids.iter() {
        *sends.entry(id).or_default() += 1;
    }
    assert_eq!(sends.len() as u64, offered);
    assert!(sends.values().all(|&count| count == 2));
    Ok(())
}

/// The baseline must be valid: the naive client's answers violate no guarantee, and its
/// attempts stay within the limits of targets.
#[tokio::test]
async fn the_naive_client_violates_no_guarantee_or_limit() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let environment = DeploymentEnvironment::new(&deployment);
    let mut options = options(LoadScenario::Steady, &deployment);
    options.schedule.once_share = 0.2;
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let report = load::run("naive", naive, &environment, None, &options).await?;
    assert_eq!(report.broken, BTreeMap::new(), "{:?}", report.broken_first);
    assert!(report.offered > 0);
    for target in &deployment.targets {
        let counters = target.standin.control().counters();
        assert!(counters.peak_busy <= 2 && counters.peak_waiting <= 8, "{counters:?}");
        assert_eq!(counters.connections_refused, 0);
    }
    Ok(())
}

#[tokio::test]
async fn a_shard_without_a_target_shows_as_missing() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let holds = |shards: &[u32]| shards.contains(&0);
    for target in deployment.targets.iter().filter(|target| holds(&target.shards)) {
        target.standin.control().set_desired_state(DesiredState::Drain);
    }
    let environment = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::Steady, &deployment);
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let report = load::run("naive", naive, &environment, None, &options).await?;
    assert_eq!((report.complete, report.coverage_mean), (0, 0.75));
    assert_eq!(report.broken, BTreeMap::new(), "{:?}", report.broken_first);
    Ok(())
}

#[tokio::test]
async fn both_runs_of_a_comparison_use_the_same_schedule() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let environment = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::Stragglers, &deployment);
    let tier = FakeTier::new(FakeBehavior::Refuse);
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let comparison = load::compare(tier, naive, &environment, None, &options).await?;
    assert_eq!(comparison.tier.offered, comparison.baseline.offered);
    assert_eq!(comparison.tier.answered, 0);
    assert!(comparison.baseline.answered > 0);
    assert_eq!(comparison.baseline.policy, "naive");
    Ok(())
}

#[derive(Default)]
struct FakeDaemons {
    calls: Mutex<Vec<String>>,
}

impl FakeDaemons {
    fn record(&self, call: String) -> BoxFuture<'_, ()> {
        if let Ok(mut calls) = self.calls.lock() {
            calls.push(call);
        }
        ready(()).boxed()
    }
}

impl DaemonControl for FakeDaemons {
    fn daemons(&self) -> Vec<String> {
        vec!["entry-1".to_owned(), "entry-2".to_owned()]
    }

    fn restart<'a>(&'a self, daemon: &'a str) -> BoxFuture<'a, ()> {
        self.record(format!("restart {daemon}"))
    }

    fn cut_zone(&self, cut: bool) -> BoxFuture<'_, ()> {
        self.record(format!("cut {cut}"))
    }
}

struct DaemonCase {
    scenario: LoadScenario,
    calls: &'static [&'static str],
    stops: usize,
}

#[tokio::test]
async fn scenarios_apply_their_daemon_faults() -> TestResult {
    let cases = [
        DaemonCase {
            scenario: LoadScenario::RollingRestart,
            calls: &["restart entry-1", "restart entry-2"],
            stops: 2,
        },
        DaemonCase { scenario: LoadScenario::ZoneCut, calls: &["cut true", "cut false"], stops: 0 },
        DaemonCase { scenario: LoadScenario::Steady, calls: &[], stops: 0 },
    ];
    for case in cases {
        let deployment = StandinDeployment::start(small_deployment()).await?;
        let environment = DeploymentEnvironment::new(&deployment);
        let options = options(case.scenario, &deployment);
        let daemons = FakeDaemons::default();
        let tier = FakeTier::new(FakeBehavior::Refuse);
        load::run("fake", tier, &environment, Some(&daemons), &options).await?;
        let calls = daemons.calls.lock().map_err(|_| "a call panicked")?;
        assert_eq!(*calls, case.calls, "{}", case.scenario);
        let records = options.history.records();
        let stop = |event: &HistoryEvent| matches!(event, HistoryEvent::StopStarted { .. });
        let stops = records.iter().filter(|record| stop(&record.event)).count();
        assert_eq!(stops, case.stops, "{}", case.scenario);
    }
    Ok(())
}

#[tokio::test]
async fn a_scenario_that_restarts_daemons_requires_daemon_control() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let environment = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::ZoneCut, &deployment);
    let tier = FakeTier::new(FakeBehavior::Refuse);
    let result = load::run("fake", tier, &environment, None, &options).await;
    assert_eq!(result.err(), Some(load::run::Error::NeedsDaemons(LoadScenario::ZoneCut)));
    Ok(())
}

#[tokio::test]
async fn targets_of_another_process_are_controlled_over_http() -> TestResult {
    let deployment = StandinDeployment::start(small_deployment()).await?;
    let inventory = TargetInventory::parse(&deployment.inventory_toml())?;
    let environment = RemoteEnvironment::new(&inventory);
    environment.begin(LoadScenario::OneSlowTarget).await;
    assert_eq!(slow_factors(&deployment), [10.0, 1.0]);
    environment.end().await;
    assert_eq!(slow_factors(&deployment), [1.0, 1.0]);
    let naive = NaiveTier::new(inventory.known_services()?, IndexVersion(1), 1);
    let response = naive.query(0, &search_all()).await;
    let TierResponse::Answered(answer) = response else { return Err("no answer".into()) };
    assert_eq!(answer.coverage.map(|coverage| coverage.fraction), Some(1.0));
    assert_eq!(environment.attempts(support::SERVICE).await, 4);
    assert_eq!(environment.shards(support::SERVICE), 4);
    Ok(())
}

fn slow_factors(deployment: &StandinDeployment) -> Vec<f64> {
    let first = deployment.targets.iter().take(2);
    first.map(|target| target.standin.control().faults().slow_factor).collect()
}

fn search_all() -> SearchQuery {
    SearchQuery {
        caller: "bunker-desk".to_owned(),
        service: support::SERVICE.to_owned(),
        text: String::new(),
        range: None,
        limit: 5,
        deadline_ms: 20_000,
        urgency: Default::default(),
        request_id: None,
    }
}

#[test]
fn an_inventory_with_a_malformed_shard_is_rejected() -> Fallible<()> {
    let text = "[[service]]\nname = \"a\"\nshards = 1\nconnections = 1\n\
        [[target]]\nservice = \"a\"\naddress = \"127.0.0.1:1\"\nshards = [\"a/x\"]\n";
    let known = TargetInventory::parse(text)?.known_services();
    assert!(known.is_err_and(|err| err.to_string() == "a/x is not a shard's name"));
    assert!(TargetInventory::parse("[[service]]\nname = 1").is_err());
    Ok(())
}
