//! One version of the routes, indexed for lookups.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use crate::customer::CustomerFault;
use crate::customer::CustomerTable;
use crate::document::RouteDestination;
use crate::document::RouteDocument;
use crate::document::RouteRule;
use crate::document::ServiceRule;

/// A version of the routes. A request uses the version with which it started.
#[derive(Debug)]
pub struct RouteTable {
    document: RouteDocument,
    /// Routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Rc<RouteRule>>>,
    by_name: HashMap<String, Rc<RouteRule>>,
    /// Priority of the most urgent scatter-gather queries: the customer's, otherwise the route's.
    top_priority: Option<u32>,
    services: HashMap<String, ServiceRule>,
    /// Services that hold a shard of some route.
    shards: HashSet<String>,
    customers: CustomerTable,
}

impl RouteTable {
    /// Indexes the document's routes, without a previous version.
    pub fn new(document: RouteDocument) -> Self {
        Self::following(document, None).0
    }

    /// Indexes the document's routes and customers. Invalid parts of the customers keep their
    /// state of the previous version; each is returned as a fault.
    pub fn following(
        document: RouteDocument,
        previous: Option<&Self>,
    ) -> (Self, Vec<CustomerFault>) {
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
        let previous = previous.map(Self::customers);
        let (customers, faults) = CustomerTable::build(&document.customers, previous);
        let priority = |route: &RouteRule| {
            let needs_key = !customers.is_empty() && !route.exempt;
            if needs_key { customers.top_priority(route.priority) } else { Some(route.priority) }
        };
        let top_priority = queries.clone().filter_map(|(route, _)| priority(route)).min();
        let shards = queries.flat_map(|(_, rule)| rule.shards.iter().cloned()).collect();
        let table = Self { document, by_host, by_name, top_priority, services, shards, customers };
        (table, faults)
    }

    /// Number of the version.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// The customers of the version.
    pub fn customers(&self) -> &CustomerTable {
        &self.customers
    }

    /// The configuration document.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// The route of a request: the one of its host with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The route with a name.
    pub fn named(&self, name: &str) -> Option<&Rc<RouteRule>> {
        self.by_name.get(name)
    }

    /// Whether no scatter-gather queries are more urgent than those with this priority.
    pub fn is_urgent(&self, priority: u32) -> bool {
        self.top_priority.is_none_or(|top| priority <= top)
    }

    /// Whether a service holds a shard of some route.
    pub fn is_shard(&self, service: &str) -> bool {
        self.shards.contains(service)
    }

    /// The configuration of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}

/// Strips the port: `shop.example:8080` becomes `shop.example`.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
