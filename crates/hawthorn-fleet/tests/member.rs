//! Membership among daemons on virtual time.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_fleet::FleetAction;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::member;
use hawthorn_types::platform::HostEntry;
use hawthorn_types::platform::HostPhase;
use support::Simulation;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

/// Upper bound of a heartbeat round, a probe, a suspicion and gossip together.
const DETECTION: Duration = ms(4_000);

fn settled(seed: u64, count: usize, zones: usize) -> Simulation {
    let mut sim = Simulation::with(seed, count, zones);
    sim.run_for(ms(10_000));
    assert!(all_see_all(&sim), "{count} daemons converged");
    sim
}

fn all_see_all(sim: &Simulation) -> bool {
    let running: Vec<usize> =
        (0..sim.daemons.len()).filter(|&index| sim.daemons[index].up).collect();
    running.iter().all(|&a| running.iter().all(|&b| sim.sees(a, b)))
}

fn none_see(sim: &Simulation, victim: usize) -> bool {
    let others = (0..sim.daemons.len()).filter(|&index| index != victim);
    others.filter(|&index| sim.daemons[index].up).all(|index| !sim.sees(index, victim))
}

fn deaths(sim: &Simulation) -> u64 {
    sim.daemons.iter().map(|daemon| daemon.table.counters().deaths).sum()
}

fn has_event(sim: &Simulation, index: usize, wanted: impl Fn(&FleetAction) -> bool) -> bool {
    sim.daemons[index].events.iter().any(|(_, event)| wanted(event))
}

/// Guards against callers that wait on a host that lost power without an announcement, which only
/// silence reveals.
#[test]
fn a_killed_host_is_down_everywhere_within_bounds() -> TestResult {
    for (count, zones) in [(8, 3), (64, 4)] {
        let mut sim = settled(1, count, zones);
        sim.kill(5);
        let time = sim.run_until(ms(20_000), |sim| none_see(sim, 5));
        assert!(time.is_some_and(|time| time <= DETECTION), "{count} daemons: {time:?}");
        assert!(all_see_all(&sim), "{count} daemons: no live host is down");
    }
    Ok(())
}

/// Guards against fronts that keep sending to a zone that lost power at once, where no member
/// is left to declare its hosts dead.
#[test]
fn a_failed_zone_is_lost_everywhere_within_bounds() -> TestResult {
    for (count, zones) in [(9, 3), (64, 4)] {
        let mut sim = settled(15, count, zones);
        let gone = sim.members_of("zone-1");
        for &index in &gone {
            sim.kill(index);
        }
        let lost = |sim: &Simulation| {
            let mut running = sim.daemons.iter().filter(|daemon| daemon.up);
            running.all(|daemon| !daemon.table.zone_reachable("zone-1"))
        };
        let time = sim.run_until(ms(20_000), lost);
        eprintln!("{count} daemons: lost after {time:?}");
        assert!(time.is_some_and(|time| time <= ms(7_000)), "{count} daemons: {time:?}");
        for &index in &gone {
            let now = sim.now.as_millis() as u64;
            sim.restart(index, now);
        }
        let back = sim.run_until(ms(20_000), all_see_all);
        assert!(back.is_some_and(|time| time <= ms(10_000)), "{count} daemons: {back:?}");
    }
    Ok(())
}

/// Guards against fronts that leave out healthy zones: with many zones of few hosts, each pair
/// of zones exchanges few datagrams.
#[test]
fn many_small_zones_do_not_lose_each_other() -> TestResult {
    let mut sim = settled(16, 50, 25);
    sim.loss = 0.05;
    sim.run_for(ms(60_000));
    for index in 0..50 {
        let lost = has_event(&sim, index, |event| matches!(event, FleetAction::ZoneLost(_)));
        assert!(!lost, "daemon {index}");
    }
    Ok(())
}

