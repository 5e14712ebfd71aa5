//! Stand-ins (test doubles) for development: targets, platform, fault proxy, load
//! generator and history checker.
//!
//! Nothing here runs in production. Each stand-in listens on a free loopback
//! port, implements one of the external contracts of `hawthorn_types`, and stops
//! when its cancellation token is cancelled or its handle is dropped.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod check;
pub mod corpus;
pub mod deployment;
pub mod history;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod route;
pub mod target;
mod timer;
mod wire;

pub use corpus::Corpus;
pub use deployment::DeploymentOptions;
pub use deployment::StandinDeployment;
pub use history::History;
pub use platform::PlatformOptions;
pub use platform::PlatformStandin;
pub use target::TargetOptions;
pub use target::TargetStandin;
