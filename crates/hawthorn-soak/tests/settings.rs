//! Settings that cannot be used are reported in one line.

use std::fs;

use hawthorn_soak::settings::SoakSettings;
use tempfile::TempDir;

#[test]
fn unusable_settings_are_reported() -> Result<(), Box<dyn std::error::Error>> {
    struct Case {
        text: &'static str,
        error: &'static str,
    }
    let cases = [
        Case { text: "faults = [\"flood\"]", error: "unknown variant `flood`" },
        Case { text: "zone = 3", error: "unknown field `zone`" },
        Case { text: "zones = 0", error: "zones: 0 is not within 1 to 8" },
        Case { text: "min_hosts = 5", error: "min_hosts: 5 is not within 1 to max_hosts" },
        Case { text: "max_hosts = 100", error: "max_hosts: 300 hosts in all zones" },
        Case { text: "min_load = 3.0", error: "min_load: the loads are not" },
        Case { text: "work_ms = 0", error: "work_ms: 0 is not within 1 to 1000" },
        Case { text: "zones = ", error: "settings.toml: " },
    ];
    let directory = TempDir::new()?;
    let path = directory.path().join("settings.toml");
    for case in cases {
        fs::write(&path, case.text)?;
        let error = SoakSettings::read(&path).expect_err(case.text).to_string();
        assert!(error.contains(case.error), "{}: {error}", case.text);
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    let missing = SoakSettings::read(&directory.path().join("none.toml"));
    let error = missing.expect_err("there is no such file").to_string();
    assert!(error.starts_with("cannot read "), "{error}");
    Ok(())
}
