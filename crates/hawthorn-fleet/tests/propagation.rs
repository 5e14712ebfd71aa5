//! Propagation of configuration among daemons on virtual time.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_fleet::MemberDigest;
use hawthorn_fleet::PropagationState;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_fleet::propagation::Options;
use hawthorn_fleet::propagation::Outcome;
use hawthorn_fleet::propagation::PropagationAction;
use hawthorn_fleet::propagation::PropagationAlarm;
use hawthorn_fleet::propagation::StoreAnswer;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use support::Simulation;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

fn edition(revision: u64) -> ConfigEdition {
    ConfigEdition { revision: ConfigRevision(revision), edit: revision * 1_000 }
}

fn serving(seed: u64, count: usize, zones: usize) -> Simulation {
    let mut sim = Simulation::with(seed, count, zones);
    sim.write_store(edition(1));
    sim.run_for(ms(10_000));
    assert!(in_force_everywhere(&sim, 1), "{count} daemons have the first revision");
    sim
}

fn in_force_everywhere(sim: &Simulation, revision: u64) -> bool {
    let mut running = sim.daemons.iter().filter(|daemon| daemon.up);
    running.all(|daemon| daemon.propagation.in_force() == Some(edition(revision)))
}

fn raised(sim: &Simulation, alarm: PropagationAlarm) -> usize {
    sim.daemons.iter().filter(|daemon| daemon.alarms.contains(&alarm)).count()
}

/// Guards against a rule that is in force at some hosts and not at others after an edit while the
/// network loses one datagram in twenty.
#[test]
fn a_revision_is_in_force_everywhere_within_eight_seconds() -> TestResult {
    for (count, zones, edits) in [(8, 3, 50), (64, 4, 5), (128, 4, 1)] {
        let mut sim = serving(1, count, zones);
        sim.loss = 0.05;
        let mut times: Vec<Duration> = Vec::new();
        let calls = sim.store.calls;
        for revision in 2..2 + edits {
            let start = sim.now;
            sim.write_store(edition(revision));
            sim.run_for(ms(8_000));
            times.extend(sim.daemons.iter().map(|daemon| {
                let found = daemon.adopted.iter().find(|entry| entry.1 == edition(revision));
                found.map_or(Duration::MAX, |entry| entry.0 - start)
            }));
        }
        times.sort();
        assert!(times.iter().all(|&time| time <= ms(8_000)), "{count}: {:?}", times.last());
        // Each watcher: one call per edit, and one per ten seconds of idle time.
        let calls = (sim.store.calls - calls) as f64 / edits as f64 / zones as f64;
        eprintln!("{count}: last {:?}, {calls:.2} calls an edit and zone", times.last());
        assert!(calls <= 4.0, "{count} daemons: {calls} calls an edit and zone");
    }
    Ok(())
}

/// Guards against a store that rejects all calls over its rate limit because all daemons of a fleet
/// start at once and each calls it.
#[test]
fn two_daemons_of_a_zone_call_the_store() -> TestResult {
    let mut sim = serving(2, 24, 4);
    let calls = sim.store.calls;
    assert!(calls <= 24, "{calls} calls of 24 daemons that start at once, in 10 s");
    sim.run_for(ms(100_000));
    let calls = sim.store.calls - calls;
    eprintln!("{calls} calls in 100 s");
    let now = sim.now;
    let watching = sim.daemons.iter().filter(|daemon| daemon.propagation.is_watching(now)).count();
    assert_eq!(watching, 8);
    for daemon in &sim.daemons {
        let age = daemon.propagation.age(now);
        assert!(age.is_some_and(|age| age < ms(12_000)), "{} knows it: {age:?}", daemon.name);
    }
    assert!(calls <= 8 * 15, "{calls} calls of 8 watchers in 100 s");
    Ok(())
}

/// Guards against new rules that never reach a zone after both daemons that watch the store for it
/// were killed.
#[test]
fn lost_watchers_are_replaced() -> TestResult {
    let mut sim = serving(3, 12, 2);
    let now = sim.now;
    let watchers: Vec<usize> =
        (0..12).filter(|&index| sim.daemons[index].propagation.is_watching(now)).collect();
    for &index in &watchers {
        sim.kill(index);
    }
    sim.write_store(edition(2));
    let time = sim.run_until(ms(20_000), |sim| in_force_everywhere(sim, 2));
    eprintln!("after {time:?}");
    assert!(time.is_some_and(|time| time <= ms(8_000)), "{time:?}");
    Ok(())
}

/// Guards against withdrawn rules that come back when the store is restored from a backup that is
/// some edits old.
#[test]
fn a_store_restored_to_an_older_revision_is_rejected() -> TestResult {
    let mut sim = serving(4, 8, 2);
    sim.write_store(edition(5));
    sim.run_for(ms(8_000));
    sim.write_store(edition(3));
    sim.run_for(ms(60_000));
    assert!(in_force_everywhere(&sim, 5));
    let alarm =
        PropagationAlarm::StoreBehind { store: ConfigRevision(3), in_force: ConfigRevision(5) };
    assert_eq!(raised(&sim, alarm), 4, "each watcher raises it once");
    sim.write_store(edition(6));
    let time = sim.run_until(ms(20_000), |sim| in_force_everywhere(sim, 6));
    assert!(time.is_some_and(|time| time <= ms(8_000)), "the next edit goes through: {time:?}");
    Ok(())
}

