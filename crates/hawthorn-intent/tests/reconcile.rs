//! The fleet is brought to the intent without a hole in coverage.

mod support;

use std::time::Duration;

use hawthorn_intent::FleetCatalog;
use hawthorn_intent::catalog;
use hawthorn_intent::inventory;
use hawthorn_intent::reconcile::DriftCause;
use hawthorn_intent::reconcile::Options;
use hawthorn_intent::reconcile::Outcome;
use hawthorn_intent::reconcile::ReconcileState;
use hawthorn_intent::reconcile::TargetObservation;
use hawthorn_intent::reconcile::reconcile;
use hawthorn_intent::rules;
use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetKey;
use hawthorn_types::TargetPhase;
use hawthorn_types::TargetPhase::Cold;
use hawthorn_types::TargetPhase::Draining;
use hawthorn_types::TargetPhase::Ready;
use hawthorn_types::TargetPhase::Standby;
use proptest::prelude::prop;
use support::SmallTarget;
use support::TestResult;
use support::fixed_runner;
use support::rule;
use support::small;
use support::small_inventory;

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn fleet(
    revision: u64,
    targets: &[SmallTarget],
    rules: &str,
) -> Result<FleetCatalog, catalog::Error> {
    let text = small_inventory(1, targets);
    let inventory = inventory::read(&text).inventory;
    let rules = rules::read(rules).rules;
    catalog::build(&inventory, &rules, ConfigRevision(revision), Default::default())
}

/// Two targets of one shard; the rule names the one that is off.
fn pair(revision: u64, off: &str) -> Result<FleetCatalog, catalog::Error> {
    let targets = [small("old", "east", &["desk/00"]), small("new", "east", &["desk/00"])];
    fleet(revision, &targets, &rule("off", &format!("target = \"{off}\""), "off", ""))
}

const OLD: TargetKey = TargetKey(0);
const NEW: TargetKey = TargetKey(1);

fn seen(target: TargetKey, phase: Option<TargetPhase>) -> TargetObservation {
    TargetObservation { target, phase, in_flight: 0, owned: true }
}

fn orders(outcome: &Outcome) -> Vec<(TargetKey, DesiredState)> {
    outcome.orders.iter().map(|order| (order.target, order.state)).collect()
}

fn causes(outcome: &Outcome) -> Vec<(TargetKey, DriftCause)> {
    outcome.drift.iter().map(|drift| (drift.target, drift.cause)).collect()
}

/// One moment of a change: what is seen, and what is to come of it.
struct RoundCase {
    at: u64,
    old: Option<TargetPhase>,
    in_flight: u32,
    new: Option<TargetPhase>,
    orders: &'static [(TargetKey, DesiredState)],
    causes: &'static [(TargetKey, DriftCause)],
}

const fn moment(
    (at, old, in_flight, new): (u64, Option<TargetPhase>, u32, Option<TargetPhase>),
    orders: &'static [(TargetKey, DesiredState)],
    causes: &'static [(TargetKey, DriftCause)],
) -> RoundCase {
    RoundCase { at, old, in_flight, new, orders, causes }
}

/// A user's conflict check comes back with a hole: an operator's edit swapped
/// the one target of a shard for another, the old one drained at once, and the
/// new one was still loading. So the new one is told first, and the old one
/// goes on serving until it is ready, drains, and is off only when idle.
#[test]
fn the_old_target_drains_only_when_the_new_one_is_ready() -> TestResult {
    let catalog = pair(2, "old")?;
    let cases = [
        moment(
            (0, Some(Ready), 2, None),
            &[(NEW, DesiredState::Serve)],
            &[(NEW, DriftCause::OrderSent), (OLD, DriftCause::HeldForShard)],
        ),
        moment(
            (3, Some(Ready), 2, Some(Cold)),
            &[],
            &[(OLD, DriftCause::HeldForShard), (NEW, DriftCause::Warming)],
        ),
        moment(
            (90, Some(Ready), 2, Some(Cold)),
            &[],
            &[(OLD, DriftCause::HeldForShard), (NEW, DriftCause::Warming)],
        ),
        moment(
            (91, Some(Ready), 2, Some(Ready)),
            &[(OLD, DesiredState::Drain)],
            &[(OLD, DriftCause::OrderSent)],
        ),
        moment((92, Some(Draining), 1, Some(Ready)), &[], &[(OLD, DriftCause::Draining)]),
        moment((99, Some(Draining), 1, Some(Ready)), &[], &[(OLD, DriftCause::Draining)]),
        moment(
            (100, Some(Draining), 0, Some(Ready)),
            &[(OLD, DesiredState::Off)],
            &[(OLD, DriftCause::OrderSent)],
        ),
        moment((101, None, 0, Some(Ready)), &[], &[]),
    ];
    let mut memory = ReconcileState::default();
    for case in cases {
        let old = TargetObservation { in_flight: case.in_flight, ..seen(OLD, case.old) };
        let round = [old, seen(NEW, case.new)];
        let outcome = reconcile(&catalog, &round, &mut memory, secs(case.at), &Options::default());
        assert_eq!(orders(&outcome), case.orders, "orders at {} s", case.at);
        assert_eq!(causes(&outcome), case.causes, "drift at {} s", case.at);
        let held: Vec<_> = outcome.held().collect();
        let is_held = case.causes.contains(&(OLD, DriftCause::HeldForShard));
        assert_eq!(held, if is_held { vec![OLD] } else { vec![] }, "held at {} s", case.at);
        assert!(outcome.drift.iter().all(|drift| drift.target == NEW || drift.since == secs(0)));
    }
    Ok(())
}

