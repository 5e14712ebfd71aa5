//! Desired states that result from inventory and rules.

mod support;

use hawthorn_intent::desired_state::DecisionCause;
use hawthorn_intent::desired_state::decide;
use hawthorn_intent::inventory;
use hawthorn_intent::rules;
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

/// Two shards with a replica in each of two zones, and a spare target that holds both shards.
const FLEET: [SmallTarget; 5] = [
    small("a0", "east", &["desk/00"]),
    small("b0", "west", &["desk/00"]),
    small("a1", "east", &["desk/01"]),
    small("b1", "west", &["desk/01"]),
    spare("s", "east", &["desk/00", "desk/01"]),
];

struct DecisionCase {
    name: &'static str,
    rules: String,
    expected: [DesiredState; 5],
}

#[test]
fn rules_apply_by_priority_then_order() -> TestResult {
    let cases = [
        DecisionCase {
            name: "no rule: spare targets are off",
            rules: String::new(),
            expected: [Serve, Serve, Serve, Serve, Off],
        },
        DecisionCase {
            name: "a rule switches the spare target on",
            rules: rule("spare-on", "spare = true", "serve", ""),
            expected: [Serve; 5],
        },
        DecisionCase {
            name: "of equal priorities, the first rule in the file applies",
            rules: rule("one", "zone = \"east\"", "drain", "") + &rule("two", "", "standby", ""),
            expected: [Drain, Standby, Drain, Standby, Drain],
        },
        DecisionCase {
            name: "priority takes precedence over order",
            rules: rule("one", "zone = \"east\"", "drain", "")
                + &rule("two", "target = \"a*\"", "off", "priority = 1"),
            expected: [Off, Serve, Off, Serve, Drain],
        },
        DecisionCase {
            name: "all patterns of a rule must match",
            rules: rule("one", "zone = \"east\", asset = \"A-?1\", spare = false", "off", ""),
            expected: [Serve, Serve, Off, Serve, Off],
        },
        DecisionCase {
            name: "one replica of each shard is kept, spare targets last",
            rules: rule("night", "", "off", "replicas = 1"),
            expected: [Serve, Off, Serve, Off, Off],
        },
        DecisionCase {
            name: "replicas in another zone are kept before spare targets",
            rules: rule("night", "", "standby", "replicas = 2"),
            expected: [Serve, Serve, Serve, Serve, Standby],
        },
        DecisionCase {
            name: "replicas that serve because of other rules count",
            rules: rule("west-on", "zone = \"west\"", "serve", "priority = 1")
                + &rule("night", "", "off", "replicas = 1"),
            expected: [Off, Serve, Off, Serve, Off],
        },
        DecisionCase {
            name: "a draining target is replaced, by a spare one if no other is left",
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
        let decisions = decide(&inventory.inventory, &rules.rules);
        let states: Vec<_> = decisions.iter().map(|decision| decision.state).collect();
        assert_eq!(states, case.expected, "{}", case.name);
    }
    Ok(())
}

#[test]
fn decisions_name_the_applied_rule_and_all_matching_ones() -> TestResult {
    let text = small_inventory(2, &FLEET);
    let inventory = inventory::read(&text).inventory;
    let text = rule("all", "", "off", "replicas = 1")
        + &rule("top", "zone = \"w*\"", "off", "priority = 1");
    let rules = rules::read(&text).rules;
    let decisions = decide(&inventory, &rules);
    assert_eq!(decisions[0].cause, DecisionCause::KeptReplica(0));
    assert_eq!(decisions[1].cause, DecisionCause::Rule(1));
    assert_eq!(decisions[1].matched.as_slice(), [1, 0]);
    assert_eq!(decisions[4].cause, DecisionCause::Rule(0));
    Ok(())
}
