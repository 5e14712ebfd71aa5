//! Differences between configurations, which operators see before an edit is applied.

mod support;

use hawthorn_intent::diff::ConfigView;
use hawthorn_intent::diff::diff;
use hawthorn_intent::inventory;
use hawthorn_intent::rules;
use support::POLAND;
use support::TestResult;
use support::check_example;
use support::rule;
use support::small;
use support::small_inventory;
use support::spare;

#[test]
fn entries_and_their_effects_are_listed() -> TestResult {
    let old = [
        small("a", "east", &["desk/00"]),
        small("b", "west", &["desk/00"]),
        spare("gone", "west", &["desk/00"]),
    ];
    let new = [
        small("a", "east", &["desk/00"]),
        small("b", "east", &["desk/00"]),
        small("c", "west", &["desk/00"]),
    ];
    let (old, new) = (small_inventory(1, &old), small_inventory(1, &new));
    let old_rules = rule("east-on", "zone = \"east\"", "serve", "")
        + &rule("saving", "spare = true", "off", "");
    let new_rules = rule("saving", "target = \"a\"", "off", "")
        + &rule("east-on", "zone = \"east\"", "serve", "")
        + "[[caller]]\nname = \"desk\"\n";
    let (old, new) = (inventory::read(&old).inventory, inventory::read(&new).inventory);
    let (old_rules, new_rules) = (rules::read(&old_rules).rules, rules::read(&new_rules).rules);
    let outcome = diff(
        ConfigView { inventory: &old, rules: &old_rules },
        ConfigView { inventory: &new, rules: &new_rules },
    );
    insta::assert_snapshot!(outcome, @r#"
    ~ target b
        zone: "west" -> "east"
    - target gone
    ~ rule saving
        match: { spare = true } -> { target = "a" }
    + target c
    + caller desk
    ~ rules have another order
    > a: serve -> off
    > gone: off -> -
    > c: - -> serve
    "#);
    Ok(())
}

#[test]
fn a_configuration_does_not_differ_from_itself() -> TestResult {
    let outcome = check_example(POLAND);
    let view = ConfigView { inventory: &outcome.inventory, rules: &outcome.rules };
    assert_eq!(diff(view, view).changes, []);
    Ok(())
}
