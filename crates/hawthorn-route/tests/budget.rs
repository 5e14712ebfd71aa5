//! Retry budgets: extra attempts stay within the configured limit, summed over all hosts.

use std::time::Duration;

use hawthorn_route::budget;
use hawthorn_route::budget::FleetBudget;
use hawthorn_route::budget::FleetView;
use hawthorn_route::budget::Options;
use hawthorn_route::budget::RetryBudget;
use hawthorn_route::budget::ServiceUse;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

const WINDOW: Duration = Duration::from_secs(10);
const OPTIONS: Options = Options { window: WINDOW, share: 0.16, allowance: 4.0 };

/// Guards against doubling the load of slow targets: while a target is paused, every request is
/// late and would be sent twice.
#[test]
fn extra_attempts_stay_within_the_share_if_every_request_is_late() {
    let mut budget = RetryBudget::default();
    let mut extras = 0;
    for step in 0..1000 {
        let now = Duration::from_millis(step * 10);
        budget.earn(now, &OPTIONS);
        if budget.spend(now, &OPTIONS) {
            extras += 1;
        }
    }
    assert!((160..=165).contains(&extras), "{extras} extra attempts of 1000 requests");
}

/// Guards against credit that does not expire, or expires late, after operators have changed the
/// length of the window: the targets would be retried more than the new budget allows.
#[test]
fn credit_expires_after_a_change_of_the_window() {
    for window in [WINDOW / 4, WINDOW * 2, WINDOW * 6] {
        let changed = Options { window, ..OPTIONS };
        let mut budget = RetryBudget::default();
        let started = Duration::from_secs(100);
        (0..1000).for_each(|_| budget.earn(started, &OPTIONS));
        let spend_all = |budget: &mut RetryBudget, now, options| {
            (0..1000).take_while(|_| budget.spend(now, options)).count()
        };
        let spent = spend_all(&mut budget, started, &OPTIONS);
        assert_eq!(spent, 164, "{window:?}: before the change");
        assert_eq!(spend_all(&mut budget, started, &changed), 0, "{window:?}: at the change");
        let later = started + window * 2;
        assert_eq!(spend_all(&mut budget, later, &changed), 4, "{window:?}: after a window");
    }
}

/// Guards against a burst of extra attempts from a host that was idle for a minute: unspent
/// budget must not accumulate.
#[test]
fn unspent_budget_expires_with_its_window() {
    let mut budget = RetryBudget::default();
    for step in 0..100 {
        budget.earn(Duration::from_millis(step * 10), &OPTIONS);
    }
    let later = Duration::from_secs(60);
    let spent = (0..100).filter(|_| budget.spend(later, &OPTIONS)).count();
    assert_eq!(spent, 4);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Hosts have independent bursts. In any window, the sum of their extra attempts is at most
    /// the share of the requests counted in it, including the span of a tenth of a window
    /// before it, plus their allowances.
    #[test]
    fn hosts_together_stay_within_the_fleet_budget(
        steps in proptest::collection::vec((0_usize..8, 0_u64..120, 0_u8..4), 1..600),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::default()).collect();
        let mut requests: Vec<Duration> = Vec::new();
        let mut extras: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        for (host, pause, action) in steps {
            now += Duration::from_millis(pause);
            if action == 0 {
                budgets[host].earn(now, &OPTIONS);
                requests.push(now);
            } else if budgets[host].spend(now, &OPTIONS) {
                extras.push(now);
            }
            let within = |at: &&Duration, span: Duration| now - **at <= span;
            let spent = extras.iter().filter(|at| within(at, WINDOW)).count() as f64;
            let counted = WINDOW + WINDOW / 10;
            let earned = requests.iter().filter(|at| within(at, counted)).count() as f64;
            let earlier = requests.iter().filter(|at| within(at, counted * 2)).count() as f64;
            prop_assert!(spent <= 0.16 * earned.max(earlier) + 8.0 * 4.0 + 1.0);
        }
    }
}

/// The hosts of a fleet, simulated in steps of a tenth of a second.
struct BudgetFleet {
    budget: FleetBudget,
    /// The budget of each host, and the step at which the host started.
    hosts: Vec<(RetryBudget, u32)>,
    /// Requests of all hosts by step.
    requests: Vec<u32>,
    /// Extra attempts of all hosts by step.
    extras: Vec<u32>,
}

const STEP: Duration = Duration::from_millis(100);
/// Number of steps in a window.
const WINDOW_STEPS: usize = 100;
/// Number of steps until a started host has discovered the others: a second of heartbeats.
const DISCOVERY_STEPS: u32 = 10;