/// Urgent requests queue for half a minute after an edit that swaps two targets
/// for two others: both old ones drained when the first new one was ready. They
/// stay for two cold starts or until both are ready, whichever is sooner, so
/// that a new one that never comes up does not keep them on for good.
#[test]
fn old_targets_stay_until_as_many_new_ones_are_ready() -> TestResult {
    let targets =
        ["old-1", "old-2", "new-1", "new-2"].map(|name| small(name, "east", &["desk/00"]));
    let catalog = fleet(1, &targets, &rule("swap", "target = \"old-?\"", "off", ""))?;
    let first_drain = |second_ready_at: u64| {
        let mut memory = ReconcileState::default();
        (0..100).find(|&at| {
            let second = if at < second_ready_at { Cold } else { Ready };
            let phases = [Ready, Ready, Ready, second];
            let round: Vec<_> =
                (0..4).map(|key| seen(TargetKey(key), Some(phases[key as usize]))).collect();
            let outcome = reconcile(&catalog, &round, &mut memory, secs(at), &Options::default());
            outcome.orders.iter().any(|order| order.state == DesiredState::Drain)
        })
    };
    assert_eq!(first_drain(20), Some(20), "both new ones are ready");
    assert_eq!(first_drain(1_000), Some(60), "one never is: after two cold starts of 30 s");
    Ok(())
}

/// A shard vanishes for seconds while an edit spreads: one host still has the
/// revision that wants `old`, its neighbour already the one that wants `new`.
/// Both targets are ready, so each host drains the other's. A host therefore
/// counts on no target until that has been wanted to serve for a while.
#[test]
fn hosts_at_neighbouring_revisions_do_not_drain_each_others_target() -> TestResult {
    let (before, after) = (pair(1, "new")?, pair(2, "old")?);
    let (mut behind, mut ahead) = (ReconcileState::default(), ReconcileState::default());
    let both = [seen(OLD, Some(Ready)), seen(NEW, Some(Ready))];
    let options = Options::default();
    for memory in [&mut behind, &mut ahead] {
        let round = [seen(OLD, Some(Ready)), seen(NEW, None)];
        reconcile(&before, &round, memory, secs(0), &options);
    }

    let late = reconcile(&before, &both, &mut behind, secs(100), &options);
    let early = reconcile(&after, &both, &mut ahead, secs(100), &options);
    assert_eq!(orders(&late), [(NEW, DesiredState::Drain)], "the host that is behind");
    assert_eq!(causes(&early), [(OLD, DriftCause::HeldForShard)], "the host that is ahead");

    let drained = [seen(OLD, Some(Ready)), seen(NEW, Some(Draining))];
    let caught_up = reconcile(&after, &drained, &mut behind, secs(101), &options);
    assert_eq!(orders(&caught_up), [(NEW, DesiredState::Serve)], "and is told to serve again");
    let later = reconcile(&after, &drained, &mut ahead, secs(106), &options);
    assert_eq!(orders(&later), [(NEW, DesiredState::Serve)]);
    assert_eq!(causes(&later)[1], (OLD, DriftCause::HeldForShard));
    Ok(())
}

/// Operators of a large fleet make an edit every four seconds, none of which is
/// about this target. It was to leave for a repair and never did, as each edit
/// began the wait anew. The wait is therefore counted for each target.
#[test]
fn edits_elsewhere_do_not_keep_a_target_from_leaving() -> TestResult {
    let mut memory = ReconcileState::default();
    let mut told = Vec::new();
    for at in 0..20 {
        let revision = 2 + at / 4;
        let off = if at < 8 { "nothing" } else { "old" };
        let catalog = pair(revision, off)?;
        let round = [seen(OLD, Some(Ready)), seen(NEW, Some(Ready))];
        let outcome = reconcile(&catalog, &round, &mut memory, secs(at), &Options::default());
        told.extend(outcome.orders.iter().map(|order| (at, order.target, order.state)));
        if (8..13).contains(&at) {
            assert_eq!(causes(&outcome), [(OLD, DriftCause::Settling)], "at {at} s");
            assert_eq!(outcome.held().collect::<Vec<_>>(), [OLD]);
        }
    }
    assert_eq!(told, [(13, OLD, DesiredState::Drain), (18, OLD, DesiredState::Drain)]);
    Ok(())
}

