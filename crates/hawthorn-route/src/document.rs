//! The operators' configuration of routes, services and caller limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::customer::CustomerRule;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteDocument {
    /// Version number. It grows with each edit, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services that routes refer to.
    pub services: Vec<ServiceRule>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Customers, whose requests need a key. Without any, requests need none.
    pub customers: Vec<CustomerRule>,
}

/// One route: the requests it matches and their destination.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Requested host, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency within which an answer has its full value to the caller. The instant at which
    /// it has passed is the request's soft deadline.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets that may execute one request, per shard.
    pub max_attempts: usize,
    /// Regions in which requests may be executed; `None` means all regions.
    pub homes: Option<Vec<String>>,
    /// Whether requests need no key although there are customers.
    pub exempt: bool,
    /// Destination of the requests.
    pub destination: RouteDestination,
}

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteDestination {
    /// One target of the service.
    Single(String),
    /// One target of one of the services, in proportion to the weights.
    Weighted(Vec<WeightedService>),
    /// One target of each shard; the answers are merged.
    Gather(GatherRule),
}

/// One service of a weighted route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other services of the route.
    pub weight: f64,
}

/// How a scatter-gather query is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRule {
    /// The services that hold the shards.
    pub shards: Vec<String>,
    /// Maximum number of records in an answer.
    pub top: usize,
    /// Minimum share of the shards that an answer must cover, 0 to 1.
    pub min_share: f64,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Path of the health check on its targets.
    pub health_path: String,
    /// Maximum number of connections that one target accepts, over all callers.
    pub max_connections: usize,
    /// How long a target stays cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold target tolerates; `None` means no limit. 0 is invalid.
    pub cold_rate: Option<f64>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits that apply until operators configure others. Ordinary callers stay below
    /// them.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A target's registration.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Identifies this incarnation of the target.
    pub id: Rc<str>,
    /// The service whose requests it executes.
    pub service: Rc<str>,
    /// Listening address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Rc<str>,
    /// Number of requests it executes concurrently.
    pub slots: u32,
    /// Whether it is draining: it completes its requests and shuts down.
    pub draining: bool,
    /// Remaining time for which it is cold after its start.
    pub cold: Duration,
    /// Start time by the target's own clock, in Unix milliseconds, if it reports one.
    pub born: Option<u64>,
}
