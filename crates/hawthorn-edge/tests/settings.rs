//! Settings, and the catalogue of log events.

use std::collections::BTreeSet;

use hawthorn_edge::process::events::EdgeEvent;
use hawthorn_edge::settings::RouteSettings;
use strum::IntoEnumIterator;

const TEMPLATE: &str = include_str!("../../../platform/settings.toml");

/// The settings template as rendered by the platform.
fn rendered_template() -> String {
    let values = [
        ("{{nodeName|json}}", "\"front-1\""),
        ("{{zone|json}}", "\"east\""),
        ("{{limits.cpuShare}}", "0.25"),
        ("{{limits.cpuCores}}", "1"),
        ("{{#limits.memoryMb}}memory_mb = {{.}}", "memory_mb = 112"),
        ("{{/limits.memoryMb}}", ""),
        ("{{#limits.maxFds}}max_fds = {{.}}", "max_fds = 2870"),
        ("{{/limits.maxFds}}", ""),
        ("{{#limits.linkMbps}}link_mbps = {{.}}", "link_mbps = 21.0"),
        ("{{/limits.linkMbps}}", ""),
        ("{{#zones}}{{@}} = {{.|json}}", "east = \"dar\""),
        ("{{/zones}}", ""),
        ("{{listenAddrs.front|json}}", "\"10.1.0.9:8104\""),
        ("{{listenAddrs.ready|json}}", "\"10.1.0.9:8108\""),
        ("{{ip}}", "10.1.0.9"),
        ("{{ip|json}}", "\"10.1.0.9\""),
        ("{{internalPortRange.0}}", "7380"),
        ("{{seedNodes|json}}", "[\"10.1.0.9:8106\",\"10.2.0.21:8106\"]"),
        ("{{platform.address|json}}", "\"10.200.1.7:8102\""),
        ("{{heartbeatMs}}", "1200"),
        ("{{#bounds.configApplyMs}}apply_ms = {{.}}", "apply_ms = 5000"),
        ("{{/bounds.configApplyMs}}", ""),
        ("{{bounds.drainMs}}", "3000"),
        ("{{bounds.graceS}}", "6"),
        ("{{bounds.retryBudgetRatio}}", "0.2"),
        ("{{bounds.budgetWindowS}}", "10"),
        ("{{bounds.retryBudgetSlack}}", "56"),
        ("{{#bounds.coldOvershoot}}overshoot = {{.}}", "overshoot = 1.5"),
        ("{{/bounds.coldOvershoot}}", ""),
        ("{{#bounds.coldSlack}}slack = {{.}}", "slack = 5"),
        ("{{/bounds.coldSlack}}", ""),
        ("{{#bounds.revokeStrict}}[revocation]", "[revocation]"),
        ("{{bounds.revokeMs}}", "5000"),
        ("{{/bounds.revokeStrict}}", ""),
        ("{{#bounds.quotaWindowS}}window_s = {{.}}", "window_s = 5"),
        ("{{/bounds.quotaWindowS}}", ""),
        ("{{#bounds.quotaOvershoot}}overshoot = {{.}}", "overshoot = 0.1"),
        ("{{/bounds.quotaOvershoot}}", ""),
        ("{{#bounds.quotaSlack}}slack = {{.}}", "slack = 20"),
        ("{{/bounds.quotaSlack}}", ""),
    ];
    let mut text = TEMPLATE.to_owned();
    for (name, value) in values {
        text = text.replace(name, value);
    }
    assert!(!text.contains("{{"), "unknown placeholder: {text}");
    text
}

#[test]
fn the_template_yields_valid_settings() {
    let settings =
        RouteSettings::from_toml(&rendered_template()).expect("the template yields valid settings");
    assert_eq!(settings.fleet.seeds.len(), 2);
    assert_eq!(settings.host.link_mbps, Some(21.0));
    assert_eq!(settings.stop.grace.as_secs(), 6);
    assert_eq!(settings.configuration.apply_limit.as_secs(), 5);
    assert_eq!(settings.listen.metrics.port(), 9464);
    assert_eq!(settings.cold.limit(12.0), 23);
    assert_eq!(settings.zones.of("east"), Some("dar"));
    let within = settings.revocation.expect("the table is rendered").within;
    assert_eq!(within.as_millis(), 5000);
    let quota = settings.quota;
    assert_eq!((quota.window.as_secs(), quota.overshoot, quota.slack), (5, 0.1, 20.0));
}

#[test]
fn errors_in_settings_name_the_key() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        named: &'static str,
    }
    let cases = [
        Case { name: "missing", from: "beat_ms = 1200\n", to: "", named: "beat_ms" },
        Case { name: "no address", from: "\"10.200.1.7:8102\"", to: "\"store\"", named: "address" },
        Case {
            name: "text for a number",
            from: "grace_ms = 6000",
            to: "grace_ms = \"6\"",
            named: "grace_ms",
        },
        Case {
            name: "above one",
            from: "share = 0.2\n",
            to: "share = 2.0\n",
            named: "budget.share",
        },
        Case { name: "zero", from: "window_s = 10", to: "window_s = 0", named: "budget.window_s" },
        Case {
            name: "below zero",
            from: "overshoot = 1.5",
            to: "overshoot = -1.0",
            named: "cold_targets",
        },
        Case {
            name: "quota without a window",
            from: "window_s = 5\n",
            to: "window_s = 0\n",
            named: "quota.window_s",
        },
        Case {
            name: "negative overshoot of quotas",
            from: "overshoot = 0.1\n",
            to: "overshoot = -0.1\n",
            named: "quota.overshoot",
        },
        Case {
            name: "absurd slack of quotas",
            from: "slack = 20\n",
            to: "slack = 1e9\n",
            named: "quota.slack",
        },
        Case {
            name: "seconds for milliseconds",
            from: "apply_ms = 5000",
            to: "apply_ms = 5",
            named: "configuration.apply_ms",
        },
        Case {
            name: "bytes for MiB",
            from: "memory_mb = 112",
            to: "memory_mb = 117440512",
            named: "host.memory_mb",
        },
        Case {
            name: "too few descriptors",
            from: "max_fds = 2870",
            to: "max_fds = 64",
            named: "host.max_fds",
        },
        Case { name: "no name", from: "\"front-1\"", to: "\"\"", named: "host.name" },
        Case {
            name: "no core share",
            from: "core_share = 0.25",
            to: "core_share = 0",
            named: "host.core_share",
        },
    ];
    for case in cases {
        let text = rendered_template().replace(case.from, case.to);
        assert_ne!(text, rendered_template(), "{}", case.name);
        let error = RouteSettings::from_toml(&text).expect_err(case.name).to_string();
        assert!(error.contains(case.named), "{}: {error}", case.name);
    }
    let extended = format!("{}\n[new]\nkey = 1\n", rendered_template());
    assert!(RouteSettings::from_toml(&extended).is_ok(), "unknown keys are ignored");
}

#[test]
fn the_catalogue_lists_exactly_the_known_events() {
    let page = include_str!("../../../docs/operators/events-route.md");
    let listed: BTreeSet<String> = page
        .lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| E")?.split('|').map(str::trim);
            Some(format!("{} {}", cells.next()?, cells.next()?))
        })
        .collect();
    let known: BTreeSet<String> =
        EdgeEvent::iter().map(|event| format!("{} {event}", event.number())).collect();
    assert_eq!(listed, known);
}
