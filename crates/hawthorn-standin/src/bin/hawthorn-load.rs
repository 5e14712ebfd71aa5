//! Load generator for the tier: runs scenarios and prints a table or JSON.
//!
//! With `--front`, it loads a running tier whose targets are the stand-ins in
//! `--inventory`. Without it, it starts its own stand-ins and loads them with the naive
//! client, as a baseline without the tier.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use hawthorn_standin::Corpus;
use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::StandinDeployment;
use hawthorn_standin::corpus::CorpusFlavour;
use hawthorn_standin::corpus::CorpusOptions;
use hawthorn_standin::load;
use hawthorn_standin::load::DeploymentEnvironment;
use hawthorn_standin::load::HttpTier;
use hawthorn_standin::load::LoadEnvironment;
use hawthorn_standin::load::LoadScenario;
use hawthorn_standin::load::NaiveTier;
use hawthorn_standin::load::QueryTier;
use hawthorn_standin::load::RemoteEnvironment;
use hawthorn_standin::load::inventory::TargetInventory;
use hawthorn_standin::load::report::table_header;
use hawthorn_standin::load::schedule::ScheduleOptions;
use hawthorn_standin::load::tier::EntryHost;
use hawthorn_types::IndexVersion;

/// Maximum number of connections to one entry host.
const MAX_FRONT_CONNECTIONS: usize = 512;

fn main() -> ExitCode {
    let arguments = arguments().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => return fail(&err),
    };
    match runtime.block_on(run(&arguments)) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(err) => fail(err.as_ref()),
    }
}

fn fail(err: &dyn Error) -> ExitCode {
    eprintln!("{err}");
    ExitCode::FAILURE
}

/// Command-line arguments.
#[derive(Clone, Debug)]
struct Arguments {
    front: Vec<SocketAddr>,
    inventory: Option<PathBuf>,
    scenario: Vec<LoadScenario>,
    service: String,
    seed: u64,
    seconds: f64,
    capacity: f64,
    flavour: CorpusFlavour,
    version: u64,
    deadline_ms: u64,
    once_share: f64,
    caller: Vec<String>,
    compare: Option<CompareWith>,
    json: bool,
}

/// Baselines of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
enum CompareWith {
    /// The naive client.
    Baseline,
}

fn arguments() -> OptionParser<Arguments> {
    let front = long("front")
        .help("Address of an entry host's callers' interface; repeatable")
        .argument("ADDR")
        .many();
    let inventory =
        long("inventory").help("Inventory of the stand-in targets").argument("FILE").optional();
    let scenario =
        long("scenario").help("Scenario to run; repeatable, default calm").argument("NAME").many();
    let service = long("service")
        .help("Service to search")
        .argument("NAME")
        .fallback("agent-desk".to_owned());
    let seed = long("seed").help("Seed of the schedule").argument("N").fallback(1);
    let seconds =
        long("seconds").help("Duration of each run in seconds").argument("N").fallback(5.0);
    let capacity = long("capacity")
        .help("Capacity of the targets in queries per second")
        .argument("N")
        .fallback(200.0);
    let flavour = long("flavour")
        .help("Subject of the stand-ins' documents: bunker or claims")
        .argument("NAME")
        .fallback(CorpusFlavour::Bunker);
    let version = long("version")
        .help("Index version that the naive client searches")
        .argument("N")
        .fallback(1);
    let deadline_ms = long("deadline-ms")
        .help("Deadline of each request in milliseconds")
        .argument("N")
        .fallback(500);
    let once_share = long("once-share")
        .help("Share of non-idempotent requests, 0 to 1")
        .argument("N")
        .fallback(0.0);
    let caller =
        long("caller").help("Caller listed in the rules; repeatable").argument("NAME").many();
    let compare = long("compare")
        .help("`baseline`: also run each scenario with the naive client")
        .argument("WITH")
        .optional();
    let json = long("json").help("Print JSON").switch();
    construct!(Arguments {
        front,
        inventory,
        scenario,
        service,
        seed,
        seconds,
        capacity,
        flavour,
        version,
        deadline_ms,
        once_share,
        caller,
        compare,
        json,
    })
    .to_options()
    .descr("Loads a tier over stand-in targets and reports the results")
}

