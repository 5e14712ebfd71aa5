//! Settings of a daemon: defaults, units and faults.

mod support;

use std::time::Duration;

use hawthorn_intent::DaemonSettings;
use hawthorn_intent::fault::FaultKind;
use hawthorn_intent::settings;
use hawthorn_intent::unit;
use support::DAR_PORT;
use support::TestResult;

const MINIMAL: &str = r#"
host = "entry-1"
zone = "kurasini"
region = "dar-es-salaam"
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
platform = "127.0.0.1:2390"
"#;

#[test]
fn only_names_and_addresses_are_required() -> TestResult {
    let settings = DaemonSettings::from_toml(MINIMAL)?;
    assert_eq!(settings.hedge.budget_percent, 5);
    assert_eq!(settings.limits.slow_client, Duration::from_secs(5));
    assert_eq!(settings.seeds, []);
    let text = toml::to_string(&settings)?;
    assert_eq!(DaemonSettings::from_toml(&text)?, settings, "serialization round trip");
    Ok(())
}

/// The operators' documentation lists every key with its default.
#[test]
fn the_documentation_lists_every_key_and_default() -> TestResult {
    let page = include_str!("../../../docs/operators/settings.md");
    let table = toml::Table::try_from(DaemonSettings::from_toml(MINIMAL)?)?;
    for (section, value) in &table {
        let Some(keys) = value.as_table() else {
            assert!(page.contains(&format!("| `{section}` |")), "{section}");
            continue;
        };
        assert!(page.contains(&format!("`[{section}]`")), "{section}");
        for (key, default) in keys {
            let row = format!("| `{section}.{key}` | `{default}` |");
            assert!(page.contains(&row), "{row}");
        }
    }
    Ok(())
}

struct FaultCase {
    more: &'static str,
    expected: &'static [(FaultKind, &'static str)],
}

const fn fault(more: &'static str, expected: &'static [(FaultKind, &'static str)]) -> FaultCase {
    FaultCase { more, expected }
}

#[test]
fn each_fault_of_the_settings_is_reported_at_its_key() -> TestResult {
    let cases = [
        fault("", &[]),
        fault("[stop]\ngrace = 30", &[(FaultKind::WrongUnit, "stop.grace")]),
        fault("[stop]\ngrace = \"1.5s\"", &[(FaultKind::WrongUnit, "stop.grace")]),
        fault("[stop]\ngrace = \"2d\"", &[(FaultKind::WrongUnit, "stop.grace")]),
        fault("[stop]\ngrace = \"2h\"", &[(FaultKind::OutOfRange, "stop.grace")]),
        fault("[hedge]\nbudget_percent = 101", &[(FaultKind::OutOfRange, "hedge.budget_percent")]),
        fault("[hedge]\nbudget_percent = -1", &[(FaultKind::OutOfRange, "hedge.budget_percent")]),
        fault("[hedge]\nbudget_percent = \"5\"", &[(FaultKind::WrongType, "hedge.budget_percent")]),
        fault("hedge = 5", &[(FaultKind::WrongType, "hedge")]),
        fault(
            "seeds = [\"10.0.0.1:8700\", \"peer:8700\", \"10.0.0.2:0\", 7]",
            &[
                (FaultKind::BadAddress, "seeds[1]"),
                (FaultKind::WrongType, "seeds[3]"),
                (FaultKind::BadAddress, "seeds[2]"),
            ],
        ),
        fault("peer_advertised = \"10.0.0.9:8700\"", &[]),
        fault("peer_advertised = \"0.0.0.0:1\"", &[(FaultKind::BadAddress, "peer_advertised")]),
        fault(
            "[fleet]\nheartbeat = \"1s\"\nsuspect_after = \"2s\"",
            &[(FaultKind::OutOfRange, "fleet.suspect_after")],
        ),
        fault("[probe]\ninterval = \"100ms\"", &[(FaultKind::OutOfRange, "probe.timeout")]),
    ];
    for case in cases {
        let outcome = settings::read(&format!("{MINIMAL}{}", case.more));
        let found: Vec<_> =
            outcome.faults.iter().map(|fault| (fault.kind, fault.path.as_str())).collect();
        assert_eq!(found, case.expected, "{}", case.more);
    }
    let missing: Vec<_> = settings::read("").faults.into_iter().map(|fault| fault.path).collect();
    let expected = ["host", "zone", "region", "caller_address", "peer_address", "platform"];
    assert_eq!(missing, expected);
    Ok(())
}

#[test]
fn caller_and_peer_address_must_differ() -> TestResult {
    let text = DAR_PORT.daemon.replace("10.11.0.11:8700", "10.11.0.11:8080");
    let faults = settings::read(&text).faults;
    assert_eq!(faults.len(), 1);
    assert_eq!((faults[0].kind, &*faults[0].path), (FaultKind::Duplicate, "peer_address"));
    Ok(())
}

#[test]
fn durations_survive_a_formatting_round_trip() -> TestResult {
    let cases = [
        ("0ms", 0),
        ("7us", 7),
        ("50ms", 50_000),
        ("3s", 3_000_000),
        ("1500ms", 1_500_000),
        ("10m", 600_000_000),
        ("2h", 7_200_000_000),
    ];
    for (text, micros) in cases {
        let duration = Duration::from_micros(micros);
        assert_eq!(unit::parse(text), Some(duration), "{text}");
        assert_eq!(unit::format(duration), text);
    }
    for text in [
        "",
        "5",
        "ms",
        "-5ms",
        "5 ms",
        "5MS",
        "5sec",
        "99999999999999999999s",
        "18446744073709551615h",
    ] {
        assert_eq!(unit::parse(text), None, "{text}");
    }
    Ok(())
}
