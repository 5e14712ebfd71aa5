//! Harness of the integration tests, which starts real processes.
#![allow(dead_code, reason = "only the integration tests use all of it")]

use std::error::Error;
use std::path::PathBuf;
use std::sync::OnceLock;

#[path = "../../tests/support/daemon.rs"]
pub mod daemon;
#[path = "../../tests/support/fleet.rs"]
pub mod fleet;
#[path = "../../tests/support/network.rs"]
pub mod network;
#[path = "../../tests/support/wire.rs"]
pub mod wire;

pub use fleet::FleetOptions;
pub use fleet::TestFleet;

/// Result of an experiment.
pub type TestResult<T = ()> = Result<T, Box<dyn Error>>;

const BINARY: &str = "hawthornroute";

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Sets the binary that daemons run. The default is in the parent of the examples' directory.
pub fn set_program(path: Option<PathBuf>) -> TestResult {
    let program = match path {
        Some(program) => program,
        None => default_program()?,
    };
    if !program.is_file() {
        return Err(format!("{} does not exist; build it first", program.display()).into());
    }
    PROGRAM.get_or_init(|| program);
    Ok(())
}

fn default_program() -> TestResult<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(|examples| examples.parent());
    Ok(directory.ok_or("the program is not in a directory")?.join(BINARY))
}

/// The binary that daemons run.
pub fn program() -> PathBuf {
    PROGRAM.get().cloned().unwrap_or_else(|| BINARY.into())
}
