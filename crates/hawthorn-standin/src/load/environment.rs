//! What a scenario does to targets and daemons while it runs.

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;
use serde::Deserialize;
use serde::Serialize;

use super::scenario::LoadScenario;
use crate::deployment::StandinDeployment;

/// The part of attempts that are stragglers in [`LoadScenario::Stragglers`].
const STRAGGLER_SHARE: f64 = 0.02;
/// How many times longer those take.
const STRAGGLER_FACTOR: f64 = 20.0;
/// How many times slower the one target of [`LoadScenario::OneSlowTarget`] is.
const SLOW_FACTOR: f64 = 10.0;

/// The targets of a run.
pub trait LoadEnvironment: Send + Sync {
    /// Brings about what `scenario` needs of targets.
    fn begin(&self, scenario: LoadScenario) -> BoxFuture<'_, ()>;

    /// Puts the targets back.
    fn end(&self) -> BoxFuture<'_, ()>;

    /// Attempts that reached the targets of `service` so far, refused ones
    /// included: each is load on a target.
    fn attempts<'a>(&'a self, service: &'a str) -> BoxFuture<'a, u64>;

    /// Shards of `service`, which is how many attempts a query needs.
    fn shards(&self, service: &str) -> u32;
}

/// The daemons of a run, for the scenarios that stop them.
pub trait DaemonControl: Send + Sync {
    /// Their names, as in the history.
    fn daemons(&self) -> Vec<String>;

    /// Stops `daemon` as planned and starts it again; ends once it is ready.
    fn restart<'a>(&'a self, daemon: &'a str) -> BoxFuture<'a, ()>;

    /// Cuts one availability zone off from the others, or heals the cut.
    fn cut_zone(&self, cut: bool) -> BoxFuture<'_, ()>;
}

/// What a scenario changes at one target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetSlowness {
    /// Service times are multiplied by this.
    pub slow_factor: f64,
    /// The part of attempts that are stragglers; what the target started with
    /// when absent.
    pub straggler_share: Option<f64>,
    /// How many times longer stragglers take; as above.
    pub straggler_factor: Option<f64>,
}

impl TargetSlowness {
    /// No change.
    pub const NONE: Self = Self { slow_factor: 1.0, straggler_share: None, straggler_factor: None };

    /// What `scenario` changes at target number `number`.
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

/// The targets of a deployment of stand-ins in this process.
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
