//! The check reports all faults at once, and accepted configurations serve every shard.

mod support;

use std::cell::Cell;

use hawthorn_intent::catalog;
use hawthorn_intent::check::Inputs;
use hawthorn_intent::check::check;
use hawthorn_intent::fault::ConfigFault;
use hawthorn_intent::fault::FaultKind;
use hawthorn_types::ConfigRevision;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use support::DAR_PORT;
use support::ExampleFiles;
use support::POLAND;
use support::TestResult;
use support::check_example;
use support::fixed_runner;
use support::rule;
use support::small;
use support::small_inventory;

#[test]
fn examples_have_no_faults() -> TestResult {
    for example in [DAR_PORT, POLAND] {
        let outcome = check_example(example);
        assert_eq!(outcome.faults, [], "{}", example.name);
        catalog::build(&outcome.inventory, &outcome.rules, ConfigRevision(1), Default::default())?;
    }
    Ok(())
}

/// A fault injected into a file by replacing the first `old` with `new`.
struct InjectedFault {
    old: &'static str,
    new: &'static str,
}

const fn inject(old: &'static str, new: &'static str) -> InjectedFault {
    InjectedFault { old, new }
}

fn with_faults(text: &str, faults: &[InjectedFault]) -> Result<String, String> {
    faults.iter().try_fold(text.to_owned(), |text, fault| {
        let found = text.contains(fault.old);
        found.then(|| text.replacen(fault.old, fault.new, 1)).ok_or(format!("no {}", fault.old))
    })
}

fn report(
    example: ExampleFiles,
    daemon: &[InjectedFault],
    inventory: &[InjectedFault],
    rules: &[InjectedFault],
) -> Result<String, String> {
    let daemon = with_faults(example.daemon, daemon)?;
    let inventory = with_faults(example.inventory, inventory)?;
    let rules = with_faults(example.rules, rules)?;
    let inputs = Inputs { settings: Some(&daemon), inventory: &inventory, rules: &rules };
    let lines: Vec<_> = check(inputs).faults.iter().map(ConfigFault::to_string).collect();
    Ok(lines.join("\n"))
}

#[test]
fn faults_injected_into_dar_port_are_reported() -> TestResult {
    let report = report(
        DAR_PORT,
        &[
            inject("slow_client = \"5s\"", "slow_client = 5"),
            inject("platform = \"10.11.0.5:2390\"", "platform = \"store.port.example:2390\""),
            inject("max_limit = 1000", "max_limt = 1000"),
        ],
        &[
            inject("asset = \"DA-1003\"", "asset = \"DA-1001\""),
            inject("name = \"agent-desk-02-a\"", "name = \"agent desk 02 a\""),
            inject(
                "zone = \"mbagala\"\naddress = \"10.13.0.22",
                "zone = \"mbgala\"\naddress = \"10.13.0.22",
            ),
            inject("\"agent-desk/04\"", "\"agent-desk/4\""),
            inject("slots = 2", "slots = 0"),
        ],
        &[
            inject("wanted = \"off\"", "wanted = \"of\""),
            inject("reason = \"spare hardware stays off to save power\"\n", ""),
        ],
    )?;
    insta::assert_snapshot!(report, @r#"
    daemon.toml:14: error: bad-address at platform: found "store.port.example:2390", expected an IP number with a port, such as "10.0.0.1:7000"
    daemon.toml:19: error: unknown-key at limits.max_limt: found max_limt, expected one of max_body_bytes, body_memory_bytes, max_answer_bytes, max_limit, max_request_id_bytes, max_deadline, slow_client, front_queue, group_queue, caller_queue
    daemon.toml:20: error: wrong-unit at limits.slow_client: found 5, expected a whole number with a unit, us, ms, s, m or h, such as "50ms"
    inventory.toml:23: warning: one-zone at service[0].shards: found targets in one zone only for agent-desk/04, expected targets that serve in two zones or more
    inventory.toml:24: error: out-of-range at service[0].slots: found 0, expected 1 to 4096
    inventory.toml:80: error: duplicate at target[2].asset: found "DA-1001", as at target[0].asset, expected another asset for each target
    inventory.toml:95: error: bad-name at target[4].name: found "agent desk 02 a", expected 1 to 64 of a-z, A-Z, 0-9, -, _ and .
    inventory.toml:98: error: dangling-name at target[4].zone: found "mbgala", expected a zone of the inventory: kurasini, kigamboni, mbagala
    inventory.toml:132: error: dangling-name at target[8].shards[0]: found "agent-desk/4", expected agent-desk/00 to agent-desk/19
    rules.toml:23: error: missing-key at rule[0].reason: found no such key, expected a string
    rules.toml:26: error: unknown-word at rule[0].wanted: found "of", expected serve, standby, drain or off
    "#);
    Ok(())
}

#[test]
fn faults_injected_into_poland_are_reported() -> TestResult {
    let off = rule("halls-off", "service = \"archive-reader\"", "off", "priority = 5");
    let lost = rule("no-such-hall", "zone = \"hall-warsaw\"", "drain", "");
    let more = format!("{off}{lost}\n[[rule]]\nname = \"spares-off\"");
    let more: &'static str = Box::leak(more.into_boxed_str());
    let report = report(
        POLAND,
        &[
            inject("zone = \"hall-kato\"", "zone = \"hall-katowice\""),
            inject("grace = \"30s\"", "grace = \"30sec\""),
            inject("peer_address = \"10.21.0.11:8700\"", "peer_address = \"0.0.0.0:8700\""),
        ],
        &[
            inject("10.22.0.21:7100", "10.21.0.21:7100"),
            inject("service = \"claim-desk\"\nzone", "service = \"claims-desk\"\nzone"),
            inject("connect_cost = \"6ms\"", "connect_cost = \"6\""),
            inject("shards = 20", "shards = 21"),
        ],
        &[inject("weight = 1", "weight = 2"), inject("[[rule]]\nname = \"spares-off\"", more)],
    )?;
    insta::assert_snapshot!(report, @r#"
    daemon.toml:6: error: dangling-name at zone: found "hall-katowice", expected a zone of the inventory: hall-kato, hall-krak, hall-gliw
    daemon.toml:11: error: bad-address at peer_address: found 0.0.0.0:8700, expected an address that others can connect to
    daemon.toml:29: error: wrong-unit at stop.grace: found "30sec", expected a whole number with a unit, us, ms, s, m or h, such as "50ms"
    inventory.toml:23: error: no-serving-replica at service[0].shards: found no target for claim-desk/20, expected each shard in the shards of a target
    inventory.toml:26: error: wrong-unit at service[0].connect_cost: found "6", expected a whole number with a unit, us, ms, s, m or h, such as "50ms"
    inventory.toml:65: error: dangling-name at target[0].service: found "claims-desk", expected a service of the inventory: claim-desk, royalty-ledger, archive-reader, notice-gateway
    inventory.toml:75: error: duplicate at target[1].address: found "10.21.0.21:7100", as at target[0].address, expected another address for each target
    rules.toml:9: error: unequal-callers at caller[0].weight: found weight 2 for "member-bobrza", expected 1, because equal_callers is true
    rules.toml:32: error: no-serving-replica at rule[0].wanted: found no target that serves for archive-reader/00, archive-reader/01, archive-reader/02, expected at least one target that serves for each shard
    rules.toml:37: error: dangling-name at rule[1].match.zone: found "hall-warsaw", expected a zone of the inventory: hall-kato, hall-krak, hall-gliw
    "#);
    Ok(())
}

struct KindCase {
    name: &'static str,
    inventory: &'static str,
    rules: String,
    expected: &'static [(FaultKind, &'static str)],
}

