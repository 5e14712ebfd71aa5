//! What operators configure for routed requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// One version of the operators' configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteDocument {
    /// Grows with each edit, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services that routes name.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// One route: which requests, and where they go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Operators' name of the route.
    pub name: String,
    /// Host that the caller asks for, without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth all it can be to the caller.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most targets that may run one request, for each shard.
    pub max_attempts: usize,
    /// Regions in which its requests may be run; `None` if anywhere.
    pub homes: Option<Vec<String>>,
    /// Where requests go.
    pub destination: RouteDestination,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// To one target of the service.
    Single(String),
    /// To one target of one of the services, in proportion to the weights.
    Weighted(Vec<WeightedService>),
    /// To one target of each shard; the answers are merged.
    Gather(GatherRule),
}

/// One part of a weighted route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share of the requests, relative to the other parts.
    pub weight: f64,
}

/// How a query over many shards is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The services that hold the shards.
    pub shards: Vec<String>,
    /// Records in an answer, at the most.
    pub top: usize,
    /// Share of the shards without which there is no answer, 0 to 1.
    pub min_share: f64,
}

/// What operators say of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Path of a target's health page.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: usize,
    /// How long a target stays cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold target tolerates; `None` if it is not limited. 0 is
    /// no rate.
    pub cold_rate: Option<f64>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Time that a connection may lie idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// In force until operators say otherwise; wide enough for any usual caller.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A target as it registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name of this incarnation of the target.
    pub id: Rc<str>,
    /// The service whose requests it runs.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Requests it works on at a time.
    pub slots: u32,
    /// It finishes what it has and leaves.
    pub draining: bool,
    /// How much longer it stays slow after its start.
    pub cold: Duration,
    /// When it started, by its own time of day in Unix milliseconds, where it tells so.
    pub born: Option<u64>,
}
