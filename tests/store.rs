//! Faults of the platform's store: outages, lost answers, a restored backup, and concurrent edits.

mod support;

use std::time::Duration;

use hawthorn_standin::platform::StoreOutage;
use hawthorn_store::edit;
use hawthorn_store::edit::history;
use hawthorn_types::CallerOutcome;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::RefusalReason;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;

/// Limit for an open watch in the test that restores a backup.
const SHORT_WATCH: Duration = Duration::from_millis(500);

fn runs(fleet: &TestFleet) -> u64 {
    fleet.deployment.targets.iter().map(|target| target.standin.control().counters().runs).sum()
}

fn rules(fleet: &TestFleet, note: &str) -> String {
    format!("{}# {note}\n", fleet.deployment.rules_toml())
}

/// A host keeps no state on disk, so when it starts during a store outage it must load the revision
/// in force from its peers, and be ready only once it has it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_that_starts_without_the_store_loads_from_its_peers() -> TestResult {
    for outage in [StoreOutage::Unavailable, StoreOutage::Hang] {
        let mut fleet = TestFleet::start(FleetOptions::small()).await?;
        fleet.apply(1, "second", &rules(&fleet, "second")).await?;
        fleet.wait_for_revision(2).await?;
        fleet.deployment.platform.control().set_outage(outage);
        fleet.start_daemon(fleet.spec("kurasini-2", "kurasini"))?;
        fleet.wait_until_ready().await?;
        let newcomer = fleet.daemons.len() - 1;
        let answer = fleet.send(newcomer, fleet.query("agent-desk")).await?;
        assert!(is_complete(&answer), "{outage:?}: {answer:?}");
        assert_eq!(answer.configuration.revision.0, 2, "{outage:?}");
        fleet.check()?;
    }
    Ok(())
}

/// While the store is unavailable to every host, queries continue to be answered. Non-idempotent
/// requests cannot be claimed: they are rejected as not run, at once or at their deadline, with
/// `retry_after_ms`. The same request id runs once the store is available again.
#[tokio::test]
async fn queries_continue_and_requests_are_rejected_without_the_store() -> TestResult {
    for outage in [StoreOutage::Unavailable, StoreOutage::Hang] {
        let fleet = TestFleet::start(FleetOptions::small()).await?;
        let platform = fleet.deployment.platform.control();
        platform.set_outage(outage);
        let request = fleet.once("agent-desk", KEY_SPACE / 3);
        for index in 0..fleet.daemons.len() {
            let answer = fleet.send(index, fleet.query("agent-desk")).await?;
            assert!(is_complete(&answer), "{outage:?}: {answer:?}");
        }
        let rejected = fleet.send_once(0, request.clone()).await?;
        let expected = CallerOutcome::NotRun(RefusalReason::ClaimUnavailable);
        assert_eq!(rejected.outcome, expected, "{outage:?}: {rejected:?}");
        assert!(rejected.retry_after_ms.is_some(), "{outage:?}: {rejected:?}");
        let label = "reason=\"claim-unavailable\"";
        assert!(fleet.metric(0, "hawthorn_refusals", label).await? >= 1.0, "{outage:?}");
        assert_eq!(runs(&fleet), 0, "{outage:?}");
        platform.set_outage(StoreOutage::None);
        let ran = fleet.send_until_run(0, request).await?;
        assert_eq!(ran.outcome, CallerOutcome::Answer, "{outage:?}");
        assert_eq!(runs(&fleet), 1, "{outage:?}");
        fleet.check()?;
    }
    Ok(())
}

