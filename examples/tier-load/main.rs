//! Load test of a tier on loopback, with 8 daemons in 3 zones and stand-in targets. Prints the
//! results of callers of the tier and, for comparison, of a naive client.
//!
//! `cargo run --release --example tier-load -- [--deployment dar-port|poland]
//! [--scenario NAME]... [--seconds N] [--share F] [--seed N] [--json]`
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::error::Error;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use futures::FutureExt;
use futures::future::BoxFuture;
use hawthorn_daemon::process::daemon;
use hawthorn_daemon::process::daemon::DaemonProcess;
use hawthorn_daemon::process::daemon::Serving;
use hawthorn_intent::DaemonSettings;
use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::StandinDeployment;
use hawthorn_standin::corpus::CorpusFlavour;
use hawthorn_standin::deployment::ServiceDescription;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::load;
use hawthorn_standin::load::DaemonControl;
use hawthorn_standin::load::DeploymentEnvironment;
use hawthorn_standin::load::HttpTier;
use hawthorn_standin::load::LoadScenario;
use hawthorn_standin::load::NaiveTier;
use hawthorn_standin::load::report::table_header;
use hawthorn_standin::load::schedule::ScheduleOptions;
use hawthorn_standin::load::tier::EntryHost;
use hawthorn_standin::target::ServiceTime;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;

type Outcome<T = ()> = Result<T, Box<dyn Error>>;

const HOSTS_PER_ZONE: [usize; 3] = [3, 3, 2];
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const ENTRY_CONNECTIONS: usize = 256;
/// Time for owners to open connections to their targets and to measure their latency.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Typical service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum DeploymentName {
    DarPort,
    Poland,
}

#[derive(Clone, Debug)]
struct Arguments {
    deployment: DeploymentName,
    scenario: Vec<LoadScenario>,
    seconds: f64,
    share: f64,
    stragglers: f64,
    replicas: u32,
    seed: u64,
    json: bool,
}

fn arguments() -> Arguments {
    let deployment = long("deployment").argument("NAME").fallback(DeploymentName::DarPort);
    let scenario = long("scenario").argument("NAME").many();
    let seconds = long("seconds").argument("N").fallback(5.0);
    let share = long("share")
        .help("Capacity of the tier, as a share of what the targets could serve")
        .argument("F")
        .fallback(0.5);
    let stragglers = long("stragglers")
        .help("Share of attempts that take 20 times as long")
        .argument("F")
        .fallback(0.0);
    let replicas = long("replicas").argument("N").fallback(2);
    let seed = long("seed").argument("N").fallback(1);
    let json = long("json").switch();
    construct!(Arguments { deployment, scenario, seconds, share, stragglers, replicas, seed, json })
        .to_options()
        .run()
}

fn deployment_options(arguments: &Arguments) -> DeploymentOptions {
    let service_time = ServiceTime {
        typical: SERVICE_TIME,
        straggler_share: arguments.stragglers,
        ..ServiceTime::default()
    };
    let (defaults, name) = match arguments.deployment {
        DeploymentName::DarPort => (DeploymentOptions::dar_port(), "agent-desk"),
        DeploymentName::Poland => (DeploymentOptions::poland(), "claim-desk"),
    };
    let corpus = defaults.services[0].corpus.clone();
    let service = ServiceDescription {
        shards: 20,
        replicas: arguments.replicas,
        service_time,
        corpus,
        ..ServiceDescription::new(name)
    };
    DeploymentOptions { services: vec![service], seed: arguments.seed, ..defaults }
}

/// Daemons in this process, each with its own threads.
struct LocalDaemons {
    running: Mutex<Vec<Option<DaemonProcess<Serving>>>>,
    names: Vec<String>,
}

impl DaemonControl for LocalDaemons {
    fn daemons(&self) -> Vec<String> {
        self.names.clone()
    }

    fn restart<'a>(&'a self, daemon: &'a str) -> BoxFuture<'a, ()> {
        async move {
            let Some(index) = self.names.iter().position(|name| name == daemon) else { return };
            let Some(process) = self.take(index) else { return };
            let restarted = tokio::task::spawn_blocking(move || {
                let settings = process.settings_with_bound_addresses();
                process.drain().finish();
                let process = daemon::start(settings).ok()?;
                process.wait_until_ready(READY_TIMEOUT).then_some(process)
            });
            if let Ok(process) = restarted.await {
                self.put(index, process);
            }
        }
        .boxed()
    }

    fn cut_zone(&self, _cut: bool) -> BoxFuture<'_, ()> {
        // Not supported here: only the fault-injecting proxy of tests/ partitions zones.
        std::future::ready(()).boxed()
    }
}

impl LocalDaemons {
    fn take(&self, index: usize) -> Option<DaemonProcess<Serving>> {
        self.running.lock().ok()?[index].take()
    }

    fn put(&self, index: usize, process: Option<DaemonProcess<Serving>>) {
        if let Ok(mut running) = self.running.lock() {
            running[index] = process;
        }
    }

    fn start(deployment: &StandinDeployment) -> Outcome<Self> {
        let platform = deployment.platform.address();
        let region = &deployment.options().region;
        let mut seeds: Vec<String> = Vec::new();
        let mut running = Vec::new();
        let mut names = Vec::new();
        for (zone, count) in deployment.options().zones.iter().zip(HOSTS_PER_ZONE) {
            for number in 1..=count {
                let host = format!("{zone}-{number}");
                let text = format!(
                    "host = \"{host}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
                     caller_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
                     platform = \"{platform}\"\nseeds = [{}]\n[stop]\ngrace = \"5s\"\n",
                    seeds.join(", ")
                );
                let process = daemon::start(DaemonSettings::from_toml(&text)?)?;
                seeds.push(format!("\"{}\"", process.peer_address()));
                names.push(host);
                running.push(Some(process));
            }
        }
        for process in running.iter().flatten() {
            if !process.wait_until_ready(READY_TIMEOUT) {
                return Err("a daemon did not become ready".into());
            }
        }
        Ok(Self { running: Mutex::new(running), names })
    }

