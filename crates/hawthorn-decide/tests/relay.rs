//! When a piece is relayed to another zone, and when a relayed piece is accepted.

use std::error::Error;
use std::time::Duration;

use hawthorn_decide::relay;
use hawthorn_decide::relay::Options;

struct DelayCase {
    name: &'static str,
    here: u64,
    elsewhere: u64,
    expected_us: u64,
}

#[test]
fn the_delay_follows_the_faster_zone() -> Result<(), Box<dyn Error>> {
    let cases = [
        DelayCase { name: "nothing known", here: 0, elsewhere: 0, expected_us: 10_000 },
        DelayCase { name: "both ordinary", here: 8_000, elsewhere: 4_000, expected_us: 10_000 },
        DelayCase { name: "slow here", here: 80_000, elsewhere: 4_000, expected_us: 12_000 },
        DelayCase { name: "unknown there", here: 80_000, elsewhere: 0, expected_us: 100_000 },
        DelayCase { name: "both fast", here: 800, elsewhere: 500, expected_us: 3_000 },
    ];
    for case in cases {
        let micros = Duration::from_micros;
        let delay = relay::delay(micros(case.here), micros(case.elsewhere), &Options::default());
        assert_eq!(delay, micros(case.expected_us), "{}", case.name);
    }
    Ok(())
}

/// Under saturation all pieces are late, and relays between zones would make each run twice and
/// delay all of them further.
#[test]
fn relays_are_accepted_only_into_a_free_slot() -> Result<(), Box<dyn Error>> {
    assert!(relay::may_accept(Duration::ZERO));
    assert!(!relay::may_accept(Duration::from_micros(1)));
    Ok(())
}