impl BudgetFleet {
    fn new(hosts: usize, allowance: f64) -> Self {
        let budget = FleetBudget { window: WINDOW, share: 0.2, allowance };
        let hosts = (0..hosts).map(|_| (RetryBudget::default(), 0)).collect();
        Self { budget, hosts, requests: Vec::new(), extras: Vec::new() }
    }

    /// Restarts a share of the hosts.
    fn restart(&mut self, share: f64) {
        let step = self.requests.len() as u32;
        let count = (self.hosts.len() as f64 * share).ceil() as usize;
        self.hosts.iter_mut().take(count).for_each(|host| *host = (RetryBudget::default(), step));
    }

    /// Each host handles `requests` requests and makes every extra attempt that its budget permits.
    fn step(&mut self, requests: u32) {
        let step = self.requests.len() as u32;
        let now = STEP * step;
        let live = self.hosts.len();
        let mut extras = 0;
        for (host, started) in &mut self.hosts {
            let running = step - *started;
            // A started host knows only itself at first.
            let hosts = if running < DISCOVERY_STEPS { 1 } else { live };
            let running = STEP * running;
            let view = FleetView {
                hosts,
                running,
                gatherers: hosts,
                gathering: Some(running),
                awaiting_peers: false,
            };
            let options = budget::host_share(&self.budget, &view, ServiceUse::Single);
            (0..requests).for_each(|_| host.earn(now, &options));
            while host.spend(now, &options) {
                extras += 1;
            }
        }
        self.requests.push(requests * live as u32);
        self.extras.push(extras);
    }

    /// The extra attempts in the window that ends now, and the configured limit for it.
    fn window(&self) -> (f64, f64) {
        let sum = |counts: &[u32], offset: usize| -> f64 {
            let end = counts.len().saturating_sub(offset);
            counts[end.saturating_sub(WINDOW_STEPS)..end].iter().copied().map(f64::from).sum()
        };
        let offsets = [0, WINDOW_STEPS / 2, WINDOW_STEPS];
        let requests =
            offsets.iter().map(|offset| sum(&self.requests, *offset)).fold(0.0, f64::max);
        (sum(&self.extras, 0), self.budget.share * requests + self.budget.allowance)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Targets fail continuously, so that every host makes each extra attempt that its budget
    /// permits. Some or all hosts are restarted, sometimes twice in a window, and lose their
    /// counts and their knowledge of other hosts. In any window, the sum of their extra
    /// attempts stays within the configured limit.
    #[test]
    fn restarted_hosts_stay_within_the_fleet_budget(
        hosts in 1_usize..80,
        steps in proptest::collection::vec((0_u32..4, 0_u32..60, 0.0_f64..1.0), 1..400),
        allowance in 20.0_f64..200.0,
    ) {
        let mut fleet = BudgetFleet::new(hosts, allowance);
        for (requests, event, share) in steps {
            if event == 0 {
                fleet.restart(share);
            }
            fleet.step(requests);
            let (spent, allowed) = fleet.window();
            prop_assert!(spent <= allowed + 1.0, "{spent} of {allowed}");
        }
    }
}

/// A fleet in which a few gatherers make nearly all attempts at shards.
struct GatherFleet {
    budget: FleetBudget,
    hosts: Vec<SimHost>,
    gatherers: usize,
    step: u32,
    extras: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct SimHost {
    budget: RetryBudget,
    started: u32,
    /// The step since which the host has been gathering, if it is.
    gathering_since: Option<u32>,
    /// Number of steps until the host is up again.
    down: u32,
}

impl GatherFleet {
    fn new(hosts: usize, gatherers: usize, allowance: f64) -> Self {
        let budget = FleetBudget { window: WINDOW, share: 0.2, allowance };
        let hosts = vec![SimHost::default(); hosts];
        Self { budget, hosts, gatherers, step: 0, extras: Vec::new() }
    }

    /// Kills `count` hosts, gatherers first, and restarts them after `down` steps.
    fn kill(&mut self, count: usize, down: u32) {
        let step = self.step;
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.sort_by_key(|host| self.hosts[*host].gathering_since.is_none());
        for host in order.into_iter().take(count) {
            // A started host gathers until it has discovered others.
            let started = step + down;
            self.hosts[host] =
                SimHost { started, gathering_since: Some(started), down, ..SimHost::default() };
        }
    }

