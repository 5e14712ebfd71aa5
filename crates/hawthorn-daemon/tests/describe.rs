//! Compares the committed OpenAPI description with the generated one.

use std::error::Error;

use hawthorn_daemon::request::describe;

#[test]
fn committed_openapi_is_current() -> Result<(), Box<dyn Error>> {
    let committed = include_str!("../../../docs/openapi.json");
    let current = serde_json::to_string_pretty(&describe::openapi()?)?;
    let repeat = "cargo run -p hawthorn-daemon --example openapi > docs/openapi.json";
    assert!(committed.trim_end() == current, "out of date: {repeat}");
    Ok(())
}
