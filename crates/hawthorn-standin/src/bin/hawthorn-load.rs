//! Load generator for the tier: runs scenarios and prints a table or JSON.
//!
//! With `--front` it loads a running tier whose targets are stand-ins named in
//! `--inventory`. Without, it starts stand-ins of its own and loads them with
//! the naive client, which shows what the targets give without the tier.
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

/// Connections to one entry host.
const FRONT_CONNECTIONS: usize = 512;

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

/// What the command line says.
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

/// What to compare the tier with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
enum CompareWith {
    /// The naive client.
    Baseline,
}

fn arguments() -> OptionParser<Arguments> {
    let front =
        long("front").help("An entry host's callers' address, once each").argument("ADDR").many();
    let inventory =
        long("inventory").help("The inventory of the stand-in targets").argument("FILE").optional();
    let scenario =
        long("scenario").help("What to run, once each; calm when absent").argument("NAME").many();
    let service = long("service")
        .help("The service to search")
        .argument("NAME")
        .fallback("agent-desk".to_owned());
    let seed = long("seed").help("The same seed draws the same schedule").argument("N").fallback(1);
    let seconds = long("seconds").help("How long each run lasts").argument("N").fallback(5.0);
    let capacity = long("capacity")
        .help("Queries a second that the targets could serve")
        .argument("N")
        .fallback(200.0);
    let flavour = long("flavour")
        .help("What the stand-ins' documents speak of: bunker or claims")
        .argument("NAME")
        .fallback(CorpusFlavour::Bunker);
    let version = long("version")
        .help("The index version that the naive client asks for")
        .argument("N")
        .fallback(1);
    let deadline_ms =
        long("deadline-ms").help("How long a caller waits").argument("N").fallback(500);
    let once_share = long("once-share")
        .help("The part of non-idempotent requests, 0 to 1")
        .argument("N")
        .fallback(0.0);
    let caller =
        long("caller").help("A caller named in the rules, once each").argument("NAME").many();
    let compare = long("compare")
        .help("`baseline`: run each scenario with the naive client too")
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
    .descr("Loads a tier over stand-in targets and reports what its callers saw")
}

async fn run(arguments: &Arguments) -> Result<String, Box<dyn Error>> {
    match (&arguments.inventory, arguments.front.is_empty()) {
        (_, true) => run_alone(arguments).await,
        (Some(inventory), false) => run_tier(arguments, inventory).await,
        (None, false) => Err("--front needs --inventory".into()),
    }
}

/// Loads stand-ins of its own with the naive client.
async fn run_alone(arguments: &Arguments) -> Result<String, Box<dyn Error>> {
    let described = match arguments.flavour {
        CorpusFlavour::Bunker => DeploymentOptions::dar_port(),
        CorpusFlavour::Claims => DeploymentOptions::poland(),
    };
    let deployment = StandinDeployment::start(described).await?;
    let stage = DeploymentEnvironment::new(&deployment);
    let mut output = Output::new(arguments.json);
    for scenario in scenarios(arguments) {
        let mut options = options(arguments, scenario);
        options.history = deployment.history().clone();
        options.corpora.clone_from(&deployment.corpora);
        let naive = Arc::new(NaiveTier::of_deployment(&deployment, arguments.seed));
        let report = load::run("naive", naive, &stage, None, &options).await?;
        output.push(&report, report.to_string())?;
    }
    Ok(output.finish())
}

/// Loads a running tier.
async fn run_tier(arguments: &Arguments, inventory: &PathBuf) -> Result<String, Box<dyn Error>> {
    let inventory = TargetInventory::parse(&std::fs::read_to_string(inventory)?)?;
    let stage = RemoteEnvironment::new(&inventory);
    let hosts = arguments
        .front
        .iter()
        .map(|&address| EntryHost { name: address.to_string(), address })
        .collect();
    let tier: Arc<dyn QueryTier> = Arc::new(HttpTier::new(hosts, FRONT_CONNECTIONS));
    let mut output = Output::new(arguments.json);
    for scenario in scenarios(arguments) {
        let options = options(arguments, scenario);
        let first: &dyn LoadEnvironment = &stage;
        if arguments.compare.is_none() {
            let report = load::run("tier", Arc::clone(&tier), first, None, &options).await?;
            output.push(&report, report.to_string())?;
            continue;
        }
        let known = inventory.known_services()?;
        let naive =
            Arc::new(NaiveTier::new(known, IndexVersion(arguments.version), arguments.seed));
        let compared = load::compare(Arc::clone(&tier), naive, first, None, &options).await?;
        output.push(&compared, format!("{}{}", compared.tier, compared.baseline))?;
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
    let usual = ScheduleOptions::default();
    let callers = match arguments.caller.is_empty() {
        true => usual.callers.clone(),
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
        ..usual
    };
    // The stand-ins of a deployment hold these documents unless told otherwise.
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

/// What is printed: a table, or a JSON list.
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
