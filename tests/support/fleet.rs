//! A fleet of daemons with its stand-ins, and the history of what callers saw.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_daemon::request::status::FleetReport;
use hawthorn_standin::check;
use hawthorn_standin::deployment::DeploymentOptions;
use hawthorn_standin::deployment::StandinDeployment;
use hawthorn_standin::history::History;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::history::SentOnce;
use hawthorn_standin::history::SentQuery;
use hawthorn_standin::proxy::StandinNetwork;
use hawthorn_store::StoreClient;
use hawthorn_store::client;
use hawthorn_store::edit;
use hawthorn_store::edit::ProposedEdit;
use hawthorn_types::CallerAnswer;
use hawthorn_types::ConfigRevision;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use hawthorn_types::UrgencyClass;
use hyper::Method;
use hyper::StatusCode;

use super::TestResult;
use super::daemon::DaemonHost;
use super::daemon::DaemonSpec;
use super::network::ZoneNetwork;
use super::wire;

/// Limit for a state that a test waits for. Generous, because the machine may be busy with other
/// tests; no assertion depends on how much of it was used.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum sends of a request that keeps being rejected.
const MAX_SENDS: usize = 10;

/// Layout of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub deployment: DeploymentOptions,
    /// Number of daemons in each zone, in the order of the deployment's zones.
    pub hosts: Vec<usize>,
    /// Address at which daemons reach the platform, if not directly.
    pub platform: Option<SocketAddr>,
    /// Whether zones reach each other and the platform through links that can be cut.
    pub linked: bool,
    /// Lines appended to every daemon's settings.
    pub extra_settings: String,
}

impl FleetOptions {
    /// A scaled-down Dar Port deployment: 8 daemons in 3 zones.
    pub fn dar_port() -> Self {
        Self {
            deployment: DeploymentOptions::dar_port(),
            hosts: vec![3, 3, 2],
            platform: None,
            linked: false,
            extra_settings: "[stop]\ngrace = \"5s\"\n".into(),
        }
    }

    /// One daemon in each zone.
    pub fn small() -> Self {
        Self { hosts: vec![1, 1, 1], ..Self::dar_port() }
    }

    /// One daemon in each zone, with zones that can be partitioned.
    pub fn linked() -> Self {
        Self { linked: true, ..Self::small() }
    }

    /// A scaled-down Poland deployment: 8 daemons in 3 zones.
    pub fn poland() -> Self {
        Self { deployment: DeploymentOptions::poland(), ..Self::dar_port() }
    }
}

/// Daemons, stand-ins and recorded history of one test.
#[derive(Debug)]
pub struct TestFleet {
    pub deployment: StandinDeployment,
    pub daemons: Vec<DaemonHost>,
    pub history: History,
    pub options: FleetOptions,
    network: Option<ZoneNetwork>,
    directory: tempfile::TempDir,
    next_id: AtomicU64,
}

