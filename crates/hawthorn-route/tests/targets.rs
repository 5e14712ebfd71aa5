//! State of targets and zones, and selection of targets.

mod support;

use std::time::Duration;

use hawthorn_decide::latency::ServiceTimes;
use hawthorn_route::document::TargetEntry;
use hawthorn_route::hedge;
use hawthorn_route::outcome::AttemptEnd;
use hawthorn_route::placement;
use hawthorn_route::reachability;
use hawthorn_route::reachability::ZoneReachability;
use hawthorn_route::registry;
use hawthorn_route::registry::TargetChange;
use hawthorn_route::registry::TargetRegistry;
use hawthorn_route::revision::StoreRevision;
use hawthorn_route::target::ReportedLoad;
use hawthorn_route::target::TargetPhase;
use hawthorn_route::target::TargetState;

const SERVICE_TIME: Duration = Duration::from_millis(15);

fn entry(id: &str, zone: &str) -> TargetEntry {
    support::entry(id, "s", zone)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn score(state: &TargetState, now: Duration) -> Option<f64> {
    let registry = TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    let target_latency = Duration::from_millis(120);
    let view = support::view(&registry, SERVICE_TIME, target_latency, now);
    placement::score(view, state, &placement::Options::default())
}

/// Of two targets of a shard, the healthy one is preferred to one that pauses, slows down, fails,
/// is full or leaves. Between two healthy targets the zone decides.
#[test]
fn the_healthier_target_is_preferred() {
    struct Case {
        name: &'static str,
        zone: &'static str,
        impair: fn(&mut TargetState),
    }
    let cases = [
        Case { name: "in another zone", zone: "west", impair: |_| {} },
        Case {
            name: "earlier request unanswered",
            zone: "east",
            impair: |state| state.record_sent(ms(900)),
        },
        Case {
            name: "connection failed",
            zone: "east",
            impair: |state| state.record_end(ms(990), ms(995), AttemptEnd::NotSent, SERVICE_TIME),
        },
        Case {
            name: "slow",
            zone: "east",
            impair: |state| {
                (0..20).for_each(|_| {
                    state.record_end(ms(0), ms(150), AttemptEnd::Answered, SERVICE_TIME)
                })
            },
        },
        Case {
            name: "failing requests",
            zone: "east",
            impair: |state| {
                (0..5)
                    .for_each(|_| state.record_end(ms(0), ms(5), AttemptEnd::Failed, SERVICE_TIME))
            },
        },
        Case {
            name: "reports a full queue",
            zone: "east",
            impair: |state| {
                state.report_load(ReportedLoad { running: 2, waiting: 5, slots: 2, at: ms(990) })
            },
        },
        Case { name: "cold", zone: "east", impair: |state| state.cold_until = ms(2000) },
        Case {
            name: "leaving",
            zone: "east",
            impair: |state| state.phase = TargetPhase::Leaving { until: ms(2000) },
        },
    ];
    let now = ms(1000);
    let healthy = TargetState::new(entry("healthy", "east"), support::revision(1), ms(0));
    for case in cases {
        let mut impaired =
            TargetState::new(entry("impaired", case.zone), support::revision(1), ms(0));
        (case.impair)(&mut impaired);
        let (healthy, impaired) = (score(&healthy, now), score(&impaired, now));
        assert!(healthy < impaired, "{}: {healthy:?} {impaired:?}", case.name);
    }
}

/// A target that is leaving continues to serve for three seconds. It receives new requests only
/// while its service has no other target, and only for the first part of that time.
#[test]
fn a_leaving_target_receives_requests_only_for_a_short_time() {
    let mut state = TargetState::new(entry("a", "east"), support::revision(1), ms(0));
    state.phase = TargetPhase::Leaving { until: ms(1500) };
    assert!(score(&state, ms(1400)).is_some());
    assert!(score(&state, ms(1500)).is_none());
    state.phase = TargetPhase::Gone;
    assert!(score(&state, ms(1)).is_none());
}

/// Guards against requests to a target that has drained: the update that it drains may arrive
/// seconds after its report, and a host that has just started does not know since when it does.
#[test]
fn a_late_update_shortens_the_last_use_of_a_target() {
    struct Case {
        name: &'static str,
        confirmed: Option<Duration>,
        removed: bool,
        /// The last use after the update at 10 s.
        until: Duration,
    }
    let cases = [
        Case { name: "prompt", confirmed: Some(ms(9500)), removed: false, until: ms(11_500) },
        Case { name: "late", confirmed: Some(ms(8200)), removed: false, until: ms(10_900) },
        Case { name: "too late", confirmed: Some(ms(6000)), removed: false, until: ms(8700) },
        Case { name: "never confirmed", confirmed: None, removed: false, until: ms(10_000) },
        Case { name: "removed", confirmed: Some(ms(9500)), removed: true, until: ms(11_500) },
        Case { name: "removed, late", confirmed: Some(ms(8200)), removed: true, until: ms(10_900) },
        // An entry that expired while the store was out of reach.
        Case { name: "expired", confirmed: Some(ms(6000)), removed: true, until: ms(11_500) },
    ];
    let now = ms(10_000);
    for case in cases {
        let mut registry =
            TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
        registry.put(entry("a", "east"), support::revision(5), ms(0));
        registry.set_confirmed_at(case.confirmed);
        if case.removed {
            registry.remove("a", support::revision(6), now);
        } else {
            let draining = TargetEntry { draining: true, ..entry("a", "east") };
            registry.put(draining, support::revision(6), now);
        }
        let key = registry.of_service("s")[0];
        let phase = registry.get(key).expect("it is known").phase;
        assert_eq!(phase, TargetPhase::Leaving { until: case.until }, "{}", case.name);
        let before = case.until.saturating_sub(ms(1)).max(now);
        assert_eq!(registry.permit(key, before).is_ok(), before < case.until, "{}", case.name);
        assert!(registry.permit(key, case.until).is_err(), "{}", case.name);
    }
}

#[test]
fn changes_of_a_target_are_applied_by_revision() {
    struct Case {
        name: &'static str,
        apply: fn(&mut TargetRegistry) -> TargetChange,
        change: TargetChange,
        ready: usize,
    }
    fn with(change: impl Fn(&mut TargetEntry)) -> TargetEntry {
        let mut entry = entry("a", "east");
        entry.born = Some(100);
        change(&mut entry);
        entry
    }
    let cases = [
        Case {
            name: "unchanged",
            apply: |registry| registry.put(with(|_| {}), support::revision(6), ms(10)),
            change: TargetChange::None,
            ready: 1,
        },
        Case {
            name: "older revision, read late",
            apply: |registry| {
                registry.put(with(|entry| entry.draining = true), support::revision(4), ms(10))
            },
            change: TargetChange::None,
            ready: 1,
        },
        Case {
            name: "leaving",
            apply: |registry| {
                registry.put(with(|entry| entry.draining = true), support::revision(6), ms(10))
            },
            change: TargetChange::Draining,
            ready: 0,
        },
        Case {
            name: "restarted with the same id",
            apply: |registry| {
                registry.put(with(|entry| entry.born = Some(200)), support::revision(6), ms(10))
            },
            change: TargetChange::Born,
            ready: 1,
        },
        Case {
            name: "moved to another service",
            apply: |registry| {
                registry.put(with(|entry| entry.service = "t".into()), support::revision(6), ms(10))
            },
            change: TargetChange::Born,
            ready: 0,
        },
        Case {
            name: "entry removed",
            apply: |registry| registry.remove("a", support::revision(6), ms(10)),
            change: TargetChange::Removed,
            ready: 0,
        },
        Case {
            name: "older removal, read late",
            apply: |registry| registry.remove("a", support::revision(4), ms(10)),
            change: TargetChange::None,
            ready: 1,
        },
    ];
    for case in cases {
        let mut registry =
            TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
        registry.put(with(|_| {}), support::revision(5), ms(0));
        assert_eq!((case.apply)(&mut registry), case.change, "{}", case.name);
        let ready = registry.of_service("s").iter().filter_map(|key| registry.get(*key));
        let ready = ready.filter(|state| state.phase == TargetPhase::Ready).count();
        assert_eq!(ready, case.ready, "{}", case.name);
    }
}

/// Guards against new work for a draining target: the store comes back from a copy in which it is
/// still ready, until it writes its entry again.
#[test]
fn a_draining_target_is_not_ready_again_after_a_restore() {
    let draining = || TargetEntry { draining: true, ..entry("a", "east") };
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    registry.put(entry("a", "east"), support::revision(5), ms(0));
    registry.put(draining(), support::revision(9), ms(10));
    let era_1 = |number| StoreRevision::new(1, number);
    assert_eq!(registry.put(entry("a", "east"), era_1(5), ms(20)), TargetChange::None);
    assert_eq!(registry.put(draining(), era_1(7), ms(30)), TargetChange::None);
    let key = registry.of_service("s")[0];
    let phase = registry.get(key).expect("it is known").phase;
    assert!(matches!(phase, TargetPhase::Leaving { .. }), "{phase:?}");
    let lost = registry.put(entry("a", "east"), support::revision(10), ms(40));
    assert_eq!(lost, TargetChange::None, "an entry of an earlier era changes nothing");
}

/// The store is unavailable and lets the entry of a healthy target expire. The target is used again
/// when its entry returns two seconds later.
#[test]
fn a_target_returns_after_its_entry_expired() {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    registry.put(entry("a", "east"), support::revision(5), ms(0));
    registry.remove("a", support::revision(6), ms(1000));
    assert_eq!(
        registry.put(entry("a", "east"), support::revision(7), ms(3000)),
        TargetChange::Returned
    );
}

/// An address is reassigned to another service, whose target answers that the request is
/// misdirected. The old target accepts no requests, and is dropped once its entry is removed.
#[test]
fn a_target_whose_address_was_reassigned_is_dropped() {
    let mut registry =
        TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
    registry.put(entry("a", "east"), support::revision(5), ms(0));
    let key = registry.of_service("s")[0];
    let state = registry.get_mut(key).expect("it was registered");
    state.record_end(ms(0), ms(1), AttemptEnd::Misdirected, SERVICE_TIME);
    assert!(score(registry.get(key).expect("it is known"), ms(2)).is_none());
    registry.remove("a", support::revision(6), ms(10));
    assert_eq!(registry.sweep(ms(60_000), ms(3000)), [key]);
    assert!(registry.ids().is_empty());
}

/// A partition isolates a zone while callers still reach hosts on both sides. The zone becomes
/// unreachable after several unanswered requests, and reachable with the first answer.
#[test]
fn a_zone_is_unreachable_after_several_unanswered_requests() {
    struct Case {
        name: &'static str,
        sent: usize,
        typical_ms: u64,
        now_ms: u64,
        suspected: bool,
        unreachable: bool,
    }
    let case = |name, sent, typical_ms, now_ms, suspected, unreachable| Case {
        name,
        sent,
        typical_ms,
        now_ms,
        suspected,
        unreachable,
    };
    let cases = [
        case("nothing sent", 0, 10, 1000, false, false),
        case("one request", 1, 10, 1000, false, false),
        case("many, recently", 20, 10, 70, false, false),
        case("many, earlier", 20, 10, 150, true, false),
        case("slow service", 20, 120, 200, false, false),
        case("slow service, late", 20, 120, 400, true, false),
        case("several, for long", 6, 10, 200, true, true),
        case("slow service, overdue", 6, 120, 480, true, true),
    ];
    for case in cases {
        let mut reachability = ZoneReachability::default();
        (0..case.sent).for_each(|_| reachability.sent(ms(0), ms(case.typical_ms)));
        assert_eq!(reachability.is_suspected(ms(case.now_ms)), case.suspected, "{}", case.name);
        assert_eq!(reachability.is_unreachable(ms(case.now_ms)), case.unreachable, "{}", case.name);
        reachability.answered(ms(case.now_ms));
        assert!(!reachability.is_suspected(ms(case.now_ms)), "{}", case.name);
        assert!(!reachability.is_unreachable(ms(case.now_ms)), "{}", case.name);
    }
}

/// Each query waits for its slowest shard, so that a few paused targets delay most queries. An
/// attempt is hedged if it takes longer than nearly all ordinary ones, later while the budget is
/// nearly spent, and early enough for the hedge to be in time.
#[test]
fn attempts_are_hedged_beyond_ordinary_latencies() {
    let mut times = ServiceTimes::new(10_000);
    (0..100).for_each(|step| times.record(10_000 + step * 100));
    let options = hedge::Options::default();
    let delay =
        |target_latency, fullness| hedge::delay(&times, ms(target_latency), fullness, &options);
    assert!((ms(20)..ms(30)).contains(&delay(120, 1.0)));
    assert!(delay(120, 0.0) > delay(120, 1.0));
    assert!(delay(50, 0.0) <= ms(50).mul_f64(options.aim_share));
}

/// Guards against all hosts failing their readiness probes at once: hosts on both sides of a
/// partition detect it, and a rarely used route could affect all three zones. Only the smaller side
/// fails its probes, and only if a large share of its callers' requests cannot be answered there.
#[test]
fn only_the_smaller_side_of_a_partition_fails_readiness() {
    struct Case {
        name: &'static str,
        zones: usize,
        unreachable: usize,
        unanswerable: f64,
        fails: bool,
    }
    let cases = [
        Case { name: "one of three", zones: 3, unreachable: 2, unanswerable: 0.8, fails: true },
        Case { name: "two of three", zones: 3, unreachable: 1, unanswerable: 0.8, fails: false },
        Case { name: "halves", zones: 2, unreachable: 1, unanswerable: 0.8, fails: false },
        Case {
            name: "rarely used route",
            zones: 3,
            unreachable: 2,
            unanswerable: 0.05,
            fails: false,
        },
        Case { name: "no partition", zones: 3, unreachable: 0, unanswerable: 1.0, fails: false },
    ];
    for case in cases {
        let fails =
            reachability::should_fail_readiness(case.zones, case.unreachable, case.unanswerable);
        assert_eq!(fails, case.fails, "{}", case.name);
    }
}

/// Guards against suppressing all hedges while some shards have standing queues: a late part of a
/// shard whose other target is idle indicates a paused or unreachable target, and queries would
/// wait for it.
#[test]
fn hedges_are_sent_to_targets_with_capacity() {
    struct Case {
        name: &'static str,
        waiting: u32,
        /// Age of the report, ms.
        reported_ago: u64,
        has_capacity: bool,
    }
    let cases = [
        Case { name: "idle", waiting: 0, reported_ago: 50, has_capacity: true },
        Case { name: "short queue", waiting: 2, reported_ago: 50, has_capacity: true },
        Case { name: "long queue", waiting: 3, reported_ago: 50, has_capacity: false },
        Case { name: "full", waiting: 12, reported_ago: 50, has_capacity: false },
        Case { name: "full, outdated report", waiting: 12, reported_ago: 400, has_capacity: true },
    ];
    let now = Duration::from_secs(10);
    for case in cases {
        let mut state = TargetState::new(entry("t", "east"), support::revision(1), now);
        let at = now - Duration::from_millis(case.reported_ago);
        state.report_load(ReportedLoad { running: 2, waiting: case.waiting, slots: 2, at });
        assert_eq!(hedge::has_capacity(&state, now), case.has_capacity, "{}", case.name);
    }
}

/// Guards against sending a suspected request to a shard's last target, and against withholding it
/// from a service that only ever had one.
#[test]
fn the_last_of_several_targets_is_detected() {
    struct Case {
        name: &'static str,
        targets: usize,
        impair: fn(&mut TargetState),
        last: bool,
    }
    let cases = [
        Case { name: "one of one", targets: 1, impair: |_| {}, last: false },
        Case { name: "one of two", targets: 2, impair: |_| {}, last: false },
        Case {
            name: "the other crashed",
            targets: 2,
            impair: |state| state.record_crash(ms(900)),
            last: true,
        },
        Case {
            name: "the other crashed and answered since",
            targets: 2,
            impair: |state| {
                state.record_crash(ms(900));
                state.record_end(ms(910), ms(920), AttemptEnd::Answered, SERVICE_TIME);
            },
            last: false,
        },
        Case {
            name: "connection to the other failed",
            targets: 2,
            impair: |state| state.record_end(ms(990), ms(995), AttemptEnd::NotSent, SERVICE_TIME),
            last: true,
        },
        Case {
            name: "a request to the other expired",
            targets: 2,
            impair: |state| state.record_end(ms(990), ms(995), AttemptEnd::Expired, SERVICE_TIME),
            last: false,
        },
        Case {
            name: "the other leaves",
            targets: 2,
            impair: |state| state.phase = TargetPhase::Leaving { until: ms(2000) },
            last: true,
        },
        Case {
            name: "one of two others crashed",
            targets: 3,
            impair: |state| state.record_crash(ms(900)),
            last: false,
        },
    ];
    for case in cases {
        let mut registry =
            TargetRegistry::new(registry::Options::default(), "east", support::DRAIN_TIME);
        for id in ["a", "b", "c"].iter().take(case.targets) {
            registry.put(entry(id, "east"), support::revision(1), ms(0));
        }
        let keys: Vec<_> = registry.of_service("s").to_vec();
        if let Some(other) = keys.get(1) {
            (case.impair)(registry.get_mut(*other).expect("it is known"));
        }
        let view = support::view(&registry, SERVICE_TIME, ms(120), ms(1000));
        assert_eq!(view.is_last_target("s", keys[0], &[]), case.last, "{}", case.name);
    }
}

/// Guards against a zone that counts as unreachable because requests that waited for a connection
/// were refused for their keys, and against a withdrawal that hides other requests.
#[test]
fn withdrawn_requests_do_not_count_at_their_zone() {
    let mut reachability = ZoneReachability::default();
    let early = reachability.mark();
    (0..6).for_each(|_| reachability.sent(ms(0), ms(10)));
    (0..6).for_each(|_| reachability.withdraw(early));
    (0..5).for_each(|_| reachability.sent(ms(0), ms(10)));
    assert!(!reachability.is_suspected(ms(5000)));
    reachability.sent(ms(0), ms(10));
    assert!(reachability.is_unreachable(ms(5000)));
    reachability.answered(ms(5000));
    // The answer has already removed it from the count.
    (0..6).for_each(|_| reachability.sent(ms(5000), ms(10)));
    reachability.withdraw(early);
    assert!(reachability.is_unreachable(ms(9000)));
}
