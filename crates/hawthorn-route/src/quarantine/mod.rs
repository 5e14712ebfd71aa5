//! Quarantine of requests that crash targets.
//!
//! Handles a request that crashes every target that runs it, and is resent under new ids to any
//! host. Each fan-out crashes one replica of each shard, and extra attempts crash the others, so
//! that unrelated requests find no target.
//!
//! [`decide`] is called before every attempt, first or extra, for a caller or a peer.
//! It combines the records shared by the fleet ([`QuarantineTable`]) with the outcomes
//! of the request's own attempts ([`Exposure`]).

mod exposure;
pub mod gossip;
mod record;
mod table;

use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationSeconds;
use serde_with::serde_as;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::fingerprint;
use crate::fingerprint::RequestFingerprint;

pub use exposure::AttemptOutcome;
pub use exposure::Exposure;
pub use table::QuarantineTable;

/// Settings of the quarantine.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether the quarantine is enabled.
    pub on: bool,
    /// The number of strikes after which a request is refused. A strike is a round of
    /// attempts with crashes and no answer.
    pub crashes: u32,
    /// The duration of a request's first refusal; it doubles with each later one.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "term_s")]
    pub term: Duration,
    /// Whether callers are refused when several of their requests crash targets.
    pub callers: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true, crashes: 3, term: Duration::from_secs(600), callers: true }
    }
}

/// An entity for which strikes are counted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Subject {
    /// All requests with the same content.
    #[strum(to_string = "request:{0}")]
    Request(RequestFingerprint),
    /// One caller's requests on one route.
    #[strum(to_string = "caller:{0:016x}")]
    Caller(u64),
    /// All requests on one route.
    #[strum(to_string = "route:{0:016x}")]
    Route(u64),
}

/// The subjects of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// A hash of the request's content.
    pub fingerprint: RequestFingerprint,
    /// A hash of the route's name and the caller: its customer, or its address if there is none.
    pub caller: u64,
    /// A hash of the route's name.
    pub route: u64,
}

impl RequestIdentity {
    /// Creates the identity of a request from its caller's address. All callers whose
    /// address is unknown share one subject.
    pub fn new(fingerprint: RequestFingerprint, caller: Option<IpAddr>, route: &str) -> Self {
        let address = caller.map(|caller| caller.to_string()).unwrap_or_default();
        let caller = fingerprint::hash(&[route.as_bytes(), address.as_bytes()]) as u64;
        Self::with_caller_hash(fingerprint, caller, route)
    }

    /// Creates the identity of a customer's request, which does not depend on the address: a
    /// customer's callers may share proxies with others, and may use many addresses.
    pub fn of_customer(fingerprint: RequestFingerprint, customer: &str, route: &str) -> Self {
        let parts = [route.as_bytes(), b"customer", customer.as_bytes()];
        Self::with_caller_hash(fingerprint, fingerprint::hash(&parts) as u64, route)
    }

    /// Creates the identity of a request from a caller hash received from a peer.
    pub fn with_caller_hash(fingerprint: RequestFingerprint, caller: u64, route: &str) -> Self {
        Self { fingerprint, caller, route: fingerprint::hash(&[route.as_bytes()]) as u64 }
    }
}

/// How a request may be handled according to the quarantine's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Without restriction.
    Send,
    /// Sent to one target at a time until one answers.
    Trial,
    /// Refused for the given duration.
    Refuse(Duration),
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt at a service.
    First,
    /// A retry or hedge at the same service.
    Extra,
}

/// Whether an attempt may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Send it.
    Send,
    /// Wait until attempts in flight have ended.
    Hold,
    /// Don't send it: no target has answered the attempts before, and none is in flight.
    Exhausted,
    /// Don't send it: the request is refused for the given duration.
    Refuse(Duration),
}

/// How the state of a subject changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// It received a strike, or a peer's record changed this host's.
    Suspected,
    /// A refusal term began.
    Refused,
    /// The refusal term ended; the request may be tried again.
    Released,
    /// A target answered, which resets its strikes.
    Cleared,
    /// The record expired.
    Forgotten,
}

/// A change of a subject's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The subject.
    pub subject: Subject,
    /// The kind of change.
    pub kind: ChangeKind,
    /// The number of strikes.
    pub strikes: u32,
    /// The remaining time of the refusal term.
    pub left: Duration,
}

/// Decides whether an attempt may be sent to a target.
///
/// The first attempts of a fan-out are sent concurrently, since waiting for one part would add a
/// round trip to every query. Until a target answers, at most [`MAX_UNANSWERED_EXTRA`] extra
/// attempts are sent, and after a crash one attempt at a time, so that a query that crashes its
/// targets does not reach all replicas.
pub fn decide(
    table: &QuarantineTable,
    identity: &RequestIdentity,
    exposure: &Exposure,
    kind: AttemptKind,
    now: Duration,
    options: &Options,
) -> Permit {
    if !options.on || exposure.is_answered() {
        return Permit::Send;
    }
    let one_at_a_time = match table.verdict(identity, now, options) {
        Verdict::Refuse(left) => return Permit::Refuse(left),
        Verdict::Trial => true,
        Verdict::Send => exposure.has_crashed(),
    };
    match kind {
        _ if one_at_a_time && exposure.in_flight() > 0 => Permit::Hold,
        AttemptKind::Extra if !one_at_a_time && exposure.extra() >= MAX_UNANSWERED_EXTRA => {
            if exposure.in_flight() > 0 {
                Permit::Hold
            } else {
                Permit::Exhausted
            }
        }
        _ => Permit::Send,
    }
}

/// The maximum number of extra attempts of a request that no target has answered.
pub const MAX_UNANSWERED_EXTRA: u32 = 2;

/// Whether a request must not be sent to the last healthy target of a shard: it is suspected of
/// crashing targets, and none has answered it yet.
///
/// Handles shards with two targets, and a request that crashes each target that runs it. Its
/// first attempts crash one target of each shard. An extra attempt would crash the other, and
/// unrelated queries would fail because that shard has no target. A query that lost a target to
/// an unrelated crash is answered by its other shards, and may use the last one then.
pub fn protects_last_target(
    table: &QuarantineTable,
    identity: &RequestIdentity,
    exposure: &Exposure,
    now: Duration,
    options: &Options,
) -> bool {
    let suspected =
        exposure.has_crashed() || table.verdict(identity, now, options) == Verdict::Trial;
    options.on && suspected && !exposure.is_answered()
}
