//! The budget of extra pieces: a part of the first ones, and a bounded saving.

use hawthorn_plan::RetryBudget;
use hawthorn_plan::budget::Options;

#[test]
fn extra_pieces_are_a_part_of_first_ones() {
    let mut budget = RetryBudget::new(Options { percent: 10, burst: 30 });
    assert!(budget.take(30), "what was saved up");
    assert!(!budget.take(1), "nothing is left");
    budget.earn(270);
    assert!(!budget.take(28), "more than was earned, and nothing is taken");
    assert!(budget.take(27), "what was earned");
    budget.earn(100_000);
    assert_eq!(budget.left(), 30, "no more is saved up than the burst");
}