async fn run(arguments: &Arguments) -> Result<String, Box<dyn Error>> {
    match (&arguments.inventory, arguments.front.is_empty()) {
        (_, true) => run_standalone(arguments).await,
        (Some(inventory), false) => run_tier(arguments, inventory).await,
        (None, false) => Err("--front requires --inventory".into()),
    }
}

/// Starts stand-ins and loads them with the naive client.
async fn run_standalone(arguments: &Arguments) -> Result<String, Box<dyn Error>> {
    let deployment_options = match arguments.flavour {
        CorpusFlavour::Bunker => DeploymentOptions::dar_port(),
        CorpusFlavour::Claims => DeploymentOptions::poland(),
    };
    let deployment = StandinDeployment::start(deployment_options).await?;
    let environment = DeploymentEnvironment::new(&deployment);
    let mut output = Output::new(arguments.json);
    for scenario in scenarios(arguments) {
        let mut options = options(arguments, scenario);
        options.history = deployment.history().clone();
        options.corpora.clone_from(&deployment.corpora);
        let naive = Arc::new(NaiveTier::of_deployment(&deployment, arguments.seed));
        let report = load::run("naive", naive, &environment, None, &options).await?;
        output.push(&report, report.to_string())?;
    }
    Ok(output.finish())
}

/// Loads a running tier.
async fn run_tier(arguments: &Arguments, inventory: &PathBuf) -> Result<String, Box<dyn Error>> {
    let inventory = TargetInventory::parse(&std::fs::read_to_string(inventory)?)?;
    let environment = RemoteEnvironment::new(&inventory);
    let hosts = arguments
        .front
        .iter()
        .map(|&address| EntryHost { name: address.to_string(), address })
        .collect();
    let tier: Arc<dyn QueryTier> = Arc::new(HttpTier::new(hosts, MAX_FRONT_CONNECTIONS));
    let mut output = Output::new(arguments.json);
    for scenario in scenarios(arguments) {
        let options = options(arguments, scenario);
        let environment: &dyn LoadEnvironment = &environment;
        if arguments.compare.is_none() {
            let report = load::run("tier", Arc::clone(&tier), environment, None, &options).await?;
            output.push(&report, report.to_string())?;
            continue;
        }
        let known = inventory.known_services()?;
        let naive =
            Arc::new(NaiveTier::new(known, IndexVersion(arguments.version), arguments.seed));
        let comparison =
            load::compare(Arc::clone(&tier), naive, environment, None, &options).await?;
        output.push(&comparison, format!("{}{}", comparison.tier, comparison.baseline))?;
    }
    Ok(output.finish())
}

fn scenarios(arguments: &Arguments) -> Vec<LoadScenario> {
    match arguments.scenario.is_empty() {
        true => vec![LoadScenario::Steady],
        false => arguments.scenario.clone(),
    }
}

fn options(arguments: &Arguments, scenario: LoadScenario) -> load::run::Options {
    let defaults = ScheduleOptions::default();
    let callers = match arguments.caller.is_empty() {
        true => defaults.callers.clone(),
        false => arguments.caller.clone(),
    };
    let schedule = ScheduleOptions {
        scenario,
        seed: arguments.seed,
        duration: Duration::from_secs_f64(arguments.seconds),
        capacity: arguments.capacity,
        callers,
        texts: arguments.flavour.query_texts(),
        once_share: arguments.once_share,
        ..defaults
    };
    // The default documents of a deployment of stand-ins.
    let corpus_options = CorpusOptions { flavour: arguments.flavour, ..CorpusOptions::default() };
    let corpus = Corpus::generate(&arguments.service, &corpus_options);
    load::run::Options {
        schedule,
        service: arguments.service.clone(),
        deadline_ms: arguments.deadline_ms,
        corpora: vec![Arc::new(corpus)],
        ..load::run::Options::default()
    }
}

/// Output as a table or a JSON list.
struct Output {
    json: bool,
    lines: Vec<String>,
}

impl Output {
    fn new(json: bool) -> Self {
        Self { json, lines: Vec::new() }
    }

    fn push<T: serde::Serialize>(&mut self, report: &T, line: String) -> serde_json::Result<()> {
        match self.json {
            true => self.lines.push(serde_json::to_string(report)?),
            false => self.lines.push(line),
        }
        Ok(())
    }

    fn finish(self) -> String {
        match self.json {
            true => format!("[{}]\n", self.lines.join(",\n")),
            false => format!("{}{}", table_header(), self.lines.concat()),
        }
    }
}
