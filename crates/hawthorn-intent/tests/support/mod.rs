//! Configurations shared by the tests: the example configurations and small fleets.
#![allow(dead_code)]

use std::error::Error;
use std::fmt::Write as _;

use hawthorn_intent::check::Inputs;
use hawthorn_intent::check::Outcome;
use hawthorn_intent::check::check;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

pub type TestResult = Result<(), Box<dyn Error>>;

/// Files of an example configuration.
#[derive(Clone, Copy)]
pub struct ExampleFiles {
    pub name: &'static str,
    pub daemon: &'static str,
    pub inventory: &'static str,
    pub rules: &'static str,
    pub register: &'static str,
}

pub const DAR_PORT: ExampleFiles = ExampleFiles {
    name: "dar-port",
    daemon: include_str!("../../../../examples/dar-port/daemon.toml"),
    inventory: include_str!("../../../../examples/dar-port/inventory.toml"),
    rules: include_str!("../../../../examples/dar-port/rules.toml"),
    register: include_str!("../../../../examples/dar-port/asset-register.csv"),
};

pub const POLAND: ExampleFiles = ExampleFiles {
    name: "poland",
    daemon: include_str!("../../../../examples/poland/daemon.toml"),
    inventory: include_str!("../../../../examples/poland/inventory.toml"),
    rules: include_str!("../../../../examples/poland/rules.toml"),
    register: include_str!("../../../../examples/poland/asset-register.csv"),
};

pub fn check_example(example: ExampleFiles) -> Outcome {
    let ExampleFiles { daemon, inventory, rules, .. } = example;
    check(Inputs { settings: Some(daemon), inventory, rules })
}

/// A proptest runner that generates the same cases in every run.
pub fn fixed_runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A target of the service `desk` in a small fleet.
#[derive(Clone, Copy)]
pub struct SmallTarget {
    pub name: &'static str,
    pub zone: &'static str,
    pub shards: &'static [&'static str],
    pub spare: bool,
}

pub const fn small(
    name: &'static str,
    zone: &'static str,
    shards: &'static [&'static str],
) -> SmallTarget {
    SmallTarget { name, zone, shards, spare: false }
}

pub const fn spare(
    name: &'static str,
    zone: &'static str,
    shards: &'static [&'static str],
) -> SmallTarget {
    SmallTarget { name, zone, shards, spare: true }
}

/// Inventory of a small fleet with zones `east` and `west` and service `desk`.
pub fn small_inventory(shards: u32, targets: &[SmallTarget]) -> String {
    let mut text = String::new();
    for zone in ["east", "west"] {
        let _ = writeln!(text, "[[zone]]\nname = \"{zone}\"\nregion = \"coast\"");
    }
    let _ = writeln!(text, "[[service]]\nname = \"desk\"\nshards = {shards}");
    let _ = writeln!(text, "slots = 2\nconnections = 25");
    for (index, target) in targets.iter().enumerate() {
        let SmallTarget { name, zone, shards, spare } = target;
        let _ = writeln!(text, "[[target]]\nname = \"{name}\"\nasset = \"A-{name}\"");
        let _ = writeln!(text, "service = \"desk\"\nzone = \"{zone}\"\nspare = {spare}");
        let _ = writeln!(text, "address = \"10.0.0.{}:7000\"\nshards = {shards:?}", index + 1);
    }
    text
}

/// A rule in TOML.
pub fn rule(name: &str, pattern: &str, wanted: &str, more: &str) -> String {
    format!(
        "[[rule]]\nname = \"{name}\"\nmatch = {{ {pattern} }}\nwanted = \"{wanted}\"\n\
         reason = \"because {name}\"\n{more}\n"
    )
}
