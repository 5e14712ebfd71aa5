//! The harness of the integration tests, which starts real processes.
#![allow(dead_code, reason = "the tests use the rest of it")]

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

/// Of every experiment.
pub type TestResult<T = ()> = Result<T, Box<dyn Error>>;

const BINARY: &str = "hawthornroute";

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Chooses the binary that daemons run: the one given, or the one in the
/// directory above the examples'.
pub fn set_program(given: Option<PathBuf>) -> TestResult {
    let program = match given {
        Some(program) => program,
        None => beside()?,
    };
    if !program.is_file() {
        return Err(format!("{} is missing: build it first", program.display()).into());
    }
    PROGRAM.get_or_init(|| program);
    Ok(())
}

fn beside() -> TestResult<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(|examples| examples.parent());
    Ok(directory.ok_or("an example stands in a directory")?.join(BINARY))
}

/// The binary that daemons run.
pub fn program() -> PathBuf {
    PROGRAM.get().cloned().unwrap_or_else(|| BINARY.into())
}
