//! Entries that operators and targets write to the platform's store.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use super::RouteStore;
use super::RouteTarget;

/// Key of the configuration.
const CONFIGURATION_KEY: &str = "op/config";

/// The host name that all routes match.
pub const HOST: &str = "shop.example";

/// A route to one service. `kind` determines whether requests may run more than once.
pub fn single(prefix: &str, service: &str, kind: &str) -> Value {
    json!({ "name": format!("r{prefix}"), "host": HOST, "prefix": prefix,
            "routeType": kind, "timeoutMs": 1500, "targetLatencyMs": 400, "priority": 1,
            "service": service, "maxAttempts": 2 })
}

/// A route that scatters requests to shards and gathers their answers.
pub fn scatter_gather(prefix: &str, shards: &[&str], min_fraction: f64) -> Value {
    json!({ "name": format!("r{prefix}"), "host": HOST, "prefix": prefix,
            "routeType": "safe", "timeoutMs": 1500, "targetLatencyMs": 400, "priority": 1,
            "fanoutServices": shards, "maxAttempts": 2, "topK": 4,
            "minShardFraction": min_fraction })
}

/// Restricts a route to requests from some regions.
pub fn with_allowed_regions(mut route: Value, regions: &[&str]) -> Value {
    route["allowedRegions"] = json!(regions);
    route
}

/// Makes a route need no key.
pub fn exempt(mut route: Value) -> Value {
    route["authExempt"] = json!(true);
    route
}

/// Writes a version of the configuration.
pub fn configure(store: &RouteStore, version: u64, routes: &[Value], services: &[&str]) {
    write(store, version, routes, services, None);
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct LimitValues {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a head to its last, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for LimitValues {
    fn default() -> Self {
        Self { head_bytes: 16_384, head_ms: 3000, idle_ms: 15_000 }
    }
}

/// Writes a version of the configuration with limits on what callers may send.
pub fn configure_limits(
    store: &RouteStore,
    version: u64,
    routes: &[Value],
    services: &[&str],
    limits: &LimitValues,
) {
    let limits = json!({ "maxHeaderBytes": limits.head_bytes, "maxBodyBytes": 262_144,
                         "headerTimeoutMs": limits.head_ms, "idleTimeoutMs": limits.idle_ms });
    write(store, version, routes, services, Some(limits));
}

/// Writes a version of the configuration with a time limit for reading headers.
pub fn configure_header_timeout(
    store: &RouteStore,
    version: u64,
    routes: &[Value],
    services: &[&str],
    header_timeout_ms: u64,
) {
    let limits = LimitValues { head_ms: header_timeout_ms, ..LimitValues::default() };
    configure_limits(store, version, routes, services, &limits);
}

fn write(
    store: &RouteStore,
    version: u64,
    routes: &[Value],
    services: &[&str],
    limits: Option<Value>,
) {
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({ "name": name, "healthPath": "/health", "maxConnections": 26 }))
        .collect();
    let mut document = json!({ "configVersion": version, "routes": routes, "services": services });
    if let Some(limits) = limits {
        document["limits"] = limits;
    }
    store.put(CONFIGURATION_KEY, document.to_string().as_bytes());
}

/// Evacuates a zone: its targets receive no more requests.
pub fn evacuate(store: &RouteStore, zone: &str) {
    put_raw_evacuation(store, zone, b"{}");
}

/// Ends the evacuation of a zone.
pub fn end_evacuation(store: &RouteStore, zone: &str) {
    store.delete(&evacuation_key(zone));
}

/// Writes raw bytes as the evacuation entry of a zone.
pub fn put_raw_evacuation(store: &RouteStore, zone: &str, value: &[u8]) {
    store.put(&evacuation_key(zone), value);
}

fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// Registers a target.
pub fn register(store: &RouteStore, id: &str, target: &RouteTarget, zone: &str) {
    store.put(&entry_key(id), &target.entry(zone, "ready"));
}

/// Registers a target that is cold for another `cold_ms` milliseconds.
pub fn register_cold(store: &RouteStore, id: &str, target: &RouteTarget, zone: &str, cold_ms: f64) {
    let mut entry: Value =
        serde_json::from_slice(&target.entry(zone, "ready")).expect("an entry is JSON");
    entry["coldRemainingMs"] = json!(cold_ms);
    store.put(&entry_key(id), entry.to_string().as_bytes());
}

/// Writes a version of the configuration that limits cold targets to `per_second`
/// requests per second.
pub fn configure_cold_rate(
    store: &RouteStore,
    version: u64,
    routes: &[Value],
    services: &[&str],
    per_second: f64,
) {
    let services: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({ "name": name, "healthPath": "/health", "maxConnections": 26,
                    "coldStartS": 3.0, "coldPerS": per_second })
        })
        .collect();
    let document = json!({ "configVersion": version, "routes": routes, "services": services });
    store.put(CONFIGURATION_KEY, document.to_string().as_bytes());
}

/// A customer with its keys.
pub fn customer(name: &str, keys: &[&str]) -> Value {
    json!({ "name": name, "apiKeys": keys })
}

/// A customer with one key and a quota.
pub fn limited_customer(name: &str, key: &str, rate: f64, burst: f64) -> Value {
    json!({ "name": name, "apiKeys": [key], "ratePerS": rate, "burstSize": burst })
}

/// Writes the holder of a slot for quotas.
pub fn put_quota_holder(store: &RouteStore, slot: u32, peer: SocketAddr) {
    let record = json!({ "host": "other", "zone": "other", "peer": peer, "instance": 1, "era": 0,
                         "changes": 0, "released": false });
    store.put(&format!("quota/{slot}"), record.to_string().as_bytes());
}

/// Writes a version of the configuration with customers.
pub fn configure_customers(
    store: &RouteStore,
    version: u64,
    routes: &[Value],
    services: &[&str],
    customers: &[Value],
) {
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({ "name": name, "healthPath": "/health", "maxConnections": 26 }))
        .collect();
    let document = json!({ "configVersion": version, "routes": routes, "services": services,
                           "tenants": customers });
    store.put(CONFIGURATION_KEY, document.to_string().as_bytes());
}

/// Marks a target as draining.
pub fn drain(store: &RouteStore, id: &str, target: &RouteTarget, zone: &str) {
    store.put(&entry_key(id), &target.entry(zone, "draining"));
}

/// Deletes the entry of a target.
pub fn remove(store: &RouteStore, id: &str) {
    store.delete(&entry_key(id));
}

/// Writes raw bytes as the entry of a target.
pub fn put_raw_entry(store: &RouteStore, id: &str, value: &[u8]) {
    store.put(&entry_key(id), value);
}

/// Writes raw bytes as the configuration.
pub fn put_raw_configuration(store: &RouteStore, value: &[u8]) {
    store.put(CONFIGURATION_KEY, value);
}

/// The entry of a target with two slots; `state` is `ready` or `draining`.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    let entry = json!({
        "service": service, "address": address, "zone": zone,
        "configVersion": "v1", "concurrency": 2, "state": state,
        "coldRemainingMs": 0, "sequence": 1
    });
    entry.to_string()
}

/// The key of the entry of a target.
pub fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}
