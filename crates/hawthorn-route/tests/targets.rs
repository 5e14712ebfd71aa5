//! What is believed of targets, and which one an attempt goes to.

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
use hawthorn_route::target::ReportedLoad;
use hawthorn_route::target::TargetPhase;
use hawthorn_route::target::TargetState;

const USUAL: Duration = Duration::from_millis(15);

fn entry(id: &str, zone: &str) -> TargetEntry {
    support::entry(id, "s", zone)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn score(state: &TargetState, now: Duration) -> Option<f64> {
    let registry = TargetRegistry::new(registry::Options::default(), "east");
    let aim = Duration::from_millis(120);
    let view = support::view(&registry, USUAL, aim, now);
    placement::score(view, state, &placement::Options::default())
}

/// Two targets hold a shard. One of them pauses, slows down, fails, fills up,
/// or leaves; the other must be preferred from then on, and only where both are
/// sound does the zone decide.
#[test]
fn the_sounder_target_is_preferred() {
    struct Case {
        name: &'static str,
        zone: &'static str,
        harm: fn(&mut TargetState),
    }
    let cases = [
        Case { name: "in another zone", zone: "west", harm: |_| {} },
        Case {
            name: "silent to an earlier request",
            zone: "east",
            harm: |state| state.send(ms(900)),
        },
        Case {
            name: "could not be reached",
            zone: "east",
            harm: |state| state.end(ms(990), ms(995), AttemptEnd::NotSent, USUAL),
        },
        Case {
            name: "slow",
            zone: "east",
            harm: |state| {
                (0..20).for_each(|_| state.end(ms(0), ms(150), AttemptEnd::Answered, USUAL))
            },
        },
        Case {
            name: "fails what it runs",
            zone: "east",
            harm: |state| (0..5).for_each(|_| state.end(ms(0), ms(5), AttemptEnd::Failed, USUAL)),
        },
        Case {
            name: "says it is full",
            zone: "east",
            harm: |state| {
                state.report_load(ReportedLoad { running: 2, waiting: 5, slots: 2, at: ms(990) })
            },
        },
        Case { name: "cold", zone: "east", harm: |state| state.cold_until = ms(2000) },
        Case {
            name: "leaving",
            zone: "east",
            harm: |state| state.phase = TargetPhase::Leaving { until: ms(2000) },
        },
    ];
    let now = ms(1000);
    let sound = TargetState::new(entry("sound", "east"), 1, ms(0));
    for case in cases {
        let mut harmed = TargetState::new(entry("harmed", case.zone), 1, ms(0));
        (case.harm)(&mut harmed);
        let (sound, harmed) = (score(&sound, now), score(&harmed, now));
        assert!(sound < harmed, "{}: {sound:?} {harmed:?}", case.name);
    }
}

/// A target says that it is leaving, and serves for three seconds more. New
/// work goes there only while the service has nobody else, and soon not at all.
#[test]
fn a_leaving_target_takes_work_only_for_a_short_time() {
    let mut state = TargetState::new(entry("a", "east"), 1, ms(0));
    state.phase = TargetPhase::Leaving { until: ms(1500) };
    assert!(score(&state, ms(1400)).is_some());
    assert!(score(&state, ms(1500)).is_none());
    state.phase = TargetPhase::Gone;
    assert!(score(&state, ms(1)).is_none());
}

#[test]
fn news_of_a_target_is_taken_in_by_its_revision() {
    struct Case {
        name: &'static str,
        news: fn(&mut TargetRegistry) -> TargetChange,
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
            name: "the same again",
            news: |targets| targets.put(with(|_| {}), 6, ms(10)),
            change: TargetChange::None,
            ready: 1,
        },
        Case {
            name: "an older word, read late",
            news: |targets| targets.put(with(|entry| entry.draining = true), 4, ms(10)),
            change: TargetChange::None,
            ready: 1,
        },
        Case {
            name: "leaving",
            news: |targets| targets.put(with(|entry| entry.draining = true), 6, ms(10)),
            change: TargetChange::Draining,
            ready: 0,
        },
        Case {
            name: "started again under its id",
            news: |targets| targets.put(with(|entry| entry.born = Some(200)), 6, ms(10)),
            change: TargetChange::Born,
            ready: 1,
        },
        Case {
            name: "moved to another service",
            news: |targets| targets.put(with(|entry| entry.service = "t".into()), 6, ms(10)),
            change: TargetChange::Born,
            ready: 0,
        },
        Case {
            name: "its entry is gone",
            news: |targets| targets.remove("a", 6, ms(10)),
            change: TargetChange::Removed,
            ready: 0,
        },
        Case {
            name: "an older removal, read late",
            news: |targets| targets.remove("a", 4, ms(10)),
            change: TargetChange::None,
            ready: 1,
        },
    ];
    for case in cases {
        let mut targets = TargetRegistry::new(registry::Options::default(), "east");
        targets.put(with(|_| {}), 5, ms(0));
        assert_eq!((case.news)(&mut targets), case.change, "{}", case.name);
        let ready = targets.of_service("s").iter().filter_map(|key| targets.get(*key));
        let ready = ready.filter(|state| state.phase == TargetPhase::Ready).count();
        assert_eq!(ready, case.ready, "{}", case.name);
    }
}

