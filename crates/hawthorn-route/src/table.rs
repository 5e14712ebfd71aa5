//! One version of the routes, made for look-ups.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use crate::document::RouteDestination;
use crate::document::RouteDocument;
use crate::document::RouteRule;
use crate::document::ServiceRule;

/// A version of the routes. A request keeps the one it began with.
#[derive(Debug)]
pub struct RouteTable {
    document: RouteDocument,
    /// Of each host, its routes, the longest prefix first.
    by_host: HashMap<String, Vec<Rc<RouteRule>>>,
    by_name: HashMap<String, Rc<RouteRule>>,
    /// Rank of the most urgent query over shards.
    first_rank: Option<u32>,
    services: HashMap<String, ServiceRule>,
    /// Services that hold a shard of some route.
    shards: HashSet<String>,
}

impl RouteTable {
    /// Sorts the document's routes for look-ups.
    pub fn new(document: RouteDocument) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteRule>>> = HashMap::new();
        let mut by_name = HashMap::new();
        for route in &document.routes {
            let host = route.host.to_ascii_lowercase();
            let rule = Rc::new(route.clone());
            by_host.entry(host).or_default().push(Rc::clone(&rule));
            by_name.entry(route.name.clone()).or_insert(rule);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services =
            document.services.iter().map(|rule| (rule.name.clone(), rule.clone())).collect();
        let queries = document.routes.iter().filter_map(|route| match &route.destination {
            RouteDestination::Gather(rule) => Some((route, rule)),
            RouteDestination::Single(_) | RouteDestination::Weighted(_) => None,
        });
        let first_rank = queries.clone().map(|(route, _)| route.priority).min();
        let shards = queries.flat_map(|(_, rule)| rule.shards.iter().cloned()).collect();
        Self { document, by_host, by_name, first_rank, services, shards }
    }

    /// Number of the version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// What operators wrote.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// The route of a request: of the host's routes, the longest whose prefix begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The route that operators call so.
    pub fn named(&self, name: &str) -> Option<&Rc<RouteRule>> {
        self.by_name.get(name)
    }

    /// No query over shards is more urgent than the route's.
    pub fn is_urgent(&self, route: &RouteRule) -> bool {
        self.first_rank.is_none_or(|first| route.priority <= first)
    }

    /// Whether a service holds a shard of some route.
    pub fn is_shard(&self, service: &str) -> bool {
        self.shards.contains(service)
    }

    /// What operators say of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}

/// A host without its port: `shop.example:8080` is `shop.example`.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
