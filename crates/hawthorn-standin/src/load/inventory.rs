//! The inventory of targets in another process.

use std::collections::HashMap;
use std::net::SocketAddr;

use quick_error::quick_error;
use serde::Deserialize;

use super::naive::KnownService;
use super::naive::KnownTarget;

quick_error! {
    /// Errors of reading an inventory.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not a valid inventory.
        Toml(err: toml::de::Error) {
            display("cannot read the inventory: {err}")
            source(err)
            from()
        }
        /// The name of a target's shard is not of the form `service/number`.
        Shard(shard: String) {
            display("{shard} is not a shard's name")
        }
    }
}

/// The part of an inventory that a load generator needs.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetInventory {
    /// The services.
    #[serde(default)]
    pub service: Vec<ListedService>,
    /// The targets.
    #[serde(default)]
    pub target: Vec<ListedTarget>,
}

/// A service in the inventory.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedService {
    /// Its name.
    pub name: String,
    /// Number of shards.
    pub shards: u32,
    /// The connection limit of each of its targets.
    pub connections: usize,
}

/// A target in the inventory.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedTarget {
    /// Its service.
    pub service: String,
    /// The listen address.
    pub address: SocketAddr,
    /// The shards it holds.
    pub shards: Vec<String>,
}

impl TargetInventory {
    /// Reads an inventory.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(toml::from_str(text)?)
    }

    /// The services and targets as the naive client needs them.
    pub fn known_services(&self) -> Result<HashMap<String, KnownService>, Error> {
        let mut known = HashMap::new();
        for service in &self.service {
            let targets = self
                .target
                .iter()
                .filter(|target| target.service == service.name)
                .map(|target| known_target(target, service.connections))
                .collect::<Result<Vec<KnownTarget>, Error>>()?;
            known.insert(service.name.clone(), KnownService { shards: service.shards, targets });
        }
        Ok(known)
    }
}

fn known_target(target: &ListedTarget, connections: usize) -> Result<KnownTarget, Error> {
    let shards = target
        .shards
        .iter()
        .map(|shard| shard_number(shard))
        .collect::<Result<Vec<u32>, Error>>()?;
    Ok(KnownTarget { address: target.address, connections, shards })
}

fn shard_number(shard: &str) -> Result<u32, Error> {
    let number = shard.rsplit_once('/').and_then(|(_, number)| number.parse().ok());
    number.ok_or_else(|| Error::Shard(shard.to_owned()))
}
