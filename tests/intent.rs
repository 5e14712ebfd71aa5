//! Desired state from the operators' inventory and rules: targets leave and return while answers
//! stay complete.

mod support;

use std::cell::Cell;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use hawthorn_daemon::request::status::DriftReport;
use hawthorn_daemon::request::status::FleetReport;
use hawthorn_standin::check;
use hawthorn_standin::target::TargetControl;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::CallerOutcome;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::WAIT_TIMEOUT;
use support::fleet::is_complete;
use support::wire;

/// Replicas of shard `agent-desk/00`, in two zones.
const FIRST: &str = "agent-desk-00";
const SECOND: &str = "agent-desk-01";

/// The host that owns [`FIRST`], as the only one in its zone.
const FIRST_OWNER: usize = 0;

/// How long a target takes to load after it was off.
const COLD_START: Duration = Duration::from_millis(1_500);

/// Time after which a target that was ordered to leave receives no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Pause between two rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

async fn start() -> TestResult<TestFleet> {
    let mut options = FleetOptions::small();
    options.deployment.cold_start = COLD_START;
    let fleet = TestFleet::start_unready(options).await?;
    for target in &fleet.deployment.targets {
        target.standin.control().skip_cold_start();
    }
    fleet.wait_until_ready().await?;
    Ok(fleet)
}

fn control<'f>(fleet: &'f TestFleet, name: &str) -> TestResult<&'f TargetControl> {
    let target = fleet.deployment.target(name).ok_or("no such target")?;
    Ok(target.standin.control())
}

/// The inventory, with one target marked as spare hardware.
fn inventory_with_spare(fleet: &TestFleet, name: &str) -> String {
    let line = format!("name = \"{name}\"\n");
    fleet.deployment.inventory_toml().replace(&line, &format!("{line}spare = true\n"))
}

fn rule(name: &str, target: &str, wanted: DesiredState) -> String {
    format!(
        "[[rule]]\nname = \"{name}\"\nmatch = {{ target = \"{target}\" }}\n\
         wanted = \"{wanted}\"\nreason = \"cooling is replaced\"\n\n"
    )
}

fn rules_with(fleet: &TestFleet, rules: &[String]) -> String {
    format!("{}{}", fleet.deployment.rules_toml(), rules.concat())
}

/// Applies the next revision at all daemons.
async fn edit(fleet: &TestFleet, base: u64, inventory: String, rules: String) -> TestResult {
    let proposed = ProposedEdit {
        base,
        edit_id: format!("edit-{base}"),
        author: "test".into(),
        changed_at: 0,
        inventory,
        rules,
    };
    let outcome = edit::edit(&fleet.store(), &proposed, &edit::Options::default()).await?;
    assert!(matches!(outcome, edit::Outcome::Applied { .. }), "{outcome:?}");
    fleet.wait_for_revision(base + 1).await
}

