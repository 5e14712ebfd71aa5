//! The fleet follows the operators' inventory and rules: targets leave and come
//! back, and what callers see stays whole.

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

/// Both hold `agent-desk/00`, in two zones.
const FIRST: &str = "agent-desk-00";
const SECOND: &str = "agent-desk-01";

/// The host that owns [`FIRST`]: the only one of its zone.
const FIRST_OWNER: usize = 0;

/// How long a target that was off loads, here.
const COLD_START: Duration = Duration::from_millis(1_500);

/// Nothing new reaches a target so long after it was told to leave.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Between two queries to one host.
const QUERY_GAP: Duration = Duration::from_millis(10);

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

/// Brings the next revision into force everywhere.
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

/// Waits until a target is in a state that passes.
async fn until(what: &str, passes: impl Fn() -> bool) -> TestResult {
    let began = Instant::now();
    while !passes() {
        if began.elapsed() > WAIT_TIMEOUT {
            return Err(format!("{what} did not come").into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Waits until every host finds all its targets as wanted.
async fn until_settled(fleet: &TestFleet) -> TestResult {
    for index in 0..fleet.daemons.len() {
        fleet.wait_for(index, "no drift", |report| report.drift.is_empty()).await?;
    }
    Ok(())
}

/// Queries every host, one after the other, while `story` runs; all answers
/// must be whole. Gives what the story gave.
async fn queried<T>(
    fleet: &TestFleet,
    story: impl Future<Output = TestResult<T>>,
) -> TestResult<T> {
    let is_over = Cell::new(false);
    let queries = async {
        let mut sent = 0;
        while !is_over.get() {
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
            tokio::time::sleep(QUERY_GAP).await;
        }
        TestResult::Ok(sent)
    };
    let story = async {
        let result = story.await?;
        is_over.set(true);
        TestResult::Ok(result)
    };
    let (sent, result) = tokio::try_join!(queries, story)?;
    assert!(sent > 0, "queries were sent");
    Ok(result)
}

/// All promises, with a leaving target left alone within [`LEAVING_GRACE`].
fn check_promises(fleet: &TestFleet) -> TestResult {
    fleet.check()?;
    let options =
        check::Options { leaving_grace: LEAVING_GRACE, corpora: fleet.deployment.corpora.clone() };
    let broken = check::check(&fleet.history.records(), &options);
    assert!(broken.is_empty(), "{broken:?}");
    Ok(())
}

fn is_quiet(report: &FleetReport) -> bool {
    report.alarms.is_empty() && report.uncovered.is_empty()
}

fn drift_of<'r>(report: &'r FleetReport, target: &str) -> Option<&'r DriftReport> {
    report.drift.iter().find(|drift| drift.target == target)
}

/// Operators wake to a page of alarms about hardware that they had switched off
/// to save power, or callers find holes where it used to serve. A spare target
/// is off on purpose: it leaves without a hole, then loses its power, and no
/// host reports drift, an alarm, a lost target or a shard without a replica.
#[tokio::test]
async fn a_spare_target_is_off_without_alarms_or_holes() -> TestResult {
    let fleet = start().await?;
    let spare = control(&fleet, SECOND)?;
    queried(&fleet, async {
        let inventory = inventory_with_spare(&fleet, SECOND);
        edit(&fleet, 1, inventory, fleet.deployment.rules_toml()).await?;
        until("off", || spare.wanted() == DesiredState::Off).await?;
        until_settled(&fleet).await?;
        spare.set_down(true);
        // Longer than a target that is off is left unasked.
        tokio::time::sleep(Duration::from_secs(7)).await;
        Ok(())
    })
    .await?;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let report = fleet.status(index).await?;
        assert!(is_quiet(&report) && report.drift.is_empty(), "{report:?}");
        assert_eq!(report.wanted.get("off"), Some(&1));
        assert_eq!(daemon.logged("E400"), 0, "{}", daemon.log_tail());
    }
    let path = format!("/v1/explain?target={SECOND}");
    let (_, text) = wire::get(fleet.daemons[0].caller, &path).await?;
    assert!(text.contains("spare"), "{text}");
    check_promises(&fleet)
}

/// A rule swaps two targets of a shard: the one that serves is to drain for
/// repairs, the spare one is to take over. If the first left at once, every
/// answer would have a hole while the spare one loads. It must go on until the
/// other is warm, then get nothing new; nobody's request may be cut off.
#[tokio::test]
async fn a_drained_target_leaves_after_its_replacement_is_warm() -> TestResult {
    let fleet = start().await?;
    let (first, second) = (control(&fleet, FIRST)?, control(&fleet, SECOND)?);
    let inventory = inventory_with_spare(&fleet, SECOND);
    edit(&fleet, 1, inventory.clone(), fleet.deployment.rules_toml()).await?;
    until("off", || second.wanted() == DesiredState::Off).await?;
    until_settled(&fleet).await?;
    let rules = rules_with(
        &fleet,
        &[
            rule("repairs", FIRST, DesiredState::Drain),
            rule("stand-by-power", SECOND, DesiredState::Serve),
        ],
    );
    queried(&fleet, async {
        edit(&fleet, 2, inventory, rules).await?;
        let held = fleet.wait_for(FIRST_OWNER, "the hold", |report| {
            let drift = drift_of(report, FIRST);
            drift.is_some_and(|drift| drift.held_for.as_deref() == Some("agent-desk/00"))
        });
        held.await?;
        until("the replacement's start", || second.wanted() == DesiredState::Serve).await?;
        until("the drain", || {
            let is_warm = second.phase() == TargetPhase::Ready;
            let leaves = first.wanted() != DesiredState::Serve;
            assert!(is_warm || !leaves, "{FIRST} left before {SECOND} was warm");
            leaves
        })
        .await?;
        let arrived = second.counters().arrived;
        until("work at the replacement", || second.counters().arrived > arrived).await?;
        until_settled(&fleet).await?;
        // So long that work sent to the drained target after its grace would show.
        tokio::time::sleep(LEAVING_GRACE + Duration::from_secs(1)).await;
        Ok(())
    })
    .await?;
    assert_eq!(first.phase(), TargetPhase::Draining);
    let path = format!("/v1/explain?target={FIRST}");
    let (_, text) = wire::get(fleet.daemons[1].caller, &path).await?;
    assert!(text.contains("repairs") && text.contains("cooling is replaced"), "{text}");
    check_promises(&fleet)
}

/// A target on standby is asked for nothing, yet answers the moment a rule
/// wants it: it stays on, connected and probed. If it got work meanwhile it
/// would refuse it; if it went cold, the rule would come into force too late.
#[tokio::test]
async fn a_standby_target_is_kept_warm_and_takes_no_work() -> TestResult {
    let fleet = start().await?;
    let second = control(&fleet, SECOND)?;
    let (inventory, plain) = (fleet.deployment.inventory_toml(), fleet.deployment.rules_toml());
    let standby = rules_with(&fleet, &[rule("reserve", SECOND, DesiredState::Standby)]);
    queried(&fleet, async {
        edit(&fleet, 1, inventory.clone(), standby).await?;
        until("standby", || second.phase() == TargetPhase::Standby).await?;
        until_settled(&fleet).await?;
        let arrived = second.counters().arrived;
        tokio::time::sleep(LEAVING_GRACE).await;
        assert_eq!(second.counters().arrived, arrived, "work for a standby target");
        assert!(second.counters().connections > 0, "a standby target is connected");
        edit(&fleet, 2, inventory, plain).await?;
        until("work again", || second.counters().arrived > arrived).await
    })
    .await?;
    until_settled(&fleet).await?;
    check_promises(&fleet)
}

/// A target is to be repaired, its agent has crashed, and orders have no effect.
/// Operators who believe the rule open the cabinet of a target that still
/// serves. It must show as drift, once in the log, until it follows, and get no
/// new work meanwhile.
#[tokio::test]
async fn a_target_that_ignores_its_orders_shows_as_drift() -> TestResult {
    let fleet = start().await?;
    let first = control(&fleet, FIRST)?;
    first.set_faults(|faults| faults.ignore_intent = true);
    let rules = rules_with(&fleet, &[rule("repairs", FIRST, DesiredState::Drain)]);
    edit(&fleet, 1, fleet.deployment.inventory_toml(), rules).await?;
    let is_waiting = |report: &FleetReport| {
        drift_of(report, FIRST).is_some_and(|drift| drift.cause == "waiting")
    };
    let report = fleet.wait_for(FIRST_OWNER, "drift", is_waiting).await?;
    let drift = drift_of(&report, FIRST).ok_or("it was there")?;
    assert_eq!((drift.wanted.as_str(), drift.seen.as_str()), ("drain", "ready"));
    assert!(is_quiet(&report), "{report:?}");
    let arrived = first.counters().arrived;
    queried(&fleet, async {
        tokio::time::sleep(LEAVING_GRACE).await;
        Ok(())
    })
    .await?;
    assert_eq!(first.counters().arrived, arrived, "work for a target that is to leave");
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
    until_settled(&fleet).await?;
    assert_eq!(first.phase(), TargetPhase::Draining);
    check_promises(&fleet)
}

fn run(arguments: &[&str]) -> TestResult<Output> {
    Ok(Command::new(env!("CARGO_BIN_EXE_hawthornroute")).args(arguments).output()?)
}

struct RefusedCase {
    name: &'static str,
    inventory: String,
    rules: String,
    fault: &'static str,
}

fn write_texts(directory: &Path, case: &RefusedCase) -> TestResult {
    std::fs::write(directory.join("inventory.toml"), &case.inventory)?;
    std::fs::write(directory.join("rules.toml"), &case.rules)?;
    Ok(())
}

/// One broad rule, written in a hurry, switches off every target of a shard, and
/// from then on every answer has a hole. What `check` refuses `apply` must
/// refuse too, by its exit code, and nothing in the fleet may change.
#[tokio::test]
async fn what_check_refuses_apply_refuses_and_nothing_changes() -> TestResult {
    let fleet = start().await?;
    let inventory = fleet.deployment.inventory_toml();
    let rules = fleet.deployment.rules_toml();
    let case = |name, inventory: &str, rules: &str, fault| RefusedCase {
        name,
        inventory: inventory.to_owned(),
        rules: rules.to_owned(),
        fault,
    };
    let hurried = rules_with(&fleet, &[rule("hurried", "agent-desk-0*", DesiredState::Off)]);
    let cases = [
        case("a shard without a target", &inventory, &hurried, "no-serving-replica"),
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
        assert!(is_quiet(&report) && report.drift.is_empty(), "{report:?}");
    }
    fleet.check()
}
