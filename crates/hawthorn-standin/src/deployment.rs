//! The stand-ins of one scaled-down deployment, and the inventory and rules that
//! contain their addresses.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::target::HeldRanges;
use quick_error::quick_error;
use tokio_util::sync::CancellationToken;

use crate::corpus::Corpus;
use crate::corpus::CorpusFlavour;
use crate::corpus::CorpusOptions;
use crate::history::History;
use crate::platform;
use crate::platform::PlatformOptions;
use crate::platform::PlatformStandin;
use crate::target;
use crate::target::ServiceTime;
use crate::target::TargetOptions;
use crate::target::TargetStandin;

quick_error! {
    /// Errors of starting a deployment.
    #[derive(Debug)]
    pub enum Error {
        /// The options list no availability zone.
        NoZone {
            display("the deployment has no availability zone")
        }
        /// A target could not start.
        Target(err: target::Error) {
            display("a target could not start: {err}")
            source(err)
            from()
        }
        /// The platform could not start.
        Platform(err: platform::Error) {
            display("the platform could not start: {err}")
            source(err)
            from()
        }
    }
}

/// One service of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDescription {
    /// Its name.
    pub name: String,
    /// Shard NN of N holds `KeyRange::part(NN, N)`.
    pub shards: u32,
    /// Number of targets that hold each shard, assigned to zones in turn.
    pub replicas: u32,
    /// Number of shards of each target.
    pub shards_per_target: u32,
    /// Number of slots of each target.
    pub slots: u32,
    /// Connection limit of each target.
    pub connections: u32,
    /// Time to establish a new connection.
    pub connect_cost: Duration,
    /// Service times of each target.
    pub service_time: ServiceTime,
    /// Its documents.
    pub corpus: CorpusOptions,
}

impl ServiceDescription {
    /// A service of eight shards with two replicas each and one shard per target,
    /// with the limits of the desk services.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            shards: 8,
            replicas: 2,
            shards_per_target: 1,
            slots: 2,
            connections: 25,
            connect_cost: Duration::from_millis(6),
            service_time: ServiceTime::default(),
            corpus: CorpusOptions::default(),
        }
    }
}

impl ServiceDescription {
    /// Queries per second that its targets can serve with every slot busy all the
    /// time. Timers have a resolution of milliseconds, which lengthens short service
    /// times, so the actual capacity is lower.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * f64::from(self.replicas);
        let seconds = self.service_time.mean().as_secs_f64();
        slots / (f64::from(self.shards_per_target.max(1)) * seconds.max(f64::MIN_POSITIVE))
    }
}

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// The region of all zones.
    pub region: String,
    /// The availability zones.
    pub zones: Vec<String>,
    /// The services.
    pub services: Vec<ServiceDescription>,
    /// The callers that the rules list.
    pub callers: Vec<String>,
    /// The index version that every target holds initially.
    pub version: IndexVersion,
    /// Queue length of each target, beyond its slots.
    pub queue: u32,
    /// How long a target refuses work as cold after its start.
    pub cold_start: Duration,
    /// Age of the state that `/state` returns.
    pub state_lag: Duration,
    /// Rate limits and delays of the platform.
    pub platform: PlatformOptions,
    /// Seed of the service times; the same seed gives the same times.
    pub seed: u64,
    /// Where targets record their attempts.
    pub history: History,
    /// Stops the deployment when cancelled.
    pub stop: CancellationToken,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self::dar_port()
    }
}

impl DeploymentOptions {
    /// A scaled-down Dar Port: one desk service and the port feed.
    pub fn dar_port() -> Self {
        let desk = ServiceDescription::new("agent-desk");
        let feed = ServiceDescription {
            shards: 4,
            connections: 110,
            connect_cost: Duration::from_millis(1),
            ..ServiceDescription::new("port-feed")
        };
        Self {
            region: "dar-port".to_owned(),
            zones: names(&["kurasini", "kigamboni", "mbagala"]),
            services: vec![desk, feed],
            callers: names(&["bunker-desk", "ship-agents", "suppliers"]),
            version: IndexVersion(1),
            queue: 8,
            cold_start: Duration::ZERO,
            state_lag: Duration::ZERO,
            platform: PlatformOptions::default(),
            seed: 1,
            history: History::default(),
            stop: CancellationToken::new(),
        }
    }

    /// A scaled-down Poland: the claim desk and the archive.
    pub fn poland() -> Self {
        let corpus = CorpusOptions { flavour: CorpusFlavour::Claims, ..CorpusOptions::default() };
        let desk =
            ServiceDescription { corpus: corpus.clone(), ..ServiceDescription::new("claim-desk") };
        let archive = ServiceDescription {
            shards: 3,
            slots: 6,
            connections: 50,
            connect_cost: Duration::from_millis(1),
            corpus,
            ..ServiceDescription::new("archive-reader")
        };
        Self {
            region: "poland".to_owned(),
            zones: names(&["hall-kato", "hall-krak", "hall-gliw"]),
            services: vec![desk, archive],
            callers: names(&["slask-geo", "tatra-kop", "odra-min"]),
            ..Self::dar_port()
        }
    }
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|&name| name.to_owned()).collect()
}

/// One target of a running deployment.
#[derive(Debug)]
pub struct DeployedTarget {
    /// The running target.
    pub standin: TargetStandin,
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The numbers of the shards it holds.
    pub shards: Vec<u32>,
}

/// A running deployment; stops when dropped.
#[derive(Debug)]
pub struct StandinDeployment {
    /// The platform.
    pub platform: PlatformStandin,
    /// The targets, by service and then by number.
    pub targets: Vec<DeployedTarget>,
    /// The documents of each service.
    pub corpora: Vec<Arc<Corpus>>,
    options: DeploymentOptions,
}

