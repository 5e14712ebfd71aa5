//! Parsing and validation of the policy that operators configure.

use hawthorn_route::policy::RoutePolicy;

fn parse(text: &str) -> Result<RoutePolicy, String> {
    let policy: RoutePolicy = toml::from_str(text).map_err(|error| error.to_string())?;
    policy.check().map_err(|error| error.to_string())?;
    Ok(policy)
}

/// Guards against silently using the default for a mistyped key or value: the intended limit
/// would not apply under load.
#[test]
fn an_invalid_policy_is_rejected_with_its_key() {
    struct Case {
        text: &'static str,
        /// Texts that the error message contains.
        messages: &'static [&'static str],
    }
    let cases = [
        Case { text: "[skiping]\non = false", messages: &["unknown field `skiping`", "skipping"] },
        Case { text: "[skipping]\noff = true", messages: &["unknown field `off`", "time_share"] },
        Case { text: "[skipping]\non = 0", messages: &["on = 0", "expected a boolean"] },
        Case {
            text: "[placing]\nzone_cost_ms = \"30ms\"",
            messages: &["zone_cost_ms = ", "expected u64"],
        },
        Case {
            text: "[placing]\nzone_cost_ms = -1",
            messages: &["zone_cost_ms = -1", "expected u64"],
        },
        Case {
            text: "[placing]\nzone_cost_ms = 70000",
            messages: &["placing.zone_cost_ms", "60000"],
        },
        Case {
            text: "[placing]\nby_completion = 2",
            messages: &["by_completion = 2", "expected a boolean"],
        },
        Case {
            text: "[departure]\nlag_share = 1.2",
            messages: &["departure.lag_share: 1.2 is not within 0 to 1"],
        },
        Case { text: "[admission]\nfair_share = nan", messages: &["admission.fair_share: NaN"] },
        Case {
            text: "[admission]\nleast_window = 0",
            messages: &["admission.least_window", "1 to"],
        },
        Case {
            text: "[admission]\nfirst_window = 4\nleast_window = 5",
            messages: &["admission.least_window: above policy.admission.first_window"],
        },
        Case {
            text: "[second_attempts]\neager_factor = 3.0",
            messages: &["second_attempts.eager_factor: above"],
        },
        Case { text: "[gatherers]\nleast_shards = 0", messages: &["gatherers.least_shards"] },
        Case { text: "[answers]\nheld_kb = 0", messages: &["answers.held_kb: 0 is not within 1"] },
        Case { text: "gathering = 1", messages: &["gathering = 1", "invalid type"] },
    ];
    for case in cases {
        let error = parse(case.text).expect_err(case.text);
        for message in case.messages {
            assert!(error.contains(message), "{}: no {message} in {error}", case.text);
        }
    }
}

#[test]
fn an_empty_policy_is_the_default() {
    let policy = parse("").expect("an empty policy is valid");
    assert_eq!(policy, RoutePolicy::default());
    assert_eq!(policy.summary(), "default");
    let changed =
        parse("[skipping]\non = false\n[placing]\nzone_cost_ms = 5").expect("the policy is valid");
    assert_eq!(changed.summary(), "placing.zone_cost_ms=5,skipping.on=0");
}

/// The operators' page lists exactly the existing keys, with their defaults and ranges.
#[test]
fn the_page_lists_every_key() {
    let page = include_str!("../../../docs/operators/policy.md");
    let cells = |line: &str| -> Vec<String> {
        line.split('|').map(|cell| cell.trim().trim_matches('`').to_owned()).collect()
    };
    let listed: Vec<Vec<String>> =
        page.lines().filter(|line| line.starts_with("| `")).map(cells).collect();
    let known = RoutePolicy::default().rows();
    assert_eq!(listed.len(), known.len());
    for (line, row) in listed.iter().zip(&known) {
        let range = format!("{} to {}", row.min, row.max);
        let expected = [row.key.to_owned(), row.value.to_string(), range];
        assert_eq!(line[1..4], expected, "{}", row.key);
    }
}
