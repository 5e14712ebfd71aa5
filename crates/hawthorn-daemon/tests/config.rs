//! Parsing of configuration documents.

use std::error::Error;

use hawthorn_daemon::version::config;
use serde_json::json;

type TestResult = Result<(), Box<dyn Error>>;

const INVENTORY: &str = r#"
[[zone]]
name = "kurasini"
region = "dar"

[[service]]
name = "desk"
shards = 1
slots = 2
connections = 25

[[target]]
name = "desk-a"
asset = "A-1"
service = "desk"
zone = "kurasini"
address = "10.0.0.1:7100"
shards = ["desk/00"]
"#;

struct DocumentCase {
    name: &'static str,
    inventory: String,
    rules: &'static str,
    is_accepted: bool,
}

/// Guards against daemons that stay at the old revision because an edit uses a key that only newer
/// ones know. Unknown keys are ignored, but real faults, such as a shard without a serving target,
/// are still rejected.
#[test]
fn unknown_keys_are_ignored_and_faults_rejected() -> TestResult {
    let case = |name, inventory: &str, rules, is_accepted| DocumentCase {
        name,
        inventory: inventory.to_owned(),
        rules,
        is_accepted,
    };
    let all_off = "[[rule]]\nname = \"off\"\nwanted = \"off\"\nreason = \"power\"\n";
    let cases = [
        case("plain", INVENTORY, "", true),
        case("unknown key", &format!("{INVENTORY}colour = \"red\"\n"), "", true),
        case("unknown key in the rules", INVENTORY, "tint = 1\n", true),
        case("not TOML", "[[", "", false),
        case("no target serves", INVENTORY, all_off, false),
    ];
    for case in cases {
        let document = json!({
            "revision": 3,
            "edit_id": "e",
            "author": "test",
            "changed_at": 0,
            "inventory": case.inventory,
            "rules": case.rules,
        });
        let parsed = config::parse(&document.to_string());
        assert_eq!(parsed.is_ok(), case.is_accepted, "{}: {:?}", case.name, parsed.err());
    }
    Ok(())
}

#[test]
fn parsed_config_keeps_inventory_and_rules() -> TestResult {
    let rules = "[[caller]]\nname = \"bunker-desk\"\n";
    let document = json!({
        "revision": 3, "edit_id": "e", "author": "test", "changed_at": 0,
        "inventory": INVENTORY, "rules": rules,
    });
    let config = config::parse(&document.to_string())?;
    assert_eq!(config.catalog.revision().0, 3);
    assert_eq!(config.inventory.targets.len(), 1);
    assert_eq!(config.rules.callers.len(), 1);
    Ok(())
}