impl TestFleet {
    /// Starts the stand-ins, applies revision 1, starts all daemons and waits until each is ready
    /// and all shards are covered.
    pub async fn start(options: FleetOptions) -> TestResult<Self> {
        let fleet = Self::start_unready(options).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Like [`TestFleet::start`], without waiting for readiness.
    pub async fn start_unready(options: FleetOptions) -> TestResult<Self> {
        let history = options.deployment.history.clone();
        let deployment = StandinDeployment::start(options.deployment.clone()).await?;
        let network = match options.linked {
            true => Some(ZoneNetwork::start(&deployment).await?),
            false => None,
        };
        let mut fleet = Self {
            network,
            deployment,
            daemons: Vec::new(),
            history,
            options,
            directory: tempfile::tempdir()?,
            next_id: AtomicU64::new(0),
        };
        fleet.apply(0, "first", &fleet.deployment.rules_toml()).await?;
        fleet.start_all_daemons().await?;
        Ok(fleet)
    }

    async fn start_all_daemons(&mut self) -> TestResult {
        let zones = self.deployment.options().zones.clone();
        for (zone, count) in zones.iter().zip(self.options.hosts.clone()) {
            for number in 1..=count {
                let spec = self.spec(&format!("{zone}-{number}"), zone);
                self.start_linked(spec).await?;
            }
        }
        Ok(())
    }

    /// Settings of a new daemon, seeded with the first two daemons.
    pub fn spec(&self, host: &str, zone: &str) -> DaemonSpec {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        DaemonSpec {
            host: host.into(),
            zone: zone.into(),
            region: self.deployment.options().region.clone(),
            platform: self.options.platform.unwrap_or(self.deployment.platform.address()),
            seeds: self.daemons.iter().take(2).map(|daemon| daemon.advertised_address()).collect(),
            caller_address: any,
            peer_address: any,
            peer_advertised: None,
            extra_settings: self.options.extra_settings.clone(),
        }
    }

    /// Starts a daemon, behind a link if zones are linked.
    async fn start_linked(&mut self, spec: DaemonSpec) -> TestResult {
        let Some(network) = &mut self.network else { return self.start_daemon(spec) };
        let (spec, link) = network.link(spec).await?;
        self.start_daemon(spec)?;
        let daemon = self.daemons.last().ok_or("the daemon was started")?;
        link.set_upstream(daemon.peer);
        Ok(())
    }

    /// The links between zones.
    pub fn network(&self) -> TestResult<&StandinNetwork> {
        let network = self.network.as_ref().ok_or("this fleet has no links")?;
        Ok(&network.links)
    }

    /// Starts another daemon.
    pub fn start_daemon(&mut self, spec: DaemonSpec) -> TestResult {
        self.daemons.push(DaemonHost::start(spec, self.directory.path())?);
        Ok(())
    }

    /// Starts a daemon again at its previous addresses.
    pub fn restart(&mut self, index: usize) -> TestResult {
        let spec = self.daemons[index].restart_spec();
        self.daemons[index] = DaemonHost::start(spec, self.directory.path())?;
        Ok(())
    }

    /// Waits until every daemon is ready and sees the others, and every shard is covered.
    pub async fn wait_until_ready(&self) -> TestResult {
        let expected = self.daemons.len();
        for index in 0..expected {
            self.wait_for(index, "readiness", |report| {
                let live = report.hosts.iter().filter(|host| host.health == "alive").count();
                let serving = report.hosts.iter().filter(|host| host.phase == "serving").count();
                report.not_ready.is_none()
                    && report.uncovered.is_empty()
                    && live.min(serving) >= expected
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a daemon's status satisfies a condition.
    pub async fn wait_for(
        &self,
        index: usize,
        what: &str,
        condition: impl Fn(&FleetReport) -> bool,
    ) -> TestResult<FleetReport> {
        let started = Instant::now();
        loop {
            let report = self.status(index).await;
            if let Ok(report) = &report
                && condition(report)
            {
                return Ok(report.clone());
            }
            if started.elapsed() > WAIT_TIMEOUT {
                let log = self.daemons[index].log_tail();
                return Err(format!("timed out waiting for {what}: {report:#?}\n{log}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// A daemon's status; records its revision in the history.
    pub async fn status(&self, index: usize) -> TestResult<FleetReport> {
        let daemon = &self.daemons[index];
        let (_, text) = wire::get(daemon.caller, "/v1/status").await?;
        let report: FleetReport = serde_json::from_str(&text)?;
        // A process that has just started reports revision 0 and is not ready.
        let has_no_revision = report.configuration.revision == ConfigRevision(0);
        if !(has_no_revision && report.not_ready.is_some()) {
            self.history.record(HistoryEvent::ConfigSeen {
                daemon: daemon.spec.host.clone(),
                revision: report.configuration.revision,
            });
        }
        Ok(report)
    }

    /// Whether a daemon reports to the load balancer that it is ready.
    pub async fn is_ready(&self, index: usize) -> TestResult<bool> {
        Ok(wire::get(self.daemons[index].caller, "/ready").await?.0 == StatusCode::OK)
    }

    /// The value of a counter or gauge in a daemon's metrics, 0 if absent.
    pub async fn metric(&self, index: usize, name: &str, label: &str) -> TestResult<f64> {
        let (_, text) = wire::get(self.daemons[index].caller, "/metrics").await?;
        let line = text.lines().find(|line| line.starts_with(name) && line.contains(label));
        Ok(line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0))
    }

    /// A store client, as an operator uses it.
    pub fn store(&self) -> StoreClient {
        StoreClient::new(self.deployment.platform.address(), client::Options::default())
    }

    /// Applies a configuration with these rules.
    pub async fn apply(&self, base: u64, edit_id: &str, rules: &str) -> TestResult<edit::Outcome> {
        let proposed = self.proposed_edit(base, edit_id, rules);
        Ok(edit::edit(&self.store(), &proposed, &edit::Options::default()).await?)
    }

    /// Like [`TestFleet::apply`]; returns the number of store calls that the edit made.
    pub async fn apply_counted(&self, base: u64, edit_id: &str, rules: &str) -> TestResult<u64> {
        let store = self.store();
        let proposed = self.proposed_edit(base, edit_id, rules);
        edit::edit(&store, &proposed, &edit::Options::default()).await?;
        Ok(store.counts().sent())
    }

    fn proposed_edit(&self, base: u64, edit_id: &str, rules: &str) -> ProposedEdit {
        ProposedEdit {
            base,
            edit_id: edit_id.into(),
            author: "test".into(),
            changed_at: 0,
            inventory: self.deployment.inventory_toml(),
            rules: rules.into(),
        }
    }

    /// Waits until every daemon has applied at least this revision.
    pub async fn wait_for_revision(&self, revision: u64) -> TestResult {
        for index in 0..self.daemons.len() {
            self.wait_for(index, "the revision", |report| {
                report.configuration.revision >= ConfigRevision(revision)
            })
            .await?;
        }
        Ok(())
    }

    /// A query for all documents of a service.
    pub fn query(&self, service: &str) -> SearchQuery {
        SearchQuery {
            caller: self.deployment.options().callers[0].clone(),
            service: service.into(),
            text: String::new(),
            range: None,
            limit: 10,
            deadline_ms: 2_000,
            urgency: UrgencyClass::Urgent,
            request_id: None,
        }
    }

    /// Sends a query and records it in the history.
    ///
    /// # Errors
    ///
    /// The connection broke or the answer is malformed.
    pub async fn send(&self, index: usize, query: SearchQuery) -> TestResult<CallerAnswer> {
        let daemon = &self.daemons[index];
        let send = self.history.next_send();
        let front = daemon.spec.host.clone();
        let body = serde_json::to_vec(&query)?;
        self.history.record(HistoryEvent::QuerySent(SentQuery { send, front, query }));
        self.record_answer(send, wire::call(daemon.caller, Method::POST, "/v1/query", body).await)
    }

    /// A non-idempotent request with a new id that holds the current time.
    pub fn once(&self, service: &str, key: u32) -> OnceRequest {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        OnceRequest {
            caller: self.deployment.options().callers[0].clone(),
            service: service.into(),
            key,
            body: format!("confirm order {number}"),
            deadline_ms: 2_000,
            request_id: format!("{now}-{number}"),
        }
    }

    /// Sends a non-idempotent request and records it in the history.
    ///
    /// # Errors
    ///
    /// The connection broke or the answer is malformed.
    pub async fn send_once(&self, index: usize, request: OnceRequest) -> TestResult<CallerAnswer> {
        let daemon = &self.daemons[index];
        let send = self.history.next_send();
        let front = daemon.spec.host.clone();
        let body = serde_json::to_vec(&request)?;
        self.history.record(HistoryEvent::OnceSent(SentOnce { send, front, request }));
        self.record_answer(send, wire::call(daemon.caller, Method::POST, "/v1/request", body).await)
    }

    /// Sends a request until it is accepted, pausing between sends as `retry_after_ms` asks.
    pub async fn send_until_run(
        &self,
        index: usize,
        request: OnceRequest,
    ) -> TestResult<CallerAnswer> {
        for _ in 0..MAX_SENDS {
            let answer = self.send_once(index, request.clone()).await?;
            let Some(retry_after) = answer.retry_after_ms else { return Ok(answer) };
            tokio::time::sleep(Duration::from_millis(retry_after)).await;
        }
        Err("the request was rejected on every send".into())
    }

    fn record_answer(
        &self,
        send: u64,
        response: TestResult<(StatusCode, bytes::Bytes)>,
    ) -> TestResult<CallerAnswer> {
        let parsed = response.and_then(|(_, body)| Ok(serde_json::from_slice(&body)?));
        match parsed {
            Ok(answer) => {
                let answer: CallerAnswer = answer;
                let event = HistoryEvent::Answered { send, answer: answer.clone() };
                self.history.record(event);
                Ok(answer)
            }
            Err(error) => {
                self.history.record(HistoryEvent::ConnectionLost { send });
                Err(error)
            }
        }
    }

    /// Fails if the history violates an invariant.
    pub fn check(&self) -> TestResult {
        let options = check::Options {
            corpora: self.deployment.corpora.clone(),
            ..check::Options::default()
        };
        let violations = check::check(&self.history.records(), &options);
        if violations.is_empty() {
            return Ok(());
        }
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        Err(format!("violated invariants:\n{}", lines.join("\n")).into())
    }
}

/// Whether the answer covers every range of the query.
pub fn is_complete(answer: &CallerAnswer) -> bool {
    answer.coverage.as_ref().is_some_and(|coverage| coverage.missing.is_empty())
}
