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
use support::Switch;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

/// Heartbeat round, probe, suspicion and a rumor's way: nobody takes longer.
const DETECTION: Duration = ms(4_000);

fn settled(seed: u64, count: usize, zones: usize) -> Switch {
    let mut switch = Switch::with(seed, count, zones);
    switch.run_for(ms(10_000));
    assert!(all_see_all(&switch), "{count} daemons met");
    switch
}

fn all_see_all(switch: &Switch) -> bool {
    let running: Vec<usize> =
        (0..switch.daemons.len()).filter(|&index| switch.daemons[index].up).collect();
    running.iter().all(|&a| running.iter().all(|&b| switch.sees(a, b)))
}

fn nobody_sees(switch: &Switch, victim: usize) -> bool {
    let others = (0..switch.daemons.len()).filter(|&index| index != victim);
    others.filter(|&index| switch.daemons[index].up).all(|index| !switch.sees(index, victim))
}

fn deaths(switch: &Switch) -> u64 {
    switch.daemons.iter().map(|daemon| daemon.table.counters().deaths).sum()
}

fn has_event(switch: &Switch, index: usize, wanted: impl Fn(&FleetAction) -> bool) -> bool {
    switch.daemons[index].events.iter().any(|(_, event)| wanted(event))
}

/// Callers wait on a host that is gone. Order: a host loses power and says
/// nothing. Cause: only silence tells of it.
#[test]
fn a_killed_host_is_down_everywhere_within_bounds() -> TestResult {
    for (count, zones) in [(8, 3), (64, 4)] {
        let mut switch = settled(1, count, zones);
        switch.kill(5);
        let time = switch.run_until(ms(20_000), |switch| nobody_sees(switch, 5));
        assert!(time.is_some_and(|time| time <= DETECTION), "{count} daemons: {time:?}");
        assert!(all_see_all(&switch), "{count} daemons: no live host is down");
    }
    Ok(())
}

/// Fronts go on sending to a zone that is gone. Order: a zone loses power at
/// once. Cause: nobody of it is left to say that its hosts are dead.
#[test]
fn a_zone_that_dies_whole_is_lost_everywhere_within_bounds() -> TestResult {
    for (count, zones) in [(9, 3), (64, 4)] {
        let mut switch = settled(15, count, zones);
        let gone = switch.members_of("zone-1");
        for &index in &gone {
            switch.kill(index);
        }
        let lost = |switch: &Switch| {
            let mut running = switch.daemons.iter().filter(|daemon| daemon.up);
            running.all(|daemon| !daemon.table.zone_reachable("zone-1"))
        };
        let time = switch.run_until(ms(20_000), lost);
        eprintln!("{count} daemons: lost after {time:?}");
        assert!(time.is_some_and(|time| time <= ms(7_000)), "{count} daemons: {time:?}");
        for &index in &gone {
            let now = switch.now.as_millis() as u64;
            switch.restart(index, now);
        }
        let back = switch.run_until(ms(20_000), all_see_all);
        assert!(back.is_some_and(|time| time <= ms(10_000)), "{count} daemons: {back:?}");
    }
    Ok(())
}

/// Fronts leave out zones that are well. Order: nothing happens. Cause: with
/// many zones of few hosts, each pair of zones would seldom talk.
#[test]
fn many_small_zones_do_not_lose_each_other() -> TestResult {
    let mut switch = settled(16, 50, 25);
    switch.loss = 0.05;
    switch.run_for(ms(60_000));
    for index in 0..50 {
        let lost = has_event(&switch, index, |event| matches!(event, FleetAction::ZoneLost(_)));
        assert!(!lost, "daemon {index}");
    }
    Ok(())
}

/// Two daemons are the whole fleet and one is killed: the other hears nobody
/// and can't tell its own isolation from the death. It takes longer, but not
/// for ever.
#[test]
fn the_last_daemon_holds_the_other_for_dead_in_the_end() -> TestResult {
    let mut switch = settled(2, 2, 1);
    switch.kill(0);
    let time = switch.run_until(ms(20_000), |switch| nobody_sees(switch, 0));
    assert!(time.is_some_and(|time| time > ms(4_500) && time < ms(8_000)), "{time:?}");
    Ok(())
}

