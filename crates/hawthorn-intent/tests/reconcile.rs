//! The reconciler brings targets to their desired state without leaving a shard uncovered.

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

/// Two targets of one shard, of which the one named `off` should be off.
fn pair(revision: u64, off: &str) -> Result<FleetCatalog, catalog::Error> {
    let targets = [small("old", "east", &["desk/00"]), small("new", "east", &["desk/00"])];
    fleet(revision, &targets, &rule("off", &format!("target = \"{off}\""), "off", ""))
}

const OLD: TargetKey = TargetKey(0);
const NEW: TargetKey = TargetKey(1);

fn observe(target: TargetKey, phase: Option<TargetPhase>) -> TargetObservation {
    TargetObservation { target, phase, in_flight: 0, owned: true }
}

fn orders(outcome: &Outcome) -> Vec<(TargetKey, DesiredState)> {
    outcome.orders.iter().map(|order| (order.target, order.state)).collect()
}

fn causes(outcome: &Outcome) -> Vec<(TargetKey, DriftCause)> {
    outcome.drift.iter().map(|drift| (drift.target, drift.cause)).collect()
}

/// A round of a change: the observations, and the expected orders and causes of drift.
struct RoundCase {
    at: u64,
    old: Option<TargetPhase>,
    in_flight: u32,
    new: Option<TargetPhase>,
    orders: &'static [(TargetKey, DesiredState)],
    causes: &'static [(TargetKey, DriftCause)],
}

const fn round_at(
    (at, old, in_flight, new): (u64, Option<TargetPhase>, u32, Option<TargetPhase>),
    orders: &'static [(TargetKey, DesiredState)],
    causes: &'static [(TargetKey, DriftCause)],
) -> RoundCase {
    RoundCase { at, old, in_flight, new, orders, causes }
}

/// An edit replaces the only target of a shard. With an incomplete conflict check, the old target
/// would drain at once while the new one is still loading. The new target must be ordered first;
/// the old one serves until it is ready, then drains, and is switched off only when idle.
#[test]
fn a_replaced_target_drains_only_when_the_new_one_is_ready() -> TestResult {
    let catalog = pair(2, "old")?;
    let cases = [
        round_at(
            (0, Some(Ready), 2, None),
            &[(NEW, DesiredState::Serve)],
            &[(NEW, DriftCause::OrderSent), (OLD, DriftCause::HeldForShard)],
        ),
        round_at(
            (3, Some(Ready), 2, Some(Cold)),
            &[],
            &[(OLD, DriftCause::HeldForShard), (NEW, DriftCause::Warming)],
        ),
        round_at(
            (90, Some(Ready), 2, Some(Cold)),
            &[],
            &[(OLD, DriftCause::HeldForShard), (NEW, DriftCause::Warming)],
        ),
        round_at(
            (91, Some(Ready), 2, Some(Ready)),
            &[(OLD, DesiredState::Drain)],
            &[(OLD, DriftCause::OrderSent)],
        ),
        round_at((92, Some(Draining), 1, Some(Ready)), &[], &[(OLD, DriftCause::Draining)]),
        round_at((99, Some(Draining), 1, Some(Ready)), &[], &[(OLD, DriftCause::Draining)]),
        round_at(
            (100, Some(Draining), 0, Some(Ready)),
            &[(OLD, DesiredState::Off)],
            &[(OLD, DriftCause::OrderSent)],
        ),
        round_at((101, None, 0, Some(Ready)), &[], &[]),
    ];
    let mut state = ReconcileState::default();
    for case in cases {
        let old = TargetObservation { in_flight: case.in_flight, ..observe(OLD, case.old) };
        let round = [old, observe(NEW, case.new)];
        let outcome = reconcile(&catalog, &round, &mut state, secs(case.at), &Options::default());
        assert_eq!(orders(&outcome), case.orders, "orders at {} s", case.at);
        assert_eq!(causes(&outcome), case.causes, "drift at {} s", case.at);
        let held: Vec<_> = outcome.held().collect();
        let is_held = case.causes.contains(&(OLD, DriftCause::HeldForShard));
        assert_eq!(held, if is_held { vec![OLD] } else { vec![] }, "held at {} s", case.at);
        assert!(outcome.drift.iter().all(|drift| drift.target == NEW || drift.since == secs(0)));
    }
    Ok(())
}

