//! The load generator against a tiny fake tier and against stand-ins.

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
use hawthorn_standin::check::BrokenPromise;
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

/// A deployment small enough for a test.
fn small() -> DeploymentOptions {
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

/// What the fake tier does with every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FakeConduct {
    Refuse,
    ClaimEverything,
    CrossAnswers,
    Cut,
    NotSent,
}

struct FakeTier {
    conduct: FakeConduct,
    once_ids: Mutex<Vec<String>>,
}

impl FakeTier {
    fn new(conduct: FakeConduct) -> Arc<Self> {
        Arc::new(Self { conduct, once_ids: Mutex::default() })
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
        match self.conduct {
            FakeConduct::Refuse => {}
            FakeConduct::ClaimEverything => {
                let covered = vec![KeyRange::FULL];
                answer.outcome = CallerOutcome::Answer;
                answer.index_version = Some(IndexVersion(1));
                answer.coverage =
                    Some(AnswerCoverage { fraction: 1.0, covered, missing: Vec::new() });
            }
            FakeConduct::CrossAnswers => answer.request_id = Some("another".to_owned()),
            FakeConduct::Cut => return TierResponse::ConnectionLost,
            FakeConduct::NotSent => return TierResponse::NotSent,
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

struct ConductCase {
    conduct: FakeConduct,
    holds: fn(&LoadReport) -> bool,
    broken: Option<BrokenPromise>,
}

/// The report of a tier that lies must say so: a load tool that only times
/// answers would praise a tier that is quick because it searches nothing.
#[tokio::test]
async fn the_conduct_of_a_tier_shows_in_its_report() -> TestResult {
    let cases = [
        ConductCase {
            conduct: FakeConduct::Refuse,
            holds: |report| report.refused.get("queue-full") == Some(&report.offered),
            broken: None,
        },
        ConductCase {
            conduct: FakeConduct::ClaimEverything,
            holds: |report| report.complete == report.offered,
            broken: Some(BrokenPromise::OverstatedCoverage),
        },
        ConductCase {
            conduct: FakeConduct::CrossAnswers,
            holds: |report| report.answered == 0,
            broken: Some(BrokenPromise::CrossedAnswer),
        },
        ConductCase {
            conduct: FakeConduct::Cut,
            holds: |report| report.cut == report.offered,
            broken: None,
        },
        ConductCase {
            conduct: FakeConduct::NotSent,
            holds: |report| report.not_sent == report.offered,
            broken: None,
        },
    ];
    for case in cases {
        let deployment = StandinDeployment::start(small()).await?;
        let stage = DeploymentEnvironment::new(&deployment);
        let options = options(LoadScenario::Steady, &deployment);
        let tier = FakeTier::new(case.conduct);
        let report = load::run("fake", tier, &stage, None, &options).await?;
        assert!(report.offered > 0 && (case.holds)(&report), "{:?}: {report:?}", case.conduct);
        let broken: u64 = report.broken.values().sum();
        let expected = case.broken.map_or(0, |promise| report.broken_count(promise));
        assert_eq!(broken, expected, "{:?}", case.conduct);
        assert_eq!(broken > 0, case.broken.is_some(), "{:?}", case.conduct);
    }
    Ok(())
}

/// An order's answer is lost on the way and the caller sends it again: the same
/// id must go out, or no tier could tell it from a new order.
#[tokio::test]
async fn a_lost_request_is_sent_again_unchanged() -> TestResult {
    let deployment = StandinDeployment::start(small()).await?;
    let stage = DeploymentEnvironment::new(&deployment);
    let mut options = options(LoadScenario::Steady, &deployment);
    options.schedule.once_share = 1.0;
    let tier = FakeTier::new(FakeConduct::Cut);
    let report = load::run("fake", Arc::clone(&tier) as Arc<dyn QueryTier>, &stage, None, &options);
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

/// What a target measures must hold whoever asks: the naive client's answers
/// break no promise, cost no extra load, and stay within the limits of targets.
#[tokio::test]
async fn the_naive_client_is_honest_and_within_limits() -> TestResult {
    let deployment = StandinDeployment::start(small()).await?;
    let stage = DeploymentEnvironment::new(&deployment);
    let mut options = options(LoadScenario::Steady, &deployment);
    options.schedule.once_share = 0.2;
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let report = load::run("naive", naive, &stage, None, &options).await?;
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
    let deployment = StandinDeployment::start(small()).await?;
    let holds = |shards: &[u32]| shards.contains(&0);
    for target in deployment.targets.iter().filter(|target| holds(&target.shards)) {
        target.standin.control().set_wanted(DesiredState::Drain);
    }
    let stage = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::Steady, &deployment);
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let report = load::run("naive", naive, &stage, None, &options).await?;
    assert_eq!((report.complete, report.coverage_mean), (0, 0.75));
    assert_eq!(report.broken, BTreeMap::new(), "{:?}", report.broken_first);
    Ok(())
}

#[tokio::test]
async fn both_arms_of_a_comparison_get_the_same_schedule() -> TestResult {
    let deployment = StandinDeployment::start(small()).await?;
    let stage = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::Stragglers, &deployment);
    let tier = FakeTier::new(FakeConduct::Refuse);
    let naive = Arc::new(NaiveTier::of_deployment(&deployment, 1));
    let compared = load::compare(tier, naive, &stage, None, &options).await?;
    assert_eq!(compared.tier.offered, compared.baseline.offered);
    assert_eq!(compared.tier.answered, 0);
    assert!(compared.baseline.answered > 0);
    assert_eq!(compared.baseline.policy, "naive");
    Ok(())
}

#[derive(Default)]
struct FakeDaemons {
    calls: Mutex<Vec<String>>,
}

impl FakeDaemons {
    fn note(&self, call: String) -> BoxFuture<'_, ()> {
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
        self.note(format!("restart {daemon}"))
    }

    fn cut_zone(&self, cut: bool) -> BoxFuture<'_, ()> {
        self.note(format!("cut {cut}"))
    }
}

