//! When a piece is relayed to another zone, and when one is taken.

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

/// In saturation every owner's pieces are late. Were they taken over from zone
/// to zone, each would be worked on twice and all would be later still.
#[test]
fn only_a_free_slot_takes_a_relay() -> Result<(), Box<dyn Error>> {
    assert!(relay::may_accept(Duration::ZERO));
    assert!(!relay::may_accept(Duration::from_micros(1)));
    Ok(())
}
