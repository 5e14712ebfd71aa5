//! Status report and explanations for operators.

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

/// Observed state of a target that does not answer.
const UNREACHABLE: &str = "unreachable";

/// State of the fleet as known to this host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct FleetReport {
    /// The host that answered.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Reason why the load balancer should not send callers here; null if it should.
    pub not_ready: Option<String>,
    /// The configuration in force.
    pub configuration: ConfigStamp,
    /// Author of the configuration.
    pub author: Option<String>,
    /// Alarms that need attention, oldest first.
    pub alarms: Vec<String>,
    /// All known hosts.
    pub hosts: Vec<HostReport>,
    /// Zones that are unreachable.
    pub lost_zones: Vec<String>,
    /// Number of targets by desired state.
    pub wanted: BTreeMap<String, u64>,
    /// Targets owned by this host that are not in the desired state.
    pub drift: Vec<DriftReport>,
    /// Shards without a known usable replica.
    pub uncovered: Vec<String>,
    /// Number of targets that this host owns.
    pub owned_targets: u64,
    /// Slots in use at these targets.
    pub slots_in_use: u64,
    /// Pieces waiting for a slot.
    pub queued: u64,
}

/// State of one host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    /// Host name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other hosts.
    pub peer: String,
    /// Phase that the host reports.
    pub phase: String,
    /// Health according to its zone.
    pub health: String,
    /// Configuration revision that the host last reported as in force.
    pub revision: u64,
}

/// A target that is not in the desired state.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DriftReport {
    /// The target.
    pub target: String,
    /// Desired state.
    pub wanted: String,
    /// Observed state.
    pub seen: String,
    /// Duration of the drift in milliseconds.
    pub since_ms: u64,
    /// Cause of the drift.
    pub cause: String,
    /// Shard that the target must keep serving because no other target can.
    pub held_for: Option<String>,
}

impl FrontContext {
    /// Returns the status report.
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
        hosts.sort_by(|left, right| (&left.zone, &left.host).cmp(&(&right.zone, &right.host)));
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

    /// Explains the desired state of a target or an asset; `None` if the inventory does not list
    /// it.
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
            let uncovered = table
                .shards()
                .iter()
                .filter(|shard| shard.options.iter().all(|option| option.versions.is_empty()));
            names.extend(uncovered.map(|shard| config.catalog.shard(shard.shard).name.to_string()));
        }
        names
    }
}

fn drift(snapshot: &DriftSnapshot) -> Vec<DriftReport> {
    let age = snapshot.at.elapsed();
    let report = |entry: &DriftEntry| DriftReport {
        target: entry.target.clone(),
        wanted: entry.wanted.to_string(),
        seen: entry.observed.map_or_else(|| UNREACHABLE.to_owned(), |phase| phase.to_string()),
        since_ms: u64::try_from((entry.duration + age).as_millis()).unwrap_or(u64::MAX),
        cause: entry.cause.to_string(),
        held_for: entry.held_for.as_ref().map(ToString::to_string),
    };
    snapshot.entries.iter().map(report).collect()
}

fn wanted(catalog: &FleetCatalog) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for (_, target) in catalog.targets() {
        let state: DesiredState = target.desired_state();
        *counts.entry(state.to_string()).or_insert(0) += 1;
    }
    counts
}