struct DaemonCase {
    scenario: LoadScenario,
    calls: &'static [&'static str],
    stops: usize,
}

#[tokio::test]
async fn daemons_are_disturbed_as_the_scenario_says() -> TestResult {
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
        let deployment = StandinDeployment::start(small()).await?;
        let stage = DeploymentEnvironment::new(&deployment);
        let options = options(case.scenario, &deployment);
        let daemons = FakeDaemons::default();
        let tier = FakeTier::new(FakeConduct::Refuse);
        load::run("fake", tier, &stage, Some(&daemons), &options).await?;
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
async fn a_scenario_that_stops_daemons_needs_control_of_them() -> TestResult {
    let deployment = StandinDeployment::start(small()).await?;
    let stage = DeploymentEnvironment::new(&deployment);
    let options = options(LoadScenario::ZoneCut, &deployment);
    let tier = FakeTier::new(FakeConduct::Refuse);
    let ran = load::run("fake", tier, &stage, None, &options).await;
    assert_eq!(ran.err(), Some(load::run::Error::NeedsDaemons(LoadScenario::ZoneCut)));
    Ok(())
}

#[tokio::test]
async fn targets_of_another_process_are_reached_by_the_inventory() -> TestResult {
    let deployment = StandinDeployment::start(small()).await?;
    let inventory = TargetInventory::parse(&deployment.inventory_toml())?;
    let stage = RemoteEnvironment::new(&inventory);
    stage.begin(LoadScenario::OneSlowTarget).await;
    assert_eq!(slow_factors(&deployment), [10.0, 1.0]);
    stage.end().await;
    assert_eq!(slow_factors(&deployment), [1.0, 1.0]);
    let naive = NaiveTier::new(inventory.known_services()?, IndexVersion(1), 1);
    let heard = naive.query(0, &everything()).await;
    let TierResponse::Answered(answer) = heard else { return Err("no answer".into()) };
    assert_eq!(answer.coverage.map(|coverage| coverage.fraction), Some(1.0));
    assert_eq!(stage.attempts(support::SERVICE).await, 4);
    assert_eq!(stage.shards(support::SERVICE), 4);
    Ok(())
}

fn slow_factors(deployment: &StandinDeployment) -> Vec<f64> {
    let first = deployment.targets.iter().take(2);
    first.map(|target| target.standin.control().faults().slow_factor).collect()
}

fn everything() -> SearchQuery {
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
fn an_inventory_with_a_malformed_shard_is_refused() -> Fallible<()> {
    let text = "[[service]]\nname = \"a\"\nshards = 1\nconnections = 1\n\
        [[target]]\nservice = \"a\"\naddress = \"127.0.0.1:1\"\nshards = [\"a/x\"]\n";
    let known = TargetInventory::parse(text)?.known_services();
    assert!(known.is_err_and(|err| err.to_string() == "a/x is not a shard's name"));
    assert!(TargetInventory::parse("[[service]]\nname = 1").is_err());
    Ok(())
}