/// With two daemons in the fleet, the survivor of a kill receives nothing and can't tell its own
/// isolation from the death. It takes longer to decide, but not forever.
#[test]
fn the_last_daemon_eventually_declares_the_other_dead() -> TestResult {
    let mut sim = settled(2, 2, 1);
    sim.kill(0);
    let time = sim.run_until(ms(20_000), |sim| none_see(sim, 0));
    assert!(time.is_some_and(|time| time > ms(4_500) && time < ms(8_000)), "{time:?}");
    Ok(())
}

/// Guards against a host that declares its zone dead after a pause of 10 s: it resumes with all
/// timers expired and could mistake its own silence for that of the others.
#[test]
fn a_paused_host_declares_no_host_dead_and_rejoins() -> TestResult {
    let mut sim = settled(3, 9, 3);
    sim.pause(4);
    sim.run_for(ms(10_000));
    assert!(none_see(&sim, 4), "it is down while it is paused");
    let before = deaths(&sim);
    sim.resume(4);
    let back = sim.run_until(ms(5_000), all_see_all);
    assert!(back.is_some_and(|time| time < ms(2_000)), "{back:?}");
    sim.run_for(ms(10_000));
    assert_eq!(deaths(&sim), before, "it declared no host dead");
    assert!(has_event(&sim, 4, |event| matches!(event, FleetAction::ProcessPaused(_))));
    Ok(())
}

/// Guards against a live host that flaps because a link is broken in one direction.
#[test]
fn a_one_way_partition_between_two_hosts_declares_neither_dead() -> TestResult {
    let mut sim = settled(4, 9, 3);
    sim.blocked.insert((0, 3));
    sim.run_for(ms(60_000));
    assert_eq!(deaths(&sim), 0);
    assert!(all_see_all(&sim));
    Ok(())
}

/// Guards against one host that makes all others flap: its network card sends but receives nothing,
/// so that it suspects every member and gossips it.
#[test]
fn a_host_that_receives_nothing_is_the_only_one_declared_dead() -> TestResult {
    let mut sim = settled(5, 9, 3);
    sim.blocked.extend((0..9).map(|index| (index, 3)));
    sim.run_for(ms(30_000));
    assert!(none_see(&sim, 3), "it does not answer");
    for index in (0..9).filter(|&index| index != 3) {
        assert!((0..9).all(|other| other == 3 || sim.sees(index, other)));
        assert_eq!(sim.daemons[index].table.counters().refutations, 0, "daemon {index}");
    }
    sim.blocked.clear();
    let back = sim.run_until(ms(15_000), all_see_all);
    assert!(back.is_some(), "it rejoins once it receives again");
    Ok(())
}

/// Guards against a restarted host that stays down, or whose old incarnation reappears, while
/// updates of both incarnations are in transit.
#[test]
fn a_restart_at_the_same_address_replaces_the_old_incarnation() -> TestResult {
    let mut sim = settled(6, 9, 3);
    sim.duplication = 0.2;
    let old = sim.daemons[2].table.record_by_id(MemberId::of("host-0002")).map(|it| it.stamp);
    let incarnation = sim.now.as_millis() as u64;
    sim.restart(2, incarnation);
    sim.run_for(ms(5_000));
    for daemon in &sim.daemons {
        let stamp = daemon.table.record_by_id(MemberId::of("host-0002")).map(|it| it.stamp);
        assert!(stamp > old, "{}: {stamp:?} after {old:?}", daemon.name);
        assert_eq!(stamp.map(|stamp| stamp.incarnation), Some(incarnation));
    }
    assert!(all_see_all(&sim));
    Ok(())
}

/// Guards against a restarted host that all others ignore because its clock was set back, so that
/// its new incarnation looks older than the previous one.
#[test]
fn a_restart_with_a_clock_set_back_is_accepted() -> TestResult {
    let mut sim = settled(7, 9, 3);
    sim.kill(2);
    sim.run_for(ms(5_000));
    sim.restart(2, 1);
    let back = sim.run_until(ms(20_000), all_see_all);
    assert!(back.is_some(), "all see the new incarnation");
    Ok(())
}

