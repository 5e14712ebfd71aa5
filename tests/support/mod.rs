//! Real `serve` processes against stand-ins on loopback, and what callers see.
//!
//! One [`TestFleet`] a test. Everything it started ends when it is dropped:
//! processes by their ids, stand-ins by their tokens.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod daemon;
pub mod fleet;
pub mod load;
pub mod network;
pub mod route;
pub mod wire;
pub mod zones;

use std::error::Error;
use std::path::PathBuf;

#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use fleet::FleetOptions;
#[allow(unused_imports, reason = "each test file uses a part of it")]
pub use fleet::TestFleet;

/// Of every test.
pub type TestResult<T = ()> = Result<T, Box<dyn Error>>;

/// The binary that daemons run.
pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_hawthornroute").into()
}
