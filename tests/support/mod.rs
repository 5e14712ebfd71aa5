//! Harness that runs real `serve` and `route` processes against stand-ins on loopback.
//!
//! Each test has its own fleet. Dropping it kills the processes that it started and cancels its
//! stand-ins.
#![allow(dead_code, reason = "each test file uses only part of the harness")]

pub mod crowd;
pub mod daemon;
pub mod fleet;
pub mod load;
pub mod network;
pub mod route;
pub mod wire;
pub mod zones;

use std::error::Error;
use std::path::PathBuf;

#[allow(unused_imports, reason = "each test file uses only part of the harness")]
pub use fleet::FleetOptions;
#[allow(unused_imports, reason = "each test file uses only part of the harness")]
pub use fleet::TestFleet;

/// Result of a test or of a helper.
pub type TestResult<T = ()> = Result<T, Box<dyn Error>>;

/// Path of the binary under test.
pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_hawthornroute").into()
}