/// Waits until a condition holds.
async fn wait_for(what: &str, condition: impl Fn() -> bool) -> TestResult {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(format!("timed out waiting for {what}").into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Waits until no host reports drift between desired and actual state.
async fn wait_until_settled(fleet: &TestFleet) -> TestResult {
    for index in 0..fleet.daemons.len() {
        fleet.wait_for(index, "no drift", |report| report.drift.is_empty()).await?;
    }
    Ok(())
}

/// Queries the hosts in turn while `scenario` runs and fails unless all answers are complete.
/// Returns the scenario's result.
async fn with_queries<T>(
    fleet: &TestFleet,
    scenario: impl Future<Output = TestResult<T>>,
) -> TestResult<T> {
    let is_done = Cell::new(false);
    let queries = async {
        let mut sent = 0;
        while !is_done.get() {
            for index in 0..fleet.daemons.len() {
                let answer = fleet.send(index, fleet.query("agent-desk")).await?;
                let succeeded = answer.outcome == CallerOutcome::Answer && is_complete(&answer);
                if !succeeded {
                    let mut answer = answer;
                    answer.matches.clear();
                    let logs = fleet.daemons.iter().flat_map(support::daemon::DaemonHost::log);
                    let events: Vec<String> = logs.filter(|line| line.contains(" E")).collect();
                    let logs = events.join("\n");
                    return Err(format!("query {sent} to {index}: {answer:?}\n{logs}").into());
                }
                sent += 1;
            }
            tokio::time::sleep(QUERY_INTERVAL).await;
        }
        TestResult::Ok(sent)
    };
    let scenario = async {
        let result = scenario.await?;
        is_done.set(true);
        TestResult::Ok(result)
    };
    let (sent, result) = tokio::try_join!(queries, scenario)?;
    assert!(sent > 0, "queries were sent");
    Ok(result)
}

/// Checks all invariants, with [`LEAVING_GRACE`] as the limit for work at leaving targets.
fn check_invariants(fleet: &TestFleet) -> TestResult {
    fleet.check()?;
    let options =
        check::Options { drain_grace: LEAVING_GRACE, corpora: fleet.deployment.corpora.clone() };
    let violations = check::check(&fleet.history.records(), &options);
    assert!(violations.is_empty(), "{violations:?}");
    Ok(())
}

fn is_healthy(report: &FleetReport) -> bool {
    report.alarms.is_empty() && report.uncovered.is_empty()
}

fn drift_of<'r>(report: &'r FleetReport, target: &str) -> Option<&'r DriftReport> {
    report.drift.iter().find(|drift| drift.target == target)
}

/// A spare target is one that operators switched off to save power. No answer is incomplete while
/// it leaves, and once it has lost power no host reports drift, an alarm, a lost target or a shard
/// without a replica.
#[tokio::test]
async fn a_spare_target_is_off_without_alarms_or_missing_shards() -> TestResult {
    let fleet = start().await?;
    let spare = control(&fleet, SECOND)?;
    with_queries(&fleet, async {
        let inventory = inventory_with_spare(&fleet, SECOND);
        edit(&fleet, 1, inventory, fleet.deployment.rules_toml()).await?;
        wait_for("off", || spare.desired_state() == DesiredState::Off).await?;
        wait_until_settled(&fleet).await?;
        spare.set_down(true);
        // Longer than the interval at which a target that is off is probed.
        tokio::time::sleep(Duration::from_secs(7)).await;
        Ok(())
    })
    .await?;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let report = fleet.status(index).await?;
        assert!(is_healthy(&report) && report.drift.is_empty(), "{report:?}");
        assert_eq!(report.wanted.get("off"), Some(&1));
        assert_eq!(daemon.logged("E400"), 0, "{}", daemon.log_tail());
    }
    let path = format!("/v1/explain?target={SECOND}");
    let (_, text) = wire::get(fleet.daemons[0].caller, &path).await?;
    assert!(text.contains("spare"), "{text}");
    check_invariants(&fleet)
}

