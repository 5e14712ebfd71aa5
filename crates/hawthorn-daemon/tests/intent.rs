//! Rounds of the reconciler in one process, on a clock of the test's own.

use std::error::Error;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_daemon::owner::seen::SeenRecord;
use hawthorn_daemon::owner::seen::SeenReport;
use hawthorn_daemon::process::intent::IntentKeeper;
use hawthorn_daemon::process::intent::RoundEnd;
use hawthorn_daemon::process::intent::RoundInputs;
use hawthorn_daemon::version::config;
use hawthorn_daemon::version::config::ConfigInForce;
use hawthorn_daemon::version::owned::OwnedGroups;
use hawthorn_fleet::SlotShare;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;
use serde_json::json;

type TestResult<T = ()> = Result<T, Box<dyn Error>>;

/// More than any bucket of a small fleet's groups.
const BUCKETS: u16 = 64;

const SECOND: Duration = Duration::from_secs(1);

/// `a` is owned here, `b` holds the same shard in another zone.
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

/// One host's keeper, and what it sees.
struct TestKeeper {
    keeper: IntentKeeper,
    owned: OwnedGroups,
    phase: Option<TargetPhase>,
    ready_there: u32,
}

impl TestKeeper {
    fn new() -> Self {
        let shares = (0..BUCKETS).map(|bucket| (bucket, SlotShare::Full));
        Self {
            keeper: IntentKeeper::default(),
            owned: OwnedGroups::new("here", shares),
            phase: Some(TargetPhase::Ready),
            ready_there: 1,
        }
    }

    fn round(&mut self, config: &ConfigInForce, second: u32) -> RoundEnd {
        let record = SeenRecord { target: "a".into(), phase: self.phase, in_flight: 0 };
        let gone = SeenRecord { target: "unknown".into(), phase: None, in_flight: 0 };
        let ready = self.ready_there;
        self.keeper.round(&RoundInputs {
            catalog: &config.catalog,
            owned: &self.owned,
            seen: &SeenReport { targets: vec![record, gone] },
            elsewhere: &|_, _| ready,
            now: SECOND * second,
        })
    }
}

/// The other zone is cut off, or its replica is still loading, while a rule
/// wants this one off. Whoever believes the inventory alone switches the last
/// target of the shard off, and every answer has a hole.
#[test]
fn a_target_is_held_until_another_zones_owner_has_one_ready() -> TestResult {
    let config = fleet(2, "off")?;
    let mut test = TestKeeper { ready_there: 0, ..TestKeeper::new() };
    for second in 0..100 {
        let end = test.round(&config, second);
        assert!(end.round.held.contains("a") && end.round.orders.is_empty(), "{end:?}");
        assert_eq!(end.drift[0].cause, DriftCause::HeldForShard);
        let shard = end.drift[0].held_for.as_ref().map(|shard| shard.0.as_str());
        assert_eq!(shard, Some("desk/00"));
    }
    test.ready_there = 1;
    let end = test.round(&config, 100);
    assert!(end.round.held.is_empty());
    assert_eq!(end.round.revision.0, 2);
    assert_eq!(end.round.orders[0].tell, DesiredState::Drain);
    Ok(())
}

/// A page of the same line every second hides the one that matters.
#[test]
fn drift_is_news_once_for_each_cause() -> TestResult {
    let config = fleet(2, "standby")?;
    let mut test = TestKeeper::new();
    let mut news = Vec::new();
    for second in 0..60 {
        let end = test.round(&config, second);
        news.extend(end.news.into_iter().map(|entry| entry.cause));
    }
    assert_eq!(news, [DriftCause::Settling, DriftCause::Told, DriftCause::Waiting]);
    test.phase = Some(TargetPhase::Standby);
    let end = test.round(&config, 60);
    assert!(end.drift.is_empty() && end.news.is_empty(), "{end:?}");
    test.phase = None;
    let end = test.round(&config, 61);
    assert_eq!(end.news.len(), 1, "drift anew is news again");
    Ok(())
}

struct OwnershipCase {
    name: &'static str,
    zone: &'static str,
    orders: usize,
}

#[test]
fn only_owned_targets_are_told_anything() -> TestResult {
    let config = fleet(2, "standby")?;
    let cases = [
        OwnershipCase { name: "owner", zone: "here", orders: 1 },
        OwnershipCase { name: "owner elsewhere", zone: "there", orders: 0 },
    ];
    for case in cases {
        let shares = (0..BUCKETS).map(|bucket| (bucket, SlotShare::Full));
        let owned = OwnedGroups::new(case.zone, shares);
        let mut test = TestKeeper { owned, ..TestKeeper::new() };
        let ends = (0..8).map(|second| test.round(&config, second));
        let orders: usize = ends.map(|end| end.round.orders.len()).sum();
        assert_eq!(orders, case.orders, "{}", case.name);
    }
    Ok(())
}