/// Guards against a replaced host that stays live forever because a host with another name gets its
/// address and answers its pings.
#[test]
fn another_host_at_the_address_replaces_the_old_one() -> TestResult {
    let mut sim = settled(8, 6, 3);
    sim.kill(1);
    let zone = sim.daemons[1].zone.clone();
    let new = sim.add(&zone);
    sim.take_address(new, 1);
    let done = sim.run_until(ms(5_000), |sim| none_see(sim, 1));
    assert!(done.is_some());
    assert!((0..6).filter(|&index| index != 1).all(|index| sim.sees(index, new)));
    Ok(())
}

/// Guards against a replaced host that stays live forever while its replacement is never added. As
/// before, but the replacement was switched on later, so that its incarnation, by its own clock, is
/// lower. Clocks of two hosts are not comparable.
#[test]
fn a_host_with_a_lower_incarnation_at_the_address_replaces_the_old_one() -> TestResult {
    let mut sim = settled(8, 6, 3);
    sim.kill(1);
    let zone = sim.daemons[1].zone.clone();
    let new = sim.add(&zone);
    sim.kill(new);
    sim.run_for(ms(1));
    sim.take_address_at(new, 1, 1);
    let done = sim.run_until(ms(20_000), |sim| none_see(sim, 1));
    assert!(done.is_some(), "the old host is gone");
    let known = sim.run_until(ms(20_000), |sim| {
        (0..6).filter(|&index| index != 1).all(|index| sim.sees(index, new))
    });
    assert!(known.is_some(), "the new host is known");
    Ok(())
}

/// Guards against hosts that flap because the network duplicates, reorders and loses datagrams, so
/// that old acks and updates arrive after new ones.
#[test]
fn duplicated_delayed_and_lost_datagrams_declare_no_host_dead() -> TestResult {
    let mut sim = settled(9, 12, 3);
    sim.duplication = 0.3;
    sim.loss = 0.05;
    sim.delay = (200, 60_000);
    sim.run_for(ms(60_000));
    assert_eq!(deaths(&sim), 0);
    assert!(all_see_all(&sim));
    Ok(())
}

struct PartitionCase {
    name: &'static str,
    left: &'static [usize],
    /// Whether the sides declare each other's hosts dead.
    declares_dead: bool,
    healed: Duration,
}

/// Guards against sides of a partition that never rejoin after two minutes because neither sends to
/// dead hosts.
#[test]
fn the_sides_of_a_partition_rejoin_after_it_heals() -> TestResult {
    let cases = [
        PartitionCase {
            name: "a zone from the others",
            left: &[0, 3, 6],
            declares_dead: false,
            healed: ms(4_000),
        },
        PartitionCase {
            name: "across zones",
            left: &[0, 1, 2, 3],
            declares_dead: true,
            healed: ms(20_000),
        },
    ];
    for case in cases {
        let mut sim = settled(10, 9, 3);
        let right: Vec<usize> = (0..9).filter(|index| !case.left.contains(index)).collect();
        sim.partition(case.left, &right);
        sim.run_for(ms(120_000));
        assert_eq!(deaths(&sim) > 0, case.declares_dead, "{}", case.name);
        let reached = |sim: &Simulation| sim.daemons[0].table.zone_reachable("zone-1");
        assert_eq!(reached(&sim), case.declares_dead, "{}: zone-1 from host 0", case.name);
        sim.blocked.clear();
        let healed = sim.run_until(ms(60_000), |sim| all_see_all(sim) && reached(sim));
        eprintln!("{}: healed after {healed:?}", case.name);
        assert!(healed.is_some_and(|time| time <= case.healed), "{}: {healed:?}", case.name);
    }
    Ok(())
}

/// Guards against the platform's lagging list: it still contains a host that was killed, and lacks
/// one that runs.
#[test]
fn the_platform_list_neither_removes_nor_revives_members() -> TestResult {
    let mut sim = settled(11, 6, 3);
    sim.kill(4);
    sim.run_for(ms(5_000));
    let listed: Vec<HostEntry> = (0..6)
        .filter(|&index| index != 5)
        .map(|index| HostEntry {
            host: sim.daemons[index].name.clone(),
            zone: sim.daemons[index].zone.clone(),
            peer: sim.daemons[index].peer,
            phase: HostPhase::Live,
        })
        .collect();
    for _ in 0..10 {
        let now = sim.now;
        for daemon in &mut sim.daemons {
            daemon.table.seed_platform(now, &listed);
        }
        sim.run_for(ms(1_000));
        assert!(none_see(&sim, 4) && all_see_all(&sim));
    }
    Ok(())
}

