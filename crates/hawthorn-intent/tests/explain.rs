//! Explanations of the desired state of a target.

mod support;

use hawthorn_intent::explain::Error;
use hawthorn_intent::explain::explain;
use hawthorn_intent::inventory;
use hawthorn_intent::rules;
use support::DAR_PORT;
use support::TestResult;
use support::check_example;
use support::rule;
use support::small;
use support::small_inventory;

#[test]
fn a_spare_target_is_explained_by_its_rule() -> TestResult {
    let outcome = check_example(DAR_PORT);
    let explanation = explain(&outcome.inventory, &outcome.rules, "agent-desk-spare-1")?;
    insta::assert_snapshot!(explanation, @r#"
    agent-desk-spare-1 (asset DA-1116, agent-desk, zone mbagala, spare): off
      decided by: spares-off (off, priority 0): spare hardware stays off to save power
      agent-desk/00 is also at: agent-desk-00-a (serve), agent-desk-00-b (serve)
    "#);
    let by_asset = explain(&outcome.inventory, &outcome.rules, "DA-1116")?;
    assert_eq!(by_asset, explanation);
    Ok(())
}

#[test]
fn kept_and_released_replicas_are_distinguished() -> TestResult {
    let fleet = [small("a", "east", &["desk/00"]), small("b", "west", &["desk/00"])];
    let text = small_inventory(1, &fleet);
    let inventory = inventory::read(&text).inventory;
    let text = rule("night", "", "off", "replicas = 1")
        + &rule("west", "zone = \"west\"", "standby", "priority = -1");
    let rules = rules::read(&text).rules;
    let kept = explain(&inventory, &rules, "a")?;
    let released = explain(&inventory, &rules, "b")?;
    insta::assert_snapshot!(format!("{kept}{released}"), @r#"
    a (asset A-a, desk, zone east): serve
      decided by: night (off, priority 0): because night
      kept serving: the rule keeps 1 serving for each shard
      desk/00 is also at: b (off)
    b (asset A-b, desk, zone west): off
      decided by: night (off, priority 0): because night
      not kept: others are the 1 that serve each of its shards
      also matches: west (standby, priority -1): because west
      desk/00 is also at: a (serve)
    "#);
    Ok(())
}

#[test]
fn an_unknown_name_is_an_error() -> TestResult {
    let outcome = check_example(DAR_PORT);
    let unknown = explain(&outcome.inventory, &outcome.rules, "agent-desk-99-a");
    assert_eq!(unknown, Err(Error::UnknownTarget("agent-desk-99-a".to_owned())));
    Ok(())
}