/// The store applies an edit but its answer is lost, or it answers that it is unavailable. Without
/// the edit's id, the operator would apply it a second time, or get a conflict with their own edit.
/// By its id it is reported as applied, and the history holds it once.
#[tokio::test]
async fn an_edit_whose_answer_is_lost_is_applied_once() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let platform = fleet.deployment.platform.control();
    for (base, lost, unavailable) in [(1, 1, 0), (2, 0, 1), (3, 2, 2)] {
        platform.set_faults(|faults| {
            faults.lost_write_answers = lost;
            faults.applied_unavailable = unavailable;
        });
        let edit_id = format!("edit-{base}");
        let outcome = fleet.apply(base, &edit_id, &rules(&fleet, &edit_id)).await?;
        platform.set_faults(|faults| {
            faults.lost_write_answers = 0;
            faults.applied_unavailable = 0;
        });
        assert_eq!(outcome, edit::Outcome::Applied { revision: base + 1 });
        fleet.wait_for_revision(base + 1).await?;
    }
    let store = fleet.store();
    let current = edit::current(&store).await?.ok_or("a configuration is in force")?;
    assert_eq!((current.revision, current.edit_id.as_str()), (4, "edit-3"));
    assert_eq!(history::list(&store).await?, [1, 2, 3]);
    for (revision, edit_id) in [(2, "edit-1"), (3, "edit-2")] {
        let kept = history::read(&store, revision).await?.ok_or("it was kept")?;
        assert_eq!(kept.edit_id, edit_id);
    }
    fleet.check()
}

/// Guards against an edit that silently overwrites another when two operators edit the same
/// revision at once. Exactly one must be applied; the other operator gets a conflict with the
/// revision in force, applies on top of it, and the history keeps both edits.
#[tokio::test]
async fn one_of_two_concurrent_edits_is_a_conflict() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let platform = fleet.deployment.platform.control();
    for (base, lost) in [(1, 0), (3, 1)] {
        platform.set_faults(|faults| faults.lost_write_answers = lost);
        let names = [format!("one-{base}"), format!("other-{base}")];
        let texts = [rules(&fleet, &names[0]), rules(&fleet, &names[1])];
        let (one, other) = tokio::join!(
            fleet.apply(base, &names[0], &texts[0]),
            fleet.apply(base, &names[1], &texts[1]),
        );
        platform.set_faults(|faults| faults.lost_write_answers = 0);
        let outcomes = [one?, other?];
        let applied = edit::Outcome::Applied { revision: base + 1 };
        let applied_index = outcomes.iter().position(|outcome| *outcome == applied);
        let applied_index =
            applied_index.ok_or_else(|| format!("no edit was applied: {outcomes:?}"))?;
        let edit::Outcome::Conflict { current: Some(current) } = &outcomes[1 - applied_index]
        else {
            return Err(format!("no conflict: {outcomes:?}").into());
        };
        assert_eq!((current.revision, &current.edit_id), (base + 1, &names[applied_index]));
        let retry =
            fleet.apply(base + 1, &names[1 - applied_index], &texts[1 - applied_index]).await?;
        assert_eq!(retry, edit::Outcome::Applied { revision: base + 2 });
        fleet.wait_for_revision(base + 2).await?;
        let kept = history::read(&fleet.store(), base + 1).await?.ok_or("it was kept")?;
        assert_eq!(kept.edit_id, names[applied_index]);
    }
    fleet.check()
}

/// The store is restored from a backup older than the last edit. Hosts that followed it would
/// switch targets on again that were removed for repairs. They keep the newer revision and raise an
/// alarm, and a host that starts afterwards loads the newer revision from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_reject_a_store_that_was_restored_to_an_older_revision() -> TestResult {
    let mut options = FleetOptions::small();
    // A watch cannot detect that the store was reverted, so hosts also read the key after every few
    // watches. Short watches make that happen within seconds.
    options.deployment.platform.watch_limit = SHORT_WATCH;
    let mut fleet = TestFleet::start(options).await?;
    let platform = fleet.deployment.platform.control().clone();
    let backup = platform.backup();
    fleet.apply(1, "second", &rules(&fleet, "second")).await?;
    fleet.wait_for_revision(2).await?;
    platform.restore(backup);
    for index in 0..fleet.daemons.len() {
        let report = fleet.wait_for(index, "the alarm", |report| !report.alarms.is_empty()).await?;
        assert_eq!(report.configuration.revision.0, 2, "{report:?}");
    }
    fleet.start_daemon(fleet.spec("kurasini-2", "kurasini"))?;
    fleet.wait_until_ready().await?;
    for index in 0..fleet.daemons.len() {
        let answer = fleet.send(index, fleet.query("agent-desk")).await?;
        assert!(is_complete(&answer), "{answer:?}");
        assert_eq!(answer.configuration.revision.0, 2, "host {index}: {answer:?}");
    }
    fleet.check()
}
