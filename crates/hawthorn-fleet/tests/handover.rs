//! Shares of slots while ownership changes, on virtual time.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_fleet::GroupId;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::SlotShare;
use hawthorn_fleet::handover::Handover;
use hawthorn_fleet::handover::HandoverAction;
use hawthorn_fleet::handover::HostStatus;
use hawthorn_fleet::handover::Options;
use hawthorn_fleet::handover::ZoneView;
use hawthorn_fleet::ownership;
use hawthorn_fleet::ownership::DEFAULT_BUCKETS;
use hawthorn_fleet::ownership::OwnerCandidate;
use hawthorn_fleet::propagation::ConfigEdition;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;
use support::Simulation;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

const ZONE: &str = "zone-0";

/// Slot usage observed in one zone.
#[derive(Debug, Default)]
struct Shares {
    /// The maximum number of halves of one bucket's slots in use at one time; 2 is all.
    max_halves: u32,
    /// The longest time in which some bucket had no owner.
    unowned: Duration,
    /// The longest time in which some bucket had less than all of its slots.
    partial: Duration,
}

fn serving(seed: u64, count: usize, zones: usize) -> Simulation {
    let mut sim = Simulation::with(seed, count, zones);
    sim.write_store(ConfigEdition { revision: ConfigRevision(1), edit: 1 });
    sim.run_for(ms(20_000));
    sim
}

fn watch(sim: &mut Simulation, time: Duration) -> Shares {
    let step = ms(10);
    let mut shares = Shares::default();
    let mut unowned = vec![Duration::ZERO; usize::from(DEFAULT_BUCKETS)];
    let mut partial = unowned.clone();
    let end = sim.now + time;
    while sim.now < end {
        sim.run_for(step);
        for bucket in 0..DEFAULT_BUCKETS {
            let halves = sim.halves(ZONE, bucket);
            let index = usize::from(bucket);
            unowned[index] = if halves == 0 { unowned[index] + step } else { Duration::ZERO };
            partial[index] = if halves < 2 { partial[index] + step } else { Duration::ZERO };
            shares.max_halves = shares.max_halves.max(halves);
            shares.unowned = shares.unowned.max(unowned[index]);
            shares.partial = shares.partial.max(partial[index]);
        }
    }
    shares
}

fn all_owned_once(sim: &Simulation) -> bool {
    (0..DEFAULT_BUCKETS).all(|bucket| sim.halves(ZONE, bucket) == 2)
}

struct ChangeCase {
    name: &'static str,
    change: fn(&mut Simulation),
    max_halves: u32,
    unowned: Duration,
    partial: Duration,
}

/// Guards against targets that shed load, and callers that wait for a slot, while owners change. A
/// host joins, leaves, dies or is paused; until the views agree, two hosts believe that they own
/// the same targets, or none does.
#[test]
fn a_change_of_hosts_never_exceeds_the_slots() -> TestResult {
    let cases = [
        ChangeCase {
            name: "join",
            change: |sim| {
                sim.add(ZONE);
            },
            max_halves: 2,
            unowned: ms(100),
            partial: ms(1_600),
        },
        ChangeCase {
            name: "graceful leave",
            change: |sim| sim.act(3, |daemon, now| daemon.table.leave(now)),
            max_halves: 2,
            unowned: ms(400),
            partial: ms(1_800),
        },
        ChangeCase {
            name: "kill",
            change: |sim| sim.kill(3),
            max_halves: 2,
            unowned: ms(2_500),
            partial: ms(6_000),
        },
        ChangeCase {
            name: "pause of 10 s",
            change: |sim| {
                sim.pause(3);
                sim.run_for(ms(10_000));
                sim.resume(3);
            },
            max_halves: 2,
            unowned: ms(100),
            partial: ms(1_800),
        },
        ChangeCase {
            name: "restart at once",
            change: |sim| {
                let now = sim.now.as_millis() as u64;
                sim.restart(3, now);
            },
            max_halves: 2,
            unowned: ms(2_500),
            partial: ms(6_000),
        },
    ];
    for (case, loss) in cases.iter().flat_map(|case| [(case, 0.0), (case, 0.05)]) {
        let mut sim = serving(11, 9, 3);
        sim.loss = loss;
        assert!(all_owned_once(&sim), "{}: settled before", case.name);
        (case.change)(&mut sim);
        let shares = watch(&mut sim, ms(20_000));
        eprintln!("{}, {loss} lost: {shares:?}", case.name);
        assert!(shares.max_halves <= case.max_halves, "{}: {shares:?}", case.name);
        assert!(shares.unowned <= case.unowned, "{}: {shares:?}", case.name);
        assert!(shares.partial <= case.partial, "{}: {shares:?}", case.name);
        assert!(all_owned_once(&sim), "{}: settled after", case.name);
    }
    Ok(())
}

