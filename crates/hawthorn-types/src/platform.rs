//! The API between the tier and the platform, JSON over HTTP/1.1.
//!
//! | call | answer |
//! |---|---|
//! | `GET /kv/KEY` | 200 [`StoreEntry`], 404 |
//! | `PUT /kv/KEY` with [`StorePut`] | 200 [`StoreEntry`] (value empty), 409 [`StoreConflict`] |
//! | `DELETE /kv/KEY?expect=REVISION` | 200, 404, 409 |
//! | `GET /list/PREFIX` | 200 `[StoreEntry]` (values empty) |
//! | `GET /watch/KEY?after=REVISION&wait_ms=N` | 200 [`StoreEntry`] once newer, 204 after the wait; counts as one call |
//! | `POST /leases` with [`LeaseGrant`] | 200 [`LeaseAnswer`] |
//! | `POST /leases/ID/renew` | 200 [`LeaseAnswer`], 404 expired |
//! | `GET /hosts` | 200 `[HostEntry]`, may be stale |
//!
//! Every call may be answered 429 (rate limit exceeded; not run) or 503 (outage; may
//! have run). A key with a lease is deleted when the lease expires.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The store's revision of the key; increases with each write.
    pub revision: u64,
    /// The value.
    #[serde(default)]
    pub value: String,
}

/// Body of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePut {
    /// The revision that the key must have; 0 when it must be absent.
    pub expect: u64,
    /// The new value, up to a megabyte.
    pub value: String,
    /// The lease to which the key is bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Answer to a write that expected another revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreConflict {
    /// The revision found; 0 when the key is absent.
    pub found: u64,
}

/// Body of a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Time to live without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    pub lease: u64,
    /// Remaining time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// The phase of a host in the platform's list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostPhase {
    /// Believed to be running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// One host of the platform's list, which may be stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// `ip:port` of the tier's peer interface.
    pub peer: std::net::SocketAddr,
    /// The phase.
    pub phase: HostPhase,
}
