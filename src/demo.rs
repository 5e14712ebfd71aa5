//! `demo`: a tier on loopback against stand-ins, without any set-up.

use std::time::Duration;
use std::time::Instant;

use hawthorn_daemon::process::daemon;
use hawthorn_daemon::process::daemon::DaemonProcess;
use hawthorn_daemon::process::daemon::Serving;
use hawthorn_intent::DaemonSettings;
use hawthorn_standin::deployment::DeploymentOptions;
use hawthorn_standin::deployment::ServiceDescription;
use hawthorn_standin::deployment::StandinDeployment;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::CallerAnswer;
use hawthorn_types::SearchQuery;
use hawthorn_types::UrgencyClass;
use hyper::Method;
use tokio::runtime::Runtime;

use crate::examine;
use crate::exit::CommandError;
use crate::exit::CommandExit;
use crate::http;

const SERVICE: &str = "agent-desk";
const DEMO_TEXT: &str = "stem vlsfo";
const SHARDS: u32 = 24;
const READY_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_MATCHES: u32 = 5;
const DEADLINE_MS: u64 = 500;
/// Queries after a target stops: its owner ejects it only after several failed attempts.
const QUERIES_AFTER_STOP: usize = 3;

fn fail(error: impl std::fmt::Display) -> CommandError {
    CommandError::Start(error.to_string())
}

/// Runs `demo`.
pub(crate) fn demo() -> Result<CommandExit, CommandError> {
    let runtime = http::runtime()?;
    let mut deployment = runtime.block_on(start_standins())?;
    let targets = deployment.targets.len();
    println!("{targets} stand-in targets serve {SHARDS} shards of {SERVICE}, two replicas each");
    let platform = deployment.platform.address();
    runtime.block_on(apply(platform, &deployment))?;
    let daemons = start_daemons(platform, &deployment)?;
    println!("{} daemons are ready, one in each zone", daemons.len());
    let at = daemons[0].caller_address();
    let before = runtime.block_on(first_complete_answer(at))?;
    println!("\n== query \"{DEMO_TEXT}\" over all shards");
    print!("{}", examine::describe(&before));
    let stopped = deployment.targets.remove(0);
    println!("\n== after target {} stops", stopped.name);
    drop(stopped);
    let mut after = query(&runtime, at)?;
    for _ in 1..QUERIES_AFTER_STOP {
        after = query(&runtime, at)?;
    }
    print!("{}", examine::describe(&after));
    println!("\n== difference");
    print!("{}", compare(&before, &after));
    for daemon in daemons {
        daemon.drain().finish();
    }
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(CommandExit::Success)
}

async fn start_standins() -> Result<StandinDeployment, CommandError> {
    let service = ServiceDescription { shards: SHARDS, ..ServiceDescription::new(SERVICE) };
    let options = DeploymentOptions { services: vec![service], ..DeploymentOptions::dar_port() };
    StandinDeployment::start(options).await.map_err(fail)
}

async fn apply(
    platform: std::net::SocketAddr,
    deployment: &StandinDeployment,
) -> Result<(), CommandError> {
    let store = StoreClient::new(platform, client::Options::default());
    let proposed = ProposedEdit {
        base: 0,
        edit_id: "demo".into(),
        author: "demo".into(),
        changed_at: 0,
        inventory: deployment.inventory_toml(),
        rules: deployment.rules_toml(),
    };
    edit::edit(&store, &proposed, &edit::Options::default()).await.map_err(fail)?;
    Ok(())
}

fn start_daemons(
    platform: std::net::SocketAddr,
    deployment: &StandinDeployment,
) -> Result<Vec<DaemonProcess<Serving>>, CommandError> {
    let mut seeds: Vec<String> = Vec::new();
    let mut daemons = Vec::new();
    for zone in &deployment.options().zones {
        let region = &deployment.options().region;
        let text = format!(
            "host = \"{zone}-1\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             caller_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
             platform = \"{platform}\"\nseeds = [{}]\n[stop]\ngrace = \"200ms\"\n",
            seeds.join(", ")
        );
        let settings = DaemonSettings::from_toml(&text).map_err(fail)?;
        let daemon = daemon::start(settings).map_err(fail)?;
        seeds.push(format!("\"{}\"", daemon.peer_address()));
        daemons.push(daemon);
    }
    for daemon in &daemons {
        if !daemon.wait_until_ready(READY_TIMEOUT) {
            return Err(fail("a daemon did not become ready"));
        }
    }
    Ok(daemons)
}

/// Repeats the query until every shard's owner is known to the daemon, so that the first
/// answer shown is complete.
async fn first_complete_answer(at: std::net::SocketAddr) -> Result<CallerAnswer, CommandError> {
    let started = Instant::now();
    loop {
        let answer = post_query(at).await?;
        let complete = answer.coverage.as_ref().is_some_and(|coverage| coverage.missing.is_empty());
        if complete || started.elapsed() > READY_TIMEOUT {
            return Ok(answer);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn query(runtime: &Runtime, at: std::net::SocketAddr) -> Result<CallerAnswer, CommandError> {
    runtime.block_on(post_query(at))
}

async fn post_query(at: std::net::SocketAddr) -> Result<CallerAnswer, CommandError> {
    let query = SearchQuery {
        caller: "bunker-desk".into(),
        service: SERVICE.into(),
        text: DEMO_TEXT.into(),
        range: None,
        limit: MAX_MATCHES,
        deadline_ms: DEADLINE_MS,
        urgency: UrgencyClass::Urgent,
        request_id: None,
    };
    let body = serde_json::to_vec(&query).expect("a query has only string keys");
    let (_, bytes) = http::call(at, Method::POST, "/v1/query", body, http::DEFAULT_TIMEOUT).await?;
    serde_json::from_slice(&bytes).map_err(fail)
}

fn compare(before: &CallerAnswer, after: &CallerAnswer) -> String {
    let fraction =
        |answer: &CallerAnswer| answer.coverage.as_ref().map_or(0.0, |coverage| coverage.fraction);
    let comparison =
        if before.matches == after.matches { "same matches" } else { "different matches" };
    format!(
        "coverage {:.4} -> {:.4}, {comparison}, {} -> {} documents, {} ms -> {} ms\n",
        fraction(before),
        fraction(after),
        before.total,
        after.total,
        before.elapsed_ms,
        after.elapsed_ms
    )
}
