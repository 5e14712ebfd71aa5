//! Queries at the door of a host, under loads of all kinds.

use std::time::Duration;

use hawthorn_route::admission::Options;
use hawthorn_route::admission::QueryAdmission;
use hawthorn_route::admission::QueryLoad;

const AIM: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);

/// A service whose work takes 10 ms on 4 slots for each of its shards, all of
/// which every query needs: 400 queries a second and no more.
struct Service {
    /// When each slot is free.
    slots: [Duration; 4],
}

impl Service {
    /// Runs a query's work and returns how long it waited, and when it ends.
    fn run(&mut self, now: Duration) -> (Duration, Duration) {
        let slot = self.slots.iter_mut().min().expect("there are slots");
        let begins = now.max(*slot);
        *slot = begins + Duration::from_millis(10);
        (begins - now, *slot)
    }
}

#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    refused: u32,
    in_time: u32,
    late: u32,
}

/// Plays ten seconds of `rate` queries a second, `flood` a second in the middle
/// two; counts the urgent and the others.
fn play(rate: u32, flood: u32, guarded: bool) -> [Tally; 2] {
    let options = Options::default();
    let mut door = QueryAdmission::default();
    let mut service = Service { slots: [Duration::ZERO; 4] };
    let mut flying: Vec<(Duration, Duration, Duration, usize)> = Vec::new();
    let mut tallies: [Tally; 2] = Default::default();
    let mut owed = 0.0;
    for step in 0..10_000 {
        let now = STEP * step;
        let burst = (4_000..6_000).contains(&step);
        owed += f64::from(if burst { flood } else { rate }) / 1000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let kind = (tallies[0].asked + tallies[1].asked) as usize % 4 / 3;
            tallies[kind].asked += 1;
            if guarded && !door.admit(now, kind == 0, &options) {
                tallies[kind].refused += 1;
                continue;
            }
            let (waited, ends) = service.run(now);
            flying.push((ends, now, waited, kind));
        }
        flying.retain(|(ends, began, waited, kind)| {
            if *ends > now {
                return true;
            }
            let took = now - *began;
            if took <= AIM {
                tallies[*kind].in_time += 1;
            } else {
                tallies[*kind].late += 1;
            }
            let load = QueryLoad { waits: vec![*waited], shards: 1, ..QueryLoad::default() };
            door.finish(now, took, AIM, Some(&load), &options);
            false
        });
    }
    tallies
}

/// Many users come at once, for two seconds, with two and a half times what the
/// service can do. Unguarded, its queue outlives the burst and nobody is served
/// in time; guarded, it goes on doing what it can.
#[test]
fn a_burst_beyond_capacity_leaves_the_service_working() {
    let served = |tallies: &[Tally; 2]| tallies[0].in_time + tallies[1].in_time;
    let unguarded = play(200, 1000, false);
    let guarded = play(200, 1000, true);
    // Eight calm seconds of 200, and two of 400 at the most.
    assert!(served(&unguarded) < 1500, "{unguarded:?}");
    assert!(served(&guarded) > 2100, "{guarded:?}");
    assert!(guarded[0].late + guarded[1].late < 100, "{guarded:?}");
}

#[test]
fn a_calm_service_refuses_nobody() {
    let tallies = play(300, 300, true);
    assert_eq!(tallies[0].refused + tallies[1].refused, 0, "{tallies:?}");
}

/// The service is asked for twice what it can do, for long. The urgent come
/// first, and the others are not starved.
#[test]
fn in_scarcity_the_urgent_come_first_and_none_starves() {
    let [urgent, ordinary] = play(800, 800, true);
    let share = |tally: &Tally| f64::from(tally.in_time) / f64::from(tally.asked);
    assert!(share(&urgent) >= share(&ordinary), "{urgent:?} {ordinary:?}");
    assert!(share(&ordinary) > 0.2, "{ordinary:?}");
    assert!(share(&urgent) > 0.4, "{urgent:?}");
}

/// One shard of twenty is full and turns its part away. The others have room:
/// the door stays open.
#[test]
fn one_full_shard_closes_nothing() {
    let options = Options::default();
    let mut door = QueryAdmission::default();
    let before = door.state(&options).1;
    let load =
        QueryLoad { waits: vec![AIM], rejected: 1, shards: 20, max_missing: 2, failed: false };
    for step in 0..50 {
        assert!(door.admit(STEP * step * 100, true, &options));
        door.finish(STEP * step * 100, STEP, AIM, Some(&load), &options);
    }
    assert!(door.state(&options).1 >= before);
    assert!(!door.is_overloaded(STEP * 5_000));
}

/// Targets are full and turn so many parts away that each query fails after 2 ms. Its
/// other parts wait in their queues, so its place is taken until its aim has passed:
/// else 500 queries a second go through a window of one, and fill the queues.
#[test]
fn queries_that_fail_at_once_keep_their_places() {
    let options = Options::default();
    let mut door = QueryAdmission::default();
    let failed =
        QueryLoad { waits: vec![AIM; 4], rejected: 4, shards: 20, max_missing: 2, failed: true };
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = STEP * step;
        if door.admit(now, true, &options) {
            admitted += 1;
            door.finish(now + STEP * 2, STEP * 2, AIM, Some(&failed), &options);
        }
    }
    // A window of two at the least, ten aims: and what the first window held.
    assert!(admitted <= 2 * 10 + 12, "{admitted}");
    assert_eq!(door.state(&options).0, 2, "queries in flight");
    assert!(door.admit(STEP * 2_000, true, &options));
    assert_eq!(door.state(&options).0, 1, "those before gave theirs back");
}

/// Queues stand at more shards than an answer may do without, and for as long as
/// queries tell of them the host knows; a moment later it does not any more, and
/// asks for every part again.
#[test]
fn queues_are_known_to_stand_for_as_long_as_queries_tell_of_them() {
    let options = Options::default();
    let mut door = QueryAdmission::default();
    assert!(!door.is_overloaded(Duration::ZERO));
    let load =
        QueryLoad { waits: vec![AIM; 4], rejected: 0, shards: 20, max_missing: 2, failed: false };
    assert!(door.admit(STEP * 100, true, &options));
    door.finish(STEP * 100, STEP, AIM, Some(&load), &options);
    assert!(door.is_overloaded(STEP * 200));
    assert!(!door.is_overloaded(STEP * 100 + options.crowded_time));
}