/// Guards against requests to a host that stops: without its announcement, detecting the stop from
/// silence takes seconds.
#[test]
fn a_graceful_leave_is_known_at_once() -> TestResult {
    let mut sim = settled(12, 9, 3);
    sim.act(6, |daemon, now| daemon.table.leave(now));
    sim.run_for(ms(1_500));
    for index in (0..9).filter(|&index| index != 6) {
        assert!(has_event(&sim, index, |event| matches!(event, FleetAction::MemberLeaving(_))));
        assert!(sim.sees(index, 6), "it still runs");
    }
    sim.act(6, |daemon, now| daemon.table.depart(now));
    sim.kill(6);
    let gone = sim.run_until(ms(5_000), |sim| none_see(sim, 6));
    assert!(gone.is_some_and(|time| time < ms(1_500)), "{gone:?}");
    assert_eq!(deaths(&sim), 0, "no death was declared");
    Ok(())
}

/// Guards against a count of peers that includes this host, and falls below zero once the host has
/// left.
#[test]
fn a_host_that_left_does_not_count_as_its_own_peer() -> TestResult {
    let mut sim = settled(12, 3, 3);
    assert_eq!(sim.daemons[0].table.live_peers(), 2);
    for index in 0..3 {
        sim.act(index, |daemon, now| daemon.table.depart(now));
        sim.run_for(ms(1_500));
        assert_eq!(sim.daemons[2].table.live_peers(), 2 - (index + 1).min(2));
    }
    Ok(())
}

/// A day's 18,000 restarts of 4,000 daemons within one hour, as in a rolling update. Other hosts
/// are not affected, and traffic stays within the budget of 5 KB a second.
#[test]
fn a_restart_storm_does_not_affect_other_hosts() -> TestResult {
    const RESTARTS: usize = 60;
    let mut sim = settled(13, 48, 4);
    let (start, sent) = (sim.now, sim.sent.1);
    for turn in 0..RESTARTS {
        sim.run_for(ms(200));
        let victim = 3 + turn % 40;
        let now = sim.now;
        sim.restart(victim, now.as_millis() as u64);
    }
    let seconds = (sim.now - start).as_secs_f64();
    let bytes = (sim.sent.1 - sent) as f64 / seconds / 48.0;
    assert!(bytes < 5_000.0, "{bytes:.0} bytes a second");
    let settled = sim.run_until(ms(20_000), all_see_all);
    assert!(settled.is_some_and(|time| time < ms(10_000)), "{settled:?}");
    Ok(())
}

/// The first of two processes with the same name stops when the second one started later.
#[test]
fn a_duplicate_process_supersedes_the_first() -> TestResult {
    let mut sim = settled(14, 4, 2);
    let place = hawthorn_fleet::MemberPlace {
        host: sim.daemons[1].name.clone(),
        zone: sim.daemons[1].zone.clone(),
        peer: Simulation::address(99),
        capacity: 0,
    };
    let later = sim.now.as_millis() as u64;
    let mut duplicate = MemberTable::new(place, later, member::Options::default(), 99);
    duplicate.seed(sim.now, &[sim.daemons[1].peer]);
    duplicate.tick(sim.now);
    let mut sent = Vec::new();
    while let Some(action) = duplicate.poll_action() {
        if let FleetAction::Send { bytes, .. } = action {
            sent.push(bytes);
        }
    }
    let now = sim.now;
    for bytes in sent {
        sim.daemons[1].table.receive(now, Simulation::address(99), &bytes)?;
    }
    sim.run_for(ms(1_000));
    let superseded = FleetAction::Superseded(Simulation::address(99));
    assert!(has_event(&sim, 1, |event| *event == superseded));
    Ok(())
}
