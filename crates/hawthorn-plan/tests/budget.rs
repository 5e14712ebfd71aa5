//! The retry budget: a ratio of first attempts, with a bounded balance.

use hawthorn_plan::RetryBudget;
use hawthorn_plan::budget::Options;

#[test]
fn extra_pieces_are_limited_by_ratio_and_burst() {
    let mut budget = RetryBudget::new(Options { percent: 10, burst: 30 });
    assert!(budget.spend(30), "the initial burst");
    assert!(!budget.spend(1), "the budget is exhausted");
    budget.earn(270);
    assert!(!budget.spend(28), "more than was earned: refused, nothing spent");
    assert!(budget.spend(27), "what was earned");
    budget.earn(100_000);
    assert_eq!(budget.remaining(), 30, "the balance is limited to the burst");
}
