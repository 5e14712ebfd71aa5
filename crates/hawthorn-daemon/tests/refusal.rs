//! Which refusals are final.

use std::time::Duration;

use hawthorn_daemon::request::front;
use hawthorn_types::RefusalReason;

const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

struct ConfigAgeCase {
    name: &'static str,
    age: Option<Duration>,
    reason: RefusalReason,
}

/// Guards against a final refusal by a configuration that may lack what was added since.
#[test]
fn only_a_recently_confirmed_configuration_refuses_for_good() {
    let case = |name, age, reason| ConfigAgeCase { name, age, reason };
    let final_reason = RefusalReason::UnknownCaller;
    let stale = RefusalReason::StaleConfiguration;
    let after_limit = IN_FORCE_WITHIN + Duration::from_millis(1);
    let cases = [
        case("confirmed now", Some(Duration::ZERO), final_reason),
        case("confirmed in time", Some(IN_FORCE_WITHIN), final_reason),
        case("confirmed too long ago", Some(after_limit), stale),
        case("never confirmed", None, stale),
    ];
    for case in cases {
        let reason = front::refusal_by_config(final_reason, case.age, IN_FORCE_WITHIN);
        assert_eq!(reason, case.reason, "{}", case.name);
    }
}
