//! A deployment matches its inventory.

mod support;

use std::collections::BTreeSet;

use hawthorn_standin::Corpus;
use hawthorn_standin::DeploymentOptions;
use hawthorn_standin::StandinDeployment;
use hawthorn_standin::corpus::CorpusFlavour;
use hawthorn_standin::corpus::CorpusOptions;
use hawthorn_standin::deployment::Error;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::RangeSet;
use hawthorn_types::target::TargetState;
use strum::IntoEnumIterator;
use support::Client;
use support::TestResult;

#[tokio::test]
async fn every_target_answers_at_its_address() -> TestResult {
    for options in [DeploymentOptions::dar_port(), DeploymentOptions::poland()] {
        let deployment = StandinDeployment::start(options).await?;
        let inventory = deployment.inventory_toml();
        for target in &deployment.targets {
            let address = target.standin.address();
            assert!(inventory.contains(&format!("address = \"{address}\"")));
            let state = Client::connect(address).await?.get("/state").await?;
            assert_eq!(state.json::<TargetState>()?.target, target.name);
        }
    }
    Ok(())
}

#[tokio::test]
async fn replicas_cover_every_key_in_different_zones() -> TestResult {
    let deployment = StandinDeployment::start(DeploymentOptions::dar_port()).await?;
    for service in &deployment.options().services {
        let mut covered = RangeSet::default();
        for shard in 0..service.shards {
            covered.insert(KeyRange::part(shard, service.shards));
            let zones: BTreeSet<&str> = deployment
                .targets
                .iter()
                .filter(|target| target.service == service.name && target.shards.contains(&shard))
                .map(|target| target.zone.as_str())
                .collect();
            assert_eq!(zones.len(), service.replicas as usize, "{} {shard}", service.name);
        }
        assert_eq!(covered, RangeSet::from(KeyRange::FULL));
    }
    Ok(())
}

#[test]
fn every_query_text_has_matches() {
    let all_keys = RangeSet::from(KeyRange::FULL);
    for flavour in CorpusFlavour::iter() {
        let options = CorpusOptions { flavour, ..CorpusOptions::default() };
        let corpus = Corpus::generate("any", &options);
        for text in flavour.query_texts() {
            let found = corpus.search(IndexVersion(1), &all_keys, &text, 0);
            assert!(found.total > 0, "{flavour}: {text}");
        }
    }
}

#[tokio::test]
async fn the_inventory_has_the_agreed_format() -> TestResult {
    let mut options = DeploymentOptions::dar_port();
    options.services.truncate(1);
    options.services[0].shards = 1;
    options.services[0].replicas = 1;
    options.zones.truncate(1);
    let deployment = StandinDeployment::start(options).await?;
    let address = deployment.targets[0].standin.address().to_string();
    let inventory = deployment.inventory_toml().replace(&address, "ADDRESS");
    insta::assert_snapshot!(inventory, @r#"
    [[zone]]
    name = "kurasini"
    region = "dar-port"

    [[service]]
    name = "agent-desk"
    shards = 1
    slots = 2
    connections = 25
    connect_cost = "6ms"

    [[target]]
    name = "agent-desk-00"
    asset = "HW-0001"
    service = "agent-desk"
    zone = "kurasini"
    address = "ADDRESS"
    shards = ["agent-desk/00"]
    "#);
    insta::assert_snapshot!(deployment.rules_toml(), @r#"
    [[caller]]
    name = "bunker-desk"

    [[caller]]
    name = "ship-agents"

    [[caller]]
    name = "suppliers"
    "#);
    Ok(())
}

#[tokio::test]
async fn a_deployment_without_a_zone_is_rejected() {
    let options = DeploymentOptions { zones: Vec::new(), ..DeploymentOptions::dar_port() };
    let result = StandinDeployment::start(options).await;
    assert!(matches!(result, Err(Error::NoZone)));
}