/// Guards against an isolated host that keeps using all slots of its targets. The others declare it
/// dead and take over its groups while it still reaches the targets, because neither side can tell
/// a partition from a failure.
#[test]
fn an_isolated_host_drops_to_half_before_others_take_over() -> TestResult {
    let mut sim = serving(12, 9, 3);
    let others: Vec<usize> = (0..9).filter(|&index| index != 3).collect();
    sim.partition(&[3], &others);
    let first = watch(&mut sim, ms(3_500));
    assert!(first.max_halves <= 2, "while its isolation is detected: {first:?}");
    let rest = watch(&mut sim, ms(20_000));
    eprintln!("isolated: {first:?} then {rest:?}");
    assert!(rest.max_halves <= 3, "half at the isolated host, all at the new owner: {rest:?}");
    sim.blocked.clear();
    sim.run_for(ms(15_000));
    assert!(all_owned_once(&sim), "one owner after the partition heals");
    Ok(())
}

/// Guards against a zone that restricts itself when it is partitioned from all others: its hosts
/// continue alone, and would stay at half if they mistook the partition for their own isolation.
#[test]
fn a_partitioned_zone_serves_its_own_targets_at_all_slots() -> TestResult {
    for count in [3, 6, 9] {
        let mut sim = serving(13, count, 3);
        let inside = sim.members_of(ZONE);
        let outside: Vec<usize> = (0..count).filter(|index| !inside.contains(index)).collect();
        sim.partition(&inside, &outside);
        let shares = watch(&mut sim, ms(60_000));
        eprintln!("{count} hosts: {shares:?}");
        assert_eq!((shares.max_halves, shares.partial), (2, Duration::ZERO), "{count} hosts");
    }
    Ok(())
}

/// Guards against a former owner that releases a bucket while its requests still run: they would be
/// cut off, or slots used twice.
#[test]
fn a_bucket_is_released_only_after_its_requests_end() -> TestResult {
    let ids = [MemberId::of("host-a"), MemberId::of("host-b")];
    let view = |hosts: &[MemberId]| ZoneView {
        zone: ZONE.to_owned(),
        hosts: hosts.iter().map(|&id| (id, HostStatus::Serving)).collect(),
        isolated: false,
        other_zones_reachable: true,
    };
    let options = Options { buckets: 1, ..Options::default() };
    let (winner, loser) = match ownership_of(&ids) {
        Some(id) if id == ids[0] => (ids[0], ids[1]),
        _ => (ids[1], ids[0]),
    };
    let mut old = Handover::new(loser, options.clone());
    let mut new = Handover::new(winner, options);
    old.observe(ms(0), view(&[loser]));
    old.tick(ms(4_000), |_| true);
    assert_eq!(old.share(0), SlotShare::Full, "alone");
    new.observe(ms(4_000), view(&ids));
    new.tick(ms(4_000), |_| false);
    assert_eq!((old.share(0), new.share(0)), (SlotShare::Full, SlotShare::None), "no request yet");
    for step in 0..100 {
        let now = ms(4_000 + step * 100);
        let busy = step < 60;
        old.tick(now, |_| busy);
        new.tick(now, |_| false);
        pass(now, &mut new, winner, &mut old);
        pass(now, &mut old, loser, &mut new);
        old.observe(now, view(&ids));
        let expected = if busy { SlotShare::Half } else { SlotShare::Full };
        assert_eq!(new.share(0), expected, "step {step}");
    }
    assert_eq!(old.share(0), SlotShare::None);
    Ok(())
}

fn ownership_of(ids: &[MemberId]) -> Option<MemberId> {
    let hosts = ids.iter().map(|&id| OwnerCandidate { key: HostKey::default(), id });
    ownership::ranked(GroupId::new(ZONE, 0), hosts).0.map(|owner| owner.id)
}

fn pass(now: Duration, from: &mut Handover, id: MemberId, to: &mut Handover) {
    while let Some(action) = from.poll_action() {
        if let HandoverAction::Send { message, .. } = action {
            to.receive(now, id, message);
        }
    }
}

#[test]
fn half_of_an_odd_number_is_rounded_up() -> TestResult {
    for (slots, half) in [(0, 0), (1, 1), (2, 1), (6, 3), (7, 4)] {
        assert_eq!(SlotShare::Half.slots(slots), half, "{slots} slots");
        assert_eq!(SlotShare::Full.slots(slots), slots);
        assert_eq!(SlotShare::None.slots(slots), 0);
    }
    Ok(())
}
