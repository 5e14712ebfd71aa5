//! `check` with the settings of `route`.

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

/// Operators check changed settings before they are rolled out to hosts: `check` accepts what
/// hosts would accept, and names the faulty key otherwise.
#[test]
fn check_validates_route_settings() {
    struct Case {
        policy: &'static str,
        code: i32,
        output: &'static str,
    }
    let cases = [
        Case { policy: "", code: 0, output: "accepted: policy default" },
        Case {
            policy: "[policy.skipping]\non = false\n",
            code: 0,
            output: "accepted: policy skipping.on=0",
        },
        Case {
            policy: "[policy.skiping]\non = false\n",
            code: 1,
            output: "unknown field `skiping`",
        },
        Case { policy: "[policy.placing]\ncold = 2.0\n", code: 1, output: "unknown field `cold`" },
        Case {
            policy: "[policy.placing]\ncold_factor = 0.5\n",
            code: 1,
            output: "policy.placing.cold_factor: 0.5 is not within 1 to 1000",
        },
        Case {
            policy: "[policy.admission]\nfirst_window = 1.5\n",
            code: 1,
            output: "policy.admission.least_window: above policy.admission.first_window",
        },
        Case { policy: "[policy.zones]\nstep_aside = 1\n", code: 1, output: "step_aside = 1" },
    ];
    let files = tempfile::TempDir::new().expect("a temporary directory is created");
    let file = files.path().join("route.toml");
    for case in cases {
        std::fs::write(&file, format!("{SETTINGS}{}", case.policy))
            .expect("the settings are written");
        let result = Command::new(env!("CARGO_BIN_EXE_hawthornroute"))
            .arg("check")
            .arg(&file)
            .output()
            .expect("the program runs");
        let text = String::from_utf8_lossy(&result.stdout);
        assert!(text.contains(case.output), "{}: {text}", case.policy);
        assert_eq!(result.status.code(), Some(case.code), "{}: {text}", case.policy);
    }
}