/// After a pause a host kills its zone. Order: a host stands still for 10 s,
/// the others hold it for dead; it wakes with all timers overdue. Cause: it
/// takes its own silence for theirs.
#[test]
fn a_paused_host_kills_nobody_and_comes_back() -> TestResult {
    let mut switch = settled(3, 9, 3);
    switch.pause(4);
    switch.run_for(ms(10_000));
    assert!(nobody_sees(&switch, 4), "it is down while it stands still");
    let before = deaths(&switch);
    switch.resume(4);
    let back = switch.run_until(ms(5_000), all_see_all);
    assert!(back.is_some_and(|time| time < ms(2_000)), "{back:?}");
    switch.run_for(ms(10_000));
    assert_eq!(deaths(&switch), before, "it held nobody for dead");
    assert!(has_event(&switch, 4, |event| matches!(event, FleetAction::ProcessPaused(_))));
    Ok(())
}

/// A live host flaps. Order: datagrams from one host to another are lost, the
/// other way is well. Cause: a broken link in one direction.
#[test]
fn a_one_way_cut_between_two_hosts_kills_neither() -> TestResult {
    let mut switch = settled(4, 9, 3);
    switch.cuts.insert((0, 3));
    switch.run_for(ms(60_000));
    assert_eq!(deaths(&switch), 0);
    assert!(all_see_all(&switch));
    Ok(())
}

/// All hosts flap because of one. Order: a host's network card receives
/// nothing but sends; it suspects everyone and says so to everyone. Cause: it
/// takes its own deafness for their silence.
#[test]
fn a_deaf_host_kills_only_itself() -> TestResult {
    let mut switch = settled(5, 9, 3);
    switch.cuts.extend((0..9).map(|index| (index, 3)));
    switch.run_for(ms(30_000));
    assert!(nobody_sees(&switch, 3), "it does not answer");
    for index in (0..9).filter(|&index| index != 3) {
        assert!((0..9).all(|other| other == 3 || switch.sees(index, other)));
        assert_eq!(switch.daemons[index].table.counters().refutations, 0, "daemon {index}");
    }
    switch.cuts.clear();
    let back = switch.run_until(ms(15_000), all_see_all);
    assert!(back.is_some(), "it comes back once it hears");
    Ok(())
}

/// A restarted host stays down, or its old life comes back. Order: a host is
/// restarted at its address; rumors of both lives are under way. Cause: they
/// look alike but for the incarnation.
#[test]
fn a_restart_at_the_same_address_replaces_the_old_life() -> TestResult {
    let mut switch = settled(6, 9, 3);
    switch.doubled = 0.2;
    let old = switch.daemons[2].table.record_by_id(MemberId::of("host-0002")).map(|it| it.stamp);
    let incarnation = switch.now.as_millis() as u64;
    switch.restart(2, incarnation);
    switch.run_for(ms(5_000));
    for daemon in &switch.daemons {
        let stamp = daemon.table.record_by_id(MemberId::of("host-0002")).map(|it| it.stamp);
        assert!(stamp > old, "{}: {stamp:?} after {old:?}", daemon.name);
        assert_eq!(stamp.map(|stamp| stamp.incarnation), Some(incarnation));
    }
    assert!(all_see_all(&switch));
    Ok(())
}

/// A restarted host is ignored by all. Order: its clock was set back, so its
/// new life looks older than the one before. Cause: incarnations are clocks.
#[test]
fn a_restart_with_a_clock_set_back_is_accepted() -> TestResult {
    let mut switch = settled(7, 9, 3);
    switch.kill(2);
    switch.run_for(ms(5_000));
    switch.restart(2, 1);
    let back = switch.run_until(ms(20_000), all_see_all);
    assert!(back.is_some(), "all see the new life");
    Ok(())
}

