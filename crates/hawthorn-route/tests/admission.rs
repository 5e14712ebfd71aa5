//! Admission control of queries, under normal load and overload.

use std::time::Duration;

use hawthorn_route::admission::Options;
use hawthorn_route::admission::QueryAdmission;
use hawthorn_route::admission::QueryLoad;

const TARGET_LATENCY: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);

/// A service with a service time of 10 ms on 4 slots for each of its shards, all of which every
/// query needs: a capacity of 400 queries a second.
struct Service {
    /// When each slot becomes free.
    slots: [Duration; 4],
}

impl Service {
    /// Executes a query and returns its queueing delay, and when it ends.
    fn run(&mut self, now: Duration) -> (Duration, Duration) {
        let slot = self.slots.iter_mut().min().expect("there are slots");
        let starts = now.max(*slot);
        *slot = starts + Duration::from_millis(10);
        (starts - now, *slot)
    }
}

#[derive(Debug, Default)]
struct Tally {
    requested: u32,
    refused: u32,
    in_time: u32,
    late: u32,
}

/// Simulates ten seconds of `rate` queries a second, and of `burst_rate` during two of them.
/// Returns the tallies of urgent and other queries.
fn simulate(rate: u32, burst_rate: u32, limited: bool) -> [Tally; 2] {
    let options = Options::default();
    let mut admission = QueryAdmission::default();
    let mut service = Service { slots: [Duration::ZERO; 4] };
    let mut in_flight: Vec<(Duration, Duration, Duration, usize)> = Vec::new();
    let mut tallies: [Tally; 2] = Default::default();
    let mut due = 0.0;
    for step in 0..10_000 {
        let now = STEP * step;
        let burst = (4_000..6_000).contains(&step);
        due += f64::from(if burst { burst_rate } else { rate }) / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            let class = (tallies[0].requested + tallies[1].requested) as usize % 4 / 3;
            tallies[class].requested += 1;
            if limited && !admission.admit(now, class == 0, &options) {
                tallies[class].refused += 1;
                continue;
            }
            let (wait, ends) = service.run(now);
            in_flight.push((ends, now, wait, class));
        }
        in_flight.retain(|(ends, started, wait, class)| {
            if *ends > now {
                return true;
            }
            let elapsed = now - *started;
            if elapsed <= TARGET_LATENCY {
                tallies[*class].in_time += 1;
            } else {
                tallies[*class].late += 1;
            }
            let load = QueryLoad { waits: vec![*wait], shards: 1, ..QueryLoad::default() };
            admission.finish(now, elapsed, TARGET_LATENCY, Some(&load), &options);
            false
        });
    }
    tallies
}

/// Guards against a queue that outlasts a burst: for two seconds, load is two and a half times
/// the capacity. Without admission control no query is answered in time even after the burst;
/// with it the service continues to answer queries at its capacity.
#[test]
fn goodput_is_maintained_through_a_burst_beyond_capacity() {
    let served = |tallies: &[Tally; 2]| tallies[0].in_time + tallies[1].in_time;
    let unlimited = simulate(200, 1000, false);
    let limited = simulate(200, 1000, true);
    // Eight seconds of 200 queries, and two of at most 400.
    assert!(served(&unlimited) < 1500, "{unlimited:?}");
    assert!(served(&limited) > 2100, "{limited:?}");
    assert!(limited[0].late + limited[1].late < 100, "{limited:?}");
}

#[test]
fn no_query_is_refused_below_capacity() {
    let tallies = simulate(300, 300, true);
    assert_eq!(tallies[0].refused + tallies[1].refused, 0, "{tallies:?}");
}

/// Under sustained load of twice the capacity, urgent queries take precedence and the others are
/// not starved.
#[test]
fn urgent_queries_take_precedence_without_starving_others() {
    let [urgent, ordinary] = simulate(800, 800, true);
    let share = |tally: &Tally| f64::from(tally.in_time) / f64::from(tally.requested);
    assert!(share(&urgent) >= share(&ordinary), "{urgent:?} {ordinary:?}");
    assert!(share(&ordinary) > 0.2, "{ordinary:?}");
    assert!(share(&urgent) > 0.4, "{urgent:?}");
}

/// Guards against reducing the window because one shard of twenty is full and rejects its part,
/// while the others have capacity.
#[test]
fn one_full_shard_does_not_reduce_the_window() {
    let options = Options::default();
    let mut admission = QueryAdmission::default();
    let before = admission.state(&options).1;
    let load = QueryLoad {
        waits: vec![TARGET_LATENCY],
        rejected: 1,
        shards: 20,
        max_missing: 2,
        failed: false,
    };
    for step in 0..50 {
        assert!(admission.admit(STEP * step * 100, true, &options));
        admission.finish(STEP * step * 100, STEP, TARGET_LATENCY, Some(&load), &options);
    }
    assert!(admission.state(&options).1 >= before);
    assert!(!admission.is_overloaded(STEP * 5_000));
}

/// Guards against filling the queues with parts of failed queries: targets are full, and each
/// query fails after 2 ms because too many of its parts are rejected. Its slot is held until its
/// target latency has passed, as otherwise a window of one query would admit 500 a second.
#[test]
fn queries_that_fail_early_hold_their_slots() {
    let options = Options::default();
    let mut admission = QueryAdmission::default();
    let failed = QueryLoad {
        waits: vec![TARGET_LATENCY; 4],
        rejected: 4,
        shards: 20,
        max_missing: 2,
        failed: true,
    };
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = STEP * step;
        if admission.admit(now, true, &options) {
            admitted += 1;
            admission.finish(now + STEP * 2, STEP * 2, TARGET_LATENCY, Some(&failed), &options);
        }
    }
    // The minimum window of two, for ten target latencies, and the initial window.
    assert!(admitted <= 2 * 10 + 12, "{admitted}");
    assert_eq!(admission.state(&options).0, 2, "queries in flight");
    assert!(admission.admit(STEP * 2_000, true, &options));
    assert_eq!(admission.state(&options).0, 1, "the slots of failed queries were released");
}

/// A host is overloaded while queries report standing queues at more shards than may be missing
/// from an answer. Shortly after the last such report, all parts are requested again.
#[test]
fn overload_lasts_while_queries_report_standing_queues() {
    let options = Options::default();
    let mut admission = QueryAdmission::default();
    assert!(!admission.is_overloaded(Duration::ZERO));
    let load = QueryLoad {
        waits: vec![TARGET_LATENCY; 4],
        rejected: 0,
        shards: 20,
        max_missing: 2,
        failed: false,
    };
    assert!(admission.admit(STEP * 100, true, &options));
    admission.finish(STEP * 100, STEP, TARGET_LATENCY, Some(&load), &options);
    assert!(admission.is_overloaded(STEP * 200));
    assert!(!admission.is_overloaded(STEP * 100 + options.crowded_time));
}
