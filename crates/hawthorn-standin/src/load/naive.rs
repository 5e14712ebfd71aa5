//! The baseline: a client that sends requests to targets directly, without any policy.
//!
//! It searches each shard at one random replica, without hedged requests or retries,
//! over a bounded connection pool in the order of arrival. It has the advantage of
//! saving the hop through an entry host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::future::join_all;
use hawthorn_types::AnswerCoverage;
use hawthorn_types::CallerAnswer;
use hawthorn_types::CallerOutcome;
use hawthorn_types::ConfigStamp;
use hawthorn_types::FailureReason;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::OnceRequest;
use hawthorn_types::RangeSet;
use hawthorn_types::RefusalReason;
use hawthorn_types::SearchQuery;
use hawthorn_types::ShardName;
use hawthorn_types::UnknownReason;
use hawthorn_types::target::RefusedAttempt;
use hawthorn_types::target::RunAnswer;
use hawthorn_types::target::ShardAnswer;
use hawthorn_types::target::ShardSearch;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetRun;
use hyper::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::timeout;

use super::pool::ConnectionPool;
use super::pool::Error;
use super::tier::QueryTier;
use super::tier::TierResponse;
use crate::deployment::StandinDeployment;
use crate::deployment::shard_name;

/// A target known to the naive client.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The listen address.
    pub address: SocketAddr,
    /// Maximum number of connections.
    pub connections: usize,
    /// The numbers of the shards it holds.
    pub shards: Vec<u32>,
}

/// A service known to the naive client.
#[derive(Clone, Debug, Default)]
pub struct KnownService {
    /// The number of shards.
    pub shards: u32,
    /// Its targets.
    pub targets: Vec<KnownTarget>,
}

/// The naive client.
#[derive(Debug)]
pub struct NaiveTier {
    version: IndexVersion,
    services: HashMap<String, Vec<Vec<ConnectionPool>>>,
    selection: Mutex<SelectionState>,
}

#[derive(Debug)]
struct SelectionState {
    rng: ChaCha8Rng,
    next: u64,
}

/// Result of the search of one shard.
enum ShardOutcome {
    Answered(ShardAnswer),
    Missing(MissingReason),
}

impl NaiveTier {
    /// A client that searches `version` of `services`.
    pub fn new(services: HashMap<String, KnownService>, version: IndexVersion, seed: u64) -> Self {
        let services =
            services.into_iter().map(|(name, known)| (name, replica_pools(&known))).collect();
        let selection = SelectionState { rng: ChaCha8Rng::seed_from_u64(seed), next: 0 };
        Self { version, services, selection: Mutex::new(selection) }
    }

    /// A client for all services of a running deployment.
    pub fn of_deployment(deployment: &StandinDeployment, seed: u64) -> Self {
        let mut services = HashMap::new();
        for service in &deployment.options().services {
            let targets = deployment
                .targets
                .iter()
                .filter(|target| target.service == service.name)
                .map(|target| KnownTarget {
                    address: target.standin.address(),
                    connections: service.connections as usize,
                    shards: target.shards.clone(),
                })
                .collect();
            let known = KnownService { shards: service.shards, targets };
            services.insert(service.name.clone(), known);
        }
        Self::new(services, deployment.options().version, seed)
    }

    /// Assigns a request number and selects a random replica of each shard.
    fn select_replicas(
        &self,
        shards: &[Vec<ConnectionPool>],
    ) -> (u64, Vec<Option<ConnectionPool>>) {
        let mut selection = self.selection.lock().expect("no holder of the lock panics");
        selection.next += 1;
        let replicas = shards
            .iter()
            .map(|replicas| match replicas.is_empty() {
                true => None,
                false => Some(replicas[selection.rng.random_range(0..replicas.len())].clone()),
            })
            .collect();
        (selection.next, replicas)
    }

