//! Membership among daemons on virtual time.

mod support;

use std::error::Error;

use support::Switch;
use support::ms;

type TestResult = Result<(), Box<dyn Error>>;

#[test]
fn all_meet_from_three_seeds() -> TestResult {
    let mut switch = Switch::with(1, 8, 3);
    let met =
        switch.run_until(ms(10_000), |switch| (0..8).all(|a| (0..8).all(|b| switch.sees(a, b))));
    eprintln!("met {met:?}");
    assert!(met.is_some_and(|time| time < ms(3_000)));
    Ok(())
}
