//! Policies that operators set, right and wrong.

use hawthorn_route::policy::RoutePolicy;

fn read(text: &str) -> Result<RoutePolicy, String> {
    let policy: RoutePolicy = toml::from_str(text).map_err(|error| error.to_string())?;
    policy.check().map_err(|error| error.to_string())?;
    Ok(policy)
}

/// An operator mistypes a key or a value. Taken as the default without a word, the
/// limit that was meant would hold nothing back when the load comes.
#[test]
fn a_wrong_policy_is_refused_by_name() {
    struct Case {
        text: &'static str,
        /// What the refusal says.
        says: &'static [&'static str],
    }
    let cases = [
        Case { text: "[skiping]\non = false", says: &["unknown field `skiping`", "skipping"] },
        Case { text: "[skipping]\noff = true", says: &["unknown field `off`", "time_share"] },
        Case { text: "[skipping]\non = 0", says: &["on = 0", "expected a boolean"] },
        Case {
            text: "[placing]\nzone_cost_ms = \"30ms\"",
            says: &["zone_cost_ms = ", "expected u64"],
        },
        Case { text: "[placing]\nzone_cost_ms = -1", says: &["zone_cost_ms = -1", "expected u64"] },
        Case { text: "[placing]\nzone_cost_ms = 70000", says: &["placing.zone_cost_ms", "60000"] },
        Case {
            text: "[departure]\nlag_share = 1.2",
            says: &["departure.lag_share: 1.2 is not within 0 to 1"],
        },
        Case { text: "[admission]\nfair_share = nan", says: &["admission.fair_share: NaN"] },
        Case { text: "[admission]\nleast_window = 0", says: &["admission.least_window", "1 to"] },
        Case {
            text: "[admission]\nfirst_window = 4\nleast_window = 5",
            says: &["admission.least_window: above policy.admission.first_window"],
        },
        Case {
            text: "[second_attempts]\neager_factor = 3.0",
            says: &["second_attempts.eager_factor: above"],
        },
        Case { text: "[gatherers]\nleast_shards = 0", says: &["gatherers.least_shards"] },
        Case { text: "[answers]\nheld_kb = 0", says: &["answers.held_kb: 0 is not within 1"] },
        Case { text: "gathering = 1", says: &["gathering = 1", "invalid type"] },
    ];
    for case in cases {
        let error = read(case.text).expect_err(case.text);
        for part in case.says {
            assert!(error.contains(part), "{}: no {part} in {error}", case.text);
        }
    }
}

#[test]
fn a_policy_without_a_word_is_the_default() {
    let policy = read("").expect("nothing is wrong with it");
    assert_eq!(policy, RoutePolicy::default());
    assert_eq!(policy.summary(), "default");
    let changed = read("[skipping]\non = false\n[placing]\nzone_cost_ms = 5").expect("it is right");
    assert_eq!(changed.summary(), "placing.zone_cost_ms=5,skipping.on=0");
}

/// Operators look up what they may set. The page has every key with its default and
/// its range, and no other.
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