    async fn search(&self, query: &SearchQuery) -> CallerAnswer {
        let start = Instant::now();
        let requested = query.range.unwrap_or(KeyRange::FULL);
        let Some(shards) = self.services.get(&query.service) else {
            let outcome = CallerOutcome::NotRun(RefusalReason::UnknownService);
            return answer(0, query.request_id.clone(), outcome, start);
        };
        let (number, replicas) = self.select_replicas(shards);
        let searches = replicas.into_iter().enumerate().map(|(shard, pool)| {
            let range = KeyRange::part(shard as u32, shards.len() as u32).intersect(requested);
            self.search_shard(query, number, shard as u32, range, pool)
        });
        let outcomes = join_all(searches).await;
        let mut merged = answer(number, query.request_id.clone(), CallerOutcome::Answer, start);
        merged.index_version = Some(self.version);
        merge(&mut merged, requested, query.limit as usize, outcomes);
        merged
    }

    async fn search_shard(
        &self,
        query: &SearchQuery,
        number: u64,
        shard: u32,
        range: KeyRange,
        pool: Option<ConnectionPool>,
    ) -> (KeyRange, ShardOutcome) {
        let Some(pool) = pool else {
            return (range, ShardOutcome::Missing(MissingReason::NoReplica));
        };
        let search = ShardSearch {
            request: format!("{number:032x}"),
            attempt: u64::from(shard),
            shard: ShardName(shard_name(&query.service, shard)),
            version: self.version,
            range,
            text: query.text.clone(),
            limit: query.limit,
            deadline_ms: query.deadline_ms,
        };
        let time_limit = Duration::from_millis(query.deadline_ms);
        let outcome = match timeout(time_limit, pool.post("/search", &search)).await {
            Err(_) => ShardOutcome::Missing(MissingReason::DeadlinePast),
            Ok(Err(_)) => ShardOutcome::Missing(MissingReason::Unreachable),
            Ok(Ok((status, bytes))) => shard_outcome(&search, status, &bytes),
        };
        (range, outcome)
    }

    async fn send_once(&self, request: &OnceRequest) -> TierResponse {
        let start = Instant::now();
        let id = Some(request.request_id.clone());
        let Some(shards) = self.services.get(&request.service) else {
            let outcome = CallerOutcome::NotRun(RefusalReason::UnknownService);
            return answered(answer(0, id, outcome, start));
        };
        let contains_key = |shard: &usize| {
            KeyRange::part(*shard as u32, shards.len() as u32).contains(request.key)
        };
        let (number, mut replicas) = self.select_replicas(shards);
        let pool = (0..shards.len()).find(contains_key).and_then(|shard| replicas[shard].take());
        let outcome = match pool {
            None => CallerOutcome::NotRun(RefusalReason::NoTarget),
            Some(pool) => run_on(&pool, number, request).await,
        };
        answered(answer(number, id, outcome, start))
    }
}

impl QueryTier for NaiveTier {
    fn fronts(&self) -> Vec<String> {
        vec!["naive".to_owned()]
    }

    fn query<'a>(&'a self, _front: usize, query: &'a SearchQuery) -> BoxFuture<'a, TierResponse> {
        Box::pin(async { answered(self.search(query).await) })
    }

    fn once<'a>(&'a self, _front: usize, request: &'a OnceRequest) -> BoxFuture<'a, TierResponse> {
        Box::pin(self.send_once(request))
    }
}

fn answered(answer: CallerAnswer) -> TierResponse {
    TierResponse::Answered(Box::new(answer))
}

fn replica_pools(known: &KnownService) -> Vec<Vec<ConnectionPool>> {
    let mut shards = vec![Vec::new(); known.shards as usize];
    for target in &known.targets {
        let pool = ConnectionPool::new(target.address, target.connections);
        for &shard in &target.shards {
            if let Some(replicas) = shards.get_mut(shard as usize) {
                replicas.push(pool.clone());
            }
        }
    }
    shards
}