/// Rules drain a shard's serving target and start its spare replica. If the drained target left at
/// once, every answer would lack the shard while the spare loads. It must serve until the spare is
/// warm, then receive no new work, and no request in flight may be interrupted.
#[tokio::test]
async fn a_drained_target_leaves_after_its_replacement_is_warm() -> TestResult {
    let fleet = start().await?;
    let (first, second) = (control(&fleet, FIRST)?, control(&fleet, SECOND)?);
    let inventory = inventory_with_spare(&fleet, SECOND);
    edit(&fleet, 1, inventory.clone(), fleet.deployment.rules_toml()).await?;
    wait_for("off", || second.desired_state() == DesiredState::Off).await?;
    wait_until_settled(&fleet).await?;
    let rules = rules_with(
        &fleet,
        &[
            rule("repairs", FIRST, DesiredState::Drain),
            rule("stand-by-power", SECOND, DesiredState::Serve),
        ],
    );
    with_queries(&fleet, async {
        edit(&fleet, 2, inventory, rules).await?;
        let held = fleet.wait_for(FIRST_OWNER, "the drain to be held", |report| {
            let drift = drift_of(report, FIRST);
            drift.is_some_and(|drift| drift.held_for.as_deref() == Some("agent-desk/00"))
        });
        held.await?;
        wait_for("the replacement to start", || second.desired_state() == DesiredState::Serve)
            .await?;
        wait_for("the target to drain", || {
            let is_warm = second.phase() == TargetPhase::Ready;
            let leaves = first.desired_state() != DesiredState::Serve;
            assert!(is_warm || !leaves, "{FIRST} left before {SECOND} was warm");
            leaves
        })
        .await?;
        let arrived = second.counters().arrived;
        wait_for("requests at the replacement", || second.counters().arrived > arrived).await?;
        wait_until_settled(&fleet).await?;
        // Long enough to observe work sent to the drained target after its grace period.
        tokio::time::sleep(LEAVING_GRACE + Duration::from_secs(1)).await;
        Ok(())
    })
    .await?;
    assert_eq!(first.phase(), TargetPhase::Draining);
    let path = format!("/v1/explain?target={FIRST}");
    let (_, text) = wire::get(fleet.daemons[1].caller, &path).await?;
    assert!(text.contains("repairs") && text.contains("cooling is replaced"), "{text}");
    check_invariants(&fleet)
}

/// A standby target would reject work sent to it, so it receives none, but it stays on, connected
/// and probed: if it went cold, it could not serve as soon as a rule requires it.
#[tokio::test]
async fn a_standby_target_stays_warm_and_receives_no_work() -> TestResult {
    let fleet = start().await?;
    let second = control(&fleet, SECOND)?;
    let (inventory, plain) = (fleet.deployment.inventory_toml(), fleet.deployment.rules_toml());
    let standby = rules_with(&fleet, &[rule("reserve", SECOND, DesiredState::Standby)]);
    with_queries(&fleet, async {
        edit(&fleet, 1, inventory.clone(), standby).await?;
        wait_for("standby", || second.phase() == TargetPhase::Standby).await?;
        wait_until_settled(&fleet).await?;
        let arrived = second.counters().arrived;
        tokio::time::sleep(LEAVING_GRACE).await;
        assert_eq!(second.counters().arrived, arrived, "a standby target received work");
        assert!(second.counters().connections > 0, "a standby target is connected");
        edit(&fleet, 2, inventory, plain).await?;
        wait_for("work again", || second.counters().arrived > arrived).await
    })
    .await?;
    wait_until_settled(&fleet).await?;
    check_invariants(&fleet)
}

/// A target is to be drained for repairs, but its agent has crashed and ignores the order.
/// Operators who trust the rule would take down a target that still serves. It must be reported as
/// drift, once in the log, until it follows, and receive no new work in the meantime.
#[tokio::test]
async fn a_target_that_ignores_its_desired_state_is_reported_as_drift() -> TestResult {
    let fleet = start().await?;
    let first = control(&fleet, FIRST)?;
    first.set_faults(|faults| faults.ignore_intent = true);
    let rules = rules_with(&fleet, &[rule("repairs", FIRST, DesiredState::Drain)]);
    edit(&fleet, 1, fleet.deployment.inventory_toml(), rules).await?;
    let is_waiting = |report: &FleetReport| {
        drift_of(report, FIRST).is_some_and(|drift| drift.cause == "waiting")
    };
    let report = fleet.wait_for(FIRST_OWNER, "drift", is_waiting).await?;
    let drift = drift_of(&report, FIRST).ok_or("the drift was reported")?;
    assert_eq!((drift.wanted.as_str(), drift.seen.as_str()), ("drain", "ready"));
    assert!(is_healthy(&report), "{report:?}");
    let arrived = first.counters().arrived;
    with_queries(&fleet, async {
        tokio::time::sleep(LEAVING_GRACE).await;
        Ok(())
    })
    .await?;
    assert_eq!(first.counters().arrived, arrived, "a target that is to drain received work");
    let gauge = fleet.metric(FIRST_OWNER, "hawthorn_gauge", "name=\"drift\"").await?;
    assert_eq!(gauge, 1.0);
    let owner = &fleet.daemons[FIRST_OWNER];
    let logged = owner
        .log()
        .into_iter()
        .filter(|line| line.contains("E403") && line.contains(FIRST) && line.ends_with("waiting"));
    assert_eq!(logged.count(), 1, "{}", owner.log_tail());
    let at = owner.caller.to_string();
    let page = run(&["status", "--at", &at])?;
    let text = String::from_utf8_lossy(&page.stdout);
    assert!(text.contains(&format!("drift: {FIRST} is wanted drain and is ready")), "{text}");
    first.set_faults(|faults| faults.ignore_intent = false);
    wait_until_settled(&fleet).await?;
    assert_eq!(first.phase(), TargetPhase::Draining);
    check_invariants(&fleet)
}

