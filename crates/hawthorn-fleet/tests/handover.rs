//! Shares of slots while owners change, on virtual time.

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
use support::Switch;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

const ZONE: &str = "zone-0";

/// What the targets of one zone went through.
#[derive(Debug, Default)]
struct Shares {
    /// The most halves of one bucket's slots in use at one time; 2 is all.
    most: u32,
    /// The longest time in which some bucket had no owner.
    unowned: Duration,
    /// The longest time in which some bucket had less than all of its slots.
    partial: Duration,
}

fn serving(seed: u64, count: usize, zones: usize) -> Switch {
    let mut switch = Switch::with(seed, count, zones);
    switch.write_store(ConfigEdition { revision: ConfigRevision(1), edit: 1 });
    switch.run_for(ms(20_000));
    switch
}

fn watch(switch: &mut Switch, time: Duration) -> Shares {
    let step = ms(10);
    let mut shares = Shares::default();
    let mut unowned = vec![Duration::ZERO; usize::from(DEFAULT_BUCKETS)];
    let mut partial = unowned.clone();
    let end = switch.now + time;
    while switch.now < end {
        switch.run_for(step);
        for bucket in 0..DEFAULT_BUCKETS {
            let halves = switch.halves(ZONE, bucket);
            let index = usize::from(bucket);
            unowned[index] = if halves == 0 { unowned[index] + step } else { Duration::ZERO };
            partial[index] = if halves < 2 { partial[index] + step } else { Duration::ZERO };
            shares.most = shares.most.max(halves);
            shares.unowned = shares.unowned.max(unowned[index]);
            shares.partial = shares.partial.max(partial[index]);
        }
    }
    shares
}

fn all_owned_once(switch: &Switch) -> bool {
    (0..DEFAULT_BUCKETS).all(|bucket| switch.halves(ZONE, bucket) == 2)
}

struct ChangeCase {
    name: &'static str,
    change: fn(&mut Switch),
    most: u32,
    unowned: Duration,
    partial: Duration,
}

/// A caller sees targets shed load, or a barge slot wait, while owners change.
/// Order: a host joins, leaves, dies or stands still; for a while two hosts
/// believe they own the same targets, or none does. Cause: views differ.
#[test]
fn a_change_of_hosts_never_doubles_slots() -> TestResult {
    let cases = [
        ChangeCase {
            name: "join",
            change: |switch| {
                switch.add(ZONE);
            },
            most: 2,
            unowned: ms(100),
            partial: ms(1_600),
        },
        ChangeCase {
            name: "graceful leave",
            change: |switch| switch.act(3, |daemon, now| daemon.table.leave(now)),
            most: 2,
            unowned: ms(400),
            partial: ms(1_800),
        },
        ChangeCase {
            name: "kill",
            change: |switch| switch.kill(3),
            most: 2,
            unowned: ms(2_500),
            partial: ms(6_000),
        },
        ChangeCase {
            name: "pause of 10 s",
            change: |switch| {
                switch.pause(3);
                switch.run_for(ms(10_000));
                switch.resume(3);
            },
            most: 2,
            unowned: ms(100),
            partial: ms(1_800),
        },
        ChangeCase {
            name: "restart at once",
            change: |switch| {
                let now = switch.now.as_millis() as u64;
                switch.restart(3, now);
            },
            most: 2,
            unowned: ms(2_500),
            partial: ms(6_000),
        },
    ];
    for (case, loss) in cases.iter().flat_map(|case| [(case, 0.0), (case, 0.05)]) {
        let mut switch = serving(11, 9, 3);
        switch.loss = loss;
        assert!(all_owned_once(&switch), "{}: settled before", case.name);
        (case.change)(&mut switch);
        let shares = watch(&mut switch, ms(20_000));
        eprintln!("{}, {loss} lost: {shares:?}", case.name);
        assert!(shares.most <= case.most, "{}: {shares:?}", case.name);
        assert!(shares.unowned <= case.unowned, "{}: {shares:?}", case.name);
        assert!(shares.partial <= case.partial, "{}: {shares:?}", case.name);
        assert!(all_owned_once(&switch), "{}: settled after", case.name);
    }
    Ok(())
}

/// Targets shed load for as long as a host is cut off, if it goes on at all
/// slots. Order: one host hears nobody and nobody hears it; the others hold it
/// for dead and take its groups, while it still reaches the targets.
/// Cause: neither side can tell a cut from a death.
#[test]
fn a_host_cut_off_drops_to_half_before_others_take_over() -> TestResult {
    let mut switch = serving(12, 9, 3);
    let others: Vec<usize> = (0..9).filter(|&index| index != 3).collect();
    switch.cut(&[3], &others);
    let first = watch(&mut switch, ms(3_500));
    assert!(first.most <= 2, "while it is found out: {first:?}");
    let rest = watch(&mut switch, ms(20_000));
    eprintln!("cut off: {first:?} then {rest:?}");
    assert!(rest.most <= 3, "half at the host cut off, all at the new owner: {rest:?}");
    switch.cuts.clear();
    switch.run_for(ms(15_000));
    assert!(all_owned_once(&switch), "one owner after the cut heals");
    Ok(())
}

/// A zone's callers wait although its targets are well. Order: the zone loses
/// all others; its hosts go on alone. Cause: a host that mistook the cut for
/// its own isolation would stay at half.
#[test]
fn a_zone_cut_off_serves_its_own_targets_at_all_slots() -> TestResult {
    for count in [3, 6, 9] {
        let mut switch = serving(13, count, 3);
        let inside = switch.members_of(ZONE);
        let outside: Vec<usize> = (0..count).filter(|index| !inside.contains(index)).collect();
        switch.cut(&inside, &outside);
        let shares = watch(&mut switch, ms(60_000));
        eprintln!("{count} hosts: {shares:?}");
        assert_eq!((shares.most, shares.partial), (2, Duration::ZERO), "{count} hosts");
    }
    Ok(())
}

/// A caller's request is cut off or a slot is used twice. Order: a group
/// changes hands while requests of it still run at the former owner. Cause: it
/// lets go before they end.
#[test]
fn a_bucket_is_let_go_only_when_nothing_of_it_runs() -> TestResult {
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
    assert_eq!((old.share(0), new.share(0)), (SlotShare::Full, SlotShare::None), "not asked yet");
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
