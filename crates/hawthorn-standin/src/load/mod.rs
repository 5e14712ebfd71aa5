//! Open-loop, seeded load generator for the callers' interface.
//!
//! - [`scenario`]: named load patterns and disturbances.
//! - [`schedule`]: the requests of a run, drawn before it starts.
//! - [`tier`]: client of the tier's entry hosts.
//! - [`naive`]: baseline client that sends requests to targets directly.
//! - [`environment`]: control of targets and daemons for a scenario.
//! - [`inventory`] and [`remote`]: targets in another process.
//! - [`run`]: a single run.
//! - [`compare`]: the same schedule against the tier and the naive client.
//! - [`report`]: results as JSON and as a table.

pub mod compare;
pub mod inventory;
pub mod naive;
pub mod pool;
pub mod remote;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod environment;
pub mod tier;

pub use compare::compare;
pub use environment::DaemonControl;
pub use environment::DeploymentEnvironment;
pub use environment::LoadEnvironment;
pub use naive::NaiveTier;
pub use remote::RemoteEnvironment;
pub use report::LoadReport;
pub use run::run;
pub use scenario::LoadScenario;
pub use tier::HttpTier;
pub use tier::QueryTier;
