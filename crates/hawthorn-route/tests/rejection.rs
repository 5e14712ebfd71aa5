//! Which requests a host may reject for good, by what it knows of the configuration.

use std::time::Duration;

use hawthorn_route::rejection;
use hawthorn_route::rejection::KnownVersions;
use hawthorn_route::rejection::Outcome;

const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Guards against a rejection for good of a request that some version may allow.
#[test]
fn only_confirmed_versions_reject_for_good() {
    struct Case {
        name: &'static str,
        age_ms: Option<u64>,
        newest_allows: bool,
        expected: Outcome,
    }
    let cases = [
        Case {
            name: "confirmed",
            age_ms: Some(4999),
            newest_allows: false,
            expected: Outcome::Rejected,
        },
        Case {
            name: "a newer version may be in force",
            age_ms: Some(5000),
            newest_allows: false,
            expected: Outcome::Unconfirmed,
        },
        Case {
            name: "never confirmed",
            age_ms: None,
            newest_allows: false,
            expected: Outcome::Unconfirmed,
        },
        Case {
            name: "received and not in force",
            age_ms: Some(0),
            newest_allows: true,
            expected: Outcome::NotInForce,
        },
        Case {
            name: "received, not in force and old",
            age_ms: Some(9000),
            newest_allows: true,
            expected: Outcome::NotInForce,
        },
    ];
    for Case { name, age_ms, newest_allows, expected } in cases {
        let confirmed_age = age_ms.map(Duration::from_millis);
        let known = KnownVersions { confirmed_age, newest_allows };
        assert_eq!(rejection::judge(known, APPLY_LIMIT), expected, "{name}");
    }
}