/// An operator takes an edit back at once. The target was told to drain but
/// still reports that it is ready, so nothing seemed left to do; then it drained
/// and stayed so. What was told last therefore counts beside what is seen.
#[test]
fn an_order_that_was_overtaken_is_taken_back() -> TestResult {
    let (keep, leave) = (pair(1, "nothing")?, pair(2, "old")?);
    let options = Options { settle_time: Duration::ZERO, ..Options::default() };
    let both = [seen(OLD, Some(Ready)), seen(NEW, Some(Ready))];
    let mut memory = ReconcileState::default();
    let told = reconcile(&leave, &both, &mut memory, secs(10), &options);
    assert_eq!(orders(&told), [(OLD, DesiredState::Drain)]);
    let taken_back = reconcile(&keep, &both, &mut memory, secs(11), &options);
    assert_eq!(orders(&taken_back), [(OLD, DesiredState::Serve)]);
    let settled = reconcile(&keep, &both, &mut memory, secs(12), &options);
    assert_eq!(settled, Outcome::default());
    Ok(())
}

/// An order is lost on its way: the target stays off and the shard short of a
/// replica. The order is given again, but not in every round, as targets are
/// slow to show what they were told.
#[test]
fn a_lost_order_is_given_again_after_a_while() -> TestResult {
    let catalog = pair(1, "old")?;
    let mut memory = ReconcileState::default();
    let mut told = Vec::new();
    for at in 0..12 {
        let round = [seen(OLD, None), seen(NEW, Some(Standby))];
        let outcome = reconcile(&catalog, &round, &mut memory, secs(at), &Options::default());
        told.extend(outcome.orders.iter().map(|order| (at, order.target)));
        assert_eq!(outcome.drift.len(), 1, "the old one is off, as wanted");
        assert_eq!(outcome.drift[0].since, secs(0));
    }
    assert_eq!(told, [(0, NEW), (5, NEW), (10, NEW)]);
    Ok(())
}

/// A rack of targets is down and can't be told to serve. Repeating their orders
/// filled every round, and targets that were to drain for the repair went on
/// for hours. So a round begins with those that were never told.
#[test]
fn targets_that_are_down_do_not_use_up_the_rounds() -> TestResult {
    const COUNT: u32 = 128;
    const LEAVING: u32 = 2;
    let names: Vec<&'static str> =
        (0..COUNT).map(|index| &*Box::leak(format!("t{index}").into_boxed_str())).collect();
    let targets: Vec<_> = names.iter().map(|&name| small(name, "east", &["desk/00"])).collect();
    let rules =
        rule("a", "target = \"t126\"", "drain", "") + &rule("b", "target = \"t127\"", "drain", "");
    let catalog = fleet(1, &targets, &rules)?;
    let options =
        Options { settle_time: Duration::ZERO, cold_starts_held: 0, ..Options::default() };
    let mut memory = ReconcileState::default();
    let mut drained_at = None;
    for at in 0..20 {
        let ready = |index: u32| index == 0 || index >= COUNT - LEAVING;
        let phase = |index| ready(index).then_some(Ready);
        let round: Vec<_> = (0..COUNT).map(|index| seen(TargetKey(index), phase(index))).collect();
        let outcome = reconcile(&catalog, &round, &mut memory, secs(at), &options);
        assert!(outcome.orders.len() <= options.orders_per_round);
        let drains = outcome.orders.iter().filter(|order| order.state == DesiredState::Drain);
        if drains.count() > 0 {
            drained_at = drained_at.or(Some(at));
        }
        assert_eq!(outcome.drift.len() as u32, COUNT - 1, "none is hidden");
    }
    assert_eq!(drained_at, Some(7), "after the orders for the 125 that are down");
    Ok(())
}

struct SettledCase {
    wanted: &'static str,
    phase: Option<TargetPhase>,
    expected: Option<DesiredState>,
}