/// A host that was replaced stays live for ever. Order: a host goes and one
/// with another name gets its address and answers the pings meant for it.
#[test]
fn another_host_at_the_address_ends_the_old_one() -> TestResult {
    let mut switch = settled(8, 6, 3);
    switch.kill(1);
    let zone = switch.daemons[1].zone.clone();
    let new = switch.add(&zone);
    switch.take_address(new, 1);
    let done = switch.run_until(ms(5_000), |switch| nobody_sees(switch, 1));
    assert!(done.is_some());
    assert!((0..6).filter(|&index| index != 1).all(|index| switch.sees(index, new)));
    Ok(())
}

/// A host that was replaced stays live for ever, and the one in its place is
/// never met. Order: as before, but the new host was switched on later than the
/// old one, so that by its own clock it is younger. Cause: clocks of two hosts
/// are not comparable, and it answers the pings meant for the old one.
#[test]
fn a_younger_host_at_the_address_ends_the_old_one() -> TestResult {
    let mut switch = settled(8, 6, 3);
    switch.kill(1);
    let zone = switch.daemons[1].zone.clone();
    let new = switch.add(&zone);
    switch.kill(new);
    switch.run_for(ms(1));
    switch.take_address_at(new, 1, 1);
    let done = switch.run_until(ms(20_000), |switch| nobody_sees(switch, 1));
    assert!(done.is_some(), "the old host is gone");
    let met = switch.run_until(ms(20_000), |switch| {
        (0..6).filter(|&index| index != 1).all(|index| switch.sees(index, new))
    });
    assert!(met.is_some(), "the new host is met");
    Ok(())
}

/// Hosts flap though nothing is wrong. Order: the network doubles and reorders
/// datagrams, and loses some. Cause: old acks and rumors come after new ones.
#[test]
fn doubled_late_and_lost_datagrams_kill_nobody() -> TestResult {
    let mut switch = settled(9, 12, 3);
    switch.doubled = 0.3;
    switch.loss = 0.05;
    switch.delay = (200, 60_000);
    switch.run_for(ms(60_000));
    assert_eq!(deaths(&switch), 0);
    assert!(all_see_all(&switch));
    Ok(())
}

struct PartitionCase {
    name: &'static str,
    left: &'static [usize],
    /// Whether the sides hold each other's hosts for dead.
    kills: bool,
    healed: Duration,
}

/// Parts of the fleet never meet again. Order: they are cut off from each
/// other for two minutes, then not. Cause: nobody talks to the dead.
#[test]
fn parts_meet_again_after_a_partition() -> TestResult {
    let cases = [
        PartitionCase {
            name: "a zone from the others",
            left: &[0, 3, 6],
            kills: false,
            healed: ms(4_000),
        },
        PartitionCase {
            name: "across zones",
            left: &[0, 1, 2, 3],
            kills: true,
            healed: ms(20_000),
        },
    ];
    for case in cases {
        let mut switch = settled(10, 9, 3);
        let right: Vec<usize> = (0..9).filter(|index| !case.left.contains(index)).collect();
        switch.cut(case.left, &right);
        switch.run_for(ms(120_000));
        assert_eq!(deaths(&switch) > 0, case.kills, "{}", case.name);
        let reached = |switch: &Switch| switch.daemons[0].table.zone_reachable("zone-1");
        assert_eq!(reached(&switch), case.kills, "{}: zone-1 from host 0", case.name);
        switch.cuts.clear();
        let healed = switch.run_until(ms(60_000), |switch| all_see_all(switch) && reached(switch));
        eprintln!("{}: healed after {healed:?}", case.name);
        assert!(healed.is_some_and(|time| time <= case.healed), "{}: {healed:?}", case.name);
    }
    Ok(())
}