/// Guards against two replaced targets both draining when the first of the two new ones is ready,
/// so that urgent requests queue for half a minute. The old ones must stay until both new ones
/// are ready, but for at most two cold starts, so that a new one that never starts does not keep
/// them on.
#[test]
fn replaced_targets_serve_until_all_new_ones_are_ready() -> TestResult {
    let targets =
        ["old-1", "old-2", "new-1", "new-2"].map(|name| small(name, "east", &["desk/00"]));
    let catalog = fleet(1, &targets, &rule("swap", "target = \"old-?\"", "off", ""))?;
    let first_drain = |second_ready_at: u64| {
        let mut state = ReconcileState::default();
        (0..100).find(|&at| {
            let second = if at < second_ready_at { Cold } else { Ready };
            let phases = [Ready, Ready, Ready, second];
            let round: Vec<_> =
                (0..4).map(|key| observe(TargetKey(key), Some(phases[key as usize]))).collect();
            let outcome = reconcile(&catalog, &round, &mut state, secs(at), &Options::default());
            outcome.orders.iter().any(|order| order.state == DesiredState::Drain)
        })
    };
    assert_eq!(first_drain(20), Some(20), "both new targets are ready");
    assert_eq!(
        first_drain(1_000),
        Some(60),
        "one never becomes ready: after two cold starts of 30 s"
    );
    Ok(())
}

/// While an edit propagates, one host still has the revision in which `old` serves, another
/// already the one in which `new` serves. Both targets are ready, so each host would drain one of
/// them and leave the shard uncovered for seconds. A target must not count as ready until it has
/// been desired to serve for the settle time.
#[test]
fn hosts_at_different_revisions_do_not_drain_all_targets() -> TestResult {
    let (before, after) = (pair(1, "new")?, pair(2, "old")?);
    let (mut behind, mut ahead) = (ReconcileState::default(), ReconcileState::default());
    let both = [observe(OLD, Some(Ready)), observe(NEW, Some(Ready))];
    let options = Options::default();
    for state in [&mut behind, &mut ahead] {
        let round = [observe(OLD, Some(Ready)), observe(NEW, None)];
        reconcile(&before, &round, state, secs(0), &options);
    }

    let late = reconcile(&before, &both, &mut behind, secs(100), &options);
    let early = reconcile(&after, &both, &mut ahead, secs(100), &options);
    assert_eq!(orders(&late), [(NEW, DesiredState::Drain)], "the host at the old revision");
    assert_eq!(causes(&early), [(OLD, DriftCause::HeldForShard)], "the host at the new revision");

    let drained = [observe(OLD, Some(Ready)), observe(NEW, Some(Draining))];
    let caught_up = reconcile(&after, &drained, &mut behind, secs(101), &options);
    assert_eq!(orders(&caught_up), [(NEW, DesiredState::Serve)], "ordered to serve again");
    let later = reconcile(&after, &drained, &mut ahead, secs(106), &options);
    assert_eq!(orders(&later), [(NEW, DesiredState::Serve)]);
    assert_eq!(causes(&later)[1], (OLD, DriftCause::HeldForShard));
    Ok(())
}