#[test]
fn each_phase_is_led_to_each_wanted_state() -> TestResult {
    use DesiredState::Drain;
    use DesiredState::Off;
    use DesiredState::Serve;
    let case = |wanted, phase, expected| SettledCase { wanted, phase, expected };
    let cases = [
        case("serve", Some(Ready), None),
        case("serve", Some(Cold), Some(Serve)),
        case("serve", Some(Draining), Some(Serve)),
        case("serve", Some(Standby), Some(Serve)),
        case("serve", None, Some(Serve)),
        case("standby", Some(Ready), Some(DesiredState::Standby)),
        case("standby", Some(Standby), None),
        case("standby", Some(Draining), Some(DesiredState::Standby)),
        case("standby", None, Some(DesiredState::Standby)),
        case("drain", Some(Ready), Some(Drain)),
        case("drain", Some(Cold), Some(Drain)),
        case("drain", Some(Draining), None),
        case("drain", None, None),
        case("off", Some(Ready), Some(Drain)),
        case("off", Some(Cold), Some(Off)),
        case("off", Some(Standby), Some(Off)),
        case("off", Some(Draining), None),
        case("off", None, None),
    ];
    let options = Options { settle_time: Duration::ZERO, ..Options::default() };
    let targets = [small("old", "east", &["desk/00"]), small("new", "west", &["desk/00"])];
    for SettledCase { wanted, phase, expected } in cases {
        let catalog = fleet(1, &targets, &rule("one", "target = \"old\"", wanted, ""))?;
        let elsewhere = TargetObservation { owned: false, ..seen(NEW, Some(Ready)) };
        let round = [seen(OLD, phase), elsewhere];
        let outcome =
            reconcile(&catalog, &round, &mut ReconcileState::default(), secs(9), &options);
        let told: Vec<_> = expected.map(|state| (OLD, state)).into_iter().collect();
        assert_eq!(orders(&outcome), told, "{wanted} from {phase:?}");
    }
    Ok(())
}

/// A target that obeys orders late and reports late.
#[derive(Clone, Copy)]
struct SlowTarget {
    phase: Option<TargetPhase>,
    shown: Option<TargetPhase>,
    told: Option<(DesiredState, u64)>,
}

impl SlowTarget {
    fn step(&mut self, at: u64, delay: u64) {
        self.shown = self.phase;
        let Some((state, told_at)) = self.told else { return };
        if at < told_at + delay {
            return;
        }
        self.phase = match (state, self.phase) {
            (DesiredState::Serve, Some(Ready)) => Some(Ready),
            (DesiredState::Serve, Some(Cold)) if at >= told_at + 3 * delay => Some(Ready),
            (DesiredState::Serve, _) => Some(Cold),
            (DesiredState::Standby, _) => Some(Standby),
            (DesiredState::Drain, _) => Some(Draining),
            (DesiredState::Off, _) => None,
        };
    }
}

/// Users see holes while operators make one edit after the other: each edit
/// alone keeps a target on, but targets obey and report late, and the next edit
/// comes before the last one is done. In every round of any such sequence a
/// target is ready that was not told to leave.
#[test]
fn no_sequence_of_edits_leaves_the_shard_without_a_target() -> TestResult {
    let edits = prop::collection::vec((1_u8..8, 1_u64..30), 1..8);
    fixed_runner(200).run(&(edits, 0_u64..4), |(edits, delay)| {
        let mut targets = [SlowTarget { phase: Some(Ready), shown: Some(Ready), told: None }; 3];
        let names = ["x", "y", "z"];
        let fleet_of = names.map(|name| small(name, "east", &["desk/00"]));
        let mut memory = ReconcileState::default();
        let mut at = 0;
        for (revision, (serving, rounds)) in edits.into_iter().enumerate() {
            let off = |index: &usize| serving & (1 << index) == 0;
            let rules = (0..names.len()).filter(off).map(|index| {
                rule(names[index], &format!("target = \"{}\"", names[index]), "off", "")
            });
            let catalog = fleet(revision as u64 + 1, &fleet_of, &rules.collect::<String>())
                .expect("a small fleet can be built");
            for _ in 0..rounds {
                at += 1;
                targets.iter_mut().for_each(|target| target.step(at, delay));
                let round: Vec<_> = (0..names.len())
                    .map(|index| seen(TargetKey::from(index), targets[index].shown))
                    .collect();
                let outcome =
                    reconcile(&catalog, &round, &mut memory, secs(at), &Options::default());
                for order in outcome.orders {
                    targets[order.target.index()].told = Some((order.state, at));
                }
                let serves = |target: &SlowTarget| {
                    let leaves = target.told.is_some_and(|(told, _)| told != DesiredState::Serve);
                    target.phase == Some(Ready) && !leaves
                };
                assert!(targets.iter().any(serves), "no target serves at {at} s");
            }
        }
        Ok(())
    })?;
    Ok(())
}
