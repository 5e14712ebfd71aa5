//! Which state is wanted of each target, and that only the rules decide it.

mod support;

use hawthorn_intent::inventory;
use hawthorn_intent::rules;
use hawthorn_intent::wanted::WantedCause;
use hawthorn_intent::wanted::wanted;
use hawthorn_types::DesiredState;
use hawthorn_types::DesiredState::Drain;
use hawthorn_types::DesiredState::Off;
use hawthorn_types::DesiredState::Serve;
use hawthorn_types::DesiredState::Standby;
use support::SmallTarget;
use support::TestResult;
use support::rule;
use support::small;
use support::small_inventory;
use support::spare;

/// Two replicas of each of two shards, in both zones, and a spare one.
const FLEET: [SmallTarget; 5] = [
    small("a0", "east", &["desk/00"]),
    small("b0", "west", &["desk/00"]),
    small("a1", "east", &["desk/01"]),
    small("b1", "west", &["desk/01"]),
    spare("s", "east", &["desk/00", "desk/01"]),
];

struct WantedCase {
    name: &'static str,
    rules: String,
    expected: [DesiredState; 5],
}

#[test]
fn rules_decide_by_priority_then_order() -> TestResult {
    let cases = [
        WantedCase {
            name: "no rule: spare ones are off",
            rules: String::new(),
            expected: [Serve, Serve, Serve, Serve, Off],
        },
        WantedCase {
            name: "a rule switches the spare one on",
            rules: rule("spare-on", "spare = true", "serve", ""),
            expected: [Serve; 5],
        },
        WantedCase {
            name: "the first in the file decides among equals",
            rules: rule("one", "zone = \"east\"", "drain", "") + &rule("two", "", "standby", ""),
            expected: [Drain, Standby, Drain, Standby, Drain],
        },
        WantedCase {
            name: "the greater priority goes before the order",
            rules: rule("one", "zone = \"east\"", "drain", "")
                + &rule("two", "target = \"a*\"", "off", "priority = 1"),
            expected: [Off, Serve, Off, Serve, Drain],
        },
        WantedCase {
            name: "every pattern of a rule must fit",
            rules: rule("one", "zone = \"east\", asset = \"A-?1\", spare = false", "off", ""),
            expected: [Serve, Serve, Off, Serve, Off],
        },
        WantedCase {
            name: "one replica of each shard is kept, the spare one last",
            rules: rule("night", "", "off", "replicas = 1"),
            expected: [Serve, Off, Serve, Off, Off],
        },
        WantedCase {
            name: "replicas in another zone are kept before the spare one",
            rules: rule("night", "", "standby", "replicas = 2"),
            expected: [Serve, Serve, Serve, Serve, Standby],
        },
        WantedCase {
            name: "replicas that other rules keep serving count",
            rules: rule("west-on", "zone = \"west\"", "serve", "priority = 1")
                + &rule("night", "", "off", "replicas = 1"),
            expected: [Off, Serve, Off, Serve, Off],
        },
        WantedCase {
            name: "a drained target is replaced, by the spare one when no other is left",
            rules: rule("repair", "target = \"?0\"", "drain", "priority = 9")
                + &rule("night", "", "off", "replicas = 1"),
            expected: [Drain, Drain, Serve, Off, Serve],
        },
    ];
    let text = small_inventory(2, &FLEET);
    let inventory = inventory::read(&text);
    assert_eq!(inventory.faults, []);
    for case in cases {
        let rules = rules::read(&case.rules);
        assert_eq!(rules.faults, [], "{}", case.name);
        let decisions = wanted(&inventory.inventory, &rules.rules);
        let states: Vec<_> = decisions.iter().map(|decision| decision.state).collect();
        assert_eq!(states, case.expected, "{}", case.name);
    }
    Ok(())
}

#[test]
fn the_cause_names_the_deciding_rule_and_all_that_match() -> TestResult {
    let text = small_inventory(2, &FLEET);
    let inventory = inventory::read(&text).inventory;
    let text = rule("all", "", "off", "replicas = 1")
        + &rule("top", "zone = \"w*\"", "off", "priority = 1");
    let rules = rules::read(&text).rules;
    let decisions = wanted(&inventory, &rules);
    assert_eq!(decisions[0].cause, WantedCause::KeptReplica(0));
    assert_eq!(decisions[1].cause, WantedCause::Rule(1));
    assert_eq!(decisions[1].matched.as_slice(), [1, 0]);
    assert_eq!(decisions[4].cause, WantedCause::Rule(0));
    Ok(())
}
