//! Commands that cannot run end with one line and exit code 2.

use std::process::Command;
use std::process::Output;

use tempfile::TempDir;

fn run(arguments: &[&str]) -> std::io::Result<Output> {
    Command::new(env!("CARGO_BIN_EXE_hawthorn-soak")).args(arguments).output()
}

#[test]
fn bad_input_is_reported_in_one_line() -> Result<(), Box<dyn std::error::Error>> {
    struct Case {
        arguments: &'static [&'static str],
        error: &'static str,
    }
    let cases = [
        Case { arguments: &["plan"], error: "--seed" },
        Case { arguments: &["plan", "--seed", "x"], error: "is not a seed" },
        Case { arguments: &["plan", "--seed", "5..2"], error: "is not a range" },
        Case { arguments: &["plan", "--seed", "1", "--length", "5"], error: "40 to 3600" },
        Case { arguments: &["run", "--seed", "1", "--jobs", "0"], error: "1 to 16" },
        Case { arguments: &["plan", "--seed", "1", "--settings", "/none"], error: "/none" },
        Case { arguments: &["run", "--seed", "1", "--program", "/none"], error: "is no program" },
        Case { arguments: &["replay", "/none"], error: "/none/plan.toml" },
    ];
    for case in cases {
        let output = run(case.arguments)?;
        let error = String::from_utf8(output.stderr)?;
        assert_eq!(output.status.code(), Some(2), "{:?}: {error}", case.arguments);
        assert!(error.contains(case.error), "{:?}: {error}", case.arguments);
        assert_eq!(error.trim().lines().count(), 1, "{error}");
    }
    Ok(())
}

/// Guards against a plan that is run although a part of it was not understood.
#[test]
fn an_unknown_fault_of_a_kept_plan_is_reported() -> Result<(), Box<dyn std::error::Error>> {
    let directory = TempDir::new()?;
    let plan = String::from_utf8(run(&["plan", "--seed", "1"])?.stdout)?;
    let plan = plan.replacen("kind = \"", "kind = \"un", 1);
    std::fs::write(directory.path().join("plan.toml"), plan)?;
    let path = directory.path().display().to_string();
    let output = run(&["replay", &path])?;
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr)?;
    assert!(error.contains("unknown variant"), "{error}");
    Ok(())
}

#[test]
fn each_command_has_help() -> Result<(), Box<dyn std::error::Error>> {
    for command in ["plan", "run", "replay"] {
        let output = run(&[command, "--help"])?;
        assert!(output.status.success(), "{command}");
        assert!(String::from_utf8(output.stdout)?.contains("Usage"), "{command}");
    }
    Ok(())
}