/// A dead host gets work and a live one none. Order: the platform's list still
/// names a host that was killed, and does not name one that runs. Cause: it lags.
#[test]
fn the_platform_list_neither_kills_nor_revives() -> TestResult {
    let mut switch = settled(11, 6, 3);
    switch.kill(4);
    switch.run_for(ms(5_000));
    let listed: Vec<HostEntry> = (0..6)
        .filter(|&index| index != 5)
        .map(|index| HostEntry {
            host: switch.daemons[index].name.clone(),
            zone: switch.daemons[index].zone.clone(),
            peer: switch.daemons[index].peer,
            phase: HostPhase::Live,
        })
        .collect();
    for _ in 0..10 {
        let now = switch.now;
        for daemon in &mut switch.daemons {
            daemon.table.seed_platform(now, &listed);
        }
        switch.run_for(ms(1_000));
        assert!(nobody_sees(&switch, 4) && all_see_all(&switch));
    }
    Ok(())
}

/// Work goes to a host that stops. Order: it says that it leaves, finishes,
/// and stops. Cause: a stop that only silence tells of takes seconds.
#[test]
fn a_leaving_host_is_known_at_once() -> TestResult {
    let mut switch = settled(12, 9, 3);
    switch.act(6, |daemon, now| daemon.table.leave(now));
    switch.run_for(ms(1_500));
    for index in (0..9).filter(|&index| index != 6) {
        assert!(has_event(&switch, index, |event| matches!(event, FleetAction::MemberLeaving(_))));
        assert!(switch.sees(index, 6), "it still runs");
    }
    switch.act(6, |daemon, now| daemon.table.depart(now));
    switch.kill(6);
    let gone = switch.run_until(ms(5_000), |switch| nobody_sees(switch, 6));
    assert!(gone.is_some_and(|time| time < ms(1_500)), "{gone:?}");
    assert_eq!(deaths(&switch), 0, "nobody had to find out");
    Ok(())
}

/// A day's 18,000 restarts of 4,000 daemons fall into one hour: a roll-out.
/// Nobody else is disturbed, and bytes stay within the budget of 5 KB a second.
#[test]
fn a_restart_storm_disturbs_nobody_else() -> TestResult {
    const RESTARTS: usize = 60;
    let mut switch = settled(13, 48, 4);
    let (start, sent) = (switch.now, switch.sent.1);
    for turn in 0..RESTARTS {
        switch.run_for(ms(200));
        let victim = 3 + turn % 40;
        let now = switch.now;
        switch.restart(victim, now.as_millis() as u64);
    }
    let seconds = (switch.now - start).as_secs_f64();
    let bytes = (switch.sent.1 - sent) as f64 / seconds / 48.0;
    assert!(bytes < 5_000.0, "{bytes:.0} bytes a second");
    let settled = switch.run_until(ms(20_000), all_see_all);
    assert!(settled.is_some_and(|time| time < ms(10_000)), "{settled:?}");
    Ok(())
}

/// A second process with the same name and a later start: the first one stops.
#[test]
fn a_twin_supersedes_the_first() -> TestResult {
    let mut switch = settled(14, 4, 2);
    let place = hawthorn_fleet::MemberPlace {
        host: switch.daemons[1].name.clone(),
        zone: switch.daemons[1].zone.clone(),
        peer: Switch::address(99),
        capacity: 0,
    };
    let later = switch.now.as_millis() as u64;
    let mut twin = MemberTable::new(place, later, member::Options::default(), 99);
    twin.seed(switch.now, &[switch.daemons[1].peer]);
    twin.tick(switch.now);
    let mut sent = Vec::new();
    while let Some(action) = twin.poll_action() {
        if let FleetAction::Send { bytes, .. } = action {
            sent.push(bytes);
        }
    }
    let now = switch.now;
    for bytes in sent {
        switch.daemons[1].table.receive(now, Switch::address(99), &bytes)?;
    }
    switch.run_for(ms(1_000));
    let superseded = FleetAction::Superseded(Switch::address(99));
    assert!(has_event(&switch, 1, |event| *event == superseded));
    Ok(())
}
