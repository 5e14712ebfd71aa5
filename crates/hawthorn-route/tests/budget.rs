//! Extra attempts stay within their share of requests, over all hosts together.

use std::time::Duration;

use hawthorn_route::budget::Options;
use hawthorn_route::budget::RetryBudget;
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