impl StandinDeployment {
    /// Starts the platform and all targets.
    pub async fn start(options: DeploymentOptions) -> Result<Self, Error> {
        if options.zones.is_empty() {
            return Err(Error::NoZone);
        }
        let stop = options.stop.child_token();
        let platform_options = PlatformOptions { stop, ..options.platform.clone() };
        let platform = PlatformStandin::start(platform_options).await?;
        let mut targets = Vec::new();
        let mut corpora = Vec::new();
        for service in &options.services {
            let corpus = Arc::new(Corpus::generate(&service.name, &service.corpus));
            for placement in place_targets(service, &options.zones) {
                let number = targets.len() as u64;
                targets.push(start_target(&options, service, &corpus, placement, number).await?);
            }
            corpora.push(corpus);
        }
        Ok(Self { platform, targets, corpora, options })
    }

    /// The options that it was started with.
    pub fn options(&self) -> &DeploymentOptions {
        &self.options
    }

    /// The history in which targets record their attempts.
    pub fn history(&self) -> &History {
        &self.options.history
    }

    /// The target of that name.
    pub fn target(&self, name: &str) -> Option<&DeployedTarget> {
        self.targets.iter().find(|target| target.name == name)
    }

    /// The documents of `service`.
    pub fn corpus(&self, service: &str) -> Option<&Arc<Corpus>> {
        self.corpora.iter().find(|corpus| corpus.service() == service)
    }

    /// An inventory with the addresses of the running targets.
    pub fn inventory_toml(&self) -> String {
        self.inventory_toml_via(|target| target.standin.address())
    }

    /// An inventory with the addresses that `via` returns, for targets behind proxies.
    pub fn inventory_toml_via(&self, via: impl Fn(&DeployedTarget) -> SocketAddr) -> String {
        let mut text = String::new();
        for zone in &self.options.zones {
            push(&mut text, format_args!("[[zone]]\nname = \"{zone}\"\n"));
            push(&mut text, format_args!("region = \"{}\"\n\n", self.options.region));
        }
        for service in &self.options.services {
            push(&mut text, format_args!("[[service]]\nname = \"{}\"\n", service.name));
            push(&mut text, format_args!("shards = {}\n", service.shards));
            push(&mut text, format_args!("slots = {}\n", service.slots));
            push(&mut text, format_args!("connections = {}\n", service.connections));
            let cost = service.connect_cost.as_millis();
            push(&mut text, format_args!("connect_cost = \"{cost}ms\"\n\n"));
        }
        for (number, target) in self.targets.iter().enumerate() {
            push(&mut text, format_args!("[[target]]\nname = \"{}\"\n", target.name));
            push(&mut text, format_args!("asset = \"HW-{:04}\"\n", number + 1));
            push(&mut text, format_args!("service = \"{}\"\n", target.service));
            push(&mut text, format_args!("zone = \"{}\"\n", target.zone));
            push(&mut text, format_args!("address = \"{}\"\n", via(target)));
            let shards: Vec<String> = target
                .shards
                .iter()
                .map(|shard| format!("\"{}\"", shard_name(&target.service, *shard)))
                .collect();
            push(&mut text, format_args!("shards = [{}]\n\n", shards.join(", ")));
        }
        text
    }

    /// Rules that list the callers.
    pub fn rules_toml(&self) -> String {
        let mut text = String::new();
        for caller in &self.options.callers {
            push(&mut text, format_args!("[[caller]]\nname = \"{caller}\"\n\n"));
        }
        text
    }
}

/// The operators' notation of a shard: `agent-desk/03`.
pub fn shard_name(service: &str, number: u32) -> String {
    format!("{service}/{number:02}")
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    text.write_fmt(line).expect("writing to a string never fails");
}

/// Name, zone and shards of one target.
struct TargetPlacement {
    name: String,
    zone: String,
    shards: Vec<u32>,
}

/// Assigns the targets of `service` to zones. Replica R of a group of shards is
/// placed R zones after the first replica, so that replicas share a zone only if
/// there are more replicas than zones.
fn place_targets(service: &ServiceDescription, zones: &[String]) -> Vec<TargetPlacement> {
    let width = service.shards_per_target.max(1);
    let numbers: Vec<u32> = (0..service.shards).collect();
    let mut placements = Vec::new();
    for (group, shards) in numbers.chunks(width as usize).enumerate() {
        for replica in 0..service.replicas as usize {
            let zone = zones[(group + replica) % zones.len()].clone();
            let name = format!("{}-{:02}", service.name, placements.len());
            placements.push(TargetPlacement { name, zone, shards: shards.to_vec() });
        }
    }
    placements
}

async fn start_target(
    options: &DeploymentOptions,
    service: &ServiceDescription,
    corpus: &Arc<Corpus>,
    placement: TargetPlacement,
    number: u64,
) -> Result<DeployedTarget, target::Error> {
    let ranges: RangeSet =
        placement.shards.iter().map(|&shard| KeyRange::part(shard, service.shards)).collect();
    let held = HeldRanges { service: service.name.clone(), version: options.version, ranges };
    let standin = TargetStandin::start(TargetOptions {
        name: placement.name.clone(),
        corpora: vec![Arc::clone(corpus)],
        held: vec![held],
        slots: service.slots,
        queue: options.queue,
        connections: service.connections,
        connect_cost: service.connect_cost,
        service_time: service.service_time,
        cold_start: options.cold_start,
        state_lag: options.state_lag,
        seed: options.seed.wrapping_add(number),
        history: options.history.clone(),
        stop: options.stop.child_token(),
        ..TargetOptions::default()
    })
    .await?;
    Ok(DeployedTarget {
        standin,
        name: placement.name,
        service: service.name.clone(),
        zone: placement.zone,
        shards: placement.shards,
    })
}
