//! Extra attempts stay within their share of requests, over all hosts together.

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

/// A target pauses, every request is late, and each would be sent twice. The
/// targets must not get twice the work because they are slow.
#[test]
fn a_service_that_is_always_late_gets_only_its_share_again() {
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

/// A host was idle for a minute: what it did not spend then is not saved up.
#[test]
fn what_was_not_spent_is_forgotten_with_its_window() {
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

    /// Hosts come and go, each with bursts of its own; in no window do all of
    /// them together make more extra attempts than the share of the requests
    /// that they counted in it and a window's tenth before, and the allowances.
    #[test]
    fn all_hosts_together_stay_within_the_whole(
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

/// All of a fleet's hosts together, in steps of a tenth of a second.
struct BudgetFleet {
    whole: FleetBudget,
    /// Each with the step of its start.
    hosts: Vec<(RetryBudget, u32)>,
    /// By step.
    requests: Vec<u32>,
    extras: Vec<u32>,
}

const STEP: Duration = Duration::from_millis(100);
/// Steps of a window.
const WINDOW_STEPS: usize = 100;
/// Steps until a host that started knows the others: a second of heartbeats.
const MEETING_STEPS: u32 = 10;

impl BudgetFleet {
    fn new(hosts: usize, allowance: f64) -> Self {
        let whole = FleetBudget { window: WINDOW, share: 0.2, allowance };
        let hosts = (0..hosts).map(|_| (RetryBudget::default(), 0)).collect();
        Self { whole, hosts, requests: Vec::new(), extras: Vec::new() }
    }

    /// Kills a share of the hosts and starts them again.
    fn restart(&mut self, share: f64) {
        let step = self.requests.len() as u32;
        let count = (self.hosts.len() as f64 * share).ceil() as usize;
        self.hosts.iter_mut().take(count).for_each(|host| *host = (RetryBudget::default(), step));
    }

    /// Each host has so many requests, and makes every extra attempt that it may.
    fn step(&mut self, requests: u32) {
        let step = self.requests.len() as u32;
        let now = STEP * step;
        let live = self.hosts.len();
        let mut extras = 0;
        for (host, started) in &mut self.hosts {
            let running = step - *started;
            // Nobody but itself, at first.
            let hosts = if running < MEETING_STEPS { 1 } else { live };
            let running = STEP * running;
            let view = FleetView {
                hosts,
                running,
                gatherers: hosts,
                gathering: Some(running),
                awaiting_peers: false,
            };
            let options = budget::host_share(&self.whole, &view, ServiceUse::Single);
            (0..requests).for_each(|_| host.earn(now, &options));
            while host.spend(now, &options) {
                extras += 1;
            }
        }
        self.requests.push(requests * live as u32);
        self.extras.push(extras);
    }

    /// What was spent in the window that ends now, and what operators allow in it.
    fn window(&self) -> (f64, f64) {
        let sum = |counts: &[u32], back: usize| -> f64 {
            let end = counts.len().saturating_sub(back);
            counts[end.saturating_sub(WINDOW_STEPS)..end].iter().copied().map(f64::from).sum()
        };
        let backs = [0, WINDOW_STEPS / 2, WINDOW_STEPS];
        let requests = backs.iter().map(|back| sum(&self.requests, *back)).fold(0.0, f64::max);
        (sum(&self.extras, 0), self.whole.share * requests + self.whole.allowance)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Targets fail all the while, so that every host makes each extra attempt that
    /// it may, through bursts and calm. Now and then some hosts or all are killed,
    /// twice in a window too, and begin knowing nobody and nothing of what they
    /// spent. Together they stay within what operators allow in any window.
    #[test]
    fn hosts_that_start_again_stay_within_the_whole(
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

/// A fleet whose few hosts that gather make nearly all attempts at shards.
struct GatherFleet {
    whole: FleetBudget,
    hosts: Vec<GatherHost>,
    gatherers: usize,
    step: u32,
    extras: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct GatherHost {
    budget: RetryBudget,
    started: u32,
    /// The step since which it gathers.
    gathers: Option<u32>,
    /// Steps until it is there again.
    down: u32,
}

impl GatherFleet {
    fn new(hosts: usize, gatherers: usize, allowance: f64) -> Self {
        let whole = FleetBudget { window: WINDOW, share: 0.2, allowance };
        let hosts = vec![GatherHost::default(); hosts];
        Self { whole, hosts, gatherers, step: 0, extras: Vec::new() }
    }

    /// Kills hosts, those that gather first, which are back after some steps.
    fn kill(&mut self, count: usize, down: u32) {
        let step = self.step;
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.sort_by_key(|host| self.hosts[*host].gathers.is_none());
        for host in order.into_iter().take(count) {
            // It gathers until it knows others.
            let started = step + down;
            self.hosts[host] =
                GatherHost { started, gathers: Some(started), down, ..GatherHost::default() };
        }
    }

    /// Every host makes each extra attempt that it may, on its own view of the fleet:
    /// one that has just started knows nobody, and in a cut each side knows its part.
    fn step(&mut self, cut: bool) {
        let now = STEP * self.step;
        let step = self.step;
        let live = self.hosts.iter().filter(|host| host.down == 0).count();
        let mut places = self.gatherers;
        let mut extras = 0;
        for host in &mut self.hosts {
            if host.down > 0 {
                host.down -= 1;
                continue;
            }
            let running = step - host.started;
            let chosen = places > 0;
            places -= usize::from(chosen);
            let alone = running < MEETING_STEPS && host.started > 0;
            match (chosen || alone, host.gathers) {
                (true, None) => host.gathers = Some(step),
                (false, Some(_)) => host.gathers = None,
                _ => {}
            }
            let known = if cut { live / 2 } else { live };
            let view = FleetView {
                hosts: if alone { 1 } else { known },
                running: STEP * running,
                gatherers: if alone { 1 } else { self.gatherers.min(known) },
                gathering: host.gathers.map(|since| STEP * (step - since)),
                awaiting_peers: alone,
            };
            let options = budget::host_share(&self.whole, &view, ServiceUse::Shard);
            while host.budget.spend(now, &options) {
                extras += 1;
            }
        }
        self.extras.push(extras);
        self.step += 1;
    }

    /// What was spent in the window that ends now.
    fn window(&self) -> u32 {
        self.extras.iter().rev().take(WINDOW_STEPS).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// The hosts that gather change with kills, restarts and cuts, and each sees
    /// another fleet for a while. Together they stay within what operators allow.
    #[test]
    fn hosts_that_gather_stay_within_the_whole(
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

/// Fifteen hosts of 195 gathered all queries, with 1.1 extra attempts each of the 430
/// that operators allow; the parts of the others were left unused.
#[test]
fn hosts_that_gather_have_most_of_a_shards_allowance() {
    let whole = FleetBudget { window: WINDOW, share: 0.2, allowance: 430.0 };
    let view = |gathering| FleetView {
        hosts: 195,
        running: WINDOW * 2,
        gatherers: 15,
        gathering,
        awaiting_peers: false,
    };
    let part = |gathering, service| budget::host_share(&whole, &view(gathering), service).allowance;
    let gatherer = part(Some(WINDOW), ServiceUse::Shard);
    assert!((11.0..12.0).contains(&gatherer), "{gatherer}");
    assert_eq!(part(Some(WINDOW / 2), ServiceUse::Shard), gatherer / 2.0);
    let (other, single) = (part(None, ServiceUse::Shard), part(None, ServiceUse::Single));
    assert!(other < 0.3 && (1.0..1.2).contains(&single), "{other}, {single}");
    let all = 15.0 * gatherer + 180.0 * other;
    assert!(all <= 430.0 * 0.5 + 0.1, "{all}");
}
