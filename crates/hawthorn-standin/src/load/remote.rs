//! Stand-in targets in another process, controlled over HTTP.
//!
//! Each call briefly occupies one of the target's connections.

use std::collections::HashMap;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::join_all;
use hyper::Method;

use super::environment::LoadEnvironment;
use super::environment::TargetSlowness;
use super::inventory::TargetInventory;
use super::pool::ConnectionPool;
use super::scenario::LoadScenario;
use crate::target::TargetCounters;

/// The stand-in targets of an inventory.
#[derive(Debug)]
pub struct RemoteEnvironment {
    targets: Vec<RemoteTarget>,
    shards: HashMap<String, u32>,
}

#[derive(Debug)]
struct RemoteTarget {
    service: String,
    pool: ConnectionPool,
}

impl RemoteEnvironment {
    /// The targets of `inventory`.
    pub fn new(inventory: &TargetInventory) -> Self {
        let targets = inventory
            .target
            .iter()
            .map(|target| RemoteTarget {
                service: target.service.clone(),
                pool: ConnectionPool::new(target.address, 1),
            })
            .collect();
        let shards = inventory
            .service
            .iter()
            .map(|service| (service.name.clone(), service.shards))
            .collect();
        Self { targets, shards }
    }

    async fn set_slowness(&self, slowness: impl Fn(usize) -> TargetSlowness) {
        let requests = self.targets.iter().enumerate().map(|(number, target)| {
            let slowness = slowness(number);
            async move {
                if let Err(err) = target.pool.post("/standin/slowness", &slowness).await {
                    log::warn!("setting the slowness of {} failed: {err}", target.pool.address());
                }
                target.pool.close_idle();
            }
        });
        join_all(requests).await;
    }
}

impl LoadEnvironment for RemoteEnvironment {
    fn begin(&self, scenario: LoadScenario) -> BoxFuture<'_, ()> {
        self.set_slowness(move |number| TargetSlowness::of(scenario, number)).boxed()
    }

    fn end(&self) -> BoxFuture<'_, ()> {
        self.set_slowness(|_| TargetSlowness::NONE).boxed()
    }

    fn attempts<'a>(&'a self, service: &'a str) -> BoxFuture<'a, u64> {
        let targets = self.targets.iter().filter(move |target| target.service == service);
        let requests = targets.map(|target| async move {
            let response = target.pool.send(Method::GET, "/standin/counters", Vec::new()).await;
            target.pool.close_idle();
            let counters = response
                .ok()
                .and_then(|(_, bytes)| serde_json::from_slice::<TargetCounters>(&bytes).ok());
            counters.map_or(0, |counters| counters.arrived)
        });
        join_all(requests).map(|counts| counts.into_iter().sum()).boxed()
    }

    fn shards(&self, service: &str) -> u32 {
        self.shards.get(service).copied().unwrap_or_default()
    }
}