fn shard_outcome(search: &ShardSearch, status: StatusCode, bytes: &[u8]) -> ShardOutcome {
    if status == StatusCode::OK {
        return match serde_json::from_slice::<ShardAnswer>(bytes) {
            Ok(found) if found.request == search.request && found.attempt == search.attempt => {
                ShardOutcome::Answered(found)
            }
            _ => ShardOutcome::Missing(MissingReason::BadAnswer),
        };
    }
    let refused = serde_json::from_slice::<RefusedAttempt>(bytes).ok();
    ShardOutcome::Missing(match refused.map(|refused| refused.refusal) {
        Some(TargetRefusal::Shedding) => MissingReason::Shedding,
        Some(TargetRefusal::VersionRetired) => MissingReason::VersionMissing,
        Some(TargetRefusal::RangeMoved) => MissingReason::Repartitioned,
        Some(TargetRefusal::Cancelled) => MissingReason::DeadlinePast,
        Some(TargetRefusal::Cold | TargetRefusal::Draining) => MissingReason::Unreachable,
        Some(TargetRefusal::BadRequest) | None => MissingReason::BadAnswer,
    })
}

fn merge(
    merged: &mut CallerAnswer,
    requested: KeyRange,
    limit: usize,
    outcomes: Vec<(KeyRange, ShardOutcome)>,
) {
    let mut covered = RangeSet::default();
    let mut missing = Vec::new();
    for (range, outcome) in outcomes {
        let (searched, reason) = match outcome {
            ShardOutcome::Answered(found) => {
                merged.total += found.total;
                merged.matches.extend(found.matches);
                (found.searched, MissingReason::Repartitioned)
            }
            ShardOutcome::Missing(reason) => (RangeSet::default(), reason),
        };
        let uncovered = RangeSet::from(range).difference(&searched);
        missing.extend(uncovered.ranges().iter().map(|&range| MissingRange { range, reason }));
        covered.extend(&searched);
    }
    merged.matches.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.key.cmp(&b.key)));
    merged.matches.truncate(limit);
    let fraction = f64::from(covered.len()) / f64::from(requested.len().max(1));
    merged.coverage =
        Some(AnswerCoverage { fraction, covered: covered.ranges().to_vec(), missing });
}

async fn run_on(pool: &ConnectionPool, number: u64, request: &OnceRequest) -> CallerOutcome {
    let run = TargetRun {
        request: format!("{number:032x}"),
        attempt: 0,
        caller: request.caller.clone(),
        caller_request: request.request_id.clone(),
        key: request.key,
        body: request.body.clone(),
        deadline_ms: request.deadline_ms,
    };
    let time_limit = Duration::from_millis(request.deadline_ms);
    match timeout(time_limit, pool.post("/run", &run)).await {
        Err(_) => CallerOutcome::Unknown(UnknownReason::DeadlinePast),
        Ok(Err(Error::ConnectionLost)) => CallerOutcome::Unknown(UnknownReason::ConnectionLost),
        Ok(Err(Error::Connect(_) | Error::Closed)) => {
            CallerOutcome::NotRun(RefusalReason::NoTarget)
        }
        Ok(Ok((StatusCode::OK, bytes))) => match serde_json::from_slice::<RunAnswer>(&bytes) {
            Ok(_) => CallerOutcome::Answer,
            Err(_) => CallerOutcome::Failed(FailureReason::BadAnswer),
        },
        Ok(Ok((StatusCode::INTERNAL_SERVER_ERROR, _))) => {
            CallerOutcome::Failed(FailureReason::TargetError)
        }
        Ok(Ok(_)) => CallerOutcome::NotRun(RefusalReason::TargetRefused),
    }
}

fn answer(
    number: u64,
    request_id: Option<String>,
    outcome: CallerOutcome,
    start: Instant,
) -> CallerAnswer {
    CallerAnswer {
        request: format!("{number:032x}"),
        request_id,
        outcome,
        retry_after_ms: None,
        index_version: None,
        coverage: None,
        configuration: ConfigStamp::default(),
        total: 0,
        matches: Vec::new(),
        result: None,
        elapsed_ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
    }
}
