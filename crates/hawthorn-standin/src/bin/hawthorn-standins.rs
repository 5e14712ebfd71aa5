//! Runs the stand-ins of one deployment until interrupted.
//!
//! Writes an inventory with their addresses and rules, for the tier's commands and for
//! `hawthorn-load`, and prints the platform's address.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::History;
use hawthorn_standin::StandinDeployment;
use hawthorn_standin::corpus::CorpusFlavour;

/// Command-line arguments.
#[derive(Clone, Debug)]
struct Arguments {
    flavour: CorpusFlavour,
    shards: Option<u32>,
    service_ms: Option<u64>,
    directory: PathBuf,
}

fn arguments() -> OptionParser<Arguments> {
    let flavour = long("flavour")
        .help("Deployment: bunker (Dar Port) or claims (Poland)")
        .argument("NAME")
        .fallback(CorpusFlavour::Bunker);
    let shards = long("shards").help("Number of shards of each service").argument("N").optional();
    let service_ms =
        long("service-ms").help("Typical service time in milliseconds").argument("N").optional();
    let directory = positional("DIRECTORY").help("Directory for inventory.toml and rules.toml");
    construct!(Arguments { flavour, shards, service_ms, directory })
        .to_options()
        .descr("Runs stand-in targets and a stand-in platform on loopback")
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let result = tokio::runtime::Runtime::new()
        .map_err(Box::from)
        .and_then(|runtime| runtime.block_on(run(&arguments)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let deployment = StandinDeployment::start(deployment_options(arguments)).await?;
    std::fs::create_dir_all(&arguments.directory)?;
    std::fs::write(arguments.directory.join("inventory.toml"), deployment.inventory_toml())?;
    std::fs::write(arguments.directory.join("rules.toml"), deployment.rules_toml())?;
    println!("platform {}", deployment.platform.address());
    println!("targets {}", deployment.targets.len());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn deployment_options(arguments: &Arguments) -> DeploymentOptions {
    let defaults = match arguments.flavour {
        CorpusFlavour::Bunker => DeploymentOptions::dar_port(),
        CorpusFlavour::Claims => DeploymentOptions::poland(),
    };
    // The run time is unbounded and the history is never read.
    let mut options = DeploymentOptions { history: History::discarding(), ..defaults };
    for service in &mut options.services {
        service.shards = arguments.shards.unwrap_or(service.shards);
        if let Some(service_ms) = arguments.service_ms {
            service.service_time.typical = Duration::from_millis(service_ms);
        }
    }
    options
}
