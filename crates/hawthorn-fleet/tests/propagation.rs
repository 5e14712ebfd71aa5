//! The spread of configuration among daemons on virtual time.

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
use support::Switch;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

fn edition(revision: u64) -> ConfigEdition {
    ConfigEdition { revision: ConfigRevision(revision), edit: revision * 1_000 }
}

fn serving(seed: u64, count: usize, zones: usize) -> Switch {
    let mut switch = Switch::with(seed, count, zones);
    switch.write_store(edition(1));
    switch.run_for(ms(10_000));
    assert!(in_force_everywhere(&switch, 1), "{count} daemons have the first revision");
    switch
}

fn in_force_everywhere(switch: &Switch, revision: u64) -> bool {
    let mut running = switch.daemons.iter().filter(|daemon| daemon.up);
    running.all(|daemon| daemon.propagation.in_force() == Some(edition(revision)))
}

fn raised(switch: &Switch, alarm: PropagationAlarm) -> usize {
    switch.daemons.iter().filter(|daemon| daemon.alarms.contains(&alarm)).count()
}

/// A rule that operators changed holds at some hosts and not at others. Order:
/// an edit is accepted while the network loses one datagram in twenty.
#[test]
fn a_revision_is_in_force_everywhere_within_eight_seconds() -> TestResult {
    for (count, zones, edits) in [(8, 3, 50), (64, 4, 5), (128, 4, 1)] {
        let mut switch = serving(1, count, zones);
        switch.loss = 0.05;
        let mut times: Vec<Duration> = Vec::new();
        let calls = switch.store.calls;
        for revision in 2..2 + edits {
            let start = switch.now;
            switch.write_store(edition(revision));
            switch.run_for(ms(8_000));
            times.extend(switch.daemons.iter().map(|daemon| {
                let found = daemon.adopted.iter().find(|entry| entry.1 == edition(revision));
                found.map_or(Duration::MAX, |entry| entry.0 - start)
            }));
        }
        times.sort();
        assert!(times.iter().all(|&time| time <= ms(8_000)), "{count}: {:?}", times.last());
        // Each watcher: one call an edit, one for each ten seconds of rest.
        let calls = (switch.store.calls - calls) as f64 / edits as f64 / zones as f64;
        eprintln!("{count}: last {:?}, {calls:.2} calls an edit and zone", times.last());
        assert!(calls <= 4.0, "{count} daemons: {calls} calls an edit and zone");
    }
    Ok(())
}

/// The store refuses everyone over its rate. Order: all daemons of the fleet
/// start at once, then nothing happens. Cause: each of them asks it.
#[test]
fn two_daemons_of_a_zone_call_the_store() -> TestResult {
    let mut switch = serving(2, 24, 4);
    let calls = switch.store.calls;
    assert!(calls <= 24, "{calls} calls of 24 daemons that start at once, in 10 s");
    switch.run_for(ms(100_000));
    let calls = switch.store.calls - calls;
    eprintln!("{calls} calls in 100 s");
    let now = switch.now;
    let watching =
        switch.daemons.iter().filter(|daemon| daemon.propagation.is_watching(now)).count();
    assert_eq!(watching, 8);
    for daemon in &switch.daemons {
        let age = daemon.propagation.age(now);
        assert!(age.is_some_and(|age| age < ms(12_000)), "{} knows it: {age:?}", daemon.name);
    }
    assert!(calls <= 8 * 15, "{calls} calls of 8 watchers in 100 s");
    Ok(())
}

/// New rules stay out of a zone. Order: the two daemons that watch the store
/// for it are killed, then an edit is made. Cause: nobody else watches.
#[test]
fn lost_watchers_are_replaced() -> TestResult {
    let mut switch = serving(3, 12, 2);
    let now = switch.now;
    let watchers: Vec<usize> =
        (0..12).filter(|&index| switch.daemons[index].propagation.is_watching(now)).collect();
    for &index in &watchers {
        switch.kill(index);
    }
    switch.write_store(edition(2));
    let time = switch.run_until(ms(20_000), |switch| in_force_everywhere(switch, 2));
    eprintln!("after {time:?}");
    assert!(time.is_some_and(|time| time <= ms(8_000)), "{time:?}");
    Ok(())
}