    /// Every host makes each extra attempt that its budget permits, by its own view of the
    /// fleet: a host that has just started knows only itself, and during a partition each host
    /// knows only the hosts of its side.
    fn step(&mut self, partitioned: bool) {
        let now = STEP * self.step;
        let step = self.step;
        let live = self.hosts.iter().filter(|host| host.down == 0).count();
        let mut vacancies = self.gatherers;
        let mut extras = 0;
        for host in &mut self.hosts {
            if host.down > 0 {
                host.down -= 1;
                continue;
            }
            let running = step - host.started;
            let selected = vacancies > 0;
            vacancies -= usize::from(selected);
            let discovering = running < DISCOVERY_STEPS && host.started > 0;
            match (selected || discovering, host.gathering_since) {
                (true, None) => host.gathering_since = Some(step),
                (false, Some(_)) => host.gathering_since = None,
                _ => {}
            }
            let known = if partitioned { live / 2 } else { live };
            let view = FleetView {
                hosts: if discovering { 1 } else { known },
                running: STEP * running,
                gatherers: if discovering { 1 } else { self.gatherers.min(known) },
                gathering: host.gathering_since.map(|since| STEP * (step - since)),
                awaiting_peers: discovering,
            };
            let options = budget::host_share(&self.budget, &view, ServiceUse::Shard);
            while host.budget.spend(now, &options) {
                extras += 1;
            }
        }
        self.extras.push(extras);
        self.step += 1;
    }

    /// The extra attempts in the window that ends now.
    fn window(&self) -> u32 {
        self.extras.iter().rev().take(WINDOW_STEPS).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Gatherers change with kills, restarts and partitions, and hosts have different views of
    /// the fleet. The sum of their extra attempts stays within the configured limit.
    #[test]
    fn gatherers_stay_within_the_fleet_budget(
        fleet in 0_usize..3,
        steps in proptest::collection::vec((0_u32..40, 0.0_f64..1.0, 1_u32..30), 1..300),
        allowance in 20.0_f64..600.0,
    ) {
        let (hosts, gatherers) = [(8, 8), (200, 15), (4_000, 75)][fleet];
        let mut fleet = GatherFleet::new(hosts, gatherers, allowance);
        for (event, share, down) in steps {
            if event == 0 {
                fleet.kill((hosts as f64 * share) as usize, down);
            }
            fleet.step(event == 1);
            let spent = f64::from(fleet.window());
            prop_assert!(spent <= allowance + 1.0, "{spent} of {allowance}");
        }
    }
}

/// Guards against leaving most of a shard's allowance unused: if 15 hosts of 195 gather all
/// queries, equal parts would give each of them 1.1 of the 430 extra attempts allowed.
#[test]
fn gatherers_have_most_of_a_shards_allowance() {
    let fleet = FleetBudget { window: WINDOW, share: 0.2, allowance: 430.0 };
    let view = |gathering| FleetView {
        hosts: 195,
        running: WINDOW * 2,
        gatherers: 15,
        gathering,
        awaiting_peers: false,
    };
    let allowance =
        |gathering, service| budget::host_share(&fleet, &view(gathering), service).allowance;
    let gatherer = allowance(Some(WINDOW), ServiceUse::Shard);
    assert!((11.0..12.0).contains(&gatherer), "{gatherer}");
    assert_eq!(allowance(Some(WINDOW / 2), ServiceUse::Shard), gatherer / 2.0);
    let (other, single) = (allowance(None, ServiceUse::Shard), allowance(None, ServiceUse::Single));
    assert!(other < 0.3 && (1.0..1.2).contains(&single), "{other}, {single}");
    let total = 15.0 * gatherer + 180.0 * other;
    assert!(total <= 430.0 * 0.5 + 0.1, "{total}");
}

/// Guards against a budget that refused keys use up, and against a refund that raises a later
/// window's budget.
#[test]
fn an_attempt_that_was_not_sent_is_refunded_to_its_window() {
    struct Case {
        name: &'static str,
        refunded_ms: u64,
        /// Extra attempts that can be made then.
        left: usize,
    }
    let cases = [
        Case { name: "at once", refunded_ms: 100, left: 1 },
        Case { name: "in the same window", refunded_ms: 9000, left: 1 },
        // The attempts of the earlier window no longer count, and the refund adds nothing.
        Case { name: "in a later window", refunded_ms: 30_000, left: 4 },
    ];
    let ms = Duration::from_millis;
    for case in &cases {
        let mut budget = RetryBudget::default();
        (0..4).for_each(|_| assert!(budget.spend(ms(100), &OPTIONS), "{}", case.name));
        assert!(!budget.spend(ms(100), &OPTIONS), "{}", case.name);
        let now = ms(case.refunded_ms);
        budget.refund(ms(100), now, &OPTIONS);
        let left = (0..9).filter(|_| budget.spend(now, &OPTIONS)).count();
        assert_eq!(left, case.left, "{}", case.name);
    }
}