fn run(arguments: &[&str]) -> TestResult<Output> {
    Ok(Command::new(env!("CARGO_BIN_EXE_hawthornroute")).args(arguments).output()?)
}

struct RejectedCase {
    name: &'static str,
    inventory: String,
    rules: String,
    fault: &'static str,
}

fn write_texts(directory: &Path, case: &RejectedCase) -> TestResult {
    std::fs::write(directory.join("inventory.toml"), &case.inventory)?;
    std::fs::write(directory.join("rules.toml"), &case.rules)?;
    Ok(())
}

/// Guards against a rule that matches too much and switches off every target of a shard, which
/// every answer would lack from then on. `apply` must reject, by its exit code, whatever `check`
/// rejects, and nothing in the fleet may change.
#[tokio::test]
async fn apply_rejects_what_check_rejects() -> TestResult {
    let fleet = start().await?;
    let inventory = fleet.deployment.inventory_toml();
    let rules = fleet.deployment.rules_toml();
    let case = |name, inventory: &str, rules: &str, fault| RejectedCase {
        name,
        inventory: inventory.to_owned(),
        rules: rules.to_owned(),
        fault,
    };
    let too_broad = rules_with(&fleet, &[rule("too-broad", "agent-desk-0*", DesiredState::Off)]);
    let cases = [
        case("a shard without a target", &inventory, &too_broad, "no-serving-replica"),
        case("an unknown key", &inventory, &format!("tint = 1\n{rules}"), "unknown-key"),
        case("a lost zone", &inventory.replacen("kurasini", "kurasin", 1), &rules, "dangling-name"),
        case("not TOML", "[[", &rules, "syntax"),
    ];
    let directory = tempfile::tempdir()?;
    let path = directory.path().to_str().ok_or("a temporary path is UTF-8")?;
    let platform = fleet.deployment.platform.address().to_string();
    for case in cases {
        write_texts(directory.path(), &case)?;
        let apply = ["apply", "--platform", &platform, "--author", "test", "--base", "1", path];
        for arguments in [&["check", path][..], &apply] {
            let output = run(arguments)?;
            let text = String::from_utf8_lossy(&output.stdout);
            assert_eq!(output.status.code(), Some(1), "{}: {arguments:?}: {text}", case.name);
            assert!(text.contains(case.fault), "{}: {arguments:?}: {text}", case.name);
        }
        let current = edit::current(&fleet.store()).await?.ok_or("a revision is in force")?;
        assert_eq!(current.revision, 1, "{}", case.name);
    }
    for index in 0..fleet.daemons.len() {
        let report = fleet.status(index).await?;
        assert_eq!(report.configuration.revision.0, 1);
        assert!(is_healthy(&report) && report.drift.is_empty(), "{report:?}");
    }
    fleet.check()
}