/// Rules that operators withdrew come back. Order: the store is restored from
/// a copy that is some edits old. Cause: a daemon believes whatever it reads.
#[test]
fn a_store_restored_to_an_older_revision_is_refused() -> TestResult {
    let mut switch = serving(4, 8, 2);
    switch.write_store(edition(5));
    switch.run_for(ms(8_000));
    switch.write_store(edition(3));
    switch.run_for(ms(60_000));
    assert!(in_force_everywhere(&switch, 5));
    let alarm =
        PropagationAlarm::StoreBehind { store: ConfigRevision(3), in_force: ConfigRevision(5) };
    assert_eq!(raised(&switch, alarm), 4, "each watcher says so once");
    switch.write_store(edition(6));
    let time = switch.run_until(ms(20_000), |switch| in_force_everywhere(switch, 6));
    assert!(time.is_some_and(|time| time <= ms(8_000)), "the next edit goes through: {time:?}");
    Ok(())
}

/// Half of the hosts work by one rule, half by another, under one revision.
/// Order: a restored store is edited until it reaches a revision that the
/// daemons hold already. Cause: a number alone does not name an edit.
#[test]
fn another_edit_of_the_revision_in_force_is_refused() -> TestResult {
    let mut switch = serving(5, 8, 2);
    switch.write_store(edition(5));
    switch.run_for(ms(8_000));
    let other = ConfigEdition { revision: ConfigRevision(5), edit: 77 };
    switch.write_store(other);
    switch.run_for(ms(60_000));
    assert!(in_force_everywhere(&switch, 5));
    let alarm = PropagationAlarm::Fork { revision: ConfigRevision(5), mine: 5_000, theirs: 77 };
    assert_eq!(raised(&switch, alarm), 4);
    Ok(())
}

/// A host serves by withdrawn rules. Order: the store goes down; a host is
/// started, and says that it is ready before it knows what the others know.
#[test]
fn a_daemon_started_in_an_outage_learns_from_peers_before_it_is_ready() -> TestResult {
    let mut switch = serving(6, 9, 3);
    switch.write_store(edition(4));
    switch.run_for(ms(8_000));
    switch.store.up = false;
    let now = switch.now;
    switch.restart(4, now.as_millis() as u64);
    while !switch.daemons[4].ready {
        assert!(switch.now - now < ms(5_000), "ready within five seconds");
        switch.run_for(ms(10));
    }
    eprintln!("ready after {:?}", switch.now - now);
    assert_eq!(switch.daemons[4].propagation.in_force(), Some(edition(4)));
    let calls = switch.store.calls;
    switch.run_for(ms(60_000));
    let calls = switch.store.calls - calls;
    // Two watchers and two stand-ins a zone, each at most every five seconds.
    assert!(calls <= 3 * 4 * 14, "{calls} calls in a minute of outage");
    Ok(())
}

/// A zone works by old rules without saying so. Order: it is cut off; an edit
/// is made; the cut heals. Meanwhile its age must grow, and elsewhere not.
#[test]
fn a_zone_cut_off_shows_its_age_and_catches_up() -> TestResult {
    let mut switch = serving(7, 9, 3);
    let inside = switch.members_of("zone-1");
    let outside: Vec<usize> = (0..9).filter(|index| !inside.contains(index)).collect();
    switch.cut(&inside, &outside);
    switch.store.up = false;
    switch.run_for(ms(60_000));
    let age = switch.daemons[inside[0]].propagation.age(switch.now);
    assert!(age.is_some_and(|age| age > ms(45_000)), "{age:?}");
    switch.store.up = true;
    switch.act(outside[0], |daemon, now| {
        assert_eq!(daemon.propagation.adopt(now, edition(2)), Outcome::Adopted);
    });
    switch.cuts.clear();
    let time = switch.run_until(ms(10_000), |switch| in_force_everywhere(switch, 2));
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

/// A host never gets a new revision. Order: it asks the peer that said it has
/// it, and the peer dies. Cause: it waits for that one peer.
#[test]
fn a_pull_without_an_answer_goes_to_another_peer() -> TestResult {
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
