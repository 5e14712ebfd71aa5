//! Versions of the configuration, and what each allows.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_standin::route::operator;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::history::RequestKey;

/// Names of the shards, each of which is a service.
pub const SHARDS: [&str; 4] = ["shard-a", "shard-b", "shard-c", "shard-d"];
/// Number of records of a merged answer.
pub const TOP_RECORDS: usize = 4;
/// Minimum share of the shards in a merged answer.
pub const MIN_SHARD_SHARE: f64 = 0.75;
/// Maximum number of targets that a request may run on, for each shard of a gathered one.
pub const MAX_ATTEMPTS: usize = 2;
/// Longest time that the operator wants a request kept waiting.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// That time on a route whose requests may wait long for one of few connections.
const CAPPED_TIMEOUT: Duration = Duration::from_secs(8);
/// Least number of connections that a target accepts.
pub const MIN_CONNECTIONS: usize = 16;
/// Number of connections that a target of the capped service accepts.
const CAPPED_CONNECTIONS: usize = 4;
/// Number of customers.
pub const CUSTOMERS: usize = 4;
/// Burst of a quota relative to its rate: more than a window's tolerance, so that a burst that is
/// granted twice shows.
pub const BURST_RATIO: f64 = 5.0;
/// Number of keys that a customer ever holds; a version holds one of them.
pub const KEYS: usize = 4;

/// The kinds of routes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    EnumIter,
    strum::Display,
    strum::IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Requests that run at most once, at one service.
    Once,
    /// Requests that may be repeated, at the same service; they need no key.
    Open,
    /// Requests that run at most once, at two services by weight.
    Weighted,
    /// Requests that run at most once, at a service that accepts few connections.
    Capped,
    /// Requests that may be repeated, at that service.
    CappedSafe,
    /// Requests that run at most once, on a route that versions move from service to service.
    Moving,
    /// Queries that are gathered over the shards.
    Gathered,
}

impl RouteKind {
    /// The path prefix of the route.
    pub fn prefix(self) -> String {
        format!("/{self}/")
    }

    /// The method of its requests.
    pub fn method(self) -> &'static str {
        if self.is_idempotent() { "GET" } else { "POST" }
    }

    /// The path of a request.
    pub fn path(self, request: RequestKey) -> String {
        format!("{}{}", self.prefix(), request.attempt_id())
    }

    /// The body of a request.
    pub fn body(self, request: RequestKey) -> String {
        if self.is_idempotent() {
            return String::new();
        }
        request.attempt_id().repeat(1 + request.0 as usize % 20)
    }

    /// Longest time that the operator wants its requests kept waiting.
    pub fn timeout(self) -> Duration {
        if self == Self::Capped { CAPPED_TIMEOUT } else { ROUTE_TIMEOUT }
    }

    /// Whether its requests may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Open | Self::CappedSafe | Self::Gathered)
    }

    /// Whether its requests need a key while a version has customers.
    pub fn needs_key(self) -> bool {
        self != Self::Open
    }
}

/// A quota of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// A customer of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoakCustomer {
    /// The key that the version holds, below [`KEYS`].
    pub key: usize,
    /// The quota; `None` if there is none.
    pub quota: Option<QuotaLimit>,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SoakVersion {
    /// Its number.
    pub number: u64,
    /// The services to which each route allows its requests.
    pub routes: BTreeMap<RouteKind, Vec<String>>,
    /// Weight of the first service of [`RouteKind::Weighted`]; that of the second is one.
    pub weight: u32,
    /// The customers by their number; an absent one has no keys.
    pub customers: BTreeMap<usize, SoakCustomer>,
    /// Number of connections that a target accepts, unless its service caps them harder.
    pub connections: usize,
    /// How many routes follow that no caller uses.
    pub padding: usize,
}

/// The name of a customer.
pub fn customer_name(customer: usize) -> String {
    format!("customer-{customer}")
}

/// A key of a customer.
pub fn api_key(customer: usize, key: usize) -> String {
    format!("key-{customer}-{key}")
}

/// The service to which the moving route goes after some moves.
pub fn moving_service(moves: usize) -> String {
    format!("moving-{moves}")
}

