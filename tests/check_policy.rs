//! `check` on the settings of `route`.

use std::process::Command;

const SETTINGS: &str = "\
[host]
name = \"front-1\"
zone = \"east\"
[listen]
callers = \"10.1.0.9:8104\"
ready = \"10.1.0.9:8108\"
peers = \"10.1.0.9:7380\"
metrics = \"10.1.0.9:9464\"
[store]
address = \"10.200.1.7:8102\"
[targets]
beat_ms = 1200
leave_ms = 3000
[stop]
grace_ms = 6000
[budget]
share = 0.2
window_s = 10
allowance = 56
";

/// An operator changes a limit and wants to know, before a hundred hosts read it,
/// whether they will take it.
#[test]
fn the_settings_of_route_are_checked_before_use() {
    struct Case {
        policy: &'static str,
        code: i32,
        says: &'static str,
    }
    let cases = [
        Case { policy: "", code: 0, says: "accepted: policy default" },
        Case {
            policy: "[policy.skipping]\non = false\n",
            code: 0,
            says: "accepted: policy skipping.on=0",
        },
        Case { policy: "[policy.skiping]\non = false\n", code: 1, says: "unknown field `skiping`" },
        Case { policy: "[policy.placing]\ncold = 2.0\n", code: 1, says: "unknown field `cold`" },
        Case {
            policy: "[policy.placing]\ncold_factor = 0.5\n",
            code: 1,
            says: "policy.placing.cold_factor: 0.5 is not within 1 to 1000",
        },
        Case {
            policy: "[policy.admission]\nfirst_window = 1.5\n",
            code: 1,
            says: "policy.admission.least_window: above policy.admission.first_window",
        },
        Case { policy: "[policy.zones]\nstep_aside = 1\n", code: 1, says: "step_aside = 1" },
    ];
    let files = tempfile::TempDir::new().expect("a directory for the settings");
    let file = files.path().join("route.toml");
    for case in cases {
        std::fs::write(&file, format!("{SETTINGS}{}", case.policy)).expect("it can be written");
        let output = Command::new(env!("CARGO_BIN_EXE_hawthornroute"))
            .arg("check")
            .arg(&file)
            .output()
            .expect("the program runs");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains(case.says), "{}: {text}", case.policy);
        assert_eq!(output.status.code(), Some(case.code), "{}: {text}", case.policy);
    }
}