/// Guards against a target that should leave service for a repair but never does, because an
/// unrelated edit every four seconds restarts its settle time. The settle time must be tracked
/// for each target and not for the revision.
#[test]
fn unrelated_edits_do_not_restart_the_settle_time() -> TestResult {
    let mut state = ReconcileState::default();
    let mut sent = Vec::new();
    for at in 0..20 {
        let revision = 2 + at / 4;
        let off = if at < 8 { "nothing" } else { "old" };
        let catalog = pair(revision, off)?;
        let round = [observe(OLD, Some(Ready)), observe(NEW, Some(Ready))];
        let outcome = reconcile(&catalog, &round, &mut state, secs(at), &Options::default());
        sent.extend(outcome.orders.iter().map(|order| (at, order.target, order.state)));
        if (8..13).contains(&at) {
            assert_eq!(causes(&outcome), [(OLD, DriftCause::Settling)], "at {at} s");
            assert_eq!(outcome.held().collect::<Vec<_>>(), [OLD]);
        }
    }
    assert_eq!(sent, [(13, OLD, DesiredState::Drain), (18, OLD, DesiredState::Drain)]);
    Ok(())
}

/// An edit is reverted while a target that was ordered to drain still reports that it is ready.
/// It seems to be in its desired state; if no order were sent, it would drain and stay drained.
/// The last order must be taken into account in addition to the observed phase.
#[test]
fn a_reverted_edit_revokes_its_order() -> TestResult {
    let (keep, leave) = (pair(1, "nothing")?, pair(2, "old")?);
    let options = Options { settle_time: Duration::ZERO, ..Options::default() };
    let both = [observe(OLD, Some(Ready)), observe(NEW, Some(Ready))];
    let mut state = ReconcileState::default();
    let leaving = reconcile(&leave, &both, &mut state, secs(10), &options);
    assert_eq!(orders(&leaving), [(OLD, DesiredState::Drain)]);
    let reverted = reconcile(&keep, &both, &mut state, secs(11), &options);
    assert_eq!(orders(&reverted), [(OLD, DesiredState::Serve)]);
    let settled = reconcile(&keep, &both, &mut state, secs(12), &options);
    assert_eq!(settled, Outcome::default());
    Ok(())
}

/// If a lost order were not repeated, the target would stay off and the shard lack a replica. But
/// it must not be repeated in every round, since targets report the effect of an order with a
/// delay.
#[test]
fn a_lost_order_is_repeated_after_the_retry_time() -> TestResult {
    let catalog = pair(1, "old")?;
    let mut state = ReconcileState::default();
    let mut sent = Vec::new();
    for at in 0..12 {
        let round = [observe(OLD, None), observe(NEW, Some(Standby))];
        let outcome = reconcile(&catalog, &round, &mut state, secs(at), &Options::default());
        sent.extend(outcome.orders.iter().map(|order| (at, order.target)));
        assert_eq!(outcome.drift.len(), 1, "the old target is off, as desired");
        assert_eq!(outcome.drift[0].since, secs(0));
    }
    assert_eq!(sent, [(0, NEW), (5, NEW), (10, NEW)]);
    Ok(())
}

/// Guards against repeated orders to many targets that are down and never act on the order to
/// serve: they reach the limit of every round, and targets that should drain keep serving for
/// hours. A round must start with the targets that have received no order yet.
#[test]
fn unreachable_targets_do_not_exhaust_the_order_limit() -> TestResult {
    const COUNT: u32 = 128;
    const LEAVING: u32 = 2;
    let names: Vec<&'static str> =
        (0..COUNT).map(|index| &*Box::leak(format!("t{index}").into_boxed_str())).collect();
    let targets: Vec<_> = names.iter().map(|&name| small(name, "east", &["desk/00"])).collect();
    let rules =
        rule("a", "target = \"t126\"", "drain", "") + &rule("b", "target = \"t127\"", "drain", "");
    let catalog = fleet(1, &targets, &rules)?;
    let options =
        Options { settle_time: Duration::ZERO, max_hold_cold_starts: 0, ..Options::default() };
    let mut state = ReconcileState::default();
    let mut drained_at = None;
    for at in 0..20 {
        let ready = |index: u32| index == 0 || index >= COUNT - LEAVING;
        let phase = |index| ready(index).then_some(Ready);
        let round: Vec<_> =
            (0..COUNT).map(|index| observe(TargetKey(index), phase(index))).collect();
        let outcome = reconcile(&catalog, &round, &mut state, secs(at), &options);
        assert!(outcome.orders.len() <= options.orders_per_round);
        let drains = outcome.orders.iter().filter(|order| order.state == DesiredState::Drain);
        if drains.count() > 0 {
            drained_at = drained_at.or(Some(at));
        }
        assert_eq!(outcome.drift.len() as u32, COUNT - 1, "all drift is reported");
    }
    assert_eq!(drained_at, Some(7), "after the orders to the 125 targets that are down");
    Ok(())
}