/// The store is down for a while and lets entries lapse; the target has been
/// well all the time and its entry is back two seconds later.
#[test]
fn a_target_whose_entry_lapsed_returns() {
    let mut targets = TargetRegistry::new(registry::Options::default(), "east");
    targets.put(entry("a", "east"), 5, ms(0));
    targets.remove("a", 6, ms(1000));
    assert_eq!(targets.put(entry("a", "east"), 7, ms(3000)), TargetChange::Returned);
}

/// An address was given to another service: its target answers that it is not
/// the one that was meant. The old entry is forgotten once it is removed.
#[test]
fn a_target_that_another_took_the_place_of_is_forgotten() {
    let mut targets = TargetRegistry::new(registry::Options::default(), "east");
    targets.put(entry("a", "east"), 5, ms(0));
    let key = targets.of_service("s")[0];
    let state = targets.get_mut(key).expect("it was put");
    state.end(ms(0), ms(1), AttemptEnd::Misdirected, USUAL);
    assert!(score(targets.get(key).expect("it is there"), ms(2)).is_none());
    targets.remove("a", 6, ms(10));
    assert_eq!(targets.sweep(ms(60_000), ms(3000)), [key]);
    assert!(targets.ids().is_empty());
}

/// A zone is cut off while callers still reach hosts on both sides. Requests
/// there bring nothing; soon none is sent, and the first word ends it.
#[test]
fn a_zone_is_cut_off_after_several_silent_requests() {
    struct Case {
        name: &'static str,
        sent: usize,
        usual_ms: u64,
        now_ms: u64,
        doubtful: bool,
        cut: bool,
    }
    let case = |name, sent, usual_ms, now_ms, doubtful, cut| Case {
        name,
        sent,
        usual_ms,
        now_ms,
        doubtful,
        cut,
    };
    let cases = [
        case("nothing sent", 0, 10, 1000, false, false),
        case("one request", 1, 10, 1000, false, false),
        case("many, just now", 20, 10, 70, false, false),
        case("many, a while ago", 20, 10, 150, true, false),
        case("long work", 20, 120, 200, false, false),
        case("long work, late", 20, 120, 400, true, false),
        case("many, for long", 6, 10, 200, true, true),
        case("long work, overdue", 6, 120, 480, true, true),
    ];
    for case in cases {
        let mut reach = ZoneReachability::default();
        (0..case.sent).for_each(|_| reach.sent(ms(0), ms(case.usual_ms)));
        assert_eq!(reach.is_suspected(ms(case.now_ms)), case.doubtful, "{}", case.name);
        assert_eq!(reach.is_unreachable(ms(case.now_ms)), case.cut, "{}", case.name);
        reach.answered();
        assert!(!reach.is_suspected(ms(case.now_ms)), "{}", case.name);
        assert!(!reach.is_unreachable(ms(case.now_ms)), "{}", case.name);
    }
}

/// A few targets pause, and each query waits for the slowest of its shards. A
/// second attempt is made beyond nearly all ordinary times, later when the
/// budget runs out, and early enough to be in time itself.
#[test]
fn an_attempt_is_late_beyond_ordinary_times() {
    let mut times = ServiceTimes::new(10_000);
    (0..100).for_each(|step| times.record(10_000 + step * 100));
    let options = hedge::Options::default();
    let delay = |aim, fullness| hedge::delay(&times, ms(aim), fullness, &options);
    assert!((ms(20)..ms(30)).contains(&delay(120, 1.0)));
    assert!(delay(120, 0.0) > delay(120, 1.0));
    assert!(delay(50, 0.0) <= ms(50).mul_f64(options.aim_share));
}