#[test]
fn each_fault_is_reported_at_its_key() -> TestResult {
    let fleet = [small("a", "east", &["desk/00"]), small("b", "west", &["desk/00"])];
    let inventory = small_inventory(1, &fleet);
    let case = |name, inventory, rules, expected| KindCase { name, inventory, rules, expected };
    let cases = [
        case("good", "", String::new(), &[]),
        case(
            "last targets off",
            "",
            rule("off", "", "off", ""),
            &[(FaultKind::NoServingReplica, "rule[0].wanted")],
        ),
        case(
            "last targets on standby",
            "",
            rule("rest", "target = \"?\"", "standby", ""),
            &[(FaultKind::NoServingReplica, "rule[0].wanted")],
        ),
        case(
            "all off but one kept",
            "",
            rule("off", "", "off", "replicas = 1"),
            &[(FaultKind::OneZone, "service[0].shards")],
        ),
        case(
            "matches nothing",
            "",
            rule("lost", "asset = \"B-*\"", "off", ""),
            &[(FaultKind::NeverMatches, "rule[0].match")],
        ),
        case(
            "decides nothing",
            "",
            rule("first", "", "serve", "") + &rule("late", "zone = \"east\"", "off", ""),
            &[(FaultKind::NeverDecides, "rule[1]")],
        ),
        case(
            "unknown rule key",
            "",
            rule("odd", "", "serve", "until = \"friday\""),
            &[(FaultKind::UnknownKey, "rule[0].until")],
        ),
        case(
            "not TOML",
            "",
            "equal_callers = yes please".to_owned(),
            &[(FaultKind::Syntax, ""), (FaultKind::WrongType, "equal_callers")],
        ),
        case(
            "service without targets",
            "[[service]]\nname = \"feed\"\nshards = 2\nslots = 1\nconnections = 1",
            String::new(),
            &[(FaultKind::NoServingReplica, "service[1].shards")],
        ),
        case(
            "two zones of one name",
            "[[zone]]\nname = \"east\"\nregion = \"coast\"",
            String::new(),
            &[(FaultKind::Duplicate, "zone[2].name")],
        ),
        case(
            "an empty entry",
            "[[zone]]",
            String::new(),
            &[(FaultKind::MissingKey, "zone[2].name"), (FaultKind::MissingKey, "zone[2].region")],
        ),
    ];
    for case in cases {
        let inventory = format!("{inventory}{}", case.inventory);
        let rules = format!("{}\n[[caller]]\nname = \"desk\"\n", case.rules);
        let outcome = check(Inputs { settings: None, inventory: &inventory, rules: &rules });
        let found: Vec<_> =
            outcome.faults.iter().map(|fault| (fault.kind, fault.path.as_str())).collect();
        assert_eq!(found, case.expected, "{}", case.name);
        let errors = case.expected.iter().any(|(kind, _)| {
            !matches!(kind, FaultKind::OneZone | FaultKind::NeverMatches | FaultKind::NeverDecides)
        });
        assert_eq!(outcome.is_accepted(), !errors, "{}", case.name);
    }
    Ok(())
}