struct PhaseCase {
    wanted: &'static str,
    phase: Option<TargetPhase>,
    expected: Option<DesiredState>,
}

#[test]
fn each_phase_leads_to_each_desired_state() -> TestResult {
    use DesiredState::Drain;
    use DesiredState::Off;
    use DesiredState::Serve;
    let case = |wanted, phase, expected| PhaseCase { wanted, phase, expected };
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
    for PhaseCase { wanted, phase, expected } in cases {
        let catalog = fleet(1, &targets, &rule("one", "target = \"old\"", wanted, ""))?;
        let elsewhere = TargetObservation { owned: false, ..observe(NEW, Some(Ready)) };
        let round = [observe(OLD, phase), elsewhere];
        let outcome =
            reconcile(&catalog, &round, &mut ReconcileState::default(), secs(9), &options);
        let expected: Vec<_> = expected.map(|state| (OLD, state)).into_iter().collect();
        assert_eq!(orders(&outcome), expected, "{wanted} from {phase:?}");
    }
    Ok(())
}

/// A target that applies orders and reports its phase with a delay.
#[derive(Clone, Copy)]
struct DelayedTarget {
    phase: Option<TargetPhase>,
    reported: Option<TargetPhase>,
    last_order: Option<(DesiredState, u64)>,
}

impl DelayedTarget {
    fn step(&mut self, at: u64, delay: u64) {
        self.reported = self.phase;
        let Some((state, ordered_at)) = self.last_order else { return };
        if at < ordered_at + delay {
            return;
        }
        self.phase = match (state, self.phase) {
            (DesiredState::Serve, Some(Ready)) => Some(Ready),
            (DesiredState::Serve, Some(Cold)) if at >= ordered_at + 3 * delay => Some(Ready),
            (DesiredState::Serve, _) => Some(Cold),
            (DesiredState::Standby, _) => Some(Standby),
            (DesiredState::Drain, _) => Some(Draining),
            (DesiredState::Off, _) => None,
        };
    }
}

/// Each of several edits in a row keeps one target serving, but targets apply orders and report
/// with a delay, and the next edit arrives before the previous one has taken effect, which could
/// uncover the shard. In every round of any such sequence, at least one target must be ready and
/// not ordered to leave service.
#[test]
fn no_sequence_of_edits_leaves_a_shard_uncovered() -> TestResult {
    let edits = prop::collection::vec((1_u8..8, 1_u64..30), 1..8);
    fixed_runner(200).run(&(edits, 0_u64..4), |(edits, delay)| {
        let mut targets =
            [DelayedTarget { phase: Some(Ready), reported: Some(Ready), last_order: None }; 3];
        let names = ["x", "y", "z"];
        let fleet_of = names.map(|name| small(name, "east", &["desk/00"]));
        let mut state = ReconcileState::default();
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
                    .map(|index| observe(TargetKey::from(index), targets[index].reported))
                    .collect();
                let outcome =
                    reconcile(&catalog, &round, &mut state, secs(at), &Options::default());
                for order in outcome.orders {
                    targets[order.target.index()].last_order = Some((order.state, at));
                }
                let is_serving = |target: &DelayedTarget| {
                    let is_leaving = target
                        .last_order
                        .is_some_and(|(ordered, _)| ordered != DesiredState::Serve);
                    target.phase == Some(Ready) && !is_leaving
                };
                assert!(targets.iter().any(is_serving), "no target serves at {at} s");
            }
        }
        Ok(())
    })?;
    Ok(())
}