/// A zone is cut off and hosts on both sides see it. Only those of the smaller
/// side may step aside, and only when much of what callers ask for cannot be
/// answered there: once, a route hardly anybody used had all three zones step
/// aside together.
#[test]
fn only_the_smaller_side_of_a_cut_steps_aside() {
    struct Case {
        name: &'static str,
        zones: usize,
        cut: usize,
        unanswerable: f64,
        aside: bool,
    }
    let cases = [
        Case { name: "alone of three", zones: 3, cut: 2, unanswerable: 0.8, aside: true },
        Case { name: "two of three", zones: 3, cut: 1, unanswerable: 0.8, aside: false },
        Case { name: "halves", zones: 2, cut: 1, unanswerable: 0.8, aside: false },
        Case { name: "a rare route", zones: 3, cut: 2, unanswerable: 0.05, aside: false },
        Case { name: "no cut", zones: 3, cut: 0, unanswerable: 1.0, aside: false },
    ];
    for case in cases {
        let aside = reachability::should_fail_readiness(case.zones, case.cut, case.unanswerable);
        assert_eq!(aside, case.aside, "{}", case.name);
    }
}

/// Queues stand at some shards of every query, and a part is late at a shard whose
/// other target is free: the first is paused or dark. Once, no second attempt was
/// made anywhere while queues stood somewhere, and queries waited for the dark one.
#[test]
fn a_second_attempt_is_made_where_there_is_room() {
    struct Case {
        name: &'static str,
        waiting: u32,
        told: u64,
        room: bool,
    }
    let cases = [
        Case { name: "free", waiting: 0, told: 50, room: true },
        Case { name: "a short queue", waiting: 2, told: 50, room: true },
        Case { name: "a long one", waiting: 3, told: 50, room: false },
        Case { name: "full", waiting: 12, told: 50, room: false },
        Case { name: "full a while ago", waiting: 12, told: 400, room: true },
    ];
    let now = Duration::from_secs(10);
    for case in cases {
        let mut state = TargetState::new(entry("t", "east"), 1, now);
        let at = now - Duration::from_millis(case.told);
        state.report_load(ReportedLoad { running: 2, waiting: case.waiting, slots: 2, at });
        assert_eq!(hedge::has_capacity(&state, now), case.room, "{}", case.name);
    }
}

/// Guards against a suspected request that reaches a shard's last target, and against one
/// that is kept from a service which never had a second.
#[test]
fn the_last_of_several_targets_is_known() {
    struct Case {
        name: &'static str,
        targets: usize,
        harm: fn(&mut TargetState),
        last: bool,
    }
    let cases = [
        Case { name: "one of one", targets: 1, harm: |_| {}, last: false },
        Case { name: "one of two", targets: 2, harm: |_| {}, last: false },
        Case {
            name: "the other crashed",
            targets: 2,
            harm: |state| state.crash(ms(900)),
            last: true,
        },
        Case {
            name: "the other crashed and answered since",
            targets: 2,
            harm: |state| {
                state.crash(ms(900));
                state.end(ms(910), ms(920), AttemptEnd::Answered, USUAL);
            },
            last: false,
        },
        Case {
            name: "the other could not be reached",
            targets: 2,
            harm: |state| state.end(ms(990), ms(995), AttemptEnd::NotSent, USUAL),
            last: true,
        },
        Case {
            name: "the other leaves",
            targets: 2,
            harm: |state| state.phase = TargetPhase::Leaving { until: ms(2000) },
            last: true,
        },
        Case {
            name: "one of two others crashed",
            targets: 3,
            harm: |state| state.crash(ms(900)),
            last: false,
        },
    ];
    for case in cases {
        let mut registry = TargetRegistry::new(registry::Options::default(), "east");
        for id in ["a", "b", "c"].iter().take(case.targets) {
            registry.put(entry(id, "east"), 1, ms(0));
        }
        let keys: Vec<_> = registry.of_service("s").to_vec();
        if let Some(other) = keys.get(1) {
            (case.harm)(registry.get_mut(*other).expect("it is known"));
        }
        let view = support::view(&registry, USUAL, ms(120), ms(1000));
        assert_eq!(view.is_last_target("s", keys[0], &[]), case.last, "{}", case.name);
    }
}