#[test]
fn a_configuration_too_large_for_the_store_is_rejected() -> TestResult {
    let comment = "# a line that says nothing\n".repeat(40_000);
    let inventory = format!("{}{comment}", DAR_PORT.inventory);
    let outcome = check(Inputs { settings: None, inventory: &inventory, rules: DAR_PORT.rules });
    let kinds: Vec<_> = outcome.faults.iter().map(|fault| fault.kind).collect();
    assert_eq!(kinds, [FaultKind::TooLarge]);
    Ok(())
}

/// Asserts that the configuration, if it is accepted, serves every shard. Returns whether it is
/// accepted.
fn assert_serves_if_accepted(inventory: &str, rules: &str) -> bool {
    let outcome = check(Inputs { settings: Some(inventory), inventory, rules });
    let without_settings = check(Inputs { settings: None, inventory, rules });
    assert!(outcome.faults.len() >= without_settings.faults.len());
    if !without_settings.is_accepted() {
        return false;
    }
    let built = catalog::build(
        &without_settings.inventory,
        &without_settings.rules,
        ConfigRevision(1),
        Default::default(),
    );
    let catalog = built.expect("the catalog of an accepted configuration can be built");
    for (shard, record) in catalog.shards() {
        assert!(
            catalog.serving_targets_of(shard).next().is_some(),
            "{} is not served",
            record.name
        );
    }
    true
}

#[test]
fn random_bytes_never_panic() -> TestResult {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    fixed_runner(400).run(&bytes, |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        assert_serves_if_accepted(&text, &text);
        Ok(())
    })?;
    Ok(())
}

/// A random edit: the line, the kind of edit, and a character to insert.
type LineEdit = (prop::sample::Index, u8, char);

fn edited(text: &str, edits: &[LineEdit]) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for (line, action, character) in edits {
        if lines.is_empty() {
            break;
        }
        let at = line.index(lines.len());
        match action % 5 {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, lines[at].clone()),
            2 => {
                let other = line.index(at + 1);
                lines.swap(at, other);
            }
            3 => lines[at].push(*character),
            _ => lines[at] = lines[at].replacen(['1', '"', '='], &character.to_string(), 1),
        }
    }
    lines.join("\n")
}

#[test]
fn randomly_edited_examples_serve_every_shard_if_accepted() -> TestResult {
    let edits =
        || prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), any::<char>()), 0..3);
    let accepted = Cell::new(0);
    fixed_runner(150).run(&(edits(), edits()), |(inventory, rules)| {
        let inventory = edited(POLAND.inventory, &inventory);
        let rules = edited(POLAND.rules, &rules);
        accepted.set(accepted.get() + u32::from(assert_serves_if_accepted(&inventory, &rules)));
        Ok(())
    })?;
    assert!((15..=135).contains(&accepted.get()), "{} of 150 accepted", accepted.get());
    Ok(())
}

fn any_rule() -> impl Strategy<Value = String> {
    let zone = prop::sample::select(vec!["", "zone = \"hall-k*\"", "zone = \"hall-gliw\""]);
    let spare = prop::sample::select(vec!["", "spare = true", "spare = false"]);
    let target = prop::sample::select(vec!["", "target = \"*-a\"", "target = \"claim*\""]);
    let wanted = prop::sample::select(vec!["serve", "standby", "drain", "off"]);
    let more = prop::sample::select(vec!["", "replicas = 1", "replicas = 2", "priority = 7"]);
    (zone, spare, target, wanted, more).prop_map(|(zone, spare, target, wanted, more)| {
        let patterns: Vec<_> =
            [zone, spare, target].into_iter().filter(|pattern| !pattern.is_empty()).collect();
        rule("RULE", &patterns.join(", "), wanted, more)
    })
}

#[test]
fn random_rules_serve_every_shard_if_accepted() -> TestResult {
    let accepted = Cell::new(0);
    let rules = prop::collection::vec(any_rule(), 1..5);
    fixed_runner(200).run(&rules, |rules| {
        let named = rules.iter().enumerate();
        let rules: String =
            named.map(|(index, rule)| rule.replacen("RULE", &format!("rule-{index}"), 1)).collect();
        accepted
            .set(accepted.get() + u32::from(assert_serves_if_accepted(POLAND.inventory, &rules)));
        Ok(())
    })?;
    assert!((20..=180).contains(&accepted.get()), "{} of 200 accepted", accepted.get());
    Ok(())
}
