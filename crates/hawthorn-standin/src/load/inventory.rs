//! Targets of another process, read from its inventory.

use std::collections::HashMap;
use std::net::SocketAddr;

use quick_error::quick_error;
use serde::Deserialize;

use super::naive::KnownService;
use super::naive::KnownTarget;

quick_error! {
    /// Why an inventory could not be read.
    #[derive(Debug)]
    pub enum Error {
        /// It is not the TOML expected.
        Toml(err: toml::de::Error) {
            display("the inventory can't be read: {err}")
            source(err)
            from()
        }
        /// A target's shard is not `service/number`.
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

/// A service as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedService {
    /// Its name.
    pub name: String,
    /// Its shards.
    pub shards: u32,
    /// The connection limit of each of its targets.
    pub connections: usize,
}

/// A target as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedTarget {
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shards it holds.
    pub shards: Vec<String>,
}

impl TargetInventory {
    /// Reads an inventory.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(toml::from_str(text)?)
    }

    /// What a naive client knows of it.
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
    let shards =
        target.shards.iter().map(|shard| number_of(shard)).collect::<Result<Vec<u32>, Error>>()?;
    Ok(KnownTarget { address: target.address, connections, shards })
}

fn number_of(shard: &str) -> Result<u32, Error> {
    let number = shard.rsplit_once('/').and_then(|(_, number)| number.parse().ok());
    number.ok_or_else(|| Error::Shard(shard.to_owned()))
}