impl Default for SoakVersion {
    /// The first version: all routes and customers, of whom one has a quota.
    fn default() -> Self {
        let services = |kind| match kind {
            RouteKind::Once | RouteKind::Open => vec!["plain".to_owned()],
            RouteKind::Weighted => vec!["heavy".to_owned(), "light".to_owned()],
            RouteKind::Capped | RouteKind::CappedSafe => vec!["capped".to_owned()],
            RouteKind::Moving => vec![moving_service(0)],
            RouteKind::Gathered => SHARDS.map(str::to_owned).to_vec(),
        };
        let customer = |number: usize| {
            let limit = QuotaLimit { rate: 20.0, burst: 20.0 * BURST_RATIO };
            let quota = (number == 0).then_some(limit);
            (number, SoakCustomer { key: 0, quota })
        };
        Self {
            number: 1,
            routes: RouteKind::iter().map(|kind| (kind, services(kind))).collect(),
            weight: 3,
            connections: MIN_CONNECTIONS,
            customers: (0..CUSTOMERS).map(customer).collect(),
            padding: 0,
        }
    }
}

impl SoakVersion {
    /// The services to which a route allows its requests.
    pub fn services(&self, route: RouteKind) -> &[String] {
        self.routes.get(&route).map_or(&[], Vec::as_slice)
    }

    /// Whether a request of a route may run at a service.
    pub fn allows(&self, route: RouteKind, service: &str) -> bool {
        self.services(route).iter().any(|allowed| allowed == service)
    }

    /// The number of the customer that holds a key.
    pub fn holder(&self, key: &str) -> Option<usize> {
        let holds =
            |(number, customer): &(&usize, &SoakCustomer)| api_key(**number, customer.key) == key;
        self.customers.iter().find(holds).map(|(number, _)| *number)
    }

    /// All services that the version names.
    pub fn all_services(&self) -> Vec<String> {
        let mut services: Vec<String> = self.routes.values().flatten().cloned().collect();
        services.sort();
        services.dedup();
        services
    }

    /// Number of connections that a target of a service accepts.
    pub fn max_connections(&self, service: &str) -> usize {
        if service == "capped" { CAPPED_CONNECTIONS } else { self.connections }
    }

    /// The version as the operator writes it.
    pub fn document(&self) -> Value {
        let mut routes: Vec<Value> =
            self.routes.iter().map(|(kind, services)| self.route(*kind, services)).collect();
        let padding = |number| operator::single(&format!("/unused-{number}/"), "plain", "safe");
        routes.extend((0..self.padding).map(padding));
        let services: Vec<Value> = self
            .all_services()
            .iter()
            .map(|name| {
                json!({ "name": name, "healthPath": "/health",
                        "maxConnections": self.max_connections(name) })
            })
            .collect();
        let customers: Vec<Value> = self.customers.iter().map(customer_document).collect();
        let mut document =
            json!({ "configVersion": self.number, "routes": routes, "services": services });
        if !customers.is_empty() {
            document["tenants"] = json!(customers);
        }
        document
    }

    fn route(&self, kind: RouteKind, services: &[String]) -> Value {
        let class = if kind.is_idempotent() { "safe" } else { "unsafe" };
        let names: Vec<&str> = services.iter().map(String::as_str).collect();
        let mut route = match kind {
            RouteKind::Gathered => {
                operator::scatter_gather(&kind.prefix(), &names, MIN_SHARD_SHARE)
            }
            RouteKind::Weighted => {
                let mut route = operator::single(&kind.prefix(), names[0], class);
                if let Some(fields) = route.as_object_mut() {
                    fields.remove("service");
                }
                let weights = [self.weight, 1];
                let parts = names.iter().zip(weights);
                let parts: Vec<Value> = parts
                    .map(|(service, weight)| json!({ "service": service, "weight": weight }))
                    .collect();
                route["weightedTargets"] = json!(parts);
                route
            }
            _ => operator::single(&kind.prefix(), names[0], class),
        };
        route["timeoutMs"] = json!(kind.timeout().as_millis() as u64);
        route["maxAttempts"] = json!(MAX_ATTEMPTS);
        if !kind.needs_key() {
            route = operator::exempt(route);
        }
        route
    }
}

fn customer_document((number, customer): (&usize, &SoakCustomer)) -> Value {
    let (name, key) = (customer_name(*number), api_key(*number, customer.key));
    match customer.quota {
        Some(QuotaLimit { rate, burst }) => operator::limited_customer(&name, &key, rate, burst),
        None => operator::customer(&name, &[&key]),
    }
}
