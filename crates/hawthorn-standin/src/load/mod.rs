//! Load generator: open loop, seeded, against the callers' interface.
//!
//! - [`scenario`]: what makes one run differ from another.
//! - [`schedule`]: when which caller asks what, decided before the run.
//! - [`tier`]: whom to ask: the tier's entry hosts, or
//! - [`naive`]: a client that asks targets directly with no policy, to compare.
//! - [`environment`]: faults of targets and stops of daemons that a scenario needs.
//! - [`inventory`] and [`remote`]: targets of another process, from its inventory.
//! - [`run`]: one run.
//! - [`compare`]: the same schedule against the tier and the naive client.
//! - [`report`]: what came of it, as JSON and as a short table.

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
