//! Reconciler rounds in one process with a simulated clock.

use std::error::Error;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_daemon::owner::snapshot::OwnerSnapshot;
use hawthorn_daemon::owner::snapshot::TargetSnapshot;
use hawthorn_daemon::process::intent::Reconciler;
use hawthorn_daemon::process::intent::RoundInputs;
use hawthorn_daemon::process::intent::RoundOutcome;
use hawthorn_daemon::version::config;
use hawthorn_daemon::version::config::ConfigInForce;
use hawthorn_daemon::version::owned::OwnedGroups;
use hawthorn_fleet::SlotShare;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;
use serde_json::json;

type TestResult<T = ()> = Result<T, Box<dyn Error>>;

/// Upper bound of the buckets of a small fleet's groups.
const BUCKETS: u16 = 64;

const SECOND: Duration = Duration::from_secs(1);

/// `a` is owned by this host; `b` holds the same shard in another zone.
fn fleet(revision: u64, wanted_of_a: &str) -> TestResult<Arc<ConfigInForce>> {
    let mut inventory = String::from(
        "[[service]]\nname = \"desk\"\nshards = 1\nslots = 2\nconnections = 25\n\
         cold_start = \"30s\"\n",
    );
    for (name, zone, port) in [("a", "here", 1), ("b", "there", 2)] {
        write!(
            inventory,
            "[[zone]]\nname = \"{zone}\"\nregion = \"r\"\n[[target]]\nname = \"{name}\"\n\
             asset = \"{name}\"\nservice = \"desk\"\nzone = \"{zone}\"\n\
             address = \"10.0.0.{port}:7100\"\nshards = [\"desk/00\"]\n"
        )?;
    }
    let rules = format!(
        "[[rule]]\nname = \"r\"\nmatch = {{ target = \"a\" }}\nwanted = \"{wanted_of_a}\"\n\
         reason = \"test\"\n"
    );
    let document = json!({
        "revision": revision, "edit_id": "e", "author": "test", "changed_at": 0,
        "inventory": inventory, "rules": rules,
    });
    Ok(config::parse(&document.to_string())?)
}

/// A reconciler of one host and its inputs.
struct TestReconciler {
    reconciler: Reconciler,
    owned: OwnedGroups,
    phase: Option<TargetPhase>,
    ready_elsewhere: u32,
}

impl TestReconciler {
    fn new() -> Self {
        let shares = (0..BUCKETS).map(|bucket| (bucket, SlotShare::Full));
        Self {
            reconciler: Reconciler::default(),
            owned: OwnedGroups::new("here", shares),
            phase: Some(TargetPhase::Ready),
            ready_elsewhere: 1,
        }
    }

    fn round(&mut self, config: &ConfigInForce, second: u32) -> RoundOutcome {
        let record = TargetSnapshot { target: "a".into(), phase: self.phase, in_flight: 0 };
        let unknown = TargetSnapshot { target: "unknown".into(), phase: None, in_flight: 0 };
        let ready = self.ready_elsewhere;
        self.reconciler.round(&RoundInputs {
            catalog: &config.catalog,
            owned: &self.owned,
            observed: &OwnerSnapshot { targets: vec![record, unknown] },
            ready_elsewhere: &|_, _| ready,
            now: SECOND * second,
        })
    }
}

/// Guards against a reconciler that trusts the inventory alone: if the other zone is partitioned,
/// or its replica is still loading, while a rule switches this target off, it would switch off the
/// last target of the shard, and every answer would be incomplete.
#[test]
fn target_is_held_until_another_zone_has_one_ready() -> TestResult {
    let config = fleet(2, "off")?;
    let mut test = TestReconciler { ready_elsewhere: 0, ..TestReconciler::new() };
    for second in 0..100 {
        let outcome = test.round(&config, second);
        assert!(outcome.round.held.contains("a") && outcome.round.orders.is_empty(), "{outcome:?}");
        assert_eq!(outcome.drift[0].cause, DriftCause::HeldForShard);
        let shard = outcome.drift[0].held_for.as_ref().map(|shard| shard.0.as_str());
        assert_eq!(shard, Some("desk/00"));
    }
    test.ready_elsewhere = 1;
    let outcome = test.round(&config, 100);
    assert!(outcome.round.held.is_empty());
    assert_eq!(outcome.round.revision.0, 2);
    assert_eq!(outcome.round.orders[0].state, DesiredState::Drain);
    Ok(())
}

/// Guards against the same drift being logged every second, which hides other messages.
#[test]
fn drift_is_reported_once_per_cause() -> TestResult {
    let config = fleet(2, "standby")?;
    let mut test = TestReconciler::new();
    let mut new_drift = Vec::new();
    for second in 0..60 {
        let outcome = test.round(&config, second);
        new_drift.extend(outcome.new_drift.into_iter().map(|entry| entry.cause));
    }
    assert_eq!(new_drift, [DriftCause::Settling, DriftCause::OrderSent, DriftCause::Waiting]);
    test.phase = Some(TargetPhase::Standby);
    let outcome = test.round(&config, 60);
    assert!(outcome.drift.is_empty() && outcome.new_drift.is_empty(), "{outcome:?}");
    test.phase = None;
    let outcome = test.round(&config, 61);
    assert_eq!(outcome.new_drift.len(), 1, "a new drift is reported again");
    Ok(())
}

struct OwnershipCase {
    name: &'static str,
    zone: &'static str,
    orders: usize,
}

#[test]
fn only_owned_targets_get_orders() -> TestResult {
    let config = fleet(2, "standby")?;
    let cases = [
        OwnershipCase { name: "owner", zone: "here", orders: 1 },
        OwnershipCase { name: "owner elsewhere", zone: "there", orders: 0 },
    ];
    for case in cases {
        let shares = (0..BUCKETS).map(|bucket| (bucket, SlotShare::Full));
        let owned = OwnedGroups::new(case.zone, shares);
        let mut test = TestReconciler { owned, ..TestReconciler::new() };
        let outcomes = (0..8).map(|second| test.round(&config, second));
        let orders: usize = outcomes.map(|outcome| outcome.round.orders.len()).sum();
        assert_eq!(orders, case.orders, "{}", case.name);
    }
    Ok(())
}
