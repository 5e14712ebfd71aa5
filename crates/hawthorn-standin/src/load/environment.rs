//! Control of targets and daemons for the scenarios of a load run.

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;
use serde::Deserialize;
use serde::Serialize;

use super::scenario::LoadScenario;
use crate::deployment::StandinDeployment;

/// Fraction of attempts that are stragglers in [`LoadScenario::Stragglers`].
const STRAGGLER_SHARE: f64 = 0.02;
/// Factor on the service time of those stragglers.
const STRAGGLER_FACTOR: f64 = 20.0;
/// Factor on service times of the slow target of [`LoadScenario::OneSlowTarget`].
const SLOW_FACTOR: f64 = 10.0;

/// The targets of a run.
pub trait LoadEnvironment: Send + Sync {
    /// Applies the target faults of `scenario`.
    fn begin(&self, scenario: LoadScenario) -> BoxFuture<'_, ()>;

    /// Removes the target faults.
    fn end(&self) -> BoxFuture<'_, ()>;

    /// Number of attempts that arrived at the targets of `service` so far. Includes
    /// refused ones, which also load a target.
    fn attempts<'a>(&'a self, service: &'a str) -> BoxFuture<'a, u64>;

    /// Number of shards of `service`, which is the number of attempts that a query needs.
    fn shards(&self, service: &str) -> u32;
}

/// Control of the daemons of a run, for the scenarios that disturb them.
pub trait DaemonControl: Send + Sync {
    /// The names of the daemons, as in the history.
    fn daemons(&self) -> Vec<String>;

    /// Restarts `daemon` with a planned stop; completes when it is ready again.
    fn restart<'a>(&'a self, daemon: &'a str) -> BoxFuture<'a, ()>;

    /// Partitions one availability zone from the others, or heals the partition.
    fn cut_zone(&self, cut: bool) -> BoxFuture<'_, ()>;
}

/// Slowness of one target in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSlowness {
    /// Factor on service times.
    pub slow_factor: f64,
    /// Fraction of attempts that are stragglers; defaults to the target's options.
    pub straggler_share: Option<f64>,
    /// Factor on the service time of stragglers; defaults to the target's options.
    pub straggler_factor: Option<f64>,
}

impl TargetSlowness {
    /// No slowness.
    pub const NONE: Self = Self { slow_factor: 1.0, straggler_share: None, straggler_factor: None };

    /// The slowness of target number `number` in `scenario`.
    pub fn of(scenario: LoadScenario, number: usize) -> Self {
        match scenario {
            LoadScenario::Stragglers => Self {
                straggler_share: Some(STRAGGLER_SHARE),
                straggler_factor: Some(STRAGGLER_FACTOR),
                ..Self::NONE
            },
            LoadScenario::OneSlowTarget if number == 0 => {
                Self { slow_factor: SLOW_FACTOR, ..Self::NONE }
            }
            _ => Self::NONE,
        }
    }
}

/// The targets of a deployment in this process.
#[derive(Debug)]
pub struct DeploymentEnvironment<'a> {
    deployment: &'a StandinDeployment,
}

impl<'a> DeploymentEnvironment<'a> {
    /// The targets of `deployment`.
    pub fn new(deployment: &'a StandinDeployment) -> Self {
        Self { deployment }
    }
}

impl LoadEnvironment for DeploymentEnvironment<'_> {
    fn begin(&self, scenario: LoadScenario) -> BoxFuture<'_, ()> {
        for (number, target) in self.deployment.targets.iter().enumerate() {
            target.standin.control().set_slowness(TargetSlowness::of(scenario, number));
        }
        ready(()).boxed()
    }

    fn end(&self) -> BoxFuture<'_, ()> {
        for target in &self.deployment.targets {
            target.standin.control().set_slowness(TargetSlowness::NONE);
        }
        ready(()).boxed()
    }

    fn attempts<'a>(&'a self, service: &'a str) -> BoxFuture<'a, u64> {
        let arrived = self
            .deployment
            .targets
            .iter()
            .filter(|target| target.service == service)
            .map(|target| target.standin.control().counters().arrived)
            .sum();
        ready(arrived).boxed()
    }

    fn shards(&self, service: &str) -> u32 {
        self.deployment
            .options()
            .services
            .iter()
            .find(|description| description.name == service)
            .map_or(0, |description| description.shards)
    }
}