/// Guards against hosts with different rules under one revision: a restored store is edited until
/// it reaches a revision that the daemons already have. A revision number alone does not identify
/// an edit.
#[test]
fn another_edit_of_the_revision_in_force_is_rejected() -> TestResult {
    let mut sim = serving(5, 8, 2);
    sim.write_store(edition(5));
    sim.run_for(ms(8_000));
    let other = ConfigEdition { revision: ConfigRevision(5), edit: 77 };
    sim.write_store(other);
    sim.run_for(ms(60_000));
    assert!(in_force_everywhere(&sim, 5));
    let alarm = PropagationAlarm::Fork { revision: ConfigRevision(5), mine: 5_000, theirs: 77 };
    assert_eq!(raised(&sim, alarm), 4);
    Ok(())
}

/// Guards against a host that serves withdrawn rules: it starts during a store outage and becomes
/// ready before it knows what the others know.
#[test]
fn a_daemon_started_in_an_outage_learns_from_peers_before_it_is_ready() -> TestResult {
    let mut sim = serving(6, 9, 3);
    sim.write_store(edition(4));
    sim.run_for(ms(8_000));
    sim.store.up = false;
    let now = sim.now;
    sim.restart(4, now.as_millis() as u64);
    while !sim.daemons[4].ready {
        assert!(sim.now - now < ms(5_000), "ready within five seconds");
        sim.run_for(ms(10));
    }
    eprintln!("ready after {:?}", sim.now - now);
    assert_eq!(sim.daemons[4].propagation.in_force(), Some(edition(4)));
    let calls = sim.store.calls;
    sim.run_for(ms(60_000));
    let calls = sim.store.calls - calls;
    // Two watchers and two standbys per zone, each at most every five seconds.
    assert!(calls <= 3 * 4 * 14, "{calls} calls in a minute of outage");
    Ok(())
}

/// Guards against a partitioned zone that silently works with old rules. While it is partitioned
/// its age must grow; after the partition heals it must catch up with the edit.
#[test]
fn a_partitioned_zone_reports_its_age_and_catches_up() -> TestResult {
    let mut sim = serving(7, 9, 3);
    let inside = sim.members_of("zone-1");
    let outside: Vec<usize> = (0..9).filter(|index| !inside.contains(index)).collect();
    sim.partition(&inside, &outside);
    sim.store.up = false;
    sim.run_for(ms(60_000));
    let age = sim.daemons[inside[0]].propagation.age(sim.now);
    assert!(age.is_some_and(|age| age > ms(45_000)), "{age:?}");
    sim.store.up = true;
    sim.act(outside[0], |daemon, now| {
        assert_eq!(daemon.propagation.adopt(now, edition(2)), Outcome::Adopted);
    });
    sim.blocked.clear();
    let time = sim.run_until(ms(10_000), |sim| in_force_everywhere(sim, 2));
    assert!(time.is_some_and(|time| time < ms(8_000)), "{time:?}");
    Ok(())
}

struct OfferCase {
    name: &'static str,
    offer: ConfigEdition,
    outcome: Outcome,
}

#[test]
fn an_edition_never_goes_back() -> TestResult {
    let cases = [
        OfferCase { name: "older", offer: edition(4), outcome: Outcome::Older },
        OfferCase { name: "same", offer: edition(5), outcome: Outcome::InForce },
        OfferCase {
            name: "fork",
            offer: ConfigEdition { revision: ConfigRevision(5), edit: 1 },
            outcome: Outcome::Fork,
        },
        OfferCase { name: "newer", offer: edition(9), outcome: Outcome::Adopted },
    ];
    for case in cases {
        let mut propagation = PropagationState::new(Options::default());
        assert_eq!(propagation.adopt(ms(0), edition(5)), Outcome::Adopted);
        assert_eq!(propagation.adopt(ms(1), case.offer), case.outcome, "{}", case.name);
        let expected = if case.outcome == Outcome::Adopted { case.offer } else { edition(5) };
        assert_eq!(propagation.in_force(), Some(expected), "{}", case.name);
    }
    Ok(())
}

/// Guards against a host that never gets a new revision because the peer that it pulls from dies.
#[test]
fn an_unanswered_pull_is_retried_at_another_peer() -> TestResult {
    let mut propagation = PropagationState::new(Options::default());
    let digest = MemberDigest { revision: ConfigRevision(3), edit: 3_000, ..Default::default() };
    propagation.receive_digest(ms(0), HostKey(1), digest);
    propagation.receive_digest(ms(5), HostKey(2), digest);
    let pulls = |propagation: &mut PropagationState| -> Vec<PropagationAction> {
        std::iter::from_fn(|| propagation.poll_action()).collect()
    };
    let pull = |host| PropagationAction::Pull { peer: HostKey(host), revision: ConfigRevision(3) };
    assert_eq!(pulls(&mut propagation), [pull(1)]);
    propagation.tick(ms(1_100));
    assert_eq!(pulls(&mut propagation), [pull(2)]);
    assert!(!propagation.is_ready(2), "not ready while a peer is ahead");
    propagation.adopt(ms(1_200), edition(3));
    propagation.store_answered(ms(1_300), StoreAnswer::Holds(edition(3)));
    assert!(propagation.is_ready(2));
    Ok(())
}