    fn hosts(&self) -> Vec<EntryHost> {
        let Ok(running) = self.running.lock() else { return Vec::new() };
        let named = self.names.iter().zip(running.iter());
        named
            .filter_map(|(name, process)| {
                let address = process.as_ref()?.caller_address();
                Some(EntryHost { name: name.clone(), address })
            })
            .collect()
    }

    fn stop(self) {
        for process in self.running.into_inner().unwrap_or_default().into_iter().flatten() {
            process.drain().finish();
        }
    }
}

async fn apply(deployment: &StandinDeployment) -> Outcome {
    let store = StoreClient::new(deployment.platform.address(), client::Options::default());
    let proposed = ProposedEdit {
        base: 0,
        edit_id: "load".into(),
        author: "load".into(),
        changed_at: 0,
        inventory: deployment.inventory_toml(),
        rules: deployment.rules_toml(),
    };
    edit::edit(&store, &proposed, &edit::Options::default()).await?;
    Ok(())
}

fn main() -> Outcome {
    let arguments = arguments();
    let runtime = tokio::runtime::Runtime::new()?;
    let options = deployment_options(&arguments);
    let deployment = runtime.block_on(StandinDeployment::start(options))?;
    runtime.block_on(apply(&deployment))?;
    let daemons = LocalDaemons::start(&deployment)?;
    std::thread::sleep(SETTLE_TIME);
    let output = runtime.block_on(measure(&arguments, &deployment, &daemons));
    daemons.stop();
    print!("{}", output?);
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(())
}

async fn measure(
    arguments: &Arguments,
    deployment: &StandinDeployment,
    daemons: &LocalDaemons,
) -> Outcome<String> {
    let environment = DeploymentEnvironment::new(deployment);
    let tier = Arc::new(HttpTier::new(daemons.hosts(), ENTRY_CONNECTIONS));
    let mut output = if arguments.json { String::new() } else { table_header() };
    let scenarios = match arguments.scenario.is_empty() {
        true => vec![LoadScenario::Steady],
        false => arguments.scenario.clone(),
    };
    for scenario in scenarios {
        let options = options(arguments, deployment, scenario);
        let naive = Arc::new(NaiveTier::of_deployment(deployment, arguments.seed));
        let control: Option<&dyn DaemonControl> = Some(daemons);
        let since = deployment.history().now();
        let comparison =
            load::compare(Arc::clone(&tier) as Arc<_>, naive, &environment, control, &options)
                .await?;
        if !arguments.json {
            output.push_str(&missing(deployment, daemons, since));
        }
        match arguments.json {
            true => output.push_str(&format!("{}\n", serde_json::to_string(&comparison)?)),
            false => output.push_str(&format!("{}{}", comparison.tier, comparison.baseline)),
        }
    }
    Ok(output)
}

/// Reasons for ranges missing from the tier's answers, with counts and times.
fn missing(deployment: &StandinDeployment, daemons: &LocalDaemons, since: Duration) -> String {
    let mut counts: BTreeMap<String, (u64, Duration, Duration)> = BTreeMap::new();
    let records = deployment.history().records();
    let tier_sends: HashSet<u64> = records
        .iter()
        .filter_map(|record| match &record.event {
            HistoryEvent::QuerySent(sent) if daemons.names.contains(&sent.front) => Some(sent.send),
            _ => None,
        })
        .collect();
    for record in records {
        let HistoryEvent::Answered { send, answer } = &record.event else { continue };
        if !tier_sends.contains(send) {
            continue;
        }
        let Some(coverage) = answer.coverage.as_ref().filter(|_| record.at >= since) else {
            continue;
        };
        for missing in &coverage.missing {
            let at = record.at.saturating_sub(since);
            let entry = counts.entry(missing.reason.to_string()).or_insert((0, at, at));
            *entry = (entry.0 + 1, entry.1.min(at), entry.2.max(at));
        }
    }
    let line = |(reason, (count, from, to)): (String, (u64, Duration, Duration))| {
        format!("  missing {reason}: {count} ranges, {from:.1?} to {to:.1?}\n")
    };
    counts.into_iter().map(line).collect()
}

fn options(
    arguments: &Arguments,
    deployment: &StandinDeployment,
    scenario: LoadScenario,
) -> load::run::Options {
    let service = &deployment.options().services[0];
    let slots = f64::from(service.replicas * service.slots);
    let capacity = slots / service.service_time.mean().as_secs_f64() * arguments.share;
    let flavour = match arguments.deployment {
        DeploymentName::DarPort => CorpusFlavour::Bunker,
        DeploymentName::Poland => CorpusFlavour::Claims,
    };
    let schedule = ScheduleOptions {
        scenario,
        seed: arguments.seed,
        duration: Duration::from_secs_f64(arguments.seconds),
        capacity,
        callers: deployment.options().callers.clone(),
        texts: flavour.query_texts(),
        ..ScheduleOptions::default()
    };
    load::run::Options {
        schedule,
        service: service.name.clone(),
        deadline_ms: 500,
        history: deployment.history().clone(),
        corpora: deployment.corpora.clone(),
        ..load::run::Options::default()
    }
}
