//! The status page and explanations, for operators.

use std::collections::BTreeMap;

use hawthorn_intent::catalog::FleetCatalog;
use hawthorn_intent::explain;
use hawthorn_types::ConfigStamp;
use hawthorn_types::DesiredState;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::process::intent::DriftEntry;
use crate::process::reconcile::DriftSnapshot;
use crate::request::front::FrontContext;

/// What is seen of a target that does not answer.
const UNREACHABLE: &str = "unreachable";

/// What this host knows of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct FleetReport {
    /// The host that answers.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Why the balancer should not send callers here, none when it should.
    pub not_ready: Option<String>,
    /// The configuration in force.
    pub configuration: ConfigStamp,
    /// Who made it.
    pub author: Option<String>,
    /// What must be looked at.
    pub alarms: Vec<String>,
    /// All known hosts.
    pub hosts: Vec<HostReport>,
    /// Zones that cannot be heard.
    pub lost_zones: Vec<String>,
    /// Targets by the state wanted of them.
    pub wanted: BTreeMap<String, u64>,
    /// Targets in another state than wanted, as far as this host owns them.
    pub drift: Vec<DriftReport>,
    /// Shards that no usable replica is known for.
    pub uncovered: Vec<String>,
    /// Targets this host owns.
    pub owned_targets: u64,
    /// Slots in use at them.
    pub slots_in_use: u64,
    /// Pieces waiting for a slot.
    pub queued: u64,
}

/// One host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Where other hosts reach it.
    pub peer: String,
    /// What it says of itself.
    pub phase: String,
    /// What its zone holds of it.
    pub health: String,
    /// The configuration revision it last said it has in force.
    pub revision: u64,
}

/// One target that is not as wanted.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DriftReport {
    /// The target.
    pub target: String,
    /// The state wanted.
    pub wanted: String,
    /// The state seen.
    pub seen: String,
    /// For how many milliseconds.
    pub since_ms: u64,
    /// Why it lasts.
    pub cause: String,
    /// The shard that it still serves for want of another target.
    pub held_for: Option<String>,
}

impl FrontContext {
    /// The status page.
    pub fn status(&self) -> FleetReport {
        let config = self.config();
        let fleet = self.fleet_view();
        let gauges = self.owner.gauges();
        let mut hosts: Vec<HostReport> = fleet
            .hosts
            .values()
            .map(|host| HostReport {
                host: host.host.clone(),
                zone: host.zone.clone(),
                peer: host.peer.to_string(),
                phase: host.phase.to_string(),
                health: host.health.to_string(),
                revision: match host.key == fleet.me {
                    true => self.stamp().revision.0,
                    false => host.revision.0,
                },
            })
            .collect();
        hosts.sort_by(|one, other| (&one.zone, &one.host).cmp(&(&other.zone, &other.host)));
        FleetReport {
            host: self.host.clone(),
            zone: self.zone.clone(),
            not_ready: self.not_ready().map(str::to_owned),
            configuration: self.stamp(),
            author: config.as_ref().map(|config| config.document.author.clone()),
            alarms: self.fleet.status.borrow().alarms.clone(),
            hosts,
            lost_zones: fleet.lost_zones.clone(),
            wanted: config.as_ref().map(|config| wanted(&config.catalog)).unwrap_or_default(),
            drift: drift(&self.drift.borrow()),
            uncovered: self.uncovered(),
            owned_targets: gauges.targets,
            slots_in_use: gauges.slots_in_use,
            queued: gauges.queued,
        }
    }

    /// Why a target, or an asset, is in the state wanted of it; none when the
    /// inventory does not have it.
    pub fn explain(&self, name: &str) -> Option<String> {
        let config = self.config()?;
        let explained = explain::explain(&config.inventory, &config.rules, name);
        explained.ok().map(|explanation| explanation.to_string())
    }

    fn uncovered(&self) -> Vec<String> {
        let Some(config) = self.config() else { return Vec::new() };
        let fleet = self.fleet_view();
        let mut names = Vec::new();
        for (service, _) in config.catalog.services() {
            let table = self.tables.table(service, &config, &fleet, &self.views);
            let bare = table
                .shards()
                .iter()
                .filter(|shard| shard.options.iter().all(|option| option.versions.is_empty()));
            names.extend(bare.map(|shard| config.catalog.shard(shard.shard).name.to_string()));
        }
        names
    }
}

fn drift(snapshot: &DriftSnapshot) -> Vec<DriftReport> {
    let age = snapshot.at.elapsed();
    let report = |entry: &DriftEntry| DriftReport {
        target: entry.target.clone(),
        wanted: entry.wanted.to_string(),
        seen: entry.seen.map_or_else(|| UNREACHABLE.to_owned(), |phase| phase.to_string()),
        since_ms: u64::try_from((entry.lasted + age).as_millis()).unwrap_or(u64::MAX),
        cause: entry.cause.to_string(),
        held_for: entry.held_for.as_ref().map(ToString::to_string),
    };
    snapshot.entries.iter().map(report).collect()
}

fn wanted(catalog: &FleetCatalog) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for (_, target) in catalog.targets() {
        let state: DesiredState = target.wanted();
        *counts.entry(state.to_string()).or_insert(0) += 1;
    }
    counts
}
