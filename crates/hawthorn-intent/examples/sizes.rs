//! Measures the costs of configurations of increasing size: bytes of the inventory, time to check
//! and to build the catalog, memory of the catalog, and time of one reconcile round.
//!
//! Run with `cargo run --release -p hawthorn-intent --example sizes`.

use std::error::Error;
use std::fmt::Write as _;
use std::time::Duration;
use std::time::Instant;

use hawthorn_intent::catalog;
use hawthorn_intent::check::Inputs;
use hawthorn_intent::check::check;
use hawthorn_intent::reconcile::Options;
use hawthorn_intent::reconcile::ReconcileState;
use hawthorn_intent::reconcile::TargetObservation;
use hawthorn_intent::reconcile::reconcile;
use hawthorn_types::ConfigRevision;
use hawthorn_types::TargetPhase;

/// Fleet sizes in targets: the size of one site, and steps up to 73,000.
const SIZES: [u32; 4] = [120, 1_200, 12_000, 73_000];
const ZONES: u32 = 25;
const SHARDS_PER_SERVICE: u32 = 50;
const REPLICAS: u32 = 2;
/// Targets that one of 4,000 daemons observes of 73,000: those that it owns and the other replicas
/// of their shards.
const OBSERVED: usize = 40;
/// Number of catalogs built to warm up the allocator, and again to measure the memory of one.
const COPIES: u32 = 8;
const ROUNDS: u32 = 100;
const BYTES_PER_PAGE: u64 = 4096;

fn main() -> Result<(), Box<dyn Error>> {
    println!("targets,inventory_bytes,check_ms,build_ms,catalog_rss_kib,reconcile_us");
    for targets in SIZES {
        measure(targets)?;
    }
    Ok(())
}

fn measure(targets: u32) -> Result<(), Box<dyn Error>> {
    let inventory = inventory(targets);
    let started = Instant::now();
    let outcome = check(Inputs { settings: None, inventory: &inventory, rules: RULES });
    let checked = started.elapsed();
    let revision = ConfigRevision(1);
    let build = || catalog::build(&outcome.inventory, &outcome.rules, revision, Default::default());
    let started = Instant::now();
    let catalog = build()?;
    let built = started.elapsed();
    // The first copies reuse memory that was freed by the check.
    let mut copies = (0..COPIES).map(|_| build()).collect::<Result<Vec<_>, _>>()?;
    let before = resident_bytes()?;
    for _ in 0..COPIES {
        copies.push(build()?);
    }
    let catalog_bytes = resident_bytes()?.saturating_sub(before) / u64::from(COPIES);
    let observations: Vec<_> = catalog
        .targets()
        .take(OBSERVED)
        .map(|(target, _)| TargetObservation {
            target,
            phase: Some(TargetPhase::Ready),
            in_flight: 1,
            owned: true,
        })
        .collect();
    let mut state = ReconcileState::default();
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_secs(u64::from(round));
        reconcile(&catalog, &observations, &mut state, now, &Options::default());
    }
    let round = started.elapsed() / ROUNDS;
    let bytes = inventory.len();
    let (check_ms, build_ms) = (checked.as_millis(), built.as_millis());
    println!(
        "{targets},{bytes},{check_ms},{build_ms},{},{}",
        catalog_bytes / 1024,
        round.as_micros()
    );
    Ok(())
}

const RULES: &str = r#"
[[rule]]
name = "spares-off"
match = { spare = true }
wanted = "off"
reason = "spare hardware stays off"
[[rule]]
name = "saving"
match = { zone = "zone-3", service = "service-1*" }
wanted = "off"
replicas = 1
reason = "cooling"
"#;

fn inventory(targets: u32) -> String {
    let mut text = String::new();
    for zone in 0..ZONES {
        let _ =
            writeln!(text, "[[zone]]\nname = \"zone-{zone}\"\nregion = \"region-{}\"", zone / 3);
    }
    let services = targets.div_ceil(SHARDS_PER_SERVICE * REPLICAS);
    let shards = targets / (services * REPLICAS);
    for service in 0..services {
        let _ = writeln!(text, "[[service]]\nname = \"service-{service}\"\nshards = {shards}");
        let _ = writeln!(text, "slots = 2\nconnections = 25");
    }
    for index in 0..services * shards * REPLICAS {
        let (shard, replica) = (index / REPLICAS, index % REPLICAS);
        let (service, shard) = (shard / shards, shard % shards);
        let name = format!("service-{service}-{shard:02}-{replica}");
        let _ = writeln!(text, "[[target]]\nname = \"{name}\"\nasset = \"A-{index}\"");
        let _ = writeln!(text, "service = \"service-{service}\"");
        let _ = writeln!(text, "zone = \"zone-{}\"", (service + shard + replica) % ZONES);
        let address = format!("10.{}.{}.{}", index >> 16, index >> 8 & 255, index & 255);
        let _ = writeln!(text, "address = \"{address}:7000\"");
        let _ = writeln!(text, "shards = [\"service-{service}/{shard:02}\"]");
    }
    text
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).ok_or("no resident pages")?.parse()?;
    Ok(pages * BYTES_PER_PAGE)
}
